//! State machine of a job: which of its tasks are done, live, reserved or pending.
//!
//! Every change of a task's state goes through [`Job::set`]. [`JobRank`] orders the jobs of a
//! scheduling cycle.

use crate::{failures::FailureHistory, pace::SiblingRunTimes, task_set::TaskSet};
use jasperhill_wire::{
    Attempt, HostId, Micros, Resources, Revision,
    user::{JobRequest, Priority, Shape},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStep {
    /// The task is not done and assigned to no host.
    Pending,
    /// The task has a reservation in this host's queue.
    Reserved(HostId),
    /// The task is on this host, or the host is commanded to start it.
    Live(HostId),
    /// The task has ended and its result is known.
    Done,
}

/// Reason why no more tasks of a job start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The user has cancelled the job or one of its dependencies.
    Cancelled,
    /// All tasks are done.
    Done,
}

/// Hosts reserved for a waiting gang.
#[derive(Clone, Debug)]
pub struct GangHosts {
    /// Reserved hosts.
    pub hosts: Vec<HostId>,
    /// Time at which the hosts are chosen again.
    pub choice_expires_at: Micros,
    /// Time at which all hosts are expected to have enough free capacity.
    pub ready_at: Micros,
}

/// Whether the dependencies of a job allow its tasks to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// At least one dependency of the job is not done. The waiting job gets no resources and no
    /// reservations, and preempts no other work.
    Waiting,
    /// All dependencies of the job are done.
    Open,
}

/// Effect of a job's dependencies and dependents on its scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DependencyStatus {
    /// Whether the dependencies of the job allow its tasks to start.
    pub readiness: Readiness,
    /// Time since which the job may start; its submission time if it never waited.
    pub since: Micros,
    /// Time by which its dependents need the job to be done; `None` if they have no deadline.
    pub due: Option<Micros>,
    /// Priority of the most important dependent; `None` without dependents.
    pub priority: Option<Priority>,
}

/// Primary sort key of [`JobRank`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    Production,
    Urgent,
    ByDeadline,
    /// Jobs that back off after failures come last.
    BackingOff,
}

/// Sort key of a job in a scheduling cycle; smaller keys go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    band: Band,
    /// Deadline in microseconds; [`u64::MAX`] without a deadline.
    due: u64,
    priority: Priority,
    submitted: Micros,
}

impl JobRank {
    /// Moves the job ahead of all jobs except production.
    pub(crate) fn boost(&mut self) {
        if self.band > Band::Production {
            (self.band, self.due) = (Band::Urgent, 0);
        }
    }

    /// Returns whether the job is ranked as production work.
    pub(crate) fn is_production(&self) -> bool {
        self.band == Band::Production
    }
}

/// State of an unfinished job, or of an ended job that still has tasks on hosts.
#[derive(Debug)]
pub struct Job {
    /// Job as submitted by its user.
    pub request: Rc<JobRequest>,
    /// Revision at which the job's record was created. Jobs newer than a takeover have no
    /// unconfirmed tasks.
    pub created: Revision,
    /// Time from which the job's age counts: its submission, or the time at which its last
    /// dependency was done.
    pub submitted: Micros,
    /// Deadline on the monotonic clock; `None` if the job has none.
    pub due: Option<Micros>,
    /// Whether the dependencies of the job allow its tasks to start.
    pub readiness: Readiness,
    /// Deadline and priority that the job inherits from its dependents.
    inherited: (Option<Micros>, Option<Priority>),
    /// Set of tasks that are done.
    pub done: TaskSet,
    /// Tasks that are done but not yet saved in the job's record.
    pub unsaved_tasks: BTreeSet<u32>,
    /// Tasks that are on a host or that a host is commanded to start, by task index.
    pub live: BTreeMap<u32, HostId>,
    /// Tasks with a reservation in a host's queue, by task index.
    pub reserved: BTreeMap<u32, HostId>,
    /// Tasks reported as running, for the job's status and for choosing which task to stop.
    pub running: BTreeSet<u32>,
    /// Whether all tasks have been running at the same time.
    pub has_run_completely: bool,
    /// Run times of the job's ended tasks.
    pub sibling_run_times: SiblingRunTimes,
    /// Lowest index that was never assigned: every task below it is done, live, reserved or in
    /// `returned_to_pending`.
    cursor: u32,
    /// Tasks below `cursor` that are pending again.
    returned_to_pending: BTreeSet<u32>,
    /// Reason why no more tasks start; `None` until the job's record is final.
    pub termination: Option<Termination>,
    /// Failure state, which decides whether the job backs off.
    pub failures: FailureHistory,
    /// Number of failed retries last saved in the job's record.
    pub failed_attempts_saved: u32,
    /// Earliest time of the next start after a refused start; zero if none was refused.
    pub not_before: Micros,
    /// Whether a task has failed, in which case the run times are not representative.
    pub failed: bool,
    /// Hosts on which tasks are preempted for this job, and until when the job waits for the freed
    /// capacity.
    pub awaited_capacity: Vec<(HostId, Micros)>,
    /// Hosts reserved for this gang while it waits; `None` if none are reserved.
    pub gang_hosts: Option<GangHosts>,
    /// Current attempt of a gang; `None` if the gang is not started.
    pub attempt: Option<Attempt>,
    /// Number of times that tasks of the job were preempted.
    pub preempted: u32,
    /// Whether the deadline can no longer be met.
    pub missed_deadline: bool,
    /// Time at which a task last started; zero if none has.
    pub last_started: Micros,
}

