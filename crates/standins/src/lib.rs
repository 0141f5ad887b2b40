//! Stand-ins for the systems around the gateway, a simulation of a fleet, and a
//! load generator.
//!
//! The stand-ins for engines, the platform and services implement the
//! interfaces of `docs/INTERFACES.md` and can inject faults on request.

pub mod certificates;
pub mod engine;
pub mod faults;
pub mod load;
pub mod network;
pub mod platform;
pub mod process;
pub mod service;
