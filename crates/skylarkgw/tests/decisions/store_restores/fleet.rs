//! A simulated fleet around a store that is restored from older copies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use skylarkgw::decision::coordinator::{CoordinatorReply, HostReport};
use skylarkgw::decision::coordinator_lease::LeaseAction;
use skylarkgw::decision::store_order::{StorePosition, StoreStamp};
use skylarkgw::gateway::ports::LeaseAnswer;
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase};

use crate::samples::{engine, ms};
use crate::store_restores::checks::FleetChecks;
use crate::store_restores::host::{PeerAnswer, SimulatedHost};
use crate::store_restores::store::{EraStatement, KeyDeclaration, MAX_LOST_MS, SimulatedStore};

const STEP_MS: u64 = 20;
/// Time at which the simulation starts. The machines have run for a while.
pub const START_MS: u64 = 100_000;
/// Time during which faults begin.
const FAULTS_MS: u64 = 45_000;
/// Time without faults at the end. A store that states no era is followed once its
/// revisions have passed those that it lost.
const CALM_MS: (u64, u64) = (16_000, 60_000);
/// Longest time in which the operator and the engines write again what a restored store
/// has lost.
pub const REWRITE_MS: u64 = 2_000;
const LEASE_POLL_MS: u64 = 60;
const EXCHANGE_MS: u64 = 80;
/// Longest time to wait for the reply to a report.
const EXCHANGE_TIMEOUT_MS: u64 = 300;
const READ_MS: u64 = 240;
const LEASE_CALL_TIMEOUT_MS: u64 = 1_000;
const CHECK_IN_MS: u64 = 1_200;
/// Longest delay of answers of the store and of peers.
const MAX_DELAY_MS: u64 = 3_000;

/// What is true of an engine, whatever the store says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineState {
    Serving,
    /// It leaves at a time in ms.
    Leaving(u64),
    Gone,
}

/// A simulated engine, which keeps its entry in the store.
#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    pub entry: EngineEntry,
    pub state: EngineState,
    /// Whether the store has not accepted the last change of the state.
    is_unwritten: bool,
    check_in_due: u64,
    /// Time since which the store has had the present entry, in ms.
    pub accepted_at: Option<u64>,
}

enum Message {
    Registry(u64, StorePosition, Vec<EngineEntry>),
    Declaration(u64, StorePosition, KeyDeclaration),
    Lease(u64, LeaseAnswer),
    /// Report of a host, by its index and incarnation, with the time of sending.
    Report((usize, u64), u64, Box<HostReport>),
    Reply(u64, Box<CoordinatorReply>, KeyDeclaration),
    Question((usize, u64), u64, StorePosition),
    Answer(u64, PeerAnswer),
}

/// The simulated fleet.
pub struct RestoreModel {
    pub rng: ChaCha8Rng,
    pub now: u64,
    pub store: SimulatedStore,
    pub hosts: Vec<SimulatedHost>,
    pub engines: Vec<SimulatedEngine>,
    /// The newest configuration of the operator.
    pub declaration: KeyDeclaration,
    /// Times at which the store first accepted the withdrawal of keys, in ms.
    pub withdrawn: BTreeMap<u32, u64>,
    /// Time since which the store has had the newest configuration, in ms.
    pub declared_at: Option<u64>,
    pub events: Vec<String>,
    declaration_due: u64,
    /// Time up to which conditional writes take effect late or get no answer, in ms.
    lost_writes_until: u64,
    restores: Vec<u64>,
    messages: Vec<(u64, (usize, u64), Message)>,
    /// Faults that are still to come, by time in ms.
    faults: Vec<(u64, HostFault)>,
    writes_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
enum HostFault {
    /// Some or most hosts are killed.
    Kill(f64),
    KillHolder,
    FreezeHolder,
    Freeze,
    CutStore,
    CutAll,
    LateAnswers,
    LostWrites,
}

impl RestoreModel {
    /// Creates a fleet with its faults, among them restores of the store if `has_restores`
    /// is set.
    pub fn new(seed: u64, statement: EraStatement, has_restores: bool) -> RestoreModel {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let declaration = KeyDeclaration { revision: 1, keys: (0..12).collect() };
        let is_new = statement == EraStatement::Rising && rng.random_bool(0.5);
        let era = if is_new { 0 } else { 5 };
        let hosts = rng.random_range(3..=5);
        let engines = (0..8).map(|number| new_engine(number, START_MS)).collect();
        let mut model = RestoreModel {
            now: START_MS,
            store: SimulatedStore::new(statement, era, START_MS, declaration.clone()),
            hosts: (0..hosts).map(|index| SimulatedHost::new(index, 1, START_MS)).collect(),
            engines,
            declaration,
            withdrawn: BTreeMap::new(),
            declared_at: Some(START_MS),
            events: Vec::new(),
            declaration_due: START_MS + 3_000,
            lost_writes_until: 0,
            restores: Vec::new(),
            messages: Vec::new(),
            faults: Vec::new(),
            writes_per_s: rng.random_range(0.0..6.0),
            rng,
        };
        model.draw_faults();
        if !has_restores {
            model.restores.clear();
        }
        model
    }

