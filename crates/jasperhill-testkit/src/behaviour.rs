//! Plays the days on which two versions of the controllers are compared, and compares their
//! transcripts with the digests of an earlier version.

use crate::{
    days::behaviour_days,
    runner::{play_all, run_recorded},
    scenario::Scenario,
    transcript::{CHECKPOINT_EVERY, DayDigest},
};
use std::collections::BTreeMap;

/// The digests of some days, by their names.
pub type Digests = BTreeMap<String, DayDigest>;

/// A line of a file of digests that can't be read.
#[derive(Debug, PartialEq, Eq)]
pub struct BadLine {
    pub number: usize,
}

/// Reads what [`write_digests`] writes. Empty lines and those that begin with `#` mean nothing.
///
/// # Errors
/// [`BadLine`] names the first line that is not a name, a number of messages, a digest and
/// checkpoints.
pub fn read_digests(text: &str) -> Result<Digests, BadLine> {
    let mut digests = Digests::new();
    for (n, line) in text.lines().enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (name, digest) = read_line(line).ok_or(BadLine { number: n + 1 })?;
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

/// One line for each day.
pub fn write_digests(digests: &Digests) -> String {
    let line = |(name, day): (&String, &DayDigest)| {
        let checkpoints = day.checkpoints.join(",");
        format!("{name} {} {} {checkpoints}\n", day.messages, day.digest)
    };
    digests.iter().map(line).collect()
}

/// Plays all days, side by side.
pub fn play_days() -> Digests {
    let digest = |scenario: &Scenario| run_recorded(scenario.clone()).1.digest();
    play_all(&behaviour_days(), digest).into_iter().collect()
}

/// All messages of one day; `None` if there is no such day.
pub fn messages_of(name: &str) -> Option<Vec<String>> {
    let (_, plan) = behaviour_days().into_iter().find(|(n, _)| n == name)?;
    Some(run_recorded(plan).1.messages().to_vec())
}

/// What differs between the days played and the same days of an earlier version, a line each.
pub fn differences(played: &Digests, earlier: &Digests) -> Vec<String> {
    let mut found = Vec::new();
    for (name, day) in played {
        let Some(expected) = earlier.get(name) else {
            found.push(format!("{name}: no digest of an earlier version"));
            continue;
        };
        if let Some(first) = day.first_difference(expected) {
            let last = first + CHECKPOINT_EVERY;
            found.push(format!(
                "{name}: differs between messages {first} and {last}; {} messages, expected {}",
                day.messages, expected.messages
            ));
        }
    }
    found
}
