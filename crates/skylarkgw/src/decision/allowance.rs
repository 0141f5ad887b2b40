//! Allowance: rate and burst of a workspace, exact over all hosts.
//!
//! Every host owns a base share of each allowance and runs a token bucket for
//! it. Hosts lend each other parts of their shares for [`LOAN_DURATION`]: the
//! borrower counts from the moment it asked, the lender from the moment it
//! granted, so the borrower has always stopped before the lender resumes, and
//! a lost message costs time but never breaks the bound. `docs/DESIGN.md`
//! gives the argument and the schemes that were weighed against it.
//!
//! Reservations that are still running count against the capacity. Without
//! this, a late refund into a bucket that has refilled in the meantime would
//! admit more than burst + rate x time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::invariant::Invariant;
use crate::decision::message::LoanId;
use crate::ids::{PARTS_PER_ALLOWANCE, ShareParts, Tokens};

/// Time for which a borrower may use lent parts.
pub const LOAN_DURATION: Duration = Duration::from_millis(5_000);
/// Time for which parts that are themselves borrowed may be lent on.
pub const ONWARD_DURATION: Duration = Duration::from_millis(1_500);
/// Time that a lender waits beyond [`LOAN_DURATION`], for clocks that drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(500);
/// Time between two updates of the demand estimate.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a loan is kept before it may be given up.
pub const LOAN_MINIMUM: Duration = Duration::from_millis(500);

const SHORTEST_WINDOW: Duration = Duration::from_millis(100);
const MICRO: u64 = PARTS_PER_ALLOWANCE;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
const HELP_DIVISOR: ShareParts = 4;
const RISING_WEIGHT: f64 = 0.3;
const FALLING_WEIGHT: f64 = 0.6;
const DEMAND_HEADROOM: f64 = 1.3;

/// Parts that changed hands until a local time.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ShareLoan {
    id: LoanId,
    parts: ShareParts,
    since: Duration,
    until: Duration,
}

/// Why a loan is asked for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoanPurpose {
    /// A request waits for tokens.
    Waiting,
    /// The demand outgrows the share.
    Demand,
}

/// What a lender hands over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoanOffer {
    /// Parts of the allowance.
    pub parts: ShareParts,
    /// Tokens that move with them, for good.
    pub tokens: Tokens,
    /// Time for which the parts may be used, counted from the asking.
    pub duration: Duration,
}

/// One workspace's bucket on one host.
#[derive(Debug)]
pub struct AllowanceBucket {
    rate: Tokens,
    burst: Tokens,
    base: ShareParts,
    borrowed: Vec<ShareLoan>,
    lent: Vec<ShareLoan>,
    level: u64,
    outstanding: u64,
    carry: u128,
    refilled_at: Duration,
    demand: f64,
    demand_window: i64,
    demand_at: Duration,
}

impl AllowanceBucket {
    /// Creates an empty bucket.
    ///
    /// It starts empty because a full one would hand out the burst again
    /// whenever hosts are replaced.
    pub fn new(now: Duration, rate: Tokens, burst: Tokens, base: ShareParts) -> AllowanceBucket {
        AllowanceBucket {
            rate,
            burst,
            base,
            borrowed: Vec::new(),
            lent: Vec::new(),
            level: 0,
            outstanding: 0,
            carry: 0,
            refilled_at: now,
            demand: 0.0,
            demand_window: 0,
            demand_at: now,
        }
    }

    /// Returns the parts that this host may use now.
    pub fn parts(&self) -> ShareParts {
        let borrowed: ShareParts = self.borrowed.iter().map(|loan| loan.parts).sum();
        (self.base + borrowed).saturating_sub(self.lent_parts())
    }

    /// Returns the parts that this host may use at a time, with a base share
    /// that may differ from the one set last.
    pub fn parts_at(&self, at: Duration, base: ShareParts) -> ShareParts {
        let active = |loans: &[ShareLoan]| -> ShareParts {
            loans.iter().filter(|loan| loan.until > at).map(|loan| loan.parts).sum()
        };
        (base + active(&self.borrowed)).saturating_sub(active(&self.lent))
    }

