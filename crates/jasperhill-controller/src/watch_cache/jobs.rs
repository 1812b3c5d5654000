//! The jobs of the watch cache, and what their records mean for the jobs that depend on them.

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

/// Cancelled jobs whose residual usage is kept: more than are cancelled while a task of theirs can
/// last.
const RESIDUALS_MAX: usize = 4_096;

impl WatchCache {
    /// Takes over a job's record, if it is newer than what is known and the job has not ended.
    pub(super) fn put_job(
        &mut self,
        id: JobId,
        mut record: JobRecord,
        version: Revision,
        changes: &mut Vec<Change>,
    ) {
        match self.jobs.get(&id) {
            // Final phases are final.
            Some(JobEntry::Final { .. }) => return,
            Some(JobEntry::Active(job)) if version <= job.version => return,
            _ => {}
        }
        if let Some(usage) = record.residual_usage.take() {
            self.keep_residual_usage(&id, usage);
        }
        let (entry, related) = match (record.phase, record.request.take()) {
            (RecordPhase::Active, Some(request)) => {
                self.active_entry(&id, request, record, version)
            }
            (RecordPhase::Active, None) => return,
            _ => self.final_entry(&id, &record),
        };
        self.jobs.insert(id.clone(), entry);
        changes.push(Change::Job(id));
        changes.extend(related.into_iter().map(|output| match output {
            Output::Released(other) => Change::Released(other),
            Output::Doomed(other) | Output::UrgencyChanged(other) => Change::Related(other),
        }));
    }

    /// Keeps what tasks of a cancelled job may still use.
    fn keep_residual_usage(&mut self, id: &JobId, usage: ResidualUsage) {
        self.residuals.insert((usage.cancelled, id.clone()), usage);
        while self.residuals.len() > RESIDUALS_MAX {
            self.residuals.pop_first();
        }
    }

    /// The entry of an unfinished job, and what follows for others from its being accepted.
    fn active_entry(
        &mut self,
        id: &JobId,
        request: JobRequest,
        record: JobRecord,
        version: Revision,
    ) -> (JobEntry, Vec<Output>) {
        let submitted = record.submitted.unwrap_or_default();
        let related = if self.active.insert(id.clone()) {
            self.accept_dependencies(id, &request, submitted)
        } else {
            Vec::new()
        };
        let request = match self.jobs.get(id) {
            Some(JobEntry::Active(known)) => known.request.clone(),
            _ => Rc::new(request),
        };
        let job = ActiveJob {
            request,
            submitted,
            finished: record.finished,
            done_count: record.done_count,
            failed_attempts: record.failed_attempts,
            version,
        };
        (JobEntry::Active(Box::new(job)), related)
    }

    /// Enters a job in the dependency graph.
    fn accept_dependencies(
        &mut self,
        id: &JobId,
        request: &JobRequest,
        submitted: Micros,
    ) -> Vec<Output> {
        let urgency = JobUrgency {
            due: request.deadline.map(|deadline| submitted + deadline),
            span: request.estimate,
            priority: request.priority,
        };
        let jobs = &self.jobs;
        let outcome = |id: &JobId| match jobs.get(id) {
            Some(JobEntry::Final {
                phase: RecordPhase::Done,
                ..
            }) => RecordedOutcome::Done,
            Some(JobEntry::Final { .. }) => RecordedOutcome::Cancelled,
            _ => RecordedOutcome::Open,
        };
        self.dependencies.apply(dependencies::Input::Accepted {
            id,
            needs: &request.dependencies,
            terms: urgency,
            fate: &outcome,
        })
    }

    /// The entry of a job that has ended, and what follows from it for others.
    fn final_entry(&mut self, id: &JobId, record: &JobRecord) -> (JobEntry, Vec<Output>) {
        self.active.remove(id);
        // What was called cancelled stays so, whatever a controller wrote that did not
        // know of the job before it.
        let phase = match self.dependencies.state_of(id) {
            DependencyState::Doomed => RecordPhase::Cancelled,
            _ => record.phase,
        };
        let done = phase == RecordPhase::Done;
        let related = self
            .dependencies
            .apply(dependencies::Input::Ended { id, done });
        let entry = JobEntry::Final {
            phase,
            done: record.done_count,
        };
        (entry, related)
    }
}
