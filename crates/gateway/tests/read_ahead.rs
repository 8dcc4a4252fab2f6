//! Tests the queue of bytes for a slow caller.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests fail as tests do, which clippy.toml allows"
)]

use {
    bytes::Bytes,
    futures::{FutureExt, StreamExt},
    tealshore_gateway::read_ahead::{CallerGone, ReadAheadReceiver, read_ahead},
    tokio::task::unconstrained,
};

const MAX_BYTES: u32 = 32 * 1024;
/// One event of a stream, and the number of events in a whole answer.
const EVENT: &[u8] = &[b'x'; 100];
const EVENT_COUNT: usize = 140;

async fn collect_rest(
    receiver: ReadAheadReceiver<&'static str>,
) -> Vec<Result<Bytes, &'static str>> {
    receiver.collect().await
}

/// Guards against a reader that stops once a few events (formerly eight) are queued for a caller that does not read.
/// Engines end an answer that stays unread for some seconds, so the stream was placed again and its prompt read twice.
#[tokio::test]
async fn an_answer_is_read_whole_from_its_engine_while_its_caller_reads_nothing() {
    let (sender, receiver) = read_ahead(MAX_BYTES);
    for _ in 0..EVENT_COUNT {
        // Without `unconstrained`, tokio's cooperative budget would make the task yield now and then, which is no wait
        // for the caller.
        let sent = unconstrained(sender.send(Bytes::from_static(EVENT))).now_or_never();
        assert_eq!(sent, Some(Ok(())), "the engine waits for the caller");
    }
    sender.complete().unwrap();
    drop(sender);
    let received = collect_rest(receiver).await;
    assert_eq!(received.len(), EVENT_COUNT);
    assert!(received.iter().all(|event| event.as_deref() == Ok(EVENT)));
}

#[tokio::test]
async fn past_the_bound_the_engine_waits_until_the_caller_reads() {
    let (sender, mut receiver) = read_ahead::<&str>(150);
    sender.send(Bytes::from_static(EVENT)).await.unwrap();
    assert!(
        sender
            .send(Bytes::from_static(EVENT))
            .now_or_never()
            .is_none()
    );
    assert!(receiver.next().await.is_some());
    let sent = sender.send(Bytes::from_static(EVENT)).now_or_never();
    assert_eq!(sent, Some(Ok(())));
}

#[tokio::test]
async fn an_event_larger_than_the_bound_passes_alone() {
    let (sender, mut receiver) = read_ahead::<&str>(50);
    sender.send(Bytes::from_static(EVENT)).await.unwrap();
    assert!(
        sender
            .send(Bytes::from_static(EVENT))
            .now_or_never()
            .is_none()
    );
    assert_eq!(receiver.next().await, Some(Ok(Bytes::from_static(EVENT))));
    let sent = sender.send(Bytes::from_static(EVENT)).now_or_never();
    assert_eq!(sent, Some(Ok(())));
}

#[tokio::test]
async fn queued_events_arrive_before_the_answer_is_aborted() {
    let (sender, receiver) = read_ahead(MAX_BYTES);
    sender.send(Bytes::from_static(EVENT)).await.unwrap();
    sender.abort("lost").unwrap();
    drop(sender);
    let received = collect_rest(receiver).await;
    assert_eq!(received, [Ok(Bytes::from_static(EVENT)), Err("lost")]);
}

#[tokio::test]
async fn an_answer_whose_sender_is_dropped_does_not_look_complete() {
    let (sender, receiver) = read_ahead(MAX_BYTES);
    sender.send(Bytes::from_static(EVENT)).await.unwrap();
    drop(sender);
    let received = collect_rest(receiver).await;
    assert_eq!(received.len(), 2);
    assert!(received[1].is_err());
}

#[tokio::test]
async fn sending_fails_after_the_caller_disconnects() {
    let (sender, receiver) = read_ahead::<&str>(MAX_BYTES);
    drop(receiver);
    sender.closed().await;
    assert_eq!(
        sender.send(Bytes::from_static(EVENT)).await,
        Err(CallerGone)
    );
}
