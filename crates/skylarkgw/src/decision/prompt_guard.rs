//! What one host knows about prompt parts that crash engines.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::prompt_evidence::{CrashObservation, SuspectPart};
use crate::decision::prompt_quarantine::QuarantineState;
use crate::ids::{EndpointId, PartHash};

/// Half of the time for which a complete answer proves the parts of its prompt
/// harmless.
const PROOF_HALF_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of proven parts in each half of that time.
const MAX_PROVEN_PER_HALF: usize = 8_192;
/// Maximum number of own observations that are kept for new coordinators.
const MAX_OBSERVATIONS: usize = 128;
/// Time for which an observation is kept.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3_600);

/// A host's part of the evidence, sent to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PromptReport {
    /// Version of the quarantine that the host has.
    pub version: u64,
    /// Observations that the coordinator may not have.
    pub crashes: Vec<CrashObservation>,
    /// Suspect parts that this host has seen in completely answered prompts.
    pub proven: Vec<PartHash>,
}

/// Parts of completely answered prompts, in two generations of bounded size.
#[derive(Debug, Default)]
struct ProvenParts {
    newer: HashSet<PartHash>,
    older: HashSet<PartHash>,
    rotated_at: Duration,
}

impl ProvenParts {
    fn insert(&mut self, now: Duration, part: PartHash) {
        self.rotate(now);
        if self.newer.len() >= MAX_PROVEN_PER_HALF && !self.newer.contains(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }

    fn contains(&mut self, now: Duration, part: PartHash) -> bool {
        self.rotate(now);
        self.newer.contains(&part) || self.older.contains(&part)
    }

    fn rotate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rotated_at);
        if elapsed < PROOF_HALF_LIFETIME {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if elapsed >= PROOF_HALF_LIFETIME * 2 {
            self.older.clear();
        }
        self.rotated_at = now;
    }
}

#[derive(Clone, Debug)]
struct OwnObservation {
    engine: EndpointId,
    at: Duration,
    parts: Vec<SuspectPart>,
    /// Whether a coordinator that is still in office has confirmed it.
    is_confirmed: bool,
}

/// The evidence and the quarantine as one host has them.
#[derive(Debug, Default)]
pub struct PromptGuard {
    proven: ProvenParts,
    observations: VecDeque<OwnObservation>,
    /// Parts with evidence against them, as the coordinator sent them.
    suspects: HashSet<PartHash>,
    /// Version of the state that the coordinator sent last.
    version: u64,
    /// Number of observations that the last report covers.
    reported: usize,
}

impl PromptGuard {
    /// Records that an answer to a prompt with these parts is complete.
    pub fn record_answer(&mut self, now: Duration, parts: &[PartHash]) {
        for part in parts {
            self.proven.insert(now, *part);
        }
    }

    /// Returns whether all parts were in completely answered prompts of late.
    pub fn is_proven(&mut self, now: Duration, parts: &[PartHash]) -> bool {
        parts.iter().all(|part| self.proven.contains(now, *part))
    }

    /// Records that an engine ended before it streamed the answer to a prompt, and
    /// returns the parts that are not proven.
    pub fn record_crash(
        &mut self,
        now: Duration,
        engine: &EndpointId,
        parts: &[PartHash],
    ) -> Vec<SuspectPart> {
        let positions = (0_u32..).zip(parts);
        let parts: Vec<SuspectPart> = positions
            .filter(|(_, part)| !self.proven.contains(now, **part))
            .map(|(position, part)| SuspectPart { part: *part, position })
            .collect();
        if parts.is_empty() {
            return parts;
        }
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.pop_front();
            self.reported = self.reported.saturating_sub(1);
        }
        let observation = OwnObservation {
            engine: engine.clone(),
            at: now,
            parts: parts.clone(),
            is_confirmed: false,
        };
        self.observations.push_back(observation);
        parts
    }

    /// Builds the report of the next exchange.
    pub fn build_report(&mut self, now: Duration) -> PromptReport {
        while self
            .observations
            .front()
            .is_some_and(|oldest| now.saturating_sub(oldest.at) > EVIDENCE_LIFETIME)
        {
            self.observations.pop_front();
        }
        self.reported = self.observations.len();
        let unconfirmed = self.observations.iter().filter(|own| !own.is_confirmed);
        let crashes = unconfirmed.map(|own| CrashObservation {
            engine: own.engine.clone(),
            age: now.saturating_sub(own.at),
            parts: own.parts.clone(),
        });
        let crashes = crashes.collect();
        let suspects = self.suspects.iter().copied();
        let proven = suspects.filter(|part| self.proven.contains(now, *part)).collect();
        PromptReport { version: self.version, crashes, proven }
    }

    /// Applies the coordinator's reply to the last report.
    ///
    /// `state` is `None` if the host has the current version.
    pub fn apply_reply(&mut self, state: Option<QuarantineState>) {
        for own in self.observations.iter_mut().take(self.reported) {
            own.is_confirmed = true;
        }
        let Some(state) = state else { return };
        if state.term() != QuarantineState::term_of(self.version) {
            // A new coordinator has none of the evidence.
            self.observations.iter_mut().for_each(|own| own.is_confirmed = false);
        }
        self.version = state.version;
        self.suspects = state.suspects.into_iter().collect();
    }
}
