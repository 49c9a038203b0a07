//! Runs several experiments on the same seeds and sets them side by side.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::thread;

use serde::{Deserialize, Serialize};

use super::error::ExperimentError;
use super::report::{LiveReport, Report};
use super::run;
use super::settings::Experiment;

/// Results of several experiments on the same seeds; the first one is the base of the ratios.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Each experiment with a report for each seed, in the order given.
    pub variants: Vec<Variant>,
}

/// One experiment on all seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Variant {
    /// Name of the experiment.
    pub name: String,
    /// Reports in order of the seeds.
    pub reports: Vec<Report>,
}

/// A measure over several seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Mean over the seeds.
    pub mean: f64,
    /// Smallest.
    pub min: f64,
    /// Largest.
    pub max: f64,
}

/// A measure of one run; its name in tables.
pub type Measures = BTreeMap<String, f64>;

/// Runs every experiment on the seeds `first, first + 1, ..`, where `first` is the base's own
/// seed. For each seed the variants run in the order given, up to `parallel` runs at once; runs do
/// not influence each other's results.
///
/// # Errors
/// The error of the first run that failed.
pub fn compare(
    experiments: &[Experiment],
    seeds: u64,
    parallel: usize,
) -> Result<Comparison, ExperimentError> {
    let first_seed = experiments.first().map_or(0, |experiment| experiment.seed);
    let mut runs = Vec::new();
    for seed in first_seed..first_seed + seeds {
        for (variant, experiment) in experiments.iter().enumerate() {
            let mut experiment = experiment.clone();
            experiment.seed = seed;
            runs.push((variant, experiment));
        }
    }
    let reports = run_all(&runs, parallel)?;
    let mut variants: Vec<Variant> = experiments
        .iter()
        .map(|experiment| Variant {
            name: experiment.name.clone(),
            reports: Vec::new(),
        })
        .collect();
    for ((variant, _), report) in runs.iter().zip(reports) {
        variants[*variant].reports.push(report);
    }
    Ok(Comparison { variants })
}

/// Runs all experiments on a few threads and returns their reports in the order given.
fn run_all(runs: &[(usize, Experiment)], parallel: usize) -> Result<Vec<Report>, ExperimentError> {
    let next = Mutex::new(0..runs.len());
    let reports = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..parallel.max(1) {
            scope.spawn(|| {
                while let Some(index) = take_next(&next) {
                    let report = run(&runs[index].1);
                    lock(&reports).insert(index, report);
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    reports.into_values().collect()
}

fn take_next(next: &Mutex<std::ops::Range<usize>>) -> Option<usize> {
    lock(next).next()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Spread {
    /// The spread of some values; zeros when there are none.
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self {
                mean: 0.0,
                min: 0.0,
                max: 0.0,
            };
        }
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl Variant {
    /// Each measure over all seeds.
    pub fn spreads(&self) -> BTreeMap<String, Spread> {
        let values = collect(self.reports.iter().map(measures));
        values
            .into_iter()
            .map(|(name, values)| (name, Spread::of(&values)))
            .collect()
    }

    /// Each measure over the base's on the same seed; measures that are zero at the base are left
    /// out.
    pub fn ratios_to(&self, base: &Variant) -> BTreeMap<String, Spread> {
        let pairs = self.reports.iter().zip(&base.reports);
        let ratios = collect(pairs.map(|(own, base)| ratios(&measures(own), &measures(base))));
        ratios
            .into_iter()
            .map(|(name, values)| (name, Spread::of(&values)))
            .collect()
    }
}

fn collect(runs: impl Iterator<Item = Measures>) -> BTreeMap<String, Vec<f64>> {
    let mut values: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (name, value) in runs.flatten() {
        values.entry(name).or_default().push(value);
    }
    values
}

fn ratios(own: &Measures, base: &Measures) -> Measures {
    own.iter()
        .filter_map(|(name, value)| {
            let base = base.get(name).filter(|base| **base != 0.0)?;
            Some((name.clone(), value / base))
        })
        .collect()
}

/// The measures of a run that comparisons show.
pub fn measures(report: &Report) -> Measures {
    let mut measures = Measures::new();
    let mut add = |name: &str, value: f64| {
        measures.insert(name.to_owned(), value);
    };
    if let Some(training) = &report.training {
        let steps = &training.steps;
        let seconds: f64 = steps.iter().map(|step| step.seconds).sum();
        add("step time s", seconds / steps.len().max(1) as f64);
        add("step time / bound", training.ratio_to_bound);
        add("trainer idle %", training.idle_share * 100.0);
        add("past bound", training.past_bound as f64);
        add("wasted %", training.wasted_share * 100.0);
        add("prefix hits %", training.cache.hit_share() * 100.0);
        add(
            "behind at delivery",
            mean_behind(&training.staleness_at_delivery),
        );
    }
    add("slowest swap s", report.swaps.longest_s);
    add("preempted", report.decisions.preempted as f64);
    add("refused", report.decisions.refused as f64);
    add("control B/s a node", report.control.bytes_per_node_second);
    for group in &report.live {
        add_live(group, &mut add);
    }
    measures
}

fn add_live(group: &LiveReport, add: &mut impl FnMut(&str, f64)) {
    let name = &group.name;
    add(
        &format!("{name} first p99 ms"),
        group.first_text_ms.p99 as f64,
    );
    add(&format!("{name} total p50 ms"), group.total_ms.p50 as f64);
    add(&format!("{name} total p99 ms"), group.total_ms.p99 as f64);
    add(&format!("{name} unanswered"), group.unanswered as f64);
}

fn mean_behind(staleness: &BTreeMap<u64, u64>) -> f64 {
    let samples: u64 = staleness.values().sum();
    let behind: u64 = staleness.iter().map(|(behind, count)| behind * count).sum();
    behind as f64 / samples.max(1) as f64
}
