//! Random faults in the simulated network. Among the invariants are that hosts
//! keep to the allowance, never return to an earlier revision and do not accept
//! withdrawn keys.

use std::time::Duration;

use proptest::prelude::*;
use standins::network::{FaultEvent, run_random_scenario, run_scenario};

/// Generates a fault with indices below `hosts`. A scenario takes an index modulo
/// its number of hosts, engines or models.
fn fault_strategy(hosts: usize) -> impl Strategy<Value = FaultEvent> {
    let host = 0..hosts;
    prop_oneof![
        host.clone().prop_map(FaultEvent::Kill),
        host.clone().prop_map(FaultEvent::Restart),
        Just(FaultEvent::Join),
        host.clone().prop_map(FaultEvent::Leave),
        host.clone().prop_map(FaultEvent::Pause),
        host.clone().prop_map(FaultEvent::Resume),
        (host.clone(), host.clone())
            .prop_map(|(first, second)| FaultEvent::Partition(first, second)),
        host.clone().prop_map(FaultEvent::PlatformPartition),
        Just(FaultEvent::HealPartitions),
        Just(FaultEvent::PlatformOutage),
        Just(FaultEvent::PlatformRecovery),
        Just(FaultEvent::HalveRate),
        Just(FaultEvent::RestoreRate),
        host.clone().prop_map(FaultEvent::WithdrawKey),
        host.clone().prop_map(FaultEvent::KillEngine),
        Just(FaultEvent::RestartEngines),
        host.clone().prop_map(FaultEvent::Rollout),
        host.prop_map(FaultEvent::Rollback),
    ]
}

/// Generates a sequence of 1 to 19 faults, each with the time since the previous
/// one, which is less than 6 seconds.
fn schedule_strategy() -> impl Strategy<Value = Vec<(Duration, FaultEvent)>> {
    let delay = (50_u64..6_000).prop_map(Duration::from_millis);
    prop::collection::vec((delay, fault_strategy(6)), 1..20)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(seed in 0_u64..1_000, events in schedule_strategy()) {
        let report = run_scenario(seed, 4, &events);
        prop_assert!(report.all_invariants_hold(), "{report:?}");
    }
}

/// Runs a few scenarios with fixed seeds, as `skylark-soak` does for longer.
#[test]
fn invariants_hold_for_fixed_seeds() {
    for seed in 1..=6 {
        let report = run_random_scenario(seed, 25);
        assert!(report.all_invariants_hold(), "seed {seed}: {report:?}");
        // A scenario without requests or orders would test nothing.
        assert!(report.asked > 0 && report.orders > 0, "seed {seed}: {report:?}");
    }
}

#[test]
fn same_seed_gives_the_same_report() {
    let (first, second) = (run_random_scenario(21, 12), run_random_scenario(21, 12));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
