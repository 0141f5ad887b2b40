//! A lease with a fencing number that only rises.
//!
//! The lease is one object in the platform. Whoever writes it last holds it,
//! until it has not changed for longer than its length; each change of holder
//! raises the fencing number, which goes with every order (Kleppmann, "How to
//! do distributed locking", 2016).

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::shares::{PlatformCall, PlatformOutcome};
use crate::ids::ObjectVersion;

/// Number that rises with every change of the holder.
pub type FencingToken = u64;

const RENEWALS_PER_LEASE: u32 = 3;
const DRIFT_DIVISOR: u32 = 10;
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// The lease as the platform keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FencedLease {
    /// Process life that holds it.
    pub holder: Arc<str>,
    /// Its fencing number.
    pub fence: FencingToken,
    /// Counts renewals by the holder.
    pub renewal: u64,
}

#[derive(Clone, Debug)]
enum LeaseStep {
    Idle,
    Reading,
    Writing { lease: FencedLease, sent_at: Duration },
    Checking { lease: FencedLease, sent_at: Duration },
}

/// Holds or watches one lease.
#[derive(Debug)]
pub struct LeaseClient {
    object: Arc<str>,
    own: Arc<str>,
    length: Duration,
    step: LeaseStep,
    due_at: Duration,
    seen: Option<(ObjectVersion, Duration)>,
    held: Option<(FencedLease, ObjectVersion)>,
    valid_until: Duration,
}

impl LeaseClient {
    /// Creates a keeper that does not hold the lease.
    pub fn new(object: Arc<str>, own: Arc<str>, length: Duration) -> LeaseClient {
        LeaseClient {
            object,
            own,
            length,
            step: LeaseStep::Idle,
            due_at: Duration::ZERO,
            seen: None,
            held: None,
            valid_until: Duration::ZERO,
        }
    }

    /// Returns the fencing number if the lease is held at `now`.
    pub fn fence(&self, now: Duration) -> Option<FencingToken> {
        let held = self.held.as_ref().filter(|_| now < self.valid_until);
        held.map(|(lease, _)| lease.fence)
    }

    /// Returns the next call to the platform, if one is due; `wants` tells
    /// whether this host would take the lease.
    pub fn poll(&mut self, now: Duration, wants: bool) -> Option<PlatformCall> {
        if !matches!(self.step, LeaseStep::Idle) || now < self.due_at {
            return None;
        }
        if let Some((lease, version)) = self.held.clone() {
            if !wants {
                // It runs out by itself; giving it up early needs no write.
                self.held = None;
                return None;
            }
            let renewed = FencedLease { renewal: lease.renewal + 1, ..lease };
            return Some(self.write(now, renewed, version));
        }
        self.due_at = now + READ_INTERVAL;
        if !wants {
            self.seen = None;
            return None;
        }
        self.step = LeaseStep::Reading;
        Some(PlatformCall::Read { name: self.object.clone() })
    }

    /// Takes in how the last call ended and returns the next one, if any.
    pub fn complete(&mut self, now: Duration, outcome: PlatformOutcome) -> Option<PlatformCall> {
        match std::mem::replace(&mut self.step, LeaseStep::Idle) {
            LeaseStep::Idle => None,
            LeaseStep::Reading => self.read(now, outcome),
            LeaseStep::Writing { lease, sent_at } => self.written(now, lease, sent_at, outcome),
            LeaseStep::Checking { lease, sent_at } => {
                self.checked(lease, sent_at, outcome);
                None
            }
        }
    }

    fn write(
        &mut self,
        now: Duration,
        lease: FencedLease,
        expected: ObjectVersion,
    ) -> PlatformCall {
        self.due_at = now + self.length / RENEWALS_PER_LEASE;
        let value = serde_json::to_string(&lease).unwrap_or_default().into();
        self.step = LeaseStep::Writing { lease, sent_at: now };
        PlatformCall::Write { name: self.object.clone(), expected, value }
    }

    /// Takes the lease if it has not changed for longer than its length.
    fn read(&mut self, now: Duration, outcome: PlatformOutcome) -> Option<PlatformCall> {
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
        let waited = now.saturating_sub(since) >= self.length + self.length / DRIFT_DIVISOR;
        if version != 0 && !waited {
            return None;
        }
        let lease = FencedLease { holder: self.own.clone(), fence: fence + 1, renewal: 0 };
        Some(self.write(now, lease, version))
    }

    fn written(
        &mut self,
        now: Duration,
        lease: FencedLease,
        sent_at: Duration,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        match outcome {
            PlatformOutcome::Written { version } => {
                self.hold(lease, version, sent_at);
                None
            }
            PlatformOutcome::Unknown => {
                self.step = LeaseStep::Checking { lease, sent_at };
                Some(PlatformCall::Read { name: self.object.clone() })
            }
            PlatformOutcome::Conflict => {
                self.held = None;
                None
            }
            _ => {
                self.due_at = now + READ_INTERVAL;
                None
            }
        }
    }

    fn checked(&mut self, lease: FencedLease, sent_at: Duration, outcome: PlatformOutcome) {
        match outcome {
            PlatformOutcome::Found { version, value } => {
                let found = serde_json::from_str::<FencedLease>(&value).ok();
                match found {
                    Some(found) if found == lease => self.hold(lease, version, sent_at),
                    Some(found) if found.holder == self.own => {}
                    _ => self.held = None,
                }
            }
            PlatformOutcome::Missing => self.held = None,
            _ => {}
        }
    }

    /// Counts the lease from when the write was sent, not when it was seen.
    fn hold(&mut self, lease: FencedLease, version: ObjectVersion, sent_at: Duration) {
        self.held = Some((lease, version));
        self.valid_until = self.valid_until.max(sent_at + self.length);
        self.seen = None;
    }
}