    /// Returns the parts that this host has lent out.
    pub fn lent_parts(&self) -> ShareParts {
        self.lent.iter().map(|loan| loan.parts).sum()
    }

    /// Returns the tokens that a request may reserve now.
    pub fn available(&self) -> Tokens {
        self.level / MICRO
    }

    /// Returns the whole allowance's burst, in tokens.
    pub fn burst(&self) -> Tokens {
        self.burst
    }

    /// Brings the bucket to `now`: refills it and ends loans that ran out.
    pub fn advance(&mut self, now: Duration) {
        while let Some(until) = self.next_expiry().filter(|until| *until <= now) {
            self.refill(until);
            self.borrowed.retain(|loan| loan.until > until);
            self.lent.retain(|loan| loan.until > until);
            self.clamp();
        }
        self.refill(now);
        self.update_demand(now);
    }

    /// Sets rate and burst as a new revision gives them.
    pub fn set_allowance(&mut self, now: Duration, rate: Tokens, burst: Tokens) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// Sets the base share; parts that are lent out stay lent.
    pub fn set_base(&mut self, now: Duration, base: ShareParts) {
        self.advance(now);
        self.base = base;
        self.clamp();
    }

    /// Notes that a request wants tokens, for the demand estimate.
    ///
    /// What it does not use is taken off again when it is settled: an estimate
    /// of reservations made every host want more than its share at half load.
    pub fn note_demand(&mut self, tokens: Tokens) {
        self.demand_window += tokens as i64;
    }

    /// Reserves tokens for a request and returns whether they were there.
    pub fn reserve(&mut self, now: Duration, tokens: Tokens) -> bool {
        self.advance(now);
        let wanted = tokens.saturating_mul(MICRO);
        if self.level < wanted {
            return false;
        }
        self.level -= wanted;
        self.outstanding += wanted;
        true
    }

    /// Ends a reservation and gives back what was not used.
    pub fn settle(&mut self, now: Duration, reserved: Tokens, used: Tokens) {
        self.advance(now);
        let reserved = reserved.saturating_mul(MICRO);
        let unused = reserved.saturating_sub(used.saturating_mul(MICRO));
        self.demand_window -= (unused / MICRO) as i64;
        self.outstanding = self.outstanding.saturating_sub(reserved);
        self.level += unused;
        self.clamp();
    }

    /// Returns the parts that the estimated demand needs.
    pub fn wanted_parts(&self) -> ShareParts {
        if self.rate == 0 {
            return 0;
        }
        let parts = self.demand * DEMAND_HEADROOM * PARTS_PER_ALLOWANCE as f64 / self.rate as f64;
        (parts as ShareParts).min(PARTS_PER_ALLOWANCE)
    }

    /// Returns the parts whose capacity holds `tokens`.
    pub fn parts_holding(&self, tokens: Tokens) -> ShareParts {
        if self.burst == 0 {
            return 0;
        }
        let parts = u128::from(tokens) * u128::from(PARTS_PER_ALLOWANCE);
        let parts = parts.div_ceil(u128::from(self.burst));
        parts.min(u128::from(PARTS_PER_ALLOWANCE)) as ShareParts
    }

    /// Returns the parts that this host lacks to hold `tokens` beside what its
    /// running requests have reserved.
    pub fn missing_parts(&self, tokens: Tokens) -> ShareParts {
        let outstanding = self.outstanding.div_ceil(MICRO);
        self.parts_holding(tokens.saturating_add(outstanding)).saturating_sub(self.parts())
    }