    fn draw_faults(&mut self) {
        let mut at = START_MS + self.rng.random_range(7_000..14_000);
        for _ in 0..self.rng.random_range(1..=3) {
            self.restores.push(at);
            // Faults as the store goes, while it is away and shortly after.
            for (share, fault) in [
                (0.4, HostFault::KillHolder),
                (0.4, HostFault::FreezeHolder),
                (0.3, HostFault::Kill(0.7)),
                (0.4, HostFault::CutStore),
                (0.3, HostFault::CutAll),
                (0.4, HostFault::LateAnswers),
                (0.4, HostFault::LostWrites),
            ] {
                if self.rng.random_bool(share) {
                    let offset = self.rng.random_range(0..6_000);
                    self.faults.push((at + offset - 2_500, fault));
                }
            }
            at += self.rng.random_range(5_000..14_000);
        }
        for _ in 0..8 {
            let at = START_MS + self.rng.random_range(3_000..FAULTS_MS);
            let fault = match self.rng.random_range(0..8) {
                0 => HostFault::Kill(0.3),
                1 => HostFault::KillHolder,
                2 => HostFault::FreezeHolder,
                3 => HostFault::Freeze,
                4 => HostFault::CutStore,
                5 => HostFault::CutAll,
                6 => HostFault::LateAnswers,
                _ => HostFault::LostWrites,
            };
            self.faults.push((at, fault));
        }
    }

    pub fn log(&mut self, event: String) {
        self.events.push(format!("{:.2} s: {event}", (self.now - START_MS) as f64 / 1e3));
    }

    fn has_faults(&self) -> bool {
        self.now < START_MS + FAULTS_MS
    }

    /// Runs the fleet to the end and returns the broken promises.
    pub fn run(&mut self) -> Vec<(&'static str, String)> {
        let mut checks = FleetChecks::default();
        let is_stated = self.store.statement == EraStatement::Rising;
        let calm = if is_stated { CALM_MS.0 } else { CALM_MS.1 };
        let end = START_MS + FAULTS_MS + calm;
        while self.now < end {
            self.now += STEP_MS;
            self.advance_store();
            self.advance_engines();
            self.advance_operator();
            self.begin_faults();
            self.deliver_messages();
            self.advance_hosts();
            checks.check_step(self);
        }
        checks.check_end(self);
        checks.broken
    }

    fn advance_store(&mut self) {
        let now = self.now;
        if self.store.advance(now) {
            let contents = self.store.describe();
            self.log(format!("store restored: {contents}"));
            for engine in &mut self.engines {
                engine.check_in_due = now + self.rng.random_range(0..REWRITE_MS);
                engine.is_unwritten = engine.state != EngineState::Gone;
                engine.accepted_at = None;
            }
            self.declared_at = None;
            self.declaration_due = now + self.rng.random_range(0..REWRITE_MS);
        }
        if self.restores.first().is_some_and(|at| *at <= now) && self.store.is_up() {
            self.restores.remove(0);
            let down = self.rng.random_range(400..2_500);
            let lost = self.rng.random_range(1_000..MAX_LOST_MS);
            let contents = self.store.describe();
            self.log(format!("store lost for {down} ms, goes back {lost} ms: {contents}"));
            self.store.lose_changes(now, down, lost);
        }
        let share = self.writes_per_s * STEP_MS as f64 / 1e3;
        if self.store.is_up() && self.rng.random_bool(share) {
            self.store.count_change();
        }
    }

