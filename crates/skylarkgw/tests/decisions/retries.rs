//! Retry storms: retries stay within the budget of the fleet.

use skylarkgw::decision::dispatch::retry_budget::RetryBudget;

const RATIO: f64 = 0.2;
const SLACK: f64 = 100.0;

#[test]
fn retries_of_all_hosts_stay_within_ratio_and_slack() {
    let hosts = 12;
    let mut budgets: Vec<RetryBudget> =
        (0..hosts).map(|_| RetryBudget::new(RATIO, SLACK, hosts)).collect();
    let (mut requests, mut retries) = (0, 0);
    for round in 0..3_000 {
        let budget = &mut budgets[round % hosts as usize];
        budget.record_request();
        requests += 1;
        // Every request fails and needs two retries.
        retries += (0..2).filter(|_| budget.try_spend()).count();
    }
    let max_retries = RATIO * f64::from(requests) + SLACK;
    assert!(retries as f64 <= max_retries, "{retries} retries, {max_retries} allowed");
    assert!(retries > 300, "the budget allows only {retries} retries");
}

#[test]
fn budget_shrinks_when_the_number_of_hosts_grows() {
    let mut budget = RetryBudget::new(RATIO, SLACK, 1);
    budget.set_host_count(SLACK, 50);
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
}
