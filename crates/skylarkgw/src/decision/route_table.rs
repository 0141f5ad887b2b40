//! Looks up the route and the workspace of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::decision::dispatch::urgency::UrgencyTable;
use crate::gateway::declaration::{FleetDeclaration, RouteRule, WorkspaceRule};

/// Index of routes by host name, longest path prefix first, and of workspaces by
/// key.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
    /// Workspaces by key; empty also if keys are needed and none is valid.
    workspaces: HashMap<Arc<str>, Arc<WorkspaceRule>>,
    urgencies: UrgencyTable,
}

impl RouteTable {
    /// Builds the table from a declaration.
    pub fn new(declaration: &FleetDeclaration) -> RouteTable {
        let mut routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in &declaration.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            routes.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let workspaces = declaration
            .iter_workspaces()
            .map(|workspace| Arc::new(workspace.clone()))
            .flat_map(|workspace| {
                let keys = workspace.keys.clone();
                keys.into_iter().map(move |key| (key, workspace.clone()))
            })
            .collect();
        RouteTable { routes, workspaces, urgencies: UrgencyTable::new(declaration) }
    }

    /// Returns the route of `host` with the longest path prefix that matches
    /// `path`.
    ///
    /// Host names are compared without regard to ASCII case, and a port in `host` is
    /// ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the workspace to which `key` belongs.
    pub fn find_workspace(&self, key: &str) -> Option<&Arc<WorkspaceRule>> {
        self.workspaces.get(key)
    }

    /// Returns the urgencies of the requests of all services.
    pub fn urgencies(&self) -> &UrgencyTable {
        &self.urgencies
    }
}
