//! Stand-ins for workers: leases, tokens, orders, tasks that fetch, wait, run and end.

use jasperhill_wire::{Attempt, TaskId, user::JobRequest, user::Shape};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Fetching(Instant),
    Waiting(Instant),
    Running { until: Option<Instant> },
    Exited(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: Attempt,
    pub phase: Phase,
}

impl Task {
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Exited(_))
    }
    /// On its machine in the sense of the rules.
    pub fn is_on(&self) -> bool {
        matches!(self.phase, Phase::Waiting(_) | Phase::Running { .. })
    }
}

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    pub images: BTreeSet<String>,
    pub lease_from: Instant,
    pub node: usize,
    pub changed: bool,
}

/// Who is told what becomes of tasks.
pub trait WorkerObserver {
    /// The task has a result already.
    fn has_result(&self, task: &TaskId) -> bool;
    /// A task has started on this worker.
    fn started(&mut self, worker: &Worker, task: &TaskId, attempt: u64);
    /// A task has completed.
    fn finished(&mut self, task: &TaskId);
    /// The lease of a worker in this zone has expired, which killed so many tasks.
    fn lease_expired(&mut self, zone: &str, killed: usize, lease: Duration, now: Instant);
}

/// What a machine has, in millionths: GPUs and CPUs.
pub const CAPACITY: (u64, u64) = (
    (crate::cloud::GPUS * 1e6) as u64,
    (crate::cloud::CPUS * 1e6) as u64,
);

pub struct WorkerTimes {
    pub lease: Duration,
    pub gang_wait: Duration,
}

impl Worker {
    pub fn new(id: &str, zone: &str, spot: bool, node: usize, now: Instant) -> Self {
        Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            spot,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            lease_from: now,
            node,
            changed: false,
        }
    }

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

    /// Orders from a `/do`: refused with a lower token or another session.
    pub fn on_direct_commands(
        &mut self,
        body: &Value,
        jobs: &BTreeMap<String, JobRequest>,
        now: Instant,
    ) -> (u16, Value) {
        let (token, tenure) = (
            body["epoch"].as_u64().unwrap(),
            body["tenure"].as_u64().unwrap(),
        );
        if token < self.token || tenure != self.incarnation {
            return (409, self.heartbeat());
        }
        self.raise_token(token);
        self.execute(body["orders"].as_array().unwrap(), jobs, now);
        (200, self.heartbeat())
    }

    fn raise_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    /// The answer to a report: dropped with a lower token or after the session has ended.
    pub fn on_heartbeat_answer(
        &mut self,
        body: &Value,
        sent: Instant,
        tenure: u64,
        jobs: &BTreeMap<String, JobRequest>,
        now: Instant,
    ) {
        let token = body["epoch"].as_u64().unwrap();
        if token < self.token || tenure != self.incarnation {
            return;
        }
        self.raise_token(token);
        self.lease_from = sent;
        self.execute(body["orders"].as_array().unwrap(), jobs, now);
    }

    fn execute(&mut self, orders: &[Value], jobs: &BTreeMap<String, JobRequest>, now: Instant) {
        for order in orders {
            let task = TaskId::parse(order["shard"].as_str().unwrap()).unwrap();
            let attempt = order["try"].as_u64().unwrap();
            let key = (task.clone(), attempt);
            match order["verb"].as_str().unwrap() {
                "run" => {
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let Some(job) = jobs.get(task.job.as_str()) else {
                        self.put(key, Phase::Exited("no_such"));
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
                    } else if gpus + job.each.gpus > CAPACITY.0 || cpus + job.each.cpus > CAPACITY.1
                    {
                        Phase::Exited("no_room")
                    } else if self.images.contains(job.image.as_str()) {
                        Phase::Fetching(now)
                    } else {
                        Phase::Fetching(now + Duration::from_secs_f64(job.image_gb))
                    };
                    self.put(key, phase);
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
                other => panic!("an unknown order {other}"),
            }
        }
    }

    fn put(&mut self, key: (TaskId, u64), phase: Phase) {
        let attempt = Attempt(key.1);
        self.tasks.insert(key, Task { attempt, phase });
        self.changed = true;
    }

    /// Lets time pass on a machine that stands still: it may go on within its lease, and no longer.
    /// Its tasks go no further meanwhile.
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

    /// If the lease has run out, its tasks are killed, and the next session begins.
    fn expire_lease(
        &mut self,
        now: Instant,
        times: &WorkerTimes,
        observer: &mut impl WorkerObserver,
    ) {
        if now - self.lease_from > times.lease {
            let lost = self.tasks.values().filter(|t| t.is_on()).count();
            observer.lease_expired(&self.zone, lost, times.lease, now);
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_from = now;
            self.changed = true;
        }
    }

    /// Lets time pass: leases, fetches, waits, ends.
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
            let before = t.phase.clone();
            match before {
                Phase::Fetching(until) if now >= until => {
                    self.images.insert(job.image.as_str().to_owned());
                    if job.class.as_str() == "broken" {
                        t.phase = Phase::Exited("error");
                        self.changed = true;
                        continue;
                    }
                    started.push((task.clone(), *attempt));
                    t.phase = if observer.has_result(task) {
                        // The result is kept.
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
                // Gangs complete together, if they do: see `gangs`.
                Phase::Running { until: Some(until) }
                    if now >= until && job.shape != Shape::Gang =>
                {
                    t.phase = Phase::Exited("done");
                    observer.finished(task);
                }
                _ => {}
            }
            self.changed |= t.phase != before;
        }
        for (task, attempt) in started {
            observer.started(self, &task, attempt);
        }
    }
}
