//! Placement of tasks that start immediately: the cost of a host for a task, the zone constraints
//! of a job, and the choice of the cheapest host. Also starts the tasks of services and of arrays
//! without a deadline, preempting other work for production tasks where necessary.

use crate::{
    cycle::context::{Cycle, has_high_priority},
    host::Host,
    job::Job,
    partition::Partition,
};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, TaskId, user::JobRequest};
use std::{cmp::Reverse, collections::BinaryHeap};

/// Penalty, in milliseconds of start delay, for placing a small task on an empty machine.
const WHOLE_MACHINE_PENALTY_MS: u64 = 4_000;

/// Penalty, in milliseconds of start delay, for leaving one accelerator without the CPUs that its
/// work needs.
const STRANDED_ACCELERATOR_PENALTY_MS: f64 = 16_000.0;

/// Returns how many of a host's free accelerators a task without accelerators would strand, because
/// it takes the CPUs that belong to their share. Returns 0 if the task needs accelerators, if work
/// that holds all accelerators already runs on the host, or if the machine has none.
fn stranded_accelerators(host: &Host, free: &Resources, each: &Resources) -> f64 {
    let capacity = &host.spec.capacity;
    if each.gpus > 0 || capacity.gpus == 0 || capacity.cpus == 0 {
        return 0.0;
    }
    let cpus_per_accelerator = capacity.cpus as f64 / capacity.gpus as f64;
    let usable_accelerators =
        |cpus: u64| (free.gpus as f64).min(cpus as f64 / cpus_per_accelerator);
    (usable_accelerators(free.cpus) - usable_accelerators(free.cpus.saturating_sub(each.cpus)))
        / 1e6
}

/// Returns the expected wait for the job's image on the host.
pub fn start_delay(host: &Host, request: &JobRequest, now: Micros) -> Micros {
    host.image_wait(&request.image, request.image_gb, now)
}

/// Returns the cost of starting a task on a host now, in milliseconds of equivalent start delay;
/// lower is better. The cost prefers a quick start, then tight packing, so that whole machines stay
/// free for gangs.
pub(crate) fn start_cost_ms(
    host: &Host,
    free: &Resources,
    request: &JobRequest,
    now: Micros,
) -> u64 {
    let delay = start_delay(host, request, now).scale(host.run_time_ratio.clamp(1.0, 2.0));
    let slow_host_ms = if host.run_time_ratio > 1.5 { 30_000 } else { 0 };
    // Jobs that may run on spot machines leave the on-demand machines to other jobs.
    let spot_mismatch_ms = if request.spot != host.spot { 2_000 } else { 0 };
    let is_small = request.each.count_in(&host.spec.capacity) >= 2;
    let whole_machine_ms = if is_small && free == &host.spec.capacity {
        WHOLE_MACHINE_PENALTY_MS
    } else {
        0
    };
    let stranded_ms =
        STRANDED_ACCELERATOR_PENALTY_MS * stranded_accelerators(host, free, &request.each);
    let packing_ms = 1_000.0 * (1.0 - request.each.share_of(free).min(1.0));
    delay.0 / 1_000
        + slow_host_ms
        + spot_mismatch_ms
        + whole_machine_ms
        + (stranded_ms + packing_ms) as u64
}

/// Penalty, in milliseconds of start delay, for retrying a job on a host that is not proven.
const UNPROVEN_HOST_PENALTY_MS: u64 = 60_000;

/// Returns the penalty, in milliseconds, for placing a job that is backing off after failures on a
/// host that has not recently run tasks of other jobs successfully, or on which other jobs have
/// failed. On a proven host, another failure shows that the job is at fault and not the host. The
/// penalty is highest for a host on which the job itself has failed, as long as the host may be at
/// fault.
pub(crate) fn unproven_host_penalty_ms(job: &Job, host: &Host, now: Micros) -> u64 {
    if !job.failures.is_backing_off() {
        0
    } else if job.failures.needs_other_host_than(&host.id) {
        2 * UNPROVEN_HOST_PENALTY_MS
    } else if host.has_recent_success_besides(&job.request.id, now) {
        0
    } else {
        UNPROVEN_HOST_PENALTY_MS
    }
}

/// Number of further tasks of a job that each zone may hold. The counts are updated as tasks start,
/// so that the job's live tasks are looked up once and not for every host.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCapacity {
    /// Maximum number of tasks per zone; `None` if the job has no zone constraint.
    max_per_zone: Option<u32>,
    /// Whether all tasks of the job must be in the same zone.
    one_zone: bool,
    /// Whether a task is on a host whose zone is not known.
    has_unknown_zone: bool,
    /// Number of the job's tasks in each zone that holds any.
    tasks_by_zone: Vec<(Name, u32)>,
}

