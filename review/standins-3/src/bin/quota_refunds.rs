//! Consumers leave while no coordinator answers, and their tenant gets more than its cap.
//!
//! Exit code 1: QUOTA was broken, 0: it held, 2: the case could not run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standins::consumer::{Ask, Cap, ask, declare, most_used};
use review_standins::engine::Engine;
use review_standins::fleet::Gateway;
use review_standins::record::Record;
use review_standins::store::Store;

const CAP: Cap = Cap { rate_per_s: 20_000.0, burst: 20_000.0 };
/// Prompt tokens and the maximum number of generated ones.
const USAGE: (u64, u64) = (826, 294);
const CONSUMERS: u64 = 250;
/// Consumers of each ten that leave early during the disruption.
const LEAVERS: u64 = 3;
/// Time after which they leave: half of the objective.
const PATIENCE: Duration = Duration::from_millis(200);
/// Time between the end of a request and the next one of the same consumer.
const PAUSE: Duration = Duration::from_millis(400);
const CALM: Duration = Duration::from_secs(5);
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Part of the outage before they begin to leave, so that they do for 4 s.
const STAYING: Duration = Duration::from_millis(500);
const REST: Duration = Duration::from_secs(9);

struct Shared {
    record: Record,
    addresses: Vec<SocketAddr>,
    leavers: u64,
    is_done: AtomicBool,
    is_disturbed: AtomicBool,
    next: AtomicU64,
    sent: Mutex<HashMap<String, u64>>,
}

fn consume(shared: &Shared, number: u64) {
    let address = shared.addresses[(number % shared.addresses.len() as u64) as usize];
    while !shared.is_done.load(Ordering::SeqCst) {
        let count = shared.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + count);
        let leaves = number % 10 < shared.leavers && shared.is_disturbed.load(Ordering::SeqCst);
        shared.sent.lock().unwrap().insert(id.clone(), shared.record.now_ms());
        let patience = leaves.then_some(PATIENCE);
        shared.record.line(&format!("consumer {number} sends {id}"));
        let mut pause = PAUSE;
        let end = match ask(
            address,
            &Ask { id: &id, key: "key-of-shop", model: "sage", usage: USAGE, patience },
        ) {
            Ok(Some(answer)) => {
                pause = pause.max(answer.retry_after);
                format!("{} with {} bytes", answer.status, answer.length)
            }
            Ok(None) => "closed without an answer".to_owned(),
            Err(_) if leaves => "left".to_owned(),
            Err(error) => error.to_string(),
        };
        shared.record.line(&format!("consumer {number} got for {id}: {end}"));
        thread::sleep(pause);
    }
}

fn run() -> std::io::Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    // For a comparison: the outage alone, with LEAVERS=0.
    let leavers = std::env::var("LEAVERS").ok().and_then(|text| text.parse().ok());
    let mut folders = std::env::args().skip(1).map(PathBuf::from);
    let (folder, temporary) = (folders.next().expect("a folder"), folders.next().expect("another"));
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(&format!("TROUBLE={}", u8::from(is_troubled)));
    let store = Store::start()?;
    let events = (4, Duration::from_millis(30));
    let engines = [
        Engine::start("i-7f3a91c1", "models", "sage", 64, events, &record)?,
        Engine::start("i-7f3a91c2", "models", "sage", 64, events, &record)?,
    ];
    engines.iter().for_each(|engine| engine.check_in(&store));
    store.put("config", "main", &declare(3, "20000", "20000", 800_000));
    let start = |number| Gateway::start(number, &store, &temporary, "");
    let gateways: Vec<Gateway> = (1..=2).map(start).collect::<Result<_, _>>()?;
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway did not get ready");
        return Err(std::io::Error::other("a gateway did not get ready"));
    }
    let shared = Arc::new(Shared {
        record: record.clone(),
        addresses: gateways.iter().map(|gateway| gateway.address).collect(),
        leavers: leavers.unwrap_or(LEAVERS),
        is_done: AtomicBool::new(false),
        is_disturbed: AtomicBool::new(false),
        next: AtomicU64::new(1),
        sent: Mutex::default(),
    });
    let start = |number| {
        let shared = shared.clone();
        thread::spawn(move || consume(&shared, number))
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(start).collect();
    thread::sleep(CALM);
    if is_troubled {
        record.line("the store falls silent, and 0.5 s later some consumers leave early");
        store.set_silent(true);
    }
    thread::sleep(STAYING);
    shared.is_disturbed.store(is_troubled, Ordering::SeqCst);
    thread::sleep(OUTAGE - STAYING);
    if is_troubled {
        store.set_silent(false);
        shared.is_disturbed.store(false, Ordering::SeqCst);
        record.line("the store answers again, and nobody leaves early");
    }
    thread::sleep(REST);
    shared.is_done.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    drop(gateways);
    let runs: Vec<_> =
        engines.iter().flat_map(|engine| engine.runs.lock().unwrap().clone()).collect();
    let (most, from) = most_used(runs.iter(), "shop", &shared.sent.lock().unwrap());
    let text = format!("most in 8 s: {most} tokens from {from} ms on, allowed {}", CAP.allowed());
    let count = shared.sent.lock().unwrap().len() as u64;
    let asked = (count * (USAGE.0 + USAGE.1)) as f64 * 1_000.0 / record.now_ms() as f64;
    let text = format!("{text}; asked for {:.1} times the rate", asked / CAP.rate_per_s);
    record.line(&text);
    println!("{text}");
    if runs.len() < 50 {
        record.line("too few requests ran");
        return Err(std::io::Error::other("too few requests ran"));
    }
    Ok(most > CAP.allowed())
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
