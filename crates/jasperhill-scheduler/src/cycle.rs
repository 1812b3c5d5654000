//! A pass over a partition: admitted work is booked and started, gangs are started whole,
//! room is made for what outranks. Owns what a pass keeps track of; the decisions themselves
//! are in `suit`, `book`, `gang`, `room` and `drain`.

use crate::{
    host::{Host, HostInput, LISTED_MAX},
    job::{Job, Readiness, TaskStep},
    partition::{Event, Partition, UnconfirmedTasks},
    preemption::Victim,
    schedule_simulation::Occupied,
    starvation::{self, WaitingJob},
};
use jasperhill_wire::{
    Attempt, HostId, JobId, Micros, Name, Resources, TaskId,
    user::{JobRequest, Priority, Shape},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// A host as a pass sees it.
pub(crate) struct HostSlot {
    pub id: HostId,
    pub usable: bool,
    /// Room left.
    pub room: Resources,
    /// Tasks that its worker lists.
    pub listed: usize,
    /// Kept free for a waiting gang.
    pub reserved: Option<JobId>,
}

/// What the forward runs on a host begin with. Made once, until something starts or stops there:
/// many jobs are played on every host in one pass.
#[derive(Clone)]
pub(crate) struct SimulationStart {
    pub running: Rc<[Occupied]>,
    /// Bookings that miss already.
    pub misses: usize,
}

/// By slot, if known.
type Victims = Vec<Option<Rc<[Victim]>>>;

/// A gang for which there was nothing in this pass, so that there is nothing for one like it
/// that is as large and no more important. Room, and what could be stopped, only shrink.
struct InfeasibleGang {
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

/// What a pass keeps track of.
pub(crate) struct Cycle {
    pub now: Micros,
    pub ghosts: UnconfirmedTasks,
    /// One for every host, in the order of [`Partition::hosts`]; none comes or goes meanwhile.
    pub slots: Vec<HostSlot>,
    /// What teams may be using unseen.
    unconfirmed_use: BTreeMap<Name, Resources>,
    /// Amounts for which no host has room. Room only shrinks during a pass, so these stay
    /// true: what waits behind a full fleet costs one comparison, not a look at every host.
    infeasible: Vec<Resources>,
    simulation_starts: RefCell<Vec<Option<SimulationStart>>>,
    /// What could be stopped on each host for work of a priority, gangs of several tasks included
    /// or not; made once like the beginnings.
    victims: RefCell<BTreeMap<(Priority, bool), Victims>>,
    /// Gangs without seats, and those for which no room can be made.
    gangs_without_hosts: Vec<InfeasibleGang>,
    gangs_without_victims: Vec<InfeasibleGang>,
    /// Gangs that keep hosts free, and how many hosts.
    pub held_for_gangs: (usize, usize),
}

impl Cycle {
    pub fn slot(&self, host: &HostId) -> Option<usize> {
        self.slots.binary_search_by(|s| s.id.cmp(host)).ok()
    }
    pub fn fits(&self, i: usize, job: &JobId, each: &Resources) -> bool {
        self.slots.get(i).is_some_and(|s| {
            s.usable
                && s.listed < LISTED_MAX
                && each.fits(&s.room)
                && s.reserved.as_ref().is_none_or(|j| j == job)
        })
    }
    pub fn take(&mut self, i: usize, each: &Resources) {
        self.invalidate(i);
        if let Some(slot) = self.slots.get_mut(i) {
            slot.room -= *each;
            slot.listed += 1;
        }
    }
    /// The forward runs on this host begin differently now.
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
    pub fn invalidate_host(&self, host: &HostId) {
        if let Some(i) = self.slot(host) {
            self.invalidate(i);
        }
    }
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
    pub fn is_gang_without_hosts(&self, priority: Priority, r: &JobRequest) -> bool {
        self.gangs_without_hosts
            .iter()
            .any(|h| h.covers(priority, r))
    }
    pub fn note_gang_without_hosts(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.gangs_without_hosts
            .push(InfeasibleGang { priority, request });
    }
    pub fn is_gang_without_victims(&self, priority: Priority, r: &JobRequest) -> bool {
        self.gangs_without_victims
            .iter()
            .any(|h| h.covers(priority, r))
    }
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
        let none = !self.slots.iter().any(|s| s.usable && each.fits(&s.room));
        if none {
            self.infeasible.push(*each);
        }
        none
    }
    pub fn usable(&self) -> usize {
        self.slots.iter().filter(|s| s.usable).count()
    }
}

/// Where a job stands in the order of a pass: see [`Job::rank`].
type Rank = (u8, u64, Priority, Micros);

/// Work that may stop lesser work.
pub(crate) fn is_urgent(job: &Job) -> bool {
    job.priority() <= Priority::High
}

impl Partition {
    /// The hosts as they are now.
    pub(crate) fn begin_cycle(&self, now: Micros) -> Cycle {
        let ghosts = self.unconfirmed_tasks();
        let mut haunted: BTreeMap<Name, Resources> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|j| self.may_run_unconfirmed(j, &ghosts))
        {
            *haunted.entry(job.request.team.clone()).or_default() += job.unconfirmed_use();
        }
        let slots = self
            .hosts
            .values()
            .map(|h| HostSlot {
                id: h.id.clone(),
                usable: h.is_usable(now, &self.config),
                room: h.free_resources(),
                listed: h.listed(),
                reserved: None,
            })
            .collect();
        Cycle {
            now,
            ghosts,
            simulation_starts: RefCell::new(vec![None; self.hosts.len()]),
            victims: RefCell::default(),
            slots,
            unconfirmed_use: haunted,
            infeasible: Vec::new(),
            gangs_without_hosts: Vec::new(),
            gangs_without_victims: Vec::new(),
            held_for_gangs: (0, 0),
        }
    }

    /// Every host with its slot.
    pub(crate) fn with_slots<'a>(
        &'a self,
        pass: &'a Cycle,
    ) -> impl Iterator<Item = (usize, &'a HostSlot, &'a Host)> {
        pass.slots
            .iter()
            .zip(self.hosts.values())
            .enumerate()
            .map(|(i, (slot, host))| (i, slot, host))
    }

    /// Starts what can be started. Call when something has changed, and now and then.
    pub fn run_cycle(&mut self, now: Micros) {
        self.changed = false;
        self.expire_leases(now);
        self.note_confirmed(now);
        self.stop_broken_gangs(now);
        self.clear_outlived_failures(now);
        self.check_overruns(now);
        self.stop_before_termination(now);
        self.move_replicas(now);
        let mut pass = self.begin_cycle(now);
        self.release_unusable_reservations(&pass);
        self.mark_missed_deadlines(now);
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|j| {
                j.termination.is_none()
                    && j.gate == Readiness::Open
                    && (j.pending() > 0 || !j.reserved.is_empty())
                    && !self.may_run_unconfirmed(j, &pass.ghosts)
                    && now >= j.not_before
                    && j.failures.may_retry(now)
            })
            .map(|j| (j.rank(), j.request.id.clone()))
            .collect();
        self.update_starvation(&pass, &order);
        for (rank, id) in &mut order {
            // Guards against a class or team that never gets its turn behind others' work.
            if self.starvation.is_boosted(id) && rank.0 > 0 {
                (rank.0, rank.1) = (1, 0);
            }
        }
        order.sort();
        self.backlog = order.len();
        self.expire_preemptions(now);
        self.update_recovery(now);
        let mut kept = false;
        for ((band, ..), id) in &order {
            if *band > 0 && !kept {
                kept = true;
                self.hold_capacity_for_losses(&mut pass);
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            match job.request.shape {
                Shape::Gang => self.start_gang(&mut pass, id),
                // A suspect job is booked nowhere: it would hold up others' forward runs.
                Shape::Service | Shape::Array
                    if job.due.is_none() || job.failures.is_backing_off() =>
                {
                    self.start_without_deadline(&mut pass, id);
                }
                _ => {
                    self.reserve(&pass, id);
                    self.start_reserved(&mut pass, id);
                }
            }
        }
        self.events.truncate(256);
    }

    /// Looks who of those that could start has fallen behind.
    fn update_starvation(&mut self, pass: &Cycle, order: &[(Rank, JobId)]) {
        if !self.starvation.is_due(pass.now) {
            return;
        }
        let jobs = order.iter().filter_map(|(_, id)| self.jobs.get(id));
        // Who waits for its team's own limit is not behind others.
        let could = |j: &&Job| {
            let tasks = if j.is_gang() { j.request.tasks } else { 1 };
            j.live.is_empty()
                && !j.failures.is_backing_off()
                && self.may_start(pass, &j.request, u64::from(tasks))
        };
        let idle = jobs.filter(could);
        let waiting: Vec<WaitingJob<'_>> = idle
            .map(|j| WaitingJob {
                id: &j.request.id,
                class: &j.request.class,
                team: &j.request.team,
                since: j.submitted.max(j.last_started),
                within: self.config.longest_start_delay(&j.request.class),
            })
            .collect();
        let least = self.config.tuning.least_share;
        let was = self.starvation.starved(least);
        self.starvation
            .apply(starvation::Input::Evaluate(&waiting), least, pass.now);
        let is = self.starvation.starved(least);
        for group in is.difference(&was) {
            let standing = self.starvation.shares().get(group).copied();
            let note = Event::Starved(group.clone(), standing);
            self.events.push(note);
        }
        let caught_up = was.difference(&is).cloned();
        self.events
            .extend(caught_up.map(|g| Event::Starved(g, None)));
    }

    /// A gang that has lost a task stops the rest; a new attempt waits for the last of them.
    fn stop_broken_gangs(&mut self, now: Micros) {
        let ghosts = self.unconfirmed_tasks();
        let broken: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| {
                j.is_gang()
                    && j.termination.is_none()
                    && !j.live.is_empty()
                    && j.unsaved.is_empty()
                    && j.pending() > 0
                    && !self.may_run_unconfirmed(j, &ghosts)
            })
            .map(|j| j.request.id.clone())
            .collect();
        for id in broken {
            self.stop_all(&id, Micros::ZERO, now);
        }
    }

    /// Jobs with tasks to start that can't end in time any more queue last from now on.
    fn mark_missed_deadlines(&mut self, now: Micros) {
        let missed: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| !j.missed_deadline && (j.pending() > 0 || !j.reserved.is_empty()))
            .filter(|j| {
                j.due
                    .is_some_and(|due| now + self.estimate(&j.request) > due)
            })
            .map(|j| j.request.id.clone())
            .collect();
        for id in missed {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.missed_deadline = true;
            let booked: Vec<u32> = job.reserved.keys().copied().collect();
            for i in booked {
                self.release_reservation(&id, i);
            }
        }
    }

    /// Bookings on hosts that can't be used any more are made anew.
    fn release_unusable_reservations(&mut self, pass: &Cycle) {
        let lost: Vec<TaskId> = self
            .with_slots(pass)
            .filter(|(_, slot, h)| !slot.usable && !h.queue.is_empty())
            .flat_map(|(_, _, h)| h.queue.iter().map(|b| b.task.clone()))
            .collect();
        for task in lost {
            self.release_reservation(&task.job, task.index);
        }
    }

    /// So many more tasks may start or be booked: all that the job needs is done, and its team
    /// stays within its limit.
    pub(crate) fn may_start(&self, pass: &Cycle, request: &JobRequest, tasks: u64) -> bool {
        let open = |j: &Job| j.gate == Readiness::Open;
        if !self.jobs.get(&request.id).is_some_and(open) {
            return false;
        }
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used.get(&request.team).copied().unwrap_or_default();
        let unseen = pass
            .unconfirmed_use
            .get(&request.team)
            .copied()
            .unwrap_or_default();
        team.allows(&(used + unseen + request.each.times(tasks)))
    }

    pub(crate) fn start(
        &mut self,
        pass: &mut Cycle,
        id: &JobId,
        i: u32,
        slot: usize,
        attempt: Option<Attempt>,
    ) {
        let Some(host) = pass.slots.get(slot).map(|s| s.id.clone()) else {
            return;
        };
        let task = TaskId::new(id, i);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(place) = job.preempting.iter().position(|(h, _)| h == &host) {
            job.preempting.swap_remove(place);
        }
        let request = job.request.clone();
        if job.live.is_empty() {
            let (class, team) = (&request.class, &request.team);
            let least = self.config.tuning.least_share;
            let begun = starvation::Input::Begun { id, class, team };
            self.starvation.apply(begun, least, pass.now);
        }
        job.last_started = pass.now;
        let each = request.each;
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        if let Some(home) = self.jobs.get(id).and_then(|j| j.reserved.get(&i)) {
            pass.invalidate_host(home);
        }
        self.release_reservation(id, i);
        self.set_step(&task, TaskStep::Live(host.clone()));
        let image = (request.image.clone(), request.image_gb);
        self.apply(
            &host,
            HostInput::Start(task, attempt, each, image),
            pass.now,
        );
        pass.take(slot, &each);
        self.dirty.insert(host);
    }
}
