//! `havenstage ctl`: the operator's tool.

mod action;
mod change;
mod client;
mod output;
mod read;
mod table;
mod watch;

use std::net::SocketAddr;
use std::time::Duration;

use crate::arguments::CommandLine;
use crate::commands::block_on;
use crate::exit::Failure;

use action::Action;
use client::ApiClient;
use output::Output;

const DEFAULT_RETRY_SECONDS: u64 = 60;

/// Options that all actions share.
struct Options {
    server: SocketAddr,
    output: Output,
    change: ChangeOptions,
}

/// Options of changes.
pub struct ChangeOptions {
    /// Whether to wait until a change is in force everywhere.
    pub wait: bool,
    /// Id of an earlier change that is repeated.
    pub change_id: Option<String>,
    /// How long a change with unknown outcome is repeated.
    pub retry_for: Duration,
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    // The action's words come last, so options are read first wherever they stand.
    let options = Options::read(&mut line)?;
    let action = Action::read(&mut line)?;
    line.finish()?;
    block_on(perform(options, action))
}

impl Options {
    fn read(line: &mut CommandLine) -> Result<Self, Failure> {
        let retry_seconds = line.option("--retry-for")?.unwrap_or(DEFAULT_RETRY_SECONDS);
        Ok(Self {
            server: line.required_option("--server")?,
            output: line.option("-o")?.unwrap_or_default(),
            change: ChangeOptions {
                wait: line.flag("--wait"),
                change_id: line.option("--change-id")?,
                retry_for: Duration::from_secs(retry_seconds),
            },
        })
    }
}

async fn perform(options: Options, action: Action) -> Result<(), Failure> {
    let client = ApiClient::new(options.server);
    let output = options.output;
    let changes = change::Changes::new(&client, &options.change);
    match action {
        Action::Apply { manifests } => changes.apply(manifests, output).await,
        Action::Delete { key } => changes.delete(key, output).await,
        Action::SetEngineState { engine, state } => {
            changes.set_engine_state(engine, state, output).await
        }
        Action::Publish { model, version } => changes.publish(model, version, output).await,
        Action::Get { key } => read::get(&client, &key, output).await,
        Action::GetKnown { kind } => read::get_known(&client, kind, output).await,
        Action::List { kind } => read::list(&client, kind, output).await,
        Action::Explain { subject } => read::explain(&client, &subject, output).await,
        Action::Status => read::status(&client, output).await,
        Action::Watch { kind } => watch::watch(&client, kind, output).await,
    }
}
