//! A partition: the teams, jobs and hosts that one controller schedules.
//!
//! [`Partition`] owns the state machines of hosts ([`Host`]) and jobs ([`Job`]) and keeps them
//! consistent: [`Partition::apply`] applies events to hosts and the resulting changes of tasks to
//! their jobs, and `Partition::set_step` updates the resources used by teams with each step of a
//! task.

mod commands;
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
    worker::Heartbeat,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// The kinds of hosts (machine type, zone, whether spot) that may run unknown tasks of a previous
/// owner of the partition.
#[derive(Clone, Debug, Default)]
pub struct UnconfirmedTasks(Vec<(Name, Name, bool)>);

impl UnconfirmedTasks {
    /// Returns whether an unknown task of this job may run on one of the hosts.
    fn may_include(&self, request: &JobRequest) -> bool {
        self.0
            .iter()
            .any(|(machine_type, zone, spot)| request.allows_host(machine_type, zone, *spot))
    }
}

/// The state of one partition at the controller that owns it: its teams, jobs and hosts.
pub struct Partition {
    /// Number of the partition.
    pub id: u32,
    /// Revision of the state store at which the current ownership began.
    pub owned_since: Revision,
    /// Scheduler settings.
    pub config: Rc<SchedulerConfig>,
    /// Machine types by name.
    pub specs: Rc<Specs>,
    /// Unfinished jobs, and ended jobs of which tasks may still run.
    pub jobs: BTreeMap<JobId, Job>,
    /// The hosts whose records name this partition.
    pub hosts: BTreeMap<HostId, Host>,
    /// Resources of live tasks by team.
    pub(crate) used_by_team: BTreeMap<Name, Resources>,
    /// Smoothed ratio of actual to estimated run times by job class.
    pub(crate) run_time_ratios: BTreeMap<Name, f64>,
    /// Number of attempts that this owner has issued; see [`Partition::next_attempt`].
    issued_attempts: u64,
    /// Hosts with new commands that are to be sent by direct requests.
    pub hosts_with_new_commands: BTreeSet<HostId>,
    /// Events to be logged; the caller removes them.
    pub events: Vec<Event>,
    /// Times from the order to the start of the tasks that were seen running; the caller removes
    /// them.
    pub start_delays: Vec<Micros>,
    /// Whether something changed since the last scheduling cycle that may let it start tasks.
    pub needs_scheduling: bool,
    /// Number of jobs that the last scheduling cycle considered.
    pub last_cycle_job_count: usize,
    /// Since when hosts may run unknown tasks of a previous owner; `None` if no host may.
    unconfirmed_since: Option<Micros>,
    /// Whether production jobs have lost replicas that are not replaced yet.
    pub recovery: Recovery,
    /// Capacity reserved for production replicas that may be lost.
    pub(crate) replica_recovery: ReplicaRecovery,
    /// Times at which running tasks will have exceeded their expected run time by too much.
    pub(crate) overrun_watch: OverrunWatch,
    /// Limits how many replicas may be moved.
    pub(crate) move_budget: MoveBudget,
    /// Shares of jobs begun by class and team, and the jobs that go first because a share is too
    /// small.
    pub starvation: StarvationGuard,
    /// Time since which each job has lacked hosts; see [`Partition::capacity_claims`].
    pub(crate) missing_since: BTreeMap<JobId, Micros>,
    /// Time windows in which a team's limit is reserved for gangs, by team.
    pub(crate) reservation_windows: BTreeMap<Name, ReservationWindow>,
}

/// Number of low bits of an attempt that hold the owner's counter. The bits above hold the revision
/// of the ownership, which makes attempts unique.
const ATTEMPT_COUNTER_BITS: u32 = 22;

impl Partition {
    /// Creates the empty state of a partition whose ownership began at revision `since`.
    pub fn new(id: u32, since: Revision, config: Rc<SchedulerConfig>, specs: Rc<Specs>) -> Self {
        Self {
            id,
            owned_since: since,
            config,
            specs,
            jobs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            used_by_team: BTreeMap::new(),
            run_time_ratios: BTreeMap::new(),
            issued_attempts: 0,
            hosts_with_new_commands: BTreeSet::new(),
            events: Vec::new(),
            start_delays: Vec::new(),
            needs_scheduling: true,
            last_cycle_job_count: 0,
            unconfirmed_since: None,
            recovery: Recovery::default(),
            replica_recovery: ReplicaRecovery::default(),
            overrun_watch: OverrunWatch::default(),
            move_budget: MoveBudget::default(),
            starvation: StarvationGuard::default(),
            missing_since: BTreeMap::new(),
            reservation_windows: BTreeMap::new(),
        }
    }

