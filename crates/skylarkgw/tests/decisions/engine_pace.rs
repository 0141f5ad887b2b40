//! Engines of one service that differ in speed, slow down before they are full, recover
//! or hesitate for a moment, and orders that are shorter than the counts are old.

use std::collections::HashMap;
use std::sync::Arc;

use skylarkgw::decision::dispatch::engine_choice::{
    EngineCandidate, ExpectedCount, choose_engine, choose_engine_in_time,
};
use skylarkgw::decision::dispatch::engine_pace::EnginePace;
use skylarkgw::decision::dispatch::host_pace::{HostPace, PaceSample, hedge_delay};
use skylarkgw::decision::dispatch::pace_board::PaceBoard;
use skylarkgw::gateway::registry::EngineEntry;
use skylarkgw::ids::EndpointId;

use crate::samples::{self, MODEL_SERVICE, engine, ms};

const SLOTS: u32 = 12;
const TOKEN: u64 = 1;
/// Usual time between two parts of an answer, in milliseconds.
const PART_MS: u64 = 40;

/// Hosts that see the answers of engines, and the coordinator that they tell.
struct PaceFleet {
    board: PaceBoard,
    hosts: Vec<HostPace>,
    numbers: HashMap<EndpointId, u32>,
    entries: Vec<Arc<EngineEntry>>,
}

impl PaceFleet {
    fn new(hosts: usize, engines: usize) -> PaceFleet {
        let entries = (0..engines).map(|number| {
            let entry = engine(&format!("i-{number}"), &[]);
            Arc::new(EngineEntry { slots: SLOTS, ..(*entry).clone() })
        });
        let entries: Vec<Arc<EngineEntry>> = entries.collect();
        let numbers = (0..).zip(&entries).map(|(number, entry)| (entry.id.clone(), number));
        let mut fleet = PaceFleet {
            board: PaceBoard::default(),
            hosts: (0..hosts).map(|_| HostPace::default()).collect(),
            numbers: numbers.collect(),
            entries,
        };
        fleet.begin_term(0, TOKEN);
        fleet
    }

    /// Begins the term of a coordinator that knows nothing but the engines.
    fn begin_term(&mut self, now: u64, token: u64) {
        self.board = PaceBoard::default();
        for (number, entry) in (0..).zip(&self.entries) {
            self.board.set_engine(number, entry);
        }
        self.hosts.iter_mut().for_each(|host| host.set_numbering(ms(now), token));
    }

    /// Lets a host see an answer of 20 parts, made while `running` other requests ran.
    fn answer(&mut self, now: u64, host: usize, engine: usize, running: u32, factor: f64) {
        let part_ms = (PART_MS as f64 * factor) as u64;
        let sample = PaceSample {
            engine: self.entries[engine].id.clone(),
            started_ms: self.entries[engine].started_ms,
            service: MODEL_SERVICE.into(),
            model: Some("chat-8b".into()),
            running,
            slots: SLOTS,
            first: ms(part_ms),
            rest: ms(part_ms * 19),
            rest_parts: 19,
        };
        self.hosts[host].record(ms(now), &sample);
    }

    /// Exchanges reports and estimates between all hosts and the coordinator.
    fn exchange(&mut self, now: u64, token: u64) {
        for host in &mut self.hosts {
            let sums = host.take_sums(&self.numbers);
            self.board.record(ms(now), &sums);
        }
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let name = format!("host-{index}").into();
            if let Some(page) = self.board.take_page(ms(now), &name) {
                host.apply_page(ms(now), token, &page);
            }
        }
    }

    fn pace(&self, now: u64, host: usize, engine: usize) -> EnginePace {
        let (id, service) = (&self.entries[engine].id, MODEL_SERVICE.into());
        let number = Some(self.numbers[id]);
        self.hosts[host].estimate(ms(now), id, number, &service).expect("an estimate")
    }

    fn candidate(&self, now: u64, engine: usize, running: u32) -> EngineCandidate {
        let pace = self.pace(now, 0, engine);
        EngineCandidate { pace, first_ms: Some(PART_MS as f64), ..candidate(running) }
    }
}

