//! Which holder gives way when a process holds too much for its clients.
//!
//! One budget covers the memory of client connections, request bodies and answers, and the
//! descriptors of connections. Complete requests and answers that a client reads do not
//! give way. A holder that has stalled gives way first, the longest idle one before others,
//! so a body that still arrives may displace one that has stopped. Without a stalled holder,
//! the largest one that still arrives gives way, if it is larger than the one that needs
//! room.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Time without progress after which a holder has stalled.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Size up to which a request counts as small, in bytes.
const SMALL_BYTES: usize = 128 * 1024;
/// Share of the memory that large requests may use, in eighths. Small ones are still served
/// beside them.
const LARGE_REQUEST_EIGHTHS: usize = 5;
/// Share of the memory that all requests may use, in eighths. The rest is left to answers,
/// which have cost the work of an engine.
const REQUEST_EIGHTHS: usize = 6;

/// Number of a holder in a [`MemoryBudget`].
pub type HolderNumber = u64;

/// What a holder uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HolderAmount {
    /// Occupied memory, in bytes.
    pub bytes: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

/// What the memory is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderClass {
    /// A client connection with its request.
    Request,
    /// An answer, or a part of one, that is held until it is complete.
    Answer,
}

/// What a holder waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderPhase {
    /// A connection waits for a request.
    Idle,
    /// A head, a body or an answer is arriving.
    Arriving,
    /// A request is served, or an answer is complete. It does not give way.
    Kept,
    /// The client does not take its answer.
    Unread {
        /// Memory of the answer, which another holder counts, in bytes.
        attached: usize,
    },
}

impl HolderPhase {
    /// Returns the short name of the phase in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            HolderPhase::Idle => "idle",
            HolderPhase::Arriving => "arriving",
            HolderPhase::Kept => "kept",
            HolderPhase::Unread { .. } => "unread",
        }
    }
}

/// Limits of a [`MemoryBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Memory of all holders, in bytes.
    pub bytes: usize,
    /// Descriptors of all holders.
    pub descriptors: usize,
    /// Descriptors of all holders and of those that give way and have not ended yet.
    pub all_descriptors: usize,
}

/// Whether a holder may use more, and which others give way to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoomDecision {
    /// Whether the amount is granted.
    pub is_granted: bool,
    /// Holders that give way, with their phases.
    pub evicted: Vec<(HolderNumber, HolderPhase)>,
}

/// What a holder lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shortage {
    Memory,
    Descriptors,
}

#[derive(Clone, Copy, Debug)]
struct MemoryHolder {
    class: HolderClass,
    amount: HolderAmount,
    phase: HolderPhase,
    /// Time of its last progress.
    since: Duration,
    /// What it frees when it has given way, if it does.
    leaving: Option<HolderAmount>,
}

/// Memory and descriptors that all holders of a process may use together. All times count
/// from the same fixed point.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    used: HolderAmount,
    /// Part of `used` that is given back soon.
    leaving: HolderAmount,
    holders: HashMap<HolderNumber, MemoryHolder>,
    next_number: HolderNumber,
}

impl MemoryBudget {
    /// Creates a budget without holders.
    pub fn new(limits: BudgetLimits) -> MemoryBudget {
        MemoryBudget {
            limits,
            used: HolderAmount::default(),
            leaving: HolderAmount::default(),
            holders: HashMap::new(),
            next_number: 0,
        }
    }

    /// Returns what all holders use, including those that are giving way.
    pub fn used(&self) -> HolderAmount {
        self.used
    }

    /// Returns whether holders that give way still use memory beyond the limit.
    pub fn is_exceeded(&self) -> bool {
        self.used.bytes > self.limits.bytes
    }

    /// Adds a holder that uses nothing yet, and returns its number.
    pub fn add(&mut self, now: Duration, class: HolderClass, phase: HolderPhase) -> HolderNumber {
        let number = self.next_number;
        self.next_number += 1;
        let amount = HolderAmount::default();
        let holder = MemoryHolder { class, amount, phase, since: now, leaving: None };
        self.holders.insert(number, holder);
        number
    }

