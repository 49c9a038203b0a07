//! Runs seeds, judges them, and shrinks the schedules of those that fail.

pub mod measures;
mod report;
pub mod run;
pub mod shrink;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use havenstage_history::checker::{Promise, PromiseReport};
use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;
use crate::faults::schedule::Schedule;
use crate::world::log::StreamCounts;
use measures::Measures;
use run::{RunOptions, RunOutcome, RunViolation};

/// A run that broke something, in a form to be written to a file and replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Deployment it ran in.
    pub deployment: Deployment,
    /// Its seed.
    pub seed: u64,
    /// What was broken, for people.
    pub broken: Vec<String>,
    /// Its faults.
    pub schedule: Schedule,
}

/// What a search found.
#[derive(Debug, Clone, Default)]
pub struct SearchReport {
    /// Seeds tried.
    pub seeds: u64,
    /// Faults injected, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Facts checked and violations found, by promise.
    pub promises: BTreeMap<Promise, PromiseCounts>,
    /// Runs that broke something, with their schedules shrunk.
    pub failures: Vec<Failure>,
    /// The largest times over all runs.
    pub measures: Measures,
    /// Log traffic of all runs, by kind of stream.
    pub log: BTreeMap<String, StreamCounts>,
    /// Virtual time of all runs, in milliseconds.
    pub simulated_ms: u64,
    /// Seeds that could not be run at all, with the reason.
    pub not_run: BTreeMap<u64, String>,
}

/// What the checker found about one promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PromiseCounts {
    /// Facts checked.
    pub facts: u64,
    /// Violations.
    pub violations: u64,
}

/// How far a search has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchProgress {
    /// Seeds done.
    pub done: u64,
    /// Seeds in all.
    pub total: u64,
    /// Runs that broke something so far.
    pub failures: u64,
}

/// Why a seed could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime did not bring the run to its end.
    #[error(transparent)]
    Runtime(#[from] crate::runtime::RuntimeError),
    /// The world could not be made.
    #[error(transparent)]
    World(#[from] crate::world::WorldError),
}

/// How a search goes.
#[derive(Debug, Clone)]
pub struct SearchOptions {
    /// How each seed is run.
    pub run: RunOptions,
    /// Threads that run seeds, at least one.
    pub threads: usize,
    /// Runs made to shrink one failing schedule, at most.
    pub shrink_runs: u32,
}

impl Default for SearchOptions {
    fn default() -> Self {
        Self {
            run: RunOptions::default(),
            threads: 1,
            shrink_runs: 60,
        }
    }
}

/// Runs seeds on several threads, each in a runtime of its own. `on_progress` is called after each
/// seed.
pub fn search(
    seeds: Range<u64>,
    deployment: Deployment,
    options: &SearchOptions,
    on_progress: &(dyn Fn(SearchProgress) + Sync),
) -> SearchReport {
    let searching = Searching {
        next: AtomicU64::new(seeds.start),
        end: seeds.end,
        total: seeds.end.saturating_sub(seeds.start),
        deployment,
        options,
        report: Mutex::default(),
        on_progress,
    };
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| searching.work());
        }
    });
    let mut report = searching
        .report
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    report.failures.sort_by_key(|failure| failure.seed);
    report
}

struct Searching<'search> {
    next: AtomicU64,
    end: u64,
    total: u64,
    deployment: Deployment,
    options: &'search SearchOptions,
    report: Mutex<SearchReport>,
    on_progress: &'search (dyn Fn(SearchProgress) + Sync),
}

impl Searching<'_> {
    fn work(&self) {
        loop {
            let seed = self.next.fetch_add(1, Ordering::Relaxed);
            if seed >= self.end {
                return;
            }
            let progress = match run::run_seed(seed, self.deployment, &self.options.run) {
                Ok(outcome) => self.take(outcome),
                Err(error) => {
                    let mut report = self.lock();
                    report.not_run.insert(seed, error.to_string());
                    self.progress(&report)
                }
            };
            (self.on_progress)(progress);
        }
    }

    fn take(&self, outcome: RunOutcome) -> SearchProgress {
        let failure = (!outcome.violations.is_empty()).then(|| self.shrink(&outcome));
        let mut report = self.lock();
        report.add(&outcome);
        report.failures.extend(failure);
        self.progress(&report)
    }

    fn shrink(&self, outcome: &RunOutcome) -> Failure {
        let options = &self.options.run;
        let runs = self.options.shrink_runs;
        let schedule = shrink::shrink(self.deployment, outcome, options, runs);
        Failure {
            deployment: self.deployment,
            seed: outcome.seed,
            broken: outcome
                .violations
                .iter()
                .map(RunViolation::to_string)
                .collect(),
            schedule,
        }
    }

    fn progress(&self, report: &SearchReport) -> SearchProgress {
        SearchProgress {
            done: report.seeds + report.not_run.len() as u64,
            total: self.total,
            failures: report.failures.len() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, SearchReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SearchReport {
    fn add(&mut self, outcome: &RunOutcome) {
        self.seeds += 1;
        self.simulated_ms += outcome.simulated_ms;
        for (kind, count) in outcome.schedule.counts() {
            *self.faults.entry(kind.to_owned()).or_default() += count;
        }
        for (promise, findings) in &outcome.check.promises {
            self.promises.entry(*promise).or_default().add(findings);
        }
        self.measures.take_largest(&outcome.measures);
        for (kind, counts) in &outcome.log {
            let sum = self.log.entry(kind.clone()).or_default();
            sum.appends += counts.appends;
            sum.records += counts.records;
            sum.bytes += counts.bytes;
            sum.reads += counts.reads;
        }
    }
}

impl PromiseCounts {
    fn add(&mut self, findings: &PromiseReport) {
        self.facts += findings.facts;
        self.violations += findings.violations.len() as u64;
    }
}
