//! Requests that arrive while a host stops are answered before the process ends.

use std::time::Duration;

use skylarkgw::decision::stop_plan::StopPlan;

use crate::samples::ms;

const PLAN: StopPlan =
    StopPlan { closes_at: Duration::from_millis(2_600), ends_at: Duration::from_millis(7_300) };

/// Pattern: requests arrive on unused connections until the process ends.
#[test]
fn no_request_that_arrives_late_can_outlast_the_process() {
    for arrival in (0..7_300).step_by(50) {
        for time_left in (50..=20_000).step_by(50) {
            let (now, deadline) = (ms(arrival), ms(arrival + time_left));
            let is_taken = PLAN.takes_request(now, deadline);
            let is_late = now >= PLAN.closes_at;
            assert!(!(is_late && is_taken && deadline > PLAN.ends_at), "{now:?} {deadline:?}");
            // What can be answered in time is not refused.
            assert!(is_taken || deadline > PLAN.ends_at, "{now:?} {deadline:?}");
        }
    }
}

/// Pattern: the load balancer notices the stop after two readiness checks.
#[test]
fn request_that_arrives_before_the_load_balancer_notices_is_taken() {
    assert!(PLAN.takes_request(ms(2_599), ms(20_000)));
}
