//! Admission control and reservations for jobs with deadlines: the admission test, the reservations
//! in the hosts' queues, which are chosen by simulating the hosts' schedules, and the start of
//! reserved tasks.

use crate::{
    config::image_download_time,
    cycle::context::{Cycle, SimulationStart},
    cycle::placement::start_delay,
    host::{Host, TaskState},
    job::{Job, TaskStep},
    partition::{AdmissionDecision, Partition},
    schedule_simulation::{
        Occupied, Reservation, count_missed, density, insert_by_deadline, insert_position,
        remaining_run_time,
    },
};
use jasperhill_wire::{HostId, JobId, Micros, TaskId, user::JobRequest};
use std::{
    cmp::{Ordering, Reverse},
    collections::{BTreeMap, BinaryHeap, HashSet},
    rc::Rc,
};

/// Maximum number of tasks of one job that are reserved in one cycle. Later cycles reserve the
/// rest.
const MAX_RESERVATIONS_PER_CYCLE: u64 = 256;

/// Deadline, relative to the current time, that replaces the deadline of a job that has missed its
/// own.
pub(crate) const MISSED_DEADLINE_EXTENSION: Micros = Micros::from_secs(86_400);

/// Outcome of the schedule simulation on one host with an additional reservation. Ordered by fewer
/// new misses, then by lower density, then by slot index.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostRank {
    /// Number of reservations that miss their adjusted deadlines only because of the additional
    /// one.
    new_misses: usize,
    /// Density of the queue: the sum of estimated run time over time to deadline.
    queue_density: f64,
    /// Slot index of the host.
    slot: usize,
}

impl Eq for HostRank {}
impl PartialOrd for HostRank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for HostRank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.new_misses
            .cmp(&other.new_misses)
            .then(self.queue_density.total_cmp(&other.queue_density))
            .then(self.slot.cmp(&other.slot))
    }
}

