//! Base shares: the parts of every allowance that each host owns.
//!
//! One ledger object in the platform records the parts of each incarnation.
//! Only the owner of parts gives them away, and it stops using them before it
//! writes. The parts of a failed owner are reclaimed once its lease object
//! has not changed for [`RECLAIM_GRACE`] longer than a lease, with a margin for
//! clock drift. The lease object must first be marked as reclaimed, so that a
//! paused owner fails to renew (Gray and Cheriton, "Leases", 1989).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::allowance::{LOAN_DURATION, LOAN_MARGIN};
use crate::decision::invariant::Invariant;
use crate::ids::{HostId, Incarnation, ObjectVersion, PARTS_PER_ALLOWANCE, ShareParts};

/// Name of the ledger object in the platform.
pub const LEDGER_OBJECT: &str = "allowance/ledger";
/// Minimum time between two reads of the ledger in normal operation.
pub const LEDGER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum time between two reads of the ledger, for each other live member. With
/// many members, all of them together make about 50 reads per second.
pub const LEDGER_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Time to wait beyond the end of a lease: the longest loan and its margins for
/// clock drift.
pub const RECLAIM_GRACE: Duration =
    Duration::from_millis((LOAN_DURATION.as_millis() + 2 * LOAN_MARGIN.as_millis()) as u64);

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Divisor of the lease duration that gives the margin for clock drift: a tenth.
const DRIFT_DIVISOR: u32 = 10;
/// Time between two attempts after a call that failed or conflicted, and
/// between two reads of the ledger by a host that is leaving.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Key of one incarnation of a host in the ledger.
pub type ShareKey = Arc<str>;

/// Returns the key of an incarnation in the ledger.
///
/// The generation increases each time another host reclaims the parts, so that
/// parts never return to a key that was reclaimed.
pub fn share_key(host: &HostId, incarnation: Incarnation, generation: u64) -> ShareKey {
    format!("{host}~{incarnation}~{generation}").into()
}

/// The ledger: the parts of each incarnation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareLedger {
    /// Parts of every allowance that each incarnation owns.
    pub parts: BTreeMap<ShareKey, ShareParts>,
}

/// The lease of one incarnation on its parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareLease {
    /// Number of the renewal, counted from 1.
    pub renewal: u64,
    /// Whether another host has reclaimed the parts, which ends the lease.
    pub reclaimed: bool,
}

/// A call to the platform's object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// Reads an object.
    Read {
        /// Name of the object.
        name: Arc<str>,
    },
    /// Writes an object if it still has the expected version.
    Write {
        /// Name of the object.
        name: Arc<str>,
        /// Version that the object must have; 0 if the write creates it.
        expected: ObjectVersion,
        /// New value, in JSON.
        value: Arc<str>,
    },
}

/// The outcome of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformOutcome {
    /// The object was read.
    Found {
        /// Version of the object.
        version: ObjectVersion,
        /// Value of the object, in JSON.
        value: Arc<str>,
    },
    /// The object does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: ObjectVersion,
    },
    /// The object has another version, and the write had no effect.
    Conflict,
    /// No answer arrived. A write may have taken effect, or may still do so.
    Unknown,
    /// The call certainly had no effect.
    NotRun,
}

/// The call to the platform whose outcome is awaited.
#[derive(Clone, Debug)]
enum ShareStep {
    Idle,
    Renewing {
        renewal: u64,
    },
    /// Reads the own lease after a renewal with a conflict or unknown outcome.
    RecheckingLease,
    ReadingLedger,
    WritingLedger {
        ledger: ShareLedger,
        expected_version: ObjectVersion,
    },
    /// Reads the lease of an owner that is absent.
    ReadingLease {
        key: ShareKey,
    },
    /// Marks the lease of an absent owner as reclaimed.
    Fencing {
        key: ShareKey,
    },
}

/// The lease of an absent owner, and the local time since which its version has
/// not changed.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: ObjectVersion,
    since: Duration,
    reclaimed: bool,
}

