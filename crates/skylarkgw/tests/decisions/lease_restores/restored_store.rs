//! A store with the lease record that can be restored from an older copy, and that
//! carries out calls late.

use skylarkgw::decision::coordinator_lease::LeaseAction;
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord};
use skylarkgw::ids::{ObjectVersion, StoreEra};

/// What becomes of a call.
#[derive(Clone, Copy, Debug)]
pub enum CallFate {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, and the answer is lost.
    AnswerLost,
    /// It is carried out at a later time if its condition holds then, and not answered.
    Late(u64),
    /// It is not carried out, and the caller knows that.
    Refused,
}

/// The contents of the store.
#[derive(Clone, Debug, Default)]
struct StoreContents {
    revision: ObjectVersion,
    record: Option<(ObjectVersion, LeaseRecord)>,
}

/// A store that gives out revisions again after it was restored.
#[derive(Debug, Default)]
pub struct RestoredStore {
    /// Era that the answers state.
    pub era: Option<StoreEra>,
    /// Changes of other objects in a second.
    pub changes_per_s: u64,
    /// Number of answers of which one states no era, or zero if all do.
    pub missing_era_every: u64,
    contents: StoreContents,
    /// Earlier contents, each with the time until which they were current.
    copies: Vec<(u64, StoreContents)>,
    late_calls: Vec<(u64, Option<ObjectVersion>, LeaseRecord)>,
    answers: u64,
}

impl RestoredStore {
    pub fn new(era: Option<StoreEra>) -> RestoredStore {
        RestoredStore { era, ..RestoredStore::default() }
    }

    pub fn record(&self) -> Option<&LeaseRecord> {
        self.contents.record.as_ref().map(|(_, record)| record)
    }

    /// Carries out what is due.
    pub fn advance(&mut self, now: u64) {
        let (due, late): (Vec<_>, Vec<_>) =
            self.late_calls.drain(..).partition(|(at, ..)| *at <= now);
        self.late_calls = late;
        for (_, expected, record) in due {
            self.write(expected, record);
        }
        if self.changes_per_s > 0 && now.is_multiple_of(1_000 / self.changes_per_s) {
            self.contents.revision += 1;
        }
        self.copies.push((now, self.contents.clone()));
    }

    /// Goes back to the contents of an earlier time, in the next era.
    pub fn restore(&mut self, now: u64, back: u64) {
        let at = now.saturating_sub(back);
        let copy = self.copies.iter().rev().find(|(taken_at, _)| *taken_at < at);
        self.contents = copy.map(|(_, contents)| contents.clone()).unwrap_or_default();
        self.era = self.era.map(|era| era + 1);
    }

    /// Raises the version of the record to at least the given one, as changes and renewals do.
    pub fn skip_to(&mut self, version: ObjectVersion) {
        self.contents.revision = self.contents.revision.max(version);
    }

    /// Writes the record whatever its version, and returns the new one.
    pub fn overwrite(&mut self, record: LeaseRecord) -> ObjectVersion {
        self.contents.revision += 1;
        self.contents.record = Some((self.contents.revision, record));
        self.contents.revision
    }

    fn write(&mut self, expected: Option<ObjectVersion>, record: LeaseRecord) -> bool {
        let version = self.contents.record.as_ref().map(|(version, _)| *version);
        let holds = version == expected;
        if holds {
            self.overwrite(record);
        }
        holds
    }

    /// Makes a call and returns its answer, or `None` if there is no call.
    pub fn call(&mut self, action: LeaseAction, fate: CallFate) -> Option<LeaseAnswer> {
        let write = match action {
            LeaseAction::Wait => return None,
            LeaseAction::Read => None,
            LeaseAction::Write { expected, record } => Some((expected, record)),
        };
        let is_written = match (fate, write) {
            (CallFate::Refused, _) => return Some(LeaseAnswer::Refused),
            (CallFate::Late(at), write) => {
                self.late_calls.extend(write.map(|(expected, record)| (at, expected, record)));
                return Some(LeaseAnswer::Unknown);
            }
            (_, Some((expected, record))) => self.write(expected, record),
            (_, None) => false,
        };
        if matches!(fate, CallFate::AnswerLost) {
            return Some(LeaseAnswer::Unknown);
        }
        self.answers += 1;
        let is_missing =
            self.missing_era_every > 0 && self.answers.is_multiple_of(self.missing_era_every);
        let era = self.era.filter(|_| !is_missing);
        Some(match &self.contents.record {
            None => LeaseAnswer::Missing { era },
            Some((version, record)) => LeaseAnswer::Found {
                version: *version,
                era,
                record: Some(record.clone()),
                is_written,
            },
        })
    }
}
