//! Tests of the confirmation of declarations when the store is restored from an older copy.

use std::time::Duration;

use skylarkgw::decision::declaration_confirmation::{
    DECLARATION_SETTLE_TIME, DeclarationConfirmation, OLDER_SETTLE_TIME, is_confirmed_by,
};
use skylarkgw::decision::store_order::{StorePosition, StoreStamp};
use skylarkgw::ids::StoreEra;

use crate::samples::ms;

/// Time of the first answer in the new era.
const CHANGED_MS: u64 = 1_000;
/// Time from which answers in the new era confirm.
const SETTLED_MS: u64 = CHANGED_MS + DECLARATION_SETTLE_TIME.as_millis() as u64;

fn stamp(era: impl Into<Option<StoreEra>>, as_of: u64) -> StoreStamp {
    StoreStamp { position: StorePosition { era: era.into(), revision: 1 }, as_of: ms(as_of) }
}

/// Age of a declaration that has just been confirmed.
const RECENT: Duration = Duration::from_millis(700);
/// Age of a declaration of a host that has lost contact.
const OLD: Duration = Duration::from_secs(30);

/// Records an answer that is received as soon as it is current, by a host in contact.
fn answer(
    confirmation: &mut DeclarationConfirmation,
    era: impl Into<Option<StoreEra>>,
    at: u64,
    answered: u64,
    in_force: u64,
) -> bool {
    confirmation.record_answer(ms(at), stamp(era, at), answered, in_force, RECENT)
}

#[test]
fn answers_confirm_at_once_in_a_normal_start() {
    for named in [None, Some(4)] {
        let mut confirmation = DeclarationConfirmation::default();
        confirmation.record_named_era(ms(0), named, OLD);
        assert!(answer(&mut confirmation, 4, 10, 7, 7));
    }
}

/// Guards against withdrawn keys that are accepted: a store that had lost the newest
/// declaration answered with an older one, which counted as confirmation.
#[test]
fn older_declaration_confirms_nothing() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(!answer(&mut confirmation, 1, 0, 6, 7));
    assert!(!answer(&mut confirmation, 1, 10_000, 6, 7));
    assert!(answer(&mut confirmation, 1, 20_000, 7, 7));
    // Other hosts confirm by the same rule.
    assert!(!is_confirmed_by(7, 6));
    assert!(!is_confirmed_by(6, 7));
    assert!(!is_confirmed_by(0, 0));
    assert!(is_confirmed_by(7, 7));
}

/// Guards against keys that are refused for ever, where a lost declaration is never written
/// again.
#[test]
fn older_declaration_that_stays_confirms_the_one_in_force_in_the_end() {
    let mut confirmation = DeclarationConfirmation::default();
    let limit = OLDER_SETTLE_TIME.as_millis() as u64;
    assert!(!answer(&mut confirmation, 1, 1_000, 6, 7));
    assert!(!answer(&mut confirmation, 1, 1_000 + limit - 1, 6, 7));
    assert!(answer(&mut confirmation, 1, 1_000 + limit, 6, 7));
    // The newest one has come back in between.
    assert!(answer(&mut confirmation, 1, 40_000, 7, 7));
    assert!(!answer(&mut confirmation, 1, 41_000, 6, 7));
}

/// Guards against withdrawn keys that are accepted: a newer declaration may be lost and not
/// yet written again.
#[test]
fn same_declaration_in_a_new_era_confirms_once_it_is_settled() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, 1, 0, 7, 7));
    assert!(!answer(&mut confirmation, 2, CHANGED_MS, 7, 7));
    assert!(!answer(&mut confirmation, 2, SETTLED_MS - 1, 7, 7));
    // The answer is received late.
    let late = stamp(2, SETTLED_MS - 1);
    assert!(!confirmation.record_answer(ms(SETTLED_MS + 500), late, 7, 7, RECENT));
    assert!(answer(&mut confirmation, 2, SETTLED_MS, 7, 7));
}

/// Guards against a declaration that is not confirmed although it is newer than all before
/// the restore.
#[test]
fn newer_declaration_in_a_new_era_confirms_at_once() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, 1, 0, 7, 7));
    assert!(!answer(&mut confirmation, 2, CHANGED_MS, 6, 7));
    assert!(answer(&mut confirmation, 2, CHANGED_MS + 100, 8, 7));
    assert!(!answer(&mut confirmation, 2, CHANGED_MS + 200, 8, 8));
}

/// Guards against withdrawn keys that are accepted by a host that had lost the store: it
/// took the restored declaration, which was newer than its own, for the newest.
#[test]
fn newer_declaration_of_a_host_without_contact_confirms_once_it_is_settled() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, 1, 0, 5, 5));
    let changed = stamp(2, CHANGED_MS);
    assert!(!confirmation.record_answer(ms(CHANGED_MS), changed, 6, 5, OLD));
    assert!(!confirmation.record_answer(ms(CHANGED_MS), changed, 7, 6, OLD));
    assert!(answer(&mut confirmation, 2, SETTLED_MS, 7, 7));
}

/// Guards against withdrawn keys that are accepted by a host that starts just after the
/// store was restored: it knows no newer declaration.
#[test]
fn starting_host_in_a_new_era_waits_until_it_is_settled() {
    // The lease record tells of the former era, and the answer with it may tell of the new
    // one before the declaration does.
    for named in [None, Some(2)] {
        let mut confirmation = DeclarationConfirmation::default();
        confirmation.record_named_era(ms(CHANGED_MS), Some(1), OLD);
        confirmation.record_named_era(ms(CHANGED_MS), named, OLD);
        let changed = stamp(2, CHANGED_MS);
        assert!(!confirmation.record_answer(ms(CHANGED_MS), changed, 6, 0, OLD));
        let unsettled = stamp(2, SETTLED_MS - 1);
        assert!(!confirmation.record_answer(ms(SETTLED_MS - 1), unsettled, 6, 6, OLD));
        let settled = stamp(2, SETTLED_MS);
        assert!(confirmation.record_answer(ms(SETTLED_MS), settled, 6, 6, OLD));
    }
}

/// Guards against a declaration that is never confirmed while another host lags behind.
#[test]
fn former_era_that_others_name_does_not_delay_the_confirmation() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, 2, 0, 7, 7));
    confirmation.record_named_era(ms(10), Some(1), RECENT);
    confirmation.record_named_era(ms(10), None, RECENT);
    assert!(answer(&mut confirmation, 2, 20, 7, 7));
}

/// Guards against a declaration that is never confirmed again after an era that goes down,
/// is not stated, or changes between the two.
#[test]
fn odd_eras_delay_the_confirmation_once() {
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, 5, 0, 7, 7));
    assert!(!answer(&mut confirmation, 3, CHANGED_MS, 7, 7));
    assert!(answer(&mut confirmation, 3, SETTLED_MS, 7, 7));
    for turn in 1..20 {
        let era = (turn % 2 == 0).then_some(3);
        assert!(answer(&mut confirmation, era, SETTLED_MS + turn * 300, 7, 7));
    }
    let mut confirmation = DeclarationConfirmation::default();
    assert!(answer(&mut confirmation, None, 0, 7, 7));
    assert!(answer(&mut confirmation, 0, 300, 7, 7));
}
