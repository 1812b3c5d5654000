//! What this controller learns of its links, and the ways round a partition of the network: it feeds
//! [`jasperhill_membership::Reachability`], exchanges reports of reachability with the other controllers,
//! relays heartbeats to owners that their workers don't reach, and commands to workers that their owners
//! don't reach.
//!
//! The state is [`state::RelayState`]; the files here change it, and `heartbeats` notes redirects and
//! probes in it. Nothing here decides what may run: whoever relays something adds nothing to it. The
//! response to a heartbeat is the owner's, with its fencing token and authority; a relayed command is in
//! doubt for its owner exactly as one that it sent itself.

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
