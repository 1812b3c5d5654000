//! What follows for jobs from what became of tasks on hosts: found, completed, failed, lost.

use super::{Event, Partition};
use crate::{
    failures::{self, FailureHistory},
    host::{HostTask, TaskState},
    job::{Readiness, TaskStep, Termination},
};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, TaskId, user::Shape, worker::ExitCause};
use std::collections::BTreeSet;

/// A job whose start a worker refused is not tried again before this.
const REFUSED_PAUSE: Micros = Micros::from_secs(1);

/// What to make of a task that was found on a host.
enum Expectation {
    /// It may go on.
    Adopted,
    /// Its job is cancelled: it is stopped, and counts until it is gone.
    Cancelled,
    /// Nobody wants it: it is stopped.
    Unexpected,
}

impl Partition {
    /// A task runs, or has exited, on a host without this partition having known.
    pub(super) fn task_found(&mut self, id: &HostId, task: &TaskId, attempt: Attempt, now: Micros) {
        let listed = self.hosts.get(id).and_then(|host| host.tasks.get(task));
        if !listed.is_some_and(HostTask::holds_resources) {
            return;
        }
        match self.expectation_of(task, attempt) {
            Expectation::Adopted => self.adopt_task(id, task, attempt),
            Expectation::Cancelled => self.stop_cancelled_task(id, task, now),
            Expectation::Unexpected => {
                let why = "not expected there";
                let event = Event::UnexpectedTask(task.clone(), id.clone(), why);
                self.events.push(event);
                self.stop(id, task, Micros::ZERO, now);
            }
        }
    }

    /// What to make of a task that was found on a host.
    fn expectation_of(&self, task: &TaskId, attempt: Attempt) -> Expectation {
        let Some(job) = self.jobs.get(&task.job) else {
            return Expectation::Unexpected;
        };
        let is_free = matches!(
            job.step(task.index),
            TaskStep::Pending | TaskStep::Reserved(_)
        );
        let exists = task.index < job.request.tasks;
        match job.termination {
            None if is_free
                && exists
                && job.readiness == Readiness::Open
                && job.attempt.is_none_or(|gang| gang == attempt) =>
            {
                Expectation::Adopted
            }
            Some(Termination::Cancelled) if is_free && exists => Expectation::Cancelled,
            // Finished, cancelled, or of an attempt that is not the gang's.
            _ => Expectation::Unexpected,
        }
    }

    /// The task goes on where it was found.
    fn adopt_task(&mut self, id: &HostId, task: &TaskId, attempt: Attempt) {
        self.release_reservation(&task.job, task.index);
        self.set_step(task, TaskStep::Live(id.clone()));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.is_gang() {
            job.attempt = Some(attempt);
        }
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let (image, gb) = (&job.request.image, job.request.image_gb);
        host.touch_image(image, gb);
        host.describe(task, job.request.each, (image.clone(), gb));
        let listed = host.tasks.get(task);
        if listed.is_some_and(|listed| listed.state == TaskState::Running) {
            job.mark_running(task.index);
        }
    }

    /// A task of a cancelled job counts until it is gone.
    fn stop_cancelled_task(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        self.set_step(task, TaskStep::Live(id.clone()));
        if let (Some(job), Some(host)) = (self.jobs.get(&task.job), self.hosts.get_mut(id)) {
            let image = (job.request.image.clone(), job.request.image_gb);
            host.describe(task, job.request.each, image);
        }
        self.stop(id, task, Micros::ZERO, now);
    }

    /// A task is not on its host any more. `cause`: as the worker says; `None`: lost.
    pub(super) fn task_ended(
        &mut self,
        id: &HostId,
        task: &TaskId,
        cause: Option<ExitCause>,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if cause == Some(ExitCause::Done) && job.request.shape != Shape::Service {
            // A kept result counts wherever it turns up.
            self.task_completed(id, task, now);
        } else if job.live.get(&task.index) == Some(id) {
            self.task_interrupted(id, task, cause, now);
        }
    }

    /// A task has completed; a gang completes as one.
    fn task_completed(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let completed = if job.is_gang() {
            0..job.request.tasks
        } else {
            task.index..task.index + 1
        };
        self.learn_run_time(id, task, now);
        for index in completed {
            self.mark_completed(id, &TaskId::new(&task.job, index));
        }
        self.finish_gang(&task.job);
        self.unsaved.insert(task.job.clone());
        if let Some(host) = self.hosts.get_mut(id) {
            host.recent_failures.clear();
            let started = host.tasks.get(task).map(|listed| listed.ordered);
            host.last_success_started = host.last_success_started.max(started);
        }
        self.reconsider_job(&task.job, failures::Input::Succeeded, now);
        self.remove_if_gone(&task.job);
    }

