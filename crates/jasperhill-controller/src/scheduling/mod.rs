//! Runs the scheduler: applies store changes to the partitions, runs a scheduling pass after
//! changes and every second, and sends the resulting commands and writes. Owns
//! [`state::SchedulingState`]; the scheduling decisions are made by `jasperhill_scheduler`.

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

/// Minimum delay between the first change and the scheduling pass, in which further changes are
/// batched.
const BATCH_DELAY_MIN: Duration = Duration::from_millis(10);
/// Addition to the batching delay per waiting job.
const BATCH_DELAY_PER_JOB: Duration = Duration::from_micros(60);
/// Maximum addition to the batching delay; limits the delay of a pass when the backlog is long.
const BATCH_DELAY_EXTRA_MAX: Duration = Duration::from_millis(250);
/// Maximum number of waiting jobs that count for the batching delay. The delay reaches its maximum with
/// fewer jobs.
const BATCH_DELAY_JOBS_MAX: usize = 10_000;
/// Maximum interval between passes. Regular passes handle conditions that change only with time.
const TICK_INTERVAL: Micros = Micros::from_secs(1);

impl Shared {
    /// Returns the dependency status of a job according to the dependency graph, with times by the
    /// steady clock.
    pub fn dependency_status(&self, state: &State, job: &ActiveJob) -> DependencyStatus {
        let id = &job.request.id;
        let urgency = state.cache.dependencies.inherited_urgency(id);
        DependencyStatus {
            readiness: match state.cache.dependencies.state_of(id) {
                DependencyState::Ready => Readiness::Open,
                _ => Readiness::Waiting,
            },
            since: match state.scheduling.ready_since.get(id) {
                Some(at) => *at,
                None => self.clock.steady(job.submitted),
            },
            due: urgency.due.map(|due| self.clock.steady(due)),
            priority: urgency.priority,
        }
    }

    /// Updates the partitions after a change of a job's record or dependency status. Returns
    /// whether the change could affect a scheduling pass.
    fn apply_job_change(&self, state: &mut State, id: &JobId, now: Micros) -> bool {
        if let Some((phase, _)) = state.cache.final_phase(id) {
            let termination = match phase {
                RecordPhase::Done => Termination::Done,
                _ => Termination::Cancelled,
            };
            state.scheduling.ready_since.remove(id);
            for partition in state.scheduling.partitions.values_mut() {
                partition.end_job(id, termination, now);
            }
            return true;
        }
        let Some(JobEntry::Active(job)) = state.cache.job(id) else {
            return false;
        };
        let Some(partition_id) = self.partition_of(&job.request.team) else {
            return false;
        };
        let status = self.dependency_status(state, job);
        let submitted = self.clock.steady(job.submitted);
        let Some(partition) = state.scheduling.partitions.get_mut(&partition_id) else {
            return false;
        };
        let failures = (job.failed_attempts, now);
        let (request, version) = (&job.request, job.version);
        partition.upsert_job(request, version, submitted, &job.finished_runs, failures);
        partition.set_dependency_status(id, status);
        true
    }

    /// Updates the partitions after a change of a host's record.
    fn apply_host_change(&self, state: &mut State, id: &HostId, now: Micros) {
        let record = state.cache.hosts.get(id).cloned();
        let owner_partition = record.as_ref().and_then(|entry| entry.value.partition());
        for (partition_id, partition) in &mut state.scheduling.partitions {
            match &record {
                Some(entry) if owner_partition == Some(*partition_id) => {
                    partition.upsert_host(id, &entry.value, entry.version, false, now);
                }
                _ if partition.hosts.contains_key(id) => partition.remove_host(id, now),
                _ => {}
            }
        }
        if owner_partition.is_none() {
            state.provisioning.machines_to_return.remove(id);
        }
    }

    /// Returns the batching delay before the next pass, which grows with the backlog. The cost of a
    /// pass is proportional to the number of waiting jobs, so that a pass for every change is too
    /// expensive with a long backlog; and with a long backlog no job has to start within
    /// milliseconds.
    fn batch_delay(&self) -> Duration {
        let state = self.state.borrow();
        let backlog: usize = state
            .scheduling
            .partitions
            .values()
            .map(|p| p.last_cycle_job_count)
            .sum();
        let extra_delay = BATCH_DELAY_PER_JOB * backlog.min(BATCH_DELAY_JOBS_MAX) as u32;
        BATCH_DELAY_MIN + extra_delay.min(BATCH_DELAY_EXTRA_MAX)
    }

