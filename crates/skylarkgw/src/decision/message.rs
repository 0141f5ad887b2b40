//! Messages between hosts.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::FleetConfiguration;
use crate::decision::allowance::LoanPurpose;
use crate::decision::membership::{KnowledgeStatus, MemberEntry};
use crate::ids::{HostId, Incarnation, KeyHash, Revision, ShareParts, Tokens, WorkspaceId};

/// Identifies one loan; extending it keeps the identifier.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoanId {
    /// Host that borrows.
    pub borrower: HostId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Number within that life.
    pub number: u64,
    /// Host that lends.
    pub lender: HostId,
}

/// What one host says to another. Every message may be lost, late or doubled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Liveness and what the sender knows.
    Heartbeat {
        /// The sender's entry first, then the freshest of the others.
        entries: Vec<MemberEntry>,
        /// Fingerprint of the withdrawn keys that the sender knows.
        withdrawn: u64,
    },
    /// Answers a heartbeat at once, which dates the sender's knowledge.
    HeartbeatReply {
        /// Process life that sent the heartbeat.
        incarnation: Incarnation,
        /// Its counter in the heartbeat.
        counter: u64,
        /// Revision in force at the sender.
        revision: Revision,
        /// Fingerprint of the withdrawn keys that the sender knows.
        withdrawn: u64,
        /// How far that can be relied on.
        standing: KnowledgeStatus,
    },
    /// Keys that were withdrawn.
    Withdrawn {
        /// Keyed hashes.
        hashes: Vec<KeyHash>,
    },
    /// Asks for the configuration in force at the receiver.
    RevisionRequest {
        /// Revision that the sender has.
        known: Revision,
    },
    /// A configuration that was accepted.
    RevisionReply {
        /// The whole configuration.
        configuration: Arc<FleetConfiguration>,
    },
    /// Says that the ledger gives the receiver more parts than before.
    SharesChanged,
    /// Asks for a part of the receiver's share.
    LoanRequest {
        /// Number of the request within the sender's life.
        request: u64,
        /// The loan, new or to be extended.
        loan: LoanId,
        /// Why.
        purpose: LoanPurpose,
        /// Workspace whose allowance is short.
        workspace: WorkspaceId,
        /// Parts wanted.
        parts: ShareParts,
        /// Tokens wanted at once.
        tokens: Tokens,
    },
    /// Gives up a loan before its time.
    LoanReturn {
        /// The loan.
        loan: LoanId,
        /// Workspace whose allowance was lent.
        workspace: WorkspaceId,
        /// Tokens that move back with it.
        tokens: Tokens,
    },
    /// Answers a request for a loan; no parts means no.
    LoanReply {
        /// Number of the request answered.
        request: u64,
        /// The loan.
        loan: LoanId,
        /// Workspace whose allowance is lent.
        workspace: WorkspaceId,
        /// Parts lent.
        parts: ShareParts,
        /// Tokens that move with them.
        tokens: Tokens,
        /// Time for which the parts may be used, counted from the request.
        duration: Duration,
    },
}
