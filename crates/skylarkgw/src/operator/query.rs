//! Tables that queries select from.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Value, json};

use crate::configuration::{EndpointKind, FleetConfiguration, HeadDocument};
use crate::decision::shares::ShareLedger;
use crate::ids::ModelName;
use crate::operator::language::TableKind;
use crate::operator::table::QueryTable;
use crate::operator_api::{EndpointView, HostStatus};

/// Data that was read from the platform and the hosts to answer a query.
#[derive(Clone, Debug, Default)]
pub struct QueryData {
    /// Accepted configuration and its change history.
    pub head: HeadDocument,
    /// Status reports of the hosts that responded.
    pub statuses: Vec<HostStatus>,
    /// Ownership of the parts of every allowance.
    pub ledger: ShareLedger,
}

impl QueryData {
    /// Builds the table of accepted objects of a kind.
    ///
    /// Hosts are not declared, so their table shows the reported members. The table of
    /// shares shows the ledger.
    pub fn build_accepted_table(&self, kind: TableKind) -> QueryTable {
        let configuration = &self.head.configuration;
        match kind {
            TableKind::Adapters => build_adapters_table(configuration),
            TableKind::Changes => build_changes_table(&self.head),
            TableKind::Endpoints => build_endpoints_table(configuration),
            TableKind::Hosts => self.build_hosts_table(),
            TableKind::Keys => build_keys_table(configuration),
            TableKind::Models => build_models_table(configuration),
            TableKind::Routes => build_routes_table(configuration),
            TableKind::Shares => build_shares_table(&self.ledger),
            TableKind::Workspaces => build_workspaces_table(configuration),
        }
    }

    /// Builds the table of what hosts and endpoints report for a kind.
    ///
    /// Kinds that are not reported show the accepted objects.
    pub fn build_current_table(&self, kind: TableKind) -> QueryTable {
        match kind {
            TableKind::Endpoints => self.build_current_endpoints(),
            TableKind::Hosts => self.build_hosts_table(),
            TableKind::Models => self.build_current_models(),
            other => self.build_accepted_table(other),
        }
    }

    /// Builds the table of differences between accepted and reported state.
    ///
    /// The table is empty for keys, routes, shares and workspaces.
    pub fn build_difference_table(&self, kind: TableKind) -> QueryTable {
        let mut table = QueryTable::new(&["kind", "name", "accepted", "now"]);
        if matches!(kind, TableKind::Hosts | TableKind::Changes) {
            self.add_lagging_hosts(&mut table);
        }
        if matches!(kind, TableKind::Models | TableKind::Adapters) {
            self.add_missing_models(&mut table);
        }
        if kind == TableKind::Endpoints {
            self.add_unreachable_endpoints(&mut table);
        }
        table
    }

    /// Returns the engines that serve the accepted version of a model, as reported
    /// by the first host that responded.
    pub fn serving_engines(&self, model: &str) -> Vec<&EndpointView> {
        let views = self.statuses.first().map(|status| status.endpoints.as_slice());
        let spec = self.head.configuration.models.get(model);
        let serves = |view: &&EndpointView| {
            let mut models = view.models.iter();
            models.any(|(name, version)| {
                &**name == model && spec.is_some_and(|spec| spec.version == *version)
            })
        };
        views.unwrap_or_default().iter().filter(serves).collect()
    }

    fn build_hosts_table(&self) -> QueryTable {
        let mut table = QueryTable::new(&[
            "host",
            "data_centre",
            "phase",
            "revision",
            "address",
            "incarnation",
        ]);
        let members = self.statuses.first().map(|status| status.members.as_slice());
        table.rows = members
            .unwrap_or_default()
            .iter()
            .map(|entry| {
                let phase = serde_json::to_value(entry.phase).unwrap_or_default();
                vec![
                    json!(entry.host),
                    json!(entry.data_centre),
                    phase,
                    json!(entry.revision),
                    json!(entry.address),
                    json!(entry.incarnation),
                ]
            })
            .collect();
        table
    }

    fn build_current_endpoints(&self) -> QueryTable {
        let mut table =
            QueryTable::new(&["endpoint", "host", "reachable", "requests", "in_flight", "models"]);
        for status in &self.statuses {
            for view in &status.endpoints {
                table.rows.push(vec![
                    json!(view.endpoint),
                    json!(status.host),
                    json!(view.reachable),
                    json!(view.requests),
                    json!(view.in_flight),
                    json!(view.models),
                ]);
            }
        }
        table
    }

    fn build_current_models(&self) -> QueryTable {
        let mut engines: BTreeMap<&(ModelName, Arc<str>), BTreeSet<&str>> = BTreeMap::new();
        for view in self.statuses.iter().flat_map(|status| &status.endpoints) {
            for model_version in view.models.iter().filter(|_| view.reachable) {
                engines.entry(model_version).or_default().insert(&view.endpoint);
            }
        }
        let mut table = QueryTable::new(&["model", "version", "replicas", "engines"]);
        table.rows = engines
            .iter()
            .map(|((model, version), engines)| {
                vec![json!(model), json!(version), json!(engines.len()), json!(engines)]
            })
            .collect();
        table
    }

