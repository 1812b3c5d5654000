//! The host machine: what a worker runs, may run and has been told. Every change of its
//! state goes through [`Host::apply`].

use crate::{
    config::{MachineSpec, SchedulerConfig},
    stragglers::Pace,
};
use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Micros, Name, Resources, TaskId,
    record::{HostAssignment, HostRecord},
    worker::{Command, ExitCause, Heartbeat, TaskPhase},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Errors in a row after which a host is set aside, and for how long.
const ERRORS: usize = 2;
const ASIDE: Micros = Micros::from_secs(60);
/// Errors remembered.
const BLAME_MAX: usize = 16;
/// By then a job that fails everywhere is found out: no host is returned for its errors before.
const ABSOLVED_WITHIN: Micros = Micros::from_secs(8);
/// A completed task proves a host for so long after its start.
const PROVED_FOR: Micros = Micros::from_secs(120);

/// Tasks that a worker may list, exited ones that are not cleared yet included: a report with
/// more could outgrow the 64 KiB that a request body may have, and a host whose reports are
/// refused is lost with all that runs there.
pub const LISTED_MAX: usize = 440;
/// Commands in one message, which may not outgrow 64 KiB either; the rest follows.
const ORDERS_MAX: usize = 600;

/// How well a host is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingState {
    /// Has not shown our token yet. `ghosts`: a predecessor may have started anything there.
    Unfenced { unconfirmed: bool },
    /// Has shown our token: its reports say all that runs there.
    Fenced,
    /// Its lease has surely lapsed: nothing runs there.
    Lapsed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Heartbeat,
    Direct,
}

/// Where a task stands on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Told to start, not yet reported.
    Ordered,
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited(ExitCause),
}

#[derive(Clone, Debug)]
pub struct HostTask {
    pub attempt: Attempt,
    pub state: TaskState,
    pub each: Resources,
    /// When it was ordered.
    pub ordered: Micros,
    /// When it was first seen running.
    pub running: Option<Micros>,
    /// Told to stop: with which grace, since when.
    pub stopping: Option<(Micros, Micros)>,
    /// The image it needs, with its size.
    pub image: Option<(Name, f64)>,
    /// A `run` went out in the answer to a report that the worker has not followed up yet.
    answered: bool,
}

impl HostTask {
    /// Holds resources, or may.
    pub fn is_on(&self) -> bool {
        !matches!(self.state, TaskState::Exited(_))
    }
}

/// Starts that are on their way, or may be.
#[derive(Clone, Debug)]
struct Flight {
    starts: Vec<(TaskId, Attempt)>,
    under: Under,
}

/// What a start was sent under.
#[derive(Clone, Copy, Debug)]
struct Under {
    token: FencingToken,
    /// As of when whoever sent it knew of cancellations.
    known: Micros,
}

/// Commands sent directly whose fate is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    None,
    /// The host's record must be rewritten to raise the token.
    NeedsToken,
    /// Over once the host shows this token.
    Until(FencingToken),
}

