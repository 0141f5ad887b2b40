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

use crate::decision::invariant::Invariant;
use crate::ids::{ALL_PARTS, ShareParts, Tokens};

/// Time for which a borrower may use lent parts.
pub const LOAN_DURATION: Duration = Duration::from_millis(5_000);
/// Time that a lender waits beyond [`LOAN_DURATION`], for clocks that drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(500);
/// Time between two updates of the demand estimate.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

const MICRO: u64 = ALL_PARTS;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
const DEMAND_WEIGHT: f64 = 0.3;
const DEMAND_HEADROOM: f64 = 1.3;

/// Parts that changed hands until a local time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ShareLoan {
    parts: ShareParts,
    until: Duration,
}

/// What a lender hands over.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoanOffer {
    /// Parts of the allowance.
    pub parts: ShareParts,
    /// Tokens that move with them, for good.
    pub tokens: Tokens,
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
    demand_window: Tokens,
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
    pub fn note_demand(&mut self, tokens: Tokens) {
        self.demand_window = self.demand_window.saturating_add(tokens);
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
        self.outstanding = self.outstanding.saturating_sub(reserved);
        self.level += unused;
        self.clamp();
    }

    /// Returns the parts that the estimated demand needs.
    pub fn wanted_parts(&self) -> ShareParts {
        if self.rate == 0 {
            return 0;
        }
        let parts = self.demand * DEMAND_HEADROOM * ALL_PARTS as f64 / self.rate as f64;
        (parts as ShareParts).min(ALL_PARTS)
    }

    /// Returns the parts whose capacity holds `tokens`.
    pub fn parts_holding(&self, tokens: Tokens) -> ShareParts {
        if self.burst == 0 {
            return 0;
        }
        let parts = u128::from(tokens) * u128::from(ALL_PARTS);
        let parts = parts.div_ceil(u128::from(self.burst));
        parts.min(u128::from(ALL_PARTS)) as ShareParts
    }

    /// Lends parts and tokens that this host does not need itself.
    ///
    /// Only base parts are lent: a borrowed part passed on would outlive the
    /// loan that it came with.
    pub fn lend(&mut self, now: Duration, wanted: LoanOffer) -> LoanOffer {
        self.advance(now);
        let own = self.parts();
        let spare = own.saturating_sub(self.wanted_parts().max(ALL_PARTS / 1_000));
        let lendable = spare.min(self.base.saturating_sub(self.lent_parts()));
        let parts = wanted.parts.min(lendable);
        if parts == 0 || own == 0 {
            return LoanOffer::default();
        }
        let spare_level = (u128::from(self.level) * u128::from(spare) / u128::from(own)) as u64;
        let holdable = self.burst.saturating_mul(parts) / MICRO;
        let tokens = wanted.tokens.min(spare_level / MICRO).min(holdable);
        self.level -= tokens * MICRO;
        self.lent.push(ShareLoan { parts, until: now + LOAN_DURATION + LOAN_MARGIN });
        Invariant::LoanWithinShare.check(self.lent_parts() <= self.base);
        self.clamp();
        LoanOffer { parts, tokens }
    }

    /// Takes in a loan that was asked for at `asked_at`.
    pub fn borrow_loan(&mut self, now: Duration, asked_at: Duration, offer: LoanOffer) {
        self.advance(now);
        let until = asked_at + LOAN_DURATION;
        if offer.parts == 0 || until <= now {
            return;
        }
        self.borrowed.push(ShareLoan { parts: offer.parts, until });
        self.level += offer.tokens.saturating_mul(MICRO);
        self.clamp();
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
        let rate = self.demand_window as f64 / elapsed.as_secs_f64();
        self.demand += DEMAND_WEIGHT * (rate - self.demand);
        self.demand_window = 0;
        self.demand_at = now;
    }
}
