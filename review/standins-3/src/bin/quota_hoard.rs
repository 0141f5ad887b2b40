//! The only engine of a model is taken away at short notice. Until another one has loaded the
//! model, the hosts hoard tokens of the tenant that asks for it, and then it gets more than its
//! cap.
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

use review_standins::consumer::{Ask, Cap, MODELS, ask, declare, most_used};
use review_standins::engine::Engine;
use review_standins::fleet::Gateway;
use review_standins::record::Record;
use review_standins::store::Store;

const CAP: Cap = Cap { rate_per_s: 20_000.0, burst: 20_000.0 };
/// Prompt tokens and the maximum number of generated ones.
const USAGE: (u64, u64) = (826, 294);
/// The model that the tenant asks for, by its place among [`MODELS`].
const MODEL: usize = 1;
const CONSUMERS: u64 = 250;
/// Time between the end of a request and the next one of the same consumer.
const PAUSE: Duration = Duration::from_millis(400);
/// Notice of the engine that is taken away, and time until another one comes.
const NOTICE: Duration = Duration::from_millis(2_000);
const VACANCY: Duration = Duration::from_millis(4_000);
const CALM: Duration = Duration::from_secs(6);
/// Time for the load, and a window after it.
const REST: Duration = Duration::from_secs(18);

struct Shared {
    record: Record,
    addresses: Vec<SocketAddr>,
    is_done: AtomicBool,
    next: AtomicU64,
    sent: Mutex<HashMap<String, u64>>,
}

fn consume(shared: &Shared, number: u64) {
    let address = shared.addresses[(number % shared.addresses.len() as u64) as usize];
    while !shared.is_done.load(Ordering::SeqCst) {
        let count = shared.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + count);
        let model = MODELS[MODEL];
        shared.sent.lock().unwrap().insert(id.clone(), shared.record.now_ms());
        shared.record.line(&format!("consumer {number} sends {id}"));
        let mut pause = PAUSE;
        let end = match ask(
            address,
            &Ask { id: &id, key: "key-of-shop", model, usage: USAGE, patience: None },
        ) {
            Ok(Some(answer)) => {
                pause = pause.max(answer.retry_after);
                format!("{} with {} bytes", answer.status, answer.length)
            }
            Ok(None) => "closed without an answer".to_owned(),
            Err(error) => error.to_string(),
        };
        shared.record.line(&format!("consumer {number} got for {id}: {end}"));
        thread::sleep(pause);
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
    let start = |number: usize, model: &str| {
        Engine::start(&format!("i-7f3a91c{number}"), "models", model, 64, events, &record)
    };
    let begin = |(number, model): (usize, &&str)| start(number, model);
    let mut engines: Vec<Engine> =
        MODELS.iter().enumerate().map(begin).collect::<Result<_, _>>()?;
    engines.iter().for_each(|engine| engine.check_in(&store));
    store.put("config", "main", &declare(3, "20000", "20000", 80_000));
    let begin = |number| Gateway::start(number, &store, &temporary, "");
    let gateways: Vec<Gateway> = (1..=2).map(begin).collect::<Result<_, _>>()?;
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
    let begin = |number| {
        let shared = shared.clone();
        thread::spawn(move || consume(&shared, number))
    };
    let consumers: Vec<_> = (0..CONSUMERS).map(begin).collect();
    thread::sleep(CALM);
    if is_troubled {
        record.line("the engine of the model gets notice");
        engines[MODEL].take_away(NOTICE);
        record.line("it is gone");
        thread::sleep(VACANCY);
        let engine = start(MODELS.len(), "")?;
        engine.check_in(&store);
        record.line("another one comes");
        engines.push(engine);
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
