//! A coordinator that is frozen while the entry of an engine is removed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::http::call;
use crate::record::Record;
use crate::store::Store;

/// `bounds.drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the coordinator stands still.
const FREEZE: Duration = Duration::from_millis(1_800);
/// Time from the start of the freeze to the removal of the entry.
const REMOVAL: Duration = Duration::from_millis(800);
/// Time from the removal of the entry to the end of the engine.
const EXIT: Duration = Duration::from_millis(2_800);
const GATEWAYS: usize = 4;
const ENGINES: usize = 4;
const ROUNDS: usize = 5;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-orders","host":"shop.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_connections":244,"protocol":"h1","tls":false}],"tenants":[{"name":"farm","api_keys":["key-1"],"rate_per_s":0,"burst":0,"unit":"tokens","text_tokens":200}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sends orders to a gateway one after another until `is_over`.
fn send_orders(frontend: SocketAddr, name: &str, record: &Record, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("{name}-{number}");
        let request = format!(
            "POST /orders/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\
             Connection: close\r\n\r\n{{}}"
        );
        record.line(format!("consumer sends {id}"));
        let end = match call(frontend, request.as_bytes(), Duration::from_secs(5)) {
            Ok(answer) => answer.status().to_string(),
            Err(error) => format!("no answer: {}", error.kind()),
        };
        record.line(format!("consumer gets for {id}: {end}"));
        number += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let subnet = std::process::id() % 200 + 20;
    let ip = |host: usize| format!("127.{subnet}.9.{host}");
    let store = Store::start(&ip(1));
    store.put("config", "main", CONFIG);
    let work = Duration::from_millis(60);
    let engines: Vec<Engine> = (0..ENGINES + ROUNDS)
        .map(|number| {
            let id = format!("i-app{number}");
            Engine::start(&ip(10 + number), &id, 6, 24, work, record.clone())
        })
        .collect();
    for engine in &engines {
        store.put("servers", &engine.id, &engine.entry("app", "a", 6, "ready"));
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| {
            let name = format!("edge-a-{}", number + 1);
            Gateway::new(folder, &name, &ip(100 + number), "a", store.address, "")
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start().map_err(|error| format!("cannot start the gateway: {error}"))?;
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        return Err("the gateways were not ready within 10 s".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = gateways
        .iter()
        .flat_map(|gateway| {
            (0..3).map(move |number| (gateway.frontend, format!("{}-c{number}", gateway.name)))
        })
        .map(|(frontend, name)| {
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || send_orders(frontend, &name, &record, &is_over))
        })
        .collect();
    let mut late = 0;
    for round in 0..ROUNDS {
        // The freeze begins at another point between two renewals in each round.
        std::thread::sleep(Duration::from_millis(4_000 + 170 * round as u64));
        let holder = store.find_holder().ok_or("there is no coordinator")?;
        let gateway = gateways.iter().find(|gateway| gateway.name == holder);
        let gateway = gateway.ok_or("the coordinator is not known")?;
        let started = Instant::now();
        record.line(format!("{holder} is the coordinator"));
        if has_trouble {
            gateway.signal("STOP")?;
            record.line(format!("{holder} is frozen"));
        }
        std::thread::sleep(REMOVAL.saturating_sub(started.elapsed()));
        let engine = &engines[round];
        store.remove("servers", &engine.id);
        let removed = Instant::now();
        record.line(format!("the entry of {} is removed", engine.id));
        std::thread::sleep(FREEZE.saturating_sub(started.elapsed()));
        if has_trouble {
            gateway.signal("CONT")?;
            record.line(format!("{holder} goes on"));
        }
        std::thread::sleep(EXIT.saturating_sub(removed.elapsed()));
        let lost = engine.end();
        record.line(format!("{} ends; it was running {lost:?}", engine.id));
        std::thread::sleep(Duration::from_millis(1_500));
        let arrivals = engine.arrivals_after(removed + DRAIN);
        // The machine that was frozen is out of touch until 3 s after the freeze. The pause
        // before the next round is longer.
        let frozen = format!("{holder}-");
        let counted: Vec<_> =
            arrivals.into_iter().filter(|(id, _)| !id.starts_with(&frozen)).collect();
        for (id, at) in &counted {
            let after = at.duration_since(removed).as_millis();
            record
                .line(format!("{id} reached {} {after} ms after its entry was removed", engine.id));
        }
        late += counted.len();
    }
    is_over.store(true, Ordering::Relaxed);
    consumers.into_iter().for_each(|consumer| consumer.join().unwrap());
    record.line(format!("requests that machines in touch sent later than drain_ms: {late}"));
    Ok(late == 0)
}