impl Job {
    /// Creates a job from its record. `finished` lists the tasks that are done, in the format of
    /// [`TaskSet::from_runs`].
    pub fn new(
        request: Rc<JobRequest>,
        created: Revision,
        submitted: Micros,
        finished: &[u32],
    ) -> Self {
        let done = TaskSet::from_runs(request.tasks, finished);
        Self {
            due: request.deadline.map(|d| submitted + d),
            request,
            created,
            submitted,
            readiness: Readiness::Open,
            inherited: (None, None),
            done,
            unsaved_tasks: BTreeSet::new(),
            live: BTreeMap::new(),
            reserved: BTreeMap::new(),
            running: BTreeSet::new(),
            has_run_completely: false,
            sibling_run_times: SiblingRunTimes::default(),
            cursor: 0,
            returned_to_pending: BTreeSet::new(),
            termination: None,
            failures: FailureHistory::Clean,
            failed_attempts_saved: 0,
            not_before: Micros::ZERO,
            failed: false,
            awaited_capacity: Vec::new(),
            gang_hosts: None,
            attempt: None,
            preempted: 0,
            missed_deadline: false,
            last_started: Micros::ZERO,
        }
    }

    /// Sets the effect of dependencies and dependents; nothing else changes it. Returns whether
    /// anything has changed.
    pub fn set_dependency_status(&mut self, status: DependencyStatus) -> bool {
        let inherited = (status.due, status.priority);
        let readiness_changed = status.readiness != self.readiness;
        if readiness_changed {
            self.readiness = status.readiness;
            self.submitted = status.since;
        }
        let changed = readiness_changed || inherited != self.inherited;
        self.inherited = inherited;
        changed
    }

    /// Returns the priority of the job or of its most important dependent, whichever is higher.
    pub fn priority(&self) -> Priority {
        let own = self.request.priority;
        self.inherited.1.map_or(own, |priority| priority.min(own))
    }

    /// Returns the state of task `i`.
    pub fn step(&self, i: u32) -> TaskStep {
        if self.done.contains(i) {
            TaskStep::Done
        } else if let Some(host) = self.live.get(&i) {
            TaskStep::Live(host.clone())
        } else if let Some(host) = self.reserved.get(&i) {
            TaskStep::Reserved(host.clone())
        } else {
            TaskStep::Pending
        }
    }

    /// Changes the state of task `i`; nothing else does. `Done` is final.
    pub fn set(&mut self, i: u32, to: TaskStep) {
        if i >= self.request.tasks || self.done.contains(i) {
            return;
        }
        self.live.remove(&i);
        self.reserved.remove(&i);
        self.returned_to_pending.remove(&i);
        self.running.remove(&i);
        match to {
            TaskStep::Pending => {
                if i < self.cursor {
                    self.returned_to_pending.insert(i);
                }
            }
            TaskStep::Reserved(host) => {
                self.reserved.insert(i, host);
                self.advance_cursor();
            }
            TaskStep::Live(host) => {
                self.live.insert(i, host);
                self.advance_cursor();
            }
            TaskStep::Done => {
                self.done.insert(i);
                self.unsaved_tasks.insert(i);
            }
        }
    }

    /// Records that task `i` is reported as running.
    pub fn mark_running(&mut self, i: u32) {
        self.running.insert(i);
        self.has_run_completely |= self.running.len() >= self.request.tasks as usize;
    }

