//! The configuration grows by many routes, and the gateways exceed their memory.
//!
//! Exit code 1: the rule was broken, 0: it held, 2: the case could not run.

use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standins::consumer::{Ask, ask};
use review_standins::engine::Engine;
use review_standins::fleet::Gateway;
use review_standins::record::Record;
use review_standins::store::Store;

/// `limits.memory_mb` of the settings, and the number of growths, unless MEMORY_MB and GROWTHS
/// say otherwise.
const MEMORY_MB: u64 = 182;
const GROWTHS: u64 = 3;
/// Largest value that the store takes, `platform.value_bytes`.
const VALUE_BYTES: usize = 1_048_576;
/// Routes that each growth adds.
const GROWTH: usize = 1_400;
const CALM: Duration = Duration::from_secs(4);
const BETWEEN: Duration = Duration::from_secs(5);
const REST: Duration = Duration::from_secs(25);
/// Time until the platform starts a process again that it has killed.
const RESTART: Duration = Duration::from_secs(1);
const HOSTS: u8 = 3;
/// Ends with which the rule counts a machine.
const MOST_ENDS: usize = 2;

/// Returns a configuration with the route `guide` and `further` ones of the three kinds that
/// the model engines of the site serve.
fn declare(version: usize, further: usize) -> String {
    let route = |name: &str, prefix: &str, kind: usize| {
        let (timeout, objective, rank, attempts, resumable) = match kind {
            0 => (12_000, 400, 0, 2, true),
            1 => (20_000, 5_000, 0, 1, false),
            _ => (3_000, 500, 2, 2, true),
        };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"{prefix}\",\
             \"type\":\"streaming\",\"timeout_ms\":{timeout},\"target_latency_ms\":{objective},\
             \"priority\":{rank},\"service\":\"models\",\"max_attempts\":{attempts},\
             \"public\":false,\"resumable\":{resumable}}}"
        )
    };
    let mut routes = vec![route("guide", "/guide/", 0)];
    routes.extend((0..further).map(|n| route(&format!("r{n}"), &format!("/p{n}/"), n % 3)));
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"models\",\"health_path\":\"/healthz\",\"max_connections\":822,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"weights_mb\":80000.0,\
         \"adapter_slots\":2,\"loads_per_s\":1.6,\"models\":[{{\"name\":\"sage\",\
         \"weights_mb\":70000.0,\"load_time_s\":6.0,\"adapters\":0,\"adapter_size_mb\":60.0}}]}}}}],\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-of-shop\"],\"priority\":1,\
         \"unit\":\"tokens\",\"text_tokens\":200,\"rate_per_s\":0,\"burst\":0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// What the platform does with one process: it kills it over its memory, and starts it again.
fn supervise(
    shared: &Mutex<Gateway>,
    limit_mb: u64,
    is_done: &AtomicBool,
    record: &Record,
) -> (usize, u64) {
    let (mut ends, mut peak) = (0, 0);
    while !is_done.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
        let mut gateway = shared.lock().unwrap();
        let memory = gateway.memory();
        peak = memory.max(peak);
        if memory <= limit_mb * 1024 * 1024 {
            continue;
        }
        gateway.kill();
        ends += 1;
        let name = gateway.name.clone();
        record.line(&format!("{name} is killed with {} MB of memory", memory / 1024 / 1024));
        drop(gateway);
        thread::sleep(RESTART);
        if let Err(error) = shared.lock().unwrap().restart() {
            record.line(&format!("{name} cannot be started again: {error}"));
            return (ends, peak);
        }
    }
    (ends, peak)
}

