//! The days of `scripts/same-behaviour`: controllers send and answer what they did when
//! the digests were taken, byte for byte.

use jasperhill_testkit::behaviour::{Digests, differences, play_days, read_digests, write_digests};

const DIGESTS: &str = include_str!("../../../scripts/same-behaviour.digests");

#[test]
fn controllers_send_and_answer_what_they_did_before() {
    let expected = read_digests(DIGESTS).unwrap();
    let played = play_days();
    assert_eq!(played.len(), expected.len());
    assert_eq!(differences(&played, &expected), Vec::<String>::new());
}

/// Guards against a comparison that finds nothing whatever differs.
#[test]
fn a_difference_is_found_and_narrowed_down() {
    let expected = read_digests(DIGESTS).unwrap();
    assert_eq!(
        read_digests(&write_digests(&expected)),
        Ok(expected.clone())
    );
    let mut changed: Digests = expected.clone();
    let day = changed.get_mut("drawn-2000").unwrap();
    day.checkpoints[3] = "none".to_owned();
    let found = differences(&changed, &expected);
    assert_eq!(found.len(), 1);
    assert!(
        found[0].contains("between messages 768 and 1024"),
        "{found:?}"
    );
    assert_eq!(read_digests("drawn-1 many").map_err(|b| b.number), Err(1));
}
