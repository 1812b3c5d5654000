//! Recovery of production replicas after host losses. Tracks the number of lost replicas, from the
//! first loss until every replica runs again, and reserves capacity for replicas on silent hosts. A
//! replica on a silent host may not start elsewhere before the host's lease has lapsed; without the
//! reservation, other work would take the free capacity in the meantime.

use crate::{
    cycle::context::Cycle,
    host::{FencingState, Host},
    job::{Job, Readiness},
    partition::{Event, Partition, UnconfirmedTasks},
    recovery::{Input, Recovery, ReservedCapacity},
};
use jasperhill_wire::{HostId, JobId, Micros, TaskId, user::Priority};

/// Time for which the capacity reserved for replicas at risk is kept before it is chosen again.
const RESERVED_CAPACITY_LIFETIME: Micros = Micros::from_secs(1);
/// Lower bound on the time that a replica may wait. A replica that has run before, or whose
/// objective has passed, is already late, so every second counts.
const MIN_REPLICA_WAIT: Micros = Micros::from_secs(1);
/// After a takeover, a host that has not answered for this time counts as silent.
const UNANSWERED_TIMEOUT: Micros = Micros::from_secs(4);
/// A job that existed at the takeover and was submitted longer ago than this counts as having run.
const MIN_AGE_TO_COUNT_AS_RUN: Micros = Micros::from_secs(60);
/// Maximum number of overtaken replicas that are remembered. An overtaken replica found no capacity
/// because work of lower priority had started since the loss.
const MAX_OVERTAKEN_REPLICAS: usize = 10_000;

impl Partition {
    /// Returns whether a heartbeat of the host is overdue, so that the host may be lost while its
    /// tasks cannot start elsewhere yet. Reserving capacity costs little, so this threshold is
    /// shorter than [`crate::SchedulerConfig::silence_limit`].
    pub(crate) fn is_silent(&self, host: &Host, now: Micros) -> bool {
        let since_heard = now - host.last_status_received;
        match host.fencing {
            FencingState::LeaseExpired => false,
            // The host has been asked for its state directly and repeatedly since the takeover.
            FencingState::Unfenced { .. } => {
                since_heard >= UNANSWERED_TIMEOUT.min(self.config.silence_limit())
            }
            FencingState::Fenced => {
                since_heard >= self.config.heartbeat_interval.scale(1.5) + Micros::from_secs(1)
            }
        }
    }

    /// Returns how long a task of this job may wait for an image before work of lower priority is
    /// preempted for it on a host where it could start at once. This is the remaining time within
    /// the class's start objective, but at least [`MIN_REPLICA_WAIT`] unless the objective is
    /// shorter.
    pub(crate) fn longest_wait(&self, job: &Job, now: Micros) -> Micros {
        let objective = self.config.longest_start_delay(&job.request.class);
        if job.has_run_completely {
            return MIN_REPLICA_WAIT.min(objective);
        }
        ((job.submitted + objective) - now).max(MIN_REPLICA_WAIT.min(objective))
    }

    /// Returns whether all tasks of the job have run at the same time, or can be assumed to have
    /// run before the takeover.
    fn has_run(&self, job: &Job, now: Micros) -> bool {
        job.has_run_completely
            || (job.created <= self.owned_since && now - job.submitted > MIN_AGE_TO_COUNT_AS_RUN)
    }

    /// Returns whether the job is a production service that should be running: not terminating, not
    /// waiting for dependencies and not backing off after failures.
    fn is_recoverable(job: &Job) -> bool {
        job.is_service()
            && job.priority() == Priority::Production
            && job.termination.is_none()
            && job.readiness == Readiness::Open
            && !job.failures.is_backing_off()
    }

    /// Updates the number of missing replicas and records an event once all of them run again. Runs
    /// in every cycle while replicas are missing and does nothing otherwise.
    pub(crate) fn update_recovery(&mut self, now: Micros) {
        if !self.recovery.is_incomplete() {
            return;
        }
        let mut missing = 0;
        for job in self.jobs.values().filter(|job| Self::is_recoverable(job)) {
            if self.has_run(job, now) {
                missing += job.request.tasks - (job.running.len() as u32).min(job.request.tasks);
            }
        }
        if let Some(recovered) = self.recovery.apply(Input::Missing(missing), now) {
            self.replica_recovery.overtaken.clear();
            self.events.push(Event::ProductionRecovered(recovered));
        }
    }

