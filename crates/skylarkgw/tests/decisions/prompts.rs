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
                guard.apply_reply(ms(self.now), reply.prompts, reply.trials);
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

/// Reports a crash of each of `count` engines on a prompt with these parts.
fn crash_engines(fleet: &mut PromptFleet, count: usize, parts: &[&str]) {
    for crash in 0..count {
        let (host, engine) = (crash % fleet.hosts.len(), format!("i-{}-{crash}", fleet.now));
        fleet.crash(host, &engine, parts);
        fleet.exchange_for(200);
    }
    fleet.exchange_for(1_000);
}

impl PromptFleet {
    /// Returns the hosts that would forward a prompt with this part now.
    fn forwarding_hosts(&mut self, part: &str) -> usize {
        let now = ms(self.now);
        let parts = prompt(&["system", part]);
        self.hosts
            .iter_mut()
            .map(|guard| usize::from(guard.begin_attempt(now, &parts).is_none()))
            .sum()
    }

    /// Replaces the coordinator by one that knows nothing.
    fn replace_coordinator(&mut self, token: u64) {
        self.coordinator = new_coordinator(self.now, token);
    }
}

// Guards against the refusal of sound requests that share the other parts.
#[test]
fn part_of_answered_prompts_is_not_refused() {
    let mut fleet = PromptFleet::new(4);
    for _ in 0..8 {
        fleet.answer(3, &["system"]);
        crash_engines(&mut fleet, 1, &["system", "bad"]);
    }
    assert_eq!(fleet.refused_parts(&["bad", "system"]), ["bad"]);
    assert_eq!(fleet.forwarding_hosts("sound"), 4);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
}

// Guards against the refusal of parts that were only beside engines that ended for
// another reason.
#[test]
fn crashes_without_a_common_part_refuse_nothing() {
    let mut fleet = PromptFleet::new(4);
    for crash in 0..12 {
        crash_engines(&mut fleet, 1, &["system", &format!("new-{crash}")]);
        fleet.answer(crash % 4, &["system"]);
    }
    assert!(fleet.coordinator.quarantine_state().refused.is_empty());
}

// Guards against the refusal of a part that occurs only beside the one that crashes
// engines, and of neither.
#[test]
fn of_parts_that_occur_together_one_is_refused_and_the_next_after_another_crash() {
    let mut fleet = PromptFleet::new(4);
    crash_engines(&mut fleet, 3, &["bad", "beside"]);
    let refused = fleet.refused_parts(&["bad", "beside"]);
    assert_eq!(refused, ["beside"]);
    crash_engines(&mut fleet, 1, &["bad", "other"]);
    assert_eq!(fleet.refused_parts(&["bad", "beside", "other"]), ["bad", "beside"]);
}

// Guards against forgetting refused parts and evidence with the coordinator.
#[test]
fn next_coordinator_and_new_hosts_keep_the_evidence() {
    let mut fleet = PromptFleet::new(4);
    crash_engines(&mut fleet, 2, &["system", "bad"]);
    fleet.replace_coordinator(2);
    fleet.exchange_for(300);
    crash_engines(&mut fleet, 1, &["system", "bad"]);
    assert_eq!(fleet.refused_parts(&["bad"]), ["bad"]);
    fleet.replace_coordinator(3);
    fleet.hosts.push(PromptGuard::default());
    fleet.exchange_for(300);
    assert_eq!(fleet.refused_parts(&["bad"]), ["bad"]);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
}

// Guards against engines that end while no coordinator replies, and against the refusal
// by all hosts of what one host has held back.
#[test]
fn host_without_a_coordinator_holds_back_the_parts_that_it_has_observed() {
    let mut fleet = PromptFleet::new(2);
    fleet.answer(0, &["system"]);
    fleet.exchange_for(300);
    fleet.now += 2_000;
    assert_eq!(fleet.forwarding_hosts("bad"), 2);
    fleet.crash(0, "i-0", &["system", "bad"]);
    assert_eq!(fleet.forwarding_hosts("bad"), 1);
    assert_eq!(fleet.forwarding_hosts("sound"), 2);
    fleet.exchange_for(300);
    assert_eq!(fleet.forwarding_hosts("bad"), 2);
    fleet.now += 2_000;
    fleet.crash(0, "i-1", &["system", "bad"]);
    fleet.crash(1, "i-2", &["system", "bad"]);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
    fleet.exchange_for(1_000);
    assert_eq!(fleet.refused_parts(&["system", "bad"]), ["bad"]);
}

// Guards against a refusal without end, and against trials that cost several engines.
#[test]
fn expired_refusal_ends_with_a_trial_of_one_request() {
    let mut fleet = PromptFleet::new(4);
    crash_engines(&mut fleet, 3, &["system", "bad"]);
    for term in [600_000, 1_200_000] {
        fleet.now += term - 10_000;
        fleet.exchange_for(300);
        assert_eq!(fleet.forwarding_hosts("bad"), 0);
        fleet.exchange_for(300);
        assert_eq!(fleet.forwarding_hosts("bad"), 0, "before the end of {term} ms");
        fleet.now += 20_000;
        assert_eq!(fleet.forwarding_hosts("bad"), 0);
        fleet.exchange_for(300);
        assert_eq!(fleet.forwarding_hosts("bad"), 1);
        fleet.exchange_for(300);
        assert_eq!(fleet.forwarding_hosts("bad"), 0);
        let engine = format!("i-{}", fleet.now);
        fleet.crash(0, &engine, &["system", "bad"]);
        fleet.exchange_for(300);
    }
    fleet.now += 2_400_000;
    fleet.exchange_for(300);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
    fleet.exchange_for(300);
    assert_eq!(fleet.forwarding_hosts("bad"), 1);
    fleet.answer(1, &["system", "bad"]);
    fleet.exchange_for(300);
    assert_eq!(fleet.forwarding_hosts("bad"), 4);
}

