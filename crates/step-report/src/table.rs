//! Steps as a table of text.

use std::fmt::Write;

use crate::step::StepTimes;

/// One row a step; times in seconds after the step was taken, `-` where the lines don't tell.
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
            step.taken_s,
            time(step.half_begun),
            time(step.all_begun),
            time(step.whole),
            step.longest_needed,
            step.carried_groups,
            time(step.read),
            time(step.ended),
        );
    }
    text
}

fn time(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |seconds| format!("{seconds:.2}"))
}
