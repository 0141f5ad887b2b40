//! Admission of requests: tokens are reserved first, then an endpoint is
//! chosen.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::decision::allowance::AllowanceBucket;
use crate::decision::host::lending::{LENDER_TIMEOUT, MAX_LOAN_ATTEMPTS};
use crate::decision::host::{
    AdmissionReason, AdmissionRefusal, AdmissionRequest, HostEffect, HostMachine, TicketId,
};
use crate::decision::routing::{FULL_RETRY_AFTER, RouteTarget};
use crate::ids::{EndpointId, HostId, Tokens, WorkspaceId};

/// Longest time for which a request waits for a loan before it is refused.
pub const LOAN_WAIT: Duration = Duration::from_millis(60);
/// Maximum number of requests of one workspace that wait for a loan at a time.
pub const MAX_WAITING_REQUESTS: usize = 1_024;
/// Shortest retry delay returned to a client when an allowance is used up.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Shortest backoff after loan requests that obtained no tokens. It doubles each
/// time, up to [`MAX_LOAN_BACKOFF`].
pub const MIN_LOAN_BACKOFF: Duration = Duration::from_millis(10);
/// Longest backoff after loan requests that obtained no tokens.
pub const MAX_LOAN_BACKOFF: Duration = Duration::from_millis(320);

/// A request that waits for tokens until its deadline.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: TicketId,
    pub(super) request: AdmissionRequest,
    pub(super) deadline: Duration,
}

/// The token bucket of a workspace, the requests that wait for it, and the
/// state of its loan requests.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    pub(super) bucket: AllowanceBucket,
    pub(super) waiting: VecDeque<WaitingRequest>,
    /// Number of loan requests sent for the requests that wait now.
    pub(super) loan_attempts: u32,
    /// Local time of the last loan request for a waiting request.
    pub(super) requested_at: Duration,
    /// Local time before which no loan is requested for a waiting request.
    pub(super) next_loan_request: Duration,
    /// Time added to `next_loan_request` by the next backoff.
    pub(super) loan_backoff: Duration,
    /// Lenders that refused a loan, and the local time until which they are
    /// skipped.
    pub(super) refused_until: BTreeMap<HostId, Duration>,
    /// Lender of the last loan that included tokens. While it is live and has not
    /// refused, it receives the loan requests for waiting requests.
    pub(super) last_lender: Option<HostId>,
    pub(super) next_prefetch: Duration,
}

impl WorkspaceState {
    pub(super) fn new(bucket: AllowanceBucket) -> WorkspaceState {
        WorkspaceState {
            bucket,
            waiting: VecDeque::new(),
            loan_attempts: 0,
            requested_at: Duration::ZERO,
            next_loan_request: Duration::ZERO,
            loan_backoff: MIN_LOAN_BACKOFF,
            refused_until: BTreeMap::new(),
            last_lender: None,
            next_prefetch: Duration::ZERO,
        }
    }

    /// Postpones the next loan request for a waiting request, and doubles the
    /// backoff, up to [`MAX_LOAN_BACKOFF`].
    pub(super) fn back_off(&mut self, now: Duration) {
        self.next_loan_request = now + self.loan_backoff;
        self.loan_backoff = (self.loan_backoff * 2).min(MAX_LOAN_BACKOFF);
    }
}

impl HostMachine {
    /// Admits a request, queues it for a loan, or refuses it.
    pub(super) fn admit_request(
        &mut self,
        now: Duration,
        ticket: TicketId,
        request: AdmissionRequest,
    ) {
        let Some(workspace) = request.workspace.clone() else {
            self.route_request(now, ticket, &request.target, &[], None);
            return;
        };
        let Some(state) = self.workspaces.get_mut(&workspace) else {
            self.refuse_request(ticket, AdmissionReason::Allowance, Some(FULL_RETRY_AFTER));
            return;
        };
        state.bucket.record_demand(request.tokens);
        if request.tokens > state.bucket.burst() {
            self.refuse_request(ticket, AdmissionReason::TooLarge, None);
            return;
        }
        let is_first = state.waiting.is_empty();
        if is_first && state.bucket.try_reserve(now, request.tokens) {
            let reservation = Some((workspace, request.tokens));
            self.route_request(now, ticket, &request.target, &[], reservation);
            return;
        }
        if !self.parameters.lending
            || state.waiting.len() >= MAX_WAITING_REQUESTS
            || now < state.next_loan_request
        {
            self.refuse_for_allowance(now, ticket, &workspace, request.tokens);
            return;
        }
        let deadline = now + LOAN_WAIT;
        state.waiting.push_back(WaitingRequest { ticket, request, deadline });
        if is_first {
            state.loan_attempts = 0;
            self.request_loan_for_waiting(now, &workspace);
        }
    }

