//! Lease delegation. When a network partition separates two zones and no controller can reach both, a
//! controller in the workers' zone answers their heartbeats as the *delegate* of an owner that the
//! workers can't reach, with the owner's permission.
//!
//! The delegate writes the hosts that send it heartbeats into its *delegation request*. An owner that
//! has not heard these hosts itself first counts their leases as renewed until the end of the grant,
//! and then writes the *delegation grant*, which names the request. The delegate may answer with the
//! owner's fencing token, but without new work.
//!
//! Invariant: an owner never counts a host's lease as lapsed while a delegate could still renew the
//! lease, however late messages are delivered. The delegate may answer until
//! `Settings::delegation_time` after it *sent* the request, whereas the owner counts the same time from
//! when it *saw* the request, which is later. A new owner counts from the beginning of its failover,
//! since every grant that is in the store then belongs to a request sent before.
//!
//! The state is [`state::DelegationState`]: the requests of this controller as a delegate, and its
//! grants as an owner. Only this module changes that state, except that a change in the watch cache
//! adds to the requests that have to be considered.

mod delegate;
mod grants;
mod owner;
mod peer_contact;
mod requests;
pub mod state;
