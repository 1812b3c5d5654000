//! Constructors for the guards and changes of a transaction. Holds no state and performs no I/O.

use jasperhill_wire::{
    Revision,
    store::{Change, Guard},
};
use serde::Serialize;

/// Creates a guard which requires that the record of the key still has the given version. Version 0
/// requires that the record does not exist.
pub(crate) fn guard(key: impl Into<String>, version: Revision) -> Guard {
    Guard {
        key: key.into(),
        version,
    }
}

/// Creates a change that writes a record without a lease. The record persists until it is deleted.
pub(crate) fn put(key: impl Into<String>, value: &impl Serialize) -> Change {
    put_record(key.into(), value, None)
}

/// Creates a change that writes a record bound to a lease. The service deletes the record when the
/// lease expires or is revoked.
pub(crate) fn put_with_lease(key: impl Into<String>, value: &impl Serialize, lease: u64) -> Change {
    put_record(key.into(), value, Some(lease))
}

/// Creates a change that writes a record, bound to `lease` if there is one.
fn put_record(key: String, value: &impl Serialize, lease: Option<u64>) -> Change {
    Change::Put {
        key,
        value: serde_json::to_value(value).unwrap_or_default(),
        lease,
    }
}
