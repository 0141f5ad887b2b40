//! What one host knows about prompt parts that crash engines.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::prompt_evidence::{CrashObservation, SuspectPart};
use crate::decision::prompt_quarantine::QuarantineState;
use crate::decision::shared_map::version_token;
use crate::ids::{EndpointId, MapVersion, PartHash};

/// Half of the time for which a complete answer proves the parts of its prompt
/// harmless.
const PROOF_HALF_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of proven parts in each half of that time.
const MAX_PROVEN_PER_HALF: usize = 8_192;
/// Maximum number of own observations that are kept for new coordinators.
const MAX_OBSERVATIONS: usize = 128;
/// Maximum number of refused parts that a report names as requested.
const MAX_REQUESTED: usize = 32;
/// Time without a reply after which a host holds back the parts that it has observed.
const LONE_TIMEOUT: Duration = Duration::from_secs(1);
/// Retry delay of a request with such a part; another host takes the coordinator lease
/// within about three seconds.
const LONE_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time for which a trial may be used. The coordinator waits longer for the outcome.
const TRIAL_VALIDITY: Duration = Duration::from_secs(10);
/// Shortest retry delay of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Time for which an observation is kept.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3_600);

/// A host's part of the evidence, sent to the coordinator in each exchange.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PromptReport {
    /// Version of the quarantine that the host has.
    pub version: MapVersion,
    /// Observations that the coordinator may not have.
    pub crashes: Vec<CrashObservation>,
    /// Suspect parts that this host has seen in completely answered prompts, each with
    /// the time since the last such answer.
    pub proven: Vec<(PartHash, Duration)>,
    /// Refused parts that were requested since the last report.
    pub requested: Vec<PartHash>,
    /// Parts that this host refuses, each with the time until a trial is due, if the
    /// coordinator may not have them.
    pub refused: Vec<(PartHash, Duration)>,
}

/// Parts of completely answered prompts with the time of the last answer, in two
/// generations of bounded size.
#[derive(Debug, Default)]
struct ProvenParts {
    newer: HashMap<PartHash, Duration>,
    older: HashMap<PartHash, Duration>,
    rotated_at: Duration,
}

impl ProvenParts {
    fn insert(&mut self, now: Duration, part: PartHash) {
        self.rotate(now);
        if self.newer.len() >= MAX_PROVEN_PER_HALF && !self.newer.contains_key(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, now);
    }

    /// Returns the time of the last complete answer to a prompt with this part.
    fn last_answer(&mut self, now: Duration, part: PartHash) -> Option<Duration> {
        self.rotate(now);
        self.newer.get(&part).or(self.older.get(&part)).copied()
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
    /// Parts that are suspect in several crashes, as the coordinator sent them.
    suspects: HashSet<PartHash>,
    /// Version of the state that the coordinator sent last.
    version: MapVersion,
    /// Number of observations that the last report covers.
    reported: usize,
    /// Whether the coordinator may not have weighed the evidence of all hosts yet.
    is_collecting: bool,
    /// Refused parts, each with the time at which a trial is due.
    refused: HashMap<PartHash, Duration>,
    /// Refused parts that were requested since the last report.
    requested: HashSet<PartHash>,
    /// Refused parts of which this host may forward one request, each with the time
    /// until which it may.
    trials: HashMap<PartHash, Duration>,
    /// Whether the coordinator has all refused parts of this host.
    is_synced: bool,
    /// Whether the last report contains all refused parts of this host, or the
    /// coordinator had them before.
    is_reported: bool,
    /// Time of the last reply.
    replied_at: Duration,
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
        parts.iter().all(|part| self.proven.last_answer(now, *part).is_some())
    }

