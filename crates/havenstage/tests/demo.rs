//! The demonstration as a process: what it counts, and how misuse is told.

mod support;

use serde_json::Value;
use support::{Ran, file, havenstage};

/// Promises whose verdict depends on no time.
const TIMELESS: [&str; 4] = [
    "true versions",
    "staleness bound",
    "exactly once to the trainer",
    "at most once",
];

fn summary(ran: &Ran) -> Value {
    serde_json::from_str(&ran.stdout).unwrap_or_else(|error| panic!("{error}: {}", ran.stderr))
}

fn verdict<'a>(summary: &'a Value, promise: &str) -> &'a str {
    let promises = summary["promises"].as_array().expect("a list");
    let found = promises.iter().find(|found| found["promise"] == promise);
    found.expect("it is judged")["verdict"]
        .as_str()
        .expect("text")
}

fn require_whole(ran: &Ran, summary: &Value, samples: u64) {
    assert_eq!(summary["samples"]["wanted"], samples);
    assert_eq!(summary["samples"]["delivered"], samples, "{summary}");
    assert_eq!(summary["samples"]["doubled"], 0);
    assert_eq!(summary["samples"]["lost"], 0);
    assert_eq!(summary["live"]["answers_cut"], 0);
    assert_eq!(summary["live"]["answers_mixed_up"], 0);
    assert_eq!(summary["at_most_once"]["ran_more"], 0);
    assert_eq!(
        summary["recording_faults"].as_array().map(Vec::len),
        Some(0)
    );
    for promise in TIMELESS {
        assert_eq!(verdict(summary, promise), "kept", "{promise}: {summary}");
    }
    let code = if summary["ok"] == true { 0 } else { 1 };
    assert_eq!(ran.code, Some(code), "{summary}");
}

#[test]
fn a_job_over_the_prompts_of_a_text_file_is_delivered_once() {
    let prompts = file(
        "demo-paragraphs.txt",
        "Remind the household\nkindly.\n\n  \nConfirm the slot.\n\n",
    );
    let prompts = prompts.to_str().expect("the path is text");
    let arguments = [
        "demo",
        "--steps",
        "2",
        "--samples",
        "8",
        "--json",
        "--prompts",
        prompts,
    ];
    let ran = havenstage(&arguments);
    assert!(
        ran.stderr.contains(": 2 prompts, 2 steps of 8 samples"),
        "{}",
        ran.stderr
    );
    require_whole(&ran, &summary(&ran), 16);
}

#[test]
fn a_crash_a_drain_and_a_planned_stop_lose_and_double_nothing() {
    let arguments = ["demo", "--deployment", "po-valley", "--chaos", "--json"];
    let ran = havenstage(&[&arguments[..], &["--steps", "4", "--samples", "16"]].concat());
    let summary = summary(&ran);
    require_whole(&ran, &summary, 64);
    assert_eq!(summary["chaos"]["crashed_engine"], "modelli-rotta-1");
    assert_eq!(summary["chaos"]["drained_engine"], "modelli-rotta-2");
    assert_eq!(summary["chaos"]["stopped_node"], "node-3");
}

#[test]
fn wrong_options_and_prompt_files_exit_with_2() {
    let empty = file("demo-empty.txt", " \n\n");
    let not_json = file("demo-not-json.jsonl", "{\"text\": \"a\"}\nplain\n");
    let not_text = file("demo-no-prompts.jsonl", "{\"answer\": 1}\n");
    let path = |path: &std::path::Path| path.to_str().expect("the path is text").to_owned();
    let (empty, not_json, not_text) = (path(&empty), path(&not_json), path(&not_text));
    let cases: [(&[&str], &str); 9] = [
        (&["--prompts", "nowhere.txt"], "nowhere.txt: cannot be read"),
        (&["--prompts", &empty], "holds no prompt"),
        (&["--prompts", &not_json], "line 2"),
        (&["--prompts", &not_text], "line 1: missing field `prompt`"),
        (&["--steps", "0"], "--steps is 0, allowed: 1 to 1000"),
        (&["--samples", "6"], "--samples is 6, allowed: 4 to 4096"),
        (&["--samples", "many"], "--samples"),
        (&["--deployment", "atlantis"], "cobrasur, po-valley"),
        (&["--frobnicate"], "--frobnicate"),
    ];
    for (arguments, expected) in cases {
        let ran = havenstage(&[&["demo"], arguments].concat());
        assert_eq!(ran.code, Some(2), "{arguments:?}: {}", ran.stderr);
        assert!(
            ran.stderr.contains(expected),
            "{arguments:?}: {}",
            ran.stderr
        );
    }
}

#[test]
fn the_help_text_names_every_option() {
    let ran = havenstage(&["demo", "--help"]);
    assert_eq!(ran.code, Some(0));
    for option in [
        "--deployment",
        "--prompts",
        "--steps",
        "--samples",
        "--chaos",
        "--hold",
        "--json",
        "exit codes: 0",
        "example:\n  havenstage demo",
    ] {
        assert!(ran.stdout.contains(option), "{option}");
    }
}
