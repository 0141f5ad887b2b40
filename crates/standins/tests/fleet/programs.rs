//! Command lines, settings and logs of the programs.

use std::process::Command;

use serde_json::Value;

use crate::harness::{FleetOptions, TestFleet};

/// Runs `skylarkd` with the given text as its settings and returns its exit code
/// and its output.
fn run_skylarkd(settings: &str, arguments: &[&str]) -> (Option<i32>, String) {
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

const VALID_SETTINGS: &str = r#"{
    // A host of the tests.
    "host": "h", "data_centre": "muscat-a",
    "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0",
    "platform": "http://127.0.0.1:9",
    "key_secret_file": "/nowhere",
    "drain_notice_ms": 100
}"#;

#[test]
fn settings_errors_name_the_file_and_the_expected_value() {
    assert_eq!(run_skylarkd(VALID_SETTINGS, &["--check"]).0, Some(0));
    let cases = [
        (
            VALID_SETTINGS.replace("\"drain_notice_ms\"", "\"drain_notice\""),
            "unknown field `drain_notice`",
        ),
        (VALID_SETTINGS.replace("100", "\"100 ms\""), "expected u64"),
        (VALID_SETTINGS.replace("100", "200000"), "more than drain_notice_ms"),
        (VALID_SETTINGS.replace("http://127.0.0.1:9", "nowhere"), "a URL such as"),
        (VALID_SETTINGS.replace("127.0.0.1:0", "localhost:0"), "invalid socket address"),
        (VALID_SETTINGS.replace("\"host\": \"h\",", ""), "missing field `host`"),
        (VALID_SETTINGS.replace('}', ""), "JSON with comments"),
    ];
    for (settings, expected) in cases {
        let (code, output) = run_skylarkd(&settings, &["--check"]);
        assert_eq!(code, Some(2), "{output}");
        // Error reports wrap long lines.
        let single_line = output.split_whitespace().collect::<Vec<_>>().join(" ");
        assert!(single_line.contains(expected), "`{expected}` is missing in: {output}");
        assert!(output.contains("host.jsonc"), "{output}");
    }
}

#[test]
fn example_settings_are_valid() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let host =
        std::fs::read_to_string(root.join("skylarkd.jsonc")).expect("the example can be read");
    let (code, output) = run_skylarkd(&host, &["--check"]);
    assert_eq!(code, Some(0), "{output}");
    let client = skylarkgw::operator::OperatorSettings::read(&root.join("skylarkctl.jsonc"));
    client.expect("the example for skylarkctl is valid");
    let load: Result<standins::load::LoadSettings, _> =
        skylarkgw::settings::read_document(&root.join("load.jsonc"));
    load.expect("the example for skylark-load is valid");
}

#[tokio::test]
async fn every_log_line_is_json_and_requests_carry_their_workspace() {
    let fleet = TestFleet::start(FleetOptions { hosts: 1, ..FleetOptions::default() }).await;
    let host = &fleet.hosts[0];
    assert_eq!(fleet.send_chat(host, "log this", 2).await.status(), 200);
    let entry = host.process.wait_line(|line| {
        let line: Value = serde_json::from_str(line).expect("a log line is JSON");
        (line["payload"] == "request ended" && line["kv"]["outcome"] == "Answered").then_some(line)
    });
    assert_eq!(entry["kv"]["workspace"], "shop");
    assert_eq!(entry["kv"]["host"], "host-01");
    assert_eq!(entry["kv"]["data_centre"], "muscat-a");
    assert!(entry["kv"]["request"].as_str().expect("the request id is text").starts_with("req-"));
}
