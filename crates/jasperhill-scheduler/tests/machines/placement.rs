//! Tests of task placement, preemption, reserved capacity and host draining.

use crate::support::{NOW, heartbeat, live, new_partition, report_all_running, request};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{HeartbeatSource, HostInput, Partition};
use jasperhill_wire::user::{JobRequest, Priority};
use jasperhill_wire::worker::Command;
use jasperhill_wire::{HostId, JobId, Micros, Resources, Revision};
use std::rc::Rc;

#[test]
fn gang_starts_as_a_whole_and_restarts_with_a_new_attempt() {
    let mut partition = new_partition(2, false);
    partition.upsert_job(
        &request("job-1", "ensemble", 2, 2.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-1"), 2);
    let attempt = partition.jobs[&JobId::new("job-1")].attempt.unwrap();
    partition.apply(&"n-1".into(), HostInput::LeaseExpiredOrRemoved, NOW);
    partition.run_cycle(NOW);
    let commands = partition.commands(&"n-2".into());
    // The start command was never sent, so that it is withdrawn immediately and nothing of the
    // attempt is left.
    assert_eq!(commands, vec![]);
    assert_eq!(live(&partition, "job-1"), 0);
    partition.on_heartbeat(
        &heartbeat("n-1", 2, 20, 5, vec![]),
        HeartbeatSource::Heartbeat,
        NOW,
    );
    partition.run_cycle(NOW);
    let next_attempt = partition.jobs[&JobId::new("job-1")].attempt;
    assert!(next_attempt.is_none() || next_attempt > Some(attempt));
}

#[test]
fn cancelled_job_is_stopped_and_not_started_again() {
    let mut partition = new_partition(1, false);
    partition.upsert_job(
        &request("job-1", "daemon", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.run_cycle(NOW);
    let commands = partition.commands(&"n-1".into());
    partition.apply(&"n-1".into(), HostInput::Answered(&commands), NOW);
    partition.end_job(&JobId::new("job-1"), Termination::Cancelled, NOW);
    partition.run_cycle(NOW);
    let commands = partition.commands(&"n-1".into());
    assert!(matches!(commands[..], [Command::Stop(..)]), "{commands:?}");
}

/// Small tasks without accelerators are placed on hosts whose accelerators are in use or can no
/// longer be used, so that whole machines remain free for gangs that need them.
#[test]
fn tasks_without_accelerators_avoid_cpus_of_free_accelerators() {
    let mut partition = new_partition(6, false);
    // On one machine all accelerators are in use. On another machine one accelerator is in use; it
    // has fewer free CPUs, which the other accelerator needs.
    for (id, cpus, gpus) in [("job-1", 14.0, 2.0), ("job-2", 15.0, 1.0)] {
        let mut gang = (*request(id, "ensemble", 1, 2.0, None)).clone();
        gang.each = Resources::from_units(cpus, gpus, 100.0);
        partition.upsert_job(&Rc::new(gang), Revision(6), NOW, &[], (0, NOW));
    }
    partition.run_cycle(NOW);
    let host_without_free_gpus = partition.jobs[&JobId::new("job-1")].live[&0].clone();
    assert_ne!(
        host_without_free_gpus,
        partition.jobs[&JobId::new("job-2")].live[&0]
    );
    let mut small_job = (*request("job-9", "array", 2, 0.0, None)).clone();
    small_job.each = Resources::from_units(1.0, 0.0, 1.0);
    partition.upsert_job(&Rc::new(small_job), Revision(7), NOW, &[], (0, NOW));
    partition.run_cycle(NOW);
    let live = &partition.jobs[&JobId::new("job-9")].live;
    assert!(
        live.len() == 2 && live.values().all(|h| h == &host_without_free_gpus),
        "{live:?}"
    );
}

/// Draining takes too long if a host with a long task is chosen before others, and capacity is lost
/// if hosts stay in draining after the demand has risen again.
#[test]
fn drains_host_that_is_empty_soonest_and_resumes_it_on_demand() {
    let mut partition = new_partition(4, false);
    for (job, shape, estimate) in [("job-1", "array", 60), ("job-2", "array", 5)] {
        let mut job_request = (*request(job, shape, 1, 2.0, None)).clone();
        job_request.estimate = Micros::from_secs(estimate);
        partition.upsert_job(&Rc::new(job_request), Revision(6), NOW, &[], (0, NOW));
    }
    partition.run_cycle(NOW);
    let host_of =
        |partition: &Partition, job: &str| partition.jobs[&JobId::new(job)].live[&0].clone();
    let (long_host, short_host) = (host_of(&partition, "job-1"), host_of(&partition, "job-2"));
    let draining_hosts = |partition: &Partition| -> Vec<HostId> {
        let hosts = partition.hosts.values().filter(|h| h.draining.is_some());
        hosts.map(|h| h.id.clone()).collect()
    };
    // There are not too many on-demand machines, so that none is drained.
    partition.drain_surplus(NOW, (2, 0));
    assert_eq!(draining_hosts(&partition), Vec::<HostId>::new());
    partition.drain_surplus(NOW, (1, 1));
    assert_eq!(draining_hosts(&partition), [short_host]);
    partition.drain_surplus(NOW, (2, 2));
    assert_eq!(partition.hosts[&long_host].draining, Some(NOW));
    partition.drain_surplus(NOW, (1, 2));
    assert_eq!(draining_hosts(&partition).len(), 1);
    partition.drain_surplus(NOW, (0, 0));
    assert_eq!(draining_hosts(&partition), Vec::<HostId>::new());
}

fn whole_host_job(id: &str, shape: &str, tasks: u32, priority: Priority) -> Rc<JobRequest> {
    let mut job_request = (*request(id, shape, tasks, 0.0, None)).clone();
    job_request.each = Resources::from_units(16.0, 0.0, 1.0);
    job_request.priority = priority;
    Rc::new(job_request)
}

/// A lost replica cannot restart if lower-priority work takes the free capacity while the lease of
/// the silent host runs out. The capacity must not stay reserved once the host is back.
#[test]
fn reserves_capacity_for_replica_on_silent_host() {
    let mut partition = new_partition(2, false);
    let service = whole_host_job("job-live", "daemon", 1, Priority::Production);
    partition.upsert_job(&service, Revision(6), NOW, &[], (0, NOW));
    partition.run_cycle(NOW);
    let replica_host = partition.jobs[&JobId::new("job-live")].live[&0].clone();
    let other_host = if replica_host.as_str() == "n-1" {
        "n-2"
    } else {
        "n-1"
    };
    report_all_running(&mut partition, replica_host.as_str(), 5, NOW);
    let silent_at = NOW + Micros::from_secs(7);
    partition.on_heartbeat(
        &heartbeat(other_host, 1, 5, 5, vec![]),
        HeartbeatSource::Heartbeat,
        silent_at,
    );
    let batch_job = whole_host_job("job-batch", "array", 1, Priority::Normal);
    partition.upsert_job(&batch_job, Revision(7), silent_at, &[], (0, silent_at));
    partition.run_cycle(silent_at);
    assert_eq!(live(&partition, "job-batch"), 0);
    // The host sends heartbeats again, so that the capacity is available to all jobs.
    let back_at = silent_at + Micros::from_secs(1);
    report_all_running(&mut partition, replica_host.as_str(), 6, back_at);
    partition.run_cycle(back_at);
    assert_eq!(live(&partition, "job-batch"), 1);
    // Without lower-priority work on the other host, the replica restarts as soon as its host is
    // lost.
    partition.end_job(&JobId::new("job-batch"), Termination::Cancelled, back_at);
    partition.on_heartbeat(
        &heartbeat(other_host, 1, 6, 5, vec![]),
        HeartbeatSource::Heartbeat,
        back_at,
    );
    partition.run_cycle(back_at);
    let lost_at = back_at + partition.config.lease_expiry();
    partition.on_heartbeat(
        &heartbeat(other_host, 1, 7, 5, vec![]),
        HeartbeatSource::Heartbeat,
        lost_at,
    );
    partition.apply(&other_host.into(), HostInput::Answered(&[]), lost_at);
    partition.run_cycle(lost_at);
    assert!(partition.recovery.is_incomplete());
    let new_host = partition.jobs[&JobId::new("job-live")].live[&0].clone();
    assert_eq!(new_host.as_str(), other_host);
    report_all_running(&mut partition, other_host, 8, lost_at);
    partition.run_cycle(lost_at + Micros::from_secs(1));
    assert!(!partition.recovery.is_incomplete());
}

/// If a gang of several tasks cannot be preempted, a replica waits for as long as the gang runs.
#[test]
fn replica_preempts_gang_without_other_capacity() {
    let mut partition = new_partition(2, false);
    let gang = whole_host_job("job-gang", "ensemble", 2, Priority::High);
    partition.upsert_job(&gang, Revision(6), NOW, &[], (0, NOW));
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-gang"), 2);
    for (counter, host) in [(5, "n-1"), (6, "n-2")] {
        report_all_running(&mut partition, host, counter, NOW);
    }
    let service = whole_host_job("job-live", "daemon", 1, Priority::Production);
    partition.upsert_job(&service, Revision(7), NOW, &[], (0, NOW));
    partition.run_cycle(NOW);
    let is_stopped = |host: &str| {
        let commands = partition.commands(&host.into());
        commands.iter().any(|o| matches!(o, Command::Stop(..)))
    };
    assert!(is_stopped("n-1") && is_stopped("n-2"));
}
