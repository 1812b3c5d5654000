use super::*;
use crate::config::MachineSpec;
use jasperhill_wire::Resources;
use std::rc::Rc;

/// Arrivals are counted only from some time after the first submission. The rate is too low if it
/// is computed over the time before that as well.
#[test]
fn ignores_backlog_and_forecasts_after_few_arrivals() {
    let text = r#"{"uid":"job-1","jobclass":"c","tenant":"red","shape":"ensemble","urgency":"urgent",
        "shards":2,"vcpus":16.0,"accelerators":2.0,"memory_gb":1.0,"bundle":"i","size_gb":1.0,
        "hosttypes":null,"hall":null,"together":false,"apart":false,"reclaimable":false,
        "expected_s":10.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":null}"#;
    let request = JobRequest::parse(text.as_bytes()).unwrap();
    let spec = MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 2.0, 64.0),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        nominal_boot_time: Micros::from_secs(25),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into()],
    };
    let specs: Specs = BTreeMap::from([("box".into(), Rc::new(spec))]);
    let first = Micros::from_secs(3_600);
    let mut forecast = DemandForecast::new(first);
    assert!(!forecast.counts_arrival_at(first + Micros::from_secs(5)));
    // Two hosts arrive every five seconds from the time at which counting begins.
    for n in 0..4 {
        let at = first + Micros::from_secs(15 + 5 * n);
        assert!(forecast.counts_arrival_at(at));
        forecast.record(0, &request, &specs, at);
    }
    let now = first + Micros::from_secs(35);
    let boot = Micros::from_secs(25);
    let within = |s| BTreeMap::from([(Name::from("c"), Micros::from_secs(s))]);
    let expected = forecast.expected(0, boot, &within(10), now);
    assert!((10.0..30.0).contains(&expected), "{expected}");
    // Jobs that may wait for a machine to boot need no machine in advance.
    assert_eq!(forecast.expected(0, boot, &within(200), now), 0.0);
    assert_eq!(forecast.expected(0, boot, &BTreeMap::new(), now), 0.0);
    // No capacity is kept after arrivals have ceased.
    let silent = now + Micros::from_secs(120);
    assert_eq!(forecast.expected(0, boot, &within(10), silent), 0.0);
}