    /// Returns whether task `i` is not pending.
    fn is_assigned_or_done(&self, i: u32) -> bool {
        self.done.contains(i) || self.live.contains_key(&i) || self.reserved.contains_key(&i)
    }

    /// Moves the cursor to the next pending task.
    fn advance_cursor(&mut self) {
        while self.cursor < self.request.tasks && self.is_assigned_or_done(self.cursor) {
            self.cursor += 1;
        }
    }

    /// Returns the next task to start; `None` if no task is pending.
    pub fn next_pending(&mut self) -> Option<u32> {
        if let Some(i) = self.returned_to_pending.first() {
            return Some(*i);
        }
        self.advance_cursor();
        (self.cursor < self.request.tasks).then_some(self.cursor)
    }

    /// Returns the number of tasks that are neither done, live nor reserved.
    pub fn pending(&self) -> u32 {
        self.request.tasks - self.done.count() - self.live.len() as u32 - self.reserved.len() as u32
    }

    /// Returns how many more tasks may start. A job that backs off runs one task at a time, unless
    /// it is a gang.
    pub fn startable(&self) -> u32 {
        if !self.failures.is_backing_off() || self.is_gang() {
            self.pending()
        } else {
            self.pending()
                .min(1u32.saturating_sub(self.live.len() as u32))
        }
    }

    /// Returns whether the job has not ended, has no live tasks and no unsaved results.
    pub fn is_waiting(&self) -> bool {
        self.termination.is_none() && self.live.is_empty() && self.unsaved_tasks.is_empty()
    }

    /// Returns whether results or failed attempts are known that the job's record should contain.
    /// Tasks of a gang count only when all of them are done, and a completed task counts only when
    /// no host may still run it.
    pub fn has_results_to_save(&self) -> bool {
        let has_unsaved_tasks = if self.is_gang() {
            !self.unsaved_tasks.is_empty() && self.done.is_full()
        } else {
            self.unsaved_tasks.iter().any(|i| self.done.contains(*i))
        };
        let has_unsaved_failures = self.failures.failed_attempts() != self.failed_attempts_saved;
        self.termination.is_none() && (has_unsaved_tasks || has_unsaved_failures)
    }

    /// Returns the time since which a waiting job has had no running task.
    pub fn waiting_since(&self) -> Micros {
        self.submitted.max(self.last_started)
    }

    /// Returns how many tasks must start at the same time when the job begins.
    pub fn tasks_to_begin(&self) -> u64 {
        if self.is_gang() {
            u64::from(self.request.tasks)
        } else {
            1
        }
    }

    /// Returns whether the job is a gang, whose tasks start and end together.
    pub fn is_gang(&self) -> bool {
        self.request.shape == Shape::Gang
    }
    /// Returns whether the job is a service, whose tasks run until they are stopped.
    pub fn is_service(&self) -> bool {
        self.request.shape == Shape::Service
    }
    /// Returns whether the job was submitted with production priority.
    pub fn is_production(&self) -> bool {
        self.request.priority == Priority::Production
    }

    /// Returns the sort key of the job: production comes first, then urgent work, then the rest by
    /// deadline. Jobs without a deadline come last, by priority and then by age.
    ///
    /// A deadline that can no longer be met is ignored. Otherwise the job would go first in
    /// deadline order and cause other jobs to miss deadlines that can still be met.
    pub fn rank(&self) -> JobRank {
        let priority = self.priority();
        let band = match priority {
            _ if self.failures.is_backing_off() => Band::BackingOff,
            Priority::Production => Band::Production,
            Priority::High => Band::Urgent,
            Priority::Normal | Priority::Low => Band::ByDeadline,
        };
        let due = [self.due.filter(|_| !self.missed_deadline), self.inherited.0];
        let due = due.into_iter().flatten().min().map_or(u64::MAX, |d| d.0);
        JobRank {
            band,
            due,
            priority,
            submitted: self.submitted,
        }
    }

    /// Returns the resources of the tasks that may be running on hosts not heard from yet.
    pub fn unconfirmed_use(&self) -> Resources {
        self.request
            .each
            .times(u64::from(self.request.tasks - self.done.count()) - self.live.len() as u64)
    }

    /// Returns whether the tasks save checkpoints, so that they can be stopped without losing work.
    pub fn saves_checkpoints(&self) -> bool {
        self.request.checkpoint_every > Micros::ZERO
    }
}
