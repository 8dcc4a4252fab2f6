//! A token stream from an engine.

use {
    crate::wire::{DONE, StreamEvent},
    futures::{Stream, StreamExt},
    hyper::body::Incoming,
    sse_stream::SseStream,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tealshore_core::ids::{Position, StreamId, TokenId},
};

/// An item of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A generated token.
    Token {
        /// The position of the token in the response.
        position: Position,
        /// The id of the token.
        token: TokenId,
        /// The text of the token.
        text: String,
    },
    /// The engine ended the response.
    End {
        /// The number of tokens in the response.
        position: Position,
        /// The finish reason that the engine reported.
        reason: StreamEnd,
    },
    /// The stream ended early or contained an invalid event.
    Broken,
}

/// The reason why an engine ended a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The model ended the response.
    Stop,
    /// The response reached the requested length.
    Length,
    /// The stream was cancelled.
    Abort,
}

/// A token stream from an engine. Dropping it closes the connection.
pub struct TokenStream {
    id: StreamId,
    events: SseStream<Incoming>,
    ended: bool,
}

impl TokenStream {
    pub(crate) fn new(id: StreamId, body: Incoming) -> Self {
        Self {
            id,
            events: SseStream::new(body),
            ended: false,
        }
    }

    fn parse_event(&self, data: &str) -> StreamItem {
        if data == DONE {
            return StreamItem::Broken;
        }
        let Ok(mut event) = serde_json::from_str::<StreamEvent>(data) else {
            return StreamItem::Broken;
        };
        if event.id != self.id {
            return StreamItem::Broken;
        }
        let Some(choice) = event.choices.pop() else {
            return StreamItem::Broken;
        };
        let position = event.position;
        match choice.finish_reason.as_deref() {
            None => match choice.token_ids[..] {
                [token] => StreamItem::Token {
                    position,
                    token,
                    text: choice.text,
                },
                _ => StreamItem::Broken,
            },
            Some("length") => StreamItem::End {
                position,
                reason: StreamEnd::Length,
            },
            Some("abort") => StreamItem::End {
                position,
                reason: StreamEnd::Abort,
            },
            Some(_) => StreamItem::End {
                position,
                reason: StreamEnd::Stop,
            },
        }
    }
}

impl Stream for TokenStream {
    type Item = StreamItem;

    /// Returns the next item; the stream ends after [`StreamItem::End`] or [`StreamItem::Broken`].
    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<StreamItem>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let item = match ready!(self.events.poll_next_unpin(context)) {
            Some(Ok(event)) => self.parse_event(&event.data.unwrap_or_default()),
            Some(Err(_)) | None => StreamItem::Broken,
        };
        self.ended = !matches!(item, StreamItem::Token { .. });
        Poll::Ready(Some(item))
    }
}
