//! The operator client: a small statement language, queries over the state of
//! the fleet, and atomic changes to the accepted configuration.

mod acceptance;
mod command;
mod keys;
mod language;
mod query;
mod session;
mod settings;
mod table;

pub use acceptance::{AcceptanceError, AcceptedChange, ChangeRequest, accept_change, read_head};
pub use keys::{IssuedKey, issue_key};
pub use language::{LanguageError, SourcedStatement, Statement, parse_script};
pub use session::{OperatorSession, SessionError, StatementOutcome, StatementOutput};
pub use settings::OperatorSettings;
