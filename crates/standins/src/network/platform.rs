//! Simulated platform, with outages, lost responses and late writes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use skylarkgw::configuration::FleetConfiguration;
use skylarkgw::decision::shares::{LEDGER_OBJECT, PlatformCall, PlatformOutcome};
use skylarkgw::ids::{KeyHash, ObjectVersion};

const MAX_WRITE_DELAY_MS: u64 = 20_000;

/// Stored objects, the accepted configuration, and the active faults.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// Accepted configuration.
    pub configuration: Arc<FleetConfiguration>,
    /// Hashes of the withdrawn keys that the platform has stored.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Whether the platform is in an outage, in which no call is served.
    pub outage: bool,
    /// Whether writes of the ledger fail with a conflict, so that its contents
    /// do not change.
    pub is_ledger_read_only: bool,
    /// Fraction of responses that are lost, from 0 to 1.
    pub lost_answer_rate: f64,
    /// Fraction of writes with a lost response that take effect only later,
    /// from 0 to 1.
    pub late_write_rate: f64,
    objects: BTreeMap<Arc<str>, (ObjectVersion, Arc<str>)>,
    version: ObjectVersion,
}

impl SimulatedPlatform {
    /// Creates a platform without objects.
    pub fn new(configuration: FleetConfiguration) -> SimulatedPlatform {
        SimulatedPlatform {
            configuration: Arc::new(configuration),
            withdrawn: BTreeSet::new(),
            outage: false,
            is_ledger_read_only: false,
            lost_answer_rate: 0.0,
            late_write_rate: 0.0,
            objects: BTreeMap::new(),
            version: 0,
        }
    }

    /// Returns the value of an object, or `None` if the object does not exist.
    pub fn value(&self, name: &str) -> Option<Arc<str>> {
        self.objects.get(name).map(|(_, value)| value.clone())
    }

    /// Serves a call from a host.
    ///
    /// Also returns a write that takes effect later, with its delay. During an
    /// outage, or if the host cannot reach the platform (`reachable` is false),
    /// the call is not executed, and the outcome is [`PlatformOutcome::NotRun`]
    /// or [`PlatformOutcome::Unknown`] with equal probability. If the response
    /// is lost, the outcome is [`PlatformOutcome::Unknown`].
    pub fn perform(
        &mut self,
        rng: &mut ChaCha8Rng,
        reachable: bool,
        call: PlatformCall,
    ) -> (PlatformOutcome, Option<(Duration, PlatformCall)>) {
        if self.outage || !reachable {
            let is_known_not_run = rng.random_bool(0.5);
            let outcome =
                if is_known_not_run { PlatformOutcome::NotRun } else { PlatformOutcome::Unknown };
            return (outcome, None);
        }
        if !rng.random_bool(self.lost_answer_rate) {
            return (self.apply(&call), None);
        }
        let is_write = matches!(call, PlatformCall::Write { .. });
        if is_write && rng.random_bool(self.late_write_rate) {
            let delay = Duration::from_millis(rng.random_range(100..MAX_WRITE_DELAY_MS));
            return (PlatformOutcome::Unknown, Some((delay, call)));
        }
        self.apply(&call);
        (PlatformOutcome::Unknown, None)
    }

    /// Applies a call immediately.
    pub fn apply(&mut self, call: &PlatformCall) -> PlatformOutcome {
        match call {
            PlatformCall::Read { name } => match self.objects.get(name) {
                Some((version, value)) => {
                    PlatformOutcome::Found { version: *version, value: value.clone() }
                }
                None => PlatformOutcome::Missing,
            },
            PlatformCall::Write { name, expected, value } => {
                let version = self.objects.get(name).map_or(0, |(version, _)| *version);
                let is_read_only = self.is_ledger_read_only && &**name == LEDGER_OBJECT;
                if version != *expected || is_read_only {
                    return PlatformOutcome::Conflict;
                }
                self.version += 1;
                self.objects.insert(name.clone(), (self.version, value.clone()));
                PlatformOutcome::Written { version: self.version }
            }
        }
    }
}
