//! The job machine: which tasks of a job are finished, live, reserved or pending. Every change
//! of a task's state goes through [`Job::set`].

use crate::{failures::FailureHistory, pace::SiblingRunTimes, task_set::TaskSet};
use jasperhill_wire::{
    Attempt, HostId, Micros, Resources, Revision,
    user::{JobRequest, Priority, Shape},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Where a task of a job stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskStep {
    /// Neither finished nor anywhere.
    Pending,
    /// Admitted to a host's queue.
    Reserved(HostId),
    /// On a host, or told to be.
    Live(HostId),
    /// Its result is known.
    Done,
}

/// Why nothing of a job starts any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// Its user has cancelled it, or a job that it depends on.
    Cancelled,
    /// All its tasks are done.
    Done,
}

/// Hosts that a waiting gang keeps free, until the choice is made anew, and when they are
/// expected to have room.
#[derive(Clone, Debug)]
pub struct GangHosts {
    /// The hosts.
    pub hosts: Vec<HostId>,
    /// When the choice is made anew.
    pub until: Micros,
    /// When all of them are expected to have room.
    pub ready: Micros,
}

/// Whether tasks of a job may start, as far as the jobs that it needs go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Some job that it needs is not done: it holds nothing, books nothing, displaces nobody.
    Waiting,
    /// All jobs that it depends on are done.
    Open,
}

/// How a job stands in its pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DependencyStatus {
    /// Whether its tasks may start.
    pub readiness: Readiness,
    /// Since when it may start; its submission if it never waited.
    pub since: Micros,
    /// By when the jobs after it need it.
    pub due: Option<Micros>,
    /// The most important of them.
    pub priority: Option<Priority>,
}

/// The first order among jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    Production,
    Urgent,
    ByDeadline,
    /// Behind everything else.
    BackingOff,
}

/// Where a job stands in the order of a scheduling cycle; the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    band: Band,
    /// Its deadline in microseconds; the largest number if it has none.
    due: u64,
    priority: Priority,
    submitted: Micros,
}

impl JobRank {
    /// Before all but production.
    pub(crate) fn boost(&mut self) {
        if self.band > Band::Production {
            (self.band, self.due) = (Band::Urgent, 0);
        }
    }

    /// In the first band.
    pub(crate) fn is_production(&self) -> bool {
        self.band == Band::Production
    }
}

/// The state machine of one unfinished job, or of one whose tasks are not gone yet.
#[derive(Debug)]
pub struct Job {
    /// As its user described it.
    pub request: Rc<JobRequest>,
    /// Revision at which its record was created; jobs newer than a takeover have no unconfirmed tasks.
    pub created: Revision,
    /// Its age counts from here: its submission, or when the last job that it needs was done.
    pub submitted: Micros,
    /// Its deadline, by the steady clock.
    pub due: Option<Micros>,
    /// Whether its tasks may start.
    pub readiness: Readiness,
    /// What the jobs after it leave it.
    inherited: (Option<Micros>, Option<Priority>),
    /// Tasks that are done.
    pub done: TaskSet,
    /// Finished, but not yet in the record.
    pub unsaved: BTreeSet<u32>,
    /// Tasks on hosts, or told to be.
    pub live: BTreeMap<u32, HostId>,
    /// Tasks with a reservation in a host's queue.
    pub reserved: BTreeMap<u32, HostId>,
    /// Tasks seen running, for display and for stopping the right one.
    pub running: BTreeSet<u32>,
    /// All its tasks have run at the same time.
    pub ran_whole: bool,
    /// How long its ended tasks ran.
    pub sibling_run_times: SiblingRunTimes,
    /// Below this every task is done, live, reserved or in `returned`.
    cursor: u32,
    returned_to_pending: BTreeSet<u32>,
    /// Set when the record has become final: nothing starts any more.
    pub termination: Option<Termination>,
    /// Whether its failures are its own.
    pub failures: FailureHistory,
    /// What its record says of them.
    pub failed_attempts_saved: u32,
    /// A start was refused: not again before then.
    pub not_before: Micros,
    /// Some task of it has failed: its run times tell nothing.
    pub failed: bool,
    /// Room is being made there, and is waited for until then.
    pub preempting: Vec<(HostId, Micros)>,
    /// Hosts kept free for this waiting gang.
    pub gang_hosts: Option<GangHosts>,
    /// The attempt of a gang under way.
    pub attempt: Option<Attempt>,
    /// How often tasks of it were stopped for others.
    pub preempted: u32,
    /// Its deadline can't be met any more.
    pub missed_deadline: bool,
    /// When a task of it last started.
    pub last_started: Micros,
}

