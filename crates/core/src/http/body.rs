//! Bodies of requests and responses.

use {
    bytes::{BufMut, Bytes, BytesMut},
    http_body_util::{BodyExt, Empty, Full, Limited, combinators::UnsyncBoxBody},
    serde::Serialize,
    std::{convert::Infallible, pin::pin},
};

/// The error with which a body ends early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request or response body of any kind.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes that are in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(infallible).boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(infallible).boxed_unsync()
}

/// Serializes a value as a JSON body. The body is empty if the value can't be serialized.
pub fn json_body<T: Serialize + ?Sized>(value: &T) -> Body {
    full(serde_json::to_vec(value).unwrap_or_default())
}

/// The reason why a body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The body ended early.
    Broken,
}

/// Reads a complete body of at most `max_bytes`. What has arrived is copied into one buffer: each piece that is kept costs
/// memory of its own, and a body may come in pieces of one byte.
///
/// # Errors
/// The body exceeds the size limit, or ended early.
pub async fn read_limited<B>(body: B, max_bytes: usize) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body,
    B::Error: Into<BodyError>,
{
    let mut limited = pin!(Limited::new(body, max_bytes));
    let mut received = BytesMut::new();
    while let Some(frame) = limited.frame().await {
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    received.put(data);
                }
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(ReadError::TooLarge);
            }
            Err(_) => return Err(ReadError::Broken),
        }
    }
    Ok(received.freeze())
}

/// Reads a complete body as [`read_limited`] does. Where the body is too large, up to `drain_bytes`
/// more are read and discarded: a sender that is still writing when the connection closes would not
/// receive the error response.
///
/// # Errors
/// The body exceeds the size limit, or ended early.
pub async fn read_draining<B>(
    mut body: B,
    max_bytes: usize,
    drain_bytes: usize,
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    let read = read_limited(&mut body, max_bytes).await;
    if read == Err(ReadError::TooLarge) {
        // The result stays `TooLarge` however the rest of the body ends.
        let _ = drain(body, drain_bytes).await;
    }
    read
}

async fn drain<B>(mut body: B, mut drain_bytes: usize) -> Result<(), B::Error>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let taken = frame?.data_ref().map_or(0, Bytes::len);
        match drain_bytes.checked_sub(taken) {
            Some(left) => drain_bytes = left,
            None => break,
        }
    }
    Ok(())
}

fn infallible(infallible: Infallible) -> BodyError {
    match infallible {}
}
