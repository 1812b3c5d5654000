//! What goes into the watch cache and what comes out: readings of the store, and the changes that they
//! make. Pure data.

use jasperhill_wire::{
    HostId, JobId, Member, Revision,
    record::Role,
    store::{KeyValue, WatchEvent},
};
use serde_json::Value;

/// A reading of the store.
#[derive(Debug)]
pub enum Input {
    /// A whole listing, consistent from `first` on and complete once `last` is reached.
    Listed {
        /// All records.
        items: Vec<KeyValue>,
        /// The revision of the first page.
        first: Revision,
        /// The highest revision of any page.
        last: Revision,
    },
    /// All changes after `after`, up to `revision`.
    WatchEvents {
        /// The revision that was asked from.
        after: Revision,
        /// The revision that is reached with these events.
        revision: Revision,
        /// In the order of their revisions.
        events: Vec<WatchEvent>,
    },
    /// What this controller wrote itself, one transaction: known before the watch shows it. All of
    /// it at once, since a host may move from one block of it to another.
    OwnWrite {
        /// In the order of the transaction.
        changes: Vec<OwnChange>,
        /// The revision of the transaction.
        version: Revision,
    },
}

/// One change of a transaction that this controller wrote.
#[derive(Debug)]
pub struct OwnChange {
    /// The key.
    pub key: String,
    /// The new record; `None` if it was deleted.
    pub record: Option<Value>,
}

/// What has changed in the watch cache.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The record of a job.
    Job(JobId),
    /// All dependencies of a job are done.
    Released(JobId),
    /// A job's dependency state or inherited urgency, without its record.
    Related(JobId),
    /// The record of a host.
    Host(HostId),
    /// The session of a member.
    Session(Member),
    /// What a member's last process understood.
    FeatureLevel(Member),
    /// The owner of a role.
    Role(Role),
    /// A member asks to answer for hosts of other owners.
    DelegationRequest(Member),
    /// A job that is proposed to its owner through the store, or the owner's answer.
    Proposal(JobId),
    /// A delegation that an owner has granted.
    DelegationGrant,
    /// The cloud's machine types.
    Types,
}
