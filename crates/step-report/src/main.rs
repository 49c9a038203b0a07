//! Reads log lines of gateway nodes from a file or standard input, and prints where the time of each
//! training step went.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

use anyhow::{Context, bail};
use havenstage_step_report::line::LogLine;
use havenstage_step_report::step::Steps;
use havenstage_step_report::table;

const HELP: &str = "havenstage-steps [FILE]

Prints for each training step when it was taken, when its items had begun, when the groups its
trainer waits for were whole, and when it was ended. FILE holds log lines of one or more gateway
nodes in the order of time; without it they are read from standard input. Before a line's JSON
object may stand the seconds since some moment. Lines that are no log lines are passed over.
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
        _ => bail!("one file at most is read; see --help"),
    };
    let mut steps = Steps::default();
    for text in input.lines() {
        if let Ok(line) = LogLine::parse(&text?) {
            steps.take(line);
        }
    }
    print!("{}", table::render(&steps.times()));
    Ok(())
}
