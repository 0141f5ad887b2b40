//! Small stand-ins of what the system meets, and a load tool.
//!
//! They speak the interfaces of `docs/INTERFACES.md` and can be told to fail.

pub mod certificates;
pub mod engine;
pub mod faults;
pub mod load;
pub mod network;
pub mod platform;
pub mod process;
pub mod service;
