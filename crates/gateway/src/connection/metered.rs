//! Counts what arrives on a connection, and bounds what arrives without being part of an answer.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        error::Error,
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

/// Maximum number of bytes that arrive without completing a head or a piece of a body: the framing of an answer, which
/// may be any number of interim answers or one endless chunk length, and the piece that is being received.
const MAX_UNDELIVERED_BYTES: usize = 256 * 1024;

/// What has arrived on one or more connections.
#[derive(Clone, Debug, Default)]
pub struct Received {
    is_any: Arc<AtomicBool>,
    /// How many bytes arrived since the head or the last piece of the body was delivered.
    undelivered_bytes: Arc<AtomicUsize>,
    /// Whether a body ended because of bytes that are none.
    has_invalid_body: Arc<AtomicBool>,
}

impl Received {
    /// Whether any byte has arrived, which shows that the other side lives.
    #[must_use]
    pub fn is_any(&self) -> bool {
        self.is_any.load(Ordering::Relaxed)
    }

    /// Whether a body ended because of bytes that are none.
    #[must_use]
    pub fn has_invalid_body(&self) -> bool {
        self.has_invalid_body.load(Ordering::Relaxed)
    }

    /// Records that the head or a piece of the body was delivered.
    pub fn record_delivery(&self) {
        self.undelivered_bytes.store(0, Ordering::Relaxed);
    }

    /// Whether an answer ended because of bytes that are none, rather than because the connection ended.
    #[must_use]
    pub fn is_invalid(&self, error: &hyper::Error) -> bool {
        let io_error = error.source().and_then(|source| source.downcast_ref());
        let is_malformed = io_error.is_some_and(|error: &io::Error| {
            matches!(
                error.kind(),
                io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
            )
        });
        error.is_parse() || is_malformed || self.is_too_long()
    }

    fn is_too_long(&self) -> bool {
        self.undelivered_bytes.load(Ordering::Relaxed) > MAX_UNDELIVERED_BYTES
    }

    /// Records that bytes have arrived.
    ///
    /// # Errors
    /// Too many arrived without a head or a piece of a body.
    fn record(&self, bytes: usize) -> io::Result<()> {
        if bytes > 0 {
            self.is_any.store(true, Ordering::Relaxed);
        }
        self.undelivered_bytes.fetch_add(bytes, Ordering::Relaxed);
        if self.is_too_long() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }
}

/// The body of an answer that comes on a metered connection.
pub struct AnswerBody {
    body: Incoming,
    received: Received,
}

impl AnswerBody {
    /// Wraps the body of an answer whose head was just delivered.
    pub fn new(body: Incoming, received: Received) -> Self {
        received.record_delivery();
        Self { body, received }
    }

    /// Whether the body ended because of bytes that are none, rather than because the connection ended.
    #[must_use]
    pub fn is_invalid(&self, error: &hyper::Error) -> bool {
        self.received.is_invalid(error)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.received.record_delivery(),
            Poll::Ready(Some(Err(error))) if self.is_invalid(error) => {
                let has_invalid_body = &self.received.has_invalid_body;
                has_invalid_body.store(true, Ordering::Relaxed);
            }
            Poll::Ready(Some(Err(_)) | None) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
