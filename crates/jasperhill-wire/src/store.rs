//! Request and response bodies of the state service: transactions, listings, watches and leases.

use crate::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: the key still has the expected version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The key whose version is compared.
    #[serde(rename = "k")]
    pub key: String,
    /// The expected revision of the key's last write; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A write or deletion of one key by a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key to write.
        #[serde(rename = "write")]
        key: String,
        /// The value to write.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with whose end the key is deleted; `None`: the key is kept until it is
        /// deleted explicitly.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// Returns the key that is written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// A multi-key compare-and-swap: all changes are applied if every guard holds, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions that must all hold.
    #[serde(rename = "guards", default)]
    pub guards: Vec<Guard>,
    /// The changes, which are applied atomically.
    #[serde(rename = "then", default)]
    pub changes: Vec<Change>,
}

/// The response to a transaction and to other requests that are answered with a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// The current revision of the state service.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// The keys of the guards that did not hold; present in a response with status 409.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A key and its value, as returned in a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue {
    /// The entry's key.
    #[serde(rename = "k")]
    pub key: String,
    /// The entry's value, as stored.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the key's last write.
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// The lease with whose end the key is deleted; `None`: the key has no lease.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// One page of a listing of keys and values.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The keys and values, ordered by key.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether further pages follow.
    pub more: bool,
    /// The revision of the state that the page shows.
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// A change to one key, as reported by a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The key was written.
    Put {
        /// The key that was written.
        #[serde(rename = "write")]
        key: String,
        /// The value that was written.
        #[serde(rename = "data")]
        value: Value,
        /// The revision of the write.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// The key was deleted.
    Delete {
        /// The key that was deleted.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the deletion.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

impl WatchEvent {
    /// Returns the revision of the change.
    pub fn version(&self) -> Revision {
        match self {
            Self::Put { version, .. } | Self::Delete { version, .. } => *version,
        }
    }
}

/// The response to a watch request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which `events` is complete.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// The changes after the requested revision, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// The response to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The id of the new lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}
