//! Admission control for work with deadlines: the admission test, reservations in the hosts' queues
//! by simulating their schedules, and the starts of reserved tasks.

use crate::{
    config::fetch_time,
    cycle::context::{Cycle, SimulationStart},
    cycle::placement::start_delay,
    host::{Host, TaskState},
    job::{Job, TaskStep},
    partition::{AdmissionDecision, Partition},
    schedule_simulation::{
        Occupied, Reservation, count_missed, density, insert_by_deadline, insert_position,
        remaining,
    },
};
use jasperhill_wire::{HostId, JobId, Micros, TaskId, user::JobRequest};
use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BinaryHeap, HashSet},
    rc::Rc,
};

/// Tasks of one job that are reserved in one cycle; the rest follows in later ones.
const RESERVATIONS_MAX: u64 = 256;

/// The deadline of what has missed its own.
pub(crate) const NO_DEADLINE: Micros = Micros::from_secs(86_400);

/// What a host would make of one more reservation: fewer new misses first, then the lower
/// density, then the host's place.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rank {
    missed: usize,
    dense: f64,
    slot: usize,
}

impl Eq for Rank {}
impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.missed
            .cmp(&other.missed)
            .then(self.dense.total_cmp(&other.dense))
            .then(self.slot.cmp(&other.slot))
    }
}

impl Partition {
    /// The reservation that a task would have on this host.
    pub(crate) fn reservation(
        &self,
        host: &Host,
        task: &TaskId,
        request: &JobRequest,
        due: Micros,
        now: Micros,
    ) -> Reservation {
        let delay = start_delay(host, request, now).scale(self.config.tuning.uncertainty);
        Reservation {
            task: task.clone(),
            each: request.each,
            adjusted_deadline: due - delay,
            estimate: self.estimate(request).scale(host.slowness.max(1.0)),
        }
    }

    /// What holds room on a host and until about when, the soonest to end last.
    pub(crate) fn occupied(&self, host: &Host, now: Micros) -> Vec<Occupied> {
        let mut occupied: Vec<Occupied> = host
            .tasks
            .iter()
            .filter(|(_, t)| t.holds_resources())
            .map(|(task, t)| {
                let until = match (self.jobs.get(&task.job), t.stopping) {
                    (Some(_), Some((grace, since))) => {
                        (since + grace).max(now) + Micros::from_secs(1)
                    }
                    (Some(j), None) if j.is_service() => Micros::MAX,
                    (Some(j), None) => {
                        let (started, wait) = match (t.running, t.state) {
                            (Some(started), _) => (started, Micros::ZERO),
                            (None, TaskState::Fetching | TaskState::Ordered) => {
                                (now, start_delay(host, &j.request, now))
                            }
                            _ => (now, Micros::ZERO),
                        };
                        let estimate = self.estimate(&j.request).scale(host.slowness.max(1.0));
                        now + wait + remaining(estimate, now - started)
                    }
                    (None, _) => now + Micros::from_secs(2),
                };
                Occupied {
                    until,
                    each: t.each,
                }
            })
            .collect();
        occupied.sort_by_key(|o| Reverse(o.until));
        occupied
    }

    /// What the schedule simulations on a host begin with.
    pub(crate) fn simulation_start_of(&self, host: &Host, now: Micros) -> SimulationStart {
        let running: Rc<[Occupied]> = self.occupied(host, now).into();
        SimulationStart {
            misses: count_missed(now, host.free_resources(), &running, &host.queue),
            running,
        }
    }

    /// The schedule simulation on one host with one more reservation: new misses, and the density.
    fn rank(&self, cycle: &Cycle, host: &Host, slot: usize, reservation: &Reservation) -> Rank {
        let now = cycle.now;
        let room = host.free_resources();
        if host.queue.is_empty() && reservation.each.fits(&room) {
            // Starts at once: nothing else bears on it.
            let missed = usize::from(now + reservation.estimate > reservation.adjusted_deadline);
            let dense = density(now, [reservation]);
            return Rank {
                missed,
                dense,
                slot,
            };
        }
        let begin = cycle.simulation_start(slot, || self.simulation_start_of(host, now));
        let (head, tail) = host
            .queue
            .split_at(insert_position(&host.queue, reservation));
        let with = || head.iter().chain([reservation]).chain(tail);
        Rank {
            missed: count_missed(now, room, &begin.running, with()).saturating_sub(begin.misses),
            dense: density(now, with()),
            slot,
        }
    }

