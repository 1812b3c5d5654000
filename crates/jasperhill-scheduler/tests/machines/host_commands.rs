//! Tests of commands to a host whose outcome is known, unknown, late or never received.

use crate::support::{
    NOW, config, heartbeat, host, live, new_partition, record, report_all_exited, request, spec,
    start, task, task_status,
};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{FencingState, HeartbeatSource, Host, HostInput, Partition};
use jasperhill_wire::worker::{Command, ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, FencingToken, HostId, JobId, Micros, Resources, Revision, TaskId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

#[test]
fn result_is_not_cleared_while_its_start_command_is_in_doubt() {
    let mut host = host();
    start(&mut host, 0, 7);
    let commands = host.commands(|_, _| true);
    host.apply(HostInput::DirectRequestSent(commands, NOW), NOW);
    host.apply(HostInput::DirectRequestUnanswered, NOW);
    assert!(host.needs_raised_token());
    let exited = vec![task_status(0, 7, TaskPhase::Exited(ExitCause::Done))];
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 2, 5, exited.clone()),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    // A delayed start command would run the task again if its result were cleared.
    assert_eq!(host.commands(|_, _| true), vec![]);
    host.apply(HostInput::TokenRaised(FencingToken(9)), NOW);
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 3, 9, exited),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert_eq!(
        host.commands(|_, _| true),
        vec![Command::Clear(task(0), Attempt(7))]
    );
    // The result is not cleared before it is saved.
    assert_eq!(host.commands(|_, _| false), vec![]);
}

/// A worker that has seen a higher fencing token drops every command. If the host is taken to be
/// usable all the same, tasks started on it stay in the commanded state forever.
#[test]
fn host_with_higher_token_is_unusable_until_own_token_is_raised() {
    let mut host = host();
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 2, 8, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(host.needs_raised_token() && !host.is_usable(NOW, &config()));
    host.apply(HostInput::TokenRaised(FencingToken(9)), NOW);
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 3, 9, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(host.is_usable(NOW, &config()));
}

#[test]
fn stopped_task_is_kept_until_no_command_can_start_it() {
    let mut host = host();
    start(&mut host, 0, 7);
    let commands = host.commands(|_, _| true);
    host.apply(HostInput::Answered(&commands), NOW);
    host.apply(HostInput::Stop(&task(0), Micros::ZERO), NOW);
    // A direct answer can overtake the answer to the heartbeat, so that a task missing in it may
    // still run.
    host.apply(
        HostInput::Heartbeat(&heartbeat("n-1", 1, 2, 5, vec![]), HeartbeatSource::Direct),
        NOW,
    );
    assert!(!host.is_empty());
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 3, 5, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(host.is_empty());
}

#[test]
fn late_heartbeats_are_ignored_and_a_new_session_clears_all_tasks() {
    let mut host = host();
    start(&mut host, 0, 7);
    let running = vec![task_status(0, 7, TaskPhase::Running)];
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 5, 5, running),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 4, 5, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(!host.is_empty());
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 2, 6, 5, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(host.is_empty());
}

