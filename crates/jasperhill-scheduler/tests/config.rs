//! What can never run, and what an idle deployment keeps.

use jasperhill_scheduler::config::{
    MachineSpec, SchedulerConfig, Specs, TeamLimits, Tuning, impossible,
};
use jasperhill_wire::{Micros, Resources, user::JobRequest};
use proptest::prelude::*;
use std::{collections::BTreeMap, rc::Rc};

#[test]
fn an_idle_deployment_shrinks_to_its_floor() {
    let none = Tuning::default();
    assert_eq!(none.planned(0.0, 0.3, 0), 0);
    assert_eq!(none.planned(0.01, 0.0, 0), 1);
    assert_eq!(none.planned(10.0, 2.0, 0), 14);
    let seven = Tuning {
        min_machines: 7,
        ..none
    };
    let shares: Vec<u32> = (0..3).map(|p| seven.min_machines_of(p, 3)).collect();
    assert_eq!(shares, [3, 2, 2]);
    assert_eq!(seven.planned(0.0, 0.0, 3), 3);
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const SHAPES: [&str; 3] = ["array", "ensemble", "daemon"];
/// What the one team may use.
const MOST: u32 = 6;

/// Types `t0` and `t1` with so many GPUs, in the zones of which the bits are set.
fn specs(types: &[(u32, u8); 2]) -> Specs {
    let spec = |(n, (gpus, zones)): (usize, &(u32, u8))| {
        let kind: jasperhill_wire::Name = format!("t{n}").as_str().into();
        let here = (0..3).filter(|z| zones & (1 << z) != 0);
        let spec = MachineSpec {
            machine_type: kind.clone(),
            capacity: Resources::from_units(16.0, f64::from(*gpus), 64.0),
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            boot: Micros::from_secs(20),
            price: 4.0,
            spot_price: 2.0,
            zones: here.map(|z| ZONES[z].into()).collect(),
        };
        (kind, Rc::new(spec))
    };
    types.iter().enumerate().map(spec).collect()
}

#[derive(Clone, Debug)]
struct Asked {
    shape: usize,
    tasks: u32,
    gpus: u32,
    types: Option<usize>,
    zone: Option<usize>,
    together: bool,
    apart: bool,
}

fn asked() -> impl Strategy<Value = Asked> {
    let types = proptest::option::of(0usize..3);
    let zone = proptest::option::of(0usize..3);
    let flags = (any::<bool>(), any::<bool>());
    (0usize..3, 1u32..6, 0u32..5, types, zone, flags).prop_map(
        |(shape, tasks, gpus, types, zone, (together, apart))| Asked {
            shape,
            tasks,
            gpus,
            types,
            zone,
            together,
            apart,
        },
    )
}

fn request(a: &Asked) -> JobRequest {
    let body = serde_json::json!({"uid":"job-000001","jobclass":"c","tenant":"red",
        "shape":SHAPES[a.shape],"urgency":"standard","shards":a.tasks,"vcpus":1.0,
        "accelerators":f64::from(a.gpus),"memory_gb":1.0,"bundle":"i","size_gb":1.0,
        "hosttypes":a.types.map(|t| vec![format!("t{t}")]),"hall":a.zone.map(|z| ZONES[z]),
        "together":a.together,"apart":a.apart,"reclaimable":false,"expected_s":9.0,
        "snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":null});
    JobRequest::parse(body.to_string().as_bytes()).unwrap()
}

/// Whether so many tasks at once have zones that the job allows, by trying every way.
fn can_run(a: &Asked, types: &[(u32, u8); 2]) -> bool {
    let fits = |z: usize| {
        let here = |n: usize| {
            let (gpus, zones) = types[n];
            a.types.is_none_or(|t| t == n) && a.gpus <= gpus && zones & (1 << z) != 0
        };
        a.zone.is_none_or(|only| only == z) && (0..2).any(here)
    };
    let at_once = if a.shape == 0 { 1 } else { a.tasks };
    let ways = 3usize.pow(at_once);
    let allowed = |mut way: usize| {
        let mut counts = [0u32; 3];
        for _ in 0..at_once {
            counts[way % 3] += 1;
            way /= 3;
        }
        let used = counts.iter().filter(|n| **n > 0).count();
        (0..3).all(|z| counts[z] == 0 || fits(z))
            && !(a.together && used > 1)
            && !(a.apart && counts.iter().any(|n| *n > a.tasks.div_ceil(2)))
    };
    at_once * a.gpus <= MOST && (0..ways).any(allowed)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// What is refused for good is just what no order of events lets run. Guards against jobs that
    /// are accepted and wait for ever, and against refusals of what could run.
    #[test]
    fn just_what_can_never_run_is_refused(
        a in asked(),
        types in [(0u32..5, 0u8..8), (0u32..5, 0u8..8)],
    ) {
        let config = SchedulerConfig {
            partitions: 1,
            teams: vec![TeamLimits {
                name: "red".into(),
                guaranteed: Resources::default(),
                limit: Resources::from_units(0.0, f64::from(MOST), 0.0),
            }],
            report: Micros::from_secs(3),
            lease: Micros::from_secs(16),
            gang_wait: Micros::from_secs(30),
            gang_peer: Micros::from_secs(4),
            start_within: BTreeMap::new(),
            tuning: Tuning::default(),
        };
        let refused = impossible(&request(&a), &config, &specs(&types));
        prop_assert_eq!(refused.is_none(), can_run(&a, &types), "{:?}", refused);
        // The reason begins with a field of the submission.
        let fields = ["tenant: ", "hosttypes: ", "apart: ", "shards: "];
        let named = refused.is_none_or(|r| fields.iter().any(|f| r.starts_with(f)));
        prop_assert!(named);
    }
}
