//! When a host closes a client connection that transfers nothing.
//!
//! Answers announce for how long the connection may be reused, and the connection stays
//! open for longer than that, so a request that a client sends in time does not cross the
//! close. A limit that changes meanwhile may prolong this time and never shortens it.

use std::time::Duration;

use crate::gateway::declaration::ClientLimits;

/// Share of the idle limit for which answers announce that the connection may be reused.
const REUSE_SHARE: f64 = 0.8;
/// Time that a new connection has for its first request while the host stops.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Returns the time for which answers announce that a connection may be reused, in whole
/// seconds, or `None` if that is less than one.
pub fn announced_reuse_s(limits: &ClientLimits) -> Option<u64> {
    let seconds = limits.idle_timeout.mul_f64(REUSE_SHARE).as_secs();
    (seconds > 0).then_some(seconds)
}

/// What a connection waits for, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionPhase {
    /// The first byte of a request.
    Idle { since: Duration },
    /// The rest of a request head.
    Head { since: Duration },
    /// The end of an answer.
    Answer,
    /// The transfer of the rest of an answer whose last frame was read, since the last
    /// byte of it.
    Transfer { since: Duration },
}

/// Why a connection is due to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DueReason {
    /// The client has sent nothing for the idle limit.
    Idle,
    /// The rest of a request head has not arrived in time.
    HeadTimeout,
    /// The host stops, and no request is under way.
    Stop,
}

/// Times of one client connection. All times count from the same fixed point.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionClock {
    phase: ConnectionPhase,
    has_served: bool,
    /// Idle limit at the last answer, which the client may still go by.
    promised_idle: Duration,
    /// Since when the client takes no bytes of an answer.
    blocked_since: Option<Duration>,
}

impl ConnectionClock {
    /// Creates the clock of a connection that is accepted at `now`.
    pub fn new(now: Duration) -> ConnectionClock {
        ConnectionClock {
            phase: ConnectionPhase::Idle { since: now },
            has_served: false,
            promised_idle: Duration::ZERO,
            blocked_since: None,
        }
    }

    /// Records that bytes of the client have arrived, and returns whether a request head
    /// begins with them.
    pub fn record_bytes(&mut self, now: Duration) -> bool {
        let (ConnectionPhase::Idle { .. } | ConnectionPhase::Transfer { .. }) = self.phase else {
            return false;
        };
        self.phase = ConnectionPhase::Head { since: now };
        true
    }

    /// Records that the client takes no bytes for now.
    pub fn record_blocked(&mut self, now: Duration) {
        self.blocked_since.get_or_insert(now);
    }

    /// Returns whether a request is under way.
    pub fn has_request(&self) -> bool {
        self.phase == ConnectionPhase::Answer
    }

    /// Records that a request head is complete.
    pub fn begin_request(&mut self) {
        self.phase = ConnectionPhase::Answer;
    }

    /// Records that the head of an answer announces the reuse time of `limits`.
    pub fn record_announcement(&mut self, limits: &ClientLimits) {
        self.promised_idle = limits.idle_timeout;
    }

    /// Records that the last frame of an answer was read. Bytes of it may still have to be
    /// sent.
    pub fn end_answer(&mut self, now: Duration) {
        self.phase = ConnectionPhase::Transfer { since: now };
        self.has_served = true;
    }

    /// Records that bytes of an answer were sent.
    pub fn record_sent_bytes(&mut self, now: Duration) {
        self.blocked_since = None;
        if let ConnectionPhase::Transfer { since } = &mut self.phase {
            *since = now;
        }
    }

    /// Records that all bytes of answers so far were sent.
    pub fn record_flush(&mut self, now: Duration) {
        if let ConnectionPhase::Transfer { .. } = self.phase {
            self.phase = ConnectionPhase::Idle { since: now };
        }
    }

    /// Returns whether a part of a request head has arrived.
    pub fn has_partial_head(&self) -> bool {
        matches!(self.phase, ConnectionPhase::Head { .. })
    }

    /// Returns when and why the connection is to be closed unless something happens
    /// before, or `None` while an answer is under way that its client takes.
    pub fn due(&self, limits: &ClientLimits, is_stopping: bool) -> Option<(Duration, DueReason)> {
        match self.phase {
            ConnectionPhase::Idle { since } if is_stopping => {
                let time = if self.has_served { Duration::ZERO } else { FIRST_REQUEST_TIME };
                Some((since + time, DueReason::Stop))
            }
            ConnectionPhase::Idle { since } | ConnectionPhase::Transfer { since } => {
                Some((since + limits.idle_timeout.max(self.promised_idle), DueReason::Idle))
            }
            ConnectionPhase::Head { since } => {
                Some((since + limits.header_timeout, DueReason::HeadTimeout))
            }
            ConnectionPhase::Answer => {
                let idle_timeout = limits.idle_timeout.max(self.promised_idle);
                self.blocked_since.map(|since| (since + idle_timeout, DueReason::Idle))
            }
        }
    }
}
