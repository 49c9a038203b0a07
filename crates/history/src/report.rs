//! The checker's findings as text for people.

use std::fmt;

use crate::checker::{CheckReport, Promise, PromiseReport, Verdict, Violation};

/// Violations of one promise that are written out; the rest are counted.
const VIOLATIONS_SHOWN: usize = 10;

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Kept => "kept",
            Self::Broken => "BROKEN",
            Self::NotExercised => "not exercised",
        })
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} (events", self.reason)?;
        for event in &self.events {
            write!(formatter, " {event}")?;
        }
        formatter.write_str(")")
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.recording_faults {
            writeln!(formatter, "recording fault: {fault}")?;
        }
        if self.unassigned_executions > 0 {
            let count = self.unassigned_executions;
            writeln!(
                formatter,
                "executions that belong to no known call: {count}"
            )?;
        }
        for (promise, report) in &self.promises {
            write_promise(formatter, *promise, report)?;
        }
        Ok(())
    }
}

fn write_promise(
    formatter: &mut fmt::Formatter<'_>,
    promise: Promise,
    report: &PromiseReport,
) -> fmt::Result {
    let verdict = report.verdict();
    writeln!(
        formatter,
        "{verdict:<13}  {promise} (facts: {}, violations: {})",
        report.facts,
        report.violations.len()
    )?;
    for violation in report.violations.iter().take(VIOLATIONS_SHOWN) {
        writeln!(formatter, "  - {violation}")?;
    }
    let hidden = report.violations.len().saturating_sub(VIOLATIONS_SHOWN);
    if hidden > 0 {
        writeln!(formatter, "  - and {hidden} more")?;
    }
    Ok(())
}
