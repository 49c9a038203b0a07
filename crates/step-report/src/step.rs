//! Phase times of training steps, collected from log lines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::line::LogLine;

#[derive(Debug, Clone, Default)]
struct Item {
    group: Option<String>,
    started_s: Option<f64>,
    finished_s: Option<f64>,
    events: u32,
}

/// Data of a step collected from log lines. Times are on the clock of the lines.
#[derive(Debug, Clone, Default)]
struct Step {
    number: Option<u64>,
    desired_groups: usize,
    accepted_s: Option<f64>,
    items: BTreeMap<String, Item>,
    last_read_s: Option<f64>,
    ended_s: Option<f64>,
}

/// Phase times of a step, in seconds after its batch was accepted. A time is `None` if the lines
/// don't show that the step reached the phase.
#[derive(Debug, Clone, PartialEq)]
pub struct StepTimes {
    /// Number of the step; `None` if the lines don't contain it.
    pub number: Option<u64>,
    /// Id of the step's batch.
    pub batch: String,
    /// When the batch was accepted, in seconds on the clock of the lines.
    pub accepted_s: f64,
    /// When half of its items had started.
    pub half_started: Option<f64>,
    /// When all of its items had started.
    pub all_started: Option<f64>,
    /// When as many groups were complete as its trainer waits for, and also all groups carried over
    /// from an earlier step.
    pub groups_complete: Option<f64>,
    /// Number of events of the longest item in the groups that were complete at that time.
    pub longest_needed: u32,
    /// Number of groups carried over from an earlier step.
    pub carried_groups: usize,
    /// When its results were last read before its end.
    pub read: Option<f64>,
    /// When its trainer ended it.
    pub ended: Option<f64>,
}

/// Collects steps from log lines.
#[derive(Debug, Default)]
pub struct Steps {
    steps: BTreeMap<String, Step>,
    groups: HashMap<String, String>,
}

impl Steps {
    /// Adds a line. Lines must be added in time order.
    pub fn add(&mut self, line: LogLine) {
        let Some(batch) = line.batch.clone() else {
            return;
        };
        let step = self.steps.entry(batch).or_default();
        match line.event.as_str() {
            "batch_submitted" if line.status == Some(202) && step.accepted_s.is_none() => {
                step.number = line.step;
                step.desired_groups = line.desired_groups.unwrap_or(0);
                step.accepted_s = Some(line.at_s);
            }
            "run_started" | "output_kept" => {
                let Some(request) = line.request else { return };
                if let Some(group) = line.group {
                    self.groups.insert(request.clone(), group);
                }
                let item = step.items.entry(request.clone()).or_default();
                item.group = self.groups.get(&request).cloned();
                item.started_s.get_or_insert(line.at_s);
            }
            "item_finished" => {
                let Some(request) = line.request else { return };
                let item = step.items.entry(request).or_default();
                item.finished_s.get_or_insert(line.at_s);
                item.events = line.events.unwrap_or(0);
            }
            "results_read" if step.ended_s.is_none() => step.last_read_s = Some(line.at_s),
            "batch_end" if line.status == Some(200) => {
                step.ended_s.get_or_insert(line.at_s);
            }
            _ => {}
        }
    }

    /// Times of the steps whose batch is known to be accepted, in the order of acceptance.
    pub fn times(&self) -> Vec<StepTimes> {
        let mut accepted: Vec<(&String, &Step, f64)> = self
            .steps
            .iter()
            .filter_map(|(batch, step)| Some((batch, step, step.accepted_s?)))
            .collect();
        accepted.sort_by(|left, right| left.2.total_cmp(&right.2));
        let mut earlier_items = BTreeSet::new();
        let mut times = Vec::new();
        for (batch, step, accepted_s) in accepted {
            times.push(step.times(batch, accepted_s, &earlier_items));
            earlier_items.extend(step.items.keys().cloned());
        }
        times
    }
}

#[derive(Debug, Clone, Copy)]
struct Group {
    complete_s: Option<f64>,
    longest_item_events: u32,
    is_carried: bool,
}

impl Step {
    fn times(&self, batch: &str, accepted_s: f64, earlier_items: &BTreeSet<String>) -> StepTimes {
        let groups = self.groups(earlier_items);
        let complete_at = self.completion_time(&groups);
        let longest_needed = groups
            .iter()
            .filter(|group| {
                complete_at.is_some_and(|at| group.complete_s.is_some_and(|own_at| own_at <= at))
            })
            .map(|group| group.longest_item_events)
            .max();
        let mut started: Vec<f64> = self.items.values().filter_map(|i| i.started_s).collect();
        started.sort_by(f64::total_cmp);
        let since = |at: Option<f64>| at.map(|at| at - accepted_s);
        StepTimes {
            number: self.number,
            batch: batch.to_owned(),
            accepted_s,
            half_started: since(started.get(started.len() / 2).copied()),
            all_started: since(started.last().copied()),
            groups_complete: since(complete_at),
            longest_needed: longest_needed.unwrap_or(0),
            carried_groups: groups.iter().filter(|group| group.is_carried).count(),
            read: since(self.last_read_s),
            ended: since(self.ended_s),
        }
    }

    fn groups(&self, earlier_items: &BTreeSet<String>) -> Vec<Group> {
        let mut groups: BTreeMap<Option<&String>, Vec<(&String, &Item)>> = BTreeMap::new();
        for (request, item) in &self.items {
            let members = groups.entry(item.group.as_ref()).or_default();
            members.push((request, item));
        }
        groups
            .values()
            .map(|members| Group {
                complete_s: members
                    .iter()
                    .map(|(_, item)| item.finished_s)
                    .try_fold(f64::MIN, |latest, at| Some(latest.max(at?))),
                longest_item_events: members.iter().map(|(_, i)| i.events).max().unwrap_or(0),
                is_carried: members
                    .iter()
                    .any(|(request, _)| earlier_items.contains(*request)),
            })
            .collect()
    }

    /// When enough groups and all carried-over groups were complete, on the clock of the lines.
    fn completion_time(&self, groups: &[Group]) -> Option<f64> {
        let mut complete: Vec<f64> = groups.iter().filter_map(|group| group.complete_s).collect();
        complete.sort_by(f64::total_cmp);
        let enough = *complete.get(self.desired_groups.checked_sub(1)?)?;
        let mut carried = groups.iter().filter(|group| group.is_carried);
        carried.try_fold(enough, |latest, group| Some(latest.max(group.complete_s?)))
    }
}
