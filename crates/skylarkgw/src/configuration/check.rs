//! Validation of a configuration before it is accepted.

use std::sync::Arc;

use thiserror::Error;

use crate::configuration::{EndpointKind, FleetConfiguration};
use crate::ids::{EndpointId, KeyHash, ModelName, WorkspaceId};

/// An error that makes a configuration invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigurationError {
    /// A model and an adapter have the same name.
    #[error("'{0}' is the name of a model and of an adapter")]
    DuplicateName(ModelName),
    /// An adapter extends a model that is not declared.
    #[error("adapter '{adapter}' extends model '{base}', which is not declared")]
    UnknownBaseModel {
        /// The adapter.
        adapter: ModelName,
        /// The undeclared model.
        base: ModelName,
    },
    /// A key belongs to a workspace that is not declared.
    #[error("key {hash} belongs to workspace '{workspace}', which is not declared")]
    UnknownWorkspace {
        /// Keyed hash of the key.
        hash: KeyHash,
        /// The undeclared workspace.
        workspace: WorkspaceId,
    },
    /// A route names an endpoint that is not a declared plain service.
    #[error("route '{route}' names '{endpoint}', which is not a declared service")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The endpoint that is not a declared service.
        endpoint: EndpointId,
    },
    /// A route would shadow a path of the model API.
    #[error("route '{0}' is reserved for the model API")]
    ReservedRoute(Arc<str>),
    /// A workspace has a rate or burst of zero. With a burst of zero, no request could
    /// be admitted; with a rate of zero, none after the burst is spent.
    #[error("workspace '{0}' has a rate or burst of zero")]
    ZeroAllowance(WorkspaceId),
    /// The address of an endpoint is not an IP address and port.
    #[error("address '{address}' of endpoint '{endpoint}' is not an IP address and port number")]
    InvalidAddress {
        /// The endpoint.
        endpoint: EndpointId,
        /// The invalid address.
        address: Arc<str>,
    },
}

/// First path segments of the model APIs.
const RESERVED_ROUTES: [&str; 2] = ["v1", "v2"];

impl FleetConfiguration {
    /// Validates names, references between objects, limits and addresses.
    ///
    /// # Errors
    ///
    /// Returns the first [`ConfigurationError`] found.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        self.check_models()?;
        self.check_workspaces()?;
        self.check_endpoints()?;
        self.check_routes()
    }

    fn check_models(&self) -> Result<(), ConfigurationError> {
        for (adapter, spec) in &self.adapters {
            if self.models.contains_key(adapter) {
                return Err(ConfigurationError::DuplicateName(adapter.clone()));
            }
            if !self.models.contains_key(&spec.base) {
                let (adapter, base) = (adapter.clone(), spec.base.clone());
                return Err(ConfigurationError::UnknownBaseModel { adapter, base });
            }
        }
        Ok(())
    }

    fn check_workspaces(&self) -> Result<(), ConfigurationError> {
        for (name, spec) in &self.workspaces {
            if spec.rate == 0 || spec.burst == 0 {
                return Err(ConfigurationError::ZeroAllowance(name.clone()));
            }
        }
        for (hash, spec) in &self.keys {
            if !self.workspaces.contains_key(&spec.workspace) {
                let (hash, workspace) = (hash.clone(), spec.workspace.clone());
                return Err(ConfigurationError::UnknownWorkspace { hash, workspace });
            }
        }
        Ok(())
    }

    fn check_endpoints(&self) -> Result<(), ConfigurationError> {
        for (endpoint, spec) in &self.endpoints {
            if spec.address.parse::<std::net::SocketAddr>().is_err() {
                let (endpoint, address) = (endpoint.clone(), spec.address.clone());
                return Err(ConfigurationError::InvalidAddress { endpoint, address });
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
                return Err(ConfigurationError::UnknownService { route, endpoint });
            }
        }
        Ok(())
    }
}
