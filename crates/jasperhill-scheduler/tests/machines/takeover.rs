//! What a predecessor may have left running.

use crate::support::{NOW, heartbeat, live, partition, record, request};
use jasperhill_scheduler::job::Termination;
use jasperhill_scheduler::{FencingState, HeartbeatSource, HostInput, Partition};
use jasperhill_wire::record::{HostRecord, JobRecord};
use jasperhill_wire::worker::{Command, ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, Revision, TaskId};
use std::rc::Rc;

/// After a takeover one host is known and one is not. Guards against a team's limit that is given out
/// again while tasks of a cancelled job may run unseen, or are seen and not gone yet.
#[test]
fn what_was_cancelled_counts_until_its_tasks_are_gone() {
    let one = HostId::new("n-1");
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
    // Cancelled after the takeover, and before it: then its record tells.
    for recalled in [false, true] {
        let mut part = partition(2, true);
        if recalled {
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
        if !recalled {
            part.end_job(&cancelled.id, Termination::Cancelled, NOW);
        }
        part.run_cycle(NOW);
        // Three of four may be there: one more may start.
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 1));
        let stops = part
            .commands(&one)
            .iter()
            .any(|o| matches!(o, Command::Stop(t, ..) if t.index == 0));
        assert!(stops);
        // The other host shows one, which is stopped as well; the third is nowhere.
        part.on_heartbeat(
            &heartbeat("n-2", 1, 1, 5, vec![running(2)]),
            HeartbeatSource::Direct,
            NOW,
        );
        part.run_cycle(NOW);
        assert_eq!((gpus(&part), live(&part, "job-new")), (4, 2));
        // Gone, both.
        for (host, n) in [("n-1", 0), ("n-2", 2)] {
            let mut gone = running(n);
            gone.phase = TaskPhase::Exited(ExitCause::Stopped { saved: false });
            part.on_heartbeat(
                &heartbeat(host, 1, 2, 5, vec![gone]),
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

/// The same where the host that is known shows nothing of it.
#[test]
fn what_was_cancelled_counts_while_it_may_run_unseen() {
    let cancelled = request("job-old", "array", 3, 1.0, None);
    let record = JobRecord::cancelled(&cancelled, 0, NOW);
    for recalled in [false, true] {
        let mut part = partition(2, true);
        if recalled {
            let remains = record.residual_usage.as_ref().unwrap();
            part.restore_cancelled(&cancelled.id, remains, NOW);
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
        // The other host's lease has surely lapsed: nothing of it is left.
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
fn after_a_takeover_old_jobs_wait_for_the_last_host_and_new_ones_do_not() {
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
    // The other host's lease has surely lapsed.
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
fn an_unknown_spot_machine_does_not_hold_up_work_that_never_runs_on_such() {
    let mut part = partition(1, true);
    let silent = HostRecord {
        spot: true,
        ..record("a")
    };
    part.upsert_host(&"n-9".into(), &silent, Revision(4), true, NOW);
    let steady = request("job-steady", "array", 1, 1.0, None);
    let mut flexible = (*request("job-flexible", "array", 1, 1.0, None)).clone();
    flexible.spot = true;
    for job in [steady, Rc::new(flexible)] {
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
fn the_limit_counts_what_may_run_unseen() {
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

/// What was learned before a takeover is not forgotten: one task is tried, not the array.
#[test]
fn a_job_that_backs_off_still_does_after_a_takeover() {
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
