//! What controllers say to one another, in CBOR. Versioned and bounded.

use crate::{HostId, JobId, Member, Micros, Name, Revision, record::Role, user::JobRequest};
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
    /// How the sender's links stand. Only to members that understand [`crate::record::LINKS`].
    Links(Box<LinkReport>),
    /// As `Relay`, by way of one who hears the owner, which the sender does not. Only to members
    /// that understand [`crate::record::LINKS`].
    RelayOn(String),
    /// Orders to a worker that the sender can't reach, or without a body a question how it is.
    /// Only to members that understand [`crate::record::LINKS`].
    Push { host: HostId, body: Option<String> },
}

/// How well something gets through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Nothing speaks for it or against it.
    #[default]
    Unknown,
    Up,
    Doubtful,
    Down,
}

/// Both directions between a controller and a zone's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReach {
    pub zone: Name,
    pub reports: Reach,
    pub orders: Reach,
    /// How long ago something last got through, in either direction.
    pub proved: Micros,
}

/// What a controller says of its links. Later ones have a greater (`born`, `number`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkReport {
    pub from: Member,
    /// When its process began, by the time of day.
    pub born: Micros,
    pub number: u64,
    pub state: Reach,
    pub cloud: Reach,
    pub zones: Vec<ZoneReach>,
    /// The members that it hears.
    pub heard: Vec<Member>,
    /// Who owns what, with the revisions, as its mirror shows.
    pub owners: Vec<(Role, Member, Revision)>,
    /// Its own roles that it has stopped acting on for good, at these revisions.
    pub let_go: Vec<(Role, Revision)>,
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
    /// The asked controller's own report, in return.
    Links(Box<LinkReport>),
    /// What the worker answered.
    Pushed {
        status: u16,
        body: String,
    },
    /// Nothing was sent to the worker, and nothing will be.
    NotPushed,
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
