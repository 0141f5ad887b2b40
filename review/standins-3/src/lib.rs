//! Stand-ins of the platform's store, of engines and of consumers, and a runner of
//! gateway processes. They speak what PROTOCOL.md says, over loopback and the real clock.

pub mod consumer;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
