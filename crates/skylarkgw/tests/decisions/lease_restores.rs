//! Tests of the coordinator lease with a store that is restored from an older copy.

mod restored_store;

use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use skylarkgw::decision::coordinator_lease::{CoordinatorLease, LeaseAction};
use skylarkgw::decision::store_order::StorePosition;
use skylarkgw::gateway::ports::{LeaseAnswer, LeaseRecord};
use skylarkgw::ids::StoreEra;

use crate::lease_restores::restored_store::{CallFate, RestoredStore};
use crate::samples::ms;

const LEASE_DURATION: Duration = Duration::from_millis(3_000);
const STEP_MS: u64 = 20;
/// Longest time from the first answer of a restored store until a host holds the lease
/// if the former holder cannot go on.
const USUAL_TAKEOVER_MS: u64 = 3_000;

fn host_lease(name: &str) -> CoordinatorLease {
    let address = "127.0.0.1:7".parse().expect("the address should be valid");
    CoordinatorLease::new(name.into(), 1, address, LEASE_DURATION)
}

fn record_of(holder: &str, token: u64, era: Option<StoreEra>, is_released: bool) -> LeaseRecord {
    LeaseRecord {
        holder: holder.into(),
        incarnation: 1,
        address: "127.0.0.1:7".parse().expect("the address should be valid"),
        token,
        era,
        is_released,
        refused_parts: Vec::new(),
    }
}

/// Hosts and their store. Every step checks what must hold at any time.
struct LeaseFleet {
    store: RestoredStore,
    leases: Vec<CoordinatorLease>,
    /// Whether the host of the same position reaches the store.
    is_connected: Vec<bool>,
    /// Whether hosts are told of a coordinator that is connected, as by its replies.
    has_contact: bool,
    now: u64,
    /// Tokens of earlier terms and of the present one.
    used_tokens: HashSet<u64>,
    tokens: Vec<Option<u64>>,
    /// Host that gave the last possible order, with its time.
    last_order: Option<(usize, u64)>,
}

impl LeaseFleet {
    fn new(names: &[&str], era: Option<StoreEra>) -> LeaseFleet {
        LeaseFleet {
            store: RestoredStore::new(era),
            leases: names.iter().map(|name| host_lease(name)).collect(),
            is_connected: vec![true; names.len()],
            has_contact: false,
            now: 0,
            used_tokens: HashSet::new(),
            tokens: vec![None; names.len()],
            last_order: None,
        }
    }

    /// Returns the position of the holder.
    fn holder(&self) -> Option<usize> {
        self.tokens.iter().position(Option::is_some)
    }

    /// Carries out the steps up to a time. `choose_fate` decides what becomes of a call.
    fn run_until(&mut self, end: u64, mut choose_fate: impl FnMut(u64, usize) -> CallFate) {
        while self.now < end {
            self.store.advance(self.now);
            for host in 0..self.leases.len() {
                let is_told = |other: usize| other != host && self.is_connected[other];
                let contact = self.holder().filter(|other| self.has_contact && is_told(*other));
                let token = contact.and_then(|other| self.tokens[other]);
                // Replies of the coordinator contain its token.
                token.into_iter().for_each(|token| self.leases[host].record_token(token));
                let has_coordinator = contact.is_some();
                let now = ms(self.now);
                let action = self.leases[host].step(now, has_coordinator);
                let fate = match self.is_connected[host] {
                    true => choose_fate(self.now, host),
                    false => CallFate::Refused,
                };
                if let Some(answer) = self.store.call(action, fate) {
                    self.leases[host].handle_answer(now, now, answer);
                }
                self.check(host);
            }
            self.now += STEP_MS;
        }
    }

    fn check(&mut self, host: usize) {
        let (now, lease) = (ms(self.now), &self.leases[host]);
        let token = lease.token(now);
        if let Some(token) = token.filter(|_| token != self.tokens[host]) {
            assert!(self.used_tokens.insert(token), "token {token} again at {} ms", self.now);
        }
        self.tokens[host] = token;
        let tokens: Vec<u64> = self.leases.iter().filter_map(|lease| lease.token(now)).collect();
        assert!(tokens.len() < 2, "two hosts hold the lease at {} ms: {tokens:?}", self.now);
        if lease.order_token(now).is_none() {
            return;
        }
        if let Some((last, at)) = self.last_order.filter(|(last, _)| *last != host) {
            let pause = ms(self.now - at);
            assert!(pause >= LEASE_DURATION, "{last} and {host} order within {pause:?}");
        }
        self.last_order = Some((host, self.now));
    }

