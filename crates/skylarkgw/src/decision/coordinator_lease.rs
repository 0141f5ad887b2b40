//! The lease of the coordinator: one conditional record in the store.
//!
//! A holder dates its lease from the moment at which it sent the write, and
//! others from the moment at which they first saw the record, so the holder
//! stops before anybody else may take over. Times come from a clock that goes
//! on during suspension.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::ports::{LeaseAnswer, LeaseRecord};
use crate::ids::{HostId, ObjectVersion};

/// Time between two renewals.
const RENEW_AFTER: Duration = Duration::from_millis(800);
/// Time after which a call without a result is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(150);
/// Share of the lease after which its holder stops.
const HOLD_SHARE: f64 = 0.75;
/// Time beyond the lease that others wait, for clocks that drift.
const TAKE_MARGIN: Duration = Duration::from_millis(100);
/// Time before the end of its lease at which a holder gives no more orders, so
/// that the next one may give some sooner.
const ORDER_MARGIN: Duration = Duration::from_millis(900);

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Nothing yet.
    Wait,
    /// Read the record.
    Read,
    /// Write the record if it still has a version; `None` creates it.
    Write {
        /// Version that the record must have.
        expected: Option<ObjectVersion>,
        /// New value.
        record: LeaseRecord,
    },
}

#[derive(Clone, Debug)]
struct SeenRecord {
    version: ObjectVersion,
    record: Option<LeaseRecord>,
    /// Latest time at which its holder stops, as this host can tell.
    ends_by: Duration,
}

#[derive(Clone, Debug)]
struct HeldLease {
    token: u64,
    valid_until: Duration,
    renew_at: Duration,
    orders_from: Duration,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct CoordinatorLease {
    host: HostId,
    incarnation: u64,
    address: SocketAddr,
    lease: Duration,
    seen: Option<SeenRecord>,
    is_missing: bool,
    told: Option<(ObjectVersion, Duration)>,
    held: Option<HeldLease>,
    next_call: Duration,
    retiring: bool,
}

impl CoordinatorLease {
    /// Creates the view of a host that knows nothing yet.
    pub fn new(
        host: HostId,
        incarnation: u64,
        address: SocketAddr,
        lease: Duration,
    ) -> CoordinatorLease {
        CoordinatorLease {
            host,
            incarnation,
            address,
            lease,
            seen: None,
            is_missing: false,
            told: None,
            held: None,
            next_call: Duration::ZERO,
            retiring: false,
        }
    }

    /// Returns the fencing token while this host holds the lease.
    pub fn token(&self, now: Duration) -> Option<u64> {
        self.held.as_ref().filter(|held| now < held.valid_until).map(|held| held.token)
    }

    /// Returns the fencing token once the orders of the holder before are over.
    pub fn order_token(&self, now: Duration) -> Option<u64> {
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        let is_open = now >= held.orders_from && now + ORDER_MARGIN < held.valid_until;
        (is_open && !self.retiring).then_some(held.token)
    }

    /// Returns the version of the held record and the time that it still lasts.
    pub fn remaining(&self, now: Duration) -> Option<(ObjectVersion, Duration)> {
        let held = self.held.as_ref().filter(|held| now < held.valid_until)?;
        Some((self.seen_version()?, held.valid_until - now))
    }

    /// Takes in the holder's own word, received at `now`, on how long the
    /// lease lasts that a version of the record gives it.
    pub fn note_remaining(&mut self, now: Duration, version: ObjectVersion, remaining: Duration) {
        self.told = Some((version, now + remaining));
    }

    /// Returns the address of the coordinator as last seen.
    pub fn coordinator(&self) -> Option<(HostId, SocketAddr)> {
        let record = self.seen.as_ref()?.record.as_ref()?;
        (!record.is_released).then(|| (record.holder.clone(), record.address))
    }

    /// Gives the lease up, for example before the process ends.
    pub fn start_release(&mut self) {
        self.retiring = true;
        self.next_call = Duration::ZERO;
        if let Some(held) = &mut self.held {
            held.renew_at = Duration::ZERO;
        }
    }

    /// Returns whether a holder that retires has given the lease up.
    pub fn has_released(&self) -> bool {
        self.retiring && self.held.is_none()
    }

