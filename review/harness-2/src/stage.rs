//! What a case runs with: the record, the config of the operator and the clients.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::{Message, call};
use crate::record::Record;

/// Bounds of the small sites, as far as the gateway reads them.
pub const BOUNDS: &str = "bounds.stable_window_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
    bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.revoke_fail_closed=true\n\
    bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\n\
    bounds.retry_slack=129\nbounds.quota_window_s=8\nbounds.quota_overshoot=0.1\n\
    bounds.quota_slack=17000\nbounds.recovery_s=12\nbounds.fencing_required=true\n\
    bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.ceiling_window_s=5\n\
    bounds.ceiling_overshoot=1.1\n";
/// Number of gateway hosts of a case.
pub const HOSTS: u8 = 3;
/// Plain service of the cases.
pub const SERVICE: &str = "registro-app";
/// Host name of the first routes.
pub const ROUTE_HOST: &str = "ficu95.example";

pub struct Stage {
    pub record: Record,
    /// Temporary folder, which `run-2.sh` removes.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// A tenant of the config.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    /// `rate_per_s` and `burst`, in tokens.
    pub cap: (f64, f64),
}

/// A route of the config.
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub objective_ms: u32,
    pub priority: u8,
}

/// Returns the two routes that every case has.
pub fn first_routes() -> Vec<Route> {
    let route = |name: &str, kind| Route {
        name: format!("r-{name}"),
        host: ROUTE_HOST.to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout_ms: 2_000,
        objective_ms: 300,
        priority: 2,
    };
    vec![route("extraccion", "unsafe"), route("pozo", "safe")]
}

/// Returns a config as the operator writes it.
pub fn config(version: u32, routes: &[Route], tenants: &[Tenant<'_>]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, host, prefix, kind, timeout_ms, objective_ms, priority } = route;
            let attempts = if *kind == "unsafe" { 1 } else { 2 };
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\
                 \"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"target_latency_ms\":{objective_ms},\"priority\":{priority},\
                 \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"public\":false}}"
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|Tenant { name, keys, cap: (rate, burst) }| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[{}],\"priority\":1,\"unit\":\"tokens\",\
                 \"text_tokens\":200,\"rate_per_s\":{rate},\"burst\":{burst}}}",
                keys.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":244,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

impl Stage {
    /// Sends a filing (`POST`, unsafe) or a read (`GET`, safe) and returns the answer, or
    /// `None` if none arrived.
    pub fn send(
        &self,
        host: &Host,
        is_filing: bool,
        id: &str,
        key: &str,
        usage: &str,
    ) -> Option<Message> {
        let (line, body): (&str, &[u8]) = match is_filing {
            true => ("POST /extraccion/2f", b"reading 17"),
            false => ("GET /pozo/2f", b""),
        };
        let authorization = format!("Token {key}");
        let mut headers = vec![
            ("host", ROUTE_HOST),
            ("x-attempt-id", id),
            ("x-deadline-ms", "4000"),
            ("authorization", authorization.as_str()),
        ];
        if !usage.is_empty() {
            headers.push(("x-token-usage", usage));
        }
        let sent = Instant::now();
        let answer = call(host.clients, line, &headers, body, Duration::from_secs(5)).ok();
        let (status, ms) = (answer.as_ref().map_or(0, Message::status), sent.elapsed().as_millis());
        self.record.line(&format!(
            "sent {line} id {id} key {key} to {} -> {status} in {ms} ms",
            host.name
        ));
        answer
    }
}
