//! Checks a configuration before it is accepted.

use std::sync::Arc;

use thiserror::Error;

use crate::configuration::{EndpointKind, FleetConfiguration};
use crate::ids::{EndpointId, KeyHash, ModelName, WorkspaceId};

/// Why a configuration cannot be accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigurationError {
    /// A name is used for a model and for an adapter.
    #[error("'{0}' names a model and an adapter")]
    NameTwice(ModelName),
    /// An adapter extends a model that is not declared.
    #[error("adapter '{adapter}' extends model '{base}', which is not declared")]
    NoBase {
        /// The adapter.
        adapter: ModelName,
        /// The missing model.
        base: ModelName,
    },
    /// A key belongs to a workspace that is not declared.
    #[error("key {hash} belongs to workspace '{workspace}', which is not declared")]
    NoWorkspace {
        /// The key's hash.
        hash: KeyHash,
        /// The missing workspace.
        workspace: WorkspaceId,
    },
    /// A route names an endpoint that is not a declared plain service.
    #[error("route '{route}' names '{endpoint}', which is not a declared service")]
    NoService {
        /// The route.
        route: Arc<str>,
        /// The missing endpoint.
        endpoint: EndpointId,
    },
    /// A route hides a path of the model interface.
    #[error("route '{0}' cannot be used: it is the path of the model interface")]
    ReservedRoute(Arc<str>),
    /// A workspace has no burst, so that it could never be served.
    #[error("workspace '{0}' has a rate or burst of zero")]
    NoAllowance(WorkspaceId),
    /// An endpoint's address is not an IP number and port.
    #[error("endpoint '{endpoint}' has the address '{address}', which is no IP number and port")]
    BadAddress {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: Arc<str>,
    },
}

const RESERVED_ROUTES: [&str; 2] = ["v1", "v2"];

impl FleetConfiguration {
    /// Checks that all references can be followed and all limits be met.
    ///
    /// # Errors
    ///
    /// The first [`ConfigurationError`] found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.check_models()?;
        self.check_workspaces()?;
        self.check_endpoints()?;
        self.check_routes()
    }

    fn check_models(&self) -> Result<(), ConfigurationError> {
        for (adapter, spec) in &self.adapters {
            if self.models.contains_key(adapter) {
                return Err(ConfigurationError::NameTwice(adapter.clone()));
            }
            if !self.models.contains_key(&spec.base) {
                let (adapter, base) = (adapter.clone(), spec.base.clone());
                return Err(ConfigurationError::NoBase { adapter, base });
            }
        }
        Ok(())
    }

    fn check_workspaces(&self) -> Result<(), ConfigurationError> {
        for (name, spec) in &self.workspaces {
            if spec.rate == 0 || spec.burst == 0 {
                return Err(ConfigurationError::NoAllowance(name.clone()));
            }
        }
        for (hash, spec) in &self.keys {
            if !self.workspaces.contains_key(&spec.workspace) {
                let (hash, workspace) = (hash.clone(), spec.workspace.clone());
                return Err(ConfigurationError::NoWorkspace { hash, workspace });
            }
        }
        Ok(())
    }

    fn check_endpoints(&self) -> Result<(), ConfigurationError> {
        for (endpoint, spec) in &self.endpoints {
            if spec.address.parse::<std::net::SocketAddr>().is_err() {
                let (endpoint, address) = (endpoint.clone(), spec.address.clone());
                return Err(ConfigurationError::BadAddress { endpoint, address });
            }
        }
        Ok(())
    }

    fn check_routes(&self) -> Result<(), ConfigurationError> {
        for (route, spec) in &self.routes {
            if RESERVED_ROUTES.contains(&&**route) {
                return Err(ConfigurationError::ReservedRoute(route.clone()));
            }
            let is_service = |endpoint: &&EndpointId| {
                let spec = self.endpoints.get(*endpoint);
                spec.is_some_and(|spec| spec.kind == EndpointKind::Service)
            };
            if let Some(endpoint) = spec.endpoints.iter().find(|endpoint| !is_service(endpoint)) {
                let (route, endpoint) = (route.clone(), endpoint.clone());
                return Err(ConfigurationError::NoService { route, endpoint });
            }
        }
        Ok(())
    }
}
