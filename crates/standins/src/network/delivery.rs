//! Delivery of orders, engine reports and placement calls between hosts,
//! engines and the platform.

use std::time::Duration;

use rand::Rng;
use skylarkgw::decision::host::HostInput;
use skylarkgw::decision::placement::{EngineOrder, ORDER_LIFETIME, OrderOutcome};
use skylarkgw::decision::routing::LoadReport;
use skylarkgw::decision::shares::PlatformCall;
use skylarkgw::ids::{EndpointId, ModelName};

use crate::network::{NetworkEvent, TICK, TestNetwork};

impl TestNetwork {
    /// Sends an order, which may be lost or be delivered late, but within
    /// [`ORDER_LIFETIME`].
    ///
    /// The outcome of a lost order is [`OrderOutcome::Unknown`].
    pub(super) fn send_order(
        &mut self,
        host: usize,
        pid: u64,
        engine: EndpointId,
        order: EngineOrder,
    ) {
        let faults = self.settings.faults;
        if self.rng.random_bool(faults.loss_rate) {
            let (number, outcome) = (order.number, OrderOutcome::Unknown);
            let input = HostInput::OrderDone { engine, number, outcome };
            self.push(TICK, NetworkEvent::Input { host, pid, input });
            return;
        }
        let is_late = self.rng.random_bool(faults.loss_rate);
        let max_delay_ms = if is_late { ORDER_LIFETIME.as_millis() as u64 - 1 } else { 20 };
        let delay = Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
        self.push(delay, NetworkEvent::Order { host, pid, engine, order });
    }

    /// Applies an order at an engine and sends the outcome to the host.
    ///
    /// The outcome is [`OrderOutcome::Unknown`] if the response is lost.
    pub(super) fn deliver_order(
        &mut self,
        host: usize,
        pid: u64,
        engine: &EndpointId,
        order: &EngineOrder,
    ) {
        let outcome = self.engines.apply(self.now, engine, order);
        let is_lost = self.rng.random_bool(self.settings.faults.loss_rate);
        let outcome = if is_lost { OrderOutcome::Unknown } else { outcome };
        let (engine, number) = (engine.clone(), order.number);
        let input = HostInput::OrderDone { engine, number, outcome };
        self.push(TICK, NetworkEvent::Input { host, pid, input });
    }

    /// Requests a report from every engine, which reaches the host after a
    /// delay.
    pub(super) fn poll_engines(&mut self, host: usize, pid: u64) {
        if !self.is_running(host) {
            return;
        }
        self.engines.advance(self.now);
        let requested_at = self.local_time(host);
        for name in self.engines.engines.keys().cloned().collect::<Vec<_>>() {
            let is_lost = self.rng.random_bool(self.settings.faults.loss_rate);
            let engine = self.engines.report(&name).filter(|_| !is_lost);
            let report = engine.map(|engine| LoadReport { engine, ..LoadReport::default() });
            let delay = self.sample_delay();
            let input = HostInput::Report { endpoint: name, requested_at, report };
            self.push(delay, NetworkEvent::Input { host, pid, input });
        }
    }

    /// Declares the next versions of models as their current ones, unless the
    /// platform is in an outage.
    pub(super) fn switch_versions(&mut self, models: &[ModelName]) {
        if self.platform.outage {
            return;
        }
        self.change_configuration(|next| {
            for model in models {
                let Some(spec) = next.models.get_mut(model) else { continue };
                if let Some(version) = spec.next.take() {
                    spec.version = version;
                }
            }
        });
    }

    /// Serves a call for placement and sends the outcome to the host.
    pub(super) fn perform_placement(&mut self, host: usize, pid: u64, call: PlatformCall) {
        let name = match &call {
            PlatformCall::Read { name } | PlatformCall::Write { name, .. } => name.clone(),
        };
        let reachable = !self.platform_partitions.contains(&host);
        let (outcome, late_write) = self.platform.perform(&mut self.rng, reachable, call);
        if let Some((delay, call)) = late_write {
            self.push(delay, NetworkEvent::LateWrite { call });
        }
        let delay = self.sample_delay();
        let input = HostInput::PlacementCallDone { name, outcome };
        self.push(delay, NetworkEvent::Input { host, pid, input });
    }
}
