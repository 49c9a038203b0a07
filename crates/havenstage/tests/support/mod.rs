//! Runs the built program.

use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::mpsc;

use serde_json::Value;

/// What the program did.
pub struct Ran {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        let text = |bytes| String::from_utf8(bytes).expect("output is text");
        Self {
            code: output.status.code(),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    }
}

/// Runs the program to its end.
pub fn havenstage(arguments: &[&str]) -> Ran {
    Command::new(env!("CARGO_BIN_EXE_havenstage"))
        .args(arguments)
        .output()
        .expect("the program runs")
        .into()
}

/// A file with this content, in a directory of the test build.
pub fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).expect("the file can be written");
    path
}

/// Reads on after the receiver has gone, so that the process never waits for its reader.
#[allow(dead_code, reason = "some test files only run the program to its end")]
pub fn read_log(output: impl Read + Send + 'static) -> mpsc::Receiver<Value> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let parsed = serde_json::from_str(&line).unwrap_or(Value::String(line));
            let _ = sender.send(parsed);
        }
    });
    receiver
}
