//! The scheduling cycle of a partition. [`Partition::run_cycle`] expires leases, stops work that
//! must stop, orders the jobs that may start and starts or reserves their tasks, most important job
//! first.
//!
//! Every stage is a submodule. The stages share `context::Cycle`, which holds the free capacity of
//! the hosts as the cycle has left it and the results cached for the duration of the cycle.

pub(crate) mod admission;
mod capacity_claims;
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

pub use capacity_claims::CapacityClaims;

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

/// Maximum number of events kept from one cycle. Further events would add no information to the
/// log.
const MAX_EVENTS_PER_CYCLE: usize = 256;

impl Partition {
    /// Returns the state for a new cycle: a slot for every host with its current free resources,
    /// and the resources that unconfirmed tasks may be using, by team.
    pub(crate) fn begin_cycle(&self, now: Micros) -> Cycle {
        let unconfirmed = self.unconfirmed_tasks();
        let mut unconfirmed_use: BTreeMap<Name, Resources> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|job| self.may_run_unconfirmed(job, &unconfirmed))
        {
            *unconfirmed_use.entry(job.request.team.clone()).or_default() += job.unconfirmed_use();
        }
        let slots = self
            .hosts
            .values()
            .map(|host| HostSlot {
                id: host.id.clone(),
                is_usable: host.is_usable(now, &self.config),
                free: host.free_resources(),
                listed_tasks: host.listed_task_count(),
                reserved_for: None,
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
            infeasible_requests: Vec::new(),
            gangs_without_hosts: Vec::new(),
            gangs_without_victims: Vec::new(),
            reserved_for_gangs: (0, 0),
        }
    }

