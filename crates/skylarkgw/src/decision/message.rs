//! Messages between hosts.
//!
//! The transport may lose, delay or duplicate any message.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::LoanPurpose;
use crate::decision::membership::{KnowledgeStatus, MemberEntry};
use crate::ids::{HostId, Incarnation, KeyHash, Revision, ShareParts, Tokens, WorkspaceId};

/// Identifier of a loan of shares, kept when the loan is extended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoanId {
    /// Host that borrows the parts.
    pub borrower: HostId,
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Number of the loan within that incarnation.
    pub number: u64,
    /// Host that lends the parts.
    pub lender: HostId,
}

/// A message from one host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Reports the liveness of the sender and its view of the members.
    Heartbeat {
        /// Entry of the sender, followed by the most recently updated others.
        entries: Vec<MemberEntry>,
        /// Fingerprint of the withdrawn keys that the sender has recorded.
        withdrawn: u64,
    },
    /// Answers a heartbeat at once.
    ///
    /// The receiver of the reply, which sent the heartbeat, dates the state of the
    /// replying host by the time at which the heartbeat was sent.
    HeartbeatReply {
        /// Incarnation that sent the heartbeat.
        incarnation: Incarnation,
        /// Counter of the heartbeat.
        counter: u64,
        /// Revision of the configuration in force on the sender.
        revision: Revision,
        /// Fingerprint of the withdrawn keys that the sender has recorded.
        withdrawn: u64,
        /// Whether the configuration and withdrawn keys of the sender are known to be
        /// the latest.
        standing: KnowledgeStatus,
    },
    /// Announces withdrawn keys.
    Withdrawn {
        /// Keyed hashes of the withdrawn keys.
        hashes: Vec<KeyHash>,
    },
    /// Requests the configuration in force on the receiver.
    RevisionRequest {
        /// Revision of the configuration in force on the sender.
        known: Revision,
    },
    /// Answers [`PeerMessage::RevisionRequest`] with an accepted configuration.
    RevisionReply {
        /// Complete configuration in force on the sender.
        configuration: Arc<FleetConfiguration>,
    },
    /// Announces that the ledger assigns more parts to the receiver than before.
    SharesChanged,
    /// Requests a loan from the receiver's share.
    LoanRequest {
        /// Number of the request within the sender's incarnation.
        request: u64,
        /// Identifier of the loan to create or extend.
        loan: LoanId,
        /// Purpose of the loan.
        purpose: LoanPurpose,
        /// Workspace that needs more of its allowance on the sender.
        workspace: WorkspaceId,
        /// Number of parts requested.
        parts: ShareParts,
        /// Number of tokens requested immediately.
        tokens: Tokens,
    },
    /// Returns a loan before it expires.
    LoanReturn {
        /// Identifier of the loan.
        loan: LoanId,
        /// Workspace whose allowance was lent.
        workspace: WorkspaceId,
        /// Number of tokens returned with the parts.
        tokens: Tokens,
    },
    /// Answers [`PeerMessage::LoanRequest`]; zero parts mean a refusal.
    LoanReply {
        /// Number of the answered request.
        request: u64,
        /// Identifier of the loan.
        loan: LoanId,
        /// Workspace whose allowance is lent.
        workspace: WorkspaceId,
        /// Number of parts lent.
        parts: ShareParts,
        /// Number of tokens transferred with the parts.
        tokens: Tokens,
        /// Time for which the borrower may use the parts, from when it sent the
        /// request.
        duration: Duration,
    },
}