    /// Runs a scheduling pass after changes, and at least every [`TICK_INTERVAL`] for conditions
    /// that change only with time.
    pub async fn pass_loop(self: Rc<Self>) {
        let mut last_tick = self.now();
        loop {
            let change_notified = self.wakeups.scheduler.notified();
            if timeout(to_duration(TICK_INTERVAL), change_notified)
                .await
                .is_ok()
            {
                // Changes come in groups: batch them into one pass.
                sleep(self.batch_delay()).await;
            }
            // In a large deployment changes never pause. The tick does not depend on a pause, since
            // otherwise hosts that did not answer after a failover would never be asked again.
            self.note_activity();
            let now = self.now();
            let is_tick = now - last_tick >= TICK_INTERVAL;
            if is_tick {
                last_tick = now;
            }
            self.clone().scheduling_pass(is_tick);
        }
    }

    /// Runs one scheduling pass over all owned partitions and queues the resulting commands and
    /// writes. Does nothing without authority. `is_tick`: whether [`TICK_INTERVAL`] has passed
    /// since the last pass with `is_tick`; such a pass covers partitions without changes too.
    pub fn scheduling_pass(self: Rc<Self>, is_tick: bool) {
        let now = self.now();
        let mut hosts_to_command = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if !state.authority.is_valid_at(now) {
            return;
        }
        for (partition_id, partition) in &mut state.scheduling.partitions {
            if is_tick {
                mark_unfenced_hosts(partition);
                log_unschedulable_hosts(*partition_id, partition, now);
            }
            if is_tick || partition.needs_scheduling {
                partition.run_cycle(now);
            }
            for event in partition.events.drain(..) {
                if matches!(event, Event::ClearedAttemptReported { .. }) {
                    state.commands.metrics.counts.cleared_attempts_reported += 1;
                }
                log_event(&event);
            }
            for delay in partition.start_delays.drain(..) {
                state.commands.metrics.record_start(delay);
            }
            for host in std::mem::take(&mut partition.hosts_with_new_commands) {
                hosts_to_command.push((*partition_id, host));
            }
        }
        drop(state_guard);
        self.queue_commands(hosts_to_command, is_tick);
        self.clone().save_results();
        self.clone().cancel_dependents();
        self.raise_tokens();
    }

    /// Drops all partitions and the leader role immediately, because the session has ended. `reason` is
    /// logged.
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

/// Marks the hosts that have not reported the fencing token yet, so that they are queried again.
fn mark_unfenced_hosts(partition: &mut Partition) {
    let unfenced = |host: &&Host| matches!(host.fencing, FencingState::Unfenced { .. });
    let hosts = partition.hosts.values().filter(unfenced);
    let hosts: Vec<HostId> = hosts.map(|host| host.id.clone()).collect();
    partition.hosts_with_new_commands.extend(hosts);
}

/// Logs at `debug` the number of hosts on which no tasks can be placed, by reason.
fn log_unschedulable_hosts(partition_id: u32, partition: &Partition, now: Micros) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let [
        unconfirmed,
        lease_expired,
        command_in_doubt,
        silent,
        quarantined,
        draining,
    ] = partition.unusable_host_counts(now);
    tracing::debug!(
        partition = partition_id,
        hosts = partition.hosts.len(),
        unconfirmed,
        lease_expired,
        command_in_doubt,
        silent,
        quarantined,
        draining,
        "unschedulable hosts"
    );
}

/// Logs an event of a scheduling pass.
fn log_event(event: &Event) {
    match event {
        Event::HostLost(host) => tracing::info!(%host, "host lost: its lease has expired"),
        Event::HostQuarantined(host) => {
            tracing::info!(%host, "host quarantined: it fails what it starts")
        }
        Event::Failed(task, host, run_time) => {
            tracing::debug!(%task, %host, ran_s = run_time.as_secs_f64(), "task failed");
        }
        Event::JobBackingOff(job) => {
            tracing::info!(%job, "job backs off: it fails wherever it runs")
        }
        Event::Stopped(task, host, why) => tracing::info!(%task, %host, why, "task stopped"),
        Event::HostSlow(host, times) => {
            tracing::info!(%host, times, "straggler: tasks overrun there")
        }
        Event::Starved(group, Some(served)) => tracing::info!(
            ?group,
            share = served.share,
            waiting = served.waiting,
            "below its minimum share"
        ),
        Event::Starved(group, None) => tracing::info!(?group, "at its minimum share again"),
        Event::ProductionRecovered(recovery) => tracing::info!(
            after_s = recovery.after.as_secs_f64(),
            lost = recovery.lost,
            overtaken = recovery.overtaken,
            "production recovered"
        ),
        Event::AllHostsConfirmed(after, lapsed) => tracing::info!(
            after_s = after.as_secs_f64(),
            lapsed,
            "all hosts confirmed after the failover"
        ),
        Event::UnexpectedTask(task, host, why) => tracing::warn!(%task, %host, why, "task stopped"),
        Event::ClearedAttemptReported {
            task,
            attempt,
            host,
        } => {
            tracing::warn!(%task, %attempt, %host, "worker reports an attempt that was cleared")
        }
    }
}
