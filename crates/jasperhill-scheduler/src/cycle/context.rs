//! What a scheduling cycle keeps track of.

use crate::{
    host::LISTED_MAX, job::Job, partition::UnconfirmedTasks, schedule_simulation::Occupied,
};
use jasperhill_wire::{
    HostId, JobId, Micros, Name, Resources, TaskId,
    user::{JobRequest, Priority},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// Work that could be stopped.
pub(crate) struct Victim {
    /// Work lost by stopping it.
    pub lost_work: Micros,
    /// Which task.
    pub task: TaskId,
    /// What it takes.
    pub each: Resources,
    /// The time that it needs to save a checkpoint.
    pub grace: Micros,
}

/// A host as a cycle sees it.
pub(crate) struct HostSlot {
    /// The host.
    pub id: HostId,
    /// It may get new tasks.
    pub usable: bool,
    /// Room left.
    pub free: Resources,
    /// Tasks that its worker lists.
    pub listed: usize,
    /// Kept free for a waiting gang.
    pub reserved: Option<JobId>,
}

/// What the schedule simulations on a host begin with. Made once, until something starts or stops there:
/// many jobs are played on every host in one cycle.
#[derive(Clone)]
pub(crate) struct SimulationStart {
    /// What holds resources there, the soonest to end last.
    pub running: Rc<[Occupied]>,
    /// Reservations that miss already.
    pub misses: usize,
}

/// By slot, if known.
pub(super) type Victims = Vec<Option<Rc<[Victim]>>>;

/// A gang for which there was nothing in this cycle, so that there is nothing for one like it
/// that is as large and no more important. Room, and what could be stopped, only shrink.
pub(super) struct InfeasibleGang {
    priority: Priority,
    request: Rc<JobRequest>,
}

impl InfeasibleGang {
    fn covers(&self, priority: Priority, r: &JobRequest) -> bool {
        let known = &self.request;
        self.priority <= priority
            && known.tasks <= r.tasks
            && known.each.fits(&r.each)
            && known.types == r.types
            && known.zone == r.zone
            && (known.one_zone, known.spread, known.spot) == (r.one_zone, r.spread, r.spot)
    }
}

/// The part of a team's limit that is kept for a waiting gang for the rest of a cycle.
pub(crate) struct QuotaReservation {
    /// The gang.
    pub job: JobId,
    /// All of its tasks together.
    pub resources: Resources,
}

/// What a cycle keeps track of.
pub(crate) struct Cycle {
    /// The time of the cycle.
    pub now: Micros,
    /// What may run unconfirmed.
    pub unconfirmed: UnconfirmedTasks,
    /// One for every host, in the order of `Partition::hosts`; none comes or goes meanwhile.
    pub slots: Vec<HostSlot>,
    /// What teams may be using unseen.
    pub(super) unconfirmed_use: BTreeMap<Name, Resources>,
    /// What of their limits teams keep for a waiting gang; by team.
    pub(super) quota_reservations: BTreeMap<Name, QuotaReservation>,
    /// How many gangs of each team were looked at for that.
    pub(super) quota_attempts: BTreeMap<Name, u32>,
    /// Amounts for which no host has room. Room only shrinks during a cycle, so these stay
    /// true: what waits behind a full fleet costs one comparison, not a look at every host.
    pub(super) infeasible: Vec<Resources>,
    /// By slot, until something starts or stops there.
    pub(super) simulation_starts: RefCell<Vec<Option<SimulationStart>>>,
    /// What could be stopped on each host for work of a priority, gangs of several tasks included
    /// or not; made once like the beginnings.
    pub(super) victims: RefCell<BTreeMap<(Priority, bool), Victims>>,
    /// Gangs without seats, and those for which no room can be made.
    pub(super) gangs_without_hosts: Vec<InfeasibleGang>,
    /// Gangs for which nothing that could be stopped suffices.
    pub(super) gangs_without_victims: Vec<InfeasibleGang>,
    /// Gangs that keep hosts free, and how many hosts.
    pub reserved_for_gangs: (usize, usize),
}

impl Cycle {
    /// The slot of a host.
    pub fn slot(&self, host: &HostId) -> Option<usize> {
        self.slots.binary_search_by(|s| s.id.cmp(host)).ok()
    }
    /// Whether a task of this job fits on the host of slot `i` now.
    pub fn fits(&self, i: usize, job: &JobId, each: &Resources) -> bool {
        self.slots.get(i).is_some_and(|s| {
            s.usable
                && s.listed < LISTED_MAX
                && each.fits(&s.free)
                && s.reserved.as_ref().is_none_or(|j| j == job)
        })
    }
    /// A task takes this much on the host of slot `i` from now on.
    pub fn take(&mut self, i: usize, each: &Resources) {
        self.invalidate(i);
        if let Some(slot) = self.slots.get_mut(i) {
            slot.free -= *each;
            slot.listed += 1;
        }
    }
    /// The schedule simulations on this host begin differently now.
    pub fn invalidate(&self, i: usize) {
        if let Some(begin) = self.simulation_starts.borrow_mut().get_mut(i) {
            *begin = None;
        }
        for known in self.victims.borrow_mut().values_mut() {
            if let Some(victims) = known.get_mut(i) {
                *victims = None;
            }
        }
    }
    /// As [`Self::invalidate`], by the host.
    pub fn invalidate_host(&self, host: &HostId) {
        if let Some(i) = self.slot(host) {
            self.invalidate(i);
        }
    }
    /// What could be stopped on the host of slot `i` for work of this priority; made once.
    pub fn victims(
        &self,
        i: usize,
        than: Priority,
        whole: bool,
        make: impl FnOnce() -> Vec<Victim>,
    ) -> Rc<[Victim]> {
        let mut all = self.victims.borrow_mut();
        let known = all.entry((than, whole)).or_default();
        known.resize(self.slots.len(), None);
        match known.get_mut(i) {
            Some(Some(victims)) => victims.clone(),
            Some(place) => place.insert(make().into()).clone(),
            None => make().into(),
        }
    }
    /// What schedule simulations on the host of slot `i` begin with; made once.
    pub fn simulation_start(
        &self,
        i: usize,
        make: impl FnOnce() -> SimulationStart,
    ) -> SimulationStart {
        let known = self.simulation_starts.borrow().get(i).cloned().flatten();
        known.unwrap_or_else(|| {
            let begin = make();
            if let Some(place) = self.simulation_starts.borrow_mut().get_mut(i) {
                *place = Some(begin.clone());
            }
            begin
        })
    }
    /// A gang at least as easy to place has found no hosts in this cycle.
    pub fn is_gang_without_hosts(&self, priority: Priority, r: &JobRequest) -> bool {
        self.gangs_without_hosts
            .iter()
            .any(|h| h.covers(priority, r))
    }
    /// This gang has found no hosts.
    pub fn note_gang_without_hosts(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.gangs_without_hosts
            .push(InfeasibleGang { priority, request });
    }
    /// A gang at least as easy to place has found nothing to preempt in this cycle.
    pub fn is_gang_without_victims(&self, priority: Priority, r: &JobRequest) -> bool {
        self.gangs_without_victims
            .iter()
            .any(|h| h.covers(priority, r))
    }
    /// This gang has found nothing to preempt.
    pub fn note_gang_without_victims(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.gangs_without_victims
            .push(InfeasibleGang { priority, request });
    }
    /// No usable host has room for this.
    pub fn is_infeasible(&mut self, each: &Resources) -> bool {
        if self.infeasible.iter().any(|h| h.fits(each)) {
            return true;
        }
        let none = !self.slots.iter().any(|s| s.usable && each.fits(&s.free));
        if none {
            self.infeasible.push(*each);
        }
        none
    }
    /// How many hosts may get new tasks.
    pub fn usable(&self) -> usize {
        self.slots.iter().filter(|s| s.usable).count()
    }
}

/// Work that may stop lesser work.
pub(crate) fn is_urgent(job: &Job) -> bool {
    job.priority() <= Priority::High
}
