//! At-most-once execution of calls that must not be repeated.
//!
//! A call without an idempotency key is sent on its own connection, and is not
//! sent again after a byte of it may have left the host. For a call with a key, a
//! record is created in the platform's store before the call is sent, so that a
//! retry at any host finds it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decision::invariant::Invariant;
use crate::decision::shares::PlatformOutcome;
use crate::ids::{ObjectVersion, RequestId};

/// Maximum size of an answer body that is stored for retries, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;
/// Maximum number of reads that determine the state of a record after an
/// unconfirmed write.
pub const MAX_READS: u32 = 4;

/// Outcome of a call to the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(StoredAnswer),
    /// No byte of the call left the host, or the service reported that it did not
    /// run the call.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Answer of the service as it is stored for retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Arc<str>,
    /// Body, if it is UTF-8 text of at most [`MAX_STORED_ANSWER_BYTES`].
    pub body: Option<Arc<str>>,
}

/// State of a recorded call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordPhase {
    /// The call may have been sent, or may be sent at any time.
    Intended,
    /// The call did not run; the next attempt may send it.
    Released,
    /// The call ran and was answered.
    Answered(StoredAnswer),
}

/// Record of one idempotency key in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedCallRecord {
    /// Identifier of the request that wrote the record last.
    pub attempt: RequestId,
    /// Hash of the call, to detect a different call under the same key.
    pub digest: Arc<str>,
    /// State of the call.
    pub phase: RecordPhase,
}

/// Next action for a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedCallAction {
    /// Write the record if its version is the expected one.
    Write {
        /// Version that the record must have; zero creates it.
        expected: ObjectVersion,
        /// New value of the record.
        record: KeyedCallRecord,
    },
    /// Read the record.
    Read,
    /// Send the call to the service. This action is returned at most once.
    Send,
    /// Answer the client.
    Finish(KeyedCallResult),
}

/// Result of a keyed call, which the client receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyedCallResult {
    /// The service answered this call or an earlier one under the same key.
    Answer {
        /// Answer of the service.
        answer: StoredAnswer,
        /// Whether the answer is the stored one of an earlier call.
        replayed: bool,
    },
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
    /// The record could not be written or read. This call did not run, but an
    /// earlier one under the same key may have.
    RecordUnavailable,
    /// The key was used for a different call.
    KeyReused,
}

/// State of the earlier calls under a key, according to its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EarlierCall {
    /// No earlier call has run.
    NotRun,
    /// An earlier call may have run.
    Unknown,
    /// An earlier call ran and was answered.
    Answered(StoredAnswer),
}

/// Determines the state of earlier calls from a read of their record.
///
/// The state is [`EarlierCall::Unknown`] if the record belongs to a different
/// call under the same key.
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
    /// The write that claims the record is pending.
    Claiming,
    /// A read of the record is pending after an unconfirmed claim.
    Checking,
    /// The call to the service is pending.
    Sending,
    /// The write of the result is pending.
    Recording(KeyedCallResult),
    Done,
}

/// State machine of one call under an idempotency key.
#[derive(Debug)]
pub struct KeyedCall {
    attempt: RequestId,
    digest: Arc<str>,
    state: KeyedCallState,
    /// Version of the record that claims the call; zero before the claim.
    version: ObjectVersion,
    /// Number of reads of the record so far.
    reads: u32,
    is_sent: bool,
}

impl KeyedCall {
    /// Creates the state machine and returns its first action.
    pub fn start(attempt: RequestId, digest: Arc<str>) -> (KeyedCall, KeyedCallAction) {
        let keyed_call = KeyedCall {
            attempt,
            digest,
            state: KeyedCallState::Claiming,
            version: 0,
            reads: 0,
            is_sent: false,
        };
        let action = keyed_call.claim(0);
        (keyed_call, action)
    }

    /// Processes the outcome of a call to the platform and returns the next action.
    pub fn handle_platform_outcome(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        match self.state.clone() {
            KeyedCallState::Claiming => self.handle_claim_outcome(outcome),
            KeyedCallState::Checking => self.handle_record_read(outcome),
            KeyedCallState::Recording(result) => self.finish(result),
            KeyedCallState::Sending | KeyedCallState::Done => self.finish(KeyedCallResult::Unknown),
        }
    }

    /// Processes the outcome of the call to the service and returns the next action.
    pub fn handle_call_outcome(&mut self, outcome: CallOutcome) -> KeyedCallAction {
        let (phase, result) = match outcome {
            CallOutcome::Answered(answer) => (
                RecordPhase::Answered(answer.clone()),
                KeyedCallResult::Answer { answer, replayed: false },
            ),
            CallOutcome::NotRun => (RecordPhase::Released, KeyedCallResult::NotRun),
            CallOutcome::Unknown => return self.finish(KeyedCallResult::Unknown),
        };
        self.state = KeyedCallState::Recording(result);
        KeyedCallAction::Write { expected: self.version, record: self.build_record(phase) }
    }

    fn claim(&self, expected: ObjectVersion) -> KeyedCallAction {
        KeyedCallAction::Write { expected, record: self.build_record(RecordPhase::Intended) }
    }

    fn build_record(&self, phase: RecordPhase) -> KeyedCallRecord {
        KeyedCallRecord { attempt: self.attempt.clone(), digest: self.digest.clone(), phase }
    }

    fn handle_claim_outcome(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        match outcome {
            PlatformOutcome::Written { version } => self.send(version),
            PlatformOutcome::NotRun => self.finish(KeyedCallResult::RecordUnavailable),
            _ => {
                self.state = KeyedCallState::Checking;
                KeyedCallAction::Read
            }
        }
    }

    /// Processes a read of the record after a claim that was not confirmed.
    fn handle_record_read(&mut self, outcome: PlatformOutcome) -> KeyedCallAction {
        self.reads += 1;
        let (version, value) = match outcome {
            PlatformOutcome::Found { version, value } => (version, value),
            PlatformOutcome::Missing if self.reads < MAX_READS => return self.retry_claim(0),
            // A delayed claim may still be written, but the call is not sent.
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
            RecordPhase::Released if self.reads < MAX_READS => self.retry_claim(version),
            RecordPhase::Released => self.finish(KeyedCallResult::NotRun),
        }
    }

    fn retry_claim(&mut self, expected: ObjectVersion) -> KeyedCallAction {
        self.state = KeyedCallState::Claiming;
        self.claim(expected)
    }

    fn send(&mut self, version: ObjectVersion) -> KeyedCallAction {
        if !Invariant::CallSentOnce.check(!self.is_sent) {
            return self.finish(KeyedCallResult::Unknown);
        }
        self.is_sent = true;
        self.version = version;
        self.state = KeyedCallState::Sending;
        KeyedCallAction::Send
    }

    fn finish(&mut self, result: KeyedCallResult) -> KeyedCallAction {
        self.state = KeyedCallState::Done;
        KeyedCallAction::Finish(result)
    }
}
