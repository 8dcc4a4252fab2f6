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
struct QueuedItem<E> {
    item: Result<Bytes, E>,
    /// The capacity that the item takes until the caller's connection has taken it.
    _permit: Option<OwnedSemaphorePermit>,
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
    (sender, ReadAheadReceiver { items: receiver })
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
        self.queue(Ok(bytes), Some(permit))
    }

    /// Ends the answer with an error, after what is already queued.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn abort(&self, error: E) -> Result<(), CallerGone> {
        self.queue(Err(error), None)
    }

    /// Completes when the caller has disconnected.
    pub async fn closed(&self) {
        self.items.closed().await;
    }

    fn queue(
        &self,
        item: Result<Bytes, E>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<(), CallerGone> {
        let queued = QueuedItem {
            item,
            _permit: permit,
        };
        self.items.send(queued).map_err(|_| CallerGone)
    }
}

impl<E> Stream for ReadAheadReceiver<E> {
    type Item = Result<Bytes, E>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.items.poll_recv(context);
        next.map(|queued| queued.map(|queued| queued.item))
    }
}
