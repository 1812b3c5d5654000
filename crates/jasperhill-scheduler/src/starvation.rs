//! Starvation prevention by minimum shares of started jobs.
//!
//! No class of jobs, no job size within a class and no team may starve while others submit more
//! important work, or more of it. [`StarvationGuard`] counts the recently started jobs by
//! [`Group`]; every change goes through [`StarvationGuard::apply`].
//!
//! Priorities and deadlines order the jobs as long as every group makes progress. A group with less
//! than the minimum share of its jobs started is starved: among its jobs that have waited for too
//! long, the oldest few are boosted ahead of all work except production until their first task
//! starts. No running task is stopped for them.
//!
//! Job sizes are counted separately: a class whose small jobs start one after another reaches its
//! share, while its large jobs, which are harder to place, could wait behind them without end.

use jasperhill_wire::{JobId, Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of the exponential decay of the number of started jobs.
const DECAY_TIME: Micros = Micros::from_secs(300);
/// Minimum number of jobs waiting for too long for a group to count as starved.
const MIN_LONG_WAITING: usize = 2;
/// Minimum time after which a job has waited for too long.
const MIN_LONG_WAIT: Micros = Micros::from_secs(45);
/// Multiple of a class's start objective after which a job has waited for too long.
const LONG_WAIT_FACTOR: f64 = 3.0;
/// Number of waiting jobs per additional boosted job of a group, beyond the first. With one boosted
/// job, a gang that is collecting its machines, or cannot get them, would block all jobs behind it.
const WAITING_PER_EXTRA_BOOST: usize = 4;
/// Maximum number of boosted jobs per group.
const MAX_BOOSTED: usize = 4;
/// Multiple of the long wait after which a single job makes its size group count as starved. One
/// job is weak evidence, because its wait may be no different from that of the rest of the class.
const SINGLE_JOB_WAIT_FACTOR: f64 = 2.0;
/// Interval between two evaluations of the groups.
const EVALUATION_INTERVAL: Micros = Micros::from_secs(1);
/// Maximum number of groups for which started jobs are counted.
const MAX_GROUPS: usize = 1_000;

/// Group of jobs that is guaranteed a minimum share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All jobs of a class.
    Class(Name),
    /// All jobs of a team.
    Team(Name),
    /// Jobs of a class with a similar number of tasks.
    Size(Name, SizeBucket),
}

/// Range of task counts from a power of two up to, but excluding, the next one; holds the binary
/// logarithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeBucket(u32);

impl SizeBucket {
    /// Returns the bucket of a job with this number of tasks.
    pub fn of(tasks: u32) -> Self {
        Self(tasks.max(1).ilog2())
    }
}

impl Group {
    /// Returns all groups that a job belongs to.
    pub fn all_of(class: &Name, team: &Name, tasks: u32) -> [Self; 3] {
        [
            Self::Class(class.clone()),
            Self::Size(class.clone(), SizeBucket::of(tasks)),
            Self::Team(team.clone()),
        ]
    }
}

/// A job that may start and has no running task.
#[derive(Clone, Debug)]
pub struct WaitingJob<'a> {
    /// Id of the waiting job.
    pub id: &'a JobId,
    /// Groups of the job in which its wait counts as starvation.
    pub groups: Vec<Group>,
    /// Time since which the job has had no running task.
    pub since: Micros,
    /// Start delay that the objective of its class allows.
    pub within: Micros,
}

impl WaitingJob<'_> {
    /// Returns the time after which the job has waited for too long.
    fn long_wait(&self) -> Micros {
        MIN_LONG_WAIT.max(self.within.scale(LONG_WAIT_FACTOR))
    }
    /// Returns whether the job has waited for too long.
    fn has_waited_too_long(&self, now: Micros) -> bool {
        now - self.since > self.long_wait()
    }
    /// Returns whether the job has waited for so long that it alone makes its size group starved.
    fn exceeds_single_job_wait(&self, now: Micros) -> bool {
        now - self.since > self.long_wait().scale(SINGLE_JOB_WAIT_FACTOR)
    }
}

/// Event that changes the starvation state.
#[derive(Debug)]
pub enum Input<'a> {
    /// The first task of a waiting job starts.
    JobStarted {
        /// Id of the job.
        id: &'a JobId,
        /// Class of the job.
        class: &'a Name,
        /// Team of the job.
        team: &'a Name,
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// Request to evaluate all groups, with all jobs that are waiting now.
    Evaluate(&'a [WaitingJob<'a>]),
}

/// Share of started jobs of one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupShare {
    /// Number of recently started jobs divided by the number of recently started jobs and of jobs
    /// that have waited for too long.
    pub share: f64,
    /// Number of jobs that have waited for too long.
    pub waiting: usize,
    /// Whether the waiting jobs are enough, or one has waited for long enough, for the group to
    /// count as starved.
    is_significant: bool,
}

