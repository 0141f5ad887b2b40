//! The leader's process is killed and started again while a tenant sends many times its
//! usual.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use crate::host::{Host, could_not_run};
use crate::service::{Run, Service, first_runs};
use crate::stage::{HOSTS, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// `rate_per_s` and `burst` of the tenant, in tokens, as in the example of `wire`.
const RATE: f64 = 109_976.0;
/// `X-Token-Usage` of a request, and its sum.
const USAGE: (&str, f64) = ("600,100", 700.0);
/// `quota_x` of the site: the cap as a multiple of what the tenant usually sends.
const CAP_FACTOR: f64 = 1.8;
/// `x` and `for_s` of the disruption `hot_tenant`.
const HOT_FACTOR: f64 = 11.0;
const HOT_TIME: Duration = Duration::from_secs(11);
/// Time from the start of the hot tenant to the kill, and from the kill to the restart.
const KILL_AFTER: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_millis(500);
const CLIENTS: usize = 240;
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;

/// Returns the most tokens that were sent and run within a window.
fn count_largest(runs: &[Run], sent: &HashMap<String, Instant>) -> f64 {
    let times = runs.iter().filter_map(|run| Some((*sent.get(&run.request)?, run.at)));
    let mut times: Vec<(Instant, Instant)> = times.collect();
    times.sort();
    let count_from = |index: usize| {
        let end = times[index].0 + WINDOW;
        let rest = times[index..].iter().take_while(|(sent, _)| *sent < end);
        rest.filter(|(_, run)| *run < end).count()
    };
    (0..times.len()).map(count_from).max().unwrap_or(0) as f64 * USAGE.1
}

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let services = ["i-7f3a91c2", "i-02d9e6b4", "i-5840f93b"].map(|id| Service::start(id, record));
    services.iter().for_each(|service| service.register(&store, SERVICE, 64));
    let tenant = Tenant { name: "hule930", keys: &[KEY], cap: (RATE, RATE) };
    store.put("config", "main", &config(7, &first_routes(), &[tenant]));
    let mut hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    sleep(Duration::from_secs(2));
    let clients: Vec<Host> = hosts.iter().map(Host::for_clients).collect();
    let (is_over, number) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (sent, refused) = (Mutex::new(HashMap::new()), AtomicUsize::new(0));
    let per_s = RATE / CAP_FACTOR * HOT_FACTOR / USAGE.1;
    let pause = Duration::from_secs_f64(CLIENTS as f64 / per_s);
    let send_all = |client: usize| {
        let host = &clients[client % clients.len()];
        sleep(pause.mul_f64(client as f64 / CLIENTS as f64));
        while !is_over.load(Ordering::Relaxed) {
            let started = Instant::now();
            let id = format!("hot-{:06}", number.fetch_add(1, Ordering::Relaxed));
            sent.lock().expect("the times").insert(id.clone(), started);
            let answer = stage.send(host, client.is_multiple_of(2), &id, KEY, USAGE.0);
            if answer.is_none_or(|answer| answer.status() != 200) {
                refused.fetch_add(1, Ordering::Relaxed);
            }
            sleep(pause.saturating_sub(started.elapsed()));
        }
    };
    scope(|threads| {
        for client in 0..CLIENTS {
            let send_all = &send_all;
            threads.spawn(move || send_all(client));
        }
        sleep(KILL_AFTER);
        if stage.has_trouble {
            // The host that last wrote to the store under a condition.
            let leader = store.last_holder();
            let leader = hosts.iter_mut().find(|host| Some(&host.name) == leader.as_ref());
            let Some(leader) = leader else { could_not_run("no host holds the lease") };
            leader.kill();
            record.say(&format!("{} killed", leader.name));
            sleep(DOWN_TIME);
            leader.restart();
            record.say(&format!("{} started again", leader.name));
        }
        sleep(HOT_TIME - KILL_AFTER - DOWN_TIME);
        is_over.store(true, Ordering::Relaxed);
    });
    let runs = first_runs(&services, "hot-");
    let largest = count_largest(&runs, &sent.into_inner().expect("the times"));
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * (1.0 + OVERSHOOT) + SLACK;
    let (sent, refused) = (number.into_inner(), refused.into_inner());
    record.say(&format!(
        "{sent} requests of {} tokens sent in {} s, {refused} not answered 200; {largest} tokens were sent and \
         run in 8 s, {allowed:.0} are allowed",
        USAGE.1,
        HOT_TIME.as_secs()
    ));
    if runs.is_empty() {
        could_not_run("requests are not served");
    }
    largest <= allowed
}
