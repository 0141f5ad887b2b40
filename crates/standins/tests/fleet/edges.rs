//! Malformed and hostile input at the ports of a host: oversized headers, slow
//! bodies, garbage from peers and upstreams, and connections without a valid
//! certificate.

use std::time::Duration;

use serde_json::json;
use standins::certificates::write_certificates;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{FleetOptions, TestFleet, WAIT_TIMEOUT, wait_until};

async fn start_one_host() -> TestFleet {
    TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await
}

/// Sends raw bytes and returns everything received until the connection closes
/// or [`WAIT_TIMEOUT`] has passed.
async fn send_raw(address: &str, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The host may close the connection before it has read the whole request.
    let _ = stream.write_all(request).await;
    let mut response = Vec::new();
    let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn oversized_headers_and_malformed_requests_are_refused() {
    let fleet = start_one_host().await;
    let address = fleet.hosts[0].client_address.as_str();
    let headers: String = (0..500).map(|number| format!("x-{number}: y\r\n")).collect();
    let flood = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\n{headers}\r\n");
    assert!(send_raw(address, flood.as_bytes()).await.starts_with("HTTP/1.1 431"));
    let long_header = format!("GET /v1/models HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2_000_000));
    assert!(send_raw(address, long_header.as_bytes()).await.starts_with("HTTP/1.1 431"));
    assert!(send_raw(address, b"nonsense\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    assert_eq!(fleet.send_chat(&fleet.hosts[0], "still here", 2).await.status(), 200);
}

#[tokio::test]
async fn incomplete_body_is_refused_and_leaves_no_request_running() {
    let fleet = start_one_host().await;
    let host = &fleet.hosts[0];
    let request_head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-length: 1000\r\n\r\n{{",
        fleet.key
    );
    let response = send_raw(&host.client_address, request_head.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("body_incomplete"), "{response}");
    wait_until("no request runs", async || {
        host.metrics().await.contains("skylark_requests_running 0")
    })
    .await;
}

#[tokio::test]
async fn hosts_serve_again_after_garbage_from_peers_engines_and_platform() {
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
            stream.write_all(garbage).await.expect("the bytes can be sent");
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
async fn client_and_peer_ports_require_tls() {
    let folder = std::env::temp_dir().join(format!("skylarkgw-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be written");
    write_certificates(&folder).expect("the certificates can be written");
    let options = FleetOptions {
        host_settings: json!({"tls": {
            "certificate_file": folder.join("host.pem"),
            "private_key_file": folder.join("host-key.pem"),
            "peer_authority_file": folder.join("authority.pem"),
        }}),
        ..FleetOptions::default()
    };
    let fleet = TestFleet::start_until_ready(options).await;
    let authority = std::fs::read(folder.join("authority.pem")).expect("the authority can be read");
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
        wait_until("every host lists all members", async || {
            host.status().await.is_some_and(|status| status.members.len() == 3)
        })
        .await;
    }
    let plain_response =
        send_raw(&fleet.hosts[0].client_address, b"GET /v1/models HTTP/1.1\r\n\r\n").await;
    assert!(!plain_response.contains("200 OK"), "{plain_response}");
    // A peer that sends bytes without a TLS handshake, and thus without a
    // certificate of the authority, receives at most a TLS alert.
    let peer_address = fleet.hosts[0].status().await.expect("a status").members[0].address.clone();
    let response = send_raw(&peer_address, &[0, 0, 0, 4, 1, 2, 3, 4]).await;
    assert!(response.len() < 64, "{response}");
}