    /// Records that an engine ended before it streamed the answer to a prompt.
    pub fn record_crash(&mut self, now: Duration, engine: &EndpointId, parts: &[PartHash]) {
        let positions = (0_u32..).zip(parts);
        let parts = positions.map(|(position, part)| SuspectPart { part: *part, position });
        let parts = parts.collect();
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.pop_front();
            self.reported = self.reported.saturating_sub(1);
        }
        let observation =
            OwnObservation { engine: engine.clone(), at: now, parts, is_confirmed: false };
        self.observations.push_back(observation);
    }

    /// Returns whether this host holds back a part, because no coordinator replies that
    /// has weighed the evidence, and the part is suspect.
    ///
    /// The evidence of one host does not tell a part that crashes engines from one that
    /// was beside, so the part is neither reported as refused nor refused for longer.
    fn is_held_back(&mut self, now: Duration, part: PartHash) -> bool {
        if now.saturating_sub(self.replied_at) <= LONE_TIMEOUT && !self.is_collecting {
            return false;
        }
        let is_recent = |own: &OwnObservation| now.saturating_sub(own.at) < PROOF_HALF_LIFETIME * 2;
        let recent = self.observations.iter().filter(|own| is_recent(own));
        let mut recent = recent.flat_map(|own| &own.parts);
        let is_suspect =
            self.suspects.contains(&part) || recent.any(|suspect| suspect.part == part);
        is_suspect && self.proven.last_answer(now, part).is_none()
    }

    /// Returns the retry delay if a prompt with these parts is refused or held back.
    pub fn find_refusal(&mut self, now: Duration, parts: &[PartHash]) -> Option<Duration> {
        let has_trial = |part: &PartHash| self.trials.get(part).is_some_and(|until| now < *until);
        let is_refused = |part: &&PartHash| self.refused.contains_key(part) && !has_trial(part);
        let Some(part) = parts.iter().find(is_refused) else {
            let is_held_back = parts.iter().any(|part| self.is_held_back(now, *part));
            return is_held_back.then_some(LONE_RETRY_AFTER);
        };
        if self.requested.len() < MAX_REQUESTED {
            self.requested.insert(*part);
        }
        let until = self.refused.get(part).copied().unwrap_or_default();
        Some(until.saturating_sub(now).max(MIN_RETRY_AFTER))
    }

    /// Returns the retry delay if a request with these parts must not be sent to an
    /// engine now. A trial allows one request.
    pub fn begin_attempt(&mut self, now: Duration, parts: &[PartHash]) -> Option<Duration> {
        let refusal = self.find_refusal(now, parts);
        if refusal.is_none() {
            parts.iter().for_each(|part| {
                self.trials.remove(part);
            });
        }
        refusal
    }

    /// Adds refused parts from the lease record, each with the time until a trial is
    /// due.
    pub fn adopt_refused(&mut self, now: Duration, refused: &[(PartHash, Duration)]) {
        for (part, remaining) in refused {
            if !self.refused.contains_key(part) {
                self.refused.insert(*part, now + *remaining);
                self.is_synced = false;
                self.is_reported = false;
            }
        }
    }

    /// Returns the refused parts, each with the time until a trial is due.
    pub fn refused_parts(&self, now: Duration) -> Vec<(PartHash, Duration)> {
        let refused = self.refused.iter();
        refused.map(|(part, until)| (*part, until.saturating_sub(now))).collect()
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
        let suspects = self.suspects.iter().chain(self.refused.keys()).copied();
        let proven = suspects.filter_map(|part| {
            let proven_at = self.proven.last_answer(now, part)?;
            Some((part, now.saturating_sub(proven_at)))
        });
        let proven = proven.collect();
        let requested = std::mem::take(&mut self.requested).into_iter().collect();
        let refused = if self.is_synced { Vec::new() } else { self.refused_parts(now) };
        self.is_reported = true;
        PromptReport { version: self.version, crashes, proven, requested, refused }
    }

    /// Applies the coordinator's reply to the last report.
    ///
    /// `state` is `None` if the host has the current version. `trials` are the refused
    /// parts of which this host may forward one request.
    pub fn apply_reply(
        &mut self,
        now: Duration,
        state: Option<QuarantineState>,
        trials: Vec<PartHash>,
    ) {
        self.replied_at = now;
        self.trials.extend(trials.into_iter().map(|part| (part, now + TRIAL_VALIDITY)));
        for own in self.observations.iter_mut().take(self.reported) {
            own.is_confirmed = true;
        }
        let has_same_term = state
            .as_ref()
            .is_none_or(|state| version_token(state.version) == version_token(self.version));
        self.is_synced = has_same_term && self.is_reported;
        let Some(state) = state else { return };
        self.version = state.version;
        self.is_collecting = state.is_collecting;
        if has_same_term {
            self.suspects.clear();
        }
        // Until a new coordinator has the evidence, its suspects are incomplete.
        self.suspects.extend(state.suspects);
        if self.is_synced {
            self.refused.clear();
        }
        if !has_same_term {
            // A new coordinator has none of this host's evidence yet.
            self.observations.iter_mut().for_each(|own| own.is_confirmed = false);
        }
        for (part, remaining) in state.refused {
            let until = now + remaining;
            let known_until = self.refused.entry(part).or_insert(until);
            // The coordinator may have started with a record from before the latest
            // refusals. It adopts those that this host reports.
            *known_until = until.max(*known_until);
        }
        self.trials.retain(|_, until| now < *until);
    }
}
