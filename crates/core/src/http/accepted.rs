//! The socket of an accepted connection, which closes so that the last answer reaches its caller.

use {
    crate::clock,
    std::{
        io::{self, IoSlice},
        mem::MaybeUninit,
        pin::Pin,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// How long a closing connection waits for its caller to close it too. A planned stop waits for closing connections.
const MAX_LINGER_TIME: Duration = Duration::from_secs(2);
/// A closing connection on which nothing was received or sent for this long is closed at once.
const MAX_LINGER_PAUSE: Duration = Duration::from_secs(1);
/// How much is received on a closing connection.
const MAX_LINGER_BYTES: usize = 64 * 1024 * 1024;
/// How much is received at once on a closing connection.
const DISCARD_BUFFER_BYTES: usize = 8 * 1024;

/// The socket of an accepted connection.
///
/// The kernel resets a connection that is closed while bytes of the peer are unread or under way, and the peer then
/// loses what it has not yet received. Shutting this socket down therefore closes the sending side first, and then
/// discards what is received until the peer has closed its side too, or a limit is reached.
#[derive(Debug)]
pub struct AcceptedStream {
    stream: TcpStream,
    last_activity: Instant,
    linger: Option<Linger>,
}

/// A connection whose sending side is closed.
#[derive(Debug)]
struct Linger {
    deadline: Instant,
    remaining_bytes: usize,
    timer: Pin<Box<Sleep>>,
}

impl AcceptedStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            last_activity: clock::now(),
            linger: None,
        }
    }

    /// Returns the socket itself, which closes without delay.
    #[must_use]
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Records what was transferred by an operation on the socket.
    fn record<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Ok(_)) = result {
            self.last_activity = clock::now();
        }
        result
    }
}

impl Linger {
    fn begin() -> Self {
        Self {
            deadline: clock::now() + MAX_LINGER_TIME,
            remaining_bytes: MAX_LINGER_BYTES,
            timer: Box::pin(sleep(MAX_LINGER_PAUSE)),
        }
    }

    /// Discards what the peer still sends, until the connection is to be closed.
    fn poll_end(
        &mut self,
        stream: &mut TcpStream,
        last_activity: &mut Instant,
        cx: &mut Context<'_>,
    ) -> Poll<()> {
        loop {
            let mut bytes = [MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *last_activity = clock::now();
                    match self.remaining_bytes.checked_sub(buffer.filled().len()) {
                        Some(left) => self.remaining_bytes = left,
                        None => return Poll::Ready(()),
                    }
                }
                // The peer has closed its side, or is gone.
                Poll::Ready(Ok(()) | Err(_)) => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        let end = self.deadline.min(*last_activity + MAX_LINGER_PAUSE);
        let left = end.saturating_duration_since(clock::now());
        if left.is_zero() {
            return Poll::Ready(());
        }
        // The timer may end early, as activity postpones the end.
        while self.timer.as_mut().poll(cx).is_ready() {
            self.timer.set(sleep(left));
        }
        Poll::Pending
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.record(result)
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let linger = match &mut this.linger {
            Some(linger) => linger,
            none => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                none.insert(Linger::begin())
            }
        };
        linger
            .poll_end(&mut this.stream, &mut this.last_activity, cx)
            .map(Ok)
    }
}
