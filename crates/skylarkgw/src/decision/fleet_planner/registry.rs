//! The engines that the planner may use: those of the registry outside evacuated data
//! centres.

use std::collections::HashSet;
use std::sync::Arc;

use crate::decision::evacuations::EvacuationView;
use crate::decision::fleet_planner::FleetPlanner;
use crate::decision::fleet_planner::ledger::EngineLedger;
use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

impl FleetPlanner {
    /// Records that the next list comes from a store that has begun a new era, so that its
    /// entries may be older than the known ones.
    pub fn record_new_era(&mut self) {
        self.is_restored = true;
    }

    /// Sets the data centres to whose engines nothing is sent. The next list of engines
    /// applies it.
    pub fn set_evacuations(&mut self, evacuations: &EvacuationView) {
        self.evacuations = evacuations.clone();
    }

    /// Updates the ledgers from the registry, and removes those of engines that are not in
    /// it or are evacuated.
    ///
    /// The ledger of an engine that returns from an evacuation is new, so the engine gets
    /// no order before a report. It may have restarted, or carried out orders late.
    pub fn update_registry(&mut self, engines: &[Arc<EngineEntry>]) {
        let ids: HashSet<&EndpointId> = engines.iter().map(|entry| &entry.id).collect();
        let is_evacuated = |entry: &&Arc<EngineEntry>| !self.evacuations.allows(&entry.data_centre);
        self.evacuated =
            engines.iter().filter(is_evacuated).map(|entry| entry.id.clone()).collect();
        let evacuated = &self.evacuated;
        self.engines.retain(|id, _| ids.contains(id) && !evacuated.contains(id));
        self.limits.retain(|id, _| ids.contains(id));
        let is_restored = std::mem::take(&mut self.is_restored);
        for entry in engines.iter().filter(|entry| !evacuated.contains(&entry.id)) {
            self.engines
                .entry(entry.id.clone())
                .and_modify(|ledger| ledger.update_entry(entry, is_restored))
                .or_insert_with(|| EngineLedger::new(entry.clone()));
        }
    }

    /// Returns whether an engine is listed, and in an evacuated data centre.
    pub fn is_evacuated(&self, engine: &EndpointId) -> bool {
        self.evacuated.contains(engine)
    }

    /// Sets or removes the request rate that an engine takes, in requests per second.
    pub fn set_engine_limit(&mut self, engine: &EndpointId, limit: Option<f64>) {
        match limit {
            Some(limit) => self.limits.insert(engine.clone(), limit),
            None => self.limits.remove(engine),
        };
    }
}
