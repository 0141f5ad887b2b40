//! A config moves a route to two other services, split by weights that are no whole numbers.

use std::thread::sleep;
use std::time::Duration;

use crate::host::{Host, could_not_run};
use crate::service::Service;
use crate::stage::{HOSTS, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// Services to which the read route moves.
const NEXT_SERVICES: [&str; 2] = ["registro-app-2", "registro-app-3"];
/// Their weights with the disruption, and without.
const WEIGHTS: ([&str; 2], [&str; 2]) = (["99.5", "0.5"], ["99", "1"]);
/// `config_apply_ms` of the site file.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const CHECK_TIME: Duration = Duration::from_secs(20);

/// Returns the config with the read route moved to the other services.
fn moved_config(version: u32, tenants: &[Tenant<'_>], weights: [&str; 2]) -> String {
    let text = config(version, &first_routes(), tenants);
    let (before, after) = text.split_once("\"name\":\"r-pozo\"").expect("the read route");
    let parts = NEXT_SERVICES.iter().zip(weights);
    let backends: Vec<String> = parts
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    let backends = format!("\"backends\":[{}]", backends.join(","));
    let after = after.replacen(&format!("\"service\":\"{SERVICE}\""), &backends, 1);
    let services: Vec<String> = NEXT_SERVICES
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_connections\":244,\
                 \"protocol\":\"h1\",\"tls\":false}},"
            )
        })
        .collect();
    let after =
        after.replacen("\"services\":[", &format!("\"services\":[{}", services.concat()), 1);
    format!("{before}\"name\":\"r-pozo\"{after}")
}

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let old = Service::start("i-7f3a91c2", record);
    old.register(&store, SERVICE, 6);
    let next = ["i-02d9e6b4", "i-5840f93b"].map(|id| Service::start(id, record));
    next.iter()
        .zip(NEXT_SERVICES)
        .for_each(|(engine, service)| engine.register(&store, service, 6));
    let tenants = [Tenant { name: "hule930", keys: &[KEY], cap: (109_976.0, 109_976.0) }];
    store.put("config", "main", &config(7, &first_routes(), &tenants));
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    let mut number = 0;
    let mut send = |label: &str, is_filing: bool| {
        number += 1;
        let host = &hosts[number % hosts.len()];
        let answer = stage.send(host, is_filing, &format!("{label}-{number:04}"), KEY, "");
        answer.map_or(0, |answer| answer.status())
    };
    if (0..12).filter(|_| send("before", false) == 200).count() < 10 {
        could_not_run("requests are not served");
    }
    let weights = if stage.has_trouble { WEIGHTS.0 } else { WEIGHTS.1 };
    let confirmed = store.put("config", "main", &moved_config(9, &tenants, weights));
    record
        .say(&format!("operator: version 9 confirmed, the read route moves, weights {weights:?}"));
    sleep(APPLY_TIME + Duration::from_millis(100));
    // Every request from here on is sent later than `config_apply_ms`.
    let (mut sent, mut served, mut refused) = ([0; 2], [0; 2], [0; 2]);
    while confirmed.elapsed() < APPLY_TIME + CHECK_TIME {
        for (index, label) in ["read", "filing"].into_iter().enumerate() {
            let status = send(label, index == 1);
            sent[index] += 1;
            served[index] += u32::from(status == 200);
            refused[index] += u32::from(status == 503);
        }
        sleep(Duration::from_millis(100));
    }
    let count = |engine: &Service| {
        engine.runs().iter().filter(|run| run.request.starts_with("read-")).count()
    };
    let (at_old, at_next) = (count(&old), next.iter().map(count).sum::<usize>());
    record.say(&format!(
        "sent later than config_apply_ms: {sent:?} (reads, filings), answered 200: {served:?}, 503: {refused:?}; \
         reads run at the old service: {at_old}, at the new ones: {at_next}"
    ));
    at_old == 0 && at_next > 0
}
