//! Token buckets that enforce a workspace's rate and burst exactly over all
//! hosts.
//!
//! Every host owns a base share of each allowance and runs a token bucket for
//! it. Hosts lend each other parts of their shares for [`LOAN_DURATION`]. The
//! borrower counts this time from its request and the lender from its grant, so
//! the borrower always stops before the lender resumes. A lost message delays a
//! loan or its return, but never admits more than rate and burst allow.
//! `docs/DESIGN.md` gives the argument and compares this scheme with the
//! alternatives.
//!
//! Reservations of running requests count against the capacity. Otherwise a
//! late refund into a bucket that has refilled in the meantime would admit more
//! than burst + rate x time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::invariant::Invariant;
use crate::decision::message::LoanId;
use crate::ids::{PARTS_PER_ALLOWANCE, ShareParts, Tokens};

/// Time for which a borrower may use lent parts, counted from its request.
pub const LOAN_DURATION: Duration = Duration::from_millis(5_000);
/// Duration of a loan granted by a host that lends borrowed parts, because
/// nothing of its own base share is left, or by a host that is leaving.
pub const SUBLOAN_DURATION: Duration = Duration::from_millis(1_500);
/// Time for which a lender keeps parts reserved beyond the duration of the
/// loan, to allow for clock drift.
pub const LOAN_MARGIN: Duration = Duration::from_millis(500);
/// Minimum time between two updates of the demand estimate.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum age at which a borrowed loan may be returned.
pub const MIN_LOAN_AGE: Duration = Duration::from_millis(500);

/// Minimum time over which the latest demand is averaged.
const MIN_DEMAND_WINDOW: Duration = Duration::from_millis(100);
/// Units of a bucket's level in one token. It equals [`PARTS_PER_ALLOWANCE`], so that
/// tokens times parts yields microtokens.
const MICROTOKENS_PER_TOKEN: u64 = PARTS_PER_ALLOWANCE;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
/// Divisor of the parts that a host lends for a waiting request although it
/// needs them itself.
const WAITING_LOAN_DIVISOR: ShareParts = 4;
/// Weight of a new sample in the demand estimate when demand rises.
const RISING_DEMAND_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the demand estimate when demand falls.
const FALLING_DEMAND_WEIGHT: f64 = 0.6;
/// Ratio of the parts that a host requires to those that its estimated demand
/// uses.
const DEMAND_HEADROOM: f64 = 1.3;

/// A loan of parts, with its start and end in local time.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ShareLoan {
    id: LoanId,
    parts: ShareParts,
    started_at: Duration,
    ends_at: Duration,
}

/// The reason for a loan request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoanPurpose {
    /// A request is waiting for tokens.
    Waiting,
    /// Demand exceeds the share of the host.
    Demand,
}

/// The terms of a loan, as requested or as granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoanOffer {
    /// Parts of the allowance; 0 refuses the loan.
    pub parts: ShareParts,
    /// Tokens that move to the borrower and do not return when the loan expires.
    pub tokens: Tokens,
    /// Time for which the parts may be used, counted from the request.
    pub duration: Duration,
}

/// A token bucket for one workspace on one host.
#[derive(Debug)]
pub struct AllowanceBucket {
    /// Rate of the whole allowance, in tokens per second.
    rate: Tokens,
    /// Burst of the whole allowance, in tokens.
    burst: Tokens,
    /// Parts owned by this host.
    base: ShareParts,
    borrowed: Vec<ShareLoan>,
    lent: Vec<ShareLoan>,
    /// Tokens that may be reserved, in microtokens.
    level: u64,
    /// Tokens reserved by running requests, in microtokens.
    outstanding: u64,
    /// Remainder of the last refill, in billionths of a microtoken.
    refill_remainder: u128,
    refilled_at: Duration,
    /// Moving average of the demand, in tokens per second.
    demand_per_s: f64,
    /// Tokens requested since `demand_at`; negative when refunds exceed them.
    demand_tokens: i64,
    /// Local time of the last update of `demand_per_s`.
    demand_at: Duration,
}