    fn add_lagging_hosts(&self, table: &mut QueryTable) {
        let accepted = self.head.configuration.revision;
        let members = self.statuses.first().map(|status| status.members.as_slice());
        for entry in members.unwrap_or_default() {
            if entry.revision < accepted {
                let row =
                    vec![json!("host"), json!(entry.host), json!(accepted), json!(entry.revision)];
                table.rows.push(row);
            }
        }
    }

    fn add_missing_models(&self, table: &mut QueryTable) {
        for (model, spec) in &self.head.configuration.models {
            let serving = self.serving_engines(model).len();
            if serving < spec.replicas as usize {
                let accepted = format!("version {} on {}", spec.version, spec.replicas);
                let now = format!("on {serving}");
                table.rows.push(vec![json!("model"), json!(model), json!(accepted), json!(now)]);
            }
            if let Some(next) = &spec.next {
                let accepted = format!("version {next} to come");
                let now = format!("version {}", spec.version);
                table.rows.push(vec![json!("model"), json!(model), json!(accepted), json!(now)]);
            }
        }
    }

    fn add_unreachable_endpoints(&self, table: &mut QueryTable) {
        for status in &self.statuses {
            for view in status.endpoints.iter().filter(|view| !view.reachable) {
                let now = format!("unreachable from {}", status.host);
                let row =
                    vec![json!("endpoint"), json!(view.endpoint), json!("declared"), json!(now)];
                table.rows.push(row);
            }
        }
    }
}

/// Sets the rows of a table, one per item.
fn set_rows<'a, T: 'a>(
    table: &mut QueryTable,
    items: impl Iterator<Item = T>,
    build_row: impl Fn(T) -> Vec<Value>,
) {
    table.rows = items.map(build_row).collect();
}

fn build_adapters_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table = QueryTable::new(&["adapter", "base"]);
    set_rows(&mut table, configuration.adapters.iter(), |(name, spec)| {
        vec![json!(name), json!(spec.base)]
    });
    table
}

fn build_changes_table(head: &HeadDocument) -> QueryTable {
    let mut table = QueryTable::new(&["revision", "change", "author", "accepted_at", "summary"]);
    set_rows(&mut table, head.history.iter(), |record| {
        vec![
            json!(record.revision),
            json!(record.id),
            json!(record.author),
            json!(record.accepted_at),
            json!(record.summary),
        ]
    });
    table
}

fn build_endpoints_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table =
        QueryTable::new(&["endpoint", "kind", "address", "data_centre", "slots", "leaving"]);
    set_rows(&mut table, configuration.endpoints.iter(), |(name, spec)| {
        let kind = match spec.kind {
            EndpointKind::Engine => "engine",
            EndpointKind::Service => "service",
        };
        vec![
            json!(name),
            json!(kind),
            json!(spec.address),
            json!(spec.data_centre),
            json!(spec.slots),
            json!(spec.leaving),
        ]
    });
    table
}

fn build_keys_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table = QueryTable::new(&["key", "workspace"]);
    set_rows(&mut table, configuration.keys.iter(), |(hash, spec)| {
        vec![json!(hash), json!(spec.workspace)]
    });
    table
}

fn build_models_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table = QueryTable::new(&["model", "version", "next", "memory_mb", "replicas"]);
    set_rows(&mut table, configuration.models.iter(), |(name, spec)| {
        vec![
            json!(name),
            json!(spec.version),
            json!(spec.next),
            json!(spec.memory_mb),
            json!(spec.replicas),
        ]
    });
    table
}

fn build_routes_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table = QueryTable::new(&["route", "endpoints", "open", "idempotent"]);
    set_rows(&mut table, configuration.routes.iter(), |(name, spec)| {
        let patterns = spec.idempotent.iter();
        let patterns: Vec<String> =
            patterns.map(|pattern| format!("{}{}", pattern.method, pattern.path)).collect();
        vec![json!(name), json!(spec.endpoints), json!(spec.open), json!(patterns)]
    });
    table
}

fn build_shares_table(ledger: &ShareLedger) -> QueryTable {
    let mut table = QueryTable::new(&["owner", "parts"]);
    set_rows(&mut table, ledger.parts.iter(), |(owner, parts)| vec![json!(owner), json!(parts)]);
    table
}

fn build_workspaces_table(configuration: &FleetConfiguration) -> QueryTable {
    let mut table = QueryTable::new(&["workspace", "rate", "burst", "cut_streams"]);
    set_rows(&mut table, configuration.workspaces.iter(), |(name, spec)| {
        vec![json!(name), json!(spec.rate), json!(spec.burst), json!(spec.cut_streams)]
    });
    table
}
