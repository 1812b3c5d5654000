//! Slow machines, recognised while their tasks still run. Workers report states and no progress,
//! so that all there is to go by is how long a task has been running, against what the job's
//! other tasks took, or else against its estimate.
//!
//! One long task says little: run times vary, and estimates are wrong by half. What convicts a
//! machine is several tasks that overrun there while nothing has ended in time, weighed by how
//! often tasks of their classes overrun anywhere. Tasks of one job count once unless others of
//! the job have ended elsewhere: it may be the job that is long. Owns the moments at which tasks
//! overrun, the classes' shares of overruns, and what follows for the machine.

use crate::{
    host::TaskState,
    job::Job,
    pace::{
        IN_TIME, Input, LEARNS, LEAST, OVER, QUIET, SLOW_OVERRUNS, SLOW_PART, SLOWEST, TAIL_FIRST,
    },
    partition::{Event, Partition},
};
use jasperhill_wire::{HostId, Micros, TaskId};
use std::collections::BTreeSet;

impl Partition {
    /// How long a task of this job should run on a machine of the usual pace, and whether that
    /// is known from its others.
    fn expected_run(&self, job: &Job, here: &HostId) -> Option<(Micros, bool)> {
        if job.is_service() || job.failures.is_backing_off() {
            return None;
        }
        if let Some(elapsed) = job.sibling_run_times.elapsed(here) {
            return Some((elapsed.max(LEAST), true));
        }
        // What was stopped before goes on where it was: its estimate says too much.
        (job.preempted == 0 && job.request.estimate > Micros::ZERO)
            .then(|| (self.estimate(&job.request).max(LEAST), false))
    }

    /// A task is seen running: it is looked at again when it overruns.
    pub(crate) fn watch_task(&mut self, host: &HostId, task: &TaskId) {
        let started = self.hosts.get(host).and_then(|h| {
            let t = h.tasks.get(task)?;
            Some((t.running?, t.attempt))
        });
        let expected = self
            .jobs
            .get(&task.job)
            .and_then(|j| self.expected_run(j, host));
        if let (Some((started, attempt)), Some((expected, _))) = (started, expected) {
            let at = started + expected.scale(OVER);
            self.overrun_watch
                .due
                .insert((at, host.clone(), task.clone(), attempt));
        }
    }

    /// A task has ended by itself after so many times its expected run: its class learns, and
    /// the machine is absolved if it was in time.
    pub(crate) fn learn_overrun(&mut self, host: &HostId, task: &TaskId, times: f64, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(h) = self.hosts.get_mut(host) else {
            return;
        };
        let Some(started) = h.tasks.get(task).and_then(|t| t.running) else {
            return;
        };
        let class = job.request.class.clone();
        if !h.pace.is_slow() {
            job.sibling_run_times.note(host, now - started);
        }
        if times <= IN_TIME {
            h.last_in_time = Some(now);
            if h.slow_since.is_none_or(|at| started >= at) {
                h.pace.apply(Input::EndedInTime);
            }
        }
        let tail = self.overrun_watch.tails.entry(class).or_insert(TAIL_FIRST);
        *tail += LEARNS * (f64::from(u8::from(times >= OVER)) - *tail);
    }

    /// Looks at the machines where a task overruns by now.
    pub(crate) fn check_overruns(&mut self, now: Micros) {
        let mut hosts = BTreeSet::new();
        while self
            .overrun_watch
            .due
            .first()
            .is_some_and(|(at, ..)| *at <= now)
        {
            let Some((_, host, task, attempt)) = self.overrun_watch.due.pop_first() else {
                break;
            };
            let running = self.hosts.get(&host).and_then(|h| {
                let t = h.tasks.get(&task).filter(|t| t.attempt == attempt)?;
                (t.state == TaskState::Running && t.stopping.is_none()).then_some(t.running?)
            });
            let expected = self
                .jobs
                .get(&task.job)
                .and_then(|j| self.expected_run(j, &host));
            let (Some(started), Some((expected, _))) = (running, expected) else {
                continue;
            };
            let at = started + expected.scale(OVER);
            if at > now {
                // More is known by now, and more time is due to it.
                self.overrun_watch.due.insert((at, host, task, attempt));
            } else {
                hosts.insert(host);
            }
        }
        for host in hosts {
            self.weigh_evidence(&host, now);
        }
    }

    /// The odds that this machine is slow, from all that runs there.
    fn odds(&self, id: &HostId, now: Micros) -> (f64, f64) {
        let Some(host) = self.hosts.get(id) else {
            return (0.0, 1.0);
        };
        let (mut odds, mut times) = (0.0, Vec::new());
        let mut counted = BTreeSet::new();
        for (task, t) in &host.tasks {
            let Some(started) = t.running.filter(|_| t.state == TaskState::Running) else {
                continue;
            };
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some((expected, by_others)) = self.expected_run(job, id) else {
                continue;
            };
            let quiet_since = host.last_in_time.unwrap_or(Micros::ZERO).max(started);
            let over = (now - started).as_secs_f64() / expected.as_secs_f64();
            if over < OVER || now - quiet_since < expected.scale(QUIET) {
                continue;
            }
            times.push(over);
            if by_others || counted.insert(&task.job) {
                odds += (SLOW_OVERRUNS / self.overrun_watch.tail(&job.request.class)).ln();
            }
        }
        times.sort_by(f64::total_cmp);
        let middle = times.get(times.len() / 2).copied().unwrap_or(1.0);
        (if times.len() < 2 { 0.0 } else { odds }, middle)
    }

    fn weigh_evidence(&mut self, id: &HostId, now: Micros) {
        let slow = self.hosts.values().filter(|h| h.pace.is_slow()).count();
        if slow >= (self.hosts.len() / SLOW_PART).max(1) {
            return;
        }
        let (odds, times) = self.odds(id, now);
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        if !host.pace.apply(Input::Weighed { odds, times }) {
            return;
        }
        host.slow_since = Some(now);
        host.slowness = host.slowness.max(times.min(SLOWEST));
        self.events.push(Event::HostSlow(id.clone(), times));
        self.move_checkpointing_tasks(id, now);
    }

    /// Work that can save goes on elsewhere: it loses nothing but the time to save.
    fn move_checkpointing_tasks(&mut self, id: &HostId, now: Micros) {
        let Some(host) = self.hosts.get(id) else {
            return;
        };
        let mut moves = Vec::new();
        for (task, t) in &host.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if t.state == TaskState::Running
                && t.stopping.is_none()
                && job.checkpoints()
                && job.preempted == 0
            {
                moves.push(task.clone());
            }
        }
        for task in moves {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.preempted += 1;
            }
            self.stop_with_grace(id, &task, "moved off a slow host", now);
        }
    }
}
