//! What is remembered of lease delegation, as a delegate and as an owner.

use crate::delegation::{DelegationGrants, DelegationRequests};
use jasperhill_wire::Member;
use std::collections::BTreeSet;

/// What is remembered of lease delegation.
#[derive(Default)]
pub(crate) struct DelegationState {
    /// The hosts that this controller asks to answer for.
    pub requests: DelegationRequests,
    /// What this controller has granted to others.
    pub grants: DelegationGrants,
    /// Delegates whose requests have changed and are to be considered.
    pub changed_requests: BTreeSet<Member>,
}
