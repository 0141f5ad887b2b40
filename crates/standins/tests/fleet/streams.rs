//! Streams whose engine closes the connection, stalls, sends garbage or is
//! killed, clients that disconnect, and requests without a running engine.

use std::time::Duration;

use futures::StreamExt;
use serde_json::json;
use standins::engine::whole_text;

use crate::harness::{FleetOptions, TestFleet, flatten_prompt, parse_chat_stream, wait_until};

/// Length of each stream that is checked for completeness.
const STREAM_TOKENS: u64 = 60;

/// Streams a completion and asserts that it has all tokens, each once.
async fn assert_complete_stream(fleet: &TestFleet, prompt: &str) {
    let request = fleet.build_chat_request(&fleet.hosts[0], prompt, STREAM_TOKENS, true);
    let body = request.send().await.expect("a response").text().await.expect("a body");
    let expected = whole_text(&flatten_prompt(prompt), STREAM_TOKENS);
    assert_eq!(parse_chat_stream(&body), (expected, true));
}

#[tokio::test]
async fn broken_and_stalled_streams_resume_without_missing_or_repeated_tokens() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    for engine in &fleet.engines {
        engine.set_faults(json!({"break_streams": 3})).await;
    }
    assert_complete_stream(&fleet, "broken").await;
    for engine in &fleet.engines {
        engine.set_faults(json!({"silence_streams": 2})).await;
    }
    assert_complete_stream(&fleet, "silent").await;
    for engine in &fleet.engines {
        engine.set_faults(json!({"garbage": 1})).await;
    }
    assert_complete_stream(&fleet, "garbage").await;
}

#[tokio::test]
async fn stream_moves_to_another_engine_when_its_engine_is_killed() {
    let options = FleetOptions {
        engine_arguments: vec!["--models", "sage", "--token-ms", "20"],
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await;
    let request = fleet.build_chat_request(&fleet.hosts[0], "moving", STREAM_TOKENS, true);
    let response = request.send().await.expect("a response");
    let mut running = None;
    for (number, engine) in fleet.engines.iter().enumerate() {
        if engine.get("/standin/counts").await["running"] == 1 {
            running = Some(number);
        }
    }
    let running = running.expect("one engine runs the request");
    fleet.engines[running].process.kill();
    let body = response.text().await.expect("a body");
    let expected = whole_text(&flatten_prompt("moving"), STREAM_TOKENS);
    assert_eq!(parse_chat_stream(&body), (expected, true));
}

#[tokio::test]
async fn request_of_a_disconnected_client_is_cancelled_at_the_engine() {
    let options = FleetOptions {
        hosts: 1,
        engine_arguments: vec!["--models", "sage", "--token-ms", "50"],
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    let request = fleet.build_chat_request(&fleet.hosts[0], "never mind", 2_000, true);
    let mut stream = request.send().await.expect("a response").bytes_stream();
    stream.next().await.expect("the stream has a chunk").expect("the chunk can be read");
    drop(stream);
    wait_until("no engine runs the request", async || {
        let mut running = 0;
        for engine in &fleet.engines {
            running += engine.get("/standin/counts").await["running"].as_u64().unwrap_or(0);
        }
        running == 0
    })
    .await;
    wait_until("the host runs no request", async || {
        fleet.hosts[0].metrics().await.contains("skylark_requests_running 0")
    })
    .await;
}

#[tokio::test]
async fn request_without_a_live_engine_is_refused_with_retry_after() {
    let mut fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    fleet.engines.iter_mut().for_each(|engine| engine.process.kill());
    let started = std::time::Instant::now();
    let response = fleet.send_chat(&fleet.hosts[0], "anyone", 4).await;
    assert!(response.status().is_server_error());
    assert!(response.headers().contains_key("retry-after"));
    // Far below the deadlines that clients set, yet long enough for a heavily
    // loaded machine.
    assert!(started.elapsed() < Duration::from_secs(20));
}

/// Sends a request under which engines end, `exit_delay_ms` after they have begun, and
/// checks that no more than two of them do.
async fn assert_two_engines_end(exit_delay_ms: &'static str) {
    let options = FleetOptions {
        engines: 5,
        engine_arguments: vec![
            "--models",
            "sage",
            "--exit-on",
            "poison",
            "--exit-delay-ms",
            exit_delay_ms,
        ],
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start(options).await;
    assert_complete_stream(&fleet, "sound").await;
    let request = fleet.build_chat_request(&fleet.hosts[0], "poison", STREAM_TOKENS, true);
    let body = request.send().await.expect("a response").text().await.unwrap_or_default();
    assert!(!parse_chat_stream(&body).1, "{body}");
    let mut ended = 0;
    for engine in &fleet.engines {
        let url = format!("http://{}/standin/counts", engine.address);
        ended += usize::from(reqwest::get(url).await.is_err());
    }
    assert!((1..=2).contains(&ended), "{ended} engines ended");
    assert_complete_stream(&fleet, "sound again").await;
}

// Guards against one request that ends engine after engine.
#[tokio::test]
async fn request_under_which_engines_end_reaches_no_more_than_two() {
    assert_two_engines_end("0").await;
}

// Guards against an ending engine that counts as alive because it still accepts
// connections.
#[tokio::test]
async fn request_under_which_engines_end_late_reaches_no_more_than_two() {
    assert_two_engines_end("60").await;
}
