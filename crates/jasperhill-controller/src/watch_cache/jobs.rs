//! Job records of the watch cache, and the effects of a job record on the jobs that depend on that
//! job.

use super::{ActiveJob, Change, JobEntry, WatchCache};
use jasperhill_scheduler::dependencies::{
    self, DependencyState, JobUrgency, Output, RecordedOutcome,
};
use jasperhill_wire::{
    JobId, Micros, Revision,
    record::{JobRecord, RecordPhase, ResidualUsage},
    user::JobRequest,
};
use std::rc::Rc;

/// Maximum number of cancelled jobs whose residual usage is kept. Exceeds the number of jobs that
/// are cancelled during the time for which tasks of a cancelled job can keep running.
const RESIDUAL_USAGES_MAX: usize = 4_096;

impl WatchCache {
    /// Applies a job record if it is newer than the cached one and the job has not ended.
    pub(super) fn put_job(
        &mut self,
        id: JobId,
        mut record: JobRecord,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        match self.jobs.get(&id) {
            // A job that has ended never changes again.
            Some(JobEntry::Final { .. }) => return,
            Some(JobEntry::Active(job)) if version <= job.version => return,
            _ => {}
        }
        if let Some(usage) = record.residual_usage.take() {
            self.store_residual_usage(&id, usage);
        }
        let (entry, dependency_outputs) = match (record.phase, record.request.take()) {
            (RecordPhase::Active, Some(request)) => {
                self.active_entry(&id, request, record, version)
            }
            (RecordPhase::Active, None) => return,
            _ => self.final_entry(&id, &record),
        };
        self.jobs.insert(id.clone(), entry);
        changes.push(Change::Job(id));
        changes.extend(dependency_outputs.into_iter().map(|output| match output {
            Output::Released(job) => Change::DependenciesDone(job),
            Output::UpstreamCancelled(job) | Output::UrgencyChanged(job) => {
                Change::DependencyStateChanged(job)
            }
        }));
    }

    /// Stores the resources that tasks of a cancelled job may still use, and drops the oldest
    /// entries beyond [`RESIDUAL_USAGES_MAX`].
    fn store_residual_usage(&mut self, id: &JobId, usage: ResidualUsage) {
        self.residual_usages
            .insert((usage.cancelled, id.clone()), usage);
        while self.residual_usages.len() > RESIDUAL_USAGES_MAX {
            self.residual_usages.pop_first();
        }
    }

    /// Creates the entry of an unfinished job, and returns it with the effects of its acceptance on
    /// other jobs.
    fn active_entry(
        &mut self,
        id: &JobId,
        request: JobRequest,
        record: JobRecord,
        version: Revision,
    ) -> (JobEntry, Vec<Output>) {
        let submitted = record.submitted.unwrap_or_default();
        let dependency_outputs = if self.active.insert(id.clone()) {
            self.accept_dependencies(id, &request, submitted)
        } else {
            Vec::new()
        };
        let request = match self.jobs.get(id) {
            Some(JobEntry::Active(cached)) => cached.request.clone(),
            _ => Rc::new(request),
        };
        let job = ActiveJob {
            request,
            submitted,
            finished_runs: record.finished,
            done_count: record.done_count,
            failed_attempts: record.failed_attempts,
            version,
        };
        (JobEntry::Active(Box::new(job)), dependency_outputs)
    }

    /// Adds a job to the dependency graph and returns the effects on this and other jobs.
    fn accept_dependencies(
        &mut self,
        id: &JobId,
        request: &JobRequest,
        submitted: Micros,
    ) -> Vec<Output> {
        let urgency = JobUrgency {
            due: request.deadline.map(|deadline| submitted + deadline),
            expected_duration: request.estimate,
            priority: request.priority,
        };
        let jobs = &self.jobs;
        let recorded_outcome = |id: &JobId| match jobs.get(id) {
            Some(JobEntry::Final {
                phase: RecordPhase::Done,
                ..
            }) => RecordedOutcome::Done,
            Some(JobEntry::Final { .. }) => RecordedOutcome::Cancelled,
            _ => RecordedOutcome::Open,
        };
        self.dependencies.apply(dependencies::Input::Accepted {
            id,
            dependencies: &request.dependencies,
            urgency,
            recorded_outcome: &recorded_outcome,
        })
    }

    /// Creates the entry of a job that has ended, and returns it with the effects on dependent
    /// jobs.
    fn final_entry(&mut self, id: &JobId, record: &JobRecord) -> (JobEntry, Vec<Output>) {
        self.active.remove(id);
        // A job that counted as cancelled stays cancelled, even if its record was written by a
        // controller that did not know of the upstream job.
        let phase = match self.dependencies.state_of(id) {
            DependencyState::UpstreamCancelled => RecordPhase::Cancelled,
            _ => record.phase,
        };
        let done = phase == RecordPhase::Done;
        let dependency_outputs = self
            .dependencies
            .apply(dependencies::Input::Ended { id, done });
        let entry = JobEntry::Final {
            phase,
            done_count: record.done_count,
        };
        (entry, dependency_outputs)
    }
}
