//! Dependencies of a job: validates the dependencies of a new job and estimates the time until they
//! are done.

use super::response::{Unavailable, UserError};
use crate::{
    shared::Shared,
    state::State,
    watch_cache::{ActiveJob, JobEntry},
};
use jasperhill_scheduler::{
    dependencies::DependencyState, schedule_simulation::remaining_run_time,
};
use jasperhill_wire::{
    JobId, Micros,
    record::{DEPENDENCIES, RecordPhase},
    user::{JobRequest, Shape},
};

/// The result of checking the dependencies of a new job.
pub(super) enum DependencyCheck {
    /// All dependencies were accepted and can end.
    Valid,
    /// One dependency is invalid according to a linearizable read that began after the submission
    /// arrived. Holds the reason.
    Invalid(String),
    /// The linearizable read found the submitted job itself, so this is a repeated submission.
    AlreadyKnown,
}

impl Shared {
    /// Checks that every dependency of a new job was accepted and can end, which a service never does.
    ///
    /// # Errors
    /// [`Unavailable`] if some controller does not support dependencies, or if a dependency looks
    /// invalid and the store can't be read.
    pub(super) async fn check_dependencies(
        &self,
        request: &JobRequest,
    ) -> Result<DependencyCheck, UserError> {
        let is_supported = {
            let state = self.state.borrow();
            state.membership.features.supports(DEPENDENCIES)
        };
        if !is_supported {
            // A controller of an earlier version ignores dependencies and would start the job at once.
            return Err(Unavailable::EarlierVersion.into());
        }
        if self.invalid_dependency(request).is_none() {
            return Ok(DependencyCheck::Valid);
        }
        // The watch cache may lag: reject only after a linearizable read that began after the
        // submission arrived.
        if !self.linearizable_read().await {
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

    /// Removes the dependencies that are already done from a request.
    pub(super) fn drop_done_dependencies(&self, request: &mut JobRequest) {
        let state = self.state.borrow();
        request.dependencies.retain(|id| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase != Some(RecordPhase::Done)
        });
    }

    /// Returns why the first invalid dependency of a request is invalid; `None` if all are valid.
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

    /// Returns the expected time until all dependencies of a job are done: the sum of the estimates
    /// along the longest path of dependencies, less the time that running ones have already run.
    /// Called by the admission test and for the capacity inventory.
    pub fn time_until_ready(&self, state: &State, request: &JobRequest, now: Micros) -> Micros {
        let time_until_done = |id: &JobId| match state.cache.job(id) {
            Some(JobEntry::Active(job)) => self.time_until_done(state, job, now),
            _ => Micros::ZERO,
        };
        state
            .cache
            .dependencies
            .time_until_ready(&request.dependencies, time_until_done)
    }

    /// Returns how much longer an unfinished job is expected to take, not counting the time until its
    /// own dependencies are done.
    fn time_until_done(&self, state: &State, job: &ActiveJob, now: Micros) -> Micros {
        let id = &job.request.id;
        let owned_partition = self
            .partition_of(&job.request.team)
            .and_then(|partition_id| state.scheduling.partitions.get(&partition_id));
        let estimate = owned_partition.map_or(job.request.estimate, |partition| {
            partition.estimate(&job.request)
        });
        if state.cache.dependencies.state_of(id) != DependencyState::Ready {
            return estimate;
        }
        let ready_since = match state.scheduling.ready_since.get(id) {
            Some(at) => *at,
            None => self.clock.steady(job.submitted),
        };
        // Only the partition's owner knows the job's progress. Other controllers assume that the
        // job has been running since it became ready.
        match owned_partition.and_then(|partition| partition.jobs.get(id)) {
            Some(job) if job.running.is_empty() => estimate,
            _ => remaining_run_time(estimate, now - ready_since),
        }
    }
}
