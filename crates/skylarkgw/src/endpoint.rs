//! Towards endpoints: engines and plain services over HTTP.

mod client;
mod engine;
mod generation;
mod link;
mod pool;
mod service;

pub use engine::{EngineClient, EngineError, EngineEvent, GenerateCall, TokenEvent};
pub use generation::{GenerationEvent, GenerationFailure, GenerationTask, poll_engines};
pub use link::{HttpLink, LinkError};
pub use pool::LinkPool;
pub use service::{ServiceAnswer, ServiceCall, ServiceClient, ServiceError};