    /// Removes ended jobs, and records when unconfirmed hosts are first found and when the last of
    /// them is confirmed or expired.
    pub(crate) fn update_unconfirmed_state(&mut self, now: Micros) {
        self.remove_ended_jobs();
        match (self.has_unconfirmed_tasks(), self.unconfirmed_since) {
            (true, None) => {
                self.unconfirmed_since = Some(now);
                self.recovery.apply(recovery::Input::TakenOver, now);
            }
            (false, Some(since)) => {
                self.unconfirmed_since = None;
                let is_expired = |h: &&Host| h.fencing == crate::host::FencingState::LeaseExpired;
                let expired_hosts = self.hosts.values().filter(is_expired).count();
                self.events
                    .push(Event::AllHostsConfirmed(now - since, expired_hosts));
            }
            _ => {}
        }
    }

    /// Returns a new attempt, greater than all earlier ones. The order holds across failovers, also
    /// for attempts that no worker has reported yet, because the revision of the ownership grows.
    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.issued_attempts += 1;
        debug_assert!(self.issued_attempts < 1 << ATTEMPT_COUNTER_BITS);
        Attempt((self.owned_since.0 << ATTEMPT_COUNTER_BITS) + self.issued_attempts)
    }

    /// Returns whether any host may run unknown tasks of a previous owner.
    pub fn has_unconfirmed_tasks(&self) -> bool {
        self.hosts.values().any(Host::has_unconfirmed_tasks)
    }

    /// Returns the kinds of hosts that may run unknown tasks of a previous owner.
    pub(crate) fn unconfirmed_tasks(&self) -> UnconfirmedTasks {
        let mut unconfirmed = UnconfirmedTasks::default();
        for h in self.hosts.values().filter(|h| h.has_unconfirmed_tasks()) {
            let is_listed = unconfirmed
                .0
                .iter()
                .any(|(t, z, s)| t == &h.spec.machine_type && z == &h.zone && *s == h.spot);
            if !is_listed {
                unconfirmed
                    .0
                    .push((h.spec.machine_type.clone(), h.zone.clone(), h.spot));
            }
        }
        unconfirmed
    }

    /// Returns whether unknown tasks of this job may be running: the job is older than the current
    /// ownership, and one of the unconfirmed hosts is of a kind that the job may run on. A spot
    /// machine that was reclaimed without notice therefore does not delay jobs that never run on
    /// spot machines.
    ///
    /// Always false for a job that waits for its dependencies, because no owner has started it.
    pub(crate) fn may_run_unconfirmed(&self, job: &Job, unconfirmed: &UnconfirmedTasks) -> bool {
        job.readiness == Readiness::Open
            && job.created <= self.owned_since
            && unconfirmed.may_include(&job.request)
    }

    /// Updates the dependency status of a job; does nothing if the job is not known.
    pub fn set_dependency_status(&mut self, id: &JobId, status: DependencyStatus) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.needs_scheduling |= job.set_dependency_status(status);
        }
    }

    /// Adds a job from its record; does nothing if the job is known. `finished` lists the finished
    /// tasks in the record's run encoding, see `TaskSet::from_runs`.
    pub fn upsert_job(
        &mut self,
        request: &Rc<JobRequest>,
        created: Revision,
        submitted: Micros,
        finished: &[u32],
        // The number of failed attempts in the job's record, and the current time.
        (failed_attempts, now): (u32, Micros),
    ) {
        if !self.jobs.contains_key(&request.id) {
            let mut job = Job::new(request.clone(), created, submitted, finished);
            job.failures = FailureHistory::from_record(failed_attempts, now);
            job.failed_attempts_saved = failed_attempts;
            self.jobs.insert(request.id.clone(), job);
            self.needs_scheduling = true;
        }
    }

    /// Ends a job whose record has become final: releases its reservations and stops its live
    /// tasks.
    pub fn end_job(&mut self, id: &JobId, termination: Termination, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.termination.is_none() {
            job.termination = Some(termination);
            let reserved: Vec<u32> = job.reserved.keys().copied().collect();
            for i in reserved {
                self.release_reservation(id, i);
            }
            self.stop_all(id, Micros::ZERO, now);
        }
        self.remove_job_if_ended(id);
        self.needs_scheduling = true;
    }

    /// Adds a job that was cancelled under a previous owner and whose tasks may still run on
    /// unconfirmed hosts. Their resources count as used, so that the team's limit is not used a
    /// second time while they run.
    pub fn restore_cancelled(&mut self, id: &JobId, residual: &ResidualUsage, now: Micros) {
        let request = JobRequest {
            id: id.clone(),
            class: "".into(),
            team: residual.team.clone(),
            // An array, because its tasks are stopped one by one.
            shape: Shape::Array,
            priority: Priority::Low,
            tasks: residual.tasks,
            each: residual.each,
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

    /// Removes a job if it has ended and no live or unknown task of it can still run.
    fn remove_job_if_ended(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(|j| j.termination.is_some()) {
            let unconfirmed = self.unconfirmed_tasks();
            if self
                .jobs
                .get(id)
                .is_some_and(|j| self.is_fully_ended(j, &unconfirmed))
            {
                self.jobs.remove(id);
            }
        }
    }

    /// Returns whether a job has ended, has no live tasks and, if it was cancelled, no unconfirmed
    /// host may run its tasks.
    fn is_fully_ended(&self, job: &Job, unconfirmed: &UnconfirmedTasks) -> bool {
        let may_be_running = match job.termination {
            None => return false,
            Some(Termination::Done) => false,
            Some(Termination::Cancelled) => self.may_run_unconfirmed(job, unconfirmed),
        };
        job.live.is_empty() && !may_be_running
    }

    /// Removes all ended jobs of which no live or unknown task can still run.
    pub(crate) fn remove_ended_jobs(&mut self) {
        let unconfirmed = self.unconfirmed_tasks();
        let ended = self
            .jobs
            .iter()
            .filter(|(_, j)| self.is_fully_ended(j, &unconfirmed));
        for id in ended.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.jobs.remove(&id);
        }
    }

    /// Adds or updates a host from its record; ignores records of unknown machine types.
    /// `at_takeover`: whether a previous owner of the partition may have started tasks there.
    pub fn upsert_host(
        &mut self,
        id: &HostId,
        record: &HostRecord,
        version: Revision,
        at_takeover: bool,
        now: Micros,
    ) {
        // The greater of the revisions at which the ownership and the host's record were written.
        let token = FencingToken(version.0.max(self.owned_since.0));
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
                self.hosts_with_new_commands.insert(id.clone());
            }
        }
        self.needs_scheduling = true;
    }

    /// Removes a host whose record was deleted or assigned to another partition, which means that
    /// the machine is gone or was empty.
    pub fn remove_host(&mut self, id: &HostId, now: Micros) {
        self.apply(id, HostInput::LeaseExpiredOrRemoved, now);
        if let Some(host) = self.hosts.remove(id) {
            for reservation in host.queue {
                self.set_step(&reservation.task, TaskStep::Pending);
            }
        }
        self.hosts_with_new_commands.remove(id);
        self.needs_scheduling = true;
    }

    /// Applies the status of a worker from a heartbeat or from the response to a direct request.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, source: HeartbeatSource, now: Micros) {
        let previous = self
            .hosts
            .get(&heartbeat.host)
            .map(|h| (h.incarnation, h.last_answered_here));
        self.apply(
            &heartbeat.host,
            HostInput::Heartbeat(heartbeat, source),
            now,
        );
        // A worker begins a new incarnation only after a whole lease without a response. One that
        // does so within half a lease of an answered heartbeat does not receive the responses.
        if let Some((Some(incarnation), Some(answered))) = previous
            && self.hosts.get(&heartbeat.host).and_then(|h| h.incarnation) > Some(incarnation)
            && now - answered < self.config.lease.scale(0.5)
        {
            self.apply(&heartbeat.host, HostInput::ResponsesNotReceived, now);
        }
    }

    /// Applies an event to a host and the resulting changes of tasks to their jobs.
    pub fn apply(&mut self, id: &HostId, input: HostInput<'_>, now: Micros) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        for output in host.apply(input, now) {
            self.needs_scheduling = true;
            match output {
                HostOutput::Fenced => {}
                HostOutput::Running(task) => {
                    let entry = self.hosts.get(id).and_then(|host| host.tasks.get(&task));
                    self.start_delays
                        .extend(entry.map(|entry| now - entry.ordered_at));
                    if let Some(job) = self.jobs.get_mut(&task.job) {
                        job.mark_running(task.index);
                        if let Some(host) = self.hosts.get_mut(id) {
                            host.mark_image_used(&job.request.image, job.request.image_gb);
                        }
                    }
                    self.schedule_overrun_check(id, &task);
                }
                HostOutput::UnknownTaskFound(task, attempt) => {
                    self.task_found(id, &task, attempt, now)
                }
                HostOutput::ClearedAttemptReported(task, attempt) => {
                    let host = id.clone();
                    self.events.push(Event::ClearedAttemptReported {
                        task,
                        attempt,
                        host,
                    });
                }
                HostOutput::Ended(task, cause) => self.task_ended(id, &task, cause, now),
            }
        }
    }

    /// Returns the job's estimated run time, corrected by the run time ratio observed for its
    /// class.
    pub fn estimate(&self, request: &JobRequest) -> Micros {
        request.estimate.scale(
            self.run_time_ratios
                .get(&request.class)
                .copied()
                .unwrap_or(1.0),
        )
    }

    /// Changes the step of a task and updates the resources that its team uses.
    pub(crate) fn set_step(&mut self, task: &TaskId, to: TaskStep) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let was_live = job.live.contains_key(&task.index);
        job.set(task.index, to);
        let is_live = job.live.contains_key(&task.index);
        let (team, each) = (job.request.team.clone(), job.request.each);
        let used = self.used_by_team.entry(team).or_default();
        if is_live && !was_live {
            *used += each;
        } else if was_live && !is_live {
            *used -= each;
        }
    }

    /// Releases the reservation of task `i` of a job, if it has one; the task becomes pending.
    pub(crate) fn release_reservation(&mut self, id: &JobId, i: u32) {
        let Some(host) = self.jobs.get(id).and_then(|j| j.reserved.get(&i)).cloned() else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(&host) {
            host.queue
                .retain(|r| r.task.index != i || &r.task.job != id);
        }
        self.set_step(&TaskId::new(id, i), TaskStep::Pending);
    }

    /// Stops a task, which has the time `grace` to save a checkpoint.
    pub fn stop(&mut self, host: &HostId, task: &TaskId, grace: Micros, now: Micros) {
        self.apply(host, HostInput::Stop(task, grace), now);
        self.hosts_with_new_commands.insert(host.clone());
    }

    /// Stops all live tasks of a job, each of which has the time `grace` to save a checkpoint.
    pub fn stop_all(&mut self, id: &JobId, grace: Micros, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let live: Vec<(u32, HostId)> = job.live.iter().map(|(i, h)| (*i, h.clone())).collect();
        for (i, host) in live {
            self.stop(&host, &TaskId::new(id, i), grace, now);
        }
    }

    /// Returns the resources that the team's live tasks use, plus those that unknown tasks of its
    /// jobs may use.
    pub fn team_usage(&self, team: &Name) -> Resources {
        let mut used = self.used_by_team.get(team).copied().unwrap_or_default();
        let unconfirmed = self.unconfirmed_tasks();
        for job in self.jobs.values() {
            if &job.request.team == team && self.may_run_unconfirmed(job, &unconfirmed) {
                used += job.unconfirmed_use();
            }
        }
        used
    }

    /// Iterates over the jobs whose records lack results or failed attempts that are known here.
    ///
    /// Computed from the state of the jobs, so that a result is found whichever event completed it:
    /// a report, the expiry of a lease or the removal of a host.
    pub fn jobs_with_results_to_save(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| job.has_results_to_save())
    }

    /// Records that the results of these tasks and the number of failed attempts are stored in the
    /// job's record.
    pub fn mark_results_saved(&mut self, id: &JobId, tasks: &BTreeSet<u32>, failed_attempts: u32) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.failed_attempts_saved = failed_attempts;
            for i in tasks {
                if job.done.contains(*i) {
                    job.unsaved_tasks.remove(i);
                }
            }
        }
    }
}