    /// Carries out the steps up to a time with no fault but those of the store itself.
    fn run_calmly_until(&mut self, end: u64) {
        self.run_until(end, |_, _| CallFate::Answered);
    }
}

/// Guards against a fleet that gives no orders for seconds after each restore, because
/// the coordinator lets go of its lease.
#[test]
fn holder_continues_over_a_restore_with_its_orders() {
    for back in (1_000..=12_000).step_by(500) {
        for restored_at in (14_000..15_000).step_by(140) {
            let mut fleet = LeaseFleet::new(&["a", "b", "c"], Some(0));
            fleet.run_calmly_until(restored_at);
            let (holder, token) = (fleet.holder().expect("a holder"), fleet.tokens.clone());
            fleet.store.restore(restored_at, back);
            for end in (restored_at..restored_at + 6_000).step_by(STEP_MS as usize) {
                fleet.run_calmly_until(end);
                assert_eq!(fleet.tokens, token, "restored {back} ms back at {restored_at} ms");
                let orders = fleet.leases[holder].order_token(ms(end));
                assert_eq!(orders, token[holder], "no orders at {end} ms");
            }
        }
    }
}

/// Guards against two coordinators: the record that a restore brought back says that its
/// lease is released, or names the host that reads it, though a later holder still has
/// the lease.
#[test]
fn record_that_went_back_gives_no_right_before_the_last_holder_has_stopped() {
    for is_released in [true, false] {
        let mut fleet = LeaseFleet::new(&["late", "former", "other"], Some(0));
        fleet.is_connected = vec![false, true, false];
        fleet.run_calmly_until(3_000);
        if is_released {
            fleet.leases[1].start_release();
            fleet.run_calmly_until(3_400);
        } else {
            fleet.is_connected[1] = false;
        }
        fleet.is_connected[0] = true;
        fleet.run_calmly_until(9_000);
        assert_eq!(fleet.holder(), Some(0), "the late host should hold the lease");
        // The store goes back to the record of the former holder while the present one is
        // cut off from it.
        let present = fleet.store.record().map(|record| record.holder.clone());
        assert_eq!(present.as_deref(), Some("late"));
        let back = if is_released { 9_000 - 3_300 } else { 9_000 - 3_000 };
        fleet.store.restore(9_000, back);
        let restored =
            fleet.store.record().map(|record| (record.holder.clone(), record.is_released));
        assert_eq!(restored, Some(("former".into(), is_released)));
        fleet.is_connected = vec![false, true, true];
        fleet.leases[1] = host_lease("former");
        fleet.run_calmly_until(11_000);
        assert_eq!(fleet.holder().filter(|holder| *holder != 0), None);
        fleet.run_calmly_until(9_000 + USUAL_TAKEOVER_MS);
        assert!(fleet.holder().is_some_and(|holder| holder != 0), "no host takes over");
    }
}

/// Guards against a lease that is extended although the store has lost the write.
#[test]
fn write_that_took_effect_in_another_era_does_not_extend_the_lease() {
    let mut fleet = LeaseFleet::new(&["a"], Some(0));
    fleet.run_calmly_until(2_000);
    let lease = &mut fleet.leases[0];
    let (_, remaining) = lease.remaining(ms(2_000)).expect("the host should hold the lease");
    let valid_until = ms(2_000) + remaining;
    let mut now = 2_000;
    let mut writes = 0;
    while ms(now) < valid_until {
        if let LeaseAction::Write { record, .. } = lease.step(ms(now), false) {
            writes += 1;
            // Each write is answered in an era that the host did not know of.
            let era = record.era.map(|era| era + 1);
            let (version, record) = (100 + writes, Some(record));
            let answer = LeaseAnswer::Found { version, era, record, is_written: true };
            lease.handle_answer(ms(now), ms(now), answer);
        }
        assert!(lease.token(ms(now)).is_some(), "the lease should hold until it ends");
        now += STEP_MS;
    }
    assert!(writes > 3, "{writes} writes");
    assert_eq!(lease.token(valid_until), None);
    assert_eq!(lease.is_era_settled(), Some(false));
}

