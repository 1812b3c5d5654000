//! The protocol's rules, asserted at every step.

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

#[derive(Default)]
pub struct InvariantChecker {
    /// What broke, first to last.
    pub broken: Vec<String>,
    done: BTreeSet<TaskId>,
    /// When a user was told that the job is cancelled.
    pub cancelled: BTreeMap<String, Instant>,
    /// Jobs of pipelines that were called done, and cancelled without having been asked.
    pub staged: usize,
    pub swept: usize,
    /// Jobs of tasks that end far apart that were called done; starts after a result.
    pub uneven: usize,
    pub again: usize,
    /// Bad lists of jobs to wait for were all refused.
    pub picked: bool,
    /// Jobs whose users have asked to cancel them.
    pub asked: BTreeSet<String>,
    /// Starts of this tick, to be judged against all machines.
    starts: Vec<(String, TaskId, u64)>,
    pub started: usize,
    /// Jobs of which some task has started, and when first.
    pub begun: BTreeMap<String, Instant>,
    /// What became of the jobs whose users were told that they are cancelled.
    pub cancels: BTreeMap<String, CancelledJob>,
    /// When a question about each job was last answered, of those that are asked about.
    answered: BTreeMap<String, Instant>,
    /// The questions of the last while, and whether they were answered.
    asked_lately: VecDeque<(Instant, bool)>,
    /// From then on no trouble excuses silence about a job.
    pub calm_from: Option<Instant>,
    /// The longest that questions about a job went unanswered, in all and once it was calm.
    pub longest_silence: Duration,
    pub longest_silence_in_calm: Duration,
    pub most_at_once: usize,
    pub killed: usize,
    /// Submissions that got no verdict.
    pub undecided: usize,
    /// Of those, in zones that some controller reached all along, as it did the state service.
    pub killed_in_reach: usize,
    /// When no controller last reached both a zone's workers and the state service.
    pub out_of_reach: BTreeMap<String, Instant>,
    /// What a user was first told of how a job ended, and when.
    told: BTreeMap<String, (String, Instant)>,
    /// Jobs of which a task has ended since this was last asked.
    ended: BTreeSet<JobId>,
    /// Starts of tasks whose users had been told before that the job is cancelled, and the latest
    /// after that.
    pub started_after: usize,
    pub latest_start: Duration,
    /// Since when jobs wait beside room that fits, and the longest that one did.
    waits: BTreeMap<String, Instant>,
    pub longest_wait: Duration,
}

/// Once the troubles are over, no job waits that long beside room that fits.
const WAIT_MAX: Duration = Duration::from_secs(90);

/// A cancellation that was confirmed.
#[derive(Clone, Debug)]
pub struct CancelledJob {
    pub at: Instant,
    /// Who confirmed it.
    pub node: usize,
    /// Its tasks that were not over at that moment.
    pub alive: usize,
    /// When one of its tasks was last seen that was not over, in whatever state.
    pub last_seen: Option<Instant>,
}

/// A job about which every question fails for so long, while others are answered, is forgotten;
/// and so long, however others fare, once the troubles are over.
const FORGOTTEN: Duration = Duration::from_secs(90);
const FORGOTTEN_IN_CALM: Duration = Duration::from_secs(75);

impl InvariantChecker {
    /// A question about a job was answered, or not.
    /// `over`: its user knows already what became of it; what is final is answered in any outage,
    /// and says nothing of how others fare.
    pub fn record_query(&mut self, id: &str, answered: bool, over: bool, now: Instant) {
        if !over {
            self.asked_lately.push_back((now, answered));
        }
        while self
            .asked_lately
            .front()
            .is_some_and(|(t, _)| now - *t > FORGOTTEN)
        {
            self.asked_lately.pop_front();
        }
        if answered || !self.answered.contains_key(id) {
            self.answered.insert(id.to_owned(), now);
            return;
        }
        let last = self.answered[id];
        let silence = now - last;
        self.longest_silence = self.longest_silence.max(silence);
        let calm = self
            .calm_from
            .map(|t| now.saturating_duration_since(t.max(last)));
        if let Some(calm) = calm {
            self.longest_silence_in_calm = self.longest_silence_in_calm.max(calm);
        }
        let others = self.asked_lately.iter().filter(|(_, ok)| *ok).count();
        let most = others * 2 > self.asked_lately.len();
        if silence >= FORGOTTEN && most {
            self.record_violation(format!(
                "forgotten: {id}: no answer for {silence:?}, others are answered"
            ));
        } else if calm.is_some_and(|t| t >= FORGOTTEN_IN_CALM) {
            self.record_violation(format!(
                "forgotten: {id}: no answer for {calm:?} after the troubles"
            ));
        }
    }
    /// A user who asked at `sent` was told that a job is in this phase: never anything else after
    /// what is final.
    pub fn told(&mut self, id: &str, phase: &str, sent: Instant, now: Instant) {
        let is_final = |phase: &str| matches!(phase, "done" | "aborted");
        match self.told.get(id) {
            Some((was, at)) if was != phase && (*at <= sent || is_final(phase)) => {
                let was = was.clone();
                self.record_violation(format!("went_back: {id} was {was}, is {phase}"));
            }
            None if is_final(phase) => {
                self.told.insert(id.to_owned(), (phase.to_owned(), now));
            }
            _ => {}
        }
    }
    /// How a job ended, as its user was told.
    pub fn final_phase(&self, id: &str) -> Option<&str> {
        self.told.get(id).map(|(phase, _)| phase.as_str())
    }
    /// Jobs whose last task has just ended.
    pub(crate) fn just_ended(&mut self, jobs: &BTreeMap<String, JobRequest>) -> Vec<String> {
        let ended = std::mem::take(&mut self.ended);
        let whole = ended
            .iter()
            .filter_map(|id| jobs.get(id.as_str()))
            .filter(|j| self.all_done(j));
        whole.map(|j| j.id.to_string()).collect()
    }

