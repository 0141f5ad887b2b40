//! What must hold around a restore of the store.

use std::collections::{BTreeMap, HashMap, HashSet};

use skylarkgw::decision::freshness::READY_MAX_AGE;
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase};
use skylarkgw::ids::{EndpointId, HostId};

use crate::samples::ms;
use crate::store_restores::fleet::{EngineState, RestoreModel};
use crate::store_restores::host::{LEASE_DURATION, REVOCATION};
use crate::store_restores::store::EraStatement;

/// Time within which what the store has accepted is in force at a healthy host, in ms.
const APPLY_MS: u64 = 2_000;
/// Time that a host needs to find the coordinator or the store after a disturbance, in ms.
const RETURN_MS: u64 = 2_000;
/// Time within which healthy hosts trust the store after a restore, in ms.
const SETTLED_MS: u64 = 5_500;
/// Longest time without orders at the end of a run if the store does not state its eras in
/// order, in ms. Answers without an era may end the lease again and again.
const MAX_PAUSE_MS: u64 = 20_000;

/// The checks of one run, with what they remember.
#[derive(Default)]
pub struct FleetChecks {
    /// Broken promises, each with its first breach.
    pub broken: Vec<(&'static str, String)>,
    /// Terms of the lease by token.
    terms: BTreeMap<u64, (HostId, u64)>,
    /// Time of the last step in which a host could give orders, in ms.
    last_orders: HashMap<HostId, u64>,
}

fn is_usable(entry: &EngineEntry) -> bool {
    entry.phase == EnginePhase::Ready && entry.leaves_in.is_none()
}

impl FleetChecks {
    fn record(&mut self, model: &mut RestoreModel, promise: &'static str, breach: String) {
        if self.broken.iter().all(|(broken, _)| *broken != promise) {
            model.log(format!("BROKEN {promise}: {breach}"));
            let at = model.events.last().cloned().unwrap_or_default();
            self.broken.push((promise, at));
        }
    }

    /// Checks what holds at any time.
    pub fn check_step(&mut self, model: &mut RestoreModel) {
        // A store that does not state its eras in order is followed without these.
        if model.store.statement != EraStatement::Rising {
            let now = model.now;
            let mut taken = Vec::new();
            for host in model.hosts.iter_mut().filter(|host| host.is_running(now)) {
                let token = host.lease.token(ms(now));
                if token.is_some() && host.checked_token != token {
                    let term = (&host.name, host.incarnation);
                    taken.push(format!("{term:?} takes the lease with token {token:?}"));
                }
                host.checked_token = token;
                if host.lease.order_token(ms(now)).is_some() {
                    self.last_orders.insert(host.name.clone(), now);
                }
            }
            taken.into_iter().for_each(|event| model.log(event));
            return;
        }
        let mut breaches = Vec::new();
        self.check_lease(model, &mut breaches);
        check_engines(model, &mut breaches);
        check_declaration(model, &mut breaches);
        for (promise, breach) in breaches {
            self.record(model, promise, breach);
        }
    }