    /// Chooses an endpoint. If there is none, refuses the request and refunds
    /// the tokens of `reservation`.
    pub(super) fn route_request(
        &mut self,
        now: Duration,
        ticket: TicketId,
        target: &RouteTarget,
        excluded: &[EndpointId],
        reservation: Option<(WorkspaceId, Tokens)>,
    ) {
        match self.selector.choose_endpoint(now, &self.configuration, target, excluded) {
            Ok(endpoint) => self.effects.push(HostEffect::Admitted { ticket, endpoint }),
            Err(refusal) => {
                if let Some((workspace, tokens)) = reservation {
                    self.settle_request(now, &workspace, tokens, 0);
                }
                self.refuse_request(
                    ticket,
                    AdmissionReason::Route(refusal),
                    Some(FULL_RETRY_AFTER),
                );
            }
        }
    }

    pub(super) fn refuse_request(
        &mut self,
        ticket: TicketId,
        reason: AdmissionReason,
        retry_after: Option<Duration>,
    ) {
        let refusal = AdmissionRefusal { reason, retry_after };
        self.effects.push(HostEffect::Refused { ticket, refusal });
    }

    /// Refuses a request with the time until its tokens will have been
    /// refilled.
    pub(super) fn refuse_for_allowance(
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
        let retry_after = retry_after.unwrap_or(FULL_RETRY_AFTER).max(MIN_RETRY_AFTER);
        self.refuse_request(ticket, AdmissionReason::Allowance, Some(retry_after));
    }

    /// Refunds the unused tokens of a request and admits waiting ones.
    pub(super) fn settle_request(
        &mut self,
        now: Duration,
        workspace: &WorkspaceId,
        reserved: Tokens,
        used: Tokens,
    ) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.bucket.settle(now, reserved, used);
        }
        self.admit_waiting(now, workspace);
    }

    /// Admits waiting requests in order of arrival for as long as tokens are
    /// available.
    pub(super) fn admit_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        while let Some(state) = self.workspaces.get_mut(workspace) {
            let Some(first) = state.waiting.front() else { return };
            let tokens = first.request.tokens;
            if !state.bucket.try_reserve(now, tokens) {
                return;
            }
            if let Some(WaitingRequest { ticket, request, .. }) = state.waiting.pop_front() {
                let reservation = Some((workspace.clone(), tokens));
                self.route_request(now, ticket, &request.target, &[], reservation);
            }
        }
    }

    /// Admits waiting requests, refuses those whose deadline has passed, and
    /// requests another loan for the rest if the last member did not reply within
    /// [`LENDER_TIMEOUT`].
    pub(super) fn expire_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        self.admit_waiting(now, workspace);
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        let mut expired = Vec::new();
        while let Some(first) = state.waiting.pop_front_if(|first| first.deadline <= now) {
            expired.push(first);
        }
        if !expired.is_empty() {
            state.back_off(now);
        }
        let has_timed_out = !state.waiting.is_empty() && now >= state.requested_at + LENDER_TIMEOUT;
        let loan_attempts = state.loan_attempts;
        for WaitingRequest { ticket, request, .. } in expired {
            self.refuse_for_allowance(now, ticket, workspace, request.tokens);
        }
        if has_timed_out && loan_attempts < MAX_LOAN_ATTEMPTS {
            self.request_loan_for_waiting(now, workspace);
        }
    }

    /// Refuses the waiting requests if the bucket takes longer than
    /// [`LOAN_WAIT`] to refill the tokens of the first one.
    ///
    /// Called when no member lends. Waiting still helps if the own share
    /// refills soon enough, or if shares are just being transferred and the
    /// refill time is unknown.
    pub(super) fn refuse_unless_refilled_soon(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get(workspace) else { return };
        let Some(first) = state.waiting.front() else { return };
        let refill = state.bucket.refill_time(first.request.tokens);
        if refill.is_some_and(|refill| refill > LOAN_WAIT) {
            self.refuse_waiting(now, workspace);
        }
    }

    /// Refuses all waiting requests at once and starts the backoff, since no
    /// member has tokens to lend.
    pub(super) fn refuse_waiting(&mut self, now: Duration, workspace: &WorkspaceId) {
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.back_off(now);
        let waiting = std::mem::take(&mut state.waiting);
        for WaitingRequest { ticket, request, .. } in waiting {
            self.refuse_for_allowance(now, ticket, workspace, request.tokens);
        }
    }
}
