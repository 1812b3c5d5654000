//! Failures and slowness: whose fault they are, and what follows.

use crate::support::{NOW, all_exit, all_runs, heartbeat, live, partition, request};
use jasperhill_scheduler::HeartbeatSource;
use jasperhill_wire::user::JobRequest;
use jasperhill_wire::worker::{ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, Resources, Revision, TaskId};
use std::rc::Rc;

#[test]
fn a_host_that_fails_all_is_quarantined_and_a_job_that_fails_everywhere_is_not_held_against_hosts()
{
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
            &heartbeat("n-1", 1, counter, 5, tasks),
            HeartbeatSource::Heartbeat,
            now,
        );
        let later = request(&format!("job-9{round}"), "array", 1, 2.0, None);
        part.upsert_job(&later, Revision(6), now, &[], (0, NOW));
    }
    assert!(!part.hosts[&host].is_usable(NOW, &part.config));
    assert!(part.hosts[&HostId::new("n-2")].quarantined_until.is_none());
}

/// Guards against arrays submitted with a mistake that quarantined a large part of the fleet.
#[test]
fn an_array_that_fails_everywhere_quarantines_no_host_and_tries_one_task_at_a_time() {
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
            let report = heartbeat("n-1", 1, 7, 5, tasks.collect());
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
