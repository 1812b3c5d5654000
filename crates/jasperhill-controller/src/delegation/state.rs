//! State of the delegation module, for both the delegate's and the owner's side.

use super::{grants::DelegationGrants, requests::DelegationRequests};
use jasperhill_wire::{Member, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// State of lease delegation.
#[derive(Default)]
pub(crate) struct DelegationState {
    /// The requests of this controller as a delegate, with the hosts that it asks to answer for.
    pub(super) requests: DelegationRequests,
    /// The grants that this controller has given as an owner.
    pub(super) grants: DelegationGrants,
    /// Delegates whose requests have changed and have not been considered yet by this controller as an
    /// owner.
    pub changed_delegation_requests: BTreeSet<Member>,
    /// The time at which each controller last failed to answer a call, by the monotonic clock. A
    /// controller that has answered since is not in the map.
    pub(super) last_failure_at: BTreeMap<Member, Micros>,
}
