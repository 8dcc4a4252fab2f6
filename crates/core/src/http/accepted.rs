//! The socket of an accepted connection, which closes so that the last answer reaches its caller.

use {
    super::open_requests::OpenRequests,
    crate::clock,
    std::{
        fmt,
        future::Future,
        io::{self, IoSlice},
        mem::MaybeUninit,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
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
///
/// HTTP/1 doesn't read while it holds bytes of a further request, and so wouldn't see that a caller has left. While a
/// request is open, flushing and writing therefore fail once the peer has closed its side, whatever is unread.
#[derive(Debug)]
pub struct AcceptedStream {
    stream: Arc<TcpStream>,
    open_requests: OpenRequests,
    hang_up: Option<HangUp>,
    last_activity: Instant,
    linger: Option<Linger>,
}

/// Completes when the peer has closed its side. Holds the socket.
struct HangUp(Pin<Box<dyn Future<Output = ()> + Send>>);

/// A connection whose sending side is closed.
#[derive(Debug)]
struct Linger {
    deadline: Instant,
    remaining_bytes: usize,
    timer: Pin<Box<Sleep>>,
}

impl AcceptedStream {
    pub(super) fn new(stream: TcpStream, open_requests: OpenRequests) -> Self {
        Self {
            stream: Arc::new(stream),
            open_requests,
            hang_up: None,
            last_activity: clock::now(),
            linger: None,
        }
    }

    /// Returns the socket itself, which closes without delay.
    ///
    /// # Errors
    /// Something else holds the socket, which nothing does.
    pub fn into_inner(mut self) -> io::Result<TcpStream> {
        self.hang_up = None;
        Arc::into_inner(self.stream).ok_or_else(shared_socket)
    }

    /// Fails if a request is open whose caller has left.
    fn poll_caller(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.open_requests.is_empty() {
            return Ok(());
        }
        let stream = &self.stream;
        let hang_up = self.hang_up.get_or_insert_with(|| HangUp::of(stream));
        match hang_up.0.as_mut().poll(cx) {
            Poll::Ready(()) => {
                self.hang_up = None;
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Poll::Pending => Ok(()),
        }
    }

    /// Records what was transferred by an operation on the socket.
    fn record<T>(&mut self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Ok(_)) = result {
            self.last_activity = clock::now();
        }
        result
    }
}

impl HangUp {
    fn of(stream: &Arc<TcpStream>) -> Self {
        let stream = stream.clone();
        Self(Box::pin(async move {
            // Unread bytes don't end the wait. An error means that the runtime is gone.
            let _ = stream.ready(Interest::PRIORITY).await;
        }))
    }
}

impl fmt::Debug for HangUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HangUp")
    }
}

fn shared_socket() -> io::Error {
    io::Error::other("the socket is in use elsewhere")
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
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return self.record(Poll::Ready(read.map(|_| ()))),
            }
        }
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_caller(cx)?;
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return self.record(Poll::Ready(written)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The kernel sends what was written by itself.
        Poll::Ready(self.poll_caller(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.hang_up = None;
        let stream = Arc::get_mut(&mut this.stream).ok_or_else(shared_socket)?;
        let linger = match &mut this.linger {
            Some(linger) => linger,
            none => {
                ready!(Pin::new(&mut *stream).poll_shutdown(cx))?;
                none.insert(Linger::begin())
            }
        };
        linger.poll_end(stream, &mut this.last_activity, cx).map(Ok)
    }
}
