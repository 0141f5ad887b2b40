//! Answers of which some have no length, from engines of which one is killed.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::http::{call, read_head, read_message};
use crate::record::Record;
use crate::store::Store;

const EVENTS: u64 = 40;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Lines of an answer that is no stream.
const LINES: u64 = 20;
const LINE_GAP: Duration = Duration::from_millis(30);
/// Streams of each of two routes.
const STREAMS: usize = 120;
/// Half of the engines answer each twentieth request without a length.
const SPOILING_ENGINES: u8 = 3;
const SPOILED_ANSWER: u64 = 20;
/// What an engine prints of such an answer.
const UNFRAMED: &str = "answers without a length";
/// Time from the start of such an answer of the first engine until that engine is killed.
const CRASH_DELAY: Duration = Duration::from_millis(300);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-guide","host":"shop.example","path_prefix":"/guide/","type":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"pool","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":250},{"name":"r-notes","host":"shop.example","path_prefix":"/notes/","type":"streaming","timeout_ms":20000,"target_latency_ms":5000,"priority":0,"service":"pool","max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":250},{"name":"r-orders","host":"shop.example","path_prefix":"/orders/","type":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"pool","max_attempts":1,"public":false,"sticky":false,"resumable":false},{"name":"r-stock","host":"shop.example","path_prefix":"/stock/","type":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"pool","max_attempts":2,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"pool","health_path":"/healthz","max_connections":822,"protocol":"h1","tls":false}],"tenants":[{"name":"farm","api_keys":["key-1"],"rate_per_s":0,"burst":0,"unit":"tokens","text_tokens":200}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Runs an engine until it is killed. Engines with a low number answer some requests
/// without a length.
pub fn run_engine(ip: &str, id: &str) -> ! {
    let listener = TcpListener::bind((ip, 0)).expect("a free port for an engine");
    println!("{}", listener.local_addr().expect("a bound listener"));
    let answers = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (id, answers) = (id.to_owned(), answers.clone());
        std::thread::spawn(move || {
            let _ = answer(stream, &id, &answers);
        });
    }
    std::process::exit(0)
}

/// A body that is sent in chunks, or without a length.
struct BodyWriter<'a> {
    stream: &'a TcpStream,
    is_chunked: bool,
}

impl BodyWriter<'_> {
    fn write(&mut self, text: &str) -> std::io::Result<()> {
        let text = match self.is_chunked {
            true => format!("{:x}\r\n{text}\r\n", text.len()),
            false => text.to_owned(),
        };
        self.stream.write_all(text.as_bytes())
    }

    fn end(&mut self) -> std::io::Result<()> {
        match self.is_chunked {
            true => self.stream.write_all(b"0\r\n\r\n"),
            false => Ok(()),
        }
    }
}

fn answer(stream: TcpStream, id: &str, answers: &AtomicU64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(request) = read_message(&mut reader)? else { return Ok(()) };
    let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        let text = format!(
            "HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return (&stream).write_all(text.as_bytes());
    }
    let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
    let spoils = id.bytes().last().is_some_and(|digit| digit < b'0' + SPOILING_ENGINES);
    let is_chunked = !spoils || number % SPOILED_ANSWER != 0;
    let is_stream =
        request.target().starts_with("/guide/") || request.target().starts_with("/notes/");
    let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
    let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal.{attempt}\r\n\
         Content-Type: {media_type}\r\n{framing}Connection: close\r\n\r\n"
    );
    println!("engine {id} runs {attempt}");
    if !is_chunked {
        println!("engine {id} {UNFRAMED} {attempt}");
    }
    (&stream).write_all(head.as_bytes())?;
    let mut body = BodyWriter { stream: &stream, is_chunked };
    if is_stream {
        let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        for number in last.map_or(1, |last| last + 1)..=EVENTS {
            std::thread::sleep(EVENT_GAP);
            body.write(&format!("id: {number}\ndata: piece {number} of {attempt}\n\n"))?;
        }
    } else {
        for number in 1..=LINES {
            body.write(&format!("line {number} of {LINES}\n"))?;
            std::thread::sleep(LINE_GAP);
        }
    }
    body.end()?;
    println!("engine {id} has ended {attempt}");
    Ok(())
}

