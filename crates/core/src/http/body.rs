//! Bodies of requests and answers.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Empty, Full, Limited, combinators::UnsyncBoxBody},
    serde::Serialize,
    std::convert::Infallible,
};

/// Why a body broke off.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body of any kind.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A body that is known whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// A body without content.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(never).boxed_unsync()
}

/// A value as a JSON body. A value that can't be written gives an empty body.
pub fn json_body<T: Serialize + ?Sized>(value: &T) -> Body {
    full(serde_json::to_vec(value).unwrap_or_default())
}

/// Why a body could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It is larger than its bound.
    TooLarge,
    /// It broke off.
    Broken,
}

/// Reads a whole body of at most `bound_bytes`.
///
/// # Errors
/// The body is larger than its bound, or broke off.
pub async fn read_limited<B>(body: B, bound_bytes: usize) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body,
    B::Error: Into<BodyError>,
{
    match Limited::new(body, bound_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Broken),
    }
}

/// Reads a whole body as [`read_limited`] does. Of a body that is too large it takes in and
/// drops up to `drain_bytes` more: a sender that still writes when the connection closes
/// would lose the answer that says so.
///
/// # Errors
/// The body is larger than its bound, or broke off.
pub async fn read_draining<B>(
    mut body: B,
    bound_bytes: usize,
    drain_bytes: usize,
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    let read = read_limited(&mut body, bound_bytes).await;
    if read == Err(ReadError::TooLarge) {
        // However the rest ends, the answer is the same.
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

fn never(never: Infallible) -> BodyError {
    match never {}
}
