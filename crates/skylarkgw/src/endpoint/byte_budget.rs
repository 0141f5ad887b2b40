//! Counts what a process holds for its clients, and tells holders to give way.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::watch;
use tokio::task::yield_now;

use crate::decision::memory_budget::{
    BudgetLimits, HolderAmount, HolderClass, HolderNumber, HolderPhase, MemoryBudget,
};
use crate::endpoint::segments::{SegmentBuffer, SegmentedBytes};

/// Maximum number of times that a holder lets those that give way run first.
const MAX_SETTLE_PASSES: usize = 8;

/// Memory and descriptors that all holders of a process may have together.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    usage: Arc<Mutex<BudgetUsage>>,
    started: Instant,
}

/// What a [`ByteBudget`] has counted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BudgetCounts {
    /// What all holders use.
    pub used: HolderAmount,
    /// Holders that gave way since the last call, by their phase.
    pub evictions: HashMap<&'static str, u64>,
}

/// Memory that counts against a [`ByteBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    budget: ByteBudget,
    number: HolderNumber,
    eviction: watch::Receiver<bool>,
}

/// A body that counts against a [`ByteBudget`] until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    memory: HeldMemory,
    buffer: SegmentBuffer,
}

#[derive(Debug)]
struct BudgetUsage {
    budget: MemoryBudget,
    /// Tell holders to give way.
    signals: HashMap<HolderNumber, watch::Sender<bool>>,
    evictions: HashMap<&'static str, u64>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes without a limit of descriptors.
    pub fn new(limit: usize) -> ByteBudget {
        let unlimited = usize::MAX;
        ByteBudget::with_limits(BudgetLimits {
            bytes: limit,
            descriptors: unlimited,
            all_descriptors: unlimited,
        })
    }

    /// Creates a budget with limits.
    pub fn with_limits(limits: BudgetLimits) -> ByteBudget {
        let usage = BudgetUsage {
            budget: MemoryBudget::new(limits),
            signals: HashMap::new(),
            evictions: HashMap::new(),
        };
        ByteBudget { usage: Arc::new(Mutex::new(usage)), started: Instant::now() }
    }

    /// Returns an empty body of an answer.
    pub fn hold_body(&self) -> HeldBody {
        HeldBody { memory: self.hold_memory(), buffer: SegmentBuffer::default() }
    }

    /// Returns a holder of no memory for an answer that is arriving.
    pub fn hold_memory(&self) -> HeldMemory {
        self.hold(HolderClass::Answer, HolderPhase::Arriving)
    }

    /// Returns a holder of no memory.
    pub fn hold(&self, class: HolderClass, phase: HolderPhase) -> HeldMemory {
        let (sender, eviction) = watch::channel(false);
        let mut usage = self.lock_usage();
        let number = usage.budget.add(self.started.elapsed(), class, phase);
        usage.signals.insert(number, sender);
        drop(usage);
        HeldMemory { budget: self.clone(), number, eviction }
    }

    /// Returns what is in use, and the evictions since the last call.
    pub fn take_counts(&self) -> BudgetCounts {
        let mut usage = self.lock_usage();
        let evictions = std::mem::take(&mut usage.evictions);
        BudgetCounts { used: usage.budget.used(), evictions }
    }

    /// Lets holders that give way run before more memory is allocated.
    pub async fn settle(&self) {
        for _ in 0..MAX_SETTLE_PASSES {
            if !self.lock_usage().budget.is_exceeded() {
                return;
            }
            yield_now().await;
        }
    }

    fn lock_usage(&self) -> MutexGuard<'_, BudgetUsage> {
        // A panic leaves the counts as they were before or after a change.
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeldMemory {
    /// Changes the number of held bytes, and returns whether the budget permits it.
    ///
    /// Others give way to this holder. It returns `false` once this one has given way.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        self.resize(HolderAmount { bytes, descriptors: 0 })
    }

    /// Changes what is held, and returns whether the budget permits it.
    pub fn resize(&self, amount: HolderAmount) -> bool {
        let now = self.budget.started.elapsed();
        let mut usage = self.budget.lock_usage();
        let decision = usage.budget.resize(now, self.number, amount);
        for (number, phase) in decision.evicted {
            *usage.evictions.entry(phase.label()).or_default() += 1;
            if let Some(signal) = usage.signals.get(&number) {
                signal.send_replace(true);
            }
        }
        decision.is_granted
    }

    /// Records what the holder waits for from now on, and returns whether it need not give
    /// way.
    pub fn set_phase(&self, phase: HolderPhase) -> bool {
        let now = self.budget.started.elapsed();
        self.budget.lock_usage().budget.set_phase(now, self.number, phase)
    }

    /// Returns whether this holder must be dropped.
    pub fn is_evicted(&self) -> bool {
        *self.eviction.borrow()
    }

    /// Returns the budget.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Waits until this holder has given way and must be dropped.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        let mut eviction = self.eviction.clone();
        async move {
            if eviction.wait_for(|is_evicted| *is_evicted).await.is_err() {
                // The holder was dropped.
                std::future::pending::<()>().await;
            }
        }
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut usage = self.budget.lock_usage();
        usage.budget.remove(self.number);
        usage.signals.remove(&self.number);
    }
}

impl HeldBody {
    /// Appends a part and returns whether the budget and `max_bytes` permit it.
    pub fn try_extend(&mut self, part: &[u8], max_bytes: usize) -> bool {
        if self.buffer.len() + part.len() > max_bytes {
            return false;
        }
        let capacity = self.buffer.capacity_with(part.len());
        let has_grown = capacity > self.buffer.capacity();
        if has_grown && !self.memory.try_resize(capacity) {
            return false;
        }
        self.buffer.push(part);
        !self.memory.is_evicted()
    }

    /// Waits until this body has given way.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        self.memory.eviction()
    }

    /// Returns the body, which counts against the budget until its last copy is
    /// dropped, or `None` if it has given way.
    pub fn into_bytes(self) -> Option<SegmentedBytes> {
        let is_kept = self.memory.set_phase(HolderPhase::Kept);
        is_kept.then(|| self.buffer.finish().with_memory(self.memory))
    }
}
