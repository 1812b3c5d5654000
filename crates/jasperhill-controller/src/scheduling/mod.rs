//! Runs the scheduler: hands it what changes in the store, makes a pass after changes and every second,
//! and sends out what it decides. Owns [`state::SchedulingState`]; the decisions themselves are those of
//! `jasperhill_scheduler`.

mod cache_changes;
pub mod state;
mod waiting;

use crate::{
    clock::to_duration,
    shared::Shared,
    state::State,
    watch_cache::{ActiveJob, JobEntry},
};
use jasperhill_scheduler::{
    FencingState, Host, Partition,
    dependencies::DependencyState,
    job::{DependencyStatus, Readiness, Termination},
    partition::Event,
};
use jasperhill_wire::{HostId, JobId, Micros, record::RecordPhase};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// How long changes are gathered before a pass, at least.
const GATHER_MIN: Duration = Duration::from_millis(10);
/// How much longer changes are gathered for each job that waits.
const GATHER_PER_JOB: Duration = Duration::from_micros(60);
/// How much longer changes are gathered, at most: bounds how late a pass comes behind a long backlog.
const GATHER_EXTRA_MAX: Duration = Duration::from_millis(250);
/// Waiting jobs that count for the time to gather, at most; it reaches its maximum with fewer.
const GATHER_JOBS_MAX: usize = 10_000;
/// There is a pass at least this often, for what only time changes.
const TICK: Micros = Micros::from_secs(1);

impl Shared {
    /// What the dependency graph says of a job, with times by the steady clock.
    pub fn dependency_status(&self, state: &State, job: &ActiveJob) -> DependencyStatus {
        let id = &job.request.id;
        let urgency = state.cache.dependencies.inherited_urgency(id);
        DependencyStatus {
            readiness: match state.cache.dependencies.state_of(id) {
                DependencyState::Ready => Readiness::Open,
                _ => Readiness::Waiting,
            },
            since: match state.scheduling.released.get(id) {
                Some(at) => *at,
                None => self.clock.steady(job.submitted),
            },
            due: urgency.due.map(|due| self.clock.steady(due)),
            priority: urgency.priority,
        }
    }

    /// A job's record or its dependency status has changed. Whether a pass could make use of it.
    fn job_changed(&self, state: &mut State, id: &JobId, now: Micros) -> bool {
        if let Some((phase, _)) = state.cache.final_phase(id) {
            let termination = match phase {
                RecordPhase::Done => Termination::Done,
                _ => Termination::Cancelled,
            };
            state.scheduling.released.remove(id);
            for partition in state.scheduling.partitions.values_mut() {
                partition.end_job(id, termination, now);
            }
            return true;
        }
        let Some(JobEntry::Active(job)) = state.cache.job(id) else {
            return false;
        };
        let Some(p) = self.partition_of(&job.request.team) else {
            return false;
        };
        let status = self.dependency_status(state, job);
        let submitted = self.clock.steady(job.submitted);
        let Some(partition) = state.scheduling.partitions.get_mut(&p) else {
            return false;
        };
        let failures = (job.failed_attempts, now);
        let (request, version) = (&job.request, job.version);
        partition.upsert_job(request, version, submitted, &job.finished, failures);
        partition.set_dependency_status(id, status);
        true
    }

    /// A host's record has changed.
    fn host_changed(&self, state: &mut State, id: &HostId, now: Micros) {
        let record = state.cache.hosts.get(id).cloned();
        let owner = record.as_ref().and_then(|k| k.value.partition());
        for (p, partition) in &mut state.scheduling.partitions {
            match &record {
                Some(entry) if owner == Some(*p) => {
                    partition.upsert_host(id, &entry.value, entry.version, false, now);
                }
                _ if partition.hosts.contains_key(id) => partition.remove_host(id, now),
                _ => {}
            }
        }
        if owner.is_none() {
            state.provisioning.returning.remove(id);
        }
    }

    /// How long changes are gathered before the next pass. Guards against passes through a long
    /// backlog for every change: a pass costs as much as there are waiting jobs, and with more of
    /// them none has to start within milliseconds.
    fn gather_period(&self) -> Duration {
        let state = self.state.borrow();
        let backlog: usize = state
            .scheduling
            .partitions
            .values()
            .map(|p| p.backlog)
            .sum();
        let extra = GATHER_PER_JOB * backlog.min(GATHER_JOBS_MAX) as u32;
        GATHER_MIN + extra.min(GATHER_EXTRA_MAX)
    }