/// The state of the host on which a [`ShareMachine`] bases its decisions.
#[derive(Clone, Debug, Default)]
pub struct ShareContext {
    /// Keys of the other live members that are joining or serving, not leaving.
    pub live: Vec<ShareKey>,
    /// Base parts of this host that are not lent out in any workspace.
    pub unlent_parts: ShareParts,
    /// Whether this host is about to stop.
    pub is_leaving: bool,
    /// Whether this host is the one that reclaims the parts of failed hosts.
    pub is_reclaimer: bool,
}

/// The state machine that synchronises a host's base share with the ledger and
/// renews the lease on it.
#[derive(Debug)]
pub struct ShareMachine {
    key: ShareKey,
    host: HostId,
    incarnation: Incarnation,
    /// Number of times that another host reclaimed the parts of this incarnation.
    generation: u64,
    /// Length of the lease.
    lease: Duration,
    step: ShareStep,
    /// Parts that this host owns, usable until `valid_until`.
    base: ShareParts,
    /// The last ledger read or written, with its version.
    ledger: Option<(ObjectVersion, ShareLedger)>,
    /// Version of the ledger on which a write is based whose outcome is pending or
    /// unknown.
    unconfirmed_write: Option<ObjectVersion>,
    own_lease_version: ObjectVersion,
    renewal: u64,
    /// Local time at which each renewal was sent, by its number.
    renewals_sent: BTreeMap<u64, Duration>,
    /// Local time until which the base share may be used.
    valid_until: Duration,
    next_renewal: Duration,
    next_ledger_read: Duration,
    /// Leases of owners that are absent.
    observed: BTreeMap<ShareKey, ObservedLease>,
    /// Absent owners whose leases are to be read.
    lease_reads: Vec<ShareKey>,
    /// Incarnations whose parts the last confirmed write increased.
    receivers: Vec<ShareKey>,
}

impl ShareMachine {
    /// Creates a machine that owns no parts yet.
    pub fn new(host: HostId, incarnation: Incarnation, lease: Duration) -> ShareMachine {
        ShareMachine {
            key: share_key(&host, incarnation, 0),
            host,
            incarnation,
            generation: 0,
            lease,
            step: ShareStep::Idle,
            base: 0,
            ledger: None,
            unconfirmed_write: None,
            own_lease_version: 0,
            renewal: 0,
            renewals_sent: BTreeMap::new(),
            valid_until: Duration::ZERO,
            next_renewal: Duration::ZERO,
            next_ledger_read: Duration::ZERO,
            observed: BTreeMap::new(),
            lease_reads: Vec::new(),
            receivers: Vec::new(),
        }
    }

    /// Returns the base parts that may be used at `now`.
    pub fn usable_base(&self, now: Duration) -> ShareParts {
        if now < self.valid_until { self.base } else { 0 }
    }

    /// Returns the key under which the ledger lists this host.
    pub fn key(&self) -> &ShareKey {
        &self.key
    }

    /// Returns the local time until which the base share may be used.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Returns whether the ledger certainly has no entry for this host.
    ///
    /// A base share of zero is not enough: the write that gives the parts away
    /// may not have taken effect yet, and would be lost if the process exited.
    pub fn has_no_entry(&self) -> bool {
        let is_listed = |ledger: &ShareLedger| ledger.parts.contains_key(&self.key);
        self.base == 0
            && self.unconfirmed_write.is_none()
            && self.ledger.as_ref().is_none_or(|(_, ledger)| !is_listed(ledger))
    }

    /// Takes the incarnations whose parts a confirmed write has increased.
    pub fn take_receivers(&mut self) -> Vec<ShareKey> {
        std::mem::take(&mut self.receivers)
    }

    /// Makes the next read of the ledger due immediately.
    pub fn read_ledger_soon(&mut self, now: Duration) {
        self.next_ledger_read = self.next_ledger_read.min(now);
    }

