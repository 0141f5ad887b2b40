//! The coordinator's quarantine of prompt parts that crash engines.
//!
//! Each host sees only the requests that it forwarded to a crashed engine. Together
//! their reports name all requests that the engine may have begun to answer. A complete
//! answer to a prompt clears its parts of the crashes before. A part that is suspect in
//! several crashes and explains one that no refused part explains is refused by all
//! hosts.
//!
//! A refusal that has expired ends with a trial: one host forwards one request. If it
//! is answered, the part is released, and if the engine ends, the part is refused for
//! twice as long.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::prompt_evidence::{CrashObservation, SuspectPart};
use crate::decision::prompt_guard::{EVIDENCE_LIFETIME, PromptReport};
use crate::decision::shared_map::first_version;
use crate::ids::{EndpointId, MapVersion, PartHash};

/// Maximum number of crashes that are kept as evidence.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspect parts of one crash.
const MAX_PARTS_PER_CRASH: usize = 256;
/// Maximum number of suspect parts that are sent to hosts.
const MAX_SENT_SUSPECTS: usize = 256;
/// Number of crashes in which a part is suspect before it is sent to hosts.
const CRASHES_BEFORE_SENDING: usize = 2;
/// Longest time between two observations of one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Number of crashes in which a part is suspect before it is refused.
const CRASHES_BEFORE_REFUSAL: usize = 3;
/// The same for a part that was answered of late. All of these crashes must have no
/// other explanation.
const CRASHES_DESPITE_ANSWERS: usize = 5;
/// Time for which a part is refused before its first trial.
const FIRST_REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Longest time between two trials.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Time after which a trial without an outcome counts as failed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the end of a refusal in which nobody requests the part, after which it
/// is forgotten.
const UNREQUESTED_LIFETIME: Duration = Duration::from_secs(3_600);
/// Difference between two hosts' times of a trial that stems from the time for an
/// exchange.
const ADOPTION_TOLERANCE: Duration = Duration::from_secs(2);
/// Maximum number of refused parts.
const MAX_REFUSED: usize = 64;
/// Time for which a cleared part stays cleared.
const CLEARANCE_LIFETIME: Duration = Duration::from_secs(60);

/// What the coordinator sends to hosts about prompt parts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineState {
    /// Version of this state.
    pub version: MapVersion,
    /// Whether the coordinator is so new that it may not have weighed the evidence of
    /// all hosts yet.
    pub is_collecting: bool,
    /// Parts that are suspect in several crashes; hosts report those that they have seen
    /// in complete answers.
    pub suspects: Vec<PartHash>,
    /// Parts that are refused, each with the time until a trial is due.
    pub refused: Vec<(PartHash, Duration)>,
}

/// A new entry of the evidence, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
    /// A part is refused from now on.
    Refused {
        /// The part.
        part: PartHash,
        /// Number of crashes in which it is suspect.
        crashes: usize,
    },
    /// A part that a predecessor refused stays refused.
    Adopted {
        /// The part.
        part: PartHash,
    },
    /// A host may forward one request with a refused part.
    TrialGranted {
        /// The part.
        part: PartHash,
    },
    /// A trial had no outcome or crashed an engine, so the part stays refused.
    TrialFailed {
        /// The part.
        part: PartHash,
    },
    /// A prompt with the part was answered, so it is no longer refused.
    Released {
        /// The part.
        part: PartHash,
    },
    /// Requests with these parts were about to begin when an engine ended.
    Crash {
        /// Engine that ended.
        engine: EndpointId,
        /// Suspect parts of one of the requests.
        parts: Vec<SuspectPart>,
    },
}

/// A crash of an engine with all suspect parts that hosts have reported for it.
#[derive(Debug)]
struct EngineCrash {
    engine: EndpointId,
    at: Duration,
    parts: HashMap<PartHash, CrashSuspect>,
}

/// What is known about a suspect part of one crash.
#[derive(Clone, Copy, Debug)]
struct CrashSuspect {
    /// Position of the part in its prompt.
    position: u32,
    recorded_at: Duration,
}

