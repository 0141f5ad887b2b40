//! Base shares: which host owns which part of every allowance.
//!
//! One ledger object in the platform gives each process life its parts. Only
//! the owner takes parts away from itself, and it stops using them before it
//! writes. The parts of a dead owner are taken over once its lease object has
//! not changed for [`RECLAIM_GRACE`] longer than a lease, and only after the
//! lease object itself was marked as reclaimed, so that a paused owner fails
//! to renew (Gray and Cheriton, "Leases", 1989).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::allowance::{LOAN_DURATION, LOAN_MARGIN};
use crate::decision::invariant::Invariant;
use crate::ids::{HostId, Incarnation, ObjectVersion, PARTS_PER_ALLOWANCE, ShareParts};

/// Name of the ledger in the platform.
pub const LEDGER_OBJECT: &str = "allowance/ledger";
/// Time between two reads of the ledger.
pub const LEDGER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that every member adds to the interval, which bounds all reads to 50 a
/// second.
pub const LEDGER_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);
/// Wait beyond a lease: outstanding loans, and clocks that drift by a tenth.
pub const RECLAIM_GRACE: Duration =
    Duration::from_millis((LOAN_DURATION.as_millis() + 2 * LOAN_MARGIN.as_millis()) as u64);

const RENEWALS_PER_LEASE: u32 = 3;
const DRIFT_DIVISOR: u32 = 10;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// One process life of a host, as the ledger names it.
pub type ShareKey = Arc<str>;

/// Returns the name of a process life in the ledger.
///
/// The generation rises each time that another host has ended the lease, so
/// that parts never return to a name that was reclaimed.
pub fn share_key(host: &HostId, incarnation: Incarnation, generation: u64) -> ShareKey {
    format!("{host}~{incarnation}~{generation}").into()
}

/// The ledger: parts by process life.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareLedger {
    /// Parts of every allowance that each process life owns.
    pub parts: BTreeMap<ShareKey, ShareParts>,
}

/// The lease of one process life on its parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShareLease {
    /// Counts renewals.
    pub renewal: u64,
    /// Whether another host has ended the lease.
    pub reclaimed: bool,
}

/// A call to the platform's object API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// Reads an object.
    Read {
        /// Its name.
        name: Arc<str>,
    },
    /// Writes an object if it still has a version; zero creates it.
    Write {
        /// Its name.
        name: Arc<str>,
        /// Version that it must have.
        expected: ObjectVersion,
        /// New value, in JSON.
        value: Arc<str>,
    },
}

/// How a call to the platform ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformOutcome {
    /// The object was read.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its value, in JSON.
        value: Arc<str>,
    },
    /// There is no such object.
    Missing,
    /// The write took effect.
    Written {
        /// The object's new version.
        version: ObjectVersion,
    },
    /// The object has another version; the write had no effect.
    Conflict,
    /// No answer came: a write may have taken effect, or may yet.
    Unknown,
    /// The call certainly had no effect.
    NotRun,
}

#[derive(Clone, Debug)]
enum KeeperStep {
    Idle,
    Renewing { renewal: u64 },
    RecheckingLease,
    ReadingLedger,
    WritingLedger { ledger: ShareLedger, on: ObjectVersion },
    ReadingLease { key: ShareKey },
    Fencing { key: ShareKey },
}

#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: ObjectVersion,
    since: Duration,
    reclaimed: bool,
}

/// What the keeper needs to know of its host.
#[derive(Clone, Debug, Default)]
pub struct KeeperView {
    /// Process lives that are heard from, without this one.
    pub live: Vec<ShareKey>,
    /// Base parts of this host that are not lent out in any workspace.
    pub unlent: ShareParts,
    /// Whether this host is about to stop.
    pub leaving: bool,
    /// Whether this host is the one that takes over the parts of the dead.
    pub reclaims: bool,
}