impl GroupShare {
    /// Returns whether the group has enough waiting jobs and a share below `min_share`.
    fn is_starved(&self, min_share: f64) -> bool {
        self.is_significant && self.share < min_share
    }
}

/// Shares of started jobs by group, and the jobs that are boosted because their group is starved.
#[derive(Clone, Debug, Default)]
pub struct StarvationGuard {
    /// Decayed number of started jobs by group, and the time up to which it has been decayed.
    started: BTreeMap<Group, (f64, Micros)>,
    /// Shares found in the last evaluation, for groups with jobs that have waited for too long.
    group_shares: BTreeMap<Group, GroupShare>,
    /// Jobs that are scheduled ahead of all work except production.
    boosted: BTreeSet<JobId>,
    /// Time of the last evaluation; `None` before the first.
    last_evaluated: Option<Micros>,
}

impl StarvationGuard {
    /// Applies an event; nothing else changes the state. `min_share` is the minimum share; with 0
    /// no group is starved.
    pub fn apply(&mut self, input: Input<'_>, min_share: f64, now: Micros) {
        match input {
            Input::JobStarted {
                id,
                class,
                team,
                tasks,
            } => {
                self.boosted.remove(id);
                for group in Group::all_of(class, team, tasks) {
                    self.count_started(group, now);
                }
            }
            Input::Evaluate(waiting) => self.evaluate(waiting, min_share, now),
        }
    }

    /// Counts one started job of a group.
    fn count_started(&mut self, group: Group, now: Micros) {
        if self.started.len() >= MAX_GROUPS && !self.started.contains_key(&group) {
            self.started.retain(|_, (_, at)| now - *at < DECAY_TIME);
            if self.started.len() >= MAX_GROUPS {
                return;
            }
        }
        let entry = self.started.entry(group).or_insert((0.0, now));
        *entry = (decayed(*entry, now) + 1.0, now);
    }

    /// Recomputes the shares and the boosted jobs.
    fn evaluate(&mut self, waiting: &[WaitingJob<'_>], min_share: f64, now: Micros) {
        self.last_evaluated = Some(now);
        self.group_shares.clear();
        self.boosted.clear();
        let mut long_waiting: BTreeMap<Group, Vec<&WaitingJob<'_>>> = BTreeMap::new();
        for job in waiting.iter().filter(|w| w.has_waited_too_long(now)) {
            for group in &job.groups {
                long_waiting.entry(group.clone()).or_default().push(job);
            }
        }
        for (group, jobs) in &long_waiting {
            let started_count = self.started.get(group).map_or(0.0, |b| decayed(*b, now));
            let total = started_count + jobs.len() as f64;
            let share = started_count / total.max(1.0);
            let waiting = jobs.len();
            let is_size = matches!(group, Group::Size(..));
            let is_significant = waiting >= MIN_LONG_WAITING
                || is_size && jobs.iter().any(|j| j.exceeds_single_job_wait(now));
            let group_share = GroupShare {
                share,
                waiting,
                is_significant,
            };
            self.group_shares.insert(group.clone(), group_share);
            if group_share.is_starved(min_share) {
                let mut oldest: Vec<_> = jobs.iter().map(|w| (w.since, w.id)).collect();
                oldest.sort();
                let boost_count = (1 + waiting / WAITING_PER_EXTRA_BOOST).min(MAX_BOOSTED);
                self.boosted.extend(
                    oldest
                        .into_iter()
                        .take(boost_count)
                        .map(|(_, id)| id.clone()),
                );
            }
        }
    }

    /// Returns whether a job goes ahead of all work except production.
    pub fn is_boosted(&self, id: &JobId) -> bool {
        self.boosted.contains(id)
    }

    /// Returns whether the groups should be evaluated. This is not done in every cycle because
    /// thousands of jobs may be waiting.
    pub fn is_due(&self, now: Micros) -> bool {
        self.last_evaluated
            .is_none_or(|t| now - t >= EVALUATION_INTERVAL)
    }

    /// Returns the starved groups, whose longest-waiting jobs are boosted.
    pub fn starved(&self, min_share: f64) -> BTreeSet<Group> {
        let groups = self
            .group_shares
            .iter()
            .filter(|(_, s)| s.is_starved(min_share));
        groups.map(|(g, _)| g.clone()).collect()
    }

    /// Returns the shares of the groups with jobs that have waited for too long.
    pub fn shares(&self) -> &BTreeMap<Group, GroupShare> {
        &self.group_shares
    }
}

/// Returns a number of started jobs, decayed from the time `at` to `now`.
fn decayed((count, at): (f64, Micros), now: Micros) -> f64 {
    count * (-(now - at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

#[cfg(test)]
mod tests;
