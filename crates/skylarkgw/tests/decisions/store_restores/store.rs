//! A simulated store that is restored from older copies of its contents.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use skylarkgw::decision::coordinator_lease::LeaseAction;
use skylarkgw::decision::store_order::StorePosition;
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord};
use skylarkgw::gateway::registry::EngineEntry;
use skylarkgw::ids::{EndpointId, ObjectVersion, Revision, StoreEra};

/// Longest time by which a restored copy is older than the lost contents, in ms.
pub const MAX_LOST_MS: u64 = 12_000;
/// Time without a check-in after which the entry of an engine is removed, in ms.
const ENTRY_LIFETIME_MS: u64 = 3_600;

/// How the store states its era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraStatement {
    /// Every answer has the era, which rises with each restore.
    Rising,
    /// Every answer has the era, which falls with each restore.
    Falling,
    /// Some answers have no era.
    Unsteady,
    /// No answer has an era.
    Missing,
}

/// The accepted keys of one version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyDeclaration {
    pub revision: Revision,
    pub keys: BTreeSet<u32>,
}

#[derive(Clone, Debug, Default)]
struct StoreContents {
    revision: ObjectVersion,
    declaration: KeyDeclaration,
    /// Entries, each with the time of the last check-in in ms.
    engines: BTreeMap<EndpointId, (EngineEntry, u64)>,
    lease: Option<(ObjectVersion, LeaseRecord)>,
}

/// Objects of the simulated store with their history.
#[derive(Debug)]
pub struct SimulatedStore {
    pub statement: EraStatement,
    /// Time at which the store last became available, in ms.
    pub up_since: u64,
    era: StoreEra,
    contents: StoreContents,
    history: VecDeque<(u64, StoreContents)>,
    /// End of the outage, with the time to which the contents go back, in ms.
    outage: Option<(u64, u64)>,
    /// Conditional writes that take effect later, by time in ms.
    late_writes: Vec<(u64, Option<ObjectVersion>, LeaseRecord)>,
}

impl SimulatedStore {
    /// Creates a store that has begun anew `era` times.
    pub fn new(
        statement: EraStatement,
        era: StoreEra,
        now: u64,
        declaration: KeyDeclaration,
    ) -> SimulatedStore {
        let contents = StoreContents { revision: 100, declaration, ..StoreContents::default() };
        SimulatedStore {
            statement,
            up_since: now,
            era,
            contents,
            history: VecDeque::new(),
            outage: None,
            late_writes: Vec::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.outage.is_none()
    }

    pub fn declaration(&self) -> &KeyDeclaration {
        &self.contents.declaration
    }

    pub fn find_entry(&self, id: &EndpointId) -> Option<&EngineEntry> {
        self.contents.engines.get(id).map(|(entry, _)| entry)
    }

    /// Describes the contents for the event log.
    pub fn describe(&self) -> String {
        let lease = self.contents.lease.as_ref();
        let lease = lease.map(|(version, record)| (*version, &*record.holder, record.token));
        let (revision, declared) = (self.contents.revision, self.contents.declaration.revision);
        format!("era {}, revision {revision}, declaration {declared}, lease {lease:?}", self.era)
    }

    /// Makes the store unavailable for a time, after which it has lost its last changes.
    pub fn lose_changes(&mut self, now: u64, down_ms: u64, lost_ms: u64) {
        self.outage = Some((now + down_ms, now - lost_ms));
    }

    /// Advances the store, and returns whether it has just been restored.
    pub fn advance(&mut self, now: u64) -> bool {
        if let Some((until, restored_to)) = self.outage {
            if now < until {
                return false;
            }
            self.outage = None;
            self.up_since = now;
            self.history.retain(|(at, _)| *at <= restored_to);
            if let Some((_, contents)) = self.history.back() {
                self.contents = contents.clone();
            }
            // The entries are given the time of three check-ins again.
            self.contents.engines.values_mut().for_each(|(_, checked_in)| *checked_in = now);
            let is_falling = self.statement == EraStatement::Falling;
            self.era = if is_falling { self.era - 1 } else { self.era + 1 };
            return true;
        }
        let due: Vec<_> = self.late_writes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, expected, record) in due {
            self.write_lease(expected, record);
        }
        let entries = self.contents.engines.len();
        let is_kept = |checked_in: u64| now < checked_in + ENTRY_LIFETIME_MS;
        self.contents.engines.retain(|_, (_, checked_in)| is_kept(*checked_in));
        self.contents.revision += u64::from(entries != self.contents.engines.len());
        self.history.push_back((now, self.contents.clone()));
        while self.history.front().is_some_and(|(at, _)| at + MAX_LOST_MS + 1_000 < now) {
            self.history.pop_front();
        }
        false
    }

    /// Writes an object of no interest.
    pub fn count_change(&mut self) {
        self.contents.revision += 1;
    }

    pub fn write_declaration(&mut self, declaration: KeyDeclaration) {
        self.contents.declaration = declaration;
        self.contents.revision += 1;
    }

    /// Writes the entry of an engine, or only its check-in if the entry is the same.
    pub fn write_entry(&mut self, now: u64, entry: EngineEntry) {
        let known = self.contents.engines.insert(entry.id.clone(), (entry.clone(), now));
        self.contents.revision += u64::from(known.is_none_or(|(known, _)| known != entry));
    }

    pub fn remove_entry(&mut self, id: &EndpointId) {
        let removed = self.contents.engines.remove(id);
        self.contents.revision += u64::from(removed.is_some());
    }

    /// Returns the position as an answer states it.
    pub fn state_position(&self, rng: &mut ChaCha8Rng) -> StorePosition {
        StorePosition { era: self.state_era(rng), revision: self.contents.revision }
    }

    fn state_era(&self, rng: &mut ChaCha8Rng) -> Option<StoreEra> {
        let is_stated = match self.statement {
            EraStatement::Rising | EraStatement::Falling => true,
            EraStatement::Unsteady => rng.random_bool(0.8),
            EraStatement::Missing => false,
        };
        is_stated.then_some(self.era)
    }

    pub fn list_entries(&self) -> Vec<EngineEntry> {
        self.contents.engines.values().map(|(entry, _)| entry.clone()).collect()
    }

    /// Performs a call on the lease record.
    pub fn call_lease(&mut self, rng: &mut ChaCha8Rng, action: &LeaseAction) -> LeaseAnswer {
        let is_written = match action {
            LeaseAction::Write { expected, record } => self.write_lease(*expected, record.clone()),
            _ => false,
        };
        let era = self.state_era(rng);
        match self.contents.lease.clone() {
            None => LeaseAnswer::Missing { era },
            Some((version, record)) => {
                LeaseAnswer::Found { version, era, record: Some(record), is_written }
            }
        }
    }

    /// Lets a conditional write take effect at a time in ms.
    pub fn delay_write(&mut self, at: u64, action: &LeaseAction) {
        if let LeaseAction::Write { expected, record } = action {
            self.late_writes.push((at, *expected, record.clone()));
        }
    }

    fn write_lease(&mut self, expected: Option<ObjectVersion>, record: LeaseRecord) -> bool {
        let version = self.contents.lease.as_ref().map(|(version, _)| *version);
        if version != expected {
            return false;
        }
        self.contents.revision += 1;
        self.contents.lease = Some((self.contents.revision, record));
        true
    }
}
