//! The gateway's external interfaces, as traits that a deployment implements: the shared log, the store of checkpoints,
//! the directories that operators and back ends write to, and the HTTP dialect of callers and back ends.

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

use crate::decoded_size::decoded_json_bytes;
use crate::operations::OperationsApi;

/// A stream of the shared log that nodes write to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LogStream {
    /// Items and results of batches. There are several such streams, numbered from 0.
    Batches(u32),
    /// Records for all nodes: which batches there are, orders to back ends, and back ends that crashed.
    Control,
    /// Slots in use on back ends.
    Occupancy,
    /// Usage of tenants, as each node counts it.
    Usage,
    /// Digest of the directory of back ends, from which nodes follow it.
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
    /// The service could not be reached; nothing was done.
    #[error("the log cannot be reached")]
    Unreachable,
    /// The service refused the call with this HTTP status; nothing was done.
    #[error("the log refused the call with status {0}")]
    Refused(u16),
    /// No answer was received; the call may have been done, or may still be done later.
    #[error("no answer was received from the log")]
    Unknown,
    /// The records asked for were dropped by the log's retention.
    #[error("records before {first} are gone")]
    HistoryDropped {
        /// Offset of the oldest record that the log still has.
        first: u64,
    },
    /// A name is longer than the log can store; nothing was done.
    #[error("the name is too long for the log")]
    NameTooLong,
    /// The answer could not be decoded.
    #[error("the answer of the log could not be decoded")]
    Unreadable,
}

/// HTTP status of the log for a call above its rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status of the log for a call that would wait too long in its queues.
const SERVICE_UNAVAILABLE: u16 = 503;

impl LogError {
    /// Whether the log refused the call because its rate limit is exceeded.
    pub fn is_throttled(self) -> bool {
        self == Self::Refused(TOO_MANY_REQUESTS)
    }

    /// Whether the log refused the call because of its load: by its rate limit or because its queues are too long.
    pub fn is_overloaded(self) -> bool {
        self.is_throttled() || self == Self::Refused(SERVICE_UNAVAILABLE)
    }

    /// Whether it is certain that the call was not done and will not be done later.
    pub fn is_not_done(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Refused(_) | Self::NameTooLong
        )
    }
}

/// Position of an append that the log acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
    /// End of the partition after the append: the offset that its next record gets.
    pub end: u64,
}

/// Records read from a partition.
#[derive(Debug, Clone)]
pub struct LogPage {
    /// Offset of the first of `records`.
    pub from: u64,
    /// End of the partition when it was read: the offset that its next record gets.
    pub end: u64,
    /// Consecutive records, starting at `from`.
    pub records: Vec<Bytes>,
}

/// The log that all nodes share: ordered, partitioned streams of records.
#[async_trait]
pub trait SharedLog: Send + Sync {
    /// Appends records to a partition: all of them or none.
    async fn append(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError>;

    /// Like [`append`](Self::append), for records that take effect once per copy in the log, so that the log's driver
    /// must not retry by itself. A driver gives up early on an append whose outcome it does not learn.
    async fn append_once(
        &self,
        partition: StreamPartition,
        records: Vec<Bytes>,
    ) -> Result<Appended, LogError> {
        self.append(partition, records).await
    }

    /// Reads records from an offset on. If there is none yet, waits up to `wait` for one.
    async fn read(
        &self,
        partition: StreamPartition,
        from: u64,
        wait: Duration,
    ) -> Result<LogPage, LogError>;

    /// Sets the timeout of later reads. It counts in addition to the `wait` of each read.
    fn set_read_timeout(&self, _timeout: Duration) {}
}

/// A key-value store that keeps the newest value of each name without a time limit.
#[async_trait]
pub trait CheckpointStore: Send + Sync {
    /// Sets the value of a name, replacing an earlier one.
    async fn save(&self, name: &str, value: Bytes) -> Result<(), LogError>;

    /// Reads the value of a name; `None` if it was never saved.
    async fn load(&self, name: &str) -> Result<Option<Bytes>, LogError>;
}

/// A directory that operators or back ends write to and that nodes follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryKind {
    /// Configuration, evacuations and named versions, written by operators and trainers.
    Operators,
    /// Entries that back ends write about themselves.
    Backends,
}

