//! Jobs that are handed over to their owners through the store.

use jasperhill_wire::JobId;
use std::collections::BTreeSet;

/// Jobs that are handed over to their owners through the store.
#[derive(Default)]
pub(crate) struct ProposalState {
    /// Proposed by this controller, and not decided on yet.
    pub open: BTreeSet<JobId>,
    /// Proposed by others, to be considered.
    pub received: BTreeSet<JobId>,
}
