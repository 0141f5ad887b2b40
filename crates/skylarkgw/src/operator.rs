//! The operators' side: changes that are accepted whole or not at all.

mod acceptance;
mod keys;

pub use acceptance::{AcceptanceError, AcceptedChange, ChangeRequest, accept_change, read_head};
pub use keys::{IssuedKey, issue_key};
