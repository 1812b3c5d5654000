//! Preemption: lesser work is stopped for production tasks and gangs that find no capacity.

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

/// Microseconds: delays are compared by whole seconds before the work that is lost.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// How long after the last victim must be gone the freed capacity is waited for.
const FREED_CAPACITY_LASTS: Micros = Micros::from_secs(4);
/// Capacity that comes by itself this soon is waited for.
const SOON: Micros = Micros::from_secs(3);

/// What stopping normal instead of low work is counted as.
const MORE_IMPORTANT: Micros = Micros::from_secs(20);
/// What has not run for so long has hardly started, and what stopping it is counted as.
const FRESH: Micros = Micros::from_secs(30);
const FRESH_COST: Micros = Micros::from_secs(10);

/// What a replica that finds no capacity looks for.
struct ReplicaSearch<'a> {
    job: &'a Job,
    task: TaskId,
    zones: &'a ZoneCapacity,
    /// How long it waits where it could go already; [`Micros::MAX`]: it can go nowhere.
    wait: Micros,
    /// How long it may wait before lesser work is stopped for it.
    longest_wait: Micros,
}

/// Where a replica could go once these victims are gone.
struct ReplicaPlacement {
    /// The start delay in whole seconds, then the work that is lost.
    cost: (u64, Micros),
    slot: usize,
    victims: Vec<TaskId>,
    grace: Micros,
}

/// A place for one more task of a gang: what it costs, where, and who must go for it.
struct CandidatePlacement {
    /// Microseconds of delay and of work that is lost.
    cost: u64,
    /// The slot of the host.
    at: usize,
    victims: Vec<TaskId>,
    grace: Micros,
}

/// Places for tasks of a gang.
#[derive(Default)]
struct GangCandidates {
    /// By zone if all tasks must be in one, else under an empty name.
    by_zone: BTreeMap<Name, Vec<CandidatePlacement>>,
    /// Some host still lists a task of the gang.
    is_listed: bool,
}

impl Partition {
    /// What could be stopped on a host for work of this priority, the least loss first.
    /// `whole`: also gangs of several tasks, which are stopped whole.
    fn victims(&self, host: &Host, than: Priority, whole: bool, now: Micros) -> Vec<Victim> {
        let mut victims: Vec<Victim> = host
            .tasks
            .iter()
            // What is stopping already makes room for somebody else.
            .filter(|(_, t)| t.holds_resources() && t.stopping.is_none())
            .filter_map(|(task, t)| {
                let other = self.jobs.get(&task.job)?;
                let size = if other.is_gang() {
                    other.request.tasks
                } else {
                    1
                };
                let lower = other.priority() > than && !other.is_service();
                (lower && (whole || size == 1)).then(|| {
                    let (lost, grace) = if other.checkpoints() {
                        (other.request.checkpoint_time, other.request.checkpoint_time)
                    } else {
                        (now - t.running.unwrap_or(now), Micros::ZERO)
                    };
                    // The least important goes first; a start undone so soon was for nothing.
                    let rank = u64::from(other.priority() == Priority::Normal);
                    let fresh = t.running.is_none_or(|r| now - r < FRESH);
                    let lost = lost
                        + Micros(MORE_IMPORTANT.0 * rank)
                        + if fresh { FRESH_COST } else { Micros::ZERO };
                    Victim {
                        lost_work: Micros(lost.0.saturating_mul(u64::from(size))),
                        task: task.clone(),
                        each: t.each,
                        grace,
                    }
                })
            })
            .collect();
        victims.sort_by_key(|v| v.lost_work);
        victims
    }

    fn stop_victims(
        &mut self,
        cycle: &Cycle,
        host: &HostId,
        victims: &[TaskId],
        why: &'static str,
    ) {
        cycle.invalidate_host(host);
        for task in victims {
            let Some(other) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            other.preempted += 1;
            if other.is_gang() {
                other.live.values().for_each(|h| cycle.invalidate_host(h));
            }
            self.stop_with_grace(host, task, why, cycle.now);
        }
    }

