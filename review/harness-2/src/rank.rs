//! A config moves a route to another service and gives a tenant a rank beyond 255.

use std::thread::sleep;
use std::time::Duration;

use crate::host::{Host, could_not_run};
use crate::service::{Run, Service};
use crate::stage::{HOSTS, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const KEY: &str = "i9n73hh2b9wu3fexd9dn";
/// Service to which the read route moves.
const NEXT_SERVICE: &str = "registro-app-2";
/// `priority` of the tenant with the disruption, and without.
const RANKS: (u16, u16) = (300, 3);
/// `config_apply_ms` of the site file.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const CHECK_TIME: Duration = Duration::from_secs(20);

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let old = Service::start("i-7f3a91c2", record);
    let next = Service::start("i-02d9e6b4", record);
    old.register(&store, SERVICE, 6);
    next.register(&store, NEXT_SERVICE, 6);
    let build = |version: u32, rank: u16, service: &str| {
        let tenant = Tenant { name: "hule930", keys: &[KEY], cap: (109_976.0, 109_976.0) };
        let text = config(version, &first_routes(), &[tenant]);
        // Only the read route names the service that it moves to.
        let (routes, rest) = text.split_once("r-pozo").expect("the read route");
        let rest = rest.replacen(
            &format!("\"service\":\"{SERVICE}\""),
            &format!("\"service\":\"{service}\""),
            1,
        );
        let text = format!("{routes}r-pozo{rest}");
        let entry = format!(
            "{{\"name\":\"{NEXT_SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":244,\"protocol\":\"h1\",\"tls\":false}}"
        );
        let text = text.replacen("\"services\":[", &format!("\"services\":[{entry},"), 1);
        text.replacen("\"priority\":1,\"unit\"", &format!("\"priority\":{rank},\"unit\""), 1)
    };
    store.put("config", "main", &build(7, 1, SERVICE));
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    let mut number = 0;
    let mut read = |label: &str| {
        number += 1;
        let host = &hosts[number % hosts.len()];
        let answer = stage.send(host, false, &format!("{label}-{number:04}"), KEY, "");
        answer.map_or(0, |answer| answer.status())
    };
    if (0..12).filter(|_| read("before") == 200).count() < 10 {
        could_not_run("requests are not served");
    }
    let rank = if stage.has_trouble { RANKS.0 } else { RANKS.1 };
    let confirmed = store.put("config", "main", &build(9, rank, NEXT_SERVICE));
    record.say(&format!(
        "operator: version 9 confirmed, the read route moves to {NEXT_SERVICE}, priority {rank}"
    ));
    sleep(APPLY_TIME + Duration::from_millis(100));
    let (mut sent, mut served, mut refused) = (0, 0, 0);
    while confirmed.elapsed() < APPLY_TIME + CHECK_TIME {
        let status = read("after");
        sent += 1;
        served += u32::from(status == 200);
        refused += u32::from(status == 503);
        sleep(Duration::from_millis(100));
    }
    let count = |service: &Service| {
        let runs: Vec<Run> = service.runs();
        runs.iter().filter(|run| run.request.starts_with("after-")).count()
    };
    let (old, next) = (count(&old), count(&next));
    record.say(&format!(
        "reads sent later than config_apply_ms: {sent}, answered 200: {served}, 503: {refused}; runs at the old \
         service {old}, at the new one {next}"
    ));
    old == 0 && next > 0
}
