//! Engines that left service, remembered over a new beginning of the store.
//!
//! A store that is restored from an older copy lists engines as ready that have said
//! since that they leave, or whose entries have been removed. The store is told again
//! soon. Until then, the engines count as draining.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::registry::{EngineEntry, EnginePhase};
use crate::ids::EndpointId;

/// Time after the first copy of a new era after which a retired engine that is still
/// listed as ready is alive. It covers the three check-in intervals after which the entry
/// of an engine that has ended is removed, the time in which the store is told again what
/// it has lost, and the delay of a watch.
pub const REAPPEARANCE_TIME: Duration = Duration::from_millis(6_000);
/// Time for which a retirement is remembered. It exceeds the age of a copy from which the
/// store is restored.
const RETIREMENT_LIFETIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Retirement {
    /// Start time of the retired instance, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Time of the last copy that showed the retirement.
    shown_at: Duration,
    /// Whether a copy of the present era did not list the engine, so that it is alive if a
    /// later one does.
    is_removed: bool,
    /// Whether another host listed the engine as leaving. It may know what the store has
    /// lost.
    is_named: bool,
    /// Time at which a copy first listed the engine as ready.
    contradicted_at: Option<Duration>,
    /// Entry of that copy as a draining engine.
    held: Option<Arc<EngineEntry>>,
}

/// Instances of engines that were draining, had notice of their termination or were
/// removed when they were last seen.
///
/// Within an era of the store its newest copy holds. In the first [`REAPPEARANCE_TIME`]
/// of a new one, a retirement outlasts copies that list the engine as ready.
#[derive(Debug, Default)]
pub struct RetiredEngines {
    retired: HashMap<EndpointId, Retirement>,
    /// Time of the first copy of the present era, if a former one is known.
    era_since: Option<Duration>,
}

impl RetiredEngines {
    /// Records that the store is in another era.
    ///
    /// In a later one, `is_later`, each engine may be held back for the whole time again. An
    /// era that goes down or is not always stated may change without end.
    pub fn record_new_era(&mut self, now: Duration, is_later: bool) {
        self.era_since = Some(now);
        for retirement in self.retired.values_mut() {
            (retirement.is_removed, retirement.held) = (false, None);
            if is_later {
                retirement.contradicted_at = None;
            }
        }
    }

    /// Records that a copy does not list an engine any more.
    pub fn record_removed(&mut self, now: Duration, entry: &EngineEntry) {
        self.record_retirement(now, entry, true);
    }

    /// Records that a copy lists an engine that leaves or has ended.
    pub fn record_leaving(&mut self, now: Duration, entry: &EngineEntry) {
        self.record_retirement(now, entry, false);
    }

    /// Records that another host lists an engine as leaving.
    fn record_named(&mut self, now: Duration, entry: &EngineEntry) {
        self.record_retirement(now, entry, false);
        if let Some(retirement) = self.retired.get_mut(&entry.id) {
            retirement.is_named = true;
        }
    }

    fn record_retirement(&mut self, now: Duration, entry: &EngineEntry, is_removed: bool) {
        let known = self.retired.get(&entry.id).map_or(0, |known| known.started_ms);
        let retirement = Retirement {
            started_ms: entry.started_ms.max(known),
            shown_at: now,
            is_removed,
            is_named: false,
            contradicted_at: None,
            held: None,
        };
        self.retired.insert(entry.id.clone(), retirement);
    }

    /// Records the entries of a copy of the registry that is used.
    ///
    /// `as_of` is the time up to which the copy is confirmed, and `is_own` whether this host
    /// has read it from the store. A host that was suspended may get old copies.
    pub fn record_listed<'a>(
        &mut self,
        now: Duration,
        as_of: Duration,
        listed: impl Iterator<Item = &'a Arc<EngineEntry>>,
        is_own: bool,
    ) {
        let is_new_era = self.era_since.is_some_and(|since| is_recent(as_of, since));
        for entry in listed {
            if entry.phase == EnginePhase::Draining || entry.leaves_in.is_some() {
                match is_own {
                    true => self.record_leaving(now, entry),
                    false => self.record_named(now, entry),
                }
                continue;
            }
            let Some(retirement) = self.retired.get_mut(&entry.id) else { continue };
            let contradicted_at = *retirement.contradicted_at.get_or_insert(now);
            let is_alive = if entry.started_ms == retirement.started_ms {
                retirement.is_removed
            } else {
                entry.started_ms > retirement.started_ms
            };
            let may_be_lost = is_new_era || (is_own && retirement.is_named);
            if may_be_lost && is_recent(as_of, contradicted_at) && !is_alive {
                let entry = EngineEntry { phase: EnginePhase::Draining, ..(**entry).clone() };
                retirement.held = Some(Arc::new(entry));
            } else {
                self.retired.remove(&entry.id);
            }
        }
        let is_kept = |shown_at: Duration| now.saturating_sub(shown_at) < RETIREMENT_LIFETIME;
        self.retired.retain(|_, retirement| is_kept(retirement.shown_at));
    }

    /// Returns whether an instance of an engine is retired.
    pub fn contains(&self, entry: &EngineEntry) -> bool {
        let retirement = self.retired.get(&entry.id);
        retirement.is_some_and(|retirement| entry.started_ms <= retirement.started_ms)
    }

    /// Returns whether engines of the last copy are held back, which depends on the time.
    pub fn holds_engines(&self) -> bool {
        self.retired.values().any(|retirement| retirement.held.is_some())
    }

    /// Returns the entry of the last copy, which is confirmed up to `as_of`, as a draining
    /// engine if the engine is held back.
    pub fn find_held(&self, as_of: Duration, engine: &EndpointId) -> Option<&Arc<EngineEntry>> {
        let retirement = self.retired.get(engine)?;
        let is_new_era = self.era_since.is_some_and(|since| is_recent(as_of, since));
        let is_held = is_recent(as_of, retirement.contradicted_at?);
        let may_be_lost = is_new_era || retirement.is_named;
        retirement.held.as_ref().filter(|_| is_held && may_be_lost)
    }
}

fn is_recent(now: Duration, since: Duration) -> bool {
    now.saturating_sub(since) < REAPPEARANCE_TIME
}
