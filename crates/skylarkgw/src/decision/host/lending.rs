//! Lending: asking other hosts for parts of their shares, and being asked.

use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::decision::allowance::{LOAN_DURATION, LoanOffer, LoanPurpose, ONWARD_DURATION};
use crate::decision::host::HostMachine;
use crate::decision::host::admission::SHORTEST_LOAN_PAUSE;
use crate::decision::membership::MemberPhase;
use crate::decision::message::{LoanId, PeerMessage};
use crate::ids::{HostId, Tokens, WorkspaceId};

/// Time after which another member is asked in place of one that is silent.
pub const LOAN_PATIENCE: Duration = Duration::from_millis(20);
/// Members that are asked one after the other for a request that waits.
pub const LOAN_ROUNDS: u32 = 8;
/// Members that are asked at once when demand outgrows the share.
pub const PREFETCH_FANOUT: usize = 3;
/// Remaining time at which a loan that is still needed is extended.
pub const EXTEND_BEFORE: Duration = Duration::from_millis(2_500);
/// Time ahead that a loan for a waiting request also covers.
pub const LOAN_AHEAD: Duration = Duration::from_millis(500);
/// Time for which a member that refused a loan is passed over.
pub const LENDER_PAUSE: Duration = Duration::from_millis(250);
/// Time between two looks at whether demand outgrows the share.
pub const PREFETCH_INTERVAL: Duration = Duration::from_millis(500);

pub(super) struct LoanRequest {
    pub(super) request: u64,
    pub(super) loan: LoanId,
    pub(super) purpose: LoanPurpose,
    pub(super) workspace: WorkspaceId,
    pub(super) wanted: LoanOffer,
}

#[derive(Debug)]
pub(super) struct PendingLoan {
    pub(super) loan: LoanId,
    pub(super) asked_at: Duration,
    pub(super) workspace: WorkspaceId,
    pub(super) purpose: LoanPurpose,
}

impl HostMachine {
    /// Asks one member for what the waiting requests lack.
    pub(super) fn ask_for_loan(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let wanted: Tokens = state.waiting.iter().map(|waiting| waiting.request.tokens).sum();
        let ahead = state.bucket.expected_tokens(LOAN_AHEAD);
        let tokens = wanted.saturating_sub(state.bucket.available()) + ahead;
        let for_rate = state.bucket.wanted_parts().saturating_sub(state.bucket.parts());
        let for_room = state.bucket.missing_parts(wanted);
        let parts = state.bucket.parts_holding(tokens).max(for_rate).max(for_room);
        state.rounds += 1;
        state.asked_at = now;
        let wanted = LoanOffer { parts, tokens, duration: LOAN_DURATION };
        self.request_loans(now, workspace, LoanPurpose::Waiting, wanted, 1);
    }

