//! A planned stop of a host cuts no request short.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use standins::engine::whole_text;

use crate::harness::{
    FleetOptions, TestFleet, flatten_prompt, new_http_client, parse_chat_stream, wait_until,
};

#[tokio::test]
async fn stopping_host_finishes_running_streams_and_returns_its_shares() {
    let options = FleetOptions {
        engine_arguments: vec!["--models", "sage", "--token-ms", "20"],
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await;
    let request = fleet.build_chat_request(&fleet.hosts[0], "until the end", 100, true);
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

/// Guards against requests that are cut because a host ends on a hang-up, as a paused
/// one does when the shell that started it ends.
#[tokio::test]
async fn hang_up_does_not_stop_a_host() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    fleet.hosts[0].process.signal("HUP");
    // The next signal shows that the hang-up has been delivered.
    fleet.hosts[0].process.signal("STOP");
    fleet.hosts[0].process.signal("CONT");
    assert_eq!(fleet.send_chat(&fleet.hosts[0], "after the hang-up", 2).await.status(), 200);
}

#[tokio::test]
async fn second_signal_ends_the_process_without_draining() {
    let options = FleetOptions {
        hosts: 1,
        engine_arguments: vec!["--models", "sage", "--token-ms", "100"],
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await;
    let request = fleet.build_chat_request(&fleet.hosts[0], "far too long", 5_000, true);
    let response = request.send().await.expect("a response");
    fleet.hosts[0].process.signal("TERM");
    let draining = "stopping: draining";
    fleet.hosts[0].process.wait_line(|line| line.contains(draining).then_some(()));
    fleet.hosts[0].process.signal("TERM");
    fleet.hosts[0].process.wait_exit().await;
    drop(response);
}

/// Replaces the hosts one by one while clients keep sending requests. The clients
/// act as a load balancer does: they take the hosts in turn and skip those whose
/// readiness check fails.
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
    let host_addresses = Arc::new(std::sync::Mutex::new(addresses));
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let client = BalancedClient {
                host_addresses: host_addresses.clone(),
                key: fleet.key.clone(),
                stop: stop.clone(),
                answered: answered.clone(),
                number: client,
            };
            tokio::spawn(client.run())
        })
        .collect();
    for _ in 0..3 {
        let new_host = fleet.start_host();
        new_host.wait_ready().await;
        host_addresses
            .lock()
            .expect("no client panics while it holds the lock")
            .push((new_host.client_address.clone(), new_host.operator_address.clone()));
        fleet.hosts.push(new_host);
        let mut old_host = fleet.hosts.remove(0);
        old_host.process.signal("TERM");
        assert!(old_host.process.wait_exit().await.success());
        host_addresses
            .lock()
            .expect("no client panics while it holds the lock")
            .retain(|(client_address, _)| *client_address != old_host.client_address);
    }
    let answered_before = answered.load(Ordering::Relaxed);
    wait_until("clients continue to get responses", async || {
        answered.load(Ordering::Relaxed) > answered_before + 20
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.expect("no request was cut");
    }
}

/// A client that sends streamed requests to the hosts in turn until `stop` is set,
/// and checks that each response is complete.
struct BalancedClient {
    /// Client address and operator address of each host in rotation.
    host_addresses: Arc<std::sync::Mutex<Vec<(String, String)>>>,
    key: String,
    stop: Arc<AtomicBool>,
    /// Number of complete responses of all clients.
    answered: Arc<AtomicUsize>,
    /// Number of this client, which spreads the clients over the hosts.
    number: usize,
}

impl BalancedClient {
    /// Sends requests one after another.
    ///
    /// # Panics
    ///
    /// Panics if a request is refused or its stream is incomplete.
    async fn run(self) {
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let Some(address) = self.find_ready_host(self.number + count).await else { continue };
            let prompt = format!("client {} request {count}", self.number);
            let body = serde_json::json!({
                "model": "sage",
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": 12,
                "stream": true,
            });
            let response = new_http_client()
                .post(format!("http://{address}/v1/chat/completions"))
                .bearer_auth(&self.key)
                .json(&body)
                .send()
                .await
                .expect("the connection stays open");
            let status = response.status();
            let text = response.text().await.expect("the stream is complete");
            assert_eq!(status, 200, "{address} {text}");
            assert_eq!(parse_chat_stream(&text), (whole_text(&flatten_prompt(&prompt), 12), true));
            self.answered.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the client address of the host whose turn it is, or `None` if that
    /// host is not ready.
    async fn find_ready_host(&self, turn: usize) -> Option<String> {
        let hosts =
            self.host_addresses.lock().expect("no client panics while it holds the lock").clone();
        let (client_address, operator_address) = &hosts[turn % hosts.len()];
        let ready = new_http_client().get(format!("http://{operator_address}/readyz")).send().await;
        ready.is_ok_and(|response| response.status() == 200).then(|| client_address.clone())
    }
}
