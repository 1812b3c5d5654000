//! Gang scheduling: all tasks of a gang start together or none does. Hosts that become free soonest
//! are reserved for waiting gangs, because small tasks would otherwise take the capacity as it
//! becomes free.

use crate::{
    cycle::context::Cycle,
    cycle::placement::{ZoneCapacity, start_cost_ms, unproven_host_penalty_ms},
    host::{Host, LISTED_TASKS_MAX},
    job::{GangHosts, Job},
    partition::Partition,
};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, user::JobRequest};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which the hosts chosen for a waiting gang are kept before they are chosen again.
const HOST_CHOICE_LIFETIME: Micros = Micros::from_secs(1);
/// Number of gangs that may reserve hosts regardless of the number of usable hosts.
const MIN_RESERVING_GANGS: usize = 2;
/// Once [`MIN_RESERVING_GANGS`] gangs have reserved hosts, another gang may do so only while the
/// hosts reserved for gangs are at most the usable hosts divided by this number.
const GANG_HOSTS_DIVISOR: usize = 8;

impl Partition {
    /// Starts all tasks of a gang, or none if there is no capacity for all. A gang that cannot
    /// start may reserve hosts and its part of the team's limit, and may preempt work of lower
    /// priority.
    pub(crate) fn start_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        if !job.live.is_empty() || !job.unsaved_tasks.is_empty() {
            return;
        }
        if !self.may_start(cycle, &request, u64::from(request.tasks)) {
            if !job.failures.is_backing_off() {
                self.reserve_quota(cycle, id);
            }
            return;
        }
        let mut best: Option<(u64, Vec<usize>)> = None;
        let priority = job.priority();
        let has_searched =
            !cycle.is_infeasible(&request.each) && !cycle.lacks_hosts_for_gang(priority, &request);
        if has_searched {
            for zones in self.zone_sets(cycle, &request) {
                if let Some((cost, slots)) = self.find_gang_hosts(cycle, job, &request, &zones)
                    && best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost)
                {
                    best = Some((cost, slots));
                }
            }
        }
        // The search skips hosts that list or are avoided by this gang itself, so a negative result
        // does not apply to other gangs.
        if best.is_none()
            && has_searched
            && !job.failures.avoids_any()
            && !self.hosts.values().any(|host| host.has_task_of_job(id))
        {
            cycle.note_gang_without_hosts(priority, &request);
        }
        match best {
            Some((_, slots)) => {
                let attempt = self.next_attempt();
                if let Some(job) = self.jobs.get_mut(id) {
                    job.attempt = Some(attempt);
                    job.gang_hosts = None;
                    job.awaited_capacity.clear();
                }
                for (index, slot) in slots.into_iter().enumerate() {
                    self.start(cycle, id, index as u32, slot, Some(attempt));
                }
            }
            // A gang that is backing off after failures may fail on any host, so nothing is
            // preempted for it.
            None if job.failures.is_backing_off() => {}
            None => {
                self.choose_hosts_to_reserve(cycle, id, &request);
                self.preempt_for_gang(cycle, id);
                self.reserve_for_gang(cycle, id);
            }
        }
    }

    /// Returns the sets of zones over which a gang may be placed: one set per zone if all tasks
    /// must be in one zone, otherwise a single set of all zones. Only zones with enough free
    /// resources for one task count.
    fn zone_sets(&self, cycle: &Cycle, request: &JobRequest) -> Vec<BTreeSet<Name>> {
        let zones: BTreeSet<Name> = self
            .with_slots(cycle)
            .filter(|(_, slot, _)| slot.is_usable && request.each.fits(&slot.free))
            .map(|(_, _, host)| &host.zone)
            .filter(|zone| {
                request
                    .zone
                    .as_ref()
                    .is_none_or(|required| required == *zone)
            })
            .collect::<BTreeSet<&Name>>()
            .into_iter()
            .cloned()
            .collect();
        if request.one_zone {
            zones
                .into_iter()
                .map(|zone| BTreeSet::from([zone]))
                .collect()
        } else {
            vec![zones]
        }
    }

    /// Returns the slots of hosts with free capacity for every task of a gang within these zones,
    /// and the highest cost among the hosts. Returns `None` if there is not enough capacity.
    fn find_gang_hosts(
        &self,
        cycle: &Cycle,
        job: &Job,
        request: &JobRequest,
        zones: &BTreeSet<Name>,
    ) -> Option<(u64, Vec<usize>)> {
        let fitting_hosts: Vec<(usize, Resources, &Host)> = self
            .with_slots(cycle)
            .filter(|(slot_index, _, _)| cycle.fits(*slot_index, &request.id, &request.each))
            .filter(|(_, _, host)| zones.contains(&host.zone) && Self::is_feasible(job, host))
            .filter(|(_, _, host)| !host.has_task_of_job(&request.id))
            .map(|(slot_index, slot, host)| (slot_index, slot.free, host))
            .collect();
        // Most waiting gangs are turned away here, before the cost of any host is computed.
        let task_places: u64 = fitting_hosts
            .iter()
            .map(|(_, free, _)| request.each.count_in(free).min(u64::from(request.tasks)))
            .sum();
        if task_places < u64::from(request.tasks) {
            return None;
        }
        let mut candidates: Vec<_> = fitting_hosts
            .into_iter()
            .map(|(slot_index, free, host)| {
                let cost_ms = start_cost_ms(host, &free, request, cycle.now)
                    + unproven_host_penalty_ms(job, host, cycle.now);
                (cost_ms, slot_index, host, free)
            })
            .collect();
        candidates.sort_by_key(|(cost_ms, slot_index, _, _)| (*cost_ms, *slot_index));
        let mut slots = Vec::new();
        let mut tasks_by_zone: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut highest_cost_ms = 0;
        for (cost_ms, slot_index, host, mut free) in candidates {
            let mut listable_tasks =
                LISTED_TASKS_MAX.saturating_sub(cycle.slots[slot_index].listed_tasks);
            while slots.len() < request.tasks as usize
                && request.each.fits(&free)
                && listable_tasks > 0
            {
                listable_tasks -= 1;
                let in_zone = tasks_by_zone.entry(&host.zone).or_default();
                if *in_zone >= request.zone_cap() {
                    break;
                }
                *in_zone += 1;
                free -= request.each;
                highest_cost_ms = highest_cost_ms.max(cost_ms);
                slots.push(slot_index);
            }
        }
        (slots.len() == request.tasks as usize).then_some((highest_cost_ms, slots))
    }

    /// Chooses the hosts that become free soonest for a waiting gang, so that small tasks do not
    /// delay it indefinitely. An earlier choice is kept until it expires or one of its hosts
    /// becomes unavailable.
    fn choose_hosts_to_reserve(&mut self, cycle: &mut Cycle, id: &JobId, request: &JobRequest) {
        let Some(job) = self.jobs.get(id) else { return };
        let is_choice_valid = job.gang_hosts.as_ref().is_some_and(|chosen| {
            cycle.now < chosen.choice_expires_at
                && chosen.hosts.iter().all(|host| {
                    cycle.slot(host).is_some_and(|slot_index| {
                        let slot = &cycle.slots[slot_index];
                        slot.is_usable
                            && slot
                                .reserved_for
                                .as_ref()
                                .is_none_or(|reserved_for| reserved_for == id)
                    })
                })
        });
        if is_choice_valid || !self.may_reserve_for_gang(cycle, request) {
            return;
        }
        let mut ready_hosts: Vec<(Micros, usize, &Host)> = self
            .with_slots(cycle)
            .filter(|(_, slot, _)| slot.is_usable && slot.reserved_for.is_none())
            .filter(|(_, _, host)| Self::is_feasible(job, host))
            .filter_map(|(slot_index, _, host)| {
                Some((
                    self.expected_free_at(cycle, (slot_index, host), &request.each)?,
                    slot_index,
                    host,
                ))
            })
            .collect();
        ready_hosts.sort_by_key(|(free_at, slot_index, _)| (*free_at, *slot_index));
        let zone = request
            .one_zone
            .then(|| self.earliest_free_zone(&ready_hosts, request.tasks as usize))
            .flatten();
        let mut zones = ZoneCapacity::for_job(job, |_| None);
        let (mut hosts, mut ready_at): (Vec<HostId>, Micros) = (Vec::new(), cycle.now);
        for (free_at, _, host) in &ready_hosts {
            if hosts.len() == request.tasks as usize {
                break;
            }
            if zone.as_ref().is_none_or(|required| required == &host.zone)
                && zones.allows(&host.zone)
            {
                zones.add(&host.zone);
                hosts.push(host.id.clone());
                ready_at = ready_at.max(*free_at);
            }
        }
        let is_complete = hosts.len() == request.tasks as usize;
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang_hosts = is_complete.then_some(GangHosts {
                hosts,
                choice_expires_at: cycle.now + HOST_CHOICE_LIFETIME,
                ready_at,
            });
        }
    }

    /// Returns the zone in which `tasks` hosts become free soonest. `ready_hosts` is ordered by the
    /// time at which the hosts become free.
    fn earliest_free_zone(
        &self,
        ready_hosts: &[(Micros, usize, &Host)],
        tasks: usize,
    ) -> Option<Name> {
        let mut hosts_by_zone: BTreeMap<&Name, usize> = BTreeMap::new();
        for (_, _, host) in ready_hosts {
            let count = hosts_by_zone.entry(&host.zone).or_default();
            *count += 1;
            if *count == tasks {
                return Some(host.zone.clone());
            }
        }
        None
    }

    /// Returns whether another gang may reserve hosts in this cycle.
    fn may_reserve_for_gang(&self, cycle: &Cycle, request: &JobRequest) -> bool {
        let (gangs, hosts) = cycle.reserved_for_gangs;
        gangs < MIN_RESERVING_GANGS
            || hosts + request.tasks as usize <= cycle.usable_hosts() / GANG_HOSTS_DIVISOR
    }

    /// Reserves the hosts chosen for the gang, and its part of the team's limit, for the rest of
    /// the cycle.
    fn reserve_for_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(chosen) = &job.gang_hosts else {
            return;
        };
        if job.awaited_capacity.is_empty() && !self.may_reserve_for_gang(cycle, &job.request) {
            return;
        }
        let hosts = chosen.hosts.clone();
        self.reserve_quota(cycle, id);
        cycle.reserved_for_gangs.0 += 1;
        cycle.reserved_for_gangs.1 += hosts.len();
        for host in &hosts {
            if let Some(slot_index) = cycle.slot(host)
                && cycle.slots[slot_index].reserved_for.is_none()
            {
                cycle.slots[slot_index].reserved_for = Some(id.clone());
            }
        }
    }

    /// Returns when the host is expected to have free resources for one task, or `None` if running
    /// tasks that never end hold too much.
    fn expected_free_at(
        &self,
        cycle: &Cycle,
        (slot, host): (usize, &Host),
        each: &Resources,
    ) -> Option<Micros> {
        let now = cycle.now;
        let mut free = host.free_resources();
        if each.fits(&free) {
            return Some(now);
        }
        let mut free_at = now;
        let start = cycle.simulation_start(slot, || self.simulation_start_of(host, now));
        for task in start.running.iter().rev() {
            if each.fits(&free) {
                return Some(free_at);
            }
            if task.until == Micros::MAX {
                return None;
            }
            free_at = task.until;
            free += task.resources;
        }
        each.fits(&free).then_some(free_at)
    }
}
