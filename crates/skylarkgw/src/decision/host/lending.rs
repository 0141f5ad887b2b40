//! Lending: requests to other hosts for parts of their shares, and the replies
//! to such requests.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::decision::allowance::{LOAN_DURATION, LoanOffer, LoanPurpose, SUBLOAN_DURATION};
use crate::decision::host::HostMachine;
use crate::decision::host::admission::MIN_LOAN_BACKOFF;
use crate::decision::membership::MemberPhase;
use crate::decision::message::{LoanId, PeerMessage};
use crate::ids::{HostId, Tokens, WorkspaceId};

/// Time after which a loan is requested from another member if the last one has
/// not replied.
pub const LENDER_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of members from which a loan is requested in turn for the waiting
/// requests of a workspace.
pub const MAX_LOAN_ATTEMPTS: u32 = 8;
/// Number of members from which loans are requested at a time when demand exceeds
/// the share.
pub const PREFETCH_FANOUT: usize = 3;
/// Remaining time below which a loan that is still needed is extended.
pub const EXTENSION_MARGIN: Duration = Duration::from_millis(2_500);
/// Time of expected demand that a loan for waiting requests also covers.
pub const LOAN_HORIZON: Duration = Duration::from_millis(500);
/// Time for which a member that refused a loan is skipped.
pub const LENDER_BACKOFF: Duration = Duration::from_millis(250);
/// Time between two comparisons of demand with the share.
pub const PREFETCH_INTERVAL: Duration = Duration::from_millis(500);

/// The fields of a loan request.
pub(super) struct LoanRequest {
    pub(super) request: u64,
    pub(super) loan: LoanId,
    pub(super) purpose: LoanPurpose,
    pub(super) workspace: WorkspaceId,
    pub(super) wanted: LoanOffer,
}

/// A loan request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingLoan {
    pub(super) loan: LoanId,
    pub(super) requested_at: Duration,
    pub(super) workspace: WorkspaceId,
    pub(super) purpose: LoanPurpose,
}