    /// The loop that decides: after changes, and every second for what only time changes.
    pub async fn pass_loop(self: Rc<Self>) {
        let mut ticked = self.now();
        loop {
            let changed = self.wake.scheduler.notified();
            if timeout(to_duration(TICK), changed).await.is_ok() {
                // Changes come in groups.
                sleep(self.gather_period()).await;
            }
            // In a large deployment something changes all the time: the tick comes all the
            // same, or hosts that did not answer after a failover were never asked again.
            self.note_activity();
            let now = self.now();
            let tick = now - ticked >= TICK;
            if tick {
                ticked = now;
            }
            self.clone().scheduling_pass(tick);
        }
    }

    /// One pass over all partitions, and the commands and writes that follow from it. Does nothing
    /// without authority. `tick`: a second has passed since the last pass with it.
    pub fn scheduling_pass(self: Rc<Self>, tick: bool) {
        let now = self.now();
        let mut hosts_to_command = Vec::new();
        let mut state = self.state.borrow_mut();
        if !state.authority.holds(now) {
            return;
        }
        for (p, partition) in &mut state.scheduling.partitions {
            if tick {
                mark_unfenced_hosts(partition);
                log_unusable_hosts(*p, partition, now);
            }
            if tick || partition.changed {
                partition.run_cycle(now);
            }
            for event in partition.events.drain(..) {
                log_event(&event);
            }
            for host in std::mem::take(&mut partition.dirty) {
                hosts_to_command.push((*p, host));
            }
        }
        drop(state);
        self.queue_commands(hosts_to_command, tick);
        self.clone().save_results();
        self.clone().write_cancelled();
        self.raise_tokens();
    }

    /// Drops all that this controller acts on as an owner, at once: the session is gone. `reason` is
    /// for the log.
    pub fn drop_ownership(&self, state: &mut State, reason: &str) {
        let partitions: Vec<u32> = state.scheduling.partitions.keys().copied().collect();
        if !partitions.is_empty() || state.provisioning.leader.is_some() {
            tracing::info!(
                ?partitions,
                leader = state.provisioning.leader.is_some(),
                reason,
                "authority lost"
            );
        }
        state.scheduling.partitions.clear();
        state.provisioning.leader = None;
    }
}

/// Has the hosts that have not shown the fencing token yet asked again.
fn mark_unfenced_hosts(partition: &mut Partition) {
    let unfenced = |host: &&Host| matches!(host.fencing, FencingState::Unfenced { .. });
    let hosts = partition.hosts.values().filter(unfenced);
    let hosts: Vec<HostId> = hosts.map(|host| host.id.clone()).collect();
    partition.dirty.extend(hosts);
}

/// Logs, at `debug`, how many hosts get no tasks, by reason.
fn log_unusable_hosts(p: u32, partition: &Partition, now: Micros) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let [unknown, lapsed, doubt, silent, aside, draining] = partition.unusable(now);
    tracing::debug!(
        partition = p,
        hosts = partition.hosts.len(),
        unknown,
        lease_expired = lapsed,
        command_in_doubt = doubt,
        silent,
        quarantined = aside,
        draining,
        "hosts that get no tasks"
    );
}

/// Logs what a pass has noticed.
fn log_event(event: &Event) {
    match event {
        Event::HostLost(host) => tracing::info!(%host, "host lost: its lease has expired"),
        Event::HostQuarantined(host) => {
            tracing::info!(%host, "host quarantined: it fails what it starts")
        }
        Event::Failed(task, host, ran) => {
            tracing::debug!(%task, %host, ran_s = ran.as_secs_f64(), "task failed");
        }
        Event::JobBackingOff(job) => {
            tracing::info!(%job, "job backs off: it fails wherever it runs")
        }
        Event::Stopped(task, host, why) => tracing::info!(%task, %host, why, "task stopped"),
        Event::HostSlow(host, times) => {
            tracing::info!(%host, times, "straggler: tasks overrun there")
        }
        Event::Starved(group, Some(s)) => tracing::info!(
            ?group,
            share = s.share,
            waiting = s.waiting,
            "below its minimum share"
        ),
        Event::Starved(group, None) => tracing::info!(?group, "at its minimum share again"),
        Event::ProductionRecovered(r) => tracing::info!(
            after_s = r.after.as_secs_f64(),
            lost = r.lost,
            overtaken = r.overtaken,
            "production recovered"
        ),
        Event::AllHostsConfirmed(after, lapsed) => tracing::info!(
            after_s = after.as_secs_f64(),
            lapsed,
            "all hosts confirmed after the failover"
        ),
        Event::UnexpectedTask(task, host, why) => tracing::warn!(%task, %host, why, "task stopped"),
    }
}
