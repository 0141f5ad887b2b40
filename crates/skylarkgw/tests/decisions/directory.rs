//! Tests of the engine directory when many registry leases expire during an
//! outage of the store.

use skylarkgw::decision::directory::{EngineDirectory, REREGISTRATION_TIME};
use skylarkgw::decision::store_order::{StorePosition, StoreStamp};
use skylarkgw::gateway::registry::EnginePhase;

use crate::samples::{engine, ms};

fn engine_ids(directory: &EngineDirectory, now: u64) -> Vec<String> {
    let mut ids: Vec<String> =
        directory.engines(ms(now)).map(|entry| entry.id.to_string()).collect();
    ids.sort();
    ids
}

fn entries(names: &[&str]) -> Vec<skylarkgw::gateway::registry::EngineEntry> {
    names.iter().map(|name| (*engine(name, &[])).clone()).collect()
}

fn stamp(revision: u64, as_of: u64) -> StoreStamp {
    StoreStamp { position: StorePosition { era: None, revision }, as_of: ms(as_of) }
}

#[test]
fn entry_removed_without_an_outage_disappears_at_once() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    directory.update_from_store(ms(500), stamp(2, 500), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 500), ["e1"]);
}

#[test]
fn entries_expired_in_an_outage_stay_until_engines_had_time_to_register_again() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(3, 0), entries(&["e1", "e2"]));
    directory.update_from_store(ms(5_000), stamp(4, 5_000), entries(&[]));
    assert_eq!(engine_ids(&directory, 5_000), ["e1", "e2"]);
    directory.update_from_store(ms(6_000), stamp(5, 6_000), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 6_000), ["e1", "e2"]);
    let settled = 5_000 + REREGISTRATION_TIME.as_millis() as u64;
    assert_eq!(engine_ids(&directory, settled), ["e1"]);
}

#[test]
fn unchanged_registry_is_not_an_outage() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(6, 0), entries(&["e1", "e2"]));
    directory.record_unchanged(stamp(1, 900));
    directory.record_unchanged(stamp(1, 1_800));
    directory.update_from_store(ms(2_000), stamp(7, 2_000), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 2_000), ["e1"]);
}

/// Guards against requests to an engine that has reported to drain: a host applied
/// a coordinator's registry that was older than the one it had read itself.
#[test]
fn older_copy_of_the_registry_does_not_replace_a_newer_one() {
    let mut directory = EngineDirectory::default();
    let mut draining = entries(&["e1"]);
    draining[0].phase = EnginePhase::Draining;
    directory.update_from_store(ms(0), stamp(802, 0), draining);
    directory.update_from_store(ms(100), stamp(800, 100), entries(&["e1", "e2"]));
    let phases: Vec<_> = directory.engines(ms(100)).map(|entry| entry.phase).collect();
    assert_eq!((phases, directory.stamp().position.revision), (vec![EnginePhase::Draining], 802));
    directory.update_from_store(ms(200), stamp(803, 200), entries(&["e1"]));
    let phases: Vec<_> = directory.engines(ms(200)).map(|entry| entry.phase).collect();
    assert_eq!((phases, directory.stamp().position.revision), (vec![EnginePhase::Ready], 803));
}

/// Guards against requests to an engine that has left: a host that had not asked the
/// store for a while took the gap for an outage and kept the engine.
#[test]
fn gap_without_a_failed_call_is_not_an_outage() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    directory.update_from_store(ms(1_500), stamp(2, 1_500), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 1_500), ["e1"]);
}

/// Guards against requests to an engine that has left: a host kept it once more after
/// the coordinator had kept it.
#[test]
fn entry_that_the_coordinator_drops_is_not_kept() {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    directory.record_failure();
    directory.update_from_coordinator(ms(5_000), stamp(2, 5_000), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 5_000), ["e1"]);
}

/// Guards against requests without an engine after an outage that a host noticed
/// only by the age of the coordinator's copy.
#[test]
fn outage_behind_a_coordinator_that_still_replies_is_noticed() {
    let mut directory = EngineDirectory::default();
    directory.update_from_coordinator(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    // The coordinator confirms the same copy without an answer of the store.
    directory.record_unchanged(stamp(1, 0));
    directory.record_failure();
    directory.update_from_store(ms(4_500), stamp(2, 4_500), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 4_500), ["e1", "e2"]);
}

/// Returns a directory that has read two engines from the store at 0 ms, and a read that
/// failed after it.
fn directory_after_failure() -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    directory.update_from_store(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    directory.record_failure();
    directory
}

/// Guards against requests to an engine that has left: a host that was cut off from the
/// store for a shorter time than an entry takes to expire took this for an outage.
#[test]
fn gap_in_which_no_entry_can_expire_is_not_an_outage() {
    for gap in [1_200, 1_600, 2_000] {
        let mut directory = directory_after_failure();
        directory.update_from_store(ms(gap), stamp(2, gap), entries(&["e1"]));
        assert_eq!(engine_ids(&directory, gap), ["e1"], "{gap} ms");
    }
}

