//! Tests of the times at which client connections are closed.

use std::time::Duration;

use skylarkgw::decision::connection_clock::{ConnectionClock, DueReason, announced_reuse_s};
use skylarkgw::gateway::declaration::ClientLimits;

use crate::samples::ms;

fn limits(idle_ms: u64) -> ClientLimits {
    ClientLimits {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_timeout: ms(3_000),
        idle_timeout: ms(idle_ms),
    }
}

/// Serves one request that begins at `from` and ends at `to`, both in milliseconds.
fn serve(clock: &mut ConnectionClock, limits: &ClientLimits, from: u64, to: u64) {
    clock.record_bytes(ms(from));
    clock.begin_request();
    clock.record_announcement(limits);
    clock.end_answer(ms(to));
    clock.record_flush(ms(to));
}

/// Guards against a close that crosses a request: every change of the idle limit leaves
/// the connection open for longer than its last answer announced, and for as long as the
/// limit in force says.
#[test]
fn close_comes_after_the_announced_time_whatever_the_limit_becomes() {
    let idle_limits = [900, 1_500, 3_000, 15_000, 20_000, 60_000];
    for before in idle_limits.map(limits) {
        for after in idle_limits.map(limits) {
            let mut clock = ConnectionClock::new(ms(0));
            serve(&mut clock, &before, 100, 400);
            let (due, reason) = clock.due(&after, false).expect("a time");
            let announced = Duration::from_secs(announced_reuse_s(&before).unwrap_or(0));
            assert_eq!(reason, DueReason::Idle);
            assert!(due > ms(400) + announced, "{before:?} {after:?}");
            assert!(due >= ms(400) + after.idle_timeout.max(before.idle_timeout));
        }
    }
}

#[test]
fn announced_time_has_whole_seconds_and_ends_before_the_limit() {
    assert_eq!(announced_reuse_s(&limits(15_000)), Some(12));
    assert_eq!(announced_reuse_s(&limits(2_500)), Some(2));
    assert_eq!(announced_reuse_s(&limits(1_200)), None);
}

#[test]
fn time_of_an_answer_counts_for_no_limit() {
    let mut clock = ConnectionClock::new(ms(0));
    clock.record_bytes(ms(10));
    assert_eq!(clock.due(&limits(1_000), false), Some((ms(3_010), DueReason::HeadTimeout)));
    // More bytes of the same head don't prolong its time.
    clock.record_bytes(ms(2_000));
    assert!(clock.has_partial_head());
    assert_eq!(clock.due(&limits(1_000), true), Some((ms(3_010), DueReason::HeadTimeout)));
    clock.begin_request();
    assert_eq!(clock.due(&limits(1_000), false), None);
    assert_eq!(clock.due(&limits(1_000), true), None);
    // Bytes of the body, and those that are sent while the answer is under way.
    clock.record_bytes(ms(5_000));
    clock.record_sent_bytes(ms(6_000));
    assert_eq!(clock.due(&limits(1_000), false), None);
    clock.end_answer(ms(7_000));
    clock.record_flush(ms(7_020));
    assert_eq!(clock.due(&limits(1_000), false), Some((ms(8_020), DueReason::Idle)));
}

/// Guards against an answer that is cut at a stop, because its client reads slowly and a
/// part of it has not been sent when its last frame is read.
#[test]
fn answer_that_is_being_sent_is_not_idle() {
    let mut clock = ConnectionClock::new(ms(0));
    clock.record_bytes(ms(0));
    clock.begin_request();
    clock.record_announcement(&limits(1_000));
    clock.end_answer(ms(100));
    assert_eq!(clock.due(&limits(1_000), true), Some((ms(1_100), DueReason::Idle)));
    clock.record_sent_bytes(ms(900));
    assert_eq!(clock.due(&limits(1_000), true), Some((ms(1_900), DueReason::Idle)));
    clock.record_flush(ms(1_200));
    assert_eq!(clock.due(&limits(1_000), true), Some((ms(1_200), DueReason::Stop)));
}

/// Guards against a new connection that is closed at a stop before its first request has
/// had the time to arrive.
#[test]
fn stop_closes_served_connections_at_once_and_new_ones_later() {
    let mut clock = ConnectionClock::new(ms(500));
    assert_eq!(clock.due(&limits(15_000), true), Some((ms(1_500), DueReason::Stop)));
    serve(&mut clock, &limits(15_000), 600, 700);
    assert_eq!(clock.due(&limits(15_000), true), Some((ms(700), DueReason::Stop)));
}