    /// Stops work of lower priority for a production task that finds no free capacity. True if
    /// capacity is now being freed where the wait is shorter than `wait`.
    pub(crate) fn preempt_for_replica(
        &mut self,
        cycle: &mut Cycle,
        id: &JobId,
        index: u32,
        zones: &ZoneCapacity,
        wait: Micros,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut zones = zones.clone();
        for (host, _) in &job.preempting {
            if let Some(zone) = self.zone_of(host) {
                zones.add(&zone);
            }
        }
        let search = ReplicaSearch {
            job,
            task: TaskId::new(id, index),
            zones: &zones,
            wait,
            longest_wait: self.longest_wait(job, cycle.now),
        };
        let mut best: Option<ReplicaPlacement> = None;
        for (at, slot, host) in self.with_slots(cycle) {
            let found = self.replica_placement(cycle, &search, (at, slot, host));
            if let Some(found) = found
                && best.as_ref().is_none_or(|best| found.cost < best.cost)
            {
                best = Some(found);
            }
        }
        let each = job.request.each;
        let Some(best) = best else {
            return false;
        };
        let host = cycle.slots[best.slot].id.clone();
        self.stop_victims(cycle, &host, &best.victims, "preempted for production");
        if let Some(job) = self.jobs.get_mut(id) {
            let until = cycle.now + best.grace + FREED_CAPACITY_LASTS;
            job.preempting.push((host, until));
        }
        cycle.take(best.slot, &each);
        true
    }

    /// What it would take to place a replica on this host; `None` if that can't be, or is no
    /// sooner than where it could go already.
    fn replica_placement(
        &self,
        cycle: &Cycle,
        search: &ReplicaSearch<'_>,
        (at, slot, host): (usize, &HostSlot, &Host),
    ) -> Option<ReplicaPlacement> {
        let (request, priority) = (&search.job.request, search.job.priority());
        if !slot.usable
            || slot.reserved.as_ref().is_some_and(|job| job != &request.id)
            || !Self::is_feasible(search.job, host)
            || !search.zones.allows(&host.zone)
            || host.tasks.contains_key(&search.task)
        {
            return None;
        }
        let has_nowhere = search.wait == Micros::MAX;
        let delay = start_delay(host, request, cycle.now);
        // Where it would start late all the same, lesser work is not stopped for it: in a cold
        // start every image is still on its way, and such work would be stopped again and again.
        let is_late = delay + search.longest_wait >= search.wait || delay > search.longest_wait;
        if !has_nowhere && is_late {
            return None;
        }
        // Gangs of several tasks go only where there is no capacity at all: a replica never waits
        // for a machine that lesser work of any shape holds.
        let victims = cycle.victims(at, priority, has_nowhere, || {
            self.victims(host, priority, has_nowhere, cycle.now)
        });
        let (mut free, mut chosen) = (slot.free, Vec::new());
        let (mut lost_work, mut grace) = (Micros::ZERO, Micros::ZERO);
        for victim in victims.iter() {
            if request.each.fits(&free) {
                break;
            }
            free += victim.each;
            lost_work += victim.lost_work;
            grace = grace.max(victim.grace);
            chosen.push(victim.task.clone());
        }
        let delay = delay + grace;
        let is_sooner = has_nowhere || delay + search.longest_wait < search.wait;
        (request.each.fits(&free) && !chosen.is_empty() && is_sooner).then_some(ReplicaPlacement {
            cost: (delay.0 / MICROS_PER_SECOND, lost_work),
            slot: at,
            victims: chosen,
            grace,
        })
    }

