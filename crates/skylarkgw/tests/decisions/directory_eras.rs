//! Tests of the engine directory when the store is restored from an older copy.

use std::time::Duration;

use skylarkgw::decision::directory::{EngineDirectory, REREGISTRATION_TIME};
use skylarkgw::decision::retired_engines::REAPPEARANCE_TIME;
use skylarkgw::decision::store_order::{ERA_DOUBT, StorePosition, StoreStamp};
use skylarkgw::gateway::registry::{EngineEntry, EnginePhase};
use skylarkgw::ids::StoreEra;

use crate::samples::{engine, ms};

fn stamp(era: impl Into<Option<StoreEra>>, revision: u64, as_of: u64) -> StoreStamp {
    StoreStamp { position: StorePosition { era: era.into(), revision }, as_of: ms(as_of) }
}

/// Returns the entry of an engine that started at `started_ms`.
fn instance(id: &str, started_ms: u64, phase: EnginePhase) -> EngineEntry {
    EngineEntry { started_ms, phase, ..(*engine(id, &[])).clone() }
}

fn ready(id: &str) -> EngineEntry {
    instance(id, 1, EnginePhase::Ready)
}

fn draining(id: &str) -> EngineEntry {
    instance(id, 1, EnginePhase::Draining)
}

fn leaving(id: &str) -> EngineEntry {
    EngineEntry { leaves_in: Some(ms(5_000)), ..ready(id) }
}

/// Returns the engines that get requests.
fn usable(directory: &EngineDirectory, now: u64) -> Vec<String> {
    let engines = directory.engines(ms(now));
    let usable = engines
        .filter(|entry| entry.phase == EnginePhase::Ready && entry.leaves_in.is_none())
        .map(|entry| entry.id.to_string());
    let mut usable: Vec<String> = usable.collect();
    usable.sort();
    usable
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Guards against requests to an engine that leaves: every copy from a restored store was
/// dropped until its revision had grown past that of the former era.
#[test]
fn copy_of_a_restored_store_is_used() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    let restored = vec![ready("e1"), ready("e2")];
    assert!(directory.update_from_store(ms(500), stamp(2, 700, 500), restored));
    let changed = vec![draining("e1"), ready("e2")];
    assert!(directory.update_from_store(ms(900), stamp(2, 701, 900), changed));
    assert_eq!(usable(&directory, 900), ["e2"]);
    assert_eq!(directory.stamp(), stamp(2, 701, 900));
}

/// Guards against requests to an engine that leaves, by a copy of the coordinator that is
/// not used since its revision is lower than before the restore.
#[test]
fn coordinator_copy_of_a_restored_store_is_used() {
    let mut directory = EngineDirectory::default();
    directory.update_from_coordinator(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    let changed = vec![draining("e1"), ready("e2")];
    assert!(directory.update_from_coordinator(ms(900), stamp(2, 701, 900), changed));
    assert_eq!(usable(&directory, 900), ["e2"]);
}

/// Guards against requests to an engine that leaves, by a copy that arrives late.
#[test]
fn late_copies_of_either_era_are_dropped() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    directory.update_from_store(ms(500), stamp(2, 700, 500), vec![draining("e1"), ready("e2")]);
    let late =
        [stamp(2, 699, 600), stamp(1, 810, 600), stamp(1, 900, 2_000), stamp(None, 900, 600)];
    for stamp in late {
        let listed = vec![ready("e1"), ready("e2")];
        assert!(!directory.update_from_store(ms(700), stamp, listed.clone()), "{stamp:?}");
        assert!(!directory.update_from_coordinator(ms(700), stamp, listed), "{stamp:?}");
    }
    assert_eq!(usable(&directory, 700), ["e2"]);
    assert_eq!(directory.stamp(), stamp(2, 700, 500));
}

/// Guards against a copy that seems to be current: a confirmation of the former era raised
/// the revision, so that the copies of the new era were dropped as older.
#[test]
fn confirmation_of_another_era_changes_nothing() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(2, 700, 0), vec![ready("e1")]);
    for other in [stamp(1, 900, 500), stamp(3, 900, 500), stamp(None, 900, 500)] {
        directory.record_unchanged(other);
        assert_eq!(directory.stamp(), stamp(2, 700, 0));
    }
    directory.record_unchanged(stamp(2, 701, 400));
    assert_eq!(directory.stamp(), stamp(2, 701, 400));
}

