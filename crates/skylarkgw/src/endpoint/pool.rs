//! Kept connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::endpoint::connection::{ConnectionError, HttpConnection};

/// Time that a connection may be idle where the endpoint names no limit; below
/// the few seconds after which endpoints commonly close.
const DEFAULT_IDLE: Duration = Duration::from_millis(3_500);
/// Time before an endpoint's own limit at which a connection is given up, so
/// that a request does not cross the endpoint's close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for one endpoint; more are closed.
const IDLE_LIMIT: usize = 6;

struct IdleLink {
    link: HttpConnection,
    until: Instant,
}

/// Idle connections by endpoint address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleLink>>>,
}

impl ConnectionPool {
    /// Takes an idle connection, or opens one.
    ///
    /// `freshest` is the longest time that a kept connection may have been
    /// idle; a request that cannot be repeated asks for a shorter one.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if no connection can be made.
    pub async fn take(
        &self,
        address: SocketAddr,
        freshest: Duration,
        connect_limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        match self.take_idle(address, freshest) {
            Some(link) => Ok(link),
            None => HttpConnection::connect(address, connect_limit).await,
        }
    }

    fn take_idle(&self, address: SocketAddr, freshest: Duration) -> Option<HttpConnection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let links = idle.get_mut(&address)?;
        links.retain(|idle| idle.until > now && idle.link.is_usable());
        let newest = links.last()?;
        if now.duration_since(newest.link.last_used()) > freshest {
            return None;
        }
        links.pop().map(|idle| idle.link)
    }

    /// Keeps a connection whose answer has been read to its end.
    ///
    /// `idle_limit` is the time after which the endpoint closes it.
    pub fn give_back(
        &self,
        address: SocketAddr,
        mut link: HttpConnection,
        idle_limit: Option<Duration>,
    ) {
        link.touch();
        let keep = match idle_limit {
            Some(limit) => limit.saturating_sub(IDLE_MARGIN).min(DEFAULT_IDLE),
            None => DEFAULT_IDLE,
        };
        let mut idle = lock(&self.idle);
        let links = idle.entry(address).or_default();
        if links.len() < IDLE_LIMIT && !keep.is_zero() {
            links.push(IdleLink { link, until: Instant::now() + keep });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, links| {
            links.retain(|idle| idle.until > now && idle.link.is_usable());
            !links.is_empty()
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // A panic elsewhere leaves the map whole: every change is one call.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