/// The evidence against a part, in ascending order of its weight.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct EvidenceWeight {
    /// Whether no prompt with the part was answered of late. While engines crash one
    /// after the other, no prompt with a common part may be answered in between.
    is_unanswered: bool,
    /// Crashes in which no refused part is suspect.
    unexplained: usize,
    crashes: usize,
    /// More prompts share the first parts, so a later part is the more likely cause.
    position: u32,
    /// Breaks ties, so that all coordinators decide alike.
    part: PartHash,
}

impl EvidenceWeight {
    /// Returns the number of crashes after which the part may be refused.
    fn crashes_needed(&self) -> usize {
        if self.is_unanswered { CRASHES_BEFORE_REFUSAL } else { CRASHES_DESPITE_ANSWERS }
    }
}

/// A part that all hosts refuse.
#[derive(Clone, Copy, Debug)]
struct RefusedPart {
    since: Duration,
    /// Time from which a trial is due.
    until: Duration,
    /// Time between this and the next trial.
    term: Duration,
    /// Time at which a trial counts as failed, while there is one.
    trial_until: Option<Duration>,
}

/// The evidence that one coordinator has collected, and the parts that it refuses.
#[derive(Debug)]
pub struct PromptQuarantine {
    crashes: VecDeque<EngineCrash>,
    /// Parts that were proven harmless, with the time of the last complete answer.
    cleared: HashMap<PartHash, Duration>,
    refused: HashMap<PartHash, RefusedPart>,
    /// Time of the first report.
    started_at: Option<Duration>,
    /// Whether evidence of the time before the first report may still be missing.
    is_collecting: bool,
    /// Time of the last report.
    as_of: Duration,
    /// Time from which new evidence is to be weighed.
    weigh_at: Option<Duration>,
    version: MapVersion,
    events: Vec<QuarantineEvent>,
}

impl PromptQuarantine {
    /// Creates the collection of a coordinator with the given fencing token.
    pub fn new(token: u64) -> PromptQuarantine {
        PromptQuarantine {
            crashes: VecDeque::new(),
            cleared: HashMap::new(),
            refused: HashMap::new(),
            started_at: None,
            is_collecting: true,
            as_of: Duration::ZERO,
            weigh_at: None,
            version: first_version(token),
            events: Vec::new(),
        }
    }

    /// Adds the evidence of one host and returns the parts that this host may try.
    ///
    /// `clearing_time` is the time in which all hosts have reported whether they have
    /// seen a new suspect part in a complete answer.
    pub fn record_report(
        &mut self,
        now: Duration,
        report: PromptReport,
        clearing_time: Duration,
    ) -> Vec<PartHash> {
        self.as_of = now;
        self.forget_old_evidence(now);
        self.adopt_refused(now, &report.refused);
        for (part, age) in report.proven {
            self.clear_part(now, part, now.saturating_sub(age));
        }
        for crash in report.crashes {
            self.record_crash(now, crash);
        }
        if self.weigh_at.is_some_and(|at| now >= at) {
            self.weigh_evidence(now, clearing_time);
        }
        let started_at = *self.started_at.get_or_insert(now);
        // Hosts need as long to report their evidence as to clear it.
        if self.is_collecting && now >= started_at + clearing_time * 2 {
            self.is_collecting = false;
            self.version += 1;
        }
        let mut trials = report.requested;
        trials.retain(|part| self.grant_trial(now, *part));
        trials
    }

    /// Adds parts that a predecessor refused, each with the remaining time. A part that
    /// is refused already is refused for the longer time.
    ///
    /// Parts that were cleared since are left out.
    pub fn adopt_refused(&mut self, now: Duration, refused: &[(PartHash, Duration)]) {
        for (part, remaining) in refused {
            if let Some(known) = self.refused.get_mut(part) {
                let until = now + *remaining;
                if until > known.until + ADOPTION_TOLERANCE {
                    known.until = until;
                    known.term = known.term.max(*remaining);
                    self.version += 1;
                }
                continue;
            }
            self.version += 1;
            if !self.cleared.contains_key(part) && self.refused.len() < MAX_REFUSED {
                let term = FIRST_REFUSAL_TIME.max(*remaining);
                let until = now + *remaining;
                self.refused
                    .insert(*part, RefusedPart { since: now, until, term, trial_until: None });
                self.events.push(QuarantineEvent::Adopted { part: *part });
            }
        }
    }

