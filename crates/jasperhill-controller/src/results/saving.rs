//! Writes the results of jobs to the store.

use super::record::result_record;
use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::JobEntry,
};
use jasperhill_scheduler::job::Job;
use jasperhill_wire::{
    JobId, Micros, Revision,
    record::{RecordPhase, Role, job_key, role_key},
    store::{Change, Guard},
};
use std::{collections::BTreeSet, rc::Rc};

/// Maximum time that the write of a result may wait in the queue.
const WRITE_TIMEOUT: Micros = Micros::from_secs(20);

/// Prepared write of the results of a job.
struct ResultWrite {
    /// Guards of the transaction, on the role record and the job record.
    guards: Vec<Guard>,
    /// Change that writes the job record.
    change: Change,
    /// Phase in the new job record.
    phase: RecordPhase,
    /// Tasks whose results become durable with this write.
    tasks: BTreeSet<u32>,
    /// Number of failed attempts in the new job record.
    failed_attempts: u32,
    /// Revision at which this controller became the owner of the partition.
    owned_since: Revision,
}

impl Shared {
    /// Starts writing the results that are due. Partial results of unfinished jobs are delayed, so
    /// that the results of several tasks share a write. Called in each scheduling pass.
    pub fn save_results(self: Rc<Self>) {
        for (partition_id, job) in self.take_due_results() {
            self.clone()
                .spawn(self.clone().save_result(partition_id, job));
        }
    }

    /// Returns the jobs whose results are to be written now, each with its partition, and marks
    /// them as being written.
    fn take_due_results(&self) -> Vec<(u32, JobId)> {
        let now = self.now();
        let mut due_results = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        state.results.prune(now);
        let write_rate = state.store.commit_queue.rate();
        for partition in state.scheduling.partitions.values() {
            for job in partition.jobs_with_results_to_save() {
                let id = &job.request.id;
                let is_done = job.done.is_full();
                let has_dependents = is_done && state.cache.dependencies.has_dependents(id);
                let is_due = state.results.may_start_saving(id, has_dependents)
                    && (is_done || state.results.is_partial_due(id, write_rate, now));
                if is_due {
                    state.results.start_saving(id.clone());
                    due_results.push((partition.id, id.clone()));
                }
            }
        }
        due_results
    }

    /// Writes the results of a job, and wakes the scheduler if there are further results to write.
    async fn save_result(self: Rc<Self>, partition_id: u32, id: JobId) {
        let has_dependents = self.state.borrow().cache.dependencies.has_dependents(&id);
        let mut is_saved = true;
        if let Some(write) = self.prepare_result_write(partition_id, &id) {
            let priority = match write.phase {
                RecordPhase::Done if has_dependents => WritePriority::FinishWithDependents,
                RecordPhase::Done => WritePriority::Finish,
                _ => WritePriority::Background,
            };
            let outcome = self
                .write(priority, write.guards, vec![write.change], WRITE_TIMEOUT)
                .await;
            is_saved = matches!(outcome, WriteOutcome::Committed(_));
            if is_saved {
                let mut state = self.state.borrow_mut();
                if let Some(partition) = state.scheduling.partitions.get_mut(&partition_id)
                    && partition.owned_since == write.owned_since
                {
                    partition.mark_results_saved(&id, &write.tasks, write.failed_attempts);
                }
            } else {
                // The next attempt starts from the record that the watch cache then contains.
                self.linearizable_read().await;
            }
        }
        let mut state = self.state.borrow_mut();
        state.results.saving.remove(&id);
        let partition = state.scheduling.partitions.get(&partition_id);
        let job = partition.and_then(|partition| partition.jobs.get(&id));
        if is_saved && job.is_some_and(Job::has_results_to_save) {
            self.wakeups.scheduler.notify_one();
        }
    }

    /// Prepares the write of a job's results. Returns `None` if there is nothing to write.
    fn prepare_result_write(&self, partition_id: u32, id: &JobId) -> Option<ResultWrite> {
        let state = self.state.borrow();
        let partition = state.scheduling.partitions.get(&partition_id)?;
        let Some(JobEntry::Active(active)) = state.cache.job(id) else {
            return None;
        };
        let result = result_record(partition, id, active, self.settings.value_bytes)?;
        Some(ResultWrite {
            guards: vec![
                guard(
                    role_key(Role::Partition(partition_id)),
                    partition.owned_since,
                ),
                guard(job_key(id), active.version),
            ],
            change: put(job_key(id), &result.record),
            phase: result.record.phase,
            tasks: result.tasks,
            failed_attempts: result.record.failed_attempts,
            owned_since: partition.owned_since,
        })
    }
}