    /// A job that waits although a machine that fits has room and its team is under its limit: since
    /// when, once the troubles are over.
    pub(crate) fn check_waiting_jobs(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, JobRequest>,
        accepted: &BTreeMap<String, Instant>,
        limits: &BTreeMap<String, u64>,
        now: Instant,
    ) {
        if self.calm_from.is_none_or(|calm| now < calm) {
            return;
        }
        // What is told to start counts as room that is taken: its image may be on the way.
        let (mut used, mut there) = (BTreeMap::<&str, u64>::new(), BTreeSet::<&str>::new());
        let mut rooms = Vec::new();
        for worker in workers.values() {
            let (mut gpus, mut cpus) = crate::worker::CAPACITY;
            for ((task, _), _) in worker.tasks.iter().filter(|(_, t)| !t.is_over()) {
                let Some(job) = jobs.get(task.job.as_str()) else {
                    continue;
                };
                there.insert(job.id.as_str());
                *used.entry(job.team.as_str()).or_default() += job.each.gpus;
                gpus = gpus.saturating_sub(job.each.gpus);
                cpus = cpus.saturating_sub(job.each.cpus);
            }
            rooms.push((worker, gpus, cpus));
        }
        let over = |id: &JobId| self.told.contains_key(id.as_str());
        let waits: Vec<&JobRequest> = accepted
            .keys()
            .filter_map(|id| jobs.get(id))
            .filter(|j| !there.contains(j.id.as_str()) && !self.all_done(j) && !over(&j.id))
            .filter(|j| !self.asked.contains(j.id.as_str()) && j.class.as_str() != "broken")
            .filter(|j| {
                j.dependencies
                    .iter()
                    .all(|n| jobs.get(n.as_str()).is_some_and(|n| self.all_done(n)))
            })
            .filter(|j| {
                let at_once = match j.shape {
                    Shape::Array => 1,
                    _ => u64::from(j.tasks),
                };
                let free = limits.get(j.team.as_str()).map_or(u64::MAX, |most| {
                    most.saturating_sub(used.get(j.team.as_str()).copied().unwrap_or(0))
                });
                if at_once * j.each.gpus > free {
                    return false;
                }
                let mut zones = BTreeMap::<&str, u64>::new();
                for (w, gpus, cpus) in &rooms {
                    if j.allows_host(&"box".into(), &w.zone.as_str().into(), w.spot) {
                        let by_cpus = cpus.checked_div(j.each.cpus).unwrap_or(u64::MAX);
                        let by_gpus = gpus.checked_div(j.each.gpus).unwrap_or(u64::MAX);
                        let n = by_cpus.min(by_gpus).min(at_once);
                        let here = zones.entry(w.zone.as_str()).or_default();
                        *here += n;
                    }
                }
                let cap = match j.shape {
                    Shape::Array => 1,
                    _ => u64::from(j.zone_cap()),
                };
                if j.one_zone {
                    zones.values().any(|n| (*n).min(cap) >= at_once)
                } else {
                    zones.values().map(|n| (*n).min(cap)).sum::<u64>() >= at_once
                }
            })
            .collect();
        let mut since = BTreeMap::new();
        let mut late = Vec::new();
        for job in waits {
            let id = job.id.to_string();
            let from = *self.waits.get(&id).unwrap_or(&now);
            self.longest_wait = self.longest_wait.max(now - from);
            if now - from >= WAIT_MAX {
                late.push(format!("waited: {id} {:?} beside room", now - from));
            }
            since.insert(id, from);
        }
        self.waits = since;
        for what in late {
            self.record_violation(what);
        }
    }

