//! Commands to a host: settled, in doubt, late, or never heard.

use crate::support::{
    NOW, all_exit, config, heartbeat, host, listed, live, partition, record, request, spec, start,
    task,
};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{FencingState, HeartbeatSource, Host, HostInput, Partition};
use jasperhill_wire::worker::{Command, ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, FencingToken, HostId, JobId, Micros, Resources, Revision, TaskId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

#[test]
fn a_result_is_not_cleared_while_its_run_is_in_doubt() {
    let mut host = host();
    start(&mut host, 0, 7);
    let orders = host.commands(|_, _| true);
    host.apply(HostInput::DirectSent(orders, NOW), NOW);
    host.apply(HostInput::DirectUnanswered, NOW);
    assert!(host.needs_token());
    let exited = vec![listed(0, 7, TaskPhase::Exited(ExitCause::Done))];
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 2, 5, exited.clone()),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    // The late `run` would start it once more.
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
    // And not before the result is durable.
    assert_eq!(host.commands(|_, _| false), vec![]);
}

/// A worker that has seen a higher token drops every order: without this the host looks
/// usable, and what is started there stays «ordered» for ever.
#[test]
fn a_host_that_has_seen_a_higher_token_gets_none_until_ours_is_raised() {
    let mut host = host();
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 2, 8, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    assert!(host.needs_token() && !host.is_usable(NOW, &config()));
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
fn a_stopped_task_counts_until_no_order_can_start_it() {
    let mut host = host();
    start(&mut host, 0, 7);
    let orders = host.commands(|_, _| true);
    host.apply(HostInput::Answered(&orders), NOW);
    host.apply(HostInput::Stop(&task(0), Micros::ZERO), NOW);
    // A direct answer can overtake the answer to the report: absent there proves nothing.
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
fn late_reports_change_nothing_and_a_new_session_clears_all() {
    let mut host = host();
    start(&mut host, 0, 7);
    let running = vec![listed(0, 7, TaskPhase::Running)];
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
        &heartbeat("n-1", 2, 9, 5, vec![]),
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
        &heartbeat("n-1", 2, 10, 5, vec![]),
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
            HostInput::Heartbeat(&heartbeat("n-1", tenure, counter, 5, vec![]), source),
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
                        Some(listed(i as u32, known.attempt.0, phase))
                    }).collect();
                    let before = host.incarnation;
                    host.apply(HostInput::Heartbeat(&heartbeat("n-1", tenure, counter, shown.min(token), tasks), HeartbeatSource::Heartbeat), NOW);
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
        &heartbeat("n-1", 1, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    part.run_cycle(NOW);
    assert!(live(&part, "job-1") > 100);
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
            &heartbeat("n-1", tenure, counter, token, vec![]),
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
                    let said = heartbeat(&host, tenure, counter, 5, tasks.clone());
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
