//! What is remembered of lease delegation, as a delegate and as an owner.

use super::{grants::DelegationGrants, requests::DelegationRequests};
use jasperhill_wire::{Member, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// What is remembered of lease delegation.
#[derive(Default)]
pub(crate) struct DelegationState {
    /// The hosts that this controller asks to answer for.
    pub(super) requests: DelegationRequests,
    /// What this controller has granted to others.
    pub(super) grants: DelegationGrants,
    /// Delegates whose requests have changed and are to be considered.
    pub changed_requests: BTreeSet<Member>,
    /// When another controller last failed to answer, if it has not answered since.
    pub(super) unreached_peers: BTreeMap<Member, Micros>,
}
