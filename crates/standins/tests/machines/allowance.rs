//! Allowances over all hosts: the ratio of requests refused although they are
//! within the rate, for each demand pattern.

use std::time::Duration;

use skylarkgw::decision::host::HostInput;
use standins::network::{
    DemandPattern, NetworkSettings, ShareScheme, TestNetwork, TestRequest, WORKSPACE,
    measure_scheme,
};

const SEEDS: [u64; 3] = [11, 12, 13];

/// Asserts that the ratio of refused requests is below `max_refused`, as the
/// project's goals require, and that the rate and burst are not exceeded.
fn assert_refused_below(pattern: DemandPattern, max_refused: f64) {
    for seed in SEEDS {
        let report = measure_scheme(ShareScheme::MutualLoans, pattern, 0.8, seed);
        let refused = report.refused as f64 / report.asked as f64;
        assert!(report.asked > 5_000, "{pattern:?} {seed}: only {} requests sent", report.asked);
        assert!(refused < max_refused, "{pattern:?} {seed}: {refused} of the requests refused");
        assert!(
            report.excess <= 0.0,
            "{pattern:?} {seed}: rate and burst exceeded by {}",
            report.excess
        );
    }
}

#[test]
fn few_requests_within_the_rate_are_refused() {
    for pattern in [DemandPattern::Even, DemandPattern::OneHost] {
        assert_refused_below(pattern, 0.001);
    }
}

#[test]
fn few_requests_are_refused_while_demand_moves_between_hosts() {
    assert_refused_below(DemandPattern::Moving, 0.01);
}

#[test]
fn workspace_over_its_rate_does_not_affect_another() {
    assert_refused_below(DemandPattern::NoisyNeighbour, 0.001);
}

#[test]
fn few_requests_are_refused_while_hosts_are_replaced() {
    assert_refused_below(DemandPattern::Replacement, 0.01);
}

#[test]
fn host_stops_when_its_lease_expires_and_resumes_after_renewal() {
    let settings =
        NetworkSettings { hosts: 1, lease: Duration::from_secs(6), ..NetworkSettings::default() };
    let mut network = TestNetwork::new(settings);
    let is_admitted = |network: &mut TestNetwork| {
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
    assert!(is_admitted(&mut network));
    network.platform.outage = true;
    network.run(Duration::from_secs(3));
    assert!(is_admitted(&mut network));
    network.run(Duration::from_secs(6));
    assert!(!is_admitted(&mut network));
    network.platform.outage = false;
    network.run(Duration::from_secs(5));
    assert!(is_admitted(&mut network));
}

#[test]
fn leaving_host_gives_its_share_away_and_leaves_the_ledger() {
    let mut network = TestNetwork::new(NetworkSettings::default());
    network.run(Duration::from_secs(20));
    network.step(0, HostInput::Drain);
    network.run(Duration::from_secs(8));
    let machine = &network.hosts[0].as_ref().expect("host 0 is running").machine;
    assert!(machine.has_no_share());
    let owned: u64 = network.hosts.iter().flatten().map(|host| host.machine.base_parts()).sum();
    assert_eq!(owned, skylarkgw::ids::PARTS_PER_ALLOWANCE);
}
