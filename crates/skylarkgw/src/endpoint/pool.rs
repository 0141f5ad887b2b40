//! Pool of idle connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::endpoint::connection::{ConnectionError, HttpConnection};

/// Longest time that a connection is kept idle, also if the endpoint announces no
/// limit. It is below the few seconds after which endpoints commonly close idle
/// connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time by which a connection expires before the idle limit announced by the
/// endpoint, so that a request is not sent while the endpoint closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections kept per endpoint; further ones are closed.
const MAX_IDLE_PER_ENDPOINT: usize = 6;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: Instant,
}

/// Pool of idle connections, grouped by endpoint address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection out of the pool, or opens a new one.
    ///
    /// `max_idle` is the longest time for which a pooled connection may have
    /// been idle; it is shorter for requests that must not be repeated. The
    /// connection is returned with whether it was pooled.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if no connection can be opened within
    /// `connect_timeout`.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        max_idle: Duration,
        connect_timeout: Duration,
    ) -> Result<(HttpConnection, bool), ConnectionError> {
        match self.acquire_idle(address, max_idle) {
            Some(connection) => Ok((connection, true)),
            None => Ok((HttpConnection::connect(address, connect_timeout).await?, false)),
        }
    }

    /// Takes a connection out of the pool that has been idle for at most `max_idle`, or
    /// returns `None` if there is none.
    pub fn acquire_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.expires_at > now && idle.connection.is_usable());
        let newest = connections.last()?;
        if now.duration_since(newest.connection.last_used()) > max_idle {
            return None;
        }
        connections.pop().map(|idle| idle.connection)
    }

    /// Returns a connection to the pool after a response was read completely.
    ///
    /// `idle_limit` is the idle time after which the endpoint closes the
    /// connection, if it announces one.
    pub fn release(
        &self,
        address: SocketAddr,
        mut connection: HttpConnection,
        idle_limit: Option<Duration>,
    ) {
        connection.mark_used();
        let idle_timeout = match idle_limit {
            Some(limit) => limit.saturating_sub(IDLE_TIMEOUT_MARGIN).min(DEFAULT_IDLE_TIMEOUT),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        let mut idle = lock(&self.idle);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT && !idle_timeout.is_zero() {
            connections
                .push(IdleConnection { connection, expires_at: Instant::now() + idle_timeout });
        }
    }

    /// Closes the connections that have been idle for too long or are unusable.
    pub fn close_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && idle.connection.is_usable());
            !connections.is_empty()
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // A panic of another lock holder leaves the map consistent, because every
    // change to it is a single call.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
