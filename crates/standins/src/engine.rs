//! Stand-in for a model engine with concurrent requests, streaming, resumption
//! and cancellation.
//!
//! The generated text depends only on the prompt and the token index, so that a
//! resumed stream can be checked token by token.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::Stream;
use poem::http::StatusCode;
use poem::web::sse::{Event, SSE};
use poem::web::{Data, Json};
use poem::{Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use skylarkgw::decision::placement::{
    EngineOrder, EngineReport, ModelPhase, OrderAction, ReplicaReport,
};
use skylarkgw::decision::routing::LoadReport;
use skylarkgw::endpoint::{EngineEvent, GenerateCall, TokenEvent};
use skylarkgw::ids::{ModelName, RequestId};
use tokio::sync::{Semaphore, watch};
use tokio::time::{interval, sleep, timeout};

use crate::faults::{FaultLayer, FaultState, fault_endpoint};

const ALIVE_INTERVAL: Duration = Duration::from_millis(400);
const TOKENS_BEFORE_FAULT: u64 = 3;
const PRELOADED_MEMORY_MB: u64 = 1_000;
/// Number of tokens between two tokens whose text contains their index.
const INDEX_MARKER_INTERVAL: u64 = 16;

/// Settings of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Models whose version 1 is served from the start.
    pub models: BTreeSet<ModelName>,
    /// Memory for models, in mebibytes.
    pub memory_mb: u64,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Time to the first token on an idle engine, in milliseconds.
    pub prefill_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Text of a prompt on which the process exits instead of sending the first token.
    pub exit_on: Option<String>,
    /// Time from such a prompt until the process exits, in milliseconds.
    pub exit_delay_ms: u64,
}

/// State of an engine, shared by its handlers.
#[derive(Clone, Debug)]
pub struct EngineState {
    settings: Arc<EngineSettings>,
    slots: Arc<Semaphore>,
    running: Arc<Mutex<HashMap<RequestId, watch::Sender<bool>>>>,
    generations: Arc<AtomicU64>,
    cancelled: Arc<AtomicU64>,
    received_headers: Arc<Mutex<Vec<String>>>,
    report: Arc<Mutex<EngineReport>>,
    overcommits: Arc<AtomicU64>,
    faults: FaultState,
}

#[derive(Deserialize)]
struct CancelBody {
    request: RequestId,
}

/// Counters of an engine, which tests read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineCounts {
    /// Number of streams started or resumed.
    pub generations: u64,
    /// Number of generations that stopped early because the request was
    /// cancelled or the stream was dropped.
    ///
    /// Requests that end while they wait for a slot do not count.
    pub cancelled: u64,
    /// Number of requests that currently run or wait for a slot.
    pub running: u64,
    /// Number of load orders after which the models exceeded the memory.
    pub overcommits: u64,
}

impl EngineState {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings, faults: FaultState) -> EngineState {
        EngineState {
            report: Arc::new(Mutex::new(initial_report(&settings))),
            overcommits: Arc::default(),
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings: Arc::new(settings),
            running: Arc::default(),
            generations: Arc::default(),
            cancelled: Arc::default(),
            received_headers: Arc::default(),
            faults,
        }
    }

    fn lock_report(&self) -> std::sync::MutexGuard<'_, EngineReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serves(&self, model: &str) -> bool {
        self.lock_report()
            .replicas
            .iter()
            .any(|replica| &*replica.model == model && replica.phase == ModelPhase::Serving)
    }

    /// Applies an order and returns `true`, or returns `false` if its fencing
    /// token is outdated.
    fn apply_order(&self, order: &EngineOrder) -> bool {
        let mut report = self.lock_report();
        if self.settings.checks_fence {
            if order.fence < report.fence {
                return false;
            }
            report.fence = order.fence;
        }
        report.last_order = Some((order.fence, order.number));
        match &order.action {
            OrderAction::Fence => {}
            OrderAction::Load { model, version, memory_mb } => {
                report.replicas.push(ReplicaReport {
                    model: model.clone(),
                    version: version.clone(),
                    memory_mb: *memory_mb,
                    phase: ModelPhase::Loading,
                });
                let used_memory_mb: u64 =
                    report.replicas.iter().map(|replica| replica.memory_mb).sum();
                if used_memory_mb > report.memory_mb {
                    self.overcommits.fetch_add(1, Ordering::Relaxed);
                }
                tokio::spawn(finish_load(self.clone(), model.clone(), version.clone()));
            }
            OrderAction::Unload { model, version } => {
                report
                    .replicas
                    .retain(|replica| replica.model != *model || replica.version != *version);
            }
        }
        true
    }

    fn count_running(&self) -> usize {
        self.running.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    fn register_request(&self, request: &RequestId) -> (RunningRequest, watch::Receiver<bool>) {
        let (sender, receiver) = watch::channel(false);
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.insert(request.clone(), sender);
        (RunningRequest { engine: self.clone(), request: request.clone() }, receiver)
    }
}

