//! A pass over a partition: admitted work is booked and started, gangs are started whole,
//! room is made for production. And the admission test.

use crate::{
    config::fetch_time,
    forward::{Booking, Occupied, density, insert, misses, remaining},
    host::{Host, HostInput, TaskState},
    job::{Job, TaskStep},
    partition::{Note, Partition, Verdict},
};
use jasperhill_wire::{
    HostId, JobId, Micros, Name, Resources, TaskId,
    user::{JobRequest, Shape},
};
use std::collections::{BTreeMap, BTreeSet};

/// Tasks of one job that are booked in one pass; the rest follows in later ones.
const BOOK_MAX: usize = 256;

/// What it is worth to leave an empty machine whole.
const BREAK_MS: u64 = 4_000;

/// The deadline of what has missed its own.
const FOR_EVER: Micros = Micros::from_secs(86_400);

/// A replica that has run for less is not moved.
const SETTLED: Micros = Micros::from_secs(45);

/// What a pass keeps track of.
struct Pass {
    now: Micros,
    ghosts: bool,
    /// Room left on usable hosts.
    room: BTreeMap<HostId, Resources>,
    /// Hosts kept free for a waiting gang.
    reserved: BTreeMap<HostId, JobId>,
}

impl Pass {
    fn fits(&self, host: &HostId, job: &JobId, each: &Resources) -> bool {
        self.room.get(host).is_some_and(|r| each.fits(r))
            && self.reserved.get(host).is_none_or(|j| j == job)
    }
}

/// The expected wait for the image.
pub fn start_delay(host: &Host, request: &JobRequest, now: Micros) -> Micros {
    host.image_wait(&request.image, request.image_gb, now)
}

impl Partition {
    /// Starts what can be started. Call when something has changed, and now and then.
    pub fn pass(&mut self, now: Micros) {
        self.changed = false;
        self.lapse(now);
        self.mend_gangs(now);
        self.drain_noticed(now);
        self.move_replicas(now);
        let config = self.config.clone();
        let mut pass = Pass {
            now,
            ghosts: self.has_ghosts(),
            room: self
                .hosts
                .values()
                .filter(|h| h.is_usable(now, &config))
                .map(|h| (h.id.clone(), h.room()))
                .collect(),
            reserved: BTreeMap::new(),
        };
        self.unbook_unusable(&pass);
        self.mark_missed(now);
        let mut order: Vec<_> = self
            .jobs
            .values()
            .filter(|j| {
                j.ending.is_none()
                    && (j.pending() > 0 || !j.booked.is_empty())
                    && !self.is_haunted(j, pass.ghosts)
                    && now >= j.not_before
            })
            .map(|j| (j.rank(), j.request.id.clone()))
            .collect();
        order.sort();
        self.keep_made_room(&mut pass);
        for (_, id) in &order {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            match job.request.shape {
                Shape::Gang => self.start_gang(&mut pass, id),
                Shape::Service | Shape::Array if job.due.is_none() => {
                    self.start_loose(&mut pass, id);
                }
                _ => {
                    self.book(&pass, id);
                    self.start_booked(&mut pass, id);
                }
            }
        }
        if !order.is_empty() {
            // Work waits for time to pass as well: retries, predicted ends.
            self.notes.truncate(256);
        }
    }

