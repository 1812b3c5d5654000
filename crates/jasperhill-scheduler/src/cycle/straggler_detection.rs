//! Detection of slow machines while their tasks still run. Workers report task states but no
//! progress, so the only evidence is how long a task has been running, compared with the run times
//! of the job's other tasks or else with the job's estimate.
//!
//! A single long task is weak evidence: run times vary, and estimates are wrong by half. A machine
//! is considered slow when several of its tasks overrun while no task has ended in time there,
//! weighted by how often tasks of the same classes overrun on any machine. Tasks of one job count
//! once unless other tasks of the job have ended on other hosts, because the job itself may be
//! long. This module owns the times at which tasks overrun, the share of overruns per class, and
//! the response to a slow machine.

use crate::{
    host::TaskState,
    job::Job,
    pace::{
        IN_TIME_FACTOR, INITIAL_OVERRUN_SHARE, Input, MAX_SLOWDOWN, MIN_EXPECTED_RUN_TIME,
        OVERRUN_FACTOR, OVERRUN_SHARE_SMOOTHING, QUIET_FRACTION, SLOW_HOST_OVERRUN_SHARE,
        SLOW_HOSTS_DIVISOR,
    },
    partition::{Event, Partition},
};
use jasperhill_wire::{HostId, Micros, TaskId};
use std::collections::BTreeSet;

impl Partition {
    /// Returns the expected run time of a task of this job on a machine of normal speed, and
    /// whether it is derived from the job's other tasks rather than from the estimate. Returns
    /// `None` if no expectation exists.
    fn expected_run_time(&self, job: &Job, host: &HostId) -> Option<(Micros, bool)> {
        if job.is_service() || job.failures.is_backing_off() {
            return None;
        }
        if let Some(elapsed) = job.sibling_run_times.mean_run_time(host) {
            return Some((elapsed.max(MIN_EXPECTED_RUN_TIME), true));
        }
        // A preempted task continues from its checkpoint, so the estimate of the full run time is
        // too long.
        (job.preempted == 0 && job.request.estimate > Micros::ZERO).then(|| {
            (
                self.estimate(&job.request).max(MIN_EXPECTED_RUN_TIME),
                false,
            )
        })
    }

    /// Schedules a check for the time at which a task that was reported running would overrun.
    pub(crate) fn schedule_overrun_check(&mut self, host: &HostId, task: &TaskId) {
        let started = self.hosts.get(host).and_then(|host_state| {
            let host_task = host_state.tasks.get(task)?;
            Some((host_task.running_since?, host_task.attempt))
        });
        let expected = self
            .jobs
            .get(&task.job)
            .and_then(|job| self.expected_run_time(job, host));
        if let (Some((started, attempt)), Some((expected, _))) = (started, expected) {
            let overruns_at = started + expected.scale(OVERRUN_FACTOR);
            self.overrun_watch
                .due
                .insert((overruns_at, host.clone(), task.clone(), attempt));
        }
    }

    /// Records that a task ended by itself after `times` its expected run time. Updates the share
    /// of overruns of its class, and the host's pace if the task ended in time.
    pub(crate) fn record_task_duration(
        &mut self,
        host: &HostId,
        task: &TaskId,
        times: f64,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(host_state) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(started) = host_state
            .tasks
            .get(task)
            .and_then(|host_task| host_task.running_since)
        else {
            return;
        };
        let class = job.request.class.clone();
        if !host_state.pace.is_slow() {
            job.sibling_run_times.record(host, now - started);
        }
        if times <= IN_TIME_FACTOR {
            host_state.last_completed_in_time = Some(now);
            if host_state
                .slow_since
                .is_none_or(|slow_since| started >= slow_since)
            {
                host_state.pace.apply(Input::EndedInTime);
            }
        }
        let overrun_share = self
            .overrun_watch
            .overrun_shares
            .entry(class)
            .or_insert(INITIAL_OVERRUN_SHARE);
        *overrun_share += OVERRUN_SHARE_SMOOTHING
            * (f64::from(u8::from(times >= OVERRUN_FACTOR)) - *overrun_share);
    }

