//! API keys: withdrawal under traffic and during an outage of the platform, and
//! no key in any output.

use serde_json::json;

use crate::harness::{
    FleetOptions, KEY_SECRET, TestFleet, TestHost, TestProcess, new_http_client, wait_until,
};

/// Returns whether a host refuses the fleet's key.
async fn is_key_refused(fleet: &TestFleet, host: &TestHost) -> bool {
    fleet.send_chat(host, "still there", 1).await.status() == 401
}

/// Returns the hash of the fleet's key, under which the configuration lists it.
fn compute_key_hash(fleet: &TestFleet) -> String {
    skylarkgw::decision::keys::KeyHasher::new(KEY_SECRET).hash(&fleet.key).to_string()
}

/// Withdraws a key, given by its hash, at the operator address of a host.
async fn withdraw_key_at(host: &TestHost, hash: &str) {
    let response = new_http_client()
        .post(format!("http://{}/v1/withdraw", host.operator_address))
        .json(&json!({"hashes": [hash]}))
        .send()
        .await
        .expect("the host responds");
    assert_eq!(response.status(), 202);
}

#[tokio::test]
async fn key_withdrawn_during_an_outage_is_refused_by_all_hosts_and_after_restarts() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    let hash = compute_key_hash(&fleet);
    fleet.platform.set_faults(json!({"refuse": true})).await;

    withdraw_key_at(&fleet.hosts[0], &hash).await;
    for host in &fleet.hosts {
        wait_until("the key is refused", async || is_key_refused(&fleet, host).await).await;
    }

    // The platform has no record of the withdrawal when the outage ends. The
    // hosts store it, so that neither a new host nor one started after all
    // others were killed accepts the key again.
    fleet.platform.set_faults(json!({})).await;
    let new_host = fleet.start_host();
    new_host.wait_ready().await;
    assert!(is_key_refused(&fleet, &new_host).await);
    let platform = fleet.platform_client();
    wait_until("the platform has stored the withdrawal", async || {
        let stored = platform.read("shared/withdrawn").await.ok().flatten();
        stored.is_some_and(|object| object.value.contains(&hash))
    })
    .await;
    for host in &mut fleet.hosts {
        host.process.kill();
    }
    let only_host = fleet.start_host();
    only_host.wait_ready().await;
    assert!(is_key_refused(&fleet, &only_host).await);
}

#[tokio::test]
async fn skylarkctl_reports_a_withdrawal_that_the_platform_has_not_stored() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let hash = compute_key_hash(&fleet);
    fleet.platform.set_faults(json!({"refuse": true})).await;
    let path = fleet.write_skylarkctl_settings(1, 300);
    let statement = format!("withdraw key {hash}");
    let mut client = TestProcess::start("skylarkctl", &["--settings", &path, &statement]);
    let status = client.wait_exit().await;
    assert_eq!(status.code(), Some(4), "{}", client.output());
    assert!(client.output().contains("has not stored it"), "{}", client.output());
    for host in &fleet.hosts {
        wait_until("the key is refused", async || is_key_refused(&fleet, host).await).await;
    }
}

#[tokio::test]
async fn withdrawn_key_cuts_a_running_stream_if_the_workspace_requires_it() {
    let options = FleetOptions {
        engine_arguments: vec!["--models", "sage", "--token-ms", "20"],
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    let revision = fleet
        .change_configuration(|next| {
            next.workspaces.values_mut().for_each(|workspace| workspace.cut_streams = true);
        })
        .await;
    fleet.wait_revision(revision).await;
    let request = fleet.build_chat_request(&fleet.hosts[1], "a long story", 5_000, true);
    let stream = request.send().await.expect("a response");
    assert_eq!(stream.status(), 200);
    withdraw_key_at(&fleet.hosts[0], &compute_key_hash(&fleet)).await;
    let body = stream.text().await.expect("the stream ends");
    assert!(body.contains("invalid_api_key"), "{body}");
    assert!(!body.contains("[DONE]"));
}

#[tokio::test]
async fn no_key_appears_in_any_output_or_upstream_request() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    for host in &fleet.hosts {
        assert_eq!(fleet.send_chat(host, "hello", 2).await.status(), 200);
        assert_eq!(
            fleet.build_order_request(host, &host.name).send().await.expect("a response").status(),
            201
        );
        let response = new_http_client()
            .get(format!("http://{}/stock/orders/x?key={}", host.client_address, fleet.key))
            .bearer_auth(&fleet.key)
            .send()
            .await
            .expect("a response");
        assert_eq!(response.status(), 400);
    }
    let mut outputs = Vec::new();
    for host in &fleet.hosts {
        outputs.push(host.process.output());
        outputs.push(host.metrics().await);
        outputs.push(format!("{:?}", host.status().await));
    }
    for standin in fleet.engines.iter().chain([&fleet.service]) {
        outputs.push(standin.get("/standin/headers").await.to_string());
        outputs.push(standin.process.output());
    }
    let platform = fleet.platform_client();
    let objects = platform.list("").await.expect("the platform responds");
    outputs.push(format!("{objects:?}"));
    let secret = fleet.key.trim_start_matches("sk-");
    for output in &outputs {
        assert!(!output.is_empty());
        assert!(!output.contains(secret), "{output}");
    }
}
