//! Identifiers and units shared by every module.

use std::sync::Arc;

/// Name of an entry host, unique for as long as any process may run under it.
pub type HostId = Arc<str>;
/// Number of one process life on a host; a restart always takes a higher one.
pub type Incarnation = u64;
/// Name of a data centre.
pub type DataCentre = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name under which callers address a model or an adapter.
pub type ModelName = Arc<str>;
/// Name of an endpoint: a model engine or a plain service.
pub type EndpointId = Arc<str>;
/// Keyed hash of a caller's key, in hexadecimal.
pub type KeyHash = Arc<str>;
/// Identifier of one request, returned to the caller in `X-Request-Id`.
pub type RequestId = Arc<str>;
/// Number of an accepted configuration; it only rises.
pub type Revision = u64;
/// Version of one object of the platform; zero means that it does not exist.
pub type ObjectVersion = u64;
/// A count of prompt or generated tokens.
pub type Tokens = u64;
/// A fraction of a workspace's allowance, in parts of [`PARTS_PER_ALLOWANCE`].
pub type ShareParts = u64;

/// The whole of a workspace's allowance, in parts.
pub const PARTS_PER_ALLOWANCE: ShareParts = 1_000_000;
