//! Dependencies of a job: whether a new job's are valid, and how long until they are done.

use super::response::{Unavailable, UserError};
use crate::{
    shared::Shared,
    state::State,
    watch_cache::{ActiveJob, JobEntry},
};
use jasperhill_scheduler::{dependencies::DependencyState, schedule_simulation::remaining};
use jasperhill_wire::{
    JobId, Micros,
    record::{DEPENDENCIES, RecordPhase},
    user::{JobRequest, Shape},
};

/// What the watch cache says of a new job's dependencies.
pub(super) enum DependencyCheck {
    /// All of them were accepted and can end.
    Valid,
    /// One is not, by a linearizable read that began after the submission came; the reason.
    Invalid(String),
    /// That read has brought the job itself: this is a repeated submission.
    AlreadyKnown,
}

impl Shared {
    /// Whether the jobs that a new job depends on were ever accepted and are none that never end.
    pub(super) async fn check_dependencies(
        &self,
        request: &JobRequest,
    ) -> Result<DependencyCheck, UserError> {
        let supported = {
            let state = self.state.borrow();
            state.membership.features.supports(DEPENDENCIES)
        };
        if !supported {
            // An earlier version would start the job at once.
            return Err(Unavailable::EarlierVersion.into());
        }
        if self.invalid_dependency(request).is_none() {
            return Ok(DependencyCheck::Valid);
        }
        // Said only after a linearizable read that began after the submission came.
        if !self.read_index().await {
            return Err(Unavailable::StateUnknown.into());
        }
        if self.is_known(&request.id) {
            return Ok(DependencyCheck::AlreadyKnown);
        }
        Ok(match self.invalid_dependency(request) {
            Some(reason) => DependencyCheck::Invalid(reason),
            None => DependencyCheck::Valid,
        })
    }

    /// Drops the dependencies that are done already.
    pub(super) fn drop_done_dependencies(&self, request: &mut JobRequest) {
        let state = self.state.borrow();
        request.dependencies.retain(|id| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase != Some(RecordPhase::Done)
        });
    }

    /// Why the first invalid dependency is, if there is one.
    fn invalid_dependency(&self, request: &JobRequest) -> Option<String> {
        let state = self.state.borrow();
        request
            .dependencies
            .iter()
            .find_map(|id| match state.cache.job(id) {
                None => Some(format!("{id} was never accepted")),
                Some(JobEntry::Active(job)) if job.request.shape == Shape::Service => {
                    Some(format!("{id} is a service"))
                }
                Some(_) => None,
            })
    }

    /// How long until the dependencies of a job are expected to be done: their estimates along
    /// the longest path, less what has passed where they run already. Called by the admission
    /// test and for the capacity inventory.
    pub fn time_until_ready(&self, state: &State, request: &JobRequest, now: Micros) -> Micros {
        let rest = |id: &JobId| match state.cache.job(id) {
            Some(JobEntry::Active(job)) => self.time_until_done(state, job, now),
            _ => Micros::ZERO,
        };
        state
            .cache
            .dependencies
            .time_until_ready(&request.dependencies, rest)
    }

    /// How long an unfinished job is expected to take once its own dependencies are done.
    fn time_until_done(&self, state: &State, job: &ActiveJob, now: Micros) -> Micros {
        let id = &job.request.id;
        let own = self
            .partition_of(&job.request.team)
            .and_then(|p| state.scheduling.partitions.get(&p));
        let estimate = own.map_or(job.request.estimate, |p| p.estimate(&job.request));
        if state.cache.dependencies.state_of(id) != DependencyState::Ready {
            return estimate;
        }
        let ready_since = match state.scheduling.released.get(id) {
            Some(at) => *at,
            None => self.clock.steady(job.submitted),
        };
        // How far it has come is known to its owner alone.
        match own.and_then(|p| p.jobs.get(id)) {
            Some(job) if job.running.is_empty() => estimate,
            _ => remaining(estimate, now - ready_since),
        }
    }
}
