//! Tracks the evacuations, as received from the store, the coordinator and deputies.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::decision::coordinator::KnowledgeAge;
use crate::decision::evacuations::{DeclaredEvacuation, EvacuationAge, needs_evacuation_read};
use crate::decision::shared_map::first_version;
use crate::decision::store_order::StoreStamp;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, DIRECTORY_REFRESH_INTERVAL, lock};
use crate::gateway::ports::StoreUpdate;
use crate::gateway::state::RegistrySource;
use crate::ids::{EndpointId, MapVersion};

/// Version and list of the evacuations for a host that has a different version.
type EvacuationUpdate = Option<(MapVersion, Vec<DeclaredEvacuation>)>;

impl ControlContext {
    /// Returns whether this host must read the evacuations from the store itself, where
    /// the deployment has them.
    ///
    /// `age` is the age of another host's copies, or `None` if there is no contact with it.
    pub(super) fn needs_evacuations(
        &self,
        is_coordinator: bool,
        age: Option<&KnowledgeAge>,
    ) -> bool {
        let age = age.and_then(|age| age.evacuations).map(|copy| copy.age);
        let bound = self.state.settings.bounds.evacuation;
        bound.is_some_and(|bound| needs_evacuation_read(is_coordinator, bound, age))
    }

    /// Returns the age of this host's evacuations and, if `known` is another version than
    /// that of the coordinator with this token, their list.
    pub(super) fn share_evacuations(
        &self,
        now: Duration,
        token: u64,
        known: MapVersion,
    ) -> (Option<EvacuationAge>, EvacuationUpdate) {
        let Some(shared) = lock(&self.evacuations).share(now) else { return (None, None) };
        let version = first_version(token) + MapVersion::from(shared.change_count);
        (Some(shared.age), (version != known).then_some((version, shared.evacuations)))
    }

    /// Applies the evacuations of the coordinator's reply to a report that was sent at
    /// `sent_at`.
    ///
    /// A list that has not changed since the last reply is applied again, because it may
    /// have been older than what this host knew.
    pub(super) fn apply_evacuations(
        &self,
        sent_at: Duration,
        age: &KnowledgeAge,
        update: EvacuationUpdate,
    ) {
        let listed = {
            let mut contact = lock(&self.contact);
            if let Some(update) = update {
                contact.evacuations = update;
            }
            contact.evacuations.1.clone()
        };
        // The coordinator reads the store itself.
        if lock(&self.lease).token(time_since_boot()).is_none() {
            let source = RegistrySource::Coordinator;
            self.apply_shared_evacuations(sent_at, age.evacuations, Some(&listed), source);
        }
    }

    /// Applies the evacuations of another host, whose age is counted back from `sent_at`.
    pub(super) fn apply_shared_evacuations(
        &self,
        sent_at: Duration,
        age: Option<EvacuationAge>,
        listed: Option<&[DeclaredEvacuation]>,
        source: RegistrySource,
    ) {
        let (Some(age), Some(listed)) = (age, listed) else { return };
        let stamp = StoreStamp { position: age.position, as_of: sent_at.saturating_sub(age.age) };
        let now = time_since_boot();
        lock(&self.evacuations).update_from_host(now, stamp, listed);
        self.publish_evacuations(now, source.label());
    }

    /// Passes what has changed about the evacuations on to the traffic thread and, on the
    /// coordinator, to its planner.
    fn publish_evacuations(&self, now: Duration, source: &str) {
        let (view, events, known_until) = {
            let mut book = lock(&self.evacuations);
            (book.view(now), book.take_events(), book.known_until())
        };
        for event in events {
            let (data_centre, revision) = (event.data_centre.to_string(), event.revision);
            let source = source.to_owned();
            match event.is_in_force {
                true => info!("evacuation in force", kv: { data_centre, revision, source }),
                false => {
                    // Requests must not see the engines again before they count as cold.
                    self.state.lock_cold_engines().record_return(now, &event.data_centre);
                    info!("evacuation ended", kv: { data_centre, revision, source });
                }
            }
        }
        self.observe_cold_engines(now);
        if let Some(known_until) = known_until {
            self.state.record_evacuation_time(known_until);
        }
        if view == *self.state.snapshot.load().evacuations {
            return;
        }
        self.state.metrics.fleet.set_evacuated_centres(view.evacuated_count());
        let view = Arc::new(view);
        self.update_snapshot(|snapshot| snapshot.evacuations = view.clone());
        if let Some(coordinator) = lock(&self.coordinator).as_mut() {
            coordinator.set_evacuations(&view);
        }
    }

    /// Returns whether the coordinator may send an order or a question to an engine.
    pub(super) fn may_call_engine(&self, engine: &EndpointId) -> bool {
        let is_evacuated = self.with_coordinator(|_, coordinator| coordinator.is_evacuated(engine));
        is_evacuated != Some(true)
    }
}

/// Applies evacuations from the store until the adapter closes its channel.
///
/// They are also published again whenever no update arrives for
/// [`DIRECTORY_REFRESH_INTERVAL`], because one that the store has lost ends without an
/// update.
pub async fn follow_evacuations(
    control: Arc<ControlContext>,
    mut updates: mpsc::Receiver<StoreUpdate<Vec<DeclaredEvacuation>>>,
) {
    loop {
        tokio::select! {
            update = updates.recv() => match update {
                Some(StoreUpdate::Current { value, position, as_of }) => {
                    let stamp = StoreStamp { position, as_of };
                    let may_conclude = lock(&control.lease).is_era_settled().is_some();
                    let now = time_since_boot();
                    lock(&control.evacuations).update_from_store(now, stamp, &value, may_conclude);
                }
                // What was read last stays in force.
                Some(StoreUpdate::Failed) => {}
                None => return,
            },
            () = sleep(DIRECTORY_REFRESH_INTERVAL) => {}
        }
        control.publish_evacuations(time_since_boot(), RegistrySource::Store.label());
    }
}
