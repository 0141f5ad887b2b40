//! Base shares: writes in doubt, paused owners, and parts of the dead.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkgw::decision::shares::{
    KeeperView, LEDGER_OBJECT, PlatformCall, PlatformOutcome, ShareKeeper, ShareLedger, share_key,
};
use skylarkgw::ids::PARTS_PER_ALLOWANCE;

const LEASE: Duration = Duration::from_secs(60);

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn found(version: u64, ledger: &ShareLedger) -> PlatformOutcome {
    let value = serde_json::to_string(ledger).expect("a ledger is JSON").into();
    PlatformOutcome::Found { version, value }
}

/// Returns a keeper that owns everything, and the view of it and one other.
fn owner() -> (ShareKeeper, KeeperView, ShareLedger) {
    let mut keeper = ShareKeeper::new("a".into(), 1, LEASE);
    let alone = KeeperView { unlent: PARTS_PER_ALLOWANCE, ..KeeperView::default() };
    assert!(matches!(keeper.poll(at(0), &alone), Some(PlatformCall::Write { .. })));
    keeper.complete(at(1), &alone, PlatformOutcome::Written { version: 1 });
    assert!(matches!(keeper.poll(at(2), &alone), Some(PlatformCall::Read { .. })));
    let ledger =
        ShareLedger { parts: BTreeMap::from([(keeper.key().clone(), PARTS_PER_ALLOWANCE)]) };
    assert_eq!(keeper.complete(at(3), &alone, found(5, &ledger)), None);
    assert_eq!(keeper.usable_base(at(3)), PARTS_PER_ALLOWANCE);
    let live = vec![share_key(&"b".into(), 2, 0)];
    (keeper, KeeperView { live, ..alone }, ledger)
}

#[test]
fn parts_given_away_in_doubt_stay_unused_until_the_doubt_is_settled() {
    let (mut keeper, view, ledger) = owner();
    assert!(keeper.poll(at(2_000), &view).is_some());
    let written = keeper.complete(at(2_001), &view, found(5, &ledger));
    assert!(matches!(written, Some(PlatformCall::Write { expected: 5, .. })), "{written:?}");
    assert_eq!(keeper.usable_base(at(2_002)), PARTS_PER_ALLOWANCE / 2);
    assert_eq!(keeper.complete(at(3_500), &view, PlatformOutcome::Unknown), None);

    // The ledger still shows the old version: the write may yet arrive, also
    // where the other host is not heard from any more.
    let view = KeeperView { live: Vec::new(), ..view };
    assert!(keeper.poll(at(5_000), &view).is_some());
    let settling = keeper.complete(at(5_001), &view, found(5, &ledger));
    assert!(matches!(settling, Some(PlatformCall::Write { expected: 5, .. })), "{settling:?}");
    assert_eq!(keeper.usable_base(at(5_002)), PARTS_PER_ALLOWANCE / 2);

    // It conflicts, since the first write has arrived in between.
    keeper.complete(at(5_003), &view, PlatformOutcome::Conflict);
    assert_eq!(keeper.usable_base(at(5_004)), PARTS_PER_ALLOWANCE / 2);
}

#[test]
fn reclaimed_owner_uses_nothing_and_starts_under_a_new_name() {
    let (mut keeper, view, _) = owner();
    let name = keeper.key().clone();
    assert!(matches!(keeper.poll(at(21_000), &view), Some(PlatformCall::Write { .. })));
    let read = keeper.complete(at(21_001), &view, PlatformOutcome::Conflict);
    assert!(matches!(read, Some(PlatformCall::Read { .. })));
    let value = "{\"renewal\":1,\"reclaimed\":true}".into();
    keeper.complete(at(21_002), &view, PlatformOutcome::Found { version: 9, value });
    assert_eq!(keeper.usable_base(at(21_003)), 0);
    assert_ne!(*keeper.key(), name);
}

#[test]
fn parts_of_a_silent_owner_are_taken_over_only_after_lease_and_grace() {
    let mut keeper = ShareKeeper::new("a".into(), 1, LEASE);
    let view = KeeperView { unlent: PARTS_PER_ALLOWANCE, reclaims: true, ..KeeperView::default() };
    let dead = share_key(&"b".into(), 2, 0);
    let lease_object = format!("allowance/lease/{dead}");
    let ledger = ShareLedger { parts: BTreeMap::from([(dead, PARTS_PER_ALLOWANCE)]) };
    let lease = "{\"renewal\":3,\"reclaimed\":false}";
    let mut fenced_at = None;
    let mut now = Duration::ZERO;
    while fenced_at.is_none() && now < LEASE * 3 {
        now += at(100);
        let mut call = keeper.poll(now, &view);
        while let Some(asked) = call.take() {
            let outcome = match &asked {
                PlatformCall::Read { name } if **name == *LEDGER_OBJECT => found(5, &ledger),
                PlatformCall::Read { .. } => {
                    PlatformOutcome::Found { version: 7, value: lease.into() }
                }
                PlatformCall::Write { name, expected, .. } if **name == *lease_object => {
                    assert_eq!(*expected, 7);
                    fenced_at = Some(now);
                    PlatformOutcome::Unknown
                }
                PlatformCall::Write { .. } => PlatformOutcome::Written { version: 8 },
            };
            call = keeper.complete(now, &view, outcome);
        }
    }
    let fenced_at = fenced_at.expect("the lease is marked in the end");
    assert!(fenced_at >= LEASE + LEASE / 10 + Duration::from_secs(6), "{fenced_at:?}");
    assert_eq!(keeper.usable_base(now), 0);
}