    /// One task of what has completed on host `id`; it may be elsewhere itself.
    fn mark_completed(&mut self, id: &HostId, task: &TaskId) {
        self.release_reservation(&task.job, task.index);
        let job = self.jobs.get(&task.job);
        let live = job.and_then(|job| job.live.get(&task.index)).cloned();
        // Guards against a task that is dropped from the account while it is still there, and then
        // neither counted nor stopped: its machine may be this one.
        let is_still_there = |host: &HostId| {
            let listed = self.hosts.get(host).and_then(|h| h.tasks.get(task));
            host != id || listed.is_some_and(HostTask::holds_resources)
        };
        match live {
            // Still on its machine until it says otherwise.
            Some(host) if is_still_there(&host) => {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.unsaved.insert(task.index);
                }
            }
            _ => self.set_step(task, TaskStep::Done),
        }
    }

    /// A task ended without a result, or is lost with its host.
    fn task_interrupted(
        &mut self,
        id: &HostId,
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
        let has_result = job.unsaved.contains(&task.index);
        match cause.filter(|_| !has_result) {
            Some(ExitCause::Error) => self.task_failed(id, task, now),
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                job.not_before = now + REFUSED_PAUSE;
            }
            _ => {}
        }
        let step = if has_result {
            TaskStep::Done
        } else {
            TaskStep::Pending
        };
        self.set_step(task, step);
        self.finish_gang(&task.job);
        self.remove_if_gone(&task.job);
    }

    /// A task has failed: held against its host, or, once it has failed wherever it was tried,
    /// against the job. Guards against a few arrays with a mistake that quarantined and return a
    /// large part of the fleet within seconds.
    fn task_failed(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        let (Some(job), Some(host)) = (self.jobs.get_mut(&task.job), self.hosts.get_mut(id)) else {
            return;
        };
        job.failed = true;
        let ran = host
            .tasks
            .get(task)
            .and_then(|t| t.running)
            .map_or(Micros::ZERO, |started| now - started);
        self.events
            .push(Event::Failed(task.clone(), id.clone(), ran));
        let (was, level) = (
            job.failures.is_backing_off(),
            job.failures.failed_attempts(),
        );
        let failed = failures::Input::Failed {
            host: id,
            serves: host.has_served_others(&task.job, now),
            ran,
        };
        job.failures.apply(failed, now);
        if job.failures.failed_attempts() != level {
            self.unsaved.insert(task.job.clone());
        }
        if !job.failures.is_backing_off() {
            if host.record_failure(&task.job, now) {
                self.events.push(Event::HostQuarantined(id.clone()));
            }
        } else if !was {
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            job.preempting.clear();
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

    /// Something speaks for a job: it completes a task, or one runs. If that clears it, the
    /// hosts on which it failed are blamed after all.
    fn reconsider_job(&mut self, id: &JobId, input: failures::Input<'_>, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let hosts = match &job.failures {
            FailureHistory::BackingOff { hosts, .. } => hosts.clone(),
            _ => BTreeSet::new(),
        };
        let was = job.failures.is_backing_off();
        job.failures.apply(input, now);
        if !was || job.failures.is_backing_off() {
            return;
        }
        self.unsaved.insert(id.clone());
        self.changed = true;
        for host in hosts {
            if let Some(h) = self.hosts.get_mut(&host)
                && !h.has_served_others(id, now)
            {
                // Failures that nothing excuses, as many as set a host aside.
                let news = h.record_failure(id, now) | h.record_failure(id, now);
                if news {
                    self.events.push(Event::HostQuarantined(host));
                }
            }
        }
    }

    /// A try that outlives those that failed clears a suspect job.
    pub(crate) fn clear_outlived_failures(&mut self, now: Micros) {
        let mut outlived = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(_, j)| j.failures.is_backing_off())
        {
            let runs = job
                .running
                .iter()
                .filter_map(|i| {
                    let host = self.hosts.get(job.live.get(i)?)?;
                    host.tasks.get(&TaskId::new(id, *i))?.running
                })
                .map(|started| now - started)
                .max();
            outlived.extend(runs.map(|time| (id.clone(), time)));
        }
        for (id, time) in outlived {
            self.reconsider_job(&id, failures::Input::RunningFor(time), now);
        }
    }

    /// A gang's attempt is over once nothing of it is left.
    fn finish_gang(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.live.is_empty()
        {
            job.attempt = None;
            if job.is_gang() {
                // Done as one, the unseen parts included.
                let rest: Vec<u32> = job.unsaved.iter().copied().collect();
                for i in rest {
                    job.set(i, TaskStep::Done);
                }
            }
        }
    }

    /// Compares a finished task's run time with what was expected.
    fn learn_run_time(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let Some(started) = host.tasks.get(task).and_then(|t| t.running) else {
            return;
        };
        let estimate = job.request.estimate.as_secs_f64();
        if estimate <= 0.0 || job.preempted > 0 || job.failed {
            return;
        }
        let seen = ((now - started).as_secs_f64() / estimate).clamp(0.2, 5.0);
        let ratio = self
            .run_time_ratios
            .entry(job.request.class.clone())
            .or_insert(1.0);
        *ratio += 0.05 * (seen - *ratio);
        let times = (seen / ratio.max(0.1)).clamp(0.2, 5.0);
        host.slowness += 0.2 * (times - host.slowness);
        self.learn_overrun(id, task, times, now);
    }
}
