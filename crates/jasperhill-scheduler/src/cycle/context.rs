//! State of one scheduling cycle, shared by its stages: the free capacity of every host and values
//! cached for the duration of the cycle. Free capacity only shrinks during a cycle, so a resource
//! request that fits nowhere need not be checked again.

use crate::{
    host::LISTED_TASKS_MAX, job::Job, partition::UnconfirmedTasks, schedule_simulation::Occupied,
};
use jasperhill_wire::{
    HostId, JobId, Micros, Name, Resources, TaskId,
    user::{JobRequest, Priority},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// A task that could be preempted.
pub(crate) struct Victim {
    /// Cost of stopping the task, expressed as lost run time.
    pub lost_work: Micros,
    /// The task to stop.
    pub task: TaskId,
    /// Resources that stopping the task frees.
    pub resources: Resources,
    /// Time that the task needs to save a checkpoint before it stops.
    pub grace: Micros,
}

/// Capacity of one host as the current cycle has left it.
pub(crate) struct HostSlot {
    /// Id of the host.
    pub id: HostId,
    /// Whether the host accepts new tasks.
    pub is_usable: bool,
    /// Resources that are still free.
    pub free: Resources,
    /// Number of tasks listed by the host's worker, including those started in this cycle.
    pub listed_tasks: usize,
    /// Waiting gang for which the host is kept free; `None` if no gang has reserved the host.
    pub reserved_for: Option<JobId>,
}

/// Initial state of the schedule simulations on one host. It is computed once and cached until a
/// task starts or stops on the host, because many jobs are simulated on every host in one cycle.
#[derive(Clone)]
pub(crate) struct SimulationStart {
    /// Tasks that hold resources on the host, ordered by expected end with the soonest last.
    pub running: Rc<[Occupied]>,
    /// Number of existing reservations that would miss their adjusted deadlines.
    pub missed_reservations: usize,
}

/// Cached preemption victims by slot index; `None` if the victims of a host have not been computed.
pub(super) type VictimsBySlot = Vec<Option<Rc<[Victim]>>>;

/// A gang that could not be placed in this cycle. A similar gang that is at least as large and no
/// more important cannot be placed either, because free capacity and the set of possible victims
/// only shrink during a cycle.
pub(super) struct InfeasibleGang {
    priority: Priority,
    request: Rc<JobRequest>,
}

impl InfeasibleGang {
    /// Returns whether a gang with this priority and request is at least as hard to place as this
    /// one.
    fn is_no_harder_than(&self, priority: Priority, request: &JobRequest) -> bool {
        let infeasible = &self.request;
        self.priority <= priority
            && infeasible.tasks <= request.tasks
            && infeasible.each.fits(&request.each)
            && infeasible.types == request.types
            && infeasible.zone == request.zone
            && (infeasible.one_zone, infeasible.spread, infeasible.spot)
                == (request.one_zone, request.spread, request.spot)
    }
}

/// The part of a team's limit that is reserved for a waiting gang for the rest of a cycle.
pub(crate) struct QuotaReservation {
    /// The gang that holds the reservation.
    pub job: JobId,
    /// Resources of all tasks of the gang together.
    pub resources: Resources,
}

/// State of one scheduling cycle.
pub(crate) struct Cycle {
    /// Time at which the cycle runs.
    pub now: Micros,
    /// Tasks that may be running on hosts whose state is not yet confirmed.
    pub unconfirmed: UnconfirmedTasks,
    /// One slot for every host, in the order of `Partition::hosts`. No host is added or removed
    /// during a cycle.
    pub slots: Vec<HostSlot>,
    /// Resources that unconfirmed tasks may be using, by team.
    pub(super) unconfirmed_use: BTreeMap<Name, Resources>,
    /// Part of a team's limit that is reserved for a waiting gang, by team.
    pub(super) quota_reservations: BTreeMap<Name, QuotaReservation>,
    /// Number of gangs, by team, that have been examined in this cycle for a reservation of the
    /// team's limit.
    pub(super) quota_attempts: BTreeMap<Name, u32>,
    /// Resource requests for which no host has free capacity. Free capacity only shrinks during a
    /// cycle, so these stay infeasible: for a job that waits on a full fleet, one comparison
    /// replaces a scan of all hosts.
    pub(super) infeasible_requests: Vec<Resources>,
    /// Cached initial simulation states by slot index; cleared when a task starts or stops on the
    /// host.
    pub(super) simulation_starts: RefCell<Vec<Option<SimulationStart>>>,
    /// Cached preemption victims, by the priority of the preempting job and by whether gangs of
    /// several tasks are included.
    pub(super) victims: RefCell<BTreeMap<(Priority, bool), VictimsBySlot>>,
    /// Gangs for which no set of hosts was found in this cycle.
    pub(super) gangs_without_hosts: Vec<InfeasibleGang>,
    /// Gangs for which preempting every possible victim would not free enough capacity.
    pub(super) gangs_without_victims: Vec<InfeasibleGang>,
    /// Number of gangs that have reserved hosts in this cycle, and number of hosts reserved for
    /// gangs.
    pub reserved_for_gangs: (usize, usize),
}

impl Cycle {
    /// Returns the slot index of a host, or `None` if the host is not in the partition.
    pub fn slot(&self, host: &HostId) -> Option<usize> {
        self.slots.binary_search_by(|slot| slot.id.cmp(host)).ok()
    }
    /// Returns whether a task that needs `each` can start for this job on the host of `slot` now:
    /// the host is usable, lists fewer tasks than its maximum, has enough free resources and is not
    /// reserved for another job.
    pub fn fits(&self, slot: usize, job: &JobId, each: &Resources) -> bool {
        self.slots.get(slot).is_some_and(|host| {
            host.is_usable
                && host.listed_tasks < LISTED_TASKS_MAX
                && each.fits(&host.free)
                && host
                    .reserved_for
                    .as_ref()
                    .is_none_or(|reserved_for| reserved_for == job)
        })
    }
    /// Subtracts a task's resources from the free resources of `slot` and counts the task as
    /// listed.
    pub fn allocate(&mut self, slot: usize, each: &Resources) {
        self.invalidate_slot(slot);
        if let Some(host) = self.slots.get_mut(slot) {
            host.free -= *each;
            host.listed_tasks += 1;
        }
    }
    /// Drops the cached simulation state and victims of a host, because its tasks or queue have
    /// changed.
    pub fn invalidate_slot(&self, slot: usize) {
        if let Some(start) = self.simulation_starts.borrow_mut().get_mut(slot) {
            *start = None;
        }
        for victims_by_slot in self.victims.borrow_mut().values_mut() {
            if let Some(entry) = victims_by_slot.get_mut(slot) {
                *entry = None;
            }
        }
    }
    /// Does the same as [`Self::invalidate_slot`] for a host given by its id.
    pub fn invalidate_host(&self, host: &HostId) {
        if let Some(slot) = self.slot(host) {
            self.invalidate_slot(slot);
        }
    }
    /// Returns the victims on the host of `slot` for work of this priority. Calls `compute` only if
    /// no cached value exists.
    pub fn victims(
        &self,
        slot: usize,
        priority: Priority,
        include_gangs: bool,
        compute: impl FnOnce() -> Vec<Victim>,
    ) -> Rc<[Victim]> {
        let mut cache = self.victims.borrow_mut();
        let victims_by_slot = cache.entry((priority, include_gangs)).or_default();
        victims_by_slot.resize(self.slots.len(), None);
        match victims_by_slot.get_mut(slot) {
            Some(Some(victims)) => victims.clone(),
            Some(entry) => entry.insert(compute().into()).clone(),
            None => compute().into(),
        }
    }
    /// Returns the initial simulation state of the host of `slot`. Calls `compute` only if no
    /// cached value exists.
    pub fn simulation_start(
        &self,
        slot: usize,
        compute: impl FnOnce() -> SimulationStart,
    ) -> SimulationStart {
        let cached = self.simulation_starts.borrow().get(slot).cloned().flatten();
        cached.unwrap_or_else(|| {
            let start = compute();
            if let Some(entry) = self.simulation_starts.borrow_mut().get_mut(slot) {
                *entry = Some(start.clone());
            }
            start
        })
    }
    /// Returns whether a gang that is at least as easy to place has found no hosts in this cycle.
    pub fn lacks_hosts_for_gang(&self, priority: Priority, request: &JobRequest) -> bool {
        self.gangs_without_hosts
            .iter()
            .any(|gang| gang.is_no_harder_than(priority, request))
    }
    /// Records that no hosts were found for a gang in this cycle.
    pub fn note_gang_without_hosts(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.gangs_without_hosts
            .push(InfeasibleGang { priority, request });
    }
    /// Returns whether preemption could not free enough capacity in this cycle for a gang that is
    /// at least as easy to place.
    pub fn lacks_victims_for_gang(&self, priority: Priority, request: &JobRequest) -> bool {
        self.gangs_without_victims
            .iter()
            .any(|gang| gang.is_no_harder_than(priority, request))
    }
    /// Records that preemption cannot free enough capacity for a gang in this cycle.
    pub fn note_gang_without_victims(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.gangs_without_victims
            .push(InfeasibleGang { priority, request });
    }
    /// Returns whether no usable host has enough free resources for `each`, and caches a negative
    /// result.
    pub fn is_infeasible(&mut self, each: &Resources) -> bool {
        if self
            .infeasible_requests
            .iter()
            .any(|known| known.fits(each))
        {
            return true;
        }
        let fits_nowhere = !self
            .slots
            .iter()
            .any(|slot| slot.is_usable && each.fits(&slot.free));
        if fits_nowhere {
            self.infeasible_requests.push(*each);
        }
        fits_nowhere
    }
    /// Returns the number of hosts that accept new tasks.
    pub fn usable_hosts(&self) -> usize {
        self.slots.iter().filter(|slot| slot.is_usable).count()
    }
}

/// Returns whether the job has production or high priority. Such a job may start on a host where
/// reservations are queued.
pub(crate) fn has_high_priority(job: &Job) -> bool {
    job.priority() <= Priority::High
}