/// Guards against requests to engines that leave: a restored store lists them as ready
/// until it is told again.
#[test]
fn retired_engines_stay_so_over_a_restore() {
    let mut directory = EngineDirectory::default();
    let all = || vec![ready("draining"), ready("leaving"), ready("removed"), ready("stays")];
    directory.update_from_store(ms(0), stamp(1, 800, 0), all());
    let retired = vec![draining("draining"), leaving("leaving"), ready("stays")];
    directory.update_from_store(ms(500), stamp(1, 803, 500), retired.clone());
    assert!(directory.update_from_store(ms(900), stamp(2, 795, 900), all()));
    assert_eq!(usable(&directory, 900), ["stays"]);
    // The coordinator and a deputy may know less than this host.
    assert!(directory.update_from_coordinator(ms(1_000), stamp(2, 796, 1_000), all()));
    assert_eq!(usable(&directory, 1_000), ["stays"]);
    assert!(directory.update_from_store(ms(2_900), stamp(2, 799, 2_900), retired));
    assert_eq!(usable(&directory, 2_900), ["stays"]);
    let later = 900 + millis(REAPPEARANCE_TIME);
    assert_eq!(usable(&directory, later), ["stays"]);
}

/// Guards against requests to engines that leave, where the coordinator's copy is the first
/// one of the new era and follows its former one.
#[test]
fn retired_engines_stay_so_in_copies_of_the_coordinator() {
    let mut directory = EngineDirectory::default();
    let all = || vec![ready("e1"), ready("e2"), ready("e3")];
    directory.update_from_coordinator(ms(0), stamp(1, 800, 0), all());
    directory.update_from_coordinator(
        ms(100),
        stamp(1, 801, 100),
        vec![draining("e1"), ready("e3")],
    );
    assert!(directory.update_from_coordinator(ms(900), stamp(2, 795, 900), all()));
    assert_eq!(usable(&directory, 900), ["e3"]);
    assert!(directory.update_from_coordinator(ms(980), stamp(2, 795, 980), all()));
    assert_eq!(usable(&directory, 980), ["e3"]);
}

/// Guards against requests to an engine that leaves: a host knew of it only by the
/// coordinator's corrected copy and then read the store itself.
#[test]
fn engine_that_the_coordinator_holds_back_is_not_used_from_the_store() {
    let mut directory = EngineDirectory::default();
    directory.update_from_coordinator(ms(0), stamp(1, 800, 0), vec![ready("e1")]);
    directory.update_from_coordinator(ms(900), stamp(2, 795, 900), vec![draining("e1")]);
    directory.update_from_store(ms(1_400), stamp(2, 795, 1_400), vec![ready("e1")]);
    assert!(usable(&directory, 1_400).is_empty());
}

/// Guards against requests to an engine that leaves, over a second restore from the copy of
/// the first one.
#[test]
fn retired_engine_stays_so_over_two_restores() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![draining("e1")]);
    assert!(directory.update_from_store(ms(500), stamp(2, 795, 500), vec![ready("e1")]));
    directory.update_from_store(ms(2_500), stamp(2, 798, 2_500), vec![draining("e1")]);
    let restored = 500 + millis(REAPPEARANCE_TIME);
    let listed = vec![ready("e1")];
    assert!(directory.update_from_store(ms(restored), stamp(3, 790, restored), listed));
    assert!(usable(&directory, restored + 1_000).is_empty());
}

/// Guards against lost capacity: an engine that was registered in the lost time was dropped
/// before it could register again.
#[test]
fn engine_registered_in_the_lost_time_stays_until_it_registers_again() {
    let settled = 500 + millis(REREGISTRATION_TIME);
    for is_from_store in [true, false] {
        let mut directory = EngineDirectory::default();
        directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
        let update = |directory: &mut EngineDirectory, now, revision, listed| match is_from_store {
            true => directory.update_from_store(ms(now), stamp(2, revision, now), listed),
            false => directory.update_from_coordinator(ms(now), stamp(2, revision, now), listed),
        };
        update(&mut directory, 500, 700, vec![ready("e1")]);
        update(&mut directory, 1_200, 701, vec![ready("e1")]);
        assert_eq!(usable(&directory, settled - 1), ["e1", "e2"]);
        assert_eq!(usable(&directory, settled), ["e1"]);
        update(&mut directory, settled, 702, vec![ready("e1"), ready("e2")]);
        assert_eq!(usable(&directory, settled), ["e1", "e2"]);
    }
}