    /// Reserves hosts for pending tasks of an admitted job, as far as the team's limit goes. The
    /// schedule simulation over all hosts is made once for the job: its tasks are equal, and a
    /// reservation changes the outcome only on the host that got it.
    ///
    /// An admitted task that would miss everywhere goes where the fewest do.
    pub(crate) fn reserve(&mut self, cycle: &Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.pending() == 0 {
            return;
        }
        let request = job.request.clone();
        let Some(due) = job.due else { return };
        let due = if job.missed_deadline {
            cycle.now + NO_DEADLINE
        } else {
            due
        };
        let taken = job.reserved.len() as u64;
        if !self.may_start(cycle, &request, taken + 1) {
            return;
        }
        let mut hosts = self.ranked_hosts(cycle, job, due);
        for more in 1..=RESERVATIONS_MAX {
            if !self.may_start(cycle, &request, taken + more) {
                return;
            }
            let Some(index) = self.jobs.get_mut(id).and_then(Job::next_pending) else {
                return;
            };
            let task = TaskId::new(id, index);
            let Some((slot, chosen)) = self.pop_best_for(cycle, &mut hosts, &task) else {
                return;
            };
            let Some(host) = self.hosts.get(&chosen) else {
                return;
            };
            let reservation = self.reservation(host, &task, &request, due, cycle.now);
            if let Some(host) = self.hosts.get_mut(&chosen) {
                insert_by_deadline(&mut host.queue, reservation.clone());
            }
            self.set_step(&task, TaskStep::Reserved(chosen.clone()));
            cycle.invalidate(slot);
            if let Some(host) = self.hosts.get(&chosen) {
                hosts.push(Reverse(self.rank(cycle, host, slot, &reservation)));
            }
        }
    }

    /// The hosts that could take a task of the job, the best first.
    fn ranked_hosts(&self, cycle: &Cycle, job: &Job, due: Micros) -> BinaryHeap<Reverse<Rank>> {
        let request = &job.request;
        let zones = self.zone_capacity(job);
        let any_task = TaskId::new(&request.id, 0);
        self.with_slots(cycle)
            .filter(|(_, slot, host)| {
                slot.usable
                    && Self::is_feasible(job, host)
                    && zones.allows(&host.zone)
                    && request.each.fits(&host.spec.capacity)
            })
            .map(|(slot, _, host)| {
                let reservation = self.reservation(host, &any_task, request, due, cycle.now);
                Reverse(self.rank(cycle, host, slot, &reservation))
            })
            .collect()
    }

    /// Takes the best host for this task out of the ranked ones; its slot and name.
    fn pop_best_for(
        &self,
        cycle: &Cycle,
        hosts: &mut BinaryHeap<Reverse<Rank>>,
        task: &TaskId,
    ) -> Option<(usize, HostId)> {
        let mut passed_over = Vec::new();
        let mut chosen = None;
        while let Some(Reverse(rank)) = hosts.pop() {
            let id = &cycle.slots[rank.slot].id;
            // A host that still lists this task as exited refuses it.
            let is_listed = |host: &Host| host.tasks.contains_key(task);
            if self.hosts.get(id).is_some_and(is_listed) {
                passed_over.push(Reverse(rank));
            } else {
                chosen = Some((rank.slot, id.clone()));
                break;
            }
        }
        hosts.extend(passed_over);
        chosen
    }

    /// Starts reserved tasks: from the head of their hosts' queues, and on any host that has
    /// room and no queue of its own.
    pub(crate) fn start_reserved(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        if job.reserved.is_empty() || cycle.is_infeasible(&request.each) {
            return;
        }
        if !self.may_start(cycle, &request, 1) {
            return;
        }
        let mut spare = self.candidates(cycle, job, true);
        let reserved = Self::reserved_that_may_start(cycle, job, spare.is_empty());
        if reserved.is_empty() {
            return;
        }
        let mut zones = self.zone_capacity(job);
        // The hosts of its own reservations that have room; few when the fleet is full.
        let mut homes: BTreeMap<&HostId, Option<usize>> = BTreeMap::new();
        for (i, home) in &reserved {
            let at = *homes.entry(home).or_insert_with(|| {
                cycle
                    .slot(home)
                    .filter(|at| cycle.fits(*at, id, &request.each))
            });
            let Some(job) = self.jobs.get(id) else { return };
            let home_fits = at.filter(|at| {
                cycle.fits(*at, id, &request.each)
                    && self.hosts.get(home).is_some_and(|h| {
                        Self::is_feasible(job, h)
                            && zones.allows(&h.zone)
                            && !h.tasks.contains_key(&TaskId::new(id, *i))
                    })
            });
            let target =
                home_fits.or_else(|| self.best(cycle, &mut spare, &zones, (id, &request.each), *i));
            let Some(slot) = target else { continue };
            self.start(cycle, id, *i, slot, None);
            // Only a start changes what the team may.
            if !self.may_start(cycle, &request, 1) {
                return;
            }
            if let Some(zone) = self.zone_of(&cycle.slots[slot].id) {
                zones.add(&zone);
            }
            self.rescore(cycle, &mut spare, slot, &request, true);
        }
    }