#[test]
fn lease_ends_at_its_time_while_the_store_is_away() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
    fleet.run_calmly_until(2_000);
    let remaining = fleet.leases[0].remaining(ms(2_000));
    let (_, remaining) = remaining.expect("the first host should hold the lease");
    let valid_until = 2_000 + remaining.as_millis() as u64;
    fleet.run_until(valid_until - STEP_MS, |_, _| CallFate::Refused);
    assert!(fleet.leases[0].token(ms(valid_until - 1)).is_some());
    assert_eq!(fleet.leases[0].order_token(ms(valid_until - 1)), None);
    assert_eq!(fleet.leases[0].token(ms(valid_until)), None);
    fleet.run_until(6_000, |_, _| CallFate::Refused);
    fleet.store.restore(6_000, 5_000);
    fleet.run_calmly_until(6_000 + USUAL_TAKEOVER_MS);
    assert!(fleet.holder().is_some(), "no host holds the lease");
}

/// Guards against a former holder that counts, or makes others count, a renewal that
/// takes effect on a version that the store has given out again.
#[test]
fn renewal_of_the_era_before_that_is_applied_late_gives_no_lease() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
    fleet.run_calmly_until(6_000);
    assert_eq!(fleet.holder(), Some(0));
    let LeaseAction::Write { expected: Some(version), record } =
        run_to_renewal(&mut fleet.leases[0], 6_000)
    else {
        panic!("the holder should renew its lease");
    };
    fleet.is_connected[0] = false;
    fleet.store.restore(6_000, 4_000);
    fleet.run_calmly_until(10_000);
    let token = fleet.leases[1].token(ms(10_000));
    assert!(token.is_some(), "the second host should hold the lease");
    // The renewal meets the version that it expects.
    fleet.store.skip_to(version);
    fleet.store.overwrite(record);
    fleet.is_connected[0] = true;
    fleet.run_calmly_until(16_000);
    assert_eq!(fleet.leases[1].token(ms(15_980)), token);
}

/// Guards against a host that holds the lease by a take that the store carried out after
/// it had been restored.
#[test]
fn take_of_the_era_before_that_is_applied_late_gives_no_lease() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
    fleet.is_connected[1] = false;
    fleet.run_calmly_until(9_000);
    let token = fleet.leases[0].token(ms(8_980));
    assert!(token.is_some());
    fleet.store.restore(9_000, 4_000);
    fleet.run_calmly_until(10_000);
    // The other host had tried to take the lease, and gets its answer now.
    let taken = token.map_or(2, |token| token + 1);
    let version = fleet.store.overwrite(record_of("b", taken, Some(0), false));
    let answer = LeaseAnswer::Found {
        version,
        era: Some(1),
        record: Some(record_of("b", taken, Some(0), false)),
        is_written: true,
    };
    fleet.leases[1].handle_answer(ms(10_000), ms(9_980), answer);
    fleet.is_connected[1] = true;
    fleet.run_calmly_until(16_000);
    assert_eq!(fleet.leases[0].token(ms(15_980)), token);
    assert_eq!(fleet.leases[1].token(ms(15_980)), None);
}

/// Returns the next write of a holder at the time at which it is due.
fn run_to_renewal(lease: &mut CoordinatorLease, from: u64) -> LeaseAction {
    (from..from + 2_000)
        .step_by(STEP_MS as usize)
        .map(|now| lease.step(ms(now), false))
        .find(|action| matches!(action, LeaseAction::Write { .. }))
        .expect("the holder should renew its lease")
}

