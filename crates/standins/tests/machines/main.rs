//! Tests of the state machines of several hosts. The simulated network loses,
//! delays, duplicates and reorders messages, and the platform has outages.

mod allowance;
mod decoders;
mod faults;
mod idempotency;
mod membership;
mod shares;
mod withdrawals;
