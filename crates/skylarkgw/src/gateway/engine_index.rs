//! Engines by service and by model, for the selection of one.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::declaration::ServiceName;
use crate::gateway::registry::EngineEntry;
use crate::ids::ModelName;

/// The engines of a service, sorted by identifier.
#[derive(Debug, Default, Eq, PartialEq)]
struct ServiceEngines {
    all: Vec<Arc<EngineEntry>>,
    by_model: HashMap<ModelName, Vec<Arc<EngineEntry>>>,
}

/// The engines of all services.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct EngineIndex {
    services: HashMap<ServiceName, ServiceEngines>,
}

impl EngineIndex {
    /// Indexes engines.
    pub fn new(mut engines: Vec<Arc<EngineEntry>>) -> EngineIndex {
        engines.sort_by(|a, b| a.id.cmp(&b.id));
        let mut index = EngineIndex::default();
        for engine in engines {
            let service = index.services.entry(engine.service.clone()).or_default();
            for held in &engine.models {
                service.by_model.entry(held.name.clone()).or_default().push(engine.clone());
            }
            service.all.push(engine);
        }
        index
    }

    /// Returns whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the engines of a service; if `model` is given, only those that hold it.
    pub fn find(&self, service: &ServiceName, model: Option<&ModelName>) -> &[Arc<EngineEntry>] {
        let Some(engines) = self.services.get(service) else { return &[] };
        match model {
            Some(model) => engines.by_model.get(model).map(Vec::as_slice).unwrap_or_default(),
            None => &engines.all,
        }
    }
}
