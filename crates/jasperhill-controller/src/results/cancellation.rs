//! Writing the cancellation of jobs that depend on cancelled ones.

use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::JobEntry,
};
use jasperhill_wire::{
    JobId, Micros, Revision,
    record::{JobRecord, RecordPhase, Role, job_key, role_key},
};
use std::rc::Rc;

/// Records of dependents that are written at a time.
const CANCELLING_MAX: usize = 40;
/// How long the write of a record is tried.
const WRITE_LIMIT: Micros = Micros::from_secs(10);

/// A job to be cancelled because a job that it depends on is.
struct CancelledDependent {
    /// The job's id.
    id: JobId,
    /// The number of the job's partition.
    partition_id: u32,
    /// The revision at which this controller became the partition's owner.
    owned_since: Revision,
    /// The version of the job's record.
    version: Revision,
    /// How many of its tasks are done.
    done_count: u32,
}

impl Shared {
    /// Writes the cancellation of jobs into the records of the unfinished jobs that depend on them, a few
    /// at a time. Every controller derives it from the records of the upstream jobs: this only keeps it so
    /// for those who will not see how it came about, and whoever owns the jobs next continues. Called by
    /// each scheduling pass.
    pub fn write_cancelled(self: Rc<Self>) {
        for dependent in self.take_cancelled_dependents() {
            self.clone().spawn(self.clone().cancel_dependent(dependent));
        }
    }

    /// The jobs to be cancelled now; they count as being cancelled from here on.
    fn take_cancelled_dependents(&self) -> Vec<CancelledDependent> {
        let mut due = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        for id in state.cache.dependencies.cancelled_upstream() {
            if state.results.cancelling.len() >= CANCELLING_MAX {
                break;
            }
            if let Some(JobEntry::Active(job)) = state.cache.job(id)
                && let Some(partition_id) = self.partition_of(&job.request.team)
                && let Some(partition) = state.scheduling.partitions.get(&partition_id)
                && state.results.cancelling.insert(id.clone())
            {
                due.push(CancelledDependent {
                    id: id.clone(),
                    partition_id,
                    owned_since: partition.since,
                    version: job.version,
                    done_count: job.done_count,
                });
            }
        }
        due
    }

    /// Writes the cancellation of one job.
    async fn cancel_dependent(self: Rc<Self>, dependent: CancelledDependent) {
        let id = dependent.id;
        let record = JobRecord::terminal(RecordPhase::Cancelled, dependent.done_count);
        let role = Role::Partition(dependent.partition_id);
        let guards = vec![
            guard(role_key(role), dependent.owned_since),
            guard(job_key(&id), dependent.version),
        ];
        let changes = vec![put(job_key(&id), &record)];
        let outcome = self
            .write(WritePriority::Background, guards, changes, WRITE_LIMIT)
            .await;
        self.state.borrow_mut().results.cancelling.remove(&id);
        match outcome {
            WriteOutcome::Committed(_) => {
                tracing::info!(job = %id, "job cancelled with a job that it depends on");
                self.wake.scheduler.notify_one();
            }
            // Tried again with the next pass, starting from what the watch cache then shows.
            _ => {
                self.read_index().await;
            }
        }
    }
}