struct EngineProcess {
    child: Child,
    address: SocketAddr,
    /// Whether it has begun an answer without a length.
    is_unframed: Arc<AtomicBool>,
}

impl EngineProcess {
    fn start(ip: &str, id: &str, record: &Record) -> std::io::Result<EngineProcess> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", ip, id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().expect("a piped output"));
        let mut line = String::new();
        lines.read_line(&mut line)?;
        let address = line.trim().parse().map_err(|_| std::io::ErrorKind::InvalidData)?;
        let record = record.clone();
        let is_unframed = Arc::new(AtomicBool::new(false));
        let has_begun = is_unframed.clone();
        std::thread::spawn(move || {
            lines.lines().map_while(Result::ok).for_each(|line| {
                if line.contains(UNFRAMED) {
                    has_begun.store(true, Ordering::Relaxed);
                }
                record.line(line);
            })
        });
        Ok(EngineProcess { child, address, is_unframed })
    }

    /// Sends SIGKILL and waits for the end of the process.
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a consumer got.
#[derive(Debug)]
struct Outcome {
    status: u16,
    last_event: u64,
    /// Whether the events were 1, 2, 3 and so on.
    is_in_order: bool,
    /// Whether the answer ended with its last chunk.
    is_complete: bool,
}

fn receive(frontend: SocketAddr, path: &str, id: &str) -> std::io::Result<Outcome> {
    let stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Token-Usage: 100,400\r\nAuthorization: Token key-1\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut outcome =
        Outcome { status: head.status(), last_event: 0, is_in_order: true, is_complete: false };
    if outcome.status != 200 {
        return Ok(outcome);
    }
    let mut body = Vec::new();
    outcome.is_complete = read_chunks(&mut reader, &mut body).unwrap_or(false);
    for line in String::from_utf8_lossy(&body).lines() {
        if let Some(number) = line.strip_prefix("id: ").and_then(|text| text.parse::<u64>().ok()) {
            outcome.is_in_order &= number == outcome.last_event + 1;
            outcome.last_event = number;
        }
    }
    Ok(outcome)
}

/// Reads a chunked body and returns whether its last chunk arrived.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> std::io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// A store, six engine processes and a gateway process.
struct Fleet {
    store: Store,
    engines: Vec<(String, EngineProcess)>,
    gateway: Gateway,
}

impl Fleet {
    fn start(folder: &Path, record: &Record) -> Result<Fleet, String> {
        let subnet = std::process::id() % 200 + 20;
        let ip = |host: u32| format!("127.{subnet}.8.{host}");
        let store = Store::start(&ip(1));
        store.put("config", "main", CONFIG);
        let mut engines = Vec::new();
        for number in 0..6_u32 {
            let id = format!("i-pool{number}");
            let engine = EngineProcess::start(&ip(10 + number), &id, record)
                .map_err(|error| error.to_string())?;
            let entry = format!(
                "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":1700000000000,\
                 \"sequence\":0}}",
                engine.address
            );
            store.put("servers", &id, &entry);
            engines.push((id, engine));
        }
        let mut gateway = Gateway::new(folder, "edge-a-1", &ip(100), "a", store.address, "");
        gateway.start().map_err(|error| format!("cannot start the gateway: {error}"))?;
        if !gateway.wait_ready(Duration::from_secs(10)) {
            return Err("the gateway was not ready within 10 s".to_owned());
        }
        std::thread::sleep(Duration::from_secs(2));
        Ok(Fleet { store, engines, gateway })
    }

