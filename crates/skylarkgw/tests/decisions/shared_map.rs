//! Copies of a shared map follow it by changes, however far they are behind.

use std::collections::HashMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use skylarkgw::decision::shared_map::{MAX_PART_ENTRIES, SharedMap, first_version, version_token};
use skylarkgw::ids::MapVersion;

type Copy = (MapVersion, HashMap<Arc<str>, u32>);

fn entries(values: &HashMap<Arc<str>, u32>) -> Vec<(Arc<str>, u32)> {
    values.iter().map(|(engine, value)| (engine.clone(), *value)).collect()
}

fn update_copy(map: &SharedMap<u32>, copy: &mut Copy) {
    if let Some(delta) = map.delta_since(copy.0) {
        copy.0 = delta.version;
        delta.apply_to(&mut copy.1);
    }
}

#[test]
fn unchanged_map_sends_nothing_and_a_change_sends_one_entry() {
    let mut map = SharedMap::new(1);
    let mut values: HashMap<Arc<str>, u32> =
        (0..90).map(|number| (format!("e{number}").into(), 0)).collect();
    map.replace(entries(&values));
    let mut copy = Copy::default();
    update_copy(&map, &mut copy);
    map.replace(entries(&values));
    assert_eq!(map.delta_since(copy.0), None);
    values.insert("e7".into(), 1);
    values.remove("e8");
    map.replace(entries(&values));
    let delta = map.delta_since(copy.0).expect("the map has changed");
    assert!(!delta.is_complete);
    assert_eq!((delta.changed, delta.removed), (vec![("e7".into(), 1)], vec!["e8".into()]));
}

#[test]
fn copy_of_another_holder_is_replaced() {
    let (mut first, mut second) = (SharedMap::new(1), SharedMap::new(2));
    first.replace(vec![("e1".into(), 1), ("e2".into(), 1)]);
    second.replace(vec![("e1".into(), 2)]);
    let mut copy = Copy::default();
    update_copy(&first, &mut copy);
    update_copy(&second, &mut copy);
    assert_eq!(copy.1, HashMap::from([("e1".into(), 2)]));
}

/// Guards against a copy of an earlier holder that passes for one of this holder because
/// only the lower half of the fencing token is part of the version.
#[test]
fn version_keeps_the_whole_fencing_token() {
    let tokens = [1, (3 << 32) + 41, (4 << 32) + 41, u64::MAX];
    for token in tokens {
        assert_eq!(version_token(first_version(token) + 1_000_000), token);
    }
    let (mut first, mut second) = (SharedMap::new(tokens[1]), SharedMap::new(tokens[2]));
    first.replace(vec![("e1".into(), 1)]);
    second.replace(vec![("e1".into(), 2)]);
    let mut copy = Copy::default();
    update_copy(&first, &mut copy);
    update_copy(&second, &mut copy);
    assert_eq!(copy.1, HashMap::from([("e1".into(), 2)]));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(21), ..ProptestConfig::default() })]

    #[test]
    fn every_copy_equals_the_map_after_an_update(
        steps in prop::collection::vec((0_u32..40, 0_u32..3, 0_usize..3), 1..400),
    ) {
        let mut map = SharedMap::new(3);
        let mut values: HashMap<Arc<str>, u32> = HashMap::new();
        let mut copies: [Copy; 2] = Default::default();
        for (engine, value, updated) in steps {
            let engine: Arc<str> = format!("e{engine}").into();
            if value == 0 {
                values.remove(&engine);
            } else {
                values.insert(engine, value);
            }
            map.replace(entries(&values));
            if let Some(copy) = copies.get_mut(updated) {
                update_copy(&map, copy);
                prop_assert_eq!(&copy.1, &values);
            }
        }
    }
}

/// Guards against a copy of thousands of entries that never arrives within the time for a
/// reply, and against engines that are lost between its parts.
#[test]
fn large_map_arrives_in_parts_while_it_changes() {
    let name = |number: u32| -> Arc<str> { format!("e{number}").into() };
    let mut values: HashMap<Arc<str>, u32> = (0..1_500).map(|number| (name(number), 0)).collect();
    let mut map = SharedMap::new(1);
    map.replace(entries(&values));
    let mut copy = Copy::default();
    for part in 0..20 {
        let Some(delta) = map.delta_since(copy.0) else { break };
        assert!(delta.changed.len() <= MAX_PART_ENTRIES);
        assert_eq!(delta.is_complete, part == 0);
        assert!(delta.version > copy.0 && (delta.is_last || delta.changed.len() > 1));
        copy.0 = delta.version;
        delta.apply_to(&mut copy.1);
        // Entries of parts that were sent and of others change, and some are removed.
        if part < 4 {
            for number in [part, part + 700, part + 1_400] {
                values.insert(name(number), part + 1);
                map.set(&name(number), part + 1);
            }
            values.remove(&name(part + 100));
            map.retain(|engine| *engine != name(part + 100));
        }
    }
    assert_eq!(map.delta_since(copy.0), None);
    assert_eq!(copy.1, values);
}
