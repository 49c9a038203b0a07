//! What the world itself shows after a run: the job's stream, decisions, executions and swaps.

use std::collections::BTreeMap;

use havenstage_emulator::{ExecutionOutcome, ExecutionRecord};
use havenstage_history::event::{EventBody, EventSource};
use havenstage_ledger::staleness::StalenessBound;
use havenstage_simulator::world::World;
use havenstage_types::codec;
use havenstage_types::decision::{Decision, DecisionRecord};
use havenstage_types::ids::{EngineName, VersionNumber, streams};
use havenstage_types::job::{DropReason, JobRecord};
use havenstage_types::resource::PriorityClass;

use super::report::{CacheReport, DecisionCounts, SwapReport, TokenCounts};
use super::resources::{JOB, job_name, pool_of};
use super::settings::PoolRole;

/// What the job's stream shows.
#[derive(Debug, Default)]
pub(super) struct JobStream {
    /// Committed samples by how many versions their oldest token was behind the newest.
    pub staleness: BTreeMap<u64, u64>,
    /// Committed samples past the bound; the ledger does not deliver them.
    pub past_bound: u64,
    /// Tokens of the samples that filled their slots.
    pub delivered_tokens: u64,
    /// Drops by reason.
    pub drops: BTreeMap<String, u64>,
    /// Tokens of dropped samples.
    pub dropped_tokens: u64,
}

/// Reads the job's stream in its order, which is what decides.
pub(super) fn job_stream(world: &World, bound: u64) -> JobStream {
    let mut seen = JobStream::default();
    let mut newest = VersionNumber(0);
    let mut filled = BTreeMap::new();
    for payload in world.log().records(&streams::job(&job_name())) {
        match codec::decode::<JobRecord>(&payload) {
            Ok(JobRecord::VersionPublished(version)) => newest = newest.max(version),
            Ok(JobRecord::SampleCommitted(sample)) => {
                let Some(oldest) = sample.segments.oldest() else {
                    continue;
                };
                let latest = sample
                    .segments
                    .0
                    .iter()
                    .map(|segment| segment.version)
                    .max();
                newest = newest.max(latest.unwrap_or(oldest));
                if StalenessBound(bound).is_too_stale(oldest, newest) {
                    seen.past_bound += 1;
                    continue;
                }
                let behind = newest.0.saturating_sub(oldest.0);
                if filled.insert(sample.id.clone(), ()).is_none() {
                    *seen.staleness.entry(behind).or_default() += 1;
                    seen.delivered_tokens += u64::from(sample.segments.token_count());
                }
            }
            Ok(JobRecord::SampleDropped(dropped)) => {
                *seen.drops.entry(reason(&dropped.reason)).or_default() += 1;
                seen.dropped_tokens += u64::from(dropped.wasted_tokens);
            }
            Ok(_) | Err(_) => {}
        }
    }
    seen
}

fn reason(reason: &DropReason) -> String {
    let name = match reason {
        DropReason::TooStale { .. } => "too_stale",
        DropReason::SlotFilled => "slot_filled",
        DropReason::StepNotOpen => "step_not_open",
        DropReason::EngineFailed(_) => "engine_failed",
        DropReason::ScorerFailed => "scorer_failed",
        DropReason::JobDeleted => "job_deleted",
        DropReason::Malformed => "malformed",
        DropReason::RulesChanged => "rules_changed",
    };
    name.to_owned()
}

/// Counts the decisions that the nodes sent to the log.
pub(super) fn decisions(world: &World) -> DecisionCounts {
    let mut counts = DecisionCounts::default();
    let mut queued_ms = 0;
    for shard in 0..world.settings().node.decision_shards {
        for payload in world.log().records(&streams::decisions(shard)) {
            let batch: Vec<DecisionRecord> = codec::decode(&payload).unwrap_or_default();
            for record in batch {
                count(&mut counts, &mut queued_ms, &record.decision);
            }
        }
    }
    if counts.training_placed > 0 {
        counts.training_mean_queued_ms = queued_ms as f64 / counts.training_placed as f64;
    }
    counts
}

