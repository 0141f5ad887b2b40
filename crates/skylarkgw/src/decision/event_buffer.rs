//! Splits the bytes of an event stream into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// Byte order mark that may precede a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Bytes of an event stream that have arrived and were not taken out yet.
///
/// A line ends with a line feed, a carriage return or both. A blank line ends an event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    data: BytesMut,
    /// Start of the line that is searched for its end.
    line_start: usize,
    /// Position up to which that line has no end.
    searched: usize,
    /// Whether the bytes follow those of an interrupted stream.
    is_rest: bool,
    /// Whether the first bytes were examined.
    has_begun: bool,
}

impl EventBuffer {
    /// Discards a partial event and expects the rest of the stream from its start.
    pub fn begin_rest(&mut self) {
        *self = EventBuffer { is_rest: true, ..EventBuffer::default() };
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether the buffer contains no partial event.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Adds bytes. A byte order mark is removed from the rest of a stream, because it is
    /// part of a field name there.
    pub fn push(&mut self, data: &[u8]) {
        self.data.extend_from_slice(data);
        if self.has_begun || self.data.len() < BYTE_ORDER_MARK.len() {
            return;
        }
        self.has_begun = true;
        if self.is_rest && self.data.starts_with(BYTE_ORDER_MARK) {
            self.data.advance(BYTE_ORDER_MARK.len());
            (self.line_start, self.searched) = (0, 0);
        }
    }

    /// Removes the next whole event, with the blank line that ends it.
    ///
    /// A blank line without an event is returned on its own.
    pub fn take_event(&mut self) -> Option<Bytes> {
        loop {
            let (text_end, line_end) = self.find_line()?;
            let is_blank = text_end == self.line_start;
            (self.line_start, self.searched) = (line_end, line_end);
            if is_blank {
                (self.line_start, self.searched) = (0, 0);
                self.has_begun = true;
                return Some(self.data.split_to(line_end).freeze());
            }
        }
    }

    /// Returns the end of the text of the current line and the start of the next one.
    fn find_line(&mut self) -> Option<(usize, usize)> {
        let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let Some(offset) = self.data[self.searched..].iter().position(is_end) else {
            self.searched = self.data.len();
            return None;
        };
        let text_end = self.searched + offset;
        match (self.data[text_end], self.data.get(text_end + 1)) {
            (b'\r', Some(b'\n')) => Some((text_end, text_end + 2)),
            // A line feed may follow, unless lines end with a carriage return alone.
            (b'\r', None) if !self.ends_with_returns(text_end) => {
                self.searched = text_end;
                None
            }
            _ => Some((text_end, text_end + 1)),
        }
    }

    /// Returns whether a blank line at `text_end` follows a carriage return.
    fn ends_with_returns(&self, text_end: usize) -> bool {
        text_end == self.line_start && text_end > 0 && self.data[text_end - 1] == b'\r'
    }
}
