//! Hosts that read the store for the others while the coordinator cannot.
//!
//! If each of some hundred hosts turned to the store when the coordinator is lost, the
//! store would get thousands of calls in a second, and each host the whole registry. The
//! coordinator therefore names a few deputies in each data centre of a large fleet. Only
//! they read the store and the lease without a coordinator, and the other hosts ask them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, HostId, MapVersion};

/// Largest fleet without deputies.
pub const MAX_HOSTS_WITHOUT_DEPUTIES: usize = 30;
/// Number of deputies of each data centre, as far as it has hosts.
pub const DEPUTIES_PER_CENTRE: usize = 2;
/// Minimum time between two questions of a host.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any answer of a deputy after which a host reads the store itself.
pub const UNANSWERED_TIME: Duration = Duration::from_millis(1_000);

/// A host that reads the store for others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeputyHost {
    /// Name of the host.
    pub host: HostId,
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
}

/// Chooses the deputies of a fleet, from hosts with their capacity to coordinate it.
///
/// The hosts of the largest capacity in each data centre are chosen. The result is
/// sorted, so that it changes only with the choice.
pub fn choose_deputies<'a>(hosts: impl Iterator<Item = (&'a DeputyHost, f64)>) -> Vec<DeputyHost> {
    let mut centres: BTreeMap<&DataCentre, Vec<(f64, &DeputyHost)>> = BTreeMap::new();
    for (host, capacity) in hosts {
        centres.entry(&host.data_centre).or_default().push((capacity, host));
    }
    if centres.values().map(Vec::len).sum::<usize>() <= MAX_HOSTS_WITHOUT_DEPUTIES {
        return Vec::new();
    }
    let mut deputies: Vec<DeputyHost> = centres
        .into_values()
        .flat_map(|mut hosts| {
            hosts.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.host.cmp(&b.1.host)));
            hosts.into_iter().take(DEPUTIES_PER_CENTRE).map(|(_, host)| host.clone())
        })
        .collect();
    deputies.sort_by(|a, b| a.host.cmp(&b.host));
    deputies
}

/// How a host learns what the coordinator does not tell it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAccess {
    /// It reads the store itself.
    Direct,
    /// It asks deputies.
    Deputy,
}

/// The deputies that one host knows, and how they answered.
#[derive(Debug, Default)]
pub struct DeputyGuide {
    /// Version of the list, as the coordinator sent it.
    version: MapVersion,
    /// Deputies in the order in which this host asks them.
    deputies: Vec<DeputyHost>,
    is_deputy: bool,
    /// Position of the deputy that is asked next.
    next: usize,
    /// Time since which the coordinator does not tell this host what it needs.
    needed_since: Option<Duration>,
    answered_at: Option<Duration>,
    asked_at: Option<Duration>,
}

impl DeputyGuide {
    /// Returns the version of the list.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Replaces the list. Deputies of the own data centre are asked first.
    ///
    /// `seed` differs between hosts, so that they do not all ask the same deputy.
    pub fn set_deputies(
        &mut self,
        version: MapVersion,
        mut deputies: Vec<DeputyHost>,
        host: &HostId,
        data_centre: &DataCentre,
        seed: usize,
    ) {
        self.is_deputy = deputies.iter().any(|deputy| deputy.host == *host);
        if !deputies.is_empty() {
            let turn = seed % deputies.len();
            deputies.rotate_left(turn);
        }
        deputies.sort_by_key(|deputy| deputy.data_centre != *data_centre);
        (self.version, self.deputies, self.next) = (version, deputies, 0);
    }

    /// Records whether this host needs what the coordinator does not tell it.
    pub fn set_needed(&mut self, now: Duration, is_needed: bool) {
        if !is_needed {
            (self.needed_since, self.answered_at) = (None, None);
        } else if self.needed_since.is_none() {
            self.needed_since = Some(now);
        }
    }

    /// Returns whether this host needs what the coordinator does not tell it.
    pub fn is_needed(&self) -> bool {
        self.needed_since.is_some()
    }

    /// Returns how this host learns what it needs.
    pub fn access(&self, now: Duration) -> StoreAccess {
        let waits_since = self.answered_at.max(self.needed_since).unwrap_or(now);
        let is_answered = now.saturating_sub(waits_since) < UNANSWERED_TIME;
        if self.deputies.is_empty() || self.is_deputy || !is_answered {
            StoreAccess::Direct
        } else {
            StoreAccess::Deputy
        }
    }

    /// Returns the address of the deputy to ask now, if it is time for a question.
    pub fn begin_question(&mut self, now: Duration) -> Option<SocketAddr> {
        let is_due = |at: Duration| now.saturating_sub(at) >= QUESTION_INTERVAL;
        let is_due = self.asked_at.is_none_or(is_due);
        if self.needed_since.is_none() || self.is_deputy || !is_due {
            return None;
        }
        let deputy = self.deputies.get(self.next)?;
        self.asked_at = Some(now);
        Some(deputy.address)
    }

    /// Records the end of a question: whether it was answered, and whether the deputy knows
    /// what is current. The next question goes to another deputy if not.
    pub fn end_question(&mut self, now: Duration, is_answered: bool, is_current: bool) {
        if is_answered {
            self.answered_at = Some(now);
        }
        if !is_current && !self.deputies.is_empty() {
            self.next = (self.next + 1) % self.deputies.len();
        }
        if !is_answered {
            // Another deputy may be asked at once.
            self.asked_at = None;
        }
    }
}