    /// Returns what to do. `has_coordinator` says whether a coordinator
    /// answers this host, which then has no need to read the record.
    pub fn step(&mut self, now: Duration, has_coordinator: bool) -> LeaseAction {
        if self.held.as_ref().is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.seen = None;
        }
        if now < self.next_call {
            return LeaseAction::Wait;
        }
        if let (Some(held), Some(seen)) = (&self.held, &self.seen) {
            if now < held.renew_at {
                return LeaseAction::Wait;
            }
            let record = self.record(held.token, self.retiring);
            let expected = Some(seen.version);
            self.next_call = now + RETRY_AFTER;
            return LeaseAction::Write { expected, record };
        }
        if self.retiring || (has_coordinator && self.seen.is_some()) {
            return LeaseAction::Wait;
        }
        self.next_call = now + RETRY_AFTER;
        if self.is_missing {
            return LeaseAction::Write { expected: None, record: self.record(1, false) };
        }
        match &self.seen {
            Some(seen) if self.may_take(now, seen) => {
                let token = seen.record.as_ref().map_or(0, |record| record.token) + 1;
                let expected = Some(seen.version);
                LeaseAction::Write { expected, record: self.record(token, false) }
            }
            _ => {
                self.next_call = now + RETRY_AFTER * 2;
                LeaseAction::Read
            }
        }
    }

    /// Takes in the answer to the call that was sent at `sent_at`.
    pub fn handle_answer(&mut self, now: Duration, sent_at: Duration, answer: LeaseAnswer) {
        match answer {
            LeaseAnswer::Found { version, record, is_written } => {
                self.is_missing = false;
                if is_written {
                    self.written(sent_at, record.as_ref());
                } else if self.held.is_some() && self.seen_version() != Some(version) {
                    // A write of this host's own that lost its answer counts
                    // as well, but its time does not: it is taken again.
                    self.held = None;
                }
                if self.seen_version() != Some(version) {
                    // The holder sent its last renewal before this answer.
                    let ends_by = now + self.lease.mul_f64(HOLD_SHARE);
                    self.seen = Some(SeenRecord { version, record, ends_by });
                }
            }
            LeaseAnswer::Missing => {
                self.seen = None;
                self.held = None;
                self.is_missing = true;
            }
            LeaseAnswer::Refused => {}
            LeaseAnswer::Unknown => {
                // A write may have taken effect; a holder that only renews
                // keeps its lease and learns the version from a conflict.
            }
        }
    }

    fn written(&mut self, sent_at: Duration, record: Option<&LeaseRecord>) {
        let Some(record) = record.filter(|record| !record.is_released) else {
            self.held = None;
            return;
        };
        let valid_until = sent_at + self.lease.mul_f64(HOLD_SHARE);
        let renew_at = sent_at + RENEW_AFTER;
        let orders_from = match &self.held {
            Some(held) if held.token == record.token => held.orders_from,
            _ => self.orders_from(sent_at),
        };
        let token = record.token;
        self.held = Some(HeldLease { token, valid_until, renew_at, orders_from });
    }

    /// Returns when orders may begin after a takeover at `now`.
    fn orders_from(&self, now: Duration) -> Duration {
        let Some(seen) = &self.seen else { return now };
        let Some(before) = &seen.record else { return now + self.lease };
        if before.holder == self.host {
            // An earlier life of this host gave the orders before.
            return now;
        }
        let last_order =
            if before.is_released { now } else { self.ends_by(seen).saturating_sub(ORDER_MARGIN) };
        now.max(last_order + self.lease + TAKE_MARGIN)
    }

    fn ends_by(&self, seen: &SeenRecord) -> Duration {
        match self.told {
            Some((version, ends_by)) if version == seen.version => ends_by.min(seen.ends_by),
            _ => seen.ends_by,
        }
    }

    fn may_take(&self, now: Duration, seen: &SeenRecord) -> bool {
        let Some(record) = &seen.record else { return true };
        let is_over = now >= self.ends_by(seen) + TAKE_MARGIN;
        record.is_released || record.holder == self.host || is_over
    }

    fn seen_version(&self) -> Option<ObjectVersion> {
        self.seen.as_ref().map(|seen| seen.version)
    }

    fn record(&self, token: u64, is_released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address,
            token,
            is_released,
        }
    }
}
