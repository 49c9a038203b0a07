//! The times of a step, gathered from log lines.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::line::LogLine;

/// An item of a step.
#[derive(Debug, Clone, Default)]
struct Item {
    group: Option<String>,
    started_s: Option<f64>,
    finished_s: Option<f64>,
    events: u32,
}

/// A step as the lines tell of it.
#[derive(Debug, Clone, Default)]
struct Step {
    number: Option<u64>,
    desired: usize,
    taken_s: Option<f64>,
    items: BTreeMap<String, Item>,
    last_read_s: Option<f64>,
    ended_s: Option<f64>,
}

/// When what happened in a step, in seconds after it was taken.
#[derive(Debug, Clone, PartialEq)]
pub struct StepTimes {
    /// Number of the step, if the lines tell it.
    pub number: Option<u64>,
    /// Its batch.
    pub batch: String,
    /// When it was taken, on the clock of the lines.
    pub taken_s: f64,
    /// When half of its items had begun.
    pub half_begun: Option<f64>,
    /// When all of its items had begun.
    pub all_begun: Option<f64>,
    /// When as many groups were whole as its trainer waits for, and all that came again from an
    /// earlier step.
    pub whole: Option<f64>,
    /// Events of the longest item that this waited for.
    pub longest_needed: u32,
    /// Groups that came again from an earlier step.
    pub carried_groups: usize,
    /// When its results were last read before its end.
    pub read: Option<f64>,
    /// When its trainer ended it.
    pub ended: Option<f64>,
}

/// Gathers the steps of many lines.
#[derive(Debug, Default)]
pub struct Steps {
    steps: BTreeMap<String, Step>,
    groups: HashMap<String, String>,
}

impl Steps {
    /// Takes a line, in the order of time.
    pub fn take(&mut self, line: LogLine) {
        let Some(batch) = line.batch.clone() else {
            return;
        };
        let step = self.steps.entry(batch).or_default();
        match line.event.as_str() {
            "batch_submitted" if line.status == Some(202) && step.taken_s.is_none() => {
                step.number = line.step;
                step.desired = line.desired_groups.unwrap_or(0);
                step.taken_s = Some(line.at_s);
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

    /// The steps whose begin is known, in its order.
    pub fn times(&self) -> Vec<StepTimes> {
        let mut taken: Vec<(&String, &Step, f64)> = self
            .steps
            .iter()
            .filter_map(|(batch, step)| Some((batch, step, step.taken_s?)))
            .collect();
        taken.sort_by(|left, right| left.2.total_cmp(&right.2));
        let mut seen = BTreeSet::new();
        let mut times = Vec::new();
        for (batch, step, taken_s) in taken {
            times.push(step.times(batch, taken_s, &seen));
            seen.extend(step.items.keys().cloned());
        }
        times
    }
}

/// A group of a step.
#[derive(Debug, Clone, Copy)]
struct Group {
    whole_s: Option<f64>,
    longest: u32,
    is_carried: bool,
}

impl Step {
    fn times(&self, batch: &str, taken_s: f64, seen: &BTreeSet<String>) -> StepTimes {
        let groups = self.groups(seen);
        let whole = self.whole(&groups);
        let longest_needed = groups
            .iter()
            .filter(|group| whole.is_some_and(|at| group.whole_s.is_some_and(|own| own <= at)))
            .map(|group| group.longest)
            .max();
        let mut begun: Vec<f64> = self.items.values().filter_map(|i| i.started_s).collect();
        begun.sort_by(f64::total_cmp);
        let since = |at: Option<f64>| at.map(|at| at - taken_s);
        StepTimes {
            number: self.number,
            batch: batch.to_owned(),
            taken_s,
            half_begun: since(begun.get(begun.len() / 2).copied()),
            all_begun: since(begun.last().copied()),
            whole: since(whole),
            longest_needed: longest_needed.unwrap_or(0),
            carried_groups: groups.iter().filter(|group| group.is_carried).count(),
            read: since(self.last_read_s),
            ended: since(self.ended_s),
        }
    }

    fn groups(&self, seen: &BTreeSet<String>) -> Vec<Group> {
        let mut groups: BTreeMap<Option<&String>, Vec<(&String, &Item)>> = BTreeMap::new();
        for (request, item) in &self.items {
            let members = groups.entry(item.group.as_ref()).or_default();
            members.push((request, item));
        }
        groups
            .values()
            .map(|members| Group {
                whole_s: members
                    .iter()
                    .map(|(_, item)| item.finished_s)
                    .try_fold(f64::MIN, |latest, at| Some(latest.max(at?))),
                longest: members.iter().map(|(_, i)| i.events).max().unwrap_or(0),
                is_carried: members.iter().any(|(request, _)| seen.contains(*request)),
            })
            .collect()
    }

    /// When enough groups were whole, and all that came again.
    fn whole(&self, groups: &[Group]) -> Option<f64> {
        let mut whole: Vec<f64> = groups.iter().filter_map(|group| group.whole_s).collect();
        whole.sort_by(f64::total_cmp);
        let enough = *whole.get(self.desired.checked_sub(1)?)?;
        let mut carried = groups.iter().filter(|group| group.is_carried);
        carried.try_fold(enough, |latest, group| Some(latest.max(group.whole_s?)))
    }
}
