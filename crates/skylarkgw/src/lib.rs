//! Entry hosts that serve many bursty models on few accelerators.

pub mod configuration;
pub mod control;
pub mod daemon;
pub mod decision;
pub mod edge;
pub mod endpoint;
pub mod ids;
pub mod operator;
pub mod operators;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod supervisor;
pub mod sync;
pub mod telemetry;
