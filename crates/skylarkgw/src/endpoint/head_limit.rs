//! Limits the bytes that an endpoint may send before its response head is complete.
//!
//! An HTTP client limits the size of one head, but not the number of interim
//! responses before it, so an endpoint could keep a connection busy without end.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes before the end of a response head, including interim
/// responses and the part of the body that is read with the head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Number that stands for no limit.
const UNLIMITED: usize = usize::MAX;

/// Switches the limit of one connection.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit {
    /// Number of bytes that may still be read.
    remaining: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Limits the bytes that are read from now on.
    pub(super) fn start(&self) {
        self.remaining.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Removes the limit after the head has arrived.
    pub(super) fn stop(&self) {
        self.remaining.store(UNLIMITED, Ordering::Relaxed);
    }
}

/// A connection whose reads fail beyond the limit.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps a connection without a limit, and returns the limit's switch.
    pub(super) fn new(stream: TcpStream) -> (LimitedStream, HeadLimit) {
        let limit = HeadLimit { remaining: Arc::new(AtomicUsize::new(UNLIMITED)) };
        (LimitedStream { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let remaining = self.limit.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            let error = Error::new(ErrorKind::InvalidData, "the response head is too long");
            return Poll::Ready(Err(error));
        }
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if remaining != UNLIMITED {
            let read = buffer.filled().len() - filled;
            self.limit.remaining.store(remaining.saturating_sub(read), Ordering::Relaxed);
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
