//! The platform's log service: streams in memory, and a client of it for each node.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_edge::log_service::{LogError, LogService, ReadBatch};
use havenstage_types::ids::{LogOffset, StreamName, streams};
use havenstage_types::peer::RawRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::network::Network;
use super::place::Place;
use super::settings::WorldSettings;
use crate::random::SharedRandom;

/// Bytes an append takes in the log besides its records' own, for the counts.
const RECORD_OVERHEAD_BYTES: u64 = 8;

/// How the log service fails while a fault lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFault {
    /// Connections are refused.
    Refusing,
    /// It answers that it cannot serve.
    Unavailable,
    /// It takes connections but answers nothing, and does nothing.
    Silent,
    /// Every request takes this many milliseconds longer.
    Slow(u64),
    /// It appends, but the answers of this share of appends, in percent, are lost.
    AnswersLost(u8),
}

/// Appends and bytes of the streams of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamCounts {
    /// Append requests that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Bytes appended.
    pub bytes: u64,
    /// Read requests answered.
    pub reads: u64,
}

/// The log service of one world.
#[derive(Debug)]
pub struct SimulatedLog {
    append_time: Duration,
    random: SharedRandom,
    state: Mutex<LogState>,
    appended: Notify,
}

#[derive(Debug, Default)]
struct LogState {
    streams: BTreeMap<StreamName, Vec<Bytes>>,
    counts: BTreeMap<String, StreamCounts>,
    /// When each record of the configuration stream was appended.
    config_appended_at: Vec<Instant>,
    /// Faults by their number.
    faults: BTreeMap<u64, LogFault>,
}

