//! Tests of the error-budget report and of the `report` command.
#![allow(clippy::unwrap_used, reason = "a panic is how a test reports failure")]

use {
    assert_cmd::Command,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
    },
    tealshore_cli::burn::{BurnReport, HostMetrics, Objective, render_html},
};

const OBJECTIVE: Objective = Objective {
    availability: 0.9,
    in_time: 0.5,
    call_s: 0.3,
    stream_s: 4.5,
};

const METRICS: &str = "\
# HELP tealshore_requests_total Ends of requests
# TYPE tealshore_requests_total counter
tealshore_requests_total{outcome=\"complete\"} 95
tealshore_requests_total{outcome=\"caller-gone\"} 7
tealshore_requests_total{outcome=\"stale-view\"} 5
# HELP tealshore_first_byte_seconds First byte
# TYPE tealshore_first_byte_seconds histogram
tealshore_first_byte_seconds_bucket{kind=\"call\",le=\"0.256\"} 60
tealshore_first_byte_seconds_bucket{kind=\"call\",le=\"0.512\"} 90
tealshore_first_byte_seconds_bucket{kind=\"call\",le=\"+Inf\"} 100
tealshore_first_byte_seconds_sum{kind=\"call\"} 12
tealshore_first_byte_seconds_count{kind=\"call\"} 100
";

#[test]
fn the_budget_is_summed_over_all_hosts() {
    let host = HostMetrics::parse(METRICS).unwrap();
    let report = BurnReport::new(OBJECTIVE, &[host.clone(), host]);
    assert_eq!(
        (report.availability.good, report.availability.total),
        (190, 200)
    );
    assert!((report.availability.budget_spent - 0.5).abs() < 1e-9);
    let calls = &report.in_time["call"];
    assert_eq!((calls.good, calls.total), (120, 200));
    assert!((calls.budget_spent - 0.8).abs() < 1e-9);
    assert!(report.to_text().contains("50 % of the error budget spent"));
}

#[test]
fn a_host_without_requests_has_spent_no_budget() {
    let report = BurnReport::new(OBJECTIVE, &[HostMetrics::default()]);
    assert!(report.availability.budget_spent.abs() < 1e-9);
    assert!(render_html(&report).ends_with("</html>\n"));
}

#[test]
fn html_report_escapes_metric_labels() {
    let text = METRICS.replace("stale-view", "<script>");
    let report = BurnReport::new(OBJECTIVE, &[HostMetrics::parse(&text).unwrap()]);
    let page = render_html(&report);
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"));
    assert!(page.contains(">longer</text>") && !page.contains("inf"));
}

/// Serves one request with [`METRICS`], whatever its path.
fn serve_once() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head).unwrap();
        let length = METRICS.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(METRICS.as_bytes()).unwrap();
    });
    address
}

#[test]
fn the_command_prints_json_and_names_the_missing_host() {
    let address = serve_once().to_string();
    let mut command = Command::cargo_bin("tealshore").unwrap();
    let output = command
        .args(["report", &address, "127.0.0.1:1", "--format", "json"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["availability"]["good"], 95);
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("127.0.0.1:1")
    );
}

#[test]
fn invalid_numbers_are_rejected() {
    let mut command = Command::cargo_bin("tealshore").unwrap();
    let output = command
        .args(["report", "127.0.0.1:1", "--call-s", "-3"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}
