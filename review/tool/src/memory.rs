//! Requests with long bodies that arrive at the same time.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::http::read_message;
use crate::record::Record;
use crate::store::Store;

/// `limits.memory_mb` of the settings. A process that exceeds it is killed.
const MEMORY_LIMIT: u64 = 182 * 1024 * 1024;
/// `max_body_bytes` of the config, and the body of a request with and without trouble.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const SHORT_BODY_BYTES: usize = 3_600;
/// Bodies are sent in chunks of this size.
const CHUNK_BYTES: usize = 8 * 1024;
/// Consumers with long bodies at each of two machines. The sheet's consumers are 102.
const CONSUMERS: usize = 24;
const ROUNDS: usize = 4;
/// Time in which a consumer sends its body: the link of a machine carries 700 Mbit/s.
const SEND_TIME: Duration = Duration::from_millis(2_500);
const TIME_BUDGET_MS: u64 = 4_000;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-orders","host":"shop.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"app","health_path":"/healthz","max_connections":244,"protocol":"h1","tls":false}],"tenants":[{"name":"farm","api_keys":["key-1"],"rate_per_s":0,"burst":0,"unit":"tokens","text_tokens":200}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Sends one request and returns what became of it.
fn send(frontend: SocketAddr, id: &str, length: usize, send_time: Duration) -> String {
    let send = || -> std::io::Result<String> {
        let stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(TIME_BUDGET_MS + 500)))?;
        stream.set_write_timeout(Some(Duration::from_millis(TIME_BUDGET_MS)))?;
        let head = format!(
            "POST /orders/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {TIME_BUDGET_MS}\r\nAuthorization: Token key-1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        (&stream).write_all(head.as_bytes())?;
        let (started, mut sent) = (Instant::now(), 0);
        while sent < length {
            let size = CHUNK_BYTES.min(length - sent);
            let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
            (&stream).write_all(chunk.as_bytes())?;
            sent += size;
            let due = send_time.mul_f64(sent as f64 / length as f64);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
        }
        (&stream).write_all(b"0\r\n\r\n")?;
        let answer = read_message(&mut BufReader::new(&stream))?;
        Ok(match answer {
            Some(answer) => answer.status().to_string(),
            None => "closed without an answer".to_owned(),
        })
    };
    send().unwrap_or_else(|error| format!("connection broke: {}", error.kind()))
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let subnet = std::process::id() % 200 + 20;
    let ip = |host: u32| format!("127.{subnet}.7.{host}");
    let store = Store::start(&ip(1));
    store.put("config", "main", CONFIG);
    for number in 0..3 {
        let id = format!("i-app{number}");
        let work = Duration::from_millis(60);
        let engine = Engine::start(&ip(10 + number), &id, 6, 24, work, record.clone());
        store.put("servers", &id, &engine.entry("app", "a", 6, "ready"));
    }
    let length = if has_trouble { MAX_BODY_BYTES } else { SHORT_BODY_BYTES };
    let machines: Vec<_> = (0..2_u32)
        .map(|number| {
            let name = format!("edge-a-{}", number + 1);
            Gateway::new(folder, &name, &ip(100 + number), "a", store.address, "")
        })
        .map(|mut gateway| {
            gateway.start().map_err(|error| format!("cannot start the gateway: {error}"))?;
            Ok(gateway)
        })
        .collect::<Result<_, String>>()?;
    if !machines.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(10))) {
        return Err("the gateways were not ready within 10 s".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let threads: Vec<_> = machines
        .into_iter()
        .map(|gateway| {
            let record = record.clone();
            std::thread::spawn(move || press(gateway, &record, length))
        })
        .collect();
    let ends: Vec<u64> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    record.line(format!("processes over the memory limit, by machine: {ends:?}"));
    // Three ends of processes on each of two machines make the day count 0.
    Ok(!ends.iter().all(|count| *count >= 3))
}

/// Sends ordinary orders one after another until `is_over`, and counts those that got no
/// answer.
fn send_ordinary(frontend: SocketAddr, name: &str, record: &Record, is_over: &AtomicBool) -> u64 {
    let (mut number, mut unanswered) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("{name}-ordinary-{number}");
        record.line(format!("consumer sends {id}, body of {SHORT_BODY_BYTES} bytes"));
        let end = send(frontend, &id, SHORT_BODY_BYTES, Duration::ZERO);
        unanswered += u64::from(end.parse::<u16>().is_err());
        record.line(format!("consumer gets for {id}: {end}"));
        number += 1;
        std::thread::sleep(Duration::from_millis(30));
    }
    unanswered
}

/// Sends the rounds of one machine's consumers and returns how often its process exceeded
/// the memory limit, and was killed and started again.
fn press(mut gateway: Gateway, record: &Record, length: usize) -> u64 {
    let (mut ends, peak) = (0, Arc::new(AtomicU64::new(0)));
    let is_over = Arc::new(AtomicBool::new(false));
    let ordinary = {
        let (is_over, record) = (is_over.clone(), record.clone());
        let (frontend, name) = (gateway.frontend, gateway.name.clone());
        std::thread::spawn(move || send_ordinary(frontend, &name, &record, &is_over))
    };
    for round in 0..ROUNDS {
        let (frontend, name) = (gateway.frontend, gateway.name.clone());
        let is_done = Arc::new(AtomicBool::new(false));
        let consumers: Vec<_> = (0..CONSUMERS)
            .map(|number| {
                let (record, id) = (record.clone(), format!("{name}-{round}-{number}"));
                std::thread::spawn(move || {
                    record.line(format!("consumer sends {id}, body of {length} bytes"));
                    let end = send(frontend, &id, length, SEND_TIME);
                    record.line(format!("consumer gets for {id}: {end}"));
                })
            })
            .collect();
        let waiter = {
            let is_done = is_done.clone();
            std::thread::spawn(move || {
                consumers.into_iter().for_each(|consumer| consumer.join().unwrap());
                is_done.store(true, Ordering::Relaxed);
            })
        };
        let mut was_killed = false;
        while !is_done.load(Ordering::Relaxed) {
            let memory = gateway.memory().unwrap_or(0);
            peak.fetch_max(memory, Ordering::Relaxed);
            if memory > MEMORY_LIMIT && !was_killed {
                record.line(format!(
                    "{name} holds {memory} bytes, over its limit of {MEMORY_LIMIT}: it is killed"
                ));
                was_killed = true;
                ends += 1;
                gateway.kill();
                std::thread::sleep(Duration::from_millis(500));
                let _ = gateway.start();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        waiter.join().unwrap();
        record.line(format!(
            "{name}: peak of {} bytes after round {round}",
            peak.load(Ordering::Relaxed)
        ));
        gateway.wait_ready(Duration::from_secs(10));
        std::thread::sleep(Duration::from_secs(3));
    }
    is_over.store(true, Ordering::Relaxed);
    let unanswered = ordinary.join().unwrap();
    record.line(format!("{}: {unanswered} ordinary orders got no answer", gateway.name));
    ends
}
