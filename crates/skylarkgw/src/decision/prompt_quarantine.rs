//! The coordinator's collection of evidence on prompt parts that crash engines.
//!
//! Each host sees only the requests that it forwarded to a crashed engine. Together
//! their reports name all requests that the engine may have begun to answer. A part
//! of a prompt that any host has seen in a complete answer is cleared.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::prompt_evidence::{CrashObservation, SuspectPart};
use crate::decision::prompt_guard::{EVIDENCE_LIFETIME, PromptReport};
use crate::ids::{EndpointId, PartHash};

/// Maximum number of crashes that are kept as evidence.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspect parts of one crash.
const MAX_PARTS_PER_CRASH: usize = 128;
/// Maximum number of suspect parts that are sent to hosts.
const MAX_SENT_SUSPECTS: usize = 256;
/// Longest time between two observations of one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a cleared part stays cleared.
const CLEARANCE_LIFETIME: Duration = Duration::from_secs(60);

/// What the coordinator sends to hosts about prompt parts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuarantineState {
    /// Version of this state.
    pub version: u64,
    /// Parts with evidence against them; hosts report those that they have seen in
    /// complete answers.
    pub suspects: Vec<PartHash>,
    /// Parts that are refused, each with the remaining time.
    pub refused: Vec<(PartHash, Duration)>,
}

impl QuarantineState {
    /// Returns the fencing token of the coordinator that issued the state.
    pub fn term(&self) -> u64 {
        QuarantineState::term_of(self.version)
    }

    /// Returns the fencing token of the coordinator that issued a version.
    pub fn term_of(version: u64) -> u64 {
        version >> 32
    }
}

/// A new entry of the evidence, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineEvent {
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
    /// Suspect parts with their positions.
    parts: HashMap<PartHash, u32>,
}

/// The evidence that one coordinator has collected.
#[derive(Debug)]
pub struct PromptQuarantine {
    crashes: VecDeque<EngineCrash>,
    /// Parts that were proven harmless, with the time of the report.
    cleared: HashMap<PartHash, Duration>,
    version: u64,
    events: Vec<QuarantineEvent>,
}

impl PromptQuarantine {
    /// Creates the collection of a coordinator with the given fencing token.
    pub fn new(token: u64) -> PromptQuarantine {
        PromptQuarantine {
            crashes: VecDeque::new(),
            cleared: HashMap::new(),
            // The token in the upper bits keeps versions of different holders distinct.
            version: token << 32,
            events: Vec::new(),
        }
    }

    /// Adds the evidence of one host.
    pub fn record_report(&mut self, now: Duration, report: PromptReport) {
        self.forget_old_evidence(now);
        for part in report.proven {
            self.clear_part(now, part);
        }
        for crash in report.crashes {
            self.record_crash(now, crash);
        }
    }

    /// Returns the state, or `None` if `version` is the current one.
    pub fn state_since(&self, version: u64) -> Option<QuarantineState> {
        (version != self.version).then(|| self.state())
    }

    /// Returns the state.
    pub fn state(&self) -> QuarantineState {
        let newest = self.crashes.iter().rev();
        let mut suspects: Vec<PartHash> =
            newest.flat_map(|crash| crash.parts.keys().copied()).collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects.truncate(MAX_SENT_SUSPECTS);
        QuarantineState { version: self.version, suspects, refused: Vec::new() }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_crash(&mut self, now: Duration, crash: CrashObservation) {
        let at = now.saturating_sub(crash.age);
        let mut suspects = crash.parts;
        suspects.retain(|suspect| !self.cleared.contains_key(&suspect.part));
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
                parts.insert(suspect.part, suspect.position);
            }
        }
        if parts.len() > known {
            self.version += 1;
            self.events.push(QuarantineEvent::Crash { engine: crash.engine, parts: suspects });
        }
    }

    /// Removes a part from the evidence, because a prompt with it was answered.
    fn clear_part(&mut self, now: Duration, part: PartHash) {
        self.cleared.insert(part, now);
        let mut is_suspect = false;
        for crash in &mut self.crashes {
            is_suspect |= crash.parts.remove(&part).is_some();
        }
        if is_suspect {
            self.version += 1;
        }
    }

    fn forget_old_evidence(&mut self, now: Duration) {
        self.crashes.retain(|crash| now.saturating_sub(crash.at) < EVIDENCE_LIFETIME);
        self.cleared.retain(|_, at| now.saturating_sub(*at) < CLEARANCE_LIFETIME);
    }
}
