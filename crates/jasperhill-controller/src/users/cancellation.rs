//! Cancellation of jobs. Any controller can cancel a job, whichever controller owns its partition: one
//! guarded write makes the job's record terminal.

use super::{
    job_view::user_phase,
    response::{Unavailable, UserError, job_response},
};
use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::JobEntry,
};
use jasperhill_http::Response;
use jasperhill_wire::{
    JobId, Micros, Revision,
    record::{JobRecord, RecordPhase, job_key},
    user::JobPhase,
};
use std::rc::Rc;

/// Maximum number of read and write attempts for one cancellation. Some writes conflict if the
/// owner records results of the job at the same time.
const CANCEL_ATTEMPTS_MAX: usize = 4;
/// Timeout of one write. Users wait five seconds for a response.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// The state of a job to be cancelled, according to the watch cache.
enum CancellationTarget {
    /// The job has already ended in this phase.
    Ended(RecordPhase),
    /// The job has not ended: the cancelled record to write, and the revision of the record that it
    /// replaces.
    Active {
        version: Revision,
        record: Box<JobRecord>,
    },
    /// The watch cache does not contain the job.
    Unknown,
}

impl Shared {
    /// Cancels a job, or returns its final phase if it has already ended.
    ///
    /// # Errors
    /// [`UserError::NoSuchJob`] if the job was never accepted; [`UserError::Unavailable`] if the store
    /// can't be read or the cancellation could not be written.
    pub(super) async fn cancel_job(self: &Rc<Self>, id: &str) -> Result<Response, UserError> {
        let id = JobId::parse(id).ok_or(UserError::NoSuchJob)?;
        for _ in 0..CANCEL_ATTEMPTS_MAX {
            let (version, record) = match self.cancellation_target(&id) {
                CancellationTarget::Ended(phase) => {
                    return Ok(job_response(200, &id, user_phase(phase)));
                }
                CancellationTarget::Active { version, record } => (version, record),
                CancellationTarget::Unknown => {
                    if !self.linearizable_read().await {
                        return Err(Unavailable::StateUnknown.into());
                    }
                    if !self.is_known(&id) {
                        return Err(UserError::NoSuchJob);
                    }
                    continue;
                }
            };
            match self.write_cancellation(&id, version, &record).await {
                WriteOutcome::Committed(_) => {
                    tracing::info!(job = %id, "cancelled");
                    return Ok(job_response(200, &id, JobPhase::Cancelled));
                }
                WriteOutcome::NotExecuted => break,
                // Another write came first, or the outcome is unknown: read the record again.
                WriteOutcome::Conflict | WriteOutcome::Unknown => {
                    if !self.linearizable_read().await {
                        break;
                    }
                }
            }
        }
        Err(Unavailable::Undecided.into())
    }

    /// Looks up a job to be cancelled in the watch cache.
    fn cancellation_target(&self, id: &JobId) -> CancellationTarget {
        let state = self.state.borrow();
        if let Some((phase, _)) = state.cache.final_phase(id) {
            return CancellationTarget::Ended(phase);
        }
        match state.cache.job(id) {
            Some(JobEntry::Active(job)) => CancellationTarget::Active {
                version: job.version,
                record: Box::new(JobRecord::cancelled(
                    &job.request,
                    job.done_count,
                    self.clock.wall(),
                )),
            },
            _ => CancellationTarget::Unknown,
        }
    }

    /// Replaces a job's record with a cancelled one, guarded by the revision of the current record.
    async fn write_cancellation(
        &self,
        id: &JobId,
        version: Revision,
        record: &JobRecord,
    ) -> WriteOutcome {
        let guards = vec![guard(job_key(id), version)];
        let changes = vec![put(job_key(id), record)];
        self.write(WritePriority::Cancel, guards, changes, WRITE_TIMEOUT)
            .await
    }
}
