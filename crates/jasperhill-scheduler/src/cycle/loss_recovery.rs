//! What production has lost and may be losing. Owns the count of it, from the loss until every
//! replica runs again, and the room that is kept for replicas on hosts that have gone silent:
//! these may not start elsewhere before the lease has lapsed, and what starts on the free room
//! meanwhile would stand in their way.

use crate::{
    cycle::context::Cycle,
    host::{FencingState, Host},
    job::{Job, Readiness},
    partition::{Event, Partition, UnconfirmedTasks},
    recovery::{Input, Recovery, ReservedCapacity},
};
use jasperhill_wire::{HostId, JobId, Micros, TaskId, user::Priority};

/// How long the choice of rooms that are kept stands before it is made anew.
const KEPT_FOR: Micros = Micros::from_secs(1);
/// The least that a replica may wait: once it has run, or is overdue, every second counts.
const MIN_WAIT: Micros = Micros::from_secs(1);
/// After a takeover, a host that has not answered for so long.
const UNANSWERED: Micros = Micros::from_secs(4);
/// A job that was there before a takeover for so long counts as one that ran.
const SETTLED: Micros = Micros::from_secs(60);
/// Replicas that were overtaken and are remembered.
const OVERTAKEN_MAX: usize = 10_000;

impl Partition {
    /// A heartbeat is overdue, and it may be lost: what it runs can't start elsewhere yet. Keeping
    /// some room costs little, so this is sooner than [`crate::SchedulerConfig::silence_limit`].
    pub(crate) fn is_silent(&self, host: &Host, now: Micros) -> bool {
        let heard = now - host.last_heard;
        match host.fencing {
            FencingState::Lapsed => false,
            // Asked directly since the takeover, and asked again.
            FencingState::Unfenced { .. } => heard >= UNANSWERED.min(self.config.silence_limit()),
            FencingState::Fenced => heard >= self.config.report.scale(1.5) + Micros::from_secs(1),
        }
    }

    /// How long a task of this job may wait for an image before lesser work is preempted for it
    /// where it could start at once: what is left of the time that the objectives give.
    pub(crate) fn longest_wait(&self, job: &Job, now: Micros) -> Micros {
        let patience = self.config.longest_start_delay(&job.request.class);
        if job.ran_whole {
            return MIN_WAIT.min(patience);
        }
        ((job.submitted + patience) - now).max(MIN_WAIT.min(patience))
    }

    fn has_run(&self, job: &Job, now: Micros) -> bool {
        job.ran_whole || (job.created <= self.since && now - job.submitted > SETTLED)
    }

    /// Replicas of a production service that is to run.
    fn is_recoverable(job: &Job) -> bool {
        job.is_service()
            && job.priority() == Priority::Production
            && job.termination.is_none()
            && job.readiness == Readiness::Open
            && !job.failures.is_backing_off()
    }

    /// Looks after the losses: every cycle while there are any, and costs nothing otherwise.
    pub(crate) fn update_recovery(&mut self, now: Micros) {
        if !self.recovery.is_incomplete() {
            return;
        }
        let mut missing = 0;
        for job in self.jobs.values().filter(|j| Self::is_recoverable(j)) {
            if self.has_run(job, now) {
                missing += job.request.tasks - (job.running.len() as u32).min(job.request.tasks);
            }
        }
        if let Some(recovered) = self.recovery.apply(Input::Missing(missing), now) {
            self.replica_recovery.overtaken.clear();
            self.events.push(Event::ProductionRecovered(recovered));
        }
    }

    /// A replica finds no room: counted if lesser work that was started since the loss is where
    /// it could be.
    pub(crate) fn record_blocked_replica(&mut self, cycle: &Cycle, id: &JobId, i: u32) {
        let Recovery::Incomplete { since, .. } = self.recovery else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        if !self.has_run(job, cycle.now) {
            return;
        }
        let task = TaskId::new(id, i);
        let lesser = |t: &TaskId| {
            let other = self.jobs.get(&t.job);
            other.is_some_and(|o| o.priority() > Priority::Production)
        };
        let taken = self.with_slots(cycle).any(|(_, slot, host)| {
            slot.usable
                && Self::is_feasible(job, host)
                && host
                    .tasks
                    .iter()
                    .any(|(t, on)| on.holds_resources() && on.ordered >= since && lesser(t))
        });
        if taken && self.replica_recovery.overtaken.len() < OVERTAKEN_MAX {
            let news = self.replica_recovery.overtaken.insert(task);
            if news {
                self.recovery.apply(Input::Overtaken, cycle.now);
            }
        }
    }

