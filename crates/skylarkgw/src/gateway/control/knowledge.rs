//! Tracks the declaration and the engine registry, as received from the store
//! and from the coordinator.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::decision::coordinator::KnowledgeAge;
use crate::decision::declaration_confirmation::is_confirmed_by;
use crate::decision::deputies::StoreAccess;
use crate::decision::dispatch::engine_loads::{EngineNumber, RegisteredEngine};
use crate::decision::freshness::{batch_delay, is_searching_coordinator, needs_store_read};
use crate::decision::route_table::RouteTable;
use crate::decision::shared_map::MapDelta;
use crate::decision::store_order::StoreStamp;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, DIRECTORY_REFRESH_INTERVAL, lock};
use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::peers::CoordinatorClient;
use crate::gateway::ports::{StoreUpdate, WatchMode};
use crate::gateway::registry::RegistryCopy;
use crate::gateway::state::{RegistryOrigin, RegistrySource};
use crate::ids::{EndpointId, Revision, StoreEra};

impl ControlContext {
    /// Puts a declaration into force if its revision is higher than that of the
    /// current one.
    ///
    /// The revision in force never decreases, even if the store returns an older
    /// one.
    pub(super) fn apply_declaration(&self, declaration: Arc<FleetDeclaration>) {
        let current = self.state.snapshot.load().declaration.clone();
        if current.is_some_and(|current| current.revision >= declaration.revision) {
            return;
        }
        let route_table = Arc::new(RouteTable::new(&declaration));
        let (revision, routes) = (declaration.revision, declaration.routes.len());
        let services = declaration.services.len();
        let workspaces = declaration.iter_workspaces().count();
        let keys = declaration.iter_workspaces().map(|workspace| workspace.keys.len());
        let keys = keys.sum::<usize>();
        let requires_keys = declaration.requires_keys();
        let idle_timeout_ms = declaration.limits.idle_timeout.as_millis() as u64;
        info!("declaration in force", kv: {
            revision, routes, services, workspaces, keys, requires_keys, idle_timeout_ms
        });
        // As for the registry, a lapse of the lease must not lose the update.
        if let Some(coordinator) = lock(&self.coordinator).as_mut() {
            coordinator.apply_declaration(time_since_boot(), &declaration);
        }
        self.update_cold_engines(time_since_boot(), Some(&declaration));
        self.update_snapshot(|snapshot| {
            snapshot.declaration = Some(declaration);
            snapshot.route_table = route_table;
        });
    }

    /// Records an era in which another host or the lease record places the store.
    pub(super) fn record_named_era(&self, now: Duration, era: Option<StoreEra>) {
        let age = self.state.declaration_age(now);
        lock(&self.confirmation).record_named_era(now, era, age);
    }

    /// Records whether the lease record shows, when this host starts, that the store may
    /// just have begun anew.
    pub(super) fn record_lease_start(&self, now: Duration) {
        let is_settled = lock(&self.lease).is_era_settled();
        if is_settled == Some(false) {
            lock(&self.evacuations).record_unsettled_start(now);
            if !self.state.has_confirmed_declaration() {
                lock(&self.confirmation).record_unsettled_start(now);
            }
        }
    }

    /// Returns whether an answer of the store can confirm the declaration. The first one
    /// cannot before the lease record tells whether the store may have begun anew.
    fn may_confirm_declaration(&self) -> bool {
        self.state.has_confirmed_declaration() || lock(&self.lease).is_era_settled().is_some()
    }

    /// Returns the declaration in force if this host is the coordinator.
    pub fn declaration_as_coordinator(&self) -> Option<Arc<FleetDeclaration>> {
        self.with_coordinator(|_, _| self.state.snapshot.load().declaration.clone())?
    }

