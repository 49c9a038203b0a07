//! What the gateway needs of its surroundings, as traits: the shared log, the directory that
//! operators and back ends write to, and the dialect in which callers and back ends speak.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use havenstage_rollout::Millis;
use havenstage_rollout::backend::BackendChange;
use havenstage_rollout::batch::{Item, Submission};
use havenstage_rollout::batch_state::ItemResult;
use havenstage_rollout::ids::{BackendName, BatchId, ItemId, ModelName, Version, ZoneName};
use havenstage_rollout::route::RoutingConfig;
use http::header::HeaderName;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use thiserror::Error;

use crate::operations::OperationsApi;

/// The streams that nodes write to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LogStream {
    /// Batches and their results; there are several streams of them, numbered from 0.
    Batches(u32),
    /// Which batches there are, and orders to back ends.
    Control,
    /// Places that are taken on back ends.
    Occupancy,
    /// What each node has counted of the requests of tenants.
    Usage,
    /// The digest of the directory of back ends.
    BackendDigest,
}

/// A partition of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamPartition {
    /// The stream.
    pub stream: LogStream,
    /// Number of the partition, from 0.
    pub partition: u32,
}

impl fmt::Display for StreamPartition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.stream {
            LogStream::Batches(number) => write!(formatter, "batches {number}/{}", self.partition),
            LogStream::Control => write!(formatter, "control"),
            LogStream::Occupancy => write!(formatter, "occupancy"),
            LogStream::Usage => write!(formatter, "usage {}", self.partition),
            LogStream::BackendDigest => write!(formatter, "digest of back ends"),
        }
    }
}

/// Why a call to the log or the directory failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LogError {
    /// It could not be reached; nothing was done.
    #[error("the log cannot be reached")]
    Unreachable,
    /// It refused the call; nothing was done.
    #[error("the log refused the call with status {0}")]
    Refused(u16),
    /// No answer came; the call may have been done, or may be done later.
    #[error("no answer came from the log")]
    Unknown,
    /// The records asked for are gone; `first` is the oldest one kept.
    #[error("records before {first} are gone")]
    HistoryDropped {
        /// Offset of the oldest record kept.
        first: u64,
    },
    /// A name is longer than the log can keep; nothing was done.
    #[error("the name is too long for the log")]
    NameTooLong,
    /// The answer could not be understood.
    #[error("the log answered with something unreadable")]
    Unreadable,
}

/// Status by which the log says that too many calls are made.
const TOO_MANY_REQUESTS: u16 = 429;
/// Status by which the log says that calls would wait too long in its queues.
const SERVICE_UNAVAILABLE: u16 = 503;

impl LogError {
    /// Whether the log refused the call because too many are made.
    pub fn is_throttled(self) -> bool {
        self == Self::Refused(TOO_MANY_REQUESTS)
    }

    /// Whether the log refused the call as it has more to do than it can.
    pub fn is_overloaded(self) -> bool {
        self.is_throttled() || self == Self::Refused(SERVICE_UNAVAILABLE)
    }

    /// Whether it is certain that nothing was done and nothing will be.
    pub fn is_not_done(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Refused(_) | Self::NameTooLong
        )
    }
}

/// An append that was acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: u64,
    /// End of the partition after it.
    pub end: u64,
}

/// Records read from a partition.
#[derive(Debug, Clone)]
pub struct LogPage {
    /// Offset of the first of `records`.
    pub from: u64,
    /// End of the partition when it was read.
    pub end: u64,
    /// The records.
    pub records: Vec<Bytes>,
}

/// The shared log.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Appends records to a partition, all or nothing.
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError>;

    /// The same for records that count each time they stand there, so that the log's driver must not
    /// send them again by itself. An append that cannot be told from a lost one is given up early.
    async fn append_once(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        self.append(partition, records).await
    }

    /// Reads records from an offset on; waits up to `wait` for one.
    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError>;

    /// From now on a read is given up after so long without an answer, besides the time that it is asked to wait.
    fn set_read_timeout(&self, _timeout: Duration) {}
}

/// Newest values by name, which are kept for good.
#[async_trait]
pub trait CheckpointStore: Send + Sync {
    /// Replaces the value of a name.
    async fn save(&self, name: &str, value: Bytes) -> Result<(), LogError>;

    /// The value of a name, if there is one.
    async fn load(&self, name: &str) -> Result<Option<Bytes>, LogError>;
}

/// The directories that others write and nodes follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryKind {
    /// Configuration and named versions, by operators and trainers.
    Operators,
    /// Back ends, by themselves.
    Backends,
}

/// One entry of a directory.
#[derive(Debug, Clone)]
pub enum DirectoryEntry {
    /// The configuration of routes.
    Routing(RoutingConfig),
    /// A trainer named a version of a model.
    NamedVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: Version,
    },
    /// An operator wants a zone's back ends to get nothing new, or does not any more.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether it is to be evacuated.
        is_requested: bool,
    },
    /// A back end's entry changed.
    Backend(BackendChange),
    /// An entry of a back end that could not be read: nobody that is known to be one wrote it.
    UnreadableBackend(BackendName),
    /// An entry that could not be read; the text names it.
    Unreadable(String),
}

/// Entries of a directory that changed.
#[derive(Debug, Clone)]
pub struct DirectoryPage {
    /// The entries, in the order they were written.
    pub entries: Vec<DirectoryEntry>,
    /// Offset from which later changes can be read.
    pub next: u64,
    /// Changes that were there behind these.
    pub remaining: u64,
}

