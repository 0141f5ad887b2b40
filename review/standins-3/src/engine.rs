//! Stand-in of a model engine: streams, reports, orders and check-ins.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
    model: String,
    born_ms: u64,
    events: u32,
    gap: Duration,
    running: Arc<AtomicU32>,
    sequence: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Engine {
    /// Starts an engine that holds `model` and answers with `events` events, `gap` apart.
    pub fn start(
        id: &str,
        service: &str,
        model: &str,
        slots: u32,
        (events, gap): (u32, Duration),
        record: &Record,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            slots,
            model: model.to_owned(),
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
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    fn models(&self) -> String {
        format!("[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}]", self.model)
    }

    /// Registers the engine, and renews its entry every 1.2 s.
    pub fn check_in(&self, store: &Store) {
        let (engine, store) = (self.clone(), store.clone());
        let write = move |beat: u64| {
            let spec = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\
                 \"models\":{},\"sequence\":{beat},\"born\":{}}}",
                engine.service, engine.address, engine.slots, engine.models(), engine.born_ms
            );
            store.put("servers", &engine.id, &spec);
        };
        write(1);
        thread::spawn(move || {
            for beat in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                write(beat);
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
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
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":{},\"busy\":false,\"sequence\":{sequence},\
                     \"queue_depth\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":90000,\
                     \"handles\":0,\"pending\":[],\"born\":{}}}",
                    self.models(), self.born_ms
                );
                return write_answer(writer, "200 OK", &[("Content-Type", "application/json")], &body);
            }
            "/-/order" => {
                let (body, known) = (request.text(), self.sequence.load(Ordering::SeqCst));
                let expected = json::number_member(&body, "expected_revision");
                self.record.line(&format!("{} gets the order {body}", self.id));
                // The stand-in takes no other model: it always works on another order.
                let _ = expected.is_some_and(|expected| expected != known);
                return write_answer(writer, "409 Conflict", &[], "");
            }
            _ => {}
        }
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
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