/// One entry of a directory.
#[derive(Debug, Clone)]
pub enum DirectoryEntry {
    /// An operator wrote the configuration of routes.
    Routing(RoutingConfig),
    /// A trainer named a version of a model as the one to serve.
    NamedVersion {
        /// Model that the version belongs to.
        model: ModelName,
        /// Version that back ends are to load.
        version: Version,
    },
    /// An operator started or ended the evacuation of a zone. Back ends of an evacuated zone get no new requests.
    Evacuation {
        /// Zone that is concerned.
        zone: ZoneName,
        /// True if the zone is to be evacuated, false if its evacuation ends.
        is_requested: bool,
    },
    /// A back end's entry was written or removed.
    Backend(BackendChange),
    /// An entry under a back end's name that could not be decoded. Whoever wrote it is not known to be a back end.
    UnreadableBackend(BackendName),
    /// Another entry that could not be decoded; the text names it.
    Unreadable(String),
}

/// Changed entries of a directory.
#[derive(Debug, Clone)]
pub struct DirectoryPage {
    /// Changed entries, in the order they were written.
    pub entries: Vec<DirectoryEntry>,
    /// Offset from which later changes can be read.
    pub next: u64,
    /// Number of changes that the directory had after this page when it was read.
    pub remaining: u64,
}

/// One page of a listing. The pages of a listing are read at different times and do not form a snapshot.
#[derive(Debug, Clone)]
pub struct ListingPage {
    /// Newest state of each entry on this page.
    pub entries: Vec<DirectoryEntry>,
    /// Offset from which changes since this page can be read.
    pub end: u64,
    /// Token to pass as `after` for the next page; `None` on the last page.
    pub more: Option<String>,
}

/// Read access to the directories.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads a page of the listing of all entries in their newest state. `after` is the `more` of the previous page,
    /// `None` for the first page.
    async fn list(&self, kind: DirectoryKind, after: Option<&str>)
    -> Result<ListingPage, LogError>;

    /// Reads changes from an offset on: about `max_bytes` of them, but at least one if there is any. If there is none
    /// yet, waits up to `wait` for one.
    async fn changes(
        &self,
        kind: DirectoryKind,
        from: u64,
        wait: Duration,
        max_bytes: u32,
    ) -> Result<DirectoryPage, LogError>;
}

/// Names of the HTTP headers that a dialect uses.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of a request, on requests and on the answers of back ends.
    pub request_id: HeaderName,
    /// Time in milliseconds that remains for a request.
    pub deadline_ms: HeaderName,
    /// Name of the only back end that may run a request; any other one must refuse it.
    pub expected_backend: HeaderName,
    /// Present on an answer if the back end did not run the request.
    pub not_run: HeaderName,
    /// A back end's signature on its answer.
    pub signature: HeaderName,
    /// Version of the weights, on answers and in events.
    pub weight_version: HeaderName,
    /// Urgency with which a back end is to handle a request, 0 to 9.
    pub urgency: HeaderName,
    /// Id of the last event that the client of a resumed stream already has.
    pub last_event_id: HeaderName,
    /// Maximum time in milliseconds that a reader waits for results.
    pub wait_ms: HeaderName,
    /// API key that a caller presents; never forwarded to back ends.
    pub api_key: HeaderName,
    /// Tenant that the presented key belongs to, on requests to back ends.
    pub tenant: HeaderName,
}

/// A call about a submitted batch, on a path that is reserved for such calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchCall {
    /// Read results from a position on.
    Read {
        /// Batch whose results are read.
        batch: BatchId,
        /// Position of the first result wanted.
        from: usize,
    },
    /// Read the body of an item.
    ItemBody {
        /// Batch that the item belongs to.
        batch: BatchId,
        /// Item whose body is read.
        item: ItemId,
    },
    /// End the batch: its unfinished items are not run any more.
    End {
        /// Batch to end.
        batch: BatchId,
    },
    /// A call on a reserved path that cannot be parsed.
    Malformed,
}

/// A page of results for a reader.
#[derive(Debug)]
pub struct ResultPage<'a> {
    /// Number of items of the batch.
    pub total: usize,
    /// Position after the last result of the page, from which the next page is read.
    pub next: usize,
    /// Results of the page, each with its item, in the order of their positions.
    pub results: Vec<(&'a ItemId, &'a ItemResult)>,
}

