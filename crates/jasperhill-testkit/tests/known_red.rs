//! Tests of `scripts/known-red`, which reads the list of known failures and rejects malformed or
//! stale entries.

use std::{
    io::Write,
    path::Path,
    process::{Command, Output, Stdio},
};

/// Output of `cargo test -- --list` that the script gets on standard input.
const LISTED_TESTS: &str = "a_test: test\nmodule::another: test\n\n2 tests, 0 benchmarks\n";

/// Runs the script on a list with these entries, with [`LISTED_TESTS`] as the existing tests.
fn run_script(name: &str, entries: &str) -> Output {
    let file = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    std::fs::write(&file, entries).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/known-red");
    let mut process = Command::new("bash")
        .arg(script)
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = process.stdin.take().unwrap();
    input.write_all(LISTED_TESTS.as_bytes()).unwrap();
    drop(input);
    let output = process.wait_with_output().unwrap();
    std::fs::remove_file(&file).unwrap();
    output
}

#[test]
fn prints_the_test_name_of_each_entry() {
    let entries =
        "# comment\n\na_test | run a (seed 1) | fell | 5\nmodule::another | run b | x | 6";
    let output = run_script("good", entries);
    assert!(output.status.success());
    assert_eq!(output.stdout, b"a_test\nmodule::another\n");
    assert!(run_script("empty", "").status.success());
}

#[test]
fn rejects_entries_without_a_matching_test_or_with_wrong_parts() {
    let cases = [
        (
            "renamed",
            "a_tes | run | seen | 5\n",
            "no test named 'a_tes'",
        ),
        (
            "module",
            "another | run | seen | 5\n",
            "no test named 'another'",
        ),
        ("short", "a_test | run | seen\n", "3 parts"),
        ("long", "a_test | run | seen | 5 | 6\n", "5 parts"),
        ("blank", "a_test | | seen | 5\n", "a part is empty"),
        ("old", "a_test, seen at seed 5, 42\n", "1 parts"),
    ];
    for (name, entry, reason) in cases {
        let output = run_script(name, entry);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{name}");
        assert!(error.contains(reason), "{name}: {error}");
    }
}
