//! Results for people, as tables, or for programs, as JSON.

use std::str::FromStr;

use havenstage_http_api::routes::operators::ChangeAnswer;
use havenstage_types::resource::ResourceKey;
use serde::Serialize;
use thiserror::Error;

use crate::commands::print;
use crate::exit::Failure;

/// How results are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Output {
    /// Tables and sentences.
    #[default]
    People,
    /// One JSON value on a line for each result.
    Json,
}

/// No such way of showing results.
#[derive(Debug, Error)]
#[error("there is no output {output}, allowed: json")]
pub struct UnknownOutput {
    output: String,
}

impl FromStr for Output {
    type Err = UnknownOutput;

    fn from_str(output: &str) -> Result<Self, UnknownOutput> {
        match output {
            "json" => Ok(Self::Json),
            _ => Err(UnknownOutput {
                output: output.to_owned(),
            }),
        }
    }
}

impl Output {
    /// Shows a value; `text` makes its form for people.
    pub fn show<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), Failure> {
        let line = match self {
            Self::People => text(value),
            Self::Json => serde_json::to_string(value)?,
        };
        print(&format!("{line}\n"))
    }

    /// Shows that a change was accepted.
    pub fn accepted(self, what: &str, answer: &ChangeAnswer) -> Result<(), Failure> {
        self.show(answer, |answer| {
            let in_force = match &answer.in_force {
                Some(in_force) if in_force.everywhere => ", in force everywhere",
                _ => "",
            };
            format!("{what} is at revision {}{in_force}", answer.revision)
        })
    }

    /// Shows that nothing had to be changed.
    pub fn unchanged(self, key: &ResourceKey) -> Result<(), Failure> {
        self.show(key, |key| {
            format!("{} {} is in that state already", key.kind, key.name)
        })
    }
}
