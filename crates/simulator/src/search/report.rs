//! A search's findings as text for people.

use std::fmt;

use super::{Failure, SearchReport};
use crate::search::measures::Measures;

/// Violations of one run that are written out; the rest are counted.
const VIOLATIONS_SHOWN: usize = 4;

impl fmt::Display for SearchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let simulated_s = self.simulated_ms / 1_000;
        writeln!(
            formatter,
            "seeds: {}, failed: {}, simulated: {simulated_s} s",
            self.seeds,
            self.failures.len()
        )?;
        for (seed, reason) in &self.not_run {
            writeln!(formatter, "seed {seed} could not be run: {reason}")?;
        }
        writeln!(formatter, "faults injected:")?;
        for (kind, count) in &self.faults {
            writeln!(formatter, "  {kind:<28} {count:>8}")?;
        }
        writeln!(formatter, "promises: facts checked, violations:")?;
        for (promise, counts) in &self.promises {
            let name = promise.to_string();
            let (facts, violations) = (counts.facts, counts.violations);
            writeln!(formatter, "  {name:<36} {facts:>10} {violations:>6}")?;
        }
        write!(formatter, "{}", self.measures)?;
        self.write_log(formatter)?;
        for failure in &self.failures {
            write!(formatter, "{failure}")?;
        }
        Ok(())
    }
}

impl SearchReport {
    fn write_log(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "log traffic: appends, records, bytes, reads:")?;
        for (kind, counts) in &self.log {
            writeln!(
                formatter,
                "  {kind:<18} {:>9} {:>9} {:>12} {:>10}",
                counts.appends, counts.records, counts.bytes, counts.reads
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Measures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            (
                "accepted change in force everywhere",
                self.config_in_force_ms,
            ),
            ("leaving back end, last new work", self.leaving_last_work_ms),
            ("engines of a dead node moved", self.engines_moved_ms),
            ("partitions of a dead node moved", self.partitions_moved_ms),
        ];
        writeln!(formatter, "longest times:")?;
        for (name, longest_ms) in rows {
            match longest_ms {
                Some(longest_ms) => writeln!(formatter, "  {name:<36} {longest_ms:>7} ms")?,
                None => writeln!(formatter, "  {name:<36} not seen")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "FAILED: {} seed {}", self.deployment, self.seed)?;
        for broken in self.broken.iter().take(VIOLATIONS_SHOWN) {
            writeln!(formatter, "  - {broken}")?;
        }
        let hidden = self.broken.len().saturating_sub(VIOLATIONS_SHOWN);
        if hidden > 0 {
            writeln!(formatter, "  - and {hidden} more")?;
        }
        writeln!(formatter, "  shrunk schedule:")?;
        write!(formatter, "{}", self.schedule)
    }
}
