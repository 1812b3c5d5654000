//! Tests of jobs that wait for their team's limit.

use crate::support::{NOW, live, new_partition, report_all_exited, report_all_running, request};
use jasperhill_scheduler::Partition;
use jasperhill_wire::{JobId, Micros, Revision, user::Priority, worker::ExitCause};
use std::rc::Rc;

/// Number of hosts with two accelerators each. The team of these tests may use four accelerators at
/// the same time.
const HOSTS: usize = 4;
/// Time between the task exits of one host and those of the next; short enough that no host is
/// silent for too long.
const HOST_INTERVAL: Micros = Micros::from_millis(500);

fn submit(
    partition: &mut Partition,
    id: &str,
    shape: &str,
    tasks: u32,
    gpus: f64,
    submit_order: u64,
) {
    let mut job = (*request(id, shape, tasks, gpus, None)).clone();
    job.priority = Priority::High;
    let submitted = NOW + Micros::from_millis(submit_order);
    partition.upsert_job(
        &Rc::new(job),
        Revision(6 + submit_order),
        submitted,
        &[],
        (0, NOW),
    );
}

/// Ends the tasks of one host after another, with a scheduling cycle after each, until the job has
/// started. Returns the number of hosts, or `None` if the job has not started.
fn hosts_until_started(partition: &mut Partition, id: &str) -> Option<usize> {
    for step in 0..3 * HOSTS {
        let now = NOW + HOST_INTERVAL.scale(1.0 + step as f64);
        let host = format!("n-{}", 1 + step % HOSTS);
        report_all_exited(partition, &host, 10 + step as u64, ExitCause::Done, now);
        partition.run_cycle(now);
        if live(partition, id) > 0 {
            return Some(step + 1);
        }
    }
    None
}

/// A gang that needs its team's whole limit waited behind a later array of the same team for as
/// long as the array had tasks. Whenever a task ended, the array took the freed part of the limit,
/// so that there was never enough for all tasks of the gang. Seen in
/// `more_work_than_capacity_over_slow_links` at seed 5, from 72 s to 252 s: `jobs that wait
/// class=gang reason=TeamLimit oldest=job-000003 tasks=16`, in the log of every minute.
#[test]
fn gang_at_team_limit_starts_before_later_jobs_of_the_team() {
    let mut partition = new_partition(HOSTS, false);
    submit(&mut partition, "job-first", "array", 4, 1.0, 0);
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-first"), 4);
    submit(&mut partition, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut partition, "job-array", "array", 100, 1.0, 2);
    let started = hosts_until_started(&mut partition, "job-gang");
    assert_eq!(
        started,
        Some(2),
        "starts as soon as the first array has ended"
    );
    assert_eq!(live(&partition, "job-array"), 0);
    assert_eq!(partition.jobs[&JobId::new("job-gang")].live.len(), 2);
}

/// No part of the limit is reserved for a gang that does not fit on the hosts even if they are
/// empty.
#[test]
fn gang_that_fits_no_hosts_blocks_no_other_jobs_of_its_team() {
    let mut partition = new_partition(1, false);
    submit(&mut partition, "job-first", "array", 2, 1.0, 0);
    partition.run_cycle(NOW);
    submit(&mut partition, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut partition, "job-array", "array", 100, 1.0, 2);
    report_all_exited(&mut partition, "n-1", 10, ExitCause::Done, NOW);
    partition.run_cycle(NOW + HOST_INTERVAL);
    assert_eq!(live(&partition, "job-array"), 2);
}

/// A gang that waits for a long-running task of its team must not block other work of the team
/// within the limit. Seen as `waited: job-650003 90s beside room` when a gang reserved its part of
/// the limit without regard to when it would be free.
#[test]
fn gang_that_waits_for_a_long_running_task_blocks_no_other_jobs() {
    let mut partition = new_partition(HOSTS, false);
    submit(&mut partition, "job-daemon", "daemon", 1, 1.0, 0);
    partition.run_cycle(NOW);
    submit(&mut partition, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut partition, "job-array", "array", 1, 1.0, 2);
    partition.run_cycle(NOW + HOST_INTERVAL);
    assert_eq!(
        (live(&partition, "job-gang"), live(&partition, "job-array")),
        (0, 1)
    );
}

/// A gang's reservation pauses if the tasks that it waits for take longer than expected.
#[test]
fn reservation_pauses_before_other_jobs_have_waited_too_long() {
    let mut partition = new_partition(HOSTS, false);
    submit(&mut partition, "job-first", "array", 1, 1.0, 0);
    partition.run_cycle(NOW);
    submit(&mut partition, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut partition, "job-array", "array", 1, 1.0, 2);
    let started = (1u64..120).find(|second| {
        let now = NOW + Micros::from_secs(*second);
        for host in 1..=HOSTS {
            report_all_running(&mut partition, &format!("n-{host}"), 10 + second, now);
        }
        partition.run_cycle(now);
        live(&partition, "job-array") > 0
    });
    assert!(
        started.is_some_and(|second| (35..60).contains(&second)),
        "{started:?}"
    );
}