    /// Applies the fleet state from the coordinator's reply to a report that was
    /// sent at `sent_at`.
    ///
    /// Returns the numbers of the engines if the reply changes the registry.
    ///
    /// While the coordinator's copy is recent, this host does not watch the store
    /// itself. The ages in the reply are counted back from `sent_at`, so the delay
    /// of the exchange never makes the state appear newer than it is.
    pub(super) fn apply_fleet_state(
        &self,
        sent_at: Duration,
        age: &KnowledgeAge,
        registry: Option<MapDelta<RegisteredEngine>>,
    ) -> Option<Arc<HashMap<EndpointId, EngineNumber>>> {
        let revision = self.state.snapshot.load().revision();
        if is_confirmed_by(revision, age.revision) {
            self.state.record_declaration_time(sent_at.saturating_sub(age.declaration));
        }
        let as_of = sent_at.saturating_sub(age.registry);
        let stamp = StoreStamp { position: age.registry_position, as_of };
        let now = time_since_boot();
        self.record_named_era(now, stamp.position.era);
        let is_coordinator = lock(&self.lease).token(now).is_some();
        // A host that knows a newer declaration than the coordinator gets no confirmation.
        let is_behind = revision != age.revision;
        self.set_watches(
            needs_store_read(is_coordinator, is_behind, age.declaration),
            needs_store_read(is_coordinator, false, age.registry),
            Some(age),
        );
        let mut numbers = None;
        let is_used = {
            let mut contact = lock(&self.contact);
            if let Some(delta) = registry {
                contact.registry_version = delta.version;
                let is_last = delta.is_last;
                delta.apply_to(&mut contact.engines);
                if !is_last {
                    return None;
                }
                let engines = contact.engines.iter();
                let engines = engines.map(|(engine, listed)| (engine.clone(), listed.number));
                numbers = Some(Arc::new(engines.collect()));
            }
            // The coordinator reads the store itself.
            if is_coordinator {
                return numbers;
            }
            let mut directory = lock(&self.directory);
            let source = self.state.snapshot.load().registry.source;
            // In another era, the same list is a copy of its own.
            let is_confirmation = directory.stamp().position.era == stamp.position.era;
            if numbers.is_none() && source == RegistrySource::Coordinator && is_confirmation {
                directory.record_unchanged(stamp);
                self.state.record_registry_time(directory.stamp().as_of);
                return None;
            }
            let entries = contact.engines.values().map(|listed| listed.entry.clone());
            directory.update_from_coordinator(now, stamp, entries)
        };
        self.record_registry_copy(RegistrySource::Coordinator, stamp, is_used);
        self.publish_engines();
        numbers
    }

    /// Records where the entries of the directory came from.
    pub(super) fn record_registry_copy(
        &self,
        source: RegistrySource,
        stamp: StoreStamp,
        is_used: bool,
    ) {
        self.state.metrics.fleet.count_registry_copy(source.label(), !is_used);
        if is_used {
            self.state.record_registry_time(stamp.as_of);
            let origin = RegistryOrigin { position: stamp.position, source };
            self.update_snapshot(|snapshot| snapshot.registry = origin);
        }
    }

    /// Enables the watches of the store if the coordinator no longer replies.
    pub(super) fn watch_store_without_contact(&self, now: Duration) {
        if !self.has_contact(now) {
            self.set_watches(true, true, None);
        }
    }

