//! Counts of running requests that the coordinator sends to all hosts.
//!
//! A list of counts by identifier takes most of a reply in a fleet with thousands of
//! engines. The coordinator gives each engine a number, which hosts receive with its
//! registry entry, and sends the counts in the order of the numbers.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::gateway::registry::EngineEntry;
use crate::ids::EndpointId;

/// Number of an engine during one term of a coordinator. It is used again after the
/// engine is gone.
pub type EngineNumber = u32;

/// Registry entry of an engine with the number by which its load is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RegisteredEngine {
    /// Number of the engine.
    pub number: EngineNumber,
    /// Entry without adapters and cached weights.
    pub entry: Arc<EngineEntry>,
}

/// Requests of all hosts that run at each engine, by the number of the engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineLoads {
    /// Counts up to the last one that is not zero.
    counts: Vec<u16>,
}

impl EngineLoads {
    /// Returns the count of an engine.
    pub fn get(&self, number: EngineNumber) -> u32 {
        self.counts.get(number as usize).copied().map(u32::from).unwrap_or_default()
    }

    /// Returns how many counts are sent.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no request is known to run.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}

/// The coordinator's side: the numbers of engines and the requests that run there.
#[derive(Debug, Default)]
pub struct LoadTable {
    numbers: HashMap<EndpointId, EngineNumber>,
    totals: Vec<u32>,
    /// Numbers of engines that are gone.
    free: Vec<EngineNumber>,
}

impl LoadTable {
    /// Returns the number of an engine, which gets one if it has none.
    pub fn add_engine(&mut self, engine: &EndpointId) -> EngineNumber {
        if let Some(number) = self.numbers.get(engine) {
            return *number;
        }
        let number = self.free.pop().unwrap_or_else(|| {
            self.totals.push(0);
            self.totals.len() as EngineNumber - 1
        });
        self.numbers.insert(engine.clone(), number);
        number
    }

    /// Removes an engine with its count, and returns the number that it had.
    pub fn remove_engine(&mut self, engine: &EndpointId) -> Option<EngineNumber> {
        let number = self.numbers.remove(engine)?;
        self.totals[number as usize] = 0;
        self.free.push(number);
        Some(number)
    }

    /// Returns the number of engines that have had a number at the same time.
    pub fn len(&self) -> usize {
        self.totals.len()
    }

    /// Returns whether no engine has had a number.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    /// Returns the engines with the requests that run there.
    pub fn totals(&self) -> impl Iterator<Item = (&EndpointId, u32)> {
        self.numbers.iter().map(|(engine, number)| (engine, self.totals[*number as usize]))
    }

    /// Adds the counts of a host.
    pub fn add(&mut self, counts: &[(EngineNumber, u32)]) {
        for (number, count) in counts {
            if let Some(total) = self.totals.get_mut(*number as usize) {
                *total += count;
            }
        }
    }

    /// Subtracts counts that were added before.
    pub fn subtract(&mut self, counts: &[(EngineNumber, u32)]) {
        for (number, count) in counts {
            if let Some(total) = self.totals.get_mut(*number as usize) {
                *total = total.saturating_sub(*count);
            }
        }
    }

    /// Returns the counts as they are sent.
    pub fn loads(&self) -> EngineLoads {
        let used = self.totals.iter().rposition(|total| *total > 0).map_or(0, |last| last + 1);
        let counts = self.totals[..used].iter();
        EngineLoads {
            counts: counts.map(|count| u16::try_from(*count).unwrap_or(u16::MAX)).collect(),
        }
    }
}
