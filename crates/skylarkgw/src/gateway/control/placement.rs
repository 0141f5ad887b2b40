//! Logs which models have no replica, what they wait for, how changes of placement end,
//! and which models and adapters are requested and not served.

use std::time::Duration;

use spdlog::{info, warn};

use crate::decision::fleet_planner::PlacementEvent;
use crate::decision::obligations::{ObligationEvent, ServiceTarget};
use crate::telemetry::FleetMetrics;

/// Logs and counts one line for each event on a target that is not served.
pub(super) fn log_obligation_events(events: Vec<ObligationEvent>, metrics: &FleetMetrics) {
    let to_millis = |time: Duration| time.as_millis() as u64;
    let name = |target: ServiceTarget| {
        (target.model.to_string(), target.adapter.as_deref().unwrap_or_default().to_owned())
    };
    for event in events {
        match event {
            ObligationEvent::Unserved { target, requests } => {
                let (model, adapter) = name(target);
                warn!("target not served", kv: { model, adapter, requests });
                metrics.count_target_event("unserved");
            }
            ObligationEvent::Served { target, waited } => {
                let ((model, adapter), waited_ms) = (name(target), to_millis(waited));
                info!("target served again", kv: { model, adapter, waited_ms });
                metrics.count_target_event("served");
            }
            ObligationEvent::Late { target, waited, bound } => {
                let ((model, adapter), waited_ms) = (name(target), to_millis(waited));
                let bound_ms = to_millis(bound);
                warn!("target not served within the bound", kv: {
                    model, adapter, waited_ms, bound_ms
                });
                metrics.count_target_event("late");
            }
            ObligationEvent::Suspect { engine, is_suspect } => {
                let engine = engine.to_string();
                info!("engine suspected", kv: { engine, is_suspect });
            }
        }
    }
}

/// Logs one line for each event.
pub(super) fn log_placement_events(events: Vec<PlacementEvent>) {
    let to_millis = |time: Duration| time.as_millis() as u64;
    for event in events {
        match event {
            PlacementEvent::Vacant { model, engine, cause } => {
                let engine = engine.map(|engine| engine.to_string()).unwrap_or_default();
                let model = model.to_string();
                info!("model without a replica", kv: { model, engine, cause });
            }
            PlacementEvent::Waiting { model, wait, vacant } => {
                let engine = wait.engine.map(|engine| engine.to_string()).unwrap_or_default();
                let (model, vacant_ms) = (model.to_string(), to_millis(vacant));
                let (reason, detail) = (wait.reason, wait.detail);
                let (ready, idle, fitting) = (wait.ready, wait.idle, wait.fitting);
                let store_loads = wait.store_loads;
                info!("model waits for a replica", kv: {
                    model, reason, detail, engine, vacant_ms, ready, idle, fitting, store_loads
                });
            }
            PlacementEvent::Filled { model, engine, vacant, waits } => {
                let waits = waits.iter().map(|(reason, time)| {
                    let reason = *reason;
                    format!("{reason}={}", to_millis(*time))
                });
                let waits = waits.collect::<Vec<_>>().join(" ");
                let (model, engine) = (model.to_string(), engine.to_string());
                let vacant_ms = to_millis(vacant);
                info!("model has a replica", kv: { model, engine, vacant_ms, waits });
            }
            PlacementEvent::Unanswered { engine } => {
                let engine = engine.to_string();
                info!("order not answered", kv: { engine });
            }
            PlacementEvent::ChangeEnded { engine, model, kind, outcome, lasted } => {
                let (engine, model) = (engine.to_string(), model.to_string());
                let lasted_ms = to_millis(lasted);
                info!("change ended", kv: { engine, model, kind, outcome, lasted_ms });
            }
        }
    }
}
