//! The host machine: what a worker runs, may run and has been told. Every change of its
//! state goes through [`Host::apply`].

mod commands;
mod heartbeat;
mod images;
mod quarantine;

use crate::{
    config::{MachineSpec, SchedulerConfig},
    pace::Pace,
};
use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Micros, Name, Resources, TaskId,
    record::{HostAssignment, HostRecord},
    worker::{Command, ExitCause, Heartbeat},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Tasks that a worker may list, exited ones that are not cleared yet included: a heartbeat with
/// more could outgrow the 64 KiB that a request body may have, and a host whose heartbeats are
/// refused is lost with all that runs there.
pub const LISTED_MAX: usize = 440;
/// Commands in one message, which may not outgrow 64 KiB either; the rest follows.
const ORDERS_MAX: usize = 600;

/// How well a host is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingState {
    /// Has not shown our token yet. `unconfirmed tasks`: a predecessor may have started anything there.
    Unfenced {
        /// A predecessor may have started tasks there.
        unconfirmed: bool,
    },
    /// Has shown our token: its heartbeats say all that runs there.
    Fenced,
    /// Its lease has surely lapsed: nothing runs there.
    Lapsed,
}

/// How a worker's status came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// By a heartbeat of its own accord.
    Heartbeat,
    /// As the answer to a direct request.
    Direct,
}

/// Where a task stands on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Told to start, not yet reported.
    Ordered,
    /// Its image is being pulled.
    Fetching,
    /// It waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Saving,
    /// It is over, and listed until it is cleared.
    Exited(ExitCause),
}

/// A task on a host, as the worker lists it or was told.
#[derive(Clone, Debug)]
pub struct HostTask {
    /// Which start of the task.
    pub attempt: Attempt,
    /// Where it stands.
    pub state: TaskState,
    /// What it takes.
    pub each: Resources,
    /// When it was ordered.
    pub ordered: Micros,
    /// When it was first seen running.
    pub running: Option<Micros>,
    /// Told to stop: with which grace, since when.
    pub stopping: Option<(Micros, Micros)>,
    /// The image it needs, with its size.
    pub image: Option<(Name, f64)>,
    /// A `run` went out in the answer to a heartbeat that the worker has not followed up yet.
    answered: bool,
}

impl HostTask {
    /// Holds resources, or may.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.state, TaskState::Exited(_))
    }
}

/// Starts that are on their way, or may be.
#[derive(Clone, Debug)]
struct InFlightCommands {
    starts: Vec<(TaskId, Attempt)>,
    basis: CommandBasis,
}

/// What a start was sent under.
#[derive(Clone, Copy, Debug)]
struct CommandBasis {
    token: FencingToken,
    /// As of when whoever sent it knew of cancellations.
    known: Micros,
}

/// Commands sent directly whose fate is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandDoubt {
    None,
    /// The host's record must be rewritten to raise the token.
    NeedsToken,
    /// Over once the host shows this token.
    Until(FencingToken),
}

