//! Tests of placement in a running fleet: loads, engine failures, rollouts and a
//! paused lease holder.

use serde_json::Value;

use crate::harness::{FleetOptions, TestFleet, TestProcess, wait_until};

fn empty_engines(checks_fence: bool) -> FleetOptions {
    let mut arguments =
        vec!["--memory-mb", "2500", "--load-ms", "100", "--token-ms", "1", "--prefill-ms", "1"];
    if checks_fence {
        arguments.push("--checks-fence");
    }
    FleetOptions { engines: 3, engine_arguments: arguments, ..FleetOptions::default() }
}

/// Returns how often the reachable engines were loaded beyond their memory.
async fn count_overcommits(fleet: &TestFleet) -> u64 {
    let mut sum = 0;
    for engine in &fleet.engines {
        if crate::harness::new_http_client()
            .get(format!("http://{}", engine.address))
            .send()
            .await
            .is_err()
        {
            continue;
        }
        sum += engine.get("/standin/counts").await["overcommits"].as_u64().unwrap_or(0);
    }
    sum
}

/// Returns the indices of the reachable engines that hold a replica of `version`.
async fn find_holders(fleet: &TestFleet, version: &str) -> Vec<usize> {
    let mut holders = Vec::new();
    for (index, engine) in fleet.engines.iter().enumerate() {
        let url = format!("http://{}/v1/load", engine.address);
        let Ok(report) = crate::harness::new_http_client().get(url).send().await else { continue };
        let report: Value = report.json().await.expect("JSON");
        let replicas = report["engine"]["replicas"].as_array().cloned().unwrap_or_default();
        if replicas.iter().any(|replica| replica["version"] == version) {
            holders.push(index);
        }
    }
    holders
}

#[tokio::test]
async fn model_is_loaded_again_when_its_only_engine_fails() {
    // The fleet starts with empty engines and serves requests once the model is
    // loaded.
    let mut fleet = TestFleet::start(empty_engines(true)).await;
    let holders = find_holders(&fleet, "1").await;
    assert_eq!(holders.len(), 1);
    fleet.engines[holders[0]].process.kill();
    wait_until("another engine holds the model", async || {
        find_holders(&fleet, "1").await.len() == 1
    })
    .await;
    fleet.wait_until_serving().await;
    assert_eq!(count_overcommits(&fleet).await, 0);
}

#[tokio::test]
async fn rollout_replaces_every_replica_despite_a_paused_host() {
    let fleet = TestFleet::start(empty_engines(false)).await;
    let settings = fleet.write_skylarkctl_settings(fleet.hosts.len(), 60_000);
    // One of the three hosts is paused during the rollout, whether or not it holds
    // the lease.
    let client =
        TestProcess::start("skylarkctl", &["--settings", &settings, "rollout model sage to 2"]);
    fleet.hosts[0].process.signal("STOP");
    wait_until("the new version is loaded", async || !find_holders(&fleet, "2").await.is_empty())
        .await;
    fleet.hosts[0].process.signal("CONT");
    let mut client = client;
    let status = client.wait_exit().await;
    assert_eq!(status.code(), Some(0), "{}", client.output());
    wait_until("only the new version is left", async || {
        find_holders(&fleet, "1").await.is_empty() && find_holders(&fleet, "2").await.len() == 1
    })
    .await;
    for host in &fleet.hosts {
        wait_until("the host serves", async || {
            fleet.send_chat(host, "after the rollout", 2).await.status() == 200
        })
        .await;
    }
    assert_eq!(count_overcommits(&fleet).await, 0);
}

#[tokio::test]
async fn drained_engine_gets_no_new_work_once_the_change_is_in_force() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let revision = fleet
        .change_configuration(|next| {
            if let Some(spec) = next.endpoints.get_mut("engine-0") {
                spec.leaving = true;
            }
        })
        .await;
    fleet.wait_revision(revision).await;
    let generations = async |engine: usize| {
        fleet.engines[engine].get("/standin/counts").await["generations"].as_u64()
    };
    let (drained, other) = (generations(0).await, generations(1).await);
    for number in 0..18 {
        let host = &fleet.hosts[number % fleet.hosts.len()];
        assert_eq!(fleet.send_chat(host, &format!("prompt {number}"), 2).await.status(), 200);
    }
    assert_eq!(generations(0).await, drained);
    assert!(generations(1).await > other);
}
