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
    partition::{Event, Partition},
};
use jasperhill_wire::{Attempt, HostId, Micros, Name, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// A task overruns when it has been running for so many times as long as expected.
const OVER: f64 = 2.0;
/// What ends within so many times of the expected time ends in time.
const IN_TIME: f64 = 1.5;
/// Nothing has ended in time on the machine for this part of a task's expected time.
const QUIET: f64 = 0.75;
/// The log of the odds that convict.
const SLOW_LOG_ODDS: f64 = 5.0;
/// Of a slow machine's tasks, so many overrun.
const SLOW_OVERRUNS: f64 = 0.9;
/// The share of overruns of a class that is not known, and its bounds.
const TAIL_FIRST: f64 = 0.15;
const TAIL_LEAST: f64 = 0.03;
const TAIL_MOST: f64 = 0.6;
/// How fast shares are learned.
const LEARNS: f64 = 0.03;
/// Ended tasks of a job that say how long its others take, and the hosts they must be from.
const SIBLINGS: u32 = 3;
const SIBLING_HOSTS: usize = 2;
/// No more than this part of the machines is taken for slow at a time: beyond, it is the
/// expectation that is wrong.
const SLOW_PART: usize = 8;
/// A task that runs for less is not looked at.
const LEAST: Micros = Micros::from_secs(4);
/// The slowest that a machine is taken for.
const SLOWEST: f64 = 5.0;

/// How long the ended tasks of a job ran.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiblingRunTimes {
    ended: u32,
    seconds: f64,
    /// A few of the hosts.
    hosts: BTreeSet<HostId>,
}

impl SiblingRunTimes {
    pub fn note(&mut self, host: &HostId, ran: Micros) {
        self.ended += 1;
        self.seconds += ran.as_secs_f64();
        if self.hosts.len() < 8 {
            self.hosts.insert(host.clone());
        }
    }

    /// What they took, if there are enough of them, seen from this host.
    fn took(&self, here: &HostId) -> Option<Micros> {
        let elsewhere = self.hosts.iter().filter(|h| *h != here).count();
        (self.ended >= SIBLINGS && self.hosts.len() >= SIBLING_HOSTS && elsewhere > 0)
            .then(|| Micros::from_secs_f64(self.seconds / f64::from(self.ended)))
    }
}

/// Whether a machine keeps pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Pace {
    #[default]
    Steady,
    /// Takes so many times as long.
    Slow { times: f64 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    /// The odds, as a logarithm, that it is slow, and how slow it then is.
    Weighed { odds: f64, times: f64 },
    /// A task that began after the verdict ended in time.
    EndedInTime,
}

impl Pace {
    /// The one function that changes it. True if it has been convicted now.
    pub fn apply(&mut self, input: Input) -> bool {
        match (&mut *self, input) {
            (Self::Steady, Input::Weighed { odds, times }) if odds >= SLOW_LOG_ODDS => {
                *self = Self::Slow {
                    times: times.clamp(1.0, SLOWEST),
                };
                true
            }
            (Self::Slow { .. }, Input::EndedInTime) => {
                *self = Self::Steady;
                false
            }
            (_, Input::Weighed { .. } | Input::EndedInTime) => false,
        }
    }

    pub fn is_slow(&self) -> bool {
        matches!(self, Self::Slow { .. })
    }
}

/// When tasks overrun, and how often tasks of a class do.
#[derive(Debug, Default)]
pub(crate) struct OverrunWatch {
    due: BTreeSet<(Micros, HostId, TaskId, Attempt)>,
    tails: BTreeMap<Name, f64>,
}

impl OverrunWatch {
    fn tail(&self, class: &Name) -> f64 {
        let tail = self.tails.get(class).copied().unwrap_or(TAIL_FIRST);
        tail.clamp(TAIL_LEAST, TAIL_MOST)
    }
}