impl ZoneCapacity {
    /// Counts the live tasks of a job. `zone_of` returns the zone of a host, or `None` if it is not
    /// known.
    pub fn for_job(job: &Job, zone_of: impl Fn(&HostId) -> Option<Name>) -> Self {
        Self::for_hosts(&job.request, job.live.values(), zone_of)
    }

    /// Counts one task of `request` on each of the given hosts.
    pub fn for_hosts<'a>(
        request: &JobRequest,
        hosts: impl Iterator<Item = &'a HostId>,
        zone_of: impl Fn(&HostId) -> Option<Name>,
    ) -> Self {
        let mut capacity = Self {
            max_per_zone: (request.one_zone || request.spread).then(|| request.zone_cap()),
            one_zone: request.one_zone,
            has_unknown_zone: false,
            tasks_by_zone: Vec::new(),
        };
        if capacity.max_per_zone.is_some() {
            for host in hosts {
                match zone_of(host) {
                    Some(zone) => capacity.add(&zone),
                    None => capacity.has_unknown_zone = true,
                }
            }
        }
        capacity
    }

    /// Counts one more task in a zone.
    pub fn add(&mut self, zone: &Name) {
        match self
            .tasks_by_zone
            .iter_mut()
            .find(|(known, _)| known == zone)
        {
            Some((_, tasks)) => *tasks += 1,
            None => self.tasks_by_zone.push((zone.clone(), 1)),
        }
    }

    /// Returns whether one more task may go to this zone.
    pub fn allows(&self, zone: &Name) -> bool {
        self.remaining(zone) > 0
    }

    /// Returns how many more tasks may go to this zone; [`u32::MAX`] without a zone constraint.
    pub fn remaining(&self, zone: &Name) -> u32 {
        let Some(max_per_zone) = self.max_per_zone else {
            return u32::MAX;
        };
        if self.one_zone
            && (self.has_unknown_zone
                || self
                    .tasks_by_zone
                    .iter()
                    .any(|(other, tasks)| other != zone && *tasks > 0))
        {
            // A task of the job is in another zone, or in an unknown one.
            return 0;
        }
        let in_zone = self.tasks_by_zone.iter().find(|(other, _)| other == zone);
        max_per_zone.saturating_sub(in_zone.map_or(0, |(_, tasks)| *tasks))
    }
}

/// Hosts that could take a task of one job now, cheapest first. The tasks of a job are equal, so
/// only the host that has taken a task needs a new cost.
pub(crate) struct CandidateHosts {
    /// Cost in milliseconds and slot index of every host.
    by_cost: BinaryHeap<Reverse<(u64, usize)>>,
}

impl CandidateHosts {
    /// Returns whether no host is left.
    pub fn is_empty(&self) -> bool {
        self.by_cost.is_empty()
    }
}

impl Partition {
    /// Returns the zone of a host, or `None` if the host is not in this partition.
    pub(crate) fn zone_of(&self, host: &HostId) -> Option<Name> {
        self.hosts.get(host).map(|known| known.zone.clone())
    }

    /// Returns how many further tasks of this job each zone may hold.
    pub(crate) fn zone_capacity(&self, job: &Job) -> ZoneCapacity {
        ZoneCapacity::for_job(job, |host| self.zone_of(host))
    }

    /// Returns whether tasks of this job may go to this host, regardless of where the job's other
    /// tasks run.
    pub(crate) fn is_feasible(job: &Job, host: &Host) -> bool {
        job.request
            .allows_host(&host.spec.machine_type, &host.zone, host.spot)
            && !job.failures.avoids(&host.id)
    }

    /// Returns the hosts where a task of the job could start now. With `require_empty_queue`, only
    /// hosts without queued reservations of admitted jobs.
    pub(crate) fn candidates(
        &self,
        cycle: &Cycle,
        job: &Job,
        require_empty_queue: bool,
    ) -> CandidateHosts {
        let request = &job.request;
        let by_cost = self
            .with_slots(cycle)
            .filter(|(slot_index, _, _)| cycle.fits(*slot_index, &request.id, &request.each))
            .filter(|(_, _, host)| !require_empty_queue || host.queue.is_empty())
            .filter(|(_, _, host)| Self::is_feasible(job, host))
            .map(|(slot_index, slot, host)| {
                let cost_ms = start_cost_ms(host, &slot.free, request, cycle.now)
                    + unproven_host_penalty_ms(job, host, cycle.now);
                Reverse((cost_ms, slot_index))
            })
            .collect();
        CandidateHosts { by_cost }
    }