    /// Lends parts and tokens, or extends the loan if `id` is already lent.
    ///
    /// Parts beyond this host's own demand go first. For a request that waits,
    /// a host that has tokens left gives up to a quarter of its parts and half
    /// of its tokens even if it wants more parts itself. `wanted.duration` is
    /// the longest time that it lends for.
    pub fn lend(
        &mut self,
        now: Duration,
        id: &LoanId,
        purpose: LoanPurpose,
        wanted: LoanOffer,
    ) -> LoanOffer {
        self.advance(now);
        let needed = self.wanted_parts();
        let own = self.parts();
        if self.lent.iter().any(|loan| loan.id == *id) {
            return self.extend(now, id, own >= needed);
        }
        let help = match purpose {
            LoanPurpose::Waiting => own / HELP_DIVISOR,
            LoanPurpose::Demand => 0,
        };
        let spare = own.saturating_sub(needed).max(help);
        let duration = match self.base.saturating_sub(self.lent_parts()) {
            0 => ONWARD_DURATION,
            _ => wanted.duration,
        };
        let until = now + duration + LOAN_MARGIN;
        let lendable = self.least_cover(now, until, None).max(0) as ShareParts;
        let parts = wanted.parts.min(spare).min(lendable);
        if parts == 0 {
            return LoanOffer::default();
        }
        let spare_level = (u128::from(self.level) * u128::from(spare) / u128::from(own)) as u64;
        let spare_level = spare_level.max(self.level / 2);
        let holdable = self.burst.saturating_mul(parts) / MICRO;
        let tokens = wanted.tokens.min(spare_level / MICRO).min(holdable);
        self.level -= tokens * MICRO;
        self.lent.push(ShareLoan { id: id.clone(), parts, since: now, until });
        Invariant::LoanWithinShare.check(self.least_cover(now, until, None) >= 0);
        self.clamp();
        LoanOffer { parts, tokens, duration }
    }

    /// Extends a loan out of the base share; others run out.
    fn extend(&mut self, now: Duration, id: &LoanId, has_spare: bool) -> LoanOffer {
        let until = now + LOAN_DURATION + LOAN_MARGIN;
        if !has_spare || self.lent_parts() > self.base {
            return LoanOffer::default();
        }
        let Some(loan) = self.lent.iter_mut().find(|loan| loan.id == *id) else {
            return LoanOffer::default();
        };
        loan.until = loan.until.max(until);
        LoanOffer { parts: loan.parts, tokens: 0, duration: LOAN_DURATION }
    }

    /// Returns the parts held beyond what is lent out, just after a time.
    ///
    /// Negative would mean that somebody uses parts that went back already.
    fn cover(&self, at: Duration, without: Option<usize>) -> i64 {
        let active = |loan: &&ShareLoan| loan.until > at;
        let borrowed = self.borrowed.iter().enumerate();
        let borrowed = borrowed.filter(|(place, _)| Some(*place) != without);
        let borrowed: ShareParts =
            borrowed.map(|(_, loan)| loan).filter(active).map(|loan| loan.parts).sum();
        let lent: ShareParts = self.lent.iter().filter(active).map(|loan| loan.parts).sum();
        (self.base + borrowed) as i64 - lent as i64
    }

    /// Returns the smallest cover from now until a time.
    ///
    /// A borrowed part that is lent on must not outlive its loan, so each end
    /// of a loan before that time counts.
    fn least_cover(&self, now: Duration, until: Duration, without: Option<usize>) -> i64 {
        let ends = self.borrowed.iter().map(|loan| loan.until).filter(|end| *end < until);
        let covers = ends.chain([now]).map(|at| self.cover(at, without));
        covers.min().unwrap_or(0)
    }

    /// Takes in a loan, or the extension of one, that was asked for at
    /// `asked_at`.
    pub fn borrow_loan(
        &mut self,
        now: Duration,
        asked_at: Duration,
        id: &LoanId,
        offer: LoanOffer,
    ) {
        self.advance(now);
        let until = asked_at + offer.duration.min(LOAN_DURATION);
        if offer.parts == 0 || until <= now {
            return;
        }
        match self.borrowed.iter_mut().find(|loan| loan.id == *id) {
            Some(loan) => loan.until = loan.until.max(until),
            None => {
                let (id, parts) = (id.clone(), offer.parts);
                self.borrowed.push(ShareLoan { id, parts, since: now, until });
            }
        }
        self.level += offer.tokens.saturating_mul(MICRO);
        self.clamp();
    }

