//! Identifiers and units shared by all modules.

use std::sync::Arc;

/// Name of a gateway host. It must not be used by a second host as long as any
/// process may still run under it.
pub type HostId = Arc<str>;
/// Number of one process run on a host; every restart uses a higher number.
pub type Incarnation = u64;
/// Name of a data centre.
pub type DataCentre = Arc<str>;
/// Name of a region, which has one or more data centres.
pub type RegionName = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name that clients use for a model or an adapter.
pub type ModelName = Arc<str>;
/// Name of an endpoint, which is a model engine or a plain service.
pub type EndpointId = Arc<str>;
/// Keyed hash of a client's API key, in hexadecimal.
pub type KeyHash = Arc<str>;
/// Hash of the identifier of a prompt part.
pub type PartHash = u64;
/// Identifier of one request, returned to the client in `X-Request-Id`.
pub type RequestId = Arc<str>;
/// Number of an accepted configuration, which increases monotonically.
pub type Revision = u64;
/// Version of an object in the platform's store; zero means that the object does
/// not exist.
pub type ObjectVersion = u64;
/// Number of times that the platform's store has begun anew from a backup.
pub type StoreEra = u32;
/// Version of a state that the coordinator sends to hosts, with the fencing token of
/// the coordinator in its upper half.
pub type MapVersion = u128;
/// Number of prompt tokens, of generated tokens, or of both.
pub type Tokens = u64;
/// Share of a workspace's allowance, in units of 1 / [`PARTS_PER_ALLOWANCE`].
pub type ShareParts = u64;

/// Number of parts that make up the whole allowance of a workspace.
pub const PARTS_PER_ALLOWANCE: ShareParts = 1_000_000;