#[derive(Debug)]
pub enum HostInput<'a> {
    Report(&'a Heartbeat, Source),
    /// A report was answered 200 with these commands.
    Answered(&'a [Command]),
    /// Another controller may answer its reports until then.
    LeaseDelegated(Micros),
    /// Commands go out directly; what is known of the store, and so of cancellations, is as of then.
    DirectSent(Vec<Command>, Micros),
    /// The direct commands were executed, or surely were not (their report comes separately).
    DirectSettled,
    /// No answer: they may be executed at any time.
    DirectUnanswered,
    /// The record was rewritten.
    TokenRaised(FencingToken),
    /// It has begun a new session although its reports were answered: it does not hear.
    Deaf,
    /// The lease has surely lapsed, or the machine is gone.
    Gone,
    /// Start this task, which takes this much and needs this image.
    Start(TaskId, Attempt, Resources, (Name, f64)),
    /// Stop this task.
    Stop(&'a TaskId, Micros),
}

/// What became of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOutput {
    /// On the host without our having known.
    Found(TaskId, Attempt),
    Running(TaskId),
    /// Not on the host any more. `None`: lost.
    Ended(TaskId, Option<ExitCause>),
    Fenced,
}

#[derive(Debug)]
pub struct Host {
    pub id: HostId,
    pub address: String,
    pub spec: Rc<MachineSpec>,
    pub zone: Name,
    pub spot: bool,
    pub usage: HostAssignment,
    pub token: FencingToken,
    pub fencing: FencingState,
    pub tenure: Option<u64>,
    counter: u64,
    pub tasks: BTreeMap<TaskId, HostTask>,
    /// What its tasks take together, and how many of them are on it or wait for an image:
    /// running sums, so that a pass over many hosts need not look at every task.
    used: Resources,
    on: usize,
    fetching: usize,
    /// Exited tasks of earlier attempts, still listed by the worker.
    stale: BTreeSet<(TaskId, Attempt)>,
    doubt: Doubt,
    doubted: BTreeSet<(TaskId, Attempt)>,
    /// What they were sent under.
    doubt_under: Option<Under>,
    flight: Option<Flight>,
    pub last_heard: Micros,
    /// When a report last came from it here by its own doing, or may have, to an owner before. `None`:
    /// it is new here, or known by direct answers alone to have begun a session: nobody may renew that.
    spoke: Option<Micros>,
    /// The last moment at which anyone can have renewed its lease.
    pub last_answer: Micros,
    /// When a report of it was last answered here.
    pub answered: Option<Micros>,
    pub notice: Option<Micros>,
    /// Images seen there, the most recent last.
    pub images: Vec<(Name, f64)>,
    /// Admitted tasks booked here, in order of adjusted deadline.
    pub queue: Vec<crate::schedule_simulation::Booking>,
    /// When it last became empty.
    pub idle_since: Option<Micros>,
    /// Being emptied so that it can be given up, since when.
    pub draining: Option<Micros>,
    /// The jobs of its errors in a row, one for each error, and set aside until.
    pub blame: Vec<JobId>,
    pub aside_until: Option<Micros>,
    /// When the last task that completed here was started.
    pub proved: Option<Micros>,
    /// Run times against expectation, smoothed; above 1 is slow.
    pub slowness: f64,
    /// Whether it keeps pace by what runs there, since when it does not, and when a task last
    /// ended in time.
    pub pace: Pace,
    pub convicted: Option<Micros>,
    pub in_time: Option<Micros>,
}

impl Host {
    pub fn new(
        id: HostId,
        record: &HostRecord,
        spec: Rc<MachineSpec>,
        token: FencingToken,
        unconfirmed: bool,
        now: Micros,
    ) -> Self {
        Self {
            id,
            address: record.address.clone(),
            spec,
            zone: record.zone.clone(),
            spot: record.spot,
            usage: record.assignment,
            token,
            fencing: FencingState::Unfenced { unconfirmed },
            tenure: None,
            counter: 0,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            on: 0,
            fetching: 0,
            stale: BTreeSet::new(),
            doubt: Doubt::None,
            doubted: BTreeSet::new(),
            doubt_under: None,
            flight: None,
            last_heard: now,
            spoke: unconfirmed.then_some(now),
            last_answer: now,
            answered: None,
            notice: None,
            images: Vec::new(),
            queue: Vec::new(),
            idle_since: Some(now),
            draining: None,
            blame: Vec::new(),
            aside_until: None,
            proved: None,
            slowness: 1.0,
            pace: Pace::Steady,
            convicted: None,
            in_time: None,
        }
    }

    pub fn has_ghosts(&self) -> bool {
        self.fencing == FencingState::Unfenced { unconfirmed: true }
    }
    pub fn needs_token(&self) -> bool {
        self.doubt == Doubt::NeedsToken
    }
    pub fn in_doubt(&self) -> bool {
        self.doubt != Doubt::None
    }
    pub fn in_flight(&self) -> bool {
        self.flight.is_some()
    }
    /// A task of this job failed here. True if the host is set aside for it.
    pub fn blame(&mut self, job: &JobId, now: Micros) -> bool {
        if self.blame.len() < BLAME_MAX {
            self.blame.push(job.clone());
        }
        let aside = self.blame.len() >= ERRORS;
        let news = aside && self.aside_until.is_none_or(|t| now >= t);
        if aside {
            self.aside_until = Some(now + ASIDE);
        }
        news
    }

    /// The failures of this job turn out to be its own.
    pub fn absolve(&mut self, job: &JobId) {
        let before = self.blame.len();
        self.blame.retain(|j| j != job);
        if before >= ERRORS && self.blame.len() < ERRORS {
            self.aside_until = None;
        }
    }

    /// Fails what it starts, by errors that no job has been found to be the cause of for a while.
    pub fn is_faulty(&self, now: Micros) -> bool {
        self.blame.len() >= ERRORS
            && self
                .aside_until
                .is_none_or(|t| now + ASIDE >= t + ABSOLVED_WITHIN)
    }

    /// Has served others lately, and nothing speaks against it.
    pub fn serves(&self, other_than: &JobId, now: Micros) -> bool {
        self.proved.is_some_and(|t| now - t < PROVED_FOR)
            && self.blame.iter().all(|j| j == other_than)
    }

    /// Nothing runs, may run or is booked there.
    pub fn is_empty(&self) -> bool {
        self.on == 0 && self.doubt == Doubt::None && self.flight.is_none() && !self.has_ghosts()
    }

    /// May get new tasks.
    pub fn is_usable(&self, now: Micros, config: &SchedulerConfig) -> bool {
        self.fencing == FencingState::Fenced
            && matches!(self.usage, HostAssignment::Partition(_))
            && self.notice.is_none()
            && self.doubt == Doubt::None
            && self.draining.is_none()
            && self.aside_until.is_none_or(|t| now >= t)
            // Guards against a machine that answers and reaches nobody: what it is given straight,
            // its lease kills.
            && self.spoke.is_some_and(|t| now - t < config.silence())
    }

    pub fn used(&self) -> Resources {
        self.used
    }
    /// Tasks that hold resources, or may.
    pub fn tasks_on(&self) -> usize {
        self.on
    }

    /// Brings the running sums up to the tasks.
    fn recount(&mut self) {
        (self.used, self.on, self.fetching) = (Resources::default(), 0, 0);
        for t in self.tasks.values().filter(|t| t.is_on()) {
            self.used += t.each;
            self.on += 1;
            let waits = matches!(t.state, TaskState::Ordered | TaskState::Fetching);
            self.fetching += usize::from(waits && t.image.is_some());
        }
    }

    /// Says what a task found here takes and needs.
    pub(crate) fn describe(&mut self, task: &TaskId, each: Resources, image: (Name, f64)) {
        if let Some(t) = self.tasks.get_mut(task) {
            t.each = each;
            t.image = Some(image);
        }
        self.recount();
    }

    /// Tasks in its reports, or soon in them.
    pub fn listed(&self) -> usize {
        self.tasks.len() + self.stale.len()
    }

    /// Lists some task of this job.
    pub fn lists(&self, job: &JobId) -> bool {
        let first = TaskId::new(job, 0);
        let next = self.tasks.range(first..).next();
        next.is_some_and(|(task, _)| &task.job == job)
    }

    pub fn room(&self) -> Resources {
        let mut room = self.spec.capacity;
        room -= self.used;
        room
    }
    pub fn has_image(&self, image: &Name) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Remembers an image as the most recently used and drops what no longer fits the cache.
    pub fn touch_image(&mut self, image: &Name, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.spec.cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }

    /// Whether a direct `run` of this attempt may still be executed.
    fn may_start_later(&self, task: &TaskId, attempt: Attempt) -> bool {
        let key = (task.clone(), attempt);
        self.doubted.contains(&key)
            || self
                .flight
                .as_ref()
                .is_some_and(|f| f.starts.contains(&key))
    }

    /// As of when cancellations were known to whoever sent starts that may still be carried out
    /// under the present token. Guards against leases that are renewed for as long as such a start
    /// is on its way: its job may be cancelled meanwhile, and it would begin however much later.
    /// `None`: nothing is under way, or an answer raises the token above it.
    pub fn in_flight_known_as_of(&self) -> Option<Micros> {
        let flight = self.flight.as_ref().filter(|f| !f.starts.is_empty());
        let under = [flight.map(|f| f.under), self.doubt_under];
        let present = under
            .into_iter()
            .flatten()
            .filter(|u| u.token >= self.token);
        present.map(|u| u.known).min()
    }

    /// All outstanding commands. Level-triggered: repeated until the reports show the effect.
    /// `durable` says whether a finished task's result is safe.
    pub fn orders(&self, durable: impl Fn(&TaskId, ExitCause) -> bool) -> Vec<Command> {
        let mut out = Vec::new();
        for (task, attempt) in &self.stale {
            // Guards against `clear` before a late `run` of the same attempt: the worker
            // would have forgotten it and start it once more.
            if !self.may_start_later(task, *attempt) {
                out.push(Command::Clear(task.clone(), *attempt));
            }
        }
        for (task, t) in &self.tasks {
            match (t.state, t.stopping) {
                (TaskState::Exited(cause), _)
                    if !self.may_start_later(task, t.attempt) && durable(task, cause) =>
                {
                    out.push(Command::Clear(task.clone(), t.attempt));
                }
                (TaskState::Exited(_), _) => {}
                (_, Some((grace, _))) => out.push(Command::Stop(task.clone(), t.attempt, grace)),
                (TaskState::Ordered, None) => out.push(Command::Start(task.clone(), t.attempt)),
                _ => {}
            }
        }
        out.truncate(ORDERS_MAX);
        out
    }

    /// The one function that changes a host's state.
    pub fn apply(&mut self, input: HostInput<'_>, now: Micros) -> Vec<HostOutput> {
        let mut out = Vec::new();
        match input {
            HostInput::Report(report, source) => self.on_report(report, source, now, &mut out),
            HostInput::Answered(orders) => {
                self.last_answer = self.last_answer.max(now);
                self.answered = Some(now);
                for order in orders {
                    if let Command::Start(task, attempt) = order
                        && let Some(t) = self.tasks.get_mut(task)
                        && t.attempt == *attempt
                    {
                        t.answered = true;
                    }
                }
            }
            HostInput::LeaseDelegated(until) => self.last_answer = self.last_answer.max(until),
            HostInput::DirectSent(orders, known) => {
                let starts = orders.into_iter().filter_map(|o| match o {
                    Command::Start(task, attempt) => Some((task, attempt)),
                    _ => None,
                });
                let token = self.token;
                self.flight = Some(Flight {
                    starts: starts.collect(),
                    under: Under { token, known },
                });
            }
            HostInput::DirectSettled => self.flight = None,
            HostInput::DirectUnanswered => {
                if let Some(flight) = self.flight.take()
                    && !flight.starts.is_empty()
                    && self.fencing != FencingState::Lapsed
                {
                    self.doubted.extend(flight.starts);
                    self.doubt_under = Some(flight.under);
                    self.doubt = Doubt::NeedsToken;
                }
            }
            HostInput::TokenRaised(token) => {
                if token > self.token {
                    self.token = token;
                    if self.doubt == Doubt::NeedsToken {
                        self.doubt = Doubt::Until(token);
                    }
                }
            }
            // Guards against a machine that is given new work in each of its sessions and hears of
            // none: it gets some again once it shows a token that it can only have heard now.
            HostInput::Deaf if self.doubt == Doubt::None => self.doubt = Doubt::NeedsToken,
            HostInput::Deaf => {}
            HostInput::Gone => {
                self.drop_all(&mut out);
                self.fencing = FencingState::Lapsed;
            }
            HostInput::Start(task, attempt, each, image) => {
                self.idle_since = None;
                if let Some(old) = self.tasks.remove(&task) {
                    self.stale.insert((task.clone(), old.attempt));
                }
                let state = HostTask {
                    attempt,
                    state: TaskState::Ordered,
                    each,
                    ordered: now,
                    running: None,
                    stopping: None,
                    image: Some(image),
                    answered: false,
                };
                self.tasks.insert(task, state);
            }
            HostInput::Stop(task, grace) => {
                let flown = self.tasks.get(task).is_some_and(|t| {
                    t.state == TaskState::Ordered
                        && !t.answered
                        && !self.may_start_later(task, t.attempt)
                });
                if flown {
                    // Never sent: it can be taken back on the spot.
                    self.tasks.remove(task);
                    out.push(HostOutput::Ended(
                        task.clone(),
                        Some(ExitCause::Stopped { saved: false }),
                    ));
                } else if let Some(t) = self.tasks.get_mut(task) {
                    match t.stopping {
                        None => t.stopping = Some((grace, now)),
                        Some((old, since)) if grace < old => t.stopping = Some((grace, since)),
                        Some(_) => {}
                    }
                }
            }
        }
        self.recount();
        if self.idle_since.is_none() && self.on == 0 {
            self.idle_since = Some(now);
        }
        out
    }

    fn drop_all(&mut self, out: &mut Vec<HostOutput>) {
        for (task, t) in std::mem::take(&mut self.tasks) {
            if t.is_on() {
                out.push(HostOutput::Ended(task, None));
            }
        }
        self.stale.clear();
        // Late direct commands carry the old incarnation and die at the worker.
        self.doubt = Doubt::None;
        self.doubted.clear();
        self.doubt_under = None;
    }

    fn on_report(
        &mut self,
        report: &Heartbeat,
        source: Source,
        now: Micros,
        out: &mut Vec<HostOutput>,
    ) {
        let order = (report.incarnation, report.sequence);
        if self.tenure.is_some_and(|t| order <= (t, self.counter)) {
            // Late: as old as the moment it was sent.
            return;
        }
        if self.tenure.is_some_and(|t| report.incarnation > t) {
            // A larger incarnation proves that all earlier tasks are gone.
            self.drop_all(out);
        }
        let begun = self.tenure.is_some_and(|t| t < report.incarnation);
        match source {
            Source::Heartbeat => self.spoke = Some(now),
            Source::Direct if begun => self.spoke = None,
            Source::Direct => {}
        }
        if self.tenure != Some(report.incarnation) {
            // The lease of a session that we did not know runs from its beginning, which may be
            // long after our last answer. Guards against taking the new session for lapsed with
            // the old one, while what was sent to it directly runs.
            self.last_answer = self.last_answer.max(now);
        }
        self.tenure = Some(report.incarnation);
        self.counter = report.sequence;
        self.last_heard = now;
        self.address.clone_from(&report.address);
        self.notice = report.termination_notice.map(|n| now + n);
        if let Doubt::Until(token) = self.doubt
            && report.token >= token
        {
            self.doubt = Doubt::None;
            self.doubted.clear();
            self.doubt_under = None;
        }
        if report.token > self.token && self.doubt == Doubt::None {
            // Commands with our token are dropped there, and our answers renew no lease: the
            // record is rewritten, which raises the token above any that was ever shown.
            self.doubt = Doubt::NeedsToken;
        }
        if report.token >= self.token && self.fencing != FencingState::Fenced {
            self.fencing = FencingState::Fenced;
            out.push(HostOutput::Fenced);
        }
        let mut listed = BTreeSet::new();
        for item in &report.tasks {
            listed.insert((item.task.clone(), item.attempt));
            self.on_task(item, now, out);
        }
        self.stale.retain(|key| listed.contains(key));
        let missing: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(task, t)| !listed.contains(&((*task).clone(), t.attempt)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            let Some(t) = self.tasks.get(&task) else {
                continue;
            };
            let late = self.may_start_later(&task, t.attempt);
            match t.state {
                // Cleared.
                TaskState::Exited(_) => {
                    self.tasks.remove(&task);
                }
                TaskState::Ordered => {
                    // A report that follows an answer settles it: the worker has executed or
                    // dropped it. A direct answer may overtake it, and settles nothing.
                    let answered = t.answered && source == Source::Direct;
                    if t.stopping.is_some() && !late && !answered {
                        self.tasks.remove(&task);
                        out.push(HostOutput::Ended(
                            task,
                            Some(ExitCause::Stopped { saved: false }),
                        ));
                    } else if source == Source::Heartbeat
                        && let Some(t) = self.tasks.get_mut(&task)
                    {
                        t.answered = false;
                    }
                }
                _ => {
                    self.tasks.remove(&task);
                    out.push(HostOutput::Ended(task, None));
                }
            }
        }
    }

    fn on_task(
        &mut self,
        item: &jasperhill_wire::worker::TaskStatus,
        now: Micros,
        out: &mut Vec<HostOutput>,
    ) {
        let state = match item.phase {
            TaskPhase::Fetching => TaskState::Fetching,
            TaskPhase::Waiting => TaskState::Waiting,
            TaskPhase::Running => TaskState::Running,
            TaskPhase::Checkpointing => TaskState::Saving,
            TaskPhase::Exited(cause) => TaskState::Exited(cause),
        };
        match self.tasks.get_mut(&item.task) {
            Some(t) if t.attempt == item.attempt => {
                let was_on = t.is_on();
                let was = t.state;
                t.state = state;
                t.answered = false;
                if state == TaskState::Running && t.running.is_none() {
                    t.running = Some(now);
                }
                if !was_on && !matches!(state, TaskState::Exited(_)) {
                    // Guards against a task that is back after its end, as by a late order, and that
                    // nobody counts or stops.
                    t.stopping = None;
                    out.push(HostOutput::Found(item.task.clone(), item.attempt));
                    self.idle_since = None;
                } else if let (true, TaskState::Exited(cause)) = (was_on, state) {
                    out.push(HostOutput::Ended(item.task.clone(), Some(cause)));
                } else if state == TaskState::Running && was != state {
                    out.push(HostOutput::Running(item.task.clone()));
                }
            }
            known => {
                if let TaskState::Exited(cause) = state {
                    if known.is_some() {
                        self.stale.insert((item.task.clone(), item.attempt));
                        return;
                    }
                    // A result from before a takeover counts as well.
                    self.tasks
                        .insert(item.task.clone(), Self::found(item.attempt, state, now));
                    out.push(HostOutput::Found(item.task.clone(), item.attempt));
                    out.push(HostOutput::Ended(item.task.clone(), Some(cause)));
                } else {
                    if let Some(t) = known
                        && t.is_on()
                    {
                        // Another attempt of what we ordered here: the order will be refused as
                        // busy, so the one that is there is the one that counts.
                        out.push(HostOutput::Ended(item.task.clone(), None));
                    }
                    self.tasks
                        .insert(item.task.clone(), Self::found(item.attempt, state, now));
                    out.push(HostOutput::Found(item.task.clone(), item.attempt));
                    self.idle_since = None;
                }
            }
        }
    }

    fn found(attempt: Attempt, state: TaskState, now: Micros) -> HostTask {
        HostTask {
            attempt,
            state,
            each: Resources::default(),
            ordered: now,
            running: (state == TaskState::Running).then_some(now),
            stopping: None,
            image: None,
            answered: false,
        }
    }

    /// The expected wait for an image here: nothing when it is cached, the rest when it is
    /// coming. Images fetched at the same time share the rate.
    pub fn image_wait(&self, image: &Name, gb: f64, now: Micros) -> Micros {
        if self.has_image(image) {
            return Micros::ZERO;
        }
        if self.fetching == 0 {
            return Micros::from_secs_f64(gb / self.spec.fetch_gb_per_s.max(1e-6));
        }
        // A handful of images at most: a list is quicker than a map, and this is asked for every
        // job and host.
        let mut coming: Vec<(&Name, f64, Micros)> = Vec::new();
        for t in self.tasks.values() {
            if let (TaskState::Ordered | TaskState::Fetching, Some((name, gb))) =
                (t.state, &t.image)
                && !self.has_image(name)
            {
                match coming.iter_mut().find(|(n, ..)| *n == name) {
                    Some((.., since)) => *since = t.ordered.min(*since),
                    None => coming.push((name, *gb, t.ordered)),
                }
            }
        }
        if coming.iter().all(|(n, ..)| *n != image) {
            coming.push((image, gb, now));
        }
        let rate = self.spec.fetch_gb_per_s.max(1e-6) / coming.len() as f64;
        let rest = |gb: f64, since: Micros| (gb - (now - since).as_secs_f64() * rate).max(0.0);
        let mine = coming.iter().find(|(n, ..)| *n == image);
        let mine = mine.map_or(gb, |(_, gb, since)| rest(*gb, *since));
        // The others slow it down as long as they last.
        let shared: f64 = coming
            .iter()
            .map(|(_, gb, since)| rest(*gb, *since).min(mine))
            .sum();
        Micros::from_secs_f64(shared / self.spec.fetch_gb_per_s.max(1e-6))
    }
}
