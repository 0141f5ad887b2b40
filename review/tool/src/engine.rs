//! Stand-in of a service engine, which runs at most `slots` requests at once.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, serve};
use crate::record::Record;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    /// Identifiers of the requests that have arrived, with the time.
    arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Requests that run, and whether the engine has ended.
    running: Arc<Mutex<(Vec<String>, bool)>>,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

impl Engine {
    /// Starts an engine that works for `work` on each request.
    pub fn start(
        ip: &str,
        id: &str,
        slots: usize,
        queue: usize,
        work: Duration,
        record: Record,
    ) -> Engine {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for an engine");
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound listener"),
            arrivals: Arc::default(),
            running: Arc::default(),
        };
        let (arrivals, running) = (engine.arrivals.clone(), engine.running.clone());
        let id = engine.id.clone();
        let load: Arc<(Mutex<Load>, Condvar)> = Arc::default();
        serve(listener, move |request, _| {
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let answer =
                |status, body: &str| Some(Answer::new(status, body).with("X-Attempt-Id", &attempt));
            if request.target() == "/healthz" {
                return Some(Answer::new(200, "").with("X-Instance-Id", &id));
            }
            if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
                return answer(421, "").map(|answer| answer.with("X-Instance-Id", &id));
            }
            if running.lock().unwrap().1 {
                return None;
            }
            arrivals.lock().unwrap().push((attempt.clone(), Instant::now()));
            {
                let (lock, freed) = &*load;
                let mut state = lock.lock().unwrap();
                if state.running >= slots && state.waiting >= queue {
                    record.line(format!("engine {id} is full for {attempt}"));
                    return answer(503, "").map(|answer| answer.with("X-Not-Executed", 1));
                }
                state.waiting += 1;
                while state.running >= slots {
                    state = freed.wait(state).unwrap();
                }
                state.waiting -= 1;
                state.running += 1;
            }
            record
                .line(format!("engine {id} runs {attempt}, body of {} bytes", request.body.len()));
            running.lock().unwrap().0.push(attempt.clone());
            std::thread::sleep(work);
            {
                let mut running = running.lock().unwrap();
                running.0.retain(|other| *other != attempt);
                if running.1 {
                    return None;
                }
            }
            {
                let (lock, freed) = &*load;
                lock.lock().unwrap().running -= 1;
                freed.notify_one();
            }
            answer(200, "recorded")
                .map(|answer| answer.with("X-Server-Seal", format!("seal.{attempt}")))
        });
        engine
    }

    /// Returns the requests that have arrived after a time.
    pub fn arrivals_after(&self, time: Instant) -> Vec<(String, Instant)> {
        self.arrivals.lock().unwrap().iter().filter(|(_, at)| *at > time).cloned().collect()
    }

    /// Ends the engine, and returns the requests that it was running. They get no answer.
    pub fn end(&self) -> Vec<String> {
        let mut running = self.running.lock().unwrap();
        running.1 = true;
        running.0.clone()
    }

    /// Returns the registry entry of the engine.
    pub fn entry(&self, service: &str, zone: &str, slots: usize, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"born\":1700000000000,\
             \"sequence\":0}}",
            self.address
        )
    }
}
