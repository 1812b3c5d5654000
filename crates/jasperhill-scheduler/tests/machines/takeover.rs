//! Tests of takeovers, after which tasks started by the previous owner may still be running.

use crate::support::{NOW, heartbeat, live, partition, record, request};
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
    // The job is cancelled after the takeover, or before it, which its record shows.
    for is_restored_from_record in [false, true] {
        let mut part = partition(2, true);
        if is_restored_from_record {
            let record = JobRecord::cancelled(&cancelled, 0, NOW);
            part.restore_cancelled(&cancelled.id, &record.residual_usage.unwrap(), NOW);
        } else {
            part.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
        }
        let new = request("job-new", "array", 4, 1.0, None);
        part.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        part.on_heartbeat(
            &heartbeat("n-1", 1, 1, 5, vec![running(0)]),
            HeartbeatSource::Direct,
            NOW,
        );
        if !is_restored_from_record {
            part.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        part.run_cycle(NOW);
        // Three of the four GPUs of the limit may be in use, so that one more task may start.
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 1));
        let stops = part
            .commands(&first_host)
            .iter()
            .any(|o| matches!(o, Command::Stop(t, ..) if t.index == 0));
        assert!(stops);
        // The other host reports a second task, which is stopped as well. The third task runs on no
        // host.
        part.on_heartbeat(
            &heartbeat("n-2", 1, 1, 5, vec![running(2)]),
            HeartbeatSource::Direct,
            NOW,
        );
        part.run_cycle(NOW);
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 2));
        // Both tasks have ended.
        for (host, n) in [("n-1", 0), ("n-2", 2)] {
            let mut exited = running(n);
            exited.phase = TaskPhase::Exited(ExitCause::Stopped { saved: false });
            part.on_heartbeat(
                &heartbeat(host, 1, 2, 5, vec![exited]),
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

/// The limit also counts a cancelled job of which the known host reports no task, until the lease
/// of the unknown host has expired.
#[test]
fn cancelled_job_counts_against_limit_while_a_host_is_unknown() {
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let record = JobRecord::cancelled(&cancelled, 0, NOW);
    for is_restored_from_record in [false, true] {
        let mut part = partition(2, true);
        if is_restored_from_record {
            let residual_usage = record.residual_usage.as_ref().unwrap();
            part.restore_cancelled(&cancelled.id, residual_usage, NOW);
        } else {
            part.upsert_job(&cancelled, Revision(3), NOW, &[], (0, NOW));
            part.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        let new = request("job-new", "array", 4, 1.0, None);
        part.upsert_job(&new, Revision(6), NOW, &[], (0, NOW));
        part.on_heartbeat(
            &heartbeat("n-1", 1, 1, 5, vec![]),
            HeartbeatSource::Direct,
            NOW,
        );
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-new"), 1);
        // The other host's lease has certainly expired, so that none of its tasks is left.
        let later = NOW + part.config.lease_expiry() + Micros::from_secs(1);
        part.on_heartbeat(
            &heartbeat("n-1", 1, 2, 5, vec![]),
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

#[test]
fn after_takeover_old_jobs_wait_for_the_last_host_and_new_jobs_do_not() {
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
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!((live(&part, "job-old"), live(&part, "job-new")), (0, 1));
    // The other host's lease has certainly expired.
    let later = NOW + part.config.lease_expiry();
    part.on_heartbeat(
        &heartbeat("n-1", 1, 10, 5, vec![]),
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
fn unknown_spot_machine_does_not_delay_jobs_that_never_use_spot_machines() {
    let mut part = partition(1, true);
    let unknown_spot_host = HostRecord {
        spot: true,
        ..record("a")
    };
    part.upsert_host(&"n-9".into(), &unknown_spot_host, Revision(4), true, NOW);
    let on_demand = request("job-steady", "array", 1, 1.0, None);
    let mut spot_allowed = (*request("job-flexible", "array", 1, 1.0, None)).clone();
    spot_allowed.spot = true;
    for job in [on_demand, Rc::new(spot_allowed)] {
        part.upsert_job(&job, Revision(3), NOW, &[], (0, NOW));
    }
    part.on_heartbeat(
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-steady"), 1);
    assert_eq!(live(&part, "job-flexible"), 0);
}

#[test]
fn team_limit_counts_tasks_that_may_run_on_unknown_hosts() {
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
        &heartbeat("n-1", 1, 9, 5, vec![]),
        HeartbeatSource::Direct,
        NOW,
    );
    part.run_cycle(NOW);
    assert_eq!(live(&part, "job-new"), 1);
}

/// The failure history survives a takeover: one task is retried instead of the whole array.
#[test]
fn job_still_backs_off_after_takeover() {
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
