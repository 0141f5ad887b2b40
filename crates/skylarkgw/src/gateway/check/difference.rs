//! Differences between two declarations, in words.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use crate::gateway::check::DeclarationEntry;
use crate::gateway::declaration::{
    ClientLimits, FleetDeclaration, GenerationRule, ModelRule, RouteRule, ServiceRule,
    WorkspaceRule,
};

/// One difference between two declarations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclarationChange {
    /// The entry that differs.
    pub entry: DeclarationEntry,
    /// What differs. It contains no key.
    pub text: Arc<str>,
}

/// Returns what changes from `former` to `latter`, in the order of the kinds of entries and
/// of their names.
pub fn compare_declarations(
    former: &FleetDeclaration,
    latter: &FleetDeclaration,
) -> Vec<DeclarationChange> {
    let mut log = ChangeLog::default();
    let whole = DeclarationEntry::Declaration;
    log.compare(&whole, "version", &former.revision, &latter.revision);
    if latter.revision <= former.revision {
        log.push(&whole, "the version does not rise, so it will not come into force".to_owned());
    }
    let (required, latter_required) = (former.requires_keys(), latter.requires_keys());
    log.compare(&whole, "keys required", &required, &latter_required);
    let routes = |declaration: &FleetDeclaration| {
        index(declaration.routes.iter().cloned().map(|route| (route.name.clone(), route)))
    };
    let entry = |name: &Arc<str>| DeclarationEntry::Route(name.clone());
    log.compare_maps(&routes(former), &routes(latter), entry, compare_routes);
    let services = |declaration: &FleetDeclaration| {
        index(declaration.services.iter().map(|(name, rule)| (name.clone(), rule.clone())))
    };
    let entry = |name: &Arc<str>| DeclarationEntry::Service(name.clone());
    log.compare_maps(&services(former), &services(latter), entry, compare_services);
    let workspaces = |declaration: &FleetDeclaration| {
        index(declaration.iter_workspaces().cloned().map(|rule| (rule.name.clone(), rule)))
    };
    let entry = |name: &Arc<str>| DeclarationEntry::Workspace(name.clone());
    log.compare_maps(&workspaces(former), &workspaces(latter), entry, compare_workspaces);
    compare_limits(&mut log, &former.limits, &latter.limits);
    log.changes
}

fn index<T>(entries: impl Iterator<Item = (Arc<str>, T)>) -> BTreeMap<Arc<str>, T> {
    entries.collect()
}

#[derive(Default)]
struct ChangeLog {
    changes: Vec<DeclarationChange>,
}

impl ChangeLog {
    fn push(&mut self, entry: &DeclarationEntry, text: String) {
        self.changes.push(DeclarationChange { entry: entry.clone(), text: text.into() });
    }

    /// Records a field whose values differ.
    fn compare<T: Debug + PartialEq>(
        &mut self,
        entry: &DeclarationEntry,
        field: &str,
        former: &T,
        latter: &T,
    ) {
        if former != latter {
            self.push(entry, format!("{field} changes from {former:?} to {latter:?}"));
        }
    }

    /// Records entries that are added or removed, and compares those in both.
    fn compare_maps<T>(
        &mut self,
        former: &BTreeMap<Arc<str>, T>,
        latter: &BTreeMap<Arc<str>, T>,
        entry: impl Fn(&Arc<str>) -> DeclarationEntry,
        compare: impl Fn(&mut ChangeLog, &DeclarationEntry, &T, &T),
    ) {
        for name in former.keys().filter(|name| !latter.contains_key(*name)) {
            self.push(&entry(name), "is removed".to_owned());
        }
        for (name, value) in latter {
            match former.get(name) {
                Some(former) => compare(self, &entry(name), former, value),
                None => self.push(&entry(name), "is added".to_owned()),
            }
        }
    }
}

