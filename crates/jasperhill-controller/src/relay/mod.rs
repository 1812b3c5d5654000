//! Link observation and relaying around network partitions. This module records observations of this
//! controller's links in [`jasperhill_membership::Reachability`], exchanges reachability reports with
//! the other controllers, relays heartbeats to owners that their workers can't reach, and relays
//! commands to workers that their owners can't reach.
//!
//! The state is [`state::RelayState`]. This module changes that state, and `heartbeats` records
//! redirects and probes in it.
//!
//! Invariant: a relay adds nothing to what it relays, so this module never decides which tasks may run.
//! The response to a relayed heartbeat is the owner's, with the owner's fencing token and authority. A
//! relayed command that is not answered is in doubt for its owner exactly as a command that the owner
//! sent directly.

mod commands;
mod eligibility;
mod heartbeats;
mod isolation;
mod reachability;
pub mod requests;
mod route;
mod routing;
pub mod slots;
pub mod state;
mod zone_probes;

pub(crate) use self::route::{CommandRoute, HeartbeatRoute, Worker};
