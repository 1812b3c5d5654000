//! Types for the routes that commands and heartbeats take.

use jasperhill_wire::{HostId, Member, Name};
use std::net::SocketAddr;

/// The route by which commands get to a worker.
pub(crate) enum CommandRoute {
    /// The commands are sent directly to the worker.
    Direct,
    /// The commands are relayed by another controller, which has this mesh address.
    Through(SocketAddr),
    /// The worker can't be reached; the commands wait for its next heartbeat.
    None,
}

/// The route of a heartbeat whose partition another controller owns.
pub(crate) enum HeartbeatRoute {
    /// The worker is redirected to the named controller, which can relay its heartbeats to the owner.
    Redirect(Member),
    /// The worker was redirected and has returned, so the heartbeat is relayed through the named
    /// controller.
    Through(Member),
    /// The heartbeat is relayed to its owner; if the relay fails, the worker is not redirected to the
    /// owner.
    RelayOnly,
    /// The heartbeat is relayed to its owner; if the relay fails, the worker may be redirected to the
    /// owner. The owner decides whether the worker can reach it directly, since only the owner knows
    /// which workers it has answered.
    RelayFirst,
}

/// A worker that a request is sent to.
#[derive(Clone, Copy)]
pub(crate) struct Worker<'a> {
    /// The worker's host.
    pub host: &'a HostId,
    /// The zone of the host.
    pub zone: &'a Name,
    /// The number of hosts that a failure of this worker is weighed against when the link to its zone
    /// is judged.
    pub host_count: usize,
    /// The address that the worker listens on.
    pub address: SocketAddr,
}
