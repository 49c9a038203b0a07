//! The command line: help, version, and how misuse is told.

mod support;

use support::{file, havenstage};

#[test]
fn every_command_has_a_help_text_with_an_example() {
    for arguments in [
        &["--help"][..],
        &["serve", "--help"],
        &["node", "--help"],
        &["ctl", "--help"],
        &["standin", "-h"],
        &["check", "--help"],
        &["bench", "--help"],
    ] {
        let ran = havenstage(arguments);
        assert_eq!(ran.code, Some(0), "{arguments:?}: {}", ran.stderr);
        assert!(
            ran.stdout.contains("example:\n  havenstage "),
            "{arguments:?}"
        );
        assert!(ran.stdout.contains("exit codes: 0"), "{arguments:?}");
    }
}

#[test]
fn the_version_is_told() {
    let ran = havenstage(&["--version"]);
    assert_eq!(
        ran.stdout,
        concat!("havenstage ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

#[test]
fn misuse_exits_with_2_and_says_what_is_wrong() {
    let cases: [(&[&str], &str); 11] = [
        (&[], "node, ctl, standin, check"),
        (&["nodes"], "nodes"),
        (&["node", "--check-config", "--frobnicate"], "node.name"),
        (&["ctl", "status"], "--server"),
        (&["ctl", "--server", "nowhere", "status"], "--server"),
        (&["ctl", "--server", "127.0.0.1:9"], "apply, get"),
        (
            &["ctl", "--server", "127.0.0.1:9", "get", "Pod", "x"],
            "Pod",
        ),
        (
            &["ctl", "--server", "127.0.0.1:9", "get", "Job", "a?b"],
            "a?b",
        ),
        (
            &["ctl", "--server", "127.0.0.1:9", "-o", "yaml", "status"],
            "yaml",
        ),
        (&["ctl", "--server", "127.0.0.1:9", "status", "now"], "now"),
        (&["standin", "log"], "--listen"),
    ];
    for (arguments, expected) in cases {
        let ran = havenstage(arguments);
        assert_eq!(ran.code, Some(2), "{arguments:?}: {}", ran.stderr);
        assert!(
            ran.stderr.contains(expected),
            "{arguments:?}: {}",
            ran.stderr
        );
    }
}

#[test]
fn a_manifest_is_checked_before_any_request() {
    let apply = |name: &str, manifest: &str| {
        let path = file(name, manifest);
        let path = path.to_str().expect("the path is text").to_owned();
        havenstage(&["ctl", "--server", "127.0.0.1:9", "apply", "-f", &path])
    };
    let ran = apply("pool.yaml", "kind: Pool");
    assert_eq!(ran.code, Some(2));
    assert!(ran.stderr.contains("yaml"), "{}", ran.stderr);
    let ran = apply(
        "pool.toml",
        "kind = \"Pool\"\nname = \"p\"\n[spec]\nmodle = \"m\"\n",
    );
    assert_eq!(ran.code, Some(2));
    assert!(ran.stderr.contains("modle"), "{}", ran.stderr);
}

#[test]
fn a_server_out_of_reach_is_a_failure_and_no_unknown_outcome() {
    let ran = havenstage(&["ctl", "--server", "127.0.0.1:1", "status"]);
    assert_eq!(ran.code, Some(1), "{}", ran.stderr);
    assert!(ran.stderr.contains("127.0.0.1:1"), "{}", ran.stderr);
}

#[test]
fn an_empty_history_breaks_no_promise() {
    let path = file("empty.jsonl", "");
    let path = path.to_str().expect("the path is text");
    let ran = havenstage(&["check", path]);
    assert_eq!(ran.code, Some(0), "{}", ran.stderr);
    assert!(ran.stdout.contains("not exercised"), "{}", ran.stdout);
}

#[test]
fn a_history_that_cannot_be_read_is_a_failure_with_the_line() {
    let path = file("broken.jsonl", "\n{}\n");
    let path = path.to_str().expect("the path is text");
    let ran = havenstage(&["check", path]);
    assert_eq!(ran.code, Some(1));
    assert!(ran.stderr.contains("line 2"), "{}", ran.stderr);
}
