//! What one host knows of one engine.

use std::time::Duration;

use crate::decision::engine_statements::{
    EngineStatement, MAX_TURN_AWAY, StatedFact, StatementChange, TurnAway,
};

/// Least change of the end of a time that is logged.
const LOGGED_CHANGE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct OwnLimit {
    /// Limit in requests per second.
    limit: Option<f64>,
    at: Duration,
    /// Whether the last report contains it.
    is_reported: bool,
}

/// Time for which the engine turned this host away.
#[derive(Clone, Copy, Debug)]
struct OwnTurnAway {
    from: Duration,
    until: Duration,
    /// Whether the last report contains it.
    is_reported: bool,
    is_confirmed: bool,
}

/// What one host knows of one instance of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRecord {
    /// Start time of the engine, in milliseconds since the Unix epoch.
    pub(super) started_ms: u64,
    /// Time of the last statement.
    pub(super) updated_at: Duration,
    /// Whether the registry contains the engine.
    pub(super) is_listed: bool,
    /// Time at which this host first heard that the engine leaves.
    pub(super) leaving_since: Option<Duration>,
    /// Time until which another host was turned away.
    pub(super) avoided_until: Option<Duration>,
    /// Limit that the coordinator sent, in requests per second, with the time at which it
    /// arrived.
    shared_limit: Option<(f64, Duration)>,
    /// Limit that differs from that one and has not been confirmed.
    own_limit: Option<OwnLimit>,
    /// Whether the coordinator knows that the engine leaves.
    is_leaving_shared: bool,
    turned_away: Option<OwnTurnAway>,
    /// Whether a time that is too long or cannot be read was logged.
    has_logged_delay: [bool; 2],
}

impl EngineRecord {
    pub(super) fn new(started_ms: u64) -> EngineRecord {
        EngineRecord {
            started_ms,
            updated_at: Duration::ZERO,
            is_listed: true,
            leaving_since: None,
            avoided_until: None,
            shared_limit: None,
            own_limit: None,
            is_leaving_shared: false,
            turned_away: None,
            has_logged_delay: [false; 2],
        }
    }

    /// Returns the limit in requests per second.
    pub(super) fn limit(&self) -> Option<f64> {
        match self.own_limit {
            Some(own) => own.limit,
            None => self.shared_limit.map(|(limit, _)| limit),
        }
    }

    pub(super) fn set_own_limit(&mut self, now: Duration, limit: Option<f64>) {
        self.own_limit = Some(OwnLimit { limit, at: now, is_reported: false });
    }

    pub(super) fn turned_away_until(&self) -> Option<Duration> {
        self.turned_away.map(|own| own.until)
    }

    /// Records that the engine turns this host away for a time, and returns the change
    /// to log.
    pub(super) fn turn_away(&mut self, now: Duration, time: Duration) -> Option<StatementChange> {
        let known = self.turned_away.map(|own| own.until).filter(|until| now < *until);
        let until = now + time;
        // Answers to several requests may overtake each other.
        if time.is_zero() || known.is_some_and(|known| until <= known) {
            return None;
        }
        self.turned_away =
            Some(OwnTurnAway { from: now, until, is_reported: false, is_confirmed: false });
        let is_logged = known.is_none_or(|known| until - known >= LOGGED_CHANGE);
        is_logged.then_some(StatementChange::TurnedAway(time))
    }

    /// Returns the event for a time that is too long or cannot be read, once for each
    /// instance.
    pub(super) fn note_odd_delay(&mut self, turn_away: &TurnAway) -> Option<StatementChange> {
        let (index, change) = match turn_away {
            TurnAway::Unreadable => (0, StatementChange::UnreadableDelay),
            TurnAway::For(time) if *time > MAX_TURN_AWAY => (1, StatementChange::BoundedDelay),
            _ => return None,
        };
        let was_logged = std::mem::replace(&mut self.has_logged_delay[index], true);
        (!was_logged).then_some(change)
    }

    /// Ends times that are over, and returns whether this host is no longer turned away.
    pub(super) fn expire(&mut self, now: Duration) -> bool {
        self.avoided_until.take_if(|until| now >= *until);
        self.turned_away.take_if(|own| now >= own.until).is_some()
    }

    /// Returns whether the record has to be kept.
    pub(super) fn has_content(&self) -> bool {
        self.leaving_since.is_some()
            || self.avoided_until.is_some()
            || self.shared_limit.is_some()
            || self.own_limit.is_some()
            || self.turned_away.is_some()
            || self.has_logged_delay.contains(&true)
    }

    /// Returns the facts that the coordinator may not have, with their ages.
    pub(super) fn report(&mut self, now: Duration) -> Vec<(StatedFact, Duration)> {
        let mut facts = Vec::new();
        if let Some(own) = &mut self.own_limit {
            own.is_reported = true;
            facts.push((StatedFact::Limit(own.limit), now.saturating_sub(own.at)));
        }
        if let Some(since) =
            self.leaving_since.filter(|_| self.is_listed && !self.is_leaving_shared)
        {
            facts.push((StatedFact::Leaving, now.saturating_sub(since)));
        }
        if let Some(own) = self.turned_away.as_mut().filter(|own| !own.is_confirmed) {
            own.is_reported = true;
            let fact = StatedFact::TurnedAway(own.until.saturating_sub(own.from));
            facts.push((fact, now.saturating_sub(own.from)));
        }
        facts
    }

    /// Records that the coordinator has the last report.
    pub(super) fn confirm_report(&mut self) {
        self.own_limit.take_if(|own| own.is_reported);
        if let Some(own) = &mut self.turned_away {
            own.is_confirmed = own.is_reported;
        }
    }

    /// Prepares the record for a coordinator that may not have what another one sent.
    pub(super) fn reopen(&mut self) {
        if let Some((limit, at)) = self.shared_limit.take() {
            let own = OwnLimit { limit: Some(limit), at, is_reported: false };
            self.own_limit.get_or_insert(own);
        }
        if let Some(own) = &mut self.turned_away {
            own.is_confirmed = false;
            own.is_reported = false;
        }
    }

    /// Removes what the coordinator no longer sends. Leaving does not end.
    pub(super) fn clear_shared(&mut self) {
        self.shared_limit = None;
        self.is_leaving_shared = false;
        self.avoided_until = None;
    }

    /// Applies what the coordinator sent, and returns the changes to log, except for
    /// those of the limit.
    pub(super) fn apply_shared(
        &mut self,
        now: Duration,
        statement: &EngineStatement,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        let known = self.shared_limit.filter(|(limit, _)| Some(*limit) == statement.limit);
        self.shared_limit = known.or(statement.limit.map(|limit| (limit, now)));
        self.is_leaving_shared = statement.is_leaving;
        if statement.is_leaving && self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            changes.push(StatementChange::Leaving);
        }
        let time = statement.turned_away.map(|time| time.min(MAX_TURN_AWAY));
        let until = time.map(|time| now + time);
        let known = [self.avoided_until, self.turned_away_until()].into_iter().flatten().max();
        let is_later = |until: Duration| known.is_none_or(|known| until > known + LOGGED_CHANGE);
        if let (Some(time), true) = (time, until.is_some_and(is_later)) {
            changes.push(StatementChange::TurnedAway(time));
        }
        self.avoided_until = until;
        changes
    }
}
