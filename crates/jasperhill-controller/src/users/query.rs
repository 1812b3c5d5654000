//! Polls: phase and task counts of a job.

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
    /// Answers a poll.
    pub(super) async fn job_status(self: &Rc<Self>, id: &str) -> Result<Response, UserError> {
        let id = JobId::parse(id).ok_or(UserError::NoSuchJob)?;
        // Final phases are final: any watch cache may say them.
        if let Some(view) = self.job_view(&id).filter(|view| view.terminal) {
            return Ok(status_response(&id, view));
        }
        let owner = self.other_owner(&id);
        let counts = async {
            match owner {
                Some(owner) => self.task_counts_from(owner, &id).await,
                None => None,
            }
        };
        let (synced, counts) = tokio::join!(self.read_index(), counts);
        if !synced {
            return Err(Unavailable::StateUnknown.into());
        }
        let view = self.job_view(&id).ok_or(UserError::NoSuchJob)?;
        // The phase is that of the linearizable read; counts are for display.
        let view = match counts {
            Some(TaskCounts { running, done })
                if !view.terminal && view.phase == JobPhase::Pending =>
            {
                JobView::active(running, done)
            }
            _ => view,
        };
        Ok(status_response(&id, view))
    }

    /// Who runs an unfinished job, if another controller does.
    fn other_owner(&self, id: &JobId) -> Option<Member> {
        let state = self.state.borrow();
        let Some(JobEntry::Active(active)) = state.cache.job(id) else {
            return None;
        };
        let partition = self.partition_of(&active.request.team)?;
        let owner = state.cache.owner(Role::Partition(partition))?;
        (owner != &self.settings.member).then(|| owner.clone())
    }
}