    /// Iterates over all hosts with their slot index and slot.
    pub(crate) fn with_slots<'a>(
        &'a self,
        cycle: &'a Cycle,
    ) -> impl Iterator<Item = (usize, &'a HostSlot, &'a Host)> {
        cycle
            .slots
            .iter()
            .zip(self.hosts.values())
            .enumerate()
            .map(|(slot_index, (slot, host))| (slot_index, slot, host))
    }

    /// Runs one scheduling cycle at `now`, which stops and starts tasks where needed. The caller
    /// runs it whenever the partition has changed, and periodically.
    pub fn run_cycle(&mut self, now: Micros) {
        self.needs_scheduling = false;
        self.expire_leases(now);
        self.update_unconfirmed_state(now);
        self.stop_broken_gangs(now);
        self.end_backoff_of_outliving_jobs(now);
        self.check_overruns(now);
        self.stop_before_termination(now);
        self.move_replicas(now);
        let mut cycle = self.begin_cycle(now);
        self.release_unusable_reservations(&cycle);
        self.mark_missed_deadlines(now);
        let order = self.jobs_by_rank(&cycle);
        self.last_cycle_job_count = order.len();
        self.expire_preemptions(now);
        self.update_recovery(now);
        let mut has_reserved_for_losses = false;
        for (rank, id) in &order {
            if !rank.is_production() && !has_reserved_for_losses {
                has_reserved_for_losses = true;
                self.reserve_capacity_for_losses(&mut cycle);
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            match job.request.shape {
                Shape::Gang => self.start_gang(&mut cycle, id),
                // A job that is backing off gets no reservation, because the reserved task would
                // take up capacity in the schedule simulations of other jobs.
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
        self.events.truncate(MAX_EVENTS_PER_CYCLE);
    }

    /// Returns the jobs that have tasks to start and may start them now, most important first.
    fn jobs_by_rank(&mut self, cycle: &Cycle) -> Vec<(JobRank, JobId)> {
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
            // Boosting prevents the work of other groups from starving a class or team
            // indefinitely.
            if self.starvation.is_boosted(id) {
                rank.boost();
            }
        }
        order.sort();
        order
    }

    /// Re-evaluates which groups of jobs are starved, if an evaluation is due, and records an event
    /// for every group that became starved or stopped being starved.
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
        let minimum_share = self.config.tuning.minimum_share;
        let starved_before = self.starvation.starved(minimum_share);
        self.starvation.apply(
            starvation::Input::Evaluate(&waiting),
            minimum_share,
            cycle.now,
        );
        let starved_now = self.starvation.starved(minimum_share);
        for group in starved_now.difference(&starved_before) {
            let share = self.starvation.shares().get(group).copied();
            let event = Event::Starved(group.clone(), share);
            self.events.push(event);
        }
        let caught_up = starved_before.difference(&starved_now).cloned();
        self.events
            .extend(caught_up.map(|group| Event::Starved(group, None)));
    }

    /// Returns the starvation guard's view of a waiting job. A job held back by its team's limit
    /// counts only towards its class, or towards jobs of its size, and only if that group uses less
    /// than an equal share of the limit. Returns `None` if the team is unknown.
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
            groups.retain(|group| usage.is_below_equal_share(team, group));
        }
        Some(WaitingJob {
            id: &request.id,
            groups,
            since: job.waiting_since(),
            within: self.config.longest_start_delay(&request.class),
        })
    }

    /// Stops the remaining tasks of gangs that have lost a task. The next attempt of a gang starts
    /// only after the last of its old tasks has stopped.
    fn stop_broken_gangs(&mut self, now: Micros) {
        let unconfirmed = self.unconfirmed_tasks();
        let broken_gangs: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                job.is_gang()
                    && job.termination.is_none()
                    && !job.live.is_empty()
                    && job.unsaved_tasks.is_empty()
                    && job.pending() > 0
                    && !self.may_run_unconfirmed(job, &unconfirmed)
            })
            .map(|job| job.request.id.clone())
            .collect();
        for id in broken_gangs {
            self.stop_all(&id, Micros::ZERO, now);
        }
    }

    /// Marks the jobs that have tasks to start and can no longer end before their deadline. These
    /// jobs lose their reservations and are queued last from now on.
    fn mark_missed_deadlines(&mut self, now: Micros) {
        let missed: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| !job.missed_deadline && (job.pending() > 0 || !job.reserved.is_empty()))
            .filter(|job| {
                job.due
                    .is_some_and(|due| now + self.estimate(&job.request) > due)
            })
            .map(|job| job.request.id.clone())
            .collect();
        for id in missed {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.missed_deadline = true;
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            for index in reserved {
                self.release_reservation(&id, index);
            }
        }
    }

    /// Releases the reservations on unusable hosts, so that the tasks get new reservations on other
    /// hosts.
    fn release_unusable_reservations(&mut self, cycle: &Cycle) {
        let tasks_to_release: Vec<TaskId> = self
            .with_slots(cycle)
            .filter(|(_, slot, host)| !slot.is_usable && !host.queue.is_empty())
            .flat_map(|(_, _, host)| {
                host.queue
                    .iter()
                    .map(|reservation| reservation.task.clone())
            })
            .collect();
        for task in tasks_to_release {
            self.release_reservation(&task.job, task.index);
        }
    }

    /// Starts task `index` of a job on the host of `slot`. `attempt` is the attempt shared by the
    /// tasks of a gang; `None` starts a new attempt.
    pub(crate) fn start(
        &mut self,
        cycle: &mut Cycle,
        id: &JobId,
        index: u32,
        slot: usize,
        attempt: Option<Attempt>,
    ) {
        let Some(host) = cycle.slots.get(slot).map(|slot| slot.id.clone()) else {
            return;
        };
        let task = TaskId::new(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(position) = job
            .awaited_capacity
            .iter()
            .position(|(preempted_host, _)| preempted_host == &host)
        {
            job.awaited_capacity.swap_remove(position);
        }
        let request = job.request.clone();
        if job.live.is_empty() {
            let minimum_share = self.config.tuning.minimum_share;
            let input = starvation::Input::JobStarted {
                id,
                class: &request.class,
                team: &request.team,
                tasks: request.tasks,
            };
            self.starvation.apply(input, minimum_share, cycle.now);
        }
        job.last_started = cycle.now;
        let each = request.each;
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        if let Some(reserved_host) = self.jobs.get(id).and_then(|job| job.reserved.get(&index)) {
            cycle.invalidate_host(reserved_host);
        }
        self.release_reservation(id, index);
        self.set_step(&task, TaskStep::Live(host.clone()));
        let image = (request.image.clone(), request.image_gb);
        self.apply(
            &host,
            HostInput::Start(task, attempt, each, image),
            cycle.now,
        );
        cycle.allocate(slot, &each);
        self.hosts_with_new_commands.insert(host);
    }
}