    /// Returns the next call to the platform if one is due and none is pending.
    pub fn poll(&mut self, now: Duration, context: &ShareContext) -> Option<PlatformCall> {
        if !matches!(self.step, ShareStep::Idle) {
            return None;
        }
        if now >= self.next_renewal {
            self.next_renewal = now + self.lease / RENEWALS_PER_LEASE;
            return Some(self.start_renewal(now));
        }
        if let Some(key) = self.lease_reads.pop() {
            self.step = ShareStep::ReadingLease { key: key.clone() };
            return Some(PlatformCall::Read { name: lease_object_name(&key) });
        }
        if now >= self.next_ledger_read {
            let members = LEDGER_INTERVAL_PER_MEMBER * context.live.len() as u32;
            let interval =
                if context.is_leaving { RETRY_INTERVAL } else { LEDGER_INTERVAL.max(members) };
            self.next_ledger_read = now + interval;
            self.step = ShareStep::ReadingLedger;
            return Some(PlatformCall::Read { name: LEDGER_OBJECT.into() });
        }
        None
    }

    /// Handles the outcome of the last call and returns the next one, if any.
    pub fn complete(
        &mut self,
        now: Duration,
        context: &ShareContext,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        match std::mem::replace(&mut self.step, ShareStep::Idle) {
            ShareStep::Idle => None,
            ShareStep::Renewing { renewal } => self.handle_renewal(now, renewal, outcome),
            ShareStep::RecheckingLease => self.handle_lease_recheck(now, outcome),
            ShareStep::ReadingLedger => self.handle_ledger_read(now, context, outcome),
            ShareStep::WritingLedger { ledger, expected_version } => {
                self.handle_ledger_write(now, ledger, expected_version, outcome);
                None
            }
            ShareStep::ReadingLease { key } => self.observe_lease(now, context, key, outcome),
            ShareStep::Fencing { key } => {
                // The version read next shows whether the mark took effect.
                self.observed.remove(&key);
                self.lease_reads.push(key);
                None
            }
        }
    }

    fn start_renewal(&mut self, now: Duration) -> PlatformCall {
        self.renewal += 1;
        self.renewals_sent.insert(self.renewal, now);
        self.step = ShareStep::Renewing { renewal: self.renewal };
        let lease = ShareLease { renewal: self.renewal, reclaimed: false };
        PlatformCall::Write {
            name: lease_object_name(&self.key),
            expected: self.own_lease_version,
            value: encode_json(&lease),
        }
    }

    fn handle_renewal(
        &mut self,
        now: Duration,
        renewal: u64,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        match outcome {
            PlatformOutcome::Written { version } => {
                self.confirm_lease(version, renewal);
                None
            }
            PlatformOutcome::Conflict | PlatformOutcome::Unknown => {
                self.step = ShareStep::RecheckingLease;
                Some(PlatformCall::Read { name: lease_object_name(&self.key) })
            }
            _ => {
                self.next_renewal = now + RETRY_INTERVAL;
                None
            }
        }
    }

    fn handle_lease_recheck(
        &mut self,
        now: Duration,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        self.next_renewal = now + RETRY_INTERVAL;
        if let PlatformOutcome::Found { version, value } = outcome
            && let Ok(lease) = serde_json::from_str::<ShareLease>(&value)
        {
            if lease.reclaimed {
                *self = ShareMachine {
                    generation: self.generation + 1,
                    ..ShareMachine::new(self.host.clone(), self.incarnation, self.lease)
                };
                self.key = share_key(&self.host, self.incarnation, self.generation);
            } else {
                self.confirm_lease(version, lease.renewal);
            }
        }
        None
    }

    /// Extends the lease from the time when the renewal was sent, not from the
    /// time when its outcome was observed.
    fn confirm_lease(&mut self, version: ObjectVersion, renewal: u64) {
        self.own_lease_version = version;
        if let Some(sent_at) = self.renewals_sent.get(&renewal).copied() {
            self.valid_until = self.valid_until.max(sent_at + self.lease);
        }
        self.renewals_sent.retain(|number, _| *number > renewal);
    }

