//! The node's newest decisions, as it logs them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Fields that name the subject of a decision.
const SUBJECT_FIELDS: [&str; 5] = ["request", "batch", "backend", "engine", "model"];
/// Lines that name a subject and decide nothing.
const NO_DECISIONS: [&str; 1] = ["results_read"];
/// Bytes that a decision counts for besides its fields.
const DECISION_BYTES: usize = 128;
/// Separates a batch from its sample in a subject.
const SAMPLE_SEPARATOR: char = '/';

/// A decision with its inputs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, in milliseconds since the beginning of 1970.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// The inputs, their ages, and the outcome.
    pub fields: BTreeMap<String, Value>,
}

impl Decision {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn bytes(&self) -> usize {
        let fields = self.fields.iter();
        let bytes = fields.map(|(name, value)| name.len() + value.to_string().len());
        DECISION_BYTES + self.event.len() + bytes.sum::<usize>()
    }

    /// Whether it is to be kept.
    fn has_subject(&self) -> bool {
        let mut fields = SUBJECT_FIELDS.iter();
        !NO_DECISIONS.contains(&self.event.as_str())
            && fields.any(|field| self.text(field).is_some_and(|text| !text.is_empty()))
    }
}

/// What an operator asks about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A sample of a batch, written `BATCH/SAMPLE`.
    Sample {
        /// The batch.
        batch: String,
        /// The sample.
        sample: String,
    },
    /// A request, a batch, an engine or a model.
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
    /// Whether a decision is about the subject. Some on a sample name no batch.
    fn is_of(&self, decision: &Decision) -> bool {
        match self {
            Self::Sample { batch, sample } => {
                let of_batch = decision.text("batch");
                decision.text("request") == Some(sample)
                    && of_batch.is_none_or(|of_batch| of_batch == batch)
            }
            Self::Name(name) => {
                let mut fields = SUBJECT_FIELDS.iter();
                fields.any(|field| names(decision.text(field), name))
            }
        }
    }
}

/// Whether a field names a subject; a life of an engine is its name and when it started.
fn names(field: Option<&str>, name: &str) -> bool {
    field.is_some_and(|text| {
        let rest = text.strip_prefix(name);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('@'))
    })
}

/// The newest decisions, up to a bound of bytes.
#[derive(Debug)]
pub struct DecisionRecords {
    most_bytes: usize,
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    decisions: VecDeque<Decision>,
    bytes: usize,
    forgotten: u64,
}

impl DecisionRecords {
    /// None yet; the newest ones are kept up to so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self {
            most_bytes,
            kept: Mutex::default(),
        }
    }

    /// Keeps a decision if it has a subject.
    pub fn keep(&self, decision: Decision) {
        if !decision.has_subject() {
            return;
        }
        let mut kept = self.lock();
        kept.bytes += decision.bytes();
        kept.decisions.push_back(decision);
        while kept.bytes > self.most_bytes
            && let Some(oldest) = kept.decisions.pop_front()
        {
            kept.bytes -= oldest.bytes();
            kept.forgotten += 1;
        }
    }

    /// Decisions about a subject, the oldest first.
    pub fn about(&self, subject: &Subject) -> Vec<Decision> {
        let kept = self.lock();
        let decisions = kept.decisions.iter();
        let about = decisions.filter(|decision| subject.is_of(decision));
        about.cloned().collect()
    }

    /// Decisions that are not kept any more.
    pub fn forgotten(&self) -> u64 {
        self.lock().forgotten
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
