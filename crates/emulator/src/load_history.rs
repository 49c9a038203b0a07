//! Past load reports, so that the present answer can lag behind the truth.

use std::collections::VecDeque;
use std::time::Duration;

use havenstage_types::engine::LoadReport;

use crate::clock::EngineTime;

/// Load reports with the time from which each was true.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    reports: VecDeque<(EngineTime, LoadReport)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration, now: EngineTime, first: LoadReport) -> Self {
        Self {
            lag,
            reports: VecDeque::from([(now, first)]),
        }
    }

    /// Notes that `report` is true from `now` on.
    pub(crate) fn push(&mut self, now: EngineTime, report: LoadReport) {
        let unchanged = self.reports.back().is_some_and(|(_, last)| *last == report);
        if !unchanged {
            self.reports.push_back((now, report));
        }
        while self.reports.len() > 1 && self.reports[1].0 + self.lag <= now {
            self.reports.pop_front();
        }
    }

    /// What was true one lag before `now`, or the oldest known.
    pub(crate) fn lagging(&self, now: EngineTime) -> Option<&LoadReport> {
        self.reports
            .iter()
            .rev()
            .find(|(since, _)| *since + self.lag <= now)
            .or(self.reports.front())
            .map(|(_, report)| report)
    }
}
