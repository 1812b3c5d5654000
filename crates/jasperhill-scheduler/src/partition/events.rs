//! Results of a partition for its caller: admission decisions and events for the log.

use crate::{
    recovery::Recovered,
    starvation::{Group, GroupShare},
};
use jasperhill_wire::{Attempt, HostId, JobId, Micros, TaskId};

/// The result of the admission test for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job can finish by its deadline.
    Admit,
    /// The job, or one that was admitted before, would miss its deadline.
    Refuse,
}

/// An event that is logged for operators.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease of this host's worker has expired.
    HostLost(HostId),
    /// The host was quarantined because the tasks that it starts fail.
    HostQuarantined(HostId),
    /// The job backs off because it fails on every host.
    JobBackingOff(JobId),
    /// A task failed on this host after running for this time.
    Failed(TaskId, HostId, Micros),
    /// A task is stopped on this host for this reason.
    Stopped(TaskId, HostId, &'static str),
    /// A worker runs a task that it should not, for this reason; the task is stopped.
    UnexpectedTask(TaskId, HostId, &'static str),
    /// A worker reports an attempt of a task that it had cleared: a late copy of the start command
    /// was executed.
    ClearedAttemptReported {
        /// The task.
        task: TaskId,
        /// The attempt that was cleared.
        attempt: Attempt,
        /// The worker's host.
        host: HostId,
    },
    /// The host is slow: its tasks take this many times as long as expected.
    HostSlow(HostId, f64),
    /// A job class or team has fallen below its minimum share, with its present share and waiting
    /// jobs. `None`: it has reached its minimum share again.
    Starved(Group, Option<GroupShare>),
    /// Production jobs have recovered from a loss of replicas.
    ProductionRecovered(Recovered),
    /// After a failover, no host can run unknown tasks any more: the time that this took, and the
    /// number of hosts for which it is known only because their leases expired.
    AllHostsConfirmed(Micros, usize),
}
