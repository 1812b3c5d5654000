//! Builds the record of a job from the results known so far.

use jasperhill_scheduler::{Partition, TaskSet};
use jasperhill_wire::{
    JobId,
    record::{JobRecord, RecordPhase},
    user::JobRequest,
};
use std::collections::BTreeSet;

use crate::watch_cache::ActiveJob;

/// Bytes by which the encoding of a record may grow when finished tasks are added, besides the
/// tasks themselves.
const RECORD_MARGIN_BYTES: usize = 32;

/// Job record with new results.
pub(super) struct ResultRecord {
    /// Record to be written.
    pub record: JobRecord,
    /// Tasks whose results become durable when the record is written.
    pub tasks: BTreeSet<u32>,
}

/// Builds the record of a job with the results known so far. Returns `None` if there is nothing to
/// write, or if the results do not fit into a value of `value_bytes` bytes.
pub(super) fn result_record(
    partition: &Partition,
    id: &JobId,
    cached_job: &ActiveJob,
    value_bytes: usize,
) -> Option<ResultRecord> {
    let job = partition.jobs.get(id)?;
    if job.done.is_full() {
        return Some(ResultRecord {
            record: JobRecord::terminal(RecordPhase::Done, job.done.count()),
            tasks: job.unsaved_tasks.clone(),
        });
    }
    let failed_attempts = job.failures.failed_attempts();
    if job.is_gang() && failed_attempts == job.failed_attempts_saved {
        return None;
    }
    // Tasks of this job have run, so all jobs that it depends on are done.
    let request = JobRequest {
        dependencies: Vec::new(),
        ..(*cached_job.request).clone()
    };
    let mut record = JobRecord {
        phase: RecordPhase::Active,
        done_count: job.request.tasks,
        request: Some(request),
        submitted: Some(cached_job.submitted),
        finished: Vec::new(),
        failed_attempts,
        residual_usage: None,
    };
    let finished_runs = job
        .done
        .to_runs(max_runs(&record, job.request.tasks, value_bytes));
    let durable_tasks = TaskSet::from_runs(job.request.tasks, &finished_runs);
    if durable_tasks.count() < cached_job.done_count {
        // The existing record was written under a larger limit on value size and contains more
        // finished tasks than fit now. Workers may already have cleared these tasks, so the record
        // must not shrink. Workers keep the results that do not fit.
        return None;
    }
    let is_durable = |task: &u32| !job.is_gang() && durable_tasks.contains(*task);
    let tasks = job
        .unsaved_tasks
        .iter()
        .copied()
        .filter(is_durable)
        .collect();
    record.done_count = durable_tasks.count();
    record.finished = finished_runs;
    Some(ResultRecord { record, tasks })
}

/// Returns how many runs of finished tasks fit into a record of `value_bytes` bytes. Each run is
/// assumed to take as many bytes as the decimal number of tasks and a comma.
fn max_runs(record: &JobRecord, tasks: u32, value_bytes: usize) -> usize {
    let encoded_bytes = serde_json::to_vec(record).map_or(usize::MAX, |bytes| bytes.len());
    let used_bytes = encoded_bytes + RECORD_MARGIN_BYTES;
    let run_bytes = tasks.to_string().len() + 1;
    value_bytes.saturating_sub(used_bytes) / run_bytes
}
