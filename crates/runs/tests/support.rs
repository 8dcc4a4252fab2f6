//! Runs for the tests of this package.
#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "helpers of tests fail as tests do, which clippy.toml allows, and each test file uses some of them"
)]

use {
    std::net::SocketAddr,
    tealshore_core::ids::ProcessId,
    tealshore_runs::{ContentDigest, ContentMatch, KnownRun, RunOrigin, RunTrace},
};

/// The fingerprint of the requests of [`run`].
pub const FINGERPRINT: u64 = 1;
/// The content of the requests of [`run`].
pub const CONTENT: ContentDigest = 100;

/// What the requests of [`run`] ask for.
pub fn wanted() -> ContentMatch {
    ContentMatch {
        fingerprint: FINGERPRINT,
        content: CONTENT,
    }
}

/// An address of this port.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The process of a host.
pub fn process(host: &str, incarnation: u64) -> ProcessId {
    ProcessId {
        host: host.to_owned(),
        incarnation,
    }
}

/// A run with a copy of its memory.
pub fn trace(fingerprint: u64, request: &str, engine: &str) -> RunTrace {
    RunTrace {
        fingerprint,
        request: request.to_owned(),
        engine: engine.to_owned(),
        copy: Some(("holder".to_owned(), address(9))),
    }
}

/// A run for a request that the first process of a host answers.
pub fn run(request: &str, host: &str) -> KnownRun {
    run_of(request, host, CONTENT)
}

/// The same for a request with another content.
pub fn run_of(request: &str, host: &str, content: ContentDigest) -> KnownRun {
    KnownRun {
        trace: trace(FINGERPRINT, request, "engine"),
        origin: Some(RunOrigin {
            process: process(host, 1),
            address: address(7_200),
            content,
            continues: None,
            waits_ms: 0,
        }),
    }
}

/// A run that continues the run of an earlier attempt.
pub fn continuation(request: &str, host: &str, continues: &str) -> KnownRun {
    let mut run = run(request, host);
    if let Some(origin) = &mut run.origin {
        origin.continues = Some(continues.to_owned());
    }
    run
}

/// A run that a host of an earlier build reported.
pub fn run_of_earlier_build(request: &str) -> KnownRun {
    KnownRun {
        trace: trace(FINGERPRINT, request, "engine"),
        origin: None,
    }
}
