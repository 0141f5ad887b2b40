//! What a host knows of declaration and registry, from the store and from the
//! coordinator.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::decision::coordinator::{KnowledgeAge, RegistryDelta};
use crate::decision::freshness::asks_itself;
use crate::decision::route_table::RouteTable;
use crate::gateway::clock::boot_time;
use crate::gateway::control::{ControlContext, DIRECTORY_INTERVAL, lock, set_flag};
use crate::gateway::declaration::FleetDeclaration;
use crate::gateway::peers::CoordinatorClient;
use crate::gateway::ports::StoreUpdate;
use crate::gateway::registry::EngineEntry;
use crate::ids::Revision;

impl ControlContext {
    /// Takes a declaration into force if it is newer: an accepted one never
    /// reverts, whatever a read brings.
    fn adopt(&self, declaration: Arc<FleetDeclaration>) {
        let known = self.state.snapshot.load().declaration.clone();
        if known.is_some_and(|known| known.revision >= declaration.revision) {
            return;
        }
        let table = Arc::new(RouteTable::new(&declaration));
        let (revision, routes) = (declaration.revision, declaration.routes.len());
        let services = declaration.services.len();
        info!("declaration in force", kv: { revision, routes, services });
        self.with_coordinator(|now, coordinator| coordinator.apply_declaration(now, &declaration));
        self.set_snapshot(|snapshot| {
            snapshot.declaration = Some(declaration);
            snapshot.table = table;
        });
    }

    /// Returns the declaration in force if this host is the coordinator.
    pub fn coordinated_declaration(&self) -> Option<Arc<FleetDeclaration>> {
        self.with_coordinator(|_, _| self.state.snapshot.load().declaration.clone())?
    }

    /// Takes in the coordinator's knowledge, so that this host need not watch
    /// the store itself. Ages count from the sending of the report.
    pub(super) fn take_knowledge(
        &self,
        sent_at: Duration,
        age: &KnowledgeAge,
        registry: Option<RegistryDelta>,
    ) {
        let declaration = self.state.snapshot.load().declaration.clone();
        let revision = declaration.map_or(0, |declaration| declaration.revision);
        if revision >= age.revision && revision > 0 {
            self.state.note_declared(sent_at.saturating_sub(age.declaration));
        }
        self.state.note_listed(sent_at.saturating_sub(age.registry));
        let is_coordinator = lock(&self.lease).token(boot_time()).is_some();
        let is_behind = revision < age.revision;
        let asks_declaration = asks_itself(is_coordinator, is_behind, age.declaration);
        set_flag(&self.watch_declarations, asks_declaration);
        set_flag(&self.watch_engines, asks_itself(is_coordinator, false, age.registry));
        if is_coordinator {
            return;
        }
        let Some(delta) = registry else {
            lock(&self.directory).note_unchanged(boot_time());
            return;
        };
        let engines = {
            let mut contact = lock(&self.contact);
            contact.registry_version = delta.version;
            contact.engines.retain(|id, _| delta.engines.contains(id));
            contact
                .engines
                .extend(delta.changed.into_iter().map(|entry| (entry.id.clone(), entry)));
            contact.engines.values().cloned().collect()
        };
        lock(&self.directory).update(boot_time(), engines);
        self.publish_engines();
    }

    /// Watches the store again unless the coordinator is heard from.
    pub(super) fn watch_without_contact(&self, now: Duration) {
        if !self.has_contact(now) {
            set_flag(&self.watch_declarations, true);
            set_flag(&self.watch_engines, true);
        }
    }

    /// Gets a newer declaration from the coordinator, which also reaches hosts
    /// that are cut from the store.
    pub(super) async fn catch_up(&self, client: &CoordinatorClient, revision: Revision) {
        let known = self.state.snapshot.load().declaration.clone();
        if known.map_or(0, |known| known.revision) >= revision {
            return;
        }
        match client.declaration().await {
            Some(declaration) => self.adopt(declaration),
            None => warn!("coordinator's declaration did not come", kv: { revision }),
        }
    }
}

/// Takes in declarations until the adapter ends.
pub async fn follow_declarations(
    control: Arc<ControlContext>,
    mut updates: mpsc::Receiver<StoreUpdate<Arc<FleetDeclaration>>>,
) {
    while let Some(update) = updates.recv().await {
        let StoreUpdate::Current { value: declaration, as_of } = update else { continue };
        control.adopt(declaration);
        control.state.note_declared(as_of);
    }
}

/// Takes in the registry until the adapter ends.
pub async fn follow_engines(
    control: Arc<ControlContext>,
    mut updates: mpsc::Receiver<StoreUpdate<Vec<EngineEntry>>>,
) {
    loop {
        tokio::select! {
            update = updates.recv() => match update {
                Some(StoreUpdate::Current { value, as_of }) => {
                    lock(&control.directory).update(boot_time(), value);
                    control.state.note_listed(as_of);
                }
                Some(StoreUpdate::Failed) => lock(&control.directory).note_failure(boot_time()),
                None => return,
            },
            () = sleep(DIRECTORY_INTERVAL) => {}
        }
        control.publish_engines();
    }
}
