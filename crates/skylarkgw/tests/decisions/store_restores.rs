//! Seeded runs of hosts around a store that is restored from older copies, with hosts,
//! leaders and messages that fail at the same time.

mod checks;
mod fleet;
mod host;
mod store;

use std::collections::BTreeMap;
use std::ops::Range;

use crate::store_restores::fleet::RestoreModel;
use crate::store_restores::store::EraStatement;

const DEFAULT_SEEDS: Range<u64> = 0..5;
/// Number of events that are shown for a run that breaks a promise.
const SHOWN_EVENTS: usize = 400;

/// Returns the seeds; `RESTORE_SEEDS` sets others for a long run, as in `0..200`.
fn choose_seeds() -> Range<u64> {
    let Ok(seeds) = std::env::var("RESTORE_SEEDS") else { return DEFAULT_SEEDS };
    let (first, end) = seeds.split_once("..").expect("RESTORE_SEEDS should be a range");
    let parse = |text: &str| text.parse().expect("RESTORE_SEEDS should be a range of numbers");
    parse(first)..parse(end)
}

/// Runs all seeds, and fails with the broken promises, their seeds and the events of the
/// first run that broke one.
fn check_seeds(seeds: impl IntoIterator<Item = u64>, statement: EraStatement, has_restores: bool) {
    let mut broken: BTreeMap<&'static str, Vec<u64>> = BTreeMap::new();
    let mut first = None;
    for seed in seeds {
        let mut model = RestoreModel::new(seed, statement, has_restores);
        let breaches = model.run();
        for (promise, breach) in &breaches {
            println!("seed {seed}, {promise}: {breach}");
            broken.entry(promise).or_default().push(seed);
        }
        if !breaches.is_empty() {
            first.get_or_insert((seed, model.events));
        }
    }
    if let Some((seed, events)) = first {
        let skipped = events.len().saturating_sub(SHOWN_EVENTS);
        let events = events[skipped..].join("\n");
        panic!("{statement:?}, broken promises by seed: {broken:?}\nseed {seed}:\n{events}");
    }
}

// Guards against checks that blame restores for what other faults bring about.
#[test]
fn promises_hold_with_the_same_faults_and_no_restore() {
    check_seeds(choose_seeds(), EraStatement::Rising, false);
}

// Guards against a store whose revisions begin anew: hosts dropped its copies, followed
// earlier copies, or gave orders beside another holder.
#[test]
fn promises_hold_around_restores_of_the_store() {
    check_seeds(choose_seeds(), EraStatement::Rising, true);
}

// Guards against hosts that stop to follow a store whose era goes down.
#[test]
fn fleet_recovers_if_the_era_goes_down() {
    check_seeds(choose_seeds(), EraStatement::Falling, true);
}

// Guards against hosts that stop to follow a store that leaves out its era at times.
#[test]
fn fleet_recovers_if_some_answers_have_no_era() {
    check_seeds(choose_seeds(), EraStatement::Unsteady, true);
}

// Guards against hosts that never follow a restored store without eras.
#[test]
fn fleet_recovers_if_no_answer_has_an_era() {
    check_seeds(choose_seeds(), EraStatement::Missing, true);
}

// Guards against engines that are used again after they have ended, because a host took
// its own loss of the store for an outage, on seeds that a long run has found.
#[test]
fn ended_engines_stay_so_around_restores_of_the_store() {
    check_seeds([24, 51, 55, 56, 71, 72], EraStatement::Rising, true);
}

// Guards against the same without a restore of the store.
#[test]
fn ended_engines_stay_so_with_the_same_faults_and_no_restore() {
    check_seeds([36, 42], EraStatement::Rising, false);
}

// Guards against orders of two holders within the duration of the lease, on seeds that a
// long run has found.
#[test]
fn open_promises_hold_around_restores_of_the_store() {
    check_seeds([20], EraStatement::Rising, true);
}

// Guards against the same without a restore of the store.
#[test]
fn open_promises_hold_with_the_same_faults_and_no_restore() {
    check_seeds([9, 28, 35, 74], EraStatement::Rising, false);
}

// Guards against hosts whose engine lists stay wrong after the era has gone down.
#[test]
fn open_fleet_recovers_if_the_era_goes_down() {
    check_seeds([67], EraStatement::Falling, true);
}
