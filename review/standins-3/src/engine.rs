//! Stand-in of a model engine: streams, reports, orders and check-ins.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_answer};
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// A request that the engine began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub tokens: u64,
    pub at_ms: u64,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    slots: u32,
    /// Models that the engine holds, and the one that it loads.
    models: Arc<Mutex<(Vec<String>, Option<String>)>>,
    /// Time that a load from the weight store takes.
    load_time: Duration,
    store: Arc<Mutex<Option<Store>>>,
    beat: Arc<AtomicU64>,
    has_ended: Arc<AtomicBool>,
    /// Time at which the engine is taken away, once it has notice.
    leaves_at: Arc<Mutex<Option<Instant>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    born_ms: u64,
    events: u32,
    gap: Duration,
    running: Arc<AtomicU32>,
    sequence: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Engine {
    /// Starts an engine that holds `model`, or none if that is empty, and answers with `events` events, `gap` apart.
    pub fn start(
        id: &str,
        service: &str,
        model: &str,
        slots: u32,
        (events, gap): (u32, Duration),
        record: &Record,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let held = Some(model.to_owned()).filter(|model| !model.is_empty()).into_iter();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            slots,
            models: Arc::new(Mutex::new((held.collect(), None))),
            load_time: Duration::from_millis(6_400),
            store: Arc::default(),
            beat: Arc::default(),
            has_ended: Arc::default(),
            leaves_at: Arc::default(),
            streams: Arc::default(),
            born_ms: born.as_millis() as u64,
            events,
            gap,
            running: Arc::default(),
            sequence: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn models(&self) -> String {
        let models = self.models.lock().unwrap().0.clone();
        let models = models
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    /// Takes the engine away after a notice, whatever it runs. Its entry says so, and is
    /// removed when it has left.
    pub fn take_away(&self, notice: Duration) {
        *self.leaves_at.lock().unwrap() = Some(Instant::now() + notice);
        self.write_entry();
        thread::sleep(notice);
        self.has_ended.store(true, Ordering::SeqCst);
        // The listener is closed once it has seen this connection.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(store) = &*self.store.lock().unwrap() {
            store.remove("servers", &self.id);
        }
    }

    /// Writes the entry of the engine, unless it has ended.
    fn write_entry(&self) {
        if self.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let Some(store) = self.store.lock().unwrap().clone() else { return };
        let beat = self.beat.fetch_add(1, Ordering::SeqCst) + 1;
        let leaves_at = *self.leaves_at.lock().unwrap();
        let state = match leaves_at.map(|at| at.saturating_duration_since(Instant::now())) {
            Some(left) => format!("\"draining\",\"remaining_ms\":{}", left.as_millis()),
            None => "\"ready\"".to_owned(),
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":{},\"state\":{state},\"cold_remaining_ms\":0,\"stage\":\"unified\",\
             \"models\":{},\"sequence\":{beat},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.models(),
            self.born_ms
        );
        store.put("servers", &self.id, &spec);
    }

    /// Registers the engine, and renews its entry every 1.2 s.
    pub fn check_in(&self, store: &Store) {
        *self.store.lock().unwrap() = Some(store.clone());
        self.write_entry();
        let engine = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                engine.write_entry();
            }
        });
    }

    /// Carries out an order, one at a time, and returns the status of the answer.
    fn take_order(&self, body: &str) -> &'static str {
        let Some(model) = json::text_member(body, "model").map(str::to_owned) else {
            return "400 Bad Request";
        };
        let mut models = self.models.lock().unwrap();
        let expected = json::number_member(body, "expected_revision");
        let known = self.sequence.load(Ordering::SeqCst);
        if models.1.is_some() || expected.is_some_and(|expected| expected != known) {
            return "409 Conflict";
        }
        let is_held = models.0.contains(&model);
        match json::text_member(body, "operation") {
            Some("load") if is_held => "200 OK",
            Some("load") => {
                self.sequence.fetch_add(1, Ordering::SeqCst);
                models.1 = Some(model);
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(engine.load_time);
                    let mut models = engine.models.lock().unwrap();
                    let loaded = models.1.take();
                    models.0.extend(loaded);
                    drop(models);
                    engine.record.line(&format!("{} has loaded a model", engine.id));
                    engine.write_entry();
                });
                "202 Accepted"
            }
            Some("unload") if !is_held => "200 OK",
            Some("unload") => {
                self.sequence.fetch_add(1, Ordering::SeqCst);
                models.0.retain(|held| *held != model);
                "202 Accepted"
            }
            _ => "400 Bad Request",
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(stream) = stream.try_clone() {
            self.streams.lock().unwrap().push(stream);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let named = [("X-Attempt-Id", id.as_str())];
        match request.target() {
            "/-/report" => {
                let (sequence, running) =
                    (self.sequence.load(Ordering::SeqCst), self.running.load(Ordering::SeqCst));
                let is_busy = self.models.lock().unwrap().1.is_some();
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":{},\"busy\":{is_busy},\"sequence\":{sequence},\
                     \"queue_depth\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":90000,\
                     \"handles\":0,\"pending\":[],\"born\":{}}}",
                    self.models(),
                    self.born_ms
                );
                return write_answer(
                    writer,
                    "200 OK",
                    &[("Content-Type", "application/json")],
                    &body,
                );
            }
            "/-/order" => {
                let body = request.text();
                let status = self.take_order(&body);
                self.record.line(&format!("{} gets the order {body}: {status}", self.id));
                return write_answer(writer, status, &[], "");
            }
            _ => {}
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return write_answer(writer, "421 Misdirected Request", &named, "");
        }
        let model = request.header("x-model").unwrap_or_default();
        if !self.models.lock().unwrap().0.iter().any(|held| held == model) {
            return write_answer(writer, "421 Misdirected Request", &named, "");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
            return write_answer(writer, "503 Service Unavailable", &headers, "");
        }
        let usage = request.header("x-token-usage").unwrap_or_default();
        let tokens = usage.split(',').filter_map(|part| part.trim().parse::<u64>().ok()).sum();
        let tenant = request.header("x-tenant").unwrap_or_default().to_owned();
        let at_ms = self.record.now_ms();
        self.record.line(&format!("{} runs {id} of {tenant}, {tokens} tokens", self.id));
        self.runs.lock().unwrap().push(Run { id: id.clone(), tenant, tokens, at_ms });
        let result = self.stream(writer, &id);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream(&self, writer: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {id}\r\nX-Server-Seal: seal-{}\r\nX-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=self.events {
            thread::sleep(self.gap);
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
