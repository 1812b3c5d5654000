//! The reasons for which jobs of a partition wait. They are computed on demand for the log; the
//! scheduling cycle does not maintain them.

use crate::{
    cycle::context::Cycle,
    job::{Job, Readiness},
    partition::Partition,
};
use jasperhill_wire::{JobId, Micros, Name};
use std::collections::BTreeMap;

/// The reason for which a job without running tasks waits: the first stage of the scheduling cycle
/// that rejects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// Jobs that the job depends on have not finished.
    Dependencies,
    /// Hosts may still run tasks of the job that were started before a failover.
    UnconfirmedTasks,
    /// The job must not be retried yet after a failure or a refused start.
    Backoff,
    /// The job would exceed its team's limit, or what is left of the limit is reserved for another
    /// job.
    TeamLimit,
    /// Tasks are being preempted on hosts to make room for the job.
    Preemption,
    /// Some of the hosts that are reserved for the job's gang are not free yet.
    ReservedHosts,
    /// Tasks of the job have reservations in the queues of hosts.
    HostQueue,
    /// No host has enough free resources.
    Capacity,
}

/// A summary of the jobs of one class that wait for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJobs {
    /// Number of waiting jobs.
    pub jobs: usize,
    /// The job that has waited longest.
    pub oldest: JobId,
    /// How long `oldest` has waited.
    pub longest_wait: Micros,
    /// Number of tasks of `oldest`.
    pub oldest_task_count: u32,
}

impl Partition {
    /// Returns a summary of the jobs without running tasks by class and reason.
    pub fn waiting_jobs(&self, now: Micros) -> BTreeMap<(Name, WaitReason), WaitingJobs> {
        let cycle = self.begin_cycle(now);
        let mut waiting: BTreeMap<(Name, WaitReason), WaitingJobs> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_waiting()) {
            let key = (job.request.class.clone(), self.wait_reason(&cycle, job));
            let summary = WaitingJobs {
                jobs: 1,
                oldest: job.request.id.clone(),
                longest_wait: now - job.waiting_since(),
                oldest_task_count: job.request.tasks,
            };
            let entry = waiting.entry(key);
            entry
                .and_modify(|total| total.merge(&summary))
                .or_insert(summary);
        }
        waiting
    }

    /// Returns the reason for which a waiting job does not start.
    fn wait_reason(&self, cycle: &Cycle, job: &Job) -> WaitReason {
        if job.readiness == Readiness::Waiting {
            WaitReason::Dependencies
        } else if self.may_run_unconfirmed(job, &cycle.unconfirmed) {
            WaitReason::UnconfirmedTasks
        } else if job.failures.is_backing_off() || cycle.now < job.not_before {
            WaitReason::Backoff
        } else if !self.may_start(cycle, &job.request, job.tasks_to_begin()) {
            WaitReason::TeamLimit
        } else if !job.awaited_capacity.is_empty() {
            WaitReason::Preemption
        } else if job.gang_hosts.is_some() {
            WaitReason::ReservedHosts
        } else if !job.reserved.is_empty() {
            WaitReason::HostQueue
        } else {
            WaitReason::Capacity
        }
    }
}

impl WaitingJobs {
    /// Adds the jobs of `other` and keeps the job that has waited longest.
    fn merge(&mut self, other: &Self) {
        let jobs = self.jobs + other.jobs;
        if other.longest_wait > self.longest_wait {
            *self = other.clone();
        }
        self.jobs = jobs;
    }
}
