//! Runs each file under `scenarios/`, and checks the errors of the scenario parser.

#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    futures::{StreamExt, stream},
    std::{fs, path::PathBuf},
    tealshore_lab::scenario::{Verdict, matrix::cells, parse, run},
};

const MAX_CONCURRENT_SCENARIOS: usize = 4;

fn files() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn all_scenarios_hold() {
    let files = files();
    assert!(files.len() >= 8, "{files:?}");
    let runs = stream::iter(files).map(|file| async move {
        let lines = parse(&fs::read_to_string(&file).unwrap()).unwrap();
        (file, run(&lines).await.unwrap())
    });
    let broken: Vec<_> = runs
        .buffer_unordered(MAX_CONCURRENT_SCENARIOS)
        .filter(|(_, verdict)| futures::future::ready(*verdict != Verdict::Held))
        .collect()
        .await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn every_matrix_cell_parses() {
    let cells = cells("");
    assert_eq!(cells.len(), 2 * 8 * 16);
    for cell in cells {
        parse(&cell.text).unwrap();
    }
}

#[test]
fn a_parse_error_names_its_line() {
    let error = parse("system engines=1\n\nkill {engine}\n").unwrap_err();
    assert_eq!(error.number, 3);
    let lines = parse("kill engine-of a # and a comment\n").unwrap();
    assert_eq!((lines[0].verb.as_str(), lines[0].word(1)), ("kill", "a"));
}
