//! What a partition answers and tells.

use crate::{
    recovery::Recovered,
    starvation::{Group, ServedShare},
};
use jasperhill_wire::{HostId, JobId, Micros, TaskId};

/// The answer of the admission test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It can be done in time.
    Admit,
    /// It, or an admitted job, would miss its deadline.
    Refuse,
}

/// Something that operators want to read about.
#[derive(Clone, Debug)]
pub enum Event {
    /// Its lease has expired.
    HostLost(HostId),
    /// It fails what it starts.
    HostQuarantined(HostId),
    /// It fails wherever it runs.
    JobBackingOff(JobId),
    /// A task failed after running for so long.
    Failed(TaskId, HostId, Micros),
    /// A task is stopped, and why.
    Stopped(TaskId, HostId, &'static str),
    /// A worker runs what it should not, and why not; it is stopped.
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