    /// Waits until an answer without a length of the first engine is on its way.
    fn wait_unframed(&self) -> Result<(), String> {
        let started = Instant::now();
        while !self.engines[0].1.is_unframed.load(Ordering::Relaxed) {
            if started.elapsed() > Duration::from_secs(20) {
                return Err("the engine gave no answer without a length".to_owned());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(CRASH_DELAY);
        Ok(())
    }

    /// Kills the first engine. The entry of an engine that crashed is removed after three
    /// check-in intervals.
    fn crash_engine(&mut self, record: &Record) {
        let (id, engine) = &mut self.engines[0];
        engine.kill();
        record.line(format!("engine {id} was killed"));
        let (id, store) = (id.clone(), self.store.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(3_600));
            store.remove("servers", &id);
        });
    }
}

/// Returns the status and body of an answer that came whole.
fn fetch(frontend: SocketAddr, head: &str) -> std::io::Result<(u16, String)> {
    let answer = call(frontend, head.as_bytes(), Duration::from_secs(6))?;
    Ok((answer.status(), answer.text()))
}

/// Answers that are no streams.
pub fn run_whole(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::start(folder, record)?;
    let frontend = fleet.gateway.frontend;
    let consumers: Vec<_> = (0..18)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(37) * number as u32);
                let (mut whole, mut cut) = (0, 0);
                for round in 0..12 {
                    let (method, path) = match number % 2 {
                        0 => ("POST", "/orders/2f"),
                        _ => ("GET", "/stock/2f"),
                    };
                    let id = format!("{}-{number}-{round}", &path[1..6]);
                    let request = format!(
                        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
                         X-Deadline-Ms: 4000\r\nAuthorization: Token key-1\r\n\
                         Content-Length: 0\r\nConnection: close\r\n\r\n"
                    );
                    record.line(format!("consumer sends {id}"));
                    let Ok((status, body)) = fetch(frontend, &request) else {
                        record.line(format!("consumer gets for {id}: no whole answer"));
                        continue;
                    };
                    let lines = body.lines().count() as u64;
                    record.line(format!("consumer gets for {id}: {status}, {lines} lines"));
                    if status == 200 {
                        whole += u64::from(lines == LINES);
                        cut += u64::from(lines != LINES);
                    }
                }
                (whole, cut)
            })
        })
        .collect();
    fleet.wait_unframed()?;
    if has_trouble {
        fleet.crash_engine(record);
    }
    let counts: Vec<(u64, u64)> =
        consumers.into_iter().filter_map(|consumer| consumer.join().ok()).collect();
    let whole: u64 = counts.iter().map(|(whole, _)| whole).sum();
    let cut: u64 = counts.iter().map(|(_, cut)| cut).sum();
    record.line(format!("successes: {whole} with the whole body, {cut} with a part of it"));
    Ok(cut == 0)
}

/// Streams.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::start(folder, record)?;
    let gateway = &fleet.gateway;
    let frontend = gateway.frontend;
    let consumers: Vec<_> = (0..STREAMS * 2)
        .map(|number| {
            let record = record.clone();
            let path = if number % 2 == 0 { "/guide/2f" } else { "/notes/2f" };
            let id = format!("{}-{number}", &path[1..6]);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(12) * number as u32);
                record.line(format!("consumer sends {id}"));
                let outcome = receive(frontend, path, &id);
                record.line(format!("consumer gets for {id}: {outcome:?}"));
                outcome
            })
        })
        .collect();
    fleet.wait_unframed()?;
    if has_trouble {
        fleet.crash_engine(record);
    }
    let outcomes: Vec<_> =
        consumers.into_iter().filter_map(|consumer| consumer.join().ok()?.ok()).collect();
    let is_short = |outcome: &&Outcome| outcome.is_complete && outcome.last_event < EVENTS;
    let short = outcomes.iter().filter(is_short).count();
    let disordered = outcomes.iter().filter(|outcome| !outcome.is_in_order).count();
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.is_complete && outcome.last_event == EVENTS)
        .count();
    record.line(format!(
        "{} streams: {whole} whole, {short} ended as complete before their last piece, {disordered} out of order",
        STREAMS * 2
    ));
    Ok(short == 0 && disordered == 0)
}
