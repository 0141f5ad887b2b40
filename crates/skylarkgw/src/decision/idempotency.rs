//! At most once: the life of a call that may not be repeated.
//!
//! Without an idempotency key a call is sent once, on a connection of its own,
//! and never again once a byte may have left. With one, a record is created in
//! the platform before the call, so that a retry at any host finds it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decision::invariant::Invariant;
use crate::decision::shares::PlatformOutcome;
use crate::ids::{ObjectVersion, RequestId};

/// Largest answer that is kept for repeats, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;
/// Tries to settle a record whose write was left in doubt.
pub const RECORD_ATTEMPTS: u32 = 4;

/// How a call to the service ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(StoredAnswer),
    /// Certainly no byte left, or the service says that it did not run it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// An answer as it is kept for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body, if it is text and short enough to keep.
    pub body: Option<Arc<str>>,
}

/// Where a recorded call stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordPhase {
    /// It may be sent at any moment, or was.
    Intended,
    /// It certainly did not run; the next caller may send it.
    Released,
    /// It ran and was answered.
    Answered(StoredAnswer),
}

/// What the platform keeps of one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedCallRecord {
    /// Request that wrote the record last.
    pub attempt: RequestId,
    /// Hash of the call, to tell another call under the same key.
    pub digest: Arc<str>,
    /// Where the call stands.
    pub phase: RecordPhase,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedCallAction {
    /// Write the record.
    Write {
        /// Version that the record must have.
        expected: ObjectVersion,
        /// New record.
        record: KeyedCallRecord,
    },
    /// Read the record.
    Read,
    /// Send the call, once.
    Send,
    /// Answer the caller.
    Finish(KeyedCallResult),
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedCallResult {
    /// The service's answer, of this call or of the first one.
    Answer {
        /// The answer.
        answer: StoredAnswer,
        /// Whether it was kept from an earlier call.
        replayed: bool,
    },
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The record could not be read: this call did not run, but an earlier one
    /// under the same key may have.
    RecordUnavailable,
    /// The key was used for another call.
    KeyReused,
}

/// What a record says of earlier calls under its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EarlierCall {
    /// None has run.
    NotRun,
    /// One may have run.
    Unknown,
    /// One ran and was answered.
    Answered(StoredAnswer),
}

/// Returns what a read of a record says of earlier calls.
///
/// A record of another call under the same key counts as unknown.
pub fn classify_earlier_call(outcome: &PlatformOutcome, digest: &str) -> EarlierCall {
    let value = match outcome {
        PlatformOutcome::Found { value, .. } => value,
        PlatformOutcome::Missing => return EarlierCall::NotRun,
        _ => return EarlierCall::Unknown,
    };
    match serde_json::from_str::<KeyedCallRecord>(value) {
        Ok(record) if &*record.digest != digest => EarlierCall::Unknown,
        Ok(KeyedCallRecord { phase: RecordPhase::Answered(answer), .. }) => {
            EarlierCall::Answered(answer)
        }
        Ok(KeyedCallRecord { phase: RecordPhase::Released, .. }) => EarlierCall::NotRun,
        _ => EarlierCall::Unknown,
    }
}

#[derive(Clone, Debug)]
enum KeyedCallState {
    Claiming,
    Checking,
    Sending,
    Recording(KeyedCallResult),
    Done,
}

/// One call under an idempotency key.
#[derive(Debug)]
pub struct KeyedCall {
    attempt: RequestId,
    digest: Arc<str>,
    step: KeyedCallState,
    version: ObjectVersion,
    tries: u32,
    sent: bool,
}

impl KeyedCall {
    /// Creates the machine and returns its first action.
    pub fn start(attempt: RequestId, digest: Arc<str>) -> (KeyedCall, KeyedCallAction) {
        let order = KeyedCall {
            attempt,
            digest,
            step: KeyedCallState::Claiming,
            version: 0,
            tries: 0,
            sent: false,
        };
        let action = order.claim(0);
        (order, action)
    }

