//! Transactions, heartbeats and commands that arrive late.

use crate::support::{AT, judge, met, millis, play, secs};
use jasperhill_membership::LeaseTerms;
use jasperhill_scheduler::{HeartbeatSource, Host, HostInput, MachineSpec};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::Fault;
use jasperhill_testkit::invariants::InvariantChecker;
use jasperhill_testkit::worker::{Worker, WorkerTimes};
use jasperhill_wire::record::{HostAssignment, HostRecord};
use jasperhill_wire::user::JobRequest;
use jasperhill_wire::worker::{Heartbeat, commands_body};
use jasperhill_wire::{Attempt, FencingToken, Micros, Resources, TaskId};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

#[test]
fn transactions_are_carried_out_late_after_newer_ones() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (AT - 30, Fault::LateWrites(40, secs(120))),
            (AT, Fault::Crash(n % 3, millis(300))),
            (AT + 20, Fault::Crash((n + 1) % 3, secs(12))),
            (AT + 45, Fault::Refused((n + 2) % 3, secs(12))),
        ];
        (
            format!("day {n}"),
            Scenario::small(20 + n as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.overtaken) > 100);
    assert!(met(&played, |m| m.effective) > 50);
}

#[test]
fn late_heartbeats_after_newer_ones_and_new_incarnations() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (AT - 30, Fault::LateHeartbeats(50, secs(150))),
            (AT, Fault::Crash(n % 3, secs(6))),
            (AT + 15, Fault::NotReceiving(40, secs(22))),
            (AT + 45, Fault::Crash((n + 1) % 3, millis(300))),
        ];
        (
            format!("day {n}"),
            Scenario::small(30 + n as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.late_reports) > 300);
}

#[test]
fn commands_or_their_responses_are_delayed() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (AT - 30, Fault::DelayedCommands(70, secs(140))),
            (AT, Fault::Crash(n % 3, millis(300))),
            (AT + 30, Fault::Refused((n + 1) % 3, secs(15))),
        ];
        (
            format!("day {n}"),
            Scenario::small(60 + n as u64, 260, 70, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.held_orders) > 50);
    // Some are carried out all the same, long after.
    assert!(met(&played, |m| m.held_done) > 5);
}

/// A start sent straight is held up for longer than a cancellation has; its job is cancelled a
/// second after it was sent, which whoever sent it knows; the record of its host can't be written, so
/// that the token stays. What the worker makes of it when it comes.
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
fn a_start_comes_late(guarded: bool) -> u16 {
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
    let body = serde_json::json!({"uid":"job-000001","jobclass":"c","tenant":"t","shape":"array",
        "urgency":"urgent","shards":1,"vcpus":1.0,"accelerators":1.0,"memory_gb":1.0,
        "bundle":"img","size_gb":1.0,"hosttypes":null,"hall":null,"together":false,
        "apart":false,"reclaimable":true,"expected_s":900.0,"snapshot_every_s":0.0,
        "snapshot_s":0.0,"due_s":null});
    let job = JobRequest::parse(body.to_string().as_bytes()).unwrap();
    let (task, each) = (TaskId::new(&job.id, 0), job.each);
    let image = (job.image.clone(), job.image_gb);
    let jobs = BTreeMap::from([(job.id.to_string(), job)]);
    let origin = Instant::now();
    let mut worker = Worker::new("n-000001", "a", false, 0, origin);
    let mut rules = InvariantChecker::default();
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
    let start = Micros::from_secs(1_000);
    let mut host = Host::new(
        "n-000001".into(),
        &record,
        spec,
        FencingToken(5),
        false,
        start,
    );
    let mut sent = Vec::new();
    for half in 0..240u64 {
        let now = start + Micros::from_millis(500 * half);
        let at = origin + millis(500 * half);
        if half % 5 == 0 {
            let report = Heartbeat::parse(worker.heartbeat().to_string().as_bytes()).unwrap();
            host.apply(
                HostInput::Heartbeat(&report, HeartbeatSource::Heartbeat),
                now,
            );
            let orders = host.commands(|_, _| true);
            let withheld = host
                .outstanding_starts_known_as_of()
                .is_some_and(|known| now >= bounds.owner_may_renew_until(known));
            if !(guarded && withheld) {
                host.apply(HostInput::Answered(&orders), now);
                let answer = serde_json::from_slice(&commands_body(host.token, None, &orders));
                worker.on_heartbeat_answer(&answer.unwrap(), at, worker.incarnation, &jobs, at);
            }
        }
        match half {
            1 => {
                let begin = HostInput::Start(task.clone(), Attempt(7), each, image.clone());
                host.apply(begin, now);
                let orders = host.commands(|_, _| true);
                sent = commands_body(host.token, host.incarnation, &orders);
                host.apply(HostInput::DirectRequestSent(orders, now), now);
            }
            3 => {
                host.apply(HostInput::Stop(&task, Micros::ZERO), now);
            }
            7 => {
                host.apply(HostInput::DirectRequestUnanswered, now);
            }
            _ => {}
        }
        worker.tick(at, &times, &jobs, &mut rules);
    }
    let late = origin + secs(120);
    worker
        .on_direct_commands(&serde_json::from_slice(&sent).unwrap(), &jobs, late)
        .0
}

#[test]
fn a_lease_is_not_renewed_for_as_long_as_a_start_is_on_its_way() {
    // Carried out, long after the cancellation: the guard is needed.
    assert_eq!(a_start_comes_late(false), 200);
    // Another session by then.
    assert_eq!(a_start_comes_late(true), 409);
}

/// A machine is returned, and its last reports come later, also to a new leader. Without the question
/// whether it is there it gets a record, counts as room and is never heard.
#[test]
fn late_heartbeats_of_returned_machines() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (AT - 40, Fault::LateHeartbeats(90, secs(170))),
            (AT + 10, Fault::Crash(0, millis(300))),
            (AT + 60, Fault::Crash(1, secs(9))),
        ];
        let plan = Scenario::small(80 + n as u64, 280, 40, troubles);
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.late_reports) > 1_000);
    // Copies of reports from machines that were gone by then, which came to somebody.
    assert!(met(&played, |m| m.late_of_gone) > 20);
    for (name, o) in &played {
        assert_eq!(o.stale_host_records, Vec::<String>::new(), "{name}");
        assert_eq!(o.fault_counts.taken_on_gone, 0, "{name}");
    }
}