    /// Removes a holder, whose amount becomes free.
    pub fn remove(&mut self, number: HolderNumber) {
        let Some(holder) = self.holders.remove(&number) else { return };
        subtract(&mut self.used, holder.amount);
        subtract(&mut self.leaving, holder.leaving.unwrap_or_default());
    }

    /// Records what a holder waits for from now on, and returns whether it is still one
    /// that does not give way.
    pub fn set_phase(&mut self, now: Duration, number: HolderNumber, phase: HolderPhase) -> bool {
        let Some(holder) = self.holders.get_mut(&number) else { return false };
        (holder.phase, holder.since) = (phase, now);
        holder.leaving.is_none()
    }

    /// Changes the amount of a holder, if there is room for it or others give way.
    ///
    /// A holder that gives way itself gets no more.
    pub fn resize(
        &mut self,
        now: Duration,
        number: HolderNumber,
        amount: HolderAmount,
    ) -> RoomDecision {
        let mut evicted = Vec::new();
        let Some(holder) = self.holders.get(&number).copied() else {
            return RoomDecision { is_granted: false, evicted };
        };
        let held = holder.amount;
        let has_grown = amount.bytes > held.bytes || amount.descriptors > held.descriptors;
        if holder.leaving.is_some() {
            if !has_grown {
                self.shrink_leaving(number, amount);
            }
            return RoomDecision { is_granted: false, evicted };
        }
        while let Some(shortage) = self.find_shortage(&holder, amount) {
            let victim = self.find_victim(now, number, shortage, amount);
            let Some((victim, phase)) = victim else {
                return RoomDecision { is_granted: false, evicted };
            };
            self.begin_leaving(victim);
            evicted.push((victim, phase));
        }
        if amount.descriptors > held.descriptors
            && self.used.descriptors - held.descriptors + amount.descriptors
                > self.limits.all_descriptors
        {
            return RoomDecision { is_granted: false, evicted };
        }
        self.replace_amount(number, amount);
        if let Some(holder) = self.holders.get_mut(&number).filter(|_| has_grown) {
            holder.since = now;
        }
        RoomDecision { is_granted: true, evicted }
    }

    /// Returns the memory that a holder of an amount may find in use, with its own.
    ///
    /// A request that exceeds the share of large ones alone is served while there is room.
    fn byte_limit(&self, class: HolderClass, amount: HolderAmount) -> usize {
        let eighth = self.limits.bytes / 8;
        let large_limit = eighth * LARGE_REQUEST_EIGHTHS;
        match class {
            HolderClass::Request if amount.bytes <= SMALL_BYTES => eighth * REQUEST_EIGHTHS,
            HolderClass::Request if amount.bytes <= large_limit => large_limit,
            HolderClass::Request | HolderClass::Answer => self.limits.bytes,
        }
    }

    /// Returns what is in use once the holders that give way have ended and `holder` has
    /// `amount`.
    fn expected_use(&self, holder: &MemoryHolder, amount: HolderAmount) -> HolderAmount {
        let mut expected = self.used;
        subtract(&mut expected, self.leaving);
        subtract(&mut expected, holder.amount);
        expected.bytes += amount.bytes;
        expected.descriptors += amount.descriptors;
        expected
    }

    /// Returns what is short if a holder is to have a larger amount.
    fn find_shortage(&self, holder: &MemoryHolder, amount: HolderAmount) -> Option<Shortage> {
        let (held, expected) = (holder.amount, self.expected_use(holder, amount));
        let byte_limit = self.byte_limit(holder.class, amount);
        if amount.bytes > held.bytes && expected.bytes > byte_limit {
            return Some(Shortage::Memory);
        }
        let is_short =
            amount.descriptors > held.descriptors && expected.descriptors > self.limits.descriptors;
        is_short.then_some(Shortage::Descriptors)
    }

