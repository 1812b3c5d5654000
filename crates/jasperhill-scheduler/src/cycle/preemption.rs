//! Preemption: stops work of lower priority for production tasks and gangs that find no free
//! capacity. Hosts on which capacity is being freed are remembered for the preempting job until it
//! starts or a timeout passes.

use crate::{
    cycle::{
        context::{Cycle, HostSlot, Victim},
        placement::{ZoneCapacity, start_delay},
    },
    host::Host,
    job::{GangHosts, Job},
    partition::Partition,
};
use jasperhill_wire::{HostId, JobId, Micros, Name, TaskId, user::Priority};
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds per second. Start delays are compared in whole seconds, before the work that is
/// lost.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Time after the latest end of the last victim for which the freed capacity is still awaited.
const FREED_CAPACITY_TIMEOUT: Micros = Micros::from_secs(4);
/// Nothing is preempted for a gang whose chosen hosts become free without preemption within this
/// time.
const FREE_SOON_WITHIN: Micros = Micros::from_secs(3);

/// Cost added for stopping work of normal instead of low priority.
const NORMAL_PRIORITY_COST: Micros = Micros::from_secs(20);
/// Tasks that have run for less than this time count as just started.
const RECENT_START_AGE: Micros = Micros::from_secs(30);
/// Cost added for stopping a task that has just started, whose start would have been for nothing.
const RECENT_START_COST: Micros = Micros::from_secs(10);

/// Requirements of a replica that finds no free capacity, or only on hosts where it would wait long
/// for its image.
struct ReplicaSearch<'a> {
    /// Job of the replica.
    job: &'a Job,
    /// The replica to place.
    task: TaskId,
    /// Zones that may take another replica of the job.
    zones: &'a ZoneCapacity,
    /// Start delay on the best host with free capacity; [`Micros::MAX`] if there is no such host.
    current_delay: Micros,
    /// Longest start delay for which work of lower priority is not preempted.
    longest_wait: Micros,
}

/// Placement of a replica on a host after the given victims have stopped.
struct ReplicaPlacement {
    /// Start delay in whole seconds, then the lost work.
    cost: (u64, Micros),
    /// Slot index of the host.
    slot: usize,
    /// Tasks to stop on the host.
    victims: Vec<TaskId>,
    /// Longest time that a victim needs to save a checkpoint.
    grace: Micros,
}

/// Placement of one task of a gang: its cost, its host and the victims to stop.
struct CandidatePlacement {
    /// Start delay plus lost work, in microseconds.
    cost: u64,
    /// Slot index of the host.
    slot: usize,
    /// Tasks to stop on the host for this placement.
    victims: Vec<TaskId>,
    /// Longest time that a victim needs to save a checkpoint.
    grace: Micros,
}

/// Possible placements for the tasks of a gang.
#[derive(Default)]
struct GangCandidates {
    /// Placements by zone if all tasks must be in one zone, otherwise all under an empty zone name.
    by_zone: BTreeMap<Name, Vec<CandidatePlacement>>,
    /// Whether some host still lists a task of the gang.
    is_listed: bool,
}

