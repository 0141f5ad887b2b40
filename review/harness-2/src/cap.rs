//! The usage cap of a tenant is lowered to less than one token per second.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::host::{Host, could_not_run};
use crate::service::{Run, Service, first_runs};
use crate::stage::{HOSTS, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const OTHER_KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `rate_per_s` before and after the change, and `burst`, in tokens.
const RATES: (f64, f64) = (1.0, 0.4);
const BURST: f64 = 2_000.0;
/// `X-Token-Usage` of a request, and its sum.
const USAGE: (&str, u64) = ("600,100", 700);
const REQUESTS: usize = 120;
/// `config_apply_ms` and `quota_window_s` of the site file: a lower limit binds one window
/// after it is in force.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;

/// Returns the most tokens that ran in a window.
fn count_largest(runs: &[Run]) -> u64 {
    let from = |run: &Run| {
        let within = runs.iter().filter(|other| other.at >= run.at && other.at < run.at + WINDOW);
        within.filter_map(|run| run.tokens).sum()
    };
    runs.iter().map(from).max().unwrap_or(0)
}

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let services = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Service::start(id, record));
    services.iter().for_each(|service| service.register(&store, SERVICE, 6));
    let write = |version: u32, rate: f64| {
        let other = Tenant { name: "kuyo115", keys: &[OTHER_KEY], cap: (109_976.0, 109_976.0) };
        let tenant = Tenant { name: "hule930", keys: &[KEY], cap: (rate, BURST) };
        store.put("config", "main", &config(version, &first_routes(), &[other, tenant]))
    };
    write(7, RATES.0);
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    let other = stage.send(&hosts[0], false, "other-1", OTHER_KEY, USAGE.0);
    if other.is_none_or(|answer| answer.status() != 200) {
        could_not_run("requests are not served");
    }
    let rate = if stage.has_trouble { RATES.1 } else { RATES.0 };
    write(9, rate);
    record.say(&format!("operator: version 9 confirmed, rate_per_s {rate}, burst {BURST}"));
    sleep(APPLY_TIME + WINDOW + Duration::from_millis(500));
    let (started, mut statuses) = (Instant::now(), Vec::new());
    for number in 0..REQUESTS {
        let host = &hosts[number % hosts.len()];
        let answer =
            stage.send(host, number % 2 == 0, &format!("capped-{number:03}"), KEY, USAGE.0);
        statuses.push(answer.map_or(0, |answer| answer.status()));
        if started.elapsed() > WINDOW {
            break;
        }
    }
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    let allowed = (rate * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let runs = first_runs(&services, "capped-");
    let largest = count_largest(&runs);
    record.say(&format!(
        "{} requests of {} tokens sent in {:.1} s: {} answered 200, {} answered 429; {largest} tokens ran in \
         8 s, {allowed:.0} are allowed",
        statuses.len(),
        USAGE.1,
        started.elapsed().as_secs_f64(),
        count(200),
        count(429)
    ));
    largest as f64 <= allowed
}
