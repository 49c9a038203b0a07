//! Prompts of the job: the built-in ones, or those of a text file or a file of JSON lines.

use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// Prompts that come with the program.
const BUILT_IN: &str = include_str!("../../../../../demo/prompts.jsonl");
const BUILT_IN_NAME: &str = "demo/prompts.jsonl";

/// File name extensions of JSON lines.
const JSON_LINES_EXTENSIONS: [&str; 2] = ["jsonl", "ndjson"];

/// Bytes that all prompts of a job may have together.
const HIGHEST_BYTES: usize = 1024 * 1024;

/// Why no prompts could be read.
#[derive(Debug, Error)]
pub enum PromptError {
    /// The file could not be read as text.
    #[error("--prompts {}: cannot be read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// The file holds no prompt.
    #[error("--prompts {}: holds no prompt", file.display())]
    Empty {
        /// The file.
        file: PathBuf,
    },
    /// A line is not a JSON object with a prompt.
    #[error("--prompts {}: line {line}: {reason}", file.display())]
    NotAPrompt {
        /// The file.
        file: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// What the parser said.
        reason: serde_json::Error,
    },
    /// The prompts are longer than a job may hold.
    #[error("--prompts {}: {bytes} bytes of prompts, allowed: 1 to {HIGHEST_BYTES}", file.display())]
    TooLong {
        /// The file.
        file: PathBuf,
        /// Bytes found.
        bytes: usize,
    },
}

#[derive(Deserialize)]
struct PromptLine {
    #[serde(alias = "text")]
    prompt: String,
}

/// Reads the prompts of `file`, or the built-in ones.
pub fn read(file: Option<&Path>) -> Result<Vec<String>, PromptError> {
    let Some(file) = file else {
        return json_lines(BUILT_IN, Path::new(BUILT_IN_NAME));
    };
    let text = std::fs::read_to_string(file).map_err(|source| PromptError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    let mut prompts = if is_json_lines(file, &text) {
        json_lines(&text, file)?
    } else {
        paragraphs(&text)
    };
    prompts.retain(|prompt| !prompt.trim().is_empty());
    check_size(prompts, file)
}

fn check_size(prompts: Vec<String>, file: &Path) -> Result<Vec<String>, PromptError> {
    let bytes = prompts.iter().map(String::len).sum();
    let file = file.to_owned();
    if prompts.is_empty() {
        return Err(PromptError::Empty { file });
    }
    if bytes > HIGHEST_BYTES {
        return Err(PromptError::TooLong { file, bytes });
    }
    Ok(prompts)
}

/// Whether the file says so by its extension, or its first line by its form.
fn is_json_lines(file: &Path, text: &str) -> bool {
    let extension = file.extension().and_then(|extension| extension.to_str());
    if extension.is_some_and(|extension| JSON_LINES_EXTENSIONS.contains(&extension)) {
        return true;
    }
    let first = text.lines().find(|line| !line.trim().is_empty());
    first.is_some_and(|line| serde_json::from_str::<PromptLine>(line).is_ok())
}

fn json_lines(text: &str, file: &Path) -> Result<Vec<String>, PromptError> {
    let mut prompts = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let read: PromptLine =
            serde_json::from_str(line).map_err(|reason| PromptError::NotAPrompt {
                file: file.to_owned(),
                line: index + 1,
                reason,
            })?;
        prompts.push(read.prompt);
    }
    Ok(prompts)
}

/// Runs of lines between blank lines.
fn paragraphs(text: &str) -> Vec<String> {
    let lines: Vec<&str> = text.lines().collect();
    lines
        .split(|line| line.trim().is_empty())
        .filter(|paragraph| !paragraph.is_empty())
        .map(|paragraph| paragraph.join("\n"))
        .collect()
}
