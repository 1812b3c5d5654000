//! Tests of failure attribution, quarantine and the detection of slow hosts.

use crate::support::{
    NOW, heartbeat, live, new_partition, report_all_exited, report_all_running, request,
};
use jasperhill_scheduler::HeartbeatSource;
use jasperhill_wire::user::JobRequest;
use jasperhill_wire::worker::{ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, Resources, Revision, TaskId};
use std::rc::Rc;

#[test]
fn quarantines_only_the_host_on_which_all_tasks_fail() {
    let mut partition = new_partition(2, false);
    for n in 0..2 {
        let id = format!("job-{n}");
        partition.upsert_job(
            &request(&id, "array", 1, 2.0, None),
            Revision(6),
            NOW,
            &[],
            (0, NOW),
        );
    }
    let host = HostId::new("n-1");
    let mut sequence = 10;
    for round in 0..2u64 {
        partition.run_cycle(NOW);
        let now = NOW + Micros::from_millis(round);
        let host_tasks: Vec<(TaskId, Attempt)> = partition.hosts[&host]
            .tasks
            .iter()
            .filter(|(_, t)| t.holds_resources())
            .map(|(id, t)| (id.clone(), t.attempt))
            .collect();
        let tasks = host_tasks
            .into_iter()
            .map(|(task, attempt)| TaskStatus {
                task,
                attempt,
                phase: TaskPhase::Exited(ExitCause::Error),
            })
            .collect();
        sequence += 1;
        partition.on_heartbeat(
            &heartbeat("n-1", 1, sequence, 5, tasks),
            HeartbeatSource::Heartbeat,
            now,
        );
        let later = request(&format!("job-9{round}"), "array", 1, 2.0, None);
        partition.upsert_job(&later, Revision(6), now, &[], (0, NOW));
    }
    assert!(!partition.hosts[&host].is_usable(NOW, &partition.config));
    assert!(
        partition.hosts[&HostId::new("n-2")]
            .quarantined_until
            .is_none()
    );
}

/// An array submitted with a mistake quarantined a large part of the fleet, because its failures
/// counted against the hosts.
#[test]
fn array_that_fails_everywhere_backs_off_and_quarantines_no_host() {
    let mut partition = new_partition(6, false);
    let id = JobId::new("job-1");
    partition.upsert_job(
        &request("job-1", "array", 40, 0.0, Some(500.0)),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.run_cycle(NOW);
    assert_eq!(
        live(&partition, "job-1"),
        40,
        "all tasks are live, on several hosts"
    );
    let mut failed = 0;
    for n in 1..=6 {
        failed += report_all_exited(&mut partition, &format!("n-{n}"), 5, ExitCause::Error, NOW);
    }
    assert_eq!(failed, 40);
    assert!(partition.jobs[&id].failures.is_backing_off());
    assert!(
        partition
            .hosts
            .values()
            .all(|h| h.is_usable(NOW, &partition.config))
    );
    assert!(
        partition.jobs[&id].has_results_to_save(),
        "the back-off has to be saved"
    );
    // No task starts during the delay, and one task starts after it.
    partition.run_cycle(NOW + Micros::from_secs(1));
    assert_eq!(live(&partition, "job-1"), 0);
    let later = NOW + Micros::from_secs(5);
    partition.run_cycle(later);
    assert_eq!(live(&partition, "job-1"), 1);
    // The retry completes, so that the failures are not the job's fault and the other hosts are
    // blamed.
    let host = partition.jobs[&id].live.values().next().unwrap().clone();
    report_all_exited(&mut partition, host.as_str(), 6, ExitCause::Done, later);
    assert!(!partition.jobs[&id].failures.is_backing_off());
    for h in partition.hosts.values() {
        assert_eq!(h.is_usable(later, &partition.config), h.id == host);
    }
}

/// Returns a job of one task with an estimate in seconds, which takes a quarter of a host's CPUs.
fn job_with_estimate(id: &str, estimate: u64) -> Rc<JobRequest> {
    let mut job_request = (*request(id, "array", 1, 0.0, None)).clone();
    job_request.each = Resources::from_units(4.0, 0.0, 1.0);
    job_request.estimate = Micros::from_secs(estimate);
    Rc::new(job_request)
}

/// A machine must not be judged slow because of one long task, and a slow machine must be detected
/// before its tasks have ended.
#[test]
fn host_is_slow_when_several_tasks_overrun_and_not_when_one_does() {
    let slow_verdict = |estimates: &[u64], has_task_in_time: bool| {
        let mut partition = new_partition(1, false);
        let host = HostId::new("n-1");
        for (n, estimate) in estimates.iter().enumerate() {
            let job = job_with_estimate(&format!("job-{n}"), *estimate);
            partition.upsert_job(&job, Revision(6), NOW, &[], (0, NOW));
        }
        partition.run_cycle(NOW);
        assert_eq!(partition.hosts[&host].tasks.len(), estimates.len());
        report_all_running(&mut partition, "n-1", 5, NOW);
        if has_task_in_time {
            // Another task on the host ends in time shortly before the others overrun.
            let ended_at = NOW + Micros::from_secs(18);
            partition.upsert_job(
                &job_with_estimate("job-x", 10),
                Revision(6),
                NOW,
                &[],
                (0, NOW),
            );
            partition.run_cycle(NOW);
            report_all_running(&mut partition, "n-1", 6, NOW + Micros::from_secs(9));
            let tasks = partition.hosts[&host].tasks.iter();
            let tasks = tasks.map(|(task, t)| TaskStatus {
                task: task.clone(),
                attempt: t.attempt,
                phase: match task.job.as_str() {
                    "job-x" => TaskPhase::Exited(ExitCause::Done),
                    _ => TaskPhase::Running,
                },
            });
            let report = heartbeat("n-1", 1, 7, 5, tasks.collect());
            partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, ended_at);
        }
        let overrun_at = NOW + Micros::from_secs(21);
        report_all_running(&mut partition, "n-1", 9, overrun_at);
        partition.run_cycle(overrun_at);
        (
            partition.hosts[&host].pace.is_slow(),
            partition.hosts[&host].run_time_ratio > 1.5,
        )
    };
    assert_eq!(slow_verdict(&[10, 10, 10], false), (true, true));
    assert_eq!(slow_verdict(&[10, 300, 300], false), (false, false));
    assert_eq!(slow_verdict(&[10], false), (false, false));
    assert_eq!(slow_verdict(&[10, 10, 10], true), (false, false));
}
