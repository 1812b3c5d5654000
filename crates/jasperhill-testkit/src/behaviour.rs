//! Comparison of the controllers' behaviour with an earlier version: runs a fixed set of scenarios
//! and compares the digests of their transcripts with recorded ones.

use crate::{
    days::behaviour_days,
    runner::{run_in_parallel, run_recorded},
    scenario::Scenario,
    transcript::{CHECKPOINT_INTERVAL, DayDigest},
};
use std::collections::BTreeMap;

/// Digests by scenario name.
pub type Digests = BTreeMap<String, DayDigest>;

/// A line of a digest file that can't be parsed.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedLine {
    /// Number of the line, counted from 1.
    pub number: usize,
}

/// Parses the format that [`write_digests`] writes. Empty lines and lines that start with `#` are
/// ignored.
///
/// # Errors
/// [`MalformedLine`] names the first line that does not consist of a name, a number of messages, a
/// digest and checkpoints.
pub fn read_digests(text: &str) -> Result<Digests, MalformedLine> {
    let mut digests = Digests::new();
    for (n, line) in text.lines().enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (name, digest) = read_line(line).ok_or(MalformedLine { number: n + 1 })?;
        digests.insert(name, digest);
    }
    Ok(digests)
}

fn read_line(line: &str) -> Option<(String, DayDigest)> {
    let mut words = line.split(' ');
    let name = words.next()?.to_owned();
    let messages = words.next()?.parse().ok()?;
    let digest = words.next()?.to_owned();
    let checkpoints = words.next()?.split(',').map(str::to_owned).collect();
    let day = DayDigest {
        messages,
        digest,
        checkpoints,
    };
    Some((name, day))
}

/// Formats the digests, one line per scenario.
pub fn write_digests(digests: &Digests) -> String {
    let line = |(name, day): (&String, &DayDigest)| {
        let checkpoints = day.checkpoints.join(",");
        format!("{name} {} {} {checkpoints}\n", day.messages, day.digest)
    };
    digests.iter().map(line).collect()
}

/// Runs all scenarios in parallel and returns the digests of their transcripts.
pub fn play_days() -> Digests {
    let digest = |scenario: &Scenario| run_recorded(scenario.clone()).1.digest();
    run_in_parallel(&behaviour_days(), digest)
        .into_iter()
        .collect()
}

/// Runs one scenario and returns its messages; `None` if no scenario has this name.
pub fn messages_of(name: &str) -> Option<Vec<String>> {
    let (_, plan) = behaviour_days().into_iter().find(|(n, _)| n == name)?;
    Some(run_recorded(plan).1.messages().to_vec())
}

/// Returns one line for each scenario whose digest is missing from `earlier` or differs from the
/// one there.
pub fn differences(played: &Digests, earlier: &Digests) -> Vec<String> {
    let mut found = Vec::new();
    for (name, day) in played {
        let Some(expected) = earlier.get(name) else {
            found.push(format!("{name}: no digest of an earlier version"));
            continue;
        };
        if let Some(first) = day.first_difference(expected) {
            let last = first + CHECKPOINT_INTERVAL;
            found.push(format!(
                "{name}: differs between messages {first} and {last}; {} messages, expected {}",
                day.messages, expected.messages
            ));
        }
    }
    found
}