fn count(counts: &mut DecisionCounts, queued_ms: &mut u64, decision: &Decision) {
    match decision {
        Decision::Placed {
            class: PriorityClass::Training,
            queued_ms: waited,
            ..
        } => {
            counts.training_placed += 1;
            *queued_ms += waited;
        }
        Decision::Placed { .. } => counts.live_placed += 1,
        Decision::Refused(_) => counts.refused += 1,
        Decision::Dropped { .. } => counts.dropped += 1,
        Decision::Preempted { .. } => counts.preempted += 1,
        _ => {}
    }
}

/// What the engines ran, live and training apart.
#[derive(Debug, Default)]
pub(super) struct Executions {
    pub training: TokenCounts,
    pub training_cache: CacheReport,
    pub live_cache: CacheReport,
    /// Times a sequence lost its KV memory inside an engine.
    pub engine_preemptions: u64,
    /// Prompt tokens of finished samples.
    pub prompt_tokens: u32,
}

/// Sums up the engines' own records.
pub(super) fn executions(world: &World) -> Executions {
    let mut seen = Executions::default();
    let job = format!("{JOB}/");
    for engine in world.engines() {
        engine.with_model(|model| {
            for record in model.executions() {
                seen.add(record, record.subject.starts_with(&job));
            }
            if engine.identity().pool == pool_of(world, PoolRole::Trained).name {
                seen.training.prefilled += model.prefilled_tokens();
            }
        });
    }
    seen
}

impl Executions {
    fn add(&mut self, record: &ExecutionRecord, is_training: bool) {
        self.engine_preemptions += u64::from(record.preemptions);
        let cache = if is_training {
            self.training.generated += u64::from(record.tokens);
            self.training.executions += 1;
            self.training.resumed += u64::from(record.resumed_tokens);
            &mut self.training_cache
        } else {
            &mut self.live_cache
        };
        if record.outcome == ExecutionOutcome::Finished {
            cache.prompt_tokens += u64::from(record.prompt_tokens);
            cache.cached_tokens += u64::from(record.cached_tokens);
            if is_training {
                self.prompt_tokens = self.prompt_tokens.max(record.prompt_tokens);
            }
        }
    }
}

/// Time from each publication until the last engine of the trained pool had that version or a
/// later one; versions that not all engines reached are counted apart.
pub(super) fn swaps(world: &World, published: &[(VersionNumber, u64)]) -> SwapReport {
    let loaded = loaded_versions(world);
    let engines = trained_engines(world);
    let mut report = SwapReport::default();
    for (version, published_ms) in published {
        let reached: Option<Vec<u64>> = engines
            .iter()
            .map(|engine| first_reached(&loaded, engine, *version, *published_ms))
            .collect();
        match reached {
            Some(times) => {
                let last = times.into_iter().max().unwrap_or(*published_ms);
                report.seconds.push((last - published_ms) as f64 / 1e3);
            }
            None => report.unfinished += 1,
        }
    }
    report.longest_s = report.seconds.iter().copied().fold(0.0, f64::max);
    report
}

type Loads = BTreeMap<EngineName, Vec<(u64, VersionNumber)>>;

fn first_reached(
    loaded: &Loads,
    engine: &EngineName,
    version: VersionNumber,
    published_ms: u64,
) -> Option<u64> {
    loaded
        .get(engine)?
        .iter()
        .find(|(at_ms, loaded)| *at_ms >= published_ms && *loaded >= version)
        .map(|(at_ms, _)| *at_ms)
}

fn trained_engines(world: &World) -> Vec<EngineName> {
    let pool = &pool_of(world, PoolRole::Trained).name;
    let engines = world.engines().into_iter();
    engines
        .filter(|engine| engine.identity().pool == *pool)
        .map(|engine| engine.identity().name.clone())
        .collect()
}

fn loaded_versions(world: &World) -> Loads {
    let mut loaded = Loads::new();
    for event in world.recorder().events() {
        if let (EventSource::Engine(engine), EventBody::EngineVersionCurrent(current)) =
            (event.source, event.body)
        {
            let load = (event.at_ms, current.version);
            loaded.entry(engine).or_default().push(load);
        }
    }
    loaded
}