    /// Starts or stops the watches of the store, unless this host still looks for the
    /// coordinator or asks deputies.
    ///
    /// `age` is the age of the coordinator's copies, or `None` if there is no
    /// contact with it.
    fn set_watches(&self, declaration: bool, engines: bool, age: Option<&KnowledgeAge>) {
        let now = time_since_boot();
        let is_coordinator = lock(&self.lease).token(now).is_some();
        let uptime = now.saturating_sub(self.started_at);
        let is_searching = !is_coordinator && is_searching_coordinator(uptime);
        let evacuations = self.needs_evacuations(is_coordinator, age);
        let asks_deputies = {
            let mut guide = lock(&self.guide);
            guide.set_needed(now, !is_coordinator && (declaration || engines || evacuations));
            guide.is_needed() && guide.access(now) == StoreAccess::Deputy
        };
        let set_mode = |mode: &watch::Sender<WatchMode>, is_on: bool| {
            let batch_delay = batch_delay(is_coordinator);
            let is_on = is_on && !is_searching && !asks_deputies;
            let value = if is_on { WatchMode::On { batch_delay } } else { WatchMode::Off };
            mode.send_if_modified(|current| std::mem::replace(current, value) != value)
        };
        let has_changed = [
            set_mode(&self.watch_declarations, declaration),
            set_mode(&self.watch_engines, engines),
            set_mode(&self.watch_evacuations, evacuations),
        ];
        if has_changed.contains(&true) {
            let age_ms = |age: Duration| age.as_millis() as i64;
            let declaration_age_ms = age.map_or(-1, |age| age_ms(age.declaration));
            let registry_age_ms = age.map_or(-1, |age| age_ms(age.registry));
            info!("store watches changed", kv: {
                declaration, engines, evacuations, declaration_age_ms, registry_age_ms
            });
        }
    }

    /// Fetches the declaration from the coordinator if `revision` is higher than
    /// the one in force.
    ///
    /// This also updates hosts that cannot reach the store.
    pub(super) async fn fetch_declaration(&self, client: &CoordinatorClient, revision: Revision) {
        if self.state.snapshot.load().revision() >= revision {
            return;
        }
        match client.fetch_declaration().await {
            Some(declaration) => self.apply_declaration(declaration),
            None => warn!("coordinator's declaration did not come", kv: { revision }),
        }
    }
}

/// Applies declarations from the store until the adapter closes its channel.
pub async fn follow_declarations(
    control: Arc<ControlContext>,
    mut updates: mpsc::Receiver<StoreUpdate<Arc<FleetDeclaration>>>,
) {
    while let Some(update) = updates.recv().await {
        let StoreUpdate::Current { value: declaration, position, as_of } = update else { continue };
        let (now, answered) = (time_since_boot(), declaration.revision);
        let in_force = control.state.snapshot.load().revision();
        let (stamp, age) = (StoreStamp { position, as_of }, control.state.declaration_age(now));
        let mut confirmation = lock(&control.confirmation);
        let is_confirmed = confirmation.record_answer(now, stamp, answered, in_force, age);
        drop(confirmation);
        control.apply_declaration(declaration);
        if is_confirmed && control.may_confirm_declaration() {
            control.state.record_declaration_time(as_of);
        }
    }
}

/// Applies registry updates from the store until the adapter closes its channel.
///
/// The engines are also published again whenever no update arrives for
/// `DIRECTORY_REFRESH_INTERVAL`.
pub async fn follow_engines(
    control: Arc<ControlContext>,
    mut updates: mpsc::Receiver<StoreUpdate<RegistryCopy>>,
) {
    loop {
        tokio::select! {
            update = updates.recv() => match update {
                Some(StoreUpdate::Current { value, position, as_of }) => {
                    let stamp = StoreStamp { position, as_of };
                    let now = time_since_boot();
                    let RegistryCopy { entries, unusable } = value;
                    let is_used = {
                        let mut directory = lock(&control.directory);
                        let known = directory.stamp();
                        let was_settling = directory.is_settling(now);
                        let is_used = directory.update_from_store(now, stamp, entries);
                        if directory.is_settling(now) && !was_settling {
                            let gap = as_of.saturating_sub(known.as_of).as_millis() as u64;
                            let awaited = directory.awaited_count();
                            info!("store outage assumed", kv: { gap_ms = gap, awaited });
                        }
                        if is_used {
                            directory.drop_missing(&unusable);
                        }
                        is_used
                    };
                    control.record_registry_copy(RegistrySource::Store, stamp, is_used);
                }
                Some(StoreUpdate::Failed) => lock(&control.directory).record_failure(),
                None => return,
            },
            () = sleep(DIRECTORY_REFRESH_INTERVAL) => {}
        }
        control.publish_engines();
    }
}
