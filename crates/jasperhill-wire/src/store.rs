//! What the state service is asked and answers.

use crate::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: a key has this version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision of its last write; 0: it is not there.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// What a transaction does to a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Write a value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The key goes with this lease; `None`: it stays.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Delete the key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// A compare-and-swap: all changes if all guards hold, or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    #[serde(rename = "guards", default)]
    pub guards: Vec<Guard>,
    /// What is done then, together.
    #[serde(rename = "then", default)]
    pub changes: Vec<Change>,
}

/// Answers that carry a revision; `failed` in a 409.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// The revision of the state service.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// The keys of the guards that did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A key and its value, as a listing shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last write.
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// The lease that it goes with, if any.
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of a listing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The keys and values, in order of the keys.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// There is another page.
    pub more: bool,
    /// The revision that the page shows.
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// A change that a watch shows.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// The key was written.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// The new value.
        #[serde(rename = "data")]
        value: Value,
        /// The revision of the write.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// The key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// The revision of the deletion.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

impl WatchEvent {
    /// The revision of the change.
    pub fn version(&self) -> Revision {
        match self {
            Self::Put { version, .. } | Self::Delete { version, .. } => *version,
        }
    }
}

/// What a watch answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which this holds everything.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// The changes since the revision that was asked from, in order.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// The answer to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}
