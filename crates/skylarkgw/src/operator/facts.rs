//! Builds the tables that queries select from.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Value, json};

use crate::configuration::{EndpointKind, FleetConfiguration, HeadDocument};
use crate::decision::shares::ShareLedger;
use crate::ids::ModelName;
use crate::operator::language::FactKind;
use crate::operator::table::FactTable;
use crate::operator_api::{EndpointView, HostStatus};

/// Everything that was read for a query.
#[derive(Clone, Debug, Default)]
pub struct FactBase {
    /// What is accepted.
    pub head: HeadDocument,
    /// What the hosts that answered say.
    pub statuses: Vec<HostStatus>,
    /// Who owns which part of the allowances.
    pub ledger: ShareLedger,
}

impl FactBase {
    /// Builds the table of what is accepted.
    pub fn accepted(&self, kind: FactKind) -> FactTable {
        let configuration = &self.head.configuration;
        match kind {
            FactKind::Adapters => adapters(configuration),
            FactKind::Changes => changes(&self.head),
            FactKind::Endpoints => endpoints(configuration),
            FactKind::Hosts => self.hosts(),
            FactKind::Keys => keys(configuration),
            FactKind::Models => models(configuration),
            FactKind::Routes => routes(configuration),
            FactKind::Shares => shares(&self.ledger),
            FactKind::Workspaces => workspaces(configuration),
        }
    }

    /// Builds the table of what hosts and endpoints report.
    pub fn now(&self, kind: FactKind) -> FactTable {
        match kind {
            FactKind::Endpoints => self.endpoints_now(),
            FactKind::Hosts => self.hosts(),
            FactKind::Models => self.models_now(),
            other => self.accepted(other),
        }
    }

    /// Builds the table of what is accepted but does not hold now.
    pub fn difference(&self, kind: FactKind) -> FactTable {
        let mut table = FactTable::new(&["kind", "name", "accepted", "now"]);
        if matches!(kind, FactKind::Hosts | FactKind::Changes) {
            self.hosts_behind(&mut table);
        }
        if matches!(kind, FactKind::Models | FactKind::Adapters) {
            self.models_missing(&mut table);
        }
        if kind == FactKind::Endpoints {
            self.endpoints_unreachable(&mut table);
        }
        table
    }

    /// Returns the engines that report a model, by the first host's view.
    pub fn serving(&self, model: &str) -> Vec<&EndpointView> {
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

    fn hosts(&self) -> FactTable {
        let mut table =
            FactTable::new(&["host", "data_centre", "phase", "revision", "address", "incarnation"]);
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

    fn endpoints_now(&self) -> FactTable {
        let mut table =
            FactTable::new(&["endpoint", "host", "reachable", "requests", "in_flight", "models"]);
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

    fn models_now(&self) -> FactTable {
        let mut engines: BTreeMap<&(ModelName, Arc<str>), BTreeSet<&str>> = BTreeMap::new();
        for view in self.statuses.iter().flat_map(|status| &status.endpoints) {
            for replica in view.models.iter().filter(|_| view.reachable) {
                engines.entry(replica).or_default().insert(&view.endpoint);
            }
        }
        let mut table = FactTable::new(&["model", "version", "replicas", "engines"]);
        table.rows = engines
            .iter()
            .map(|((model, version), engines)| {
                vec![json!(model), json!(version), json!(engines.len()), json!(engines)]
            })
            .collect();
        table
    }

    fn hosts_behind(&self, table: &mut FactTable) {
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

    fn models_missing(&self, table: &mut FactTable) {
        for (model, spec) in &self.head.configuration.models {
            let serving = self.serving(model).len();
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

    fn endpoints_unreachable(&self, table: &mut FactTable) {
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

fn rows<'a, T: 'a>(
    table: &mut FactTable,
    items: impl Iterator<Item = T>,
    row: impl Fn(T) -> Vec<Value>,
) {
    table.rows = items.map(row).collect();
}

fn adapters(configuration: &FleetConfiguration) -> FactTable {
    let mut table = FactTable::new(&["adapter", "base"]);
    rows(&mut table, configuration.adapters.iter(), |(name, spec)| {
        vec![json!(name), json!(spec.base)]
    });
    table
}

fn changes(head: &HeadDocument) -> FactTable {
    let mut table = FactTable::new(&["revision", "change", "author", "accepted_at", "summary"]);
    rows(&mut table, head.history.iter(), |record| {
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

fn endpoints(configuration: &FleetConfiguration) -> FactTable {
    let mut table =
        FactTable::new(&["endpoint", "kind", "address", "data_centre", "slots", "leaving"]);
    rows(&mut table, configuration.endpoints.iter(), |(name, spec)| {
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

fn keys(configuration: &FleetConfiguration) -> FactTable {
    let mut table = FactTable::new(&["key", "workspace"]);
    rows(&mut table, configuration.keys.iter(), |(hash, spec)| {
        vec![json!(hash), json!(spec.workspace)]
    });
    table
}

fn models(configuration: &FleetConfiguration) -> FactTable {
    let mut table = FactTable::new(&["model", "version", "next", "memory_mb", "replicas"]);
    rows(&mut table, configuration.models.iter(), |(name, spec)| {
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

fn routes(configuration: &FleetConfiguration) -> FactTable {
    let mut table = FactTable::new(&["route", "endpoints", "open", "idempotent"]);
    rows(&mut table, configuration.routes.iter(), |(name, spec)| {
        let patterns = spec.idempotent.iter();
        let patterns: Vec<String> =
            patterns.map(|pattern| format!("{}{}", pattern.method, pattern.path)).collect();
        vec![json!(name), json!(spec.endpoints), json!(spec.open), json!(patterns)]
    });
    table
}

fn shares(ledger: &ShareLedger) -> FactTable {
    let mut table = FactTable::new(&["owner", "parts"]);
    rows(&mut table, ledger.parts.iter(), |(owner, parts)| vec![json!(owner), json!(parts)]);
    table
}

fn workspaces(configuration: &FleetConfiguration) -> FactTable {
    let mut table = FactTable::new(&["workspace", "rate", "burst", "cut_streams"]);
    rows(&mut table, configuration.workspaces.iter(), |(name, spec)| {
        vec![json!(name), json!(spec.rate), json!(spec.burst), json!(spec.cut_streams)]
    });
    table
}
