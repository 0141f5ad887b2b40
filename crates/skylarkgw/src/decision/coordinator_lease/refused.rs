//! Refused prompt parts in the lease record.

use std::time::Duration;

use crate::ids::PartHash;

/// Prompt parts that the holder refuses, each with the time at which a trial is due.
#[derive(Debug, Default)]
pub struct RefusedParts {
    parts: Vec<(PartHash, Duration)>,
}

impl RefusedParts {
    /// Replaces the parts, each with the time until a trial is due, and returns whether
    /// one was added or removed.
    pub fn replace(&mut self, now: Duration, refused: &[(PartHash, Duration)]) -> bool {
        let mut parts: Vec<PartHash> = refused.iter().map(|(part, _)| *part).collect();
        parts.sort_unstable();
        let mut known: Vec<PartHash> = self.parts.iter().map(|(part, _)| *part).collect();
        known.sort_unstable();
        self.parts = refused.iter().map(|(part, remaining)| (*part, now + *remaining)).collect();
        parts != known
    }

    /// Takes over the parts of another holder's record, so that this host keeps them if it
    /// takes the lease.
    ///
    /// A record that is not settled may lack the latest ones, so it only adds to those
    /// that are known.
    pub fn adopt(
        &mut self,
        now: Duration,
        refused: &[(PartHash, Duration)],
        is_own: bool,
        is_settled: bool,
    ) {
        let refused = refused.iter().map(|(part, remaining)| (*part, now + *remaining));
        if !is_settled {
            for (part, until) in refused {
                match self.parts.iter_mut().find(|(known, _)| *known == part) {
                    Some((_, known_until)) => *known_until = until.max(*known_until),
                    None => self.parts.push((part, until)),
                }
            }
        } else if !is_own || self.parts.is_empty() {
            self.parts = refused.collect();
        }
    }

    /// Returns the parts, each with the time until a trial is due.
    pub fn remaining(&self, now: Duration) -> Vec<(PartHash, Duration)> {
        let parts = self.parts.iter();
        parts.map(|(part, until)| (*part, until.saturating_sub(now))).collect()
    }
}
