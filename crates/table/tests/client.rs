//! Tests how the table client classifies unusual responses.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    http::{Response, StatusCode},
    std::{future::pending, time::Duration},
    tealshore_core::http::{ServerOptions, bind, full, serve},
    tealshore_table::{
        CommitError, TableClient, TableOptions,
        wire::{Condition, Expect, Put, Transaction},
    },
};

/// Starts a table that gives every request the same response, and returns a client for it.
async fn client_of(status: StatusCode, body: &'static str) -> TableClient {
    let (listener, address) = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let handler = move |_| async move {
        let mut response = Response::new(full(body));
        *response.status_mut() = status;
        response
    };
    tokio::spawn(serve(
        listener,
        ServerOptions::default(),
        handler,
        pending(),
    ));
    TableClient::new(TableOptions {
        address,
        exchange_timeout: Duration::from_millis(500),
        operation_timeout: Duration::from_millis(200),
    })
}

fn transaction() -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: "a".to_owned(),
            expect: Expect::Absent,
        }],
        puts: vec![Put {
            key: "a".to_owned(),
            value: "1".to_owned(),
        }],
    }
}

#[tokio::test]
async fn conflict_without_rows_is_an_unknown_outcome() {
    for body in ["{\"failed\": []}", "no JSON", ""] {
        let outcome = client_of(StatusCode::CONFLICT, body)
            .await
            .commit(&transaction())
            .await;
        assert!(
            matches!(outcome, Err(CommitError::Unknown(_))),
            "{body}: {outcome:?}"
        );
    }
}

#[tokio::test]
async fn refusal_is_not_sent_and_server_error_is_unknown() {
    for status in [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ] {
        let outcome = client_of(status, "").await.commit(&transaction()).await;
        assert!(
            matches!(outcome, Err(CommitError::NotSent(_))),
            "{status}: {outcome:?}"
        );
    }
    let outcome = client_of(StatusCode::INTERNAL_SERVER_ERROR, "")
        .await
        .commit(&transaction())
        .await;
    assert!(
        matches!(outcome, Err(CommitError::Unknown(_))),
        "{outcome:?}"
    );
}
