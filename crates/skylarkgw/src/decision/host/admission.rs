//! Admission: the allowance first, then an endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::decision::allowance::AllowanceBucket;
use crate::decision::host::lending::{LOAN_PATIENCE, LOAN_ROUNDS};
use crate::decision::host::{
    AdmissionReason, AdmissionRefusal, AdmissionRequest, HostEffect, HostMachine, TicketId,
};
use crate::decision::routing::{FULL_RETRY_AFTER, RouteTarget};
use crate::ids::{EndpointId, HostId, Tokens, WorkspaceId};

/// Longest wait for a loan before a request is refused.
pub const LOAN_WAIT: Duration = Duration::from_millis(60);
/// Requests of one workspace that wait for a loan at once.
pub const WAITING_LIMIT: usize = 1_024;
/// Shortest time named in a refusal.
pub const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Shortest pause after asking brought nothing; it doubles each time.
pub const SHORTEST_LOAN_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after asking brought nothing.
pub const LONGEST_LOAN_PAUSE: Duration = Duration::from_millis(320);

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: TicketId,
    pub(super) request: AdmissionRequest,
    pub(super) deadline: Duration,
}

/// A workspace's bucket and the requests that wait for it.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    pub(super) bucket: AllowanceBucket,
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) rounds: u32,
    pub(super) asked_at: Duration,
    pub(super) ask_at: Duration,
    pub(super) pause: Duration,
    pub(super) refused_by: BTreeMap<HostId, Duration>,
    pub(super) last_lender: Option<HostId>,
    pub(super) prefetch_at: Duration,
}

impl WorkspaceState {
    pub(super) fn new(bucket: AllowanceBucket) -> WorkspaceState {
        WorkspaceState {
            bucket,
            waiting: VecDeque::new(),
            rounds: 0,
            asked_at: Duration::ZERO,
            ask_at: Duration::ZERO,
            pause: SHORTEST_LOAN_PAUSE,
            refused_by: BTreeMap::new(),
            last_lender: None,
            prefetch_at: Duration::ZERO,
        }
    }

    pub(super) fn pause_asking(&mut self, now: Duration) {
        self.ask_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_LOAN_PAUSE);
    }
}

impl HostMachine {
    pub(super) fn admit(&mut self, now: Duration, ticket: TicketId, request: AdmissionRequest) {
        let Some(workspace) = request.workspace.clone() else {
            self.route(now, ticket, &request.target, &[], None);
            return;
        };
        let Some(state) = self.workspaces.get_mut(&workspace) else {
            self.refuse(ticket, AdmissionReason::Allowance, Some(FULL_RETRY_AFTER));
            return;
        };
        state.bucket.record_demand(request.tokens);
        if request.tokens > state.bucket.burst() {
            self.refuse(ticket, AdmissionReason::TooLarge, None);
            return;
        }
        let first = state.waiting.is_empty();
        if first && state.bucket.reserve(now, request.tokens) {
            let paid = Some((workspace, request.tokens));
            self.route(now, ticket, &request.target, &[], paid);
            return;
        }
        if !self.parameters.lending || state.waiting.len() >= WAITING_LIMIT || now < state.ask_at {
            self.refuse_allowance(now, ticket, &workspace, request.tokens);
            return;
        }
        let deadline = now + LOAN_WAIT;
        state.waiting.push_back(WaitingRequest { ticket, request, deadline });
        if first {
            state.rounds = 0;
            self.ask_for_loan(now, &workspace);
        }
    }

    /// Chooses an endpoint; `paid` is given back if there is none.
    pub(super) fn route(
        &mut self,
        now: Duration,
        ticket: TicketId,
        target: &RouteTarget,
        excluded: &[EndpointId],
        paid: Option<(WorkspaceId, Tokens)>,
    ) {
        match self.routes.choose(now, &self.configuration, target, excluded) {
            Ok(endpoint) => self.effects.push(HostEffect::Admitted { ticket, endpoint }),
            Err(refusal) => {
                if let Some((workspace, tokens)) = paid {
                    self.settle(now, &workspace, tokens, 0);
                }
                self.refuse(ticket, AdmissionReason::Route(refusal), Some(FULL_RETRY_AFTER));
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        ticket: TicketId,
        reason: AdmissionReason,
        retry_after: Option<Duration>,
    ) {
        let refusal = AdmissionRefusal { reason, retry_after };
        self.effects.push(HostEffect::Refused { ticket, refusal });
    }

    pub(super) fn refuse_allowance(
        &mut self,
        now: Duration,
        ticket: TicketId,
        workspace: &str,
        tokens: Tokens,
    ) {
        let retry_after = self.workspaces.get_mut(workspace).and_then(|state| {
            state.bucket.advance(now);
            state.bucket.refill_time(tokens)
        });
        let retry_after = retry_after.unwrap_or(FULL_RETRY_AFTER).max(SHORTEST_RETRY_AFTER);
        self.refuse(ticket, AdmissionReason::Allowance, Some(retry_after));
    }

    pub(super) fn settle(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        reserved: Tokens,
        used: Tokens,
    ) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.bucket.settle(now, reserved, used);
        }
        self.serve_waiting(now, workspace);
    }

    /// Admits waiting requests in order for as long as tokens are there.
    pub(super) fn serve_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        while let Some(state) = self.workspaces.get_mut(workspace) {
            let Some(first) = state.waiting.front() else { return };
            let tokens = first.request.tokens;
            if !state.bucket.reserve(now, tokens) {
                return;
            }
            if let Some(WaitingRequest { ticket, request, .. }) = state.waiting.pop_front() {
                let paid = Some((workspace.clone(), tokens));
                self.route(now, ticket, &request.target, &[], paid);
            }
        }
    }

    pub(super) fn expire_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        self.serve_waiting(now, workspace);
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let mut expired = Vec::new();
        while let Some(first) = state.waiting.pop_front_if(|first| first.deadline <= now) {
            expired.push(first);
        }
        if !expired.is_empty() {
            state.pause_asking(now);
        }
        let silent = !state.waiting.is_empty() && now >= state.asked_at + LOAN_PATIENCE;
        let rounds = state.rounds;
        for WaitingRequest { ticket, request, .. } in expired {
            self.refuse_allowance(now, ticket, workspace, request.tokens);
        }
        if silent && rounds < LOAN_ROUNDS {
            self.ask_for_loan(now, workspace);
        }
    }

    /// Goes on waiting where that helps although nobody lends: the own share
    /// refills soon enough, or shares are just changing hands.
    pub(super) fn wait_or_give_up(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get(workspace) else { return };
        let Some(first) = state.waiting.front() else { return };
        let refill = state.bucket.refill_time(first.request.tokens);
        if refill.is_some_and(|refill| refill > LOAN_WAIT) {
            self.give_up_waiting(now, workspace);
        }
    }

    /// Refuses at once all that waits, since no member has anything to lend.
    pub(super) fn give_up_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.pause_asking(now);
        let waiting = std::mem::take(&mut state.waiting);
        for WaitingRequest { ticket, request, .. } in waiting {
            self.refuse_allowance(now, ticket, workspace, request.tokens);
        }
    }
}
