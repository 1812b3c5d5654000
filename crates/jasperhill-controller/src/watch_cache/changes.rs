//! Inputs and outputs of the watch cache: data read from or written to the store, and the changes
//! that result in the cache. Contains only data types.

use jasperhill_wire::{
    HostId, JobId, Member, Revision,
    record::Role,
    store::{KeyValue, WatchEvent},
};
use serde_json::Value;

/// Data that is applied to the watch cache.
#[derive(Debug)]
pub enum Input {
    /// A full listing of the store. The listing is consistent as of revision `first`, and the cache
    /// is complete once the watch has reached revision `last`.
    Listed {
        /// All listed records.
        items: Vec<KeyValue>,
        /// Revision of the first page.
        first: Revision,
        /// Highest revision of all pages.
        last: Revision,
    },
    /// All changes after revision `after`, up to and including `revision`.
    WatchEvents {
        /// Revision after which the watch was requested.
        after: Revision,
        /// Revision of the cache once these events are applied.
        revision: Revision,
        /// Watch events in the order of their revisions.
        events: Vec<WatchEvent>,
    },
    /// A transaction of this controller, applied before the watch reports it. All changes of a
    /// transaction are applied together, because a transaction may move a host from one block to
    /// another.
    OwnWrite {
        /// Changes in the order of the transaction.
        changes: Vec<OwnChange>,
        /// Revision at which the transaction was executed.
        version: Revision,
    },
}

/// One change of a transaction that this controller has written.
#[derive(Debug)]
pub struct OwnChange {
    /// Key of the record.
    pub key: String,
    /// New record, or `None` if the record was deleted.
    pub record: Option<Value>,
}

/// Change of the watch cache that an input has caused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The record of this job has changed.
    Job(JobId),
    /// All dependencies of this job are done.
    DependenciesDone(JobId),
    /// The dependency state or inherited urgency of this job has changed because of another job's
    /// record.
    DependencyStateChanged(JobId),
    /// The record of this host has changed, or the host was removed.
    Host(HostId),
    /// The session of this member was written or has ended.
    Session(Member),
    /// The feature level announced by this member has changed.
    FeatureLevel(Member),
    /// The owner of this role has changed.
    Role(Role),
    /// This member requests delegation, that is, to be allowed to respond for hosts of other
    /// owners.
    DelegationRequest(Member),
    /// The proposal record of this job was written. It contains a job proposed to its owner through
    /// the store, or the owner's response.
    Proposal(JobId),
    /// An owner has granted a delegation.
    DelegationGrant,
    /// The machine types offered by the cloud have changed.
    MachineTypes,
}
