//! Quiet deployments in which one accepted job must not be left waiting: it starts, or is reported
//! as done, within 90 s after the trouble.

use jasperhill_testkit::{Scenario, faults::Fault, outcome::Outcome, run, users::KEPT_CLASS};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest time in seconds for which a job may be left waiting once the troubles are over.
const WAIT_LIMIT_S: f64 = 90.0;
/// Time from the loss of a machine until its worker's lease has certainly expired, in seconds.
const LEASE_S: f64 = 17.0;
/// Time at which a machine is lost, in seconds from the start.
const LOSS_S: u64 = 110;
/// Length of the runs, in seconds.
const RUN_S: u64 = 260;

/// Returns a request of one task without accelerators, which runs for `run_s` seconds.
fn job(id: &str, team: &str, run_s: f64) -> Value {
    json!({
        "uid": id, "jobclass": KEPT_CLASS, "tenant": team, "shape": "array", "urgency": "idle",
        "shards": 1, "vcpus": 3.0, "accelerators": 1.0, "memory_gb": 8.0, "bundle": "img-1",
        "size_gb": 0.5, "hosttypes": null, "hall": null, "together": false, "apart": false,
        "reclaimable": false, "expected_s": run_s, "snapshot_every_s": 0.0, "snapshot_s": 0.0,
        "due_s": null,
    })
}

/// Returns `request` with these fields replaced.
fn with(mut request: Value, fields: Value) -> Value {
    for (name, value) in fields.as_object().unwrap() {
        request[name] = value.clone();
    }
    request
}

/// Runs a deployment without other jobs than these and returns its outcome.
///
/// # Panics
///
/// If a rule of the protocol was broken.
fn run_quiet(seed: u64, submissions: Vec<(u64, Value)>, faults: Vec<(u64, Fault)>) -> Outcome {
    let scenario = Scenario {
        submissions,
        ..Scenario::small(seed, RUN_S, 0, faults)
    };
    let outcome = run(scenario);
    assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
    outcome
}

/// Asserts that the job was reported as done before this time.
fn assert_done_before(outcome: &Outcome, job: &str, limit_s: f64) {
    let times = &outcome.job_times[job];
    let is_done = |(phase, at): &(String, f64)| phase == "done" && *at < limit_s;
    assert!(
        times.ended.as_ref().is_some_and(is_done),
        "{job}: {times:?}"
    );
}

/// Asserts that all tasks of the job have started before this time.
fn assert_started_before(outcome: &Outcome, job: &str, limit_s: f64) {
    let times = &outcome.job_times[job];
    let is_in_time = times.all_started.is_some_and(|at| at < limit_s);
    assert!(is_in_time, "{job}: {times:?}");
}

/// Guards against a completed gang that is never called done. One machine of the gang reports the
/// result; the other one cannot report for longer than its lease and forgets its task, so that the
/// last task ends without a report.
#[test]
fn gang_is_done_and_its_dependent_starts_after_the_last_task_is_lost_with_its_lease() {
    for seed in 1..=3 {
        for silent_task in 0..2 {
            let gang = json!({"shape": "ensemble", "shards": 2, "accelerators": 2.0});
            let gang = with(job("job-000001", "team-0", 12.0), gang);
            let dependent = json!({"waits_on": ["job-000001"]});
            let dependent = with(job("job-000002", "team-1", 5.0), dependent);
            let mute = Duration::from_secs(20);
            let outcome = run_quiet(
                seed,
                vec![(5, gang), (6, dependent)],
                vec![(
                    15,
                    Fault::NotSendingFrom("job-000001".to_owned(), silent_task, mute),
                )],
            );
            assert!(outcome.fault_counts.unsent_heartbeats > 10, "{outcome:?}");
            assert_done_before(&outcome, "job-000001", 15.0 + 20.0 + WAIT_LIMIT_S);
            assert_done_before(&outcome, "job-000002", 15.0 + 20.0 + WAIT_LIMIT_S + 10.0);
        }
    }
}

/// Returns services of team `team-1` that keep this number of machines of zone `a` in use, with
/// room for one more small task on each.
fn services_in_zone_a(machines: usize) -> impl Iterator<Item = (u64, Value)> {
    (0..machines).map(|n| {
        let service = json!({
            "shape": "daemon", "urgency": "prod", "hall": "a", "vcpus": 10.0, "expected_s": 0.0,
        });
        let id = format!("job-0001{n:02}");
        (30, with(job(&id, "team-1", 0.0), service))
    })
}

/// Returns a request for as many machines as it has tasks, each in its own.
fn one_task_a_machine(id: &str, shape: &str, tasks: u32) -> Value {
    let fields = json!({"shape": shape, "shards": tasks, "vcpus": 10.0, "urgency": "urgent"});
    with(job(id, "team-0", 20.0), fields)
}

