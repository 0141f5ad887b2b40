//! Decisions of the gateway under the loads and failures that they answer; no
//! test here needs a network or a clock.

mod choice;
mod directory;
mod freshness;
mod lease;
mod placement;
mod quota;
mod retries;
mod routes;
mod samples;
