//! Simulated worker agents.
//!
//! A [`Worker`] is the agent on one machine: it composes heartbeats, executes commands, checks the
//! fencing token and its incarnation, and kills its tasks when its lease expires. Its tasks fetch
//! their image, wait for the other members of their gang, run and exit as time passes. A
//! [`WorkerObserver`] is told of starts, completions and expired leases.

use jasperhill_wire::{Attempt, TaskId, user::JobRequest, user::Shape};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Phase of a task on its worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// Fetching the image until this time.
    Fetching(Instant),
    /// Waiting since this time for the other tasks of its gang.
    Waiting(Instant),
    /// Running until it completes or is stopped.
    Running {
        /// Time at which the task completes; `None` for a service, which does not complete.
        until: Option<Instant>,
    },
    /// The task has exited, with the cause as heartbeats report it.
    Exited(&'static str),
}

/// Task that a worker was told to run.
#[derive(Clone, Debug)]
pub struct Task {
    /// Attempt of the task, as given in the command.
    pub attempt: Attempt,
    /// Present phase of the task.
    pub phase: Phase,
}

impl Task {
    /// Returns whether the task has exited.
    pub fn is_exited(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }
    /// Returns whether the task has been started and has not exited, which is what the protocol's
    /// rules count as being on a machine.
    pub fn is_started(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_) | Phase::Running { .. })
    }
}

/// Agent on one machine.
#[derive(Debug)]
pub struct Worker {
    /// Name of the machine.
    pub id: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Number of the agent's session; rises each time its lease expires.
    pub incarnation: u64,
    /// Number of the last heartbeat.
    pub sequence: u64,
    /// Highest fencing token seen. Commands with a lower one are refused.
    pub token: u64,
    /// When a higher token last made a heartbeat due early; `None` if none has.
    pub token_change_at: Option<Instant>,
    /// Tasks by id and attempt, including exited ones that have not been cleared.
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    /// Whether the machine fails every task that it starts.
    pub is_sick: bool,
    /// Images on the machine's disk.
    pub images: BTreeSet<String>,
    /// Start of the lease: the time at which the last heartbeat with a valid answer was sent, or at
    /// which the incarnation began.
    pub lease_from: Instant,
    /// Controller that heartbeats are sent to.
    pub node: usize,
    /// Whether the next heartbeat is due early, because the tasks, the token, the incarnation or
    /// the controller has changed or the last heartbeat failed.
    pub changed: bool,
}

/// Receiver of the events on workers.
pub trait WorkerObserver {
    /// Returns whether the task has already completed on some worker.
    fn has_result(&self, task: &TaskId) -> bool;
    /// Called when a task has started on this worker.
    fn started(&mut self, worker: &Worker, task: &TaskId, attempt: u64);
    /// Called when a task has completed.
    fn finished(&mut self, task: &TaskId);
    /// Called when the lease of a worker in this zone has expired. `killed` is the number of
    /// started tasks that this killed.
    fn lease_expired(&mut self, zone: &str, killed: usize, lease: Duration, now: Instant);
}

/// GPUs and CPUs of a machine, in millionths.
pub const MACHINE_CAPACITY: (u64, u64) = (
    (crate::cloud::MACHINE_GPUS * 1e6) as u64,
    (crate::cloud::MACHINE_CPUS * 1e6) as u64,
);

/// Shortest time between two early heartbeats because of higher tokens: half of a worker's lease.
const TOKEN_CHANGE_INTERVAL: Duration = Duration::from_secs(8);

/// Time limits that apply on workers.
pub struct WorkerTimes {
    /// Duration of a worker's lease.
    pub lease: Duration,
    /// How long a task waits for the rest of its gang before it exits as incomplete.
    pub gang_wait: Duration,
}

