//! A scheduling cycle over a partition: [`Partition::run_cycle`] goes through its stages in order.
//! Each stage is a file here; `context::Cycle` is what they keep track of together.

pub(crate) mod admission;
pub(crate) mod context;
mod drain;
mod gang;
mod loss_recovery;
pub(crate) mod placement;
mod preemption;
mod straggler_detection;
pub(crate) mod team_quota;
#[cfg(test)]
mod tests;

use crate::{
    cycle::context::{Cycle, HostSlot},
    cycle::team_quota::LimitUsage,
    host::{Host, HostInput},
    job::{Job, JobRank, Readiness, TaskStep},
    partition::{Event, Partition},
    starvation::{self, Group, WaitingJob},
};
use jasperhill_wire::{Attempt, JobId, Micros, Name, Resources, TaskId, user::Shape};
use std::{cell::RefCell, collections::BTreeMap};

/// Events kept in one cycle; beyond, the log would say nothing more.
const EVENTS_MAX: usize = 256;

impl Partition {
    /// The hosts as they are now.
    pub(crate) fn begin_cycle(&self, now: Micros) -> Cycle {
        let unconfirmed = self.unconfirmed_tasks();
        let mut unconfirmed_use: BTreeMap<Name, Resources> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|j| self.may_run_unconfirmed(j, &unconfirmed))
        {
            *unconfirmed_use.entry(job.request.team.clone()).or_default() += job.unconfirmed_use();
        }
        let slots = self
            .hosts
            .values()
            .map(|h| HostSlot {
                id: h.id.clone(),
                usable: h.is_usable(now, &self.config),
                free: h.free_resources(),
                listed: h.listed(),
                reserved: None,
            })
            .collect();
        Cycle {
            now,
            unconfirmed,
            simulation_starts: RefCell::new(vec![None; self.hosts.len()]),
            victims: RefCell::default(),
            slots,
            unconfirmed_use,
            quota_reservations: BTreeMap::new(),
            quota_attempts: BTreeMap::new(),
            infeasible: Vec::new(),
            gangs_without_hosts: Vec::new(),
            gangs_without_victims: Vec::new(),
            reserved_for_gangs: (0, 0),
        }
    }

    /// Every host with its slot.
    pub(crate) fn with_slots<'a>(
        &'a self,
        cycle: &'a Cycle,
    ) -> impl Iterator<Item = (usize, &'a HostSlot, &'a Host)> {
        cycle
            .slots
            .iter()
            .zip(self.hosts.values())
            .enumerate()
            .map(|(i, (slot, host))| (i, slot, host))
    }

    /// Starts what can be started. Call when something has changed, and now and then.
    pub fn run_cycle(&mut self, now: Micros) {
        self.changed = false;
        self.expire_leases(now);
        self.note_confirmed(now);
        self.stop_broken_gangs(now);
        self.clear_outlived_failures(now);
        self.check_overruns(now);
        self.stop_before_termination(now);
        self.move_replicas(now);
        let mut cycle = self.begin_cycle(now);
        self.release_unusable_reservations(&cycle);
        self.mark_missed_deadlines(now);
        let order = self.jobs_in_order(&cycle);
        self.backlog = order.len();
        self.expire_preemptions(now);
        self.update_recovery(now);
        let mut has_reserved = false;
        for (rank, id) in &order {
            if !rank.is_production() && !has_reserved {
                has_reserved = true;
                self.reserve_capacity_for_losses(&mut cycle);
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            match job.request.shape {
                Shape::Gang => self.start_gang(&mut cycle, id),
                // A job that is backing off gets no reservation: it would hold up others' simulations.
                Shape::Service | Shape::Array
                    if job.due.is_none() || job.failures.is_backing_off() =>
                {
                    self.start_without_deadline(&mut cycle, id);
                }
                _ => {
                    self.reserve(&cycle, id);
                    self.start_reserved(&mut cycle, id);
                }
            }
        }
        self.events.truncate(EVENTS_MAX);
    }

    /// The jobs with tasks that may start, the most important first.
    fn jobs_in_order(&mut self, cycle: &Cycle) -> Vec<(JobRank, JobId)> {
        let now = cycle.now;
        let mut order: Vec<(JobRank, JobId)> = self
            .jobs
            .values()
            .filter(|job| {
                job.termination.is_none()
                    && job.readiness == Readiness::Open
                    && (job.pending() > 0 || !job.reserved.is_empty())
                    && !self.may_run_unconfirmed(job, &cycle.unconfirmed)
                    && now >= job.not_before
                    && job.failures.may_retry(now)
            })
            .map(|job| (job.rank(), job.request.id.clone()))
            .collect();
        self.update_starvation(cycle, &order);
        for (rank, id) in &mut order {
            // Guards against a class or team that never gets its turn behind others' work.
            if self.starvation.is_boosted(id) {
                rank.boost();
            }
        }
        order.sort();
        order
    }

    /// Looks who of those that could start has fallen behind.
    fn update_starvation(&mut self, cycle: &Cycle, order: &[(JobRank, JobId)]) {
        if !self.starvation.is_due(cycle.now) {
            return;
        }
        let usage = self.limit_usage();
        let jobs = order.iter().filter_map(|(_, id)| self.jobs.get(id));
        let waiting: Vec<WaitingJob<'_>> = jobs
            .filter(|job| job.live.is_empty() && !job.failures.is_backing_off())
            .filter_map(|job| self.waiting_job(cycle, &usage, job))
            .collect();
        let least = self.config.tuning.least_share;
        let was = self.starvation.starved(least);
        self.starvation
            .apply(starvation::Input::Evaluate(&waiting), least, cycle.now);
        let is = self.starvation.starved(least);
        for group in is.difference(&was) {
            let standing = self.starvation.shares().get(group).copied();
            let note = Event::Starved(group.clone(), standing);
            self.events.push(note);
        }
        let caught_up = was.difference(&is).cloned();
        self.events
            .extend(caught_up.map(|g| Event::Starved(g, None)));
    }

    /// A waiting job as the starvation guard counts it. One at its team's limit counts only for its
    /// class, or for jobs of its size, where the others of the team have more than their part.
    fn waiting_job<'a>(
        &self,
        cycle: &Cycle,
        usage: &LimitUsage,
        job: &'a Job,
    ) -> Option<WaitingJob<'a>> {
        let request = &job.request;
        let team = self.config.team(&request.team)?;
        let mut groups = Group::all_of(&request.class, &request.team, request.tasks).to_vec();
        if !self.may_start(cycle, request, job.tasks_to_begin()) {
            groups.retain(|group| usage.is_below_equal_part(team, group));
        }
        Some(WaitingJob {
            id: &request.id,
            groups,
            since: job.waiting_since(),
            within: self.config.longest_start_delay(&request.class),
        })
    }

    /// A gang that has lost a task stops the rest; a new attempt waits for the last of them.
    fn stop_broken_gangs(&mut self, now: Micros) {
        let unconfirmed = self.unconfirmed_tasks();
        let broken: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| {
                j.is_gang()
                    && j.termination.is_none()
                    && !j.live.is_empty()
                    && j.unsaved.is_empty()
                    && j.pending() > 0
                    && !self.may_run_unconfirmed(j, &unconfirmed)
            })
            .map(|j| j.request.id.clone())
            .collect();
        for id in broken {
            self.stop_all(&id, Micros::ZERO, now);
        }
    }

    /// Jobs with tasks to start that can't end in time any more queue last from now on.
    fn mark_missed_deadlines(&mut self, now: Micros) {
        let missed: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| !j.missed_deadline && (j.pending() > 0 || !j.reserved.is_empty()))
            .filter(|j| {
                j.due
                    .is_some_and(|due| now + self.estimate(&j.request) > due)
            })
            .map(|j| j.request.id.clone())
            .collect();
        for id in missed {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.missed_deadline = true;
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            for i in reserved {
                self.release_reservation(&id, i);
            }
        }
    }

    /// Reservations on hosts that can't be used any more are made anew.
    fn release_unusable_reservations(&mut self, cycle: &Cycle) {
        let lost: Vec<TaskId> = self
            .with_slots(cycle)
            .filter(|(_, slot, h)| !slot.usable && !h.queue.is_empty())
            .flat_map(|(_, _, h)| h.queue.iter().map(|b| b.task.clone()))
            .collect();
        for task in lost {
            self.release_reservation(&task.job, task.index);
        }
    }

    /// Starts task `i` of a job on the host of this slot. `attempt`: a gang's; a new one if absent.
    pub(crate) fn start(
        &mut self,
        cycle: &mut Cycle,
        id: &JobId,
        i: u32,
        slot: usize,
        attempt: Option<Attempt>,
    ) {
        let Some(host) = cycle.slots.get(slot).map(|s| s.id.clone()) else {
            return;
        };
        let task = TaskId::new(id, i);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(place) = job.preempting.iter().position(|(h, _)| h == &host) {
            job.preempting.swap_remove(place);
        }
        let request = job.request.clone();
        if job.live.is_empty() {
            let least = self.config.tuning.least_share;
            let begun = starvation::Input::Begun {
                id,
                class: &request.class,
                team: &request.team,
                tasks: request.tasks,
            };
            self.starvation.apply(begun, least, cycle.now);
        }
        job.last_started = cycle.now;
        let each = request.each;
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        if let Some(home) = self.jobs.get(id).and_then(|j| j.reserved.get(&i)) {
            cycle.invalidate_host(home);
        }
        self.release_reservation(id, i);
        self.set_step(&task, TaskStep::Live(host.clone()));
        let image = (request.image.clone(), request.image_gb);
        self.apply(
            &host,
            HostInput::Start(task, attempt, each, image),
            cycle.now,
        );
        cycle.take(slot, &each);
        self.dirty.insert(host);
    }
}
