//! Tests with real processes: hosts, engines, a service and the platform.

mod harness;
mod path;
