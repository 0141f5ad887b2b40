//! Planned stops cut no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use standins::engine::whole_text;

use crate::harness::{
    FleetOptions, TestFleet, build_http_client, flatten_prompt, parse_chat_stream, wait_until,
};

#[tokio::test]
async fn stop_signal_lets_a_running_stream_end_and_hands_over_the_shares() {
    let options = FleetOptions {
        engine_arguments: vec!["--models", "sage", "--token-ms", "20"],
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await;
    let request = fleet.chat_request(&fleet.hosts[0], "until the end", 100, true);
    let response = request.send().await.expect("a response");
    fleet.hosts[0].process.signal("TERM");
    let body = response.text().await.expect("a body");
    let expected = whole_text(&flatten_prompt("until the end"), 100);
    assert_eq!(parse_chat_stream(&body), (expected, true));
    assert!(fleet.hosts[0].process.wait_exit().await.success());
    let platform = fleet.platform_client();
    let ledger = platform.read("allowance/ledger").await.expect("a response").expect("a ledger");
    assert!(!ledger.value.contains("host-01"), "{}", ledger.value);
    assert!(ledger.value.contains("host-02"), "{}", ledger.value);
}

#[tokio::test]
async fn second_signal_ends_a_stop_at_once() {
    let options = FleetOptions {
        hosts: 1,
        engine_arguments: vec!["--models", "sage", "--token-ms", "100"],
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await;
    let request = fleet.chat_request(&fleet.hosts[0], "far too long", 5_000, true);
    let response = request.send().await.expect("a response");
    fleet.hosts[0].process.signal("TERM");
    let draining = "stopping: draining";
    fleet.hosts[0].process.wait_line(|line| line.contains(draining).then_some(()));
    fleet.hosts[0].process.signal("TERM");
    fleet.hosts[0].process.wait_exit().await;
    drop(response);
}

/// Replaces every host one by one while callers go on; a caller goes where
/// the balancer would send it, to a host that is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_replacement_cuts_no_request() {
    let mut fleet = TestFleet::start(FleetOptions {
        host_settings: serde_json::json!({"drain_notice_ms": 1_000}),
        ..FleetOptions::default()
    })
    .await;
    let addresses: Vec<(String, String)> = fleet
        .hosts
        .iter()
        .map(|host| (host.client_address.clone(), host.operator_address.clone()))
        .collect();
    let balancer = Arc::new(std::sync::Mutex::new(addresses));
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let caller = BalancedCaller {
                balancer: balancer.clone(),
                key: fleet.key.clone(),
                stop: stop.clone(),
                answered: answered.clone(),
                number: caller,
            };
            tokio::spawn(caller.run())
        })
        .collect();
    for _ in 0..3 {
        let new = fleet.start_host();
        new.wait_ready().await;
        balancer
            .lock()
            .expect("x")
            .push((new.client_address.clone(), new.operator_address.clone()));
        fleet.hosts.push(new);
        let mut old = fleet.hosts.remove(0);
        old.process.signal("TERM");
        assert!(old.process.wait_exit().await.success());
        balancer.lock().expect("x").retain(|(callers, _)| *callers != old.client_address);
    }
    let before = answered.load(Ordering::Relaxed);
    wait_until("callers go on", async || answered.load(Ordering::Relaxed) > before + 20).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("no request was cut");
    }
}

struct BalancedCaller {
    balancer: Arc<std::sync::Mutex<Vec<(String, String)>>>,
    key: String,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    number: usize,
}

impl BalancedCaller {
    async fn run(self) {
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let Some(callers) = self.ready_host(self.number + count).await else { continue };
            let prompt = format!("caller {} request {count}", self.number);
            let body = serde_json::json!({
                "model": "sage",
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": 12,
                "stream": true,
            });
            let response = build_http_client()
                .post(format!("http://{callers}/v1/chat/completions"))
                .bearer_auth(&self.key)
                .json(&body)
                .send()
                .await
                .expect("the connection holds");
            assert_eq!(response.status(), 200);
            let text = response.text().await.expect("the stream is whole");
            assert_eq!(parse_chat_stream(&text), (whole_text(&flatten_prompt(&prompt), 12), true));
            self.answered.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn ready_host(&self, turn: usize) -> Option<String> {
        let hosts = self.balancer.lock().expect("no caller panics with the lock").clone();
        let (callers, operators) = &hosts[turn % hosts.len()];
        let ready = build_http_client().get(format!("http://{operators}/readyz")).send().await;
        ready.is_ok_and(|response| response.status() == 200).then(|| callers.clone())
    }
}
