//! The host and partition machines, driven by chosen and by generated events.

use jasperhill_scheduler::{
    AdmissionDecision, FencingState, HeartbeatSource, Host, HostInput, MachineSpec, Partition,
    SchedulerConfig, TeamLimits, Tuning,
    job::{DependencyStatus, Readiness, Termination},
};
use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Micros, Resources, Revision, TaskId,
    record::{HostAssignment, HostRecord, JobRecord},
    user::{JobRequest, Priority},
    worker::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus},
};
use proptest::prelude::*;
use std::{collections::BTreeMap, rc::Rc};

const NOW: Micros = Micros::from_secs(10_000);

fn spec() -> Rc<MachineSpec> {
    Rc::new(MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 2.0, 128.0),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        boot: Micros::from_secs(20),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into(), "b".into()],
    })
}

fn record(zone: &str) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: zone.into(),
        spot: false,
        rewrites: 0,
    }
}

fn report(host: &str, tenure: u64, counter: u64, token: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        incarnation: tenure,
        sequence: counter,
        token: FencingToken(token),
        termination_notice: None,
        tasks,
    }
}

fn task(i: u32) -> TaskId {
    TaskId::new(&JobId::new("job-1"), i)
}

fn seen(i: u32, attempt: u64, phase: TaskPhase) -> TaskStatus {
    TaskStatus {
        task: task(i),
        attempt: Attempt(attempt),
        phase,
    }
}

fn host() -> Host {
    let mut host = Host::new(
        "n-1".into(),
        &record("a"),
        spec(),
        FencingToken(5),
        false,
        NOW,
    );
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 1, 5, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    host
}

fn start(host: &mut Host, i: u32, attempt: u64) {
    let each = Resources::from_units(1.0, 1.0, 1.0);
    host.apply(
        HostInput::Start(task(i), Attempt(attempt), each, ("img".into(), 1.0)),
        NOW,
    );
}

#[test]
fn a_result_is_not_cleared_while_its_run_is_in_doubt() {
    let mut host = host();
    start(&mut host, 0, 7);
    let orders = host.commands(|_, _| true);
    host.apply(HostInput::DirectSent(orders, NOW), NOW);
    host.apply(HostInput::DirectUnanswered, NOW);
    assert!(host.needs_token());
    let exited = vec![seen(0, 7, TaskPhase::Exited(ExitCause::Done))];
    host.apply(
        HostInput::Heartbeat(
            &report("n-1", 1, 2, 5, exited.clone()),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    // The late `run` would start it once more.
    assert_eq!(host.commands(|_, _| true), vec![]);
    host.apply(HostInput::TokenRaised(FencingToken(9)), NOW);
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 3, 9, exited), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert_eq!(
        host.commands(|_, _| true),
        vec![Command::Clear(task(0), Attempt(7))]
    );
    // And not before the result is durable.
    assert_eq!(host.commands(|_, _| false), vec![]);
}

/// A worker that has seen a higher token drops every order: without this the host looks
/// usable, and what is started there stays «ordered» for ever.
#[test]
fn a_host_that_has_seen_a_higher_token_gets_none_until_ours_is_raised() {
    let mut host = host();
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 2, 8, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert!(host.needs_token() && !host.is_usable(NOW, &config()));
    host.apply(HostInput::TokenRaised(FencingToken(9)), NOW);
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 3, 9, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert!(host.is_usable(NOW, &config()));
}

#[test]
fn a_stopped_task_counts_until_no_order_can_start_it() {
    let mut host = host();
    start(&mut host, 0, 7);
    let orders = host.commands(|_, _| true);
    host.apply(HostInput::Answered(&orders), NOW);
    host.apply(HostInput::Stop(&task(0), Micros::ZERO), NOW);
    // A direct answer can overtake the answer to the report: absent there proves nothing.
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 2, 5, vec![]), HeartbeatSource::Direct),
        NOW,
    );
    assert!(!host.is_empty());
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 3, 5, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert!(host.is_empty());
}