impl Partition {
    /// How long a task of this job should run on a machine of the usual pace, and whether that
    /// is known from its others.
    fn expected_run(&self, job: &Job, here: &HostId) -> Option<(Micros, bool)> {
        if job.is_service() || job.failures.is_backing_off() {
            return None;
        }
        if let Some(took) = job.sibling_run_times.took(here) {
            return Some((took.max(LEAST), true));
        }
        // What was stopped before goes on where it was: its estimate says too much.
        (job.preempted == 0 && job.request.estimate > Micros::ZERO)
            .then(|| (self.estimate(&job.request).max(LEAST), false))
    }

    /// A task is seen running: it is looked at again when it overruns.
    pub(crate) fn watch_task(&mut self, host: &HostId, task: &TaskId) {
        let began = self.hosts.get(host).and_then(|h| {
            let t = h.tasks.get(task)?;
            Some((t.running?, t.attempt))
        });
        let expected = self
            .jobs
            .get(&task.job)
            .and_then(|j| self.expected_run(j, host));
        if let (Some((began, attempt)), Some((expected, _))) = (began, expected) {
            let at = began + expected.scale(OVER);
            self.watched
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
        let Some(began) = h.tasks.get(task).and_then(|t| t.running) else {
            return;
        };
        let class = job.request.class.clone();
        if !h.pace.is_slow() {
            job.sibling_run_times.note(host, now - began);
        }
        if times <= IN_TIME {
            h.last_in_time = Some(now);
            if h.slow_since.is_none_or(|at| began >= at) {
                h.pace.apply(Input::EndedInTime);
            }
        }
        let tail = self.watched.tails.entry(class).or_insert(TAIL_FIRST);
        *tail += LEARNS * (f64::from(u8::from(times >= OVER)) - *tail);
    }

    /// Looks at the machines where a task overruns by now.
    pub(crate) fn check_overruns(&mut self, now: Micros) {
        let mut hosts = BTreeSet::new();
        while self.watched.due.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, host, task, attempt)) = self.watched.due.pop_first() else {
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
            let (Some(began), Some((expected, _))) = (running, expected) else {
                continue;
            };
            let at = began + expected.scale(OVER);
            if at > now {
                // More is known by now, and more time is due to it.
                self.watched.due.insert((at, host, task, attempt));
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
            let Some(began) = t.running.filter(|_| t.state == TaskState::Running) else {
                continue;
            };
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some((expected, by_others)) = self.expected_run(job, id) else {
                continue;
            };
            let quiet_since = host.last_in_time.unwrap_or(Micros::ZERO).max(began);
            let over = (now - began).as_secs_f64() / expected.as_secs_f64();
            if over < OVER || now - quiet_since < expected.scale(QUIET) {
                continue;
            }
            times.push(over);
            if by_others || counted.insert(&task.job) {
                odds += (SLOW_OVERRUNS / self.watched.tail(&job.request.class)).ln();
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_verdict_stands_until_a_later_task_ends_in_time() {
        let mut pace = Pace::default();
        let weighed = |odds| Input::Weighed { odds, times: 9.0 };
        assert!(!pace.apply(weighed(SLOW_LOG_ODDS - 0.1)));
        assert!(pace.apply(weighed(SLOW_LOG_ODDS)));
        assert_eq!(pace, Pace::Slow { times: SLOWEST });
        assert!(!pace.apply(weighed(50.0)));
        pace.apply(Input::EndedInTime);
        assert_eq!(pace, Pace::Steady);
    }

    #[test]
    fn others_of_the_job_count_from_several_hosts_and_elsewhere() {
        let mut s = SiblingRunTimes::default();
        let at = Micros::from_secs;
        let (a, b) = (HostId::new("n-1"), HostId::new("n-2"));
        for _ in 0..4 {
            s.note(&a, at(10));
        }
        assert_eq!(s.took(&b), None);
        s.note(&b, at(20));
        assert_eq!(s.took(&a), Some(at(12)));
    }
}
