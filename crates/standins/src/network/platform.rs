//! The platform as the queue's hosts meet it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use skylarkgw::configuration::FleetConfiguration;
use skylarkgw::decision::shares::{LEDGER_OBJECT, PlatformCall, PlatformOutcome};
use skylarkgw::ids::{KeyHash, ObjectVersion};

const LONGEST_LATENESS_MS: u64 = 20_000;

/// Objects, the accepted configuration, and the faults in force.
#[derive(Debug)]
pub struct SimulatedPlatform {
    /// The accepted configuration.
    pub configuration: Arc<FleetConfiguration>,
    /// Withdrawn keys that the platform knows.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Whether no call is served.
    pub outage: bool,
    /// Whether writes of the ledger conflict, so that the ledger stays as it is.
    pub frozen_objects: bool,
    /// Share of answers that are lost.
    pub lost_answers: f64,
    /// Share of lost writes that take effect only later.
    pub late_writes: f64,
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
            frozen_objects: false,
            lost_answers: 0.0,
            late_writes: 0.0,
            objects: BTreeMap::new(),
            version: 0,
        }
    }

    /// Returns the value of an object.
    pub fn value(&self, name: &str) -> Option<Arc<str>> {
        self.objects.get(name).map(|(_, value)| value.clone())
    }

    /// Serves a call; also returns a write that takes effect later.
    pub fn perform(
        &mut self,
        source: &mut ChaCha8Rng,
        reachable: bool,
        call: PlatformCall,
    ) -> (PlatformOutcome, Option<(Duration, PlatformCall)>) {
        if self.outage || !reachable {
            let certain = source.random_bool(0.5);
            let outcome = if certain { PlatformOutcome::NotRun } else { PlatformOutcome::Unknown };
            return (outcome, None);
        }
        if !source.random_bool(self.lost_answers) {
            return (self.apply(&call), None);
        }
        let is_write = matches!(call, PlatformCall::Write { .. });
        if is_write && source.random_bool(self.late_writes) {
            let lateness = Duration::from_millis(source.random_range(100..LONGEST_LATENESS_MS));
            return (PlatformOutcome::Unknown, Some((lateness, call)));
        }
        self.apply(&call);
        (PlatformOutcome::Unknown, None)
    }

    /// Applies a call at once.
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
                let fixed = self.frozen_objects && &**name == LEDGER_OBJECT;
                if version != *expected || fixed {
                    return PlatformOutcome::Conflict;
                }
                self.version += 1;
                self.objects.insert(name.clone(), (self.version, value.clone()));
                PlatformOutcome::Written { version: self.version }
            }
        }
    }
}