    fn handle_ledger_read(
        &mut self,
        now: Duration,
        context: &ShareContext,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        let (version, ledger) = match outcome {
            PlatformOutcome::Found { version, value } => {
                (version, serde_json::from_str::<ShareLedger>(&value).ok()?)
            }
            PlatformOutcome::Missing => {
                let ledger =
                    ShareLedger { parts: [(self.key.clone(), PARTS_PER_ALLOWANCE)].into() };
                return Some(self.write_ledger(ledger, 0));
            }
            _ => return None,
        };
        let total: u128 = ledger.parts.values().map(|parts| u128::from(*parts)).sum();
        if !Invariant::SharesWithinWhole.check(total <= u128::from(PARTS_PER_ALLOWANCE)) {
            return None;
        }
        self.apply_ledger(now, version, &ledger);
        if self.unconfirmed_write == Some(version) {
            // Writing the same value on the same version settles the
            // unconfirmed write: either this write conflicts, because the other
            // took effect, or the other will conflict if it still arrives.
            return Some(self.write_ledger(ledger, version));
        }
        self.ledger = Some((version, ledger));
        self.queue_lease_reads(context);
        self.rebalance(context)
    }

    /// Sets the base share to the recorded parts.
    ///
    /// While a write on this version is unconfirmed, it may still take effect
    /// and give parts away, so the base share may only shrink. The same holds
    /// after the lease has expired.
    fn apply_ledger(&mut self, now: Duration, version: ObjectVersion, ledger: &ShareLedger) {
        let recorded = ledger.parts.get(&self.key).copied().unwrap_or(0);
        if self.unconfirmed_write == Some(version) {
            self.base = self.base.min(recorded);
            return;
        }
        self.unconfirmed_write = None;
        if now < self.valid_until || recorded < self.base {
            self.base = recorded;
        }
    }

    /// Queues a read of the lease of every owner that is not a live member, if
    /// this host reclaims the parts of failed hosts.
    fn queue_lease_reads(&mut self, context: &ShareContext) {
        let Some((_, ledger)) = &self.ledger else { return };
        if !context.is_reclaimer || context.is_leaving {
            self.observed.clear();
            return;
        }
        let is_absent = |key: &&ShareKey| **key != self.key && !context.live.contains(*key);
        self.lease_reads = ledger.parts.keys().filter(is_absent).cloned().collect();
        self.observed.retain(|key, _| self.lease_reads.contains(key));
    }

    /// Gives surplus parts to members that own less than a fair share, or all
    /// unlent parts if this host is leaving.
    ///
    /// A host that stays gives parts only if the surplus is at least a fifth of
    /// a fair share.
    fn rebalance(&mut self, context: &ShareContext) -> Option<PlatformCall> {
        let (version, ledger) = self.ledger.clone()?;
        let owned = ledger.parts.get(&self.key).copied().unwrap_or(0);
        if owned == 0 || context.live.is_empty() {
            return None;
        }
        let mut next = ledger;
        let hosts = context.live.len() as u64 + u64::from(!context.is_leaving);
        let fair_share = PARTS_PER_ALLOWANCE / hosts;
        let kept = if context.is_leaving { 0 } else { fair_share };
        let mut surplus = self.base.min(owned).saturating_sub(kept).min(context.unlent_parts);
        if !context.is_leaving && surplus < fair_share / 5 {
            return None;
        }
        for key in &context.live {
            let owned_by_member = next.parts.entry(key.clone()).or_default();
            let given = surplus.min(fair_share.saturating_sub(*owned_by_member));
            *owned_by_member += given;
            surplus -= given;
        }
        if context.is_leaving
            && let Some(owned_by_member) = next.parts.get_mut(&context.live[0])
        {
            *owned_by_member += std::mem::take(&mut surplus);
        }
        let donated: ShareParts = count_parts(&next) - count_parts(&self.ledger.as_ref()?.1);
        if donated == 0 {
            return None;
        }
        next.parts.insert(self.key.clone(), owned - donated);
        next.parts.retain(|_, parts| *parts > 0);
        self.base = self.base.min(owned - donated);
        Some(self.write_ledger(next, version))
    }

