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
pub const STORED_ANSWER_BYTES: usize = 64 * 1024;
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
pub struct OrderRecord {
    /// Request that wrote the record last.
    pub attempt: RequestId,
    /// Hash of the call, to tell another call under the same key.
    pub digest: Arc<str>,
    /// Where the call stands.
    pub phase: RecordPhase,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAction {
    /// Write the record.
    Write {
        /// Version that the record must have.
        expected: ObjectVersion,
        /// New record.
        record: OrderRecord,
    },
    /// Read the record.
    Read,
    /// Send the call, once.
    Send,
    /// Answer the caller.
    Finish(OrderFinish),
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderFinish {
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
    Unread,
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
pub fn earlier_call(outcome: &PlatformOutcome, digest: &str) -> EarlierCall {
    let value = match outcome {
        PlatformOutcome::Found { value, .. } => value,
        PlatformOutcome::Missing => return EarlierCall::NotRun,
        _ => return EarlierCall::Unknown,
    };
    match serde_json::from_str::<OrderRecord>(value) {
        Ok(record) if &*record.digest != digest => EarlierCall::Unknown,
        Ok(OrderRecord { phase: RecordPhase::Answered(answer), .. }) => {
            EarlierCall::Answered(answer)
        }
        Ok(OrderRecord { phase: RecordPhase::Released, .. }) => EarlierCall::NotRun,
        _ => EarlierCall::Unknown,
    }
}

#[derive(Clone, Debug)]
enum OrderStep {
    Claiming,
    Checking,
    Sending,
    Recording(OrderFinish),
    Done,
}

/// One call under an idempotency key.
#[derive(Debug)]
pub struct KeyedOrder {
    attempt: RequestId,
    digest: Arc<str>,
    step: OrderStep,
    version: ObjectVersion,
    tries: u32,
    sent: bool,
}

impl KeyedOrder {
    /// Creates the machine and returns its first action.
    pub fn start(attempt: RequestId, digest: Arc<str>) -> (KeyedOrder, OrderAction) {
        let order = KeyedOrder {
            attempt,
            digest,
            step: OrderStep::Claiming,
            version: 0,
            tries: 0,
            sent: false,
        };
        let action = order.claim(0);
        (order, action)
    }

    /// Takes in how a call to the platform ended.
    pub fn platform(&mut self, outcome: PlatformOutcome) -> OrderAction {
        match self.step.clone() {
            OrderStep::Claiming => self.claimed(outcome),
            OrderStep::Checking => self.checked(outcome),
            OrderStep::Recording(finish) => self.finish(finish),
            OrderStep::Sending | OrderStep::Done => self.finish(OrderFinish::Unknown),
        }
    }

    /// Takes in how the call to the service ended.
    pub fn service(&mut self, outcome: CallOutcome) -> OrderAction {
        let (phase, finish) = match outcome {
            CallOutcome::Answered(answer) => (
                RecordPhase::Answered(answer.clone()),
                OrderFinish::Answer { answer, replayed: false },
            ),
            CallOutcome::NotRun => (RecordPhase::Released, OrderFinish::NotRun),
            CallOutcome::Unknown => return self.finish(OrderFinish::Unknown),
        };
        self.step = OrderStep::Recording(finish);
        OrderAction::Write { expected: self.version, record: self.record(phase) }
    }

    fn claim(&self, expected: ObjectVersion) -> OrderAction {
        OrderAction::Write { expected, record: self.record(RecordPhase::Intended) }
    }

    fn record(&self, phase: RecordPhase) -> OrderRecord {
        OrderRecord { attempt: self.attempt.clone(), digest: self.digest.clone(), phase }
    }

    fn claimed(&mut self, outcome: PlatformOutcome) -> OrderAction {
        match outcome {
            PlatformOutcome::Written { version } => self.send(version),
            PlatformOutcome::NotRun => self.finish(OrderFinish::Unread),
            _ => {
                self.step = OrderStep::Checking;
                OrderAction::Read
            }
        }
    }

    /// Decides by the record as it stands after a claim that was not confirmed.
    fn checked(&mut self, outcome: PlatformOutcome) -> OrderAction {
        self.tries += 1;
        let (version, value) = match outcome {
            PlatformOutcome::Found { version, value } => (version, value),
            PlatformOutcome::Missing if self.tries < RECORD_ATTEMPTS => return self.reclaim(0),
            // The claim may still arrive, but nothing is sent under it.
            PlatformOutcome::Missing => return self.finish(OrderFinish::NotRun),
            _ => return self.finish(OrderFinish::Unread),
        };
        let Ok(record) = serde_json::from_str::<OrderRecord>(&value) else {
            return self.finish(OrderFinish::Unknown);
        };
        if record.digest != self.digest {
            return self.finish(OrderFinish::KeyReused);
        }
        match record.phase {
            RecordPhase::Answered(answer) => {
                self.finish(OrderFinish::Answer { answer, replayed: true })
            }
            RecordPhase::Intended if record.attempt == self.attempt => self.send(version),
            RecordPhase::Intended => self.finish(OrderFinish::Unknown),
            RecordPhase::Released if self.tries < RECORD_ATTEMPTS => self.reclaim(version),
            RecordPhase::Released => self.finish(OrderFinish::NotRun),
        }
    }

    fn reclaim(&mut self, expected: ObjectVersion) -> OrderAction {
        self.step = OrderStep::Claiming;
        self.claim(expected)
    }

    fn send(&mut self, version: ObjectVersion) -> OrderAction {
        if !Invariant::OrderSentOnce.check(!self.sent) {
            return self.finish(OrderFinish::Unknown);
        }
        self.sent = true;
        self.version = version;
        self.step = OrderStep::Sending;
        OrderAction::Send
    }

    fn finish(&mut self, finish: OrderFinish) -> OrderAction {
        self.step = OrderStep::Done;
        OrderAction::Finish(finish)
    }
}
