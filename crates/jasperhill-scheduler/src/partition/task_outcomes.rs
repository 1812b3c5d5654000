//! Updates of jobs after changes of their tasks on hosts: tasks that were found, completed, failed
//! or lost.

use super::{Event, Partition};
use crate::{
    failures::{self, FailureHistory},
    host::{HostTask, TaskState},
    job::{Readiness, TaskStep, Termination},
};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, TaskId, user::Shape, worker::ExitCause};
use std::collections::BTreeSet;

/// Delay before a job is tried again after a worker refused to start one of its tasks.
const START_REFUSED_BACKOFF: Micros = Micros::from_secs(1);

/// The action to take for a task that was found on a host.
enum FoundTaskAction {
    /// The task continues as part of its job.
    Adopt,
    /// The task's job is cancelled: the task is stopped, and counts as used until it has ended.
    StopCancelled,
    /// The task should not run there: it is stopped.
    StopUnexpected,
}

impl Partition {
    /// Handles a task that a worker lists and that was not known to be on its host. Exited tasks
    /// are ignored.
    pub(super) fn task_found(
        &mut self,
        host_id: &HostId,
        task: &TaskId,
        attempt: Attempt,
        now: Micros,
    ) {
        let entry = self
            .hosts
            .get(host_id)
            .and_then(|host| host.tasks.get(task));
        if !entry.is_some_and(HostTask::holds_resources) {
            return;
        }
        match self.found_task_action(task, attempt) {
            FoundTaskAction::Adopt => self.adopt_task(host_id, task, attempt),
            FoundTaskAction::StopCancelled => self.stop_cancelled_task(host_id, task, now),
            FoundTaskAction::StopUnexpected => {
                let reason = "not expected there";
                let event = Event::UnexpectedTask(task.clone(), host_id.clone(), reason);
                self.events.push(event);
                self.stop(host_id, task, Micros::ZERO, now);
            }
        }
    }

    /// Returns the action to take for a task that was found on a host.
    fn found_task_action(&self, task: &TaskId, attempt: Attempt) -> FoundTaskAction {
        let Some(job) = self.jobs.get(&task.job) else {
            return FoundTaskAction::StopUnexpected;
        };
        let is_pending_or_reserved = matches!(
            job.step(task.index),
            TaskStep::Pending | TaskStep::Reserved(_)
        );
        let is_valid_index = task.index < job.request.tasks;
        match job.termination {
            None if is_pending_or_reserved
                && is_valid_index
                && job.readiness == Readiness::Open
                && job.attempt.is_none_or(|gang| gang == attempt) =>
            {
                FoundTaskAction::Adopt
            }
            Some(Termination::Cancelled) if is_pending_or_reserved && is_valid_index => {
                FoundTaskAction::StopCancelled
            }
            // The task or its job has ended, the task runs elsewhere, the job may not start yet, or
            // the attempt is not that of the gang.
            _ => FoundTaskAction::StopUnexpected,
        }
    }

    /// Lets a task continue on the host where it was found, as part of its job.
    fn adopt_task(&mut self, host_id: &HostId, task: &TaskId, attempt: Attempt) {
        self.release_reservation(&task.job, task.index);
        self.set_step(task, TaskStep::Live(host_id.clone()));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_gang() {
            job.attempt = Some(attempt);
        }
        let Some(host) = self.hosts.get_mut(host_id) else {
            return;
        };
        let (image, gb) = (&job.request.image, job.request.image_gb);
        host.mark_image_used(image, gb);
        host.set_requirements(task, job.request.each, (image.clone(), gb));
        let entry = host.tasks.get(task);
        if entry.is_some_and(|entry| entry.state == TaskState::Running) {
            job.mark_running(task.index);
        }
    }

    /// Stops a task of a cancelled job. Its resources count as used by the team until it has ended.
    fn stop_cancelled_task(&mut self, host_id: &HostId, task: &TaskId, now: Micros) {
        self.set_step(task, TaskStep::Live(host_id.clone()));
        if let (Some(job), Some(host)) = (self.jobs.get(&task.job), self.hosts.get_mut(host_id)) {
            let image = (job.request.image.clone(), job.request.image_gb);
            host.set_requirements(task, job.request.each, image);
        }
        self.stop(host_id, task, Micros::ZERO, now);
    }

