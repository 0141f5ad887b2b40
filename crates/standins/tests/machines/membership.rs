//! Membership: nobody is suspected falsely, within the bytes that control has.

use std::time::Duration;

use standins::network::{NetworkFaults, NetworkSettings, TestNetwork};

/// Hosts of one of today's deployments.
const HOSTS: usize = 20;
/// What control may send, in bytes a second and host.
const BYTES_PER_SECOND: f64 = 9_000.0;

#[test]
fn twenty_hosts_stay_in_contact_within_the_bytes_of_control() {
    let faults = NetworkFaults { loss_rate: 0.02, ..NetworkFaults::default() };
    let settings = NetworkSettings { hosts: HOSTS, faults, ..NetworkSettings::default() };
    let mut network = TestNetwork::new(settings);
    network.run(Duration::from_secs(15));
    // In an outage contact between hosts is all that lets them serve.
    network.platform.outage = true;
    network.run(Duration::from_secs(6));
    let (bytes, started) = (network.costs.bytes, network.now);
    let mut suspected = 0;
    for _ in 0..120 {
        network.run(Duration::from_millis(500));
        for host in 0..HOSTS {
            let local = network.local_time(host);
            let machine = &network.hosts[host].as_ref().expect("it runs").machine;
            suspected += HOSTS - machine.snapshot(local).members.len();
            assert!(network.is_serving(host), "host {host} at {:?}", network.now);
        }
    }
    let seconds = (network.now - started).as_secs_f64();
    let rate = (network.costs.bytes - bytes) as f64 / seconds / HOSTS as f64;
    assert!(rate < BYTES_PER_SECOND, "{rate} bytes a second");
    // One in a thousand looks may find a member that was silent by chance.
    let looks = 120 * HOSTS * (HOSTS - 1);
    assert!(suspected * 1_000 <= looks, "{suspected} of {looks}");
}
