//! Tests of the pure state machines: several hosts on one queue that loses,
//! delays, doubles and reorders, with a platform that has outages.

mod allowance;
mod decoders;
mod faults;
mod idempotency;
mod membership;
mod shares;
mod withdrawals;
