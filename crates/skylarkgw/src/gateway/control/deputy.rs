//! Asks deputies, and answers as one.

use std::time::Duration;

use spdlog::info;

use crate::decision::coordinator::KnowledgeAge;
use crate::decision::declaration_confirmation::is_confirmed_by;
use crate::decision::deputies::StoreAccess;
use crate::decision::freshness::STORE_READ_AGE;
use crate::decision::store_order::StoreStamp;
use crate::gateway::clock::time_since_boot;
use crate::gateway::control::{ControlContext, lock};
use crate::gateway::peers::{CoordinatorClient, DeputyAnswer, DeputyQuestion};
use crate::gateway::state::RegistrySource;

impl ControlContext {
    /// Returns whether this host needs what the coordinator does not tell it, and asks
    /// deputies for that.
    pub(super) fn asks_deputies(&self, now: Duration) -> bool {
        let guide = lock(&self.guide);
        guide.is_needed() && guide.access(now) == StoreAccess::Deputy
    }

    /// Answers the question of another host with what this one knows.
    pub fn answer_question(&self, question: DeputyQuestion) -> DeputyAnswer {
        let now = time_since_boot();
        let declaration = self.state.snapshot.load().declaration.clone();
        let revision = declaration.as_ref().map_or(0, |declaration| declaration.revision);
        let (stamp, engines) = {
            let directory = lock(&self.directory);
            let stamp = directory.stamp();
            let (own, known) = (stamp.position, question.registry_position);
            // The asking host decides on a copy of another era.
            let is_newer = own.era != known.era || own.revision > known.revision;
            (stamp, is_newer.then(|| directory.engines(now).cloned().collect()))
        };
        let shared = lock(&self.evacuations).share(now);
        let lease = lock(&self.lease);
        let coordinator = if lease.token(now).is_some() {
            Some((self.state.settings.host.clone(), self.state.settings.peers))
        } else {
            lease.coordinator().filter(|_| self.has_contact(now))
        };
        DeputyAnswer {
            coordinator,
            age: KnowledgeAge {
                revision,
                declaration: self.state.declaration_age(now),
                registry: now.saturating_sub(stamp.as_of),
                registry_position: stamp.position,
                evacuations: shared.as_ref().map(|shared| shared.age),
            },
            declaration: declaration.filter(|_| revision > question.revision),
            engines,
            evacuations: shared.map(|shared| shared.evacuations),
        }
    }

    /// Asks a deputy if that is due, and applies its answer.
    pub(super) async fn consult_deputy(&self) {
        let sent_at = time_since_boot();
        if !self.asks_deputies(sent_at) {
            return;
        }
        let Some(address) = lock(&self.guide).begin_question(sent_at) else { return };
        let question = DeputyQuestion {
            revision: self.state.snapshot.load().revision(),
            registry_position: lock(&self.directory).stamp().position,
        };
        let answer = match CoordinatorClient::open(address).await {
            Some(client) => client.ask_deputy(question).await,
            None => None,
        };
        let now = time_since_boot();
        let looks_for_coordinator = !self.has_contact(now);
        let is_current = answer.as_ref().is_some_and(|answer| {
            let names_coordinator = looks_for_coordinator && answer.coordinator.is_some();
            let is_recent = answer.age.declaration <= STORE_READ_AGE
                && !self.needs_evacuations(false, Some(&answer.age));
            names_coordinator || is_recent
        });
        lock(&self.guide).end_question(now, answer.is_some(), is_current);
        self.state.metrics.fleet.count_exchange(match &answer {
            Some(_) if is_current => "deputy-current",
            Some(_) => "deputy-outdated",
            None => "deputy-silent",
        });
        if let Some(answer) = answer {
            self.apply_answer(sent_at, answer);
        }
    }

    /// Applies the answer of a deputy to a question that was sent at `sent_at`.
    fn apply_answer(&self, sent_at: Duration, answer: DeputyAnswer) {
        if let Some((holder, address)) = answer.coordinator {
            let mut lease = lock(&self.lease);
            if lease.coordinator().is_none_or(|(known, _)| known != holder) {
                let holder = holder.to_string();
                info!("coordinator named by a deputy", kv: { holder });
            }
            lease.record_coordinator(holder, address);
        }
        if let Some(declaration) = answer.declaration {
            self.apply_declaration(declaration);
        }
        let revision = self.state.snapshot.load().revision();
        if is_confirmed_by(revision, answer.age.revision) {
            self.state.record_declaration_time(sent_at.saturating_sub(answer.age.declaration));
        }
        let as_of = sent_at.saturating_sub(answer.age.registry);
        let stamp = StoreStamp { position: answer.age.registry_position, as_of };
        let now = time_since_boot();
        self.record_named_era(now, stamp.position.era);
        let is_used = {
            let mut directory = lock(&self.directory);
            match answer.engines {
                Some(engines) => directory.update_from_coordinator(now, stamp, engines),
                None if directory.stamp().position == stamp.position => {
                    directory.record_unchanged(stamp);
                    self.state.record_registry_time(directory.stamp().as_of);
                    false
                }
                None => false,
            }
        };
        if is_used {
            self.record_registry_copy(RegistrySource::Deputy, stamp, true);
        }
        self.apply_shared_evacuations(
            sent_at,
            answer.age.evacuations,
            answer.evacuations.as_deref(),
            RegistrySource::Deputy,
        );
        self.publish_engines();
    }
}