    /// Gives up the loans that are not needed any more, with their part of the
    /// tokens at hand.
    ///
    /// The lender may use the parts as soon as it hears of it, so the loans end
    /// here first.
    pub fn return_loans(&mut self, now: Duration) -> Vec<(LoanId, Tokens)> {
        self.advance(now);
        let mut surplus = self.parts().saturating_sub(self.wanted_parts());
        let mut returned = Vec::new();
        while let Some(at) = self.returnable(now, surplus) {
            let loan = self.borrowed.swap_remove(at);
            surplus -= loan.parts;
            let parts = u128::from(self.parts() + loan.parts);
            let level = u128::from(self.level) * u128::from(loan.parts) / parts.max(1);
            let tokens = level as u64 / MICRO;
            self.level -= tokens * MICRO;
            self.clamp();
            returned.push((loan.id, tokens));
        }
        returned
    }

    /// Returns the place of a loan that may be given up: it is not needed, and
    /// what is lent on does not rest on it.
    fn returnable(&self, now: Duration, surplus: ShareParts) -> Option<usize> {
        (0..self.borrowed.len()).find(|place| {
            let loan = &self.borrowed[*place];
            let old = now.saturating_sub(loan.since) >= LOAN_MINIMUM;
            old && loan.parts <= surplus && self.least_cover(now, loan.until, Some(*place)) >= 0
        })
    }

    /// Takes back a loan that the borrower has given up.
    pub fn take_back(&mut self, now: Duration, id: &LoanId, tokens: Tokens) {
        self.advance(now);
        let Some(at) = self.lent.iter().position(|loan| loan.id == *id) else { return };
        self.lent.swap_remove(at);
        self.level += tokens.saturating_mul(MICRO);
        self.clamp();
    }

    /// Returns the tokens that are likely to be wanted within a time.
    pub fn expected_tokens(&self, time: Duration) -> Tokens {
        let elapsed = self.refilled_at.saturating_sub(self.demand_at).max(SHORTEST_WINDOW);
        let latest = self.demand_window.max(0) as f64 / elapsed.as_secs_f64();
        (self.demand.max(latest) * time.as_secs_f64()) as Tokens
    }

    /// Returns the loans that run out before `end` and are still needed.
    pub fn loans_to_extend(&self, end: Duration) -> Vec<LoanId> {
        let mut surplus = self.parts().saturating_sub(self.wanted_parts());
        let mut needed = Vec::new();
        for loan in self.borrowed.iter().filter(|loan| loan.until < end) {
            if loan.parts <= surplus {
                surplus -= loan.parts;
            } else {
                needed.push(loan.id.clone());
            }
        }
        needed
    }

    /// Returns when `tokens` will have been refilled at the present share.
    ///
    /// `None` means that this share never holds that many.
    pub fn refill_time(&self, tokens: Tokens) -> Option<Duration> {
        let parts = self.parts().max(self.base);
        if tokens > self.burst || self.rate == 0 || parts == 0 {
            return None;
        }
        let missing = tokens.saturating_mul(MICRO).saturating_sub(self.level);
        let speed = self.rate as f64 * parts as f64;
        Some(Duration::from_secs_f64(missing as f64 / speed))
    }

    fn capacity(&self) -> u64 {
        self.burst.saturating_mul(self.parts())
    }

    fn next_expiry(&self) -> Option<Duration> {
        self.borrowed.iter().chain(&self.lent).map(|loan| loan.until).min()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = u128::from(self.rate) * u128::from(self.parts()) * elapsed.as_nanos();
        let gained = gained + self.carry;
        self.carry = gained % NANOS_PER_SECOND;
        let gained = u64::try_from(gained / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(gained);
        self.clamp();
    }

    fn clamp(&mut self) {
        let room = self.capacity().saturating_sub(self.outstanding);
        if self.level >= room {
            self.level = room;
            self.carry = 0;
        }
        Invariant::BucketWithinCapacity
            .check(self.level == 0 || self.level + self.outstanding <= self.capacity());
    }

    fn update_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_at);
        if elapsed < DEMAND_INTERVAL {
            return;
        }
        let rate = self.demand_window.max(0) as f64 / elapsed.as_secs_f64();
        let weight = if rate < self.demand { FALLING_WEIGHT } else { RISING_WEIGHT };
        self.demand += weight * (rate - self.demand);
        self.demand_window = 0;
        self.demand_at = now;
    }
}
