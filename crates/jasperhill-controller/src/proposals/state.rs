//! State of the proposals module. Only `proposals` changes `open_proposals`. Changes in the watch
//! cache add to `received_proposals`, and the loop that decides on proposals takes them.

use jasperhill_wire::JobId;
use std::collections::BTreeSet;

/// Jobs that are proposed to their owners through the store.
#[derive(Default)]
pub(crate) struct ProposalState {
    /// Jobs that this controller has proposed and whose decisions it still waits for.
    pub open_proposals: BTreeSet<JobId>,
    /// Jobs that other controllers have proposed and that this controller has not considered yet.
    pub received_proposals: BTreeSet<JobId>,
}
