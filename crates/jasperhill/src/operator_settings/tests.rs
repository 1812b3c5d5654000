//! Parsing of the operators' settings file: field values, errors, and arbitrary text.

use super::*;
use proptest::prelude::*;

#[test]
fn set_fields_are_read_and_absent_fields_keep_defaults() {
    let settings =
        parse("headroom: 0.5\nsession_s: 8 floor_machines: 6 restless_after: 0").unwrap();
    assert_eq!(settings.crash_loop_threshold, Some(0));
    assert_eq!(settings.tuning.min_machines, 6);
    assert_eq!(settings.tuning.headroom, 0.5);
    assert_eq!(settings.session, Some(Micros::from_secs(8)));
    assert_eq!(settings.tuning.uncertainty, 1.0);
    assert_eq!(parse("").unwrap(), OperatorSettings::default());
}

/// Settings files written for an earlier version must keep their meaning. This file sets every field that
/// commit 6144652 supported.
#[test]
fn file_of_earlier_version_gives_same_settings() {
    let settings = parse(
        "uncertainty_factor: 1.5 headroom: 0.25 idle_keep_s: 12.5 session_s: 9\n\
         floor_machines: 6 restless_after: 4 least_share: 0.5",
    )
    .unwrap();
    let tuning = &settings.tuning;
    assert_eq!((tuning.uncertainty, tuning.headroom), (1.5, 0.25));
    assert_eq!(tuning.idle_retention, Micros::from_millis(12_500));
    assert_eq!((tuning.min_machines, tuning.minimum_share), (6, 0.5));
    assert_eq!(settings.session, Some(Micros::from_secs(9)));
    assert_eq!(settings.crash_loop_threshold, Some(4));
}

#[test]
fn error_names_out_of_range_or_unknown_field() {
    assert_eq!(parse("least_share: 2").unwrap_err().field, "least_share");
    assert_eq!(parse("headroom: -1").unwrap_err().field, "headroom");
    assert_eq!(
        parse("floor_machines: 100001").unwrap_err().field,
        "floor_machines"
    );
    assert_eq!(parse("session_s: nan").unwrap_err().field, "session_s");
    assert!(
        parse("no_such_field: 1")
            .unwrap_err()
            .to_string()
            .contains("no_such_field")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn arbitrary_text_is_parsed_or_refused_with_single_line_error(text in "[a-z_:0-9. \\n{}\"-]{0,60}") {
        if let Err(error) = parse(&text) {
            prop_assert!(!error.to_string().contains('\n'));
        }
    }
}