/// One page of a listing; pages are no snapshot.
#[derive(Debug, Clone)]
pub struct ListingPage {
    /// The entries.
    pub entries: Vec<DirectoryEntry>,
    /// Offset from which changes since this page can be read.
    pub end: u64,
    /// Where the next page begins, if there is one.
    pub more: Option<String>,
}

/// The directories.
#[async_trait]
pub trait Directory: Send + Sync {
    /// A page of the newest of all entries, from where an earlier page said.
    async fn list(&self, kind: DirectoryKind, after: Option<&str>)
    -> Result<ListingPage, LogError>;

    /// Changes from an offset on, some `most_bytes` of them and at least one; waits up to `wait` for one.
    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        most_bytes: u32,
    ) -> Result<DirectoryPage, LogError>;
}

/// Names of headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request; answers of back ends carry it too.
    pub request_id: HeaderName,
    /// Milliseconds that remain for a request.
    pub deadline_ms: HeaderName,
    /// The only back end that may run a request.
    pub expected_backend: HeaderName,
    /// Set on an answer that says that the request did not run.
    pub not_run: HeaderName,
    /// A back end's signature on its answer.
    pub signature: HeaderName,
    /// Version of the weights, on answers and in events.
    pub weight_version: HeaderName,
    /// How urgent a back end is to take a request, 0 to 9.
    pub urgency: HeaderName,
    /// Last event that a resumed stream already has.
    pub last_event_id: HeaderName,
    /// How long a reader wants to wait.
    pub wait_ms: HeaderName,
    /// The key that a caller presents; never passed on.
    pub api_key: HeaderName,
    /// The tenant whose key was presented, as back ends are told.
    pub tenant: HeaderName,
}

/// A call that concerns batches and goes by a path of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Read results from a position on.
    Read {
        /// Batch.
        batch: BatchId,
        /// Position of the first result wanted.
        from: usize,
    },
    /// Read the body of an item.
    ItemBody {
        /// Batch.
        batch: BatchId,
        /// Item.
        item: ItemId,
    },
    /// End the batch.
    End {
        /// Batch.
        batch: BatchId,
    },
    /// One of these paths, but not a call that can be understood.
    Malformed,
}

/// A page of results for a reader.
#[derive(Debug)]
pub struct ResultPage<'a> {
    /// Items of the batch.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: Vec<(&'a ItemId, &'a ItemResult)>,
}

/// What becomes of running requests while a version is loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMode {
    /// They end first.
    Wait,
    /// They go on under the new version.
    Retain,
}

/// An order to load a version.
#[derive(Debug, Clone)]
pub struct VersionOrder {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: Version,
    /// What becomes of running requests.
    pub mode: LoadMode,
    /// Name of the holder of the lease.
    pub holder: String,
    /// The holder's fencing token.
    pub fence: u64,
    /// Orders the back end must have taken so far, if known.
    pub expected_orders: Option<u64>,
}

/// What a back end reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Versions of its models.
    pub models: std::collections::BTreeMap<ModelName, Version>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders it has taken.
    pub orders_taken: u64,
    /// When its process started, in milliseconds since the beginning of 1970, if it tells that.
    pub started_at: Option<u64>,
}

/// A submission that cannot be read; the text says why.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a batch: {0}")]
pub struct UnreadableSubmission(pub String);

/// The dialect of callers and back ends.
pub trait Dialect: Send + Sync {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Whether a request on the readiness address asks for readiness.
    fn is_readiness_call(&self, method: &Method, path: &str) -> bool;

    /// The call on batches that a path names, if it is one.
    fn batch_call(&self, method: &Method, uri: &Uri) -> Option<BatchCall>;

    /// Reads a batch that is handed in.
    fn read_submission(
        &self,
        batch: BatchId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, UnreadableSubmission>;

    /// Tokens of an item's prompt; zero if its caller doesn't tell.
    fn prompt_tokens(&self, item: &Item) -> u32;

    /// Bytes that a result takes in a page, at most.
    fn result_bytes(&self, result: &ItemResult) -> usize;

    /// Writes a page of results.
    fn write_results(&self, page: &ResultPage<'_>) -> Bytes;

    /// Content type of bodies that the gateway writes itself.
    fn content_type(&self) -> &'static str;

    /// The request that gives an order.
    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>>;

    /// The request that asks a back end for its report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Reads a report.
    fn read_report(&self, body: &[u8]) -> Option<BackendReport>;

    /// Whether an answer says that the request did not run.
    fn is_not_run(&self, status: StatusCode, headers: &http::HeaderMap) -> bool {
        status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&self.headers().not_run)
    }
}

/// What a node is put together from.
pub struct NodeDependencies {
    /// The shared log.
    pub log: Arc<dyn SharedLog>,
    /// Checkpoints of its streams.
    pub checkpoints: Arc<dyn CheckpointStore>,
    /// The directories.
    pub directory: Arc<dyn Directory>,
    /// The dialect of callers and back ends.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's interface for operations, where there is one.
    pub operations: Option<Arc<dyn OperationsApi>>,
}

/// Milliseconds of the process on the clock that counts suspended time.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: havenstage_clock::Instant,
}

impl NodeClock {
    /// A clock that starts at 1,000 ms, so that "long ago" can be expressed.
    pub fn start() -> Self {
        Self {
            start: havenstage_clock::Instant::now() - Duration::from_secs(1),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }
}
