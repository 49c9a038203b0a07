//! A report as tables for the terminal.

use std::collections::{BTreeMap, BTreeSet};

use comfy_table::{Table, presets};

use super::compare::{Comparison, Spread};
use super::report::{LiveReport, Report, TrainingReport};

/// The whole report.
pub fn tables(report: &Report) -> String {
    let mut parts = vec![overview(report)];
    if let Some(training) = &report.training {
        parts.push(steps(training));
    }
    if !report.live.is_empty() {
        parts.push(live(&report.live));
    }
    parts.join("\n") + "\n"
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn overview(report: &Report) -> String {
    let mut table = table(&["measure", "value"]);
    let mut row = |name: &str, value: String| {
        table.add_row([name.to_owned(), value]);
    };
    row(
        "experiment",
        format!(
            "{}, policy {}, seed {}",
            report.name,
            policy(report),
            report.seed
        ),
    );
    row(
        "virtual time",
        format!("{:.1} s, {} faults", report.virtual_s, report.faults),
    );
    if let Some(training) = &report.training {
        training_rows(training, &mut row);
    }
    let swaps = &report.swaps;
    row(
        "all engines on a version",
        format!(
            "longest {:.2} s of {}, unfinished {}",
            swaps.longest_s,
            swaps.seconds.len(),
            swaps.unfinished
        ),
    );
    let decisions = &report.decisions;
    row(
        "placed",
        format!(
            "{} training (mean queue {:.0} ms), {} live",
            decisions.training_placed, decisions.training_mean_queued_ms, decisions.live_placed
        ),
    );
    row(
        "refused, preempted, dropped",
        format!(
            "{}, {}, {}",
            decisions.refused, decisions.preempted, decisions.dropped
        ),
    );
    row(
        "KV preemptions in engines",
        report.engine_preemptions.to_string(),
    );
    let control = &report.control;
    row(
        "control",
        format!(
            "{} datagrams, {} requests, {:.0} B/s a node",
            control.datagrams, control.requests, control.bytes_per_node_second
        ),
    );
    let appends: u64 = report.log.values().map(|counts| counts.appends).sum();
    let bytes: u64 = report.log.values().map(|counts| counts.bytes).sum();
    row(
        "log",
        format!("{appends} appends, {:.1} MB", bytes as f64 / 1e6),
    );
    table.to_string()
}

fn training_rows(training: &TrainingReport, row: &mut impl FnMut(&str, String)) {
    row(
        "step time over bound",
        format!("{:.3}", training.ratio_to_bound),
    );
    row("trainer idle", percent(training.idle_share));
    row(
        "versions behind at commit",
        distribution(&training.staleness_at_commit),
    );
    row(
        "versions behind at delivery",
        distribution(&training.staleness_at_delivery),
    );
    row(
        "past the bound, dropped",
        format!("{}, {}", training.past_bound, distribution(&training.drops)),
    );
    row(
        "tokens wasted",
        format!(
            "{} of {}",
            percent(training.wasted_share),
            training.tokens.generated
        ),
    );
    row(
        "context tokens prefilled",
        training.tokens.prefilled.to_string(),
    );
    row("prefix-cache hits", percent(training.cache.hit_share()));
}

fn distribution<K: std::fmt::Display>(counts: &BTreeMap<K, u64>) -> String {
    let parts: Vec<String> = counts
        .iter()
        .map(|(key, count)| format!("{key}: {count}"))
        .collect();
    if parts.is_empty() {
        return "none".to_owned();
    }
    parts.join(", ")
}

fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}

fn policy(report: &Report) -> String {
    // Policies are named in settings as serde names them.
    serde_json::to_value(report.policy)
        .ok()
        .and_then(|name| name.as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn steps(training: &TrainingReport) -> String {
    let mut table = table(&[
        "step",
        "seconds",
        "bound: work",
        "bound: longest",
        "ratio",
        "tokens",
        "longest",
    ]);
    for (number, step) in training.steps.iter().enumerate() {
        table.add_row([
            number.to_string(),
            format!("{:.2}", step.seconds),
            format!("{:.2}", step.bound.work_s),
            format!("{:.2}", step.bound.longest_s),
            format!("{:.3}", step.ratio),
            step.tokens.to_string(),
            step.longest_tokens.to_string(),
        ]);
    }
    table.to_string()
}

fn live(groups: &[LiveReport]) -> String {
    let mut table = table(&[
        "callers",
        "requests",
        "repeats",
        "unanswered",
        "first p50/p90/p99 ms",
        "total p50/p90/p99/max ms",
    ]);
    for group in groups {
        let (first, total) = (&group.first_text_ms, &group.total_ms);
        table.add_row([
            group.name.clone(),
            group.requests.to_string(),
            group.repeats.to_string(),
            group.unanswered.to_string(),
            format!("{} / {} / {}", first.p50, first.p90, first.p99),
            format!(
                "{} / {} / {} / {}",
                total.p50, total.p90, total.p99, total.max
            ),
        ]);
    }
    table.to_string()
}

/// A comparison: each measure of each variant with its spread over the seeds, and the ratio to the
/// first variant.
pub fn comparison(comparison: &Comparison) -> String {
    let Some(base) = comparison.variants.first() else {
        return String::new();
    };
    let mut header = vec!["measure"];
    header.extend(
        comparison
            .variants
            .iter()
            .map(|variant| variant.name.as_str()),
    );
    let mut table = table(&header);
    let columns: Vec<_> = comparison
        .variants
        .iter()
        .map(|variant| (variant.spreads(), variant.ratios_to(base)))
        .collect();
    let names: BTreeSet<&String> = columns
        .iter()
        .flat_map(|(spreads, _)| spreads.keys())
        .collect();
    for name in names {
        let mut row = vec![name.clone()];
        for (index, (spreads, ratios)) in columns.iter().enumerate() {
            let ratio = ratios.get(name).filter(|_| index > 0);
            row.push(cell(spreads.get(name), ratio));
        }
        table.add_row(row);
    }
    table.to_string() + "\n"
}

fn cell(spread: Option<&Spread>, ratio: Option<&Spread>) -> String {
    let Some(spread) = spread else {
        return "-".to_owned();
    };
    if spread.min == spread.max {
        return single_cell(spread, ratio);
    }
    let value = format!("{:.2} ({:.2}..{:.2})", spread.mean, spread.min, spread.max);
    match ratio {
        Some(ratio) => {
            format!(
                "{value} x{:.2} ({:.2}..{:.2})",
                ratio.mean, ratio.min, ratio.max
            )
        }
        None => value,
    }
}

/// A measure that does not vary over the seeds.
fn single_cell(spread: &Spread, ratio: Option<&Spread>) -> String {
    match ratio {
        Some(ratio) => format!("{:.2} x{:.2}", spread.mean, ratio.mean),
        None => format!("{:.2}", spread.mean),
    }
}
