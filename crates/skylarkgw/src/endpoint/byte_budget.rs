//! Limits the memory of responses, and parts of them, that are held until they are
//! complete.
//!
//! When the budget is used up, the largest incomplete response gives way. An endpoint that
//! sends without end therefore loses its response before any shorter one is lost.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::watch;

/// Smallest capacity of a body that is not empty, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// Number of bytes that all holders of a process may have together.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    usage: Arc<Mutex<BudgetUsage>>,
    limit: usize,
}

/// Memory that counts against a [`ByteBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    budget: ByteBudget,
    number: u64,
    eviction: watch::Receiver<bool>,
}

/// A body that counts against a [`ByteBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: HeldMemory,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct BudgetUsage {
    used: usize,
    holders: HashMap<u64, MemoryHolder>,
    next_number: u64,
}

#[derive(Debug)]
struct MemoryHolder {
    bytes: usize,
    /// Tells the holder that it has given way, or `None` if it cannot.
    eviction: Option<watch::Sender<bool>>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget { usage: Arc::default(), limit }
    }

    /// Returns an empty body.
    pub fn hold_body(&self) -> HeldBody {
        HeldBody { memory: self.hold_memory(), bytes: Vec::new() }
    }

    /// Returns a holder of no memory.
    pub fn hold_memory(&self) -> HeldMemory {
        let (sender, eviction) = watch::channel(false);
        let mut usage = self.lock_usage();
        let number = usage.next_number;
        usage.next_number += 1;
        usage.holders.insert(number, MemoryHolder { bytes: 0, eviction: Some(sender) });
        drop(usage);
        HeldMemory { budget: self.clone(), number, eviction }
    }

    fn lock_usage(&self) -> MutexGuard<'_, BudgetUsage> {
        // A panic leaves the counts as they were before or after a change.
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetUsage {
    /// Removes the largest holder of more than `bytes` that can give way, and returns
    /// whether there is one.
    fn evict_larger(&mut self, bytes: usize, except: u64) -> bool {
        let larger = self.holders.iter().filter(|(number, holder)| {
            **number != except && holder.bytes > bytes && holder.eviction.is_some()
        });
        let largest = larger.max_by_key(|(_, holder)| holder.bytes).map(|(number, _)| *number);
        let Some(holder) = largest.and_then(|number| self.holders.remove(&number)) else {
            return false;
        };
        self.used -= holder.bytes;
        if let Some(eviction) = holder.eviction {
            eviction.send_replace(true);
        }
        true
    }
}

impl HeldMemory {
    /// Changes the number of held bytes, and returns whether the budget permits it.
    ///
    /// Larger holders give way to this one. It returns `false` once this one has given way.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let mut usage = self.budget.lock_usage();
        let Some(held) = usage.holders.get(&self.number).map(|holder| holder.bytes) else {
            return false;
        };
        while usage.used - held + bytes > limit {
            if bytes <= held || !usage.evict_larger(bytes, self.number) {
                return false;
            }
        }
        usage.used = usage.used - held + bytes;
        if let Some(holder) = usage.holders.get_mut(&self.number) {
            holder.bytes = bytes;
        }
        true
    }

    /// Excludes this holder from those that give way, and returns whether it is still
    /// one.
    fn keep(&self) -> bool {
        let mut usage = self.budget.lock_usage();
        let holder = usage.holders.get_mut(&self.number);
        holder.map(|holder| holder.eviction = None).is_some()
    }

    /// Waits until this holder has given way and must be dropped.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        let mut eviction = self.eviction.clone();
        async move {
            if eviction.wait_for(|is_evicted| *is_evicted).await.is_err() {
                // A holder that is kept is never evicted.
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut usage = self.budget.lock_usage();
        if let Some(holder) = usage.holders.remove(&self.number) {
            usage.used -= holder.bytes;
        }
    }
}

impl HeldBody {
    /// Appends a part and returns whether the budget and `max_bytes` permit it.
    pub fn try_extend(&mut self, part: &[u8], max_bytes: usize) -> bool {
        let length = self.bytes.len() + part.len();
        if length > max_bytes {
            return false;
        }
        if length > self.bytes.capacity() {
            let grown = self.bytes.capacity() + self.bytes.capacity() / 2;
            let capacity = length.max(grown).max(MIN_CAPACITY);
            if !self.memory.try_resize(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        true
    }

    /// Waits until this body has given way to a shorter one.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        self.memory.eviction()
    }

    /// Returns the body, which counts against the budget until its last copy is
    /// dropped, or `None` if it has given way to a shorter one.
    pub fn into_bytes(self) -> Option<Bytes> {
        self.memory.keep().then(|| Bytes::from_owner(self))
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
