//! Floors: no class of jobs and no team falls behind for as long as others bring more important
//! work, or more of it. Owns what has begun lately, by class and team; every change goes through
//! [`StarvationGuard::apply`].
//!
//! Whoever of two classes comes first is the priorities' and deadlines' affair as long as both get
//! on. A class or team of which less than the floor has begun is *behind*: of its jobs that have
//! waited for too long the oldest few get a turn, which is before all work but production. With its
//! first start the turn is over. Nothing is stopped for it.

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
/// How often who is behind is found out.
const EVALUATE_EVERY: Micros = Micros::from_secs(1);
/// Classes and teams that are remembered.
const NAMES_MAX: usize = 1_000;

/// Whose floor it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All jobs of a class.
    Class(Name),
    /// All jobs of a team.
    Team(Name),
}

/// A job that could start, and has nothing running.
#[derive(Clone, Debug)]
pub struct WaitingJob<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Its class.
    pub class: &'a Name,
    /// Its team.
    pub team: &'a Name,
    /// Since when it has nothing running.
    pub since: Micros,
    /// Within what time its objective wants it begun.
    pub within: Micros,
}

impl WaitingJob<'_> {
    fn is_long(&self, now: Micros) -> bool {
        now - self.since > LONG_WAIT.max(self.within.scale(LONG_WAIT_TIMES))
    }
    fn groups(&self) -> [Group; 2] {
        [
            Group::Class(self.class.clone()),
            Group::Team(self.team.clone()),
        ]
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
            Input::Begun { id, class, team } => {
                self.boosted.remove(id);
                for group in [Group::Class(class.clone()), Group::Team(team.clone())] {
                    if self.begun.len() >= NAMES_MAX && !self.begun.contains_key(&group) {
                        self.begun.retain(|_, (_, at)| now - *at < MEMORY);
                    }
                    let known = self.begun.entry(group).or_insert((0.0, now));
                    *known = (faded(*known, now) + 1.0, now);
                }
            }
            Input::Evaluate(waiting) => self.look(waiting, least, now),
        }
    }

    fn look(&mut self, waiting: &[WaitingJob<'_>], least: f64, now: Micros) {
        self.looked = Some(now);
        self.standing.clear();
        self.boosted.clear();
        let mut long: BTreeMap<Group, Vec<&WaitingJob<'_>>> = BTreeMap::new();
        for job in waiting.iter().filter(|w| w.is_long(now)) {
            for group in job.groups() {
                long.entry(group).or_default().push(job);
            }
        }
        for (group, jobs) in &long {
            let begun = self.begun.get(group).map_or(0.0, |b| faded(*b, now));
            let all = begun + jobs.len() as f64;
            let share = begun / all.max(1.0);
            let waiting = jobs.len();
            self.standing
                .insert(group.clone(), ServedShare { share, waiting });
            if share < least && waiting >= FEW {
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
        let behind = |s: &ServedShare| s.share < least && s.waiting >= FEW;
        let groups = self.standing.iter().filter(|(_, s)| behind(s));
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
