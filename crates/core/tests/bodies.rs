//! Reading of whole bodies.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    bytes::Bytes,
    futures::stream,
    http_body_util::StreamBody,
    hyper::body::Frame,
    std::{
        convert::Infallible,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tealshore_core::http::{ReadError, read_limited},
};

/// A piece of a body of one byte, which counts how many of them are in memory.
struct Piece(Arc<AtomicUsize>);

impl Piece {
    fn bytes(alive: &Arc<AtomicUsize>) -> Bytes {
        alive.fetch_add(1, Ordering::SeqCst);
        Bytes::from_owner(Self(alive.clone()))
    }
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        b"x"
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guards against a body whose pieces take many times the memory of its data.
#[tokio::test]
async fn pieces_of_a_body_are_not_kept_while_it_is_read() {
    const PIECES: usize = 1_000;
    let (alive, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counted, peak) = (alive.clone(), most.clone());
    let pieces = (0..PIECES).map(move |_| {
        peak.fetch_max(counted.load(Ordering::SeqCst), Ordering::SeqCst);
        Ok::<_, Infallible>(Frame::data(Piece::bytes(&counted)))
    });
    let body = StreamBody::new(stream::iter(pieces));
    let read = read_limited(body, PIECES).await.unwrap();
    assert_eq!(read.len(), PIECES);
    assert!(most.load(Ordering::SeqCst) <= 1, "{most:?} pieces");
}

#[tokio::test]
async fn a_body_that_is_too_large_or_breaks_off_is_not_read() {
    let body = |ends_well: bool| {
        let end = if ends_well {
            Ok(Frame::data(Bytes::from_static(b"cd")))
        } else {
            Err("cut")
        };
        StreamBody::new(stream::iter([
            Ok(Frame::data(Bytes::from_static(b"ab"))),
            end,
        ]))
    };
    assert_eq!(read_limited(body(true), 4).await.unwrap(), "abcd");
    assert_eq!(read_limited(body(true), 3).await, Err(ReadError::TooLarge));
    assert_eq!(read_limited(body(false), 4).await, Err(ReadError::Broken));
}