impl SimulatedLog {
    /// An empty log.
    pub fn new(settings: &WorldSettings, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            append_time: settings.platform.append_time,
            random: SharedRandom::new(seed, "log"),
            state: Mutex::default(),
            appended: Notify::new(),
        })
    }

    /// Begins a fault under a number by which it is ended again.
    pub fn begin_fault(&self, number: u64, fault: LogFault) {
        self.lock().faults.insert(number, fault);
    }

    /// Ends the fault of this number.
    pub fn end_fault(&self, number: u64) {
        self.lock().faults.remove(&number);
    }

    /// Ends all faults.
    pub fn end_all_faults(&self) {
        self.lock().faults.clear();
    }

    /// Appends records at once, past all faults, and returns the offset of the first.
    pub fn append_now(&self, stream: &StreamName, records: Vec<Bytes>) -> LogOffset {
        let mut state = self.lock();
        let counts = state.counts.entry(kind_of(stream)).or_default();
        counts.appends += 1;
        counts.records += records.len() as u64;
        counts.bytes += records.iter().map(size_of_record).sum::<u64>();
        if *stream == streams::config() {
            let times = std::iter::repeat_n(Instant::now(), records.len());
            state.config_appended_at.extend(times);
        }
        let stored = state.streams.entry(stream.clone()).or_default();
        let first = LogOffset(stored.len() as u64);
        stored.extend(records);
        drop(state);
        self.appended.notify_waiters();
        first
    }

    /// All records of a stream.
    pub fn records(&self, stream: &StreamName) -> Vec<Bytes> {
        let state = self.lock();
        state.streams.get(stream).cloned().unwrap_or_default()
    }

    /// When the configuration record at `offset` was appended.
    pub fn config_appended_at(&self, offset: LogOffset) -> Option<Instant> {
        let index = usize::try_from(offset.0).ok()?;
        self.lock().config_appended_at.get(index).copied()
    }

    /// What was counted, by kind of stream (the name up to its first number or job).
    pub fn counts(&self) -> BTreeMap<String, StreamCounts> {
        self.lock().counts.clone()
    }

    fn faults(&self) -> Vec<LogFault> {
        self.lock().faults.values().copied().collect()
    }

    fn read_now(&self, stream: &StreamName, from: LogOffset, max_records: usize) -> ReadBatch {
        let state = self.lock();
        let stored = state.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let first = usize::try_from(from.0).map_or(stored.len(), |from| from.min(stored.len()));
        let records = stored[first..]
            .iter()
            .take(max_records)
            .enumerate()
            .map(|(index, payload)| RawRecord {
                offset: LogOffset((first + index) as u64),
                payload: payload.clone(),
            })
            .collect();
        ReadBatch {
            records,
            end: LogOffset(stored.len() as u64),
        }
    }

    async fn read_or_wait(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: Duration,
    ) -> ReadBatch {
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let batch = self.read_now(stream, from, max_records);
            if !batch.records.is_empty() {
                return batch;
            }
            if timeout_at(deadline, appended).await.is_err() {
                return self.read_now(stream, from, max_records);
            }
        }
    }

    /// What the faults in force do to a request as it arrives.
    async fn meet_faults(&self) -> Result<(), LogError> {
        for fault in self.faults() {
            match fault {
                LogFault::Refusing => return Err(LogError::NotSent),
                LogFault::Unavailable => return Err(LogError::Unavailable),
                LogFault::Silent => std::future::pending().await,
                LogFault::Slow(milliseconds) => {
                    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
                }
                LogFault::AnswersLost(_) => {}
            }
        }
        Ok(())
    }

    fn loses_answer(&self) -> bool {
        self.faults().iter().any(|fault| match fault {
            LogFault::AnswersLost(percent) => self.random.chance(f64::from(*percent) / 100.0),
            _ => false,
        })
    }

    fn count_read(&self, stream: &StreamName) {
        let mut state = self.lock();
        state.counts.entry(kind_of(stream)).or_default().reads += 1;
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `claims-3` and `job-tono` are of the kinds `claims` and `job`.
fn kind_of(stream: &StreamName) -> String {
    let name = stream.as_str();
    if name == "config-snapshots" {
        return name.to_owned();
    }
    name.split('-').next().unwrap_or(name).to_owned()
}

fn size_of_record(record: &Bytes) -> u64 {
    record.len() as u64 + RECORD_OVERHEAD_BYTES
}

/// The log as one place reaches it.
#[derive(Debug, Clone)]
pub struct LogClient {
    log: Arc<SimulatedLog>,
    network: Arc<Network>,
    place: Place,
}

impl LogClient {
    /// A client of `log` at `place`.
    pub fn new(log: Arc<SimulatedLog>, network: Arc<Network>, place: Place) -> Self {
        Self {
            log,
            network,
            place,
        }
    }

    /// Sends a request that goes on by itself whatever becomes of its sender, and waits for the
    /// answer.
    async fn exchange<T, F>(&self, patience: Duration, request: F) -> Result<T, LogError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, LogError>> + Send + 'static,
    {
        if self.network.is_cut(self.place, Place::Platform) {
            tokio::time::sleep(self.network.settings().connect_timeout).await;
            if self.network.is_cut(self.place, Place::Platform) {
                return Err(LogError::NotSent);
            }
        }
        let (sender, answer) = oneshot::channel();
        let network = self.network.clone();
        let place = self.place;
        tokio::spawn(async move {
            if !network.carry(place, Place::Platform).await {
                return;
            }
            let result = request.await;
            if network.carry(Place::Platform, place).await {
                // The one who asked may have gone.
                let _ = sender.send(result);
            }
        });
        match timeout(patience, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(LogError::NoAnswer),
        }
    }
}

#[async_trait]
impl LogService for LogClient {
    async fn append(
        &self,
        stream: &StreamName,
        records: Vec<Bytes>,
    ) -> Result<LogOffset, LogError> {
        let log = self.log.clone();
        let stream = stream.clone();
        let request = async move {
            log.meet_faults().await?;
            tokio::time::sleep(log.append_time).await;
            let first = log.append_now(&stream, records);
            if log.loses_answer() {
                return Err(LogError::NoAnswer);
            }
            Ok(first)
        };
        let patience = self.network.settings().request_timeout;
        self.exchange(patience, request).await
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: LogOffset,
        max_records: usize,
        wait: Duration,
    ) -> Result<ReadBatch, LogError> {
        let log = self.log.clone();
        let stream = stream.clone();
        let request = async move {
            log.meet_faults().await?;
            let batch = log.read_or_wait(&stream, from, max_records, wait).await;
            log.count_read(&stream);
            Ok(batch)
        };
        let patience = self.network.settings().request_timeout + wait;
        self.exchange(patience, request).await
    }
}
