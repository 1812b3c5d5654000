//! What the state service is asked and answers.

use crate::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Guard {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: Revision,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "guards", default)]
    pub guards: Vec<Guard>,
    #[serde(rename = "then", default)]
    pub changes: Vec<Change>,
}

/// Answers that carry a revision; `failed` in a 409.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TransactionResponse {
    #[serde(rename = "generation")]
    pub revision: Revision,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyValue {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: Revision,
    #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    pub more: bool,
    #[serde(rename = "generation")]
    pub revision: Revision,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "stamp")]
        version: Revision,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

impl WatchEvent {
    pub fn version(&self) -> Revision {
        match self {
            Self::Put { version, .. } | Self::Delete { version, .. } => *version,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "generation")]
    pub revision: Revision,
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "permit")]
    pub lease: u64,
}
