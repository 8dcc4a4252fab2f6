//! A stream of tokens from an engine.

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

/// What a stream gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token {
        /// Its position.
        position: Position,
        /// The token.
        token: TokenId,
        /// The token as text.
        text: String,
    },
    /// The engine ended the answer.
    End {
        /// How many tokens it has.
        position: Position,
        /// The engine's reason.
        reason: StreamEnd,
    },
    /// The stream broke off, or sent what does not belong into it.
    Broken,
}

/// Why an engine ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The model ended it.
    Stop,
    /// It reached the length that was asked for.
    Length,
    /// Somebody cancelled it.
    Abort,
}

/// A stream of tokens from an engine. Dropping it closes the connection.
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

    fn read(&self, data: &str) -> StreamItem {
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

    /// The next item; nothing after an end or a break.
    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<StreamItem>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let item = match ready!(self.events.poll_next_unpin(context)) {
            Some(Ok(event)) => self.read(&event.data.unwrap_or_default()),
            Some(Err(_)) | None => StreamItem::Broken,
        };
        self.ended = !matches!(item, StreamItem::Token { .. });
        Poll::Ready(Some(item))
    }
}
