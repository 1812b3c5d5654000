//! Gangs: started whole or not at all, and hosts kept free for those that wait.

use crate::{
    cycle::context::Cycle,
    cycle::placement::{ZoneCapacity, cost, unproven_penalty},
    host::{Host, LISTED_MAX},
    job::{GangHosts, Job},
    partition::Partition,
};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, user::JobRequest};
use std::collections::{BTreeMap, BTreeSet};

/// How long the choice of hosts kept for a waiting gang stands before it is made anew.
const CHOICE_LASTS: Micros = Micros::from_secs(1);
/// Gangs that may keep hosts however few there are.
const HOLDING_GANGS: usize = 2;
/// Beyond these, no more than this part of the hosts is kept.
const GANG_HOSTS_PART: usize = 8;

impl Partition {
    /// Starts a gang whole or not at all.
    pub(crate) fn start_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        if !job.live.is_empty() || !job.unsaved.is_empty() {
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
        let looked =
            !cycle.is_infeasible(&request.each) && !cycle.is_gang_without_hosts(priority, &request);
        if looked {
            for zones in self.zone_sets(cycle, &request) {
                if let Some((cost, slots)) = self.find_hosts(cycle, job, &request, &zones)
                    && best.as_ref().is_none_or(|(c, _)| cost < *c)
                {
                    best = Some((cost, slots));
                }
            }
        }
        // Where it is listed itself does not count for others.
        if best.is_none()
            && looked
            && !job.failures.avoids_any()
            && !self.hosts.values().any(|h| h.lists_job(id))
        {
            cycle.note_gang_without_hosts(priority, &request);
        }
        match best {
            Some((_, slots)) => {
                let attempt = self.next_attempt();
                if let Some(job) = self.jobs.get_mut(id) {
                    job.attempt = Some(attempt);
                    job.gang_hosts = None;
                    job.preempting.clear();
                }
                for (i, slot) in slots.into_iter().enumerate() {
                    self.start(cycle, id, i as u32, slot, Some(attempt));
                }
            }
            // Nobody is preempted for what fails wherever it runs.
            None if job.failures.is_backing_off() => {}
            None => {
                self.choose_hosts(cycle, id, &request);
                self.preempt_for_gang(cycle, id);
                self.reserve_for_gang(cycle, id);
            }
        }
    }

    /// The sets of zones that a gang may be spread over.
    fn zone_sets(&self, cycle: &Cycle, request: &JobRequest) -> Vec<BTreeSet<Name>> {
        let zones: BTreeSet<Name> = self
            .with_slots(cycle)
            .filter(|(_, slot, _)| slot.usable && request.each.fits(&slot.free))
            .map(|(_, _, h)| &h.zone)
            .filter(|z| request.zone.as_ref().is_none_or(|want| want == *z))
            .collect::<BTreeSet<&Name>>()
            .into_iter()
            .cloned()
            .collect();
        if request.one_zone {
            zones.into_iter().map(|z| BTreeSet::from([z])).collect()
        } else {
            vec![zones]
        }
    }

    /// Hosts for every task of a gang within these zones, with room now.
    fn find_hosts(
        &self,
        cycle: &Cycle,
        job: &Job,
        request: &JobRequest,
        zones: &BTreeSet<Name>,
    ) -> Option<(u64, Vec<usize>)> {
        let fitting: Vec<(usize, Resources, &Host)> = self
            .with_slots(cycle)
            .filter(|(i, _, _)| cycle.fits(*i, &request.id, &request.each))
            .filter(|(_, _, host)| zones.contains(&host.zone) && Self::is_feasible(job, host))
            .filter(|(_, _, host)| !host.lists_job(&request.id))
            .map(|(i, slot, host)| (i, slot.free, host))
            .collect();
        // Most waiting gangs end here, before any host is judged.
        let places: u64 = fitting
            .iter()
            .map(|(_, room, _)| request.each.count_in(room).min(u64::from(request.tasks)))
            .sum();
        if places < u64::from(request.tasks) {
            return None;
        }
        let mut candidates: Vec<_> = fitting
            .into_iter()
            .map(|(i, room, host)| {
                let cost =
                    cost(host, &room, request, cycle.now) + unproven_penalty(job, host, cycle.now);
                (cost, i, host, room)
            })
            .collect();
        candidates.sort_by_key(|(cost, i, _, _)| (*cost, *i));
        let mut slots = Vec::new();
        let mut by_zone: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut worst = 0;
        for (cost, i, host, mut room) in candidates {
            let mut more = LISTED_MAX.saturating_sub(cycle.slots[i].listed);
            while slots.len() < request.tasks as usize && request.each.fits(&room) && more > 0 {
                more -= 1;
                let used = by_zone.entry(&host.zone).or_default();
                if *used >= request.zone_cap() {
                    break;
                }
                *used += 1;
                room -= request.each;
                worst = worst.max(cost);
                slots.push(i);
            }
        }
        (slots.len() == request.tasks as usize).then_some((worst, slots))
    }

