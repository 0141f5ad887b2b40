//! Messages between hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::FleetConfiguration;
use crate::decision::membership::MemberEntry;
use crate::ids::{HostId, Incarnation, KeyHash, Revision, ShareParts, Tokens, WorkspaceId};

/// Identifies one request for a loan; never used twice.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LoanId {
    /// Host that asks.
    pub host: HostId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Number within that life.
    pub number: u64,
}

/// What one host says to another. Every message may be lost, late or doubled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// Liveness and what the sender knows.
    Heartbeat {
        /// The sender's entry first, then the freshest of the others.
        entries: Vec<MemberEntry>,
        /// Number of withdrawn keys that the sender knows.
        withdrawn: usize,
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
    /// Asks for a part of the receiver's share.
    LoanRequest {
        /// Identifies the request.
        id: LoanId,
        /// Workspace whose allowance is short.
        workspace: WorkspaceId,
        /// Parts wanted.
        parts: ShareParts,
        /// Tokens wanted at once.
        tokens: Tokens,
    },
    /// Answers a request for a loan; no parts means no.
    LoanReply {
        /// The request answered.
        id: LoanId,
        /// Workspace whose allowance is lent.
        workspace: WorkspaceId,
        /// Parts lent.
        parts: ShareParts,
        /// Tokens that move with them.
        tokens: Tokens,
    },
}
