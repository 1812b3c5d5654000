//! What controllers say to one another, in CBOR. Versioned and bounded.

use crate::{HostId, JobId, Member, Micros, Name, Revision, record::Role, user::JobRequest};
use serde::{Deserialize, Serialize};

/// The protocol's version.
pub const VERSION: u16 = 2;
/// No message is longer, in bytes.
pub const MESSAGE_MAX: usize = 64 * 1024;

/// What goes over the mesh: the protocol's version and the message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The version; any other than [`VERSION`] is refused.
    #[serde(rename = "v")]
    pub version: u16,
    /// The request or response.
    #[serde(rename = "m")]
    pub message: T,
}

/// What one controller asks of another. The names on the wire are those of the first version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshRequest {
    /// Run the admission test for this job and, if it passes, write its record.
    Admit(Box<JobRequest>),
    /// Task counts for display, of several jobs.
    #[serde(rename = "Counts")]
    TaskCounts(Vec<JobId>),
    /// The heartbeat of a worker that can't reach its owner, as it was sent.
    #[serde(rename = "Relay")]
    RelayHeartbeat(String),
    /// Whether the state service answers there.
    #[serde(rename = "IsFresh")]
    IsStoreReachable,
    /// From the leader: how many more machines can be had soon, and how long they take to boot.
    #[serde(rename = "Elastic")]
    SpareCapacity {
        /// Machines that could be rented.
        machines: u32,
        /// From the rental to the first heartbeat, in microseconds.
        #[serde(rename = "ready")]
        boot_time: Micros,
    },
    /// From an owner: the hosts that refused jobs would need.
    #[serde(rename = "Unmet")]
    UnmetDemand {
        /// The owner's partition.
        partition: u32,
        /// Thousandths of a host.
        thousandths: u32,
    },
    /// How the sender's links stand. Only to members at [`crate::record::REACHABILITY`].
    #[serde(rename = "Links")]
    Reachability(Box<ReachabilityReport>),
    /// As `RelayHeartbeat`, by way of one who reaches the owner, which the sender does not. Only to
    /// members at [`crate::record::REACHABILITY`].
    #[serde(rename = "RelayOn")]
    RelayHeartbeatOnward(String),
    /// Commands to a worker that the sender can't reach. Only to members at
    /// [`crate::record::REACHABILITY`].
    #[serde(rename = "Push")]
    RelayCommands {
        /// The worker.
        host: HostId,
        /// The body of the command request; `None`: a request for the worker's status.
        body: Option<String>,
    },
}

/// How well requests get through a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// Nothing speaks for it or against it.
    #[default]
    Unknown,
    /// Requests get through.
    Up,
    /// Some requests have failed, too few to call the link down.
    #[serde(rename = "Doubtful")]
    Suspect,
    /// Requests do not get through.
    Down,
}

/// Both directions between a controller and a zone's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLinks {
    /// The zone.
    pub zone: Name,
    /// From the workers.
    #[serde(rename = "reports")]
    pub heartbeats: LinkState,
    /// To the workers.
    #[serde(rename = "orders")]
    pub commands: LinkState,
    /// How long ago something last got through, in either direction, in microseconds.
    #[serde(rename = "proved")]
    pub last_success: Micros,
}

/// What a controller says of its links. Later ones have a greater (`process_started`, `number`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachabilityReport {
    /// The sender.
    pub from: Member,
    /// When its process started, by the time of day in microseconds.
    #[serde(rename = "born")]
    pub process_started: Micros,
    /// Counts the reports of one process.
    pub number: u64,
    /// Its link to the state service.
    #[serde(rename = "state")]
    pub store: LinkState,
    /// Its link to the cloud.
    pub cloud: LinkState,
    /// Its links to the workers, by zone.
    pub zones: Vec<ZoneLinks>,
    /// The members whose messages reach it.
    #[serde(rename = "heard")]
    pub reachable_peers: Vec<Member>,
    /// Who owns what, with the revisions, as its watch cache shows.
    pub owners: Vec<(Role, Member, Revision)>,
    /// Its own roles that it has stopped acting on for good, at these revisions.
    #[serde(rename = "let_go")]
    pub relinquished: Vec<(Role, Revision)>,
}

/// How many tasks of a job run and are done, as its owner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that run.
    pub running: u32,
    /// Tasks that are done.
    pub done: u32,
}

/// What a controller answers another. The names on the wire are those of the first version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MeshResponse {
    /// The record is written.
    Accepted,
    /// The record was there before; look at the watch cache.
    Known,
    /// The job would miss its deadline.
    #[serde(rename = "Refused")]
    Rejected {
        /// When to try again, in seconds.
        retry_after_s: u32,
    },
    /// The asked controller can't decide now.
    Unavailable,
    /// In the order asked for; `None` for a job that the asked controller does not run.
    #[serde(rename = "Counts")]
    TaskCounts(Vec<Option<TaskCounts>>),
    /// The owner's answer to a relayed heartbeat.
    #[serde(rename = "Relayed")]
    HeartbeatRelayed {
        /// The HTTP status for the worker.
        status: u16,
        /// The body for the worker.
        body: String,
    },
    /// Whether the state service answers the asked controller.
    #[serde(rename = "Fresh")]
    StoreReachable(bool),
    /// The message was taken in.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The asked controller's own report, in return.
    #[serde(rename = "Links")]
    Reachability(Box<ReachabilityReport>),
    /// What the worker answered.
    #[serde(rename = "Pushed")]
    CommandsRelayed {
        /// The worker's HTTP status.
        status: u16,
        /// The worker's body.
        body: String,
    },
    /// Nothing was sent to the worker, and nothing will be.
    #[serde(rename = "NotPushed")]
    CommandsNotSent,
}

/// A message between controllers that can't be sent or understood.
#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    /// Longer than [`MESSAGE_MAX`].
    #[error("message too long")]
    TooLong,
    /// Of another version of the protocol.
    #[error("unknown version {0}")]
    Version(u16),
    /// Not CBOR, or not a message that this version knows.
    #[error("not understood")]
    Malformed,
}

/// Writes a message as CBOR.
///
/// # Errors
/// [`MeshError::TooLong`] for a message over [`MESSAGE_MAX`].
pub fn encode<T: Serialize>(message: T) -> Result<Vec<u8>, MeshError> {
    let mut out = Vec::new();
    ciborium::into_writer(
        &Envelope {
            version: VERSION,
            message,
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

/// Reads a message.
///
/// # Errors
/// [`MeshError`] says why the bytes are no message of this version.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, MeshError> {
    if bytes.len() > MESSAGE_MAX {
        return Err(MeshError::TooLong);
    }
    let envelope: Envelope<T> = ciborium::de::from_reader_with_recursion_limit(bytes, 32)
        .map_err(|_| MeshError::Malformed)?;
    if envelope.version == VERSION {
        Ok(envelope.message)
    } else {
        Err(MeshError::Version(envelope.version))
    }
}
