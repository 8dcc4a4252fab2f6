//! A bounded queue of bytes read from an engine and not yet taken by a slow caller.
//!
//! An engine ends an answer that stays unread for some seconds, so a slow caller must not hold up the reading. The
//! queue is bounded by its bytes; the engine has to wait only when it is full.

use {
    bytes::Bytes,
    futures::Stream,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

/// One item in the queue.
enum QueuedItem<E> {
    Bytes {
        bytes: Bytes,
        /// The capacity that the bytes take until the caller's connection has taken them.
        _permit: OwnedSemaphorePermit,
    },
    /// The answer is complete.
    End,
    /// The answer ends early.
    Failed(E),
}

/// The side that reads from the engine.
pub struct ReadAheadSender<E> {
    items: mpsc::UnboundedSender<QueuedItem<E>>,
    capacity: Arc<Semaphore>,
    max_bytes: u32,
}

/// The side that writes to the caller.
pub struct ReadAheadReceiver<E> {
    items: mpsc::UnboundedReceiver<QueuedItem<E>>,
    has_ended: bool,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Creates both sides of a queue of at most `max_bytes`.
#[must_use]
pub fn read_ahead<E>(max_bytes: u32) -> (ReadAheadSender<E>, ReadAheadReceiver<E>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let sender = ReadAheadSender {
        items: sender,
        capacity: Arc::new(Semaphore::new(max_bytes as usize)),
        max_bytes,
    };
    let receiver = ReadAheadReceiver {
        items: receiver,
        has_ended: false,
    };
    (sender, receiver)
}

impl<E> ReadAheadSender<E> {
    /// Waits for capacity and queues bytes. A piece larger than the whole queue waits until the queue is empty.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let wanted = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let permit = self
            .capacity
            .clone()
            .acquire_many_owned(wanted.min(self.max_bytes));
        let permit = permit.await.map_err(|_| CallerGone)?;
        self.queue(QueuedItem::Bytes {
            bytes,
            _permit: permit,
        })
    }

    /// Ends the answer as complete, after what is already queued. An answer whose sender is dropped without this ends
    /// with an error.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn complete(&self) -> Result<(), CallerGone> {
        self.queue(QueuedItem::End)
    }

    /// Ends the answer with an error, after what is already queued.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn abort(&self, error: E) -> Result<(), CallerGone> {
        self.queue(QueuedItem::Failed(error))
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    fn queue(&self, item: QueuedItem<E>) -> Result<(), CallerGone> {
        self.items.send(item).map_err(|_| CallerGone)
    }
}

impl<E: From<&'static str>> Stream for ReadAheadReceiver<E> {
    type Item = Result<Bytes, E>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let Poll::Ready(next) = self.items.poll_recv(context) else {
            return Poll::Pending;
        };
        let item = match next {
            Some(QueuedItem::Bytes { bytes, .. }) => return Poll::Ready(Some(Ok(bytes))),
            Some(QueuedItem::End) => None,
            Some(QueuedItem::Failed(error)) => Some(Err(error)),
            None => Some(Err(E::from(
                "the sender ended before the answer was complete",
            ))),
        };
        self.has_ended = true;
        Poll::Ready(item)
    }
}
