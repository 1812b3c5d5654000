//! A partition: the teams, jobs and hosts that one controller decides about. Owns the host
//! and job machines and keeps them consistent with each other.

mod events;
mod hosts;
mod task_outcomes;
mod waiting;

pub use events::{AdmissionDecision, Event};
pub use waiting::{WaitReason, WaitingJobs};

use crate::{
    config::{SchedulerConfig, Specs},
    failures::FailureHistory,
    host::{HeartbeatSource, Host, HostInput, HostOutput},
    job::{DependencyStatus, Job, Readiness, TaskStep, Termination},
    move_budget::MoveBudget,
    pace::OverrunWatch,
    recovery::{self, Recovery, ReplicaRecovery},
    reservation_window::ReservationWindow,
    starvation::StarvationGuard,
};
use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Micros, Name, Resources, Revision, TaskId,
    record::{HostRecord, ResidualUsage},
    user::{JobRequest, Priority, Shape},
    worker::{Command, ExitCause, Heartbeat},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

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

/// The teams, jobs and hosts of one partition, as its owner sees them.
pub struct Partition {
    /// Its number.
    pub id: u32,
    /// Revision at which the present ownership began.
    pub since: Revision,
    /// The settings.
    pub config: Rc<SchedulerConfig>,
    /// The machine types.
    pub specs: Rc<Specs>,
    /// Unfinished jobs, and ended ones whose tasks are not gone yet.
    pub jobs: BTreeMap<JobId, Job>,
    /// The hosts whose records name this partition.
    pub hosts: BTreeMap<HostId, Host>,
    pub(crate) used_by_team: BTreeMap<Name, Resources>,
    /// Run time over estimate by class, smoothed.
    pub(crate) run_time_ratios: BTreeMap<Name, f64>,
    attempts: u64,
    /// Hosts with new commands to be sent directly.
    pub dirty: BTreeSet<HostId>,
    /// Jobs with results to be written.
    pub unsaved: BTreeSet<JobId>,
    /// What operators want to read about; emptied by the caller.
    pub events: Vec<Event>,
    /// Something changed that a cycle could make use of.
    pub changed: bool,
    /// Jobs that the last cycle went through.
    pub backlog: usize,
    /// Since when hosts may run what is not known, until none does.
    unconfirmed_since: Option<Micros>,
    /// What production has lost, and the room kept for what it may be losing.
    pub recovery: Recovery,
    /// Replicas that may be lost.
    pub(crate) replica_recovery: ReplicaRecovery,
    /// When tasks overrun.
    pub(crate) overrun_watch: OverrunWatch,
    /// How many replicas may be moved.
    pub(crate) move_budget: MoveBudget,
    /// Who falls behind.
    pub starvation: StarvationGuard,
    /// When limits are reserved for gangs, by team.
    pub(crate) reservation_windows: BTreeMap<Name, ReservationWindow>,
}

/// Attempts are unique by construction: the ownership's revision, then a counter.
const ATTEMPT_BITS: u32 = 22;

