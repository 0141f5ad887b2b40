//! Accepts and serves client connections.

use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, Listener, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Response, Server};
use tokio::net::TcpStream;

use crate::supervisor::StopSignal;

/// Time without traffic after which a client connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Acceptor of TCP connections that disables Nagle's algorithm on each of them.
pub struct ClientAcceptor {
    inner: TcpAcceptor,
}

impl ClientAcceptor {
    /// Creates an acceptor from a listener that is already bound.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the listener cannot be made
    /// non-blocking or has no local address.
    pub fn new(listener: std::net::TcpListener) -> std::io::Result<ClientAcceptor> {
        listener.set_nonblocking(true)?;
        Ok(ClientAcceptor { inner: TcpAcceptor::from_std(listener)? })
    }
}

impl Acceptor for ClientAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> std::io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, local, remote, scheme))
    }
}

/// Listener over an existing acceptor, to which the library can add TLS.
pub struct ClientListener {
    acceptor: ClientAcceptor,
}

impl ClientListener {
    /// Creates a listener from an acceptor.
    pub fn new(acceptor: ClientAcceptor) -> ClientListener {
        ClientListener { acceptor }
    }
}

impl Listener for ClientListener {
    type Acceptor = ClientAcceptor;

    async fn into_acceptor(self) -> std::io::Result<ClientAcceptor> {
        Ok(self.acceptor)
    }
}

/// Serves an HTTP interface until `stop` is signalled, then shuts down gracefully.
///
/// Requests still running when `deadline` has elapsed since the signal are
/// aborted.
///
/// # Errors
///
/// The error of the operating system if connections cannot be accepted.
pub async fn serve_until_stopped(
    acceptor: impl Acceptor + 'static,
    endpoint: impl Endpoint<Output = Response> + 'static,
    mut stop: StopSignal,
    deadline: Duration,
) -> std::io::Result<()> {
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_TIMEOUT)
        .run_with_graceful_shutdown(endpoint, async move { stop.stopped().await }, Some(deadline))
        .await
}