fn initial_report(settings: &EngineSettings) -> EngineReport {
    let replica = |model: &ModelName| ReplicaReport {
        model: model.clone(),
        version: "1".into(),
        memory_mb: PRELOADED_MEMORY_MB,
        phase: ModelPhase::Serving,
    };
    EngineReport {
        memory_mb: settings.memory_mb,
        replicas: settings.models.iter().map(replica).collect(),
        fence: 0,
        last_order: None,
    }
}

async fn finish_load(engine: EngineState, model: ModelName, version: Arc<str>) {
    sleep(Duration::from_millis(engine.settings.load_ms)).await;
    let mut report = engine.lock_report();
    let mut replicas = report.replicas.iter_mut();
    let found = replicas.find(|replica| replica.model == model && replica.version == version);
    if let Some(replica) = found {
        replica.phase = ModelPhase::Serving;
    }
}

/// Registration of a request at an engine, which ends when this guard is
/// dropped.
struct RunningRequest {
    engine: EngineState,
    request: RequestId,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut running = self.engine.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(&self.request);
    }
}

/// Returns the text of the token at an index that the engine generates for a
/// prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
    let seed: u64 = prompt.bytes().fold(7, |seed, byte| seed.wrapping_mul(31) + u64::from(byte));
    let word = seed.wrapping_add(index * 7919) % 997;
    if index.is_multiple_of(INDEX_MARKER_INTERVAL) {
        format!("[{index}] w{word} ")
    } else {
        format!("w{word} ")
    }
}

/// Returns the complete text of `tokens` tokens that the engine generates for a
/// prompt.
pub fn whole_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Builds the HTTP routes of the stand-in.
pub fn engine_routes(engine: EngineState, faults: FaultState) -> impl Endpoint<Output = Response> {
    let api = Route::new()
        .at("/v1/generate", post(generate))
        .at("/v1/cancel", post(cancel))
        .at("/v1/load", get(load))
        .at("/v1/orders", post(apply_order))
        .data(engine.clone())
        .with(FaultLayer::new(faults.clone()));
    Route::new()
        .nest("/", api)
        .at("/standin/faults", post(fault_endpoint(faults)))
        .at("/standin/counts", get(counts).data(engine.clone()))
        .at("/standin/headers", get(received_headers).data(engine))
        .map_to_response()
}

#[handler]
async fn generate(
    Data(engine): Data<&EngineState>,
    request: &Request,
    Json(call): Json<GenerateCall>,
) -> Response {
    if !engine.serves(&call.model) {
        return StatusCode::NOT_FOUND.into_response();
    }
    let line = format!("{} {:?}", request.uri(), request.headers());
    engine.received_headers.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    engine.generations.fetch_add(1, Ordering::Relaxed);
    let (events, stream) = tokio::sync::mpsc::channel(16);
    tokio::spawn(send_events(engine.clone(), call, events));
    SSE::new(event_stream(stream)).into_response()
}

