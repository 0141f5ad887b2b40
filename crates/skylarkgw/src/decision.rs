//! Deterministic state machines that make all decisions.
//!
//! Code in this module does no I/O, reads no clock and uses no global source of
//! randomness. Callers pass the time as a [`std::time::Duration`] since a fixed
//! point, which is the start of the process or the boot of the machine, and the
//! randomness as a seed, and carry out the typed effects that are returned. The
//! control thread owns the only [`HostMachine`] of a process. Tests run several
//! of them over a simulated network that loses messages.

pub mod allowance;
pub mod cold_engines;
pub mod connection_clock;
pub mod coordinator;
pub mod coordinator_lease;
pub mod declaration_confirmation;
pub mod deputies;
pub mod directory;
pub mod dispatch;
pub mod engine_statements;
pub mod evacuations;
pub mod event_buffer;
pub mod event_sequence;
pub mod fencing;
pub mod fleet_planner;
pub mod freshness;
pub mod host;
pub mod idempotency;
pub mod invariant;
pub mod keys;
pub mod membership;
pub mod memory_budget;
pub mod message;
pub mod model_demand;
pub mod model_plan;
pub mod obligations;
pub mod placement;
pub mod prompt_evidence;
pub mod prompt_guard;
pub mod prompt_quarantine;
pub mod quota_pool;
pub mod retired_engines;
pub mod route_table;
pub mod routing;
pub mod shared_map;
pub mod shares;
pub mod stop_plan;
pub mod store_order;

pub use host::HostMachine;
