//! What production has lost and may be losing. Owns the count of it, from the loss until every
//! replica runs again, and the room that is kept for replicas on hosts that have gone silent:
//! these may not start elsewhere before the lease has lapsed, and what starts on the free room
//! meanwhile would stand in their way.

use crate::{
    cycle::Pass,
    host::{FencingState, Host},
    job::{Job, Readiness},
    partition::{Event, Partition, UnconfirmedTasks},
};
use jasperhill_wire::{HostId, JobId, Micros, Resources, TaskId, user::Priority};
use std::collections::BTreeSet;

/// How long the choice of rooms that are kept stands before it is made anew.
const KEPT_FOR: Micros = Micros::from_secs(1);
/// The least that a replica may wait: once it has run, or is overdue, every second counts.
const LEAST_PATIENCE: Micros = Micros::from_secs(1);
/// After a takeover, a host that has not answered for so long.
const UNANSWERED: Micros = Micros::from_secs(4);
/// A job that was there before a takeover for so long counts as one that ran.
const SETTLED: Micros = Micros::from_secs(60);
/// Replicas that were overtaken and are remembered.
const OVERTAKEN_MAX: usize = 10_000;

/// How production stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Recovery {
    /// Every replica that ran runs.
    #[default]
    Whole,
    /// Some replicas are lost, since a moment. `overtaken`: replicas that found no room while
    /// lesser work that started meanwhile was where they could have been.
    Short {
        since: Micros,
        lost: u32,
        overtaken: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// What runs is not known.
    TakenOver,
    /// A replica is gone that nobody stopped.
    Lost,
    /// A replica found no room because of lesser work that started meanwhile.
    Overtaken,
    /// So many replicas that ran are not running.
    Missing(u32),
}

/// Production is whole again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovered {
    pub after: Micros,
    pub lost: u32,
    pub overtaken: u32,
}

impl Recovery {
    /// The one function that changes it.
    pub fn apply(&mut self, input: Input, now: Micros) -> Option<Recovered> {
        match (&mut *self, input) {
            (Self::Whole, Input::TakenOver | Input::Lost) => {
                *self = Self::Short {
                    since: now,
                    lost: u32::from(input == Input::Lost),
                    overtaken: 0,
                };
            }
            (Self::Short { lost, .. }, Input::Lost) => *lost = lost.saturating_add(1),
            (Self::Short { overtaken, .. }, Input::Overtaken) => {
                *overtaken = overtaken.saturating_add(1);
            }
            (
                Self::Short {
                    since,
                    lost,
                    overtaken,
                },
                Input::Missing(0),
            ) => {
                let recovered = Recovered {
                    after: now - *since,
                    lost: *lost,
                    overtaken: *overtaken,
                };
                *self = Self::Whole;
                return Some(recovered);
            }
            (Self::Short { .. }, Input::TakenOver | Input::Missing(_))
            | (Self::Whole, Input::Overtaken | Input::Missing(_)) => {}
        }
        None
    }

    pub fn is_short(&self) -> bool {
        matches!(self, Self::Short { .. })
    }
}

/// Room on a host that is kept for a replica that may be lost.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    host: HostId,
    each: Resources,
}

/// What is kept, and what waits.
#[derive(Debug, Default)]
pub(crate) struct Returning {
    kept: Vec<Kept>,
    until: Micros,
    /// Replicas that have found no room because of lesser work started since.
    overtaken: BTreeSet<TaskId>,
}

impl Partition {
    /// A report is overdue, and it may be lost: what it runs can't start elsewhere yet. Keeping
    /// some room costs little, so this is sooner than [`crate::SchedulerConfig::silence`].
    pub(crate) fn is_silent(&self, host: &Host, now: Micros) -> bool {
        let heard = now - host.last_heard;
        match host.fencing {
            FencingState::Lapsed => false,
            // Asked directly since the takeover, and asked again.
            FencingState::Unfenced { .. } => heard >= UNANSWERED.min(self.config.silence()),
            FencingState::Fenced => heard >= self.config.report.scale(1.5) + Micros::from_secs(1),
        }
    }

    /// How long a task of this job may wait for an image before lesser work makes way for it
    /// where it could start at once: what is left of the time that the objectives give.
    pub(crate) fn patience_of(&self, job: &Job, now: Micros) -> Micros {
        let patience = self.config.patience(&job.request.class);
        if job.ran_whole {
            return LEAST_PATIENCE.min(patience);
        }
        ((job.submitted + patience) - now).max(LEAST_PATIENCE.min(patience))
    }

    fn counts_as_run(&self, job: &Job, now: Micros) -> bool {
        job.ran_whole || (job.created <= self.since && now - job.submitted > SETTLED)
    }

    /// Replicas of a production service that is to run.
    fn is_returning_kind(job: &Job) -> bool {
        job.is_service()
            && job.priority() == Priority::Production
            && job.termination.is_none()
            && job.gate == Readiness::Open
            && !job.failures.is_suspect()
    }

    /// Looks after the losses: every pass while there are any, and costs nothing otherwise.
    pub(crate) fn look_after_losses(&mut self, now: Micros) {
        if !self.recovery.is_short() {
            return;
        }
        let mut missing = 0;
        for job in self.jobs.values().filter(|j| Self::is_returning_kind(j)) {
            if self.counts_as_run(job, now) {
                missing += job.request.tasks - (job.running.len() as u32).min(job.request.tasks);
            }
        }
        if let Some(recovered) = self.recovery.apply(Input::Missing(missing), now) {
            self.returning.overtaken.clear();
            self.events.push(Event::Whole(recovered));
        }
    }