// Guards against memory that grows with the number of invented parts.
#[test]
fn reports_and_state_are_bounded_with_invented_parts() {
    let mut fleet = PromptFleet::new(2);
    for crash in 0..400 {
        let names: Vec<String> = (0..300).map(|part| format!("p{crash}-{part}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        fleet.crash(0, &format!("i-{crash}"), &names);
        fleet.answer(1, &names);
    }
    let report = fleet.hosts[0].build_report(ms(0));
    assert!(report.crashes.len() <= 128, "{}", report.crashes.len());
    assert!(report.crashes.iter().all(|crash| crash.parts.len() <= 64));
    fleet.exchange_for(300);
    let state = fleet.coordinator.quarantine_state();
    assert!(state.suspects.len() <= 256, "{}", state.suspects.len());
}

// Guards against the refusal of a common part while crashes follow one another so fast
// that no prompt with it is answered in between.
#[test]
fn part_that_was_answered_of_late_is_refused_last() {
    let mut fleet = PromptFleet::new(4);
    fleet.answer(0, &["system"]);
    fleet.exchange_for(200);
    for crash in 0..2 {
        fleet.crash(1, &format!("other-{crash}"), &["system"]);
    }
    crash_engines(&mut fleet, 3, &["bad", "system"]);
    assert_eq!(fleet.refused_parts(&["bad", "system"]), ["bad"]);
}

// Guards against invented parts that crowd the suspects out that hosts could clear.
#[test]
fn suspects_of_several_crashes_are_sent_among_invented_parts() {
    let mut fleet = PromptFleet::new(2);
    let names: Vec<String> = (0..600).map(|part| format!("invented-{part}")).collect();
    for (crash, names) in names.chunks(60).enumerate() {
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        fleet.crash(0, &format!("i-{crash}"), &names);
    }
    fleet.crash(0, "i-0", &["system"]);
    fleet.crash(0, "i-1", &["system"]);
    fleet.exchange_for(300);
    let state = fleet.coordinator.quarantine_state();
    assert!(state.suspects.contains(&prompt(&["system"])[0]));
}

// Guards against a second trial with a permission that was not used in time.
#[test]
fn trial_that_is_not_used_expires() {
    let mut fleet = PromptFleet::new(2);
    crash_engines(&mut fleet, 3, &["system", "bad"]);
    fleet.now += 610_000;
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
    // The permission arrives.
    fleet.exchange_for(200);
    fleet.exchange_for(40_000);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
}

// Guards against engines that end after a new coordinator has replied and before it has
// weighed the evidence of all hosts.
#[test]
fn suspect_part_is_held_back_until_a_new_coordinator_has_weighed_the_evidence() {
    let mut fleet = PromptFleet::new(4);
    fleet.exchange_for(2_000);
    (0..4).for_each(|host| fleet.answer(host, &["system", "sound"]));
    for crash in 0..2 {
        fleet.crash(crash, &format!("i-{crash}"), &["system", "bad"]);
    }
    fleet.exchange_for(200);
    fleet.now += 2_700;
    fleet.crash(2, "i-2", &["system", "bad"]);
    assert_eq!(fleet.forwarding_hosts("bad"), 0);
    fleet.replace_coordinator(2);
    for _ in 0..20 {
        fleet.exchange_for(100);
        assert_eq!(fleet.forwarding_hosts("bad"), 0, "at {} ms", fleet.now);
        assert_eq!(fleet.forwarding_hosts("sound"), 4, "at {} ms", fleet.now);
    }
    assert_eq!(fleet.refused_parts(&["bad", "system", "sound"]), ["bad"]);
}

// Guards against the refusal of a sound part whose prompts happened to be on engines
// that ended for another reason.
#[test]
fn part_that_was_answered_of_late_is_refused_after_five_crashes() {
    let mut fleet = PromptFleet::new(4);
    fleet.answer(0, &["system", "subject"]);
    fleet.exchange_for(200);
    crash_engines(&mut fleet, 4, &["subject"]);
    assert!(fleet.refused_parts(&["subject"]).is_empty());
    crash_engines(&mut fleet, 1, &["subject"]);
    assert_eq!(fleet.refused_parts(&["subject"]), ["subject"]);
}

/// Guards against refused parts that reach engines again because a new coordinator started
/// with a lease record from before the latest refusals.
#[test]
fn coordinator_with_an_older_record_does_not_shorten_refusals() {
    let mut fleet = PromptFleet::new(3);
    let (longer, later) = (prompt(&["longer"]), prompt(&["later"]));
    let refused = [(longer[0], ms(900_000)), (later[0], ms(600_000))];
    fleet.coordinator.adopt_refused(ms(0), &refused);
    fleet.exchange_for(2_000);
    fleet.coordinator = new_coordinator(fleet.now, 2);
    fleet.coordinator.adopt_refused(ms(fleet.now), &[(longer[0], ms(5_000))]);
    fleet.hosts.push(PromptGuard::default());
    // The new host has read the older record as well.
    fleet.hosts[3].adopt_refused(ms(fleet.now), &[(longer[0], ms(5_000))]);
    fleet.exchange_for(2_000);
    for guard in &mut fleet.hosts {
        for (parts, remaining) in [(&longer, ms(890_000)), (&later, ms(590_000))] {
            let refusal = guard.find_refusal(ms(fleet.now), parts);
            assert!(refusal.is_some_and(|delay| delay > remaining), "{refusal:?}");
        }
    }
}
