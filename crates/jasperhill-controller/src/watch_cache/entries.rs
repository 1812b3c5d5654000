//! Entries of the watch cache: records together with the revision of their last change. Contains
//! data types and helpers; only [`super::WatchCache`] changes the entries.

use super::changes::Change;
use jasperhill_scheduler::rental_plan::MachineOffer;
use jasperhill_wire::{
    Micros, Revision,
    record::{HostRecord, RecordPhase},
    user::JobRequest,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::{collections::BTreeMap, rc::Rc};

/// Record and the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Decoded record.
    pub value: T,
    /// Revision at which the record was last written.
    pub version: Revision,
}

/// Host record with its version and its block. The version is the revision at which the host's own
/// record was last seen to change, not the revision of its block. The fencing token of a host
/// therefore increases only when the record of that host changes.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Decoded record of the host.
    pub value: HostRecord,
    /// Revision at which the host record was last seen to change.
    pub version: Revision,
    /// Number of the block that contains the host record.
    pub block: u32,
}

impl HostEntry {
    /// Returns the kind of the machine.
    pub fn offer(&self) -> MachineOffer {
        MachineOffer {
            machine_type: self.value.machine_type.clone(),
            zone: self.value.zone.clone(),
            spot: self.value.spot,
        }
    }
}

/// Cached state of a job: all data of an unfinished job, or a summary of a finished one.
#[derive(Clone, Debug)]
pub enum JobEntry {
    /// The job was accepted and has not ended.
    Active(Box<ActiveJob>),
    /// The job has ended. This entry never changes again.
    Final {
        /// Final phase of the job.
        phase: RecordPhase,
        /// Number of tasks that succeeded.
        done_count: u32,
    },
}

/// Cached data of an unfinished job.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// Job request as submitted by the user.
    pub request: Rc<JobRequest>,
    /// Time of day at which the job was submitted.
    pub submitted: Micros,
    /// Finished tasks, run-length encoded as in the job record.
    pub finished_runs: Vec<u32>,
    /// Number of tasks that succeeded.
    pub done_count: u32,
    /// Number of failed attempts on all hosts. Zero means that there is no evidence of a fault in
    /// the job.
    pub failed_attempts: u32,
    /// Revision at which the job record was last written.
    pub version: Revision,
}

/// Inserts a record if it is newer than the existing entry, and appends the change to `changes`.
/// Returns `None` if the record is malformed.
pub(super) fn insert_if_newer<K: Clone + Ord, T: DeserializeOwned>(
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

/// Removes an entry if the deletion is newer than the entry. Returns whether the entry was removed.
pub(super) fn remove_if_older<K: Ord, T>(
    entries: &mut BTreeMap<K, Versioned<T>>,
    key: &K,
    deleted: Revision,
) -> bool {
    let is_older = entries
        .get(key)
        .is_some_and(|entry| deleted > entry.version);
    is_older && entries.remove(key).is_some()
}

/// Decodes a record from JSON. Returns `None` if the record is malformed.
pub(super) fn decode<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}
