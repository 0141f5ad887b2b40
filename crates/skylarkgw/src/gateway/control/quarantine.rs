//! Keeps and logs the coordinator's decisions on prompt parts that crash engines.

use spdlog::info;

use crate::decision::prompt_quarantine::QuarantineEvent;
use crate::edge::forward::format_parts;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, lock};

impl ControlContext {
    /// Copies the refused parts into the lease record, which outlives this process.
    pub(super) fn record_refused_parts(&self) {
        let state = self.with_coordinator(|_, coordinator| coordinator.quarantine_state());
        if let Some(state) = state {
            lock(&self.lease).set_refused_parts(time_since_boot(), &state.refused);
        }
    }
}

/// Logs one line for each event.
pub(super) fn log_quarantine_events(events: Vec<QuarantineEvent>) {
    for event in events {
        let payload = match &event {
            QuarantineEvent::Refused { .. } => "prompt part refused",
            QuarantineEvent::Adopted { .. } => "prompt part stays refused",
            QuarantineEvent::TrialGranted { .. } => "trial of a prompt part granted",
            QuarantineEvent::TrialFailed { .. } => "trial of a prompt part failed",
            QuarantineEvent::Released { .. } => "prompt part released",
            QuarantineEvent::Crash { .. } => "engine crash reported",
        };
        let (parts, engine, crashes) = match event {
            QuarantineEvent::Crash { engine, parts } => {
                let parts = format_parts(parts.into_iter().map(|suspect| suspect.part));
                (parts, engine.to_string(), 1)
            }
            QuarantineEvent::Refused { part, crashes } => {
                (format_parts([part].into_iter()), String::new(), crashes)
            }
            QuarantineEvent::Adopted { part }
            | QuarantineEvent::TrialGranted { part }
            | QuarantineEvent::TrialFailed { part }
            | QuarantineEvent::Released { part } => {
                (format_parts([part].into_iter()), String::new(), 0)
            }
        };
        info!("{payload}", kv: { parts, engine, crashes });
    }
}