    fn check_lease(
        &mut self,
        model: &mut RestoreModel,
        breaches: &mut Vec<(&'static str, String)>,
    ) {
        let now = model.now;
        let mut holders = Vec::new();
        let mut taken = Vec::new();
        for host in model.hosts.iter_mut().filter(|host| host.is_running(now)) {
            let token = host.lease.token(ms(now));
            if let Some(token) = token.filter(|_| host.checked_token != token) {
                let highest = self.terms.last_key_value().map_or(0, |(highest, _)| *highest);
                let term = (host.name.clone(), host.incarnation);
                taken.push(format!("{term:?} takes the lease with token {token}"));
                if let Some(former) = self.terms.get(&token) {
                    breaches.push(("token once", format!("{token}: {former:?}, {term:?}")));
                } else if token < highest {
                    breaches.push(("token rises", format!("{token} of {term:?} after {highest}")));
                }
                self.terms.insert(token, term);
            }
            host.checked_token = token;
            holders.extend(token.map(|_| host.name.clone()));
            if host.lease.order_token(ms(now)).is_none() {
                continue;
            }
            let lease_ms = LEASE_DURATION.as_millis() as u64;
            let others = self.last_orders.iter().filter(|(name, _)| **name != host.name);
            for (other, at) in others.filter(|(_, at)| **at + lease_ms > now) {
                let pause = now - at;
                let breach = format!("{} orders {pause} ms after {other}", host.name);
                breaches.push(("pause between holders", breach));
            }
            self.last_orders.insert(host.name.clone(), now);
        }
        taken.into_iter().for_each(|event| model.log(event));
        if holders.len() > 1 {
            breaches.push(("one holder", format!("{holders:?}")));
        }
    }

    /// Checks what holds once all faults are over.
    pub fn check_end(&mut self, model: &mut RestoreModel) {
        let now = model.now;
        let serving: HashSet<(EndpointId, u64)> = model
            .engines
            .iter()
            .filter(|engine| engine.state == EngineState::Serving)
            .map(|engine| engine.key())
            .collect();
        let mut breaches = Vec::new();
        let orders = model.hosts.iter().filter(|host| host.lease.order_token(ms(now)).is_some());
        let orders = orders.count();
        let paused_since = self.last_orders.values().max().copied().unwrap_or_default();
        let is_led = match model.store.statement {
            EraStatement::Rising => orders == 1,
            _ => orders <= 1 && now <= paused_since + MAX_PAUSE_MS,
        };
        if !is_led {
            breaches.push(("a holder at the end", format!("{orders} hosts give orders")));
        }
        for host in &model.hosts {
            let listed = host.directory.engines(ms(now)).filter(|entry| is_usable(entry));
            let listed: HashSet<_> =
                listed.map(|entry| (entry.id.clone(), entry.started_ms)).collect();
            if listed != serving {
                let differing: Vec<_> = listed.symmetric_difference(&serving).collect();
                let stamp = host.directory.stamp();
                let source = host.source;
                let breach = format!("{}: {differing:?}, {stamp:?} from {source}", host.name);
                breaches.push(("engines at the end", breach));
            }
            let (revision, newest) = (host.declaration.revision, model.declaration.revision);
            let age = host.confirmed_age(now);
            if revision != newest || age > READY_MAX_AGE {
                let breach = format!("{}: {revision} of {newest}, age {age:?}", host.name);
                breaches.push(("declaration at the end", breach));
            }
        }
        for (promise, breach) in breaches {
            self.record(model, promise, breach);
        }
    }
}

/// Checks that retired engines stay retired where that is known, and that the entries in
/// the store are in force at healthy hosts.
fn check_engines(model: &mut RestoreModel, breaches: &mut Vec<(&'static str, String)>) {
    let now = model.now;
    let states: HashMap<(EndpointId, u64), EngineState> =
        model.engines.iter().map(|engine| (engine.key(), engine.state)).collect();
    // An engine whose name another one has taken is gone.
    let is_retired = |key: &(EndpointId, u64)| states.get(key) != Some(&EngineState::Serving);
    let mut changes = Vec::new();
    for host in model.hosts.iter_mut().filter(|host| host.is_running(now)) {
        let mut usable = HashSet::new();
        let mut listed = HashSet::new();
        for entry in host.directory.engines(ms(now)) {
            let key = (entry.id.clone(), entry.started_ms);
            if is_usable(entry) {
                usable.insert(key.clone());
            } else if is_retired(&key) {
                host.known_retired.insert(key.clone());
            }
            listed.insert(key);
        }
        for key in host.known_engines.difference(&listed).filter(|key| is_retired(key)) {
            host.known_retired.insert(key.clone());
        }
        for key in host.known_engines.union(&listed).filter(|key| is_retired(key)) {
            let view = match (listed.contains(key), usable.contains(key)) {
                (_, true) => "ready",
                (true, false) => "draining",
                (false, _) => "gone",
            };
            if host.views.insert(key.clone(), view) != Some(view) {
                let (name, source) = (&host.name, host.source);
                changes.push(format!("{key:?} is {view} at {name}, copy from {source}"));
            }
        }
        if let Some(key) = usable.intersection(&host.known_retired).next() {
            breaches.push(("retired engine stays so", format!("{}: {key:?}", host.name)));
        }
        host.known_engines.extend(listed);
        if !model.store.is_up() {
            continue;
        }
        for engine in &model.engines {
            let accepted_at = engine.accepted_at.filter(|at| *at >= model.store.up_since);
            let Some(accepted_at) = accepted_at else { continue };
            let is_due = now > accepted_at.max(host.healthy_since() + RETURN_MS) + APPLY_MS;
            let key = engine.key();
            let expected = match engine.state {
                EngineState::Serving => true,
                EngineState::Leaving(_) => false,
                EngineState::Gone => continue,
            };
            if is_due && usable.contains(&key) != expected {
                let (name, state) = (&host.name, engine.state);
                let late = now - accepted_at;
                let breach = format!("{name}: {key:?} {state:?}, {late} ms after its entry");
                breaches.push(("engine entry in force", breach));
            }
        }
    }
    changes.into_iter().for_each(|event| model.log(event));
}

/// Checks that withdrawn keys stay withdrawn and that the newest configuration in the
/// store is in force at healthy hosts.
fn check_declaration(model: &mut RestoreModel, breaches: &mut Vec<(&'static str, String)>) {
    let now = model.now;
    let revocation_ms = REVOCATION.as_millis() as u64;
    let newest = model.declaration.revision;
    for host in model.hosts.iter_mut().filter(|host| host.is_running(now)) {
        for key in host.accepted_keys(now).collect::<Vec<_>>() {
            let Some(withdrawn_at) = model.withdrawn.get(&key) else { continue };
            let late = now - withdrawn_at;
            let breach = format!("{}: key {key}, {late} ms after its withdrawal", host.name);
            if host.known_withdrawn.contains(&key) {
                breaches.push(("withdrawn key stays so", breach));
            } else if late > revocation_ms {
                breaches.push(("withdrawn key everywhere", breach));
            }
        }
        if host.declaration.revision > 0 {
            let withdrawn = model.withdrawn.keys().copied();
            let lacking = withdrawn.filter(|key| !host.declaration.keys.contains(key));
            host.known_withdrawn.extend(lacking);
        }
        let revision = host.declaration.revision;
        if revision < host.highest_revision {
            let breach = format!("{}: {revision} after {}", host.name, host.highest_revision);
            breaches.push(("declaration never goes back", breach));
        }
        host.highest_revision = host.highest_revision.max(revision);
        let healthy_since = host.healthy_since() + RETURN_MS;
        let (is_up, up_since) = (model.store.is_up(), model.store.up_since);
        if let Some(declared_at) = model.declared_at.filter(|at| is_up && *at >= up_since)
            && now > declared_at.max(healthy_since) + APPLY_MS
            && revision != newest
        {
            let breach = format!("{}: {revision} of {newest}", host.name);
            breaches.push(("declaration in force", breach));
        }
        let age = host.confirmed_age(now);
        if is_up && now > up_since.max(healthy_since) + SETTLED_MS && age > READY_MAX_AGE {
            breaches.push(("declaration confirmed", format!("{}: {age:?}", host.name)));
        }
    }
}