impl HostMachine {
    /// Requests from one member the tokens and parts that the waiting requests lack.
    pub(super) fn request_loan_for_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let wanted: Tokens = state.waiting.iter().map(|waiting| waiting.request.tokens).sum();
        let expected_tokens = state.bucket.expected_tokens(LOAN_HORIZON);
        let tokens = wanted.saturating_sub(state.bucket.available()) + expected_tokens;
        let parts_for_rate = state.bucket.parts_for_demand().saturating_sub(state.bucket.parts());
        let parts_for_burst = state.bucket.missing_parts(wanted);
        let parts = state.bucket.parts_for_tokens(tokens).max(parts_for_rate).max(parts_for_burst);
        state.loan_attempts += 1;
        state.requested_at = now;
        let wanted = LoanOffer { parts, tokens, duration: LOAN_DURATION };
        self.request_loans(now, workspace, LoanPurpose::Waiting, wanted, 1);
    }

    /// Sends loan requests to up to `fanout` members. For a waiting request,
    /// sends one only to the last lender if it is available.
    pub(super) fn request_loans(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        wanted: LoanOffer,
        fanout: usize,
    ) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.refused_until.retain(|_, until| *until > now);
        let last_lender = state.last_lender.as_ref().filter(|_| purpose == LoanPurpose::Waiting);
        let candidates = || {
            self.members
                .live_members(now)
                .filter(|entry| matches!(entry.phase, MemberPhase::Live | MemberPhase::Leaving))
                .filter(|entry| !state.refused_until.contains_key(&entry.host))
                .map(|entry| &entry.host)
        };
        let targets: Vec<HostId> = match candidates().find(|host| Some(*host) == last_lender) {
            Some(host) => vec![host.clone()],
            None => candidates().cloned().choose_multiple(&mut self.rng, fanout),
        };
        if targets.is_empty() && purpose == LoanPurpose::Waiting {
            self.refuse_unless_refilled_soon(now, workspace);
            return;
        }
        for lender in targets {
            let own = self.members.own();
            let loan = LoanId {
                borrower: own.host.clone(),
                incarnation: own.incarnation,
                number: self.last_loan_request,
                lender,
            };
            self.request_loan(now, workspace, purpose, loan, wanted);
        }
    }

    /// Sends one loan request and records it as pending.
    pub(super) fn request_loan(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        loan: LoanId,
        wanted: LoanOffer,
    ) {
        self.last_loan_request += 1;
        let request = self.last_loan_request;
        let lender = loan.lender.clone();
        let pending = PendingLoan {
            loan: loan.clone(),
            requested_at: now,
            workspace: workspace.clone(),
            purpose,
        };
        self.pending_loans.insert(request, pending);
        let message = PeerMessage::LoanRequest {
            request,
            loan,
            purpose,
            workspace: workspace.clone(),
            parts: wanted.parts,
            tokens: wanted.tokens,
        };
        self.send(lender, message);
    }

    /// Requests loans when demand exceeds the share, before requests have to be
    /// refused. Extends the loans that are still needed, and returns the others.
    pub(super) fn prefetch_loans(&mut self, now: Duration, workspace: &WorkspaceId) {
        let lending = self.parameters.lending;
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.bucket.advance(now);
        if !lending || now < state.next_prefetch {
            return;
        }
        state.next_prefetch = now + PREFETCH_INTERVAL;
        let parts = state.bucket.parts_for_demand().saturating_sub(state.bucket.parts());
        let returned = state.bucket.return_loans(now);
        for loan in state.bucket.loans_to_extend(now + EXTENSION_MARGIN) {
            let wanted = LoanOffer::default();
            self.request_loan(now, workspace, LoanPurpose::Demand, loan, wanted);
        }
        for (loan, tokens) in returned {
            // A pending extension must not restore a returned loan.
            self.pending_loans.retain(|_, pending| pending.loan != loan);
            let (to, workspace) = (loan.lender.clone(), workspace.clone());
            self.send(to, PeerMessage::LoanReturn { loan, workspace, tokens });
        }
        if parts > 0 {
            let wanted = LoanOffer { parts, tokens: 0, duration: LOAN_DURATION };
            self.request_loans(now, workspace, LoanPurpose::Demand, wanted, PREFETCH_FANOUT);
        }
    }

    /// Replies to a loan request, with zero parts if nothing can be lent.
    pub(super) fn handle_loan_request(
        &mut self,
        now: Duration,
        from: HostId,
        loan_request: LoanRequest,
    ) {
        let LoanRequest { request, loan, purpose, workspace, wanted } = loan_request;
        let is_leaving = self.phase == MemberPhase::Leaving;
        let can_lend = self.parameters.lending
            && !(is_leaving && purpose == LoanPurpose::Demand)
            && now < self.share_machine.valid_until()
            && loan.lender == self.members.own().host;
        let offer = match self.workspaces.get_mut(&workspace) {
            Some(state) if can_lend && state.waiting.is_empty() => {
                // A leaving host cannot give away parts before a loan of them ends,
                // so it lends for a short time only.
                let max_duration = if is_leaving { SUBLOAN_DURATION } else { LOAN_DURATION };
                state.bucket.lend(
                    now,
                    &loan,
                    purpose,
                    LoanOffer { duration: max_duration, ..wanted },
                )
            }
            _ => LoanOffer::default(),
        };
        let LoanOffer { parts, tokens, duration } = offer;
        let reply = PeerMessage::LoanReply { request, loan, workspace, parts, tokens, duration };
        self.send(from, reply);
    }

    /// Adds a granted loan, admits waiting requests, and requests a loan from
    /// another member if requests still wait.
    pub(super) fn handle_loan_reply(
        &mut self,
        now: Duration,
        request: u64,
        loan: &LoanId,
        offer: LoanOffer,
    ) {
        if self.pending_loans.get(&request).is_none_or(|pending| pending.loan != *loan) {
            return;
        }
        let Some(pending) = self.pending_loans.remove(&request) else { return };
        let workspace = pending.workspace;
        let Some(state) = self.workspaces.get_mut(&workspace) else { return };
        state.bucket.add_loan(now, pending.requested_at, loan, offer);
        let wants_tokens = pending.purpose == LoanPurpose::Waiting;
        if offer.parts == 0 || (wants_tokens && offer.tokens == 0) {
            state.refused_until.insert(loan.lender.clone(), now + LENDER_BACKOFF);
        } else if offer.tokens > 0 {
            state.last_lender = Some(loan.lender.clone());
            state.loan_backoff = MIN_LOAN_BACKOFF;
        }
        let loan_attempts = state.loan_attempts;
        self.admit_waiting(now, &workspace);
        let is_waiting =
            self.workspaces.get(&workspace).is_some_and(|state| !state.waiting.is_empty());
        if !is_waiting || pending.purpose != LoanPurpose::Waiting {
            return;
        }
        if loan_attempts < MAX_LOAN_ATTEMPTS {
            self.request_loan_for_waiting(now, &workspace);
        } else {
            self.refuse_unless_refilled_soon(now, &workspace);
        }
    }
}
