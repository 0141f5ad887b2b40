//! Tests of the queue of a host while a batch and live requests compete for the places of
//! the same engines.

use std::time::Duration;

use skylarkgw::decision::dispatch::engine_choice::{EngineCandidate, compute_first_patience};
use skylarkgw::decision::dispatch::urgency::{RequestUrgency, UrgencyTable};
use skylarkgw::decision::dispatch::wait_queue::{
    EnterError, QueueLimits, UrgentPressure, WaitOutcome, WaitQueue, WaitRequest, WaitTarget,
    WaitTicket, compute_headroom, has_place,
};

use crate::samples::{self, MODEL_SERVICE, ms};
use crate::urgency::{kind, shared_service};

/// Places of one engine.
const SLOTS: u32 = 12;
/// Longest wait of the batch.
const PATIENCE: Duration = Duration::from_millis(2_000);

fn candidate(running: u32) -> EngineCandidate {
    samples::candidate(SLOTS, running)
}

fn target(model: &str) -> WaitTarget {
    (MODEL_SERVICE.into(), Some(model.into()))
}

fn wait_request(name: &str, rank: u8, last_moment: Duration) -> WaitRequest {
    WaitRequest {
        urgency: RequestUrgency::new(&kind(name, rank, ms(2_500)), None),
        level: rank,
        last_moment,
        target: target("sage"),
        bytes: 100,
    }
}

fn queue(entries: usize) -> WaitQueue<&'static str> {
    WaitQueue::new(QueueLimits { entries, bytes: 1_000 })
}

fn enter(
    queue: &mut WaitQueue<&'static str>,
    rank: u8,
    last_moment: Duration,
    waker: &'static str,
) -> WaitTicket {
    let request = wait_request("batch", rank, last_moment);
    queue.enter(ms(0), request, waker).expect("a ticket").0
}

// A batch burst on engines that live requests use: it may not take their last places.
#[test]
fn batch_burst_leaves_places_to_live_requests() {
    let headroom = compute_headroom(SLOTS, ms(0), PATIENCE);
    let mut running = 0;
    while has_place(&candidate(running), headroom) {
        running += 1;
    }
    assert_eq!(running, 8);
}

// Live requests fill the engines again and again: the batch yields, and is not starved.
#[test]
fn batch_takes_the_last_free_place_before_its_patience_ends() {
    let patience = compute_first_patience(ms(2_500), ms(15_000));
    assert_eq!(patience, PATIENCE);
    let headrooms: Vec<u32> =
        [0, 200, 400, 600, 800, 1_400].map(|at| compute_headroom(SLOTS, ms(at), patience)).into();
    assert_eq!(headrooms, [4, 3, 2, 1, 0, 0]);
    assert!(has_place(&candidate(SLOTS - 1), 0));
    // It never queues at an engine, where it would count against live requests.
    assert!(!has_place(&candidate(SLOTS), 0));
    assert_eq!(compute_headroom(1, ms(0), patience), 0);
}

// Engines that have gone down beside full ones: their places look free.
#[test]
fn engine_that_fails_has_no_free_place() {
    let failed = EngineCandidate { failure_share: 0.3, ..candidate(0) };
    assert!(!has_place(&failed, 0));
    assert!(has_place(&EngineCandidate { failure_share: 0.1, ..failed }, 0));
}

#[test]
fn batch_yields_only_while_live_requests_arrive() {
    let table = UrgencyTable::new(&shared_service(&[None]));
    let (mut queue, service) = (queue(8), MODEL_SERVICE.into());
    let precedents = table.precedents(MODEL_SERVICE, "batch");
    assert_eq!(queue.find_pressure(ms(0), &service, precedents), UrgentPressure::default());
    queue.record_arrival(ms(100), &service, &"live".into());
    assert!(queue.find_pressure(ms(1_000), &service, precedents).must_yield);
    assert!(!queue.find_pressure(ms(2_200), &service, precedents).must_yield);
}

// Sorting has a longer objective than live requests, and no time to spare for them.
#[test]
fn sorting_accepts_no_longer_engine_queue_than_live_requests() {
    let table = UrgencyTable::new(&shared_service(&[None]));
    let (mut queue, service) = (queue(8), MODEL_SERVICE.into());
    queue.record_arrival(ms(100), &service, &"live".into());
    let pressure =
        queue.find_pressure(ms(200), &service, table.precedents(MODEL_SERVICE, "sorting"));
    let expected = UrgentPressure { must_yield: false, shortest_objective: Some(ms(250)) };
    assert_eq!(pressure, expected);
}

#[test]
fn waiting_requests_are_woken_by_urgency_and_then_by_last_moment() {
    let mut queue = queue(8);
    enter(&mut queue, 1, ms(900), "late");
    enter(&mut queue, 1, ms(800), "early");
    enter(&mut queue, 0, ms(1_000), "urgent");
    let other = WaitRequest { target: target("thyme"), ..wait_request("batch", 0, ms(10)) };
    queue.enter(ms(0), other, "other").expect("a ticket");
    let sage = target("sage");
    assert_eq!(queue.find_wakers(|other| *other == sage), ["urgent", "early", "late"]);
    // A new request takes a free place only if it goes before those that wait for it.
    let urgency = wait_request("batch", 1, ms(0)).urgency;
    assert!(!queue.may_go(urgency, ms(700), &sage));
    assert!(queue.may_go(wait_request("batch", 0, ms(0)).urgency, ms(700), &sage));
    assert!(queue.may_go(urgency, ms(700), &target("mint")));
}

// A burst larger than the memory for it: the queue keeps what is most urgent.
#[test]
fn full_queue_drops_its_last_requests_for_more_urgent_ones() {
    let mut queue = queue(2);
    let first = enter(&mut queue, 1, ms(800), "first");
    let last = enter(&mut queue, 1, ms(900), "last");
    let later = wait_request("batch", 1, ms(950));
    assert_eq!(queue.enter(ms(0), later, "later"), Err(EnterError::Full));
    let urgent = wait_request("batch", 0, ms(950));
    let (_, displaced) = queue.enter(ms(0), urgent, "urgent").expect("a ticket");
    assert_eq!(displaced, ["last"]);
    assert!(queue.is_waiting(&first) && !queue.is_waiting(&last));
    assert_eq!((queue.len(), queue.bytes()), (2, 200));
    let large = WaitRequest { bytes: 1_001, ..wait_request("batch", 0, ms(0)) };
    assert_eq!(queue.enter(ms(0), large, "large"), Err(EnterError::Full));
    assert_eq!(queue.remove(&first), Some("first"));
    assert_eq!((queue.len(), queue.bytes()), (1, 100));
}

// A model without enough replicas: what cannot be served is refused at once.
#[test]
fn no_request_begins_to_wait_after_one_has_waited_in_vain() {
    let mut queue = queue(8);
    queue.record_outcome(ms(1_000), &target("sage"), WaitOutcome::Refused);
    let request = wait_request("batch", 1, ms(2_600));
    assert_eq!(queue.enter(ms(1_100), request.clone(), "a"), Err(EnterError::Closed));
    let other = WaitRequest { target: target("thyme"), ..request.clone() };
    assert!(queue.enter(ms(1_100), other, "b").is_ok());
    assert!(queue.enter(ms(1_501), request.clone(), "c").is_ok());
    queue.record_outcome(ms(2_000), &target("sage"), WaitOutcome::Refused);
    queue.record_outcome(ms(2_050), &target("sage"), WaitOutcome::Sent);
    assert!(queue.enter(ms(2_100), request, "d").is_ok());
}
