//! The protocol's rules, asserted at every step.

use crate::workers::Worker;
use jasperhill_wire::{JobId, TaskId, user::JobRequest};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Default)]
pub struct Rules {
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
    pub cancels: BTreeMap<String, Cancelled>,
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
}

/// A cancellation that was confirmed.
#[derive(Clone, Debug)]
pub struct Cancelled {
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

impl Rules {
    /// A question about a job was answered, or not.
    /// `over`: its user knows already what became of it; what is final is answered in any outage,
    /// and says nothing of how others fare.
    pub fn asked_about(&mut self, id: &str, answered: bool, over: bool, now: Instant) {
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
            self.breaks(format!(
                "forgotten: {id}: no answer for {silence:?}, others are answered"
            ));
        } else if calm.is_some_and(|t| t >= FORGOTTEN_IN_CALM) {
            self.breaks(format!(
                "forgotten: {id}: no answer for {calm:?} after the troubles"
            ));
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
        let cancelled = Cancelled {
            at: now,
            node,
            alive: alive.count(),
            last_seen: None,
        };
        self.cancels.entry(id.to_owned()).or_insert(cancelled);
    }
    pub fn has_result(&self, task: &TaskId) -> bool {
        self.done.contains(task)
    }
    pub fn finished(&mut self, task: &TaskId) {
        self.done.insert(task.clone());
    }
    pub fn all_done(&self, job: &JobRequest) -> bool {
        (0..job.tasks).all(|i| self.done.contains(&TaskId::new(&job.id, i)))
    }
    pub fn breaks(&mut self, what: String) {
        if self.broken.len() < 50 {
            self.broken.push(what);
        }
    }
    pub(crate) fn started(&mut self, worker: &Worker, task: &TaskId, attempt: u64) {
        self.started += 1;
        self.again += usize::from(self.done.contains(task));
        let first = self.begun.entry(task.job.to_string());
        first.or_insert_with(Instant::now);
        self.starts.push((worker.id.clone(), task.clone(), attempt));
    }

    /// Judges this tick's starts and what is on all machines.
    pub fn judge(
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
                self.breaks(format!("ran_twice: {task} try {attempt} starts on {host}"));
            }
            if self
                .cancelled
                .get(job.id.as_str())
                .is_some_and(|t| now - *t > cancel)
            {
                self.breaks(format!("ran_cancelled: {task} starts on {host}"));
            }
            let done = |n: &JobId| jobs.get(n.as_str()).is_some_and(|j| self.all_done(j));
            if let Some(need) = job.waits_on.iter().find(|n| !done(n)) {
                self.breaks(format!("too_early: {task} starts before {need} is done"));
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
                self.breaks(format!("wrong_place: {task} on {host} in {}", here.zone));
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
            self.breaks(what);
        }
    }
}
