//! The subcommands, one module each.

mod bench;
mod check;
mod ctl;
mod demo;
mod node;
mod serve;
mod simulate;
mod standin;

use std::future::Future;
use std::io::Write;

use crate::arguments::{CommandLine, UsageError};
use crate::exit::Failure;
use crate::help;

/// Runs a command with the rest of the command line.
type Run = fn(CommandLine) -> Result<(), Failure>;

/// Runs the command that the command line names.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let Some(command) = line.word()? else {
        return without_command(line);
    };
    let (text, run): (&str, Run) = match command.as_str() {
        "serve" => (help::SERVE, serve::run),
        "node" => (help::NODE, node::run),
        "ctl" => (help::CTL, ctl::run),
        "standin" => (help::STANDIN, standin::run),
        "check" => (help::CHECK, check::run),
        "simulate" => (help::SIMULATE, simulate::run),
        "bench" => (help::BENCH, bench::run),
        "demo" => (help::DEMO, demo::run),
        _ => return Err(Failure::usage(UsageError::UnknownCommand { command })),
    };
    if line.wants_help() {
        return print(text);
    }
    run(line)
}

fn without_command(mut line: CommandLine) -> Result<(), Failure> {
    if line.wants_help() {
        return print(help::PROGRAM);
    }
    if line.flag("--version") {
        return print(concat!("havenstage ", env!("CARGO_PKG_VERSION"), "\n"));
    }
    line.finish()?;
    Err(Failure::usage(UsageError::MissingWord {
        command: "havenstage",
        choices: "serve, node, ctl, standin, check, demo, simulate, bench",
    }))
}

/// Writes to standard output; unlike `print!` it fails when the reader is gone.
fn print(text: &str) -> Result<(), Failure> {
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Runs a future on a runtime of this thread alone. The allocator keeps freed memory for each thread, so a process that
/// must stay within a machine's memory runs on one.
fn block_on_this_thread<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(future)
}

/// Runs a future on a runtime of all cores.
fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(future)
}
