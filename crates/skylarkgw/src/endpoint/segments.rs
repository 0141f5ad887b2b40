//! Bodies that are held in segments.
//!
//! A body grows by further segments of at most 64 KiB, so that its bytes are copied once
//! and its freed memory fits any other body.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::endpoint::HeldMemory;

/// Smallest size of a segment, in bytes.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;
/// Largest size of a segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// A body that is being received.
#[derive(Debug, Default)]
pub struct SegmentBuffer {
    full: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
    capacity: usize,
}

impl SegmentBuffer {
    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the buffer contains no byte.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory that the segments occupy, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the memory that the segments occupy once `length` more bytes are added.
    pub fn capacity_with(&self, length: usize) -> usize {
        let mut capacity = self.capacity;
        let mut left = length.saturating_sub(self.last.capacity() - self.last.len());
        while left > 0 {
            let segment = segment_size(left, capacity);
            capacity += segment;
            left = left.saturating_sub(segment);
        }
        capacity
    }

    /// Adds a part without a copy. Its memory is not part of the capacity.
    pub fn push_shared(&mut self, part: Bytes) {
        self.length += part.len();
        let last = std::mem::take(&mut self.last);
        if !last.is_empty() {
            self.full.push(last.into());
        }
        self.full.push(part);
    }

    /// Adds a copy of a part.
    pub fn push(&mut self, mut part: &[u8]) {
        self.length += part.len();
        while !part.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                let segment = segment_size(part.len(), self.capacity);
                self.capacity += segment;
                let last = std::mem::replace(&mut self.last, Vec::with_capacity(segment));
                if !last.is_empty() {
                    self.full.push(last.into());
                }
                continue;
            }
            let (now, rest) = part.split_at(room.min(part.len()));
            self.last.extend_from_slice(now);
            part = rest;
        }
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> SegmentedBytes {
        if !self.last.is_empty() {
            self.full.push(self.last.into());
        }
        let mut segments = self.full.into_iter();
        let first = segments.next().unwrap_or_default();
        let rest = (segments.len() > 0).then(|| segments.collect());
        SegmentedBytes { first, rest, length: self.length, _memory: None }
    }
}

/// Returns the size of the next segment of a buffer.
fn segment_size(length: usize, capacity: usize) -> usize {
    length.max(capacity / 2).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
}

/// A complete body, whose copies share its memory.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBytes {
    first: Bytes,
    rest: Option<Arc<[Bytes]>>,
    length: usize,
    /// Counts the memory until the last copy is dropped.
    _memory: Option<Arc<HeldMemory>>,
}

impl SegmentedBytes {
    /// Returns the body with the holder of its memory.
    pub(super) fn with_memory(self, memory: HeldMemory) -> SegmentedBytes {
        SegmentedBytes { _memory: Some(Arc::new(memory)), ..self }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no byte.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn segment(&self, index: usize) -> Option<&Bytes> {
        match index {
            0 => Some(&self.first),
            _ => self.rest.as_ref()?.get(index - 1),
        }
    }
}

impl From<Bytes> for SegmentedBytes {
    fn from(first: Bytes) -> SegmentedBytes {
        SegmentedBytes { length: first.len(), first, ..SegmentedBytes::default() }
    }
}

/// Sends a [`SegmentedBytes`] segment by segment.
#[derive(Debug)]
pub struct SegmentBody {
    bytes: SegmentedBytes,
    next: usize,
    /// Number of bytes that were not sent yet.
    left: usize,
}

impl From<SegmentedBytes> for SegmentBody {
    fn from(bytes: SegmentedBytes) -> SegmentBody {
        SegmentBody { next: 0, left: bytes.len(), bytes }
    }
}

impl From<Full<Bytes>> for SegmentBody {
    fn from(body: Full<Bytes>) -> SegmentBody {
        SegmentedBytes::from(body.into_inner().unwrap_or_default()).into()
    }
}

impl Body for SegmentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let segment = self.bytes.segment(self.next).cloned();
        self.next += 1;
        self.left -= segment.as_ref().map_or(self.left, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
