//! Writes the cancellation of jobs that depend on cancelled jobs to the store.

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

/// Maximum number of dependent jobs whose records are being written at a time.
const CONCURRENT_CANCELLATIONS_MAX: usize = 40;
/// Maximum time that the write of a cancellation may wait in the queue.
const WRITE_TIMEOUT: Micros = Micros::from_secs(10);

/// Job to be cancelled because a job that it depends on was cancelled.
struct CancelledDependent {
    /// Id of the job.
    id: JobId,
    /// Number of the partition that contains the job.
    partition_id: u32,
    /// Revision at which this controller became the owner of the partition.
    owned_since: Revision,
    /// Version of the job record.
    version: Revision,
    /// Number of tasks of the job that are done.
    done_count: u32,
}

impl Shared {
    /// Writes cancellations into the records of unfinished jobs that depend on cancelled jobs, a
    /// limited number at a time. Called in each scheduling pass.
    ///
    /// Every controller derives these cancellations from the records of the upstream jobs. The
    /// written records preserve the outcome for controllers that cannot derive it because they did
    /// not observe the upstream cancellation. If a partition changes its owner, the new owner
    /// continues with the remaining jobs.
    pub fn cancel_dependents(self: Rc<Self>) {
        for dependent in self.take_cancelled_dependents() {
            self.clone().spawn(self.clone().cancel_dependent(dependent));
        }
    }

    /// Returns the jobs whose cancellation is to be written now, and marks them as being cancelled.
    fn take_cancelled_dependents(&self) -> Vec<CancelledDependent> {
        let mut due_dependents = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        for id in state.cache.dependencies.cancelled_upstream() {
            if state.results.cancelling.len() >= CONCURRENT_CANCELLATIONS_MAX {
                break;
            }
            if let Some(JobEntry::Active(job)) = state.cache.job(id)
                && let Some(partition_id) = self.partition_of(&job.request.team)
                && let Some(partition) = state.scheduling.partitions.get(&partition_id)
                && state.results.cancelling.insert(id.clone())
            {
                due_dependents.push(CancelledDependent {
                    id: id.clone(),
                    partition_id,
                    owned_since: partition.owned_since,
                    version: job.version,
                    done_count: job.done_count,
                });
            }
        }
        due_dependents
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
            .write(WritePriority::Background, guards, changes, WRITE_TIMEOUT)
            .await;
        self.state.borrow_mut().results.cancelling.remove(&id);
        match outcome {
            WriteOutcome::Committed(_) => {
                tracing::info!(job = %id, "job cancelled with a job that it depends on");
                self.wakeups.scheduler.notify_one();
            }
            // The next scheduling pass retries with the record that the watch cache then contains.
            _ => {
                self.linearizable_read().await;
            }
        }
    }
}
