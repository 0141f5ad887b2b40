//! One HTTP/1.1 connection that knows whether a request left it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Buffer of a connection, in bytes; bounds what an unread answer may hold.
const BUFFER_BYTES: usize = 16 * 1024;

/// Why a connection brought no answer.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// No connection was made; the request has not been sent.
    #[error("{address} cannot be connected to")]
    Connect {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// No connection was made in time; the request has not been sent.
    #[error("{address} did not accept the connection in time")]
    ConnectTimeout {
        /// The address.
        address: SocketAddr,
    },
    /// The connection was closed before a byte of the request left.
    #[error("the connection was closed before the request was sent")]
    NotSent(#[source] hyper::Error),
    /// The request was sent, or a part of it, and no answer came.
    #[error("the connection failed after the request was sent")]
    Broken(#[source] hyper::Error),
    /// No answer came in time.
    #[error("no answer came in time")]
    AnswerTimeout,
    /// The answer is too long or broke off.
    #[error("the answer cannot be read")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl ConnectionError {
    /// Returns whether the other end has certainly not seen the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            ConnectionError::Connect { .. }
                | ConnectionError::ConnectTimeout { .. }
                | ConnectionError::NotSent(_)
        )
    }

    /// Returns a short name for logs and counters.
    pub fn label(&self) -> &'static str {
        match self {
            ConnectionError::Connect { .. } => "connect-failed",
            ConnectionError::ConnectTimeout { .. } => "connect-timeout",
            ConnectionError::NotSent(_) => "not-sent",
            ConnectionError::Broken(_) => "broken",
            ConnectionError::AnswerTimeout => "answer-timeout",
            ConnectionError::Body(_) => "body-broken",
        }
    }
}

/// One open connection.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    last_used: Instant,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Connect`] and [`ConnectionError::ConnectTimeout`].
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let connect = timeout(limit, TcpStream::connect(address)).await;
        let stream = connect
            .map_err(|_| ConnectionError::ConnectTimeout { address })?
            .map_err(|source| ConnectionError::Connect { address, source })?;
        stream.set_nodelay(true).map_err(|source| ConnectionError::Connect { address, source })?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectionError::NotSent)?;
        // The task ends when the sender is dropped or the other end closes.
        tokio::spawn(connection);
        Ok(HttpConnection { sender, last_used: Instant::now() })
    }

    /// Returns whether the connection can take a request now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns when the connection was last used.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Notes that an answer has been read to its end.
    pub fn touch(&mut self) {
        self.last_used = Instant::now();
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// Dropping the future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotSent`] if no byte left, [`ConnectionError::Broken`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.sender.try_send_request(request).await.map_err(|mut failure| {
            match failure.take_message() {
                Some(_) => ConnectionError::NotSent(failure.into_error()),
                None => ConnectionError::Broken(failure.into_error()),
            }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if no whole answer of at most `body_limit` bytes came
    /// within `limit`.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        body_limit: usize,
    ) -> Result<(http::response::Parts, Bytes), ConnectionError> {
        let answer = async {
            let (parts, body) = self.send(request).await?.into_parts();
            let body =
                Limited::new(body, body_limit).collect().await.map_err(ConnectionError::Body)?;
            Ok((parts, body.to_bytes()))
        };
        let answer = timeout(limit, answer).await.map_err(|_| ConnectionError::AnswerTimeout)?;
        self.touch();
        answer
    }
}
