//! Retry storms: repeats stay within the budget of the fleet.

use skylarkgw::decision::retry_budget::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;

#[test]
fn repeats_of_all_hosts_stay_within_ratio_and_slack() {
    let hosts = 12;
    let mut budgets: Vec<RetryBudget> =
        (0..hosts).map(|_| RetryBudget::new(RATIO, SLACK, hosts)).collect();
    let (mut requests, mut repeats) = (0, 0);
    for round in 0..3_000 {
        let budget = &mut budgets[round % hosts as usize];
        budget.record_request();
        requests += 1;
        // Every request fails and asks for two repeats.
        repeats += (0..2).filter(|_| budget.try_spend()).count();
    }
    let allowed = RATIO * f64::from(requests) + SLACK;
    assert!(repeats as f64 <= allowed, "{repeats} repeats of {allowed}");
    assert!(repeats > 300, "the budget is of use: {repeats} repeats");
}

#[test]
fn host_that_learns_of_more_hosts_gives_up_its_surplus() {
    let mut budget = RetryBudget::new(RATIO, SLACK, 1);
    budget.set_host_count(SLACK, 50);
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
}