/// Guards against two coordinators and a token that counts twice: the record was created
/// after the copy from which the store was restored.
#[test]
fn record_that_is_missing_after_a_restore_is_created_by_its_holder() {
    for is_holder_cut in [false, true] {
        let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
        fleet.run_calmly_until(4_000);
        let token = fleet.leases[0].token(ms(3_980));
        assert!(fleet.leases[0].is_first_term());
        fleet.store.restore(4_000, 4_000);
        assert!(fleet.store.record().is_none());
        fleet.is_connected[0] = !is_holder_cut;
        // A host that starts now has seen no record at all.
        fleet.leases.push(host_lease("new"));
        fleet.is_connected.push(true);
        fleet.tokens.push(None);
        fleet.run_calmly_until(4_000 + USUAL_TAKEOVER_MS);
        let holder = fleet.holder().expect("a host should hold the lease");
        assert_eq!(holder == 0, !is_holder_cut);
        assert_eq!(fleet.leases[holder].is_first_term(), !is_holder_cut);
        assert_eq!(fleet.tokens[holder] == token, !is_holder_cut);
    }
}

#[test]
fn first_term_follows_no_record() {
    for era in [None, Some(0)] {
        let mut fleet = LeaseFleet::new(&["a", "b"], era);
        assert_eq!(fleet.leases[0].is_era_settled(), None);
        fleet.run_calmly_until(1_000);
        assert_eq!(fleet.tokens[0], Some(1));
        assert!(fleet.leases[0].is_first_term());
        assert_eq!(fleet.leases[1].is_era_settled(), Some(true));
        fleet.leases[0].start_release();
        fleet.run_calmly_until(2_000);
        assert!(fleet.leases[1].token(ms(1_980)).is_some());
        assert!(!fleet.leases[1].is_first_term());
        assert!(fleet.leases[1].follows_release());
    }
}

/// Guards against a starting host that takes what a restored store lists for the latest.
#[test]
fn era_is_settled_once_a_holder_has_written_in_it() {
    let mut fleet = LeaseFleet::new(&["a"], Some(0));
    fleet.run_calmly_until(5_000);
    fleet.store.restore(5_000, 2_000);
    let mut starting = host_lease("b");
    let mut read = |fleet: &mut LeaseFleet, now: u64| {
        let answer = fleet.store.call(LeaseAction::Read, CallFate::Answered);
        starting.handle_answer(ms(now), ms(now), answer.expect("a read is answered"));
        starting.is_era_settled()
    };
    assert_eq!(read(&mut fleet, 5_000), Some(false));
    fleet.run_calmly_until(7_000);
    assert_eq!(read(&mut fleet, 7_000), Some(true));
}

/// Guards against the announced end of a lease that is taken for that of another record
/// with the same version.
#[test]
fn announced_end_of_the_era_before_does_not_shorten_the_lease() {
    let found = |era| LeaseAnswer::Found {
        version: 40,
        era: Some(era),
        record: Some(record_of("a", 7, Some(era), false)),
        is_written: false,
    };
    let mut lease = host_lease("b");
    lease.record_remaining(ms(0), StorePosition { era: Some(1), revision: 40 }, ms(100));
    lease.handle_answer(ms(1_000), ms(1_000), found(2));
    for now in (1_000..3_300).step_by(STEP_MS as usize) {
        let action = lease.step(ms(now), false);
        assert!(!matches!(action, LeaseAction::Write { .. }), "{action:?} at {now} ms");
    }
    lease.record_remaining(ms(3_300), StorePosition { era: Some(2), revision: 40 }, ms(0));
    assert!(matches!(run_to_renewal(&mut lease, 3_400), LeaseAction::Write { .. }));
}

/// Guards against a host of the former version whose records state no era and whose
/// tokens are small: such a record gives no right, and is followed by a higher token.
#[test]
fn record_without_an_era_gives_no_right_in_a_store_with_one() {
    for is_released in [true, false] {
        let mut lease = host_lease("b");
        let mut written = None;
        for now in (0..6_000).step_by(STEP_MS as usize) {
            match lease.step(ms(now), false) {
                LeaseAction::Read => {
                    let record = Some(record_of("b", 5, None, is_released));
                    let answer =
                        LeaseAnswer::Found { version: 9, era: Some(3), record, is_written: false };
                    lease.handle_answer(ms(now), ms(now), answer);
                }
                LeaseAction::Write { expected, record } => {
                    written = Some((now, expected, record));
                    break;
                }
                LeaseAction::Wait => {}
            }
        }
        let (now, expected, record) = written.expect("the host should take the lease");
        assert!(now >= 2_250, "taken after {now} ms");
        assert_eq!((expected, record.era), (Some(9), Some(3)));
        assert_eq!(record.token, (3 << 32) + 10);
    }
}

