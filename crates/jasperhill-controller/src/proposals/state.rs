//! The state of proposals. `open` is changed by `proposals`, `received` by changes of the watch cache and
//! by the loop that decides on them.

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
