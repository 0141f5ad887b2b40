//! What one client connection holds, in memory and descriptors.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::decision::memory_budget::{HolderAmount, HolderClass, HolderPhase};
use crate::endpoint::{ByteBudget, HeldMemory};

/// Memory of a connection without a request, besides the buffer for its bytes.
const CONNECTION_BYTES: usize = 8 * 1024;
/// Memory of a request besides its body: its head, its state and the connection to its
/// engine.
const REQUEST_BYTES: usize = 24 * 1024;

/// Memory and descriptors of a client connection and its request.
#[derive(Debug)]
pub struct ClientMemory {
    held: HeldMemory,
    /// Memory of the connection without a request, in bytes.
    base: usize,
    /// Whether the client is told that its request gave way.
    is_refusing: AtomicBool,
}

impl ClientMemory {
    /// Counts a new connection with a buffer of `buffer_bytes`, or returns `None` if there
    /// is no room for it.
    pub fn open(budget: &ByteBudget, buffer_bytes: usize) -> Option<ClientMemory> {
        let held = budget.hold(HolderClass::Request, HolderPhase::Idle);
        let base = CONNECTION_BYTES + buffer_bytes;
        let is_granted = held.resize(HolderAmount { bytes: base, descriptors: 1 });
        is_granted.then(|| ClientMemory { held, base, is_refusing: AtomicBool::new(false) })
    }

    /// Records that a request head begins to arrive.
    pub fn begin_head(&self) {
        self.held.set_phase(HolderPhase::Arriving);
    }

    /// Records that a request head has arrived, and returns whether there is room for the
    /// request.
    pub fn begin_request(&self) -> bool {
        // A connection that gives way has no room either.
        self.held.set_phase(HolderPhase::Kept);
        self.hold_body(0)
    }

    /// Records that the body of the request is arriving. It gives way by a refusal.
    pub fn begin_body(&self) {
        self.held.set_phase(HolderPhase::Arriving);
        self.is_refusing.store(true, Ordering::Relaxed);
    }

    /// Changes the memory of the request's body, and returns whether there is room for it.
    pub fn hold_body(&self, bytes: usize) -> bool {
        let bytes = self.base + REQUEST_BYTES + bytes;
        let is_granted = self.held.resize(HolderAmount { bytes, descriptors: 2 });
        self.is_refusing.fetch_or(!is_granted, Ordering::Relaxed);
        is_granted
    }

    /// Records that the body has arrived, and returns whether the request is kept.
    pub fn end_body(&self) -> bool {
        let is_kept = self.held.set_phase(HolderPhase::Kept);
        self.is_refusing.store(!is_kept, Ordering::Relaxed);
        is_kept
    }

    /// Records that the client does not take its answer, which holds `attached` bytes.
    pub fn begin_blocked(&self, attached: usize) {
        self.held.set_phase(HolderPhase::Unread { attached });
    }

    /// Records that the client takes its answer again.
    pub fn end_blocked(&self, has_request: bool) {
        self.held.set_phase(if has_request { HolderPhase::Kept } else { HolderPhase::Idle });
    }

    /// Frees what the request held.
    pub fn end_request(&self, is_blocked: bool) {
        self.held.resize(HolderAmount { bytes: self.base, descriptors: 1 });
        if !is_blocked {
            self.held.set_phase(HolderPhase::Idle);
        }
    }

    /// Returns whether the client is told that its request gave way.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Waits until the connection has given way.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        self.held.eviction()
    }

    /// Returns the budget of the process.
    pub fn budget(&self) -> &ByteBudget {
        self.held.budget()
    }
}
