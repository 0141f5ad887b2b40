//! A consumer's request on a connection of its own, and the check of QUOTA.

use std::collections::HashMap;
use std::io::{BufReader, Result, Write};
use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::Run;
use crate::http::{connect, read_body, read_head};

/// What a consumer asks of the route `guide`.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub model: &'a str,
    /// Prompt tokens and the maximum number of generated ones.
    pub usage: (u64, u64),
    /// Time after which the consumer leaves, if no answer has begun.
    pub patience: Option<Duration>,
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub length: usize,
    /// `Retry-After`, up to a third of the time budget.
    pub retry_after: Duration,
}

/// Sends a request, and returns the answer, or `None` if the connection was closed without
/// one. An error is a cut answer, or that the consumer has left.
pub fn ask(address: SocketAddr, ask: &Ask<'_>) -> Result<Option<Answer>> {
    let budget = Duration::from_secs(12);
    let mut stream = connect(address, ask.patience.unwrap_or(budget))?;
    let body = "{\"prompt\":\"how long to tumble jasper\"}";
    let (Ask { id, key, model, usage: (prompt, output), .. }, length) = (ask, body.len());
    let head = format!(
        "POST /guide/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Model: {model}\r\n\
         X-Token-Usage: {prompt},{output}\r\nX-Prompt-Prefix: 5c1e07a2:198,{id}:{}\r\n\
         X-Deadline-Ms: 12000\r\nAuthorization: Token {key}\r\nContent-Length: {length}\r\n\r\n{body}",
        prompt.saturating_sub(198)
    );
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else { return Ok(None) };
    reader.get_ref().set_read_timeout(Some(budget))?;
    let mut length = 0;
    read_body(&mut reader, &head, |part| length += part.len())?;
    let retry_after = head.header("retry-after").and_then(|text| text.parse().ok());
    let retry_after = Duration::from_secs_f64(retry_after.unwrap_or(0.0)).min(budget / 3);
    Ok(Some(Answer { status: head.status(), length, retry_after }))
}

/// The models that are declared.
pub const MODELS: [&str; 8] = ["sage", "thyme", "basil", "mint", "dill", "rue", "lovage", "borage"];

/// Usage cap of a tenant, and the tolerance of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Cap {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// `quota_window_s`, `quota_overshoot` and `quota_slack` of the settings.
const WINDOW_MS: u64 = 8_000;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;

impl Cap {
    /// Returns the most tokens that may be both sent and run in a window.
    pub fn allowed(&self) -> u64 {
        let cap = self.rate_per_s * WINDOW_MS as f64 / 1_000.0 + self.burst;
        (cap * (1.0 + OVERSHOOT) + SLACK) as u64
    }
}

/// Returns the most tokens of a tenant that were both sent and run in one window, with the
/// start of that window. `sent` has the time of each request in milliseconds.
pub fn most_used<'a>(
    runs: impl Iterator<Item = &'a Run>,
    tenant: &str,
    sent: &HashMap<String, u64>,
) -> (u64, u64) {
    let of_tenant = runs.filter(|run| run.tenant == tenant);
    let mut runs: Vec<(u64, u64, u64)> =
        of_tenant.filter_map(|run| Some((*sent.get(&run.id)?, run.at_ms, run.tokens))).collect();
    runs.sort_unstable();
    let used_from = |from: u64| -> u64 {
        let within = |at: u64| (from..from + WINDOW_MS).contains(&at);
        runs.iter().filter(|(sent, run, _)| within(*sent) && within(*run)).map(|run| run.2).sum()
    };
    runs.iter().map(|(sent, ..)| (used_from(*sent), *sent)).max().unwrap_or_default()
}

/// Returns a configuration with the route `guide`, a tenant with a usage cap, and [`MODELS`] of
/// 72,700 MB on engines of `weights_mb`.
pub fn declare(version: u64, rate_per_s: &str, burst: &str, weights_mb: u32) -> String {
    let model = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"weights_mb\":72700.0,\"load_time_s\":6.4,\"adapters\":0,\
             \"adapter_size_mb\":66.0}}"
        )
    };
    let models = MODELS.map(model).join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"guide\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/guide/\",\"type\":\"streaming\",\"timeout_ms\":12000,\
         \"target_latency_ms\":400,\"priority\":0,\"service\":\"models\",\"max_attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":250}}],\
         \"services\":[{{\"name\":\"models\",\"health_path\":\"/healthz\",\"max_connections\":822,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"weights_mb\":{weights_mb},\
         \"adapter_slots\":2,\"loads_per_s\":1.6,\"models\":[{models}]}}}}],\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"key-of-shop\"],\"priority\":1,\
         \"unit\":\"tokens\",\"text_tokens\":200,\"rate_per_s\":{rate_per_s},\"burst\":{burst}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
