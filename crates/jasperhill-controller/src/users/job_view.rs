//! A job as its user sees it, by the watch cache and the partitions that run here.

use crate::{shared::Shared, watch_cache::JobEntry};
use jasperhill_wire::{JobId, record::RecordPhase, user::JobPhase};

/// A job as its user sees it.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobView {
    /// The job's phase.
    pub phase: JobPhase,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run; 0 where the job's owner is another controller.
    pub running: u32,
    /// The job has ended: nothing of this will change any more.
    pub terminal: bool,
}

impl JobView {
    fn terminal(phase: RecordPhase, done: u32) -> Self {
        Self {
            phase: user_phase(phase),
            done,
            running: 0,
            terminal: true,
        }
    }

    /// That of a job that has not ended.
    pub(super) fn active(running: u32, done: u32) -> Self {
        let phase = if running > 0 {
            JobPhase::Running
        } else {
            JobPhase::Pending
        };
        Self {
            phase,
            done,
            running,
            terminal: false,
        }
    }
}

/// The phase that users see for that of a record.
pub(super) fn user_phase(phase: RecordPhase) -> JobPhase {
    match phase {
        RecordPhase::Active => JobPhase::Pending,
        RecordPhase::Done => JobPhase::Done,
        RecordPhase::Cancelled => JobPhase::Cancelled,
    }
}

impl Shared {
    /// The user's view of a known job; `None` if the watch cache does not know it.
    pub(super) fn job_view(&self, id: &JobId) -> Option<JobView> {
        let state = self.state.borrow();
        if let Some((phase, done)) = state.cache.final_phase(id) {
            return Some(JobView::terminal(phase, done));
        }
        match state.cache.job(id)? {
            JobEntry::Final { phase, done } => Some(JobView::terminal(*phase, *done)),
            JobEntry::Active(active) => {
                let owned = self
                    .partition_of(&active.request.team)
                    .and_then(|p| state.scheduling.partitions.get(&p))
                    .and_then(|partition| partition.jobs.get(id));
                Some(match owned {
                    Some(job) => JobView::active(job.running.len() as u32, job.done.count()),
                    None => JobView::active(0, active.done_count),
                })
            }
        }
    }

    /// Whether the watch cache knows a job.
    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.job_view(id).is_some()
    }
}