#[test]
fn late_reports_change_nothing_and_a_new_session_clears_all() {
    let mut host = host();
    start(&mut host, 0, 7);
    let running = vec![seen(0, 7, TaskPhase::Running)];
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 5, 5, running), HeartbeatSource::Heartbeat),
        NOW,
    );
    host.apply(
        HostInput::Heartbeat(&report("n-1", 1, 4, 5, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert!(!host.is_empty());
    host.apply(
        HostInput::Heartbeat(&report("n-1", 2, 6, 5, vec![]), HeartbeatSource::Heartbeat),
        NOW,
    );
    assert!(host.is_empty());
}

/// A worker's lease ran out while its owner stood still. The owner learns of the new session
/// by a direct order, and starts a task there once the worker speaks: that must outlive the old
/// session's lapse.
#[test]
fn a_new_session_does_not_lapse_with_the_old_one() {
    let mut part = partition(1, false);
    let id = HostId::new("n-1");
    part.apply(&id, HostInput::Answered(&[]), NOW);
    let lease = part.config.lease_expiry();
    let just_before = NOW + lease - Micros::from_millis(100);
    part.on_heartbeat(
        &report("n-1", 2, 9, 5, vec![]),
        HeartbeatSource::Direct,
        just_before,
    );
    part.upsert_job(
        &request("job-1", "array", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(just_before);
    // Nobody may renew that session: it may reach nobody.
    assert_eq!(live(&part, "job-1"), 0);
    part.on_heartbeat(
        &report("n-1", 2, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        just_before,
    );
    part.run_cycle(just_before);
    assert_eq!(live(&part, "job-1"), 1);
    part.run_cycle(NOW + lease + Micros::from_secs(1));
    assert_eq!(part.hosts[&id].fencing, FencingState::Fenced);
    assert_eq!(live(&part, "job-1"), 1);
    // The new session lapses in its own time.
    part.run_cycle(just_before + lease + Micros::from_secs(1));
    assert_eq!(part.hosts[&id].fencing, FencingState::Lapsed);
}

/// After a takeover one host is known and one is not. Guards against a team's limit that is given out
/// again while tasks of a cancelled job may run unseen, or are seen and not gone yet.
#[test]
fn what_was_cancelled_counts_until_its_tasks_are_gone() {
    let one = HostId::new("n-1");
    let gpus = |part: &Partition| part.team_use(&"red".into()).gpus / 1_000_000;
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let running = |n: u32| {
        let task = TaskId::new(&JobId::new("job-old"), n);
        TaskStatus {
            task,
            attempt: Attempt(1),
            phase: TaskPhase::Running,
        }
    };
    // Cancelled after the takeover, and before it: then its record tells.
    for recalled in [false, true] {
        let mut part = partition(2, true);
        if recalled {
            let record = JobRecord::cancelled(&cancelled, 0, NOW);
            part.restore_cancelled(&cancelled.id, &record.residual_usage.unwrap(), NOW);
        } else {
            part.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
        }
        let new = request("job-new", "array", 4, 1.0, None);
        part.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        part.on_heartbeat(
            &report("n-1", 1, 1, 5, vec![running(0)]),
            HeartbeatSource::Direct,
            NOW,
        );
        if !recalled {
            part.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        part.run_cycle(NOW);
        // Three of four may be there: one more may start.
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 1));
        let stops = part
            .commands(&one)
            .iter()
            .any(|o| matches!(o, Command::Stop(t, ..) if t.index == 0));
        assert!(stops);
        // The other host shows one, which is stopped as well; the third is nowhere.
        part.on_heartbeat(
            &report("n-2", 1, 1, 5, vec![running(2)]),
            HeartbeatSource::Direct,
            NOW,
        );
        part.run_cycle(NOW);
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 2));
        // Gone, both.
        for (host, n) in [("n-1", 0), ("n-2", 2)] {
            let mut gone = running(n);
            gone.phase = TaskPhase::Exited(ExitCause::Stopped { saved: false });
            part.on_heartbeat(
                &report(host, 1, 2, 5, vec![gone]),
                HeartbeatSource::Heartbeat,
                NOW,
            );
        }
        part.run_cycle(NOW);
        assert_eq!(gpus(&part), 4);
        assert_eq!(live(&part, "job-new"), 4);
        assert!(!part.jobs.contains_key(&cancelled.id));
    }
}

/// The same where the host that is known shows nothing of it.
#[test]
fn what_was_cancelled_counts_while_it_may_run_unseen() {
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let record = JobRecord::cancelled(&cancelled, 0, NOW);
    for recalled in [false, true] {
        let mut part = partition(2, true);
        if recalled {
            let remains = record.residual_usage.as_ref().unwrap();
            part.restore_cancelled(&cancelled.id, remains, NOW);
        } else {
            part.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
            part.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        let new = request("job-new", "array", 4, 1.0, None);
        part.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        part.on_heartbeat(
            &report("n-1", 1, 1, 5, vec![]),
            HeartbeatSource::Direct,
            NOW,
        );
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-new"), 1);
        // The other host's lease has surely lapsed: nothing of it is left.
        let later = NOW + part.config.lease_expiry() + Micros::from_secs(1);
        part.on_heartbeat(
            &report("n-1", 1, 2, 5, vec![]),
            HeartbeatSource::Heartbeat,
            later,
        );
        part.apply(&HostId::new("n-1"), HostInput::Answered(&[]), later);
        part.run_cycle(later);
        assert!(!part.jobs.contains_key(&cancelled.id));
        assert_eq!(
            part.hosts[&HostId::new("n-2")].fencing,
            FencingState::Lapsed
        );
        assert!(live(&part, "job-new") > 1);
    }
}

/// A machine that answers direct requests and reaches no controller. Guards against work that it is
/// given straight, in each of its sessions, and that its lease kills each time.
#[test]
fn a_machine_that_reaches_nobody_gets_no_work() {
    let (config, silence) = (config(), config().silence_limit());
    let taken = |unconfirmed| {
        let now = NOW;
        Host::new(
            "n-1".into(),
            &record("a"),
            spec(),
            FencingToken(5),
            unconfirmed,
            now,
        )
    };
    let heard = |host: &mut Host, (tenure, counter), source, at| {
        host.apply(
            HostInput::Heartbeat(&report("n-1", tenure, counter, 5, vec![]), source),
            at,
        );
        host.is_usable(at, &config)
    };
    // New here: it may not come round to us for as long as its lease lasts.
    let mut host = taken(false);
    assert!(!heard(&mut host, (1, 1), HeartbeatSource::Direct, NOW));
    assert!(heard(&mut host, (1, 2), HeartbeatSource::Heartbeat, NOW));
    // It goes on answering, and does not report.
    let later = NOW + silence;
    assert!(!heard(&mut host, (1, 3), HeartbeatSource::Direct, later));
    assert!(heard(&mut host, (1, 4), HeartbeatSource::Heartbeat, later));
    // Another session, known by a direct answer.
    assert!(!heard(&mut host, (2, 5), HeartbeatSource::Direct, later));
    assert!(heard(&mut host, (2, 6), HeartbeatSource::Heartbeat, later));
    // New to us, and not in its first session: nobody has answered it.
    let mut host = taken(false);
    assert!(!heard(&mut host, (3, 1), HeartbeatSource::Direct, NOW));
    assert!(heard(&mut host, (3, 2), HeartbeatSource::Heartbeat, NOW));
    // After a takeover any session may be one that is renewed, for a while.
    let mut host = taken(true);
    assert!(heard(&mut host, (3, 1), HeartbeatSource::Direct, NOW));
    assert!(!heard(&mut host, (3, 2), HeartbeatSource::Direct, later));
}

fn config() -> Rc<SchedulerConfig> {
    Rc::new(SchedulerConfig {
        partitions: 1,
        teams: vec![TeamLimits {
            name: "red".into(),
            guaranteed: Resources::from_units(0.0, 2.0, 0.0),
            limit: Resources::from_units(0.0, 4.0, 0.0),
        }],
        report: Micros::from_secs(3),
        lease: Micros::from_secs(16),
        gang_wait: Micros::from_secs(30),
        gang_peer: Micros::from_secs(4),
        start_within: BTreeMap::new(),
        tuning: Tuning::default(),
    })
}

fn request(id: &str, shape: &str, tasks: u32, gpus: f64, due: Option<f64>) -> Rc<JobRequest> {
    let due = due.map_or("null".to_owned(), |d| d.to_string());
    let text = format!(
        r#"{{"uid":"{id}","jobclass":"c","tenant":"red","shape":"{shape}","urgency":"standard",
        "shards":{tasks},"vcpus":1.0,"accelerators":{gpus:?},"memory_gb":1.0,"bundle":"i","size_gb":1.0,
        "hosttypes":null,"hall":null,"together":false,"apart":false,"reclaimable":false,
        "expected_s":10.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":{due}}}"#
    );
    Rc::new(JobRequest::parse(text.as_bytes()).unwrap())
}

fn partition(hosts: usize, at_takeover: bool) -> Partition {
    let specs = Rc::new(BTreeMap::from([("box".into(), spec())]));
    let mut part = Partition::new(0, Revision(5), config(), specs);
    for n in 1..=hosts {
        let id = HostId::new(&format!("n-{n}"));
        part.upsert_host(&id, &record("a"), Revision(4), at_takeover, NOW);
        if !at_takeover {
            part.on_heartbeat(
                &report(id.as_str(), 1, 1, 5, vec![]),
                HeartbeatSource::Heartbeat,
                NOW,
            );
        }
    }
    part
}

fn live(part: &Partition, id: &str) -> usize {
    part.jobs.get(&JobId::new(id)).map_or(0, |j| j.live.len())
}

#[test]
fn after_a_takeover_old_jobs_wait_for_the_last_host_and_new_ones_do_not() {
    let mut part = partition(2, true);
    part.upsert_job(
        &request("job-old", "array", 1, 1.0, None),
        Revision(3),
        NOW,
        &[],
        (0, NOW),
    );
    part.upsert_job(
        &request("job-new", "array", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.on_heartbeat(
        &report("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!((live(&part, "job-old"), live(&part, "job-new")), (0, 1));
    // The other host's lease has surely lapsed.
    let later = NOW + part.config.lease_expiry();
    part.on_heartbeat(
        &report("n-1", 1, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        later,
    );
    part.apply(&"n-1".into(), HostInput::Answered(&[]), later);
    part.run_cycle(later);
    assert_eq!(
        part.hosts[&HostId::new("n-2")].fencing,
        FencingState::Lapsed
    );
    assert_eq!(live(&part, "job-old"), 1);
}

#[test]
fn an_unknown_spot_machine_does_not_hold_up_work_that_never_runs_on_such() {
    let mut part = partition(1, true);
    let silent = HostRecord {
        spot: true,
        ..record("a")
    };
    part.upsert_host(&"n-9".into(), &silent, Revision(4), true, NOW);
    let steady = request("job-steady", "array", 1, 1.0, None);
    let mut flexible = (*request("job-flexible", "array", 1, 1.0, None)).clone();
    flexible.spot = true;
    for job in [steady, Rc::new(flexible)] {
        part.upsert_job(&job, Revision(3), NOW, &[], (0, NOW));
    }
    part.on_heartbeat(
        &report("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-steady"), 1);
    assert_eq!(live(&part, "job-flexible"), 0);
}

#[test]
fn the_limit_counts_what_may_run_unseen() {
    let mut part = partition(2, true);
    part.upsert_job(
        &request("job-old", "array", 3, 1.0, None),
        Revision(3),
        NOW,
        &[],
        (0, NOW),
    );
    part.upsert_job(
        &request("job-new", "array", 4, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.on_heartbeat(
        &report("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-new"), 1);
}

#[test]
fn the_admission_test_refuses_what_would_miss_and_books_what_fits() {
    let part = partition(1, false);
    let fits = request("job-1", "array", 2, 1.0, Some(20.0));
    let two_rounds = request("job-2", "array", 4, 1.0, Some(20.0));
    let hopeless = request("job-3", "array", 1, 1.0, Some(9.0));
    let none = (0, Micros::ZERO);
    assert_eq!(
        part.admit(&fits, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Admit
    );
    assert_eq!(
        part.admit(&two_rounds, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        part.admit(&hopeless, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
    // Machines that can be had in time count as well.
    assert_eq!(
        part.admit(
            &two_rounds,
            NOW,
            NOW,
            Micros::ZERO,
            (1, Micros::from_secs(5))
        ),
        AdmissionDecision::Admit
    );
    // A retry does not get more time than the first try had.
    assert_eq!(
        part.admit(&fits, NOW - Micros::from_secs(15), NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
}

#[test]
fn a_gang_passes_whole_and_is_mended_whole() {
    let mut part = partition(2, false);
    part.upsert_job(
        &request("job-1", "ensemble", 2, 2.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-1"), 2);
    let attempt = part.jobs[&JobId::new("job-1")].attempt.unwrap();
    part.apply(&"n-1".into(), HostInput::Gone, NOW);
    part.run_cycle(NOW);
    let orders = part.commands(&"n-2".into());
    // Never sent, so taken back at once; nothing of the attempt is left.
    assert_eq!(orders, vec![]);
    assert_eq!(live(&part, "job-1"), 0);
    part.on_heartbeat(
        &report("n-1", 2, 20, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    part.run_cycle(NOW);
    let next = part.jobs[&JobId::new("job-1")].attempt;
    assert!(next.is_none() || next > Some(attempt));
}

#[test]
fn a_cancelled_job_is_stopped_and_never_started() {
    let mut part = partition(1, false);
    part.upsert_job(
        &request("job-1", "daemon", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(NOW);
    let orders = part.commands(&"n-1".into());
    part.apply(&"n-1".into(), HostInput::Answered(&orders), NOW);
    part.end_job(&JobId::new("job-1"), Termination::Cancelled, NOW);
    part.run_cycle(NOW);
    let orders = part.commands(&"n-1".into());
    assert!(matches!(orders[..], [Command::Stop(..)]), "{orders:?}");
}

#[test]
fn a_host_that_fails_all_is_set_aside_and_a_job_that_fails_everywhere_is_not_held_against_hosts() {
    let mut part = partition(2, false);
    for n in 0..2 {
        let id = format!("job-{n}");
        part.upsert_job(
            &request(&id, "array", 1, 2.0, None),
            Revision(6),
            NOW,
            &[],
            (0, NOW),
        );
    }
    let host = HostId::new("n-1");
    let mut counter = 10;
    for round in 0..2u64 {
        part.run_cycle(NOW);
        let now = NOW + Micros::from_millis(round);
        let on: Vec<(TaskId, Attempt)> = part.hosts[&host]
            .tasks
            .iter()
            .filter(|(_, t)| t.holds_resources())
            .map(|(id, t)| (id.clone(), t.attempt))
            .collect();
        let tasks = on
            .into_iter()
            .map(|(task, attempt)| TaskStatus {
                task,
                attempt,
                phase: TaskPhase::Exited(ExitCause::Error),
            })
            .collect();
        counter += 1;
        part.on_heartbeat(
            &report("n-1", 1, counter, 5, tasks),
            HeartbeatSource::Heartbeat,
            now,
        );
        let later = request(&format!("job-9{round}"), "array", 1, 2.0, None);
        part.upsert_job(&later, Revision(6), now, &[], (0, NOW));
    }
    assert!(!part.hosts[&host].is_usable(NOW, &part.config));
    assert!(part.hosts[&HostId::new("n-2")].quarantined_until.is_none());
}

/// What a host says: all tasks that are on it have failed, or have completed.
fn all_exit(
    part: &mut Partition,
    host: &str,
    counter: u64,
    cause: ExitCause,
    now: Micros,
) -> usize {
    let exited = |(id, t): (&TaskId, &jasperhill_scheduler::host::HostTask)| TaskStatus {
        task: id.clone(),
        attempt: t.attempt,
        phase: TaskPhase::Exited(cause),
    };
    let on = part.hosts[&HostId::new(host)].tasks.iter();
    let tasks: Vec<TaskStatus> = on
        .filter(|(_, t)| t.holds_resources())
        .map(exited)
        .collect();
    let n = tasks.len();
    part.on_heartbeat(
        &report(host, 1, counter, 5, tasks),
        HeartbeatSource::Heartbeat,
        now,
    );
    n
}

/// Guards against arrays submitted with a mistake that quarantined a large part of the fleet.
#[test]
fn an_array_that_fails_everywhere_sets_no_host_aside_and_tries_one_task_at_a_time() {
    let mut part = partition(6, false);
    let id = JobId::new("job-1");
    part.upsert_job(
        &request("job-1", "array", 40, 0.0, Some(500.0)),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-1"), 40, "all tasks run, on several hosts");
    let mut failed = 0;
    for n in 1..=6 {
        failed += all_exit(&mut part, &format!("n-{n}"), 5, ExitCause::Error, NOW);
    }
    assert_eq!(failed, 40);
    assert!(part.jobs[&id].failures.is_backing_off());
    assert!(part.hosts.values().all(|h| h.is_usable(NOW, &part.config)));
    assert!(part.unsaved.contains(&id), "the suspicion is to be written");
    // Nothing during the pause, one task after it, and the pause grows.
    part.run_cycle(NOW + Micros::from_secs(1));
    assert_eq!(live(&part, "job-1"), 0);
    let later = NOW + Micros::from_secs(5);
    part.run_cycle(later);
    assert_eq!(live(&part, "job-1"), 1);
    // The try completes: it was not the job, and the others are blamed after all.
    let host = part.jobs[&id].live.values().next().unwrap().clone();
    all_exit(&mut part, host.as_str(), 6, ExitCause::Done, later);
    assert!(!part.jobs[&id].failures.is_backing_off());
    for h in part.hosts.values() {
        assert_eq!(h.is_usable(later, &part.config), h.id == host);
    }
}

/// What was learned before a takeover is not forgotten: one task is tried, not the array.
#[test]
fn a_suspect_job_is_still_suspect_after_a_takeover() {
    let mut part = partition(6, false);
    part.upsert_job(
        &request("job-1", "array", 40, 0.0, None),
        Revision(6),
        NOW,
        &[],
        (1, NOW),
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-1"), 0);
    part.run_cycle(NOW + Micros::from_secs(5));
    assert_eq!(live(&part, "job-1"), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Start(u32),
    Stop(u32),
    Send,
    Answer,
    Settle,
    Lose,
    Raise,
    Gone,
    Report {
        counter: u64,
        tenure: u64,
        token: u64,
        phases: Vec<Option<u8>>,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..4).prop_map(Step::Start),
        (0u32..4).prop_map(Step::Stop),
        Just(Step::Send),
        Just(Step::Answer),
        Just(Step::Settle),
        Just(Step::Lose),
        Just(Step::Raise),
        Just(Step::Gone),
        (
            0u64..40,
            1u64..4,
            0u64..60,
            proptest::collection::vec(proptest::option::of(0u8..5), 4)
        )
            .prop_map(|(counter, tenure, token, phases)| Step::Report {
                counter,
                tenure,
                token,
                phases
            }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever a worker and the network do: tokens only grow, a task that may still start is
    /// never cleared or forgotten, and what is emptied has nothing in doubt.
    #[test]
    fn hosts_keep_their_guards(steps in proptest::collection::vec(step(), 1..60)) {
        let mut host = host();
        let (mut attempt, mut token) = (100, 5);
        let mut unsettled: Vec<(TaskId, Attempt)> = Vec::new();
        let mut doubted: Vec<(TaskId, Attempt)> = Vec::new();
        for step in steps {
            match step {
                Step::Start(i) if !host.tasks.contains_key(&task(i)) => {
                    attempt += 1;
                    start(&mut host, i, attempt);
                }
                Step::Stop(i) => { host.apply(HostInput::Stop(&task(i), Micros::ZERO), NOW); }
                Step::Send if !host.in_flight() && !host.in_doubt() => {
                    let orders = host.commands(|_, _| true);
                    unsettled = orders.iter().filter(|o| matches!(o, Command::Start(..)))
                        .map(|o| (o.key().0.clone(), o.key().1)).collect();
                    host.apply(HostInput::DirectSent(orders, NOW), NOW);
                }
                Step::Settle => { unsettled.clear(); host.apply(HostInput::DirectSettled, NOW); }
                Step::Lose => {
                    if host.in_flight() && host.fencing != FencingState::Lapsed { doubted.append(&mut unsettled); }
                    unsettled.clear();
                    host.apply(HostInput::DirectUnanswered, NOW);
                }
                Step::Answer => {
                    let orders = host.commands(|_, _| true);
                    host.apply(HostInput::Answered(&orders), NOW);
                }
                Step::Raise => { token += 10; host.apply(HostInput::TokenRaised(FencingToken(token)), NOW); }
                Step::Gone => { doubted.clear(); host.apply(HostInput::Gone, NOW); }
                Step::Report { counter, tenure, token: shown, phases } => {
                    let tasks: Vec<TaskStatus> = phases.iter().enumerate().filter_map(|(i, p)| {
                        let known = host.tasks.get(&task(i as u32))?;
                        let phase = match (*p)? {
                            0 => TaskPhase::Fetching,
                            1 => TaskPhase::Running,
                            2 => TaskPhase::Waiting,
                            3 => TaskPhase::Exited(ExitCause::Done),
                            _ => TaskPhase::Exited(ExitCause::Error),
                        };
                        Some(seen(i as u32, known.attempt.0, phase))
                    }).collect();
                    let before = host.incarnation;
                    host.apply(HostInput::Heartbeat(&report("n-1", tenure, counter, shown.min(token), tasks), HeartbeatSource::Heartbeat), NOW);
                    if host.incarnation > before || !host.in_doubt() { doubted.clear(); }
                }
                _ => {}
            }
            prop_assert!(host.token.0 >= 5);
            for order in host.commands(|_, _| true) {
                if let Command::Clear(task, attempt) = order {
                    prop_assert!(!doubted.contains(&(task.clone(), attempt)), "cleared in doubt");
                    prop_assert!(!unsettled.contains(&(task, attempt)), "cleared in flight");
                }
            }
            if host.is_empty() {
                prop_assert!(doubted.is_empty() && !host.in_flight());
            }
        }
    }
}

/// Guards against heartbeats that outgrow what a request body may have: a guest's tasks can be so
/// small that thousands would fit a machine.
#[test]
fn a_host_lists_no_more_tasks_than_a_report_may_hold() {
    let mut part = partition(1, false);
    let mut tiny = (*request("job-1", "array", 50_000, 0.0, None)).clone();
    tiny.each = Resources::from_units(0.001, 0.0, 0.001);
    part.upsert_job(&Rc::new(tiny), Revision(6), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let id = HostId::new("n-1");
    let on = live(&part, "job-1");
    assert!((100..1_000).contains(&on), "{on}");
    let orders = part.commands(&id);
    let text = jasperhill_wire::worker::commands_body(part.hosts[&id].token, Some(1), &orders);
    assert!(text.len() < 60_000, "{}", text.len());
    // Exited tasks that can't be cleared yet count as well.
    all_exit(&mut part, "n-1", 9, ExitCause::Done, NOW);
    part.run_cycle(NOW);
    assert!(part.hosts[&id].listed() <= on + 1);
    // Once the results are in the record, others follow.
    let done: std::collections::BTreeSet<u32> = (0..50_000).collect();
    part.saved(&JobId::new("job-1"), &done, 0);
    part.on_heartbeat(
        &report("n-1", 1, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    part.run_cycle(NOW);
    assert!(live(&part, "job-1") > 100);
}

/// Small tasks without accelerators go where accelerators are taken or spoilt already; whole
/// machines stay for gangs that need them.
#[test]
fn tasks_without_accelerators_keep_off_the_cpus_of_free_ones() {
    let mut part = partition(6, false);
    // All accelerators of one machine are taken, and one of another: there the CPUs left over
    // are fewer, and the other accelerator's.
    for (id, cpus, gpus) in [("job-1", 14.0, 2.0), ("job-2", 15.0, 1.0)] {
        let mut gang = (*request(id, "ensemble", 1, 2.0, None)).clone();
        gang.each = Resources::from_units(cpus, gpus, 100.0);
        part.upsert_job(&Rc::new(gang), Revision(6), NOW, &[], (0, NOW));
    }
    part.run_cycle(NOW);
    let full = part.jobs[&JobId::new("job-1")].live[&0].clone();
    assert_ne!(full, part.jobs[&JobId::new("job-2")].live[&0]);
    let mut small = (*request("job-9", "array", 2, 0.0, None)).clone();
    small.each = Resources::from_units(1.0, 0.0, 1.0);
    part.upsert_job(&Rc::new(small), Revision(7), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let live = &part.jobs[&JobId::new("job-9")].live;
    assert!(
        live.len() == 2 && live.values().all(|h| h == &full),
        "{live:?}"
    );
}

/// A job that waits for others is not reserved, started, or counted as running unseen, whatever
/// room there is; once it may, it starts, and ranks by what the jobs after it leave it.
#[test]
fn a_waiting_job_holds_nothing_until_it_is_released() {
    let mut part = partition(2, false);
    let id = JobId::new("job-2");
    let place = |gate, due| DependencyStatus {
        readiness: gate,
        since: NOW,
        due,
        priority: Some(Priority::High),
    };
    for (shape, due) in [("array", Some(100.0)), ("array", None), ("ensemble", None)] {
        let job = request("job-2", shape, 2, 1.0, due);
        part.upsert_job(&job, Revision(0), NOW, &[], (0, NOW));
        part.set_dependency_status(&id, place(Readiness::Waiting, None));
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-2"), 0);
        assert!(part.jobs[&id].reserved.is_empty());
        let other = request("job-3", "array", 1, 1.0, None);
        part.upsert_job(&other, Revision(7), NOW, &[], (0, NOW));
        let soon = NOW + Micros::from_secs(5);
        part.set_dependency_status(&id, place(Readiness::Open, Some(soon)));
        let rank = |id: &str| part.jobs[&JobId::new(id)].rank();
        assert!(rank("job-2") < rank("job-3"));
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-2"), 2);
        part = partition(2, false);
    }
}

/// The last job of a pipeline is admitted by when it will be released, not as if it were now.
#[test]
fn admission_counts_from_the_release() {
    let part = partition(1, false);
    let last = request("job-2", "array", 2, 1.0, Some(30.0));
    let none = (0, Micros::ZERO);
    let admit = |release| part.admit(&last, NOW, NOW, Micros::from_secs(release), none);
    assert_eq!(admit(0), AdmissionDecision::Admit);
    assert_eq!(admit(18), AdmissionDecision::Admit);
    assert_eq!(admit(25), AdmissionDecision::Refuse);
}

/// Guards against hosts that wait for a long task and hold up the emptying of others, and
/// against hosts that stay out of use when what is wanted has risen again.
#[test]
fn what_is_empty_soonest_is_emptied_first_and_used_again_when_wanted() {
    let mut part = partition(4, false);
    for (job, shape, estimate) in [("job-1", "array", 60), ("job-2", "array", 5)] {
        let mut r = (*request(job, shape, 1, 2.0, None)).clone();
        r.estimate = Micros::from_secs(estimate);
        part.upsert_job(&Rc::new(r), Revision(6), NOW, &[], (0, NOW));
    }
    part.run_cycle(NOW);
    let host_of = |part: &Partition, job: &str| part.jobs[&JobId::new(job)].live[&0].clone();
    let (long, short) = (host_of(&part, "job-1"), host_of(&part, "job-2"));
    let drained = |part: &Partition| -> Vec<HostId> {
        let hosts = part.hosts.values().filter(|h| h.draining.is_some());
        hosts.map(|h| h.id.clone()).collect()
    };
    // Ordinary machines are not too many: none is emptied.
    part.drain_surplus(NOW, (2, 0));
    assert_eq!(drained(&part), Vec::<HostId>::new());
    part.drain_surplus(NOW, (1, 1));
    assert_eq!(drained(&part), [short]);
    part.drain_surplus(NOW, (2, 2));
    assert_eq!(part.hosts[&long].draining, Some(NOW));
    part.drain_surplus(NOW, (1, 2));
    assert_eq!(drained(&part).len(), 1);
    part.drain_surplus(NOW, (0, 0));
    assert_eq!(drained(&part), Vec::<HostId>::new());
}

/// The host heartbeats everything that it was told to run as running.
fn all_runs(part: &mut Partition, host: &str, counter: u64, now: Micros) {
    let id = HostId::new(host);
    let tasks = part.hosts[&id]
        .tasks
        .iter()
        .filter(|(_, t)| t.holds_resources());
    let tasks = tasks.map(|(task, t)| TaskStatus {
        task: task.clone(),
        attempt: t.attempt,
        phase: TaskPhase::Running,
    });
    let report = report(host, 1, counter, 5, tasks.collect());
    part.on_heartbeat(&report, HeartbeatSource::Heartbeat, now);
    part.apply(&id, HostInput::Answered(&[]), now);
}

fn whole_host(id: &str, shape: &str, tasks: u32, priority: Priority) -> Rc<JobRequest> {
    let mut r = (*request(id, shape, tasks, 0.0, None)).clone();
    r.each = Resources::from_units(16.0, 0.0, 1.0);
    r.priority = priority;
    Rc::new(r)
}

/// Guards against lesser work that takes, while a lease runs out, the room that a lost replica
/// needs: and against room that stays kept when the host is back.
#[test]
fn room_for_a_replica_on_a_silent_host_is_kept_from_lesser_work() {
    let mut part = partition(2, false);
    let service = whole_host("job-live", "daemon", 1, Priority::Production);
    part.upsert_job(&service, Revision(6), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let home = part.jobs[&JobId::new("job-live")].live[&0].clone();
    let other = if home.as_str() == "n-1" { "n-2" } else { "n-1" };
    all_runs(&mut part, home.as_str(), 5, NOW);
    let silent = NOW + Micros::from_secs(7);
    part.on_heartbeat(
        &report(other, 1, 5, 5, vec![]),
        HeartbeatSource::Heartbeat,
        silent,
    );
    let lesser = whole_host("job-batch", "array", 1, Priority::Normal);
    part.upsert_job(&lesser, Revision(7), silent, &[], (0, silent));
    part.run_cycle(silent);
    assert_eq!(live(&part, "job-batch"), 0);
    // It is heard again: the room is free for all.
    let back = silent + Micros::from_secs(1);
    all_runs(&mut part, home.as_str(), 6, back);
    part.run_cycle(back);
    assert_eq!(live(&part, "job-batch"), 1);
    // And without it in the way, the replica is whole again as soon as its host is lost.
    part.end_job(&JobId::new("job-batch"), Termination::Cancelled, back);
    part.on_heartbeat(
        &report(other, 1, 6, 5, vec![]),
        HeartbeatSource::Heartbeat,
        back,
    );
    part.run_cycle(back);
    let lost = back + part.config.lease_expiry();
    part.on_heartbeat(
        &report(other, 1, 7, 5, vec![]),
        HeartbeatSource::Heartbeat,
        lost,
    );
    part.apply(&other.into(), HostInput::Answered(&[]), lost);
    part.run_cycle(lost);
    assert!(part.recovery.is_incomplete());
    let now = part.jobs[&JobId::new("job-live")].live[&0].clone();
    assert_eq!(now.as_str(), other);
    all_runs(&mut part, other, 8, lost);
    part.run_cycle(lost + Micros::from_secs(1));
    assert!(!part.recovery.is_incomplete());
}

/// Guards against a replica that waits for as long as a gang of several tasks runs.
#[test]
fn a_replica_takes_the_place_of_a_gang_where_there_is_no_other() {
    let mut part = partition(2, false);
    let gang = whole_host("job-gang", "ensemble", 2, Priority::High);
    part.upsert_job(&gang, Revision(6), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-gang"), 2);
    for (counter, host) in [(5, "n-1"), (6, "n-2")] {
        all_runs(&mut part, host, counter, NOW);
    }
    let service = whole_host("job-live", "daemon", 1, Priority::Production);
    part.upsert_job(&service, Revision(7), NOW, &[], (0, NOW));
    part.run_cycle(NOW);
    let stops = |host: &str| {
        let orders = part.commands(&host.into());
        orders.iter().any(|o| matches!(o, Command::Stop(..)))
    };
    assert!(stops("n-1") && stops("n-2"));
}

/// A job of one task with an estimate, on as much of a host as leaves room for others.
fn timed(id: &str, estimate: u64) -> Rc<JobRequest> {
    let mut r = (*request(id, "array", 1, 0.0, None)).clone();
    r.each = Resources::from_units(4.0, 0.0, 1.0);
    r.estimate = Micros::from_secs(estimate);
    Rc::new(r)
}

/// Guards against a machine that is blamed for a task that is merely long, and against a slow
/// one that is found out only when its tasks have ended.
#[test]
fn a_machine_is_slow_by_several_tasks_that_overrun_and_not_by_one() {
    let slow = |estimates: &[u64], ended: bool| {
        let mut part = partition(1, false);
        let host = HostId::new("n-1");
        for (n, estimate) in estimates.iter().enumerate() {
            let job = timed(&format!("job-{n}"), *estimate);
            part.upsert_job(&job, Revision(6), NOW, &[], (0, NOW));
        }
        part.run_cycle(NOW);
        assert_eq!(part.hosts[&host].tasks.len(), estimates.len());
        all_runs(&mut part, "n-1", 5, NOW);
        if ended {
            // Another task there ends in time, just before.
            let at = NOW + Micros::from_secs(18);
            part.upsert_job(&timed("job-x", 10), Revision(6), NOW, &[], (0, NOW));
            part.run_cycle(NOW);
            all_runs(&mut part, "n-1", 6, NOW + Micros::from_secs(9));
            let tasks = part.hosts[&host].tasks.iter();
            let tasks = tasks.map(|(task, t)| TaskStatus {
                task: task.clone(),
                attempt: t.attempt,
                phase: match task.job.as_str() {
                    "job-x" => TaskPhase::Exited(ExitCause::Done),
                    _ => TaskPhase::Running,
                },
            });
            let report = report("n-1", 1, 7, 5, tasks.collect());
            part.on_heartbeat(&report, HeartbeatSource::Heartbeat, at);
        }
        let over = NOW + Micros::from_secs(21);
        all_runs(&mut part, "n-1", 9, over);
        part.run_cycle(over);
        (
            part.hosts[&host].pace.is_slow(),
            part.hosts[&host].slowness > 1.5,
        )
    };
    assert_eq!(slow(&[10, 10, 10], false), (true, true));
    assert_eq!(slow(&[10, 300, 300], false), (false, false));
    assert_eq!(slow(&[10], false), (false, false));
    assert_eq!(slow(&[10, 10, 10], true), (false, false));
}

/// Guards against a machine whose heartbeats arrive and that hears nothing: it would get new work in
/// each of its sessions, which a lease later would begin elsewhere.
#[test]
fn a_machine_that_does_not_hear_gets_no_work_until_it_does() {
    let id = HostId::new("n-1");
    let usable = |part: &Partition, at: Micros| part.hosts[&id].is_usable(at, &config());
    let secs = Micros::from_secs;
    let heard = |part: &mut Partition, tenure, counter, token, at| {
        part.on_heartbeat(
            &report("n-1", tenure, counter, token, vec![]),
            HeartbeatSource::Heartbeat,
            at,
        );
        part.apply(&id, HostInput::Answered(&[]), at);
    };
    let mut part = partition(1, false);
    // Its lease ran out, and so did ours with it: nobody had answered. It hears as ever.
    heard(&mut part, 1, 2, 5, NOW);
    heard(&mut part, 2, 3, 5, NOW + secs(17));
    assert!(usable(&part, NOW + secs(17)));
    // Answered every three seconds, and a new session all the same.
    for n in 0..6 {
        heard(&mut part, 2, 4 + n, 5, NOW + secs(20 + 3 * n));
    }
    let later = NOW + secs(38);
    heard(&mut part, 3, 20, 5, later);
    assert!(!usable(&part, later) && part.hosts[&id].needs_token());
    part.apply(&id, HostInput::TokenRaised(FencingToken(9)), later);
    heard(&mut part, 3, 21, 5, later);
    assert!(!usable(&part, later));
    heard(&mut part, 3, 22, 9, later);
    assert!(usable(&part, later));
}

#[derive(Clone, Debug)]
enum Word {
    /// A heartbeat of one of two hosts: how much newer than its last one (none: a copy of an old one),
    /// whether in a new session, and what runs: job, task, attempt, phase.
    Report(usize, u64, bool, Vec<(usize, u32, u64, u8)>),
    End(usize, bool),
    Pass,
    Answer(usize),
}

fn word() -> impl Strategy<Value = Word> {
    let ran = proptest::collection::vec((0usize..4, 0u32..3, 1u64..4, 0u8..5), 0..5);
    prop_oneof![
        5 => (0usize..2, 0u64..3, proptest::bool::weighted(0.1), ran)
            .prop_map(|(host, newer, session, ran)| Word::Report(host, newer, session, ran)),
        1 => (0usize..3, any::<bool>()).prop_map(|(job, done)| Word::End(job, done)),
        2 => Just(Word::Pass),
        2 => (0usize..2).prop_map(Word::Answer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever a worker says that it runs, in whatever order it is heard: an answer that renews its
    /// lease stops what is cancelled, done, unknown or counted elsewhere. Never a bare renewal.
    #[test]
    fn no_answer_leaves_running_what_should_not_be(
        at_takeover in any::<bool>(),
        words in proptest::collection::vec(word(), 1..50),
    ) {
        let mut part = partition(2, at_takeover);
        let jobs = ["job-1", "job-2", "job-3", "job-unknown"];
        for (n, shape) in ["array", "ensemble", "daemon"].into_iter().enumerate() {
            let request = request(jobs[n], shape, 2, 0.0, None);
            part.upsert_job(&request, Revision(0), NOW, &[], (0, NOW));
        }
        let mut newest = [(1, 1), (1, 1)];
        let mut told: [Vec<TaskStatus>; 2] = [vec![], vec![]];
        for word in words {
            match word {
                Word::Report(h, newer, session, ran) => {
                    let (mut tenure, mut counter) = newest[h];
                    tenure += u64::from(session);
                    counter += newer;
                    let mut tasks: BTreeMap<TaskId, TaskStatus> = BTreeMap::new();
                    for (job, index, attempt, phase) in ran {
                        let task = TaskId::new(&JobId::new(jobs[job]), index);
                        // What we ordered there, as likely as not.
                        let ours = part.hosts[&HostId::new(&format!("n-{}", h + 1))].tasks.get(&task);
                        let attempt = match ours {
                            Some(t) if attempt != 1 => t.attempt,
                            _ => Attempt(attempt),
                        };
                        let phase = match phase {
                            0 => TaskPhase::Fetching,
                            1 => TaskPhase::Waiting,
                            2 => TaskPhase::Running,
                            3 => TaskPhase::Checkpointing,
                            _ => TaskPhase::Exited(ExitCause::Done),
                        };
                        tasks.insert(task.clone(), TaskStatus { task, attempt, phase });
                    }
                    let tasks: Vec<TaskStatus> = tasks.into_values().collect();
                    let host = format!("n-{}", h + 1);
                    let said = report(&host, tenure, counter, 5, tasks.clone());
                    part.on_heartbeat(&said, HeartbeatSource::Heartbeat, NOW);
                    if (tenure, counter) > newest[h] {
                        newest[h] = (tenure, counter);
                        told[h] = tasks;
                    }
                }
                Word::End(job, done) => {
                    let ending = if done { Termination::Done } else { Termination::Cancelled };
                    part.end_job(&JobId::new(jobs[job]), ending, NOW);
                }
                Word::Pass => part.run_cycle(NOW),
                Word::Answer(h) => {
                    let host = HostId::new(&format!("n-{}", h + 1));
                    let orders = part.commands(&host);
                    part.apply(&host, HostInput::Answered(&orders), NOW);
                }
            }
            for (h, tasks) in told.iter().enumerate() {
                let host = HostId::new(&format!("n-{}", h + 1));
                let orders = part.commands(&host);
                for t in tasks.iter().filter(|t| !matches!(t.phase, TaskPhase::Exited(_))) {
                    let counted = part.jobs.get(&t.task.job).is_some_and(|j| {
                        j.termination.is_none() && j.live.get(&t.task.index) == Some(&host)
                    });
                    let stopped = orders.iter().any(|o| {
                        matches!(o, Command::Stop(task, attempt, _) if *task == t.task && *attempt == t.attempt)
                    });
                    prop_assert!(counted || stopped, "{t:?} on {host}: {orders:?}");
                }
            }
        }
    }
}
