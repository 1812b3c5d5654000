//! Checks of the protocol's rules during a simulated run.
//!
//! [`InvariantChecker`] observes the workers and the answers that users get, and checks the rules
//! at every tick and every answer. A broken rule is recorded as a text that begins with the rule's
//! name, such as `ran_twice` or `forgotten`; the run goes on. The checker also counts what
//! happened, so that a test can assert that a run exercised what it is about.

use crate::worker::{Worker, WorkerObserver};
use jasperhill_wire::{
    JobId, TaskId,
    user::{JobRequest, Shape},
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Checker of the protocol's rules, with the history that the rules refer to.
#[derive(Default)]
pub struct InvariantChecker {
    /// Violations in the order in which they were found; at most 50.
    pub violations: Vec<String>,
    /// Tasks that have completed.
    completed_tasks: BTreeSet<TaskId>,
    /// Time at which a user was first told that the job is cancelled.
    pub cancelled: BTreeMap<String, Instant>,
    /// Number of pipeline jobs whose users were told that they are done.
    pub pipeline_jobs_done: usize,
    /// Number of jobs that were cancelled without a request of their own, because a job they depend
    /// on was cancelled.
    pub cancelled_with_dependency: usize,
    /// Number of jobs of the class `uneven`, the tasks of which end far apart, that were reported
    /// as done to their users.
    pub uneven_jobs_done: usize,
    /// Number of task starts after the task had already completed.
    pub tasks_restarted_after_result: usize,
    /// Whether all invalid dependency lists have been refused.
    pub invalid_dependencies_refused: bool,
    /// Jobs whose users have asked to cancel them.
    pub cancel_requested: BTreeSet<String>,
    /// Starts since the last check (host, task and attempt), kept until then because each start is
    /// checked against the tasks on all workers.
    new_starts: Vec<(String, TaskId, u64)>,
    /// Number of task starts.
    pub started: usize,
    /// Time of the first start of a task of each job.
    pub first_start: BTreeMap<String, Instant>,
    /// Time of the first start of each task.
    first_task_start: BTreeMap<TaskId, Instant>,
    /// Time of the last start of a task of each job.
    pub last_start: BTreeMap<String, Instant>,
    /// Jobs whose users were told that they are cancelled, by id.
    pub cancels: BTreeMap<String, CancelledJob>,
    /// Time of the last answered query about each job that users query.
    last_answered: BTreeMap<String, Instant>,
    /// Queries of the last [`QUERY_SILENCE_LIMIT`] about jobs not known to have ended: time, and
    /// whether the query was answered.
    recent_queries: VecDeque<(Instant, bool)>,
    /// Time after which no fault excuses unanswered queries or waiting jobs; `None` if there is
    /// none.
    pub faults_end: Option<Instant>,
    /// Longest time for which all queries about some job went unanswered.
    pub longest_silence: Duration,
    /// Longest time after `faults_end` for which all queries about some job went unanswered.
    pub longest_silence_after_faults: Duration,
    /// Most tasks that were started and had not exited at the same time.
    pub most_at_once: usize,
    /// Number of tasks killed because their worker's lease expired.
    pub killed: usize,
    /// Number of submission attempts that were answered with 503 or not at all.
    pub undecided: usize,
    /// Number of tasks killed by an expired lease although, for the last one and a quarter lease
    /// durations, some controller had reached both the zone's workers and the state service.
    pub killed_in_reach: usize,
    /// Last time at which no controller reached both the state service and the zone's workers, by
    /// zone.
    pub last_unreachable: BTreeMap<String, Instant>,
    /// First final phase that a user was told of each job, and the time.
    final_phases: BTreeMap<String, (String, Instant)>,
    /// Jobs of which a task has completed since the last call of `take_completed_jobs`.
    jobs_with_completions: BTreeSet<JobId>,
    /// Number of task starts after the job's user was told that the job is cancelled.
    pub started_after: usize,
    /// Longest time from telling a user that the job is cancelled to a start of one of the job's
    /// tasks.
    pub latest_start: Duration,
    /// Time since which each waiting job has been waiting although hosts have capacity for it.
    waiting_since: BTreeMap<String, Instant>,
    /// Longest time that a job waited although hosts had capacity for it.
    pub longest_wait: Duration,
}

/// After the faults, a job that waits this long although hosts have capacity for it breaks the rule
/// `waited`.
const MAX_WAIT_WITH_CAPACITY: Duration = Duration::from_secs(90);

/// Job whose user was told that it is cancelled.
#[derive(Clone, Debug)]
pub struct CancelledJob {
    /// Time at which the user was first told.
    pub at: Instant,
    /// Controller that told the user.
    pub node: usize,
    /// Number of the job's tasks on workers that had not exited at that time.
    pub alive: usize,
    /// Last time at which a task of the job was on a worker in any phase but `Exited`; `None` if
    /// there was none.
    pub last_seen: Option<Instant>,
}

/// A job breaks the rule `forgotten` if all queries about it fail for this long while most other
/// queries are answered.
const QUERY_SILENCE_LIMIT: Duration = Duration::from_secs(90);
/// A job breaks the rule `forgotten` if all queries about it fail for this long after the faults,
/// whether or not other queries are answered.
const QUERY_SILENCE_LIMIT_IN_CALM: Duration = Duration::from_secs(75);

impl InvariantChecker {
    /// Records whether a query about a job was answered, and checks the rule `forgotten`.
    ///
    /// `is_final` says that the user already knows how the job ended. Such queries are answered
    /// even in an outage, so they don't count as evidence that other queries are answered.
    pub fn record_query(&mut self, id: &str, answered: bool, is_final: bool, now: Instant) {
        if !is_final {
            self.recent_queries.push_back((now, answered));
        }
        while self
            .recent_queries
            .front()
            .is_some_and(|(t, _)| now - *t > QUERY_SILENCE_LIMIT)
        {
            self.recent_queries.pop_front();
        }
        if answered || !self.last_answered.contains_key(id) {
            self.last_answered.insert(id.to_owned(), now);
            return;
        }
        let last = self.last_answered[id];
        let silence = now - last;
        self.longest_silence = self.longest_silence.max(silence);
        let calm_silence = self
            .faults_end
            .map(|t| now.saturating_duration_since(t.max(last)));
        if let Some(calm_silence) = calm_silence {
            self.longest_silence_after_faults = self.longest_silence_after_faults.max(calm_silence);
        }
        let answered_queries = self.recent_queries.iter().filter(|(_, ok)| *ok).count();
        let most_answered = answered_queries * 2 > self.recent_queries.len();
        if silence >= QUERY_SILENCE_LIMIT && most_answered {
            self.record_violation(format!(
                "forgotten: {id}: no answer for {silence:?} while most queries are answered"
            ));
        } else if calm_silence.is_some_and(|t| t >= QUERY_SILENCE_LIMIT_IN_CALM) {
            self.record_violation(format!(
                "forgotten: {id}: no answer for {calm_silence:?} after the faults"
            ));
        }
    }
    /// Records the phase that a user was told in answer to a query sent at `sent`, and checks the
    /// rule `went_back`: once a user was told a final phase, no query sent after that may be
    /// answered with another phase, and no query at all with another final phase.
    pub fn record_phase(&mut self, id: &str, phase: &str, sent: Instant, now: Instant) {
        let is_final = |phase: &str| matches!(phase, "done" | "aborted");
        match self.final_phases.get(id) {
            Some((told_phase, at)) if told_phase != phase && (*at <= sent || is_final(phase)) => {
                let told_phase = told_phase.clone();
                self.record_violation(format!("went_back: {id} was {told_phase}, is {phase}"));
            }
            None if is_final(phase) => {
                self.final_phases
                    .insert(id.to_owned(), (phase.to_owned(), now));
            }
            _ => {}
        }
    }
    /// Returns the final phase that the job's user was told; `None` if there was none yet.
    pub fn final_phase(&self, id: &str) -> Option<&str> {
        self.final_phases.get(id).map(|(phase, _)| phase.as_str())
    }
    /// Returns the final phase that the job's user was told, and when the user was first told.
    pub(crate) fn final_phase_and_time(&self, id: &str) -> Option<(&str, Instant)> {
        let (phase, at) = self.final_phases.get(id)?;
        Some((phase.as_str(), *at))
    }
    /// Returns the time at which the last task of a job started for the first time; `None` if some
    /// task has not started.
    pub(crate) fn all_started(&self, job: &JobRequest) -> Option<Instant> {
        let starts = (0..job.tasks).map(|i| self.first_task_start.get(&TaskId::new(&job.id, i)));
        starts
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
            .copied()
    }
    /// Returns the jobs whose last task has completed since the last call.
    pub(crate) fn take_completed_jobs(
        &mut self,
        jobs: &BTreeMap<String, JobRequest>,
    ) -> Vec<String> {
        let candidates = std::mem::take(&mut self.jobs_with_completions);
        let completed = candidates
            .iter()
            .filter_map(|id| jobs.get(id.as_str()))
            .filter(|j| self.all_done(j));
        completed.map(|j| j.id.to_string()).collect()
    }

    /// Checks the rule `waited` once the faults are over: no job may wait for long although hosts
    /// that it is allowed on have capacity for it and its team is below its GPU limit.
    pub(crate) fn check_waiting_jobs(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, JobRequest>,
        accepted: &BTreeMap<String, Instant>,
        limits: &BTreeMap<String, u64>,
        now: Instant,
    ) {
        if self.faults_end.is_none_or(|calm| now < calm) {
            return;
        }
        // Tasks that have not started also take up capacity: they may still be fetching their
        // image.
        let (mut gpus_by_team, mut placed_jobs) =
            (BTreeMap::<&str, u64>::new(), BTreeSet::<&str>::new());
        let mut free_capacity = Vec::new();
        for worker in workers.values() {
            let (mut gpus, mut cpus) = crate::worker::MACHINE_CAPACITY;
            for ((task, _), _) in worker.tasks.iter().filter(|(_, t)| !t.is_exited()) {
                let Some(job) = jobs.get(task.job.as_str()) else {
                    continue;
                };
                placed_jobs.insert(job.id.as_str());
                *gpus_by_team.entry(job.team.as_str()).or_default() += job.each.gpus;
                gpus = gpus.saturating_sub(job.each.gpus);
                cpus = cpus.saturating_sub(job.each.cpus);
            }
            free_capacity.push((worker, gpus, cpus));
        }
        let has_final_phase = |id: &JobId| self.final_phases.contains_key(id.as_str());
        let startable_jobs: Vec<&JobRequest> = accepted
            .keys()
            .filter_map(|id| jobs.get(id))
            // A job whose tasks are all done waits as well until it is called done: a result may
            // have been lost with a machine or a lease, so that its task has to run again.
            .filter(|j| !placed_jobs.contains(j.id.as_str()) && !has_final_phase(&j.id))
            .filter(|j| {
                !self.cancel_requested.contains(j.id.as_str()) && j.class.as_str() != "broken"
            })
            .filter(|j| {
                j.dependencies
                    .iter()
                    .all(|n| jobs.get(n.as_str()).is_some_and(|n| self.all_done(n)))
            })
            .filter(|j| {
                let least_tasks = match j.shape {
                    Shape::Array => 1,
                    _ => u64::from(j.tasks),
                };
                let free_gpus = limits.get(j.team.as_str()).map_or(u64::MAX, |limit| {
                    limit.saturating_sub(gpus_by_team.get(j.team.as_str()).copied().unwrap_or(0))
                });
                if least_tasks * j.each.gpus > free_gpus {
                    return false;
                }
                let mut tasks_by_zone = BTreeMap::<&str, u64>::new();
                for (worker, gpus, cpus) in &free_capacity {
                    if j.allows_host(&"box".into(), &worker.zone.as_str().into(), worker.spot) {
                        let tasks_by_cpus = cpus.checked_div(j.each.cpus).unwrap_or(u64::MAX);
                        let tasks_by_gpus = gpus.checked_div(j.each.gpus).unwrap_or(u64::MAX);
                        let n = tasks_by_cpus.min(tasks_by_gpus).min(least_tasks);
                        let in_zone = tasks_by_zone.entry(worker.zone.as_str()).or_default();
                        *in_zone += n;
                    }
                }
                let cap = match j.shape {
                    Shape::Array => 1,
                    _ => u64::from(j.zone_cap()),
                };
                if j.one_zone {
                    tasks_by_zone.values().any(|n| (*n).min(cap) >= least_tasks)
                } else {
                    tasks_by_zone.values().map(|n| (*n).min(cap)).sum::<u64>() >= least_tasks
                }
            })
            .collect();
        let mut waiting_since = BTreeMap::new();
        let mut violations = Vec::new();
        for job in startable_jobs {
            let id = job.id.to_string();
            let from = *self.waiting_since.get(&id).unwrap_or(&now);
            self.longest_wait = self.longest_wait.max(now - from);
            if now - from >= MAX_WAIT_WITH_CAPACITY {
                violations.push(format!(
                    "waited: {id} for {:?} although hosts have capacity",
                    now - from
                ));
            }
            waiting_since.insert(id, from);
        }
        self.waiting_since = waiting_since;
        for violation in violations {
            self.record_violation(violation);
        }
    }

    /// Records that a controller told a user that the job is cancelled. Only the first time counts.
    pub(crate) fn record_cancellation(
        &mut self,
        id: &str,
        node: usize,
        workers: &BTreeMap<String, Worker>,
        now: Instant,
    ) {
        let tasks = workers.values().flat_map(|w| &w.tasks);
        let unfinished_tasks =
            tasks.filter(|((task, _), t)| task.job.as_str() == id && !t.is_exited());
        let cancelled = CancelledJob {
            at: now,
            node,
            alive: unfinished_tasks.count(),
            last_seen: None,
        };
        self.cancels.entry(id.to_owned()).or_insert(cancelled);
    }
    /// Returns whether all tasks of a job have completed.
    pub fn all_done(&self, job: &JobRequest) -> bool {
        (0..job.tasks).all(|i| self.completed_tasks.contains(&TaskId::new(&job.id, i)))
    }
    /// Records a violation; drops it if there are 50 already.
    pub fn record_violation(&mut self, violation: String) {
        if self.violations.len() < 50 {
            self.violations.push(violation);
        }
    }
    /// Checks the starts since the last call and the started tasks on all workers.
    ///
    /// The rules are `ran_twice`, `ran_cancelled`, `too_early`, `wrong_place` and `quota`. `limits`
    /// holds the teams' GPU limits in millionths. `cancel` is how long tasks of a cancelled job may
    /// still start or run after its user was told.
    pub fn check(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, JobRequest>,
        limits: &BTreeMap<String, u64>,
        cancel: Duration,
        now: Instant,
    ) {
        let mut started_tasks: Vec<(&Worker, &TaskId, &JobRequest)> = Vec::new();
        for worker in workers.values() {
            for ((task, _), t) in &worker.tasks {
                if !t.is_exited()
                    && let Some(cancelled) = self.cancels.get_mut(task.job.as_str())
                {
                    cancelled.last_seen = Some(now);
                }
                if t.is_started()
                    && let Some(job) = jobs.get(task.job.as_str())
                {
                    started_tasks.push((worker, task, job));
                }
            }
        }
        self.most_at_once = self.most_at_once.max(started_tasks.len());
        for (host, task, attempt) in std::mem::take(&mut self.new_starts) {
            let Some(worker) = workers.get(&host) else {
                continue;
            };
            let Some(job) = jobs.get(task.job.as_str()) else {
                continue;
            };
            if started_tasks
                .iter()
                .any(|(w, t, _)| *t == &task && w.id != host)
            {
                self.record_violation(format!(
                    "ran_twice: {task} attempt {attempt} starts on {host}"
                ));
            }
            if let Some(told_at) = self.cancelled.get(job.id.as_str()) {
                let elapsed = now - *told_at;
                self.started_after += 1;
                self.latest_start = self.latest_start.max(elapsed);
                if elapsed > cancel {
                    self.record_violation(format!("ran_cancelled: {task} starts on {host}"));
                }
            }
            let is_done = |n: &JobId| jobs.get(n.as_str()).is_some_and(|j| self.all_done(j));
            if let Some(dependency) = job.dependencies.iter().find(|n| !is_done(n)) {
                self.record_violation(format!(
                    "too_early: {task} starts before {dependency} is done"
                ));
            }
            let sibling_workers: Vec<&&Worker> = started_tasks
                .iter()
                .filter(|(_, t, _)| t.job == task.job)
                .map(|(w, ..)| w)
                .collect();
            let in_same_zone = sibling_workers
                .iter()
                .filter(|w| w.zone == worker.zone)
                .count();
            let is_wrong_place =
                !job.allows_host(&"box".into(), &worker.zone.as_str().into(), worker.spot)
                    || (job.one_zone && in_same_zone < sibling_workers.len())
                    || (job.spread && in_same_zone as u32 > job.zone_cap());
            if is_wrong_place {
                self.record_violation(format!("wrong_place: {task} on {host} in {}", worker.zone));
            }
        }
        let mut gpus_by_team: BTreeMap<&str, u64> = BTreeMap::new();
        let mut violations = Vec::new();
        for (worker, task, job) in &started_tasks {
            *gpus_by_team.entry(job.team.as_str()).or_default() += job.each.gpus;
            if self
                .cancelled
                .get(job.id.as_str())
                .is_some_and(|t| now - *t > cancel)
            {
                violations.push(format!("ran_cancelled: {task} is on {}", worker.id));
            }
        }
        for (team, gpus) in gpus_by_team {
            if limits.get(team).is_some_and(|limit| gpus > *limit) {
                violations.push(format!("quota: {team} uses {gpus} millionths of a GPU"));
            }
        }
        for violation in violations {
            self.record_violation(violation);
        }
    }
}

impl WorkerObserver for InvariantChecker {
    fn has_result(&self, task: &TaskId) -> bool {
        self.completed_tasks.contains(task)
    }
    fn finished(&mut self, task: &TaskId) {
        if self.completed_tasks.insert(task.clone()) {
            self.jobs_with_completions.insert(task.job.clone());
        }
    }

    fn started(&mut self, worker: &Worker, task: &TaskId, attempt: u64) {
        self.started += 1;
        self.tasks_restarted_after_result += usize::from(self.completed_tasks.contains(task));
        let first = self.first_start.entry(task.job.to_string());
        first.or_insert_with(Instant::now);
        self.first_task_start
            .entry(task.clone())
            .or_insert_with(Instant::now);
        self.last_start.insert(task.job.to_string(), Instant::now());
        self.new_starts
            .push((worker.id.clone(), task.clone(), attempt));
    }

    fn lease_expired(&mut self, zone: &str, killed: usize, lease: Duration, now: Instant) {
        self.killed += killed;
        let unreachable = self.last_unreachable.get(zone);
        if unreachable.is_none_or(|t| now - *t > lease + lease / 4) {
            self.killed_in_reach += killed;
        }
    }
}
