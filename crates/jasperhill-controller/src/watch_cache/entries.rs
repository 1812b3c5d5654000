//! The records of the watch cache as they are kept: each with the revision of its last change. Pure
//! data; only `super::WatchCache` changes it.

use super::changes::Change;
use jasperhill_wire::{
    Micros, Revision,
    record::{HostRecord, RecordPhase},
    user::JobRequest,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{collections::BTreeMap, rc::Rc};

/// A record and the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// The revision at which it was last written.
    pub version: Revision,
}

/// A host's record. Its version is the revision at which it was last seen to change, which
/// is not that of its block: a token goes up only when something is said about its host.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// The record.
    pub value: HostRecord,
    /// The revision at which it was last seen to change.
    pub version: Revision,
    /// The block that holds it.
    pub block: u32,
}

/// An unfinished job, or what is kept of a finished one.
#[derive(Clone, Debug)]
pub enum JobEntry {
    /// Accepted and not ended.
    Active(Box<ActiveJob>),
    /// Ended; this never changes again.
    Final {
        /// How it ended.
        phase: RecordPhase,
        /// Tasks that succeeded.
        done: u32,
    },
}

/// An unfinished job.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// As it was submitted.
    pub request: Rc<JobRequest>,
    /// When it was submitted, by the time of day.
    pub submitted: Micros,
    /// The finished tasks, as the record encodes them.
    pub finished: Vec<u32>,
    /// Tasks that succeeded.
    pub done_count: u32,
    /// Tries that failed wherever it ran; 0 if nothing speaks against it.
    pub failed_attempts: u32,
    /// The revision at which its record was last written.
    pub version: Revision,
}

/// Takes over a record if it is newer than the entry, and notes the change. `None` if the record is
/// malformed.
pub(super) fn put_newer<K: Clone + Ord, T: DeserializeOwned>(
    entries: &mut BTreeMap<K, Versioned<T>>,
    key: K,
    record: Versioned<Value>,
    change: impl FnOnce(K) -> Change,
    changes: &mut Vec<Change>,
) -> Option<()> {
    let version = record.version;
    let value = decode(record.value)?;
    if entries
        .get(&key)
        .is_none_or(|entry| version > entry.version)
    {
        entries.insert(key.clone(), Versioned { value, version });
        changes.push(change(key));
    }
    Some(())
}

/// Removes an entry if the deletion is newer. Whether it was removed.
pub(super) fn remove_older<K: Ord, T>(
    entries: &mut BTreeMap<K, Versioned<T>>,
    key: &K,
    deleted: Revision,
) -> bool {
    let older = entries
        .get(key)
        .is_some_and(|entry| deleted > entry.version);
    older && entries.remove(key).is_some()
}

/// A record by its JSON; `None` if it is malformed.
pub(super) fn decode<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
