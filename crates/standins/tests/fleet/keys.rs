//! Keys: withdrawal under traffic and in an outage, and no key anywhere.

use serde_json::json;

use crate::harness::{
    FleetOptions, KEY_SECRET, TestFleet, TestHost, TestProcess, build_http_client, wait_until,
};

async fn refused(fleet: &TestFleet, host: &TestHost) -> bool {
    fleet.send_chat(host, "still there", 1).await.status() == 401
}

fn key_hash(fleet: &TestFleet) -> String {
    skylarkgw::decision::keys::KeyHasher::new(KEY_SECRET).hash(&fleet.key).to_string()
}

async fn withdraw_at(host: &TestHost, hash: &str) {
    let response = build_http_client()
        .post(format!("http://{}/v1/withdraw", host.operator_address))
        .json(&json!({"hashes": [hash]}))
        .send()
        .await
        .expect("the host answers");
    assert_eq!(response.status(), 202);
}

#[tokio::test]
async fn withdrawn_key_stops_everywhere_in_an_outage_and_stays_withdrawn() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    let hash = key_hash(&fleet);
    fleet.platform.set_faults(json!({"refuse": true})).await;

    withdraw_at(&fleet.hosts[0], &hash).await;
    for host in &fleet.hosts {
        wait_until("the key is refused", async || refused(&fleet, host).await).await;
    }

    // The platform comes back without knowing; hosts store the withdrawal, and
    // neither a new nor a restarted host brings the key back.
    fleet.platform.set_faults(json!({})).await;
    let late = fleet.start_host();
    late.wait_ready().await;
    assert!(refused(&fleet, &late).await);
    let platform = fleet.platform_client();
    wait_until("the platform knows", async || {
        let stored = platform.read("shared/withdrawn").await.ok().flatten();
        stored.is_some_and(|object| object.value.contains(&hash))
    })
    .await;
    for host in &mut fleet.hosts {
        host.process.kill();
    }
    let alone = fleet.start_host();
    alone.wait_ready().await;
    assert!(refused(&fleet, &alone).await);
}

#[tokio::test]
async fn withdrawal_that_the_platform_has_not_stored_is_answered_as_not_done() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let hash = key_hash(&fleet);
    fleet.platform.set_faults(json!({"refuse": true})).await;
    let path = fleet.write_skylarkctl_settings(1, 300);
    let statement = format!("withdraw key {hash}");
    let mut client = TestProcess::start("skylarkctl", &["--settings", &path, &statement]);
    let status = client.wait_exit().await;
    assert_eq!(status.code(), Some(4), "{}", client.output());
    assert!(client.output().contains("has not stored it"), "{}", client.output());
    for host in &fleet.hosts {
        wait_until("the key is refused", async || refused(&fleet, host).await).await;
    }
}

#[tokio::test]
async fn withdrawn_key_cuts_a_running_stream_if_the_workspace_says_so() {
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
    let request = fleet.chat_request(&fleet.hosts[1], "a long story", 5_000, true);
    let stream = request.send().await.expect("a response");
    assert_eq!(stream.status(), 200);
    withdraw_at(&fleet.hosts[0], &key_hash(&fleet)).await;
    let body = stream.text().await.expect("the stream ends");
    assert!(body.contains("invalid_api_key"), "{body}");
    assert!(!body.contains("[DONE]"));
}

#[tokio::test]
async fn no_key_appears_in_any_output_or_upstream_request() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    for host in &fleet.hosts {
        assert_eq!(fleet.send_chat(host, "hello", 2).await.status(), 200);
        assert_eq!(fleet.order_request(host, &host.name).send().await.expect("x").status(), 201);
        let in_query = build_http_client()
            .get(format!("http://{}/stock/orders/x?key={}", host.client_address, fleet.key))
            .bearer_auth(&fleet.key)
            .send()
            .await
            .expect("a response");
        assert_eq!(in_query.status(), 400);
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
    let objects = platform.list("").await.expect("the platform answers");
    outputs.push(format!("{objects:?}"));
    let secret = fleet.key.trim_start_matches("sk-");
    for output in &outputs {
        assert!(!output.is_empty());
        assert!(!output.contains(secret), "{output}");
    }
}
