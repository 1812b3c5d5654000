//! The state machine of a host: the tasks that its worker runs, the tasks that it may run, and the
//! commands that were sent to it.
//!
//! [`Host`] holds the state, [`HostInput`] lists the events that change it, and [`HostOutput`] the
//! changes that its partition must act on. Task states, commands, the token and the fencing state
//! change only in [`Host::apply`].

mod commands;
mod heartbeat;
mod images;
mod outgoing;
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
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
};

/// Maximum number of tasks in a worker's heartbeat, including exited tasks that are not cleared
/// yet.
///
/// A heartbeat with more tasks could exceed the limit of 64 KiB for a request body. A host whose
/// heartbeats are refused is lost with all tasks that run on it.
pub const LISTED_TASKS_MAX: usize = 440;
/// Maximum number of cleared attempts that are remembered for a host, to detect that one of them is
/// reported again.
const CLEARED_ATTEMPTS_MAX: usize = 128;

/// Whether a host is known to obey the token of this controller, so that all its tasks are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingState {
    /// The worker has not shown this controller's token yet.
    Unfenced {
        /// Whether a previous owner of the partition may have started tasks on the host.
        unconfirmed: bool,
    },
    /// The worker has shown this controller's token: its heartbeats list all tasks that run on the
    /// host.
    Fenced,
    /// The worker's lease has certainly expired: no task runs on the host.
    LeaseExpired,
}

/// The message by which a worker's status was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// A heartbeat that the worker sent periodically.
    Heartbeat,
    /// The worker's response to a direct request of the controller.
    Direct,
}

/// The state of a task on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Ordered to start, and not yet listed by the worker.
    Ordered,
    /// The worker pulls the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task saves a checkpoint before it stops.
    Checkpointing,
    /// The task has exited; the worker lists it until it is told to clear it.
    Exited(ExitCause),
}

/// A task that a worker lists or was ordered to start.
#[derive(Clone, Debug)]
pub struct HostTask {
    /// Number of the attempt, which distinguishes repeated starts of the same task.
    pub attempt: Attempt,
    /// The last known state of the task.
    pub state: TaskState,
    /// Resources that the task takes; zero for a task that was found on the host until its job is
    /// known.
    pub resources: Resources,
    /// When the task was ordered to start, or found on the host.
    pub ordered_at: Micros,
    /// When the task was first seen running; `None` if it was not seen running yet.
    pub running_since: Option<Micros>,
    /// The grace period of the stop command and when it was first issued; `None` if the task is not
    /// being stopped.
    pub stopping: Option<(Micros, Micros)>,
    /// Name of the task's image and its size in GB; `None` if not known.
    pub image: Option<(Name, f64)>,
    /// Whether the start command was sent in the response to a heartbeat, and no later heartbeat
    /// has shown its effect yet.
    has_unacknowledged_start: bool,
    /// Highest token under which the start command may have been sent in a direct request; `None`
    /// if it was sent only in responses to heartbeats, or not at all.
    direct_start_token: Option<FencingToken>,
}

impl HostTask {
    /// Returns whether the task holds resources of the host or may hold them.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.state, TaskState::Exited(_))
    }
}

/// Start commands of a direct request that the worker has not answered yet.
#[derive(Clone, Debug)]
struct InFlightCommands {
    starts: Vec<(TaskId, Attempt)>,
    basis: CommandBasis,
}

/// The knowledge of the controller at the time when it sent start commands.
#[derive(Clone, Copy, Debug)]
struct CommandBasis {
    /// Token under which the start commands were sent.
    token: FencingToken,
    /// Time up to which the sending controller knew all job cancellations.
    known_as_of: Micros,
}

/// Whether the worker must show a raised token before the host gets new tasks, as when direct
/// commands were left unanswered and may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenRefresh {
    /// The host may get new tasks under its current token.
    NotNeeded,
    /// The host's record must be rewritten to raise the token.
    Needed,
    /// The token was raised; the worker has not shown this token yet.
    UntilShown(FencingToken),
}

