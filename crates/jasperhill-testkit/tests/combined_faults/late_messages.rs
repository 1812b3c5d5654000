//! Transactions, heartbeats and direct commands that arrive late or out of order.

use crate::support::{
    FAULT_START_S, assert_invariants_hold, millis, run_scenarios, secs, total_count,
};
use jasperhill_membership::LeaseTerms;
use jasperhill_scheduler::{HeartbeatSource, Host, HostInput, MachineSpec};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::Fault;
use jasperhill_testkit::invariants::InvariantChecker;
use jasperhill_testkit::users::KEPT_CLASS;
use jasperhill_testkit::worker::{Worker, WorkerTimes};
use jasperhill_wire::record::{HostAssignment, HostRecord};
use jasperhill_wire::user::JobRequest;
use jasperhill_wire::worker::{Heartbeat, commands_body};
use jasperhill_wire::{Attempt, FencingToken, Micros, Resources, TaskId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn transactions_applied_after_newer_ones_break_no_invariant() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (FAULT_START_S - 30, Fault::LateWrites(40, secs(120))),
            (FAULT_START_S, Fault::Crash(n % 3, millis(300))),
            (FAULT_START_S + 20, Fault::Crash((n + 1) % 3, secs(12))),
            (FAULT_START_S + 45, Fault::Refused((n + 2) % 3, secs(12))),
        ];
        (
            format!("scenario {n}"),
            Scenario::small(20 + n as u64, 260, 60, faults),
        )
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.writes_applied_after_newer) > 100);
    assert!(total_count(&runs, |counts| counts.late_writes_with_effect) > 50);
}

#[test]
fn heartbeats_after_newer_ones_and_new_incarnations_break_no_invariant() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (FAULT_START_S - 30, Fault::LateHeartbeats(50, secs(150))),
            (FAULT_START_S, Fault::Crash(n % 3, secs(6))),
            (FAULT_START_S + 15, Fault::NotReceiving(40, secs(22))),
            (FAULT_START_S + 45, Fault::Crash((n + 1) % 3, millis(300))),
        ];
        (
            format!("scenario {n}"),
            Scenario::small(30 + n as u64, 260, 60, faults),
        )
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.late_reports) > 300);
}

#[test]
fn delayed_commands_and_responses_break_no_invariant() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (FAULT_START_S - 30, Fault::DelayedCommands(70, secs(140))),
            (FAULT_START_S, Fault::Crash(n % 3, millis(300))),
            (FAULT_START_S + 30, Fault::Refused((n + 1) % 3, secs(15))),
        ];
        (
            format!("scenario {n}"),
            Scenario::small(60 + n as u64, 260, 70, faults),
        )
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.delayed_commands) > 50);
    // Workers still carry out some of the commands that arrive late.
    assert!(total_count(&runs, |counts| counts.delayed_commands_accepted) > 5);
}