impl Partition {
    /// One that was just taken over, at this revision of its ownership.
    pub fn new(id: u32, since: Revision, config: Rc<SchedulerConfig>, specs: Rc<Specs>) -> Self {
        Self {
            id,
            since,
            config,
            specs,
            jobs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            run_time_ratios: BTreeMap::new(),
            attempts: 0,
            dirty: BTreeSet::new(),
            unsaved: BTreeSet::new(),
            events: Vec::new(),
            changed: true,
            backlog: 0,
            unconfirmed_since: None,
            recovery: Recovery::default(),
            replica_recovery: ReplicaRecovery::default(),
            overrun_watch: OverrunWatch::default(),
            move_budget: MoveBudget::default(),
            starvation: StarvationGuard::default(),
            reservation_windows: BTreeMap::new(),
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

    /// Some host may run what a predecessor started.
    pub fn has_unconfirmed_tasks(&self) -> bool {
        self.hosts.values().any(Host::has_unconfirmed_tasks)
    }

    /// The hosts that may run what a predecessor started.
    pub(crate) fn unconfirmed_tasks(&self) -> UnconfirmedTasks {
        let mut unconfirmed = UnconfirmedTasks::default();
        for h in self.hosts.values().filter(|h| h.has_unconfirmed_tasks()) {
            let known = unconfirmed
                .0
                .iter()
                .any(|(k, z, s)| k == &h.spec.machine_type && z == &h.zone && *s == h.spot);
            if !known {
                unconfirmed
                    .0
                    .push((h.spec.machine_type.clone(), h.zone.clone(), h.spot));
            }
        }
        unconfirmed
    }

    /// A task of this job may be running unseen: it is older than the takeover, and some
    /// host that is not known yet is one that it could be on. A spot machine that was taken
    /// silently does not hold up work that never runs on such.
    ///
    /// Nor does it hold up a job that still waits for others: nobody has started that.
    pub(crate) fn may_run_unconfirmed(&self, job: &Job, unconfirmed: &UnconfirmedTasks) -> bool {
        job.readiness == Readiness::Open
            && job.created <= self.since
            && unconfirmed.may_hold(&job.request)
    }

    /// How a job stands in its pipeline.
    pub fn set_dependency_status(&mut self, id: &JobId, place: DependencyStatus) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.changed |= job.set_dependency_status(place);
        }
    }

    /// A job's record is seen; nothing happens if the job is known.
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
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            for i in reserved {
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
            let unconfirmed = self.unconfirmed_tasks();
            if self
                .jobs
                .get(id)
                .is_some_and(|j| self.is_gone(j, &unconfirmed))
            {
                self.jobs.remove(id);
            }
        }
    }

    fn is_gone(&self, job: &Job, unconfirmed: &UnconfirmedTasks) -> bool {
        let unseen = match job.termination {
            None => return false,
            Some(Termination::Done) => false,
            Some(Termination::Cancelled) => self.may_run_unconfirmed(job, unconfirmed),
        };
        job.live.is_empty() && !unseen
    }

    /// The same for all of them.
    pub(crate) fn remove_ended(&mut self) {
        let unconfirmed = self.unconfirmed_tasks();
        let gone = self
            .jobs
            .iter()
            .filter(|(_, j)| self.is_gone(j, &unconfirmed));
        for id in gone.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.jobs.remove(&id);
        }
    }

    /// A host's record is seen. `at_takeover`: a predecessor may have started tasks there.
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
            for reservation in host.queue {
                self.set_step(&reservation.task, TaskStep::Pending);
            }
        }
        self.dirty.remove(id);
        self.changed = true;
    }

    /// A worker's heartbeat, or its answer to a direct request.
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

    /// The estimate, corrected by what was observed of the class.
    pub fn estimate(&self, request: &JobRequest) -> Micros {
        request.estimate.scale(
            self.run_time_ratios
                .get(&request.class)
                .copied()
                .unwrap_or(1.0),
        )
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
        let used = self.used_by_team.entry(team).or_default();
        if is && !was {
            *used += each;
        } else if was && !is {
            *used -= each;
        }
    }

    /// Task `i` of the job has no reservation any more.
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

    /// Stops a task, with this time to save a checkpoint.
    pub fn stop(&mut self, host: &HostId, task: &TaskId, grace: Micros, now: Micros) {
        self.apply(host, HostInput::Stop(task, grace), now);
        self.dirty.insert(host.clone());
    }

    /// Stops all live tasks of a job.
    pub fn stop_all(&mut self, id: &JobId, grace: Micros, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(u32, HostId)> = job.live.iter().map(|(i, h)| (*i, h.clone())).collect();
        for (i, host) in live {
            self.stop(&host, &TaskId::new(id, i), grace, now);
        }
    }

    /// What the team uses, or may be using unseen.
    pub fn team_use(&self, team: &Name) -> Resources {
        let mut used = self.used_by_team.get(team).copied().unwrap_or_default();
        let unconfirmed = self.unconfirmed_tasks();
        for job in self.jobs.values() {
            if &job.request.team == team && self.may_run_unconfirmed(job, &unconfirmed) {
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
}
