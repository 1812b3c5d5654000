//! Lease delegation: when two zones are partitioned and no controller reaches both, a controller beside
//! the workers answers their heartbeats for an owner that they can't reach, with the owner's leave.
//!
//! The delegate writes the hosts that come to it into its *delegation request*. The owner, if it has not
//! heard them itself, first counts their leases as renewed until the end of the grant, and then writes the
//! *delegation grant*, which names the request. The delegate may answer, with the owner's fencing token
//! and no new work, until `Settings::delegation_time` after it *sent* that request; the owner counts from
//! when it *saw* the request, which is later. So no host is taken for lapsed whose lease could still be
//! renewed, whatever is delivered late. A failover counts from its own beginning, since every grant in the
//! store then belongs to a request sent before.
//!
//! The state is [`state::DelegationState`]: what this controller requests as a delegate, and what it has
//! granted as an owner. Only the files here change it, except that a change of the watch cache adds to the
//! requests to be considered.

mod delegate;
mod grants;
mod owner;
mod peer_contact;
mod requests;
pub mod state;
