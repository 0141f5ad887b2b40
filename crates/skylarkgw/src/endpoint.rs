//! HTTP clients for endpoints: inference engines and plain services.

mod client;
mod connection;
mod engine;
mod generation;
mod pool;
mod service;

pub use connection::{ConnectionError, HttpConnection};
pub use engine::{EngineClient, EngineError, EngineEvent, GenerateCall, TokenEvent};
pub use generation::{GenerationEvent, GenerationFailure, GenerationTask, poll_engines};
pub use pool::ConnectionPool;
pub use service::{ServiceCall, ServiceClient, ServiceError, ServiceResponse};