/// Guards against an engine that gets no requests any more: its entry was removed by
/// mistake or expired before the restore.
#[test]
fn engine_that_is_alive_reappears_in_time() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    directory.update_from_store(ms(500), stamp(1, 801, 500), vec![ready("e1")]);
    let listed = || vec![ready("e1"), ready("e2")];
    directory.update_from_store(ms(900), stamp(2, 795, 900), listed());
    let due = 900 + millis(REAPPEARANCE_TIME);
    directory.update_from_store(ms(due - 1), stamp(2, 796, due - 1), listed());
    assert_eq!(usable(&directory, due - 1), ["e1"]);
    // Time alone proves nothing, since the host may have been suspended. No further copy is
    // needed, and the change is published.
    assert_eq!(usable(&directory, due + 5_000), ["e1"]);
    assert_eq!(directory.change_count(), None);
    directory.record_unchanged(stamp(2, 796, due));
    assert_eq!(usable(&directory, due), ["e1", "e2"]);
    directory.update_from_store(ms(due + 10), stamp(2, 797, due + 10), listed());
    assert!(directory.change_count().is_some());
    assert_eq!(usable(&directory, due + 10), ["e1", "e2"]);
}

/// Guards against an engine that is not used although it has started again.
#[test]
fn engine_that_starts_anew_is_used_at_once() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![draining("e1"), ready("e2")]);
    directory.update_from_store(ms(500), stamp(2, 795, 500), vec![ready("e1"), ready("e2")]);
    let anew = vec![instance("e1", 2, EnginePhase::Ready), ready("e2")];
    directory.update_from_store(ms(900), stamp(2, 796, 900), anew);
    assert_eq!(usable(&directory, 900), ["e1", "e2"]);
}

/// Guards against orders and requests to a former instance: a restored store listed it
/// under the identifier of an engine that had started again.
#[test]
fn former_instance_does_not_replace_a_later_one() {
    let mut directory = EngineDirectory::default();
    let later = || vec![instance("e1", 2, EnginePhase::Ready)];
    directory.update_from_store(ms(0), stamp(1, 800, 0), later());
    directory.update_from_store(ms(500), stamp(2, 700, 500), vec![ready("e1")]);
    let starts: Vec<u64> = directory.engines(ms(600)).map(|entry| entry.started_ms).collect();
    assert_eq!(starts, [2]);
    let settled = 500 + millis(REREGISTRATION_TIME);
    directory.update_from_store(ms(settled), stamp(2, 701, settled), vec![ready("e1")]);
    assert!(usable(&directory, settled).is_empty());
    directory.update_from_store(ms(settled + 10), stamp(2, 702, settled + 10), later());
    assert_eq!(usable(&directory, settled + 10), ["e1"]);
}

/// Guards against requests to an engine that has ended: between two copies, the time of
/// its later instance passed, and its entry in the restored store was used again.
#[test]
fn former_instance_is_not_used_when_the_time_of_a_later_one_is_over() {
    let mut directory = EngineDirectory::default();
    let later = instance("e1", 2, EnginePhase::Ready);
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![later]);
    directory.update_from_store(ms(500), stamp(2, 700, 500), vec![]);
    directory.update_from_store(ms(600), stamp(2, 701, 600), vec![ready("e1")]);
    let settled = 500 + millis(REREGISTRATION_TIME);
    assert!(usable(&directory, settled).is_empty());
    directory.update_from_store(ms(settled), stamp(2, 702, settled), vec![ready("e1")]);
    assert!(usable(&directory, settled).is_empty());
}

/// Guards against an engine that stays retired although the newest copy of the era says
/// otherwise, as it does without a restore.
#[test]
fn newest_copy_of_an_era_holds_after_its_first_seconds() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1")]);
    directory.update_from_store(ms(500), stamp(2, 700, 500), vec![ready("e1")]);
    let later = 500 + millis(REAPPEARANCE_TIME);
    directory.update_from_store(ms(later), stamp(2, 701, later), vec![draining("e1")]);
    directory.update_from_store(ms(later + 100), stamp(2, 702, later + 100), vec![ready("e1")]);
    assert_eq!(usable(&directory, later + 100), ["e1"]);
}

/// Guards against lost capacity: an engine registered again later than others, or was
/// removed and registered again, in the first seconds of an era.
#[test]
fn engine_that_is_removed_in_a_new_era_may_return() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    directory.update_from_store(ms(500), stamp(2, 700, 500), vec![ready("e1")]);
    let settled = 500 + millis(REREGISTRATION_TIME);
    directory.update_from_store(ms(settled), stamp(2, 701, settled), vec![ready("e1")]);
    directory.update_from_store(ms(settled + 10), stamp(2, 702, settled + 10), vec![ready("e2")]);
    assert_eq!(usable(&directory, settled + 10), ["e2"]);
    let listed = vec![ready("e1"), ready("e2")];
    directory.update_from_store(ms(settled + 20), stamp(2, 703, settled + 20), listed);
    assert_eq!(usable(&directory, settled + 20), ["e1", "e2"]);
}

