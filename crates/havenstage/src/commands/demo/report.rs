//! The closing table.

use std::collections::BTreeMap;
use std::fmt::Display;

use comfy_table::{ContentArrangement, Table, presets};

use super::chaos::ChaosRecord;
use super::summary::{LiveSummary, Percentiles, PromiseSummary, SampleSummary, Summary};

/// The summary as tables for people.
pub fn render(summary: &Summary) -> String {
    let facts = facts_table(summary);
    let promises = promises_table(&summary.promises);
    let mut text = format!("{facts}\n{promises}\n");
    for promise in &summary.promises {
        for violation in &promise.violations {
            text.push_str(&format!("  {}: {violation}\n", promise.promise));
        }
    }
    for fault in &summary.recording_faults {
        text.push_str(&format!("  recording fault: {fault}\n"));
    }
    text.push_str(if summary.ok {
        "Every sample was delivered once, and no promise is broken.\n"
    } else {
        "NOT OK: see the counts and promises above.\n"
    });
    text
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(presets::UTF8_FULL_CONDENSED)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_header(header);
    table
}

fn facts_table(summary: &Summary) -> Table {
    let mut table = table(&["counted from records of stand-ins and callers", "result"]);
    let mut row = |name: &str, value: String| {
        table.add_row([name.to_owned(), value]);
    };
    sample_rows(&summary.samples, &mut row);
    let trainer = &summary.trainer;
    row("steps trained", trainer.steps.to_string());
    row(
        "trainer idle",
        format!(
            "{} ms of {} ms ({:.1} %)",
            trainer.idle_ms,
            trainer.idle_ms + trainer.training_ms,
            trainer.idle_share * 100.0
        ),
    );
    row(
        "samples by versions behind the trainer",
        pairs(&trainer.staleness),
    );
    live_rows(&summary.live, &mut row);
    let keys = summary.at_most_once;
    row(
        "at-most-once keys by executions",
        format!(
            "{} keys: once {}, never {}, more than once {}",
            keys.keys, keys.ran_once, keys.ran_never, keys.ran_more
        ),
    );
    if let Some(chaos) = &summary.chaos {
        row("during the run", chaos_text(chaos));
    }
    table
}

fn sample_rows(samples: &SampleSummary, row: &mut impl FnMut(&str, String)) {
    row(
        "samples wanted / delivered",
        format!("{} / {}", samples.wanted, samples.delivered),
    );
    row(
        "samples doubled / lost",
        format!("{} / {}", samples.doubled, samples.lost),
    );
    row("tokens by version", pairs(&samples.tokens_by_version));
    row("segments by version", pairs(&samples.segments_by_version));
    row(
        "samples crossing a version swap",
        samples.crossing_a_swap.to_string(),
    );
    row("attempts dropped, by reason", pairs(&samples.dropped));
    row(
        "finished in the log but not counted",
        samples.set_aside.to_string(),
    );
}

fn live_rows(live: &LiveSummary, row: &mut impl FnMut(&str, String)) {
    row(
        "live requests made / answered / without an answer",
        format!(
            "{} / {} / {}",
            live.requests, live.answered, live.unanswered
        ),
    );
    row("live requests refused, by code", pairs(&live.refused));
    row(
        "calls retried / repeated under a key",
        format!("{} / {}", live.retries, live.repeats),
    );
    row(
        "answers cut / mixed up",
        format!("{} / {}", live.answers_cut, live.answers_mixed_up),
    );
    row(
        "time to first text p50 / p90 / p99",
        percentiles(live.first_text_ms),
    );
    row(
        "time to whole answer p50 / p90 / p99",
        percentiles(live.whole_answer_ms),
    );
}

fn promises_table(promises: &[PromiseSummary]) -> Table {
    let mut table = table(&["promise", "verdict", "facts checked"]);
    for promise in promises {
        table.add_row([
            promise.promise.clone(),
            promise.verdict.clone(),
            promise.facts.to_string(),
        ]);
    }
    table
}

fn percentiles(latency: Percentiles) -> String {
    format!(
        "{:.1} / {:.1} / {:.1} ms",
        latency.p50, latency.p90, latency.p99
    )
}

fn pairs<K: Display, V: Display>(pairs: &BTreeMap<K, V>) -> String {
    if pairs.is_empty() {
        return "none".to_owned();
    }
    let texts: Vec<String> = pairs
        .iter()
        .map(|(key, value)| format!("{key}: {value}"))
        .collect();
    texts.join(", ")
}

fn chaos_text(chaos: &ChaosRecord) -> String {
    let mut texts = Vec::new();
    if let Some(engine) = &chaos.crashed_engine {
        texts.push(format!("engine {engine} crashed"));
    }
    if let Some(engine) = &chaos.drained_engine {
        texts.push(format!("engine {engine} was drained"));
    }
    if let Some(node) = &chaos.stopped_node {
        texts.push(format!("node {node} was stopped as planned"));
    }
    texts.join(", ")
}
