//! Work that waits for its own team's limit.

use crate::support::{NOW, all_exit, all_runs, live, partition, request};
use jasperhill_scheduler::Partition;
use jasperhill_wire::{JobId, Micros, Revision, user::Priority, worker::ExitCause};
use std::rc::Rc;

/// Hosts of two accelerators each; the team of these tests may use four at once.
const HOSTS: usize = 4;
/// Between the ends of the tasks of one host and the next; no host is silent for too long.
const HOST_INTERVAL: Micros = Micros::from_millis(500);

fn submit(part: &mut Partition, id: &str, shape: &str, tasks: u32, gpus: f64, order: u64) {
    let mut job = (*request(id, shape, tasks, gpus, None)).clone();
    job.priority = Priority::High;
    let submitted = NOW + Micros::from_millis(order);
    part.upsert_job(&Rc::new(job), Revision(6 + order), submitted, &[], (0, NOW));
}

/// Lets the tasks of each host end in turn, with a cycle after each, until the job has begun;
/// after how many hosts that was.
fn hosts_until_begun(part: &mut Partition, id: &str) -> Option<usize> {
    for turn in 0..3 * HOSTS {
        let now = NOW + HOST_INTERVAL.scale(1.0 + turn as f64);
        let host = format!("n-{}", 1 + turn % HOSTS);
        all_exit(part, &host, 10 + turn as u64, ExitCause::Done, now);
        part.run_cycle(now);
        if live(part, id) > 0 {
            return Some(turn + 1);
        }
    }
    None
}

/// What happens: a gang that needs its team's whole limit waits behind a later array of the same
/// team for as long as this has tasks. Why: whenever a task ends the array takes the freed part of
/// the limit at once, so that there is never enough of it for all tasks of the gang together. Seen
/// in `more_work_than_capacity_over_slow_links` at seed 5, in the log of every minute: `jobs that
/// wait class=gang reason=TeamLimit oldest=job-000003 tasks=16`, from 72 s to 252 s.
#[test]
fn a_gang_at_its_teams_limit_starts_before_later_work_of_the_team() {
    let mut part = partition(HOSTS, false);
    submit(&mut part, "job-first", "array", 4, 1.0, 0);
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-first"), 4);
    submit(&mut part, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut part, "job-array", "array", 100, 1.0, 2);
    let begun = hosts_until_begun(&mut part, "job-gang");
    assert_eq!(begun, Some(2), "as soon as the first array has ended");
    assert_eq!(live(&part, "job-array"), 0);
    assert_eq!(part.jobs[&JobId::new("job-gang")].live.len(), 2);
}

/// Nothing is reserved for a gang that the hosts could not hold even if nothing else ran there.
#[test]
fn a_gang_that_finds_no_hosts_holds_up_no_other_work_of_its_team() {
    let mut part = partition(1, false);
    submit(&mut part, "job-first", "array", 2, 1.0, 0);
    part.run_cycle(NOW);
    submit(&mut part, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut part, "job-array", "array", 100, 1.0, 2);
    all_exit(&mut part, "n-1", 10, ExitCause::Done, NOW);
    part.run_cycle(NOW + HOST_INTERVAL);
    assert_eq!(live(&part, "job-array"), 2);
}

/// A gang that waits for a task of its team that lasts holds up no other work of the team, which is
/// under its limit. Seen as `waited: job-650003 90s beside room` where a gang reserved its part
/// without looking when it would be free.
#[test]
fn a_gang_that_waits_for_a_lasting_task_holds_up_no_other_work() {
    let mut part = partition(HOSTS, false);
    submit(&mut part, "job-daemon", "daemon", 1, 1.0, 0);
    part.run_cycle(NOW);
    submit(&mut part, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut part, "job-array", "array", 1, 1.0, 2);
    part.run_cycle(NOW + HOST_INTERVAL);
    assert_eq!((live(&part, "job-gang"), live(&part, "job-array")), (0, 1));
}

/// Where the tasks before it take longer than they are expected to, a gang's reservation pauses.
#[test]
fn a_reservation_pauses_before_others_have_waited_for_too_long() {
    let mut part = partition(HOSTS, false);
    submit(&mut part, "job-first", "array", 1, 1.0, 0);
    part.run_cycle(NOW);
    submit(&mut part, "job-gang", "ensemble", 2, 2.0, 1);
    submit(&mut part, "job-array", "array", 1, 1.0, 2);
    let begun = (1u64..120).find(|second| {
        let now = NOW + Micros::from_secs(*second);
        for host in 1..=HOSTS {
            all_runs(&mut part, &format!("n-{host}"), 10 + second, now);
        }
        part.run_cycle(now);
        live(&part, "job-array") > 0
    });
    assert!(
        begun.is_some_and(|second| (35..60).contains(&second)),
        "{begun:?}"
    );
}