/// An event that changes the state of a host.
#[derive(Debug)]
pub enum HostInput<'a> {
    /// The worker reported its status.
    Heartbeat(&'a Heartbeat, HeartbeatSource),
    /// A heartbeat was answered with status 200 and these commands.
    Answered(&'a [Command]),
    /// Another controller may answer the worker's heartbeats until this time.
    LeaseDelegated(Micros),
    /// These commands are sent in a direct request. The time is that up to which the controller
    /// knows the contents of the state store, and so all job cancellations.
    DirectRequestSent(Vec<Command>, Micros),
    /// The direct commands were executed, or certainly were not. The worker's status, if any, is a
    /// separate [`HostInput::Heartbeat`].
    DirectRequestSettled,
    /// The direct request was not answered: its commands may be executed at any time.
    DirectRequestUnanswered,
    /// The host's record was rewritten, which gives the host this token.
    TokenRaised(FencingToken),
    /// The worker began a new incarnation although its heartbeats were answered: it does not
    /// receive the responses.
    ResponsesNotReceived,
    /// The worker's lease has certainly expired, or the machine is gone.
    LeaseExpiredOrRemoved,
    /// This attempt of the task is to start. It takes these resources and needs the image with this
    /// name and size in GB.
    Start(TaskId, Attempt, Resources, (Name, f64)),
    /// The task is to stop within this grace period.
    Stop(&'a TaskId, Micros),
}

/// A change of a task, or of the host's fencing, that the partition must act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostOutput {
    /// The worker lists this attempt of a task, which was not known to be on the host.
    UnknownTaskFound(TaskId, Attempt),
    /// The worker lists this attempt of a task again after it had cleared it.
    ClearedAttemptReported(TaskId, Attempt),
    /// The task was seen running.
    Running(TaskId),
    /// The task no longer runs on the host. `None`: it was lost without an exit status.
    Ended(TaskId, Option<ExitCause>),
    /// The worker has shown this controller's token: all tasks that run on the host are known.
    Fenced,
}

/// The state machine of one host. All times are readings of the controller's monotonic clock.
#[derive(Debug)]
pub struct Host {
    /// Name of the machine at the cloud provider.
    pub id: HostId,
    /// Address at which the worker accepts direct requests, as last reported by the worker.
    pub address: String,
    /// Machine type with its capacity.
    pub spec: Rc<MachineSpec>,
    /// Zone of the machine.
    pub zone: Name,
    /// Whether this is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// Assignment in the host's record; a host is out of use before its record is written.
    pub assignment: HostAssignment,
    /// Fencing token with which this controller sends commands to the worker.
    pub token: FencingToken,
    /// Whether the worker is known to obey `token`.
    pub fencing: FencingState,
    /// Incarnation of the worker in its latest status; `None` before the first status.
    pub incarnation: Option<u64>,
    /// Sequence number of the latest status within `incarnation`.
    sequence: u64,
    /// Tasks that the worker lists or was ordered to start, with one attempt of each.
    pub tasks: BTreeMap<TaskId, HostTask>,
    /// Resources that all tasks take together. Kept up to date, like the counts
    /// `tasks_holding_resources` and `tasks_awaiting_image`, so that a scheduling cycle over many
    /// hosts does not iterate over every task.
    used: Resources,
    /// Number of tasks that hold resources or may hold them.
    tasks_holding_resources: usize,
    /// Number of tasks whose image is still to be pulled.
    tasks_awaiting_image: usize,
    /// Exited attempts of tasks that another attempt in `tasks` has superseded, kept until the
    /// worker no longer lists them, with their [`HostTask::direct_start_token`].
    stale: BTreeMap<(TaskId, Attempt), Option<FencingToken>>,
    /// Attempts that the worker cleared most recently, the latest last.
    cleared: VecDeque<(TaskId, Attempt)>,
    /// Whether the worker must show a raised token before the host gets new tasks.
    token_refresh: TokenRefresh,
    /// Starts of unanswered direct requests, which the worker may still execute.
    in_doubt_starts: BTreeSet<(TaskId, Attempt)>,
    /// Token and state of knowledge under which the latest of `in_doubt_starts` were sent; `None`
    /// if no start is in doubt.
    in_doubt_basis: Option<CommandBasis>,
    /// Starts of the direct request that is under way; `None` if there is no request.
    in_flight_commands: Option<InFlightCommands>,
    /// When the worker's latest status was received, by heartbeat or by direct response; before
    /// that, when this state was created.
    pub last_status_received: Micros,
    /// When a periodic heartbeat was last received here, or may have been received by the previous
    /// owner. `None`: the host is new to this partition, or its incarnation is known only by direct
    /// responses, so that possibly nobody renews its lease.
    last_heartbeat: Option<Micros>,
    /// The latest time at which any controller can have renewed the worker's lease.
    pub lease_renewed_at_latest: Micros,
    /// When this controller last answered a heartbeat of the worker; `None` if it never did.
    pub last_answered_here: Option<Micros>,
    /// When the cloud reclaims the machine; `None` if no termination is announced.
    pub terminates_at: Option<Micros>,
    /// Names and sizes in GB of images in the host's cache, the most recently used last.
    pub images: Vec<(Name, f64)>,
    /// Reservations of admitted tasks on this host, in order of adjusted deadline.
    pub queue: Vec<crate::schedule_simulation::Reservation>,
    /// When the host last became idle; `None` while tasks hold resources.
    pub idle_since: Option<Micros>,
    /// Since when the host is drained so that it can be returned; `None` if it is not drained.
    pub draining: Option<Micros>,
    /// Jobs of the failures since the last completed task, one entry for each failure.
    pub recent_failures: Vec<JobId>,
    /// Time until which the host is quarantined and gets no new tasks because of its failures.
    /// `None`: it was never quarantined, or the failures were forgiven.
    pub quarantined_until: Option<Micros>,
    /// Latest start time among the tasks that completed on this host.
    pub last_success_started: Option<Micros>,
    /// Smoothed ratio of actual to expected run times; above 1 is slow.
    pub run_time_ratio: f64,
    /// Whether the host is slow, judged by tasks that still run.
    pub pace: Pace,
    /// When the host was last found to be slow; `None` if it never was.
    pub slow_since: Option<Micros>,
    /// When a task on this host last ended in time, relative to its expected run time; `None` if
    /// none has.
    pub last_completed_in_time: Option<Micros>,
}

impl Host {
    /// Creates the state of a host whose worker has not shown `token` yet. `unconfirmed`: whether a
    /// previous owner of the partition may have started tasks on the host.
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
            tasks_holding_resources: 0,
            tasks_awaiting_image: 0,
            stale: BTreeMap::new(),
            cleared: VecDeque::new(),
            token_refresh: TokenRefresh::NotNeeded,
            in_doubt_starts: BTreeSet::new(),
            in_doubt_basis: None,
            in_flight_commands: None,
            last_status_received: now,
            last_heartbeat: unconfirmed.then_some(now),
            lease_renewed_at_latest: now,
            last_answered_here: None,
            terminates_at: None,
            images: Vec::new(),
            queue: Vec::new(),
            idle_since: Some(now),
            draining: None,
            recent_failures: Vec::new(),
            quarantined_until: None,
            last_success_started: None,
            run_time_ratio: 1.0,
            pace: Pace::Steady,
            slow_since: None,
            last_completed_in_time: None,
        }
    }

    /// Returns whether a previous owner may have started tasks on the host that are not known.
    pub fn has_unconfirmed_tasks(&self) -> bool {
        self.fencing == FencingState::Unfenced { unconfirmed: true }
    }
    /// Returns whether the host's record must be rewritten to raise the token.
    pub fn needs_raised_token(&self) -> bool {
        self.token_refresh == TokenRefresh::Needed
    }
    /// Returns whether the host gets no new tasks until its worker shows a raised token, as when
    /// unanswered direct starts may still be executed.
    pub fn awaits_raised_token(&self) -> bool {
        self.token_refresh != TokenRefresh::NotNeeded
    }
    /// Returns whether a direct request to the worker is under way.
    pub fn has_request_in_flight(&self) -> bool {
        self.in_flight_commands.is_some()
    }
    /// Returns whether no task holds resources of the host or could still turn out to run there.
    /// Reservations in `queue` don't count.
    pub fn is_empty(&self) -> bool {
        self.tasks_holding_resources == 0
            && self.token_refresh == TokenRefresh::NotNeeded
            && self.in_flight_commands.is_none()
            && !self.has_unconfirmed_tasks()
    }

    /// Returns whether the host may get new tasks.
    pub fn is_usable(&self, now: Micros, config: &SchedulerConfig) -> bool {
        self.fencing == FencingState::Fenced
            && matches!(self.assignment, HostAssignment::Partition(_))
            && self.terminates_at.is_none()
            && self.token_refresh == TokenRefresh::NotNeeded
            && self.draining.is_none()
            && self.quarantined_until.is_none_or(|t| now >= t)
            // A worker may answer direct requests although its heartbeats reach no controller. Its
            // lease then expires, which kills the tasks that were started there.
            && self.last_heartbeat.is_some_and(|t| now - t < config.silence_limit())
    }

    /// Returns the resources that all tasks of the host take together.
    pub fn used(&self) -> Resources {
        self.used
    }
    /// Returns the number of tasks that hold resources or may hold them.
    pub fn task_count(&self) -> usize {
        self.tasks_holding_resources
    }

    /// Recomputes the resource total and the task counts from `tasks`.
    fn update_task_totals(&mut self) {
        (
            self.used,
            self.tasks_holding_resources,
            self.tasks_awaiting_image,
        ) = (Resources::default(), 0, 0);
        for t in self.tasks.values().filter(|t| t.holds_resources()) {
            self.used += t.resources;
            self.tasks_holding_resources += 1;
            let awaits_image = matches!(t.state, TaskState::Ordered | TaskState::Fetching);
            self.tasks_awaiting_image += usize::from(awaits_image && t.image.is_some());
        }
    }

    /// Sets the resources and the image of a task that was found on the host.
    pub(crate) fn set_requirements(&mut self, task: &TaskId, each: Resources, image: (Name, f64)) {
        if let Some(t) = self.tasks.get_mut(task) {
            t.resources = each;
            t.image = Some(image);
        }
        self.update_task_totals();
    }

    /// Remembers that the worker has cleared an attempt.
    fn remember_cleared(&mut self, task: TaskId, attempt: Attempt) {
        if self.cleared.len() == CLEARED_ATTEMPTS_MAX {
            self.cleared.pop_front();
        }
        self.cleared.push_back((task, attempt));
    }

    /// Returns the number of tasks that the worker lists in its heartbeats or soon will.
    pub fn listed_task_count(&self) -> usize {
        self.tasks.len() + self.stale.len()
    }

    /// Returns whether the host has any task of this job, including exited ones.
    pub fn has_task_of_job(&self, job: &JobId) -> bool {
        let first = TaskId::new(job, 0);
        let next = self.tasks.range(first..).next();
        next.is_some_and(|(task, _)| &task.job == job)
    }

    /// Returns the resources that no task takes.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.spec.capacity;
        free -= self.used;
        free
    }
    /// Applies an event to the host and returns the changes that the partition must act on. Task
    /// states, commands, the token and the fencing state change only here.
    pub fn apply(&mut self, input: HostInput<'_>, now: Micros) -> Vec<HostOutput> {
        let mut outputs = Vec::new();
        match input {
            HostInput::Heartbeat(heartbeat, source) => {
                self.on_heartbeat(heartbeat, source, now, &mut outputs);
            }
            HostInput::Answered(commands) => self.on_answered(commands, now),
            HostInput::LeaseDelegated(until) => {
                self.lease_renewed_at_latest = self.lease_renewed_at_latest.max(until)
            }
            HostInput::DirectRequestSent(commands, known_as_of) => {
                self.on_direct_sent(commands, known_as_of)
            }
            HostInput::DirectRequestSettled => self.in_flight_commands = None,
            HostInput::DirectRequestUnanswered => self.on_direct_unanswered(),
            HostInput::TokenRaised(token) => self.on_token_raised(token),
            HostInput::ResponsesNotReceived => self.on_not_receiving(),
            HostInput::LeaseExpiredOrRemoved => {
                self.drop_all_tasks(&mut outputs);
                self.fencing = FencingState::LeaseExpired;
            }
            HostInput::Start(task, attempt, each, image) => {
                self.on_start(task, attempt, each, image, now);
            }
            HostInput::Stop(task, grace) => self.on_stop(task, grace, now, &mut outputs),
        }
        self.update_task_totals();
        if self.idle_since.is_none() && self.tasks_holding_resources == 0 {
            self.idle_since = Some(now);
        }
        outputs
    }
}