impl Partition {
    /// Returns the tasks on a host that could be stopped for work of this priority, least loss
    /// first. With `include_gangs`, also tasks of gangs with several tasks, which are stopped as a
    /// whole.
    fn victims(
        &self,
        host: &Host,
        priority: Priority,
        include_gangs: bool,
        now: Micros,
    ) -> Vec<Victim> {
        let mut victims: Vec<Victim> = host
            .tasks
            .iter()
            // A task that is already stopping frees its capacity for another job.
            .filter(|(_, host_task)| host_task.holds_resources() && host_task.stopping.is_none())
            .filter_map(|(task, host_task)| {
                let other = self.jobs.get(&task.job)?;
                let size = if other.is_gang() {
                    other.request.tasks
                } else {
                    1
                };
                let is_preemptible = other.priority() > priority && !other.is_service();
                (is_preemptible && (include_gangs || size == 1)).then(|| {
                    let (lost_work, grace) = if other.saves_checkpoints() {
                        (other.request.checkpoint_time, other.request.checkpoint_time)
                    } else {
                        (now - host_task.running_since.unwrap_or(now), Micros::ZERO)
                    };
                    // Low-priority work is stopped first. Stopping a task shortly after its start
                    // wastes the start.
                    let is_normal_priority = u64::from(other.priority() == Priority::Normal);
                    let is_recent_start = host_task
                        .running_since
                        .is_none_or(|started| now - started < RECENT_START_AGE);
                    let lost_work = lost_work
                        + Micros(NORMAL_PRIORITY_COST.0 * is_normal_priority)
                        + if is_recent_start {
                            RECENT_START_COST
                        } else {
                            Micros::ZERO
                        };
                    Victim {
                        lost_work: Micros(lost_work.0.saturating_mul(u64::from(size))),
                        task: task.clone(),
                        resources: host_task.resources,
                        grace,
                    }
                })
            })
            .collect();
        victims.sort_by_key(|victim| victim.lost_work);
        victims
    }

    /// Stops the victims on a host and invalidates the cached state of every host that is affected.
    /// `reason` is the reason given for the stop.
    fn stop_victims(
        &mut self,
        cycle: &Cycle,
        host: &HostId,
        victims: &[TaskId],
        reason: &'static str,
    ) {
        cycle.invalidate_host(host);
        for task in victims {
            let Some(other) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            other.preempted += 1;
            if other.is_gang() {
                other
                    .live
                    .values()
                    .for_each(|host| cycle.invalidate_host(host));
            }
            self.stop_with_grace(host, task, reason, cycle.now);
        }
    }

    /// Stops work of lower priority for a production task that finds no free capacity, or only on
    /// hosts where it would wait long for its image. Returns whether capacity is now being freed on
    /// a host with a shorter start delay than `current_delay`.
    pub(crate) fn preempt_for_replica(
        &mut self,
        cycle: &mut Cycle,
        id: &JobId,
        index: u32,
        zones: &ZoneCapacity,
        current_delay: Micros,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut zones = zones.clone();
        for (host, _) in &job.awaited_capacity {
            if let Some(zone) = self.zone_of(host) {
                zones.add(&zone);
            }
        }
        let search = ReplicaSearch {
            job,
            task: TaskId::new(id, index),
            zones: &zones,
            current_delay,
            longest_wait: self.longest_wait(job, cycle.now),
        };
        let mut best: Option<ReplicaPlacement> = None;
        for (slot_index, slot, host) in self.with_slots(cycle) {
            let placement = self.replica_placement(cycle, &search, (slot_index, slot, host));
            if let Some(placement) = placement
                && best.as_ref().is_none_or(|best| placement.cost < best.cost)
            {
                best = Some(placement);
            }
        }
        let each = job.request.each;
        let Some(best) = best else {
            return false;
        };
        let host = cycle.slots[best.slot].id.clone();
        self.stop_victims(cycle, &host, &best.victims, "preempted for production");
        if let Some(job) = self.jobs.get_mut(id) {
            let until = cycle.now + best.grace + FREED_CAPACITY_TIMEOUT;
            job.awaited_capacity.push((host, until));
        }
        cycle.allocate(best.slot, &each);
        true
    }

