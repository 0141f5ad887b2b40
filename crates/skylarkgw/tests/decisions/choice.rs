//! Tests of engine choice under flash crowds, across data centres and with
//! failing engines.

use skylarkgw::decision::dispatch::engine_choice::{EngineCandidate, choose_engine};

use crate::samples;

fn candidate(running: u32) -> EngineCandidate {
    samples::candidate(24, running)
}

#[test]
fn flash_crowd_is_spread_over_equal_engines() {
    let mut candidates = vec![candidate(0); 4];
    for tie in 0..80_u64 {
        let index =
            choose_engine(&candidates, tie.wrapping_mul(0x9e37_79b9)).expect("an engine is chosen");
        candidates[index].running += 1;
    }
    let (least, most) = candidates.iter().fold((u32::MAX, 0), |(least, most), candidate| {
        (least.min(candidate.running), most.max(candidate.running))
    });
    assert!(most - least <= 1, "from {least} to {most} requests");
}

#[test]
fn local_engine_is_preferred_until_it_is_clearly_busier() {
    let remote = |running| EngineCandidate { is_local: false, ..candidate(running) };
    assert_eq!(choose_engine(&[remote(2), candidate(3)], 0), Some(1));
    assert_eq!(choose_engine(&[remote(2), candidate(23)], 0), Some(0));
}

#[test]
fn engine_that_fails_gets_work_only_when_the_others_are_full() {
    let failing = EngineCandidate { failure_share: 0.6, ..candidate(0) };
    assert_eq!(choose_engine(&[failing.clone(), candidate(20)], 0), Some(1));
    assert_eq!(choose_engine(&[failing, candidate(60)], 0), Some(0));
    assert_eq!(choose_engine(&[], 0), None);
}
