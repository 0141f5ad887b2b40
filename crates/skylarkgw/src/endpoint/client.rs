//! What all HTTP clients of endpoints have in common.

use std::time::Duration;

/// Returns the settings of a client that never repeats a call by itself.
///
/// Whether a call may be sent again is decided by this program alone.
pub(super) fn client_builder(connect_timeout: Duration) -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
        .retry(reqwest::retry::never())
}