    /// Evaluates the hosts on which a task has overrun by `now`.
    pub(crate) fn check_overruns(&mut self, now: Micros) {
        let mut hosts = BTreeSet::new();
        while self
            .overrun_watch
            .due
            .first()
            .is_some_and(|(overruns_at, ..)| *overruns_at <= now)
        {
            let Some((_, host, task, attempt)) = self.overrun_watch.due.pop_first() else {
                break;
            };
            let running = self.hosts.get(&host).and_then(|host_state| {
                let host_task = host_state
                    .tasks
                    .get(&task)
                    .filter(|host_task| host_task.attempt == attempt)?;
                (host_task.state == TaskState::Running && host_task.stopping.is_none())
                    .then_some(host_task.running_since?)
            });
            let expected = self
                .jobs
                .get(&task.job)
                .and_then(|job| self.expected_run_time(job, &host));
            let (Some(started), Some((expected, _))) = (running, expected) else {
                continue;
            };
            let overruns_at = started + expected.scale(OVERRUN_FACTOR);
            if overruns_at > now {
                // The expected run time has grown since the check was scheduled, so the check is
                // postponed.
                self.overrun_watch
                    .due
                    .insert((overruns_at, host, task, attempt));
            } else {
                hosts.insert(host);
            }
        }
        for host in hosts {
            self.evaluate_host_pace(&host, now);
        }
    }

    /// Returns the log odds that the host is slow and the median ratio of run time to expected run
    /// time. Both are computed from the host's running tasks that have overrun while no task has
    /// ended in time on the host for a while. The log odds are 0 if there are fewer than two such
    /// tasks.
    fn slowness_evidence(&self, id: &HostId, now: Micros) -> (f64, f64) {
        let Some(host) = self.hosts.get(id) else {
            return (0.0, 1.0);
        };
        let (mut log_odds, mut slowdowns) = (0.0, Vec::new());
        let mut counted_jobs = BTreeSet::new();
        for (task, host_task) in &host.tasks {
            let Some(started) = host_task
                .running_since
                .filter(|_| host_task.state == TaskState::Running)
            else {
                continue;
            };
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some((expected, is_from_siblings)) = self.expected_run_time(job, id) else {
                continue;
            };
            let quiet_since = host
                .last_completed_in_time
                .unwrap_or(Micros::ZERO)
                .max(started);
            let slowdown = (now - started).as_secs_f64() / expected.as_secs_f64();
            if slowdown < OVERRUN_FACTOR || now - quiet_since < expected.scale(QUIET_FRACTION) {
                continue;
            }
            slowdowns.push(slowdown);
            if is_from_siblings || counted_jobs.insert(&task.job) {
                log_odds += (SLOW_HOST_OVERRUN_SHARE
                    / self.overrun_watch.overrun_share(&job.request.class))
                .ln();
            }
        }
        slowdowns.sort_by(f64::total_cmp);
        let median = slowdowns.get(slowdowns.len() / 2).copied().unwrap_or(1.0);
        (if slowdowns.len() < 2 { 0.0 } else { log_odds }, median)
    }

    /// Marks the host as slow if the evidence suffices, and moves its checkpointing tasks to other
    /// hosts. Does nothing if the share of slow hosts has reached its maximum, one in
    /// [`SLOW_HOSTS_DIVISOR`].
    fn evaluate_host_pace(&mut self, id: &HostId, now: Micros) {
        let slow_hosts = self
            .hosts
            .values()
            .filter(|host| host.pace.is_slow())
            .count();
        if slow_hosts >= (self.hosts.len() / SLOW_HOSTS_DIVISOR).max(1) {
            return;
        }
        let (log_odds, slowdown) = self.slowness_evidence(id, now);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if !host.pace.apply(Input::Evaluated { log_odds, slowdown }) {
            return;
        }
        host.slow_since = Some(now);
        host.run_time_ratio = host.run_time_ratio.max(slowdown.min(MAX_SLOWDOWN));
        self.events.push(Event::HostSlow(id.clone(), slowdown));
        self.move_checkpointing_tasks(id, now);
    }

    /// Stops tasks that can save a checkpoint, so that they continue on another host. They lose
    /// only the time needed to save.
    fn move_checkpointing_tasks(&mut self, id: &HostId, now: Micros) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let mut to_move = Vec::new();
        for (task, host_task) in &host.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if host_task.state == TaskState::Running
                && host_task.stopping.is_none()
                && job.saves_checkpoints()
                && job.preempted == 0
            {
                to_move.push(task.clone());
            }
        }
        for task in to_move {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.preempted += 1;
            }
            self.stop_with_grace(id, &task, "moved off a slow host", now);
        }
    }
}
