//! HTTP server for readiness checks and metrics.

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

use crate::decision::evacuations::is_evacuation_copy_ready;
use crate::decision::freshness::READY_MAX_AGE;
use crate::gateway::clock::time_since_boot;
use crate::gateway::state::GatewayState;

const METRICS_PATH: &str = "/metrics";
/// Delay before the next `accept` after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest time that a client may take to send the request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves readiness checks and metrics until the task is cancelled.
pub async fn serve_probe(listener: TcpListener, state: Arc<GatewayState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            let handler = |request: Request<Incoming>| {
                let response = build_response(&state, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            };
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service_fn(handler));
            // An error affects only this connection, for example if the client
            // closes it early.
            let _ = connection.await;
        });
    }
}

/// Builds the response to a request for `path`.
fn build_response(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path == state.codec.readiness_path {
        match find_unready_reason(state) {
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
                warn!("cannot encode the metrics", kv: { error });
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

/// Returns the reason for which this host is not ready, or `None` if it is ready.
///
/// A change of readiness is logged and recorded in the metrics.
fn find_unready_reason(state: &GatewayState) -> Option<&'static str> {
    let now = time_since_boot();
    let snapshot = state.snapshot.load();
    let bound = state.settings.bounds.evacuation;
    let reason = if state.is_draining() {
        Some("draining")
    } else if snapshot.declaration.is_none() {
        Some("no declaration")
    } else if snapshot.engines.is_empty() {
        Some("no engines")
    } else if state.declaration_age(now) > READY_MAX_AGE {
        Some("declaration too old")
    } else if snapshot.evacuations.is_unknown {
        Some("evacuations unknown")
    } else if !bound.is_none_or(|bound| is_evacuation_copy_ready(bound, state.evacuation_age(now)))
    {
        Some("evacuations too old")
    } else {
        None
    };
    let is_ready = i64::from(reason.is_none());
    if state.metrics.serving.get() != is_ready {
        state.metrics.serving.set(is_ready);
        let age_ms = state.declaration_age(now).as_millis() as u64;
        let reason_label = reason.unwrap_or("ready");
        info!("readiness changed", kv: { ready = is_ready, reason = reason_label, declaration_age_ms = age_ms });
    }
    reason
}
