//! Allowance over all hosts: wrongful refusals of each scheme.

use std::time::Duration;

use skylarkgw::decision::host::HostInput;
use standins::network::{
    DemandPattern, NetworkSettings, ShareScheme, TestNetwork, TestRequest, WORKSPACE,
    measure_scheme,
};

const SEEDS: [u64; 3] = [11, 12, 13];

/// Asserts the share of wrongful refusals that the goals allow.
fn assert_refused(pattern: DemandPattern, most: f64) {
    for seed in SEEDS {
        let report = measure_scheme(ShareScheme::MutualLoans, pattern, 0.8, seed);
        let refused = report.refused as f64 / report.asked as f64;
        assert!(report.asked > 5_000, "{pattern:?} {seed}: only {} asked", report.asked);
        assert!(refused < most, "{pattern:?} {seed}: {refused} refused");
        assert!(report.excess <= 0.0, "{pattern:?} {seed}: {} over", report.excess);
    }
}

#[test]
fn within_the_rate_hardly_anything_is_refused() {
    for pattern in [DemandPattern::Even, DemandPattern::OneHost] {
        assert_refused(pattern, 0.001);
    }
}

#[test]
fn while_demand_jumps_between_hosts_hardly_anything_is_refused() {
    assert_refused(DemandPattern::Moving, 0.01);
}

#[test]
fn workspace_over_its_rate_does_not_touch_another() {
    assert_refused(DemandPattern::NoisyNeighbour, 0.001);
}

#[test]
fn while_hosts_are_replaced_hardly_anything_is_refused() {
    assert_refused(DemandPattern::Replacement, 0.01);
}

#[test]
fn lapsed_lease_stops_a_host_and_a_renewed_one_lets_it_go_on() {
    let settings =
        NetworkSettings { hosts: 1, lease: Duration::from_secs(6), ..NetworkSettings::default() };
    let mut network = TestNetwork::new(settings);
    let admitted = |network: &mut TestNetwork| {
        let before = network.admissions.admitted_tokens(WORKSPACE);
        let request = TestRequest {
            workspace: WORKSPACE.into(),
            reserve: 10,
            used: 10,
            duration: Duration::from_millis(1),
        };
        network.send_request(0, request);
        network.run(Duration::from_millis(200));
        network.admissions.admitted_tokens(WORKSPACE) > before
    };
    network.run(Duration::from_secs(10));
    assert!(admitted(&mut network));
    network.platform.outage = true;
    network.run(Duration::from_secs(3));
    assert!(admitted(&mut network));
    network.run(Duration::from_secs(6));
    assert!(!admitted(&mut network));
    network.platform.outage = false;
    network.run(Duration::from_secs(5));
    assert!(admitted(&mut network));
}

#[test]
fn leaving_host_gives_its_share_away_and_is_then_settled() {
    let mut network = TestNetwork::new(NetworkSettings::default());
    network.run(Duration::from_secs(20));
    network.step(0, HostInput::Drain);
    network.run(Duration::from_secs(8));
    let machine = &network.hosts[0].as_ref().expect("it runs").machine;
    assert!(machine.holds_no_share());
    let owned: u64 = network.hosts.iter().flatten().map(|host| host.machine.base()).sum();
    assert_eq!(owned, skylarkgw::ids::ALL_PARTS);
}