    /// Stops lesser work for a gang that does not find capacity for all of its tasks. The hosts
    /// are held for it until it starts or the capacity has not come about in time.
    pub(crate) fn preempt_for_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (request, priority) = (job.request.clone(), job.priority());
        let held = job.gang_hosts.as_ref();
        let has_hosts_soon = held.is_some_and(|held| held.ready <= cycle.now + SOON);
        if !job.preempting.is_empty()
            || has_hosts_soon
            || cycle.is_gang_without_victims(priority, &request)
        {
            return;
        }
        let candidates = self.gang_candidates(cycle, job);
        match self.cheapest_gang_placement(cycle, job, candidates.by_zone) {
            Some(chosen) => self.clear_for_gang(cycle, id, &chosen),
            // Where it is itself does not count for others.
            None if candidates.is_listed || job.failures.avoids_any() => {}
            None => cycle.note_gang_without_victims(priority, &request),
        }
    }

    /// The places on every host that one more task of a gang could take, free ones first.
    fn gang_candidates(&self, cycle: &Cycle, job: &Job) -> GangCandidates {
        let request = &job.request;
        let mut candidates = GangCandidates::default();
        for (at, slot, host) in self.with_slots(cycle) {
            if !slot.usable
                || slot.reserved.as_ref().is_some_and(|j| j != &request.id)
                || !Self::is_feasible(job, host)
                || !request.each.fits(&host.spec.capacity)
            {
                continue;
            }
            if host.lists_job(&request.id) {
                candidates.is_listed = true;
                continue;
            }
            let zone = if request.one_zone {
                host.zone.clone()
            } else {
                Name::from("")
            };
            let places = candidates.by_zone.entry(zone).or_default();
            places.extend(self.gang_places(cycle, job, (at, slot, host)));
        }
        candidates
    }

    /// The places on one host, those without victims first; no more than the gang has tasks.
    fn gang_places(
        &self,
        cycle: &Cycle,
        job: &Job,
        (at, slot, host): (usize, &HostSlot, &Host),
    ) -> Vec<CandidatePlacement> {
        let (request, priority) = (&job.request, job.priority());
        let wanted = request.tasks as usize;
        let delay = start_delay(host, request, cycle.now).0;
        let mut free = slot.free;
        let mut places = Vec::new();
        while places.len() < wanted && request.each.fits(&free) {
            free -= request.each;
            places.push(CandidatePlacement {
                cost: delay,
                at,
                victims: Vec::new(),
                grace: Micros::ZERO,
            });
        }
        let victims = cycle.victims(at, priority, true, || {
            self.victims(host, priority, true, cycle.now)
        });
        let (mut stopped, mut lost_work, mut grace) = (Vec::new(), 0, Micros::ZERO);
        for victim in victims.iter() {
            if places.len() >= wanted {
                break;
            }
            free += victim.each;
            lost_work += victim.lost_work.0;
            grace = grace.max(victim.grace);
            stopped.push(victim.task.clone());
            if request.each.fits(&free) {
                free -= request.each;
                places.push(CandidatePlacement {
                    cost: delay + grace.0 + lost_work,
                    at,
                    victims: std::mem::take(&mut stopped),
                    grace,
                });
            }
        }
        places
    }

    /// Places for all tasks of a gang, in the zone or zones where they cost the least together.
    fn cheapest_gang_placement(
        &self,
        cycle: &Cycle,
        job: &Job,
        by_zone: BTreeMap<Name, Vec<CandidatePlacement>>,
    ) -> Option<Vec<CandidatePlacement>> {
        let wanted = job.request.tasks as usize;
        let mut best: Option<(u64, Vec<CandidatePlacement>)> = None;
        for mut places in by_zone.into_values() {
            places.sort_by_key(|place| (place.cost, place.at, place.victims.len()));
            let mut zones = ZoneCapacity::of(job, |_| None);
            let (mut total, mut chosen) = (0, Vec::new());
            for place in places {
                let zone = self.zone_of(&cycle.slots[place.at].id);
                let zone = zone.unwrap_or_else(|| Name::from(""));
                if chosen.len() < wanted && zones.allows(&zone) {
                    zones.add(&zone);
                    total += place.cost;
                    chosen.push(place);
                }
            }
            let is_cheaper = best.as_ref().is_none_or(|(cost, _)| total < *cost);
            if chosen.len() == wanted && is_cheaper {
                best = Some((total, chosen));
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Stops the victims on the chosen hosts, and holds these for the gang.
    fn clear_for_gang(&mut self, cycle: &mut Cycle, id: &JobId, chosen: &[CandidatePlacement]) {
        let grace = chosen.iter().map(|place| place.grace).max();
        let grace = grace.unwrap_or_default();
        let until = cycle.now + grace + FREED_CAPACITY_LASTS;
        let slots: BTreeSet<usize> = chosen.iter().map(|place| place.at).collect();
        for place in chosen {
            let host = cycle.slots[place.at].id.clone();
            self.stop_victims(cycle, &host, &place.victims, "preempted for a gang");
        }
        let hosts: Vec<HostId> = slots.iter().map(|at| cycle.slots[*at].id.clone()).collect();
        if let Some(job) = self.jobs.get_mut(id) {
            job.preempting = hosts.iter().map(|host| (host.clone(), until)).collect();
            job.gang_hosts = Some(GangHosts {
                hosts,
                until,
                ready: cycle.now + grace,
            });
        }
    }

    /// Room that has not come about in time is not waited for any longer.
    pub(crate) fn expire_preemptions(&mut self, now: Micros) {
        for job in self.jobs.values_mut() {
            if job.preempting.is_empty() {
                continue;
            }
            if job.pending() == 0 || job.termination.is_some() {
                job.preempting.clear();
            }
            job.preempting.retain(|(_, until)| now <= *until);
        }
    }
}
