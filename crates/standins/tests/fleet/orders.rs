//! Orders run at most once when hosts are killed or paused, the platform or the
//! service fails, and clients retry concurrently.
//!
//! The tests compare the responses with the number of executions that the service
//! counts.

use std::time::Duration;

use futures::future::join_all;
use serde_json::{Value, json};

use crate::harness::{FleetOptions, TestFleet, wait_until};

/// Returns the status code, the `skylark-outcome` header and the error code of a
/// response.
async fn read_outcome(response: reqwest::Response) -> (u16, String, String) {
    let status = response.status().as_u16();
    let outcome = response.headers().get("skylark-outcome").cloned();
    let outcome = outcome.map(|value| value.to_str().unwrap_or("").to_owned()).unwrap_or_default();
    let body: Value = response.json().await.unwrap_or_default();
    (status, outcome, body["error"]["code"].as_str().unwrap_or("").to_owned())
}

#[tokio::test]
async fn retry_at_another_host_returns_the_stored_response() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    for (number, host) in fleet.hosts.iter().enumerate() {
        let request = fleet.build_order_request(host, "media").header("idempotency-key", "k-1");
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), 201);
        assert_eq!(response.headers().contains_key("idempotency-replayed"), number > 0);
    }
    assert_eq!(fleet.service.count_executions("media").await, 1);

    let other =
        fleet.build_order_request(&fleet.hosts[0], "polish").header("idempotency-key", "k-1");
    let (status, outcome, code) = read_outcome(other.send().await.expect("a response")).await;
    assert_eq!((status, &*outcome, &*code), (422, "not-run", "idempotency_key_reused"));
    assert_eq!(fleet.service.count_executions("polish").await, 0);
}

#[tokio::test]
async fn concurrent_retries_run_the_order_once() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.service.set_faults(json!({"delay_ms": 200})).await;
    for round in 0..5 {
        let order = format!("barrel-{round}");
        let calls = (0..12).map(|number| {
            let host = &fleet.hosts[number % fleet.hosts.len()];
            fleet.build_order_request(host, &order).header("idempotency-key", order.clone()).send()
        });
        let responses = join_all(calls).await;
        let mut answered = 0;
        for response in responses {
            let (status, outcome, _) = read_outcome(response.expect("a response")).await;
            answered += u32::from(status == 201);
            assert!(status == 201 || outcome == "unknown", "{status} {outcome}");
        }
        assert!(answered >= 1);
        assert_eq!(fleet.service.count_executions(&order).await, 1);
    }
}

#[tokio::test]
async fn lost_response_to_a_record_write_neither_repeats_nor_loses_the_order() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.platform.set_faults(json!({"lose_answers": 1})).await;
    let request =
        fleet.build_order_request(&fleet.hosts[0], "grit").header("idempotency-key", "k-2");
    let response = request.send().await.expect("a response");
    let status = response.status();
    let executions = fleet.service.count_executions("grit").await;
    // Another write to the platform may have used up the fault; the order runs
    // in either case.
    assert_eq!((status.as_u16(), executions), (201, 1));
    let repeated =
        fleet.build_order_request(&fleet.hosts[1], "grit").header("idempotency-key", "k-2");
    assert_eq!(repeated.send().await.expect("a response").status(), 201);
    assert_eq!(fleet.service.count_executions("grit").await, 1);
}

#[tokio::test]
async fn outage_refuses_keyed_orders_and_serves_all_other_requests() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let completed =
        fleet.build_order_request(&fleet.hosts[1], "ran").header("idempotency-key", "k-0");
    assert_eq!(completed.send().await.expect("a response").status(), 201);
    fleet.platform.set_faults(json!({"refuse": true})).await;
    let host = &fleet.hosts[0];
    let keyed = fleet.build_order_request(host, "pellets").header("idempotency-key", "k-3");
    let response = keyed.send().await.expect("a response");
    assert!(response.headers().contains_key("retry-after"));
    let (status, outcome, code) = read_outcome(response).await;
    // The host sent no order, but it cannot read whether an earlier call with
    // this key ran.
    assert_eq!((status, &*outcome, &*code), (503, "unknown", "record_unavailable"));
    assert_eq!(fleet.service.count_executions("pellets").await, 0);
    let repeated = fleet.build_order_request(host, "ran").header("idempotency-key", "k-0");
    let (_, repeated_outcome, _) =
        self::read_outcome(repeated.send().await.expect("a response")).await;
    assert_eq!(repeated_outcome, "unknown", "the order ran before the outage");
    assert_eq!(fleet.service.count_executions("ran").await, 1);
    assert_eq!(
        fleet.build_order_request(host, "plain").send().await.expect("a response").status(),
        201
    );
    assert_eq!(fleet.send_chat(host, "in the outage", 4).await.status(), 200);
}