    /// Lets engines join, leave, crash and start again, and write their entries.
    fn advance_engines(&mut self) {
        let now = self.now;
        let is_changing = self.has_faults() && self.rng.random_bool(0.012);
        let serving: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].state == EngineState::Serving)
            .collect();
        if is_changing {
            let chosen = serving.get(self.rng.random_range(0..8)).copied();
            match chosen.filter(|_| serving.len() > 4) {
                Some(index) if self.rng.random_bool(0.75) => self.start_leaving(index),
                Some(index) => {
                    self.engines[index].state = EngineState::Gone;
                    let (id, started_ms) = self.engines[index].key();
                    self.log(format!("{id} ({started_ms}) crashes"));
                }
                None => self.add_engine(),
            }
        }
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            if let EngineState::Leaving(at) = engine.state
                && now >= at
            {
                engine.state = EngineState::Gone;
                if self.store.is_up() && self.store.find_entry(&engine.entry.id).is_some() {
                    let entry = self.store.find_entry(&engine.entry.id);
                    if entry.is_some_and(|entry| entry.started_ms == engine.entry.started_ms) {
                        self.store.remove_entry(&engine.entry.id);
                    }
                }
                let (id, started_ms) = self.engines[index].key();
                self.log(format!("{id} ({started_ms}) has left"));
            }
            let engine = &mut self.engines[index];
            let is_due = engine.state != EngineState::Gone && now >= engine.check_in_due;
            if is_due && self.store.is_up() {
                self.store.write_entry(now, engine.entry.clone());
                engine.check_in_due = now + CHECK_IN_MS;
                if std::mem::take(&mut engine.is_unwritten) {
                    engine.accepted_at = Some(now);
                }
            }
        }
    }

    fn start_leaving(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        engine.state = EngineState::Leaving(now + self.rng.random_range(2_500..9_000));
        if self.rng.random_bool(0.7) {
            engine.entry.phase = EnginePhase::Draining;
        } else {
            engine.entry.leaves_in = Some(Duration::from_secs(2));
        }
        (engine.is_unwritten, engine.accepted_at, engine.check_in_due) = (true, None, now);
        let (id, started_ms) = engine.key();
        self.log(format!("{id} ({started_ms}) begins to leave"));
    }

    /// Adds an engine, half of the time under the name of one that is gone.
    fn add_engine(&mut self) {
        let number = self.engines.len();
        let mut added = new_engine(number, self.now);
        let gone = self.engines.iter().position(|engine| engine.state == EngineState::Gone);
        match gone.filter(|_| self.rng.random_bool(0.5)) {
            Some(index) => {
                added.entry.id = self.engines[index].entry.id.clone();
                self.engines[index] = added.clone();
            }
            None => self.engines.push(added.clone()),
        }
        let (id, started_ms) = added.key();
        self.log(format!("{id} ({started_ms}) starts"));
    }

    /// Writes the newest configuration, again if the store has lost it.
    fn advance_operator(&mut self) {
        let now = self.now;
        if now < self.declaration_due || !self.store.is_up() {
            return;
        }
        if self.has_faults() && self.rng.random_bool(0.6) {
            self.declaration.revision += self.rng.random_range(1..4);
            let withdrawn = self.declaration.keys.iter().next().copied();
            if let Some(key) = withdrawn.filter(|_| self.rng.random_bool(0.5)) {
                self.declaration.keys.remove(&key);
                self.withdrawn.insert(key, now);
                self.log(format!("key {key} withdrawn in {}", self.declaration.revision));
            }
            self.declared_at = None;
        }
        if self.store.declaration() != &self.declaration {
            self.store.write_declaration(self.declaration.clone());
        }
        self.declared_at.get_or_insert(now);
        self.declaration_due = now + self.rng.random_range(1_000..6_000);
    }

    fn begin_faults(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.faults.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, fault) in due {
            let holder = self.hosts.iter().position(|host| host.lease.token(ms(now)).is_some());
            let drawn = self.rng.random_range(0..self.hosts.len());
            let lasting = self.rng.random_range(600..5_000);
            let until = now + lasting;
            self.log(format!("{fault:?} for {lasting} ms, host {drawn}, holder {holder:?}"));
            match fault {
                HostFault::Kill(share) => {
                    for index in 0..self.hosts.len() {
                        if self.rng.random_bool(share) {
                            self.restart(index);
                        }
                    }
                }
                HostFault::KillHolder => self.restart(holder.unwrap_or(drawn)),
                HostFault::FreezeHolder => {
                    self.hosts[holder.unwrap_or(drawn)].frozen_until = until;
                }
                HostFault::Freeze => self.hosts[drawn].frozen_until = until,
                HostFault::CutStore => self.hosts[drawn].store_cut_until = until,
                HostFault::CutAll => {
                    let host = &mut self.hosts[drawn];
                    (host.store_cut_until, host.peers_cut_until) = (until, until);
                }
                HostFault::LateAnswers => self.hosts[drawn].late_until = until,
                HostFault::LostWrites => self.lost_writes_until = until,
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let started_at = self.now + self.rng.random_range(200..2_500);
        let (incarnation, name) = (self.hosts[index].incarnation + 1, &self.hosts[index].name);
        let event = format!("{name} killed, starts at +{} ms", started_at - self.now);
        self.log(event);
        let cuts = (self.hosts[index].store_cut_until, self.hosts[index].peers_cut_until);
        let mut host = SimulatedHost::new(index, incarnation, started_at);
        (host.store_cut_until, host.peers_cut_until) = cuts;
        self.hosts[index] = host;
    }

    /// Returns the time at which an answer arrives at a host.
    fn draw_arrival(&mut self, index: usize) -> u64 {
        let is_late = self.now < self.hosts[index].late_until && self.rng.random_bool(0.5);
        let delay = if is_late { MAX_DELAY_MS } else { 40 };
        self.now + self.rng.random_range(4..delay)
    }

    fn send(&mut self, at: u64, receiver: (usize, u64), message: Message) {
        self.messages.push((at, receiver, message));
    }

    fn advance_hosts(&mut self) {
        let now = self.now;
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_running(now) {
                continue;
            }
            let receiver = (index, self.hosts[index].incarnation);
            self.step_lease(index, receiver);
            self.hosts[index].apply_token(now);
            if now >= self.hosts[index].exchange_due {
                self.hosts[index].exchange_due = now + EXCHANGE_MS;
                self.exchange(index, receiver);
            }
            if now >= self.hosts[index].read_due && self.hosts[index].needs_read(now) {
                self.hosts[index].read_due = now + READ_MS;
                self.read(index, receiver);
            }
            self.hosts[index].publish_engines(now);
        }
    }

    fn step_lease(&mut self, index: usize, receiver: (usize, u64)) {
        let now = self.now;
        if !now.is_multiple_of(LEASE_POLL_MS) || self.hosts[index].has_lease_call {
            return;
        }
        let has_contact = self.hosts[index].has_contact(now);
        let action = self.hosts[index].lease.step(ms(now), has_contact);
        if action == LeaseAction::Wait {
            return;
        }
        self.hosts[index].has_lease_call = true;
        let is_unreachable = !self.store.is_up() || now < self.hosts[index].store_cut_until;
        let is_lost = now < self.lost_writes_until && self.rng.random_bool(0.5);
        let (at, answer) = if is_unreachable {
            (now + 4, if is_lost { LeaseAnswer::Unknown } else { LeaseAnswer::Refused })
        } else if is_lost {
            // The write takes effect late, at once or never.
            match self.rng.random_range(0..3) {
                0 => {
                    let at = now + self.rng.random_range(100..6_000);
                    self.store.delay_write(at, &action);
                }
                1 => {
                    self.store.call_lease(&mut self.rng, &action);
                }
                _ => {}
            }
            (now + LEASE_CALL_TIMEOUT_MS, LeaseAnswer::Unknown)
        } else {
            let answer = self.store.call_lease(&mut self.rng, &action);
            (now + self.rng.random_range(4..40), answer)
        };
        self.send(at, receiver, Message::Lease(now, answer));
    }

    fn exchange(&mut self, index: usize, receiver: (usize, u64)) {
        let now = self.now;
        let report = self.hosts[index].build_report();
        if self.hosts[index].lease.token(ms(now)).is_some() {
            if let Some((reply, declaration)) = self.hosts[index].handle_report(now, report) {
                self.hosts[index].apply_reply(now, now, reply, declaration);
            }
            return;
        }
        let Some((holder, _)) = self.hosts[index].lease.coordinator() else { return };
        let Some(other) = self.find_host(&holder).filter(|other| *other != index) else { return };
        if self.are_connected(index, other) {
            let at = now + self.rng.random_range(2..20);
            let addressed = (other, self.hosts[other].incarnation);
            let host = &mut self.hosts[index];
            (host.report_sent, host.exchange_due) = (now, now + EXCHANGE_TIMEOUT_MS);
            self.send(at, addressed, Message::Report(receiver, now, Box::new(report)));
        }
    }

    fn find_host(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| &*host.name == name)
    }

    fn are_connected(&self, index: usize, other: usize) -> bool {
        let is_cut = |index: usize| self.now < self.hosts[index].peers_cut_until;
        !is_cut(index) && !is_cut(other) && self.now >= self.hosts[other].started_at
    }

    /// Reads the store, or asks another host for what it knows.
    fn read(&mut self, index: usize, receiver: (usize, u64)) {
        let now = self.now;
        let other = self.rng.random_range(0..self.hosts.len());
        let is_holder = self.hosts[index].lease.token(ms(now)).is_some();
        let asks = !is_holder && other != index && self.rng.random_bool(0.3);
        if asks && self.are_connected(index, other) {
            let position = self.hosts[index].directory.stamp().position;
            let addressed = (other, self.hosts[other].incarnation);
            self.send(now + 10, addressed, Message::Question(receiver, now, position));
        }
        if !self.store.is_up() || now < self.hosts[index].store_cut_until {
            self.hosts[index].directory.record_failure();
            return;
        }
        let position = self.store.state_position(&mut self.rng);
        let entries = self.store.list_entries();
        let at = self.draw_arrival(index);
        self.send(at, receiver, Message::Registry(now, position, entries));
        let position = self.store.state_position(&mut self.rng);
        let declaration = self.store.declaration().clone();
        let at = self.draw_arrival(index);
        self.send(at, receiver, Message::Declaration(now, position, declaration));
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        // A host that stands still gets its messages afterwards.
        let is_due = |(at, (index, _), _): &mut (u64, (usize, u64), Message)| {
            *at <= now && now >= hosts[*index].frozen_until
        };
        let mut due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        due.sort_by_key(|(at, ..)| *at);
        for (at, (index, incarnation), message) in due {
            let host = &self.hosts[index];
            if host.incarnation == incarnation && now >= host.started_at {
                self.deliver(at, index, message);
            }
        }
    }

    fn deliver(&mut self, at: u64, index: usize, message: Message) {
        let now = self.now;
        let host = &mut self.hosts[index];
        match message {
            Message::Registry(sent_at, position, entries) => {
                let stamp = StoreStamp { position, as_of: ms(sent_at) };
                host.apply_store_registry(now, stamp, entries);
            }
            Message::Declaration(sent_at, position, declaration) => {
                let stamp = StoreStamp { position, as_of: ms(sent_at) };
                host.apply_store_declaration(now, stamp, declaration);
            }
            Message::Lease(sent_at, answer) => {
                host.has_lease_call = false;
                host.apply_lease_answer(now, sent_at, answer);
                host.apply_token(now);
            }
            Message::Report(sender, sent_at, report) => match host.handle_report(now, *report) {
                Some((reply, declaration)) => {
                    let at = self.draw_arrival(sender.0);
                    let reply = Message::Reply(sent_at, Box::new(reply), declaration);
                    if self.are_connected(index, sender.0) {
                        self.send(at, sender, reply);
                    }
                }
                None if self.hosts[sender.0].incarnation == sender.1 => {
                    self.hosts[sender.0].lose_contact();
                }
                None => {}
            },
            Message::Reply(sent_at, reply, declaration) => {
                // Reports are exchanged one at a time.
                if at <= sent_at + EXCHANGE_TIMEOUT_MS && sent_at == host.report_sent {
                    host.exchange_due = now + EXCHANGE_MS;
                    host.apply_reply(now, sent_at, *reply, declaration);
                }
            }
            Message::Question(sender, sent_at, position) => {
                let answer = host.answer_peer(now, position);
                let at = self.draw_arrival(sender.0);
                self.send(at, sender, Message::Answer(sent_at, answer));
            }
            Message::Answer(sent_at, answer) => host.apply_peer_answer(now, sent_at, answer),
        }
    }
}

impl SimulatedEngine {
    /// Returns the name and the start time, which tell its runs apart.
    pub fn key(&self) -> (Arc<str>, u64) {
        (self.entry.id.clone(), self.entry.started_ms)
    }
}

fn new_engine(number: usize, now: u64) -> SimulatedEngine {
    let entry = EngineEntry { started_ms: now, ..(*engine(&format!("i-{number}"), &[])).clone() };
    SimulatedEngine {
        entry,
        state: EngineState::Serving,
        is_unwritten: true,
        check_in_due: now,
        accepted_at: None,
    }
}
