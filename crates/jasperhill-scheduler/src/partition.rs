//! A partition: the teams, jobs and hosts that one controller decides about. Owns the host
//! and job machines and keeps them consistent with each other.

use crate::{
    config::{SchedulerConfig, Specs},
    drain::MoveBudget,
    failures::{self, FailureHistory},
    host::{HeartbeatSource, Host, HostInput, HostOutput, TaskState},
    job::{DependencyStatus, Job, Readiness, TaskStep, Termination},
    recovery::{self, Recovered, Recovery, ReplicaRecovery},
    starvation::{Group, ServedShare, StarvationGuard},
    stragglers::OverrunWatch,
};
use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Micros, Name, Resources, Revision, TaskId,
    record::{HostAssignment, HostRecord, ResidualUsage},
    user::{JobRequest, Priority, Shape},
    worker::{Command, ExitCause, Heartbeat},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// The answer of the admission test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    Admit,
    Refuse,
}

/// Something that operators want to read about.
#[derive(Clone, Debug)]
pub enum Event {
    HostLost(HostId),
    HostQuarantined(HostId),
    JobBackingOff(JobId),
    /// A task failed after running for so long.
    Failed(TaskId, HostId, Micros),
    Stopped(TaskId, HostId, &'static str),
    UnexpectedTask(TaskId, HostId, &'static str),
    /// Its tasks take so many times as long.
    HostSlow(HostId, f64),
    /// A class or team is behind its floor, or no more.
    Starved(Group, Option<ServedShare>),
    /// Production is whole again.
    ProductionRecovered(Recovered),
    /// After a takeover: no host can run what is not known any more. After how long, and on
    /// how many hosts only because their leases lapsed.
    AllHostsConfirmed(Micros, usize),
}

/// The kinds of hosts (type, zone, spot) that may run what a predecessor started.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedTasks(Vec<(Name, Name, bool)>);

impl UnconfirmedTasks {
    fn may_hold(&self, request: &JobRequest) -> bool {
        self.0
            .iter()
            .any(|(kind, zone, spot)| request.allows_host(kind, zone, *spot))
    }
}

pub struct Partition {
    pub id: u32,
    /// Revision at which the present ownership began.
    pub since: Revision,
    pub config: Rc<SchedulerConfig>,
    pub specs: Rc<Specs>,
    pub jobs: BTreeMap<JobId, Job>,
    pub hosts: BTreeMap<HostId, Host>,
    pub(crate) used: BTreeMap<Name, Resources>,
    /// Run time over estimate by class, smoothed.
    pub(crate) ratios: BTreeMap<Name, f64>,
    attempts: u64,
    /// Hosts with new commands to be sent directly.
    pub dirty: BTreeSet<HostId>,
    /// Jobs with results to be written.
    pub unsaved: BTreeSet<JobId>,
    pub events: Vec<Event>,
    /// Something changed that a pass could make use of.
    pub changed: bool,
    /// Jobs that the last pass went through.
    pub backlog: usize,
    /// Since when hosts may run what is not known, until none does.
    unconfirmed_since: Option<Micros>,
    /// What production has lost, and the room kept for what it may be losing.
    pub recovery: Recovery,
    pub(crate) returning: ReplicaRecovery,
    pub(crate) watched: OverrunWatch,
    pub(crate) moves: MoveBudget,
    /// Who falls behind.
    pub starvation: StarvationGuard,
}

/// Attempts are unique by construction: the ownership's revision, then a counter.
const ATTEMPT_BITS: u32 = 22;

impl Partition {
    pub fn new(id: u32, since: Revision, config: Rc<SchedulerConfig>, specs: Rc<Specs>) -> Self {
        Self {
            id,
            since,
            config,
            specs,
            jobs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            used: BTreeMap::new(),
            ratios: BTreeMap::new(),
            attempts: 0,
            dirty: BTreeSet::new(),
            unsaved: BTreeSet::new(),
            events: Vec::new(),
            changed: true,
            backlog: 0,
            unconfirmed_since: None,
            recovery: Recovery::default(),
            returning: ReplicaRecovery::default(),
            watched: OverrunWatch::default(),
            moves: MoveBudget::default(),
            starvation: StarvationGuard::default(),
        }
    }

    /// Notes when the last host has become known.
    pub(crate) fn note_confirmed(&mut self, now: Micros) {
        self.remove_ended();
        match (self.has_unconfirmed_tasks(), self.unconfirmed_since) {
            (true, None) => {
                self.unconfirmed_since = Some(now);
                self.recovery.apply(recovery::Input::TakenOver, now);
            }
            (false, Some(since)) => {
                self.unconfirmed_since = None;
                let lapsed = |h: &&Host| h.fencing == crate::host::FencingState::Lapsed;
                let lapsed = self.hosts.values().filter(lapsed).count();
                self.events
                    .push(Event::AllHostsConfirmed(now - since, lapsed));
            }
            _ => {}
        }
    }

    /// Grows across takeovers, because revisions do; also for tasks nobody has reported yet.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        debug_assert!(self.attempts < 1 << ATTEMPT_BITS);
        Attempt((self.since.0 << ATTEMPT_BITS) + self.attempts)
    }

    /// How many hosts can't get new tasks, by reason: not known yet, lapsed, in doubt, not
    /// heard, set aside or under notice, being emptied.
    pub fn unusable(&self, now: Micros) -> [usize; 6] {
        use crate::host::FencingState;
        let mut counts = [0; 6];
        for h in self.hosts.values() {
            if h.is_usable(now, &self.config) {
                continue;
            }
            let reason = match h.fencing {
                FencingState::Unfenced { .. } => 0,
                FencingState::Lapsed => 1,
                FencingState::Fenced if h.in_doubt() => 2,
                FencingState::Fenced if h.draining.is_some() => 5,
                FencingState::Fenced if h.terminates_at.is_some() => 4,
                FencingState::Fenced if h.quarantined_until.is_some_and(|t| now < t) => 4,
                FencingState::Fenced => 3,
            };
            counts[reason] += 1;
        }
        counts
    }

    /// Some host may run what a predecessor started.
    pub fn has_unconfirmed_tasks(&self) -> bool {
        self.hosts.values().any(Host::has_unconfirmed_tasks)
    }

    /// The hosts that may run what a predecessor started.
    pub(crate) fn unconfirmed_tasks(&self) -> UnconfirmedTasks {
        let mut ghosts = UnconfirmedTasks::default();
        for h in self.hosts.values().filter(|h| h.has_unconfirmed_tasks()) {
            let known = ghosts
                .0
                .iter()
                .any(|(k, z, s)| k == &h.spec.machine_type && z == &h.zone && *s == h.spot);
            if !known {
                ghosts
                    .0
                    .push((h.spec.machine_type.clone(), h.zone.clone(), h.spot));
            }
        }
        ghosts
    }

    /// A task of this job may be running unseen: it is older than the takeover, and some
    /// host that is not known yet is one that it could be on. A spot machine that was taken
    /// silently does not hold up work that never runs on such.
    ///
    /// Nor does it hold up a job that still waits for others: nobody has started that.
    pub(crate) fn may_run_unconfirmed(&self, job: &Job, ghosts: &UnconfirmedTasks) -> bool {
        job.gate == Readiness::Open && job.created <= self.since && ghosts.may_hold(&job.request)
    }

    /// How a job stands in its pipeline.
    pub fn set_dependency_status(&mut self, id: &JobId, place: DependencyStatus) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.changed |= job.set_dependency_status(place);
        }
    }

    pub fn upsert_job(
        &mut self,
        request: &Rc<JobRequest>,
        created: Revision,
        submitted: Micros,
        finished: &[u32],
        // As its record says: tries that failed everywhere, and the time now.
        (failing, now): (u32, Micros),
    ) {
        if !self.jobs.contains_key(&request.id) {
            let mut job = Job::new(request.clone(), created, submitted, finished);
            job.failures = FailureHistory::from_record(failing, now);
            job.failed_attempts_saved = failing;
            self.jobs.insert(request.id.clone(), job);
            self.changed = true;
        }
    }

    /// The job's record has become final: whatever is left of it is stopped.
    pub fn end_job(&mut self, id: &JobId, ending: Termination, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.termination.is_none() {
            job.termination = Some(ending);
            let booked: Vec<u32> = job.reserved.keys().copied().collect();
            for i in booked {
                self.release_reservation(id, i);
            }
            self.stop_all(id, Micros::ZERO, now);
        }
        self.unsaved.remove(id);
        self.remove_if_gone(id);
        self.changed = true;
    }

    /// A job that was cancelled under an earlier owner, of which tasks may run on hosts that are not
    /// known yet. Guards against a limit that is given out again while they do.
    pub fn restore_cancelled(&mut self, id: &JobId, remains: &ResidualUsage, now: Micros) {
        let request = JobRequest {
            id: id.clone(),
            class: "".into(),
            team: remains.team.clone(),
            // Its parts are stopped one by one.
            shape: Shape::Array,
            priority: Priority::Low,
            tasks: remains.tasks,
            each: remains.each,
            image: "".into(),
            image_gb: 0.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate: Micros::ZERO,
            checkpoint_every: Micros::ZERO,
            checkpoint_time: Micros::ZERO,
            deadline: None,
            dependencies: Vec::new(),
        };
        let mut job = Job::new(Rc::new(request), Revision(0), now, &[]);
        job.termination = Some(Termination::Cancelled);
        self.jobs.entry(id.clone()).or_insert(job);
    }

    /// Forgets an ended job once nothing of it is left, nor can be unseen.
    fn remove_if_gone(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|j| j.termination.is_some()) {
            let ghosts = self.unconfirmed_tasks();
            if self.jobs.get(id).is_some_and(|j| self.is_gone(j, &ghosts)) {
                self.jobs.remove(id);
            }
        }
    }

    fn is_gone(&self, job: &Job, ghosts: &UnconfirmedTasks) -> bool {
        let unseen = match job.termination {
            None => return false,
            Some(Termination::Done) => false,
            Some(Termination::Cancelled) => self.may_run_unconfirmed(job, ghosts),
        };
        job.live.is_empty() && !unseen
    }

    /// The same for all of them.
    pub(crate) fn remove_ended(&mut self) {
        let ghosts = self.unconfirmed_tasks();
        let gone = self.jobs.iter().filter(|(_, j)| self.is_gone(j, &ghosts));
        for id in gone.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.jobs.remove(&id);
        }
    }

    pub fn upsert_host(
        &mut self,
        id: &HostId,
        record: &HostRecord,
        version: Revision,
        at_takeover: bool,
        now: Micros,
    ) {
        // The greater of the revisions at which the owner and the host's record were written.
        let token = FencingToken(version.0.max(self.since.0));
        let Some(spec) = self.specs.get(&record.machine_type) else {
            return;
        };
        match self.hosts.get_mut(id) {
            Some(host) => {
                host.assignment = record.assignment;
                host.apply(HostInput::TokenRaised(token), now);
            }
            None => {
                let host = Host::new(id.clone(), record, spec.clone(), token, at_takeover, now);
                self.hosts.insert(id.clone(), host);
                self.dirty.insert(id.clone());
            }
        }
        self.changed = true;
    }

    /// The record is gone or in another partition: the machine is gone, or was empty.
    pub fn remove_host(&mut self, id: &HostId, now: Micros) {
        self.apply(id, HostInput::Gone, now);
        if let Some(host) = self.hosts.remove(id) {
            for booking in host.queue {
                self.set_step(&booking.task, TaskStep::Pending);
            }
        }
        self.dirty.remove(id);
        self.changed = true;
    }

    pub fn on_heartbeat(&mut self, report: &Heartbeat, source: HeartbeatSource, now: Micros) {
        let before = self
            .hosts
            .get(&report.host)
            .map(|h| (h.incarnation, h.answered));
        self.apply(&report.host, HostInput::Heartbeat(report, source), now);
        // Whoever ends a session has heard nothing for a whole lease.
        if let Some((Some(tenure), Some(answered))) = before
            && self.hosts.get(&report.host).and_then(|h| h.incarnation) > Some(tenure)
            && now - answered < self.config.lease.scale(0.5)
        {
            self.apply(&report.host, HostInput::NotReceiving, now);
        }
    }

    /// Feeds a host and carries its outputs over to the jobs.
    pub fn apply(&mut self, id: &HostId, input: HostInput<'_>, now: Micros) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        for output in host.apply(input, now) {
            self.changed = true;
            match output {
                HostOutput::Fenced => {}
                HostOutput::Running(task) => {
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.mark_running(task.index);
                        if let Some(host) = self.hosts.get_mut(id) {
                            host.touch_image(&job.request.image, job.request.image_gb);
                        }
                    }
                    self.watch_task(id, &task);
                }
                HostOutput::Found(task, attempt) => self.task_found(id, &task, attempt, now),
                HostOutput::Ended(task, cause) => self.task_ended(id, &task, cause, now),
            }
        }
    }

    fn task_found(&mut self, id: &HostId, task: &TaskId, attempt: Attempt, now: Micros) {
        let on = self
            .hosts
            .get(id)
            .and_then(|h| h.tasks.get(task))
            .is_some_and(|t| t.holds_resources());
        if !on {
            return;
        }
        let known = self
            .jobs
            .get(&task.job)
            .map(|j| (j.step(task.index), j.termination, j.attempt));
        match known {
            Some((TaskStep::Pending | TaskStep::Reserved(_), None, gang))
                if gang.is_none_or(|a| a == attempt)
                    && self.jobs.get(&task.job).is_some_and(|j| {
                        task.index < j.request.tasks && j.gate == Readiness::Open
                    }) =>
            {
                self.release_reservation(&task.job, task.index);
                self.set_step(task, TaskStep::Live(id.clone()));
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                if job.is_gang() {
                    job.attempt = Some(attempt);
                }
                let request = job.request.clone();
                if let Some(host) = self.hosts.get_mut(id) {
                    host.touch_image(&request.image, request.image_gb);
                    let image = (request.image.clone(), request.image_gb);
                    host.describe(task, request.each, image);
                    if host
                        .tasks
                        .get(task)
                        .is_some_and(|t| t.state == TaskState::Running)
                    {
                        job.mark_running(task.index);
                    }
                }
            }
            // Cancelled, and still there: it counts until it is gone.
            Some((TaskStep::Pending | TaskStep::Reserved(_), Some(Termination::Cancelled), _))
                if self
                    .jobs
                    .get(&task.job)
                    .is_some_and(|j| task.index < j.request.tasks) =>
            {
                self.set_step(task, TaskStep::Live(id.clone()));
                if let (Some(job), Some(host)) = (self.jobs.get(&task.job), self.hosts.get_mut(id))
                {
                    let image = (job.request.image.clone(), job.request.image_gb);
                    host.describe(task, job.request.each, image);
                }
                self.stop(id, task, Micros::ZERO, now);
            }
            _ => {
                // Finished, cancelled, unknown, or of an attempt that is not the gang's.
                self.events.push(Event::UnexpectedTask(
                    task.clone(),
                    id.clone(),
                    "not expected there",
                ));
                self.stop(id, task, Micros::ZERO, now);
            }
        }
    }

    fn task_ended(&mut self, id: &HostId, task: &TaskId, cause: Option<ExitCause>, now: Micros) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let here = job.live.get(&task.index) == Some(id);
        if cause == Some(ExitCause::Done) && job.request.shape != Shape::Service {
            // A kept result counts wherever it turns up. A gang completes as one.
            let all = if job.is_gang() {
                0..job.request.tasks
            } else {
                task.index..task.index + 1
            };
            self.learn_run_time(id, task, now);
            for i in all {
                let task = TaskId::new(&task.job, i);
                self.release_reservation(&task.job, i);
                let live = self
                    .jobs
                    .get(&task.job)
                    .and_then(|j| j.live.get(&i))
                    .cloned();
                // Guards against a part that is dropped from the account while it is still there, and
                // then neither counted nor stopped: its machine may be this one.
                let still = |host: &HostId| {
                    let there = self.hosts.get(host).and_then(|h| h.tasks.get(&task));
                    host != id || there.is_some_and(|t| t.holds_resources())
                };
                match live {
                    // Still on its machine until it says otherwise.
                    Some(host) if still(&host) => {
                        if let Some(job) = self.jobs.get_mut(&task.job) {
                            job.unsaved.insert(i);
                        }
                    }
                    _ => self.set_step(&task, TaskStep::Done),
                }
            }
            self.finish_gang(&task.job);
            self.unsaved.insert(task.job.clone());
            if let Some(host) = self.hosts.get_mut(id) {
                host.blame.clear();
                let began = host.tasks.get(task).map(|t| t.ordered);
                host.last_success_started = host.last_success_started.max(began);
            }
            self.reconsider_job(&task.job, failures::Input::Succeeded, now);
            self.remove_if_gone(&task.job);
            return;
        }
        if !here {
            return;
        }
        if cause.is_none() {
            self.record_lost_replica(task, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let over = job.unsaved.contains(&task.index);
        if let Some(cause) = cause
            && !over
        {
            match cause {
                ExitCause::Error => {
                    self.task_failed(id, task, now);
                }
                ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown => {
                    job.not_before = now + Micros::from_secs(1);
                }
                _ => {}
            }
        }
        self.set_step(
            task,
            if over {
                TaskStep::Done
            } else {
                TaskStep::Pending
            },
        );
        self.finish_gang(&task.job);
        self.remove_if_gone(&task.job);
    }

    /// A task has failed: held against its host, or, once it has failed wherever it was tried,
    /// against the job. Guards against a few arrays with a mistake that set aside and return a
    /// large part of the fleet within seconds.
    fn task_failed(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        let (Some(job), Some(host)) = (self.jobs.get_mut(&task.job), self.hosts.get_mut(id)) else {
            return;
        };
        job.failed = true;
        let ran = host
            .tasks
            .get(task)
            .and_then(|t| t.running)
            .map_or(Micros::ZERO, |began| now - began);
        self.events
            .push(Event::Failed(task.clone(), id.clone(), ran));
        let (was, level) = (
            job.failures.is_backing_off(),
            job.failures.failed_attempts(),
        );
        let failed = failures::Input::Failed {
            host: id,
            serves: host.has_served_others(&task.job, now),
            ran,
        };
        job.failures.apply(failed, now);
        if job.failures.failed_attempts() != level {
            self.unsaved.insert(task.job.clone());
        }
        if !job.failures.is_backing_off() {
            if host.blame(&task.job, now) {
                self.events.push(Event::HostQuarantined(id.clone()));
            }
        } else if !was {
            let booked: Vec<u32> = job.reserved.keys().copied().collect();
            job.preempting.clear();
            job.held_hosts = None;
            self.events.push(Event::JobBackingOff(task.job.clone()));
            for i in booked {
                self.release_reservation(&task.job, i);
            }
            for host in self.hosts.values_mut() {
                host.forgive_failures(&task.job);
            }
        }
    }

    /// Something speaks for a job: it completes a task, or one runs. If that clears it, the
    /// hosts on which it failed are blamed after all.
    fn reconsider_job(&mut self, id: &JobId, input: failures::Input<'_>, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let hosts = match &job.failures {
            FailureHistory::BackingOff { hosts, .. } => hosts.clone(),
            _ => BTreeSet::new(),
        };
        let was = job.failures.is_backing_off();
        job.failures.apply(input, now);
        if !was || job.failures.is_backing_off() {
            return;
        }
        self.unsaved.insert(id.clone());
        self.changed = true;
        for host in hosts {
            if let Some(h) = self.hosts.get_mut(&host)
                && !h.has_served_others(id, now)
            {
                // Failures that nothing excuses, as many as set a host aside.
                let news = h.blame(id, now) | h.blame(id, now);
                if news {
                    self.events.push(Event::HostQuarantined(host));
                }
            }
        }
    }

    /// A try that outlives those that failed clears a suspect job.
    pub(crate) fn clear_outlived_failures(&mut self, now: Micros) {
        let mut outlived = Vec::new();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(_, j)| j.failures.is_backing_off())
        {
            let runs = job
                .running
                .iter()
                .filter_map(|i| {
                    let host = self.hosts.get(job.live.get(i)?)?;
                    host.tasks.get(&TaskId::new(id, *i))?.running
                })
                .map(|began| now - began)
                .max();
            outlived.extend(runs.map(|time| (id.clone(), time)));
        }
        for (id, time) in outlived {
            self.reconsider_job(&id, failures::Input::RunningFor(time), now);
        }
    }

    /// A gang's attempt is over once nothing of it is left.
    fn finish_gang(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.live.is_empty()
        {
            job.attempt = None;
            if job.is_gang() {
                // Done as one, the unseen parts included.
                let rest: Vec<u32> = job.unsaved.iter().copied().collect();
                for i in rest {
                    job.set(i, TaskStep::Done);
                }
            }
        }
    }

    /// Compares a finished task's run time with what was expected.
    fn learn_run_time(&mut self, id: &HostId, task: &TaskId, now: Micros) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let Some(began) = host.tasks.get(task).and_then(|t| t.running) else {
            return;
        };
        let estimate = job.request.estimate.as_secs_f64();
        if estimate <= 0.0 || job.preempted > 0 || job.failed {
            return;
        }
        let seen = ((now - began).as_secs_f64() / estimate).clamp(0.2, 5.0);
        let ratio = self.ratios.entry(job.request.class.clone()).or_insert(1.0);
        *ratio += 0.05 * (seen - *ratio);
        let times = (seen / ratio.max(0.1)).clamp(0.2, 5.0);
        host.slowness += 0.2 * (times - host.slowness);
        self.learn_overrun(id, task, times, now);
    }

    /// The estimate, corrected by what was observed of the class.
    pub fn estimate(&self, request: &JobRequest) -> Micros {
        request
            .estimate
            .scale(self.ratios.get(&request.class).copied().unwrap_or(1.0))
    }

    /// Changes a task's step and its team's use with it.
    pub(crate) fn set_step(&mut self, task: &TaskId, to: TaskStep) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let was = job.live.contains_key(&task.index);
        job.set(task.index, to);
        let is = job.live.contains_key(&task.index);
        let (team, each) = (job.request.team.clone(), job.request.each);
        let used = self.used.entry(team).or_default();
        if is && !was {
            *used += each;
        } else if was && !is {
            *used -= each;
        }
    }

    pub(crate) fn release_reservation(&mut self, id: &JobId, i: u32) {
        let Some(host) = self.jobs.get(id).and_then(|j| j.reserved.get(&i)).cloned() else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(&host) {
            host.queue
                .retain(|b| b.task.index != i || &b.task.job != id);
        }
        self.set_step(&TaskId::new(id, i), TaskStep::Pending);
    }

    pub fn stop(&mut self, host: &HostId, task: &TaskId, grace: Micros, now: Micros) {
        self.apply(host, HostInput::Stop(task, grace), now);
        self.dirty.insert(host.clone());
    }

    pub fn stop_all(&mut self, id: &JobId, grace: Micros, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(u32, HostId)> = job.live.iter().map(|(i, h)| (*i, h.clone())).collect();
        for (i, host) in live {
            self.stop(&host, &TaskId::new(id, i), grace, now);
        }
    }

    /// What the team uses, or may be using unseen.
    pub fn team_use(&self, team: &Name) -> Resources {
        let mut used = self.used.get(team).copied().unwrap_or_default();
        let ghosts = self.unconfirmed_tasks();
        for job in self.jobs.values() {
            if &job.request.team == team && self.may_run_unconfirmed(job, &ghosts) {
                used += job.unconfirmed_use();
            }
        }
        used
    }

    /// The results of these tasks are in the record.
    pub fn saved(&mut self, id: &JobId, tasks: &BTreeSet<u32>, failing: u32) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.failed_attempts_saved = failing;
            for i in tasks {
                if job.done.contains(*i) {
                    job.unsaved.remove(i);
                }
            }
        }
    }

    /// Outstanding commands for a host.
    pub fn commands(&self, id: &HostId) -> Vec<Command> {
        let Some(host) = self.hosts.get(id) else {
            return Vec::new();
        };
        host.commands(|task, cause| match self.jobs.get(&task.job) {
            // A result is forgotten by the worker only once the record has it.
            Some(job) if cause == ExitCause::Done => {
                job.done.contains(task.index) && !job.unsaved.contains(&task.index)
            }
            _ => true,
        })
    }

    /// Hosts whose leases have surely lapsed, and when the next one could.
    pub fn expire_leases(&mut self, now: Micros) {
        let lapse = self.config.lease_expiry();
        let gone: Vec<HostId> = self
            .hosts
            .values()
            .filter(|h| {
                h.fencing != crate::host::FencingState::Lapsed && now >= h.last_answer + lapse
            })
            .map(|h| h.id.clone())
            .collect();
        for id in gone {
            self.apply(&id, HostInput::Gone, now);
            self.events.push(Event::HostLost(id));
        }
    }

    /// Puts a host under notice aside: what can save is stopped while there is time.
    pub(crate) fn stop_before_termination(&mut self, now: Micros) {
        let mut stops = Vec::new();
        for host in self.hosts.values().filter(|h| h.terminates_at.is_some()) {
            for (task, t) in &host.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                if t.holds_resources() && t.stopping.is_none() && job.checkpoints() {
                    stops.push((host.id.clone(), task.clone()));
                }
            }
        }
        for (host, task) in stops {
            self.stop_with_grace(&host, &task, "spot notice", now);
        }
    }

    /// Stops a task, and its gang with it, with the time to save if it can.
    pub(crate) fn stop_with_grace(
        &mut self,
        host: &HostId,
        task: &TaskId,
        why: &'static str,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let grace = if job.checkpoints() {
            job.request.checkpoint_time + Micros::from_secs(1)
        } else {
            Micros::ZERO
        };
        let gang = job.is_gang();
        self.events
            .push(Event::Stopped(task.clone(), host.clone(), why));
        if gang {
            self.stop_all(&task.job, grace, now);
        } else {
            self.stop(host, task, grace, now);
        }
    }

    /// The host may be given up: empty, settled and long enough idle.
    pub fn is_spare(&self, id: &HostId, now: Micros, keep: Micros) -> bool {
        self.hosts.get(id).is_some_and(|h| {
            matches!(h.assignment, HostAssignment::Partition(_))
                && h.is_empty()
                && h.queue.is_empty()
                && h.fencing == crate::host::FencingState::Fenced
                && h.idle_since.is_some_and(|t| now - t >= keep)
        })
    }
}
