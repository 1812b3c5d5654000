//! The platform's settings: what is read, what is refused and how it is named.

use jasperhill_controller::Settings;
use jasperhill_wire::Micros;
use proptest::prelude::*;

const GOOD: &str = r#"
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
fn a_whole_file_is_read() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.lease, Micros::from_secs(30));
    assert_eq!(settings.members().len(), 2);
    // The sooner of two, whichever comes last.
    assert_eq!(settings.waited_for[&"quick".into()], Micros::from_secs(2));
    // A cancellation that is not seen must end what runs in time.
    assert!(settings.cache_age_max() + settings.lease < settings.cancel);
    assert!(settings.session() < settings.lease);
}

#[test]
fn what_is_wrong_is_named_in_one_line() {
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
        let text = GOOD.replacen(old, new, 1);
        let error = Settings::parse(&text).expect_err(field).to_string();
        assert!(error.starts_with(field), "{field}: {error}");
        assert!(!error.contains('\n'));
    }
}

/// The coming limits of the state service: what is absent stays, the smaller one counts, and each
/// is checked like the present one.
#[test]
fn the_smaller_of_the_present_and_the_coming_limits_counts() {
    let with = |next: &str| {
        let text = GOOD.replacen("[params.cloud]", &format!("{next}\n[params.cloud]"), 1);
        Settings::parse(&text)
    };
    let plain = with("").unwrap();
    let some = with("[params.state.next]\nvalue_kb = 2.0\nwrite_rps = 28.0\nmore = 1").unwrap();
    assert_eq!((some.value_bytes, some.txn_ops), (2_048, plain.txn_ops));
    assert_eq!(
        (some.state_write_rps, some.state_rps),
        (28.0, plain.state_rps)
    );
    let larger = with("[params.state.next]\nvalue_kb = 64.0\ntxn_ops = 99\nrps = 9e3").unwrap();
    assert_eq!(
        (larger.value_bytes, larger.txn_ops),
        (plain.value_bytes, plain.txn_ops)
    );
    assert_eq!(larger.state_rps, plain.state_rps);
    for (field, value) in [
        ("value_kb", "1.0"),
        ("value_kb", "nan"),
        ("txn_ops", "3"),
        ("txn_ops", "-1"),
        ("write_rps", "0.0"),
        ("rps", "\"x\""),
    ] {
        let error = with(&format!("[params.state.next]\n{field} = {value}")).expect_err(field);
        let error = error.to_string();
        let at = format!("params.state.next.{field}");
        assert!(error.starts_with(&at) && !error.contains('\n'), "{error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn mangled_files_are_read_or_refused_in_one_line(at in 0usize..1_000, junk in "[ -~]{0,8}") {
        let mut text = GOOD.to_owned();
        let at = at % text.len();
        text.replace_range(at..at + 1, &junk);
        if let Err(error) = Settings::parse(&text) {
            prop_assert!(!error.to_string().contains('\n'));
        }
    }
}
