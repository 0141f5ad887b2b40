//! Tests of the gateway's decisions under the loads and failures for which they
//! are made, without a network or a clock.

mod choice;
mod directory;
mod freshness;
mod lease;
mod placement;
mod quota;
mod retries;
mod routes;
mod samples;