/// One consumer of a host, which asks five times a second.
fn consume(shared: &Mutex<Gateway>, is_done: &AtomicBool, record: &Record, number: usize) -> Vec<(u64, bool)> {
    let (address, mut answers) = (shared.lock().unwrap().address, Vec::new());
    for count in 0.. {
        if is_done.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + ((number as u64) << 32) + count);
        let request = Ask { id: &id, key: "key-of-shop", usage: (826, 294), patience: None };
        let sent_ms = record.now_ms();
        let end = match ask(address, &request) {
            Ok(Some((status, _))) => status.to_string(),
            Ok(None) => "closed without an answer".to_owned(),
            Err(error) => error.to_string(),
        };
        record.line(&format!("consumer {number} sent {id} to {address}: {end}"));
        answers.push((sent_ms, end == "200"));
        thread::sleep(Duration::from_millis(200));
    }
    answers
}

fn run() -> std::io::Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let limit_mb = number("MEMORY_MB").unwrap_or(MEMORY_MB);
    let growths = number("GROWTHS").unwrap_or(GROWTHS) as usize;
    let mut folders = std::env::args().skip(1).map(PathBuf::from);
    let (folder, temporary) = (folders.next().expect("a folder"), folders.next().expect("another"));
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(&format!("TROUBLE={}", u8::from(is_troubled)));
    let store = Store::start()?;
    let events = (4, Duration::from_millis(30));
    let engine = Engine::start("i-7f3a91c1", "models", "sage", 64, events, &record)?;
    engine.check_in(&store);
    store.put("config", "main", &declare(1, 100));
    let settings = format!("limits.memory_mb={limit_mb}\n");
    let start = |number| Gateway::start(number, &store, &temporary, &settings);
    let gateways: Vec<Gateway> = (1..=HOSTS).map(start).collect::<Result<_, _>>()?;
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway did not get ready");
        exit(2);
    }
    let gateways: Vec<Arc<Mutex<Gateway>>> =
        gateways.into_iter().map(|gateway| Arc::new(Mutex::new(gateway))).collect();
    let is_done = Arc::new(AtomicBool::new(false));
    let supervisors: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (gateway, is_done, record) = (gateway.clone(), is_done.clone(), record.clone());
            thread::spawn(move || supervise(&gateway, limit_mb, &is_done, &record))
        })
        .collect();
    let consumers: Vec<_> = (0..gateways.len())
        .map(|number| {
            let (gateway, is_done, record) = (gateways[number].clone(), is_done.clone(), record.clone());
            thread::spawn(move || consume(&gateway, &is_done, &record, number))
        })
        .collect();
    thread::sleep(CALM);
    for growth in 1..=growths {
        if is_troubled {
            let further = 100 + growth * GROWTH;
            let spec = declare(1 + growth, further);
            if spec.len() > VALUE_BYTES {
                record.line("the configuration is too large for the store");
                exit(2);
            }
            record.line(&format!("a version with {further} further routes, {} bytes", spec.len()));
            store.put("config", "main", &spec);
        }
        thread::sleep(BETWEEN);
    }
    let last_from = record.now_ms();
    thread::sleep(REST);
    is_done.store(true, Ordering::SeqCst);
    let ends: Vec<(usize, u64)> =
        supervisors.into_iter().map(|supervisor| supervisor.join().unwrap_or_default()).collect();
    let answers: Vec<(u64, bool)> =
        consumers.into_iter().flat_map(|consumer| consumer.join().unwrap_or_default()).collect();
    drop(gateways);
    let last: Vec<bool> =
        answers.iter().filter(|(at, _)| *at >= last_from).map(|(_, is_served)| *is_served).collect();
    let served = last.iter().filter(|is_served| **is_served).count();
    let ended: Vec<usize> = ends.iter().map(|(ends, _)| *ends).collect();
    let peaks: Vec<u64> = ends.iter().map(|(_, peak)| peak / 1024 / 1024).collect();
    let text = format!(
        "ends over memory by host: {ended:?}, most memory in MB: {peaks:?} of {}, \
         served in the last {} s: {served} of {}",
        limit_mb, REST.as_secs(), last.len()
    );
    record.line(&text);
    println!("{text}");
    Ok(ended.iter().filter(|ends| **ends > MOST_ENDS).count() >= 2)
}

fn main() {
    match run() {
        Ok(is_broken) => exit(i32::from(is_broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