    /// Takes in how a call to the platform ended.
    pub fn handle_platform_outcome(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        match self.step.clone() {
            KeyedCallState::Claiming => self.claimed(outcome),
            KeyedCallState::Checking => self.checked(outcome),
            KeyedCallState::Recording(finish) => self.finish(finish),
            KeyedCallState::Sending | KeyedCallState::Done => self.finish(KeyedCallResult::Unknown),
        }
    }

    /// Takes in how the call to the service ended.
    pub fn handle_call_outcome(&mut self, outcome: CallOutcome) -> KeyedCallAction {
        let (phase, finish) = match outcome {
            CallOutcome::Answered(answer) => (
                RecordPhase::Answered(answer.clone()),
                KeyedCallResult::Answer { answer, replayed: false },
            ),
            CallOutcome::NotRun => (RecordPhase::Released, KeyedCallResult::NotRun),
            CallOutcome::Unknown => return self.finish(KeyedCallResult::Unknown),
        };
        self.step = KeyedCallState::Recording(finish);
        KeyedCallAction::Write { expected: self.version, record: self.record(phase) }
    }

    fn claim(&self, expected: ObjectVersion) -> KeyedCallAction {
        KeyedCallAction::Write { expected, record: self.record(RecordPhase::Intended) }
    }

    fn record(&self, phase: RecordPhase) -> KeyedCallRecord {
        KeyedCallRecord { attempt: self.attempt.clone(), digest: self.digest.clone(), phase }
    }

    fn claimed(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        match outcome {
            PlatformOutcome::Written { version } => self.send(version),
            PlatformOutcome::NotRun => self.finish(KeyedCallResult::RecordUnavailable),
            _ => {
                self.step = KeyedCallState::Checking;
                KeyedCallAction::Read
            }
        }
    }

    /// Decides by the record as it stands after a claim that was not confirmed.
    fn checked(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        self.tries += 1;
        let (version, value) = match outcome {
            PlatformOutcome::Found { version, value } => (version, value),
            PlatformOutcome::Missing if self.tries < RECORD_ATTEMPTS => return self.reclaim(0),
            // The claim may still arrive, but nothing is sent under it.
            PlatformOutcome::Missing => return self.finish(KeyedCallResult::NotRun),
            _ => return self.finish(KeyedCallResult::RecordUnavailable),
        };
        let Ok(record) = serde_json::from_str::<KeyedCallRecord>(&value) else {
            return self.finish(KeyedCallResult::Unknown);
        };
        if record.digest != self.digest {
            return self.finish(KeyedCallResult::KeyReused);
        }
        match record.phase {
            RecordPhase::Answered(answer) => {
                self.finish(KeyedCallResult::Answer { answer, replayed: true })
            }
            RecordPhase::Intended if record.attempt == self.attempt => self.send(version),
            RecordPhase::Intended => self.finish(KeyedCallResult::Unknown),
            RecordPhase::Released if self.tries < RECORD_ATTEMPTS => self.reclaim(version),
            RecordPhase::Released => self.finish(KeyedCallResult::NotRun),
        }
    }

    fn reclaim(&mut self, expected: ObjectVersion) -> KeyedCallAction {
        self.step = KeyedCallState::Claiming;
        self.claim(expected)
    }

    fn send(&mut self, version: ObjectVersion) -> KeyedCallAction {
        if !Invariant::CallSentOnce.check(!self.sent) {
            return self.finish(KeyedCallResult::Unknown);
        }
        self.sent = true;
        self.version = version;
        self.step = KeyedCallState::Sending;
        KeyedCallAction::Send
    }

    fn finish(&mut self, finish: KeyedCallResult) -> KeyedCallAction {
        self.step = KeyedCallState::Done;
        KeyedCallAction::Finish(finish)
    }
}