    /// A gang that has lost a task stops the rest; a new attempt waits for the last of them.
    fn mend_gangs(&mut self, now: Micros) {
        let ghosts = self.has_ghosts();
        let broken: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| {
                j.is_gang()
                    && j.ending.is_none()
                    && !j.live.is_empty()
                    && j.unsaved.is_empty()
                    && j.pending() > 0
                    && !self.is_haunted(j, ghosts)
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
            .hosts
            .values()
            .filter(|h| !h.queue.is_empty() && !pass.room.contains_key(&h.id))
            .flat_map(|h| h.queue.iter().map(|b| b.task.clone()))
            .collect();
        for task in lost {
            self.unbook(&task.job, task.index);
        }
    }

    /// Chooses a host to be emptied, when there are more than are needed: the one with the
    /// fewest replicas, if all of them can go on at once elsewhere.
    pub fn drain_one(&mut self, now: Micros, ordinary: bool) {
        let config = self.config.clone();
        if self.has_ghosts() || self.hosts.values().any(|h| h.draining.is_some()) {
            return;
        }
        let chosen = self
            .hosts
            .values()
            .filter(|h| h.is_usable(now, &config) && h.queue.is_empty() && (ordinary || h.spot))
            .filter(|h| {
                h.tasks.iter().filter(|(_, t)| t.is_on()).all(|(task, t)| {
                    self.jobs.get(&task.job).is_some_and(|j| {
                        !j.is_service()
                            || (t.running.is_some_and(|r| now - r > SETTLED)
                                && self.refuge(j, task, &h.id, now).is_some())
                    })
                })
            })
            .map(|h| (h.tasks.values().filter(|t| t.is_on()).count(), h.id.clone()))
            .filter(|(tasks, _)| *tasks > 0)
            .min();
        if let Some((tasks, id)) = chosen
            && tasks <= 4
            && let Some(host) = self.hosts.get_mut(&id)
        {
            host.draining = Some(now);
        }
    }

    /// Another host where this replica would run at once.
    fn refuge(&self, job: &Job, task: &TaskId, from: &HostId, now: Micros) -> Option<HostId> {
        self.hosts
            .values()
            .filter(|h| &h.id != from && h.is_usable(now, &self.config))
            .filter(|h| h.has_image(&job.request.image) && job.request.each.fits(&h.room()))
            .filter(|h| h.tasks.values().any(|t| t.is_on()) && !h.tasks.contains_key(task))
            .find(|h| {
                let r = &job.request;
                let others = job
                    .live
                    .iter()
                    .filter(|(i, _)| **i != task.index)
                    .filter(|(_, on)| self.zone_of(on).as_ref() == Some(&h.zone))
                    .count() as u32;
                r.allows_host(&h.spec.kind, &h.zone, h.spot)
                    && others < r.zone_cap()
                    && (!r.one_zone || others + 1 == job.live.len() as u32)
            })
            .map(|h| h.id.clone())
    }

    /// Moves replicas off a draining host, one at a time, so that each is away only for the
    /// moment between its stop and its start where the image is.
    fn move_replicas(&mut self, now: Micros) {
        let mut stops = Vec::new();
        for host in self.hosts.values_mut() {
            if host
                .draining
                .is_some_and(|t| now - t > Micros::from_secs(90))
            {
                host.draining = None;
            }
        }
        for host in self.hosts.values().filter(|h| h.draining.is_some()) {
            if host
                .tasks
                .values()
                .any(|t| t.is_on() && t.stopping.is_some())
            {
                continue;
            }
            let next = host.tasks.iter().find(|(task, t)| {
                t.is_on()
                    && self.jobs.get(&task.job).is_some_and(|j| {
                        j.is_service()
                            && j.pending() == 0
                            && self.refuge(j, task, &host.id, now).is_some()
                    })
            });
            if let Some((task, _)) = next {
                stops.push((host.id.clone(), task.clone()));
            }
        }
        for (host, task) in stops {
            self.notes.push(Note::Stopped(
                task.clone(),
                host.clone(),
                "moved to empty the host",
            ));
            self.stop(&host, &task, Micros::ZERO, now);
        }
    }

    fn zone_of(&self, host: &HostId) -> Option<Name> {
        self.hosts.get(host).map(|h| h.zone.clone())
    }

    fn limit_allows(&self, pass: &Pass, request: &JobRequest, tasks: u64) -> bool {
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        team.allows(&(self.team_use(&request.team, pass.ghosts) + request.each.times(tasks)))
    }

    /// Whether this task may go to this host at all.
    fn allowed(&self, job: &Job, host: &Host, i: u32) -> bool {
        let r = &job.request;
        r.allows_host(&host.spec.kind, &host.zone, host.spot)
            && (!job.failed_on.contains(&host.id) || job.failed_on.len() >= 3)
            && !host.tasks.contains_key(&TaskId::new(&r.id, i))
            && job.zone_room(&host.zone, |h| self.zone_of(h)) > 0
    }

    /// How well a host suits a task that starts now, in milliseconds of wait that it is worth:
    /// quick to start, then tightly packed, so that whole machines stay free for gangs.
    fn cost(host: &Host, room: &Resources, request: &JobRequest, now: Micros) -> u64 {
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
        let tight = 1_000.0 * (1.0 - request.each.share_of(room).min(1.0));
        delay.0 / 1_000 + slow + kind + breaks + tight as u64
    }

    fn start(
        &mut self,
        pass: &mut Pass,
        id: &JobId,
        i: u32,
        host: &HostId,
        attempt: Option<jasperhill_wire::Attempt>,
    ) {
        let task = TaskId::new(id, i);
        let Some(request) = self.jobs.get(id).map(|j| j.request.clone()) else {
            return;
        };
        let each = request.each;
        let attempt = attempt.unwrap_or_else(|| self.next_attempt());
        self.unbook(id, i);
        self.set_step(&task, TaskStep::Live(host.clone()));
        self.apply(
            host,
            HostInput::Start(
                task,
                attempt,
                each,
                (request.image.clone(), request.image_gb),
            ),
            pass.now,
        );
        if let Some(room) = pass.room.get_mut(host) {
            *room -= each;
        }
        self.dirty.insert(host.clone());
    }

    /// Deadline-free tasks that start alone: services and plain arrays.
    fn start_loose(&mut self, pass: &mut Pass, id: &JobId) {
        loop {
            let Some(job) = self.jobs.get_mut(id) else {
                return;
            };
            let Some(i) = job.next_pending() else { return };
            let request = job.request.clone();
            if !self.limit_allows(pass, &request, 1) {
                return;
            }
            let Some(job) = self.jobs.get(id) else { return };
            let urgent =
                job.is_production() || request.priority == jasperhill_wire::user::Priority::High;
            let best = pass
                .room
                .iter()
                .filter(|(h, _)| pass.fits(h, id, &request.each))
                .filter_map(|(h, room)| self.hosts.get(h).map(|host| (host, room)))
                // The rest queues last: never ahead of admitted work that waits there.
                .filter(|(host, _)| urgent || host.queue.is_empty())
                .filter(|(host, _)| self.allowed(job, host, i))
                .min_by_key(|(host, room)| {
                    (Self::cost(host, room, &request, pass.now), host.id.clone())
                })
                .map(|(host, _)| host.id.clone());
            let wait = best
                .as_ref()
                .and_then(|h| self.hosts.get(h))
                .map_or(Micros::MAX, |h| start_delay(h, &request, pass.now));
            // Production does not wait for an image where stopping lesser work elsewhere lets
            // it start at once.
            if job.is_production()
                && wait > self.config.patience(&request.class)
                && (job.making_room.is_some() || self.make_room(pass, id, i, wait))
            {
                return;
            }
            match best {
                Some(host) => self.start(pass, id, i, &host, None),
                None => return,
            }
        }
    }

    /// Stops work of lower priority for a production task that finds no room. True if room is
    /// now being made where the wait is shorter than `wait`.
    fn make_room(&mut self, pass: &mut Pass, id: &JobId, i: u32, wait: Micros) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let request = job.request.clone();
        let mut best: Option<((u64, u64), HostId, Vec<TaskId>)> = None;
        for (h, room) in &pass.room {
            let Some(host) = self.hosts.get(h) else {
                continue;
            };
            if pass.reserved.get(h).is_some_and(|j| j != id) || !self.allowed(job, host, i) {
                continue;
            }
            let mut victims: Vec<_> = host
                .tasks
                .iter()
                // What is stopping already makes room for somebody else.
                .filter(|(_, t)| t.is_on() && t.stopping.is_none())
                .filter_map(|(task, t)| {
                    let other = self.jobs.get(&task.job)?;
                    let lower = other.request.priority > request.priority && !other.is_service();
                    // A gang of several would be stopped whole.
                    (lower && (!other.is_gang() || other.request.tasks == 1)).then(|| {
                        let lost = if other.checkpoints() {
                            other.request.save
                        } else {
                            pass.now - t.running.unwrap_or(pass.now)
                        };
                        let grace = if other.checkpoints() {
                            other.request.save
                        } else {
                            Micros::ZERO
                        };
                        (lost, task.clone(), t.each, grace)
                    })
                })
                .collect();
            victims.sort_by_key(|v| v.0);
            let (mut free, mut chosen, mut loss) = (*room, Vec::new(), Micros::ZERO);
            let mut grace = Micros::ZERO;
            for (lost, task, each, save) in victims {
                if request.each.fits(&free) {
                    break;
                }
                free += each;
                loss += lost;
                grace = grace.max(save);
                chosen.push(task);
            }
            let delay = start_delay(host, &request, pass.now) + grace;
            let sooner = wait == Micros::MAX || delay + self.config.patience(&request.class) < wait;
            if request.each.fits(&free) && !chosen.is_empty() && sooner {
                let key = (delay.0 / 1_000_000, loss.0);
                if best.as_ref().is_none_or(|(k, ..)| key < *k) {
                    best = Some((key, h.clone(), chosen));
                }
            }
        }
        let Some((_, host, victims)) = best else {
            return false;
        };
        for task in victims {
            let grace = match self.jobs.get_mut(&task.job) {
                Some(other) => {
                    other.preempted += 1;
                    if other.checkpoints() {
                        other.request.save + Micros::from_secs(1)
                    } else {
                        Micros::ZERO
                    }
                }
                None => Micros::ZERO,
            };
            self.notes.push(Note::Stopped(
                task.clone(),
                host.clone(),
                "room for production",
            ));
            self.stop(&host, &task, grace, pass.now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.making_room = Some((host.clone(), pass.now));
        }
        if let Some(room) = pass.room.get_mut(&host) {
            *room -= request.each;
        }
        true
    }

    /// Room that is being made for production is not given to others.
    fn keep_made_room(&mut self, pass: &mut Pass) {
        for job in self.jobs.values_mut() {
            let Some((_, since)) = &job.making_room else {
                continue;
            };
            if pass.now - *since > Micros::from_secs(4)
                || job.pending() == 0
                || job.ending.is_some()
            {
                job.making_room = None;
            }
        }
    }

    /// Books pending tasks of an admitted job, as far as the team's limit goes.
    fn book(&mut self, pass: &Pass, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let Some(due) = job.due else { return };
        let due = if job.missed { pass.now + FOR_EVER } else { due };
        let booked = job.booked.len() as u64;
        let mut left = BOOK_MAX;
        let mut taken = booked;
        while left > 0 {
            left -= 1;
            if !self.limit_allows(pass, &request, taken + 1) {
                return;
            }
            let Some(i) = self.jobs.get_mut(id).and_then(Job::next_pending) else {
                return;
            };
            let task = TaskId::new(id, i);
            let Some((host, booking)) = self.choose(pass, &task, &request, due, false) else {
                return;
            };
            let Some(h) = self.hosts.get_mut(&host) else {
                return;
            };
            insert(&mut h.queue, booking);
            self.set_step(&task, TaskStep::Booked(host));
            taken += 1;
        }
    }

    fn booking(
        &self,
        host: &Host,
        task: &TaskId,
        request: &JobRequest,
        due: Micros,
        now: Micros,
    ) -> Booking {
        let delay = start_delay(host, request, now).scale(self.config.tuning.uncertainty);
        Booking {
            task: task.clone(),
            each: request.each,
            adjusted: due - delay,
            estimate: self.estimate(request).scale(host.slowness.max(1.0)),
        }
    }

    pub(crate) fn occupied(&self, host: &Host, now: Micros) -> Vec<Occupied> {
        host.tasks
            .iter()
            .filter(|(_, t)| t.is_on())
            .map(|(task, t)| {
                let until = match self.jobs.get(&task.job) {
                    Some(j) if j.is_service() && t.stopping.is_none() => Micros::MAX,
                    Some(j) => {
                        let (began, wait) = match (t.running, t.state) {
                            (Some(began), _) => (began, Micros::ZERO),
                            (None, TaskState::Fetching | TaskState::Ordered) => {
                                (now, start_delay(host, &j.request, now))
                            }
                            _ => (now, Micros::ZERO),
                        };
                        now + wait
                            + remaining(
                                self.estimate(&j.request).scale(host.slowness.max(1.0)),
                                now - began,
                            )
                    }
                    None => now + Micros::from_secs(2),
                };
                Occupied {
                    until,
                    each: t.each,
                }
            })
            .collect()
    }

    /// The forward run over all hosts; among those without a new miss the lowest density.
    /// Unless `strict`, an admitted task that would miss everywhere goes where the fewest do.
    fn choose(
        &self,
        pass: &Pass,
        task: &TaskId,
        request: &JobRequest,
        due: Micros,
        strict: bool,
    ) -> Option<(HostId, Booking)> {
        let job = self.jobs.get(&task.job);
        let mut best: Option<(usize, f64, HostId, Booking)> = None;
        for id in pass.room.keys() {
            let Some(host) = self.hosts.get(id) else {
                continue;
            };
            let allowed = match job {
                Some(job) => self.allowed(job, host, task.index),
                None => request.allows_host(&host.spec.kind, &host.zone, host.spot),
            };
            if !allowed || !request.each.fits(&host.spec.capacity) {
                continue;
            }
            let booking = self.booking(host, task, request, due, pass.now);
            let running = self.occupied(host, pass.now);
            let room = host.room();
            let mut queue = host.queue.clone();
            let before = misses(pass.now, room, &running, &queue);
            insert(&mut queue, booking.clone());
            let missed = misses(pass.now, room, &running, &queue).saturating_sub(before);
            if strict && missed > 0 {
                continue;
            }
            let dense = density(pass.now, &queue);
            if best
                .as_ref()
                .is_none_or(|(m, d, ..)| (missed, dense) < (*m, *d))
            {
                best = Some((missed, dense, id.clone(), booking));
            }
        }
        best.map(|(_, _, host, booking)| (host, booking))
    }

    /// Starts booked tasks: from the head of their hosts' queues, and on any host that has
    /// room and no queue of its own.
    fn start_booked(&mut self, pass: &mut Pass, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let booked: Vec<(u32, HostId)> = job.booked.iter().map(|(i, h)| (*i, h.clone())).collect();
        for (i, home) in booked {
            if !pass.room.keys().any(|h| pass.fits(h, id, &request.each)) {
                return;
            }
            if !self.limit_allows(pass, &request, 1) {
                return;
            }
            let Some(job) = self.jobs.get(id) else { return };
            let target = if pass.fits(&home, id, &request.each)
                && self
                    .hosts
                    .get(&home)
                    .is_some_and(|h| self.allowed(job, h, i))
            {
                Some(home.clone())
            } else {
                pass.room
                    .iter()
                    .filter(|(h, _)| pass.fits(h, id, &request.each))
                    .filter_map(|(h, room)| self.hosts.get(h).map(|host| (host, room)))
                    .filter(|(host, _)| host.queue.is_empty() && self.allowed(job, host, i))
                    .min_by_key(|(host, room)| {
                        (Self::cost(host, room, &request, pass.now), host.id.clone())
                    })
                    .map(|(host, _)| host.id.clone())
            };
            if let Some(host) = target {
                self.start(pass, id, i, &host, None);
            }
        }
    }

    /// Starts a gang whole or not at all.
    fn start_gang(&mut self, pass: &mut Pass, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        if !job.live.is_empty() || !job.unsaved.is_empty() {
            return;
        }
        if !self.limit_allows(pass, &request, u64::from(request.tasks)) {
            return;
        }
        let zones: BTreeSet<Name> = pass
            .room
            .keys()
            .filter_map(|h| self.zone_of(h))
            .filter(|z| request.zone.as_ref().is_none_or(|want| want == z))
            .collect();
        let mut best: Option<(u64, Vec<HostId>)> = None;
        let sets: Vec<BTreeSet<Name>> = if request.one_zone {
            zones.into_iter().map(|z| BTreeSet::from([z])).collect()
        } else {
            vec![zones]
        };
        for zones in sets {
            if let Some((cost, hosts)) = self.seats(pass, job, &request, &zones)
                && best.as_ref().is_none_or(|(c, _)| cost < *c)
            {
                best = Some((cost, hosts));
            }
        }
        match best {
            Some((_, hosts)) => {
                let attempt = self.next_attempt();
                if let Some(job) = self.jobs.get_mut(id) {
                    job.attempt = Some(attempt);
                }
                for (i, host) in hosts.into_iter().enumerate() {
                    self.start(pass, id, i as u32, &host, Some(attempt));
                }
            }
            None => {
                let urgent = request.priority == jasperhill_wire::user::Priority::High;
                if urgent && request.tasks == 1 && job.making_room.is_none() {
                    self.make_room(pass, id, 0, Micros::MAX);
                }
                self.reserve(pass, id, &request);
            }
        }
    }

    /// Hosts for every task of a gang within these zones, with room now.
    fn seats(
        &self,
        pass: &Pass,
        job: &Job,
        request: &JobRequest,
        zones: &BTreeSet<Name>,
    ) -> Option<(u64, Vec<HostId>)> {
        let mut candidates: Vec<_> = pass
            .room
            .iter()
            .filter(|(h, _)| pass.fits(h, &request.id, &request.each))
            .filter_map(|(h, room)| self.hosts.get(h).map(|host| (host, *room)))
            .filter(|(host, _)| zones.contains(&host.zone))
            .filter(|(host, _)| (0..request.tasks.min(1)).all(|i| self.allowed(job, host, i)))
            .filter(|(host, _)| !host.tasks.keys().any(|t| t.job == request.id))
            .map(|(host, room)| (Self::cost(host, &room, request, pass.now), host, room))
            .collect();
        candidates.sort_by_key(|(cost, host, _)| (*cost, host.id.clone()));
        let mut hosts = Vec::new();
        let mut by_zone: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut worst = 0;
        for (cost, host, mut room) in candidates {
            while hosts.len() < request.tasks as usize && request.each.fits(&room) {
                let used = by_zone.entry(&host.zone).or_default();
                if *used >= request.zone_cap() {
                    break;
                }
                *used += 1;
                room -= request.each;
                worst = worst.max(cost);
                hosts.push(host.id.clone());
            }
        }
        (hosts.len() == request.tasks as usize).then_some((worst, hosts))
    }

    /// Keeps the hosts that are free the soonest for a waiting gang, so that small work does
    /// not hold it up for ever.
    fn reserve(&mut self, pass: &mut Pass, id: &JobId, request: &JobRequest) {
        if pass.reserved.values().collect::<BTreeSet<_>>().len() >= 2 {
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        let mut ready: Vec<(Micros, &Host)> = pass
            .room
            .keys()
            .filter(|h| !pass.reserved.contains_key(*h))
            .filter_map(|h| self.hosts.get(h))
            .filter(|h| self.allowed(job, h, 0))
            .filter_map(|h| self.free_at(h, &request.each, pass.now).map(|t| (t, h)))
            .collect();
        ready.sort_by_key(|(t, h)| (*t, h.id.clone()));
        let zone = request
            .one_zone
            .then(|| ready.first().map(|(_, h)| h.zone.clone()))
            .flatten();
        let chosen: Vec<HostId> = ready
            .iter()
            .filter(|(_, h)| zone.as_ref().is_none_or(|z| z == &h.zone))
            .take(request.tasks as usize)
            .map(|(_, h)| h.id.clone())
            .collect();
        if chosen.len() == request.tasks as usize {
            for host in chosen {
                pass.reserved.insert(host, id.clone());
            }
        }
    }

    /// When the host is expected to have room for this, if ever.
    fn free_at(&self, host: &Host, each: &Resources, now: Micros) -> Option<Micros> {
        let mut room = host.room();
        let mut ends = self.occupied(host, now);
        ends.sort_by_key(|o| o.until);
        let mut at = now;
        for o in ends {
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

    /// The admission test for a job with a deadline that nobody has accepted yet.
    /// `elastic`: how many more machines can be had, after how long.
    pub fn admit(
        &self,
        request: &JobRequest,
        submitted: Micros,
        now: Micros,
        elastic: (u32, Micros),
    ) -> Verdict {
        let Some(deadline) = request.deadline else {
            return Verdict::Admit;
        };
        let due = submitted + deadline;
        let estimate = self.estimate(request);
        if due - now <= estimate {
            return Verdict::Refuse;
        }
        let ghosts = self.has_ghosts();
        let pass = Pass {
            now,
            ghosts,
            room: self
                .hosts
                .values()
                .filter(|h| h.is_usable(now, &self.config))
                .map(|h| (h.id.clone(), h.room()))
                .collect(),
            reserved: BTreeMap::new(),
        };
        // What lies beyond the team's limit waits unadmitted: only the part within it is tested.
        let Some(team) = self.config.team(&request.team) else {
            return Verdict::Refuse;
        };
        let used = self.team_use(&request.team, ghosts);
        let mut tested = 0;
        while tested < request.tasks.min(BOOK_MAX as u32)
            && team.allows(&(used + request.each.times(u64::from(tested) + 1)))
        {
            tested += 1;
        }
        let mut copies: BTreeMap<HostId, (Resources, Vec<Occupied>, Vec<Booking>, usize)> = pass
            .room
            .keys()
            .filter_map(|id| self.hosts.get(id))
            .filter(|h| request.allows_host(&h.spec.kind, &h.zone, h.spot))
            .filter(|h| request.each.fits(&h.spec.capacity))
            .map(|h| {
                let (room, running) = (h.room(), self.occupied(h, now));
                let before = misses(now, room, &running, &h.queue);
                (h.id.clone(), (room, running, h.queue.clone(), before))
            })
            .collect();
        // Machines that could be rented now: they begin empty, and late.
        let spec = self
            .specs
            .values()
            .find(|s| request.allows_type(&s.kind) && request.each.fits(&s.capacity));
        let mut rented = 0u64;
        if let Some(spec) = spec {
            let ready = now
                + elastic.1
                + fetch_time(request.image_gb, spec).scale(self.config.tuning.uncertainty);
            if ready + estimate <= due {
                let waves = ((due - ready).0 / estimate.0.max(1)).clamp(1, 2);
                rented = u64::from(elastic.0)
                    * request.each.count_in(&spec.capacity).min(1 << 20)
                    * waves;
            }
        }
        // Work that is late already takes its part of them.
        let late: usize = copies.values().map(|c| c.3).sum();
        rented = rented.saturating_sub(late as u64);
        for i in 0..tested {
            let task = TaskId::new(&request.id, i);
            let mut best: Option<(f64, HostId, Vec<Booking>)> = None;
            for (id, (room, running, queue, before)) in &copies {
                let Some(host) = self.hosts.get(id) else {
                    continue;
                };
                let booking = self.booking(host, &task, request, due, now);
                let mut queue = queue.clone();
                insert(&mut queue, booking);
                if misses(now, *room, running, &queue) > *before {
                    continue;
                }
                let dense = density(now, &queue);
                if best.as_ref().is_none_or(|(d, ..)| dense < *d) {
                    best = Some((dense, id.clone(), queue));
                }
            }
            match best {
                Some((_, id, queue)) => {
                    if let Some(copy) = copies.get_mut(&id) {
                        copy.2 = queue;
                    }
                }
                None if rented > 0 => rented -= 1,
                None => return Verdict::Refuse,
            }
        }
        Verdict::Admit
    }
}
