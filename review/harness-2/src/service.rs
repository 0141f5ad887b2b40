//! Stand-in of an engine of a plain service, which runs each request once and records it.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::http::serve;
use crate::record::Record;
use crate::store::Store;

/// A request that the engine has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub tenant: Option<String>,
    /// Sum of the numbers in `X-Token-Usage`.
    pub tokens: Option<u64>,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Service {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Service {
    pub fn start(id: &str, record: &Record) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let service = Service { id: id.to_owned(), address, runs: Arc::default() };
        let (serving, record) = (service.clone(), record.clone());
        serve(listener, move |mut connection| {
            while let Ok(request) = connection.read_message() {
                let (method, path) = request.request();
                let named = request.header("x-attempt-id").unwrap_or_default().to_owned();
                let expected = request.header("x-expect-instance");
                let answer = if path == "/healthz" {
                    connection.answer(200, &[("x-instance-id", &serving.id)], b"")
                } else if expected.is_some_and(|expected| expected != serving.id) {
                    connection.answer(
                        421,
                        &[("x-instance-id", &serving.id), ("x-attempt-id", &named)],
                        b"",
                    )
                } else {
                    let tenant = request.header("x-tenant").map(str::to_owned);
                    let usage = request.header("x-token-usage").and_then(|usage| {
                        let (prompt, output) = usage.split_once(',')?;
                        Some(
                            prompt.trim().parse::<u64>().ok()?
                                + output.trim().parse::<u64>().ok()?,
                        )
                    });
                    record.line(&format!(
                        "run at {} {method} {path} id {named} tenant {}",
                        serving.id,
                        tenant.as_deref().unwrap_or("none")
                    ));
                    let run =
                        Run { request: named.clone(), tenant, tokens: usage, at: Instant::now() };
                    serving.runs.lock().expect("the runs").push(run);
                    let seal = format!("seal.{named}");
                    let body = format!("{{\"done\":\"{named}\"}}");
                    connection.answer(
                        200,
                        &[("x-attempt-id", &named), ("x-server-seal", &seal)],
                        body.as_bytes(),
                    )
                };
                if answer.is_err() {
                    return;
                }
            }
        });
        service
    }

    /// Registers the engine as ready for a service.
    pub fn register(&self, store: &Store, service: &str, slots: u32) {
        let (id, address) = (&self.id, self.address);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"sequence\":0,\"born\":1700000000000}}"
        );
        store.put("servers", id, &entry);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }
}

/// Returns the first run of each request of some engines whose identifier begins with a text.
pub fn first_runs(services: &[Service], prefix: &str) -> Vec<Run> {
    let mut runs: Vec<Run> = services.iter().flat_map(Service::runs).collect();
    runs.retain(|run| run.request.starts_with(prefix));
    runs.sort_by(|a, b| (&a.request, a.at).cmp(&(&b.request, b.at)));
    runs.dedup_by(|later, first| later.request == first.request);
    runs
}
