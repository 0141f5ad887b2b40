//! An HTTP/1.1 connection that reports whether a failed request was sent.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::endpoint::head_limit::{HeadLimit, LimitedStream};
use crate::endpoint::segments::SegmentBody;

/// Maximum size of the buffer of a connection; bounds the memory that an unread
/// response uses.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Statuses of final responses in HTTP.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Error of a request on a connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The connection could not be opened, so the request was not sent.
    #[error("cannot connect to {address}")]
    Connect {
        /// Address of the endpoint.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The connection was not opened in time, so the request was not sent.
    #[error("{address} did not accept the connection in time")]
    ConnectTimeout {
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// The connection was closed before any byte of the request was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent(#[source] hyper::Error),
    /// The connection failed after at least a part of the request may have been sent.
    #[error("the connection failed after the request was sent")]
    Broken(#[source] hyper::Error),
    /// The status of the answer is none that a final answer can have.
    #[error("the answer has the invalid status {0}")]
    InvalidStatus(StatusCode),
    /// No complete response arrived in time.
    #[error("no complete answer arrived in time")]
    ResponseTimeout,
    /// The answer does not name the request, so it may belong to an earlier one.
    #[error("the answer does not name the request")]
    OtherAnswer,
    /// The response body is too long or was cut off.
    #[error("cannot read the body of the answer")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl ConnectionError {
    /// Returns whether the endpoint has certainly not received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            ConnectionError::Connect { .. }
                | ConnectionError::ConnectTimeout { .. }
                | ConnectionError::NotSent(_)
        )
    }

    /// Returns the short name of the error in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            ConnectionError::Connect { .. } => "connect-failed",
            ConnectionError::ConnectTimeout { .. } => "connect-timeout",
            ConnectionError::NotSent(_) => "not-sent",
            ConnectionError::Broken(_) => "broken",
            ConnectionError::InvalidStatus(_) => "invalid-status",
            ConnectionError::ResponseTimeout => "answer-timeout",
            ConnectionError::OtherAnswer => "other-answer",
            ConnectionError::Body(_) => "body-broken",
        }
    }
}

/// An open connection to an endpoint.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<SegmentBody>,
    head_limit: HeadLimit,
    last_used: Instant,
}

impl HttpConnection {
    /// Opens a connection within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Connect`], [`ConnectionError::ConnectTimeout`], or
    /// [`ConnectionError::NotSent`] if the HTTP handshake fails.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let connect = timeout(connect_timeout, TcpStream::connect(address)).await;
        let stream = connect
            .map_err(|_| ConnectionError::ConnectTimeout { address })?
            .map_err(|source| ConnectionError::Connect { address, source })?;
        stream.set_nodelay(true).map_err(|source| ConnectionError::Connect { address, source })?;
        let (stream, head_limit) = LimitedStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectionError::NotSent)?;
        // The task ends when the sender is dropped or the endpoint closes the
        // connection.
        tokio::spawn(connection);
        Ok(HttpConnection { sender, head_limit, last_used: Instant::now() })
    }

    /// Returns whether the connection is open and ready for a request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Returns the time at which the connection was opened or last marked as
    /// used.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Marks the connection as used now, after a response was read completely.
    pub fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Sends a request and waits for the response head.
    ///
    /// Dropping the future closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotSent`] if no byte was sent, [`ConnectionError::InvalidStatus`] if
    /// the status is not final, [`ConnectionError::Broken`] otherwise.
    pub async fn send(
        &mut self,
        request: Request<SegmentBody>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.head_limit.start();
        let response = self.sender.try_send_request(request).await.map_err(|mut failure| {
            match failure.take_message() {
                Some(_) => ConnectionError::NotSent(failure.into_error()),
                None => ConnectionError::Broken(failure.into_error()),
            }
        })?;
        self.head_limit.stop();
        // 101 arrives like a final status, but no request asks for another protocol. The
        // library accepts statuses up to 999.
        if !FINAL_STATUSES.contains(&response.status().as_u16()) {
            return Err(ConnectionError::InvalidStatus(response.status()));
        }
        Ok(response)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if no complete response with a body of at most
    /// `max_body_bytes` arrives within `time_limit`.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
        max_body_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes), ConnectionError> {
        let response = async {
            let request = request.map(SegmentBody::from);
            let (parts, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, max_body_bytes)
                .collect()
                .await
                .map_err(ConnectionError::Body)?;
            Ok((parts, body.to_bytes()))
        };
        let response =
            timeout(time_limit, response).await.map_err(|_| ConnectionError::ResponseTimeout)?;
        self.mark_used();
        response
    }
}