    /// Returns the cheapest placement of a replica on this host by preemption. Returns `None` if
    /// preemption on this host is not possible, would free too little, or would not let the replica
    /// start sooner than on the best host with free capacity.
    fn replica_placement(
        &self,
        cycle: &Cycle,
        search: &ReplicaSearch<'_>,
        (slot_index, slot, host): (usize, &HostSlot, &Host),
    ) -> Option<ReplicaPlacement> {
        let (request, priority) = (&search.job.request, search.job.priority());
        if !slot.is_usable
            || slot
                .reserved_for
                .as_ref()
                .is_some_and(|job| job != &request.id)
            || !Self::is_feasible(search.job, host)
            || !search.zones.allows(&host.zone)
            || host.tasks.contains_key(&search.task)
        {
            return None;
        }
        let has_no_free_host = search.current_delay == Micros::MAX;
        let delay = start_delay(host, request, cycle.now);
        // Work of lower priority is not preempted for a replica that would start late anyway.
        // During a cold start every image is still being fetched, and such work would otherwise be
        // stopped again and again.
        let starts_late =
            delay + search.longest_wait >= search.current_delay || delay > search.longest_wait;
        if !has_no_free_host && starts_late {
            return None;
        }
        // Gangs of several tasks are stopped only if the replica finds no capacity at all. A
        // replica never waits for a machine that work of lower priority holds, whatever its shape.
        let victims = cycle.victims(slot_index, priority, has_no_free_host, || {
            self.victims(host, priority, has_no_free_host, cycle.now)
        });
        let (mut free, mut chosen) = (slot.free, Vec::new());
        let (mut lost_work, mut grace) = (Micros::ZERO, Micros::ZERO);
        for victim in victims.iter() {
            if request.each.fits(&free) {
                break;
            }
            free += victim.resources;
            lost_work += victim.lost_work;
            grace = grace.max(victim.grace);
            chosen.push(victim.task.clone());
        }
        let delay = delay + grace;
        let is_sooner = has_no_free_host || delay + search.longest_wait < search.current_delay;
        (request.each.fits(&free) && !chosen.is_empty() && is_sooner).then_some(ReplicaPlacement {
            cost: (delay.0 / MICROS_PER_SECOND, lost_work),
            slot: slot_index,
            victims: chosen,
            grace,
        })
    }