/// Guards against a registry that is never updated again after an era that goes down, or
/// that is no longer stated.
#[test]
fn copy_of_a_lower_or_missing_era_is_followed_after_a_time() {
    for (known, other) in [(Some(5), Some(3)), (Some(5), None), (None, Some(5))] {
        let mut directory = EngineDirectory::default();
        directory.update_from_store(ms(0), stamp(known, 800, 0), vec![ready("e1"), ready("e2")]);
        let doubt = millis(ERA_DOUBT);
        let listed = || vec![ready("e1"), draining("e2")];
        assert!(!directory.update_from_store(ms(doubt), stamp(other, 10, doubt), listed()));
        let later = doubt + 1;
        assert!(directory.update_from_store(ms(later), stamp(other, 10, later), listed()));
        assert_eq!(usable(&directory, later), ["e1"]);
    }
}

/// Guards against engines that are kept or held back for ever while the era changes in most
/// answers.
#[test]
fn changes_between_present_and_missing_eras_end_in_what_is_listed() {
    let mut directory = EngineDirectory::default();
    let first = vec![ready("e1"), ready("gone"), draining("back")];
    directory.update_from_store(ms(0), stamp(1, 100, 0), first);
    let listed = || vec![ready("e1"), ready("back")];
    let step = millis(ERA_DOUBT) + 1;
    let mut now = 0;
    for turn in 1..=8 {
        now = turn * step;
        let era = (turn % 2 == 0).then_some(1);
        assert!(directory.update_from_store(ms(now), stamp(era, 100 - turn, now), listed()));
    }
    assert_eq!(usable(&directory, now), ["back", "e1"]);
}

/// Guards against requests to an engine that has ended: a host that was suspended gets a
/// copy from before its suspension, after the time in which such engines are held back.
#[test]
fn copy_from_before_a_suspension_shows_no_engine_to_be_alive() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 800, 0), vec![ready("e1"), ready("e2")]);
    directory.update_from_store(ms(500), stamp(1, 801, 500), vec![ready("e1")]);
    let listed = || vec![ready("e1"), ready("e2")];
    directory.update_from_store(ms(900), stamp(2, 795, 900), listed());
    let late = 900 + 2 * millis(REAPPEARANCE_TIME);
    directory.update_from_store(ms(late), stamp(2, 796, 1_600), listed());
    assert_eq!(usable(&directory, late), ["e1"]);
    directory.update_from_store(ms(late), stamp(3, 790, late), listed());
    assert_eq!(usable(&directory, late), ["e1"]);
}

/// Guards against requests to an engine that leaves: a host that starts after a restore
/// learns that from another host alone, and then reads the restored entry in the store.
#[test]
fn engine_that_another_host_lists_as_leaving_is_not_used_from_the_store() {
    let mut directory = EngineDirectory::default();
    let mut leaving = ready("e2");
    leaving.phase = EnginePhase::Draining;
    directory.update_from_coordinator(ms(100), stamp(2, 795, 100), vec![ready("e1"), leaving]);
    directory.update_from_store(ms(300), stamp(2, 796, 300), vec![ready("e1"), ready("e2")]);
    assert_eq!(usable(&directory, 300), ["e1"]);
    let due = 300 + millis(REAPPEARANCE_TIME);
    directory.update_from_store(ms(due), stamp(2, 797, due), vec![ready("e1"), ready("e2")]);
    assert_eq!(usable(&directory, due), ["e1", "e2"]);
}

/// Guards against requests to an engine that has ended: an outage revived an entry whose
/// time to register again was over.
#[test]
fn outage_revives_no_entry_whose_time_is_over() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 1, 0), vec![ready("e1"), ready("e2")]);
    directory.update_from_store(ms(5_000), stamp(1, 2, 5_000), vec![ready("e1")]);
    assert_eq!(usable(&directory, 5_000), ["e1", "e2"]);
    assert_eq!(usable(&directory, 9_000), ["e1"]);
    directory.update_from_store(ms(12_000), stamp(1, 3, 12_000), vec![ready("e1")]);
    assert_eq!(usable(&directory, 12_000), ["e1"]);
}
