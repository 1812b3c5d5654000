//! Quiet deployments in which one accepted job must not be left waiting: it starts, or is reported
//! as done, within 90 s after the trouble.

use jasperhill_testkit::{Scenario, faults::Fault, outcome::Outcome, run, users::KEPT_CLASS};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest time in seconds for which a job may be left waiting once the troubles are over.
const WAIT_LIMIT_S: f64 = 90.0;
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
