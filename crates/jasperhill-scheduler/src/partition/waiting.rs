//! Why jobs of a partition wait: looked up for the log, not kept up to date by the cycle.

use crate::{
    cycle::context::Cycle,
    job::{Job, Readiness},
    partition::Partition,
};
use jasperhill_wire::{JobId, Micros, Name};
use std::collections::BTreeMap;

/// What a job with nothing running waits for: the first stage of the cycle that turns it away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// For jobs that it depends on.
    Dependencies,
    /// For hosts that may still run tasks of it from before a takeover.
    UnconfirmedTasks,
    /// For its next attempt after failures.
    Backoff,
    /// For its team to come below its limit.
    TeamLimit,
    /// For the hosts that are being cleared for it.
    Preemption,
    /// For the last of the hosts that it keeps free as a gang.
    ReservedHosts,
    /// For its turn in the queues of hosts.
    HostQueue,
    /// For hosts with room.
    Capacity,
}

/// The waiting jobs of one class for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingJobs {
    /// How many there are.
    pub jobs: usize,
    /// The one that has waited for the longest.
    pub oldest: JobId,
    /// For how long.
    pub longest: Micros,
    /// How many tasks it has.
    pub tasks: u32,
}

impl Partition {
    /// The jobs that have nothing running, by class and reason.
    pub fn waiting_jobs(&self, now: Micros) -> BTreeMap<(Name, WaitReason), WaitingJobs> {
        let cycle = self.begin_cycle(now);
        let mut waiting: BTreeMap<(Name, WaitReason), WaitingJobs> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_waiting()) {
            let key = (job.request.class.clone(), self.wait_reason(&cycle, job));
            let found = WaitingJobs {
                jobs: 1,
                oldest: job.request.id.clone(),
                longest: now - job.waiting_since(),
                tasks: job.request.tasks,
            };
            let known = waiting.entry(key);
            known.and_modify(|known| known.add(&found)).or_insert(found);
        }
        waiting
    }

    fn wait_reason(&self, cycle: &Cycle, job: &Job) -> WaitReason {
        if job.readiness == Readiness::Waiting {
            WaitReason::Dependencies
        } else if self.may_run_unconfirmed(job, &cycle.unconfirmed) {
            WaitReason::UnconfirmedTasks
        } else if job.failures.is_backing_off() || cycle.now < job.not_before {
            WaitReason::Backoff
        } else if !self.may_start(cycle, &job.request, job.tasks_to_begin()) {
            WaitReason::TeamLimit
        } else if !job.preempting.is_empty() {
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
    fn add(&mut self, other: &Self) {
        let jobs = self.jobs + other.jobs;
        if other.longest > self.longest {
            *self = other.clone();
        }
        self.jobs = jobs;
    }
}