/// Guards against a record with a token out of range that stops all hosts for ever.
#[test]
fn token_that_no_host_can_have_taken_is_not_followed() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
    fleet.run_calmly_until(2_000);
    fleet.store.overwrite(record_of("c", 1 << 53, Some(0), false));
    fleet.run_calmly_until(8_000);
    let holder = fleet.holder().expect("a host should hold the lease");
    assert!(fleet.tokens[holder].is_some_and(|token| token < 1 << 32));
}

/// Guards against refused prompt parts that reach engines again because the record went
/// back to a time before they were refused.
#[test]
fn restored_record_does_not_shorten_refusals() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(0));
    fleet.run_calmly_until(4_000);
    fleet.leases[0].set_refused_parts(ms(4_000), &[(1, ms(10_000))]);
    fleet.run_calmly_until(8_000);
    let refused = [(1, ms(900_000)), (2, ms(600_000))];
    fleet.leases[0].set_refused_parts(ms(8_000), &refused);
    fleet.run_calmly_until(9_000);
    fleet.store.restore(9_000, 3_000);
    fleet.is_connected[0] = false;
    fleet.run_calmly_until(9_000 + USUAL_TAKEOVER_MS);
    assert_eq!(fleet.holder(), Some(1));
    let record = fleet.store.record().expect("a record");
    let remaining = |part| record.refused_parts.iter().find(|(refused, _)| *refused == part);
    assert!(remaining(1).is_some_and(|(_, remaining)| *remaining > ms(890_000)), "{record:?}");
    assert!(remaining(2).is_some_and(|(_, remaining)| *remaining > ms(590_000)), "{record:?}");
}

/// A restore, and what else happens in one play.
#[derive(Debug)]
struct RestorePlay {
    hosts: usize,
    restored_at: u64,
    back: u64,
    down: u64,
    is_holder_cut: bool,
    has_contact: bool,
    /// Shares of the calls whose answer is lost, and that are carried out late.
    lost_share: f64,
    late_share: f64,
    /// Changes of other objects in a second.
    changes_per_s: u64,
    /// Number of answers of which one states no era, or zero if all do.
    missing_era_every: u64,
}

impl RestorePlay {
    fn draw(generator: &mut ChaCha8Rng) -> RestorePlay {
        let has_lost_calls = generator.random_bool(0.5);
        RestorePlay {
            hosts: generator.random_range(2..=4),
            restored_at: generator.random_range(60..800) * STEP_MS,
            back: generator.random_range(1_000..=12_000),
            down: [0, 300, 1_500, 4_000][generator.random_range(0..4)],
            is_holder_cut: generator.random_bool(0.5),
            has_contact: generator.random_bool(0.5),
            lost_share: if has_lost_calls { 0.1 } else { 0.0 },
            late_share: if has_lost_calls { 0.1 } else { 0.0 },
            changes_per_s: [0, 1, 5][generator.random_range(0..3)],
            missing_era_every: [0, 7][generator.random_range(0..2)],
        }
    }

