//! Regression test on the scenarios of `scripts/same-behaviour`: controllers send and answer byte
//! for byte what they did when the digests were recorded.

use jasperhill_testkit::behaviour::{Digests, differences, play_days, read_digests, write_digests};

const RECORDED_DIGESTS: &str = include_str!("../../../scripts/same-behaviour.digests");

#[test]
fn controller_messages_match_recorded_digests() {
    let expected = read_digests(RECORDED_DIGESTS).unwrap();
    let played = play_days();
    assert_eq!(played.len(), expected.len());
    assert_eq!(differences(&played, &expected), Vec::<String>::new());
}

/// Guards against a comparison that reports no difference between different digests.
#[test]
fn changed_checkpoint_is_reported_with_its_message_range() {
    let expected = read_digests(RECORDED_DIGESTS).unwrap();
    assert_eq!(
        read_digests(&write_digests(&expected)),
        Ok(expected.clone())
    );
    let mut changed: Digests = expected.clone();
    let scenario = changed.get_mut("drawn-2000").unwrap();
    scenario.checkpoints[3] = "none".to_owned();
    let reported = differences(&changed, &expected);
    assert_eq!(reported.len(), 1);
    assert!(
        reported[0].contains("between messages 768 and 1024"),
        "{reported:?}"
    );
    assert_eq!(
        read_digests("drawn-1 many").map_err(|error| error.number),
        Err(1)
    );
}
