//! Who gives way when a process holds too much for its clients.

use skylarkgw::decision::memory_budget::{
    BudgetLimits, HolderAmount, HolderClass, HolderNumber, HolderPhase, MemoryBudget,
};

use crate::samples::ms;

/// Memory of all holders, in bytes.
const LIMIT: usize = 8_000_000;
/// Memory that large requests may use, in bytes.
const LARGE_REQUESTS: usize = 5_000_000;
const LIMITS: BudgetLimits = BudgetLimits { bytes: LIMIT, descriptors: 10, all_descriptors: 11 };

fn bytes(bytes: usize) -> HolderAmount {
    HolderAmount { bytes, descriptors: 0 }
}

/// Adds a request body that has grown to `size` bytes at `at_ms`.
fn add_body(budget: &mut MemoryBudget, at_ms: u64, size: usize) -> HolderNumber {
    let number = budget.add(ms(at_ms), HolderClass::Request, HolderPhase::Arriving);
    assert!(budget.resize(ms(at_ms), number, bytes(size)).is_granted, "{size} bytes");
    number
}

/// Returns the holders that give way to a body of `size` bytes, or `None` if it is refused.
fn evict_for(budget: &mut MemoryBudget, at_ms: u64, size: usize) -> Option<Vec<HolderNumber>> {
    let number = budget.add(ms(at_ms), HolderClass::Request, HolderPhase::Arriving);
    let decision = budget.resize(ms(at_ms), number, bytes(size));
    let evicted = decision.evicted.into_iter().map(|(number, _)| number);
    decision.is_granted.then(|| evicted.collect())
}

/// Load: clients stop just short of the end of their bodies, and others still send.
#[test]
fn longest_idle_body_gives_way_to_one_that_still_arrives() {
    let mut budget = MemoryBudget::new(LIMITS);
    let second = add_body(&mut budget, 200, 1_500_000);
    let first = add_body(&mut budget, 100, 1_000_000);
    let active = add_body(&mut budget, 100, 1_500_000);
    assert!(budget.resize(ms(1_500), active, bytes(1_600_000)).is_granted);
    assert_eq!(evict_for(&mut budget, 1_600, 1_500_000), Some(vec![first]));
    assert_eq!(evict_for(&mut budget, 1_600, 1_500_000), Some(vec![second]));
}

/// Load: a burst of bodies of which none has stalled yet, with an ordinary request among
/// them.
#[test]
fn largest_body_gives_way_to_a_smaller_one_before_any_has_stalled() {
    let mut budget = MemoryBudget::new(LIMITS);
    let sizes = [1_000_000, 2_500_000, 1_400_000];
    let bodies = sizes.map(|size| add_body(&mut budget, 0, size));
    assert_eq!(evict_for(&mut budget, 500, 300_000), Some(vec![bodies[1]]));
    assert_eq!(evict_for(&mut budget, 500, 4_000_000), None);
}

/// Load: the memory is full of requests that engines work on.
#[test]
fn complete_requests_do_not_give_way_and_leave_room_for_small_ones_and_answers() {
    let mut budget = MemoryBudget::new(LIMITS);
    let body = add_body(&mut budget, 0, LARGE_REQUESTS);
    assert!(budget.set_phase(ms(10), body, HolderPhase::Kept));
    assert_eq!(evict_for(&mut budget, 60_000, 200_000), None);
    assert_eq!(evict_for(&mut budget, 60_000, 50_000), Some(vec![]));
    let answer = budget.add(ms(60_000), HolderClass::Answer, HolderPhase::Arriving);
    assert!(budget.resize(ms(60_000), answer, bytes(2_000_000)).is_granted);
}

/// Load: clients that leave their answers, until the memory of answers is used up.
#[test]
fn unread_answer_gives_way_with_the_memory_that_is_counted_for_it() {
    let mut budget = MemoryBudget::new(LIMITS);
    let mut add_unread = |at_ms| {
        let answer = budget.add(ms(at_ms), HolderClass::Answer, HolderPhase::Kept);
        assert!(budget.resize(ms(at_ms), answer, bytes(2_500_000)).is_granted);
        let client = budget.add(ms(at_ms), HolderClass::Request, HolderPhase::Idle);
        assert!(budget.resize(ms(at_ms), client, bytes(50_000)).is_granted);
        budget.set_phase(ms(at_ms), client, HolderPhase::Unread { attached: 2_500_000 });
        (answer, client)
    };
    let (first, _) = (add_unread(10), add_unread(20));
    let other = budget.add(ms(40), HolderClass::Answer, HolderPhase::Kept);
    assert!(budget.resize(ms(40), other, bytes(1_500_000)).is_granted);
    let answer = budget.add(ms(50), HolderClass::Answer, HolderPhase::Arriving);
    let decision = budget.resize(ms(50), answer, bytes(2_000_000));
    let evicted: Vec<_> = decision.evicted.iter().map(|(number, _)| *number).collect();
    assert!(decision.is_granted && evicted == [first.1], "{decision:?}");
    assert!(budget.is_exceeded());
    budget.remove(first.0);
    budget.remove(first.1);
    assert!(!budget.is_exceeded());
}

/// Load: more connections than descriptors, most of them without a request.
#[test]
fn longest_idle_connection_gives_way_and_requests_that_run_do_not() {
    let mut budget = MemoryBudget::new(LIMITS);
    let amount = |descriptors| HolderAmount { bytes: 1_000, descriptors };
    let open = |budget: &mut MemoryBudget, at_ms| {
        let number = budget.add(ms(at_ms), HolderClass::Request, HolderPhase::Idle);
        (number, budget.resize(ms(at_ms), number, amount(1)))
    };
    let connections: Vec<_> = (0..10).map(|at_ms| open(&mut budget, at_ms).0).collect();
    budget.set_phase(ms(20), connections[0], HolderPhase::Kept);
    let (_, decision) = open(&mut budget, 30);
    assert_eq!(decision.evicted, [(connections[1], HolderPhase::Idle)]);
    // The one that gives way still has its descriptor.
    assert!(decision.is_granted);
    assert!(!open(&mut budget, 31).1.is_granted);
    budget.remove(connections[1]);
    assert!(open(&mut budget, 32).1.is_granted);
}

/// Load: none but one request that is larger than the share of large ones.
#[test]
fn single_request_may_use_all_memory_in_calm() {
    let mut budget = MemoryBudget::new(LIMITS);
    let body = add_body(&mut budget, 0, LARGE_REQUESTS);
    assert!(budget.resize(ms(1), body, bytes(LIMIT)).is_granted);
    assert_eq!(evict_for(&mut budget, 2, 50_000), Some(vec![body]));
}

/// Load: none. A budget must not lose or invent memory over time.
#[test]
fn all_memory_is_returned() {
    let mut budget = MemoryBudget::new(LIMITS);
    for round in 0..20 {
        let body = add_body(&mut budget, round, 4_000_000);
        let next = add_body(&mut budget, round, 3_000_000);
        assert!(!budget.resize(ms(round), body, bytes(1_000)).is_granted, "it gave way");
        assert_eq!(budget.used(), bytes(3_001_000));
        assert!(!budget.set_phase(ms(round), body, HolderPhase::Kept));
        budget.remove(body);
        assert!(budget.resize(ms(round), next, bytes(10)).is_granted);
        budget.remove(next);
        assert_eq!(budget.used(), HolderAmount::default());
    }
}
