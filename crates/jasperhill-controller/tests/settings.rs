//! Parsing and validation of the platform's settings file, and the fields that errors name.

use jasperhill_controller::Settings;
use jasperhill_wire::Micros;
use proptest::prelude::*;

const VALID_FILE: &str = r#"
member = "c-0"
site = "a"
bind = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
new_field = [1, 2]
[[others]]
member = "c-1"
site = "b"
endpoint = "127.0.0.1:9081"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[params]
size = 2
zones = ["a", "b"]
time_bound_ms = 100.0
[[params.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[[params.objectives]]
kind = "wait"
class = "quick"
within_s = 2.0
share = 0.9
[[params.objectives]]
kind = "wait"
class = "quick"
within_s = 90.0
share = 0.99
[params.workers]
report_s = 3.0
lease_s = 30.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 55.0
[params.state]
rps = 100.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 32
[params.cloud]
rps = 3.0
list_lag_s = 12.0
[params.quota]
max_connections = 3500
"#;

#[test]
fn parses_complete_file() {
    let settings = Settings::parse(VALID_FILE).unwrap();
    assert_eq!(settings.lease_time, Micros::from_secs(30));
    assert_eq!(settings.members().len(), 2);
    // Of two start objectives for a class the shorter applies, regardless of their order.
    assert_eq!(
        settings.start_objectives[&"quick".into()],
        Micros::from_secs(2)
    );
    // If a cancellation is missed, lease renewals must stop early enough for the tasks to end in time.
    assert!(settings.cache_age_max() + settings.lease_time < settings.cancellation_time);
    assert!(settings.session() < settings.lease_time);
}

#[test]
fn error_names_invalid_field_in_one_line() {
    for (old, new, field) in [
        (
            "lease_s = 30.0",
            "lease_s = \"x\"",
            "params.workers.lease_s",
        ),
        ("lease_s = 30.0", "", "params.workers.lease_s"),
        ("lease_s = 30.0", "lease_s = -1.0", "params.workers.lease_s"),
        (
            "cancel_s = 55.0",
            "cancel_s = 31.0",
            "params.workers.cancel_s",
        ),
        ("bind = \"127.0.0.1:8080\"", "bind = \"here\"", "bind"),
        ("member = \"c-1\"", "member = \"c-0\"", "others.member"),
        ("size = 2", "size = 0", "params.size"),
        ("size = 2", "size = 1", "params.size"),
        ("zones = [\"a\", \"b\"]", "zones = []", "params.zones"),
        ("gpus_max = 8.0", "gpus_max = nan", "params.teams.gpus_max"),
        ("txn_ops = 32", "txn_ops = 1", "params.state.txn_ops"),
        ("rps = 100.0", "rps = inf", "params.state.rps"),
        ("[services]", "[service]", "services"),
    ] {
        let text = VALID_FILE.replacen(old, new, 1);
        let error = Settings::parse(&text).expect_err(field).to_string();
        assert!(error.starts_with(field), "{field}: {error}");
        assert!(!error.contains('\n'));
    }
}

/// Future limits of the state service: an absent limit keeps the current value, the smaller of the
/// current and the future value applies, and future values are validated like current ones.
#[test]
fn smaller_of_current_and_future_limits_applies() {
    let parse_with_next = |next_table: &str| {
        let text = VALID_FILE.replacen(
            "[params.cloud]",
            &format!("{next_table}\n[params.cloud]"),
            1,
        );
        Settings::parse(&text)
    };
    let without_next = parse_with_next("").unwrap();
    let with_smaller =
        parse_with_next("[params.state.next]\nvalue_kb = 2.0\nwrite_rps = 28.0\nmore = 1").unwrap();
    assert_eq!(
        (with_smaller.value_bytes, with_smaller.transaction_ops_max),
        (2_048, without_next.transaction_ops_max)
    );
    assert_eq!(
        (with_smaller.state_write_rps, with_smaller.state_rps),
        (28.0, without_next.state_rps)
    );
    let with_larger =
        parse_with_next("[params.state.next]\nvalue_kb = 64.0\ntxn_ops = 99\nrps = 9e3").unwrap();
    assert_eq!(
        (with_larger.value_bytes, with_larger.transaction_ops_max),
        (without_next.value_bytes, without_next.transaction_ops_max)
    );
    assert_eq!(with_larger.state_rps, without_next.state_rps);
    for (field, value) in [
        ("value_kb", "1.0"),
        ("value_kb", "nan"),
        ("txn_ops", "3"),
        ("txn_ops", "-1"),
        ("write_rps", "0.0"),
        ("rps", "\"x\""),
    ] {
        let error =
            parse_with_next(&format!("[params.state.next]\n{field} = {value}")).expect_err(field);
        let error = error.to_string();
        let path = format!("params.state.next.{field}");
        assert!(error.starts_with(&path) && !error.contains('\n'), "{error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Replaces one byte of a valid file by random text: parsing must not panic, and an error must
    /// be one line.
    #[test]
    fn mangled_file_is_parsed_or_rejected_with_one_line_error(position in 0usize..1_000, junk in "[ -~]{0,8}") {
        let mut text = VALID_FILE.to_owned();
        let position = position % text.len();
        text.replace_range(position..position + 1, &junk);
        if let Err(error) = Settings::parse(&text) {
            prop_assert!(!error.to_string().contains('\n'));
        }
    }
}
