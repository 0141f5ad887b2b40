//! A lease with a fencing token that increases monotonically.
//!
//! The lease is one object in the platform's store. The process that wrote it
//! last holds it, until the object has not changed for longer than the duration
//! of the lease. Each change of the holder increments the fencing token, which
//! accompanies every order (Kleppmann, "How to do distributed locking", 2016).

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::ids::ObjectVersion;

/// Number that increases with every change of the lease holder.
pub type FencingToken = u64;

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Divisor of the lease duration that gives the margin for clock drift: a tenth.
const DRIFT_DIVISOR: u32 = 10;
/// Interval between two reads of the lease by a process that does not hold it,
/// and delay after a write that had no effect.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Value of the lease object in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FencedLease {
    /// Name of the process that holds the lease.
    pub holder: Arc<str>,
    /// Fencing token of the holder.
    pub fence: FencingToken,
    /// Number of renewals by the holder.
    pub renewal: u64,
}

#[derive(Clone, Debug)]
enum LeaseState {
    /// No call is pending.
    Idle,
    /// A read is pending.
    Reading,
    /// A write is pending.
    Writing { lease: FencedLease, sent_at: Duration },
    /// A read is pending that determines whether a write took effect.
    Checking { lease: FencedLease, sent_at: Duration },
}

/// Client that acquires, renews or watches one lease.
#[derive(Debug)]
pub struct LeaseClient {
    object_name: Arc<str>,
    own_name: Arc<str>,
    duration: Duration,
    state: LeaseState,
    next_call_at: Duration,
    /// Version of the lease object in the last read, and the time at which that
    /// version was first read.
    seen: Option<(ObjectVersion, Duration)>,
    /// The lease as last written by this process, and its version.
    held: Option<(FencedLease, ObjectVersion)>,
    valid_until: Duration,
}

impl LeaseClient {
    /// Creates a client that does not hold the lease.
    ///
    /// `own_name` is the name under which this process holds the lease.
    pub fn new(object_name: Arc<str>, own_name: Arc<str>, duration: Duration) -> LeaseClient {
        LeaseClient {
            object_name,
            own_name,
            duration,
            state: LeaseState::Idle,
            next_call_at: Duration::ZERO,
            seen: None,
            held: None,
            valid_until: Duration::ZERO,
        }
    }

    /// Returns the fencing token if this process holds the lease at `now`.
    pub fn token(&self, now: Duration) -> Option<FencingToken> {
        let held = self.held.as_ref().filter(|_| now < self.valid_until);
        held.map(|(lease, _)| lease.fence)
    }

    /// Returns the next call to the platform, if one is due.
    ///
    /// `wants_lease` states whether this process should acquire or keep the
    /// lease.
    pub fn poll(&mut self, now: Duration, wants_lease: bool) -> Option<PlatformCall> {
        if !matches!(self.state, LeaseState::Idle) || now < self.next_call_at {
            return None;
        }
        if let Some((lease, version)) = self.held.clone() {
            if !wants_lease {
                // The lease expires without renewals, so no write is needed.
                self.held = None;
                return None;
            }
            let renewed = FencedLease { renewal: lease.renewal + 1, ..lease };
            return Some(self.start_write(now, renewed, version));
        }
        self.next_call_at = now + READ_INTERVAL;
        if !wants_lease {
            self.seen = None;
            return None;
        }
        self.state = LeaseState::Reading;
        Some(PlatformCall::Read { name: self.object_name.clone() })
    }

    /// Processes the outcome of the pending call and returns the call to make
    /// next, if any.
    pub fn complete(&mut self, now: Duration, outcome: PlatformOutcome) -> Option<PlatformCall> {
        match std::mem::replace(&mut self.state, LeaseState::Idle) {
            LeaseState::Idle => None,
            LeaseState::Reading => self.handle_read(now, outcome),
            LeaseState::Writing { lease, sent_at } => {
                self.handle_write(now, lease, sent_at, outcome)
            }
            LeaseState::Checking { lease, sent_at } => {
                self.handle_check(lease, sent_at, outcome);
                None
            }
        }
    }

    /// Starts a conditional write of the lease.
    fn start_write(
        &mut self,
        now: Duration,
        lease: FencedLease,
        expected: ObjectVersion,
    ) -> PlatformCall {
        self.next_call_at = now + self.duration / RENEWALS_PER_LEASE;
        let value = serde_json::to_string(&lease).unwrap_or_default().into();
        self.state = LeaseState::Writing { lease, sent_at: now };
        PlatformCall::Write { name: self.object_name.clone(), expected, value }
    }

    /// Starts to acquire the lease if its object does not exist or has not changed
    /// for longer than the lease duration, with a margin for clock drift.
    fn handle_read(&mut self, now: Duration, outcome: PlatformOutcome) -> Option<PlatformCall> {
        let (version, fence) = match outcome {
            PlatformOutcome::Found { version, value } => {
                (version, serde_json::from_str::<FencedLease>(&value).ok()?.fence)
            }
            PlatformOutcome::Missing => (0, 0),
            _ => return None,
        };
        let since = match self.seen {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.seen = Some((version, since));
        let has_expired =
            now.saturating_sub(since) >= self.duration + self.duration / DRIFT_DIVISOR;
        if version != 0 && !has_expired {
            return None;
        }
        let lease = FencedLease { holder: self.own_name.clone(), fence: fence + 1, renewal: 0 };
        Some(self.start_write(now, lease, version))
    }

    fn handle_write(
        &mut self,
        now: Duration,
        lease: FencedLease,
        sent_at: Duration,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        match outcome {
            PlatformOutcome::Written { version } => {
                self.set_held(lease, version, sent_at);
                None
            }
            PlatformOutcome::Unknown => {
                self.state = LeaseState::Checking { lease, sent_at };
                Some(PlatformCall::Read { name: self.object_name.clone() })
            }
            PlatformOutcome::Conflict => {
                self.held = None;
                None
            }
            _ => {
                self.next_call_at = now + READ_INTERVAL;
                None
            }
        }
    }

    fn handle_check(&mut self, lease: FencedLease, sent_at: Duration, outcome: PlatformOutcome) {
        match outcome {
            PlatformOutcome::Found { version, value } => {
                let found = serde_json::from_str::<FencedLease>(&value).ok();
                match found {
                    Some(found) if found == lease => self.set_held(lease, version, sent_at),
                    Some(found) if found.holder == self.own_name => {}
                    _ => self.held = None,
                }
            }
            PlatformOutcome::Missing => self.held = None,
            _ => {}
        }
    }

    /// Records the lease as held, from the time at which the write was sent and not
    /// from that of its confirmation.
    fn set_held(&mut self, lease: FencedLease, version: ObjectVersion, sent_at: Duration) {
        self.held = Some((lease, version));
        self.valid_until = self.valid_until.max(sent_at + self.duration);
        self.seen = None;
    }
}
