//! The list of known failures is read exactly: `scripts/known-red`.

use std::{
    io::Write,
    path::Path,
    process::{Command, Output, Stdio},
};

const TESTS: &str = "a_test: test\nmodule::another: test\n\n2 tests, 0 benchmarks\n";

/// Reads a list with these entries, where there are the tests above.
fn read(name: &str, entries: &str) -> Output {
    let file = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    std::fs::write(&file, entries).unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts/known-red");
    let mut reader = Command::new("bash")
        .arg(script)
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = reader.stdin.take().unwrap();
    input.write_all(TESTS.as_bytes()).unwrap();
    drop(input);
    let output = reader.wait_with_output().unwrap();
    std::fs::remove_file(&file).unwrap();
    output
}

#[test]
fn known_failures_are_named_exactly() {
    let entries =
        "# comment\n\na_test | run a (seed 1) | fell | 5\nmodule::another | run b | x | 6";
    let output = read("good", entries);
    assert!(output.status.success());
    assert_eq!(output.stdout, b"a_test\nmodule::another\n");
    assert!(read("empty", "").status.success());
}

#[test]
fn a_known_failure_without_a_test_or_a_part_is_an_error() {
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
        let output = read(name, entry);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{name}");
        assert!(error.contains(reason), "{name}: {error}");
    }
}
