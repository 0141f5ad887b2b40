//! Tests of the order of copies of the store's contents.

use skylarkgw::decision::store_order::{ERA_DOUBT, StorePosition, StoreStamp};
use skylarkgw::ids::StoreEra;

use crate::samples::ms;

fn stamp(era: Option<StoreEra>, revision: u64, as_of: u64) -> StoreStamp {
    StoreStamp { position: StorePosition { era, revision }, as_of: ms(as_of) }
}

#[test]
fn revisions_decide_within_an_era() {
    for era in [None, Some(0), Some(3)] {
        let known = stamp(era, 10, 60_000);
        assert!(stamp(era, 11, 0).replaces(&known));
        assert!(stamp(era, 10, 0).replaces(&known));
        assert!(!stamp(era, 9, 120_000).replaces(&known));
    }
}

#[test]
fn later_era_replaces_an_earlier_one() {
    let known = stamp(Some(3), 10, 60_000);
    assert!(stamp(Some(4), 2, 60_000).replaces(&known));
    assert!(stamp(Some(4), 2, 0).replaces(&known));
}

/// Guards against a late copy from before a restore of the store that replaces a newer
/// one, because its revision is higher.
#[test]
fn late_copy_of_an_earlier_era_replaces_nothing() {
    let known = stamp(Some(4), 2, 60_000);
    for era in [Some(3), None] {
        assert!(!stamp(era, 10, 0).replaces(&known));
        assert!(!stamp(era, 10, 60_000).replaces(&known));
        assert!(!stamp(era, 10, 62_000).replaces(&known));
    }
}

/// Guards against a host that ignores the store for ever after its era has decreased
/// or is no longer stated.
#[test]
fn store_whose_era_decreases_or_is_missing_is_followed_after_the_doubt() {
    let known = stamp(Some(4), 10, 60_000);
    let as_of = 60_001 + ERA_DOUBT.as_millis() as u64;
    for era in [Some(3), None] {
        assert!(stamp(era, 2, as_of).replaces(&known));
    }
    let unstated = stamp(None, 10, 60_000);
    assert!(!stamp(Some(4), 11, 60_001).replaces(&unstated));
    assert!(stamp(Some(4), 2, as_of).replaces(&unstated));
}

#[test]
fn first_copy_replaces_the_empty_one_of_a_new_host() {
    let empty = StoreStamp::default();
    assert!(stamp(None, 1, 1).replaces(&empty));
    assert!(stamp(Some(0), 1, 60_000).replaces(&empty));
}

/// Guards against events that are missed between two positions, because the store has given
/// out a revision in two eras.
#[test]
fn position_continues_only_one_of_its_era() {
    let position = |era, revision| StorePosition { era, revision };
    for era in [None, Some(3)] {
        assert!(position(era, 10).continues(&position(era, 10)));
        assert!(position(era, 11).continues(&position(era, 10)));
        assert!(!position(era, 9).continues(&position(era, 10)));
    }
    for (era, earlier) in [(Some(4), Some(3)), (Some(2), Some(3)), (None, Some(3)), (Some(3), None)]
    {
        assert!(!position(era, 11).continues(&position(earlier, 10)), "{era:?} {earlier:?}");
    }
}

#[test]
fn position_may_follow_one_of_an_unknown_era() {
    let position = |era, revision| StorePosition { era, revision };
    for (era, earlier) in [(None, Some(3)), (Some(3), None), (Some(3), Some(3))] {
        assert!(position(era, 10).may_follow(&position(earlier, 10)), "{era:?} {earlier:?}");
        assert!(!position(era, 9).may_follow(&position(earlier, 10)), "{era:?} {earlier:?}");
    }
    assert!(!position(Some(4), 11).may_follow(&position(Some(3), 10)));
    assert!(!position(Some(2), 11).may_follow(&position(Some(3), 10)));
}
