//! The record of a job with the results that are known of it.

use jasperhill_scheduler::{Partition, TaskSet};
use jasperhill_wire::{
    JobId,
    record::{JobRecord, RecordPhase},
    user::JobRequest,
};
use std::collections::BTreeSet;

use crate::watch_cache::ActiveJob;

/// Bytes by which a record's encoding may grow beyond that of the record without its finished tasks.
const RECORD_MARGIN: usize = 32;

/// A job's record with new results.
pub(super) struct ResultRecord {
    /// The record to be written.
    pub record: JobRecord,
    /// The tasks whose results are durable once it is.
    pub tasks: BTreeSet<u32>,
}

/// The record of a job with the results that are known of it; `None` if there is nothing to write, or
/// what there is does not fit. `value_bytes`: how long a value may be.
pub(super) fn result_record(
    partition: &Partition,
    id: &JobId,
    active: &ActiveJob,
    value_bytes: usize,
) -> Option<ResultRecord> {
    let job = partition.jobs.get(id)?;
    if job.done.is_full() {
        return Some(ResultRecord {
            record: JobRecord::terminal(RecordPhase::Done, job.done.count()),
            tasks: job.unsaved.clone(),
        });
    }
    let failed_attempts = job.failures.failed_attempts();
    if job.is_gang() && failed_attempts == job.failed_attempts_saved {
        return None;
    }
    // Its tasks have run, so all jobs that it depends on are done.
    let request = JobRequest {
        dependencies: Vec::new(),
        ..(*active.request).clone()
    };
    let mut record = JobRecord {
        phase: RecordPhase::Active,
        done_count: job.request.tasks,
        request: Some(request),
        submitted: Some(active.submitted),
        finished: Vec::new(),
        failed_attempts,
        residual_usage: None,
    };
    let finished = job
        .done
        .to_runs(runs_max(&record, job.request.tasks, value_bytes));
    let durable = TaskSet::from_runs(job.request.tasks, &finished);
    if durable.count() < active.done_count {
        // The record, written when values could be longer, says more than now fits: what it says of
        // tasks that workers have cleared must not get lost. The rest stays with the workers.
        return None;
    }
    let is_durable = |task: &u32| !job.is_gang() && durable.contains(*task);
    let tasks = job.unsaved.iter().copied().filter(is_durable).collect();
    record.done_count = durable.count();
    record.finished = finished;
    Some(ResultRecord { record, tasks })
}

/// How many runs of finished tasks fit a record, each as long as the number of tasks and a comma.
fn runs_max(record: &JobRecord, tasks: u32, value_bytes: usize) -> usize {
    let encoded = serde_json::to_vec(record).map_or(usize::MAX, |bytes| bytes.len());
    let used = encoded + RECORD_MARGIN;
    let run_bytes = tasks.to_string().len() + 1;
    value_bytes.saturating_sub(used) / run_bytes
}