fn event_stream(events: tokio::sync::mpsc::Receiver<EngineEvent>) -> impl Stream<Item = Event> {
    futures::stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((Event::message(serde_json::to_string(&event).unwrap_or_default()), events))
    })
}

/// Sends the events of one stream until it ends, the request is cancelled or
/// the receiver is dropped.
///
/// A stream that the active faults break or stall stops after
/// [`TOKENS_BEFORE_FAULT`] tokens.
async fn send_events(
    engine: EngineState,
    call: GenerateCall,
    events: tokio::sync::mpsc::Sender<EngineEvent>,
) {
    let is_broken = engine.faults.consume(|plan| &mut plan.break_streams);
    let is_silent = engine.faults.consume(|plan| &mut plan.silence_streams);
    let (running, mut cancelled) = engine.register_request(&call.request);
    let accepted = EngineEvent::Accepted { request: call.request.clone() };
    if events.send(accepted).await.is_err() {
        return;
    }
    let mut alive = interval(ALIVE_INTERVAL);
    let slot = loop {
        tokio::select! {
            slot = engine.slots.acquire() => break slot,
            _ = alive.tick() => {
                if events.send(EngineEvent::Alive {}).await.is_err() {
                    return;
                }
            }
            _ = cancelled.changed() => return,
        }
    };
    sleep(Duration::from_millis(engine.settings.prefill_ms)).await;
    if engine.settings.exit_on.as_ref().is_some_and(|text| call.prompt.contains(text)) {
        exit_process(Duration::from_millis(engine.settings.exit_delay_ms));
        return;
    }
    let fault_index = call.offset + TOKENS_BEFORE_FAULT;
    for index in call.offset..call.max_tokens {
        if index == fault_index && is_broken {
            return;
        }
        if index == fault_index && is_silent {
            events.closed().await;
            return;
        }
        let pause = Duration::from_millis(engine.settings.token_ms);
        if timeout(pause, cancelled.changed()).await.is_ok() {
            engine.cancelled.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let text = token_text(&call.prompt, index).into();
        let token = EngineEvent::Token(TokenEvent { index, text });
        if events.send(token).await.is_err() {
            engine.cancelled.fetch_add(1, Ordering::Relaxed);
            return;
        }
    }
    drop(slot);
    let prompt_tokens = call.prompt.split_whitespace().count() as u64;
    let finish = EngineEvent::Finish { reason: "length".into(), prompt_tokens };
    let _ = events.send(finish).await;
    drop(running);
}

/// Exits after a delay, in which the process still accepts connections.
fn exit_process(delay: Duration) {
    if delay.is_zero() {
        std::process::exit(1);
    }
    tokio::spawn(async move {
        sleep(delay).await;
        std::process::exit(1);
    });
}

#[handler]
async fn cancel(Data(engine): Data<&EngineState>, Json(body): Json<CancelBody>) -> StatusCode {
    let running = engine.running.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(sender) = running.get(&body.request) {
        sender.send_replace(true);
    }
    StatusCode::OK
}

#[handler]
async fn apply_order(
    Data(engine): Data<&EngineState>,
    Json(order): Json<EngineOrder>,
) -> StatusCode {
    if engine.apply_order(&order) { StatusCode::OK } else { StatusCode::CONFLICT }
}

#[handler]
async fn load(Data(engine): Data<&EngineState>) -> Json<LoadReport> {
    Json(LoadReport {
        requests: engine.count_running() as u32,
        leaving: false,
        engine: engine.lock_report().clone(),
    })
}

#[handler]
async fn counts(Data(engine): Data<&EngineState>) -> Json<EngineCounts> {
    Json(EngineCounts {
        generations: engine.generations.load(Ordering::Relaxed),
        cancelled: engine.cancelled.load(Ordering::Relaxed),
        running: engine.count_running() as u64,
        overcommits: engine.overcommits.load(Ordering::Relaxed),
    })
}

#[handler]
async fn received_headers(Data(engine): Data<&EngineState>) -> Json<Vec<String>> {
    Json(engine.received_headers.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
