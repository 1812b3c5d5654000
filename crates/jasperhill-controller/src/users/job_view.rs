//! The user-visible state of a job, computed from the watch cache and the partitions that this
//! controller owns.

use crate::{shared::Shared, watch_cache::JobEntry};
use jasperhill_wire::{JobId, record::RecordPhase, user::JobPhase};

/// The user-visible phase and task counts of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobView {
    /// The job's phase.
    pub phase: JobPhase,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks; 0 if another controller owns the job's partition.
    pub running: u32,
    /// Whether the job has ended, so that this view is final.
    pub is_terminal: bool,
}

impl JobView {
    /// Returns the view of a job that has ended.
    fn terminal(phase: RecordPhase, done: u32) -> Self {
        Self {
            phase: user_phase(phase),
            done,
            running: 0,
            is_terminal: true,
        }
    }

    /// Returns the view of a job that has not ended.
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
            is_terminal: false,
        }
    }
}

/// Maps the phase in a job's record to the phase that users see.
pub(super) fn user_phase(phase: RecordPhase) -> JobPhase {
    match phase {
        RecordPhase::Active => JobPhase::Pending,
        RecordPhase::Done => JobPhase::Done,
        RecordPhase::Cancelled => JobPhase::Cancelled,
    }
}

impl Shared {
    /// Returns the user-visible state of a job; `None` if the watch cache does not contain the job.
    pub(super) fn job_view(&self, id: &JobId) -> Option<JobView> {
        let state = self.state.borrow();
        if let Some((phase, done)) = state.cache.final_phase(id) {
            return Some(JobView::terminal(phase, done));
        }
        match state.cache.job(id)? {
            JobEntry::Final { phase, done_count } => Some(JobView::terminal(*phase, *done_count)),
            JobEntry::Active(active) => {
                let owned_job = self
                    .partition_of(&active.request.team)
                    .and_then(|partition_id| state.scheduling.partitions.get(&partition_id))
                    .and_then(|partition| partition.jobs.get(id));
                Some(match owned_job {
                    Some(job) => JobView::active(job.running.len() as u32, job.done.count()),
                    None => JobView::active(0, active.done_count),
                })
            }
        }
    }

    /// Returns whether the watch cache contains a job.
    pub(super) fn is_known(&self, id: &JobId) -> bool {
        self.job_view(id).is_some()
    }
}
