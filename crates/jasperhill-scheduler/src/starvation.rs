//! Minimum shares: no class of jobs, no size of jobs within a class and no team starves for as long
//! as others bring more important work, or more of it. Owns what has begun lately, by group; every
//! change goes through [`StarvationGuard::apply`].
//!
//! Which of two classes comes first is up to priorities and deadlines as long as both get on. A
//! group of which less than the minimum share has begun is *starved*: of its jobs that have waited
//! for too long the oldest few are boosted, before all work but production, until their first task
//! starts. Nothing is stopped for them.
//!
//! Sizes count by themselves because a class whose small jobs start one after another has its share,
//! while its large ones, which are harder to place, may wait behind them without end.

use jasperhill_wire::{JobId, Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// What has begun counts less and less.
const MEMORY: Micros = Micros::from_secs(300);
/// Fewer jobs than this that wait for too long don't put anybody behind.
const FEW: usize = 2;
/// How long a job must have waited, at the least, and so many times what its objective says.
const LONG_WAIT: Micros = Micros::from_secs(45);
const LONG_WAIT_TIMES: f64 = 3.0;
/// Turns of one class or team at a time: one, and one more for each so many that wait. Guards
/// against a gang that gathers its machines, or can't, and holds up all behind it.
const WAITING_PER_BOOST: usize = 4;
const BOOSTED_MAX: usize = 4;
/// A job that is alone of its size has waited for too long after so many times as long: a few in
/// its class may still be what others of the class are.
const LONG_WAIT_TIMES_ALONE: f64 = 2.0;
/// How often who is behind is found out.
const EVALUATE_EVERY: Micros = Micros::from_secs(1);
/// Groups that are remembered.
const GROUPS_MAX: usize = 1_000;

/// Whose floor it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All jobs of a class.
    Class(Name),
    /// All jobs of a team.
    Team(Name),
    /// The jobs of a class that have about as many tasks.
    Size(Name, SizeBucket),
}

/// Jobs from so many tasks up to twice as many, exclusively: the binary logarithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SizeBucket(u32);

impl SizeBucket {
    /// The one of a job with so many tasks.
    pub fn of(tasks: u32) -> Self {
        Self(tasks.max(1).ilog2())
    }
}

impl Group {
    /// Those that a job belongs to.
    pub fn all_of(class: &Name, team: &Name, tasks: u32) -> [Self; 3] {
        [
            Self::Class(class.clone()),
            Self::Size(class.clone(), SizeBucket::of(tasks)),
            Self::Team(team.clone()),
        ]
    }
}

/// A job that could start, and has nothing running.
#[derive(Clone, Debug)]
pub struct WaitingJob<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Those of its groups that it keeps waiting for others.
    pub groups: Vec<Group>,
    /// Since when it has nothing running.
    pub since: Micros,
    /// Within what time its objective wants it begun.
    pub within: Micros,
}

impl WaitingJob<'_> {
    fn long_wait(&self) -> Micros {
        LONG_WAIT.max(self.within.scale(LONG_WAIT_TIMES))
    }
    fn is_long(&self, now: Micros) -> bool {
        now - self.since > self.long_wait()
    }
    fn is_long_alone(&self, now: Micros) -> bool {
        now - self.since > self.long_wait().scale(LONG_WAIT_TIMES_ALONE)
    }
}

/// What changes it.
#[derive(Debug)]
pub enum Input<'a> {
    /// The first task of a job starts, after it had waited.
    Begun {
        /// The job.
        id: &'a JobId,
        /// Its class.
        class: &'a Name,
        /// Its team.
        team: &'a Name,
        /// How many tasks it has.
        tasks: u32,
    },
    /// All that waits now, for a look around.
    Evaluate(&'a [WaitingJob<'a>]),
}

/// Of one class or team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedShare {
    /// The part of its jobs that has begun, of those that have begun lately or wait for too long.
    pub share: f64,
    /// Those that wait for too long.
    pub waiting: usize,
    /// They are enough, or have waited for long enough, to starve.
    counts: bool,
}