    /// Handles a task that no longer runs on its host. `cause` is the worker's exit status; `None`
    /// if the task was lost.
    pub(super) fn task_ended(
        &mut self,
        host_id: &HostId,
        task: &TaskId,
        cause: Option<ExitCause>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if cause == Some(ExitCause::Done) && job.request.shape != Shape::Service {
            // The result of a completed task counts, whichever host reports it.
            self.task_completed(host_id, task, now);
        } else if job.live.get(&task.index) == Some(host_id) {
            self.task_interrupted(host_id, task, cause, now);
        }
    }

    /// Handles a completed task. A gang completes as a whole, with all its tasks.
    fn task_completed(&mut self, host_id: &HostId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let completed = if job.is_gang() {
            0..job.request.tasks
        } else {
            task.index..task.index + 1
        };
        self.record_run_time(host_id, task, now);
        for index in completed {
            self.mark_task_completed(host_id, &TaskId::new(&task.job, index));
        }
        self.finish_attempt(&task.job);
        if let Some(host) = self.hosts.get_mut(host_id) {
            host.recent_failures.clear();
            let started = host.tasks.get(task).map(|entry| entry.ordered_at);
            host.last_success_started = host.last_success_started.max(started);
        }
        self.apply_job_evidence(&task.job, failures::Input::Succeeded, now);
        self.remove_job_if_ended(&task.job);
    }

