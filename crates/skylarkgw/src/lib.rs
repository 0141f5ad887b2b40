//! Entry hosts that serve many bursty models on few accelerators.
//!
//! `skylarkd` runs on every host, all alike; `skylarkctl` is the operators'
//! client. Both are thin programs over this library.
//!
//! # Decisions
//!
//! Everything that decides is a state machine without I/O and clock: an input
//! and a time go in, effects come out. A host that has just started takes no
//! requests before it has learnt what was accepted:
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
//! let own = MemberEntry {
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
//!     own,
//!     seed: 1,
//!     allowance_lease: Duration::from_secs(900),
//!     routing: RoutingPolicy::Affinity,
//!     lending: true,
//! });
//! let at = Duration::from_secs;
//! assert!(!machine.serving(at(1)));
//!
//! let configuration = Arc::new(FleetConfiguration { revision: 1, ..Default::default() });
//! machine.step(at(1), HostInput::PlatformHosts { entries: Vec::new() });
//! machine.step(at(1), HostInput::PlatformConfiguration { configuration });
//! machine.step(at(1), HostInput::PlatformHeard { sent_at: at(1) });
//! assert!(machine.serving(at(2)));
//!
//! // A host that knows no others goes on without the platform.
//! assert!(machine.serving(at(60)));
//! ```
//!
//! # Keys
//!
//! Only keyed hashes of callers' keys are kept and compared:
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
