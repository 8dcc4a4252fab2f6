//! The requests of a connection whose answers are not complete.

use {
    super::body::{Body, BodyError},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as _, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
};

/// Counts the requests of a connection whose answers are not complete. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenRequests(Arc<AtomicUsize>);

/// A request whose answer is not complete until this is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest(OpenRequests);

impl OpenRequests {
    /// Counts a request.
    pub(super) fn begin(&self) -> OpenRequest {
        self.0.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self.clone())
    }

    /// Whether all answers are complete.
    pub(super) fn is_empty(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

impl OpenRequest {
    /// Keeps the request open until the body of its answer is dropped.
    pub(super) fn until_end_of(self, body: Body) -> Body {
        if body.is_end_stream() {
            return body;
        }
        OpenBody { body, _open: self }.boxed_unsync()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The body of an answer that is not complete.
struct OpenBody {
    body: Body,
    _open: OpenRequest,
}

impl hyper::body::Body for OpenBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