    /// Stops work of lower priority for a gang that does not find capacity for all of its tasks.
    /// The hosts are reserved for the gang until it starts, or until the capacity has not become
    /// free in time.
    pub(crate) fn preempt_for_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (request, priority) = (job.request.clone(), job.priority());
        let gang_hosts = job.gang_hosts.as_ref();
        let has_hosts_soon = gang_hosts
            .is_some_and(|gang_hosts| gang_hosts.ready_at <= cycle.now + FREE_SOON_WITHIN);
        if !job.awaited_capacity.is_empty()
            || has_hosts_soon
            || cycle.lacks_victims_for_gang(priority, &request)
        {
            return;
        }
        let candidates = self.gang_candidates(cycle, job);
        match self.cheapest_gang_placement(cycle, job, candidates.by_zone) {
            Some(chosen) => self.preempt_and_reserve_for_gang(cycle, id, &chosen),
            // The search skips hosts that list or are avoided by this gang itself, so a negative
            // result does not apply to other gangs.
            None if candidates.is_listed || job.failures.avoids_any() => {}
            None => cycle.note_gang_without_victims(priority, &request),
        }
    }

    /// Returns the possible placements of the gang's tasks on all hosts, placements without victims
    /// first on every host.
    fn gang_candidates(&self, cycle: &Cycle, job: &Job) -> GangCandidates {
        let request = &job.request;
        let mut candidates = GangCandidates::default();
        for (slot_index, slot, host) in self.with_slots(cycle) {
            if !slot.is_usable
                || slot
                    .reserved_for
                    .as_ref()
                    .is_some_and(|reserved_for| reserved_for != &request.id)
                || !Self::is_feasible(job, host)
                || !request.each.fits(&host.spec.capacity)
            {
                continue;
            }
            if host.has_task_of_job(&request.id) {
                candidates.is_listed = true;
                continue;
            }
            let zone = if request.one_zone {
                host.zone.clone()
            } else {
                Name::from("")
            };
            let placements = candidates.by_zone.entry(zone).or_default();
            placements.extend(self.gang_placements_on_host(cycle, job, (slot_index, slot, host)));
        }
        candidates
    }

    /// Returns the possible placements on one host, at most as many as the gang has tasks.
    /// Placements without victims come first.
    fn gang_placements_on_host(
        &self,
        cycle: &Cycle,
        job: &Job,
        (slot_index, slot, host): (usize, &HostSlot, &Host),
    ) -> Vec<CandidatePlacement> {
        let (request, priority) = (&job.request, job.priority());
        let task_count = request.tasks as usize;
        let delay = start_delay(host, request, cycle.now).0;
        let mut free = slot.free;
        let mut placements = Vec::new();
        while placements.len() < task_count && request.each.fits(&free) {
            free -= request.each;
            placements.push(CandidatePlacement {
                cost: delay,
                slot: slot_index,
                victims: Vec::new(),
                grace: Micros::ZERO,
            });
        }
        let victims = cycle.victims(slot_index, priority, true, || {
            self.victims(host, priority, true, cycle.now)
        });
        let (mut stopped, mut lost_work, mut grace) = (Vec::new(), 0, Micros::ZERO);
        for victim in victims.iter() {
            if placements.len() >= task_count {
                break;
            }
            free += victim.resources;
            lost_work += victim.lost_work.0;
            grace = grace.max(victim.grace);
            stopped.push(victim.task.clone());
            if request.each.fits(&free) {
                free -= request.each;
                placements.push(CandidatePlacement {
                    cost: delay + grace.0 + lost_work,
                    slot: slot_index,
                    victims: std::mem::take(&mut stopped),
                    grace,
                });
            }
        }
        placements
    }

    /// Returns placements for all tasks of a gang with the lowest total cost, in a single zone if
    /// the gang requires it. Returns `None` if no zone has enough placements.
    fn cheapest_gang_placement(
        &self,
        cycle: &Cycle,
        job: &Job,
        by_zone: BTreeMap<Name, Vec<CandidatePlacement>>,
    ) -> Option<Vec<CandidatePlacement>> {
        let task_count = job.request.tasks as usize;
        let mut best: Option<(u64, Vec<CandidatePlacement>)> = None;
        for mut placements in by_zone.into_values() {
            placements
                .sort_by_key(|placement| (placement.cost, placement.slot, placement.victims.len()));
            let mut zones = ZoneCapacity::for_job(job, |_| None);
            let (mut total, mut chosen) = (0, Vec::new());
            for placement in placements {
                let zone = self.zone_of(&cycle.slots[placement.slot].id);
                let zone = zone.unwrap_or_else(|| Name::from(""));
                if chosen.len() < task_count && zones.allows(&zone) {
                    zones.add(&zone);
                    total += placement.cost;
                    chosen.push(placement);
                }
            }
            let is_cheaper = best.as_ref().is_none_or(|(cost, _)| total < *cost);
            if chosen.len() == task_count && is_cheaper {
                best = Some((total, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Stops the victims on the chosen hosts and reserves these hosts for the gang.
    fn preempt_and_reserve_for_gang(
        &mut self,
        cycle: &mut Cycle,
        id: &JobId,
        chosen: &[CandidatePlacement],
    ) {
        let grace = chosen.iter().map(|placement| placement.grace).max();
        let grace = grace.unwrap_or_default();
        let until = cycle.now + grace + FREED_CAPACITY_TIMEOUT;
        let slots: BTreeSet<usize> = chosen.iter().map(|placement| placement.slot).collect();
        for placement in chosen {
            let host = cycle.slots[placement.slot].id.clone();
            self.stop_victims(cycle, &host, &placement.victims, "preempted for a gang");
        }
        let hosts: Vec<HostId> = slots
            .iter()
            .map(|slot_index| cycle.slots[*slot_index].id.clone())
            .collect();
        if let Some(job) = self.jobs.get_mut(id) {
            job.awaited_capacity = hosts.iter().map(|host| (host.clone(), until)).collect();
            job.gang_hosts = Some(GangHosts {
                hosts,
                choice_expires_at: until,
                ready_at: cycle.now + grace,
            });
        }
    }

    /// Stops waiting for capacity that has not become free in time, and for all capacity awaited by
    /// jobs that have no pending task or are terminating.
    pub(crate) fn expire_preemptions(&mut self, now: Micros) {
        for job in self.jobs.values_mut() {
            if job.awaited_capacity.is_empty() {
                continue;
            }
            if job.pending() == 0 || job.termination.is_some() {
                job.awaited_capacity.clear();
            }
            job.awaited_capacity.retain(|(_, until)| now <= *until);
        }
    }
}
