//! Measures the control overhead per host at several fleet sizes.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use standins::network::{
    NetworkCosts, NetworkSettings, TestNetwork, TestRequest, WORKSPACE, test_configuration,
};

const SETTLE_TIME: Duration = Duration::from_secs(10);
const MEASURED_TIME: Duration = Duration::from_secs(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Prints the messages, bytes and platform calls per host and second, and the
/// time in the state machines as a percentage of one core per host.
#[derive(Debug, Options)]
struct SlopeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "fleet sizes in hosts, comma-separated",
        meta = "LIST",
        default = "3,10,30,100"
    )]
    hosts: String,
    #[options(help = "number of workspaces added to the configuration", meta = "N", default = "5")]
    workspaces: usize,
}

fn main() -> ExitCode {
    let options = SlopeOptions::parse_args_default_or_exit();
    println!(
        "{:>6} {:>12} {:>12} {:>14} {:>12}",
        "hosts", "messages/s", "bytes/s", "platform/s", "core"
    );
    for hosts in options.hosts.split(',').filter_map(|hosts| hosts.trim().parse().ok()) {
        let costs = measure_costs(hosts, options.workspaces);
        let host_seconds = hosts as f64 * MEASURED_TIME.as_secs_f64();
        println!(
            "{hosts:>6} {:>12.1} {:>12.0} {:>14.3} {:>11.3}%",
            costs.messages as f64 / host_seconds,
            costs.bytes as f64 / host_seconds,
            costs.platform_calls as f64 / host_seconds,
            100.0 * costs.machine_time.as_secs_f64() / host_seconds,
        );
    }
    ExitCode::SUCCESS
}

/// Returns the cost of all hosts over [`MEASURED_TIME`], at 50 requests per
/// second in the whole fleet.
fn measure_costs(hosts: usize, workspaces: usize) -> NetworkCosts {
    let settings = NetworkSettings { hosts, ..NetworkSettings::default() };
    let mut network = TestNetwork::new(settings);
    let declared = test_configuration(10_000, 20_000).workspaces;
    network.change_configuration(|next| {
        let Some(spec) = declared.get(WORKSPACE) else { return };
        let names = (0..workspaces).map(|number| format!("workspace-{number}").into());
        next.workspaces.extend(names.map(|name| (name, spec.clone())));
    });
    network.run(SETTLE_TIME);
    let before = network.costs;
    let end = network.now + MEASURED_TIME;
    let mut host = 0;
    while network.now < end {
        host = (host + 1) % hosts;
        let request = TestRequest {
            workspace: WORKSPACE.into(),
            reserve: 80,
            used: 50,
            duration: Duration::from_millis(200),
        };
        network.send_request(host, request);
        network.run(REQUEST_INTERVAL);
    }
    NetworkCosts {
        messages: network.costs.messages - before.messages,
        bytes: network.costs.bytes - before.bytes,
        platform_calls: network.costs.platform_calls - before.platform_calls,
        machine_time: network.costs.machine_time - before.machine_time,
    }
}
