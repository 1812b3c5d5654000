//! Creation of jobs: builds the record of a new job and writes it to the store. A job is accepted once
//! this write is committed.

use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, guard, put},
};
use jasperhill_wire::{
    Micros, Revision,
    mesh::MeshResponse,
    record::{JobRecord, RecordPhase, Role, job_key, role_key},
    user::JobRequest,
};
use std::rc::Rc;

/// Space that a new job's record leaves free for results within the store's value limit, in bytes.
const RESULTS_RESERVE_BYTES: usize = 160;
/// Timeout of the write. Users wait five seconds for a response.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// A partition that this controller owns, and the revision at which it acquired the partition.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionOwnership {
    /// The partition's number.
    pub partition: u32,
    /// The revision of the partition's role record; guards the owner's writes.
    pub since: Revision,
}

impl Shared {
    /// Returns whether a job that the request depends on is cancelled, so that the new job can never
    /// start.
    pub(super) fn has_cancelled_dependency(&self, request: &JobRequest) -> bool {
        let state = self.state.borrow();
        request.dependencies.iter().any(|id| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase == Some(RecordPhase::Cancelled)
        })
    }

    /// Builds the record of a new job. Returns `None` if it would not fit into a value of the store
    /// together with [`RESULTS_RESERVE_BYTES`].
    pub(super) fn new_job_record(&self, request: &JobRequest) -> Option<JobRecord> {
        let record = if self.has_cancelled_dependency(request) {
            JobRecord::terminal(RecordPhase::Cancelled, 0)
        } else {
            JobRecord {
                phase: RecordPhase::Active,
                done_count: 0,
                request: Some(request.clone()),
                submitted: Some(self.clock.wall()),
                finished: Vec::new(),
                failed_attempts: 0,
                residual_usage: None,
            }
        };
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |b| b.len());
        (bytes + RESULTS_RESERVE_BYTES <= self.settings.value_bytes).then_some(record)
    }

    /// Accepts a job by writing its record, guarded by the absence of a record with its id. With
    /// `owner`, the write also requires that the partition is still owned under that ownership.
    pub(super) async fn create_job(
        self: &Rc<Self>,
        request: &JobRequest,
        owner: Option<PartitionOwnership>,
    ) -> MeshResponse {
        let Some(record) = self.new_job_record(request) else {
            return MeshResponse::Unavailable;
        };
        let key = job_key(&request.id);
        let mut guards = vec![guard(&key, Revision(0))];
        if let Some(PartitionOwnership { partition, since }) = owner {
            guards.push(guard(role_key(Role::Partition(partition)), since));
        }
        let changes = vec![put(&key, &record)];
        let outcome = self
            .write(WritePriority::Accept, guards, changes, WRITE_TIMEOUT)
            .await;
        match outcome {
            WriteOutcome::Committed(_) => MeshResponse::Accepted,
            WriteOutcome::Conflict => MeshResponse::Known,
            WriteOutcome::NotExecuted => MeshResponse::Unavailable,
            // The write may or may not have been committed: read the store, never assume.
            WriteOutcome::Unknown => {
                if self.linearizable_read().await && self.is_known(&request.id) {
                    MeshResponse::Known
                } else {
                    MeshResponse::Unavailable
                }
            }
        }
    }
}
