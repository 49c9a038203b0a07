//! Settings of `havenstage node`: a file, over which options of the command line stand.

use std::net::SocketAddr;
use std::path::Path;

use havenstage_http_api::HttpApiSettings;
use havenstage_node::settings::NodeSettings;
use havenstage_platform_http::http_client::{HttpClientSettings, InvalidHttpClientSettings};
use havenstage_types::ids::Zone;
use serde::Deserialize;

use crate::arguments::CommandLine;
use crate::exit::Failure;
use crate::logging::LoggingSettings;
use crate::settings::file::{self, SettingsError};

/// The settings file as written.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct NodeFile {
    node: NodeSection,
    platform: PlatformSection,
    behaviour: NodeSettings,
    http: HttpApiSettings,
    http_client: HttpClientSettings,
    logging: LoggingSettings,
}

#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct NodeSection {
    name: Option<String>,
    zone: Option<String>,
    peer_address: Option<SocketAddr>,
    http_address: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
}

#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformSection {
    log: Option<SocketAddr>,
    machines: Option<SocketAddr>,
    scorer: Option<SocketAddr>,
    weights: Option<SocketAddr>,
}

/// Settings of a node, complete and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramSettings {
    /// Name, for people.
    pub name: String,
    /// Zone of the machine.
    pub zone: Zone,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers, trainers and operators.
    pub http_address: SocketAddr,
    /// Peer addresses of nodes to join.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Behaviour of the node.
    pub behaviour: NodeSettings,
    /// Limits of the HTTP interface.
    pub http: HttpApiSettings,
    /// Client towards engines and the platform.
    pub http_client: HttpClientSettings,
    /// The log.
    pub logging: LoggingSettings,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Log service.
    pub log: SocketAddr,
    /// Machine list.
    pub machines: SocketAddr,
    /// Scorer.
    pub scorer: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
}

impl ProgramSettings {
    /// Reads the file that `--config` names and the options that stand over it.
    pub fn read(line: &mut CommandLine) -> Result<Self, Failure> {
        let path = line.path("--config")?;
        let mut settings: NodeFile =
            file::read_or_default(path.as_deref()).map_err(Failure::usage)?;
        override_with_options(&mut settings, line)?;
        complete(settings, path.as_deref()).map_err(Failure::usage)
    }
}

fn override_with_options(settings: &mut NodeFile, line: &mut CommandLine) -> Result<(), Failure> {
    replace(&mut settings.node.name, line.option("--name")?);
    replace(&mut settings.node.zone, line.option("--zone")?);
    replace(
        &mut settings.node.peer_address,
        line.option("--peer-address")?,
    );
    replace(
        &mut settings.node.http_address,
        line.option("--http-address")?,
    );
    replace(&mut settings.platform.log, line.option("--log-address")?);
    replace(
        &mut settings.platform.machines,
        line.option("--machines-address")?,
    );
    replace(
        &mut settings.platform.scorer,
        line.option("--scorer-address")?,
    );
    replace(
        &mut settings.platform.weights,
        line.option("--weights-address")?,
    );
    let seeds = line.options("--seed")?;
    if !seeds.is_empty() {
        settings.node.seeds = seeds;
    }
    Ok(())
}

fn replace<T>(value: &mut Option<T>, option: Option<T>) {
    if option.is_some() {
        *value = option;
    }
}

fn complete(settings: NodeFile, path: Option<&Path>) -> Result<ProgramSettings, SettingsError> {
    let origin = file::origin(path);
    check_ranges(&settings, &origin)?;
    let required = Required { origin: &origin };
    let NodeFile { node, platform, .. } = settings;
    Ok(ProgramSettings {
        name: required.value(node.name, "node.name", "--name")?,
        zone: Zone(required.value(node.zone, "node.zone", "--zone")?),
        peer_address: required.value(node.peer_address, "node.peer_address", "--peer-address")?,
        http_address: required.value(node.http_address, "node.http_address", "--http-address")?,
        seeds: node.seeds,
        platform: required.platform(platform)?,
        behaviour: settings.behaviour,
        http: settings.http,
        http_client: settings.http_client,
        logging: settings.logging,
    })
}

struct Required<'a> {
    origin: &'a str,
}

impl Required<'_> {
    fn value<T>(
        &self,
        value: Option<T>,
        key: &'static str,
        option: &'static str,
    ) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::Missing {
            origin: self.origin.to_owned(),
            key,
            option,
        })
    }

    fn platform(&self, section: PlatformSection) -> Result<PlatformAddresses, SettingsError> {
        Ok(PlatformAddresses {
            log: self.value(section.log, "platform.log", "--log-address")?,
            machines: self.value(section.machines, "platform.machines", "--machines-address")?,
            scorer: self.value(section.scorer, "platform.scorer", "--scorer-address")?,
            weights: self.value(section.weights, "platform.weights", "--weights-address")?,
        })
    }
}

fn check_ranges(settings: &NodeFile, origin: &str) -> Result<(), SettingsError> {
    let out_of_range = |section: &str, key: &str, value: String, allowed: String| {
        Err(SettingsError::OutOfRange {
            origin: origin.to_owned(),
            key: format!("{section}.{key}"),
            value,
            allowed,
        })
    };
    if let Err(invalid) = settings.behaviour.validate() {
        let allowed = invalid.allowed.to_owned();
        return out_of_range("behaviour", invalid.key, invalid.value, allowed);
    }
    if let Err(invalid) = settings.http.validate() {
        let allowed = format!("{} to {}", invalid.lowest, invalid.highest);
        return out_of_range("http", invalid.key, invalid.value.to_string(), allowed);
    }
    if let Err(InvalidHttpClientSettings::Zero { field }) = settings.http_client.validate() {
        let allowed = "1 or more".to_owned();
        return out_of_range("http_client", field, "0".to_owned(), allowed);
    }
    Ok(())
}
