//! Prompt parts that crash engines, as hosts and the coordinator find them.

use std::collections::HashMap;

use skylarkgw::decision::coordinator::{Coordinator, HostReport};
use skylarkgw::decision::prompt_evidence::hash_shared_parts;
use skylarkgw::decision::prompt_guard::PromptGuard;
use skylarkgw::decision::quota_pool::{PoolStart, QuotaTolerance};
use skylarkgw::ids::PartHash;

use crate::samples::ms;

/// Interval between two exchanges of a host, in milliseconds.
const EXCHANGE_MS: u64 = 100;

/// Hosts with a coordinator.
struct PromptFleet {
    coordinator: Coordinator,
    hosts: Vec<PromptGuard>,
    now: u64,
}

fn new_coordinator(now: u64, token: u64) -> Coordinator {
    let tolerance = QuotaTolerance { window: ms(8_000), overshoot: 0.1, slack_tokens: 17_000.0 };
    Coordinator::new(ms(now), token, tolerance, PoolStart::AfterLoss)
}

/// Returns the shared parts of a prompt with these parts and a last one of its own.
fn prompt(parts: &[&str]) -> Vec<PartHash> {
    hash_shared_parts(parts.iter().copied().chain(["own"]).collect::<Vec<_>>().into_iter())
}

impl PromptFleet {
    fn new(hosts: usize) -> PromptFleet {
        let hosts = (0..hosts).map(|_| PromptGuard::default()).collect();
        PromptFleet { coordinator: new_coordinator(0, 1), hosts, now: 0 }
    }

    /// Lets every host exchange reports for a time, in milliseconds.
    fn exchange_for(&mut self, duration: u64) {
        for _ in 0..duration / EXCHANGE_MS {
            self.now += EXCHANGE_MS;
            for (number, guard) in self.hosts.iter_mut().enumerate() {
                let report = HostReport {
                    host: format!("edge-{number}").into(),
                    prompts: guard.build_report(ms(self.now)),
                    ..HostReport::default()
                };
                let reply = self.coordinator.exchange(ms(self.now), report);
                guard.apply_reply(reply.prompts);
            }
        }
    }

    fn answer(&mut self, host: usize, parts: &[&str]) {
        self.hosts[host].record_answer(ms(self.now), &prompt(parts));
    }

    fn crash(&mut self, host: usize, engine: &str, parts: &[&str]) {
        self.hosts[host].record_crash(ms(self.now), &engine.into(), &prompt(parts));
    }

    /// Returns the parts of which requests are refused by all hosts.
    fn refused_parts(&self, names: &[&'static str]) -> Vec<&'static str> {
        let state = self.coordinator.quarantine_state();
        let refused: HashMap<_, _> = state.refused.into_iter().collect();
        let is_refused = |name: &&str| refused.contains_key(&prompt(&[name])[0]);
        names.iter().copied().filter(is_refused).collect()
    }
}

// Guards against requests with one part in their prompts that end engine after engine.
#[test]
fn part_that_requests_of_several_hosts_share_is_refused_after_five_crashes() {
    let mut fleet = PromptFleet::new(4);
    fleet.answer(0, &["system", "subject"]);
    for crash in 0..5 {
        let engine = format!("i-{crash}");
        fleet.crash(crash % 4, &engine, &["system", "bad"]);
        // Another request was about to begin on the same engine.
        fleet.crash((crash + 1) % 4, &engine, &["system", &format!("new-{crash}")]);
        fleet.exchange_for(200);
    }
    fleet.exchange_for(3_000);
    assert_eq!(fleet.refused_parts(&["bad", "system", "subject", "new-0", "new-4"]), ["bad"]);
}
