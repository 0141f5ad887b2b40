//! The coordinator is killed, and each host lets one large request of a tenant pass.
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
use review_standins::json;
use review_standins::record::Record;
use review_standins::store::Store;

const CAP: Cap = Cap { rate_per_s: 4_200.0, burst: 4_200.0 };
const USAGE: (u64, u64) = (3_700, 300);
const HOSTS: u8 = 20;
const CONSUMERS: u64 = 120;
/// Time between the end of a request and the next one of the same consumer.
const PAUSE: Duration = Duration::from_millis(900);
const CALM: Duration = Duration::from_secs(10);
const REST: Duration = Duration::from_secs(9);

struct Shared {
    record: Record,
    addresses: Vec<SocketAddr>,
    is_done: AtomicBool,
    next: AtomicU64,
    sent: Mutex<HashMap<String, u64>>,
}

fn consume(shared: &Shared, number: u64) {
    let address = shared.addresses[(number % shared.addresses.len() as u64) as usize];
    thread::sleep(PAUSE * (number as u32 % 7) / 7);
    while !shared.is_done.load(Ordering::SeqCst) {
        let count = shared.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + count);
        shared.sent.lock().unwrap().insert(id.clone(), shared.record.now_ms());
        let end = match ask(
            address,
            &Ask { id: &id, key: "key-of-shop", model: "sage", usage: USAGE, patience: None },
        ) {
            Ok(Some(answer)) => format!("{} with {} bytes", answer.status, answer.length),
            Ok(None) => "closed without an answer".to_owned(),
            Err(error) => error.to_string(),
        };
        shared.record.line(&format!("consumer {number} sent {id} to {address}: {end}"));
        thread::sleep(PAUSE);
    }
}

fn run() -> std::io::Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
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
    store.put("config", "main", &declare(3, "4200", "4200", 800_000));
    let start = |number| Gateway::start(number, &store, &temporary, "");
    let mut gateways: Vec<Gateway> = (1..=HOSTS).map(start).collect::<Result<_, _>>()?;
    if !gateways.iter().all(Gateway::wait_until_ready) {
        record.line("a gateway did not get ready");
        return Err(std::io::Error::other("a gateway did not get ready"));
    }
    let shared = Arc::new(Shared {
        record: record.clone(),
        addresses: gateways.iter().map(|gateway| gateway.address).collect(),
        is_done: AtomicBool::new(false),
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
        // The process that last wrote to the store under a condition.
        let leases = store.specs_of_other_kinds();
        let holder = leases.iter().find_map(|spec| json::text_member(spec, "holder"));
        let holder = holder.unwrap_or_default().to_owned();
        let Some(place) = gateways.iter().position(|gateway| gateway.name == holder) else {
            record.line("no gateway has written to the store under a condition");
            return Err(std::io::Error::other(
                "no gateway has written to the store under a condition",
            ));
        };
        record.line(&format!("{holder} is killed"));
        drop(gateways.remove(place));
    }
    thread::sleep(REST);
    shared.is_done.store(true, Ordering::SeqCst);
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    drop(gateways);
    let runs: Vec<_> =
        engines.iter().flat_map(|engine| engine.runs.lock().unwrap().clone()).collect();
    let (most, from) = most_used(runs.iter(), "shop", &shared.sent.lock().unwrap());
    let text = format!("most in 8 s: {most} tokens from {from} ms on, allowed {}", CAP.allowed());
    record.line(&text);
    println!("{text}");
    if runs.len() < 10 {
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
