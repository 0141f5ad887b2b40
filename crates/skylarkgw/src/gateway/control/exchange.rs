//! Exchanges reports with the coordinator.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::time::sleep;

use crate::decision::coordinator::{CoordinatorReply, HostReport};
use crate::decision::coordinator_lease::takeover_delay;
use crate::decision::deputies::DeputyHost;
use crate::decision::dispatch::engine_loads::{EngineNumber, RegisteredEngine};
use crate::decision::evacuations::DeclaredEvacuation;
use crate::decision::fleet_planner::{EngineNotice, RecentLoads};
use crate::decision::freshness::{EXCHANGE_INTERVAL, contact_timeout, exchange_interval};
use crate::decision::quota_pool::LocalQuota;
use crate::decision::shared_map::version_token;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, lock};
use crate::gateway::peers::CoordinatorClient;
use crate::gateway::state::FleetView;
use crate::ids::{EndpointId, MapVersion};

/// The latest state received from the coordinator, and the connection to it.
#[derive(Default)]
pub(super) struct CoordinatorContact {
    client: Option<CoordinatorClient>,
    /// Time since boot at which the last reply arrived; `None` if there is no
    /// contact.
    last_reply_at: Option<Duration>,
    notice_version: MapVersion,
    pub(super) registry_version: MapVersion,
    /// Engines as the coordinator sent them.
    pub(super) engines: HashMap<EndpointId, RegisteredEngine>,
    /// Placement notices as the coordinator sent them.
    notices: HashMap<EndpointId, Arc<EngineNotice>>,
    /// Version and list of the evacuations as the coordinator sent them.
    pub(super) evacuations: (MapVersion, Vec<DeclaredEvacuation>),
    /// Loads from the weight store of which a coordinator told, and when it did.
    store_loads: Option<(RecentLoads, Duration)>,
    /// Whether the last reply was a part, after which more follows.
    expects_part: bool,
}

/// What is kept of a report until its reply arrives.
struct SentReport {
    /// Time since boot.
    sent_at: Duration,
    /// Requests of this host that ran at each engine.
    running: Vec<(EngineNumber, u32)>,
}

impl ControlContext {
    /// Returns whether the coordinator has replied within [`contact_timeout`].
    pub(super) fn has_contact(&self, now: Duration) -> bool {
        let timeout = contact_timeout(self.state.host_count());
        let last_reply_at = lock(&self.contact).last_reply_at;
        last_reply_at.is_some_and(|last_reply_at| now.saturating_sub(last_reply_at) < timeout)
    }

    /// Builds the next report to the coordinator.
    ///
    /// Usage counts cover the time since the previous report and are reset.
    fn build_report(&self, now: Duration) -> HostReport {
        let (notice_version, registry_version, evacuation_version, store_loads) = {
            let contact = lock(&self.contact);
            let loads = contact.store_loads;
            let loads = loads.map(|(loads, told_at)| loads.after(now.saturating_sub(told_at)));
            (contact.notice_version, contact.registry_version, contact.evacuations.0, loads)
        };
        let snapshot = self.state.snapshot.load_full();
        let (view, revision) = (&snapshot.view, snapshot.revision());
        let prompts = self.state.lock_prompt_guard().build_report(now);
        let statements = self.state.lock_engine_statements().build_report(now);
        let service = self.state.lock_service_log().build_report(now);
        let mut traffic = self.state.lock_traffic();
        let mut local_quotas = self.state.lock_local_quotas();
        HostReport {
            host: self.state.settings.host.clone(),
            running: traffic
                .running_by_engine()
                .filter_map(|(engine, count)| Some((*view.numbers.get(engine)?, count)))
                .collect(),
            paces: traffic.pace.take_sums(&view.numbers),
            uses: traffic.take_model_uses(),
            adapter_uses: traffic.take_adapter_uses(),
            returned: local_quotas
                .iter_mut()
                .map(|(workspace, quota)| (workspace.clone(), quota.take_unneeded(now)))
                .filter(|(_, tokens)| *tokens > 0)
                .collect(),
            revision,
            wanted: local_quotas
                .iter_mut()
                .map(|(workspace, quota)| (workspace.clone(), quota.tokens_to_request(now)))
                .collect(),
            capacity: self.capacity,
            deputy: (!self.state.is_draining()).then(|| DeputyHost {
                host: self.state.settings.host.clone(),
                address: self.state.settings.peers,
                data_centre: self.state.settings.data_centre.clone(),
            }),
            deputy_version: lock(&self.guide).version(),
            notice_version,
            registry_version,
            prompts,
            statements,
            evacuation_version,
            service,
            store_loads,
        }
    }

