//! The routes of commands and heartbeats.

use jasperhill_wire::{HostId, Member, Name};
use std::net::SocketAddr;

/// How commands get to a worker.
pub(crate) enum CommandRoute {
    /// Straight to the worker.
    Direct,
    /// By the controller with this mesh address.
    Through(SocketAddr),
    /// Not at all: they wait for the next heartbeat.
    None,
}

/// Where a heartbeat goes that another controller owns.
pub(crate) enum HeartbeatRoute {
    /// The worker is redirected to that controller.
    Redirect(Member),
    /// The worker was there and came back: the heartbeat is relayed by that controller.
    Through(Member),
    /// The heartbeat is relayed to its owner.
    RelayOnly,
    /// The same, unless that fails: then the worker may try itself. The owner decides whether it reaches
    /// the worker, since it alone knows whom it has answered.
    RelayFirst,
}

/// A worker that a request is sent to.
#[derive(Clone, Copy)]
pub(crate) struct Worker<'a> {
    /// The worker's host.
    pub host: &'a HostId,
    /// The zone of the host.
    pub zone: &'a Name,
    /// How many hosts the failure of this one is weighed against, when the link to its zone is judged.
    pub host_count: usize,
    /// Where the worker listens.
    pub address: SocketAddr,
}
