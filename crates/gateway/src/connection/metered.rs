//! Counts what arrives on a connection, and bounds what arrives before the head of an answer.

use {
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Maximum number of bytes before the end of an answer's head, including interim answers, of which there may be any
/// number.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// What has arrived on one or more connections.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// How many bytes arrived before the end of the head.
    bytes_before_head: Arc<AtomicUsize>,
    has_head: Arc<AtomicBool>,
}

impl Received {
    /// Whether any byte has arrived, which shows that the other side lives.
    #[must_use]
    pub fn is_any(&self) -> bool {
        self.bytes_before_head.load(Ordering::Relaxed) > 0
    }

    /// Records that the head has arrived. What follows is not bounded here.
    pub fn end_head(&self) {
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Whether no head was received because of bytes that are none, rather than because the connection ended.
    #[must_use]
    pub fn is_invalid(&self, error: &hyper::Error) -> bool {
        error.is_parse() || self.is_too_long()
    }

    fn is_too_long(&self) -> bool {
        self.bytes_before_head.load(Ordering::Relaxed) > MAX_BYTES_BEFORE_HEAD
    }

    /// Records that bytes have arrived.
    ///
    /// # Errors
    /// The head is too long.
    fn record(&self, bytes: usize) -> io::Result<()> {
        if self.has_head.load(Ordering::Relaxed) {
            return Ok(());
        }
        self.bytes_before_head.fetch_add(bytes, Ordering::Relaxed);
        if self.is_too_long() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }
}

/// A connection that records what arrives.
pub struct MeteredStream {
    stream: TcpStream,
    received: Received,
}

impl MeteredStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, received: Received) -> Self {
        Self { stream, received }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.received.record(buf.filled().len() - before)?;
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