    /// Applies the coordinator's reply to a report.
    fn apply_reply(&self, sent: SentReport, reply: CoordinatorReply) {
        let now = time_since_boot();
        let is_handed_over = {
            let mut lease = lock(&self.lease);
            lease.set_takeover_delay(takeover_delay(self.capacity, Some(reply.largest_capacity)));
            if let Some((position, remaining)) = reply.lease {
                lease.record_remaining(now, position, remaining);
            }
            if let Some(delta) = &reply.registry {
                lease.record_token(version_token(delta.version));
            }
            lease.hand_over(now, self.capacity, reply.largest_capacity)
        };
        if is_handed_over {
            let (capacity, largest) = (self.capacity, reply.largest_capacity);
            info!("coordinator lease handed over", kv: { capacity, largest });
        }
        if let Some((version, deputies)) = reply.deputies {
            let (host, centre) = (&self.state.settings.host, &self.state.settings.data_centre);
            let seed = self.state.settings.peers.ip().to_string().bytes().map(usize::from).sum();
            lock(&self.guide).set_deputies(version, deputies, host, centre, seed);
        }
        self.apply_evacuations(sent.sent_at, &reply.age, reply.evacuations);
        let has_registry_part = reply.registry.as_ref().is_some_and(|delta| !delta.is_last);
        let numbers = self.apply_fleet_state(sent.sent_at, &reply.age, reply.registry);
        self.state.lock_prompt_guard().apply_reply(now, reply.prompts, reply.trials);
        self.state.lock_engine_statements().apply_reply(now, reply.statements);
        self.state.log_statement_events();
        {
            let mut local_quotas = self.state.lock_local_quotas();
            for (workspace, tokens, fallback_per_s) in reply.grants {
                let quota = local_quotas.entry(workspace).or_insert_with(|| LocalQuota::new(now));
                quota.set_host_count(reply.hosts);
                quota.add_grant(now, tokens, fallback_per_s as f64);
            }
        }
        let (is_renumbered, token) =
            (numbers.is_some(), version_token(lock(&self.contact).registry_version));
        let view = &self.state.snapshot.load().view;
        let mut view = FleetView {
            hosts: reply.hosts,
            numbers: numbers.unwrap_or_else(|| view.numbers.clone()),
            ..FleetView::clone(view)
        };
        {
            let mut traffic = self.state.lock_traffic();
            if is_renumbered {
                traffic.pace.set_numbering(now, token);
                traffic.pace.retain(|engine| view.numbers.contains_key(engine));
            }
            if let Some(page) = &reply.paces {
                traffic.pace.apply_page(now, token, page);
            }
            if let Some(loads) = &reply.loads {
                traffic.pace.record_counts(now, loads);
            }
        }
        if let Some(loads) = reply.loads {
            view.loads = loads;
            view.reported = sent.running.into_iter().collect();
            view.loads_at = now;
        }
        let mut contact = lock(&self.contact);
        if contact.last_reply_at.is_none() {
            let hosts = reply.hosts;
            info!("coordinator found", kv: { hosts });
        }
        contact.last_reply_at = Some(now);
        if let Some(loads) = reply.store_loads {
            contact.store_loads = Some((loads, now));
        }
        let has_notice_part = reply.notices.as_ref().is_some_and(|delta| !delta.is_last);
        contact.expects_part = has_registry_part || has_notice_part;
        if let Some(delta) = reply.notices {
            contact.notice_version = delta.version;
            let is_last = delta.is_last;
            delta.apply_to(&mut contact.notices);
            if is_last {
                view.placement = Arc::new(contact.notices.clone());
            }
        }
        self.state.metrics.members.set(i64::from(view.hosts));
        self.update_snapshot(|snapshot| snapshot.view = Arc::new(view));
        drop(contact);
        self.state.wake_waiting(|_| true);
    }

    /// Returns a connection to the coordinator, opening one if necessary.
    ///
    /// Returns `None` if the last seen lease record names no coordinator, if the
    /// coordinator is this host, or if the connection cannot be opened.
    pub(super) async fn connect_coordinator(&self) -> Option<CoordinatorClient> {
        let (holder, address) = lock(&self.lease).coordinator()?;
        if holder == self.state.settings.host {
            return None;
        }
        let client = lock(&self.contact).client.clone();
        if let Some(client) = client.filter(|client| client.address == address) {
            return Some(client);
        }
        let client = CoordinatorClient::open(address).await?;
        lock(&self.contact).client = Some(client.clone());
        Some(client)
    }

    /// Sends one report to the coordinator and applies its reply.
    ///
    /// Returns whether a reply arrived.
    async fn exchange_once(&self) -> bool {
        let now = time_since_boot();
        self.watch_store_without_contact(now);
        if lock(&self.lease).token(now).is_some() {
            let report = self.build_report(now);
            let sent = SentReport { sent_at: now, running: report.running.clone() };
            if let Some(reply) = self.handle_report(report) {
                self.apply_reply(sent, reply);
            }
            return true;
        }
        let Some(client) = self.connect_coordinator().await else {
            self.state.metrics.fleet.count_exchange("no-connection");
            return false;
        };
        let report = self.build_report(now);
        let sent = SentReport { sent_at: now, running: report.running.clone() };
        let answer = client.exchange(report).await;
        self.state.metrics.fleet.count_exchange(match &answer {
            Some(Some(_)) => "replied",
            Some(None) => "not-coordinator",
            None => "no-reply",
        });
        match answer {
            Some(Some(reply)) => {
                self.fetch_declaration(&client, reply.age.revision).await;
                self.apply_reply(sent, reply);
                true
            }
            Some(None) => {
                lock(&self.contact).last_reply_at = None;
                false
            }
            None => {
                let has_contact = self.has_contact(time_since_boot());
                let mut contact = lock(&self.contact);
                contact.client = None;
                if !has_contact && contact.last_reply_at.take().is_some() {
                    self.state.lock_traffic().pace.clear_shared();
                    warn!("coordinator lost");
                }
                false
            }
        }
    }
}

/// Exchanges reports with the coordinator until the task is cancelled.
pub async fn run_exchange(control: Arc<ControlContext>) {
    loop {
        let has_reply = control.exchange_once().await;
        control.consult_deputy().await;
        // A failed exchange is repeated before the contact counts as lost.
        let expects_part = lock(&control.contact).expects_part;
        sleep(if has_reply && !expects_part {
            exchange_interval(control.state.host_count())
        } else {
            EXCHANGE_INTERVAL
        })
        .await;
    }
}