    fn write_ledger(
        &mut self,
        ledger: ShareLedger,
        expected_version: ObjectVersion,
    ) -> PlatformCall {
        let value = encode_json(&ledger);
        self.step = ShareStep::WritingLedger { ledger, expected_version };
        self.unconfirmed_write = Some(expected_version);
        PlatformCall::Write { name: LEDGER_OBJECT.into(), expected: expected_version, value }
    }

    fn handle_ledger_write(
        &mut self,
        now: Duration,
        ledger: ShareLedger,
        expected_version: ObjectVersion,
        outcome: PlatformOutcome,
    ) {
        match outcome {
            PlatformOutcome::Written { version } => {
                self.unconfirmed_write = None;
                self.receivers = self.find_receivers(&ledger);
                self.apply_ledger(now, version, &ledger);
                self.ledger = Some((version, ledger));
            }
            PlatformOutcome::Conflict => self.unconfirmed_write = None,
            // Even if this write had no effect, an earlier write on the same
            // version may still be unconfirmed.
            _ => self.unconfirmed_write = Some(expected_version),
        }
        self.next_ledger_read = now + RETRY_INTERVAL;
    }

    /// Returns the incarnations whose parts a new ledger increases.
    fn find_receivers(&self, ledger: &ShareLedger) -> Vec<ShareKey> {
        let before = self.ledger.as_ref().map(|(_, ledger)| ledger);
        let parts = |key: &ShareKey| before.and_then(|before| before.parts.get(key)).copied();
        let has_grown = |(key, after): &(&ShareKey, &ShareParts)| Some(**after) > parts(key);
        ledger.parts.iter().filter(has_grown).map(|(key, _)| key.clone()).collect()
    }

    /// Tracks the lease of an absent owner until it may be reclaimed.
    fn observe_lease(
        &mut self,
        now: Duration,
        context: &ShareContext,
        key: ShareKey,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        let (version, lease) = match outcome {
            PlatformOutcome::Found { version, value } => {
                (version, serde_json::from_str::<ShareLease>(&value).ok()?)
            }
            // An owner that never renewed its lease has not used its parts.
            PlatformOutcome::Missing => (0, ShareLease { renewal: 0, reclaimed: false }),
            _ => return None,
        };
        let observation = ObservedLease { version, since: now, reclaimed: lease.reclaimed };
        let record = self.observed.entry(key.clone()).or_insert(observation);
        if record.version != version {
            *record = observation;
        }
        if record.reclaimed {
            return self.take_over_parts(context, &key);
        }
        let reclaim_delay = self.lease + self.lease / DRIFT_DIVISOR + RECLAIM_GRACE;
        if now.saturating_sub(record.since) < reclaim_delay {
            return None;
        }
        self.step = ShareStep::Fencing { key: key.clone() };
        let lease = ShareLease { renewal: lease.renewal, reclaimed: true };
        Some(PlatformCall::Write {
            name: lease_object_name(&key),
            expected: version,
            value: encode_json(&lease),
        })
    }

    /// Moves the parts of a reclaimed owner to this host.
    fn take_over_parts(&mut self, context: &ShareContext, key: &ShareKey) -> Option<PlatformCall> {
        let (version, mut ledger) = self.ledger.clone()?;
        if self.unconfirmed_write.is_some() || context.is_leaving {
            return None;
        }
        let parts = ledger.parts.remove(key)?;
        *ledger.parts.entry(self.key.clone()).or_default() += parts;
        Some(self.write_ledger(ledger, version))
    }
}

fn count_parts(ledger: &ShareLedger) -> ShareParts {
    ledger.parts.values().sum()
}

fn lease_object_name(key: &ShareKey) -> Arc<str> {
    format!("allowance/lease/{key}").into()
}

fn encode_json(value: &impl Serialize) -> Arc<str> {
    serde_json::to_string(value).unwrap_or_default().into()
}
