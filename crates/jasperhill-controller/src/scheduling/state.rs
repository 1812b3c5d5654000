//! The state that the scheduler of this controller works on. Changed by `scheduling` (passes, changes of
//! the watch cache), by `roles` (partitions that are loaded and dropped) and by `users` (rejected jobs).

use jasperhill_scheduler::{Partition, config::Specs};
use jasperhill_wire::{JobId, Micros};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

/// What the scheduler works on.
#[derive(Default)]
pub(crate) struct SchedulingState {
    /// The partitions that this controller owns and has loaded.
    pub partitions: BTreeMap<u32, Partition>,
    /// The machine types, once they are known.
    pub specs: Option<Rc<Specs>>,
    /// When unfinished jobs that waited for others became ready, by the steady clock.
    pub released: HashMap<JobId, Micros>,
    /// Jobs that the admission test rejected, so that a retry does not get more time.
    pub rejected: BTreeMap<JobId, RejectedJob>,
}

/// A job that the admission test rejected and that may come again.
pub(crate) struct RejectedJob {
    /// When it was first submitted, by the steady clock.
    pub first: Micros,
    /// When it was last submitted, by the steady clock.
    pub last: Micros,
    /// The partition that would run it.
    pub partition: u32,
    /// The hosts it would need.
    pub hosts: f64,
}