/// Returns the HTTP status with which a worker answers a start command that arrives after the time
/// limit of a cancellation.
///
/// The start is sent directly to the worker and delayed. Its sender cancels the job a second later,
/// and the host record cannot be written, so the fencing token does not change. With `is_guarded`
/// the sender stops answering heartbeats, and so stops renewing the lease, once the start has been
/// in flight for too long.
#[expect(
    clippy::too_many_lines,
    reason = "one sequence of events, step by step"
)]
fn status_of_late_start(is_guarded: bool) -> u16 {
    let bounds = LeaseTerms {
        lease_duration: Micros::from_secs(16),
        cancellation_time: Micros::from_secs(46),
    }
    .bounds()
    .unwrap();
    let times = WorkerTimes {
        lease: secs(16),
        gang_wait: secs(30),
    };
    let request_body = serde_json::json!({"uid":"job-000001","jobclass":"c","tenant":"t","shape":"array",
        "urgency":"urgent","shards":1,"vcpus":1.0,"accelerators":1.0,"memory_gb":1.0,
        "bundle":"img","size_gb":1.0,"hosttypes":null,"hall":null,"together":false,
        "apart":false,"reclaimable":true,"expected_s":900.0,"snapshot_every_s":0.0,
        "snapshot_s":0.0,"due_s":null});
    let job = JobRequest::parse(request_body.to_string().as_bytes()).unwrap();
    let (task, task_resources) = (TaskId::new(&job.id, 0), job.each);
    let image = (job.image.clone(), job.image_gb);
    let jobs = BTreeMap::from([(job.id.to_string(), job)]);
    let origin = Instant::now();
    let mut worker = Worker::new("n-000001", "a", false, 0, origin);
    let mut invariants = InvariantChecker::default();
    let record = HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        rewrites: 0,
    };
    let spec = Rc::new(MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 2.0, 128.0),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        nominal_boot_time: Micros::from_secs(20),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into()],
    });
    let start_time = Micros::from_secs(1_000);
    let mut host = Host::new(
        "n-000001".into(),
        &record,
        spec,
        FencingToken(5),
        false,
        start_time,
    );
    let mut sent_commands = Vec::new();
    for half_seconds in 0..240u64 {
        let now = start_time + Micros::from_millis(500 * half_seconds);
        let at = origin + millis(500 * half_seconds);
        if half_seconds % 5 == 0 {
            let heartbeat = Heartbeat::parse(worker.heartbeat().to_string().as_bytes()).unwrap();
            host.apply(
                HostInput::Heartbeat(&heartbeat, HeartbeatSource::Heartbeat),
                now,
            );
            let commands = host.commands(|_, _| true);
            let is_renewal_withheld = host
                .outstanding_starts_known_as_of()
                .is_some_and(|known| now >= bounds.owner_may_renew_until(known));
            if !(is_guarded && is_renewal_withheld) {
                host.apply(HostInput::Answered(&commands), now);
                let answer = serde_json::from_slice(&commands_body(host.token, None, &commands));
                worker.on_heartbeat_answer(&answer.unwrap(), at, worker.incarnation, &jobs, at);
            }
        }
        match half_seconds {
            1 => {
                let start_input =
                    HostInput::Start(task.clone(), Attempt(7), task_resources, image.clone());
                host.apply(start_input, now);
                let commands = host.commands(|_, _| true);
                sent_commands = commands_body(host.token, host.incarnation, &commands);
                host.apply(HostInput::DirectRequestSent(commands, now), now);
            }
            3 => {
                host.apply(HostInput::Stop(&task, Micros::ZERO), now);
            }
            7 => {
                host.apply(HostInput::DirectRequestUnanswered, now);
            }
            _ => {}
        }
        worker.tick(at, &times, &jobs, &mut invariants);
    }
    let late_arrival = origin + secs(120);
    worker
        .on_direct_commands(
            &serde_json::from_slice(&sent_commands).unwrap(),
            &jobs,
            late_arrival,
        )
        .0
}

#[test]
fn lease_is_not_renewed_while_a_start_is_in_flight() {
    // Without the guard the worker executes the start long after the cancellation.
    assert_eq!(status_of_late_start(false), 200);
    // With the guard the worker is in a new session by then and rejects the start.
    assert_eq!(status_of_late_start(true), 409);
}

/// Guards against host records of machines that were already returned. The last heartbeats of a
/// returned machine arrive late, possibly at a new leader. If the leader did not check that the
/// machine exists, the machine would get a record and count as capacity although it never sends
/// another heartbeat.
#[test]
fn late_heartbeats_of_returned_machines_create_no_host_records() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (FAULT_START_S - 40, Fault::LateHeartbeats(90, secs(170))),
            (FAULT_START_S + 10, Fault::Crash(0, millis(300))),
            (FAULT_START_S + 60, Fault::Crash(1, secs(9))),
        ];
        let scenario = Scenario::small(80 + n as u64, 280, 40, faults);
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.late_reports) > 1_000);
    // Late copies of heartbeats from machines already returned reached some controller.
    assert!(total_count(&runs, |counts| counts.late_heartbeats_of_returned) > 20);
    for (name, outcome) in &runs {
        assert_eq!(outcome.stale_host_records, Vec::<String>::new(), "{name}");
        assert_eq!(outcome.fault_counts.records_of_returned, 0, "{name}");
    }
}

/// Job whose tasks fail on the first machines that get them, and run on others.
const MOVING_JOB: &str = "job-900001";

