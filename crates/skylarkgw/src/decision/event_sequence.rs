//! Checks that the events of several engines continue one stream.

use std::sync::Arc;

use thiserror::Error;

/// Start of a response head.
const HEAD_START: &[u8] = b"HTTP/1.";
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Reason why an event must not be relayed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SequenceFault {
    /// The bytes contain the head of a response.
    #[error("a response head in a stream")]
    ResponseHead,
    /// The rest of a stream has an event without a number as its identifier.
    #[error("an event without a number in the rest of a stream")]
    Unnumbered,
    /// The event was relayed already.
    #[error("an event that was relayed already")]
    Repeated,
    /// Events between the last relayed one and this one are missing.
    #[error("events are missing in a stream")]
    Missing,
}

impl SequenceFault {
    /// Returns the label in logs.
    pub fn label(self) -> &'static str {
        match self {
            SequenceFault::ResponseHead => "head-in-stream",
            SequenceFault::Unnumbered => "event-unnumbered",
            SequenceFault::Repeated => "event-repeated",
            SequenceFault::Missing => "events-missing",
        }
    }
}

/// Where a stream may be resumed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum ResumePoint {
    /// At the start, as no event was relayed.
    #[default]
    Start,
    /// After the event with this identifier, which is a number.
    After(Arc<str>, u64),
    /// Nowhere, because the last relayed event has no number, or one that is not
    /// greater than that of the event before it.
    Unknown,
}

/// Content of a whole event.
enum EventContent {
    /// Comments, a retry delay or nothing.
    Ignored,
    /// Part of a response head.
    ResponseHead,
    Numbered(Arc<str>, u64),
    Unnumbered,
}

/// Sequence of the events that were relayed to a client.
///
/// The events of the first engine are relayed as they are. Those of later engines must
/// have increasing numbers that follow the last relayed one. They must not leave out
/// numbers, unless the first engine did.
#[derive(Debug, Default)]
pub struct EventSequence {
    point: ResumePoint,
    /// Whether the events are those of a later engine.
    is_rest: bool,
    /// Whether a later engine has sent an event.
    has_continued: bool,
    /// Whether the first engine left out numbers.
    skips_numbers: bool,
    /// Number of events that were accepted.
    accepted: u32,
}

impl EventSequence {
    /// Returns where the stream may be resumed.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.point
    }

    /// Returns the number of events with content that are or will be relayed.
    pub fn accepted(&self) -> u32 {
        self.accepted
    }

    /// Expects the events of another engine after the last relayed one.
    pub fn begin_rest(&mut self) {
        self.is_rest = self.point != ResumePoint::Start;
        self.has_continued = false;
    }

    /// Returns whether a later engine has sent no event, so that its answer does not show
    /// that the interrupted stream was complete.
    pub fn is_awaiting_rest(&self) -> bool {
        self.is_rest && !self.has_continued
    }

    /// Adds a whole event that is to be relayed.
    ///
    /// # Errors
    ///
    /// [`SequenceFault`] if the event must not be relayed; the sequence is unchanged.
    pub fn accept(&mut self, event: &[u8]) -> Result<(), SequenceFault> {
        let point = match read_event(event) {
            EventContent::Ignored => return Ok(()),
            EventContent::ResponseHead => return Err(SequenceFault::ResponseHead),
            EventContent::Unnumbered if self.is_rest => return Err(SequenceFault::Unnumbered),
            EventContent::Unnumbered => ResumePoint::Unknown,
            EventContent::Numbered(id, number) => self.follow(id, number)?,
        };
        self.point = point;
        self.accepted += 1;
        self.has_continued = true;
        Ok(())
    }

    fn follow(&mut self, id: Arc<str>, number: u64) -> Result<ResumePoint, SequenceFault> {
        let ResumePoint::After(_, last) = self.point else {
            return Ok(ResumePoint::After(id, number));
        };
        let leaves_out = number > last.saturating_add(1);
        match (self.is_rest, number > last) {
            (true, false) => return Err(SequenceFault::Repeated),
            (true, true) if leaves_out && !self.skips_numbers => {
                return Err(SequenceFault::Missing);
            }
            (false, false) => return Ok(ResumePoint::Unknown),
            _ => self.skips_numbers |= leaves_out,
        }
        Ok(ResumePoint::After(id, number))
    }
}

/// Reads the content of a whole event; the last identifier counts.
fn read_event(event: &[u8]) -> EventContent {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let mut content = EventContent::Ignored;
    let mut has_id = false;
    for line in event.split(|byte| matches!(byte, b'\n' | b'\r')) {
        if line.starts_with(HEAD_START) {
            return EventContent::ResponseHead;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[line.len()..]),
        };
        match name {
            b"" | b"retry" => {}
            b"id" => {
                content = read_number(value);
                has_id = true;
            }
            _ if !has_id => content = EventContent::Unnumbered,
            _ => {}
        }
    }
    content
}

fn read_number(value: &[u8]) -> EventContent {
    let text = std::str::from_utf8(value).unwrap_or_default().trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if is_number => EventContent::Numbered(text.into(), number),
        _ => EventContent::Unnumbered,
    }
}
