//! Base shares: unconfirmed writes, paused owners and the parts of failed
//! owners.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkgw::decision::shares::{
    LEDGER_OBJECT, PlatformCall, PlatformOutcome, ShareContext, ShareLedger, ShareMachine,
    share_key,
};
use skylarkgw::ids::PARTS_PER_ALLOWANCE;

const LEASE: Duration = Duration::from_secs(60);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn build_found_outcome(version: u64, ledger: &ShareLedger) -> PlatformOutcome {
    let value = serde_json::to_string(ledger).expect("a ledger serialises to JSON").into();
    PlatformOutcome::Found { version, value }
}

/// Returns a machine that owns all parts, its context with one other live
/// member, and the ledger.
fn create_owning_machine() -> (ShareMachine, ShareContext, ShareLedger) {
    let mut machine = ShareMachine::new("a".into(), 1, LEASE);
    let alone = ShareContext { unlent_parts: PARTS_PER_ALLOWANCE, ..ShareContext::default() };
    assert!(matches!(machine.poll(ms(0), &alone), Some(PlatformCall::Write { .. })));
    machine.complete(ms(1), &alone, PlatformOutcome::Written { version: 1 });
    assert!(matches!(machine.poll(ms(2), &alone), Some(PlatformCall::Read { .. })));
    let ledger =
        ShareLedger { parts: BTreeMap::from([(machine.key().clone(), PARTS_PER_ALLOWANCE)]) };
    assert_eq!(machine.complete(ms(3), &alone, build_found_outcome(5, &ledger)), None);
    assert_eq!(machine.usable_base(ms(3)), PARTS_PER_ALLOWANCE);
    let live = vec![share_key(&"b".into(), 2, 0)];
    (machine, ShareContext { live, ..alone }, ledger)
}

#[test]
fn parts_of_an_unconfirmed_write_stay_unused_until_it_is_settled() {
    let (mut machine, context, ledger) = create_owning_machine();
    assert!(machine.poll(ms(2_000), &context).is_some());
    let written = machine.complete(ms(2_001), &context, build_found_outcome(5, &ledger));
    assert!(matches!(written, Some(PlatformCall::Write { expected: 5, .. })), "{written:?}");
    assert_eq!(machine.usable_base(ms(2_002)), PARTS_PER_ALLOWANCE / 2);
    assert_eq!(machine.complete(ms(3_500), &context, PlatformOutcome::Unknown), None);

    // The ledger still has the old version, so the first write may still
    // arrive. This holds even if the other host is no longer live.
    let context = ShareContext { live: Vec::new(), ..context };
    assert!(machine.poll(ms(5_000), &context).is_some());
    let settling_write = machine.complete(ms(5_001), &context, build_found_outcome(5, &ledger));
    assert!(
        matches!(settling_write, Some(PlatformCall::Write { expected: 5, .. })),
        "{settling_write:?}"
    );
    assert_eq!(machine.usable_base(ms(5_002)), PARTS_PER_ALLOWANCE / 2);

    // The write conflicts because the first one has taken effect in between.
    machine.complete(ms(5_003), &context, PlatformOutcome::Conflict);
    assert_eq!(machine.usable_base(ms(5_004)), PARTS_PER_ALLOWANCE / 2);
}

#[test]
fn reclaimed_owner_loses_its_share_and_gets_a_new_key() {
    let (mut machine, context, _) = create_owning_machine();
    let old_key = machine.key().clone();
    assert!(matches!(machine.poll(ms(21_000), &context), Some(PlatformCall::Write { .. })));
    let recheck = machine.complete(ms(21_001), &context, PlatformOutcome::Conflict);
    assert!(matches!(recheck, Some(PlatformCall::Read { .. })));
    let value = "{\"renewal\":1,\"reclaimed\":true}".into();
    machine.complete(ms(21_002), &context, PlatformOutcome::Found { version: 9, value });
    assert_eq!(machine.usable_base(ms(21_003)), 0);
    assert_ne!(*machine.key(), old_key);
}

#[test]
fn parts_of_an_absent_owner_are_taken_over_only_after_lease_and_grace() {
    let mut machine = ShareMachine::new("a".into(), 1, LEASE);
    let context = ShareContext {
        unlent_parts: PARTS_PER_ALLOWANCE,
        is_reclaimer: true,
        ..ShareContext::default()
    };
    let failed_owner = share_key(&"b".into(), 2, 0);
    let lease_object_name = format!("allowance/lease/{failed_owner}");
    let ledger = ShareLedger { parts: BTreeMap::from([(failed_owner, PARTS_PER_ALLOWANCE)]) };
    let lease = "{\"renewal\":3,\"reclaimed\":false}";
    let mut fenced_at = None;
    let mut now = Duration::ZERO;
    while fenced_at.is_none() && now < LEASE * 3 {
        now += ms(100);
        let mut call = machine.poll(now, &context);
        while let Some(pending_call) = call.take() {
            let outcome = match &pending_call {
                PlatformCall::Read { name } if **name == *LEDGER_OBJECT => {
                    build_found_outcome(5, &ledger)
                }
                PlatformCall::Read { .. } => {
                    PlatformOutcome::Found { version: 7, value: lease.into() }
                }
                PlatformCall::Write { name, expected, .. } if **name == *lease_object_name => {
                    assert_eq!(*expected, 7);
                    fenced_at = Some(now);
                    PlatformOutcome::Unknown
                }
                PlatformCall::Write { .. } => PlatformOutcome::Written { version: 8 },
            };
            call = machine.complete(now, &context, outcome);
        }
    }
    let fenced_at = fenced_at.expect("the lease must be marked as reclaimed by the end");
    assert!(fenced_at >= LEASE + LEASE / 10 + Duration::from_secs(6), "{fenced_at:?}");
    assert_eq!(machine.usable_base(now), 0);
}
