//! Models and adapters that are requested and not served, while engines, orders, the
//! coordinator and the store fail.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::fleet_model::{FleetFault, FleetModel, FleetSize};
use crate::samples::ms;

const SMALL_FLEET: FleetSize =
    FleetSize { engines: 18, models: 31, adapters: 90, store_loads_per_s: 2.4 };
const LARGE_FLEET: FleetSize =
    FleetSize { engines: 90, models: 156, adapters: 400, store_loads_per_s: 13.0 };
/// Time for which each fleet is simulated, about that of a bench day.
const RUN_TIME: Duration = Duration::from_secs(45);

/// Returns the first late request of a run, if any.
fn find_late_request(
    seed: u64,
    size: FleetSize,
    faults: &[(Duration, FleetFault)],
) -> Option<String> {
    let mut fleet = FleetModel::new(seed, size, faults.to_vec());
    fleet.run(size, RUN_TIME);
    let late = fleet.late_requests.first()?;
    Some(format!("seed {seed}: {late}, {} late requests, {faults:?}", fleet.late_requests.len()))
}

/// Asserts that no request is late in a number of runs.
fn assert_served(runs: u64, size: FleetSize, faults: &[(Duration, FleetFault)]) {
    let late: Vec<String> =
        (0..runs).filter_map(|seed| find_late_request(seed, size, faults)).collect();
    assert!(late.is_empty(), "{} of {runs} runs: {}", late.len(), late[0]);
}

/// Guards against a bound that holds whatever is planned.
#[test]
fn fleet_without_orders_is_late() {
    let lost = FleetFault::Crash { engines: 4, down: None };
    let mut fleet = FleetModel::new(0, SMALL_FLEET, vec![(ms(8_000), lost)]);
    fleet.gives_orders = false;
    fleet.run(SMALL_FLEET, RUN_TIME);
    assert!(!fleet.late_requests.is_empty(), "no request is late");
}

/// Guards against models whose reload waits behind replicas for demand, after a quarter
/// of the engines crashed together and came back empty.
#[test]
fn models_of_crashed_engines_are_served_again_within_the_bound() {
    let crash = FleetFault::Crash { engines: 22, down: Some(ms(2_000)) };
    let faults = [(ms(1_000), FleetFault::ShiftDemand), (ms(13_500), crash)];
    assert_served(2, LARGE_FLEET, &faults);
}

/// Guards against models that stay unserved when engines are lost for good while the
/// demand moves.
#[test]
fn models_of_lost_engines_are_served_again_while_demand_moves() {
    let lost = FleetFault::Crash { engines: 4, down: None };
    let shift = |at| (ms(at), FleetFault::ShiftDemand);
    assert_served(6, SMALL_FLEET, &[shift(4_000), (ms(8_000), lost), shift(11_000), shift(18_000)]);
}

/// Guards against a model whose only engine is listed and fails every request: the
/// replica counts as serving, so the model is loaded nowhere else.
#[test]
fn model_whose_only_engine_fails_is_loaded_elsewhere() {
    let lie = FleetFault::Lie { engines: 5, lasting: ms(60_000) };
    assert_served(6, SMALL_FLEET, &[(ms(6_000), lie)]);
}

/// Guards against a model whose load order is lost or carried out late, and waits for the
/// timeout of the load.
#[test]
fn lost_order_delays_a_model_no_longer_than_the_bound() {
    let lost = FleetFault::LoseOrders { share: 0.5, lasting: ms(20_000) };
    let crash = FleetFault::CrashLastHolders { models: 3 };
    assert_served(6, SMALL_FLEET, &[(ms(6_000), lost), (ms(8_000), crash)]);
}

/// Guards against an engine that gets no order any more, because the answer to one never
/// reached the planner.
#[test]
fn engine_gets_orders_after_an_answer_that_never_came() {
    let lost = FleetFault::LoseAnswers { share: 0.3, lasting: ms(6_000) };
    let crash = FleetFault::CrashLastHolders { models: 3 };
    assert_served(6, SMALL_FLEET, &[(ms(6_000), lost), (ms(8_000), crash)]);
}

/// Guards against a coordinator that starts without knowing which models its predecessor
/// was about to restore.
#[test]
fn new_coordinator_restores_what_its_predecessor_had_begun() {
    let crash = FleetFault::Crash { engines: 4, down: None };
    let lose = |at| (ms(at), FleetFault::LoseCoordinator { pause: ms(3_000) });
    assert_served(6, SMALL_FLEET, &[(ms(6_000), crash), lose(11_000), lose(17_000)]);
}