fn compare_routes(
    log: &mut ChangeLog,
    entry: &DeclarationEntry,
    former: &RouteRule,
    latter: &RouteRule,
) {
    let targets = |route: &RouteRule| -> Vec<(Arc<str>, u32)> {
        route.targets.iter().map(|target| (target.service.clone(), target.weight)).collect()
    };
    log.compare(entry, "host", &former.host, &latter.host);
    log.compare(entry, "path prefix", &former.path_prefix, &latter.path_prefix);
    log.compare(entry, "services and weights", &targets(former), &targets(latter));
    log.compare(entry, "event stream", &former.is_stream, &latter.is_stream);
    log.compare(entry, "repetition", &former.repeat, &latter.repeat);
    log.compare(entry, "time limit", &former.timeout, &latter.timeout);
    log.compare(entry, "objective", &former.latency_objective, &latter.latency_objective);
    log.compare(entry, "attempts", &former.attempt_limit, &latter.attempt_limit);
    log.compare(entry, "rank", &former.rank, &latter.rank);
    log.compare(entry, "open to all", &former.is_public, &latter.is_public);
    log.compare(entry, "allowed regions", &former.allowed_regions, &latter.allowed_regions);
}

fn compare_services(
    log: &mut ChangeLog,
    entry: &DeclarationEntry,
    former: &ServiceRule,
    latter: &ServiceRule,
) {
    log.compare(entry, "connections", &former.connection_limit, &latter.connection_limit);
    log.compare(entry, "cold time", &former.cold_start, &latter.cold_start);
    log.compare(entry, "cold rate", &former.cold_requests_per_s, &latter.cold_requests_per_s);
    match (&former.generation, &latter.generation) {
        (Some(former), Some(latter)) => compare_generation(log, entry, former, latter),
        (None, None) => {}
        (former, _) => {
            let text = if former.is_some() { "no longer generates" } else { "now generates" };
            log.push(entry, format!("{text} tokens"));
        }
    }
}

fn compare_generation(
    log: &mut ChangeLog,
    entry: &DeclarationEntry,
    former: &GenerationRule,
    latter: &GenerationRule,
) {
    log.compare(entry, "memory of an engine in MB", &former.weights_mb, &latter.weights_mb);
    log.compare(entry, "adapters on an engine", &former.adapter_slots, &latter.adapter_slots);
    let (loads, latter_loads) = (former.store_loads_per_s, latter.store_loads_per_s);
    log.compare(entry, "loads per second", &loads, &latter_loads);
    let models = |rule: &GenerationRule| {
        index(rule.models.iter().cloned().map(|model| (model.name.clone(), model)))
    };
    let DeclarationEntry::Service(service) = entry else { return };
    let model_entry = |name: &Arc<str>| DeclarationEntry::Model(service.clone(), name.clone());
    log.compare_maps(&models(former), &models(latter), model_entry, compare_models);
}

fn compare_models(
    log: &mut ChangeLog,
    entry: &DeclarationEntry,
    former: &ModelRule,
    latter: &ModelRule,
) {
    log.compare(entry, "weights in MB", &former.weights_mb, &latter.weights_mb);
    log.compare(entry, "load time", &former.store_load, &latter.store_load);
    log.compare(entry, "adapter in MB", &former.adapter_mb, &latter.adapter_mb);
}

fn compare_workspaces(
    log: &mut ChangeLog,
    entry: &DeclarationEntry,
    former: &WorkspaceRule,
    latter: &WorkspaceRule,
) {
    let added = latter.keys.iter().filter(|key| !former.keys.contains(key)).count();
    let withdrawn = former.keys.iter().filter(|key| !latter.keys.contains(key)).count();
    if added > 0 {
        log.push(entry, format!("{added} keys are added"));
    }
    if withdrawn > 0 {
        log.push(entry, format!("{withdrawn} keys are withdrawn"));
    }
    log.compare(entry, "rank", &former.rank, &latter.rank);
    log.compare(entry, "tokens per second", &former.tokens_per_s, &latter.tokens_per_s);
    log.compare(entry, "burst in tokens", &former.burst_tokens, &latter.burst_tokens);
    log.compare(entry, "tokens without a count", &former.default_tokens, &latter.default_tokens);
    log.compare(entry, "counts requests", &former.counts_requests, &latter.counts_requests);
    log.compare(entry, "allowed regions", &former.allowed_regions, &latter.allowed_regions);
}

fn compare_limits(log: &mut ChangeLog, former: &ClientLimits, latter: &ClientLimits) {
    let entry = DeclarationEntry::Limits;
    log.compare(&entry, "longest head in bytes", &former.header_bytes, &latter.header_bytes);
    log.compare(&entry, "longest body in bytes", &former.body_bytes, &latter.body_bytes);
    log.compare(&entry, "time for a head", &former.header_timeout, &latter.header_timeout);
    log.compare(&entry, "idle time", &former.idle_timeout, &latter.idle_timeout);
}
