//! Renders the report as a self-contained HTML page.

use super::{Burn, BurnReport, LatencyBucket};

/// Width of a plot, in pixels.
const PLOT_WIDTH: f64 = 680.0;
/// Height of a row, the bar and the gap below it, in pixels.
const ROW_HEIGHT: f64 = 18.0;
/// Width reserved for the names of bars, in pixels.
const NAME_COLUMN_WIDTH: f64 = 170.0;

/// Width reserved for the labels of bars, in pixels.
const LABEL_COLUMN_WIDTH: f64 = 210.0;

struct Bar {
    name: String,
    value: f64,
    label: String,
    is_bad: bool,
}

/// Renders the report with its plots as an HTML page.
#[must_use]
pub fn render_html(report: &BurnReport) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <title>Service levels</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:50em}\
         svg text{font:12px sans-serif}</style><h1>Service levels</h1>",
    );
    page.push_str(&format!("<p>Hosts that answered: {}.</p>", report.hosts));
    page.push_str("<h2>Error budget spent</h2>");
    page.push_str(&plot(&burn_bars(report)));
    page.push_str("<h2>Ends of requests</h2>");
    page.push_str(&plot(&outcome_bars(report)));
    for (kind, buckets) in &report.latency {
        page.push_str(&format!(
            "<h2>Time to the first byte: {}</h2>",
            escape(kind)
        ));
        page.push_str(&plot(&latency_bars(buckets)));
    }
    page.push_str("</html>\n");
    page
}

fn burn_bars(report: &BurnReport) -> Vec<Bar> {
    let bar = |name: String, burn: &Burn| Bar {
        name,
        value: burn.budget_spent,
        label: format!(
            "{:.0} % ({} of {} kept)",
            burn.budget_spent * 100.0,
            burn.good,
            burn.total
        ),
        is_bad: burn.budget_spent > 1.0,
    };
    let mut bars = vec![bar("served".to_owned(), &report.availability)];
    for (kind, burn) in &report.in_time {
        bars.push(bar(format!("{kind} in time"), burn));
    }
    bars
}

fn outcome_bars(report: &BurnReport) -> Vec<Bar> {
    let bars = report.outcomes.iter().map(|(outcome, count)| Bar {
        name: outcome.clone(),
        // A logarithmic scale keeps rare outcomes visible, which matter most.
        value: super::ratio(count + 1, 1).ln(),
        label: count.to_string(),
        is_bad: !super::NON_FAILURE_OUTCOMES.contains(&outcome.as_str()),
    });
    bars.collect()
}

/// Returns one bar for each bucket, with the count of that bucket alone (buckets are cumulative).
fn latency_bars(buckets: &[LatencyBucket]) -> Vec<Bar> {
    let mut previous_count = 0;
    let mut bars = Vec::new();
    for bucket in buckets {
        let count = bucket.count.saturating_sub(previous_count);
        previous_count = bucket.count;
        bars.push(Bar {
            name: if bucket.bound_s.is_finite() {
                format!("up to {} s", bucket.bound_s)
            } else {
                "longer".to_owned()
            },
            value: super::ratio(count, 1),
            label: count.to_string(),
            is_bad: false,
        });
    }
    bars
}

fn plot(bars: &[Bar]) -> String {
    let largest = bars
        .iter()
        .map(|bar| bar.value)
        .fold(f64::EPSILON, f64::max);
    let max_bar_width = PLOT_WIDTH - NAME_COLUMN_WIDTH - LABEL_COLUMN_WIDTH;
    let mut top = 0.0;
    let mut elements = String::new();
    for bar in bars {
        let width = (bar.value / largest * max_bar_width).max(1.0);
        let colour = if bar.is_bad { "#b3402a" } else { "#2a7a8c" };
        let baseline = top + ROW_HEIGHT * 0.7;
        elements.push_str(&format!(
            "<text x=\"0\" y=\"{baseline}\">{}</text>\
             <rect x=\"{NAME_COLUMN_WIDTH}\" y=\"{top}\" width=\"{width:.1}\" height=\"{}\" fill=\"{colour}\"/>\
             <text x=\"{:.1}\" y=\"{baseline}\">{}</text>",
            escape(&bar.name),
            ROW_HEIGHT - 4.0,
            NAME_COLUMN_WIDTH + width + 6.0,
            escape(&bar.label)
        ));
        top += ROW_HEIGHT;
    }
    format!("<svg width=\"{PLOT_WIDTH}\" height=\"{top}\">{elements}</svg>")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
