//! Tests of takeovers, after which tasks started by the previous owner may still be running.

use crate::support::{NOW, heartbeat, live, new_partition, record, request};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{FencingState, HeartbeatSource, HostInput, Partition};
use jasperhill_wire::record::{HostRecord, JobRecord};
use jasperhill_wire::worker::{Command, ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, Revision, TaskId};
use std::rc::Rc;

/// After a takeover, one host has sent a heartbeat and the other has not. A team exceeds its limit
/// if the share of a cancelled job is reused while its tasks may still run on the unknown host, or
/// are known and have not ended yet.
#[test]
fn cancelled_job_counts_against_limit_until_its_tasks_have_ended() {
    let first_host = HostId::new("n-1");
    let gpus = |partition: &Partition| partition.team_usage(&"red".into()).gpus / 1_000_000;
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let running = |n: u32| {
        let task = TaskId::new(&JobId::new("job-old"), n);
        TaskStatus {
            task,
            attempt: Attempt(1),
            phase: TaskPhase::Running,
        }
    };
    // The job is cancelled after the takeover, or before the takeover and then restored from its
    // record.
    for is_restored_from_record in [false, true] {
        let mut partition = new_partition(2, true);
        if is_restored_from_record {
            let record = JobRecord::cancelled(&cancelled, 0, NOW);
            partition.restore_cancelled(&cancelled.id, &record.residual_usage.unwrap(), NOW);
        } else {
            partition.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
        }
        let new = request("job-new", "array", 4, 1.0, None);
        partition.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        partition.on_heartbeat(
            &heartbeat("n-1", 1, 1, 5, vec![running(0)]),
            HeartbeatSource::Direct,
            NOW,
        );
        if !is_restored_from_record {
            partition.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        partition.run_cycle(NOW);
        // Three of the four GPUs of the limit may be in use, so that one more task may start.
        assert_eq!((gpus(&partition), live(&partition, "job-new")), (4, 1));
        let stops = partition
            .commands(&first_host)
            .iter()
            .any(|o| matches!(o, Command::Stop(t, ..) if t.index == 0));
        assert!(stops);
        // The other host reports a second task, which is stopped as well. The third task runs on no
        // host.
        partition.on_heartbeat(
            &heartbeat("n-2", 1, 1, 5, vec![running(2)]),
            HeartbeatSource::Direct,
            NOW,
        );
        partition.run_cycle(NOW);
        assert_eq!((gpus(&partition), live(&partition, "job-new")), (4, 2));
        // Both tasks have ended.
        for (host, n) in [("n-1", 0), ("n-2", 2)] {
            let mut exited = running(n);
            exited.phase = TaskPhase::Exited(ExitCause::Stopped { saved: false });
            partition.on_heartbeat(
                &heartbeat(host, 1, 2, 5, vec![exited]),
                HeartbeatSource::Heartbeat,
                NOW,
            );
        }
        partition.run_cycle(NOW);
        assert_eq!(gpus(&partition), 4);
        assert_eq!(live(&partition, "job-new"), 4);
        assert!(!partition.jobs.contains_key(&cancelled.id));
    }
}

/// The limit also counts a cancelled job of which the known host reports no task, until the lease
/// of the unknown host has expired.
#[test]
fn cancelled_job_counts_against_limit_while_a_host_is_unknown() {
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let record = JobRecord::cancelled(&cancelled, 0, NOW);
    for is_restored_from_record in [false, true] {
        let mut partition = new_partition(2, true);
        if is_restored_from_record {
            let residual_usage = record.residual_usage.as_ref().unwrap();
            partition.restore_cancelled(&cancelled.id, residual_usage, NOW);
        } else {
            partition.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
            partition.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        let new = request("job-new", "array", 4, 1.0, None);
        partition.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        partition.on_heartbeat(
            &heartbeat("n-1", 1, 1, 5, vec![]),
            HeartbeatSource::Direct,
            NOW,
        );
        partition.run_cycle(NOW);
        assert_eq!(live(&partition, "job-new"), 1);
        // The other host's lease has certainly expired, so that none of its tasks is left.
        let later = NOW + partition.config.lease_expiry() + Micros::from_secs(1);
        partition.on_heartbeat(
            &heartbeat("n-1", 1, 2, 5, vec![]),
            HeartbeatSource::Heartbeat,
            later,
        );
        partition.apply(&HostId::new("n-1"), HostInput::Answered(&[]), later);
        partition.run_cycle(later);
        assert!(!partition.jobs.contains_key(&cancelled.id));
        assert_eq!(
            partition.hosts[&HostId::new("n-2")].fencing,
            FencingState::LeaseExpired
        );
        assert!(live(&partition, "job-new") > 1);
    }
}

#[test]
fn after_takeover_old_jobs_wait_for_the_last_host_and_new_jobs_do_not() {
    let mut partition = new_partition(2, true);
    partition.upsert_job(
        &request("job-old", "array", 1, 1.0, None),
        Revision(3),
        NOW,
        &[],
        (0, NOW),
    );
    partition.upsert_job(
        &request("job-new", "array", 1, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.on_heartbeat(
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    partition.run_cycle(NOW);
    assert_eq!(
        (live(&partition, "job-old"), live(&partition, "job-new")),
        (0, 1)
    );
    // The other host's lease has certainly expired.
    let later = NOW + partition.config.lease_expiry();
    partition.on_heartbeat(
        &heartbeat("n-1", 1, 10, 5, vec![]),
        HeartbeatSource::Heartbeat,
        later,
    );
    partition.apply(&"n-1".into(), HostInput::Answered(&[]), later);
    partition.run_cycle(later);
    assert_eq!(
        partition.hosts[&HostId::new("n-2")].fencing,
        FencingState::LeaseExpired
    );
    assert_eq!(live(&partition, "job-old"), 1);
}

#[test]
fn unknown_spot_machine_does_not_delay_jobs_that_never_use_spot_machines() {
    let mut partition = new_partition(1, true);
    let unknown_spot_host = HostRecord {
        spot: true,
        ..record("a")
    };
    partition.upsert_host(&"n-9".into(), &unknown_spot_host, Revision(4), true, NOW);
    let on_demand = request("job-steady", "array", 1, 1.0, None);
    let mut spot_allowed = (*request("job-flexible", "array", 1, 1.0, None)).clone();
    spot_allowed.spot = true;
    for job in [on_demand, Rc::new(spot_allowed)] {
        partition.upsert_job(&job, Revision(3), NOW, &[], (0, NOW));
    }
    partition.on_heartbeat(
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-steady"), 1);
    assert_eq!(live(&partition, "job-flexible"), 0);
}

#[test]
fn team_limit_counts_tasks_that_may_run_on_unknown_hosts() {
    let mut partition = new_partition(2, true);
    partition.upsert_job(
        &request("job-old", "array", 3, 1.0, None),
        Revision(3),
        NOW,
        &[],
        (0, NOW),
    );
    partition.upsert_job(
        &request("job-new", "array", 4, 1.0, None),
        Revision(6),
        NOW,
        &[],
        (0, NOW),
    );
    partition.on_heartbeat(
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-new"), 1);
}

/// The failure history survives a takeover: one task is retried instead of the whole array.
#[test]
fn job_still_backs_off_after_takeover() {
    let mut partition = new_partition(6, false);
    partition.upsert_job(
        &request("job-1", "array", 40, 0.0, None),
        Revision(6),
        NOW,
        &[],
        (1, NOW),
    );
    partition.run_cycle(NOW);
    assert_eq!(live(&partition, "job-1"), 0);
    partition.run_cycle(NOW + Micros::from_secs(5));
    assert_eq!(live(&partition, "job-1"), 1);
}
