//! Settings of a gateway node, read from a TOML file. Unknown keys are ignored, so that one file can serve several
//! versions of the program.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use havenstage_rollout::fleet_size;
use havenstage_rollout::ids::{MachineName, RegionName, ZoneName};
use havenstage_rollout::residency::RegionMap;
use serde::Deserialize;
use thiserror::Error;

/// All settings of a node.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the node, unique in the deployment and the same after a restart.
    pub node: String,
    /// Zone in which the node runs.
    pub zone: String,
    /// The region of each zone, by zone name. Not needed if requests may be served in any region.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Memory that the process may use, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Number of descriptors that the process may have open; without it the limit of the operating system.
    pub max_descriptors: Option<u32>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Address and limits of the shared log.
    pub log: LogSettings,
    /// The platform's operations API; without it nothing is reported there.
    pub operations: Option<OperationsSettings>,
    /// Times that the environment guarantees or requires.
    pub bounds: BoundSettings,
    /// Timing and limits that the operator may tune.
    #[serde(default)]
    pub tuning: TuningSettings,
}

// Far more than a node needs: the default assumes that the machine runs nothing else.
fn default_memory_mb() -> u32 {
    1_024
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    /// Address for metrics; without it none are served.
    pub metrics: Option<SocketAddr>,
    /// Address for questions of other nodes about batches that this node runs. Without it the node answers none and
    /// announces no address.
    pub peers: Option<SocketAddr>,
    /// The address for peers that the node announces, if it differs from the one that it listens on.
    pub peers_told: Option<SocketAddr>,
    /// Address for datagrams of other nodes, which they send when the log accepts no records from them. Without it the
    /// node learns from other nodes only what is in the log.
    pub datagrams: Option<SocketAddr>,
}

/// Address and limits of the shared log.
#[derive(Debug, Clone, Deserialize)]
pub struct LogSettings {
    /// Address of the log.
    pub address: SocketAddr,
    /// Number of partitions of each stream.
    pub partitions: u32,
    /// Number of streams over whose partitions batches are spread, so that batches that are open at the same time rarely
    /// share a partition. A node that reads one batch then reads few records of others.
    #[serde(default = "default_batch_streams")]
    pub batch_streams: u32,
    /// Largest size of a record, in bytes.
    pub record_bytes: usize,
    /// Largest size of a call to the log, in bytes.
    pub call_bytes: usize,
    /// Read calls per second that all nodes may make together.
    pub reads_per_s: u32,
    /// Megabytes per second that the log delivers to all nodes together.
    #[serde(default = "default_read_mb_per_s")]
    pub read_mb_per_s: f64,
}

impl LogSettings {
    /// Bytes per second that the log delivers to all nodes together.
    pub fn read_bytes_per_s(&self) -> f64 {
        self.read_mb_per_s * BYTES_PER_MB
    }
}

const BYTES_PER_MB: f64 = 1_000_000.0;

// Throughput of the store for which the log was built.
fn default_read_mb_per_s() -> f64 {
    80.0
}

// With 8 partitions or more there are 256 partitions for batches, for about 16 batches that are open at once on the
// largest deployment.
fn default_batch_streams() -> u32 {
    32
}

/// Most streams of batches: the store allows 100 topics, and other streams need some of them.
const MAX_BATCH_STREAMS: u32 = 90;

/// The platform's operations API and what is sent there.
#[derive(Debug, Clone, Deserialize)]
pub struct OperationsSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// Whether the node reports the usage of tenants there.
    #[serde(default)]
    pub metering: bool,
    /// Whether the node requests pool sizes there.
    #[serde(default)]
    pub autoscale: bool,
}

/// Windows in which usage is accounted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeteringSettings {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after a window's end within which its report is due, in milliseconds.
    pub due_ms: u64,
}

/// Times that the environment guarantees or requires.
#[derive(Debug, Clone, Deserialize)]
pub struct BoundSettings {
    /// Seconds from the stop signal until the process is killed.
    pub stop_grace_s: f64,
    /// Milliseconds that must pass between the last order of one holder of the order lease and the first of the next.
    pub order_lease_ms: u64,
    /// Milliseconds for which a node sends no orders after its process or machine was suspended.
    pub order_thaw_ms: u64,
    /// Seconds for which a batch can be read after it was submitted.
    pub retention_s: f64,
    /// Milliseconds after the end of a batch was acknowledged from which none of its items may reach a back end.
    #[serde(default = "default_end_in_force_ms")]
    pub end_in_force_ms: u64,
    /// Milliseconds after a back end's entry says that it drains, or is removed, from which no request may reach it.
    #[serde(default = "default_drain_in_force_ms")]
    pub drain_in_force_ms: u64,
    /// Length of a window in which usage is counted, in seconds; without it nothing is metered.
    pub usage_window_s: Option<f64>,
    /// Seconds after a window's end within which its usage must be reported.
    pub usage_due_s: Option<f64>,
}

fn default_end_in_force_ms() -> u64 {
    3_000
}

// The shortest time for which a back end that drains is known to keep serving.
fn default_drain_in_force_ms() -> u64 {
    2_000
}

/// Timing and limits that the operator may tune.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct TuningSettings {
    /// Milliseconds for which a read call waits for a record.
    pub read_wait_ms: u64,
    /// Milliseconds between two appends of results.
    pub flush_ms: u64,
    /// Milliseconds after which progress is written even if no item has ended.
    pub progress_ms: u64,
    /// Milliseconds between two heartbeats of the holder of a lease.
    pub keep_ms: u64,
    /// Milliseconds without a heartbeat after which other nodes claim a lease.
    pub silence_ms: u64,
    /// Milliseconds over which the claims of several nodes are spread.
    pub spread_ms: u64,
    /// Milliseconds after a start over which nodes spread the announcements of themselves and their addresses. A small
    /// fleet may use less than a large one, whose announcements would overload the log.
    pub announce_ms: u64,
    /// Loads of weights that may be in flight at the same time.
    pub loads_at_once: usize,
    /// Log lines per second, for ordinary lines and for warnings each.
    pub log_lines_per_s: u32,
}

