//! What is measured: a path through the system and a kind of answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The way a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Path {
    /// To the engine, without a node.
    Direct,
    /// Through the node that is the engine's home.
    OneHop,
    /// Through another node, which asks the engine's home for a permit.
    TwoHop,
}

/// How the answer is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    /// As server-sent events, read to the end mark.
    Streamed,
    /// As one JSON body.
    Whole,
    /// As one JSON body of a request that runs at most once, claimed in the log.
    AtMostOnce,
}

/// One thing measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Case {
    /// The way.
    pub path: Path,
    /// The kind of answer.
    pub kind: AnswerKind,
}

impl Case {
    /// What all others are compared with. Engines only stream, so it stands for whole answers too.
    pub const DIRECT: Self = Self::new(Path::Direct, AnswerKind::Streamed);

    /// Cases of the latency measurement.
    pub const LATENCY: [Self; 7] = [
        Self::DIRECT,
        Self::new(Path::OneHop, AnswerKind::Streamed),
        Self::new(Path::TwoHop, AnswerKind::Streamed),
        Self::new(Path::OneHop, AnswerKind::Whole),
        Self::new(Path::TwoHop, AnswerKind::Whole),
        Self::new(Path::OneHop, AnswerKind::AtMostOnce),
        Self::new(Path::TwoHop, AnswerKind::AtMostOnce),
    ];

    /// Cases of the throughput measurement.
    pub const THROUGHPUT: [Self; 5] = [
        Self::DIRECT,
        Self::new(Path::OneHop, AnswerKind::Whole),
        Self::new(Path::TwoHop, AnswerKind::Whole),
        Self::new(Path::OneHop, AnswerKind::Streamed),
        Self::new(Path::TwoHop, AnswerKind::Streamed),
    ];

    const fn new(path: Path, kind: AnswerKind) -> Self {
        Self { path, kind }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Direct => "direct",
            Self::OneHop => "one hop",
            Self::TwoHop => "two hops",
        })
    }
}

impl fmt::Display for AnswerKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Streamed => "streamed",
            Self::Whole => "whole",
            Self::AtMostOnce => "at most once",
        })
    }
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}", self.path, self.kind)
    }
}
