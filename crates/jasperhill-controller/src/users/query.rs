//! Status queries: the phase and the task counts of a job.

use super::{
    job_view::JobView,
    response::{Unavailable, UserError, json},
};
use crate::{shared::Shared, watch_cache::JobEntry};
use jasperhill_http::Response;
use jasperhill_wire::{
    JobId, Member, mesh::TaskCounts, record::Role, user::JobPhase, user::JobStatus,
};
use std::rc::Rc;

/// Builds the response to a status query.
fn status_response(id: &JobId, view: JobView) -> Response {
    let status = JobStatus {
        id: id.as_str(),
        phase: view.phase,
        done: view.done,
        running: view.running,
    };
    json(200, &status)
}

impl Shared {
    /// Returns the status of a job. Task counts come from the owner of the job's partition if it
    /// answers in time.
    ///
    /// # Errors
    /// [`UserError::NoSuchJob`] if the job was never accepted; [`UserError::Unavailable`] if the store
    /// can't be read.
    pub(super) async fn job_status(self: &Rc<Self>, id: &str) -> Result<Response, UserError> {
        let id = JobId::parse(id).ok_or(UserError::NoSuchJob)?;
        // A final phase never changes, so that it can be returned without a linearizable read.
        if let Some(view) = self.job_view(&id).filter(|view| view.is_terminal) {
            return Ok(status_response(&id, view));
        }
        let owner = self.remote_owner(&id);
        let counts = async {
            match owner {
                Some(owner) => self.task_counts_from(owner, &id).await,
                None => None,
            }
        };
        let (is_read, counts) = tokio::join!(self.linearizable_read(), counts);
        if !is_read {
            return Err(Unavailable::StateUnknown.into());
        }
        let view = self.job_view(&id).ok_or(UserError::NoSuchJob)?;
        // The phase comes from the linearizable read; the owner's counts are only for display.
        let view = match counts {
            Some(TaskCounts { running, done })
                if !view.is_terminal && view.phase == JobPhase::Pending =>
            {
                JobView::active(running, done)
            }
            _ => view,
        };
        Ok(status_response(&id, view))
    }

    /// Returns the controller that owns the partition of an unfinished job; `None` if the owner is this
    /// controller or unknown.
    fn remote_owner(&self, id: &JobId) -> Option<Member> {
        let state = self.state.borrow();
        let Some(JobEntry::Active(active)) = state.cache.job(id) else {
            return None;
        };
        let partition = self.partition_of(&active.request.team)?;
        let owner = state.cache.owner(Role::Partition(partition))?;
        (owner != &self.settings.member).then(|| owner.clone())
    }
}
