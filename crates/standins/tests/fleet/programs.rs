//! The programs' command lines, settings and logs.

use std::process::Command;

use serde_json::Value;

use crate::harness::{FleetOptions, TestFleet};

fn daemon(settings: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let folder = std::env::temp_dir().join(format!(
        "skylarkgw-settings-{}-{}",
        std::process::id(),
        settings.len()
    ));
    std::fs::create_dir_all(&folder).expect("the folder can be written");
    let path = folder.join("host.jsonc");
    std::fs::write(&path, settings).expect("the settings can be written");
    let engine = std::path::Path::new(env!("CARGO_BIN_EXE_standin-engine"));
    let output = Command::new(engine.with_file_name("skylarkd"))
        .arg("--settings")
        .arg(&path)
        .args(arguments)
        .output()
        .expect("skylarkd can be run");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

const GOOD: &str = r#"{
    // A host of the tests.
    "host": "h", "data_centre": "muscat-a",
    "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
    "platform": "http://127.0.0.1:9",
    "key_secret_file": "/nowhere",
    "drain_notice_ms": 100
}"#;

#[test]
fn settings_errors_name_the_place_and_what_to_write() {
    assert_eq!(daemon(GOOD, &["--check"]).0, Some(0));
    let cases = [
        (GOOD.replace("\"drain_notice_ms\"", "\"drain_notice\""), "unknown field `drain_notice`"),
        (GOOD.replace("100", "\"100 ms\""), "expected u64"),
        (GOOD.replace("100", "200000"), "more than drain_notice_ms"),
        (GOOD.replace("http://127.0.0.1:9", "nowhere"), "a URL such as"),
        (GOOD.replace("127.0.0.1:0", "localhost:0"), "invalid socket address"),
        (GOOD.replace("\"host\": \"h\",", ""), "missing field `host`"),
        (GOOD.replace('}', ""), "JSON with comments"),
    ];
    for (settings, expected) in cases {
        let (code, output) = daemon(&settings, &["--check"]);
        assert_eq!(code, Some(2), "{output}");
        let flat = output.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(flat.contains(expected), "{expected} is not in: {output}");
        assert!(output.contains("host.jsonc"), "{output}");
    }
}

#[test]
fn example_settings_can_be_used() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let host = std::fs::read_to_string(root.join("skylarkd.jsonc")).expect("the example");
    let (code, output) = daemon(&host, &["--check"]);
    assert_eq!(code, Some(0), "{output}");
    let client = skylarkgw::operator::OperatorSettings::read(&root.join("skylarkctl.jsonc"));
    client.expect("the example of the client can be used");
    let load: Result<standins::load::LoadSettings, _> =
        skylarkgw::settings::read_document(&root.join("load.jsonc"));
    load.expect("the example of the load tool can be used");
}

#[tokio::test]
async fn every_log_line_is_json_and_requests_carry_their_workspace() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    let host = &fleet.hosts[0];
    assert_eq!(fleet.send_chat(host, "log this", 2).await.status(), 200);
    let ended = host.process.wait_line(|line| {
        let line: Value = serde_json::from_str(line).expect("a log line is JSON");
        (line["payload"] == "request ended" && line["kv"]["outcome"] == "Answered").then_some(line)
    });
    assert_eq!(ended["kv"]["workspace"], "shop");
    assert_eq!(ended["kv"]["host"], "host-01");
    assert_eq!(ended["kv"]["data_centre"], "muscat-a");
    assert!(ended["kv"]["request"].as_str().expect("text").starts_with("req-"));
}
