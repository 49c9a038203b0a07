//! `havenstage ctl`: the operator's tool.

mod action;
mod change;
mod client;
mod output;
mod read;
mod served;
mod table;
mod watch;

use std::net::SocketAddr;
use std::time::Duration;

use havenstage_service::operators::EngineState;
use havenstage_types::resource::EngineDesiredState;

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
            let served_state = match state {
                EngineDesiredState::Active => EngineState::Active,
                EngineDesiredState::Draining => EngineState::Draining,
            };
            if served::is_served(&client).await? {
                let name = engine.as_str();
                return served::set_engine_state(&client, name, served_state, output).await;
            }
            changes.set_engine_state(engine, state, output).await
        }
        Action::Publish { model, version } => changes.publish(model, version, output).await,
        Action::Get { key } => read::get(&client, &key, output).await,
        Action::ApplyServed { manifests } => served::apply(&client, manifests, output).await,
        Action::GetServed { kind, name } => {
            served::get(&client, kind, name.as_deref(), output).await
        }
        Action::WatchServed { kind } => served::watch(&client, kind, output).await,
        Action::DeleteServed { kind, name } => served::delete(&client, kind, &name, output).await,
        Action::List { kind } => read::list(&client, kind, output).await,
        Action::Explain { subject } => {
            if served::is_served(&client).await? {
                return served::explain(&client, &subject, output).await;
            }
            read::explain(&client, &subject, output).await
        }
        Action::Status => read::status(&client, output).await,
        Action::Watch { kind } => watch::watch(&client, kind, output).await,
    }
}
