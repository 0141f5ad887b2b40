//! The coordinator lease, a record in the store that is written conditionally.
//!
//! The holder counts its lease from the time at which it sent the write, and
//! other hosts count from the time at which they first saw that version of the
//! record. The holder therefore stops before another host may take over. Times
//! must come from a clock that advances while the machine is suspended.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::ports::{LeaseAnswer, LeaseRecord};
use crate::ids::{HostId, ObjectVersion, PartHash};

/// Interval between two renewals by the holder.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// Delay between a write and the next call, for example a retry after a lost
/// answer. The delay after a read is twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Fraction of the lease duration after which the holder stops.
const HOLD_FRACTION: f64 = 0.75;
/// Time after the end of the lease for which other hosts wait, to allow for
/// clock drift.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(100);
/// Time before the end of its lease at which the holder stops giving orders.
///
/// The next holder waits for the lease duration after the last possible order of
/// this one, so the margin brings its first order forward by the same time.
const ORDER_MARGIN: Duration = Duration::from_millis(900);

/// Longest time for which a host with little capacity leaves the lease to others.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_millis(600);
/// Share of the largest capacity below which a holder hands the lease over.
const HANDOVER_SHARE: f64 = 0.5;
/// Shortest time for which a host holds the lease before it hands it over. The larger
/// hosts report within it.
const MIN_TERM: Duration = Duration::from_millis(1_500);
/// Shortest time between two handovers. A larger host that cannot reach the store does
/// not take the lease.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(20);
/// Processor share, in cores, and link with which a host can coordinate a fleet of
/// any supported size.
const FULL_CAPACITY: (f64, f64) = (0.25, 100.0);

/// Returns the capacity of a host to coordinate a fleet, from 0 to 1.
///
/// `cores` is its share of processor cores and `link_mbps` its link, in Mbit/s.
pub fn compute_capacity(cores: f64, link_mbps: f64) -> f64 {
    (cores / FULL_CAPACITY.0).min(link_mbps / FULL_CAPACITY.1).clamp(0.0, 1.0)
}

/// Returns the time for which a host leaves a free lease to hosts with more capacity.
///
/// `largest` is the largest capacity of any host of the fleet, if it is known.
pub fn takeover_delay(capacity: f64, largest: Option<f64>) -> Duration {
    let largest = largest.unwrap_or(1.0).max(capacity).max(f64::MIN_POSITIVE);
    MAX_TAKEOVER_DELAY.mul_f64(1.0 - capacity / largest)
}

/// Next call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Make no call now.
    Wait,
    /// Read the lease record.
    Read,
    /// Write the lease record if its version is the expected one.
    Write {
        /// Version that the record must have; `None` creates the record.
        expected: Option<ObjectVersion>,
        /// New value of the record.
        record: LeaseRecord,
    },
}

#[derive(Clone, Debug)]
struct SeenRecord {
    version: ObjectVersion,
    /// The record, or `None` if it could not be decoded.
    record: Option<LeaseRecord>,
    /// Upper bound of the time at which the holder stops.
    expires_by: Duration,
}

#[derive(Clone, Debug)]
struct HeldLease {
    token: u64,
    /// Time at which the lease was taken.
    held_since: Duration,
    /// Time at which the holder stops unless it renews the lease before.
    valid_until: Duration,
    renew_at: Duration,
    /// Earliest time at which the holder may give orders.
    orders_from: Duration,
    /// Whether the previous holder had released the lease.
    follows_release: bool,
    /// Whether the lease is being released to a larger host.
    is_handing_over: bool,
}

/// State of one host that holds or watches the coordinator lease.
#[derive(Debug)]
pub struct CoordinatorLease {
    host: HostId,
    incarnation: u64,
    address: SocketAddr,
    lease_duration: Duration,
    /// The record as the store last returned it. `None` before that, if the record
    /// does not exist, or after the lease of this host has expired.
    seen: Option<SeenRecord>,
    /// Coordinator that another host has named since the record was read.
    named: Option<(HostId, SocketAddr)>,
    /// Whether the store last answered that the record does not exist.
    is_missing: bool,
    /// Whether the last call got an answer.
    is_store_reachable: bool,
    /// Time since which the lease is known to be free.
    free_since: Option<Duration>,
    /// Time for which this host leaves a free lease to others.
    takeover_delay: Duration,
    /// Version of the record and the end of its lease, as the holder announced it.
    announced_expiry: Option<(ObjectVersion, Duration)>,
    held: Option<HeldLease>,
    /// Earliest time at which this host may give orders after it last tried to take the
    /// lease.
    orders_after: Duration,
    next_call_at: Duration,
    is_releasing: bool,
    /// Time of the last handover.
    handed_over_at: Option<Duration>,
    /// Prompt parts that the holder refuses, each with the time at which a trial is due.
    refused_parts: Vec<(PartHash, Duration)>,
}

