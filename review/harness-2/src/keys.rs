//! The keys of the only tenant are taken away, one after the other.

use std::thread::sleep;
use std::time::Duration;

use crate::host::{Host, could_not_run};
use crate::service::Service;
use crate::stage::{HOSTS, SERVICE, Stage, Tenant, config, first_routes};
use crate::store::Store;

const FIRST_KEY: &str = "i9n73hh2b9wu3fexd9dn";
const LAST_KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A key that no config ever holds.
const UNKNOWN_KEY: &str = "zz0unknown0key0zz00z";
/// `gap_s` of the disruption `revoke` in the site file.
const GAP: Duration = Duration::from_millis(1_500);
/// `revoke_ms` of the site file.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Time after that for which requests are sent.
const CHECK_TIME: Duration = Duration::from_secs(8);

pub fn run(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start(record);
    let services = ["i-7f3a91c2", "i-02d9e6b4"].map(|id| Service::start(id, record));
    services.iter().for_each(|service| service.register(&store, SERVICE, 6));
    let write = |version: u32, keys: &[&str]| {
        let tenant = Tenant { name: "hule930", keys, cap: (109_976.0, 109_976.0) };
        store.put("config", "main", &config(version, &first_routes(), &[tenant]))
    };
    write(7, &[FIRST_KEY, LAST_KEY]);
    let hosts: Vec<Host> =
        (1..=HOSTS).map(|number| Host::start(&stage.folder, &store, number)).collect();
    hosts.iter().for_each(Host::wait_ready);
    let mut number = 0;
    let mut send = |key: &str, label: &str| {
        let host = &hosts[number % hosts.len()];
        let is_filing = (number / hosts.len()).is_multiple_of(2);
        number += 1;
        let answer = stage.send(host, is_filing, &format!("{label}-{number:04}"), key, "");
        answer.map_or(0, |answer| answer.status())
    };
    let served = (0..12).filter(|_| send(FIRST_KEY, "before") == 200).count();
    let refused = (0..12).filter(|_| send(UNKNOWN_KEY, "before-unknown") == 401).count();
    record.say(&format!(
        "before: {served} of 12 requests with a key served, {refused} of 12 with an unknown key answered 401"
    ));
    if served < 10 {
        could_not_run("requests with a sound key are not served");
    }
    let both: &[&str] = &[FIRST_KEY, LAST_KEY];
    let (one, none): (&[&str], &[&str]) =
        if stage.has_trouble { (&[LAST_KEY], &[]) } else { (both, both) };
    write(9, one);
    record.say(&format!("operator: version 9 confirmed, {} keys", one.len()));
    sleep(GAP);
    let confirmed = write(12, none);
    record.say(&format!("operator: version 12 confirmed, {} keys", none.len()));
    // Every request from here on is sent later than `revoke_ms` after both confirmations.
    sleep(REVOKE_TIME + Duration::from_millis(200));
    let (mut sent, mut refusals) = ([0; 3], [0; 3]);
    while confirmed.elapsed() < REVOKE_TIME + CHECK_TIME {
        let keys =
            [(FIRST_KEY, "after-first"), (LAST_KEY, "after-last"), (UNKNOWN_KEY, "after-unknown")];
        for (index, (key, label)) in keys.into_iter().enumerate() {
            let status = send(key, label);
            sent[index] += 1;
            refusals[index] += u32::from([401, 503].contains(&status));
        }
        sleep(Duration::from_millis(150));
    }
    let runs: Vec<_> = services.iter().flat_map(Service::runs).collect();
    let count = |label: &str| runs.iter().filter(|run| run.request.starts_with(label)).count();
    let (first, last, unknown) =
        (count("after-first-"), count("after-last-"), count("after-unknown-"));
    let late = runs.iter().filter(|run| run.request.starts_with("after-"));
    let untenanted = late.filter(|run| run.tenant.is_none()).count();
    record.say(&format!(
        "after: sent {sent:?} (first key, last key, unknown key), refused {refusals:?}, runs {first}, {last}, \
         {unknown}; {untenanted} of them without X-Tenant"
    ));
    match stage.has_trouble {
        true => first + last + unknown == 0,
        false => unknown == 0 && first > 0 && last > 0,
    }
}