    /// Returns the state, or `None` if `version` is the current one.
    pub fn state_since(&self, version: MapVersion) -> Option<QuarantineState> {
        (version != self.version).then(|| self.state())
    }

    /// Returns the state.
    pub fn state(&self) -> QuarantineState {
        let mut counts: HashMap<PartHash, usize> = HashMap::new();
        for part in self.crashes.iter().flat_map(|crash| crash.parts.keys()) {
            *counts.entry(*part).or_default() += 1;
        }
        let mut suspects: Vec<(usize, PartHash)> = counts
            .into_iter()
            .filter(|(_, crashes)| *crashes >= CRASHES_BEFORE_SENDING)
            .map(|(part, crashes)| (crashes, part))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        suspects.truncate(MAX_SENT_SUSPECTS);
        let suspects = suspects.into_iter().map(|(_, part)| part).collect();
        let refused = self.refused.iter();
        let refused =
            refused.map(|(part, refused)| (*part, refused.until.saturating_sub(self.as_of)));
        QuarantineState {
            version: self.version,
            is_collecting: self.is_collecting,
            suspects,
            refused: refused.collect(),
        }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_crash(&mut self, now: Duration, crash: CrashObservation) {
        let at = now.saturating_sub(crash.age);
        let mut suspects = crash.parts;
        suspects.retain(|suspect| {
            self.cleared.get(&suspect.part).is_none_or(|proven_at| at > *proven_at)
        });
        if suspects.is_empty() || crash.age > EVIDENCE_LIFETIME {
            return;
        }
        let is_same = |known: &EngineCrash| {
            known.engine == crash.engine && known.at.abs_diff(at) < SAME_CRASH_WINDOW
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let (engine, parts) = (crash.engine.clone(), HashMap::new());
            self.crashes.push_back(EngineCrash { engine, at, parts });
            self.crashes.len() - 1
        });
        let parts = &mut self.crashes[index].parts;
        let known = parts.len();
        for suspect in &suspects {
            if parts.len() < MAX_PARTS_PER_CRASH {
                let position = suspect.position;
                let suspect_entry = CrashSuspect { position, recorded_at: now };
                parts.entry(suspect.part).or_insert(suspect_entry);
            }
        }
        if parts.len() > known {
            self.version += 1;
            self.weigh_at = Some(now);
            for suspect in &suspects {
                self.fail_trial(now, suspect.part);
            }
            self.events.push(QuarantineEvent::Crash { engine: crash.engine, parts: suspects });
        }
    }

    /// Removes a part from the evidence up to a time at which a prompt with it was
    /// answered.
    fn clear_part(&mut self, now: Duration, part: PartHash, proven_at: Duration) {
        if now.saturating_sub(proven_at) >= CLEARANCE_LIFETIME {
            return;
        }
        let known = self.cleared.entry(part).or_insert(proven_at);
        *known = proven_at.max(*known);
        let is_after = |refused: &RefusedPart| proven_at > refused.since;
        if self.refused.get(&part).is_some_and(is_after) {
            self.refused.remove(&part);
            self.version += 1;
            self.events.push(QuarantineEvent::Released { part });
        }
        self.remove_evidence(part, proven_at);
    }

