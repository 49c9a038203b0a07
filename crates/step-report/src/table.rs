//! Rendering of steps as a text table.

use std::fmt::Write;

use crate::step::StepTimes;

/// Renders one row per step. Times are in seconds after the step's batch was accepted, except the
/// acceptance itself, which is on the clock of the log lines; `-` stands for an unknown time.
pub fn render(steps: &[StepTimes]) -> String {
    let mut text = String::from(
        " step    taken  half begun  all begun  groups whole  longest  came again    read   ended\n",
    );
    for step in steps {
        let number = step.number.map_or("-".to_owned(), |n| n.to_string());
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{number:>5} {:>8.2} {:>11} {:>10} {:>13} {:>8} {:>11} {:>7} {:>7}",
            step.accepted_s,
            format_time(step.half_started),
            format_time(step.all_started),
            format_time(step.groups_complete),
            step.longest_needed,
            step.carried_groups,
            format_time(step.read),
            format_time(step.ended),
        );
    }
    text
}

fn format_time(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |seconds| format!("{seconds:.2}"))
}