impl ServedShare {
    fn is_below(&self, least: f64) -> bool {
        self.counts && self.share < least
    }
}

/// What share of each class's and team's jobs has begun, and which jobs go first for it.
#[derive(Clone, Debug, Default)]
pub struct StarvationGuard {
    /// How many jobs have begun lately, and as of when.
    begun: BTreeMap<Group, (f64, Micros)>,
    standing: BTreeMap<Group, ServedShare>,
    boosted: BTreeSet<JobId>,
    /// When it last looked around.
    looked: Option<Micros>,
}

impl StarvationGuard {
    /// The one function that changes it. `least`: the floor; 0: none.
    pub fn apply(&mut self, input: Input<'_>, least: f64, now: Micros) {
        match input {
            Input::Begun {
                id,
                class,
                team,
                tasks,
            } => {
                self.boosted.remove(id);
                for group in Group::all_of(class, team, tasks) {
                    self.count_begun(group, now);
                }
            }
            Input::Evaluate(waiting) => self.look(waiting, least, now),
        }
    }

    fn count_begun(&mut self, group: Group, now: Micros) {
        if self.begun.len() >= GROUPS_MAX && !self.begun.contains_key(&group) {
            self.begun.retain(|_, (_, at)| now - *at < MEMORY);
            if self.begun.len() >= GROUPS_MAX {
                return;
            }
        }
        let known = self.begun.entry(group).or_insert((0.0, now));
        *known = (faded(*known, now) + 1.0, now);
    }

    fn look(&mut self, waiting: &[WaitingJob<'_>], least: f64, now: Micros) {
        self.looked = Some(now);
        self.standing.clear();
        self.boosted.clear();
        let mut long: BTreeMap<Group, Vec<&WaitingJob<'_>>> = BTreeMap::new();
        for job in waiting.iter().filter(|w| w.is_long(now)) {
            for group in &job.groups {
                long.entry(group.clone()).or_default().push(job);
            }
        }
        for (group, jobs) in &long {
            let begun = self.begun.get(group).map_or(0.0, |b| faded(*b, now));
            let all = begun + jobs.len() as f64;
            let share = begun / all.max(1.0);
            let waiting = jobs.len();
            let is_size = matches!(group, Group::Size(..));
            let counts = waiting >= FEW || is_size && jobs.iter().any(|j| j.is_long_alone(now));
            let served = ServedShare {
                share,
                waiting,
                counts,
            };
            self.standing.insert(group.clone(), served);
            if served.is_below(least) {
                let mut oldest: Vec<_> = jobs.iter().map(|w| (w.since, w.id)).collect();
                oldest.sort();
                let turns = (1 + waiting / WAITING_PER_BOOST).min(BOOSTED_MAX);
                self.boosted
                    .extend(oldest.into_iter().take(turns).map(|(_, id)| id.clone()));
            }
        }
    }

    /// It goes before all work but production.
    pub fn is_boosted(&self, id: &JobId) -> bool {
        self.boosted.contains(id)
    }

    /// Time to look around again. Not with every cycle: what waits may be thousands of jobs.
    pub fn is_due(&self, now: Micros) -> bool {
        self.looked.is_none_or(|t| now - t >= EVALUATE_EVERY)
    }

    /// Those that get turns.
    pub fn starved(&self, least: f64) -> BTreeSet<Group> {
        let groups = self.standing.iter().filter(|(_, s)| s.is_below(least));
        groups.map(|(g, _)| g.clone()).collect()
    }

    /// Those of whose jobs some wait for too long.
    pub fn shares(&self) -> &BTreeMap<Group, ServedShare> {
        &self.standing
    }
}

fn faded((count, at): (f64, Micros), now: Micros) -> f64 {
    count * (-(now - at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
}

#[cfg(test)]
mod tests;