    /// Removes a part from the crashes up to a time.
    fn remove_evidence(&mut self, part: PartHash, until: Duration) {
        let mut is_suspect = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= until) {
            is_suspect |= crash.parts.remove(&part).is_some();
        }
        if is_suspect {
            self.version += 1;
            self.weigh_at.get_or_insert(self.as_of);
        }
    }

    /// Refuses the parts that best explain crashes, one after the other.
    fn weigh_evidence(&mut self, now: Duration, clearing_time: Duration) {
        self.weigh_at = None;
        while let Some((weight, suspect_since)) = self.find_heaviest() {
            let cleared_by = suspect_since + clearing_time;
            if now < cleared_by {
                self.weigh_at = Some(cleared_by);
                return;
            }
            if self.refused.len() >= MAX_REFUSED {
                let oldest = self.refused.iter().min_by_key(|(_, refused)| refused.until);
                let oldest = oldest.map(|(part, _)| *part);
                if let Some(oldest) = oldest {
                    self.refused.remove(&oldest);
                    self.remove_evidence(oldest, now);
                }
            }
            let until = now + FIRST_REFUSAL_TIME;
            let refused =
                RefusedPart { since: now, until, term: FIRST_REFUSAL_TIME, trial_until: None };
            self.refused.insert(weight.part, refused);
            self.version += 1;
            let (part, crashes) = (weight.part, weight.crashes);
            self.events.push(QuarantineEvent::Refused { part, crashes });
        }
    }

    /// Returns the part with the heaviest evidence among those that are suspect in
    /// enough crashes and explain one that no refused part explains, or enough of them
    /// if the part was answered of late, and the time at which it became suspect in
    /// enough crashes.
    fn find_heaviest(&self) -> Option<(EvidenceWeight, Duration)> {
        let mut weights: HashMap<PartHash, (EvidenceWeight, Vec<Duration>)> = HashMap::new();
        for crash in &self.crashes {
            let is_explained = crash.parts.keys().any(|part| self.refused.contains_key(part));
            for (part, suspect) in &crash.parts {
                let (weight, recorded) = weights.entry(*part).or_default();
                weight.part = *part;
                weight.is_unanswered = !self.cleared.contains_key(part);
                weight.crashes += 1;
                weight.unexplained += usize::from(!is_explained);
                weight.position = weight.position.max(suspect.position);
                recorded.push(suspect.recorded_at);
            }
        }
        let eligible = weights.into_values().filter(|(weight, _)| {
            let unexplained = if weight.is_unanswered { 1 } else { CRASHES_DESPITE_ANSWERS };
            weight.crashes >= weight.crashes_needed() && weight.unexplained >= unexplained
        });
        let (weight, mut recorded) = eligible.max()?;
        recorded.sort_unstable();
        Some((weight, recorded[weight.crashes_needed() - 1]))
    }

    /// Returns whether the host that requests a refused part may try it now.
    fn grant_trial(&mut self, now: Duration, part: PartHash) -> bool {
        let Some(refused) = self.refused.get_mut(&part).filter(|refused| now >= refused.until)
        else {
            return false;
        };
        if refused.trial_until.is_some() {
            return false;
        }
        refused.trial_until = Some(now + TRIAL_TIMEOUT);
        self.events.push(QuarantineEvent::TrialGranted { part });
        true
    }

    /// Refuses a part for twice as long if there is a trial of it.
    fn fail_trial(&mut self, now: Duration, part: PartHash) {
        let refused = self.refused.get_mut(&part);
        let Some(refused) = refused.filter(|refused| refused.trial_until.is_some()) else { return };
        refused.trial_until = None;
        refused.term = (refused.term * 2).min(MAX_REFUSAL_TIME);
        refused.until = now + refused.term;
        self.version += 1;
        self.events.push(QuarantineEvent::TrialFailed { part });
    }

    fn forget_old_evidence(&mut self, now: Duration) {
        self.crashes.retain(|crash| now.saturating_sub(crash.at) < EVIDENCE_LIFETIME);
        self.cleared.retain(|_, at| now.saturating_sub(*at) < CLEARANCE_LIFETIME);
        let is_overdue = |refused: &RefusedPart| {
            refused.trial_until.is_some_and(|trial_until| now >= trial_until)
        };
        let overdue = self.refused.iter().filter(|(_, refused)| is_overdue(refused));
        let overdue: Vec<PartHash> = overdue.map(|(part, _)| *part).collect();
        for part in overdue {
            self.fail_trial(now, part);
        }
        let refused = self.refused.len();
        self.refused.retain(|_, refused| now.saturating_sub(refused.until) < UNREQUESTED_LIFETIME);
        if self.refused.len() < refused {
            self.version += 1;
        }
    }
}
