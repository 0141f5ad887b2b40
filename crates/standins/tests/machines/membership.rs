//! Tests of membership: false suspicions and the bandwidth of the control traffic.

use std::time::Duration;

use standins::network::{NetworkFaults, NetworkSettings, TestNetwork};

/// Number of hosts in an existing deployment.
const HOSTS: usize = 20;
/// Limit of the control traffic that one host sends, in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 9_000.0;

#[test]
fn twenty_hosts_keep_quorum_within_the_bandwidth_limit() {
    let faults = NetworkFaults { loss_rate: 0.02, ..NetworkFaults::default() };
    let settings = NetworkSettings { hosts: HOSTS, faults, ..NetworkSettings::default() };
    let mut network = TestNetwork::new(settings);
    network.run(Duration::from_secs(15));
    // During a platform outage, hosts serve only while they have a quorum.
    network.platform.outage = true;
    network.run(Duration::from_secs(6));
    let (bytes, started) = (network.costs.bytes, network.now);
    let mut suspected = 0;
    for _ in 0..120 {
        network.run(Duration::from_millis(500));
        for host in 0..HOSTS {
            let local = network.local_time(host);
            let machine =
                &network.hosts[host].as_ref().expect("the host should be running").machine;
            suspected += HOSTS - machine.snapshot(local).members.len();
            assert!(network.is_serving(host), "host {host} does not serve at {:?}", network.now);
        }
    }
    let seconds = (network.now - started).as_secs_f64();
    let rate = (network.costs.bytes - bytes) as f64 / seconds / HOSTS as f64;
    assert!(rate < MAX_BYTES_PER_SECOND, "{rate} bytes per second and host");
    // Lost messages may by chance make a running member suspected, in at most one
    // of 1000 checks.
    let checks = 120 * HOSTS * (HOSTS - 1);
    assert!(suspected * 1_000 <= checks, "{suspected} suspicions in {checks} checks");
}
