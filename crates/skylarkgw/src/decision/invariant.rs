//! Invariants that are asserted in release builds.
//!
//! A violation is counted, and the caller takes the refusing branch. Aborting
//! the process was rejected: one host's fault would cut unrelated streams.

use std::sync::atomic::{AtomicU64, Ordering};

/// What must hold at all times.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A bucket's level and outstanding reservations stay within its capacity.
    BucketWithinCapacity,
    /// The parts recorded for all hosts add up to no more than the whole.
    SharesWithinWhole,
    /// The revision in force never falls.
    RevisionNeverFalls,
    /// An order that may have left is never sent again.
    OrderSentOnce,
    /// A host lends no more than it owns.
    LoanWithinShare,
}

const INVARIANT_COUNT: usize = 5;

static VIOLATIONS: [AtomicU64; INVARIANT_COUNT] = [const { AtomicU64::new(0) }; INVARIANT_COUNT];

impl Invariant {
    /// All invariants, in the order of their metric labels.
    pub const ALL: [Invariant; INVARIANT_COUNT] = [
        Invariant::BucketWithinCapacity,
        Invariant::SharesWithinWhole,
        Invariant::RevisionNeverFalls,
        Invariant::OrderSentOnce,
        Invariant::LoanWithinShare,
    ];

    /// Returns the label of this invariant in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::BucketWithinCapacity => "bucket_within_capacity",
            Invariant::SharesWithinWhole => "shares_within_whole",
            Invariant::RevisionNeverFalls => "revision_never_falls",
            Invariant::OrderSentOnce => "order_sent_once",
            Invariant::LoanWithinShare => "loan_within_share",
        }
    }

    /// Returns how often this invariant was violated in this process.
    pub fn violations(self) -> u64 {
        VIOLATIONS[self as usize].load(Ordering::Relaxed)
    }

    /// Counts a violation unless `holds`, and returns `holds`.
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
