//! A pass over a partition: admitted work is booked and started, gangs are started whole,
//! room is made for what outranks. Owns what a pass keeps track of; the decisions themselves
//! are in `suit`, `book`, `gang`, `room` and `drain`.

use crate::{
    host::{Host, HostInput, LISTED_MAX},
    job::{Job, Readiness, TaskStep},
    partition::{Event, Partition, UnconfirmedTasks},
    preemption::Victim,
    schedule_simulation::Occupied,
    starvation::{self, Waiting},
};
use jasperhill_wire::{
    Attempt, HostId, JobId, Micros, Name, Resources, TaskId,
    user::{JobRequest, Priority, Shape},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// A host as a pass sees it.
pub(crate) struct Slot {
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
pub(crate) struct Begin {
    pub running: Rc<[Occupied]>,
    /// Bookings that miss already.
    pub misses: usize,
}

/// By slot, if known.
type Victims = Vec<Option<Rc<[Victim]>>>;

/// A gang for which there was nothing in this pass, so that there is nothing for one like it
/// that is as large and no more important. Room, and what could be stopped, only shrink.
struct Hopeless {
    priority: Priority,
    request: Rc<JobRequest>,
}

impl Hopeless {
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
pub(crate) struct Pass {
    pub now: Micros,
    pub ghosts: UnconfirmedTasks,
    /// One for every host, in the order of [`Partition::hosts`]; none comes or goes meanwhile.
    pub slots: Vec<Slot>,
    /// What teams may be using unseen.
    haunted: BTreeMap<Name, Resources>,
    /// Amounts for which no host has room. Room only shrinks during a pass, so these stay
    /// true: what waits behind a full fleet costs one comparison, not a look at every host.
    hopeless: Vec<Resources>,
    begins: RefCell<Vec<Option<Begin>>>,
    /// What could be stopped on each host for work of a priority, gangs of several tasks included
    /// or not; made once like the beginnings.
    victims: RefCell<BTreeMap<(Priority, bool), Victims>>,
    /// Gangs without seats, and those for which no room can be made.
    seatless: Vec<Hopeless>,
    roomless: Vec<Hopeless>,
    /// Gangs that keep hosts free, and how many hosts.
    pub reserving: (usize, usize),
}

impl Pass {
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
        self.forget(i);
        if let Some(slot) = self.slots.get_mut(i) {
            slot.room -= *each;
            slot.listed += 1;
        }
    }
    /// The forward runs on this host begin differently now.
    pub fn forget(&self, i: usize) {
        if let Some(begin) = self.begins.borrow_mut().get_mut(i) {
            *begin = None;
        }
        for known in self.victims.borrow_mut().values_mut() {
            if let Some(victims) = known.get_mut(i) {
                *victims = None;
            }
        }
    }
    pub fn forget_host(&self, host: &HostId) {
        if let Some(i) = self.slot(host) {
            self.forget(i);
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
    pub fn begin(&self, i: usize, make: impl FnOnce() -> Begin) -> Begin {
        let known = self.begins.borrow().get(i).cloned().flatten();
        known.unwrap_or_else(|| {
            let begin = make();
            if let Some(place) = self.begins.borrow_mut().get_mut(i) {
                *place = Some(begin.clone());
            }
            begin
        })
    }
    pub fn is_seatless(&self, priority: Priority, r: &JobRequest) -> bool {
        self.seatless.iter().any(|h| h.covers(priority, r))
    }
    pub fn note_seatless(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.seatless.push(Hopeless { priority, request });
    }
    pub fn is_roomless(&self, priority: Priority, r: &JobRequest) -> bool {
        self.roomless.iter().any(|h| h.covers(priority, r))
    }
    pub fn note_roomless(&mut self, priority: Priority, request: &Rc<JobRequest>) {
        let request = request.clone();
        self.roomless.push(Hopeless { priority, request });
    }
    /// No usable host has room for this.
    pub fn is_hopeless(&mut self, each: &Resources) -> bool {
        if self.hopeless.iter().any(|h| h.fits(each)) {
            return true;
        }
        let none = !self.slots.iter().any(|s| s.usable && each.fits(&s.room));
        if none {
            self.hopeless.push(*each);
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
    pub(crate) fn look(&self, now: Micros) -> Pass {
        let ghosts = self.ghosts();
        let mut haunted: BTreeMap<Name, Resources> = BTreeMap::new();
        for job in self.jobs.values().filter(|j| self.is_haunted(j, &ghosts)) {
            *haunted.entry(job.request.team.clone()).or_default() += job.unseen();
        }
        let slots = self
            .hosts
            .values()
            .map(|h| Slot {
                id: h.id.clone(),
                usable: h.is_usable(now, &self.config),
                room: h.room(),
                listed: h.listed(),
                reserved: None,
            })
            .collect();
        Pass {
            now,
            ghosts,
            begins: RefCell::new(vec![None; self.hosts.len()]),
            victims: RefCell::default(),
            slots,
            haunted,
            hopeless: Vec::new(),
            seatless: Vec::new(),
            roomless: Vec::new(),
            reserving: (0, 0),
        }
    }

    /// Every host with its slot.
    pub(crate) fn with_slots<'a>(
        &'a self,
        pass: &'a Pass,
    ) -> impl Iterator<Item = (usize, &'a Slot, &'a Host)> {
        pass.slots
            .iter()
            .zip(self.hosts.values())
            .enumerate()
            .map(|(i, (slot, host))| (i, slot, host))
    }

    /// Starts what can be started. Call when something has changed, and now and then.
    pub fn run_cycle(&mut self, now: Micros) {
        self.changed = false;
        self.lapse(now);
        self.note_known(now);
        self.mend_gangs(now);
        self.clear_suspects(now);
        self.watch_overruns(now);
        self.drain_noticed(now);
        self.move_replicas(now);
        let mut pass = self.look(now);
        self.unbook_unusable(&pass);
        self.mark_missed(now);
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|j| {
                j.termination.is_none()
                    && j.gate == Readiness::Open
                    && (j.pending() > 0 || !j.booked.is_empty())
                    && !self.is_haunted(j, &pass.ghosts)
                    && now >= j.not_before
                    && j.failures.may_try(now)
            })
            .map(|j| (j.rank(), j.request.id.clone()))
            .collect();
        self.give_turns(&pass, &order);
        for (rank, id) in &mut order {
            // Guards against a class or team that never gets its turn behind others' work.
            if self.starvation.has_turn(id) && rank.0 > 0 {
                (rank.0, rank.1) = (1, 0);
            }
        }
        order.sort();
        self.backlog = order.len();
        self.keep_made_room(now);
        self.look_after_losses(now);
        let mut kept = false;
        for ((band, ..), id) in &order {
            if *band > 0 && !kept {
                kept = true;
                self.keep_room_for_losses(&mut pass);
            }
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            match job.request.shape {
                Shape::Gang => self.start_gang(&mut pass, id),
                // A suspect job is booked nowhere: it would hold up others' forward runs.
                Shape::Service | Shape::Array if job.due.is_none() || job.failures.is_suspect() => {
                    self.start_loose(&mut pass, id);
                }
                _ => {
                    self.book(&pass, id);
                    self.start_booked(&mut pass, id);
                }
            }
        }
        self.events.truncate(256);
    }

    /// Looks who of those that could start has fallen behind.
    fn give_turns(&mut self, pass: &Pass, order: &[(Rank, JobId)]) {
        if !self.starvation.is_due(pass.now) {
            return;
        }
        let jobs = order.iter().filter_map(|(_, id)| self.jobs.get(id));
        // Who waits for its team's own limit is not behind others.
        let could = |j: &&Job| {
            let tasks = if j.is_gang() { j.request.tasks } else { 1 };
            j.live.is_empty()
                && !j.failures.is_suspect()
                && self.may_start(pass, &j.request, u64::from(tasks))
        };
        let idle = jobs.filter(could);
        let waiting: Vec<Waiting<'_>> = idle
            .map(|j| Waiting {
                id: &j.request.id,
                class: &j.request.class,
                team: &j.request.team,
                since: j.submitted.max(j.last_ran),
                within: self.config.patience(&j.request.class),
            })
            .collect();
        let least = self.config.tuning.least_share;
        let was = self.starvation.behind(least);
        self.starvation
            .apply(starvation::Input::Look(&waiting), least, pass.now);
        let is = self.starvation.behind(least);
        for group in is.difference(&was) {
            let standing = self.starvation.standing().get(group).copied();
            let note = Event::Behind(group.clone(), standing);
            self.events.push(note);
        }
        let caught_up = was.difference(&is).cloned();
        self.events
            .extend(caught_up.map(|g| Event::Behind(g, None)));
    }

    /// A gang that has lost a task stops the rest; a new attempt waits for the last of them.
    fn mend_gangs(&mut self, now: Micros) {
        let ghosts = self.ghosts();
        let broken: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| {
                j.is_gang()
                    && j.termination.is_none()
                    && !j.live.is_empty()
                    && j.unsaved.is_empty()
                    && j.pending() > 0
                    && !self.is_haunted(j, &ghosts)
            })
            .map(|j| j.request.id.clone())
            .collect();
        for id in broken {
            self.stop_all(&id, Micros::ZERO, now);
        }
    }

    /// Jobs with tasks to start that can't end in time any more queue last from now on.
    fn mark_missed(&mut self, now: Micros) {
        let missed: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| !j.missed && (j.pending() > 0 || !j.booked.is_empty()))
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
            job.missed = true;
            let booked: Vec<u32> = job.booked.keys().copied().collect();
            for i in booked {
                self.unbook(&id, i);
            }
        }
    }

    /// Bookings on hosts that can't be used any more are made anew.
    fn unbook_unusable(&mut self, pass: &Pass) {
        let lost: Vec<TaskId> = self
            .with_slots(pass)
            .filter(|(_, slot, h)| !slot.usable && !h.queue.is_empty())
            .flat_map(|(_, _, h)| h.queue.iter().map(|b| b.task.clone()))
            .collect();
        for task in lost {
            self.unbook(&task.job, task.index);
        }
    }

    /// So many more tasks may start or be booked: all that the job needs is done, and its team
    /// stays within its limit.
    pub(crate) fn may_start(&self, pass: &Pass, request: &JobRequest, tasks: u64) -> bool {
        let open = |j: &Job| j.gate == Readiness::Open;
        if !self.jobs.get(&request.id).is_some_and(open) {
            return false;
        }
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used.get(&request.team).copied().unwrap_or_default();
        let unseen = pass.haunted.get(&request.team).copied().unwrap_or_default();
        team.allows(&(used + unseen + request.each.times(tasks)))
    }

    pub(crate) fn start(
        &mut self,
        pass: &mut Pass,
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
        if let Some(place) = job.making_room.iter().position(|(h, _)| h == &host) {
            job.making_room.swap_remove(place);
        }
        let request = job.request.clone();
        if job.live.is_empty() {
            let (class, team) = (&request.class, &request.team);
            let least = self.config.tuning.least_share;
            let begun = starvation::Input::Begun { id, class, team };
            self.starvation.apply(begun, least, pass.now);
        }
        job.last_ran = pass.now;
        let each = request.each;
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        if let Some(home) = self.jobs.get(id).and_then(|j| j.booked.get(&i)) {
            pass.forget_host(home);
        }
        self.unbook(id, i);
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