    /// How many replicas of a job may be lost without its being certain.
    fn at_risk(&self, job: &Job, unconfirmed: &UnconfirmedTasks, now: Micros) -> u32 {
        let silent = |id: &HostId| {
            let host = self.hosts.get(id);
            host.is_none_or(|h| self.is_silent(h, now))
        };
        let on_silent = job.live.values().filter(|h| silent(h)).count() as u32;
        // After a takeover: what no host that answers runs is on one that does not.
        let unseen = if self.may_run_unconfirmed(job, unconfirmed) {
            job.pending()
        } else {
            0
        };
        on_silent + unseen
    }

    /// Keeps room for replicas that may be lost, for the rest of the cycle: production is
    /// served already, and what follows is lesser work.
    pub(crate) fn reserve_capacity_for_losses(&mut self, cycle: &mut Cycle) {
        let now = cycle.now;
        if now >= self.replica_recovery.until {
            self.replica_recovery.until = now + KEPT_FOR;
            self.replica_recovery.reserved.clear();
            let may_return = |h: &Host| {
                self.is_silent(h, now) && (h.tasks_on() > 0 || h.has_unconfirmed_tasks())
            };
            if self.hosts.values().any(may_return) {
                self.replica_recovery.reserved = self.choose_capacity(cycle);
            }
        } else {
            let kept = std::mem::take(&mut self.replica_recovery.reserved);
            for k in &kept {
                if let Some(i) = cycle.slot(&k.host)
                    && cycle.slots[i].usable
                    && k.each.fits(&cycle.slots[i].free)
                {
                    cycle.take(i, &k.each);
                }
            }
            self.replica_recovery.reserved = kept;
        }
    }

    /// The rooms where the replicas at risk would start the soonest; they are taken.
    fn choose_capacity(&self, cycle: &mut Cycle) -> Vec<ReservedCapacity> {
        let mut kept = Vec::new();
        for job in self.jobs.values().filter(|j| Self::is_recoverable(j)) {
            let many = self.at_risk(job, &cycle.unconfirmed, cycle.now);
            if many == 0 || cycle.is_infeasible(&job.request.each) {
                continue;
            }
            let r = job.request.clone();
            let safe = job.live.values().filter(|id| {
                let host = self.hosts.get(*id);
                host.is_some_and(|h| !self.is_silent(h, cycle.now))
            });
            let mut zones =
                crate::cycle::placement::ZoneCapacity::among(&r, safe, |h| self.zone_of(h));
            let mut candidates = self.candidates(cycle, job, false);
            // Any task of it: a replica that is there already does not come twice.
            let none = r.tasks;
            for _ in 0..many {
                let best = self.best(cycle, &mut candidates, &zones, (&r.id, &r.each), none);
                let Some(i) = best else { break };
                let Some(host) = cycle.slots.get(i).map(|s| s.id.clone()) else {
                    break;
                };
                cycle.take(i, &r.each);
                if let Some(zone) = self.zone_of(&host) {
                    zones.add(&zone);
                }
                kept.push(ReservedCapacity { host, each: r.each });
                self.rescore(cycle, &mut candidates, i, &r, false);
            }
        }
        kept
    }

    /// A replica that ran is gone without having been told to stop.
    pub(crate) fn record_lost_replica(&mut self, task: &TaskId, now: Micros) {
        let ran = |j: &Job| {
            Self::is_recoverable(j) && self.has_run(j, now) && j.running.contains(&task.index)
        };
        if self.jobs.get(&task.job).is_some_and(ran) {
            self.recovery.apply(Input::Lost, now);
        }
    }
}
