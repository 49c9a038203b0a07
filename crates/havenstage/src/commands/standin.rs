//! `havenstage standin`: runs a stand-in of a platform service, or commands a running one.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;
use havenstage_platform_http::http_client::{HttpClient, HttpClientSettings};
use havenstage_standin::server::MISBEHAVE_PATH;
use havenstage_standin::{
    StandinError, engine, log_service, machine_list, scorer, trainer, weight_store,
};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::arguments::{CommandLine, UsageError};
use crate::commands::block_on;
use crate::exit::Failure;
use crate::logging::{self, LoggingSettings};
use crate::settings::file::{self, SettingsError};

const CHOICES: &str = "log, engine, weights, machines, scorer, trainer, misbehave";

/// A stand-in did not take a command.
#[derive(Debug, Error)]
#[error("{address} answered {status}: {body}")]
struct CommandRefused {
    address: SocketAddr,
    status: StatusCode,
    body: String,
}

/// Runs the command.
pub fn run(mut line: CommandLine) -> Result<(), Failure> {
    let Some(service) = line.word()? else {
        return Err(Failure::usage(UsageError::MissingWord {
            command: "standin",
            choices: CHOICES,
        }));
    };
    match service.as_str() {
        "log" => serve(line, log_service::serve),
        "engine" => serve(line, engine::serve),
        "weights" => serve(line, weight_store::serve),
        "machines" => serve(line, machine_list::serve),
        "scorer" => serve(line, scorer::serve),
        "trainer" => serve(line, trainer::serve),
        "misbehave" => misbehave(line),
        _ => Err(Failure::usage(UsageError::UnknownCommand {
            command: format!("standin {service}"),
        })),
    }
}

fn serve<S, F>(
    mut line: CommandLine,
    start: impl FnOnce(TcpListener, S) -> F,
) -> Result<(), Failure>
where
    S: DeserializeOwned + Default,
    F: Future<Output = Result<(), StandinError>>,
{
    let address: SocketAddr = line.required_option("--listen")?;
    let path = line.path("--config")?;
    line.finish()?;
    let settings: S = file::read_or_default(path.as_deref()).map_err(Failure::usage)?;
    let _logger = logging::start(&LoggingSettings::default())?;
    block_on(async move {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot listen on {address}"))?;
        log::info!(address:% = listener.local_addr()?; "stand-in serves");
        start(listener, settings)
            .await
            .map_err(|error| standin_failure(error, path.as_deref()))
    })
}

fn standin_failure(error: StandinError, path: Option<&Path>) -> Failure {
    match error {
        StandinError::Io(error) => Failure::from(error),
        refused => Failure::usage(SettingsError::Refused {
            origin: file::origin(path),
            reason: refused.to_string(),
        }),
    }
}

fn misbehave(mut line: CommandLine) -> Result<(), Failure> {
    let address: SocketAddr = line.required()?;
    let command: String = line.required()?;
    line.finish()?;
    let command: Value = serde_json::from_str(&command)
        .context("the command is not JSON")
        .map_err(Failure::usage)?;
    block_on(async move {
        let client = HttpClient::new(HttpClientSettings::default());
        let answer = client
            .post(address, MISBEHAVE_PATH, &command)
            .await
            .with_context(|| address.to_string())?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(Failure::from(CommandRefused {
            address,
            status: answer.status,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        }))
    })
}