    pub(super) fn request_loans(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        wanted: LoanOffer,
        fanout: usize,
    ) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.refused_by.retain(|_, until| *until > now);
        let last = state.last_lender.as_ref().filter(|_| purpose == LoanPurpose::Waiting);
        let open = || {
            self.members
                .live_members(now)
                .filter(|entry| matches!(entry.phase, MemberPhase::Live | MemberPhase::Leaving))
                .filter(|entry| !state.refused_by.contains_key(&entry.host))
                .map(|entry| &entry.host)
        };
        let targets: Vec<HostId> = match open().find(|host| Some(*host) == last) {
            Some(host) => vec![host.clone()],
            None => open().cloned().choose_multiple(&mut self.source, fanout),
        };
        if targets.is_empty() && purpose == LoanPurpose::Waiting {
            self.wait_or_give_up(now, workspace);
            return;
        }
        for lender in targets {
            let own = self.members.own();
            let loan = LoanId {
                borrower: own.host.clone(),
                incarnation: own.incarnation,
                number: self.loan_number,
                lender,
            };
            self.request_loan(now, workspace, purpose, loan, wanted);
        }
    }

    pub(super) fn request_loan(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        purpose: LoanPurpose,
        loan: LoanId,
        wanted: LoanOffer,
    ) {
        self.loan_number += 1;
        let request = self.loan_number;
        let lender = loan.lender.clone();
        let pending = PendingLoan {
            loan: loan.clone(),
            asked_at: now,
            workspace: workspace.clone(),
            purpose,
        };
        self.pending.insert(request, pending);
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

    /// Borrows ahead of refusals when the demand outgrows the share, and
    /// extends the loans that are still needed.
    pub(super) fn prefetch(&mut self, now: Duration, workspace: &WorkspaceId) {
        let lending = self.parameters.lending;
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.bucket.advance(now);
        if !lending || now < state.prefetch_at {
            return;
        }
        state.prefetch_at = now + PREFETCH_INTERVAL;
        let parts = state.bucket.wanted_parts().saturating_sub(state.bucket.parts());
        let returned = state.bucket.return_loans(now);
        for loan in state.bucket.loans_to_extend(now + EXTEND_BEFORE) {
            let wanted = LoanOffer::default();
            self.request_loan(now, workspace, LoanPurpose::Demand, loan, wanted);
        }
        for (loan, tokens) in returned {
            // An answer that extends it must not bring it back to life.
            self.pending.retain(|_, pending| pending.loan != loan);
            let (to, workspace) = (loan.lender.clone(), workspace.clone());
            self.send(to, PeerMessage::LoanReturn { loan, workspace, tokens });
        }
        if parts > 0 {
            let wanted = LoanOffer { parts, tokens: 0, duration: LOAN_DURATION };
            self.request_loans(now, workspace, LoanPurpose::Demand, wanted, PREFETCH_FANOUT);
        }
    }

    pub(super) fn loan_request(&mut self, now: Duration, from: HostId, asked: LoanRequest) {
        let LoanRequest { request, loan, purpose, workspace, wanted } = asked;
        let leaving = self.phase == MemberPhase::Leaving;
        let lends = self.parameters.lending
            && !(leaving && purpose == LoanPurpose::Demand)
            && now < self.keeper.valid_until()
            && loan.lender == self.members.own().host;
        let offer = match self.workspaces.get_mut(&workspace) {
            Some(state) if lends && state.waiting.is_empty() => {
                // What a leaving host lends delays the end of its hand-over.
                let longest = if leaving { ONWARD_DURATION } else { LOAN_DURATION };
                state.bucket.lend(now, &loan, purpose, LoanOffer { duration: longest, ..wanted })
            }
            _ => LoanOffer::default(),
        };
        let LoanOffer { parts, tokens, duration } = offer;
        let reply = PeerMessage::LoanReply { request, loan, workspace, parts, tokens, duration };
        self.send(from, reply);
    }

    pub(super) fn loan_reply(
        &mut self,
        now: Duration,
        request: u64,
        loan: &LoanId,
        offer: LoanOffer,
    ) {
        if self.pending.get(&request).is_none_or(|pending| pending.loan != *loan) {
            return;
        }
        let Some(pending) = self.pending.remove(&request) else { return };
        let workspace = pending.workspace;
        let Some(state) = self.workspaces.get_mut(&workspace) else { return };
        state.bucket.borrow_loan(now, pending.asked_at, loan, offer);
        let wants_tokens = pending.purpose == LoanPurpose::Waiting;
        if offer.parts == 0 || (wants_tokens && offer.tokens == 0) {
            state.refused_by.insert(loan.lender.clone(), now + LENDER_PAUSE);
        } else if offer.tokens > 0 {
            state.last_lender = Some(loan.lender.clone());
            state.pause = SHORTEST_LOAN_PAUSE;
        }
        let rounds = state.rounds;
        self.serve_waiting(now, &workspace);
        let waits = self.workspaces.get(&workspace).is_some_and(|state| !state.waiting.is_empty());
        if !waits || pending.purpose != LoanPurpose::Waiting {
            return;
        }
        if rounds < LOAN_ROUNDS {
            self.ask_for_loan(now, &workspace);
        } else {
            self.wait_or_give_up(now, &workspace);
        }
    }
}
