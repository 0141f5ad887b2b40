//! Tests of the engine directory when many registry leases expire during an
//! outage of the store.

use skylarkgw::decision::directory::{EngineDirectory, REREGISTRATION_TIME};
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

#[test]
fn entry_removed_without_an_outage_disappears_at_once() {
    let mut directory = EngineDirectory::default();
    directory.update(ms(0), 1, entries(&["e1", "e2"]));
    directory.update(ms(500), 2, entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 500), ["e1"]);
}

#[test]
fn entries_expired_in_an_outage_stay_until_engines_had_time_to_register_again() {
    let mut directory = EngineDirectory::default();
    directory.update(ms(0), 3, entries(&["e1", "e2"]));
    directory.update(ms(5_000), 4, entries(&[]));
    assert_eq!(engine_ids(&directory, 5_000), ["e1", "e2"]);
    directory.update(ms(6_000), 5, entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 6_000), ["e1", "e2"]);
    let settled = 5_000 + REREGISTRATION_TIME.as_millis() as u64;
    assert_eq!(engine_ids(&directory, settled), ["e1"]);
}

#[test]
fn unchanged_registry_is_not_an_outage() {
    let mut directory = EngineDirectory::default();
    directory.update(ms(0), 6, entries(&["e1", "e2"]));
    directory.record_unchanged(ms(900), 1);
    directory.record_unchanged(ms(1_800), 1);
    directory.update(ms(2_000), 7, entries(&["e1"]));
    assert_eq!(engine_ids(&directory, 2_000), ["e1"]);
}

/// Guards against requests to an engine that has reported to drain: a host applied
/// a coordinator's registry that was older than the one it had read itself.
#[test]
fn older_copy_of_the_registry_does_not_replace_a_newer_one() {
    let mut directory = EngineDirectory::default();
    let mut draining = entries(&["e1"]);
    draining[0].phase = EnginePhase::Draining;
    directory.update(ms(0), 802, draining);
    directory.update(ms(100), 800, entries(&["e1", "e2"]));
    let phases: Vec<_> = directory.engines(ms(100)).map(|entry| entry.phase).collect();
    assert_eq!((phases, directory.revision()), (vec![EnginePhase::Draining], 802));
    directory.update(ms(200), 803, entries(&["e1"]));
    let phases: Vec<_> = directory.engines(ms(200)).map(|entry| entry.phase).collect();
    assert_eq!((phases, directory.revision()), (vec![EnginePhase::Ready], 803));
}
