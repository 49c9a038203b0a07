//! Settings of a gateway node, as a TOML file. Unknown keys are passed over, so that one file may
//! serve several versions of the program.

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

/// All settings.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the node.
    pub node: String,
    /// Zone it stands in.
    pub zone: String,
    /// The region of each zone; where requests may be served everywhere it is not needed.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Megabytes of memory that the process may use.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The shared log.
    pub log: LogSettings,
    /// The platform's interface for operations; without it nothing is reported there.
    pub operations: Option<OperationsSettings>,
    /// Times that the surroundings promise or ask for.
    pub bounds: BoundSettings,
    /// Choices of the operator.
    #[serde(default)]
    pub tuning: TuningSettings,
}

/// Where nothing is said of it: far more than a node needs, so that it must be a machine of its own.
fn default_memory_mb() -> u32 {
    1_024
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Metrics; none are served without it.
    pub metrics: Option<SocketAddr>,
    /// Other nodes' questions about batches that this one runs; without it none are answered, and others are told
    /// of no address.
    pub peers: Option<SocketAddr>,
    /// The address that others are told, where it is not the one listened on.
    pub peers_told: Option<SocketAddr>,
    /// Datagrams of other nodes, which tell what the log does not take from them; without it nodes tell each other
    /// only what stands in the log.
    pub datagrams: Option<SocketAddr>,
}

/// The shared log.
#[derive(Debug, Clone, Deserialize)]
pub struct LogSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Partitions of each stream.
    pub partitions: u32,
    /// Streams over whose partitions batches are spread, so that hardly two batches that are open at
    /// the same time share a partition: whoever reads one then reads little of others.
    #[serde(default = "default_batch_streams")]
    pub batch_streams: u32,
    /// Most bytes of a record.
    pub record_bytes: usize,
    /// Most bytes of a call.
    pub call_bytes: usize,
    /// Reading calls a second that all nodes may make together.
    pub reads_per_s: u32,
    /// Megabytes a second that it gives to all nodes together.
    #[serde(default = "default_read_mb_per_s")]
    pub read_mb_per_s: f64,
}

impl LogSettings {
    /// Bytes a second that it gives to all nodes together.
    pub fn read_bytes_per_s(&self) -> f64 {
        self.read_mb_per_s * BYTES_PER_MB
    }
}

const BYTES_PER_MB: f64 = 1_000_000.0;

/// What the users' store gives.
fn default_read_mb_per_s() -> f64 {
    80.0
}

/// With 8 partitions or more, 256 places: some 16 batches are open at once on the largest deployment.
fn default_batch_streams() -> u32 {
    32
}

/// Most streams of batches: the users' store keeps 100 topics, and some are for other things.
const MOST_BATCH_STREAMS: u32 = 90;

/// The platform's interface for operations.
#[derive(Debug, Clone, Deserialize)]
pub struct OperationsSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Whether the usage of tenants is reported there.
    #[serde(default)]
    pub metering: bool,
    /// Whether sizes of pools are ordered there.
    #[serde(default)]
    pub autoscale: bool,
}

/// How usage is accounted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeteringSettings {
    /// Length of a window in milliseconds.
    pub window_ms: u64,
    /// Milliseconds after a window's end within which its report is due.
    pub due_ms: u64,
}

/// Times that the surroundings promise or ask for.
#[derive(Debug, Clone, Deserialize)]
pub struct BoundSettings {
    /// Seconds from the signal to stop until the process is killed.
    pub stop_grace_s: f64,
    /// Milliseconds that must lie between the orders of two holders.
    pub order_lease_ms: u64,
    /// Milliseconds after a thaw in which a node gives no orders.
    pub order_thaw_ms: u64,
    /// Seconds that a batch can be read after it was handed in.
    pub retention_s: f64,
    /// Milliseconds after the end of a batch was acknowledged from which on none of its items may
    /// reach a back end.
    #[serde(default = "default_end_in_force_ms")]
    pub end_in_force_ms: u64,
    /// Seconds of a window in which usage is counted; nothing is metered without it.
    pub usage_window_s: Option<f64>,
    /// Seconds after a window's end within which its usage must be reported.
    pub usage_due_s: Option<f64>,
}

fn default_end_in_force_ms() -> u64 {
    3_000
}

/// Choices of the operator.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct TuningSettings {
    /// Milliseconds that a reading call waits for a record.
    pub read_wait_ms: u64,
    /// Milliseconds between two appends of results.
    pub flush_ms: u64,
    /// Milliseconds after which progress is written though no item has ended.
    pub progress_ms: u64,
    /// Milliseconds between two signs of life of the holder of a lease.
    pub keep_ms: u64,
    /// Milliseconds without a sign of life after which others claim a lease.
    pub silence_ms: u64,
    /// Milliseconds over which claims of several nodes are spread.
    pub spread_ms: u64,
    /// Milliseconds after a start within which nodes announce themselves and their addresses. A small fleet may do so
    /// sooner than the users' store could bear of a large one.
    pub announce_ms: u64,
    /// Loads of weights that may be under way together.
    pub loads_at_once: usize,
    /// Log lines a second.
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

/// Settings that cannot be used.
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
    /// The file is not TOML of the expected shape.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where and why.
        source: Box<toml::de::Error>,
    },
    /// A value is outside its range.
    #[error("{}: {key} is {value}, allowed is {allowed}", path.display())]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Reads and checks a text; `path` is only named in errors.
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
            ("bounds.end_in_force_ms", self.bounds.end_in_force_ms),
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
        if self.log.batch_streams > MOST_BATCH_STREAMS {
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

    /// Bytes of memory that the process may use.
    pub fn memory_bytes(&self) -> u64 {
        u64::from(self.memory_mb) * BYTES_PER_MB as u64
    }

    /// How usage is accounted, where the operator asks for that.
    pub fn metering(&self) -> Option<MeteringSettings> {
        let is_asked = self.operations.as_ref()?.metering;
        let window_ms = milliseconds(self.bounds.usage_window_s?);
        let due_ms = milliseconds(self.bounds.usage_due_s?);
        (is_asked && window_ms > 0).then_some(MeteringSettings { window_ms, due_ms })
    }

    /// The region of each zone.
    pub fn region_map(&self) -> RegionMap {
        let zones = self.regions.iter();
        zones
            .map(|(zone, region)| {
                let (zone, region) = (zone.as_str(), region.as_str());
                (ZoneName::from(zone), RegionName::from(region))
            })
            .collect()
    }

    /// Time after its start at which a machine looks whether it has to announce itself.
    pub fn announce_delay(&self, machine: &MachineName) -> Duration {
        let usual = fleet_size::ANNOUNCE_SPREAD.as_millis() as f64;
        fleet_size::announce_delay(machine).mul_f64(self.tuning.announce_ms as f64 / usual)
    }

    /// How long a reading call waits for a record.
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
