//! Runs random scenarios of the state machines for a long time and checks all
//! invariants.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use gumdrop::Options;
use standins::network::run_random_scenario;

/// Runs scenarios of random faults until the time is up.
#[derive(Debug, Options)]
struct SoakOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of the first scenario", meta = "N", default = "1")]
    seed: u64,
    #[options(help = "length of the run, in minutes", meta = "N", default = "5")]
    minutes: f64,
    #[options(help = "number of faults per scenario", meta = "N", default = "40")]
    faults: usize,
    #[options(help = "run only the scenario of the seed", no_short)]
    once: bool,
}

fn main() -> ExitCode {
    let options = SoakOptions::parse_args_default_or_exit();
    let end = Instant::now() + Duration::from_secs_f64(options.minutes * 60.0);
    let (mut scenarios, mut events, mut asked, mut failed) = (0_u64, 0_u64, 0_u64, 0_u64);
    let mut seed = options.seed;
    loop {
        let report = run_random_scenario(seed, options.faults);
        scenarios += 1;
        events += report.events;
        asked += report.asked;
        if !report.all_invariants_hold() {
            failed += 1;
            println!("seed {seed}: {report:?}");
        }
        seed += 1;
        if options.once || Instant::now() >= end {
            break;
        }
    }
    println!("{scenarios} scenarios, {events} events, {asked} requests, {failed} scenarios failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