fn candidate(running: u32) -> EngineCandidate {
    samples::candidate(SLOTS, running)
}

/// Load: the first requests after a start.
#[test]
fn wait_without_answers_is_that_of_a_place_held_for_a_second_and_a_half() {
    assert_eq!(candidate(6).estimate_wait_ms(), 30.0);
    assert_eq!(candidate(13).estimate_wait_ms(), 2.0 * 1_500.0 / 12.0 + 65.0);
    let host = HostPace::default();
    let service = MODEL_SERVICE.into();
    assert_eq!(host.estimate(ms(5), &"i-1".into(), Some(1), &service), None);
}

/// Load: 40 requests at once for four engines, of which two take twice as long.
#[test]
fn fleet_of_two_speeds_gives_most_to_the_fast_engines_and_fills_all() {
    let mut fleet = PaceFleet::new(1, 4);
    for round in 0..40 {
        for engine in 0..4 {
            fleet.answer(round * 100, 0, engine, 4, if engine < 2 { 1.0 } else { 2.0 });
        }
    }
    fleet.exchange(4_000, TOKEN);
    let mut running = [0; 4];
    for tie in 0..40 {
        let candidates: Vec<_> =
            (0..4).map(|engine| fleet.candidate(4_000, engine, running[engine])).collect();
        running[choose_engine(&candidates, tie).expect("an engine")] += 1;
    }
    let (fast, slow) = (running[0] + running[1], running[2] + running[3]);
    assert!(fast > slow, "{running:?}");
    assert!(running.iter().all(|running| (4..=SLOTS).contains(running)), "{running:?}");
}

/// Load: an engine that takes 2.5 times as long from the seventh of twelve requests on.
#[test]
fn engine_that_slows_at_half_its_places_gets_less_before_it_is_full_and_gets_it_back() {
    let mut fleet = PaceFleet::new(1, 2);
    for round in 0..40 {
        let running = [4, 8][round as usize % 2];
        let is_slow = running + 1 > SLOTS / 2;
        fleet.answer(round * 100, 0, 0, running, if is_slow { 2.5 } else { 1.0 });
        fleet.answer(round * 100, 0, 1, running, 1.0);
    }
    fleet.exchange(4_000, TOKEN);
    assert_eq!(fleet.pace(4_000, 0, 0).useful_slots(SLOTS), 6);
    assert_eq!(fleet.pace(4_000, 0, 1).useful_slots(SLOTS), 12);
    let choose = |fleet: &PaceFleet, now| {
        choose_engine(&[fleet.candidate(now, 0, 6), fleet.candidate(now, 1, 8)], 0)
    };
    assert_eq!(choose(&fleet, 4_000), Some(1));
    // The engine gets nothing beyond half of its places, so no answer shows that it has
    // recovered, and what is known about these places is forgotten.
    for round in 40..140 {
        fleet.answer(round * 100, 0, 0, 4, 1.0);
        fleet.answer(round * 100, 0, 1, 8, 1.0);
        fleet.exchange(round * 100, TOKEN);
    }
    assert_eq!(fleet.pace(14_000, 0, 0).useful_slots(SLOTS), 12);
    assert_eq!(choose(&fleet, 14_000), Some(0));
}

/// Load: 4.5 requests a second at each of eight engines, one of them five times as slow
/// for six seconds.
#[test]
fn slow_engine_is_avoided_within_seconds_and_used_again_after_it_recovers() {
    let mut fleet = PaceFleet::new(1, 8);
    let (mut avoided_at, mut used_at) = (None, None);
    for round in 0..90_u64 {
        let now = round * 220;
        let is_slow = (4_000..10_000).contains(&now);
        for engine in 0..8 {
            // A slow engine completes less.
            let factor = if is_slow && engine == 0 { 5.0 } else { 1.0 };
            if factor == 1.0 || round % 3 == 0 {
                fleet.answer(now, 0, engine, 4, factor);
            }
        }
        fleet.exchange(now, TOKEN);
        let choice = choose_engine(&[fleet.candidate(now, 0, 4), fleet.candidate(now, 1, 6)], 0);
        if is_slow && choice == Some(1) {
            avoided_at = avoided_at.or(Some(now));
        }
        if now >= 10_000 && choice == Some(0) {
            used_at = used_at.or(Some(now));
        }
    }
    assert!(avoided_at.is_some_and(|at| at < 6_000), "avoided at {avoided_at:?}");
    assert!(used_at.is_some_and(|at| at < 16_000), "used at {used_at:?}");
}