    /// Records that a replica found no capacity, if work of lower priority that was started since
    /// the loss runs on a host where the replica could run.
    pub(crate) fn record_blocked_replica(&mut self, cycle: &Cycle, id: &JobId, index: u32) {
        let Recovery::Incomplete { since, .. } = self.recovery else {
            return;
        };
        let Some(job) = self.jobs.get(id) else { return };
        if !self.has_run(job, cycle.now) {
            return;
        }
        let task = TaskId::new(id, index);
        let has_lower_priority = |other_task: &TaskId| {
            let other = self.jobs.get(&other_task.job);
            other.is_some_and(|other| other.priority() > Priority::Production)
        };
        let is_overtaken = self.with_slots(cycle).any(|(_, slot, host)| {
            slot.is_usable
                && Self::is_feasible(job, host)
                && host.tasks.iter().any(|(other_task, state)| {
                    state.holds_resources()
                        && state.ordered_at >= since
                        && has_lower_priority(other_task)
                })
        });
        if is_overtaken && self.replica_recovery.overtaken.len() < MAX_OVERTAKEN_REPLICAS {
            let is_new = self.replica_recovery.overtaken.insert(task);
            if is_new {
                self.recovery.apply(Input::Overtaken, cycle.now);
            }
        }
    }

    /// Returns how many replicas of a job may be lost although the loss is not confirmed.
    fn replicas_at_risk(&self, job: &Job, unconfirmed: &UnconfirmedTasks, now: Micros) -> u32 {
        let is_silent = |id: &HostId| {
            let host = self.hosts.get(id);
            host.is_none_or(|host| self.is_silent(host, now))
        };
        let on_silent = job.live.values().filter(|host| is_silent(host)).count() as u32;
        // After a takeover, a replica that no answering host lists may be on a host that has not
        // answered.
        let unlisted = if self.may_run_unconfirmed(job, unconfirmed) {
            job.pending()
        } else {
            0
        };
        on_silent + unlisted
    }

    /// Reserves capacity for replicas that may be lost, for the rest of the cycle. It is called
    /// after all production jobs have been served, so only work of lower priority is held back.
    pub(crate) fn reserve_capacity_for_losses(&mut self, cycle: &mut Cycle) {
        let now = cycle.now;
        if now >= self.replica_recovery.until {
            self.replica_recovery.until = now + RESERVED_CAPACITY_LIFETIME;
            self.replica_recovery.reserved.clear();
            let may_have_lost_tasks = |host: &Host| {
                self.is_silent(host, now) && (host.task_count() > 0 || host.has_unconfirmed_tasks())
            };
            if self.hosts.values().any(may_have_lost_tasks) {
                self.replica_recovery.reserved = self.choose_capacity_for_replicas(cycle);
            }
        } else {
            let reserved = std::mem::take(&mut self.replica_recovery.reserved);
            for capacity in &reserved {
                if let Some(slot) = cycle.slot(&capacity.host)
                    && cycle.slots[slot].is_usable
                    && capacity.resources.fits(&cycle.slots[slot].free)
                {
                    cycle.allocate(slot, &capacity.resources);
                }
            }
            self.replica_recovery.reserved = reserved;
        }
    }

    /// Chooses the capacity on which the replicas at risk would start soonest, and subtracts it
    /// from the free capacity of the cycle.
    fn choose_capacity_for_replicas(&self, cycle: &mut Cycle) -> Vec<ReservedCapacity> {
        let mut chosen = Vec::new();
        for job in self.jobs.values().filter(|job| Self::is_recoverable(job)) {
            let at_risk = self.replicas_at_risk(job, &cycle.unconfirmed, cycle.now);
            if at_risk == 0 || cycle.is_infeasible(&job.request.each) {
                continue;
            }
            let request = job.request.clone();
            let hosts_not_silent = job.live.values().filter(|id| {
                let host = self.hosts.get(*id);
                host.is_some_and(|host| !self.is_silent(host, cycle.now))
            });
            let mut zones = crate::cycle::placement::ZoneCapacity::for_hosts(
                &request,
                hosts_not_silent,
                |host| self.zone_of(host),
            );
            let mut candidates = self.candidates(cycle, job, false);
            // An index beyond all tasks, because a reservation is not for a particular task: no
            // host lists this index, so no host is excluded for listing one of the job's replicas.
            let unlisted_index = request.tasks;
            for _ in 0..at_risk {
                let best = self.best_candidate(
                    cycle,
                    &mut candidates,
                    &zones,
                    (&request.id, &request.each),
                    unlisted_index,
                );
                let Some(slot) = best else { break };
                let Some(host) = cycle.slots.get(slot).map(|slot| slot.id.clone()) else {
                    break;
                };
                cycle.allocate(slot, &request.each);
                if let Some(zone) = self.zone_of(&host) {
                    zones.add(&zone);
                }
                chosen.push(ReservedCapacity {
                    host,
                    resources: request.each,
                });
                self.rescore_candidate(cycle, &mut candidates, slot, &request, false);
            }
        }
        chosen
    }

    /// Records the loss of a task if it was a running replica of a production service. Called when
    /// a replica is gone without having been told to stop.
    pub(crate) fn record_lost_replica(&mut self, task: &TaskId, now: Micros) {
        let was_running = |job: &Job| {
            Self::is_recoverable(job) && self.has_run(job, now) && job.running.contains(&task.index)
        };
        if self.jobs.get(&task.job).is_some_and(was_running) {
            self.recovery.apply(Input::Lost, now);
        }
    }
}
