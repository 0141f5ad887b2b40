//! Changes: whole or not at all, never twice, never back.

use std::sync::Arc;

use serde_json::json;
use skylarkgw::operator::{AcceptanceError, ChangeRequest, accept_change, read_head};

use crate::harness::{FleetShape, TestFleet, wait_until};

fn request(id: &str) -> ChangeRequest {
    ChangeRequest { id: id.into(), author: "test".into(), summary: id.into() }
}

#[tokio::test]
async fn racing_operators_one_wins_whole_and_the_other_hears_of_it() {
    let fleet = TestFleet::start(FleetShape { hosts: 1, ..FleetShape::default() }).await;
    let platform = fleet.platform_client();
    let (_, head) = read_head(&platform).await.expect("the head");
    let based_on = head.configuration.revision;
    let change = async |id: &'static str, rate: u64| {
        let apply = move |next: &mut skylarkgw::configuration::FleetConfiguration| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate = rate);
        };
        accept_change(&platform, &request(id), based_on, apply).await
    };
    let (one, two) = tokio::join!(change("one", 111), change("two", 222));
    let winners = [&one, &two].into_iter().filter(|result| result.is_ok()).count();
    assert_eq!(winners, 1, "{one:?} {two:?}");
    let loser = if one.is_ok() { two } else { one };
    assert!(matches!(loser, Err(AcceptanceError::RevisionConflict { .. })));
    fleet.wait_revision(based_on + 1).await;
}

#[tokio::test]
async fn lost_answer_of_an_acceptance_is_recognised_and_not_applied_twice() {
    let fleet = TestFleet::start(FleetShape { hosts: 1, ..FleetShape::default() }).await;
    let platform = fleet.platform_client();
    for round in 0..3 {
        let (_, head) = read_head(&platform).await.expect("the head");
        let based_on = head.configuration.revision;
        fleet.platform.set_faults(json!({"lose_answers": 1})).await;
        let id: Arc<str> = format!("lost-{round}").into();
        let apply = |next: &mut skylarkgw::configuration::FleetConfiguration| {
            next.workspaces.values_mut().for_each(|workspace| workspace.rate += 1);
        };
        let change = request(&id);
        let accepted = accept_change(&platform, &change, based_on, apply).await;
        assert_eq!(accepted.expect("accepted").revision, based_on + 1);
        let again = accept_change(&platform, &change, based_on, apply).await;
        assert!(again.expect("accepted before").already_accepted);
        let (_, head) = read_head(&platform).await.expect("the head");
        assert_eq!(head.configuration.workspaces["shop"].rate, 1_000_001 + round);
    }
}

#[tokio::test]
async fn frozen_host_is_named_as_not_done_and_never_serves_the_old_revision() {
    let fleet = TestFleet::start(FleetShape::default()).await;
    fleet.hosts[2].process.signal("STOP");
    let revision = fleet
        .accept(|next| {
            next.adapters.clear();
            next.models.clear();
        })
        .await;
    let path = fleet.write_client_settings(2, 300);
    let statement = format!("wait for revision {revision}");
    let mut client =
        crate::harness::TestProcess::start("skylarkctl", &["--settings", &path, &statement]);
    let status = client.wait_exit().await;
    assert_eq!(status.code(), Some(4), "{}", client.output());
    assert!(client.output().contains("host-03"), "{}", client.output());
    fleet.hosts[2].process.signal("CONT");
    wait_until("the host catches up", async || {
        fleet.hosts[2].status().await.is_some_and(|status| status.revision >= revision)
    })
    .await;
}

#[tokio::test]
async fn new_host_in_an_outage_learns_the_revision_from_its_peers_or_does_not_serve() {
    let mut fleet = TestFleet::start(FleetShape::default()).await;
    // The list of hosts is readable, the shared objects are not: the new host
    // finds its peers and nothing else.
    let known = fleet.hosts[0].status().await.expect("a status").revision;
    let late = fleet.start_host();
    late.wait_ready().await;
    assert!(late.status().await.expect("a status").revision >= known);
    fleet.platform.set_faults(json!({"refuse": true})).await;
    let stranger = fleet.start_host();
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    assert!(!stranger.is_ready().await);
    assert_eq!(fleet.chat(&stranger, "hello", 1).await.status(), 503);
}
