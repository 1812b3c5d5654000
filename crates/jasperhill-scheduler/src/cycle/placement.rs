//! Which hosts suit a task that starts now, and which suits best.

use crate::{
    cycle::context::{Cycle, is_urgent},
    host::Host,
    job::Job,
    partition::Partition,
};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, TaskId, user::JobRequest};
use std::{cmp::Reverse, collections::BinaryHeap};

/// What it is worth to leave an empty machine whole.
const BREAK_MS: u64 = 4_000;

/// What it is worth to leave one accelerator the CPUs that its work needs.
const SPOIL_MS: f64 = 16_000.0;

/// How many of a host's accelerators a task without any would leave idle, because the CPUs of
/// their share are gone. Nothing while it runs beside work that has all accelerators, or on a
/// machine that has none.
fn spoils(host: &Host, room: &Resources, each: &Resources) -> f64 {
    let capacity = &host.spec.capacity;
    if each.gpus > 0 || capacity.gpus == 0 || capacity.cpus == 0 {
        return 0.0;
    }
    let share = capacity.cpus as f64 / capacity.gpus as f64;
    let served = |cpus: u64| (room.gpus as f64).min(cpus as f64 / share);
    (served(room.cpus) - served(room.cpus.saturating_sub(each.cpus))) / 1e6
}

/// The expected wait for the image.
pub fn start_delay(host: &Host, request: &JobRequest, now: Micros) -> Micros {
    host.image_wait(&request.image, request.image_gb, now)
}

/// How well a host suits a task that starts now, in milliseconds of wait that it is worth:
/// quick to start, then tightly packed, so that whole machines stay free for gangs.
pub(crate) fn cost(host: &Host, room: &Resources, request: &JobRequest, now: Micros) -> u64 {
    let delay = start_delay(host, request, now).scale(host.slowness.clamp(1.0, 2.0));
    let slow = if host.slowness > 1.5 { 30_000 } else { 0 };
    // Work that may run on cheap machines leaves the ordinary ones to the rest.
    let kind = if request.spot != host.spot { 2_000 } else { 0 };
    let small = request.each.count_in(&host.spec.capacity) >= 2;
    let breaks = if small && room == &host.spec.capacity {
        BREAK_MS
    } else {
        0
    };
    let spoilt = SPOIL_MS * spoils(host, room, &request.each);
    let tight = 1_000.0 * (1.0 - request.each.share_of(room).min(1.0));
    delay.0 / 1_000 + slow + kind + breaks + (spoilt + tight) as u64
}

/// A suspect job is tried where others succeed, so that the try tells something.
pub(crate) fn unproven_penalty(job: &Job, host: &Host, now: Micros) -> u64 {
    if job.failures.is_backing_off() && !host.has_served_others(&job.request.id, now) {
        60_000
    } else {
        0
    }
}

/// How many more tasks of a job each zone may hold, kept up to date while tasks start, so
/// that the job's other tasks are looked up once and not for every host.
#[derive(Clone, Debug)]
pub(crate) struct ZoneCapacity {
    /// `None`: any number anywhere.
    cap: Option<u32>,
    one_zone: bool,
    /// A task is on a host whose zone is not known.
    lost: bool,
    here: Vec<(Name, u32)>,
}

impl ZoneCapacity {
    /// For the live tasks of a job.
    pub fn of(job: &Job, zone_of: impl Fn(&HostId) -> Option<Name>) -> Self {
        Self::among(&job.request, job.live.values(), zone_of)
    }

    /// For tasks on these hosts.
    pub fn among<'a>(
        r: &JobRequest,
        hosts: impl Iterator<Item = &'a HostId>,
        zone_of: impl Fn(&HostId) -> Option<Name>,
    ) -> Self {
        let mut rooms = Self {
            cap: (r.one_zone || r.spread).then(|| r.zone_cap()),
            one_zone: r.one_zone,
            lost: false,
            here: Vec::new(),
        };
        if rooms.cap.is_some() {
            for host in hosts {
                match zone_of(host) {
                    Some(zone) => rooms.add(&zone),
                    None => rooms.lost = true,
                }
            }
        }
        rooms
    }

    /// One more task is in this zone.
    pub fn add(&mut self, zone: &Name) {
        match self.here.iter_mut().find(|(z, _)| z == zone) {
            Some((_, n)) => *n += 1,
            None => self.here.push((zone.clone(), 1)),
        }
    }

    /// Whether one more task may go to this zone.
    pub fn allows(&self, zone: &Name) -> bool {
        let Some(cap) = self.cap else { return true };
        if self.one_zone && (self.lost || self.here.iter().any(|(z, n)| z != zone && *n > 0)) {
            // One of them is elsewhere, or who knows where.
            return false;
        }
        self.here
            .iter()
            .find(|(z, _)| z == zone)
            .map_or(0, |(_, n)| *n)
            < cap
    }
}

