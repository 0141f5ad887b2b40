//! A control thread whose store is driven by the test.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use skylarkgw::decision::directory::DEFAULT_RENEWAL_INTERVAL;
use skylarkgw::decision::quota_pool::QuotaTolerance;
use skylarkgw::gateway::control::{ControlContext, ControlPorts, follow_engines, maintain_lease};
use skylarkgw::gateway::ports::{
    EngineCall, LeaseAnswer, LeaseCall, LeaseRecord, StoreUpdate, WatchMode,
};
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase, RegistryCopy};
use skylarkgw::gateway::settings::{GatewayBounds, GatewaySettings};
use skylarkgw::gateway::state::GatewayState;
use skylarkgw::gateway::wire::{ClientHeaders, HeaderCodec, ResponseMetadata};
use skylarkgw::telemetry::Metrics;
use tokio::sync::{mpsc, watch};

/// Duration of the coordinator lease. A holder stops after three quarters of it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_200);

/// A host's control state and the test's ends of its channels.
pub struct ControlHarness {
    pub control: Arc<ControlContext>,
    pub registry: mpsc::Sender<StoreUpdate<RegistryCopy>>,
    lease_calls: mpsc::Receiver<LeaseCall>,
    record: Option<LeaseRecord>,
    version: u64,
    _engine_calls: mpsc::Receiver<EngineCall>,
    _watches: (watch::Receiver<WatchMode>, watch::Receiver<WatchMode>),
}

fn settings() -> GatewaySettings {
    let address = "127.0.0.1:9".parse().expect("the address should be valid");
    GatewaySettings {
        host: "edge-1".into(),
        data_centre: "muscat-a".into(),
        regions: HashMap::new(),
        callers: address,
        readiness: address,
        peers: address,
        metrics: address,
        store: address,
        is_first_start: true,
        cores: 1.0,
        link_mbps: 1_000.0,
        memory_mb: 112,
        max_fds: None,
        renewal_interval: DEFAULT_RENEWAL_INTERVAL,
        bounds: GatewayBounds {
            revocation: Duration::from_secs(5),
            declaration: Duration::from_secs(2),
            lease: LEASE_DURATION,
            retry_ratio: 0.2,
            retry_slack: 100.0,
            quota: QuotaTolerance::default(),
            load_window: Duration::from_secs(5),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            evacuation: None,
            cold: None,
        },
    }
}

/// Returns the registry entry of an engine.
pub fn engine(id: &str, phase: EnginePhase) -> EngineEntry {
    EngineEntry {
        id: id.into(),
        service: "models".into(),
        address: "127.0.0.1:9".parse().expect("the address should be valid"),
        data_centre: "muscat-a".into(),
        slots: 4,
        phase,
        leaves_in: None,
        models: Vec::new(),
        started_ms: 1,
        copies_in_memory: Vec::new(),
        copies_on_disk: Vec::new(),
        cold_for: None,
        is_awaited: false,
    }
}

impl ControlHarness {
    /// Starts the tasks that follow the registry and maintain the lease.
    pub fn start() -> ControlHarness {
        let codec = HeaderCodec {
            decode_client_headers: |_| ClientHeaders::default(),
            set_engine_headers: |_, _| {},
            decode_response_headers: |_, _| ResponseMetadata::default(),
            readiness_path: "/ready",
        };
        let metrics = Arc::new(Metrics::new().expect("names of metrics should be unique"));
        let (requests, _) = mpsc::channel(1);
        let state = Arc::new(GatewayState::new(settings(), codec, 1, metrics, requests));
        let (lease_sender, lease_calls) = mpsc::channel(1);
        let (engine_sender, engine_calls) = mpsc::channel(1);
        let (watch_declarations, declarations) = watch::channel(WatchMode::Off);
        let (watch_engines, engines) = watch::channel(WatchMode::Off);
        let ports = ControlPorts {
            lease_calls: lease_sender,
            engine_calls: engine_sender,
            watch_declarations,
            watch_engines,
        };
        let control = Arc::new(ControlContext::new(state, ports));
        let (registry, updates) = mpsc::channel(8);
        tokio::spawn(follow_engines(control.clone(), updates));
        tokio::spawn(maintain_lease(control.clone()));
        ControlHarness {
            control,
            registry,
            lease_calls,
            record: None,
            version: 0,
            _engine_calls: engine_calls,
            _watches: (declarations, engines),
        }
    }

    /// Returns the next call on the lease record.
    pub async fn next_lease_call(&mut self) -> LeaseCall {
        self.lease_calls.recv().await.expect("the lease task should run")
    }

    /// Carries out a call on the lease record and answers it.
    pub fn answer_lease_call(&mut self, call: LeaseCall) {
        let is_written = call.write.is_some();
        if let Some((_, record)) = call.write {
            self.record = Some(record);
            self.version += 1;
        }
        let answer = match &self.record {
            None => LeaseAnswer::Missing { era: None },
            Some(record) => LeaseAnswer::Found {
                version: self.version,
                era: None,
                record: Some(record.clone()),
                is_written,
            },
        };
        call.reply.send(answer).expect("the lease task should wait for the answer");
    }
}