    /// Returns the slot of the cheapest candidate that accepts task `index`, and leaves it among
    /// the candidates. Drops candidates that have no capacity left or whose zone is full.
    pub(crate) fn best_candidate(
        &self,
        cycle: &Cycle,
        candidates: &mut CandidateHosts,
        zones: &ZoneCapacity,
        (id, each): (&JobId, &Resources),
        index: u32,
    ) -> Option<usize> {
        let mut still_fitting = Vec::new();
        let mut best = None;
        while let Some(Reverse((cost_ms, slot))) = candidates.by_cost.pop() {
            let Some(host) = cycle.slots.get(slot).and_then(|s| self.hosts.get(&s.id)) else {
                continue;
            };
            // The host or its zone is full for this job and stays so for the rest of the cycle.
            if !zones.allows(&host.zone) || !cycle.fits(slot, id, each) {
                continue;
            }
            still_fitting.push(Reverse((cost_ms, slot)));
            if !host.tasks.contains_key(&TaskId::new(id, index)) {
                best = Some(slot);
                break;
            }
        }
        candidates.by_cost.extend(still_fitting);
        best
    }

    /// Recomputes the cost of a candidate on which a task was started, or removes the candidate if
    /// no further task fits.
    pub(crate) fn rescore_candidate(
        &self,
        cycle: &Cycle,
        candidates: &mut CandidateHosts,
        slot: usize,
        request: &JobRequest,
        require_empty_queue: bool,
    ) {
        let is_cheapest = candidates
            .by_cost
            .peek()
            .is_some_and(|Reverse((_, top))| *top == slot);
        if is_cheapest {
            candidates.by_cost.pop();
        } else {
            candidates.by_cost.retain(|Reverse((_, s))| *s != slot);
        }
        if !cycle.fits(slot, &request.id, &request.each) {
            return;
        }
        if let Some(host) = cycle.slots.get(slot).and_then(|s| self.hosts.get(&s.id))
            && (!require_empty_queue || host.queue.is_empty())
        {
            let free = &cycle.slots[slot].free;
            let cost_ms = start_cost_ms(host, free, request, cycle.now);
            candidates.by_cost.push(Reverse((cost_ms, slot)));
        }
    }

    /// Starts tasks of services and arrays that have no deadline. These tasks start independently
    /// of each other. Production tasks may preempt other work.
    pub(crate) fn start_without_deadline(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let is_production = job.is_production();
        let is_backing_off = job.failures.is_backing_off();
        if cycle.is_infeasible(&request.each) && !is_production {
            return;
        }
        // Jobs of normal or low priority queue last: they never start ahead of admitted work that
        // is reserved on the host.
        let require_empty_queue = !has_high_priority(job);
        let mut candidates = self.candidates(cycle, job, require_empty_queue);
        let mut zones = self.zone_capacity(job);
        let longest_wait = self.longest_wait(job, cycle.now);
        loop {
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            if job.startable() == 0 {
                return;
            }
            let Some(index) = job.next_pending() else {
                return;
            };
            let (pending, preemptions) = (job.pending() as usize, job.awaited_capacity.len());
            if !self.may_start(cycle, &request, 1) {
                return;
            }
            let best =
                self.best_candidate(cycle, &mut candidates, &zones, (id, &request.each), index);
            let delay = best
                .and_then(|slot| self.hosts.get(&cycle.slots[slot].id))
                .map_or(Micros::MAX, |host| start_delay(host, &request, cycle.now));
            // A production task does not wait for an image if it can start at once elsewhere by
            // preempting work of lower priority. Preemption is started for at most as many tasks as
            // are waiting.
            if is_production && delay > longest_wait && !is_backing_off {
                if best.is_none() {
                    self.record_blocked_replica(cycle, id, index);
                }
                if preemptions >= pending {
                    return;
                }
                if self.preempt_for_replica(cycle, id, index, &zones, delay) {
                    continue;
                }
            }
            let Some(slot) = best else { return };
            self.start(cycle, id, index, slot, None);
            if let Some(zone) = self.zone_of(&cycle.slots[slot].id) {
                zones.add(&zone);
            }
            self.rescore_candidate(cycle, &mut candidates, slot, &request, require_empty_queue);
        }
    }
}