impl Job {
    /// As a record says. `finished`: see [`TaskSet::from_runs`].
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
            unsaved: BTreeSet::new(),
            live: BTreeMap::new(),
            reserved: BTreeMap::new(),
            running: BTreeSet::new(),
            ran_whole: false,
            sibling_run_times: SiblingRunTimes::default(),
            cursor: 0,
            returned_to_pending: BTreeSet::new(),
            termination: None,
            failures: FailureHistory::Clean,
            failed_attempts_saved: 0,
            not_before: Micros::ZERO,
            failed: false,
            preempting: Vec::new(),
            gang_hosts: None,
            attempt: None,
            preempted: 0,
            missed_deadline: false,
            last_started: Micros::ZERO,
        }
    }

    /// The one function that changes how it stands in its pipeline. True if something has
    /// changed.
    pub fn set_dependency_status(&mut self, place: DependencyStatus) -> bool {
        let left = (place.due, place.priority);
        let moved = place.readiness != self.readiness;
        if moved {
            self.readiness = place.readiness;
            self.submitted = place.since;
        }
        let changed = moved || left != self.inherited;
        self.inherited = left;
        changed
    }

    /// Its priority, or that of the most important job that needs it.
    pub fn priority(&self) -> Priority {
        let own = self.request.priority;
        self.inherited.1.map_or(own, |p| p.min(own))
    }

    /// Where task `i` stands.
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

    /// The one function that changes a task's state. Done is final.
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
                self.pass_cursor();
            }
            TaskStep::Live(host) => {
                self.live.insert(i, host);
                self.pass_cursor();
            }
            TaskStep::Done => {
                self.done.insert(i);
                self.unsaved.insert(i);
            }
        }
    }

    /// A task is seen running.
    pub fn mark_running(&mut self, i: u32) {
        self.running.insert(i);
        self.ran_whole |= self.running.len() >= self.request.tasks as usize;
    }

    fn is_taken(&self, i: u32) -> bool {
        self.done.contains(i) || self.live.contains_key(&i) || self.reserved.contains_key(&i)
    }

    fn pass_cursor(&mut self) {
        while self.cursor < self.request.tasks && self.is_taken(self.cursor) {
            self.cursor += 1;
        }
    }

    /// The first task that is neither finished, live nor reserved.
    pub fn next_pending(&mut self) -> Option<u32> {
        if let Some(i) = self.returned_to_pending.first() {
            return Some(*i);
        }
        self.pass_cursor();
        (self.cursor < self.request.tasks).then_some(self.cursor)
    }

    /// How many tasks are neither done, live nor reserved.
    pub fn pending(&self) -> u32 {
        self.request.tasks - self.done.count() - self.live.len() as u32 - self.reserved.len() as u32
    }

    /// How many more tasks may start: a suspect job tries one at a time.
    pub fn startable(&self) -> u32 {
        if !self.failures.is_backing_off() || self.is_gang() {
            self.pending()
        } else {
            self.pending()
                .min(1u32.saturating_sub(self.live.len() as u32))
        }
    }

    /// Nothing of it runs, although nothing has ended it.
    pub fn is_waiting(&self) -> bool {
        self.termination.is_none() && self.live.is_empty() && self.unsaved.is_empty()
    }

    /// Since when nothing of it runs, for one that waits.
    pub fn waiting_since(&self) -> Micros {
        self.submitted.max(self.last_started)
    }

    /// How many of its tasks start at the same time at its beginning.
    pub fn tasks_to_begin(&self) -> u64 {
        if self.is_gang() {
            u64::from(self.request.tasks)
        } else {
            1
        }
    }

    /// Its tasks start and end together.
    pub fn is_gang(&self) -> bool {
        self.request.shape == Shape::Gang
    }
    /// Its tasks run until they are stopped.
    pub fn is_service(&self) -> bool {
        self.request.shape == Shape::Service
    }
    /// It is of the highest priority.
    pub fn is_production(&self) -> bool {
        self.request.priority == Priority::Production
    }

    /// Order of importance: production and urgent work by their bands, the rest by deadline;
    /// without a deadline last, by priority and then age.
    ///
    /// A deadline that can't be met any more (`missed`) is none: in deadline order it would
    /// go first and make those miss that still can be in time.
    pub fn rank(&self) -> JobRank {
        let p = self.priority();
        let band = match p {
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
            priority: p,
            submitted: self.submitted,
        }
    }

    /// Resources of what could be running unseen.
    pub fn unconfirmed_use(&self) -> Resources {
        self.request
            .each
            .times(u64::from(self.request.tasks - self.done.count()) - self.live.len() as u64)
    }

    /// Its tasks can be stopped without losing their work.
    pub fn checkpoints(&self) -> bool {
        self.request.checkpoint_every > Micros::ZERO
    }
}