/// How a back end treats running requests when it loads a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMode {
    /// The back end finishes them before it loads the version.
    Wait,
    /// The back end continues them with the new version.
    Retain,
}

/// An order to a back end to load a version of a model.
#[derive(Debug, Clone)]
pub struct VersionOrder {
    /// Model to load.
    pub model: ModelName,
    /// Version to load.
    pub version: Version,
    /// How the back end treats running requests.
    pub mode: LoadMode,
    /// Name of the node that holds the order lease and sends the order.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Number of orders that the back end must have accepted before this one; `None` if it is unknown.
    pub expected_orders: Option<u64>,
}

/// A back end's report about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendReport {
    /// Version that it serves of each of its models.
    pub models: std::collections::BTreeMap<ModelName, Version>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub orders_taken: u64,
    /// Start time of its process, in milliseconds since the Unix epoch; `None` if it does not report it.
    pub started_at: Option<u64>,
}

/// A submitted batch that cannot be parsed; the text says why.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not a batch: {0}")]
pub struct UnreadableSubmission(pub String);

/// The HTTP dialect of callers and back ends: the headers, paths and bodies that they use.
pub trait Dialect: Send + Sync {
    /// Names of the headers of this dialect.
    fn headers(&self) -> &HeaderNames;

    /// Whether a request to the readiness address is a readiness check.
    fn is_readiness_call(&self, method: &Method, path: &str) -> bool;

    /// Parses a call about a batch; `None` if the path is not reserved for such calls.
    fn batch_call(&self, method: &Method, uri: &Uri) -> Option<BatchCall>;

    /// Estimated memory in bytes that [`Self::read_submission`] takes for a body, and that its result takes until it is
    /// stored.
    fn submission_memory(&self, body: &[u8]) -> usize {
        decoded_json_bytes(body)
    }

    /// Parses a batch that is submitted under an id, from the host, path and body of the request.
    ///
    /// # Errors
    ///
    /// [`UnreadableSubmission`] if the body is not a batch.
    fn read_submission(
        &self,
        batch: BatchId,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, UnreadableSubmission>;

    /// Number of tokens of an item's prompt; zero if the caller does not state it.
    fn prompt_tokens(&self, item: &Item) -> u32;

    /// Upper bound of the bytes that a result takes in a page.
    fn result_bytes(&self, result: &ItemResult) -> usize;

    /// Encodes a page of results as the body of an answer.
    fn write_results(&self, page: &ResultPage<'_>) -> Bytes;

    /// Content type of the bodies that the gateway itself produces.
    fn content_type(&self) -> &'static str;

    /// Builds the request that sends an order to a back end.
    fn order_request(&self, order: &VersionOrder) -> Request<Full<Bytes>>;

    /// Builds the request that asks a back end for its report.
    fn report_request(&self) -> Request<Full<Bytes>>;

    /// Parses a back end's report; `None` if the body is not one.
    fn read_report(&self, body: &[u8]) -> Option<BackendReport>;

    /// Whether an answer states that the back end did not run the request.
    fn is_not_run(&self, status: StatusCode, headers: &http::HeaderMap) -> bool {
        is_misdirected(status) || headers.contains_key(&self.headers().not_run)
    }
}

/// Whether an answer states that another back end than the expected one listens at the address. Each request to a back end
/// names the one that is expected.
pub fn is_misdirected(status: StatusCode) -> bool {
    status == StatusCode::MISDIRECTED_REQUEST
}

/// Implementations of the external interfaces with which a node is started.
pub struct NodeDependencies {
    /// Log that all nodes share.
    pub log: Arc<dyn SharedLog>,
    /// Store for checkpoints of the log's streams.
    pub checkpoints: Arc<dyn CheckpointStore>,
    /// Directories of operators and back ends.
    pub directory: Arc<dyn Directory>,
    /// HTTP dialect of callers and back ends.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's interface for operations; `None` if the platform has none.
    pub operations: Option<Arc<dyn OperationsApi>>,
}

/// A node's clock: milliseconds since the start of its process, including time in which the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: havenstage_clock::Instant,
}

impl NodeClock {
    /// Starts a clock at 1,000 ms, so that a time before the start of the process can be expressed.
    pub fn start() -> Self {
        Self {
            start: havenstage_clock::Instant::now() - Duration::from_secs(1),
        }
    }

    /// Milliseconds since the clock was started, plus 1,000.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }
}
