//! Stores the node's most recent decisions, taken from its log lines.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Log fields that name the subject of a decision.
const SUBJECT_FIELDS: [&str; 5] = ["request", "batch", "backend", "engine", "model"];
/// Events that name a subject but are no decisions.
const NON_DECISION_EVENTS: [&str; 1] = ["results_read"];
/// Bytes that a decision counts for in addition to its event and fields.
const DECISION_OVERHEAD_BYTES: usize = 128;
/// Separates a batch from its sample in a subject.
const SAMPLE_SEPARATOR: char = '/';

/// A decision of the node with its inputs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When the node logged the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the logged event.
    pub event: String,
    /// The other fields of the log line: inputs, their ages, and the outcome.
    pub fields: BTreeMap<String, Value>,
}

impl Decision {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn bytes(&self) -> usize {
        let fields = self.fields.iter();
        let bytes = fields.map(|(name, value)| name.len() + value.to_string().len());
        DECISION_OVERHEAD_BYTES + self.event.len() + bytes.sum::<usize>()
    }

    /// Whether the decision names a subject, which is the condition for storing it.
    fn has_subject(&self) -> bool {
        let mut fields = SUBJECT_FIELDS.iter();
        !NON_DECISION_EVENTS.contains(&self.event.as_str())
            && fields.any(|field| self.text(field).is_some_and(|text| !text.is_empty()))
    }
}

/// What an operator asks to have explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A sample of a batch, written `BATCH/SAMPLE`.
    Sample {
        /// Id of the batch.
        batch: String,
        /// Id of the sample.
        sample: String,
    },
    /// Name of a request, a batch, an engine or a model.
    Name(String),
}

impl From<&str> for Subject {
    fn from(text: &str) -> Self {
        match text.split_once(SAMPLE_SEPARATOR) {
            Some((batch, sample)) => Self::Sample {
                batch: batch.to_owned(),
                sample: sample.to_owned(),
            },
            None => Self::Name(text.to_owned()),
        }
    }
}

impl Subject {
    /// Whether a decision is about the subject. A decision about a sample may name no batch; it then
    /// matches the sample in any batch.
    fn is_of(&self, decision: &Decision) -> bool {
        match self {
            Self::Sample { batch, sample } => {
                let decision_batch = decision.text("batch");
                decision.text("request") == Some(sample)
                    && decision_batch.is_none_or(|decision_batch| decision_batch == batch)
            }
            Self::Name(name) => {
                let mut fields = SUBJECT_FIELDS.iter();
                fields.any(|field| is_name_of(decision.text(field), name))
            }
        }
    }
}

/// Whether a field names the subject. A field may also name one incarnation of an engine: the engine's
/// name, `@` and the start time.
fn is_name_of(field: Option<&str>, name: &str) -> bool {
    field.is_some_and(|text| {
        let rest = text.strip_prefix(name);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('@'))
    })
}

/// The most recent decisions, bounded by their size in bytes.
#[derive(Debug)]
pub struct DecisionRecords {
    max_bytes: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    decisions: VecDeque<Decision>,
    bytes: usize,
    forgotten: u64,
}

impl DecisionRecords {
    /// Creates an empty store that drops the oldest decisions when it exceeds `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            kept: Mutex::default(),
        }
    }

    /// Stores a decision if it has a subject.
    pub fn keep(&self, decision: Decision) {
        if !decision.has_subject() {
            return;
        }
        let mut kept = self.lock();
        kept.bytes += decision.bytes();
        kept.decisions.push_back(decision);
        while kept.bytes > self.max_bytes
            && let Some(oldest) = kept.decisions.pop_front()
        {
            kept.bytes -= oldest.bytes();
            kept.forgotten += 1;
        }
    }

    /// Returns the decisions about a subject, the oldest first.
    pub fn about(&self, subject: &Subject) -> Vec<Decision> {
        let kept = self.lock();
        let decisions = kept.decisions.iter();
        let about = decisions.filter(|decision| subject.is_of(decision));
        about.cloned().collect()
    }

    /// Returns the number of decisions that were dropped to stay within the bound.
    pub fn forgotten(&self) -> u64 {
        self.lock().forgotten
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
