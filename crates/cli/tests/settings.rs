//! Runs the real program on each sample under `settings/`: good samples pass, and each bad one
//! gets a one-line error that names the cause.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    assert_cmd::Command,
    std::{fs, path::PathBuf},
};

/// What the error for each bad sample must contain: section, key, value and the allowed values.
const INVALID_SAMPLES: [(&str, &[&str]); 14] = [
    (
        "bad-address.ini",
        &["[host]", "callers_address", "localhost", "IP:PORT"],
    ),
    (
        "bad-key.ini",
        &["[resume]", "keys", "(hidden)", "64 hex digits"],
    ),
    (
        "bad-log-level.ini",
        &["[log]", "level", "loud", "error, warn, info, debug"],
    ),
    ("bad-threads.ini", &["[host]", "threads", "0", "1 to 64"]),
    (
        "declarations-bad-resume.ini",
        &["[template", "resume", "sometimes", "latency, thrift"],
    ),
    (
        "declarations-bad-share.ini",
        &[
            "[customer tide-channel]",
            "night-summary.share",
            "0",
            "1 to 1000",
        ],
    ),
    (
        "declarations-parameter-of-unused-template.ini",
        &[
            "[customer tide-channel]",
            "night-summary.share",
            "unknown key",
        ],
    ),
    (
        "declarations-same-key-twice.ini",
        &["[customer", "key_hash", "no other customer"],
    ),
    (
        "declarations-short-hash.ini",
        &[
            "[customer tide-channel]",
            "key_hash",
            "abc",
            "64 hex digits",
        ],
    ),
    (
        "declarations-unknown-template.ini",
        &[
            "[customer tide-channel]",
            "templates",
            "poster",
            "night-summary",
        ],
    ),
    ("missing-id.ini", &["[host]", "id", "missing"]),
    ("not-ini.ini", &["not-ini.ini"]),
    (
        "unknown-key.ini",
        &["[host]", "colour", "unknown key", "callers_address"],
    ),
    (
        "unknown-section.ini",
        &["[extra]", "unknown section", "host, callers"],
    ),
];

fn folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../settings")
        .join(name)
}

fn files(name: &str) -> Vec<String> {
    let entries = fs::read_dir(folder(name)).unwrap();
    let mut names: Vec<String> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

fn check(kind: &str, file: &str) -> assert_cmd::assert::Assert {
    let command = if file.contains("declarations") {
        "check-declarations"
    } else {
        "check"
    };
    let path = folder(kind).join(file);
    Command::cargo_bin("tealshore")
        .unwrap()
        .arg(command)
        .arg(path)
        .assert()
}

#[test]
fn good_samples_pass() {
    for file in files("good") {
        check("good", &file).success();
    }
}

#[test]
fn bad_samples_get_a_one_line_error() {
    let listed: Vec<&str> = INVALID_SAMPLES.iter().map(|(file, _)| *file).collect();
    assert_eq!(
        files("bad"),
        listed,
        "each bad sample must be listed in INVALID_SAMPLES"
    );
    for (file, named) in INVALID_SAMPLES {
        let output = check("bad", file).code(2).get_output().clone();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(text.lines().count(), 1, "{file}: {text}");
        for part in named {
            assert!(text.contains(part), "{file}: no {part} in {text}");
        }
    }
}

#[test]
fn usage_errors_and_failures_have_different_exit_codes() {
    let run = |args: &[&str]| Command::cargo_bin("tealshore").unwrap().args(args).assert();
    run(&["--version"]).success();
    run(&["help"]).success();
    run(&["no-such-command"]).code(2);
    run(&["history", "--table", "nowhere"]).code(2);
    run(&["history", "--table", "127.0.0.1:1"]).code(1);
    run(&["check", "no-such-file.ini"]).code(2);
}