impl Default for TuningSettings {
    fn default() -> Self {
        Self {
            read_wait_ms: 1_500,
            flush_ms: 40,
            progress_ms: 300,
            keep_ms: 300,
            silence_ms: 1_300,
            spread_ms: 300,
            announce_ms: fleet_size::ANNOUNCE_SPREAD.as_millis() as u64,
            loads_at_once: 2,
            log_lines_per_s: 200,
        }
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML with the expected keys and types.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The position in the file and the reason.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{}: {key} is {value}, allowed is {allowed}", path.display())]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// Dotted name of the key.
        key: &'static str,
        /// The value that was given.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Parses and validates settings; `path` only appears in errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|source| SettingsError::Malformed {
            path: path.to_owned(),
            source: Box::new(source),
        })?;
        settings.validate(path)?;
        Ok(settings)
    }

    fn validate(&self, path: &Path) -> Result<(), SettingsError> {
        let at_least_one = "at least 1";
        let whole_numbers = [
            ("log.partitions", u64::from(self.log.partitions)),
            ("log.batch_streams", u64::from(self.log.batch_streams)),
            ("log.record_bytes", self.log.record_bytes as u64),
            ("log.call_bytes", self.log.call_bytes as u64),
            ("log.reads_per_s", u64::from(self.log.reads_per_s)),
            ("memory_mb", u64::from(self.memory_mb)),
            (
                "max_descriptors",
                self.max_descriptors.map_or(u64::MAX, u64::from),
            ),
            ("bounds.end_in_force_ms", self.bounds.end_in_force_ms),
            ("bounds.drain_in_force_ms", self.bounds.drain_in_force_ms),
            ("tuning.read_wait_ms", self.tuning.read_wait_ms),
            ("tuning.flush_ms", self.tuning.flush_ms),
            ("tuning.progress_ms", self.tuning.progress_ms),
            ("tuning.keep_ms", self.tuning.keep_ms),
            ("tuning.silence_ms", self.tuning.silence_ms),
            ("tuning.loads_at_once", self.tuning.loads_at_once as u64),
            (
                "tuning.log_lines_per_s",
                u64::from(self.tuning.log_lines_per_s),
            ),
        ];
        for (key, value) in whole_numbers {
            if value == 0 {
                return Err(out_of_range(path, key, &value, at_least_one));
            }
        }
        if self.log.batch_streams > MAX_BATCH_STREAMS {
            let value = self.log.batch_streams;
            return Err(out_of_range(path, "log.batch_streams", &value, "1 to 90"));
        }
        let seconds = [
            ("bounds.stop_grace_s", Some(self.bounds.stop_grace_s)),
            ("bounds.retention_s", Some(self.bounds.retention_s)),
            ("bounds.usage_window_s", self.bounds.usage_window_s),
            ("bounds.usage_due_s", self.bounds.usage_due_s),
        ];
        let given = seconds
            .into_iter()
            .filter_map(|(key, value)| Some((key, value?)));
        for (key, value) in given {
            if !(value.is_finite() && value >= 0.0) {
                return Err(out_of_range(
                    path,
                    key,
                    &value,
                    "a number of seconds, 0 or more",
                ));
            }
        }
        let read_mb_per_s = self.log.read_mb_per_s;
        if !(read_mb_per_s.is_finite() && read_mb_per_s > 0.0) {
            let allowed = "a number of megabytes a second, more than 0";
            return Err(out_of_range(
                path,
                "log.read_mb_per_s",
                &read_mb_per_s,
                allowed,
            ));
        }
        if self.node.is_empty() {
            return Err(out_of_range(path, "node", &self.node, "a name"));
        }
        Ok(())
    }

    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        u64::from(self.memory_mb) * BYTES_PER_MB as u64
    }

    /// How usage is accounted; `None` unless metering is enabled, a window longer than 0 and a due time are set.
    pub fn metering(&self) -> Option<MeteringSettings> {
        let is_enabled = self.operations.as_ref()?.metering;
        let window_ms = milliseconds(self.bounds.usage_window_s?);
        let due_ms = milliseconds(self.bounds.usage_due_s?);
        (is_enabled && window_ms > 0).then_some(MeteringSettings { window_ms, due_ms })
    }

    /// The region of each zone, as typed names.
    pub fn region_map(&self) -> RegionMap {
        let zones = self.regions.iter();
        zones
            .map(|(zone, region)| {
                let (zone, region) = (zone.as_str(), region.as_str());
                (ZoneName::from(zone), RegionName::from(region))
            })
            .collect()
    }

    /// Time after its start at which a machine checks whether it must announce itself; it differs between machines.
    pub fn announce_delay(&self, machine: &MachineName) -> Duration {
        let default_spread_ms = fleet_size::ANNOUNCE_SPREAD.as_millis() as f64;
        fleet_size::announce_delay(machine)
            .mul_f64(self.tuning.announce_ms as f64 / default_spread_ms)
    }

    /// Time for which a read call waits for a record.
    pub fn read_wait(&self) -> Duration {
        Duration::from_millis(self.tuning.read_wait_ms)
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

fn out_of_range(
    path: &Path,
    key: &'static str,
    value: &dyn std::fmt::Display,
    allowed: &'static str,
) -> SettingsError {
    SettingsError::OutOfRange {
        path: path.to_owned(),
        key,
        value: value.to_string(),
        allowed,
    }
}
