//! Readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::decision::freshness::READY_MAX_AGE;
use crate::gateway::clock::boot_time;
use crate::gateway::state::GatewayState;

const METRICS_PATH: &str = "/metrics";
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const HEADER_LIMIT: Duration = Duration::from_secs(10);

/// Serves readiness and metrics until the task is ended.
pub async fn serve_probe(listener: TcpListener, state: Arc<GatewayState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            let answer = |request: Request<Incoming>| {
                let response = answer(&state, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            };
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_LIMIT)
                .serve_connection(TokioIo::new(stream), service_fn(answer));
            // A prober that leaves early loses only its own answer.
            let _ = connection.await;
        });
    }
}

fn answer(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path == state.codec.readiness_path {
        match readiness(state) {
            None => (StatusCode::OK, Bytes::new()),
            Some(reason) => {
                (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(reason.as_bytes()))
            }
        }
    } else if path == METRICS_PATH {
        match state.metrics.encode() {
            Ok(text) => (StatusCode::OK, text.into()),
            Err(error) => {
                let error = error.to_string();
                warn!("metrics cannot be encoded", kv: { error });
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    } else {
        (StatusCode::NOT_FOUND, Bytes::new())
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Returns why this host is not ready, and logs a change.
fn readiness(state: &GatewayState) -> Option<&'static str> {
    let now = boot_time();
    let snapshot = state.snapshot.load();
    let reason = if state.draining() {
        Some("draining")
    } else if snapshot.declaration.is_none() {
        Some("no declaration")
    } else if snapshot.engines.is_empty() {
        Some("no engines")
    } else if state.declaration_age(now) > READY_MAX_AGE {
        Some("declaration too old")
    } else {
        None
    };
    let is_ready = i64::from(reason.is_none());
    if state.metrics.serving.get() != is_ready {
        state.metrics.serving.set(is_ready);
        let age_ms = state.declaration_age(now).as_millis() as u64;
        let why = reason.unwrap_or("ready");
        info!("readiness changed", kv: { ready = is_ready, reason = why, declaration_age_ms = age_ms });
    }
    reason
}