/// A worker's lease expires while its owner makes no progress. The owner learns of the new session
/// by a direct request and starts a task once the worker sends a heartbeat. This task must survive
/// the expiry of the old session.
#[test]
fn new_session_does_not_expire_with_the_old_one() {
    let mut partition = new_partition(1, false);
    let id = HostId::new("n-1");
    partition.apply(&id, HostInput::Answered(&[]), NOW);
    let lease = partition.config.lease_expiry();
    let before_expiry = NOW + lease - Micros::from_millis(100);
    partition.on_heartbeat(
        &heartbeat("n-1", 2, 9, 5, vec![]),
        HeartbeatSource::Direct,
        before_expiry,
    );
    partition.upsert_job(
        &request("job-1", "array", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.run_cycle(before_expiry);
    // Possibly no controller renews the lease of the new session, because the worker may reach
    // none.
    assert_eq!(live(&partition, "job-1"), 0);
    partition.on_heartbeat(
        &heartbeat("n-1", 2, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        before_expiry,
    );
    partition.run_cycle(before_expiry);
    assert_eq!(live(&partition, "job-1"), 1);
    partition.run_cycle(NOW + lease + Micros::from_secs(1));
    assert_eq!(partition.hosts[&id].fencing, FencingState::Fenced);
    assert_eq!(live(&partition, "job-1"), 1);
    // The new session expires one lease after its own heartbeat.
    partition.run_cycle(before_expiry + lease + Micros::from_secs(1));
    assert_eq!(partition.hosts[&id].fencing, FencingState::LeaseExpired);
}

/// A machine answers direct requests but reaches no controller. Tasks started on it by direct
/// requests would be killed at the end of the lease in each of its sessions.
#[test]
fn host_that_reaches_no_controller_is_unusable() {
    let (config, silence) = (config(), config().silence_limit());
    let new_host = |unconfirmed| {
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
    // Delivers a heartbeat or a direct answer and returns whether the host is usable afterwards.
    let usable = |host: &mut Host, (incarnation, sequence), source, at| {
        host.apply(
            HostInput::Heartbeat(&heartbeat("n-1", incarnation, sequence, 5, vec![]), source),
            at,
        );
        host.is_usable(at, &config)
    };
    // The host is new to this controller, and its heartbeats may not arrive here before its lease
    // ends.
    let mut host = new_host(false);
    assert!(!usable(&mut host, (1, 1), HeartbeatSource::Direct, NOW));
    assert!(usable(&mut host, (1, 2), HeartbeatSource::Heartbeat, NOW));
    // The host still answers direct requests but sends no heartbeats.
    let later = NOW + silence;
    assert!(!usable(&mut host, (1, 3), HeartbeatSource::Direct, later));
    assert!(usable(&mut host, (1, 4), HeartbeatSource::Heartbeat, later));
    // A new session becomes known by a direct answer.
    assert!(!usable(&mut host, (2, 5), HeartbeatSource::Direct, later));
    assert!(usable(&mut host, (2, 6), HeartbeatSource::Heartbeat, later));
    // The host is new to this controller and not in its first session: no controller has answered
    // it.
    let mut host = new_host(false);
    assert!(!usable(&mut host, (3, 1), HeartbeatSource::Direct, NOW));
    assert!(usable(&mut host, (3, 2), HeartbeatSource::Heartbeat, NOW));
    // After a takeover, the previous owner may have renewed the lease of any session, for a limited
    // time.
    let mut host = new_host(true);
    assert!(usable(&mut host, (3, 1), HeartbeatSource::Direct, NOW));
    assert!(!usable(&mut host, (3, 2), HeartbeatSource::Direct, later));
}

#[derive(Clone, Debug)]
enum HostEvent {
    Start(u32),
    Stop(u32),
    SendDirect,
    Answer,
    SettleDirect,
    LoseAnswer,
    RaiseToken,
    Gone,
    ReceiveHeartbeat {
        sequence: u64,
        incarnation: u64,
        token: u64,
        phases: Vec<Option<u8>>,
    },
}

fn host_event() -> impl Strategy<Value = HostEvent> {
    prop_oneof![
        (0u32..4).prop_map(HostEvent::Start),
        (0u32..4).prop_map(HostEvent::Stop),
        Just(HostEvent::SendDirect),
        Just(HostEvent::Answer),
        Just(HostEvent::SettleDirect),
        Just(HostEvent::LoseAnswer),
        Just(HostEvent::RaiseToken),
        Just(HostEvent::Gone),
        (
            0u64..40,
            1u64..4,
            0u64..60,
            proptest::collection::vec(proptest::option::of(0u8..5), 4)
        )
            .prop_map(|(sequence, incarnation, token, phases)| {
                HostEvent::ReceiveHeartbeat {
                    sequence,
                    incarnation,
                    token,
                    phases,
                }
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

    /// For arbitrary behaviour of worker and network: fencing tokens never decrease, a task that
    /// may still start is never cleared or forgotten, and an empty host has no command with unknown
    /// outcome.
    #[test]
    fn host_invariants_hold_for_arbitrary_events(events in proptest::collection::vec(host_event(), 1..60)) {
        let mut host = host();
        let (mut attempt, mut token) = (100, 5);
        let mut in_flight_starts: Vec<(TaskId, Attempt)> = Vec::new();
        let mut in_doubt_starts: Vec<(TaskId, Attempt)> = Vec::new();
        for host_event in events {
            match host_event {
                HostEvent::Start(i) if !host.tasks.contains_key(&task(i)) => {
                    attempt += 1;
                    start(&mut host, i, attempt);
                }
                HostEvent::Stop(i) => { host.apply(HostInput::Stop(&task(i), Micros::ZERO), NOW); }
                HostEvent::SendDirect if !host.has_request_in_flight() && !host.awaits_raised_token() => {
                    let commands = host.commands(|_, _| true);
                    in_flight_starts = commands.iter().filter(|o| matches!(o, Command::Start(..)))
                        .map(|o| (o.key().0.clone(), o.key().1)).collect();
                    host.apply(HostInput::DirectRequestSent(commands, NOW), NOW);
                }
                HostEvent::SettleDirect => { in_flight_starts.clear(); host.apply(HostInput::DirectRequestSettled, NOW); }
                HostEvent::LoseAnswer => {
                    if host.has_request_in_flight() && host.fencing != FencingState::LeaseExpired { in_doubt_starts.append(&mut in_flight_starts); }
                    in_flight_starts.clear();
                    host.apply(HostInput::DirectRequestUnanswered, NOW);
                }
                HostEvent::Answer => {
                    let commands = host.commands(|_, _| true);
                    host.apply(HostInput::Answered(&commands), NOW);
                }
                HostEvent::RaiseToken => { token += 10; host.apply(HostInput::TokenRaised(FencingToken(token)), NOW); }
                HostEvent::Gone => { in_doubt_starts.clear(); host.apply(HostInput::LeaseExpiredOrRemoved, NOW); }
                HostEvent::ReceiveHeartbeat { sequence, incarnation, token: reported_token, phases } => {
                    let tasks: Vec<TaskStatus> = phases.iter().enumerate().filter_map(|(i, p)| {
                        let task_on_host = host.tasks.get(&task(i as u32))?;
                        let phase = match (*p)? {
                            0 => TaskPhase::Fetching,
                            1 => TaskPhase::Running,
                            2 => TaskPhase::Waiting,
                            3 => TaskPhase::Exited(ExitCause::Done),
                            _ => TaskPhase::Exited(ExitCause::Error),
                        };
                        Some(task_status(i as u32, task_on_host.attempt.0, phase))
                    }).collect();
                    let before = host.incarnation;
                    host.apply(HostInput::Heartbeat(&heartbeat("n-1", incarnation, sequence, reported_token.min(token), tasks), HeartbeatSource::Heartbeat), NOW);
                    if host.incarnation > before || !host.awaits_raised_token() { in_doubt_starts.clear(); }
                }
                _ => {}
            }
            prop_assert!(host.token.0 >= 5);
            for command in host.commands(|_, _| true) {
                if let Command::Clear(task, attempt) = command {
                    prop_assert!(!in_doubt_starts.contains(&(task.clone(), attempt)), "cleared in doubt");
                    prop_assert!(!in_flight_starts.contains(&(task, attempt)), "cleared in flight");
                }
            }
            if host.is_empty() {
                prop_assert!(in_doubt_starts.is_empty() && !host.has_request_in_flight());
            }
        }
    }
}

/// Heartbeats must not exceed the maximum size of a request body. Tasks of a user can be so small
/// that thousands of them fit on a machine.
#[test]
fn host_lists_no_more_tasks_than_fit_in_a_heartbeat() {
    let mut partition = new_partition(1, false);
    let mut tiny = (*request("job-1", "array", 50_000, 0.0, None)).clone();
    tiny.each = Resources::from_units(0.001, 0.0, 0.001);
    partition.upsert_job(&Rc::new(tiny), Revision(6), NOW, &[], (0, NOW));
    partition.run_cycle(NOW);
    let id = HostId::new("n-1");
    let task_count = live(&partition, "job-1");
    assert!((100..1_000).contains(&task_count), "{task_count}");
    let commands = partition.commands(&id);
    let text =
        jasperhill_wire::worker::commands_body(partition.hosts[&id].token, Some(1), &commands);
    assert!(text.len() < 60_000, "{}", text.len());
    // Exited tasks that cannot be cleared yet count as well.
    report_all_exited(&mut partition, "n-1", 9, ExitCause::Done, NOW);
    partition.run_cycle(NOW);
    assert!(partition.hosts[&id].listed_task_count() <= task_count + 1);
    // More tasks start once the results are saved in the record.
    let done: std::collections::BTreeSet<u32> = (0..50_000).collect();
    partition.mark_results_saved(&JobId::new("job-1"), &done, 0);
    partition.on_heartbeat(
        &heartbeat("n-1", 1, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    partition.run_cycle(NOW);
    assert!(live(&partition, "job-1") > 100);
}

/// The heartbeats of a machine arrive, but it receives no answers. It would get new tasks in each
/// of its sessions, which would start again elsewhere after one lease.
#[test]
fn host_that_receives_no_answers_is_unusable_until_it_does() {
    let id = HostId::new("n-1");
    let usable = |partition: &Partition, at: Micros| partition.hosts[&id].is_usable(at, &config());
    let secs = Micros::from_secs;
    let report = |partition: &mut Partition, incarnation, sequence, token, at| {
        partition.on_heartbeat(
            &heartbeat("n-1", incarnation, sequence, token, vec![]),
            HeartbeatSource::Heartbeat,
            at,
        );
        partition.apply(&id, HostInput::Answered(&[]), at);
    };
    let mut partition = new_partition(1, false);
    // The lease expired on the machine and on the controller because no heartbeat was answered. The
    // machine still receives answers.
    report(&mut partition, 1, 2, 5, NOW);
    report(&mut partition, 2, 3, 5, NOW + secs(17));
    assert!(usable(&partition, NOW + secs(17)));
    // The machine starts a new session although its heartbeats are answered every three seconds.
    for n in 0..6 {
        report(&mut partition, 2, 4 + n, 5, NOW + secs(20 + 3 * n));
    }
    let later = NOW + secs(38);
    report(&mut partition, 3, 20, 5, later);
    assert!(!usable(&partition, later) && partition.hosts[&id].needs_raised_token());
    partition.apply(&id, HostInput::TokenRaised(FencingToken(9)), later);
    report(&mut partition, 3, 21, 5, later);
    assert!(!usable(&partition, later));
    report(&mut partition, 3, 22, 9, later);
    assert!(usable(&partition, later));
}

#[derive(Clone, Debug)]
enum PartitionEvent {
    /// Heartbeat of one of two hosts: host, increment of the sequence number (0 for a copy of an
    /// old heartbeat), whether it starts a new session, and the listed tasks as job, task, attempt
    /// and phase.
    ReceiveHeartbeat(usize, u64, bool, Vec<(usize, u32, u64, u8)>),
    End(usize, bool),
    RunCycle,
    Answer(usize),
}

fn partition_event() -> impl Strategy<Value = PartitionEvent> {
    let listed_tasks = proptest::collection::vec((0usize..4, 0u32..3, 1u64..4, 0u8..5), 0..5);
    prop_oneof![
        5 => (0usize..2, 0u64..3, proptest::bool::weighted(0.1), listed_tasks)
            .prop_map(|(host, increment, session, tasks)| {
                PartitionEvent::ReceiveHeartbeat(host, increment, session, tasks)
            }),
        1 => (0usize..3, any::<bool>()).prop_map(|(job, done)| PartitionEvent::End(job, done)),
        2 => Just(PartitionEvent::RunCycle),
        2 => (0usize..2).prop_map(PartitionEvent::Answer),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever tasks a worker lists, in whatever order its heartbeats arrive: an answer that
    /// renews its lease also stops every listed task that is cancelled, done, unknown or assigned
    /// to another host.
    #[test]
    fn answers_stop_all_tasks_that_should_not_run(
        at_takeover in any::<bool>(),
        events in proptest::collection::vec(partition_event(), 1..50),
    ) {
        let mut partition = new_partition(2, at_takeover);
        let jobs = ["job-1", "job-2", "job-3", "job-unknown"];
        for (n, shape) in ["array", "ensemble", "daemon"].into_iter().enumerate() {
            let request = request(jobs[n], shape, 2, 0.0, None);
            partition.upsert_job(&request, Revision(0), NOW, &[], (0, NOW));
        }
        let mut latest = [(1, 1), (1, 1)];
        let mut reported: [Vec<TaskStatus>; 2] = [vec![], vec![]];
        for partition_event in events {
            match partition_event {
                PartitionEvent::ReceiveHeartbeat(host_index, increment, session, listed_tasks) => {
                    let (mut incarnation, mut sequence) = latest[host_index];
                    incarnation += u64::from(session);
                    sequence += increment;
                    let mut tasks: BTreeMap<TaskId, TaskStatus> = BTreeMap::new();
                    for (job, index, attempt, phase) in listed_tasks {
                        let task = TaskId::new(&JobId::new(jobs[job]), index);
                        // Often uses the attempt that the controller has started on the host.
                        let commanded = partition.hosts[&HostId::new(&format!("n-{}", host_index + 1))].tasks.get(&task);
                        let attempt = match commanded {
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
                    let host = format!("n-{}", host_index + 1);
                    let report = heartbeat(&host, incarnation, sequence, 5, tasks.clone());
                    partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, NOW);
                    if (incarnation, sequence) > latest[host_index] {
                        latest[host_index] = (incarnation, sequence);
                        reported[host_index] = tasks;
                    }
                }
                PartitionEvent::End(job, done) => {
                    let termination = if done { Termination::Done } else { Termination::Cancelled };
                    partition.end_job(&JobId::new(jobs[job]), termination, NOW);
                }
                PartitionEvent::RunCycle => partition.run_cycle(NOW),
                PartitionEvent::Answer(host_index) => {
                    let host = HostId::new(&format!("n-{}", host_index + 1));
                    let commands = partition.commands(&host);
                    partition.apply(&host, HostInput::Answered(&commands), NOW);
                }
            }
            for (host_index, tasks) in reported.iter().enumerate() {
                let host = HostId::new(&format!("n-{}", host_index + 1));
                let commands = partition.commands(&host);
                for t in tasks.iter().filter(|t| !matches!(t.phase, TaskPhase::Exited(_))) {
                    let is_assigned = partition.jobs.get(&t.task.job).is_some_and(|j| {
                        j.termination.is_none() && j.live.get(&t.task.index) == Some(&host)
                    });
                    let is_stopped = commands.iter().any(|o| {
                        matches!(o, Command::Stop(task, attempt, _) if *task == t.task && *attempt == t.attempt)
                    });
                    prop_assert!(is_assigned || is_stopped, "{t:?} on {host}: {commands:?}");
                }
            }
        }
    }
}
