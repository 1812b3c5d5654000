//! What is remembered of results that are being written to the store.

use jasperhill_wire::{JobId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// What is remembered of results that are being written to the store.
#[derive(Default)]
pub(crate) struct ResultState {
    /// Jobs whose results are being written.
    pub saving: BTreeSet<JobId>,
    /// Jobs whose records are being cancelled because a job before them is.
    pub cancelling: BTreeSet<JobId>,
    /// When the partial results of unfinished jobs are to be written.
    pub partial_due: BTreeMap<JobId, Micros>,
}
