//! Settings shared by all HTTP clients of endpoints.

use std::time::Duration;

/// Returns a builder for an HTTP client that never retries on its own.
///
/// The gateway alone decides whether a call may be sent again.
pub(super) fn client_builder(connect_timeout: Duration) -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
        .retry(reqwest::retry::never())
}