#[tokio::test]
async fn order_without_a_response_of_the_service_is_reported_as_unknown() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.service.set_faults(json!({"lose_answers": 1})).await;
    let plain =
        fleet.build_order_request(&fleet.hosts[0], "tins").send().await.expect("a response");
    let (status, outcome, _) = read_outcome(plain).await;
    assert_eq!((status, &*outcome), (504, "unknown"));
    assert_eq!(fleet.service.count_executions("tins").await, 1);

    fleet.service.set_faults(json!({"lose_answers": 1})).await;
    let keyed = |host: usize| {
        fleet
            .build_order_request(&fleet.hosts[host], "lids")
            .header("idempotency-key", "k-4")
            .send()
    };
    let (_, first, _) = read_outcome(keyed(0).await.expect("a response")).await;
    let (_, second, _) = read_outcome(keyed(1).await.expect("a response")).await;
    assert_eq!((&*first, &*second), ("unknown", "unknown"));
    assert_eq!(fleet.service.count_executions("lids").await, 1);
}

#[tokio::test]
async fn orders_in_flight_at_a_killed_host_can_be_retried_and_run_at_most_once() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.service.set_faults(json!({"delay_ms": 300})).await;
    let calls: Vec<_> = (0..40)
        .map(|number| {
            let order = format!("sack-{number}");
            let request = fleet
                .build_order_request(&fleet.hosts[0], &order)
                .header("idempotency-key", order.clone());
            tokio::spawn(request.send())
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(120)).await;
    fleet.hosts[0].process.kill();
    for call in calls {
        let _ = call.await;
    }
    fleet.service.set_faults(json!({})).await;
    for number in 0..40 {
        let order = format!("sack-{number}");
        let retry = fleet
            .build_order_request(&fleet.hosts[1], &order)
            .header("idempotency-key", order.clone())
            .send()
            .await
            .expect("a response");
        let (status, outcome, _) = read_outcome(retry).await;
        let executions = fleet.service.count_executions(&order).await;
        assert!(executions <= 1, "{order} ran {executions} times");
        match status {
            201 => assert_eq!(executions, 1, "{order}"),
            _ if outcome == "not-run" => assert_eq!(executions, 0, "{order}"),
            _ => assert_eq!(outcome, "unknown", "{order}"),
        }
    }
}

#[tokio::test]
async fn order_to_an_unreachable_service_is_reported_as_not_run() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.service.process.kill();
    for key in ["", "k-5"] {
        let mut request = fleet.build_order_request(&fleet.hosts[0], "lost");
        if !key.is_empty() {
            request = request.header("idempotency-key", key);
        }
        let (status, outcome, _) = read_outcome(request.send().await.expect("a response")).await;
        assert_eq!((status, &*outcome), (503, "not-run"));
    }
}

#[tokio::test]
async fn resumed_host_does_not_serve_with_an_outdated_revision() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let paused_host = &fleet.hosts[2];
    paused_host.process.signal("STOP");
    let revision = fleet.change_configuration(|next| next.keys.clear()).await;
    for host in &fleet.hosts[..2] {
        wait_until("the revision is in force", async || {
            host.status().await.is_some_and(|status| status.revision >= revision)
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    paused_host.process.signal("CONT");
    let response = fleet.send_chat(paused_host, "good morning", 1).await;
    let status = response.status().as_u16();
    assert!(status == 401 || status == 503, "{status}");
}
