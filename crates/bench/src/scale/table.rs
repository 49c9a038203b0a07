//! The report as tables for people.

use comfy_table::{Table, presets};

use super::report::{RateReport, ScaleReport, SizeReport};
use super::slopes::Slope;

/// Nodes of the size that the lines are read off at.
const TARGET_NODES: f64 = 380.0;

/// Renders the whole report.
pub fn render(report: &ScaleReport) -> String {
    let mut parts = vec![sizes(report).to_string(), events(report).to_string()];
    parts.extend(report.sizes.iter().filter_map(kinds));
    parts.push(slopes(&report.slopes).to_string());
    parts.join("\n\n")
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn figure(value: Option<f64>, digits: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
}

fn longest(values: &[f64]) -> Option<f64> {
    values.iter().copied().reduce(f64::max)
}

fn size_name(report: &SizeReport) -> String {
    format!("{}/{}", report.size.nodes, report.size.engines)
}

fn sizes(report: &ScaleReport) -> Table {
    let mut table = table(&[
        "nodes/engines",
        "agree s",
        "memory KiB/node",
        "idle cpu %",
        "idle wait %",
        "idle control B/s",
        "highest B/s",
        "log reads/s",
        "change in force s",
        "last applied s",
        "version on all s",
        "death out of views s",
        "engines rehomed s",
        "newcomer in views s",
        "cut apart s",
        "cut joined s",
    ]);
    for size in &report.sizes {
        let idle = size.idle.as_ref();
        let changes = size.config_changes.as_ref();
        let deaths = size.node_death.as_ref();
        let cut = size.zone_cut.as_ref();
        table.add_row([
            size_name(size),
            figure(Some(size.converge_seconds), 1),
            figure(Some(size.memory_bytes_per_node / 1_024.0), 0),
            figure(idle.map(|idle| idle.cpu_percent_per_node), 3),
            figure(idle.map(|idle| idle.cpu_wait_percent_per_node), 3),
            figure(idle.map(|idle| idle.control_bytes_per_second), 0),
            figure(idle.map(|idle| idle.highest_control_bytes_per_second), 0),
            figure(idle.map(|idle| idle.log_reads_per_second), 1),
            figure(
                changes.and_then(|changes| longest(&changes.acknowledged_seconds)),
                2,
            ),
            figure(
                changes.and_then(|changes| longest(&changes.last_applied_seconds)),
                2,
            ),
            figure(
                size.version.map(|version| version.on_all_engines_seconds),
                1,
            ),
            figure(
                deaths.and_then(|deaths| longest(&deaths.out_of_every_view_seconds)),
                1,
            ),
            figure(
                deaths.and_then(|deaths| longest(&deaths.engines_rehomed_seconds)),
                1,
            ),
            figure(
                deaths.and_then(|deaths| longest(&deaths.replacement_in_every_view_seconds)),
                1,
            ),
            figure(cut.map(|cut| cut.sides_apart_seconds), 1),
            figure(cut.map(|cut| cut.joined_again_seconds), 1),
        ]);
    }
    table
}

fn events(report: &ScaleReport) -> Table {
    let mut table = table(&[
        "nodes/engines",
        "event",
        "done",
        "failed",
        "per s",
        "cpu us/event",
        "control B/event",
        "log appends/event",
        "log B/event",
        "median s",
        "p99 s",
        "agreed after s",
    ]);
    for size in &report.sizes {
        let rates = [
            ("config change", size.change_rate.as_ref()),
            ("request", size.requests.as_ref()),
            ("at-most-once request", size.at_most_once_requests.as_ref()),
            ("replacement", size.replacements.as_ref()),
        ];
        for (event, rate) in rates {
            if let Some(rate) = rate {
                table.add_row(event_row(size, event, rate));
            }
        }
        if let Some(step) = &size.training_step {
            let as_rate = RateReport {
                done: step.samples,
                per_second: step.samples as f64 / step.seconds,
                cost: step.cost,
                ..RateReport::default()
            };
            table.add_row(event_row(size, "sample", &as_rate));
        }
    }
    table
}

fn event_row(size: &SizeReport, event: &str, rate: &RateReport) -> Vec<String> {
    let cost = rate.cost;
    let latency = rate.latency_seconds;
    vec![
        size_name(size),
        event.to_owned(),
        rate.done.to_string(),
        rate.failed.to_string(),
        figure(Some(rate.per_second), 2),
        figure(cost.map(|cost| cost.cpu_microseconds), 0),
        figure(cost.map(|cost| cost.control_bytes), 0),
        figure(cost.map(|cost| cost.log_appends), 2),
        figure(cost.map(|cost| cost.log_bytes), 0),
        figure(latency.map(|latency| latency.median), 4),
        figure(latency.map(|latency| latency.p99), 4),
        figure(rate.agreed_after_seconds, 1),
    ]
}

fn kinds(size: &SizeReport) -> Option<String> {
    let idle = size.idle.as_ref()?;
    let mut table = table(&["idle, by kind", "messages/s", "sent B/s", "answer B/s"]);
    for (kind, rate) in &idle.kinds {
        table.add_row([
            format!("{}: {kind:?}", size_name(size)),
            figure(Some(rate.messages_per_second), 3),
            figure(Some(rate.sent_bytes_per_second), 1),
            figure(Some(rate.received_bytes_per_second), 1),
        ]);
    }
    Some(table.to_string())
}

fn slopes(slopes: &[Slope]) -> Table {
    let mut table = table(&["metric", "at 0", "per node", "r^2", "sizes", "line at 380"]);
    for slope in slopes {
        table.add_row([
            format!("{:?}", slope.metric),
            format!("{:.4}", slope.intercept),
            format!("{:.6}", slope.per_node),
            format!("{:.3}", slope.r_squared),
            slope.points.to_string(),
            format!("{:.3}", slope.at(TARGET_NODES)),
        ]);
    }
    table
}
