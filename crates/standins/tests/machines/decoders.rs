//! Arbitrary input to the decoders and to the parser of the operator language.

use std::path::Path;
use std::time::Duration;

use proptest::prelude::*;
use skylarkgw::configuration::HeadDocument;
use skylarkgw::decision::host::HostInput;
use skylarkgw::decision::idempotency::{EarlierCall, classify_earlier_call};
use skylarkgw::decision::message::PeerMessage;
use skylarkgw::decision::shares::PlatformOutcome;
use skylarkgw::endpoint::EngineEvent;
use skylarkgw::operator::parse_script;
use skylarkgw::settings::{HostSettings, parse_document};
use standins::network::{NetworkSettings, TestNetwork};

/// Generates sequences of words of the operator language, mixed with words that
/// do not belong to it.
fn script_strategy() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        Just("show"),
        Just("accepted"),
        Just("models"),
        Just("where"),
        Just("rate"),
        Just("="),
        Just("declare"),
        Just("workspace"),
        Just("rate:5"),
        Just(";"),
        Just("\""),
        Just("rollout"),
        Just("to"),
        Just("é"),
    ];
    prop::collection::vec(word, 0..12).prop_map(|words| words.join(" "))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn script_errors_point_into_the_text(text in prop_oneof![script_strategy(), any::<String>()]) {
        if let Err(error) = parse_script(&text) {
            prop_assert!(error.span.offset() + error.span.len() <= text.len());
            prop_assert!(!error.expected.is_empty());
        }
    }

    #[test]
    fn decoders_do_not_panic_on_any_text(text in any::<String>()) {
        let _ = serde_json::from_str::<HeadDocument>(&text);
        let _ = serde_json::from_str::<EngineEvent>(&text);
        let _ = parse_document::<HostSettings>(Path::new("any"), &text);
        let outcome = PlatformOutcome::Found { version: 1, value: text.into() };
        prop_assert_eq!(classify_earlier_call(&outcome, "digest"), EarlierCall::Unknown);
    }

    #[test]
    fn arbitrary_peer_messages_do_not_stop_a_host(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(message) = bincode::deserialize::<PeerMessage>(&bytes) {
            let mut network = TestNetwork::new(NetworkSettings { hosts: 1, ..Default::default() });
            network.run(Duration::from_secs(6));
            network.step(0, HostInput::Message { from: "stranger".into(), message });
            network.run(Duration::from_millis(200));
            prop_assert!(network.hosts[0].is_some());
        }
    }
}
