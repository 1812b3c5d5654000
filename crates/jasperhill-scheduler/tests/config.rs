//! Tests of the refusal of jobs that can never run and of the minimum number of machines.

use jasperhill_scheduler::config::{
    MachineSpec, SchedulerConfig, Specs, TeamLimits, Tuning, rejection_reason,
};
use jasperhill_wire::{Micros, Resources, user::JobRequest};
use proptest::prelude::*;
use std::{collections::BTreeMap, rc::Rc};

#[test]
fn idle_deployment_shrinks_to_its_minimum() {
    let default = Tuning::default();
    assert_eq!(default.desired_machines(0.0, 0.3, 0), 0);
    assert_eq!(default.desired_machines(0.01, 0.0, 0), 1);
    assert_eq!(default.desired_machines(10.0, 2.0, 0), 14);
    let min_seven = Tuning {
        min_machines: 7,
        ..default
    };
    let shares: Vec<u32> = (0..3).map(|p| min_seven.min_machines_of(p, 3)).collect();
    assert_eq!(shares, [3, 2, 2]);
    assert_eq!(min_seven.desired_machines(0.0, 0.0, 3), 3);
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const SHAPES: [&str; 3] = ["array", "ensemble", "daemon"];
/// Limit of the team, in GPUs.
const TEAM_GPU_LIMIT: u32 = 6;

/// Returns machine types `t0` and `t1`, each given as number of GPUs and bit mask of zones.
fn specs(types: &[(u32, u8); 2]) -> Specs {
    let spec = |(n, (gpus, zones)): (usize, &(u32, u8))| {
        let machine_type: jasperhill_wire::Name = format!("t{n}").as_str().into();
        let zones_of_type = (0..3).filter(|z| zones & (1 << z) != 0);
        let spec = MachineSpec {
            machine_type: machine_type.clone(),
            capacity: Resources::from_units(16.0, f64::from(*gpus), 64.0),
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            nominal_boot_time: Micros::from_secs(20),
            price: 4.0,
            spot_price: 2.0,
            zones: zones_of_type.map(|z| ZONES[z].into()).collect(),
        };
        (machine_type, Rc::new(spec))
    };
    types.iter().enumerate().map(spec).collect()
}

#[derive(Clone, Debug)]
struct JobSpec {
    shape: usize,
    tasks: u32,
    gpus: u32,
    types: Option<usize>,
    zone: Option<usize>,
    together: bool,
    apart: bool,
}

fn job_spec() -> impl Strategy<Value = JobSpec> {
    let types = proptest::option::of(0usize..3);
    let zone = proptest::option::of(0usize..3);
    let flags = (any::<bool>(), any::<bool>());
    (0usize..3, 1u32..6, 0u32..5, types, zone, flags).prop_map(
        |(shape, tasks, gpus, types, zone, (together, apart))| JobSpec {
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

fn request(job: &JobSpec) -> JobRequest {
    let body = serde_json::json!({"uid":"job-000001","jobclass":"c","tenant":"red",
        "shape":SHAPES[job.shape],"urgency":"standard","shards":job.tasks,"vcpus":1.0,
        "accelerators":f64::from(job.gpus),"memory_gb":1.0,"bundle":"i","size_gb":1.0,
        "hosttypes":job.types.map(|t| vec![format!("t{t}")]),"hall":job.zone.map(|z| ZONES[z]),
        "together":job.together,"apart":job.apart,"reclaimable":false,"expected_s":9.0,
        "snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":null});
    JobRequest::parse(body.to_string().as_bytes()).unwrap()
}

/// Returns whether the job's concurrent tasks can be assigned to zones and fit the team's limit, by
/// trying every assignment.
fn can_run(job: &JobSpec, types: &[(u32, u8); 2]) -> bool {
    let fits = |z: usize| {
        let type_fits = |n: usize| {
            let (gpus, zones) = types[n];
            job.types.is_none_or(|t| t == n) && job.gpus <= gpus && zones & (1 << z) != 0
        };
        job.zone.is_none_or(|only| only == z) && (0..2).any(type_fits)
    };
    let concurrent_tasks = if job.shape == 0 { 1 } else { job.tasks };
    let assignments = 3usize.pow(concurrent_tasks);
    let allowed = |mut assignment: usize| {
        let mut counts = [0u32; 3];
        for _ in 0..concurrent_tasks {
            counts[assignment % 3] += 1;
            assignment /= 3;
        }
        let used = counts.iter().filter(|n| **n > 0).count();
        (0..3).all(|z| counts[z] == 0 || fits(z))
            && !(job.together && used > 1)
            && !(job.apart && counts.iter().any(|n| *n > job.tasks.div_ceil(2)))
    };
    concurrent_tasks * job.gpus <= TEAM_GPU_LIMIT && (0..assignments).any(allowed)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Refuses exactly the jobs that can never run. Otherwise accepted jobs wait forever, or jobs
    /// that could run are refused.
    #[test]
    fn refuses_exactly_the_jobs_that_can_never_run(
        job in job_spec(),
        types in [(0u32..5, 0u8..8), (0u32..5, 0u8..8)],
    ) {
        let config = SchedulerConfig {
            partitions: 1,
            teams: vec![TeamLimits {
                name: "red".into(),
                guaranteed: Resources::default(),
                limit: Resources::from_units(0.0, f64::from(TEAM_GPU_LIMIT), 0.0),
            }],
            heartbeat_interval: Micros::from_secs(3),
            lease: Micros::from_secs(16),
            gang_wait: Micros::from_secs(30),
            gang_peer_timeout: Micros::from_secs(4),
            start_within: BTreeMap::new(),
            tuning: Tuning::default(),
        };
        let refused = rejection_reason(&request(&job), &config, &specs(&types));
        prop_assert_eq!(refused.is_none(), can_run(&job, &types), "{:?}", refused);
        // The reason starts with the name of a field of the submission.
        let fields = ["tenant: ", "hosttypes: ", "apart: ", "shards: "];
        let names_a_field = refused.is_none_or(|r| fields.iter().any(|f| r.starts_with(f)));
        prop_assert!(names_a_field);
    }
}
