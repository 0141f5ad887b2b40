//! Keeps the placement of models out of evacuated data centres.

use std::sync::Arc;

use crate::decision::coordinator::Coordinator;
use crate::decision::evacuations::EvacuationView;
use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

impl Coordinator {
    /// Sets the data centres to whose engines nothing is sent. The models of which the last
    /// replica is there count as lost.
    pub fn set_evacuations(&mut self, evacuations: &EvacuationView) {
        self.planner.set_evacuations(evacuations);
        let engines: Vec<Arc<EngineEntry>> = self.listed.values().cloned().collect();
        let is_new = |engine: &&EndpointId| !self.planner.has_engine(engine);
        let returning: Vec<EndpointId> = self.listed.keys().filter(is_new).cloned().collect();
        self.planner.update_registry(&engines);
        let is_leaving = |engine: &&EndpointId| self.statements.is_leaving(engine);
        for engine in returning.iter().filter(is_leaving) {
            self.planner.set_engine_leaving(engine);
        }
        self.refresh_notices();
    }

    /// Returns whether an engine is in an evacuated data centre.
    pub fn is_evacuated(&self, engine: &EndpointId) -> bool {
        self.planner.is_evacuated(engine)
    }
}