impl Worker {
    /// Returns a worker without tasks, whose lease starts now.
    pub fn new(id: &str, zone: &str, spot: bool, node: usize, now: Instant) -> Self {
        Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            token_change_at: None,
            tasks: BTreeMap::new(),
            is_sick: false,
            images: BTreeSet::new(),
            lease_from: now,
            node,
            changed: false,
        }
    }

    /// Returns the body of the next heartbeat and advances the sequence number.
    pub fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|((task, attempt), t)| {
                let mut item = json!({"shard":task.to_string(),"try":attempt});
                item["phase"] = match t.phase {
                    Phase::Fetching(_) => "pulling",
                    Phase::Waiting(_) => "waiting",
                    Phase::Running { .. } => "running",
                    Phase::Exited(cause) => {
                        item["cause"] = cause.into();
                        "exited"
                    }
                }
                .into();
                item
            })
            .collect();
        json!({"host":self.id,"address":crate::cloud::address(&self.id),"hosttype":"box",
            "hall":self.zone,"reclaimable":self.spot,"tenure":self.incarnation,"counter":self.sequence,
            "epoch":self.token,"warning_s":null,"shards":shards})
    }

    /// Executes the commands of a `/do` request and returns a status and a heartbeat. Refuses them
    /// with 409 if their token is lower than the worker's or they are meant for another
    /// incarnation.
    pub fn on_direct_commands(
        &mut self,
        body: &Value,
        jobs: &BTreeMap<String, JobRequest>,
        now: Instant,
    ) -> (u16, Value) {
        let (token, incarnation) = (
            body["epoch"].as_u64().unwrap(),
            body["tenure"].as_u64().unwrap(),
        );
        if token < self.token || incarnation != self.incarnation {
            return (409, self.heartbeat());
        }
        self.raise_token(token, now);
        self.execute(body["orders"].as_array().unwrap(), jobs, now);
        (200, self.heartbeat())
    }

    /// Raises the fencing token; a lower or equal one has no effect. A higher one makes a heartbeat
    /// due early, but at most once in [`TOKEN_CHANGE_INTERVAL`].
    fn raise_token(&mut self, token: u64, now: Instant) {
        if token <= self.token {
            return;
        }
        self.token = token;
        let last_change = self.token_change_at;
        if last_change.is_none_or(|at| now - at >= TOKEN_CHANGE_INTERVAL) {
            self.token_change_at = Some(now);
            self.changed = true;
        }
    }

    /// Handles the answer to a heartbeat that was sent at `sent` in this incarnation:
    /// renews the lease and executes the commands. Ignores an answer with a lower token, or one to
    /// an earlier incarnation.
    pub fn on_heartbeat_answer(
        &mut self,
        body: &Value,
        sent: Instant,
        incarnation: u64,
        jobs: &BTreeMap<String, JobRequest>,
        now: Instant,
    ) {
        let token = body["epoch"].as_u64().unwrap();
        if token < self.token || incarnation != self.incarnation {
            return;
        }
        self.raise_token(token, now);
        self.lease_from = sent;
        self.execute(body["orders"].as_array().unwrap(), jobs, now);
    }

    /// Executes `run`, `halt` and `clear` commands. Commands for tasks that are already in the
    /// requested state have no effect.
    fn execute(&mut self, commands: &[Value], jobs: &BTreeMap<String, JobRequest>, now: Instant) {
        for command in commands {
            let task = TaskId::parse(command["shard"].as_str().unwrap()).unwrap();
            let attempt = command["try"].as_u64().unwrap();
            let key = (task.clone(), attempt);
            match command["verb"].as_str().unwrap() {
                "run" => {
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let Some(job) = jobs.get(task.job.as_str()) else {
                        self.insert_task(key, Phase::Exited("no_such"));
                        continue;
                    };
                    let busy = self
                        .tasks
                        .iter()
                        .any(|((t, _), x)| t == &task && !matches!(x.phase, Phase::Exited(_)));
                    let (gpus, cpus) = self
                        .tasks
                        .iter()
                        .filter(|(_, x)| !matches!(x.phase, Phase::Exited(_)))
                        .filter_map(|((t, _), _)| jobs.get(t.job.as_str()))
                        .fold((0, 0), |(g, c), j| (g + j.each.gpus, c + j.each.cpus));
                    let phase = if busy {
                        Phase::Exited("busy")
                    } else if gpus + job.each.gpus > MACHINE_CAPACITY.0
                        || cpus + job.each.cpus > MACHINE_CAPACITY.1
                    {
                        Phase::Exited("no_room")
                    } else if self.images.contains(job.image.as_str()) {
                        Phase::Fetching(now)
                    } else {
                        Phase::Fetching(now + Duration::from_secs_f64(job.image_gb))
                    };
                    self.insert_task(key, phase);
                }
                "halt" => {
                    if let Some(t) = self.tasks.get_mut(&key)
                        && !matches!(t.phase, Phase::Exited(_))
                    {
                        t.phase = Phase::Exited("halted");
                        self.changed = true;
                    }
                }
                "clear" => {
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| matches!(t.phase, Phase::Exited(_)))
                    {
                        self.tasks.remove(&key);
                    }
                }
                other => panic!("unknown command verb {other:?}"),
            }
        }
    }

    /// Adds a task in this phase, or replaces the one with the same key.
    fn insert_task(&mut self, key: (TaskId, u64), phase: Phase) {
        let attempt = Attempt(key.1);
        self.tasks.insert(key, Task { attempt, phase });
        self.changed = true;
    }

    /// Advances time by `step` on a machine that hangs. Fetching and running tasks make no
    /// progress, but the lease runs on: a machine that hangs for longer loses its tasks.
    pub fn hang(
        &mut self,
        step: Duration,
        now: Instant,
        times: &WorkerTimes,
        observer: &mut impl WorkerObserver,
    ) {
        self.expire_lease(now, times, observer);
        for t in self.tasks.values_mut() {
            match &mut t.phase {
                Phase::Fetching(until) | Phase::Running { until: Some(until) } => *until += step,
                _ => {}
            }
        }
    }

    /// Kills all tasks and begins the next incarnation if the lease has expired.
    fn expire_lease(
        &mut self,
        now: Instant,
        times: &WorkerTimes,
        observer: &mut impl WorkerObserver,
    ) {
        if now - self.lease_from > times.lease {
            let killed = self.tasks.values().filter(|t| t.is_started()).count();
            observer.lease_expired(&self.zone, killed, times.lease, now);
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_from = now;
            self.changed = true;
        }
    }

    /// Advances the lease and the phases of all tasks to the present.
    ///
    /// All tasks fail on a sick machine. Two job classes behave differently: tasks of `broken` jobs exit with an error after the
    /// fetch, and each task of an `uneven` job runs longer than the one before.
    pub fn tick(
        &mut self,
        now: Instant,
        times: &WorkerTimes,
        jobs: &BTreeMap<String, JobRequest>,
        observer: &mut impl WorkerObserver,
    ) {
        self.expire_lease(now, times, observer);
        let mut started = Vec::new();
        for ((task, attempt), t) in &mut self.tasks {
            let Some(job) = jobs.get(task.job.as_str()) else {
                continue;
            };
            let phase_before = t.phase.clone();
            match phase_before {
                Phase::Fetching(until) if now >= until => {
                    self.images.insert(job.image.as_str().to_owned());
                    if self.is_sick || job.class.as_str() == "broken" {
                        t.phase = Phase::Exited("error");
                        self.changed = true;
                        continue;
                    }
                    started.push((task.clone(), *attempt));
                    t.phase = if observer.has_result(task) {
                        // The task has already completed, and its result is kept.
                        Phase::Exited("done")
                    } else if job.shape == Shape::Gang {
                        Phase::Waiting(now)
                    } else {
                        let mut run = Duration::from_micros(job.estimate.0 * 9 / 10);
                        if job.class.as_str() == "uneven" {
                            run *= 1 + 5 * task.index;
                        }
                        Phase::Running {
                            until: (job.shape != Shape::Service).then_some(now + run),
                        }
                    };
                }
                Phase::Waiting(since) if now - since > times.gang_wait => {
                    t.phase = Phase::Exited("incomplete");
                }
                // The tasks of a gang complete together, which a single worker can't decide: the
                // cluster completes them.
                Phase::Running { until: Some(until) }
                    if now >= until && job.shape != Shape::Gang =>
                {
                    t.phase = Phase::Exited("done");
                    observer.finished(task);
                }
                _ => {}
            }
            self.changed |= t.phase != phase_before;
        }
        for (task, attempt) in started {
            observer.started(self, &task, attempt);
        }
    }
}