    /// Plays it in a store whose era changes from `era` to `restored_era`, and asserts that
    /// the fleet has a holder in the end.
    fn run(
        &self,
        generator: &mut ChaCha8Rng,
        era: Option<StoreEra>,
        restored_era: Option<StoreEra>,
    ) {
        let names = ["a", "b", "c", "d"];
        let mut fleet = LeaseFleet::new(&names[..self.hosts], era);
        fleet.has_contact = self.has_contact;
        fleet.store.changes_per_s = self.changes_per_s;
        fleet.store.missing_era_every = self.missing_era_every;
        let (restored_at, back_at) = (self.restored_at, self.restored_at + self.down);
        let mut choose_fate = |now: u64, _| {
            if (restored_at..back_at).contains(&now) {
                return CallFate::Refused;
            }
            let roll: f64 = generator.random();
            match roll {
                roll if roll < self.lost_share => CallFate::AnswerLost,
                roll if roll < self.lost_share + self.late_share => {
                    CallFate::Late(now + generator.random_range(200..6_000))
                }
                _ => CallFate::Answered,
            }
        };
        fleet.run_until(restored_at, &mut choose_fate);
        fleet.store.restore(restored_at, self.back);
        fleet.store.era = restored_era;
        if let Some(holder) = fleet.holder().filter(|_| self.is_holder_cut) {
            fleet.is_connected[holder] = false;
        }
        fleet.run_until(back_at + 2 * USUAL_TAKEOVER_MS, &mut choose_fate);
        let slack = if self.late_share > 0.0 { 12_000 } else { 0 };
        let end = fleet.now + slack;
        fleet.run_calmly_until(end);
        assert!(fleet.holder().is_some(), "no host holds the lease at {end} ms");
    }
}

/// Plays drawn restores; a failed play is named by its seed.
fn play_restores(
    seeds: std::ops::Range<u64>,
    era: Option<StoreEra>,
    restored_era: Option<StoreEra>,
) {
    let failed: Vec<u64> = seeds
        .filter(|seed| {
            let mut generator = ChaCha8Rng::seed_from_u64(*seed);
            let play = RestorePlay::draw(&mut generator);
            let result = std::panic::catch_unwind(move || {
                play.run(&mut generator, era, restored_era);
            });
            result.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "{} plays failed, seeds {failed:?}", failed.len());
}

/// Guards against two coordinators, orders of two holders without the pause, a token that
/// counts twice, and a fleet without a coordinator, whenever the store is restored.
#[test]
fn one_host_at_a_time_holds_the_lease_whenever_the_store_is_restored() {
    play_restores(0..400, Some(0), Some(1));
}

/// Guards against the same in a store whose era goes down.
#[test]
fn one_host_at_a_time_holds_the_lease_after_the_era_went_down() {
    play_restores(1_000..1_150, Some(4), Some(2));
}

/// Guards against a fleet without a coordinator beside a store whose answers state no era
/// now and then.
#[test]
fn lease_is_held_beside_an_era_that_comes_and_goes() {
    let names = ["a", "b", "c"];
    for (hosts, era) in [(1, Some(7)), (2, Some(7)), (3, Some(7)), (3, None)] {
        for missing in [0, 2, 3, 10, 30, 60] {
            let mut fleet = LeaseFleet::new(&names[..hosts], era);
            fleet.store.missing_era_every = missing;
            fleet.run_calmly_until(12_000);
            let holder = fleet.holder().expect("a host should hold the lease");
            for end in (12_000..24_000).step_by(STEP_MS as usize) {
                fleet.run_calmly_until(end);
                assert_eq!(fleet.holder(), Some(holder), "missing every {missing} at {end} ms");
            }
            fleet.is_connected[holder] = hosts == 1;
            fleet.run_calmly_until(24_000 + 2 * USUAL_TAKEOVER_MS);
            assert_eq!(fleet.holder() == Some(holder), hosts == 1, "missing every {missing}");
            assert!(fleet.holder().is_some(), "no holder, missing every {missing}");
        }
    }
}

/// Guards against a host that waits for an era that the store no longer states.
#[test]
fn lease_is_taken_after_the_era_is_no_longer_stated() {
    let mut fleet = LeaseFleet::new(&["a", "b"], Some(7));
    fleet.run_calmly_until(6_000);
    let holder = fleet.holder().expect("a host should hold the lease");
    fleet.store.missing_era_every = 1;
    fleet.run_calmly_until(14_000);
    assert!(fleet.holder().is_some(), "no holder without an era");
    let present = fleet.holder().unwrap_or(holder);
    fleet.is_connected[present] = false;
    fleet.run_calmly_until(14_000 + 2 * USUAL_TAKEOVER_MS);
    assert!(fleet.holder().is_some_and(|host| host != present), "no other holder");
}