fn moving_job() -> serde_json::Value {
    serde_json::json!({
        "uid": MOVING_JOB, "jobclass": KEPT_CLASS, "tenant": "team-0", "shape": "array",
        "urgency": "prod", "shards": 2, "vcpus": 3.0, "accelerators": 2.0, "memory_gb": 8.0,
        "bundle": "img-1", "size_gb": 0.5, "hosttypes": null, "hall": null, "together": false,
        "apart": false, "reclaimable": false, "expected_s": 150.0, "snapshot_every_s": 0.0,
        "snapshot_s": 0.0, "due_s": null,
    })
}

/// Returns scenarios with late copies of most answered direct commands, amid restarts within a
/// second, changes of owners, machines that hang, cancellations, and tasks that fail and move.
fn scenarios_with_command_copies() -> Vec<(String, Scenario)> {
    let scenarios = (0..6).map(|n| {
        let all_restart = (0..3).map(|node| (FAULT_START_S + 20, Fault::Crash(node, millis(300))));
        let mut faults = vec![
            (20, Fault::CommandCopies(80, secs(200))),
            (25, Fault::SickMachines(MOVING_JOB.to_owned(), 2, secs(40))),
            (FAULT_START_S - 30, Fault::CancelNow(6, secs(8))),
            (FAULT_START_S, Fault::Crash(n % 3, millis(300))),
            (FAULT_START_S + 10, Fault::Hang(3, secs(9))),
            (FAULT_START_S + 40, Fault::Crash((n + 1) % 3, secs(9))),
            (FAULT_START_S + 60, Fault::CancelNow(6, Duration::ZERO)),
            (FAULT_START_S + 70, Fault::Refused((n + 2) % 3, secs(20))),
        ];
        faults.extend(all_restart);
        let scenario = Scenario {
            failing_arrays: 3,
            uneven_arrays: 6,
            submissions: vec![(30, moving_job())],
            ..Scenario::small(660 + n as u64, 300, 70, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    scenarios.collect()
}

#[test]
fn late_copies_of_answered_commands_start_no_task_again() {
    let runs = run_scenarios(scenarios_with_command_copies());
    assert_invariants_hold(&runs);
    // Only the token or the incarnation keeps these copies from starting tasks again.
    assert!(total_count(&runs, |counts| counts.command_copies_of_cleared_starts) > 100);
    assert_eq!(
        total_count(&runs, |counts| counts.command_copies_with_effect),
        0
    );
}

/// Guards against a test of late copies that would not notice a task that they start.
#[test]
fn late_copies_that_pass_the_fencing_run_tasks_twice_and_after_cancellation() {
    let mut scenarios = scenarios_with_command_copies();
    for (_, scenario) in &mut scenarios {
        scenario.without_fencing_of_copies = true;
    }
    let runs = run_scenarios(scenarios);
    assert!(total_count(&runs, |counts| counts.command_copies_with_effect) > 100);
    let violations: Vec<&String> = runs.iter().flat_map(|(_, run)| &run.violations).collect();
    let is_found = |rule: &str| violations.iter().any(|found| found.starts_with(rule));
    assert!(
        is_found("ran_twice") && is_found("ran_cancelled"),
        "{violations:?}"
    );
}

#[test]
fn late_copies_of_answered_transactions_and_mesh_messages_break_no_invariant() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (20, Fault::StoreCopies(40, secs(200))),
            (20, Fault::MeshCopies(60, secs(200))),
            (FAULT_START_S, Fault::Crash(n % 3, millis(300))),
            (FAULT_START_S + 20, Fault::CancelNow(6, Duration::ZERO)),
            (FAULT_START_S + 30, Fault::Crash((n + 1) % 3, secs(9))),
            (FAULT_START_S + 60, Fault::Refused((n + 2) % 3, secs(20))),
        ];
        let scenario = Scenario {
            pipelines: (3, 40),
            ..Scenario::small(680 + n as u64, 300, 70, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.store_copies) > 1_000);
    assert!(total_count(&runs, |counts| counts.mesh_copies) > 200);
    assert!(total_count(&runs, |counts| counts.transaction_copies_with_effect) > 0);
    assert_eq!(
        total_count(&runs, |counts| counts
            .transaction_copies_with_lasting_effect),
        0
    );
}
