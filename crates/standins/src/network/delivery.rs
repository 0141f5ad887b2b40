//! Carries orders, reports and the placement's calls between hosts, engines and
//! the platform.

use std::time::Duration;

use rand::Rng;
use skylarkgw::decision::host::HostInput;
use skylarkgw::decision::placement::{EngineOrder, ORDER_LIFETIME, OrderOutcome};
use skylarkgw::decision::routing::LoadReport;
use skylarkgw::decision::shares::PlatformCall;
use skylarkgw::ids::{EndpointId, ModelName};

use crate::network::{QueueEvent, TICK, TestNetwork};

impl TestNetwork {
    /// Sends an order, which may be lost, or late within its life.
    pub(super) fn send_order(
        &mut self,
        host: usize,
        life: u64,
        engine: EndpointId,
        order: EngineOrder,
    ) {
        let faults = self.settings.faults;
        if self.source.random_bool(faults.loss_rate) {
            let (number, outcome) = (order.number, OrderOutcome::Unknown);
            let input = HostInput::OrderDone { engine, number, outcome };
            self.push(TICK, QueueEvent::Input { host, life, input });
            return;
        }
        let late = self.source.random_bool(faults.loss_rate);
        let longest = if late { ORDER_LIFETIME.as_millis() as u64 - 1 } else { 20 };
        let delay = Duration::from_millis(self.source.random_range(1..=longest));
        self.push(delay, QueueEvent::Order { host, life, engine, order });
    }

    pub(super) fn deliver_order(
        &mut self,
        host: usize,
        life: u64,
        engine: &EndpointId,
        order: &EngineOrder,
    ) {
        let outcome = self.engines.apply(self.now, engine, order);
        let lost = self.source.random_bool(self.settings.faults.loss_rate);
        let outcome = if lost { OrderOutcome::Unknown } else { outcome };
        let (engine, number) = (engine.clone(), order.number);
        let input = HostInput::OrderDone { engine, number, outcome };
        self.push(TICK, QueueEvent::Input { host, life, input });
    }

    /// Asks every engine for a report, which reaches the host a little later.
    pub(super) fn poll_engines(&mut self, host: usize, life: u64) {
        if !self.is_running(host) {
            return;
        }
        self.engines.advance(self.now);
        let asked_at = self.local_time(host);
        for name in self.engines.engines.keys().cloned().collect::<Vec<_>>() {
            let lost = self.source.random_bool(self.settings.faults.loss_rate);
            let engine = self.engines.report(&name).filter(|_| !lost);
            let report = engine.map(|engine| LoadReport { engine, ..LoadReport::default() });
            let delay = self.delay();
            let input = HostInput::Report { endpoint: name, asked_at, report };
            self.push(delay, QueueEvent::Input { host, life, input });
        }
    }

    pub(super) fn switch_versions(&mut self, models: &[ModelName]) {
        if self.platform.outage {
            return;
        }
        self.accept(|next| {
            for model in models {
                let Some(spec) = next.models.get_mut(model) else { continue };
                if let Some(version) = spec.next.take() {
                    spec.version = version;
                }
            }
        });
    }

    pub(super) fn perform_placement(&mut self, host: usize, life: u64, call: PlatformCall) {
        let name = match &call {
            PlatformCall::Read { name } | PlatformCall::Write { name, .. } => name.clone(),
        };
        let reachable = !self.platform_partitions.contains(&host);
        let (outcome, late) = self.platform.perform(&mut self.source, reachable, call);
        if let Some((delay, call)) = late {
            self.push(delay, QueueEvent::LateWrite { call });
        }
        let delay = self.delay();
        let input = HostInput::PlacementDone { name, outcome };
        self.push(delay, QueueEvent::Input { host, life, input });
    }
}
