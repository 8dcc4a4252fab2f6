//! Callers of the system under test.

use {
    super::Fleet,
    crate::work::Work,
    std::{net::SocketAddr, time::Duration},
    tealshore_callers::client::{CallRecord, Caller, CallerOptions},
    tokio::{sync::watch, task::JoinHandle},
};

/// How long a caller waits for the next event before it reconnects.
const CALLER_EVENT_TIMEOUT: Duration = Duration::from_secs(8);

impl Fleet {
    /// Returns a caller that retries at the next entry host. With `send_received` it sends the tokens that
    /// it already has, so that a lost generation can be resumed.
    #[must_use]
    pub fn caller(key: &str, send_received: bool) -> Caller {
        Caller::new(CallerOptions {
            send_received,
            ..caller_options(key)
        })
    }

    /// Returns a caller that opens a single connection.
    #[must_use]
    pub fn caller_without_retries(key: &str) -> Caller {
        Caller::new(CallerOptions {
            max_connections: 1,
            ..caller_options(key)
        })
    }

    /// Returns a caller that uses HTTP/2.
    #[must_use]
    pub fn caller_http2(key: &str) -> Caller {
        Caller::new(CallerOptions {
            http2: true,
            ..caller_options(key)
        })
    }

    /// Returns a caller that reconnects elsewhere if no event arrives for `read_timeout`.
    #[must_use]
    pub fn caller_with_event_timeout(key: &str, read_timeout: Duration) -> Caller {
        Caller::new(CallerOptions {
            read_timeout,
            send_received: true,
            ..caller_options(key)
        })
    }
}

fn caller_options(key: &str) -> CallerOptions {
    CallerOptions {
        key: key.to_owned(),
        read_timeout: CALLER_EVENT_TIMEOUT,
        max_connections: 8,
        send_received: false,
        http2: false,
    }
}

/// Starts a call in the background. The channel holds the number of tokens received so far, and
/// closes when the answer ends.
#[must_use]
pub fn start_call(
    caller: Caller,
    entries: Vec<SocketAddr>,
    work: &Work,
) -> (JoinHandle<CallRecord>, watch::Receiver<u64>) {
    let (progress_sender, progress) = watch::channel(0);
    let call = work.call.clone();
    let task = tokio::spawn(async move {
        caller
            .complete(&entries, &call, |arrival| {
                progress_sender.send_replace(arrival.position + 1);
            })
            .await
    });
    (task, progress)
}
