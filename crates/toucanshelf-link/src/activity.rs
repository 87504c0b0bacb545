//! Detection of connections on which no bytes move any more.

use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of bytes that have moved over a connection in one direction.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Runs `operation` until it ends, or until no byte has moved for `idle_timeout`.
    ///
    /// Returns `None` in the latter case. An operation that takes longer is left to run while its
    /// bytes move.
    pub(crate) async fn run_while_active<T>(
        &self,
        idle_timeout: Duration,
        operation: impl Future<Output = T>,
    ) -> Option<T> {
        let mut operation = pin!(operation);
        loop {
            let before = self.get();
            match timeout(idle_timeout, &mut operation).await {
                Ok(out) => return Some(out),
                Err(_) if self.get() == before => return None,
                Err(_) => {}
            }
        }
    }
}

/// TCP connection that counts the bytes that are read and written.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    pub(crate) read: ByteCounter,
    pub(crate) written: ByteCounter,
    /// Number of bytes after which reading fails.
    read_limit: u64,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read: ByteCounter::default(),
            written: ByteCounter::default(),
            read_limit: u64::MAX,
        }
    }

    /// Makes reading fail after this number of bytes, until the limit is lifted.
    pub(crate) fn with_read_limit(self, bytes: u64) -> Self {
        Self {
            read_limit: bytes,
            ..self
        }
    }

    /// Lifts the limit and requests a receive buffer of this size from the system.
    pub(crate) fn lift_limits(&mut self, receive_buffer_bytes: usize) {
        self.read_limit = u64::MAX;
        // This fails only on a closed connection, which the next read reports.
        let _ = set_socket_recv_buffer_size(&self.stream, receive_buffer_bytes);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read.get() >= self.read_limit {
            let message = "too many bytes before the handshake was complete";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.read.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written.add(len);
        Poll::Ready(Ok(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