/// Keeps this host's base share in step with the ledger.
#[derive(Debug)]
pub struct ShareKeeper {
    key: ShareKey,
    host: HostId,
    incarnation: Incarnation,
    generation: u64,
    lease: Duration,
    step: KeeperStep,
    base: ShareParts,
    ledger: Option<(ObjectVersion, ShareLedger)>,
    in_doubt: Option<ObjectVersion>,
    lease_version: ObjectVersion,
    renewal: u64,
    sent: BTreeMap<u64, Duration>,
    valid_until: Duration,
    renew_at: Duration,
    ledger_at: Duration,
    observed: BTreeMap<ShareKey, ObservedLease>,
    probes: Vec<ShareKey>,
    receivers: Vec<ShareKey>,
}

impl ShareKeeper {
    /// Creates a keeper that owns nothing yet.
    pub fn new(host: HostId, incarnation: Incarnation, lease: Duration) -> ShareKeeper {
        ShareKeeper {
            key: share_key(&host, incarnation, 0),
            host,
            incarnation,
            generation: 0,
            lease,
            step: KeeperStep::Idle,
            base: 0,
            ledger: None,
            in_doubt: None,
            lease_version: 0,
            renewal: 0,
            sent: BTreeMap::new(),
            valid_until: Duration::ZERO,
            renew_at: Duration::ZERO,
            ledger_at: Duration::ZERO,
            observed: BTreeMap::new(),
            probes: Vec::new(),
            receivers: Vec::new(),
        }
    }

    /// Returns the base parts that may be used at `now`.
    pub fn usable_base(&self, now: Duration) -> ShareParts {
        if now < self.valid_until { self.base } else { 0 }
    }

    /// Returns the name under which the ledger lists this host now.
    pub fn key(&self) -> &ShareKey {
        &self.key
    }

    /// Returns until when the base share may be used.
    pub fn valid_until(&self) -> Duration {
        self.valid_until
    }

    /// Returns whether the ledger certainly lists nothing for this host.
    ///
    /// Owning nothing any more is not enough: the write that gives the parts
    /// away may still be lost with the process.
    pub fn is_settled(&self) -> bool {
        let listed = |ledger: &ShareLedger| ledger.parts.contains_key(&self.key);
        self.base == 0
            && self.in_doubt.is_none()
            && self.ledger.as_ref().is_none_or(|(_, ledger)| !listed(ledger))
    }

    /// Returns the process lives that a confirmed write gave parts to.
    pub fn take_receivers(&mut self) -> Vec<ShareKey> {
        std::mem::take(&mut self.receivers)
    }

    /// Makes the next read of the ledger due at once.
    pub fn expect_change(&mut self, now: Duration) {
        self.ledger_at = self.ledger_at.min(now);
    }

    /// Returns the next call to the platform, if one is due.
    pub fn poll(&mut self, now: Duration, view: &KeeperView) -> Option<PlatformCall> {
        if !matches!(self.step, KeeperStep::Idle) {
            return None;
        }
        if now >= self.renew_at {
            self.renew_at = now + self.lease / RENEWALS_PER_LEASE;
            return Some(self.renew(now));
        }
        if let Some(key) = self.probes.pop() {
            self.step = KeeperStep::ReadingLease { key: key.clone() };
            return Some(PlatformCall::Read { name: lease_object(&key) });
        }
        if now >= self.ledger_at {
            let members = LEDGER_INTERVAL_PER_MEMBER * view.live.len() as u32;
            let interval = if view.leaving { RETRY_INTERVAL } else { LEDGER_INTERVAL.max(members) };
            self.ledger_at = now + interval;
            self.step = KeeperStep::ReadingLedger;
            return Some(PlatformCall::Read { name: LEDGER_OBJECT.into() });
        }
        None
    }

    /// Takes in how the last call ended and returns the next one, if any.
    pub fn complete(
        &mut self,
        now: Duration,
        view: &KeeperView,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        match std::mem::replace(&mut self.step, KeeperStep::Idle) {
            KeeperStep::Idle => None,
            KeeperStep::Renewing { renewal } => self.renewed(now, renewal, outcome),
            KeeperStep::RecheckingLease => self.rechecked(now, outcome),
            KeeperStep::ReadingLedger => self.ledger_read(now, view, outcome),
            KeeperStep::WritingLedger { ledger, on } => {
                self.ledger_written(now, ledger, on, outcome);
                None
            }
            KeeperStep::ReadingLease { key } => self.observe(now, view, key, outcome),
            KeeperStep::Fencing { key } => {
                // The version read next tells whether the mark took effect.
                self.observed.remove(&key);
                self.probes.push(key);
                None
            }
        }
    }