    /// Chooses the hosts that are free the soonest for a waiting gang, so that small work does
    /// not hold it up for ever. Looked up again only now and then.
    fn choose_hosts(&mut self, cycle: &mut Cycle, id: &JobId, request: &JobRequest) {
        let Some(job) = self.jobs.get(id) else { return };
        let stands = job.gang_hosts.as_ref().is_some_and(|k| {
            cycle.now < k.until
                && k.hosts.iter().all(|h| {
                    cycle.slot(h).is_some_and(|i| {
                        let slot = &cycle.slots[i];
                        slot.usable && slot.reserved.as_ref().is_none_or(|j| j == id)
                    })
                })
        });
        if stands || !self.may_reserve_for_gang(cycle, request) {
            return;
        }
        let mut ready: Vec<(Micros, usize, &Host)> = self
            .with_slots(cycle)
            .filter(|(_, slot, _)| slot.usable && slot.reserved.is_none())
            .filter(|(_, _, h)| Self::is_feasible(job, h))
            .filter_map(|(i, _, h)| Some((self.free_at(cycle, (i, h), &request.each)?, i, h)))
            .collect();
        ready.sort_by_key(|(t, i, _)| (*t, *i));
        let zone = request
            .one_zone
            .then(|| self.soonest_zone(&ready, request.tasks as usize))
            .flatten();
        let mut zones = ZoneCapacity::of(job, |_| None);
        let (mut hosts, mut at): (Vec<HostId>, Micros) = (Vec::new(), cycle.now);
        for (t, _, h) in &ready {
            if hosts.len() == request.tasks as usize {
                break;
            }
            if zone.as_ref().is_none_or(|z| z == &h.zone) && zones.allows(&h.zone) {
                zones.add(&h.zone);
                hosts.push(h.id.clone());
                at = at.max(*t);
            }
        }
        let whole = hosts.len() == request.tasks as usize;
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang_hosts = whole.then_some(GangHosts {
                hosts,
                until: cycle.now + CHOICE_LASTS,
                ready: at,
            });
        }
    }

    /// The zone where that many hosts are free the soonest.
    fn soonest_zone(&self, ready: &[(Micros, usize, &Host)], tasks: usize) -> Option<Name> {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for (_, _, h) in ready {
            let n = counts.entry(&h.zone).or_default();
            *n += 1;
            if *n == tasks {
                return Some(h.zone.clone());
            }
        }
        None
    }

    fn may_reserve_for_gang(&self, cycle: &Cycle, request: &JobRequest) -> bool {
        let (gangs, hosts) = cycle.reserved_for_gangs;
        gangs < HOLDING_GANGS || hosts + request.tasks as usize <= cycle.usable() / GANG_HOSTS_PART
    }

    /// Keeps the chosen hosts for the rest of the cycle.
    fn reserve_for_gang(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(kept) = &job.gang_hosts else { return };
        if job.preempting.is_empty() && !self.may_reserve_for_gang(cycle, &job.request) {
            return;
        }
        let hosts = kept.hosts.clone();
        self.reserve_quota(cycle, id);
        cycle.reserved_for_gangs.0 += 1;
        cycle.reserved_for_gangs.1 += hosts.len();
        for host in &hosts {
            if let Some(i) = cycle.slot(host)
                && cycle.slots[i].reserved.is_none()
            {
                cycle.slots[i].reserved = Some(id.clone());
            }
        }
    }

    /// When the host is expected to have room for this, if ever.
    fn free_at(
        &self,
        cycle: &Cycle,
        (slot, host): (usize, &Host),
        each: &Resources,
    ) -> Option<Micros> {
        let now = cycle.now;
        let mut room = host.free_resources();
        if each.fits(&room) {
            return Some(now);
        }
        let mut at = now;
        let begin = cycle.simulation_start(slot, || self.simulation_start_of(host, now));
        for o in begin.running.iter().rev() {
            if each.fits(&room) {
                return Some(at);
            }
            if o.until == Micros::MAX {
                return None;
            }
            at = o.until;
            room += o.each;
        }
        each.fits(&room).then_some(at)
    }
}
