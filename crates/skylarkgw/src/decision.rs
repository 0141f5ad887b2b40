//! The pure part: every decision as a deterministic state machine.
//!
//! Nothing below this module does I/O, reads a clock or draws from a global
//! source of randomness. Time comes in as a [`std::time::Duration`] since the
//! start of the process, randomness from a seed, and what is to be done goes
//! out as typed effects. The control thread owns the one [`HostMachine`] of a
//! process; tests run several of them against a queue that loses messages.

pub mod allowance;
pub mod coordinator;
pub mod coordinator_lease;
pub mod directory;
pub mod engine_choice;
pub mod fencing;
pub mod fleet_planner;
pub mod freshness;
pub mod host;
pub mod idempotency;
pub mod invariant;
pub mod keys;
pub mod membership;
pub mod message;
pub mod model_demand;
pub mod model_plan;
pub mod placement;
pub mod quota_bank;
pub mod retry_budget;
pub mod route_table;
pub mod routing;
pub mod shares;
pub mod traffic;

pub use host::HostMachine;
