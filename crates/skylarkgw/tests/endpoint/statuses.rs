//! Services that answer calls with a status that no final answer can have.

use bytes::Bytes;
use http::Method;
use skylarkgw::endpoint::{ServiceCall, ServiceClient, ServiceError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Calls a service that answers with a status, and returns the result.
async fn call_service(status: &'static str, idempotent: bool) -> Result<u16, ServiceError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 4\r\n\r\nbody");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let call = ServiceCall {
        request: "r1".into(),
        method: Method::POST,
        path: "/x".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        idempotent,
    };
    let response = ServiceClient::new().send(&address, &call).await?;
    Ok(response.status)
}

/// Guards against an answer with an invalid status that callers get as that of the service,
/// and against a call that counts as not run because of it.
#[tokio::test]
async fn answer_of_a_service_with_an_invalid_status_is_lost() {
    assert_eq!(call_service("404", true).await.ok(), Some(404));
    for status in ["000", "099", "101", "150", "199", "600", "999", "20", "2000", "abc"] {
        for idempotent in [false, true] {
            let result = call_service(status, idempotent).await;
            let is_lost = matches!(&result, Err(error) if !error.is_not_run());
            assert!(is_lost, "{status}, idempotent {idempotent}: {result:?}");
        }
    }
}
