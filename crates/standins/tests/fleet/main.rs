//! End-to-end tests with real processes: hosts, and stand-ins for engines, a
//! service and the platform.

mod changes;
mod edges;
mod harness;
mod keys;
mod orders;
mod path;
mod placement;
mod programs;
mod stops;
mod streams;
