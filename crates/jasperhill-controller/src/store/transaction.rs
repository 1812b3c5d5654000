//! What a transaction compares and changes, in short form for its callers. Pure; owns no state.

use jasperhill_wire::{
    Revision,
    store::{Change, Guard},
};
use serde::Serialize;

/// A comparison: the key's record must still have this version; revision 0 means that there must be
/// no record.
pub(crate) fn guard(key: impl Into<String>, version: Revision) -> Guard {
    Guard {
        key: key.into(),
        version,
    }
}

/// Writes a record that stays until it is deleted.
pub(crate) fn put(key: impl Into<String>, value: &impl Serialize) -> Change {
    put_record(key.into(), value, None)
}

/// Writes a record that the service deletes when the lease expires or is revoked.
pub(crate) fn put_with_lease(key: impl Into<String>, value: &impl Serialize, lease: u64) -> Change {
    put_record(key.into(), value, Some(lease))
}

/// Writes a record, with its lease if it has one.
fn put_record(key: String, value: &impl Serialize, lease: Option<u64>) -> Change {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease,
    }
}
