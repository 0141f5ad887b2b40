//! Gateway hosts that serve many models with bursty traffic on few accelerators.
//!
//! `skylarkd` runs on every host, and all hosts have the same role. `skylarkctl`
//! is the command-line client for operators. Both are thin programs on top of
//! this library.
//!
//! # Decisions
//!
//! All decisions are made by state machines that do no I/O and read no clock.
//! They take an input and a time, and return effects. A host that has just
//! started accepts no requests until it has received the accepted configuration
//! and the host list:
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use skylarkgw::configuration::FleetConfiguration;
//! use skylarkgw::decision::HostMachine;
//! use skylarkgw::decision::host::{HostInput, HostParameters};
//! use skylarkgw::decision::membership::{MemberEntry, MemberPhase};
//! use skylarkgw::decision::routing::RoutingPolicy;
//!
//! let own_entry = MemberEntry {
//!     host: "muscat-a-01".into(),
//!     incarnation: 1,
//!     counter: 0,
//!     address: "127.0.0.1:8081".into(),
//!     data_centre: "muscat-a".into(),
//!     phase: MemberPhase::Joining,
//!     revision: 0,
//!     share_key: "".into(),
//! };
//! let mut machine = HostMachine::new(HostParameters {
//!     own_entry,
//!     seed: 1,
//!     allowance_lease: Duration::from_secs(900),
//!     routing: RoutingPolicy::Affinity,
//!     lending: true,
//! });
//! let at = Duration::from_secs;
//! assert!(!machine.is_serving(at(1)));
//!
//! let configuration = Arc::new(FleetConfiguration { revision: 1, ..Default::default() });
//! machine.step(at(1), HostInput::PlatformHosts { entries: Vec::new() });
//! machine.step(at(1), HostInput::PlatformConfiguration { configuration });
//! machine.step(at(1), HostInput::PlatformAnswered { sent_at: at(1) });
//! assert!(machine.is_serving(at(2)));
//!
//! // A host without other members keeps serving when the platform is unreachable.
//! assert!(machine.is_serving(at(60)));
//! ```
//!
//! # Keys
//!
//! Hosts store and compare only keyed hashes of the clients' API keys:
//!
//! ```
//! use skylarkgw::decision::keys::KeyHasher;
//!
//! let hasher = KeyHasher::new("the secret of this fleet");
//! assert_eq!(hasher.hash("sk-1"), hasher.hash("sk-1"));
//! assert_ne!(hasher.hash("sk-1"), hasher.hash("sk-2"));
//! ```

pub mod configuration;
pub mod control;
pub mod daemon;
pub mod decision;
pub mod edge;
pub mod endpoint;
pub mod gateway;
pub mod ids;
pub mod operator;
pub mod operator_api;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod supervisor;
pub mod sync;
pub mod telemetry;