/// Guards against a coordinator that counts no loads which its predecessor began, so that
/// both together exceed the rate of the weight store.
#[test]
fn loads_under_two_coordinators_keep_the_rate_of_the_weight_store() {
    // Engines that lose all that they hold have more models to load than the rate allows.
    let size = FleetSize { engines: 40, models: 60, adapters: 0, store_loads_per_s: 2.4 };
    // Loads that may begin in 5 s, with the tolerance of the deployments.
    let bound = (size.store_loads_per_s * 5.0 * 1.1) as usize + 3;
    let crash = (ms(8_000), FleetFault::Crash { engines: 36, down: None });
    let join = (ms(8_200), FleetFault::Join { engines: 36 });
    for lost_at in [11_000, 12_000, 12_500] {
        let lose = (ms(lost_at), FleetFault::LoseCoordinator { pause: ms(500) });
        let mut fleet = FleetModel::new(lost_at, size, vec![crash.clone(), join.clone(), lose]);
        fleet.run(size, Duration::from_secs(20));
        let most = fleet.count_most_store_loads();
        assert!(most <= bound, "lost at {lost_at} ms: {most} loads of {bound} in 5 s");
        // The rate is used.
        assert!(most >= (size.store_loads_per_s * 5.0 * 0.8) as usize, "{most} loads in 5 s");
    }
}

/// Guards against a rare adapter that gets no place, because frequent ones keep all
/// adapter places of the engines that hold its model.
#[test]
fn rare_adapter_gets_a_place_among_frequent_ones() {
    let size = FleetSize { models: 24, adapters: 240, ..SMALL_FLEET };
    assert_served(6, size, &[(ms(5_000), FleetFault::ShiftDemand)]);
}

/// Draws faults that leave enough memory for all models.
fn draw_faults(rng: &mut ChaCha8Rng, size: FleetSize) -> Vec<(Duration, FleetFault)> {
    let some = size.engines / 9;
    let mut lost = 0;
    let count = rng.random_range(3..9);
    let draw = |rng: &mut ChaCha8Rng| match rng.random_range(0..12) {
        0 => FleetFault::Crash { engines: rng.random_range(1..=some * 2), down: Some(ms(2_000)) },
        1 => FleetFault::Crash { engines: some, down: None },
        2 => FleetFault::CrashLastHolders { models: some },
        3 => FleetFault::Lie { engines: some, lasting: ms(rng.random_range(2_000..20_000)) },
        4 => FleetFault::Flap { engines: some, rounds: rng.random_range(2..5) },
        5 => FleetFault::Join { engines: some },
        6 => FleetFault::Leave { engines: some },
        7 => FleetFault::LoseOrders { share: 0.5, lasting: ms(rng.random_range(2_000..8_000)) },
        8 => FleetFault::LoseCoordinator { pause: ms(rng.random_range(500..4_000)) },
        11 => FleetFault::LoseAnswers { share: 0.2, lasting: ms(rng.random_range(1_000..5_000)) },
        9 => FleetFault::LoseStore { lasting: ms(rng.random_range(1_000..5_000)) },
        _ => FleetFault::ShiftDemand,
    };
    let mut faults = Vec::new();
    for _ in 0..count {
        let fault = draw(rng);
        let is_loss = matches!(
            fault,
            FleetFault::Crash { down: None, .. }
                | FleetFault::CrashLastHolders { .. }
                | FleetFault::Leave { .. }
        );
        lost += usize::from(is_loss);
        if !is_loss || lost <= 2 {
            faults.push((ms(rng.random_range(1_000..30_000)), fault));
        }
    }
    faults
}

/// Guards against targets that no single fault starves, and a mix of faults does.
#[test]
fn requested_targets_are_served_within_the_bound_under_mixed_faults() {
    // A long run by hand sets the number of seeds.
    let seeds = std::env::var("STARVATION_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds.unwrap_or(24);
    let late: Vec<String> = (0..seeds)
        .filter_map(|seed| {
            let faults = draw_faults(&mut ChaCha8Rng::seed_from_u64(seed), SMALL_FLEET);
            find_late_request(seed, SMALL_FLEET, &faults)
        })
        .collect();
    assert!(late.is_empty(), "{} of {seeds} runs: {}", late.len(), late.join("\n"));
}