    /// Returns the holder that gives way first to one that needs `amount`.
    fn find_victim(
        &self,
        now: Duration,
        number: HolderNumber,
        shortage: Shortage,
        amount: HolderAmount,
    ) -> Option<(HolderNumber, HolderPhase)> {
        let others = self.holders.iter().filter(|(other, _)| **other != number);
        let candidates = others.filter(|(_, candidate)| candidate.leaving.is_none());
        let ranked = candidates.filter_map(|(other, candidate)| {
            let rank = match shortage {
                Shortage::Memory => rank_for_memory(now, candidate, amount.bytes),
                Shortage::Descriptors => rank_for_descriptors(now, candidate),
            };
            Some((rank?, Reverse(*other), candidate.phase))
        });
        let first = ranked.max_by_key(|(rank, other, _)| (*rank, *other));
        first.map(|(_, Reverse(other), phase)| (other, phase))
    }

    fn begin_leaving(&mut self, number: HolderNumber) {
        let Some(holder) = self.holders.get_mut(&number) else { return };
        let attached = match holder.phase {
            HolderPhase::Unread { attached } => attached,
            _ => 0,
        };
        let mut leaving = holder.amount;
        leaving.bytes += attached;
        holder.leaving = Some(leaving);
        self.leaving.bytes += leaving.bytes;
        self.leaving.descriptors += leaving.descriptors;
    }

    /// Records that a holder that gives way has freed a part of its amount.
    fn shrink_leaving(&mut self, number: HolderNumber, amount: HolderAmount) {
        self.replace_amount(number, amount);
        let Some(holder) = self.holders.get_mut(&number) else { return };
        let before = holder.leaving.replace(amount).unwrap_or_default();
        subtract(&mut self.leaving, before);
        self.leaving.bytes += amount.bytes;
        self.leaving.descriptors += amount.descriptors;
    }

    fn replace_amount(&mut self, number: HolderNumber, amount: HolderAmount) {
        let Some(holder) = self.holders.get_mut(&number) else { return };
        subtract(&mut self.used, holder.amount);
        holder.amount = amount;
        self.used.bytes += amount.bytes;
        self.used.descriptors += amount.descriptors;
    }
}

fn subtract(amount: &mut HolderAmount, other: HolderAmount) {
    amount.bytes = amount.bytes.saturating_sub(other.bytes);
    amount.descriptors = amount.descriptors.saturating_sub(other.descriptors);
}

/// Order in which holders give way: the tier first, then the amount within it.
type VictimRank = (u8, u128);

/// Returns the rank of a stalled holder, or `None` if it has not stalled.
fn rank_stalled(now: Duration, holder: &MemoryHolder) -> Option<VictimRank> {
    let idle = now.saturating_sub(holder.since);
    let can_stall = matches!(holder.phase, HolderPhase::Arriving | HolderPhase::Unread { .. });
    (can_stall && idle >= STALL_TIME).then_some((4, idle.as_nanos()))
}

/// Ranks a holder for one that needs `bytes` of memory in all.
fn rank_for_memory(now: Duration, holder: &MemoryHolder, bytes: usize) -> Option<VictimRank> {
    let idle = now.saturating_sub(holder.since).as_nanos();
    let rank = match holder.phase {
        HolderPhase::Arriving if holder.amount.bytes > bytes => {
            Some((3, holder.amount.bytes as u128))
        }
        HolderPhase::Unread { attached } if holder.amount.bytes + attached > bytes => {
            Some((2, idle))
        }
        HolderPhase::Idle => Some((1, idle)),
        _ => None,
    };
    rank_stalled(now, holder).or(rank)
}

/// Ranks a holder for one that needs a descriptor.
fn rank_for_descriptors(now: Duration, holder: &MemoryHolder) -> Option<VictimRank> {
    if holder.amount.descriptors == 0 {
        return None;
    }
    let idle = now.saturating_sub(holder.since).as_nanos();
    let rank = match holder.phase {
        HolderPhase::Idle => Some((3, idle)),
        HolderPhase::Arriving => Some((2, idle)),
        HolderPhase::Unread { .. } => Some((1, idle)),
        HolderPhase::Kept => None,
    };
    rank_stalled(now, holder).or(rank)
}