/// Load: an engine with 4.5 answers a second that takes 2.5 times as long for 0.6 s.
#[test]
fn noisy_engine_does_not_make_choices_swing() {
    let mut fleet = PaceFleet::new(1, 4);
    for round in 0..60_u64 {
        let now = round * 220;
        let is_noisy = now % 4_000 >= 3_400;
        for engine in 0..4 {
            fleet.answer(now, 0, engine, 4, if is_noisy && engine == 0 { 2.5 } else { 1.0 });
        }
        fleet.exchange(now, TOKEN);
        if now > 4_000 {
            let noisy = fleet.pace(now, 0, 0);
            assert!(noisy.slowdown < 1.3, "{now}: {}", noisy.slowdown);
            let candidates = [fleet.candidate(now, 0, 4), fleet.candidate(now, 1, 8)];
            assert_eq!(choose_engine(&candidates, 0), Some(0), "at {now} ms");
        }
    }
}

/// Load: twelve hosts, each of which gets one answer a second and one of a slow engine in
/// six seconds.
#[test]
fn hosts_that_learn_apart_know_together_what_none_knows_alone() {
    let mut fleet = PaceFleet::new(12, 6);
    for round in 0..72_u64 {
        let (host, engine) = (round as usize % 12, (round + round / 12) as usize % 6);
        fleet.answer(round * 83, host, engine, 4, if engine == 0 { 3.0 } else { 1.0 });
    }
    let alone = (0..12).map(|host| fleet.pace(6_000, host, 0).slowdown).fold(0.0, f64::max);
    fleet.exchange(6_000, TOKEN);
    for host in 0..12 {
        let together = fleet.pace(6_000, host, 0).slowdown;
        assert!(together > 1.5 && together > alone, "{together} together, {alone} alone");
        assert!(fleet.pace(6_000, host, 1).slowdown < 1.2);
    }
}

/// Load: twelve hosts with a slow engine among six, and another coordinator.
#[test]
fn new_coordinator_knows_the_pace_after_one_exchange() {
    let mut fleet = PaceFleet::new(12, 6);
    for round in 0..144_u64 {
        let (host, engine) = (round as usize % 12, (round + round / 12) as usize % 6);
        fleet.answer(round * 40, host, engine, 4, if engine == 0 { 3.0 } else { 1.0 });
        fleet.exchange(round * 40, TOKEN);
    }
    let before = fleet.pace(5_800, 0, 0);
    fleet.begin_term(5_900, TOKEN + 1);
    fleet.exchange(6_000, TOKEN + 1);
    let after = fleet.pace(6_000, 0, 0);
    assert!(before.slowdown > 1.5, "{before:?}");
    let ratio = after.slowdown / before.slowdown;
    assert!((0.75..=1.3).contains(&ratio), "{before:?}, {after:?}");
}

/// Load: the coordinator is gone, and a page arrives with the numbers of its predecessor.
#[test]
fn host_without_a_coordinator_uses_its_own_view_alone() {
    let mut fleet = PaceFleet::new(2, 2);
    for round in 0..30 {
        fleet.answer(round * 100, 0, 0, 4, 1.0);
        fleet.answer(round * 100, 0, 1, 4, 1.0);
        fleet.answer(round * 100, 1, 0, 4, 3.0);
        fleet.answer(round * 100, 1, 1, 4, 1.0);
    }
    let own = fleet.pace(3_000, 0, 0);
    fleet.exchange(3_000, TOKEN);
    assert_ne!(fleet.pace(3_000, 0, 0), own);
    fleet.hosts[0].clear_shared();
    assert_eq!(fleet.pace(3_000, 0, 0), own);
    fleet.exchange(3_200, TOKEN + 1);
    assert_eq!(fleet.pace(3_000, 0, 0), own);
}

