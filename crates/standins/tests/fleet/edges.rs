//! The edges: certificates, floods, slow senders, and peers that talk garbage.

use std::time::Duration;

use serde_json::json;
use standins::certificates::write_certificates;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{FleetOptions, TestFleet, WAIT_TIMEOUT, wait_until};

async fn one_host() -> TestFleet {
    TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await
}

/// Sends raw bytes and returns what comes back until the connection closes.
async fn exchange(address: &str, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The host may close before it has read everything.
    let _ = stream.write_all(request).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn header_floods_and_broken_requests_end_with_an_error() {
    let fleet = one_host().await;
    let address = fleet.hosts[0].client_address.as_str();
    let headers: String = (0..500).map(|number| format!("x-{number}: y\r\n")).collect();
    let flood = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    assert!(exchange(address, flood.as_bytes()).await.starts_with("HTTP/1.1 431"));
    let long = format!("GET /v1/models HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2_000_000));
    assert!(exchange(address, long.as_bytes()).await.starts_with("HTTP/1.1 431"));
    assert!(exchange(address, b"nonsense\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    assert_eq!(fleet.send_chat(&fleet.hosts[0], "still here", 2).await.status(), 200);
}

#[tokio::test]
async fn slow_sender_is_refused_and_leaves_nothing_running() {
    let fleet = one_host().await;
    let host = &fleet.hosts[0];
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 1000\r\n\r\n{{",
        fleet.key
    );
    let answer = exchange(&host.client_address, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("body_incomplete"), "{answer}");
    wait_until("nothing runs", async || {
        host.metrics().await.contains("skylark_requests_running 0")
    })
    .await;
}

#[tokio::test]
async fn garbage_from_peers_engines_and_platform_harms_nothing() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let peers: Vec<String> = fleet.hosts[0]
        .status()
        .await
        .expect("a status")
        .members
        .iter()
        .map(|entry| entry.address.to_string())
        .collect();
    assert_eq!(peers.len(), 3);
    for address in &peers {
        for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[255; 64], &[0, 0, 0, 4, 1, 2, 3, 4]] {
            let mut stream = TcpStream::connect(address.as_str()).await.expect("a connection");
            stream.write_all(garbage).await.expect("the peer port takes bytes");
        }
    }
    fleet.platform.set_faults(json!({"garbage": 20})).await;
    for engine in &fleet.engines {
        engine.set_faults(json!({"garbage": 5})).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.platform.set_faults(json!({})).await;
    for host in &fleet.hosts {
        wait_until("the host serves", async || {
            fleet.send_chat(host, "after the garbage", 3).await.status() == 200
        })
        .await;
        let metrics = host.metrics().await;
        assert!(!metrics.lines().any(|line| {
            line.starts_with("skylark_invariant_violations_total") && !line.ends_with(" 0")
        }));
    }
}

#[tokio::test]
async fn certificates_protect_callers_and_hosts() {
    let folder = std::env::temp_dir().join(format!("skylarkgw-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be written");
    write_certificates(&folder).expect("certificates");
    let options = FleetOptions {
        host_settings: json!({"tls": {
            "certificate_file": folder.join("host.pem"),
            "private_key_file": folder.join("host-key.pem"),
            "peer_authority_file": folder.join("authority.pem"),
        }}),
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start_until_ready(options).await;
    let authority = std::fs::read(folder.join("authority.pem")).expect("the authority");
    let authority = reqwest::Certificate::from_pem(&authority).expect("a certificate");
    let client = reqwest::Client::builder()
        .no_proxy()
        .tls_certs_only([authority])
        .build()
        .expect("a client");
    for host in &fleet.hosts {
        let models = client
            .get(format!("https://{}/v1/models", host.client_address))
            .bearer_auth(&fleet.key)
            .send()
            .await
            .expect("the certificate is accepted");
        assert_eq!(models.status(), 200);
        wait_until("all hosts hear each other", async || {
            host.status().await.is_some_and(|status| status.members.len() == 3)
        })
        .await;
    }
    let plain = exchange(&fleet.hosts[0].client_address, b"GET /v1/models HTTP/1.1\r\n\r\n").await;
    assert!(!plain.contains("200 OK"), "{plain}");
    // A peer without a certificate of the authority gets no answer.
    let peer = fleet.hosts[0].status().await.expect("a status").members[0].address.clone();
    let answer = exchange(&peer, &[0, 0, 0, 4, 1, 2, 3, 4]).await;
    assert!(answer.len() < 64, "{answer}");
}