    /// A replica finds no room: counted if lesser work that was started since the loss is where
    /// it could be.
    pub(crate) fn note_no_room(&mut self, pass: &Pass, id: &JobId, i: u32) {
        let Recovery::Short { since, .. } = self.recovery else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        if !self.counts_as_run(job, pass.now) {
            return;
        }
        let task = TaskId::new(id, i);
        let lesser = |t: &TaskId| {
            let other = self.jobs.get(&t.job);
            other.is_some_and(|o| o.priority() > Priority::Production)
        };
        let taken = self.with_slots(pass).any(|(_, slot, host)| {
            slot.usable
                && Self::suits(job, host)
                && host
                    .tasks
                    .iter()
                    .any(|(t, on)| on.is_on() && on.ordered >= since && lesser(t))
        });
        if taken && self.returning.overtaken.len() < OVERTAKEN_MAX {
            let news = self.returning.overtaken.insert(task);
            if news {
                self.recovery.apply(Input::Overtaken, pass.now);
            }
        }
    }

    /// How many replicas of a job may be lost without its being certain.
    fn at_risk(&self, job: &Job, ghosts: &UnconfirmedTasks, now: Micros) -> u32 {
        let silent = |id: &HostId| {
            let host = self.hosts.get(id);
            host.is_none_or(|h| self.is_silent(h, now))
        };
        let on_silent = job.live.values().filter(|h| silent(h)).count() as u32;
        // After a takeover: what no host that answers runs is on one that does not.
        let unseen = if self.is_haunted(job, ghosts) {
            job.pending()
        } else {
            0
        };
        on_silent + unseen
    }

    /// Keeps room for replicas that may be lost, for the rest of the pass: production is
    /// served already, and what follows is lesser work.
    pub(crate) fn keep_room_for_losses(&mut self, pass: &mut Pass) {
        let now = pass.now;
        if now >= self.returning.until {
            self.returning.until = now + KEPT_FOR;
            self.returning.kept.clear();
            let may_return =
                |h: &Host| self.is_silent(h, now) && (h.tasks_on() > 0 || h.has_ghosts());
            if self.hosts.values().any(may_return) {
                self.returning.kept = self.choose_rooms(pass);
            }
        } else {
            let kept = std::mem::take(&mut self.returning.kept);
            for k in &kept {
                if let Some(i) = pass.slot(&k.host)
                    && pass.slots[i].usable
                    && k.each.fits(&pass.slots[i].room)
                {
                    pass.take(i, &k.each);
                }
            }
            self.returning.kept = kept;
        }
    }

    /// The rooms where the replicas at risk would start the soonest; they are taken.
    fn choose_rooms(&self, pass: &mut Pass) -> Vec<Kept> {
        let mut kept = Vec::new();
        for job in self.jobs.values().filter(|j| Self::is_returning_kind(j)) {
            let many = self.at_risk(job, &pass.ghosts, pass.now);
            if many == 0 || pass.is_hopeless(&job.request.each) {
                continue;
            }
            let r = job.request.clone();
            let safe = job.live.values().filter(|id| {
                let host = self.hosts.get(*id);
                host.is_some_and(|h| !self.is_silent(h, pass.now))
            });
            let mut zones = crate::placement::ZoneRooms::among(&r, safe, |h| self.zone_of(h));
            let mut candidates = self.candidates(pass, job, false);
            // Any task of it: a replica that is there already does not come twice.
            let none = r.tasks;
            for _ in 0..many {
                let best = self.best(pass, &mut candidates, &zones, (&r.id, &r.each), none);
                let Some(i) = best else { break };
                let Some(host) = pass.slots.get(i).map(|s| s.id.clone()) else {
                    break;
                };
                pass.take(i, &r.each);
                if let Some(zone) = self.zone_of(&host) {
                    zones.add(&zone);
                }
                kept.push(Kept { host, each: r.each });
                self.judge(pass, &mut candidates, i, &r, false);
            }
        }
        kept
    }

    /// A replica that ran is gone without having been told to stop.
    pub(crate) fn note_lost(&mut self, task: &TaskId, now: Micros) {
        let ran = |j: &Job| {
            Self::is_returning_kind(j)
                && self.counts_as_run(j, now)
                && j.running.contains(&task.index)
        };
        if self.jobs.get(&task.job).is_some_and(ran) {
            self.recovery.apply(Input::Lost, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_loss_counts_until_nothing_is_missing() {
        let at = Micros::from_secs;
        let mut r = Recovery::default();
        assert_eq!(r.apply(Input::Missing(0), at(1)), None);
        assert_eq!(r.apply(Input::Overtaken, at(1)), None);
        r.apply(Input::Lost, at(2));
        r.apply(Input::Lost, at(3));
        r.apply(Input::Overtaken, at(4));
        assert_eq!(r.apply(Input::Missing(1), at(5)), None);
        let whole = r.apply(Input::Missing(0), at(9));
        let expected = Recovered {
            after: at(7),
            lost: 2,
            overtaken: 1,
        };
        assert_eq!(whole, Some(expected));
        assert_eq!(r, Recovery::Whole);
    }
}
