//! `havenstage serve`: the gateway in one process, until it is told to stop.

use std::sync::Arc;

use havenstage_gateway::logging;
use havenstage_service::explain::{DecisionRecords, RecordingWriter};
use havenstage_service::settings::{self, ServeSettings};

use crate::arguments::CommandLine;
use crate::commands::{block_on_this_thread, print};
use crate::exit::Failure;

/// Bytes of decisions that are kept for `ctl explain`: some ten thousand of them.
const MOST_DECISION_BYTES: usize = 8 * 1024 * 1024;

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let only_check = line.flag("--check-config");
    let settings = read_settings(&mut line)?;
    line.finish()?;
    if only_check {
        return print("settings ok\n");
    }
    let records = Arc::new(DecisionRecords::new(MOST_DECISION_BYTES));
    let output = logging::writer(settings.log_lines_per_s);
    let writer = RecordingWriter::new(output, records.clone());
    let _logger = logging::start_with(Box::new(writer))?;
    let served =
        block_on_this_thread(async { Ok(havenstage_service::run(&settings, records).await?) });
    logging::wait_until_written();
    served
}

/// The file that `--config` names, and the options that stand over it.
fn read_settings(line: &mut CommandLine) -> Result<ServeSettings, Failure> {
    let mut settings = match line.path("--config")? {
        Some(file) => settings::read(&file).map_err(Failure::usage)?,
        None => ServeSettings::default(),
    };
    let listen = &mut settings.listen;
    if let Some(address) = line.option("--callers")? {
        listen.callers = address;
    }
    if let Some(address) = line.option("--operators")? {
        listen.operators = address;
    }
    if let Some(address) = line.option("--ready")? {
        listen.ready = address;
    }
    Ok(settings)
}
