//! The record of a new job, and the write of it: the acceptance.

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

/// What a new record leaves for results, in bytes.
const RESULTS_RESERVE_BYTES: usize = 160;
/// How long the write may take: users wait five seconds for a response.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// A partition that this controller owns, and the revision at which it came here.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionOwnership {
    /// The partition.
    pub partition: u32,
    /// The revision of the role's record; guards the owner's writes.
    pub since: Revision,
}

impl Shared {
    /// Whether a job can never start, as one that it depends on is cancelled.
    pub(super) fn is_cancelled_upstream(&self, request: &JobRequest) -> bool {
        let state = self.state.borrow();
        request.dependencies.iter().any(|id| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase == Some(RecordPhase::Cancelled)
        })
    }

    /// The record of a new job; `None` if it would not fit, with room for some results.
    pub(super) fn new_job_record(&self, request: &JobRequest) -> Option<JobRecord> {
        let record = if self.is_cancelled_upstream(request) {
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

    /// Writes a new job's record: the acceptance. With `owner`, only as long as that ownership
    /// lasts.
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
            // Read again, never assume.
            WriteOutcome::Unknown => {
                if self.read_index().await && self.is_known(&request.id) {
                    MeshResponse::Known
                } else {
                    MeshResponse::Unavailable
                }
            }
        }
    }
}
