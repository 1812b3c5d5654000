//! Cancellations: the job's record becomes terminal by one guarded write, whoever owns the job.

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

/// Writes that are tried for one cancellation, and reads in between: an owner that records
/// results at the same time makes some of them fail.
const ATTEMPTS: usize = 4;
/// How long a write may take: users wait five seconds for a response.
const WRITE_TIMEOUT: Micros = Micros::from_millis(1_500);

/// What the watch cache says of a job that is to be cancelled.
enum Cancellable {
    /// It has ended already.
    Ended(RecordPhase),
    /// It has not: the record to write, and the revision that it replaces.
    Active {
        version: Revision,
        record: Box<JobRecord>,
    },
    /// The watch cache does not know it.
    Unknown,
}

impl Shared {
    /// Cancels a job, or says how it has ended.
    pub(super) async fn cancel_job(self: &Rc<Self>, id: &str) -> Result<Response, UserError> {
        let id = JobId::parse(id).ok_or(UserError::NoSuchJob)?;
        for _ in 0..ATTEMPTS {
            let (version, record) = match self.cancellable(&id) {
                Cancellable::Ended(phase) => return Ok(job_response(200, &id, user_phase(phase))),
                Cancellable::Active { version, record } => (version, record),
                Cancellable::Unknown => {
                    if !self.read_index().await {
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
                // Another write was first, or the outcome is not known: read again.
                WriteOutcome::Conflict | WriteOutcome::Unknown => {
                    if !self.read_index().await {
                        break;
                    }
                }
            }
        }
        Err(Unavailable::Undecided.into())
    }

    fn cancellable(&self, id: &JobId) -> Cancellable {
        let state = self.state.borrow();
        if let Some((phase, _)) = state.cache.final_phase(id) {
            return Cancellable::Ended(phase);
        }
        match state.cache.job(id) {
            Some(JobEntry::Active(job)) => Cancellable::Active {
                version: job.version,
                record: Box::new(JobRecord::cancelled(
                    &job.request,
                    job.done_count,
                    self.clock.wall(),
                )),
            },
            _ => Cancellable::Unknown,
        }
    }

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