/// What changes a host.
#[derive(Debug)]
pub enum HostInput<'a> {
    /// The worker says what it runs.
    Heartbeat(&'a Heartbeat, HeartbeatSource),
    /// A heartbeat was answered 200 with these commands.
    Answered(&'a [Command]),
    /// Another controller may answer its heartbeats until then.
    LeaseDelegated(Micros),
    /// Commands go out directly; what is known of the store, and so of cancellations, is as of then.
    DirectSent(Vec<Command>, Micros),
    /// The direct commands were executed, or surely were not (their report comes separately).
    DirectSettled,
    /// No answer: they may be executed at any time.
    DirectUnanswered,
    /// The record was rewritten.
    TokenRaised(FencingToken),
    /// It has begun a new session although its heartbeats were answered: it does not hear.
    NotReceiving,
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
    /// It is seen running.
    Running(TaskId),
    /// Not on the host any more. `None`: lost.
    Ended(TaskId, Option<ExitCause>),
    /// The worker has shown our token: all that runs there is known.
    Fenced,
}

/// The state machine of one host. Times are of the steady clock.
#[derive(Debug)]
pub struct Host {
    /// Its name at the cloud.
    pub id: HostId,
    /// Where its worker takes direct requests, as it last said.
    pub address: String,
    /// Its machine type.
    pub spec: Rc<MachineSpec>,
    /// Its zone.
    pub zone: Name,
    /// The cloud may take it back at any time.
    pub spot: bool,
    /// Its assignment by its record; out of use before that is written.
    pub assignment: HostAssignment,
    /// The token under which this controller commands it.
    pub token: FencingToken,
    /// How well it is known.
    pub fencing: FencingState,
    /// The worker's incarnation that was last heard.
    pub incarnation: Option<u64>,
    sequence: u64,
    /// What it lists or was told to start; one attempt of each task.
    pub tasks: BTreeMap<TaskId, HostTask>,
    /// What its tasks take together, and how many of them are on it or wait for an image:
    /// running sums, so that a cycle over many hosts need not look at every task.
    used: Resources,
    tasks_holding: usize,
    fetching: usize,
    /// Exited tasks of earlier attempts, still listed by the worker.
    stale: BTreeSet<(TaskId, Attempt)>,
    command_doubt: CommandDoubt,
    doubted_starts: BTreeSet<(TaskId, Attempt)>,
    /// What they were sent under.
    doubt_basis: Option<CommandBasis>,
    in_flight_commands: Option<InFlightCommands>,
    /// When the worker was last heard, in either way.
    pub last_heard: Micros,
    /// When a heartbeat last came from it here by its own doing, or may have, to an owner before. `None`:
    /// it is new here, or known by direct answers alone to have begun a session: nobody may renew that.
    last_heartbeat: Option<Micros>,
    /// The last moment at which anyone can have renewed its lease.
    pub last_answer: Micros,
    /// When a heartbeat of it was last answered here.
    pub answered: Option<Micros>,
    /// When the cloud takes it back, if that is announced.
    pub terminates_at: Option<Micros>,
    /// Images seen there, the most recent last.
    pub images: Vec<(Name, f64)>,
    /// Admitted tasks reserved here, in order of adjusted deadline.
    pub queue: Vec<crate::schedule_simulation::Reservation>,
    /// When it last became empty.
    pub idle_since: Option<Micros>,
    /// Being emptied so that it can be given up, since when.
    pub draining: Option<Micros>,
    /// The jobs of its errors in a row, one for each error, and quarantined until.
    pub recent_failures: Vec<JobId>,
    /// It gets no new tasks until then, for its failures.
    pub quarantined_until: Option<Micros>,
    /// When the last task that completed here was started.
    pub last_success_started: Option<Micros>,
    /// Run times against expectation, smoothed; above 1 is slow.
    pub slowness: f64,
    /// Whether it keeps pace by what runs there, since when it does not, and when a task last
    /// ended in time.
    pub pace: Pace,
    /// Since when it is taken for slow.
    pub slow_since: Option<Micros>,
    /// When a task last ended in time there.
    pub last_in_time: Option<Micros>,
}

impl Host {
    /// A host that has not shown its token yet. `ghosts`: a predecessor may have started tasks
    /// there.
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
            assignment: record.assignment,
            token,
            fencing: FencingState::Unfenced { unconfirmed },
            incarnation: None,
            sequence: 0,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            tasks_holding: 0,
            fetching: 0,
            stale: BTreeSet::new(),
            command_doubt: CommandDoubt::None,
            doubted_starts: BTreeSet::new(),
            doubt_basis: None,
            in_flight_commands: None,
            last_heard: now,
            last_heartbeat: unconfirmed.then_some(now),
            last_answer: now,
            answered: None,
            terminates_at: None,
            images: Vec::new(),
            queue: Vec::new(),
            idle_since: Some(now),
            draining: None,
            recent_failures: Vec::new(),
            quarantined_until: None,
            last_success_started: None,
            slowness: 1.0,
            pace: Pace::Steady,
            slow_since: None,
            last_in_time: None,
        }
    }

    /// A predecessor may have started tasks there that are not known.
    pub fn has_unconfirmed_tasks(&self) -> bool {
        self.fencing == FencingState::Unfenced { unconfirmed: true }
    }
    /// Its record must be rewritten to raise the token.
    pub fn needs_token(&self) -> bool {
        self.command_doubt == CommandDoubt::NeedsToken
    }
    /// Starts that were sent directly may be carried out at any time.
    pub fn in_doubt(&self) -> bool {
        self.command_doubt != CommandDoubt::None
    }
    /// A direct request is under way.
    pub fn in_flight(&self) -> bool {
        self.in_flight_commands.is_some()
    }
    /// Nothing runs, may run or is reserved there.
    pub fn is_empty(&self) -> bool {
        self.tasks_holding == 0
            && self.command_doubt == CommandDoubt::None
            && self.in_flight_commands.is_none()
            && !self.has_unconfirmed_tasks()
    }

    /// May get new tasks.
    pub fn is_usable(&self, now: Micros, config: &SchedulerConfig) -> bool {
        self.fencing == FencingState::Fenced
            && matches!(self.assignment, HostAssignment::Partition(_))
            && self.terminates_at.is_none()
            && self.command_doubt == CommandDoubt::None
            && self.draining.is_none()
            && self.quarantined_until.is_none_or(|t| now >= t)
            // Guards against a machine that answers and reaches nobody: what it is given straight,
            // its lease kills.
            && self.last_heartbeat.is_some_and(|t| now - t < config.silence_limit())
    }

    /// What its tasks take together.
    pub fn used(&self) -> Resources {
        self.used
    }
    /// Tasks that hold resources, or may.
    pub fn tasks_on(&self) -> usize {
        self.tasks_holding
    }

    /// Brings the running sums up to the tasks.
    fn recount(&mut self) {
        (self.used, self.tasks_holding, self.fetching) = (Resources::default(), 0, 0);
        for t in self.tasks.values().filter(|t| t.holds_resources()) {
            self.used += t.each;
            self.tasks_holding += 1;
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

    /// Tasks in its heartbeats, or soon in them.
    pub fn listed(&self) -> usize {
        self.tasks.len() + self.stale.len()
    }

    /// Lists some task of this job.
    pub fn lists_job(&self, job: &JobId) -> bool {
        let first = TaskId::new(job, 0);
        let next = self.tasks.range(first..).next();
        next.is_some_and(|(task, _)| &task.job == job)
    }

    /// What its tasks leave.
    pub fn free_resources(&self) -> Resources {
        let mut room = self.spec.capacity;
        room -= self.used;
        room
    }
    /// Whether a direct `run` of this attempt may still be executed.
    fn may_start_later(&self, task: &TaskId, attempt: Attempt) -> bool {
        let key = (task.clone(), attempt);
        self.doubted_starts.contains(&key)
            || self
                .in_flight_commands
                .as_ref()
                .is_some_and(|f| f.starts.contains(&key))
    }

    /// As of when cancellations were known to whoever sent starts that may still be carried out
    /// under the present token. Guards against leases that are renewed for as long as such a start
    /// is on its way: its job may be cancelled meanwhile, and it would begin however much later.
    /// `None`: nothing is under way, or an answer raises the token above it.
    pub fn in_flight_known_as_of(&self) -> Option<Micros> {
        let flight = self
            .in_flight_commands
            .as_ref()
            .filter(|f| !f.starts.is_empty());
        let under = [flight.map(|f| f.basis), self.doubt_basis];
        let present = under
            .into_iter()
            .flatten()
            .filter(|u| u.token >= self.token);
        present.map(|u| u.known).min()
    }

    /// All outstanding commands. Level-triggered: repeated until the heartbeats show the effect.
    /// `durable` says whether a finished task's result is safe.
    pub fn commands(&self, durable: impl Fn(&TaskId, ExitCause) -> bool) -> Vec<Command> {
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
        let mut outputs = Vec::new();
        match input {
            HostInput::Heartbeat(heartbeat, source) => {
                self.on_heartbeat(heartbeat, source, now, &mut outputs);
            }
            HostInput::Answered(commands) => self.on_answered(commands, now),
            HostInput::LeaseDelegated(until) => self.last_answer = self.last_answer.max(until),
            HostInput::DirectSent(commands, known) => self.on_direct_sent(commands, known),
            HostInput::DirectSettled => self.in_flight_commands = None,
            HostInput::DirectUnanswered => self.on_direct_unanswered(),
            HostInput::TokenRaised(token) => self.on_token_raised(token),
            HostInput::NotReceiving => self.on_not_receiving(),
            HostInput::Gone => {
                self.drop_all_tasks(&mut outputs);
                self.fencing = FencingState::Lapsed;
            }
            HostInput::Start(task, attempt, each, image) => {
                self.on_start(task, attempt, each, image, now);
            }
            HostInput::Stop(task, grace) => self.on_stop(task, grace, now, &mut outputs),
        }
        self.recount();
        if self.idle_since.is_none() && self.tasks_holding == 0 {
            self.idle_since = Some(now);
        }
        outputs
    }
}