impl AllowanceBucket {
    /// Creates an empty bucket.
    ///
    /// A full one would grant the burst again whenever hosts are replaced.
    pub fn new(now: Duration, rate: Tokens, burst: Tokens, base: ShareParts) -> AllowanceBucket {
        AllowanceBucket {
            rate,
            burst,
            base,
            borrowed: Vec::new(),
            lent: Vec::new(),
            level: 0,
            outstanding: 0,
            refill_remainder: 0,
            refilled_at: now,
            demand_per_s: 0.0,
            demand_tokens: 0,
            demand_at: now,
        }
    }

    /// Returns the parts that this host may use, as of the last
    /// [`advance`](Self::advance).
    pub fn parts(&self) -> ShareParts {
        let borrowed: ShareParts = self.borrowed.iter().map(|loan| loan.parts).sum();
        (self.base + borrowed).saturating_sub(self.lent_parts())
    }

    /// Returns the parts that this host may use at a time, given a base share
    /// that may differ from the one set last.
    pub fn parts_at(&self, at: Duration, base: ShareParts) -> ShareParts {
        let active = |loans: &[ShareLoan]| -> ShareParts {
            loans.iter().filter(|loan| loan.ends_at > at).map(|loan| loan.parts).sum()
        };
        (base + active(&self.borrowed)).saturating_sub(active(&self.lent))
    }

    /// Returns the parts that this host has lent to others.
    pub fn lent_parts(&self) -> ShareParts {
        self.lent.iter().map(|loan| loan.parts).sum()
    }

    /// Returns the number of tokens that a request may reserve, as of the last
    /// [`advance`](Self::advance).
    pub fn available(&self) -> Tokens {
        self.level / MICROTOKENS_PER_TOKEN
    }

    /// Returns the burst of the whole allowance, in tokens.
    pub fn burst(&self) -> Tokens {
        self.burst
    }

    /// Refills the bucket up to `now`, removes loans that have ended, and updates
    /// the demand estimate.
    pub fn advance(&mut self, now: Duration) {
        while let Some(ends_at) = self.next_expiry().filter(|ends_at| *ends_at <= now) {
            self.refill(ends_at);
            self.borrowed.retain(|loan| loan.ends_at > ends_at);
            self.lent.retain(|loan| loan.ends_at > ends_at);
            self.clamp_level();
        }
        self.refill(now);
        self.update_demand(now);
    }

