//! Draws of single requests to engines that take few of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::cold_engines::ColdRate;
use crate::decision::coordinator::{Coordinator, QuotaAnswer};
use crate::ids::{EndpointId, HostId};

/// Limits of an engine that a host knows. Both bind where there are two.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineLimits {
    /// Limit that the engine named, in requests per second.
    pub named: Option<f64>,
    /// Rate of the engine while it is cold, if it is.
    pub cold: Option<ColdRate>,
}

impl Coordinator {
    /// Draws one request to an engine from each of its limits.
    pub fn draw_engine(
        &mut self,
        now: Duration,
        host: &HostId,
        engine: &EndpointId,
        limits: EngineLimits,
    ) -> QuotaAnswer {
        if let Some(rate) = limits.cold
            && let Err(retry_after) = self.cold_pool.draw(now, engine, rate)
        {
            return QuotaAnswer::Refused { retry_after };
        }
        let Some(named) = limits.named else { return QuotaAnswer::Granted };
        let answer = self.draw_request(now, host, engine, named);
        if answer != QuotaAnswer::Granted {
            self.cold_pool.give_back(engine);
        }
        answer
    }
}
