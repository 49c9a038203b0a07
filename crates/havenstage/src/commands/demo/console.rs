//! What is told while the demonstration runs, on standard error: a progress bar on a terminal,
//! plain lines otherwise.

use std::io::{IsTerminal, Write};

use indicatif::{ProgressBar, ProgressStyle};

const STYLE: &str = "{bar:40} {pos}/{len} samples  {msg}  {elapsed}";

/// Updates between two plain lines.
const PLAIN_EVERY: u64 = 20;

/// Tells what happens.
pub struct Console {
    bar: Option<ProgressBar>,
}

impl Console {
    /// A console for a run of `samples` samples.
    pub fn new(samples: u64) -> Self {
        let bar = std::io::stderr().is_terminal().then(|| bar(samples));
        Self { bar }
    }

    /// Tells something.
    pub fn say(&self, text: &str) {
        match &self.bar {
            Some(bar) => bar.println(text),
            // Standard error may be closed; there is nobody left to tell then.
            None => drop(writeln!(std::io::stderr(), "{text}")),
        }
    }

    /// Shows how far the run has come; `update` counts the updates.
    pub fn progress(&self, update: u64, delivered: u64, wanted: u64, message: &str) {
        match &self.bar {
            Some(bar) => {
                bar.set_position(delivered);
                bar.set_message(message.to_owned());
            }
            None if update.is_multiple_of(PLAIN_EVERY) => {
                self.say(&format!("  {delivered}/{wanted} samples  {message}"));
            }
            None => {}
        }
    }

    /// Takes the bar away.
    pub fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

fn bar(samples: u64) -> ProgressBar {
    let bar = ProgressBar::new(samples);
    if let Ok(style) = ProgressStyle::with_template(STYLE) {
        bar.set_style(style);
    }
    bar
}
