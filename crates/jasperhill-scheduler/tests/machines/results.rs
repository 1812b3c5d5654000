//! Tests that every way in which the last task of a job ends leads to the job's record.

use crate::support::{NOW, new_partition, report_all_exited, report_all_running, request};
use jasperhill_scheduler::Partition;
use jasperhill_wire::worker::ExitCause;
use jasperhill_wire::{HostId, JobId, Micros, Revision};

/// A way in which a task ends on its host.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The worker reports this cause.
    Reported(ExitCause),
    /// The worker's lease expires.
    LeaseExpired,
    /// The host's record is deleted or given to another partition.
    HostRemoved,
}

/// The ways in which a task of a gang ends of which another task is already known to be done.
const ENDS: [End; 4] = [
    End::Reported(ExitCause::Done),
    End::Reported(ExitCause::Peers),
    End::LeaseExpired,
    End::HostRemoved,
];

/// Ends all tasks on a host in this way, and runs a cycle.
fn end_tasks(partition: &mut Partition, host: &str, end: End, now: Micros) {
    let id = HostId::new(host);
    match end {
        End::Reported(cause) => {
            report_all_exited(partition, host, 20, cause, now);
        }
        End::LeaseExpired => {
            let host = partition.hosts.get_mut(&id).unwrap();
            host.lease_renewed_at_latest = now - partition.config.lease_expiry();
        }
        End::HostRemoved => partition.remove_host(&id, now),
    }
    partition.run_cycle(now);
}

/// Guards against a completed gang that stays pending for ever: its result was written only if the
/// last of its tasks to end was reported as done.
#[test]
fn completed_gang_has_results_to_save_however_its_other_task_ends() {
    let id = JobId::new("job-1");
    for (first, second) in [("n-1", "n-2"), ("n-2", "n-1")] {
        for end in ENDS {
            let mut partition = new_partition(2, false);
            let gang = request("job-1", "ensemble", 2, 2.0, None);
            partition.upsert_job(&gang, Revision(6), NOW, &[], (0, NOW));
            partition.run_cycle(NOW);
            report_all_running(&mut partition, first, 10, NOW);
            report_all_running(&mut partition, second, 10, NOW);
            let now = NOW + Micros::from_secs(1);
            end_tasks(&mut partition, first, End::Reported(ExitCause::Done), now);
            assert!(
                !partition.jobs[&id].has_results_to_save(),
                "one task may still run"
            );
            end_tasks(&mut partition, second, end, now);
            let job = &partition.jobs[&id];
            assert!(job.done.is_full(), "{end:?}: {job:?}");
            let to_save = partition.jobs_with_results_to_save();
            assert_eq!(to_save.count(), 1, "{end:?}: {job:?}");
        }
    }
}