    /// The reserved tasks that could start now, with the hosts of their reservations. Guards against
    /// a walk through thousands of reservations in every cycle where all hosts are full: without
    /// spare hosts only those can start whose own host has capacity now.
    fn reserved_that_may_start(cycle: &Cycle, job: &Job, has_no_spare: bool) -> Vec<(u32, HostId)> {
        let request = &job.request;
        let slots = cycle.slots.iter().enumerate();
        let with_capacity: HashSet<&HostId> = slots
            .filter(|(i, _)| cycle.fits(*i, &request.id, &request.each))
            .map(|(_, slot)| &slot.id)
            .collect();
        job.reserved
            .iter()
            .filter(|(_, home)| !has_no_spare || with_capacity.contains(home))
            .map(|(index, home)| (*index, home.clone()))
            .collect()
    }

    /// The admission test for a job with a deadline that nobody has accepted yet.
    /// `elastic`: how many more machines can be had, after how long. `release`: how long until
    /// the jobs that it needs are expected to be done. The schedule simulation is then played from that
    /// moment on: what ends before it holds no room, and what is reserved has not begun.
    ///
    /// Its tasks are equal and those on one host do not bear on another, so that the job
    /// passes if the hosts together can take as many as it has, whatever their order: each
    /// is played until it would miss, and no further host once there is enough.
    pub fn admit(
        &self,
        request: &JobRequest,
        submitted: Micros,
        now: Micros,
        release: Micros,
        elastic: (u32, Micros),
    ) -> AdmissionDecision {
        let Some(deadline) = request.deadline else {
            return AdmissionDecision::Admit;
        };
        let due = submitted + deadline;
        let estimate = self.estimate(request);
        let at = now + release;
        if due - at <= estimate {
            return AdmissionDecision::Refuse;
        }
        // What lies beyond the team's limit waits unadmitted: only the part within it is tested.
        let Some(team) = self.config.team(&request.team) else {
            return AdmissionDecision::Refuse;
        };
        let used = self.team_use(&request.team);
        let mut tested = 0;
        while tested < request.tasks.min(RESERVATIONS_MAX as u32)
            && team.allows(&(used + request.each.times(u64::from(tested) + 1)))
        {
            tested += 1;
        }
        let hosts = || {
            self.hosts
                .values()
                .filter(|h| h.is_usable(now, &self.config))
                .filter(|h| request.allows_host(&h.spec.machine_type, &h.zone, h.spot))
                .filter(|h| request.each.fits(&h.spec.capacity))
        };
        let (mut found, mut late) = (0, 0);
        for host in hosts() {
            if found >= tested {
                return AdmissionDecision::Admit;
            }
            let (can, misses) = self.takes(host, request, due, at, tested - found);
            found += can;
            late += misses;
        }
        if found >= tested {
            return AdmissionDecision::Admit;
        }
        // Work that is late already takes its part of the machines that could be rented now.
        let rented = self
            .rentable(request, due, (now, at), elastic)
            .saturating_sub(late as u64);
        if u64::from(tested - found) <= rented {
            AdmissionDecision::Admit
        } else {
            AdmissionDecision::Refuse
        }
    }

    /// How many tasks of a job a host can take without a new miss, at most `most`, and how
    /// many reservations miss there already.
    fn takes(
        &self,
        host: &Host,
        request: &JobRequest,
        due: Micros,
        now: Micros,
        most: u32,
    ) -> (u32, usize) {
        let (room, running) = (host.free_resources(), self.occupied(host, now));
        let before = count_missed(now, room, &running, &host.queue);
        let reservation = self.reservation(host, &TaskId::new(&request.id, 0), request, due, now);
        let at = insert_position(&host.queue, &reservation);
        let (head, tail) = host.queue.split_at(at);
        let mut can = 0;
        while can < most {
            let more = std::iter::repeat_n(&reservation, can as usize + 1);
            if count_missed(now, room, &running, head.iter().chain(more).chain(tail)) > before {
                break;
            }
            can += 1;
        }
        (can, before)
    }

    /// Tasks for which machines could be rented now: they begin empty, and late.
    fn rentable(
        &self,
        request: &JobRequest,
        due: Micros,
        (now, at): (Micros, Micros),
        elastic: (u32, Micros),
    ) -> u64 {
        let spec = self
            .specs
            .values()
            .find(|s| request.allows_type(&s.machine_type) && request.each.fits(&s.capacity));
        let Some(spec) = spec else { return 0 };
        let estimate = self.estimate(request);
        let ready = (now + elastic.1).max(at)
            + fetch_time(request.image_gb, spec).scale(self.config.tuning.uncertainty);
        if ready + estimate > due {
            return 0;
        }
        let waves = ((due - ready).0 / estimate.0.max(1)).clamp(1, 2);
        u64::from(elastic.0) * request.each.count_in(&spec.capacity).min(1 << 20) * waves
    }
}
