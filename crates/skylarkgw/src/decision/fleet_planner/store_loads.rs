//! Counts the loads from the weight store, including those that began under a predecessor.
//!
//! Every reply of a coordinator tells how many loads began lately, and hosts pass this on to
//! the next coordinator. Until one of them has, that number is unknown, which is not zero: no
//! load begins before the window has passed in which a predecessor's loads count.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Loads from the weight store that began within the window over which they are counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecentLoads {
    /// Number of loads.
    pub count: u32,
    /// Time since the last of them began.
    pub age: Duration,
}

impl RecentLoads {
    /// Returns the same loads as they are `elapsed` later.
    pub fn after(self, elapsed: Duration) -> RecentLoads {
        RecentLoads { age: self.age + elapsed, ..self }
    }
}

/// What a coordinator knows of the loads under its predecessors.
#[derive(Clone, Copy, Debug)]
enum EarlierLoads {
    /// Any number may have begun up to a time.
    Unknown { until: Duration },
    /// Number of loads, all of which count from the last one.
    Known { count: u32, last_at: Duration },
}

/// Loads from the weight store that count against its rate.
#[derive(Debug)]
pub struct StoreLoads {
    /// Start times of loads in this term.
    begun: VecDeque<Duration>,
    earlier: EarlierLoads,
}

impl Default for StoreLoads {
    /// Returns the loads of a coordinator without a predecessor.
    fn default() -> StoreLoads {
        let earlier = EarlierLoads::Known { count: 0, last_at: Duration::ZERO };
        StoreLoads { begun: VecDeque::new(), earlier }
    }
}

impl StoreLoads {
    /// Returns the loads of a coordinator whose term begins at `now`, after a predecessor of
    /// which it knows nothing yet.
    pub fn after_predecessor(now: Duration) -> StoreLoads {
        StoreLoads { earlier: EarlierLoads::Unknown { until: now }, ..StoreLoads::default() }
    }

    /// Records a load that begins.
    pub fn record(&mut self, now: Duration) {
        self.begun.push_back(now);
    }

    /// Adds what a host heard from a predecessor. The highest number and the latest time of
    /// all hosts count, since each may have missed the last replies.
    pub fn adopt(&mut self, now: Duration, told: RecentLoads) {
        let told_at = now.saturating_sub(told.age);
        self.earlier = match self.earlier {
            EarlierLoads::Unknown { .. } => {
                EarlierLoads::Known { count: told.count, last_at: told_at }
            }
            EarlierLoads::Known { count, last_at } => {
                EarlierLoads::Known { count: count.max(told.count), last_at: last_at.max(told_at) }
            }
        };
    }

    /// Drops the loads that began before the window.
    pub fn expire(&mut self, now: Duration, window: Duration) {
        let has_expired = |at: Duration| now.saturating_sub(at) > window;
        while self.begun.front().is_some_and(|at| has_expired(*at)) {
            self.begun.pop_front();
        }
        let (EarlierLoads::Unknown { until: at } | EarlierLoads::Known { last_at: at, .. }) =
            self.earlier;
        if has_expired(at) {
            self.earlier = EarlierLoads::Known { count: 0, last_at: Duration::ZERO };
        }
    }

    /// Returns the number of loads that may begin, of `limit` in a window.
    pub fn remaining(&self, limit: usize) -> u32 {
        let EarlierLoads::Known { count, .. } = self.earlier else { return 0 };
        limit.saturating_sub(self.begun.len() + count as usize) as u32
    }

    /// Returns the loads that a successor has to count, or `None` while they are unknown.
    pub fn recent(&self, now: Duration) -> Option<RecentLoads> {
        let EarlierLoads::Known { count, last_at } = self.earlier else { return None };
        let last_at = self.begun.back().copied().unwrap_or(last_at).max(last_at);
        let count = count + self.begun.len() as u32;
        Some(RecentLoads { count, age: now.saturating_sub(last_at) })
    }
}
