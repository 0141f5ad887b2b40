//! HTTP clients for endpoints: inference engines and plain services.

mod byte_budget;
mod client;
mod connection;
mod engine;
mod generation;
mod head_limit;
mod pool;
mod segments;
mod service;

pub use byte_budget::{BudgetCounts, ByteBudget, HeldBody, HeldMemory};
pub use connection::{ConnectionError, HttpConnection};
pub use engine::{EngineClient, EngineError, EngineEvent, GenerateCall, TokenEvent, next_event};
pub use generation::{GenerationEvent, GenerationFailure, GenerationTask, poll_engines};
pub use pool::ConnectionPool;
pub use segments::{SegmentBody, SegmentBuffer, SegmentedBytes};
pub use service::{ServiceCall, ServiceClient, ServiceError, ServiceResponse};
