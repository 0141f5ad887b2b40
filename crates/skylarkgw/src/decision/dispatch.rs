//! Decisions about one request at a time: which engine runs it, whether it waits, and
//! whether it may be sent again.

pub mod engine_choice;
pub mod engine_loads;
pub mod engine_pace;
pub mod homes;
pub mod host_pace;
pub mod outcomes;
pub mod pace_board;
pub mod retry_budget;
pub mod traffic;
pub mod urgency;
pub mod wait_queue;