    /// Marks a task as completed because of a result reported by this host. The task itself
    /// may be live on another host.
    fn mark_task_completed(&mut self, host_id: &HostId, task: &TaskId) {
        self.release_reservation(&task.job, task.index);
        let job = self.jobs.get(&task.job);
        let live_host = job.and_then(|job| job.live.get(&task.index)).cloned();
        // A task that still holds resources must remain live, also when its host reported the
        // result; otherwise it would be neither counted nor stopped.
        let holds_resources_on = |host: &HostId| {
            let entry = self.hosts.get(host).and_then(|h| h.tasks.get(task));
            host != host_id || entry.is_some_and(HostTask::holds_resources)
        };
        match live_host {
            // The task remains live until its host reports that it has ended.
            Some(host) if holds_resources_on(&host) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.unsaved_tasks.insert(task.index);
                }
            }
            _ => self.set_step(task, TaskStep::Done),
        }
    }

    /// Handles a task that ended without a result or was lost with its host: it becomes pending
    /// again, or done if its result is known already.
    fn task_interrupted(
        &mut self,
        host_id: &HostId,
        task: &TaskId,
        cause: Option<ExitCause>,
        now: Micros,
    ) {
        if cause.is_none() {
            self.record_lost_replica(task, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let has_result = job.unsaved_tasks.contains(&task.index);
        match cause.filter(|_| !has_result) {
            Some(ExitCause::Error) => self.task_failed(host_id, task, now),
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                job.not_before = now + START_REFUSED_BACKOFF;
            }
            _ => {}
        }
        let step = if has_result {
            TaskStep::Done
        } else {
            TaskStep::Pending
        };
        self.set_step(task, step);
        self.finish_attempt(&task.job);
        self.remove_job_if_ended(&task.job);
    }

    /// Handles a failed task. The failure counts against the host or, once the job has failed on
    /// every host that tried it, against the job.
    ///
    /// If all failures counted against hosts, a few faulty array jobs would quarantine a large part
    /// of the fleet within seconds and cause it to be returned.
    fn task_failed(&mut self, host_id: &HostId, task: &TaskId, now: Micros) {
        let (Some(job), Some(host)) = (self.jobs.get_mut(&task.job), self.hosts.get_mut(host_id))
        else {
            return;
        };
        job.failed = true;
        let ran = host
            .tasks
            .get(task)
            .and_then(|t| t.running_since)
            .map_or(Micros::ZERO, |started| now - started);
        self.events
            .push(Event::Failed(task.clone(), host_id.clone(), ran));
        let was_backing_off = job.failures.is_backing_off();
        let failed = failures::Input::Failed {
            host: host_id,
            serves: host.has_recent_success_besides(&task.job, now),
            ran,
        };
        job.failures.apply(failed, now);
        if !job.failures.is_backing_off() {
            if host.record_failure(&task.job, now) {
                self.events.push(Event::HostQuarantined(host_id.clone()));
            }
        } else if !was_backing_off {
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            job.awaited_capacity.clear();
            job.gang_hosts = None;
            self.events.push(Event::JobBackingOff(task.job.clone()));
            for i in reserved {
                self.release_reservation(&task.job, i);
            }
            for host in self.hosts.values_mut() {
                host.forgive_failures(&task.job);
            }
        }
    }

    /// Applies evidence that a job is not faulty: a task completed, or has been running for some
    /// time. If the job no longer backs off because of it, its failures count against the hosts
    /// where it failed.
    fn apply_job_evidence(&mut self, job_id: &JobId, input: failures::Input<'_>, now: Micros) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let hosts = match &job.failures {
            FailureHistory::BackingOff { hosts, .. } => hosts.clone(),
            _ => BTreeSet::new(),
        };
        let was_backing_off = job.failures.is_backing_off();
        job.failures.apply(input, now);
        if !was_backing_off || job.failures.is_backing_off() {
            return;
        }
        self.needs_scheduling = true;
        for host in hosts {
            if let Some(h) = self.hosts.get_mut(&host)
                && !h.has_recent_success_besides(job_id, now)
            {
                // Two failures are recorded, as many as put a host into quarantine.
                let is_newly_quarantined =
                    h.record_failure(job_id, now) | h.record_failure(job_id, now);
                if is_newly_quarantined {
                    self.events.push(Event::HostQuarantined(host));
                }
            }
        }
    }

    /// Checks for jobs that back off whether a task has run longer than the failed ones did, which
    /// ends the backoff.
    pub(crate) fn end_backoff_of_outliving_jobs(&mut self, now: Micros) {
        let mut longest_runs = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(_, j)| j.failures.is_backing_off())
        {
            let longest_run = job
                .running
                .iter()
                .filter_map(|i| {
                    let host = self.hosts.get(job.live.get(i)?)?;
                    host.tasks.get(&TaskId::new(id, *i))?.running_since
                })
                .map(|started| now - started)
                .max();
            longest_runs.extend(longest_run.map(|ran| (id.clone(), ran)));
        }
        for (id, ran) in longest_runs {
            self.apply_job_evidence(&id, failures::Input::RunningFor(ran), now);
        }
    }

    /// Ends the attempt of a job once none of its tasks is live. If the job is a gang that
    /// completed, all its tasks become done.
    fn finish_attempt(&mut self, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id)
            && job.live.is_empty()
        {
            job.attempt = None;
            if job.is_gang() {
                // A gang completes as a whole, including tasks that were not reported as completed.
                let unsaved: Vec<u32> = job.unsaved_tasks.iter().copied().collect();
                for i in unsaved {
                    job.set(i, TaskStep::Done);
                }
            }
        }
    }

    /// Updates the run time ratio of the job's class and the slowness of the host from the run time
    /// of a completed task. Jobs without an estimate and jobs with preempted or failed tasks are
    /// skipped.
    fn record_run_time(&mut self, host_id: &HostId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(host_id) else {
            return;
        };
        let Some(started) = host.tasks.get(task).and_then(|t| t.running_since) else {
            return;
        };
        let estimate = job.request.estimate.as_secs_f64();
        if estimate <= 0.0 || job.preempted > 0 || job.failed {
            return;
        }
        let observed_ratio = ((now - started).as_secs_f64() / estimate).clamp(0.2, 5.0);
        let class_ratio = self
            .run_time_ratios
            .entry(job.request.class.clone())
            .or_insert(1.0);
        *class_ratio += 0.05 * (observed_ratio - *class_ratio);
        let relative_run_time = (observed_ratio / class_ratio.max(0.1)).clamp(0.2, 5.0);
        host.run_time_ratio += 0.2 * (relative_run_time - host.run_time_ratio);
        self.record_task_duration(host_id, task, relative_run_time, now);
    }
}
