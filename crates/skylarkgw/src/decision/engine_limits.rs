//! Request rates that engines name in their answers.
//!
//! An engine in need names the rate that it takes from all hosts together. The last
//! answer applies, until one comes without a limit.

use std::collections::HashMap;

use crate::ids::EndpointId;

/// The limits that one host knows.
#[derive(Debug, Default)]
pub struct EngineLimits {
    /// Limit of each engine that has named one, in requests per second.
    limits: HashMap<EndpointId, f64>,
}

impl EngineLimits {
    /// Records the limit of an answer, in requests per second, and returns whether the
    /// known limit has changed.
    ///
    /// A refusal or failure without a limit does not end one.
    pub fn record_answer(
        &mut self,
        engine: &EndpointId,
        limit: Option<f64>,
        is_success: bool,
    ) -> bool {
        if limit == self.limit(engine) || (limit.is_none() && !is_success) {
            return false;
        }
        match limit {
            Some(limit) => self.limits.insert(engine.clone(), limit),
            None => self.limits.remove(engine),
        };
        true
    }

    /// Returns the limit of an engine, in requests per second, if it has named one.
    pub fn limit(&self, engine: &str) -> Option<f64> {
        self.limits.get(engine).copied()
    }
}
