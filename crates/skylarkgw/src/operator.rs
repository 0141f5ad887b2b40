//! The operators' side: a small language, and changes that are accepted whole
//! or not at all.

mod acceptance;
mod command;
mod facts;
mod keys;
mod language;
mod session;
mod settings;
mod table;

pub use acceptance::{AcceptanceError, AcceptedChange, ChangeRequest, accept_change, read_head};
pub use keys::{IssuedKey, issue_key};
pub use language::{LanguageError, SourcedStatement, Statement, parse_script};
pub use session::{OperatorSession, SessionError, StatementAnswer, Verdict};
pub use settings::OperatorSettings;
