//! The config grows by many routes, and the platform kills a process that exceeds its memory.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::host::{Host, could_not_run};
use crate::service::Service;
use crate::stage::{HOSTS, Route, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// Number of routes before the disruption beside the first two: `idle_routes` of a site.
const IDLE_ROUTES: usize = 8;
/// `count` of the disruption `big_config` in a small site file.
const GROWTH: usize = 456;
/// Number of times that the config grows.
const CHANGES: usize = 9;
const GAP: Duration = Duration::from_secs(1);
/// `limits.memory_mb` of the site file.
const MEMORY_KB: u64 = 182 * 1024;
/// Time after which the platform starts a process again that it has killed.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const CHECK_TIME: Duration = Duration::from_secs(30);
/// Ends of a machine's processes from which it counts, and number of machines that break
/// the rule: a tenth of those in use, two at least.
const MAX_ENDS: (usize, usize) = (3, 2);

/// Returns routes of two kinds, with the objectives of `counter-guide` and
/// `overnight-guide`, one of each kind for each shop.
fn shop_routes(count: usize) -> Vec<Route> {
    let build = |number: usize| {
        let is_live = number.is_multiple_of(2);
        Route {
            name: format!("r-{number}"),
            host: format!("shop{}.example", number / 2),
            prefix: if is_live { "/lohu930/" } else { "/pufi791/" }.to_owned(),
            kind: "safe",
            timeout_ms: if is_live { 12_000 } else { 20_000 },
            objective_ms: if is_live { 400 } else { 4_000 },
            priority: 0,
        }
    };
    (0..count).map(build).collect()
}

/// Watches one host as the platform does, until `is_over`, and returns the number of times
/// that its process was killed and the largest memory seen, in kilobytes.
fn watch_memory(stage: &Stage, mut host: Host, is_over: &AtomicBool) -> (usize, u64) {
    let (mut ends, mut largest) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let memory = host.memory_kb();
        largest = largest.max(memory);
        if memory > MEMORY_KB {
            host.kill();
            ends += 1;
            stage.record.line(&format!("platform: {} has {memory} kB, killed", host.name));
            sleep(RESTART_DELAY);
            host.restart();
        }
        sleep(Duration::from_millis(20));
    }
    (ends, largest)
}

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let services = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Service::start(id, record));
    services.iter().for_each(|service| service.register(&store, SERVICE, 6));
    let write = |version: u32, count: usize| {
        let routes: Vec<Route> = first_routes().into_iter().chain(shop_routes(count)).collect();
        let tenant = Tenant { name: "hule930", keys: &[KEY], cap: (109_976.0, 109_976.0) };
        let text = config(version, &routes, &[tenant]);
        record.say(&format!(
            "operator: version {version}, {} routes, {} bytes",
            routes.len(),
            text.len()
        ));
        store.put("config", "main", &text)
    };
    write(7, IDLE_ROUTES);
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    let clients: Vec<Host> = hosts.iter().map(Host::for_clients).collect();
    let mut number = 0;
    let mut read = |label: &str| {
        number += 1;
        let host = &clients[number % clients.len()];
        let answer = stage.send(host, false, &format!("{label}-{number:04}"), KEY, "");
        answer.is_some_and(|answer| answer.status() == 200)
    };
    if (0..12).filter(|_| read("before")).count() < 10 {
        could_not_run("requests are not served");
    }
    let is_over = AtomicBool::new(false);
    let (results, served, sent) = scope(|threads| {
        let watch = |host| threads.spawn(|| watch_memory(stage, host, &is_over));
        let watches: Vec<_> = hosts.into_iter().map(watch).collect();
        for change in 1..=CHANGES {
            sleep(GAP);
            let growth = if stage.has_trouble { change * GROWTH } else { 0 };
            write(8 + change as u32, IDLE_ROUTES + growth);
        }
        sleep(Duration::from_secs(2));
        let (started, mut served, mut sent) = (Instant::now(), 0, 0);
        while started.elapsed() < CHECK_TIME {
            sent += 1;
            served += usize::from(read("after"));
            sleep(Duration::from_millis(100));
        }
        is_over.store(true, Ordering::Relaxed);
        let results: Vec<_> =
            watches.into_iter().map(|watch| watch.join().expect("a watch")).collect();
        (results, served, sent)
    });
    for (number, (ends, largest)) in results.iter().enumerate() {
        record.say(&format!(
            "host {}: killed {ends} times, at most {largest} kB of {MEMORY_KB} kB",
            number + 1
        ));
    }
    record.say(&format!("from 2 s after the last change on, {served} of {sent} reads were served"));
    results.iter().filter(|(ends, _)| *ends >= MAX_ENDS.0).count() < MAX_ENDS.1
}
