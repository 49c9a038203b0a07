//! Reads log lines of gateway nodes from a file or standard input and prints when each training step
//! reached its phases.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use anyhow::{Context, bail};
use havenstage_step_report::line::LogLine;
use havenstage_step_report::step::Steps;
use havenstage_step_report::table;

const HELP: &str = "havenstage-steps [FILE]

Prints for each training step when its batch was accepted (taken), when its items started (begun),
when the groups that its trainer waits for were complete (whole), and when it ended. FILE contains
log lines of one or more gateway nodes in time order; without FILE they are read from standard
input. A line's JSON object may follow a time in seconds. Lines that are not log lines are skipped.
";

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let rest = arguments.finish();
    let input: Box<dyn BufRead> = match rest.as_slice() {
        [] => Box::new(stdin().lock()),
        [path] if !path.to_string_lossy().starts_with('-') => {
            let file = File::open(path).with_context(|| format!("cannot read {path:?}"))?;
            Box::new(BufReader::new(file))
        }
        _ => bail!("expected at most one file and no options; see --help"),
    };
    let mut steps = Steps::default();
    for text in input.lines() {
        if let Ok(line) = LogLine::parse(&text?) {
            steps.add(line);
        }
    }
    print!("{}", table::render(&steps.times()));
    Ok(())
}
