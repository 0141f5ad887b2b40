//! The coordinator lease, a record in the store that is written conditionally.
//!
//! The holder counts its lease from the time at which it sent the write, and
//! other hosts count from the time at which they first saw that version of the
//! record. The holder therefore stops before another host may take over. Times
//! must come from a clock that advances while the machine is suspended.
//!
//! A restored store has lost its latest writes and gives out their versions again, in
//! a new era. Each record states the era in which its writer believed the store to be.
//! A write that took effect in another era does not count, and a record of another era
//! gives no right to any host. The holder keeps its lease until it would have ended and
//! renews it in the new era. Other hosts wait until it must have stopped.

mod capacity;
mod refused;
mod seen;
mod tokens;

use std::net::SocketAddr;
use std::time::Duration;

use crate::decision::coordinator_lease::refused::RefusedParts;
use crate::decision::coordinator_lease::seen::SeenRecord;
use crate::decision::coordinator_lease::tokens::TokenSource;
use crate::decision::store_order::{ERA_DOUBT, StorePosition};
use crate::gateway::ports::{LeaseAnswer, LeaseRecord};
use crate::ids::{HostId, ObjectVersion, PartHash, StoreEra};

pub use capacity::{compute_capacity, takeover_delay};

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

/// Share of the largest capacity below which a holder hands the lease over.
const HANDOVER_SHARE: f64 = 0.5;
/// Shortest time for which a host holds the lease before it hands it over. The larger
/// hosts report within it.
const MIN_TERM: Duration = Duration::from_millis(1_500);
/// Shortest time between two handovers. A larger host that cannot reach the store does
/// not take the lease.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(20);

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
    /// Whether no record existed before this term.
    is_first: bool,
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
    /// The record as the store last returned it. `None` before that, or after the
    /// lease of this host has expired.
    seen: Option<SeenRecord>,
    /// Era of the last answer, with the version of the record that the store last
    /// returned in it, or zero.
    position: Option<StorePosition>,
    /// Era that the store last stated, with the time of that answer.
    stated_era: Option<(StoreEra, Duration)>,
    /// Position of a write of this host that was answered without an era, with the time
    /// at which it was sent.
    unconfirmed: Option<(StorePosition, Duration)>,
    /// Whether the record as last returned was settled.
    is_era_settled: Option<bool>,
    /// Whether this host knows that a record was written.
    has_seen_record: bool,
    tokens: TokenSource,
    /// Earliest time at which this host may give orders after it last tried to take the
    /// lease.
    orders_after: Duration,
    /// Coordinator that another host has named since the record was read.
    named: Option<(HostId, SocketAddr)>,
    /// Whether the last call got an answer.
    is_store_reachable: bool,
    /// Time since which the lease is known to be free.
    free_since: Option<Duration>,
    /// Time for which this host leaves a free lease to others.
    takeover_delay: Duration,
    /// Position of the record and the end of its lease, as the holder announced it.
    announced_expiry: Option<(StorePosition, Duration)>,
    held: Option<HeldLease>,
    next_call_at: Duration,
    is_releasing: bool,
    /// Time of the last handover.
    handed_over_at: Option<Duration>,
    refused_parts: RefusedParts,
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
            position: None,
            stated_era: None,
            unconfirmed: None,
            is_era_settled: None,
            has_seen_record: false,
            tokens: TokenSource::default(),
            orders_after: Duration::ZERO,
            named: None,
            is_store_reachable: false,
            free_since: None,
            takeover_delay: Duration::ZERO,
            announced_expiry: None,
            held: None,
            next_call_at: Duration::ZERO,
            is_releasing: false,
            handed_over_at: None,
            refused_parts: RefusedParts::default(),
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

    /// Returns whether this host holds the lease, has created the record and never saw
    /// one before, so that no other host can have held the lease.
    pub fn is_first_term(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.is_first)
    }

    /// Returns whether the record as last returned was written in the era that the
    /// store stated, or `None` before the first answer.
    ///
    /// If it was not, the store may have lost later writes, of any object. A record that
    /// does not exist counts as written if this host never saw one and the store does
    /// not state that it began anew.
    pub fn is_era_settled(&self) -> Option<bool> {
        self.is_era_settled
    }

    /// Returns the position of the held record and the remaining time of the lease,
    /// or `None` if this host does not hold the lease at `now`.
    pub fn remaining(&self, now: Duration) -> Option<(StorePosition, Duration)> {
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        let seen = self.seen.as_ref()?;
        let position = StorePosition { era: seen.era, revision: seen.version? };
        Some((position, held.valid_until - now))
    }

    /// Records the remaining lease time that the holder announced for a position
    /// of the record, received at `now`.
    ///
    /// Without it, this host counts the lease from the time at which it first saw
    /// that version, which may be long after the write. It may take over sooner if
    /// the announced end is earlier.
    pub fn record_remaining(
        &mut self,
        now: Duration,
        position: StorePosition,
        remaining: Duration,
    ) {
        self.announced_expiry = Some((position, now + remaining));
    }

    /// Records a fencing token that is in use, so that this host takes a higher one.
    pub fn record_token(&mut self, token: u64) {
        self.tokens.record(token);
        self.has_seen_record = true;
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
        if self.refused_parts.replace(now, refused) && self.held.is_some() {
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
            self.unconfirmed = None;
        }
        if now < self.next_call_at {
            return LeaseAction::Wait;
        }
        if let (Some(held), Some(seen)) = (&self.held, &self.seen) {
            if now < held.renew_at {
                return LeaseAction::Wait;
            }
            let is_released = self.is_releasing || held.is_handing_over;
            let record = self.build_record(now, held.token, seen.era, is_released);
            let expected = seen.version;
            self.next_call_at = now + RETRY_DELAY;
            return LeaseAction::Write { expected, record };
        }
        let has_seen = self.seen.as_ref().is_some_and(|seen| seen.version.is_some());
        if self.is_releasing || (has_coordinator && has_seen) {
            return LeaseAction::Wait;
        }
        self.next_call_at = now + RETRY_DELAY;
        self.update_free_since(now);
        let may_acquire = self.free_since.is_some_and(|since| now >= since + self.takeover_delay);
        match &self.seen {
            Some(seen) if may_acquire => {
                let (expected, era) = (seen.version, seen.era);
                let record_token = seen.record.as_ref().map(|record| record.token);
                let token = self.tokens.next(era, expected, record_token);
                self.orders_after = self.orders_after.max(self.compute_order_start(now));
                LeaseAction::Write { expected, record: self.build_record(now, token, era, false) }
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
        let is_free = self.seen.as_ref().is_some_and(|seen| self.is_free(now, seen));
        let is_known = self.is_store_reachable && is_free && self.held.is_none();
        self.free_since = is_known.then(|| self.free_since.unwrap_or(now));
    }

    fn apply_answer(&mut self, now: Duration, sent_at: Duration, answer: LeaseAnswer) {
        match answer {
            LeaseAnswer::Found { version, era: stated, record, is_written } => {
                self.named = None;
                let era = self.follow_era(now, stated);
                let position = StorePosition { era, revision: version };
                let is_valid = self.is_valid(position, record.as_ref());
                let is_settled = self.is_settled(stated, era, Some(version), is_valid);
                if let Some(record) = &record {
                    self.tokens.record(record.token);
                    if !is_written {
                        let is_own = record.holder == self.host;
                        self.refused_parts.adopt(now, &record.refused_parts, is_own, is_settled);
                    }
                }
                let unconfirmed = self.unconfirmed.take().filter(|(known, _)| *known == position);
                let written_at =
                    if is_written { Some(sent_at) } else { unconfirmed.map(|(_, at)| at) };
                self.unconfirmed = written_at.filter(|_| !is_settled).map(|at| (position, at));
                if let Some(written_at) = written_at.filter(|_| is_settled) {
                    self.handle_written(written_at, record.as_ref());
                } else if !self.is_seen(era, Some(version)) {
                    self.handle_unexpected(record.as_ref(), is_settled);
                }
                self.has_seen_record = true;
                self.position = Some(position);
                self.record_seen(now, stated, era, Some(version), record, is_settled);
            }
            LeaseAnswer::Missing { era: stated } => {
                let era = self.follow_era(now, stated);
                let known = self.position.filter(|known| known.era == era);
                let is_valid = self.is_first_start(era);
                let is_settled = self.is_settled(stated, era, None, is_valid);
                if !self.is_seen(era, None) {
                    self.handle_unexpected(None, is_settled);
                }
                self.position = known.or(Some(StorePosition { era, revision: 0 }));
                self.record_seen(now, stated, era, None, None, is_settled);
            }
            LeaseAnswer::Refused => {}
            LeaseAnswer::Unknown => {
                // The write may have taken effect. A holder keeps its lease for
                // now and gets the version from a conflict at its next write.
            }
        }
    }

    /// Returns the era that the store is taken to have after an answer that stated
    /// `stated`.
    ///
    /// An answer that states none is taken to be of the last stated era for a time. No
    /// write counts that is not answered with the era of its record.
    fn follow_era(&mut self, now: Duration, stated: Option<StoreEra>) -> Option<StoreEra> {
        if let Some(era) = stated {
            self.stated_era = Some((era, now));
        }
        let is_recent = |(_, at): &(StoreEra, Duration)| now <= *at + ERA_DOUBT;
        self.stated_era.filter(is_recent).map(|(era, _)| era)
    }

    /// Returns whether the record belongs to the history that the store has now.
    ///
    /// A record that states the era of the answer was written in it, unless the store
    /// went back since without a higher era.
    fn is_valid(&self, position: StorePosition, record: Option<&LeaseRecord>) -> bool {
        let is_later = self.position.is_none_or(|known| match (known.era, position.era) {
            (known_era, era) if known_era == era => position.revision >= known.revision,
            (Some(known_era), Some(era)) => era > known_era,
            _ => false,
        });
        is_later && record.is_some_and(|record| record.era == position.era)
    }

    /// Returns whether a record that is missing can never have existed.
    fn is_first_start(&self, era: Option<StoreEra>) -> bool {
        let is_same_era = self.position.is_none_or(|known| known.era == era);
        !self.has_seen_record && is_same_era && era.unwrap_or_default() == 0
    }

    /// Returns whether a version tells who holds the lease. `is_valid` applies if the
    /// store has stated the era for the first time with it.
    fn is_settled(
        &self,
        stated: Option<StoreEra>,
        era: Option<StoreEra>,
        version: Option<ObjectVersion>,
        is_valid: bool,
    ) -> bool {
        let seen = self.seen.as_ref().filter(|_| self.is_seen(era, version));
        let is_stated = stated == era;
        match seen.filter(|seen| seen.is_era_stated || !is_stated) {
            Some(seen) => seen.is_settled,
            None => is_stated && is_valid,
        }
    }

    /// Keeps the held lease if no other host can hold it by a record that this host has
    /// not written or whose answer it has not got, and drops it otherwise.
    ///
    /// A lease that is kept ends when it would have ended, and is renewed at once.
    fn handle_unexpected(&mut self, record: Option<&LeaseRecord>, is_settled: bool) {
        let Some(held) = &mut self.held else { return };
        let is_own = record.is_some_and(|record| {
            let writer = (&record.holder, record.incarnation, record.token);
            writer == (&self.host, self.incarnation, held.token) && !record.is_released
        });
        if is_settled && !is_own {
            self.held = None;
        } else {
            held.renew_at = Duration::ZERO;
        }
    }

    /// Records what the store returned. A version that was seen before keeps the time at
    /// which its holder stops.
    fn record_seen(
        &mut self,
        now: Duration,
        stated: Option<StoreEra>,
        era: Option<StoreEra>,
        version: Option<ObjectVersion>,
        record: Option<LeaseRecord>,
        is_settled: bool,
    ) {
        self.is_era_settled = Some(is_settled);
        let known = self.seen.take().filter(|seen| (seen.era, seen.version) == (era, version));
        let is_era_stated = stated == era || known.as_ref().is_some_and(|seen| seen.is_era_stated);
        // The holder sent its latest write before this answer arrived.
        let expires_by = now + self.lease_duration.mul_f64(HOLD_FRACTION);
        let expires_by = known.map_or(expires_by, |seen| seen.expires_by);
        let seen = SeenRecord { version, era, is_era_stated, record, is_settled, expires_by };
        self.seen = Some(seen);
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
            follows_release: self.seen.as_ref().is_some_and(SeenRecord::is_released),
            is_first: self.seen.as_ref().is_some_and(SeenRecord::is_first_start),
            is_handing_over: false,
        };
        let term = self.held.take().filter(|held| held.token == token).unwrap_or(new_term);
        self.held = Some(HeldLease { valid_until, renew_at, ..term });
    }

    /// Returns the earliest time at which this host may give orders if it takes
    /// over at `now`.
    ///
    /// That time is the lease duration, with a margin for clock drift, after the
    /// last possible order of another holder. It is `now` if there never was a record or
    /// this host wrote it, and one lease duration later if the record cannot be
    /// decoded.
    fn compute_order_start(&self, now: Duration) -> Duration {
        let Some(seen) = &self.seen else { return now };
        let expiry_order = self.compute_expiry(seen).saturating_sub(ORDER_MARGIN);
        let last_order = match &seen.record {
            None if seen.is_settled => return now,
            // This host gave the previous orders, unless it has only tried to take the
            // lease and got no answer.
            Some(previous) if seen.is_settled && previous.holder == self.host => {
                return now.max(self.orders_after);
            }
            Some(previous) if seen.is_settled && previous.is_released => now,
            None if seen.version.is_some() => return now + self.lease_duration,
            _ => expiry_order,
        };
        now.max(last_order + self.lease_duration + TAKEOVER_MARGIN)
    }

    /// Returns the lowest known upper bound of the time at which the holder stops.
    fn compute_expiry(&self, seen: &SeenRecord) -> Duration {
        let is_announced = |position: StorePosition| {
            let is_same = Some(position.revision) == seen.version && position.era == seen.era;
            seen.is_settled && is_same
        };
        match self.announced_expiry {
            Some((position, expires_by)) if is_announced(position) => {
                expires_by.min(seen.expires_by)
            }
            _ => seen.expires_by,
        }
    }

    /// Returns whether a host may write itself as the holder: the lease has expired, or
    /// the record is settled and does not exist, names this host or was released.
    fn is_free(&self, now: Duration, seen: &SeenRecord) -> bool {
        let has_expired = now >= self.compute_expiry(seen) + TAKEOVER_MARGIN;
        let is_unheld = |record: &LeaseRecord| record.is_released || record.holder == self.host;
        has_expired || (seen.is_settled && seen.record.as_ref().is_none_or(is_unheld))
    }

    /// Returns whether the store last returned this version in this era.
    fn is_seen(&self, era: Option<StoreEra>, version: Option<ObjectVersion>) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.era == era && seen.version == version)
    }

    fn build_record(
        &self,
        now: Duration,
        token: u64,
        era: Option<StoreEra>,
        is_released: bool,
    ) -> LeaseRecord {
        LeaseRecord {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address,
            token,
            era,
            is_released,
            refused_parts: self.refused_parts.remaining(now),
        }
    }
}
