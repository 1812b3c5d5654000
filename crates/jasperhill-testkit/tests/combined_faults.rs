//! Troubles that meet, each brought about on purpose: a test counts the event and fails if it did
//! not happen. docs/meetings.md has a row for each.
//!
//! CI plays a bounded number of drawn days on which several meet. More of them:
//! `FAULT_DAYS=200 cargo test --release -p jasperhill-testkit --test combined_faults -- --ignored`.

use jasperhill_membership::LeaseTerms;
use jasperhill_scheduler::{HeartbeatSource, Host, HostInput, MachineSpec};
use jasperhill_testkit::{
    Scenario,
    days::{cut_from_peers, drawn},
    faults::{Endpoint, Fault, FaultCounts, LinkFault},
    invariants::InvariantChecker,
    outcome::{ConfirmedCancellation, Outcome},
    run_all,
    scenario::Scale,
    worker::{Worker, WorkerTimes},
};
use jasperhill_wire::{
    Attempt, FencingToken, Micros, Resources, TaskId,
    record::{HostAssignment, HostRecord},
    user::JobRequest,
    worker::{Heartbeat, commands_body},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::Instant;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a cancellation has in the testkit, in seconds.
const CANCEL: f64 = 46.0;
/// When the outage begins, and how long it lasts: longer than a cancellation and a lease have.
const OUTAGE_AT: u64 = 120;
const OUTAGE: u64 = 70;
/// When the other meetings begin.
const AT: u64 = 80;

/// Plays all of these side by side.
fn play(scenarios: Vec<(String, Scenario)>) -> Vec<(String, Outcome)> {
    run_all(&scenarios)
}

/// No rule broken on any of these, and enough done to show it.
fn judge(played: &[(String, Outcome)]) {
    let wrong: Vec<String> = played
        .iter()
        .filter(|(_, o)| !o.broken.is_empty() || o.started < 30)
        .map(|(name, o)| format!("{name}: started {}, {:?}", o.started, o.broken))
        .collect();
    assert_eq!(wrong, Vec::<String>::new());
}

fn met(played: &[(String, Outcome)], what: impl Fn(&FaultCounts) -> usize) -> usize {
    played.iter().map(|(_, o)| what(&o.fault_counts)).sum()
}

/// Tasks that outlast the day; two of three users cancel from some seconds before the refusal on
/// until the outage.
fn refused(seed: u64, node: usize, lead: u64, more: Vec<(u64, Fault)>) -> Scenario {
    let from = OUTAGE_AT - lead;
    let mut troubles = vec![
        (from, Fault::Refused(node, secs(lead + OUTAGE + 20))),
        (OUTAGE_AT, Fault::StateOutage(secs(OUTAGE))),
    ];
    troubles.extend(more);
    Scenario {
        long_tasks: Some((from - 4, OUTAGE_AT)),
        ..Scenario::small(seed, 290, 60, troubles)
    }
}

/// Cancellations that others confirmed between the refusal and the outage, with tasks alive then.
fn between(outcome: &Outcome, node: usize, lead: u64) -> Vec<&ConfirmedCancellation> {
    let window = (OUTAGE_AT - lead) as f64..OUTAGE_AT as f64;
    let within =
        |c: &&ConfirmedCancellation| window.contains(&c.at) && c.node != node && c.alive > 0;
    outcome.cancels.iter().filter(within).collect()
}

/// Plays the day with each controller refused, three seeds each; how many such cancellations there were, and the
/// longest until the last task of one was gone.
fn refused_days(
    lead: u64,
    more: impl Fn(usize) -> Vec<(u64, Fault)>,
    change: impl Fn(&mut Scenario),
) -> (usize, f64, Vec<(String, Outcome)>) {
    let plans = (0..9).map(|n| {
        let node = n % 3;
        let mut plan = refused(1 + n as u64, node, lead, more(node));
        change(&mut plan);
        (format!("node {node} refused {lead} s before"), plan)
    });
    let played = play(plans.collect());
    let (mut fell, mut latest) = (0, 0.0f64);
    for (name, outcome) in &played {
        let node = name.split(' ').nth(1).unwrap().parse().unwrap();
        let there = between(outcome, node, lead);
        fell += there.len();
        latest = there.iter().map(|c| c.after).fold(latest, f64::max);
    }
    (fell, latest, played)
}

#[test]
fn jobs_cancelled_while_the_store_refuses_their_owner_end_in_time() {
    for lead in [1, 5, 12, 25] {
        let (fell, latest, played) = refused_days(lead, |_| Vec::new(), |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{lead}: {fell} {latest}");
        assert!(met(&played, |m| m.answered_refused) > 0);
    }
}

/// Nobody hears that it would let go: it answers for as long as it may.
#[test]
fn the_refused_owner_loses_its_peers() {
    for lead in [5, 12] {
        let cut = |node| cut_from_peers(node, OUTAGE_AT - lead, lead + OUTAGE);
        let (fell, latest, played) = refused_days(lead, cut, |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{lead}: {fell} {latest}");
        assert!(met(&played, |m| m.answered_refused) > 20);
    }
}

/// A session that outlives the bound on knowledge: only that bound is left. Without it the rule
/// breaks, by its name.
#[test]
fn a_long_session_does_not_delay_cancellations() {
    let cut = |node| cut_from_peers(node, OUTAGE_AT - 5, 5 + OUTAGE);
    let (fell, latest, played) = refused_days(5, cut, |plan| plan.session = Some(60));
    judge(&played);
    assert!(
        fell > 5 && latest > 20.0 && latest < CANCEL,
        "{fell} {latest}"
    );
    let (_, _, blind) = refused_days(5, cut, |plan| {
        plan.session = Some(60);
        plan.without_freshness_bound = true;
    });
    let broken = blind.iter().flat_map(|(_, o)| &o.broken);
    assert!(broken.into_iter().any(|b| b.starts_with("ran_cancelled")));
}

/// The refused owner stands still, the confirming controllers end, and machines hear nothing.
#[test]
fn a_refusal_and_an_outage_with_a_third_fault() {
    let others = |node| (0..3).filter(move |n| *n != node);
    let stands = |node| vec![(OUTAGE_AT - 2, Fault::Stall(node, secs(20)))];
    let end = |node| {
        let crash = |n| (OUTAGE_AT + 2, Fault::Crash(n, millis(300)));
        others(node).map(crash).collect()
    };
    let deaf = |_| vec![(OUTAGE_AT - 14, Fault::NotReceiving(40, secs(20)))];
    let more: [&dyn Fn(usize) -> Vec<(u64, Fault)>; 3] = [&stands, &end, &deaf];
    for more in more {
        let (fell, latest, played) = refused_days(12, more, |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{fell} {latest}");
    }
}

/// A controller that has lost the state service and all others, and whom users reach. Without the
/// end of its readiness jobs are forgotten.
#[test]
fn users_leave_an_isolated_controller() {
    let plans = (0..3).map(|node| {
        let mut troubles = cut_from_peers(node, AT, 130);
        troubles.push((
            AT,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(130)),
        ));
        (
            format!("node {node}"),
            Scenario::small(5, 300, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        assert!(
            o.longest_silence.0 < 60.0,
            "{name}: {:?}",
            o.longest_silence
        );
        // Jobs were cancelled meanwhile, through others.
        let node: usize = name[5..].parse().unwrap();
        let while_apart =
            |c: &&ConfirmedCancellation| (80.0..210.0).contains(&c.at) && c.node != node;
        assert!(o.cancels.iter().filter(while_apart).count() > 3, "{name}");
    }
}

#[test]
fn a_leader_crashes_while_machines_receive_nothing() {
    let plans = (0..3).map(|node| {
        let troubles = vec![
            (AT, Fault::NotReceiving(50, secs(14 + 12 * node as u64))),
            (AT + 3, Fault::Crash(node, secs(4))),
            (AT + 60, Fault::NotReceiving(50, secs(40))),
            (AT + 62, Fault::Crash((node + 1) % 3, millis(300))),
        ];
        (
            format!("node {node}"),
            Scenario::small(10 + node as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.unheard) > 100);
}

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

/// Tasks of one job that end far apart, while its owners change again and again.
#[test]
fn tasks_of_a_job_end_far_apart_across_changes_of_leader() {
    let plans = (0..3).map(|n| {
        let mut troubles: Vec<_> = (0..7)
            .map(|i| (50 + 18 * i, Fault::Crash((i as usize + n) % 3, secs(10))))
            .collect();
        troubles.push((60, Fault::LateWrites(20, secs(100))));
        let plan = Scenario {
            uneven: 30,
            ..Scenario::small(40 + n as u64, 300, 20, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        // All of them are done, each told when every task was; and nothing ran once more.
        assert_eq!(o.uneven, 30, "{name}: {o:?}");
        assert!(
            o.again <= 2,
            "{name}: {} finished tasks were started again",
            o.again
        );
        assert!(o.role_moves.len() > 12, "{name}: {:?}", o.role_moves);
    }
}

#[test]
fn all_controllers_restart_within_a_second() {
    let plans = (0..3).map(|n| {
        let times = |node, times, life, back| Fault::CrashLoop {
            node,
            times,
            life: millis(life),
            back: millis(back),
        };
        let troubles = vec![
            (AT, times(0, 4, 900, 200)),
            (AT, times(1, 4, 1_300, 300)),
            (AT, times(2, 4, 1_700, 250)),
            (AT + 30, times(n, 5, 4_000, 300)),
            (AT + 30, Fault::LateWrites(30, secs(40))),
            (AT + 60, Fault::Crash(0, millis(200))),
            (AT + 60, Fault::Crash(1, millis(400))),
            (AT + 60, Fault::Crash(2, secs(15))),
        ];
        (
            format!("day {n}"),
            Scenario::small(50 + n as u64, 260, 60, troubles),
        )
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        assert!(
            o.unowned.is_empty() && o.unanswered.is_empty(),
            "{name}: {o:?}"
        );
    }
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

#[test]
fn the_store_is_slow_then_refuses_one_then_everybody() {
    let plans = (0..3).map(|node| {
        let slow = |n| {
            Fault::Link(
                Endpoint::Node(n),
                Endpoint::State,
                LinkFault::Slow(300),
                secs(35),
            )
        };
        let more = (0..3).map(|n| (OUTAGE_AT - 40, slow(n))).collect();
        let mut plan = refused(70 + node as u64, node, 5, more);
        plan.long_tasks = None;
        (format!("node {node}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
}

/// A start sent straight is held up for longer than a cancellation has; its job is cancelled a
/// second after it was sent, which whoever sent it knows; the record of its host can't be written, so
/// that the token stays. What the worker makes of it when it comes.
#[expect(clippy::too_many_lines, reason = "one history, step by step")]
fn a_start_comes_late(guarded: bool) -> u16 {
    let bounds = LeaseTerms {
        lease: Micros::from_secs(16),
        cancel: Micros::from_secs(46),
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
        boot: Micros::from_secs(20),
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
                .in_flight_known_as_of()
                .is_some_and(|known| now >= bounds.until(known));
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
                host.apply(HostInput::DirectSent(orders, now), now);
            }
            3 => {
                host.apply(HostInput::Stop(&task, Micros::ZERO), now);
            }
            7 => {
                host.apply(HostInput::DirectUnanswered, now);
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

/// Machines that reach nobody while orders reach them. What runs there runs until its lease ends;
/// nothing new is begun there, unless a new owner can't know better yet.
#[test]
fn machines_send_nothing_while_commands_reach_them() {
    let plan = |n: usize, more: Vec<(u64, Fault)>| {
        let mut troubles = vec![
            (AT, Fault::NotSending(50, secs(20 + 15 * n as u64))),
            (AT + 80, Fault::NotSending(60, secs(50))),
        ];
        troubles.extend(more);
        let plan = Scenario {
            uneven: 8,
            ..Scenario::small(90 + n as u64, 330, 60, troubles)
        };
        (format!("day {n}"), plan)
    };
    let alone = play((0..4).map(|n| plan(n, Vec::new())).collect());
    judge(&alone);
    assert!(met(&alone, |m| m.mute_reports) > 200);
    // Work begun on machines that had reached nobody for longer than two reports and a half: roles go
    // from those who hear too few, and whoever comes next gives every machine a few seconds.
    assert!(met(&alone, |m| m.mute_starts) < 40);
    let changes = |n: usize| {
        vec![
            (AT + 4, Fault::Crash(n % 3, secs(3))),
            (AT + 30, Fault::Crash((n + 1) % 3, millis(300))),
            (AT + 82, Fault::LateWrites(40, secs(40))),
            (AT + 90, Fault::Refused((n + 2) % 3, secs(15))),
        ]
    };
    let played = play((0..4).map(|n| plan(n, changes(n))).collect());
    judge(&played);
    assert!(met(&played, |m| m.mute_orders) > 20);
}

/// Jobs are called off, their machines hang at that moment and go on near the end of their lease,
/// while the old leader is refused alone or cut off with them.
#[test]
fn cancelled_while_its_machines_hang() {
    for (hang, lead) in [(6, 1), (13, 1), (13, 12), (25, 5)] {
        let plans = (0..3).map(|node| {
            let mut plan = refused(100 + node as u64, node, lead, Vec::new());
            let off = Fault::CancelNow(12, secs(hang));
            plan.faults.push((OUTAGE_AT - lead, off.clone()));
            plan.faults.push((OUTAGE_AT - 1, off));
            (format!("node {node}"), plan)
        });
        let played = play(plans.collect());
        judge(&played);
        assert!(met(&played, |m| m.called_off) > 8, "{hang} {lead}");
        assert!(met(&played, |m| m.hung) > 4, "{hang} {lead}");
        // Some go on within their lease, with tasks that are cancelled.
        assert!(
            hang > 14 || met(&played, |m| m.went_on) > 0,
            "{hang} {lead}"
        );
        let gone = |o: &Outcome| o.cancels.iter().map(|c| c.after).fold(0.0, f64::max);
        let latest = played.iter().map(|(_, o)| gone(o)).fold(0.0, f64::max);
        assert!(latest < CANCEL, "{hang} {lead}: {latest}");
    }
}

/// The old leader has lost the state service and the others, workers and users reach it, and jobs are
/// called off through the new one; some of their machines hang.
#[test]
fn cancelled_through_the_new_leader_while_the_old_one_is_cut_off() {
    let plans = (0..3).map(|node| {
        let mut troubles = cut_from_peers(node, AT, 90);
        troubles.push((
            AT,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(90)),
        ));
        for at in [1, 4, 12, 30] {
            troubles.push((AT + at, Fault::CancelNow(6, secs(at % 10))));
        }
        let mut plan = Scenario::small(110 + node as u64, 290, 60, troubles);
        plan.long_tasks = Some((AT - 4, AT + 60));
        (format!("node {node}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 30);
    for (name, o) in &played {
        assert!(
            o.latest_start < CANCEL && o.longest_silence.0 < 75.0,
            "{name}"
        );
    }
}

/// A cancellation, questions and repeated submissions meet the end of a job's last task: first with no
/// other trouble, then with lost answers, late writes and a change of leader.
#[test]
fn cancelled_at_the_moment_of_the_end() {
    let plans = (0..6).map(|n| {
        let mut troubles = vec![(20, Fault::CancelAtEnd(90, secs(180)))];
        if n % 3 > 0 {
            troubles.push((40, Fault::LateWrites(25, secs(120))));
        }
        if n % 3 > 1 {
            troubles.push((70, Fault::Crash(n % 2, millis(300))));
            troubles.push((100, Fault::Refused(2, secs(14))));
        }
        let plan = Scenario {
            uneven: 12,
            pipelines: (3, 30),
            ..Scenario::small(120 + n as u64, 260, 60, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    let (ended, done) = (met(&played, |m| m.at_end), met(&played, |m| m.at_end_done));
    // Both outcomes come about.
    assert!(ended > 60 && done > 10 && done < ended, "{ended} {done}");
}

/// Teams are at their limits when leaders change, machines can't be asked, and jobs are called off in
/// that spell: their room is given out again when their tasks are surely gone, and then it is.
#[test]
fn a_team_at_its_limit_while_machines_cannot_be_asked() {
    let silent: [fn(u64) -> Fault; 3] = [
        |time| Fault::NotSending(60, secs(time)),
        |time| Fault::NotReceiving(60, secs(time)),
        |time| Fault::Hang(4, secs(time)),
    ];
    let plans = (0..6).map(|n| {
        let spell = silent[n % 3];
        let troubles = vec![
            (AT, spell(13 + 6 * n as u64)),
            (AT + 2, Fault::Crash(n % 3, millis(300))),
            (AT + 3, Fault::CancelNow(8, Duration::ZERO)),
            (AT + 9, Fault::Crash((n + 1) % 3, secs(8))),
            (AT + 11, Fault::CancelNow(8, Duration::ZERO)),
            (AT + 70, Fault::DelayedCommands(60, secs(30))),
            (AT + 72, Fault::Crash(n % 3, secs(4))),
        ];
        let plan = Scenario {
            // More than the limits allow at any time.
            flood: (24, 40),
            ..Scenario::small(130 + n as u64, 330, 60, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 30);
    for (name, o) in &played {
        // The limits bound what runs: at them, 20 GPUs are in use together.
        assert!(o.most_at_once >= 15, "{name}: {}", o.most_at_once);
    }
}

/// A zone with workers and a controller is cut off for longer than a lease, and all end of the cut
/// arrives at once; jobs are called off outside, and are bound to the zone.
#[test]
fn a_zone_with_a_controller_is_cut_off() {
    let plans = (0..4).map(|n| {
        let time = [20, 35, 60, 90][n];
        let b = || Endpoint::Zone("b".to_owned());
        let (a, one) = (Endpoint::Zone("a".to_owned()), Endpoint::Node(1));
        let mut troubles: Vec<_> = [
            (one.clone(), Endpoint::State),
            (one.clone(), Endpoint::Cloud),
            (one.clone(), Endpoint::Node(0)),
            (one.clone(), Endpoint::Node(2)),
            (one, a),
            (Endpoint::Node(0), b()),
            (Endpoint::Node(2), b()),
        ]
        .into_iter()
        .map(|(from, to)| (AT, Fault::Cut(from, to, secs(time))))
        .collect();
        troubles.push((AT + 3, Fault::CancelNow(8, Duration::ZERO)));
        troubles.push((AT + 18, Fault::CancelNow(8, secs(10))));
        let plan = Scenario {
            bound: 25,
            ..Scenario::small(140 + n as u64, 300, 60, troubles)
        };
        (format!("{time} s"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 20);
    for (name, o) in &played {
        assert!(o.bound > 10, "{name}: {}", o.bound);
        assert!(o.longest_wait < 90.0, "{name}: {}", o.longest_wait);
    }
}

/// Jobs bound to one zone, of every shape, lose their machines one after another while leaders change.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let plans = (0..4).map(|n| {
        let mut troubles: Vec<_> = (0..10).map(|i| (45 + 11 * i, Fault::MachineLoss)).collect();
        troubles.push((60, Fault::Hang(3, secs(13))));
        troubles.push((66, Fault::Crash(n % 3, millis(300))));
        troubles.push((90, Fault::NotSending(40, secs(25))));
        troubles.push((97, Fault::Crash((n + 1) % 3, secs(5))));
        troubles.push((120, Fault::NotReceiving(40, secs(25))));
        let plan = Scenario {
            bound: 50,
            ..Scenario::small(150 + n as u64, 320, 30, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        assert!(o.bound > 25, "{name}: {}", o.bound);
        assert!(o.longest_wait < 90.0, "{name}: {}", o.longest_wait);
    }
}

/// All controllers are away for longer than a lease; jobs were called off just before, machines are
/// mute or hang meanwhile, and writes of before are carried out late.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let plans = (0..4).map(|n| {
        let away = 18 + 9 * n as u64;
        let mut troubles: Vec<_> = (0..3)
            .map(|node| {
                (
                    AT,
                    Fault::Crash(node, secs(away) + millis(200 * node as u64)),
                )
            })
            .collect();
        troubles.push((AT - 12, Fault::LateWrites(60, secs(12))));
        troubles.push((AT - 2, Fault::CancelNow(8, Duration::ZERO)));
        troubles.push((AT + 4, Fault::Hang(3, secs(10))));
        troubles.push((AT + away - 3, Fault::NotSending(50, secs(20))));
        let plan = Scenario {
            uneven: 10,
            ..Scenario::small(160 + n as u64, 300, 60, troubles)
        };
        (format!("{away} s"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 10);
    for (name, o) in &played {
        assert!(o.killed > 0, "{name}: nobody was away for so long");
        assert!(o.latest_start < CANCEL, "{name}: {}", o.latest_start);
    }
}

/// Leaders change ten times in two minutes, half of that inside an outage of the state service.
#[test]
fn leaders_change_ten_times_also_inside_an_outage() {
    let plans = (0..3).map(|n| {
        // Away for longer than a session lasts, so that somebody else leads; now and then less.
        let back = |i: u64| millis(if i % 4 == 3 { 300 } else { 9_500 });
        let mut troubles: Vec<_> = (0..10)
            .map(|i| (60 + 12 * i, Fault::CrashLeader(back(i))))
            .collect();
        troubles.push((100, Fault::StateOutage(secs(50))));
        troubles.push((58, Fault::LateWrites(30, secs(120))));
        troubles.push((75, Fault::DelayedCommands(50, secs(60))));
        troubles.push((90, Fault::NotSending(30, secs(30))));
        troubles.push((96, Fault::CancelNow(6, secs(9))));
        let plan = Scenario {
            uneven: 10,
            ..Scenario::small(170 + n as u64, 340, 60, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    for (name, o) in &played {
        let leads = o
            .role_moves
            .iter()
            .filter(|(_, role, _)| role == "jh/leader");
        assert!(leads.count() > 4, "{name}: {:?}", o.role_moves);
        assert!(
            o.unowned.is_empty() && o.stale_host_records.is_empty(),
            "{name}: {o:?}"
        );
    }
}

/// Odd requests, also during an outage, a refusal and with a controller that has just begun.
#[test]
fn invalid_requests_get_their_answers() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (30, Fault::InvalidRequests(secs(170))),
            (70, Fault::StateOutage(secs(20))),
            (110, Fault::Crash(n % 3, millis(300))),
            (130, Fault::Refused((n + 1) % 3, secs(15))),
            (150, Fault::LateWrites(40, secs(30))),
        ];
        let plan = Scenario::small(180 + n as u64, 260, 60, troubles);
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.odd) > 800);
}

/// More work than room, urgent and not, over slow links, while a leader changes: everybody is served.
#[test]
fn more_work_than_capacity_over_slow_links() {
    let slow = LinkFault::Slow(250);
    let nodes = || (0..3).map(Endpoint::Node);
    let links = nodes().flat_map(|from| {
        let to = [
            Endpoint::State,
            Endpoint::Zone("a".into()),
            Endpoint::Zone("b".into()),
        ];
        to.into_iter().map(move |to| (from.clone(), to))
    });
    let slow = |(from, to)| (30, Fault::Link(from, to, slow, secs(70)));
    let mut troubles: Vec<_> = links.map(slow).collect();
    troubles.push((50, Fault::Crash(1, millis(300))));
    let played = play(vec![(
        "day".to_owned(),
        Scenario {
            scale: Scale::Large,
            flood: (480, 15),
            ..Scenario::small(5, 300, 140, troubles)
        },
    )]);
    judge(&played);
    for (name, o) in &played {
        let least = [&o.least_class, &o.least_team, &o.least_largest];
        assert!(
            least.iter().all(|l| l.1 >= 0.5),
            "{name}: {least:?} {:?}",
            o.served
        );
        // There was more work than room.
        assert!(o.served["flood"] < 0.9, "{name}: {:?}", o.served);
    }
}

fn day(seed: u64) -> (String, Scenario) {
    (format!("seed {seed}"), drawn(seed))
}

#[test]
fn random_combined_faults() {
    judge(&play((1_000..1_024).map(day).collect()));
}

#[test]
#[ignore = "minutes: as many drawn days as FAULT_DAYS says"]
fn many_random_combined_faults() {
    let many = std::env::var("FAULT_DAYS")
        .ok()
        .and_then(|n| n.parse().ok());
    judge(&play(
        (2_000..2_000 + many.unwrap_or(100)).map(day).collect(),
    ));
}