impl Partition {
    /// Returns the reservation that a task of `request` would get on this host. The adjusted
    /// deadline is `due` less the start delay times the uncertainty factor.
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
            resources: request.each,
            adjusted_deadline: due - delay,
            estimate: self.estimate(request).scale(host.run_time_ratio.max(1.0)),
        }
    }

    /// Returns the tasks that hold resources on a host and their expected ends, ordered with the
    /// soonest to end last.
    pub(crate) fn occupied(&self, host: &Host, now: Micros) -> Vec<Occupied> {
        let mut occupied: Vec<Occupied> = host
            .tasks
            .iter()
            .filter(|(_, host_task)| host_task.holds_resources())
            .map(|(task, host_task)| {
                let until = match (self.jobs.get(&task.job), host_task.stopping) {
                    (Some(_), Some((grace, since))) => {
                        (since + grace).max(now) + Micros::from_secs(1)
                    }
                    (Some(job), None) if job.is_service() => Micros::MAX,
                    (Some(job), None) => {
                        let (started, delay) = match (host_task.running_since, host_task.state) {
                            (Some(started), _) => (started, Micros::ZERO),
                            (None, TaskState::Fetching | TaskState::Ordered) => {
                                (now, start_delay(host, &job.request, now))
                            }
                            _ => (now, Micros::ZERO),
                        };
                        let estimate = self
                            .estimate(&job.request)
                            .scale(host.run_time_ratio.max(1.0));
                        now + delay + remaining_run_time(estimate, now - started)
                    }
                    (None, _) => now + Micros::from_secs(2),
                };
                Occupied {
                    until,
                    resources: host_task.resources,
                }
            })
            .collect();
        occupied.sort_by_key(|task| Reverse(task.until));
        occupied
    }

    /// Computes the initial state of the schedule simulations on a host.
    pub(crate) fn simulation_start_of(&self, host: &Host, now: Micros) -> SimulationStart {
        let running: Rc<[Occupied]> = self.occupied(host, now).into();
        SimulationStart {
            missed_reservations: count_missed(now, host.free_resources(), &running, &host.queue),
            running,
        }
    }

    /// Simulates the schedule of a host with an additional reservation and returns the number of
    /// new misses and the density of the queue.
    fn rank_host(
        &self,
        cycle: &Cycle,
        host: &Host,
        slot: usize,
        reservation: &Reservation,
    ) -> HostRank {
        let now = cycle.now;
        let free = host.free_resources();
        if host.queue.is_empty() && reservation.resources.fits(&free) {
            // The task starts at once, so no other reservation affects it.
            let new_misses =
                usize::from(now + reservation.estimate > reservation.adjusted_deadline);
            let queue_density = density(now, [reservation]);
            return HostRank {
                new_misses,
                queue_density,
                slot,
            };
        }
        let start = cycle.simulation_start(slot, || self.simulation_start_of(host, now));
        let (head, tail) = host
            .queue
            .split_at(insert_position(&host.queue, reservation));
        let with_new = || head.iter().chain([reservation]).chain(tail);
        HostRank {
            new_misses: count_missed(now, free, &start.running, with_new())
                .saturating_sub(start.missed_reservations),
            queue_density: density(now, with_new()),
            slot,
        }
    }

    /// Reserves hosts for pending tasks of an admitted job, up to the team's limit. All hosts are
    /// simulated once for the job: its tasks are equal, and a reservation changes the outcome only
    /// on the host that holds it.
    ///
    /// A task that would cause a miss on every host goes to the host with the fewest new misses.
    pub(crate) fn reserve(&mut self, cycle: &Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.pending() == 0 {
            return;
        }
        let request = job.request.clone();
        let Some(due) = job.due else { return };
        let due = if job.missed_deadline {
            cycle.now + MISSED_DEADLINE_EXTENSION
        } else {
            due
        };
        let already_reserved = job.reserved.len() as u64;
        if !self.may_start(cycle, &request, already_reserved + 1) {
            return;
        }
        let mut hosts = self.ranked_hosts(cycle, job, due);
        for additional in 1..=MAX_RESERVATIONS_PER_CYCLE {
            if !self.may_start(cycle, &request, already_reserved + additional) {
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
            cycle.invalidate_slot(slot);
            if let Some(host) = self.hosts.get(&chosen) {
                hosts.push(Reverse(self.rank_host(cycle, host, slot, &reservation)));
            }
        }
    }

    /// Returns the hosts that could run a task of the job, best host first.
    fn ranked_hosts(&self, cycle: &Cycle, job: &Job, due: Micros) -> BinaryHeap<Reverse<HostRank>> {
        let request = &job.request;
        let zones = self.zone_capacity(job);
        let any_task = TaskId::new(&request.id, 0);
        self.with_slots(cycle)
            .filter(|(_, slot, host)| {
                slot.is_usable
                    && Self::is_feasible(job, host)
                    && zones.allows(&host.zone)
                    && request.each.fits(&host.spec.capacity)
            })
            .map(|(slot, _, host)| {
                let reservation = self.reservation(host, &any_task, request, due, cycle.now);
                Reverse(self.rank_host(cycle, host, slot, &reservation))
            })
            .collect()
    }

    /// Removes the best host for a task from the ranked hosts and returns its slot index and id.
    /// Returns `None` if no ranked host accepts the task.
    fn pop_best_for(
        &self,
        cycle: &Cycle,
        hosts: &mut BinaryHeap<Reverse<HostRank>>,
        task: &TaskId,
    ) -> Option<(usize, HostId)> {
        let mut refusing_hosts = Vec::new();
        let mut chosen = None;
        while let Some(Reverse(rank)) = hosts.pop() {
            let id = &cycle.slots[rank.slot].id;
            // A host that still lists this task as exited would refuse it.
            let is_listed = |host: &Host| host.tasks.contains_key(task);
            if self.hosts.get(id).is_some_and(is_listed) {
                refusing_hosts.push(Reverse(rank));
            } else {
                chosen = Some((rank.slot, id.clone()));
                break;
            }
        }
        hosts.extend(refusing_hosts);
        chosen
    }

    /// Starts reserved tasks of a job, each on the host of its reservation if the task fits there,
    /// otherwise on another host that has free capacity and an empty queue.
    pub(crate) fn start_reserved(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        if job.reserved.is_empty() || cycle.is_infeasible(&request.each) {
            return;
        }
        if !self.may_start(cycle, &request, 1) {
            return;
        }
        let mut candidates = self.candidates(cycle, job, true);
        let reserved = Self::reserved_that_may_start(cycle, job, candidates.is_empty());
        if reserved.is_empty() {
            return;
        }
        let mut zones = self.zone_capacity(job);
        // Hosts of the job's own reservations that have free capacity. There are few when the fleet
        // is full.
        let mut slots_of_reserved_hosts: BTreeMap<&HostId, Option<usize>> = BTreeMap::new();
        for (index, reserved_host) in &reserved {
            let slot = *slots_of_reserved_hosts
                .entry(reserved_host)
                .or_insert_with(|| {
                    cycle
                        .slot(reserved_host)
                        .filter(|slot| cycle.fits(*slot, id, &request.each))
                });
            let Some(job) = self.jobs.get(id) else { return };
            let own_slot = slot.filter(|slot| {
                cycle.fits(*slot, id, &request.each)
                    && self.hosts.get(reserved_host).is_some_and(|host| {
                        Self::is_feasible(job, host)
                            && zones.allows(&host.zone)
                            && !host.tasks.contains_key(&TaskId::new(id, *index))
                    })
            });
            let chosen_slot = own_slot.or_else(|| {
                self.best_candidate(cycle, &mut candidates, &zones, (id, &request.each), *index)
            });
            let Some(slot) = chosen_slot else { continue };
            self.start(cycle, id, *index, slot, None);
            // Only a start changes what the team's limit still allows.
            if !self.may_start(cycle, &request, 1) {
                return;
            }
            if let Some(zone) = self.zone_of(&cycle.slots[slot].id) {
                zones.add(&zone);
            }
            self.rescore_candidate(cycle, &mut candidates, slot, &request, true);
        }
    }

    /// Returns the reserved tasks that could start now, with the hosts of their reservations. If no
    /// other host has free capacity, only tasks whose own host has capacity now can start; the
    /// check prevents a walk through thousands of reservations in every cycle while all hosts are
    /// full.
    fn reserved_that_may_start(
        cycle: &Cycle,
        job: &Job,
        has_no_candidates: bool,
    ) -> Vec<(u32, HostId)> {
        let request = &job.request;
        let slots = cycle.slots.iter().enumerate();
        let hosts_with_capacity: HashSet<&HostId> = slots
            .filter(|(slot_index, _)| cycle.fits(*slot_index, &request.id, &request.each))
            .map(|(_, slot)| &slot.id)
            .collect();
        job.reserved
            .iter()
            .filter(|(_, reserved_host)| {
                !has_no_candidates || hosts_with_capacity.contains(reserved_host)
            })
            .map(|(index, reserved_host)| (*index, reserved_host.clone()))
            .collect()
    }

    /// Runs the admission test for a job with a deadline that has not been accepted yet. A job
    /// without a deadline is always admitted.
    ///
    /// `elastic` is the number of additional machines that can be rented and the time until they
    /// are available. `release` is the time until the job's dependencies are expected to be done.
    /// The schedules are simulated from that moment on: tasks that end before it hold no resources,
    /// and reserved tasks are assumed not to have started.
    ///
    /// The tasks of a job are equal and tasks on one host do not affect another host. The job
    /// therefore passes if the hosts together can take all of its tasks, in any order. Tasks are
    /// added to each host until one would cause a miss, and no further host is examined once enough
    /// tasks are placed.
    pub fn admit(
        &self,
        request: &JobRequest,
        submitted: Micros,
        now: Micros,
        release: Micros,
        elastic_capacity: (u32, Micros),
    ) -> AdmissionDecision {
        let Some(deadline) = request.deadline else {
            return AdmissionDecision::Admit;
        };
        let due = submitted + deadline;
        let estimate = self.estimate(request);
        let starts_at = now + release;
        if due - starts_at <= estimate {
            return AdmissionDecision::Refuse;
        }
        // Tasks beyond the team's limit wait unadmitted, so only the tasks within the limit are
        // tested.
        let Some(team) = self.config.team(&request.team) else {
            return AdmissionDecision::Refuse;
        };
        let used = self.team_usage(&request.team);
        let mut tasks_within_limit = 0;
        while tasks_within_limit < request.tasks.min(MAX_RESERVATIONS_PER_CYCLE as u32)
            && team.allows(&(used + request.each.times(u64::from(tasks_within_limit) + 1)))
        {
            tasks_within_limit += 1;
        }
        let hosts = || {
            self.hosts
                .values()
                .filter(|host| host.is_usable(now, &self.config))
                .filter(|host| request.allows_host(&host.spec.machine_type, &host.zone, host.spot))
                .filter(|host| request.each.fits(&host.spec.capacity))
        };
        let (mut placeable, mut missed) = (0, 0);
        for host in hosts() {
            if placeable >= tasks_within_limit {
                return AdmissionDecision::Admit;
            }
            let (admissible, missed_on_host) = self.count_admissible_tasks(
                host,
                request,
                due,
                starts_at,
                tasks_within_limit - placeable,
            );
            placeable += admissible;
            missed += missed_on_host;
        }
        if placeable >= tasks_within_limit {
            return AdmissionDecision::Admit;
        }
        // Reservations that miss their deadlines already take their share of the machines that
        // could be rented now.
        let rented = self
            .tasks_on_rented_machines(request, due, (now, starts_at), elastic_capacity)
            .saturating_sub(missed as u64);
        if u64::from(tasks_within_limit - placeable) <= rented {
            AdmissionDecision::Admit
        } else {
            AdmissionDecision::Refuse
        }
    }

    /// Returns how many tasks of a job, at most `max_tasks`, a host can take without a new miss,
    /// and how many reservations on the host miss their deadlines already.
    fn count_admissible_tasks(
        &self,
        host: &Host,
        request: &JobRequest,
        due: Micros,
        now: Micros,
        max_tasks: u32,
    ) -> (u32, usize) {
        let (free, running) = (host.free_resources(), self.occupied(host, now));
        let missed_before = count_missed(now, free, &running, &host.queue);
        let reservation = self.reservation(host, &TaskId::new(&request.id, 0), request, due, now);
        let position = insert_position(&host.queue, &reservation);
        let (head, tail) = host.queue.split_at(position);
        let mut admissible = 0;
        while admissible < max_tasks {
            let added = std::iter::repeat_n(&reservation, admissible as usize + 1);
            if count_missed(now, free, &running, head.iter().chain(added).chain(tail))
                > missed_before
            {
                break;
            }
            admissible += 1;
        }
        (admissible, missed_before)
    }

    /// Returns the number of the job's tasks that would end in time on machines rented now. A
    /// rented machine is empty at first, and can start a task only once it is available and has
    /// fetched the image. It is counted for at most two tasks in succession.
    fn tasks_on_rented_machines(
        &self,
        request: &JobRequest,
        due: Micros,
        (now, starts_at): (Micros, Micros),
        elastic_capacity: (u32, Micros),
    ) -> u64 {
        let spec = self.specs.values().find(|spec| {
            request.allows_type(&spec.machine_type) && request.each.fits(&spec.capacity)
        });
        let Some(spec) = spec else { return 0 };
        let estimate = self.estimate(request);
        let ready = (now + elastic_capacity.1).max(starts_at)
            + image_download_time(request.image_gb, spec).scale(self.config.tuning.uncertainty);
        if ready + estimate > due {
            return 0;
        }
        let tasks_in_succession = ((due - ready).0 / estimate.0.max(1)).clamp(1, 2);
        u64::from(elastic_capacity.0)
            * request.each.count_in(&spec.capacity).min(1 << 20)
            * tasks_in_succession
    }
}
