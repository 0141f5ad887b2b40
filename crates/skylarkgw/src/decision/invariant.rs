//! Invariants that are checked in release builds.
//!
//! A violation is counted, and the caller refuses the operation. The process is
//! not aborted, because that would interrupt the unrelated streams of the host.

use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold at all times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// The level of a token bucket plus its outstanding reservations does not
    /// exceed the capacity.
    BucketWithinCapacity,
    /// The sum of the parts recorded for all hosts does not exceed the whole
    /// allowance.
    SharesWithinWhole,
    /// The revision of the configuration in force never decreases.
    RevisionNeverFalls,
    /// A call under an idempotency key is never sent again once it may have left
    /// the host.
    CallSentOnce,
    /// A host lends no more parts than it owns.
    LoanWithinShare,
    /// A requested model or adapter is served within the bound.
    TargetServedInBound,
}

/// Number of variants of [`Invariant`].
const INVARIANT_COUNT: usize = 6;

static VIOLATIONS: [AtomicU64; INVARIANT_COUNT] = [const { AtomicU64::new(0) }; INVARIANT_COUNT];

impl Invariant {
    /// All invariants, in the order in which the metrics list them.
    pub const ALL: [Invariant; INVARIANT_COUNT] = [
        Invariant::BucketWithinCapacity,
        Invariant::SharesWithinWhole,
        Invariant::RevisionNeverFalls,
        Invariant::CallSentOnce,
        Invariant::LoanWithinShare,
        Invariant::TargetServedInBound,
    ];

    /// Returns the value of the metric label for this invariant.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::BucketWithinCapacity => "bucket_within_capacity",
            Invariant::SharesWithinWhole => "shares_within_whole",
            Invariant::RevisionNeverFalls => "revision_never_falls",
            Invariant::CallSentOnce => "order_sent_once",
            Invariant::LoanWithinShare => "loan_within_share",
            Invariant::TargetServedInBound => "target_served_in_bound",
        }
    }

    /// Returns the number of violations of this invariant in this process.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }

    /// Counts a violation if `holds` is false, and returns `holds`.
    pub fn check(self, holds: bool) -> bool {
        if !holds {
            VIOLATIONS[self as usize].fetch_add(1, Ordering::Relaxed);
        }
        holds
    }
}

/// Returns the number of violations of all invariants in this process.
pub fn total_violations() -> u64 {
    Invariant::ALL.iter().map(|invariant| invariant.violations()).sum()
}
