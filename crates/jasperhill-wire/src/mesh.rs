//! What controllers say to one another, in CBOR. Versioned and bounded.

use crate::{JobId, Micros, user::JobRequest};
use serde::{Deserialize, Serialize};

pub const VERSION: u16 = 2;
/// No message is longer.
pub const MESSAGE_MAX: usize = 64 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    pub v: u16,
    pub m: T,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshRequest {
    /// Run the admission test for this job and, if it passes, write its record.
    Admit(Box<JobRequest>),
    /// Task counts for display, of several jobs.
    Counts(Vec<JobId>),
    /// The report of a worker that can't reach its owner, as it was sent.
    Relay(String),
    /// Whether the state service answers there.
    IsFresh,
    /// From the leader: how many more machines can be had soon, and after how long.
    Elastic { machines: u32, ready: Micros },
    /// From an owner: the hosts that refused jobs would need, in thousandths.
    Unmet { partition: u32, thousandths: u32 },
}

/// How many tasks of a job run and are done, as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub running: u32,
    pub done: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MeshAnswer {
    /// The record is written.
    Accepted,
    /// The record was there before; look at the mirror.
    Known,
    Refused {
        retry_after_s: u32,
    },
    Unavailable,
    /// In the order asked for; `None` for a job that the asked controller does not run.
    Counts(Vec<Option<Counts>>),
    /// The owner's answer to a relayed report.
    Relayed {
        status: u16,
        body: String,
    },
    Fresh(bool),
    Noted,
}

#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    #[error("message too long")]
    TooLong,
    #[error("unknown version {0}")]
    Version(u16),
    #[error("not understood")]
    Malformed,
}

pub fn encode<T: Serialize>(message: T) -> Result<Vec<u8>, MeshError> {
    let mut out = Vec::new();
    ciborium::into_writer(
        &Envelope {
            v: VERSION,
            m: message,
        },
        &mut out,
    )
    .map_err(|_| MeshError::Malformed)?;
    if out.len() > MESSAGE_MAX {
        Err(MeshError::TooLong)
    } else {
        Ok(out)
    }
}

pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, MeshError> {
    if bytes.len() > MESSAGE_MAX {
        return Err(MeshError::TooLong);
    }
    let envelope: Envelope<T> = ciborium::de::from_reader_with_recursion_limit(bytes, 32)
        .map_err(|_| MeshError::Malformed)?;
    if envelope.v == VERSION {
        Ok(envelope.m)
    } else {
        Err(MeshError::Version(envelope.v))
    }
}