/// Load: an engine that starts again under its name.
#[test]
fn new_instance_starts_from_the_pace_of_its_service() {
    let mut fleet = PaceFleet::new(1, 8);
    for round in 0..40 {
        for engine in 0..8 {
            fleet.answer(round * 100, 0, engine, 4, if engine == 0 { 4.0 } else { 1.0 });
        }
    }
    fleet.exchange(4_000, TOKEN);
    assert!(fleet.pace(4_000, 0, 0).slowdown > 2.0);
    let entry = &mut fleet.entries[0];
    *entry = Arc::new(EngineEntry { started_ms: entry.started_ms + 1, ..(**entry).clone() });
    fleet.board.set_engine(0, &fleet.entries[0]);
    fleet.exchange(4_300, TOKEN);
    let pace = fleet.pace(4_300, 0, 0);
    assert_eq!(pace.slowdown, 1.0);
    // The mean of the service, which the slow engine is part of.
    assert!((900.0..1_600.0).contains(&pace.hold_ms), "{pace:?}");
}

/// Load: 220 orders a second of 30 ms each for four engines of six places, from 124 hosts
/// whose counts are 180 ms old.
#[test]
fn hosts_with_the_same_old_counts_do_not_all_choose_one_engine() {
    let counts = [1, 0, 3, 2];
    let pace = EnginePace { hold_ms: 30.0, ..EnginePace::default() };
    let mut chosen = [0_u32; 4];
    let mut drawn = 7_u64;
    let mut draw = || {
        drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (drawn >> 11) as f64 / (1_u64 << 53) as f64
    };
    for tie in 0..400 {
        let candidates = counts.map(|count| {
            let count = ExpectedCount::new(count, 1.6, ms(180), ms(30));
            let (running, unseen) = (count.mean.round() as u32, count.draw(draw()));
            EngineCandidate { slots: 6, running, unseen, pace, ..candidate(0) }
        });
        chosen[choose_engine(&candidates, tie).expect("an engine")] += 1;
    }
    assert!(chosen.iter().all(|count| (60..=140).contains(count)), "{chosen:?}");
}

/// Load: an engine that is slow and has places beside one with a queue of a second, and
/// engines whose free places are uncertain.
#[test]
fn no_request_is_refused_for_a_slow_engine_or_a_draw_while_a_place_is_free() {
    let slow = EnginePace { slowdown: 5.0, ..EnginePace::default() };
    let slow = EngineCandidate { pace: slow, first_ms: Some(400.0), ..candidate(2) };
    let starts_in_time = |engine: &EngineCandidate| engine.estimate_wait_ms() <= 150.0;
    let queueing = candidate(19);
    let choose = |engines: &[EngineCandidate]| choose_engine_in_time(engines, 0, starts_in_time);
    assert_eq!(choose_engine(&[slow.clone(), queueing.clone()], 0), Some(1));
    assert_eq!(choose(&[slow.clone(), queueing.clone()]), Some(0));
    let failing = EngineCandidate { failure_share: 0.6, ..slow };
    assert_eq!(choose(&[failing, queueing]), Some(1));
    let uncertain = EngineCandidate { unseen: 9.0, ..candidate(11) };
    assert_eq!(choose(&[uncertain, EngineCandidate { unseen: -9.0, ..candidate(14) }]), Some(0));
}

/// Load: requests of a second and counts that are 100 ms old.
#[test]
fn recent_counts_of_long_requests_decide() {
    let count = ExpectedCount::new(10, 4.0, ms(100), ms(1_000));
    assert!((9.0..10.0).contains(&count.mean) && count.deviation < 1.0, "{count:?}");
    assert_eq!(ExpectedCount::new(10, 4.0, ms(0), ms(1_000)).mean, 10.0);
}

/// Load: reads of 30 ms with an objective of 150 ms at an engine that takes 2.5 times as
/// long, or does not answer.
#[test]
fn second_attempt_of_a_read_leaves_time_for_its_answer() {
    let delay = hedge_delay(ms(35), ms(0));
    assert!(delay > ms(75), "an engine that is slow for a moment may answer first");
    assert!(delay + ms(35) <= ms(150), "the second answer meets the objective");
}