/// Guards against requests without an engine after several short outages, between which
/// an engine could not renew its entry.
#[test]
fn short_outages_in_succession_count_as_one() {
    let mut directory = directory_after_failure();
    directory.update_from_store(ms(1_500), stamp(1, 1_500), entries(&["e1", "e2"]));
    directory.record_unchanged(stamp(1, 2_100));
    directory.record_failure();
    directory.update_from_store(ms(3_700), stamp(2, 3_700), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 3_700), ["e1", "e2"]);
}

/// Guards against requests to an engine that has left: after a time in which all entries
/// were renewed, a short gap counted from the start of an earlier one.
#[test]
fn short_outages_with_renewals_between_them_do_not_add_up() {
    let mut directory = directory_after_failure();
    directory.update_from_store(ms(1_500), stamp(1, 1_500), entries(&["e1", "e2"]));
    directory.record_unchanged(stamp(1, 3_000));
    directory.record_failure();
    directory.update_from_store(ms(4_600), stamp(2, 4_600), entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 4_600), ["e1"]);
}

/// Guards against requests to an engine that has left: a coordinator that had been cut
/// off from the store awaited it, and hosts that had seen its removal used it again.
#[test]
fn engine_seen_removed_is_not_taken_back_from_a_coordinator_that_awaits_it() {
    let mut coordinator = directory_after_failure();
    let mut host = EngineDirectory::default();
    host.update_from_coordinator(ms(0), stamp(1, 0), coordinator.engines(ms(0)).cloned());
    host.update_from_store(ms(1_300), stamp(2, 1_300), entries(&["e1"]));
    coordinator.update_from_store(ms(2_800), stamp(3, 2_800), entries(&["e1"]));
    assert_eq!(engine_ids(&coordinator, 2_800), ["e1", "e2"]);
    let listed: Vec<_> = coordinator.engines(ms(2_850)).cloned().collect();
    assert!(host.update_from_coordinator(ms(2_850), stamp(3, 2_850), listed));
    assert_eq!(engine_ids(&host, 2_850), ["e1"]);
    // The engine is used as soon as it has registered again.
    coordinator.update_from_store(ms(3_500), stamp(4, 3_500), entries(&["e1", "e2"]));
    let listed: Vec<_> = coordinator.engines(ms(3_550)).cloned().collect();
    host.update_from_coordinator(ms(3_550), stamp(4, 3_550), listed);
    assert_eq!(engine_ids(&host, 3_550), ["e1", "e2"]);
}

/// Guards against the same after the host has heard of the removal from the former
/// coordinator or from a deputy.
#[test]
fn engine_that_a_deputy_dropped_is_not_taken_back_from_a_coordinator_that_awaits_it() {
    let mut coordinator = directory_after_failure();
    let mut host = EngineDirectory::default();
    host.update_from_coordinator(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    host.update_from_coordinator(ms(1_500), stamp(2, 1_400), entries(&["e1"]));
    coordinator.update_from_store(ms(2_800), stamp(3, 2_800), entries(&["e1"]));
    let listed: Vec<_> = coordinator.engines(ms(2_850)).cloned().collect();
    host.update_from_coordinator(ms(2_850), stamp(3, 2_850), listed);
    assert_eq!(engine_ids(&host, 2_850), ["e1"]);
}

/// Guards against requests without an engine after an outage: a host that knows no
/// removal, or reads the store just after the coordinator, uses the engines that the
/// coordinator awaits until that one drops them.
#[test]
fn host_uses_the_engines_that_the_coordinator_awaits_after_an_outage() {
    let mut coordinator = directory_after_failure();
    let mut host = EngineDirectory::default();
    host.update_from_coordinator(ms(0), stamp(1, 0), entries(&["e1", "e2"]));
    coordinator.update_from_store(ms(4_000), stamp(2, 4_000), entries(&[]));
    let listed: Vec<_> = coordinator.engines(ms(4_010)).cloned().collect();
    host.update_from_coordinator(ms(4_010), stamp(2, 4_000), listed);
    assert_eq!(engine_ids(&host, 4_010), ["e1", "e2"]);
    host.update_from_store(ms(4_100), stamp(2, 4_100), entries(&[]));
    assert_eq!(engine_ids(&host, 4_100), ["e1", "e2"]);
    coordinator.update_from_store(ms(5_000), stamp(3, 5_000), entries(&["e1"]));
    let settled = 4_000 + REREGISTRATION_TIME.as_millis() as u64;
    let listed: Vec<_> = coordinator.engines(ms(settled)).cloned().collect();
    host.update_from_coordinator(ms(settled + 5), stamp(3, 5_000), listed);
    assert_eq!(engine_ids(&host, settled + 5), ["e1"]);
}