    /// A user was told that the job is cancelled.
    pub(crate) fn confirmed(
        &mut self,
        id: &str,
        node: usize,
        workers: &BTreeMap<String, Worker>,
        now: Instant,
    ) {
        let tasks = workers.values().flat_map(|w| &w.tasks);
        let alive = tasks.filter(|((task, _), t)| task.job.as_str() == id && !t.is_over());
        let cancelled = CancelledJob {
            at: now,
            node,
            alive: alive.count(),
            last_seen: None,
        };
        self.cancels.entry(id.to_owned()).or_insert(cancelled);
    }
    pub fn all_done(&self, job: &JobRequest) -> bool {
        (0..job.tasks).all(|i| self.done.contains(&TaskId::new(&job.id, i)))
    }
    pub fn record_violation(&mut self, what: String) {
        if self.broken.len() < 50 {
            self.broken.push(what);
        }
    }
    /// Judges this tick's starts and what is on all machines.
    pub fn check(
        &mut self,
        workers: &BTreeMap<String, Worker>,
        jobs: &BTreeMap<String, JobRequest>,
        limits: &BTreeMap<String, u64>,
        cancel: Duration,
        now: Instant,
    ) {
        let mut on: Vec<(&Worker, &TaskId, &JobRequest)> = Vec::new();
        for worker in workers.values() {
            for ((task, _), t) in &worker.tasks {
                if !t.is_over()
                    && let Some(cancelled) = self.cancels.get_mut(task.job.as_str())
                {
                    cancelled.last_seen = Some(now);
                }
                if t.is_on()
                    && let Some(job) = jobs.get(task.job.as_str())
                {
                    on.push((worker, task, job));
                }
            }
        }
        self.most_at_once = self.most_at_once.max(on.len());
        for (host, task, attempt) in std::mem::take(&mut self.starts) {
            let Some(here) = workers.get(&host) else {
                continue;
            };
            let Some(job) = jobs.get(task.job.as_str()) else {
                continue;
            };
            if on.iter().any(|(w, t, _)| *t == &task && w.id != host) {
                self.record_violation(format!("ran_twice: {task} try {attempt} starts on {host}"));
            }
            if let Some(told) = self.cancelled.get(job.id.as_str()) {
                let after = now - *told;
                self.started_after += 1;
                self.latest_start = self.latest_start.max(after);
                if after > cancel {
                    self.record_violation(format!("ran_cancelled: {task} starts on {host}"));
                }
            }
            let done = |n: &JobId| jobs.get(n.as_str()).is_some_and(|j| self.all_done(j));
            if let Some(need) = job.dependencies.iter().find(|n| !done(n)) {
                self.record_violation(format!("too_early: {task} starts before {need} is done"));
            }
            let siblings: Vec<&&Worker> = on
                .iter()
                .filter(|(_, t, _)| t.job == task.job)
                .map(|(w, ..)| w)
                .collect();
            let same = siblings.iter().filter(|w| w.zone == here.zone).count();
            let wrong = !job.allows_host(&"box".into(), &here.zone.as_str().into(), here.spot)
                || (job.one_zone && same < siblings.len())
                || (job.spread && same as u32 > job.zone_cap());
            if wrong {
                self.record_violation(format!("wrong_place: {task} on {host} in {}", here.zone));
            }
        }
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        let mut late = Vec::new();
        for (worker, task, job) in &on {
            *used.entry(job.team.as_str()).or_default() += job.each.gpus;
            if self
                .cancelled
                .get(job.id.as_str())
                .is_some_and(|t| now - *t > cancel)
            {
                late.push(format!("ran_cancelled: {task} is on {}", worker.id));
            }
        }
        for (team, gpus) in used {
            if limits.get(team).is_some_and(|most| gpus > *most) {
                late.push(format!("quota: {team} uses {gpus}"));
            }
        }
        for what in late {
            self.record_violation(what);
        }
    }
}

impl WorkerObserver for InvariantChecker {
    fn has_result(&self, task: &TaskId) -> bool {
        self.done.contains(task)
    }
    fn finished(&mut self, task: &TaskId) {
        if self.done.insert(task.clone()) {
            self.ended.insert(task.job.clone());
        }
    }

    fn started(&mut self, worker: &Worker, task: &TaskId, attempt: u64) {
        self.started += 1;
        self.again += usize::from(self.done.contains(task));
        let first = self.begun.entry(task.job.to_string());
        first.or_insert_with(Instant::now);
        self.starts.push((worker.id.clone(), task.clone(), attempt));
    }

    fn lease_expired(&mut self, zone: &str, killed: usize, lease: Duration, now: Instant) {
        self.killed += killed;
        let unreachable = self.out_of_reach.get(zone);
        if unreachable.is_none_or(|t| now - *t > lease + lease / 4) {
            self.killed_in_reach += killed;
        }
    }
}
