//! The path of a request from a client to an endpoint and back.

use serde_json::{Value, json};
use standins::engine::whole_text;

use crate::harness::{FleetOptions, TestFleet, flatten_prompt, new_http_client, parse_chat_stream};

#[tokio::test]
async fn serves_completions_streams_models_orders_and_public_routes() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let host = &fleet.hosts[0];

    let response = fleet.send_chat(host, "how long with coarse grit", 24).await;
    assert_eq!(response.status(), 200);
    assert!(response.headers().contains_key("x-request-id"));
    let completion: Value = response.json().await.expect("JSON");
    let expected = whole_text(&flatten_prompt("how long with coarse grit"), 24);
    assert_eq!(completion["object"], "chat.completion");
    assert_eq!(completion["choices"][0]["message"]["content"], expected);
    assert_eq!(completion["usage"]["completion_tokens"], 24);

    let stream =
        fleet.build_chat_request(host, "polish", 40, true).send().await.expect("a response");
    assert_eq!(stream.status(), 200);
    let body = stream.text().await.expect("a body");
    assert_eq!(parse_chat_stream(&body), (whole_text(&flatten_prompt("polish"), 40), true));

    let models = new_http_client()
        .get(format!("http://{}/v1/models", host.client_address))
        .bearer_auth(&fleet.key)
        .send()
        .await
        .expect("a response");
    let models: Value = models.json().await.expect("JSON");
    assert_eq!(models["data"].as_array().map(Vec::len), Some(2));

    let order = fleet.build_order_request(host, "ceramic-1").send().await.expect("a response");
    assert_eq!(order.status(), 201);
    assert_eq!(fleet.service.count_executions("ceramic-1").await, 1);

    let notice =
        new_http_client().get(format!("http://{}/public/notice", host.client_address)).send().await;
    assert_eq!(notice.expect("a response").text().await.expect("a body"), "open today");
}

#[tokio::test]
async fn refuses_invalid_requests_with_the_expected_status_and_code() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    let host = &fleet.hosts[0];
    let url = format!("http://{}/v1/chat/completions", host.client_address);
    let post = |body: String| new_http_client().post(&url).bearer_auth(&fleet.key).body(body);
    let chat = |model: &str| {
        json!({"model": model, "messages": [{"role": "user", "content": "x"}]}).to_string()
    };
    let cases = [
        (new_http_client().post(&url).body(chat("sage")), 401, "missing_api_key"),
        (
            new_http_client().post(&url).bearer_auth("sk-wrong").body(chat("sage")),
            401,
            "invalid_api_key",
        ),
        (post("{\"model\": \"sage\", ".to_owned()), 400, "bad_body"),
        (post(json!({"model": "sage", "messages": []}).to_string()), 400, "bad_body"),
        (post(chat("slate")), 404, "model_not_found"),
        (post("x".repeat(3 * 1024 * 1024)), 413, "body_too_large"),
        (post(format!("{{\"key\": \"{}\"}}", fleet.key)), 400, "key_out_of_place"),
        (new_http_client().get(&url).bearer_auth(&fleet.key), 405, "method_not_allowed"),
        (
            new_http_client()
                .get(format!("http://{}/nowhere/x", host.client_address))
                .bearer_auth(&fleet.key),
            404,
            "not_found",
        ),
    ];
    for (request, status, code) in cases {
        let response = request.send().await.expect("a response");
        assert_eq!(response.status(), status, "{code}");
        assert_eq!(response.headers()["skylark-outcome"], "not-run", "{code}");
        let body: Value = response.json().await.expect("JSON");
        assert_eq!(body["error"]["code"], code);
    }
}