    /// Sets the rate and burst of the whole allowance.
    pub fn set_allowance(&mut self, now: Duration, rate: Tokens, burst: Tokens) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.clamp_level();
    }

    /// Sets the base share. Parts that are lent out remain lent.
    pub fn set_base(&mut self, now: Duration, base: ShareParts) {
        self.advance(now);
        self.base = base;
        self.clamp_level();
    }

    /// Adds the tokens of a request to the demand estimate.
    ///
    /// [`settle`](Self::settle) subtracts the unused ones again. An estimate of
    /// the reserved instead of the used tokens made every host request more than
    /// its share at half load.
    pub fn record_demand(&mut self, tokens: Tokens) {
        self.demand_tokens += tokens as i64;
    }

    /// Reserves tokens for a request and returns whether enough were available.
    pub fn try_reserve(&mut self, now: Duration, tokens: Tokens) -> bool {
        self.advance(now);
        let wanted = tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        if self.level < wanted {
            return false;
        }
        self.level -= wanted;
        self.outstanding += wanted;
        true
    }

    /// Ends a reservation and refunds its unused tokens.
    pub fn settle(&mut self, now: Duration, reserved: Tokens, used: Tokens) {
        self.advance(now);
        let reserved = reserved.saturating_mul(MICROTOKENS_PER_TOKEN);
        let unused = reserved.saturating_sub(used.saturating_mul(MICROTOKENS_PER_TOKEN));
        self.demand_tokens -= (unused / MICROTOKENS_PER_TOKEN) as i64;
        self.outstanding = self.outstanding.saturating_sub(reserved);
        self.level += unused;
        self.clamp_level();
    }

    /// Returns the parts that the estimated demand requires, including
    /// headroom.
    pub fn parts_for_demand(&self) -> ShareParts {
        if self.rate == 0 {
            return 0;
        }
        let parts =
            self.demand_per_s * DEMAND_HEADROOM * PARTS_PER_ALLOWANCE as f64 / self.rate as f64;
        (parts as ShareParts).min(PARTS_PER_ALLOWANCE)
    }

    /// Returns the fewest parts whose capacity holds `tokens`, at most
    /// [`PARTS_PER_ALLOWANCE`].
    pub fn parts_for_tokens(&self, tokens: Tokens) -> ShareParts {
        if self.burst == 0 {
            return 0;
        }
        let parts = u128::from(tokens) * u128::from(PARTS_PER_ALLOWANCE);
        let parts = parts.div_ceil(u128::from(self.burst));
        parts.min(u128::from(PARTS_PER_ALLOWANCE)) as ShareParts
    }

    /// Returns the parts that this host lacks to hold `tokens` and the
    /// reservations of its running requests.
    pub fn missing_parts(&self, tokens: Tokens) -> ShareParts {
        let outstanding = self.outstanding.div_ceil(MICROTOKENS_PER_TOKEN);
        self.parts_for_tokens(tokens.saturating_add(outstanding)).saturating_sub(self.parts())
    }

    /// Lends parts and tokens, or extends the loan if `id` is already lent.
    ///
    /// Lends the parts that this host's own demand does not require. For a
    /// waiting request, it lends up to a quarter of its parts even if it needs
    /// them itself. Returns an offer of zero parts if nothing can be lent.
    ///
    /// The tokens are limited to the proportion of the level that belongs to
    /// the parts that can be spared, or to half of the level if that is more,
    /// and to the capacity of the parts lent. `wanted.duration` is the maximum
    /// duration of the loan.
    pub fn lend(
        &mut self,
        now: Duration,
        id: &LoanId,
        purpose: LoanPurpose,
        wanted: LoanOffer,
    ) -> LoanOffer {
        self.advance(now);
        let needed = self.parts_for_demand();
        let usable = self.parts();
        if self.lent.iter().any(|loan| loan.id == *id) {
            return self.extend_loan(now, id, usable >= needed);
        }
        let min_spare = match purpose {
            LoanPurpose::Waiting => usable / WAITING_LOAN_DIVISOR,
            LoanPurpose::Demand => 0,
        };
        let spare = usable.saturating_sub(needed).max(min_spare);
        let duration = match self.base.saturating_sub(self.lent_parts()) {
            0 => SUBLOAN_DURATION,
            _ => wanted.duration,
        };
        let ends_at = now + duration + LOAN_MARGIN;
        let lendable = self.min_unlent_parts(now, ends_at, None).max(0) as ShareParts;
        let parts = wanted.parts.min(spare).min(lendable);
        if parts == 0 {
            return LoanOffer::default();
        }
        let spare_level = (u128::from(self.level) * u128::from(spare) / u128::from(usable)) as u64;
        let spare_level = spare_level.max(self.level / 2);
        let holdable = self.burst.saturating_mul(parts) / MICROTOKENS_PER_TOKEN;
        let tokens = wanted.tokens.min(spare_level / MICROTOKENS_PER_TOKEN).min(holdable);
        self.level -= tokens * MICROTOKENS_PER_TOKEN;
        self.lent.push(ShareLoan { id: id.clone(), parts, started_at: now, ends_at });
        Invariant::LoanWithinShare.check(self.min_unlent_parts(now, ends_at, None) >= 0);
        self.clamp_level();
        LoanOffer { parts, tokens, duration }
    }

    /// Extends a loan if the base share covers all parts lent out, so that loans
    /// of borrowed parts expire.
    ///
    /// `has_spare` is whether this host's parts cover its own demand. If they do
    /// not, the loan is not extended either.
    fn extend_loan(&mut self, now: Duration, id: &LoanId, has_spare: bool) -> LoanOffer {
        let ends_at = now + LOAN_DURATION + LOAN_MARGIN;
        if !has_spare || self.lent_parts() > self.base {
            return LoanOffer::default();
        }
        let Some(loan) = self.lent.iter_mut().find(|loan| loan.id == *id) else {
            return LoanOffer::default();
        };
        loan.ends_at = loan.ends_at.max(ends_at);
        LoanOffer { parts: loan.parts, tokens: 0, duration: LOAN_DURATION }
    }

    /// Returns the parts held minus the parts lent out, just after a time.
    ///
    /// `without` is the index of a borrowed loan to leave out. A negative
    /// result would mean that a borrower uses parts after they have returned to
    /// their owner.
    fn unlent_parts_at(&self, at: Duration, without: Option<usize>) -> i64 {
        let active = |loan: &&ShareLoan| loan.ends_at > at;
        let borrowed = self.borrowed.iter().enumerate();
        let borrowed = borrowed.filter(|(index, _)| Some(*index) != without);
        let borrowed: ShareParts =
            borrowed.map(|(_, loan)| loan).filter(active).map(|loan| loan.parts).sum();
        let lent: ShareParts = self.lent.iter().filter(active).map(|loan| loan.parts).sum();
        (self.base + borrowed) as i64 - lent as i64
    }

    /// Returns the minimum of [`unlent_parts_at`](Self::unlent_parts_at) from
    /// `now` to `until`.
    ///
    /// Borrowed parts that are lent on must not outlive their loan, so the end
    /// of every borrowed loan before `until` is checked.
    fn min_unlent_parts(&self, now: Duration, until: Duration, without: Option<usize>) -> i64 {
        let ends = self.borrowed.iter().map(|loan| loan.ends_at).filter(|end| *end < until);
        let unlent = ends.chain([now]).map(|at| self.unlent_parts_at(at, without));
        unlent.min().unwrap_or(0)
    }

    /// Adds a loan granted by another host, or extends it if it is already
    /// held.
    ///
    /// `requested_at` is the time of the request, from which the duration of
    /// the loan counts. An offer that has no parts or has already ended has no
    /// effect.
    pub fn add_loan(
        &mut self,
        now: Duration,
        requested_at: Duration,
        id: &LoanId,
        offer: LoanOffer,
    ) {
        self.advance(now);
        let ends_at = requested_at + offer.duration.min(LOAN_DURATION);
        if offer.parts == 0 || ends_at <= now {
            return;
        }
        match self.borrowed.iter_mut().find(|loan| loan.id == *id) {
            Some(loan) => loan.ends_at = loan.ends_at.max(ends_at),
            None => {
                let (id, parts) = (id.clone(), offer.parts);
                self.borrowed.push(ShareLoan { id, parts, started_at: now, ends_at });
            }
        }
        self.level += offer.tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        self.clamp_level();
    }

    /// Removes the loans that demand no longer requires, and returns each with
    /// its proportion of the available tokens.
    ///
    /// The lender may use the parts as soon as it receives the notice, so the
    /// loans must end here first.
    pub fn return_loans(&mut self, now: Duration) -> Vec<(LoanId, Tokens)> {
        self.advance(now);
        let mut surplus = self.parts().saturating_sub(self.parts_for_demand());
        let mut returned = Vec::new();
        while let Some(index) = self.find_returnable(now, surplus) {
            let loan = self.borrowed.swap_remove(index);
            surplus -= loan.parts;
            let parts = u128::from(self.parts() + loan.parts);
            let level = u128::from(self.level) * u128::from(loan.parts) / parts.max(1);
            let tokens = level as u64 / MICROTOKENS_PER_TOKEN;
            self.level -= tokens * MICROTOKENS_PER_TOKEN;
            self.clamp_level();
            returned.push((loan.id, tokens));
        }
        returned
    }

    /// Returns the index of a loan that may be returned: it is at least
    /// [`MIN_LOAN_AGE`] old and not needed, and no parts that are lent on depend
    /// on it.
    fn find_returnable(&self, now: Duration, surplus: ShareParts) -> Option<usize> {
        (0..self.borrowed.len()).find(|index| {
            let loan = &self.borrowed[*index];
            let is_old_enough = now.saturating_sub(loan.started_at) >= MIN_LOAN_AGE;
            is_old_enough
                && loan.parts <= surplus
                && self.min_unlent_parts(now, loan.ends_at, Some(*index)) >= 0
        })
    }

    /// Ends a loan that the borrower has returned, and adds the returned
    /// tokens.
    pub fn end_loan(&mut self, now: Duration, id: &LoanId, tokens: Tokens) {
        self.advance(now);
        let Some(index) = self.lent.iter().position(|loan| loan.id == *id) else { return };
        self.lent.swap_remove(index);
        self.level += tokens.saturating_mul(MICROTOKENS_PER_TOKEN);
        self.clamp_level();
    }

    /// Returns the number of tokens expected to be requested within `time`, at the
    /// higher of the moving average and the latest demand.
    pub fn expected_tokens(&self, time: Duration) -> Tokens {
        let elapsed = self.refilled_at.saturating_sub(self.demand_at).max(MIN_DEMAND_WINDOW);
        let latest = self.demand_tokens.max(0) as f64 / elapsed.as_secs_f64();
        (self.demand_per_s.max(latest) * time.as_secs_f64()) as Tokens
    }

    /// Returns the borrowed loans that end before `end` and are still needed.
    pub fn loans_to_extend(&self, end: Duration) -> Vec<LoanId> {
        let mut surplus = self.parts().saturating_sub(self.parts_for_demand());
        let mut needed = Vec::new();
        for loan in self.borrowed.iter().filter(|loan| loan.ends_at < end) {
            if loan.parts <= surplus {
                surplus -= loan.parts;
            } else {
                needed.push(loan.id.clone());
            }
        }
        needed
    }

    /// Returns the time until `tokens` are available at the present share, or
    /// at the base share if that is larger.
    ///
    /// Returns `None` if `tokens` exceeds the burst or nothing is refilled.
    pub fn refill_time(&self, tokens: Tokens) -> Option<Duration> {
        let parts = self.parts().max(self.base);
        if tokens > self.burst || self.rate == 0 || parts == 0 {
            return None;
        }
        let missing = tokens.saturating_mul(MICROTOKENS_PER_TOKEN).saturating_sub(self.level);
        let microtokens_per_s = self.rate as f64 * parts as f64;
        Some(Duration::from_secs_f64(missing as f64 / microtokens_per_s))
    }

    /// Returns the capacity of this host's parts, in microtokens.
    fn capacity(&self) -> u64 {
        self.burst.saturating_mul(self.parts())
    }

    fn next_expiry(&self) -> Option<Duration> {
        self.borrowed.iter().chain(&self.lent).map(|loan| loan.ends_at).min()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = u128::from(self.rate) * u128::from(self.parts()) * elapsed.as_nanos();
        let gained = gained + self.refill_remainder;
        self.refill_remainder = gained % NANOS_PER_SECOND;
        let gained = u64::try_from(gained / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.level = self.level.saturating_add(gained);
        self.clamp_level();
    }

    /// Limits the level to the capacity that no running request has reserved.
    fn clamp_level(&mut self) {
        let free_capacity = self.capacity().saturating_sub(self.outstanding);
        if self.level >= free_capacity {
            self.level = free_capacity;
            self.refill_remainder = 0;
        }
        Invariant::BucketWithinCapacity
            .check(self.level == 0 || self.level + self.outstanding <= self.capacity());
    }

    fn update_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_at);
        if elapsed < DEMAND_INTERVAL {
            return;
        }
        let rate = self.demand_tokens.max(0) as f64 / elapsed.as_secs_f64();
        let weight =
            if rate < self.demand_per_s { FALLING_DEMAND_WEIGHT } else { RISING_DEMAND_WEIGHT };
        self.demand_per_s += weight * (rate - self.demand_per_s);
        self.demand_tokens = 0;
        self.demand_at = now;
    }
}
