//! Settings files: their meaning, their errors, and that no text makes the parser panic.

use super::*;
use proptest::prelude::*;

#[test]
fn values_are_read_and_the_rest_stays_default() {
    let settings =
        parse("headroom: 0.5\nsession_s: 8 floor_machines: 6 restless_after: 0").unwrap();
    assert_eq!(settings.crash_loop_threshold, Some(0));
    assert_eq!(settings.tuning.min_machines, 6);
    assert_eq!(settings.tuning.headroom, 0.5);
    assert_eq!(settings.session, Some(Micros::from_secs(8)));
    assert_eq!(settings.tuning.uncertainty, 1.0);
    assert_eq!(parse("").unwrap(), OperatorSettings::default());
}

/// A file with everything that commit 6144652 understood: names and meanings stay.
#[test]
fn a_file_of_an_earlier_version_means_what_it_did() {
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
fn what_does_not_fit_is_named() {
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
    fn any_text_is_read_or_refused_in_one_line(text in "[a-z_:0-9. \\n{}\"-]{0,60}") {
        if let Err(error) = parse(&text) {
            prop_assert!(!error.to_string().contains('\n'));
        }
    }
}
