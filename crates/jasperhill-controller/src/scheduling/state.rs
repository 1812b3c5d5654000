//! The state of this controller's scheduler. It is modified by `scheduling` (scheduling passes and
//! watch cache changes), by `roles` (loading and dropping partitions) and by `users` (rejected
//! jobs).

use jasperhill_scheduler::{Partition, config::Specs};
use jasperhill_wire::{JobId, Micros};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

/// The partitions that this controller schedules, and the data shared between them.
#[derive(Default)]
pub(crate) struct SchedulingState {
    /// The partitions that this controller owns and has loaded.
    pub partitions: BTreeMap<u32, Partition>,
    /// The machine types; `None` until they have been read from the store.
    pub machine_types: Option<Rc<Specs>>,
    /// The time at which each unfinished job with dependencies became ready, by the steady clock.
    pub ready_since: HashMap<JobId, Micros>,
    /// Jobs that the admission test rejected. Remembered so that the deadline of a retry still counts
    /// from the first submission.
    pub rejected_jobs: BTreeMap<JobId, RejectedJob>,
}

/// A job that the admission test rejected and that may be submitted again.
pub(crate) struct RejectedJob {
    /// Time of the first submission, by the steady clock.
    pub first_submitted: Micros,
    /// Time of the last submission, by the steady clock.
    pub last_submitted: Micros,
    /// The partition that would run the job.
    pub partition: u32,
    /// Number of hosts that the job would need.
    pub needed_hosts: f64,
}