    fn renew(&mut self, now: Duration) -> PlatformCall {
        self.renewal += 1;
        self.sent.insert(self.renewal, now);
        self.step = KeeperStep::Renewing { renewal: self.renewal };
        let lease = ShareLease { renewal: self.renewal, reclaimed: false };
        PlatformCall::Write {
            name: lease_object(&self.key),
            expected: self.lease_version,
            value: to_json(&lease),
        }
    }

    fn renewed(
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
                self.step = KeeperStep::RecheckingLease;
                Some(PlatformCall::Read { name: lease_object(&self.key) })
            }
            _ => {
                self.renew_at = now + RETRY_INTERVAL;
                None
            }
        }
    }

    fn rechecked(&mut self, now: Duration, outcome: PlatformOutcome) -> Option<PlatformCall> {
        self.renew_at = now + RETRY_INTERVAL;
        if let PlatformOutcome::Found { version, value } = outcome
            && let Ok(lease) = serde_json::from_str::<ShareLease>(&value)
        {
            if lease.reclaimed {
                *self = ShareKeeper {
                    generation: self.generation + 1,
                    ..ShareKeeper::new(self.host.clone(), self.incarnation, self.lease)
                };
                self.key = share_key(&self.host, self.incarnation, self.generation);
            } else {
                self.confirm_lease(version, lease.renewal);
            }
        }
        None
    }

    /// Counts the lease from when the renewal was sent, not when it was seen.
    fn confirm_lease(&mut self, version: ObjectVersion, renewal: u64) {
        self.lease_version = version;
        if let Some(sent_at) = self.sent.get(&renewal).copied() {
            self.valid_until = self.valid_until.max(sent_at + self.lease);
        }
        self.sent.retain(|number, _| *number > renewal);
    }

    fn ledger_read(
        &mut self,
        now: Duration,
        view: &KeeperView,
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
        self.adopt(now, version, &ledger);
        if self.in_doubt == Some(version) {
            // A write of the same value settles whether the one in doubt can
            // still arrive: either it conflicts now, or it will conflict later.
            return Some(self.write_ledger(ledger, version));
        }
        self.ledger = Some((version, ledger));
        self.probe_absent(view);
        self.rebalance(view)
    }

    /// Takes the recorded parts as this host's base share.
    ///
    /// While a write is in doubt on the version read, the recorded parts may
    /// already be promised away: the write may still arrive.
    fn adopt(&mut self, now: Duration, version: ObjectVersion, ledger: &ShareLedger) {
        let recorded = ledger.parts.get(&self.key).copied().unwrap_or(0);
        if self.in_doubt == Some(version) {
            self.base = self.base.min(recorded);
            return;
        }
        self.in_doubt = None;
        if now < self.valid_until || recorded < self.base {
            self.base = recorded;
        }
    }

    fn probe_absent(&mut self, view: &KeeperView) {
        let Some((_, ledger)) = &self.ledger else { return };
        if !view.reclaims || view.leaving {
            self.observed.clear();
            return;
        }
        let absent = |key: &&ShareKey| **key != self.key && !view.live.contains(*key);
        self.probes = ledger.parts.keys().filter(absent).cloned().collect();
        self.observed.retain(|key, _| self.probes.contains(key));
    }

    /// Gives parts to hosts that own less than a fair share, or all on leaving.
    fn rebalance(&mut self, view: &KeeperView) -> Option<PlatformCall> {
        let (version, ledger) = self.ledger.clone()?;
        let owned = ledger.parts.get(&self.key).copied().unwrap_or(0);
        if owned == 0 || view.live.is_empty() {
            return None;
        }
        let mut next = ledger;
        let hosts = view.live.len() as u64 + u64::from(!view.leaving);
        let fair = PARTS_PER_ALLOWANCE / hosts;
        let keep = if view.leaving { 0 } else { fair };
        let mut left = self.base.min(owned).saturating_sub(keep).min(view.unlent);
        if !view.leaving && left < fair / 5 {
            return None;
        }
        for key in &view.live {
            let theirs = next.parts.entry(key.clone()).or_default();
            let given = left.min(fair.saturating_sub(*theirs));
            *theirs += given;
            left -= given;
        }
        if view.leaving
            && let Some(theirs) = next.parts.get_mut(&view.live[0])
        {
            *theirs += std::mem::take(&mut left);
        }
        let donated: ShareParts = total(&next) - total(&self.ledger.as_ref()?.1);
        if donated == 0 {
            return None;
        }
        next.parts.insert(self.key.clone(), owned - donated);
        next.parts.retain(|_, parts| *parts > 0);
        self.base = self.base.min(owned - donated);
        Some(self.write_ledger(next, version))
    }

    fn write_ledger(&mut self, ledger: ShareLedger, on: ObjectVersion) -> PlatformCall {
        let value = to_json(&ledger);
        self.step = KeeperStep::WritingLedger { ledger, on };
        self.in_doubt = Some(on);
        PlatformCall::Write { name: LEDGER_OBJECT.into(), expected: on, value }
    }

    fn ledger_written(
        &mut self,
        now: Duration,
        ledger: ShareLedger,
        on: ObjectVersion,
        outcome: PlatformOutcome,
    ) {
        match outcome {
            PlatformOutcome::Written { version } => {
                self.in_doubt = None;
                self.receivers = self.risen(&ledger);
                self.adopt(now, version, &ledger);
                self.ledger = Some((version, ledger));
            }
            PlatformOutcome::Conflict => self.in_doubt = None,
            // An earlier write on this version may be in doubt even where this
            // one certainly did not run.
            _ => self.in_doubt = Some(on),
        }
        self.ledger_at = now + RETRY_INTERVAL;
    }

    fn risen(&self, ledger: &ShareLedger) -> Vec<ShareKey> {
        let before = self.ledger.as_ref().map(|(_, ledger)| ledger);
        let parts = |key: &ShareKey| before.and_then(|before| before.parts.get(key)).copied();
        let rose = |(key, now): &(&ShareKey, &ShareParts)| Some(**now) > parts(key);
        ledger.parts.iter().filter(rose).map(|(key, _)| key.clone()).collect()
    }

    /// Follows the lease of an absent owner until it may be reclaimed.
    fn observe(
        &mut self,
        now: Duration,
        view: &KeeperView,
        key: ShareKey,
        outcome: PlatformOutcome,
    ) -> Option<PlatformCall> {
        let (version, lease) = match outcome {
            PlatformOutcome::Found { version, value } => {
                (version, serde_json::from_str::<ShareLease>(&value).ok()?)
            }
            // An owner that never renewed has not used its parts.
            PlatformOutcome::Missing => (0, ShareLease { renewal: 0, reclaimed: false }),
            _ => return None,
        };
        let seen = ObservedLease { version, since: now, reclaimed: lease.reclaimed };
        let record = self.observed.entry(key.clone()).or_insert(seen);
        if record.version != version {
            *record = seen;
        }
        if record.reclaimed {
            return self.take_over(view, &key);
        }
        let lapsed = self.lease + self.lease / DRIFT_DIVISOR + RECLAIM_GRACE;
        if now.saturating_sub(record.since) < lapsed {
            return None;
        }
        self.step = KeeperStep::Fencing { key: key.clone() };
        let lease = ShareLease { renewal: lease.renewal, reclaimed: true };
        Some(PlatformCall::Write {
            name: lease_object(&key),
            expected: version,
            value: to_json(&lease),
        })
    }

    fn take_over(&mut self, view: &KeeperView, key: &ShareKey) -> Option<PlatformCall> {
        let (version, mut ledger) = self.ledger.clone()?;
        if self.in_doubt.is_some() || view.leaving {
            return None;
        }
        let parts = ledger.parts.remove(key)?;
        *ledger.parts.entry(self.key.clone()).or_default() += parts;
        Some(self.write_ledger(ledger, version))
    }
}

fn total(ledger: &ShareLedger) -> ShareParts {
    ledger.parts.values().sum()
}

fn lease_object(key: &ShareKey) -> Arc<str> {
    format!("allowance/lease/{key}").into()
}

fn to_json(value: &impl Serialize) -> Arc<str> {
    serde_json::to_string(value).unwrap_or_default().into()
}
