//! Limits the memory of response bodies that are held until they are complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// Number of bytes that all held bodies of a process may have together.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

/// A body that counts against a [`ByteBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    budget: ByteBudget,
    bytes: BytesMut,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget { used: Arc::default(), limit }
    }

    /// Returns an empty body.
    pub fn hold_body(&self) -> HeldBody {
        HeldBody { budget: self.clone(), bytes: BytesMut::new() }
    }
}

impl HeldBody {
    /// Appends a part and returns whether the budget and `max_bytes` permit it.
    pub fn try_extend(&mut self, part: &[u8], max_bytes: usize) -> bool {
        if self.bytes.len() + part.len() > max_bytes {
            return false;
        }
        let used = self.budget.used.fetch_add(part.len(), Ordering::Relaxed);
        if used + part.len() > self.budget.limit {
            self.budget.used.fetch_sub(part.len(), Ordering::Relaxed);
            return false;
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Returns the body, which counts against the budget until its last copy is
    /// dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}
