//! Check, from outside the hosts' state machines, that hosts refuse withdrawn
//! keys in time.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkgw::decision::membership::CONTACT_WINDOW;
use skylarkgw::ids::KeyHash;

use crate::network::TestNetwork;

/// Time within which all hosts must refuse a withdrawn key.
pub const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// The withdrawals of a scenario and the observations made of them.
#[derive(Debug, Default)]
pub(super) struct WithdrawalChecker {
    /// Number of observations of a host that accepted a withdrawn key later
    /// than [`WITHDRAWAL_LIMIT`], without those in `lost_withdrawals`.
    pub(super) late_keys: u64,
    /// Number of observations of a host that accepted a withdrawn key later
    /// than [`WITHDRAWAL_LIMIT`] because no source that it could reach had been
    /// able to report the withdrawal for long enough.
    ///
    /// Only hosts with contact within [`CONTACT_WINDOW`] count. A host without
    /// contact must not accept keys at all, so its observations are in
    /// `late_keys`.
    pub(super) lost_withdrawals: u64,
    withdrawals: Vec<KeyWithdrawal>,
    /// Last time at which each host reached the platform or half of the other
    /// hosts.
    last_contacts: BTreeMap<usize, Duration>,
}

#[derive(Debug)]
struct KeyWithdrawal {
    hash: KeyHash,
    at: Duration,
    learnable_spans: BTreeMap<usize, LearnableSpan>,
}

/// Period in which the platform or a running host could report a withdrawal to
/// a host, without a gap longer than [`WITHDRAWAL_LIMIT`].
#[derive(Clone, Copy, Debug)]
struct LearnableSpan {
    first: Duration,
    last: Duration,
}

impl LearnableSpan {
    /// Returns whether the host may have missed the withdrawal until now,
    /// because it has had no source for too long or has had one only for a
    /// short time.
    fn may_have_missed(self, now: Duration) -> bool {
        now.saturating_sub(self.last) > WITHDRAWAL_LIMIT
            || now.saturating_sub(self.first) <= WITHDRAWAL_LIMIT
    }
}

impl KeyWithdrawal {
    fn record_learnable(&mut self, host: usize, now: Duration) {
        let new_span = LearnableSpan { first: now, last: now };
        let span = self.learnable_spans.entry(host).or_insert(new_span);
        let has_gap = now.saturating_sub(span.last) > WITHDRAWAL_LIMIT;
        *span = if has_gap { new_span } else { LearnableSpan { last: now, ..*span } };
    }
}

impl WithdrawalChecker {
    /// Adds a withdrawal that a host has accepted.
    pub(super) fn record_withdrawal(&mut self, now: Duration, hash: KeyHash) {
        self.withdrawals.push(KeyWithdrawal { hash, at: now, learnable_spans: BTreeMap::new() });
    }

    /// Checks every running host against every withdrawal.
    pub(super) fn check(&mut self, network: &TestNetwork) {
        let now = network.now;
        let hosts = 0..network.hosts.len();
        for host in hosts.clone().filter(|host| network.is_running(*host)) {
            if network.reaches_platform(host) || network.reaches_half_of_members(host) {
                self.last_contacts.insert(host, now);
            }
        }
        for withdrawal in &mut self.withdrawals {
            for host in hosts.clone() {
                if network.can_learn_of(host, &withdrawal.hash) {
                    withdrawal.record_learnable(host, now);
                }
            }
            if now < withdrawal.at + WITHDRAWAL_LIMIT {
                continue;
            }
            for host in hosts.clone().filter(|host| network.accepts_key(*host, &withdrawal.hash)) {
                let span = withdrawal.learnable_spans.get(&host);
                let may_have_missed = span.is_none_or(|span| span.may_have_missed(now));
                // A host without recent contact must not serve, whether or not
                // it may have missed the withdrawal.
                let last_contact = self.last_contacts.get(&host);
                let had_contact =
                    last_contact.is_some_and(|at| now.saturating_sub(*at) <= CONTACT_WINDOW);
                if may_have_missed && had_contact {
                    self.lost_withdrawals += 1;
                } else {
                    self.late_keys += 1;
                }
            }
        }
    }
}

impl TestNetwork {
    fn reaches_platform(&self, host: usize) -> bool {
        !self.platform.outage && !self.platform_partitions.contains(&host)
    }

    fn is_partitioned(&self, first: usize, second: usize) -> bool {
        self.partitions.contains(&(first.min(second), first.max(second)))
    }

    /// Returns whether a host reaches at least half of the other running hosts.
    fn reaches_half_of_members(&self, host: usize) -> bool {
        let running = |other: &usize| *other != host && self.is_running(*other);
        let others: Vec<usize> = (0..self.hosts.len()).filter(running).collect();
        let reachable = others.iter().filter(|other| !self.is_partitioned(host, **other)).count();
        reachable * 2 >= others.len()
    }

    /// Returns whether the platform, or another running host that is not
    /// partitioned from this one, has a withdrawal that this host could learn
    /// of.
    fn can_learn_of(&self, host: usize, hash: &KeyHash) -> bool {
        let has_withdrawal = |other: usize| {
            let found = self.hosts[other].as_ref().filter(|found| !found.paused);
            let snapshot = found.map(|found| found.machine.snapshot(Duration::ZERO));
            snapshot.is_some_and(|snapshot| snapshot.withdrawn.contains(hash))
        };
        let is_stored = self.reaches_platform(host) && self.platform.withdrawn.contains(hash);
        let can_report = |other: usize| {
            other != host && !self.is_partitioned(host, other) && has_withdrawal(other)
        };
        is_stored || (0..self.hosts.len()).any(can_report)
    }
}