/// Guards against a zone-bound job that waits for ever after its machine failed: its partition was
/// given a machine in the other zone instead, and counted as having enough.
#[test]
fn zone_bound_job_starts_again_after_its_machine_failed() {
    for seed in 1..=3 {
        for spot in [false, true] {
            let bound = json!({"hall": "a", "reclaimable": spot, "accelerators": 0.0});
            let bound = with(job("job-000001", "team-0", 150.0), bound);
            let submissions = services_in_zone_a(4).chain([(60, bound)]).collect();
            let loss = Fault::LossOfMachineOf("job-000001".to_owned());
            let outcome = run_quiet(seed, submissions, vec![(LOSS_S, loss)]);
            let times = &outcome.job_times["job-000001"];
            let lost_at = LOSS_S as f64;
            let is_restarted = times
                .last_start
                .is_some_and(|at| at > lost_at && at < lost_at + LEASE_S + WAIT_LIMIT_S);
            assert!(is_restarted, "seed {seed}, spot {spot}: {times:?}");
        }
    }
}

/// Guards against a gang in one zone that never begins in a quiet deployment: its partition rented
/// as many machines as the gang has tasks, but in two zones.
#[test]
fn gang_in_one_zone_starts_in_a_quiet_deployment() {
    for seed in 1..=3 {
        for zone in [Value::Null, json!("a"), json!("b")] {
            let one_zone = json!({"together": true, "hall": zone});
            let gang = with(one_task_a_machine("job-000001", "ensemble", 4), one_zone);
            let outcome = run_quiet(seed, vec![(60, gang)], Vec::new());
            assert_started_before(&outcome, "job-000001", 60.0 + WAIT_LIMIT_S);
        }
    }
}

/// Guards against a spread service whose replicas wait for ever: the machines that were rented for
/// them were all in the zone that has its share of the replicas already.
#[test]
fn all_replicas_of_a_spread_service_start_in_a_quiet_deployment() {
    for seed in 1..=3 {
        let service = json!({"apart": true, "urgency": "prod", "expected_s": 0.0});
        let service = with(one_task_a_machine("job-000001", "daemon", 4), service);
        let submissions = services_in_zone_a(5).chain([(60, service)]).collect();
        let outcome = run_quiet(seed, submissions, Vec::new());
        assert_started_before(&outcome, "job-000001", 60.0 + WAIT_LIMIT_S);
    }
}

/// Guards against a job that gets no machine any more after it failed on two sick machines: while it
/// backed off it asked for none, so that all idle machines were returned.
#[test]
fn job_is_done_after_it_failed_on_sick_machines() {
    // More than the job meets: it fails wherever it is tried until the trouble ends.
    const SICK_MACHINES: usize = 12;
    const SICK_FROM_S: u64 = 10;
    const SICK_FOR_S: u64 = 50;
    for seed in 1..=4 {
        // Short jobs that fill machines, which shows that these machines work.
        let fills_machine = json!({"accelerators": 2.0, "reclaimable": true, "urgency": "urgent"});
        let earlier = (0..3).map(|n| {
            let short = job(&format!("job-00020{n}"), "team-0", 1.0);
            (2, with(short, fills_machine.clone()))
        });
        let service = json!({"shape": "daemon", "urgency": "prod", "expected_s": 0.0});
        let service = with(job("job-000300", "team-1", 0.0), service);
        let failing = with(job("job-000001", "team-0", 5.0), fills_machine.clone());
        let submissions = earlier.chain([(2, service), (12, failing)]);
        let time = Duration::from_secs(SICK_FOR_S);
        let sick = Fault::SickMachines("job-000001".to_owned(), SICK_MACHINES, time);
        let outcome = run_quiet(seed, submissions.collect(), vec![(SICK_FROM_S, sick)]);
        assert!(outcome.fault_counts.sick_machines >= 2, "seed {seed}");
        let calm_s = (SICK_FROM_S + SICK_FOR_S) as f64;
        assert_done_before(&outcome, "job-000001", calm_s + WAIT_LIMIT_S);
    }
}

/// Guards against a job that waits beside an idle host of another partition while the cloud has no
/// machine to rent. The other partition keeps the host because it should have as many by the count.
#[test]
fn idle_host_of_another_partition_goes_to_a_job_that_lacks_it() {
    const OUTAGE_FROM_S: u64 = 20;
    const SUBMITTED_S: u64 = 60;
    let whole_machine = json!({"accelerators": 2.0});
    let service = json!({"shape": "daemon", "urgency": "prod", "expected_s": 0.0});
    let service = with(job("job-000300", "team-1", 0.0), service);
    for seed in 1..=4 {
        // One idle host is left, in either zone.
        let bound = |id: &str, zone: &str| {
            let job = with(job(id, "team-0", 30.0), whole_machine.clone());
            (SUBMITTED_S, with(job, json!({"hall": zone})))
        };
        let submissions = vec![
            (2, with(service.clone(), whole_machine.clone())),
            bound("job-000001", "a"),
            bound("job-000002", "b"),
        ];
        let outage = Fault::CloudOutage(Duration::from_secs(RUN_S));
        let outcome = run_quiet(seed, submissions, vec![(OUTAGE_FROM_S, outage)]);
        let starts = ["job-000001", "job-000002"].map(|id| outcome.job_times[id].all_started);
        let limit_s = SUBMITTED_S as f64 + WAIT_LIMIT_S;
        let is_any_in_time = starts.iter().flatten().any(|at| *at < limit_s);
        assert!(is_any_in_time, "seed {seed}: {starts:?}");
    }
}
