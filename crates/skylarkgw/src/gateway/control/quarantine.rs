//! Logs what the coordinator learns about prompt parts that crash engines.

use spdlog::info;

use crate::decision::prompt_quarantine::QuarantineEvent;
use crate::edge::forward::format_parts;

/// Logs one line for each event.
pub(super) fn log_quarantine_events(events: Vec<QuarantineEvent>) {
    for event in events {
        match event {
            QuarantineEvent::Crash { engine, parts } => {
                let engine = engine.to_string();
                let parts = format_parts(parts.into_iter().map(|suspect| suspect.part));
                info!("engine crash reported", kv: { engine, parts });
            }
        }
    }
}