/// The hosts that could take a task of one job now, the most suitable first. Tasks of a job
/// are equal, so that only the host that took one has to be judged anew.
pub(crate) struct Candidates {
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

impl Candidates {
    /// No host is left.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

impl Partition {
    /// The zone of a host; `None` for one that is not in this partition.
    pub(crate) fn zone_of(&self, host: &HostId) -> Option<Name> {
        self.hosts.get(host).map(|h| h.zone.clone())
    }

    /// What the zones may still hold of this job.
    pub(crate) fn zone_capacity(&self, job: &Job) -> ZoneCapacity {
        ZoneCapacity::of(job, |h| self.zone_of(h))
    }

    /// Whether tasks of this job may go to this host, as far as that does not depend on where
    /// the others are.
    pub(crate) fn is_feasible(job: &Job, host: &Host) -> bool {
        job.request
            .allows_host(&host.spec.machine_type, &host.zone, host.spot)
            && !job.failures.avoids(&host.id)
    }

    /// `behind_none`: only hosts where no admitted work waits.
    pub(crate) fn candidates(&self, cycle: &Cycle, job: &Job, behind_none: bool) -> Candidates {
        let r = &job.request;
        let heap = self
            .with_slots(cycle)
            .filter(|(i, _, _)| cycle.fits(*i, &r.id, &r.each))
            .filter(|(_, _, host)| !behind_none || host.queue.is_empty())
            .filter(|(_, _, host)| Self::is_feasible(job, host))
            .map(|(i, slot, host)| {
                let cost =
                    cost(host, &slot.free, r, cycle.now) + unproven_penalty(job, host, cycle.now);
                Reverse((cost, i))
            })
            .collect();
        Candidates { heap }
    }

    /// The best candidate for task `i`.
    pub(crate) fn best(
        &self,
        cycle: &Cycle,
        candidates: &mut Candidates,
        zones: &ZoneCapacity,
        (id, each): (&JobId, &Resources),
        i: u32,
    ) -> Option<usize> {
        let mut aside = Vec::new();
        let mut found = None;
        while let Some(Reverse((cost, slot))) = candidates.heap.pop() {
            let Some(host) = cycle.slots.get(slot).and_then(|s| self.hosts.get(&s.id)) else {
                continue;
            };
            // Full, or full for this job: it stays so while the cycle goes on.
            if !zones.allows(&host.zone) || !cycle.fits(slot, id, each) {
                continue;
            }
            aside.push(Reverse((cost, slot)));
            if !host.tasks.contains_key(&TaskId::new(id, i)) {
                found = Some(slot);
                break;
            }
        }
        candidates.heap.extend(aside);
        found
    }

    /// A task was started on this candidate: it is judged anew.
    pub(crate) fn rescore(
        &self,
        cycle: &Cycle,
        candidates: &mut Candidates,
        slot: usize,
        request: &JobRequest,
        behind_none: bool,
    ) {
        let old = candidates
            .heap
            .peek()
            .is_some_and(|Reverse((_, top))| *top == slot);
        if old {
            candidates.heap.pop();
        } else {
            candidates.heap.retain(|Reverse((_, s))| *s != slot);
        }
        if !cycle.fits(slot, &request.id, &request.each) {
            return;
        }
        if let Some(host) = cycle.slots.get(slot).and_then(|s| self.hosts.get(&s.id))
            && (!behind_none || host.queue.is_empty())
        {
            let room = &cycle.slots[slot].free;
            let cost = cost(host, room, request, cycle.now);
            candidates.heap.push(Reverse((cost, slot)));
        }
    }

    /// Deadline-free tasks that start alone: services and plain arrays.
    pub(crate) fn start_without_deadline(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let production = job.is_production();
        let suspect = job.failures.is_backing_off();
        if cycle.is_infeasible(&request.each) && !production {
            return;
        }
        // The rest queues last: never ahead of admitted work that waits there.
        let behind_none = !is_urgent(job);
        let mut candidates = self.candidates(cycle, job, behind_none);
        let mut zones = self.zone_capacity(job);
        let patience = self.longest_wait(job, cycle.now);
        loop {
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            if job.startable() == 0 {
                return;
            }
            let Some(i) = job.next_pending() else { return };
            let (pending, making) = (job.pending() as usize, job.preempting.len());
            if !self.may_start(cycle, &request, 1) {
                return;
            }
            let best = self.best(cycle, &mut candidates, &zones, (id, &request.each), i);
            let wait = best
                .and_then(|slot| self.hosts.get(&cycle.slots[slot].id))
                .map_or(Micros::MAX, |h| start_delay(h, &request, cycle.now));
            // Production does not wait for an image where stopping lesser work elsewhere lets
            // it start at once; room is made for as many of its tasks as wait.
            if production && wait > patience && !suspect {
                if best.is_none() {
                    self.record_blocked_replica(cycle, id, i);
                }
                if making >= pending {
                    return;
                }
                if self.preempt_for_replica(cycle, id, i, &zones, wait) {
                    continue;
                }
            }
            let Some(slot) = best else { return };
            self.start(cycle, id, i, slot, None);
            if let Some(zone) = self.zone_of(&cycle.slots[slot].id) {
                zones.add(&zone);
            }
            self.rescore(cycle, &mut candidates, slot, &request, behind_none);
        }
    }
}
