//! What was read from an engine and waits for a slow caller.
//!
//! An engine ends an answer that stays unread for some seconds, so a slow caller must not hold up the reading. What
//! waits is bounded by its bytes; only past that the engine waits as well.

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

/// What waits in memory.
struct QueuedItem<E> {
    item: Result<Bytes, E>,
    /// The capacity that it takes, until the caller's connection has it.
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

/// The caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Both sides of an answer of which at most `max_bytes` wait.
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
    /// Waits for capacity and queues bytes. A piece larger than the bound waits until nothing else does.
    ///
    /// # Errors
    /// The caller has gone.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let wanted = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let permit = self
            .capacity
            .clone()
            .acquire_many_owned(wanted.min(self.max_bytes));
        let permit = permit.await.map_err(|_| CallerGone)?;
        self.queue(Ok(bytes), Some(permit))
    }

    /// Breaks the answer off behind what waits.
    ///
    /// # Errors
    /// The caller has gone.
    pub fn abort(&self, error: E) -> Result<(), CallerGone> {
        self.queue(Err(error), None)
    }

    /// Ends when the caller has gone.
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