impl CoordinatorLease {
    /// Creates the state of a host that has not read the lease record yet.
    pub fn new(
        host: HostId,
        incarnation: u64,
        address: SocketAddr,
        lease_duration: Duration,
    ) -> CoordinatorLease {
        CoordinatorLease {
            host,
            incarnation,
            address,
            lease_duration,
            seen: None,
            named: None,
            is_missing: false,
            is_store_reachable: false,
            free_since: None,
            takeover_delay: Duration::ZERO,
            announced_expiry: None,
            held: None,
            orders_after: Duration::ZERO,
            next_call_at: Duration::ZERO,
            is_releasing: false,
            handed_over_at: None,
            refused_parts: Vec::new(),
        }
    }

    /// Sets the time for which this host leaves a free lease to others.
    pub fn set_takeover_delay(&mut self, delay: Duration) {
        self.takeover_delay = delay;
    }

    /// Returns the fencing token if this host holds the lease at `now`.
    pub fn token(&self, now: Duration) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.valid_until).map(|held| held.token)
    }

    /// Returns the fencing token if this host may give orders at `now`.
    ///
    /// A new holder gives no orders until the lease duration has passed since the
    /// last possible order of the previous holder. A holder gives none shortly
    /// before its lease ends, nor while it releases the lease.
    pub fn order_token(&self, now: Duration) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        let is_open = now >= held.orders_from && now + ORDER_MARGIN < held.valid_until;
        let is_kept = !self.is_releasing && !held.is_handing_over;
        (is_open && is_kept).then_some(held.token)
    }

    /// Returns whether this host holds a lease that the previous holder had released,
    /// rather than one that had expired.
    pub fn follows_release(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.follows_release)
    }

    /// Returns the version of the held record and the remaining time of the lease,
    /// or `None` if this host does not hold the lease at `now`.
    pub fn remaining(&self, now: Duration) -> Option<(ObjectVersion, Duration)> {
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        Some((self.seen_version()?, held.valid_until - now))
    }

    /// Records the remaining lease time that the holder announced for a version
    /// of the record, received at `now`.
    ///
    /// Without it, this host counts the lease from the time at which it first saw
    /// that version, which may be long after the write. It may take over sooner if
    /// the announced end is earlier.
    pub fn record_remaining(&mut self, now: Duration, version: ObjectVersion, remaining: Duration) {
        self.announced_expiry = Some((version, now + remaining));
    }

    /// Returns the name and address of the coordinator in the last seen record,
    /// or `None` if there is no such record or the lease was released.
    ///
    /// One that another host has named since then comes first.
    pub fn coordinator(&self) -> Option<(HostId, SocketAddr)> {
        if let Some(named) = &self.named {
            return Some(named.clone());
        }
        let record = self.seen.as_ref()?.record.as_ref()?;
        (!record.is_released).then(|| (record.holder.clone(), record.address))
    }

    /// Records the coordinator that another host has named.
    pub fn record_coordinator(&mut self, holder: HostId, address: SocketAddr) {
        self.named = Some((holder, address));
    }

    /// Sets the refused prompt parts that the record holds, each with the time until a
    /// trial is due. A holder writes a change at once.
    pub fn set_refused_parts(&mut self, now: Duration, refused: &[(PartHash, Duration)]) {
        let mut parts: Vec<PartHash> = refused.iter().map(|(part, _)| *part).collect();
        parts.sort_unstable();
        let mut known: Vec<PartHash> = self.refused_parts.iter().map(|(part, _)| *part).collect();
        known.sort_unstable();
        self.refused_parts =
            refused.iter().map(|(part, remaining)| (*part, now + *remaining)).collect();
        if parts != known && self.held.is_some() {
            self.write_now();
        }
    }

    /// Releases the lease if hosts of much larger capacity are there to take it.
    ///
    /// `largest` is the largest capacity of any host of the fleet. Returns whether the
    /// release starts.
    pub fn hand_over(&mut self, now: Duration, capacity: f64, largest: f64) -> bool {
        let is_repeated = self.handed_over_at.is_some_and(|at| now < at + HANDOVER_INTERVAL);
        let Some(held) = self.held.as_mut().filter(|held| now >= held.held_since + MIN_TERM) else {
            return false;
        };
        if is_repeated || capacity >= largest * HANDOVER_SHARE {
            return false;
        }
        held.is_handing_over = true;
        self.handed_over_at = Some(now);
        self.write_now();
        true
    }

    /// Starts to release the lease, for example before the process ends.
    pub fn start_release(&mut self) {
        self.is_releasing = true;
        self.write_now();
    }

    /// Makes the next write of the holder due at once.
    fn write_now(&mut self) {
        self.next_call_at = Duration::ZERO;
        if let Some(held) = &mut self.held {
            held.renew_at = Duration::ZERO;
        }
    }

    /// Returns whether a release was started and this host does not hold the lease.
    pub fn has_released(&self) -> bool {
        self.is_releasing && self.held.is_none()
    }

    /// Returns the next call to the store.
    ///
    /// `has_coordinator` states whether a coordinator answers this host. While one
    /// does, a host that has seen the record neither reads it again nor tries to
    /// acquire the lease.
    pub fn step(&mut self, now: Duration, has_coordinator: bool) -> LeaseAction {
        if self.held.as_ref().is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.seen = None;
        }
        if now < self.next_call_at {
            return LeaseAction::Wait;
        }
        if let (Some(held), Some(seen)) = (&self.held, &self.seen) {
            if now < held.renew_at {
                return LeaseAction::Wait;
            }
            let is_released = self.is_releasing || held.is_handing_over;
            let record = self.build_record(now, held.token, is_released);
            let expected = Some(seen.version);
            self.next_call_at = now + RETRY_DELAY;
            return LeaseAction::Write { expected, record };
        }
        if self.is_releasing || (has_coordinator && self.seen.is_some()) {
            return LeaseAction::Wait;
        }
        self.next_call_at = now + RETRY_DELAY;
        self.update_free_since(now);
        let may_acquire = self.free_since.is_some_and(|since| now >= since + self.takeover_delay);
        if may_acquire && self.is_missing {
            return LeaseAction::Write { expected: None, record: self.build_record(now, 1, false) };
        }
        match &self.seen {
            Some(seen) if may_acquire => {
                // Each token was written once, so the version is no lower than the token
                // of a record that could not be decoded.
                let token = seen.record.as_ref().map_or(seen.version, |record| record.token) + 1;
                let expected = Some(seen.version);
                self.orders_after = self.orders_after.max(self.compute_order_start(now));
                LeaseAction::Write { expected, record: self.build_record(now, token, false) }
            }
            _ => {
                self.next_call_at = now + RETRY_DELAY * 2;
                LeaseAction::Read
            }
        }
    }

    /// Processes the answer, received at `now`, to the call sent at `sent_at`.
    pub fn handle_answer(&mut self, now: Duration, sent_at: Duration, answer: LeaseAnswer) {
        let has_answer = !matches!(answer, LeaseAnswer::Refused | LeaseAnswer::Unknown);
        self.apply_answer(now, sent_at, answer);
        self.is_store_reachable = has_answer;
        self.update_free_since(now);
        if self.free_since.is_some() {
            self.next_call_at = self.next_call_at.min(now + self.takeover_delay);
        }
    }

    /// Updates the time since which the lease is known to be free.
    ///
    /// A failed call resets it, so that all hosts find the lease free together when the
    /// store returns, and those with more capacity come first.
    fn update_free_since(&mut self, now: Duration) {
        let is_free = match &self.seen {
            Some(seen) => self.is_free(now, seen),
            None => self.is_missing,
        };
        let is_known = self.is_store_reachable && is_free && self.held.is_none();
        self.free_since = is_known.then(|| self.free_since.unwrap_or(now));
    }

    fn apply_answer(&mut self, now: Duration, sent_at: Duration, answer: LeaseAnswer) {
        match answer {
            LeaseAnswer::Found { version, record, is_written, .. } => {
                self.named = None;
                self.is_missing = false;
                if let Some(record) = record.as_ref().filter(|_| !is_written) {
                    self.keep_refused_parts(now, record);
                }
                if is_written {
                    self.handle_written(sent_at, record.as_ref());
                } else if self.held.is_some() && self.seen_version() != Some(version) {
                    // Another host wrote the record, or a write of this host
                    // took effect whose answer was lost. The send time of that
                    // write is not known here, so the lease is acquired again.
                    self.held = None;
                }
                if self.seen_version() != Some(version) {
                    // The holder sent its latest write before this answer arrived.
                    let expires_by = now + self.lease_duration.mul_f64(HOLD_FRACTION);
                    self.seen = Some(SeenRecord { version, record, expires_by });
                }
            }
            LeaseAnswer::Missing { .. } => {
                self.seen = None;
                self.held = None;
                self.is_missing = true;
            }
            LeaseAnswer::Refused => {}
            LeaseAnswer::Unknown => {
                // The write may have taken effect. A holder keeps its lease for
                // now and gets the version from a conflict at its next write.
            }
        }
    }

    /// Takes over the refused parts of another holder's record, so that this host keeps them
    /// if it takes the lease.
    fn keep_refused_parts(&mut self, now: Duration, record: &LeaseRecord) {
        if record.holder != self.host || self.refused_parts.is_empty() {
            let refused = record.refused_parts.iter();
            self.refused_parts =
                refused.map(|(part, remaining)| (*part, now + *remaining)).collect();
        }
    }

    /// Records the lease as held from `sent_at`, or as no longer held if the written
    /// record releases it.
    fn handle_written(&mut self, sent_at: Duration, record: Option<&LeaseRecord>) {
        let Some(record) = record.filter(|record| !record.is_released) else {
            self.held = None;
            return;
        };
        let valid_until = sent_at + self.lease_duration.mul_f64(HOLD_FRACTION);
        let renew_at = sent_at + RENEWAL_INTERVAL;
        let token = record.token;
        let new_term = HeldLease {
            token,
            held_since: sent_at,
            valid_until,
            renew_at,
            orders_from: self.compute_order_start(sent_at),
            follows_release: self.is_seen_released(),
            is_handing_over: false,
        };
        let term = self.held.take().filter(|held| held.token == token).unwrap_or(new_term);
        self.held = Some(HeldLease { valid_until, renew_at, ..term });
    }

    /// Returns the earliest time at which this host may give orders if it takes
    /// over at `now`.
    ///
    /// That time is the lease duration, with a margin for clock drift, after the
    /// last possible order of another holder. It is `now` if there was no record or
    /// this host wrote it, and one lease duration later if the record cannot be
    /// decoded.
    fn compute_order_start(&self, now: Duration) -> Duration {
        let Some(seen) = &self.seen else { return now };
        let Some(previous) = &seen.record else { return now + self.lease_duration };
        if previous.holder == self.host {
            // This host gave the previous orders, unless it has only tried to take the
            // lease and got no answer.
            return now.max(self.orders_after);
        }
        let last_order = if previous.is_released {
            now
        } else {
            self.compute_expiry(seen).saturating_sub(ORDER_MARGIN)
        };
        now.max(last_order + self.lease_duration + TAKEOVER_MARGIN)
    }

    /// Returns the lowest known upper bound of the time at which the holder stops.
    fn compute_expiry(&self, seen: &SeenRecord) -> Duration {
        match self.announced_expiry {
            Some((version, expires_by)) if version == seen.version => {
                expires_by.min(seen.expires_by)
            }
            _ => seen.expires_by,
        }
    }

    /// Returns whether a host may write itself as the holder: the record cannot be
    /// decoded, names this host, was released, or its lease has expired.
    fn is_free(&self, now: Duration, seen: &SeenRecord) -> bool {
        let Some(record) = &seen.record else { return true };
        let has_expired = now >= self.compute_expiry(seen) + TAKEOVER_MARGIN;
        record.is_released || record.holder == self.host || has_expired
    }

    fn is_seen_released(&self) -> bool {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        record.is_some_and(|record| record.is_released)
    }

    fn seen_version(&self) -> Option<ObjectVersion> {
        self.seen.as_ref().map(|seen| seen.version)
    }

    fn build_record(&self, now: Duration, token: u64, is_released: bool) -> LeaseRecord {
        let refused = self.refused_parts.iter();
        LeaseRecord {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address,
            token,
            era: None,
            is_released,
            refused_parts: refused
                .map(|(part, until)| (*part, until.saturating_sub(now)))
                .collect(),
        }
    }
}
