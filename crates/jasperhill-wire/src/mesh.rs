//! Messages between controllers, encoded as CBOR.
//!
//! Each message travels in an [`Envelope`] with the protocol version. [`encode`] and [`decode`]
//! limit a message to [`MESSAGE_BYTES_MAX`]; [`decode`] rejects every version other than
//! [`PROTOCOL_VERSION`].

use crate::{HostId, JobId, Member, Micros, Name, Revision, record::Role, user::JobRequest};
use serde::{Deserialize, Serialize};

/// Version of the protocol between controllers.
pub const PROTOCOL_VERSION: u16 = 2;
/// Largest number of entries of missing hosts in a message.
pub const MISSING_HOSTS_MAX: usize = 32;
/// Longest message between controllers, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024;

/// The outer frame of every message between controllers: the protocol version and the message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The protocol version; a receiver rejects any other than [`PROTOCOL_VERSION`].
    #[serde(rename = "v")]
    pub version: u16,
    /// The request or response that the envelope carries.
    #[serde(rename = "m")]
    pub message: T,
}

/// A request from one controller to another. The serde names are those of the protocol's first
/// version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshRequest {
    /// Runs the admission test for this job and, if the job passes, writes its record.
    Admit(Box<JobRequest>),
    /// Asks for the task counts of several jobs, for display to users.
    #[serde(rename = "Counts")]
    TaskCounts(Vec<JobId>),
    /// Relays the unmodified heartbeat of a worker that can't reach its owner.
    #[serde(rename = "Relay")]
    RelayHeartbeat(String),
    /// Asks whether the state service answers the receiver.
    #[serde(rename = "IsFresh")]
    IsStoreReachable,
    /// Sent by the leader: how many more machines can be rented soon, and how long they take to
    /// boot.
    #[serde(rename = "Elastic")]
    SpareCapacity {
        /// Number of machines that can still be rented.
        machines: u32,
        /// Time from the rental to the first heartbeat, in microseconds.
        #[serde(rename = "ready")]
        boot_time: Micros,
    },
    /// Sent by the owner of a partition: the capacity that its rejected and waiting jobs lack.
    #[serde(rename = "Unmet")]
    UnmetDemand {
        /// The partition that the sender owns.
        partition: u32,
        /// Number of hosts that its rejected jobs would need, in thousandths of a host.
        thousandths: u32,
        /// Hosts that its waiting jobs lack, at most [`MISSING_HOSTS_MAX`] entries. Earlier versions
        /// neither send nor read it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        missing: Vec<MissingHosts>,
    },
    /// Reports the state of the sender's links. Sent only to members at feature level
    /// [`crate::record::REACHABILITY`].
    #[serde(rename = "Links")]
    Reachability(Box<ReachabilityReport>),
    /// Relays a heartbeat as `RelayHeartbeat` does, but through a receiver that reaches the owner
    /// when the sender does not. Sent only to members at feature level
    /// [`crate::record::REACHABILITY`].
    #[serde(rename = "RelayOn")]
    RelayHeartbeatOnward(String),
    /// Relays commands to a worker that the sender can't reach. Sent only to members at feature
    /// level [`crate::record::REACHABILITY`].
    #[serde(rename = "Push")]
    RelayCommands {
        /// The host whose worker is to receive the commands.
        host: HostId,
        /// The body of the command request; `None`: ask for the worker's status instead.
        body: Option<String>,
    },
}

/// Hosts that a waiting job may use and that its partition lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingHosts {
    /// Machine types that will do, cheapest first.
    pub machine_types: Vec<Name>,
    /// Whether spot machines will do as well as on-demand machines.
    pub spot: bool,
    /// Zones that will do, the preferred one first. The hosts of one of them are enough.
    pub zones: Vec<MissingInZone>,
    /// Time for which the job has lacked hosts, in microseconds.
    pub missing_for: Micros,
}

impl MissingHosts {
    /// Returns whether a host of this machine type and zone will do; `spot` says whether it is a
    /// spot machine.
    pub fn allows_host(&self, machine_type: &Name, zone: &Name, spot: bool) -> bool {
        self.machine_types.contains(machine_type)
            && (self.spot || !spot)
            && self.zones.iter().any(|in_zone| &in_zone.zone == zone)
    }
}

/// Number of hosts that a job lacks if it gets all of them in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingInZone {
    /// The zone.
    pub zone: Name,
    /// Number of hosts; at least 1.
    pub hosts: u32,
}

/// State of a link, as judged by whether requests sent over the link succeed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// No evidence that the link is up or down.
    #[default]
    Unknown,
    /// Requests succeed.
    Up,
    /// Some requests have failed, but too few to consider the link down.
    #[serde(rename = "Doubtful")]
    Suspect,
    /// Requests fail.
    Down,
}

/// State of both directions of the link between a controller and the workers of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLinks {
    /// The zone of the workers.
    pub zone: Name,
    /// The direction from the workers to the controller, which carries heartbeats.
    #[serde(rename = "reports")]
    pub heartbeats: LinkState,
    /// The direction from the controller to the workers, which carries commands.
    #[serde(rename = "orders")]
    pub commands: LinkState,
    /// Time since a request last succeeded in either direction, in microseconds.
    #[serde(rename = "proved")]
    pub last_success: Micros,
}

/// A controller's report on its links and on role ownership. Of two reports from one sender, the
/// one with the greater (`process_started`, `number`) is the later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachabilityReport {
    /// The controller that sends the report.
    pub from: Member,
    /// Wall-clock time at which the sender's process started, in microseconds.
    #[serde(rename = "born")]
    pub process_started: Micros,
    /// Sequence number of the report within the sender's process.
    pub number: u64,
    /// State of the sender's link to the state service.
    #[serde(rename = "state")]
    pub store: LinkState,
    /// State of the sender's link to the cloud.
    pub cloud: LinkState,
    /// State of the sender's links to the workers, by zone.
    pub zones: Vec<ZoneLinks>,
    /// The members whose messages reach the sender.
    #[serde(rename = "heard")]
    pub reachable_peers: Vec<Member>,
    /// Roles with their owners and the revisions of their records, as in the sender's watch cache.
    pub owners: Vec<(Role, Member, Revision)>,
    /// Roles of the sender that it has permanently stopped acting on, each with the revision of the
    /// role's record.
    #[serde(rename = "let_go")]
    pub relinquished: Vec<(Role, Revision)>,
}

/// Number of running and finished tasks of a job, as known to the owner of the job's partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Number of the job's tasks that are running.
    pub running: u32,
    /// Number of the job's tasks that have finished.
    pub done: u32,
}

/// A response from one controller to another. The serde names are those of the protocol's first
/// version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MeshResponse {
    /// The job was admitted and its record was written.
    Accepted,
    /// A record of the job existed already; the requester finds its state in the watch cache.
    Known,
    /// The job was rejected because it would miss its deadline.
    #[serde(rename = "Refused")]
    Rejected {
        /// Time after which to submit the job again, in seconds.
        retry_after_s: u32,
    },
    /// The receiver of the request can't decide now.
    Unavailable,
    /// Task counts in the order of the requested jobs; `None` for a job that the receiver of the
    /// request does not run.
    #[serde(rename = "Counts")]
    TaskCounts(Vec<Option<TaskCounts>>),
    /// The owner's response to a relayed heartbeat.
    #[serde(rename = "Relayed")]
    HeartbeatRelayed {
        /// HTTP status to return to the worker.
        status: u16,
        /// Body to return to the worker.
        body: String,
    },
    /// Whether the state service answers the receiver of the request.
    #[serde(rename = "Fresh")]
    StoreReachable(bool),
    /// The message was received and its contents were recorded.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The receiver's own reachability report, in return for the requester's.
    #[serde(rename = "Links")]
    Reachability(Box<ReachabilityReport>),
    /// The worker's response to relayed commands.
    #[serde(rename = "Pushed")]
    CommandsRelayed {
        /// HTTP status of the worker's response.
        status: u16,
        /// Body of the worker's response.
        body: String,
    },
    /// The commands were not sent to the worker and will not be sent later.
    #[serde(rename = "NotPushed")]
    CommandsNotSent,
}

/// The error for a message between controllers that can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum MeshError {
    /// The message is longer than [`MESSAGE_BYTES_MAX`].
    #[error("message too long")]
    TooLong,
    /// The message has this protocol version, which the receiver does not support.
    #[error("unknown version {0}")]
    UnsupportedVersion(u16),
    /// The message is not valid CBOR, or not a message of this protocol version.
    #[error("not understood")]
    Malformed,
}

/// Encodes a message as CBOR, in an [`Envelope`].
///
/// # Errors
/// [`MeshError::TooLong`] if the encoded message exceeds [`MESSAGE_BYTES_MAX`];
/// [`MeshError::Malformed`] if the message can't be encoded.
pub fn encode<T: Serialize>(message: T) -> Result<Vec<u8>, MeshError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(
        &Envelope {
            version: PROTOCOL_VERSION,
            message,
        },
        &mut bytes,
    )
    .map_err(|_| MeshError::Malformed)?;
    if bytes.len() > MESSAGE_BYTES_MAX {
        Err(MeshError::TooLong)
    } else {
        Ok(bytes)
    }
}

/// Decodes a message from its CBOR [`Envelope`].
///
/// # Errors
/// [`MeshError::TooLong`] if the input exceeds [`MESSAGE_BYTES_MAX`],
/// [`MeshError::UnsupportedVersion`] for another protocol version, [`MeshError::Malformed`] if the
/// input is not a message of type `T`.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, MeshError> {
    if bytes.len() > MESSAGE_BYTES_MAX {
        return Err(MeshError::TooLong);
    }
    let envelope: Envelope<T> = ciborium::de::from_reader_with_recursion_limit(bytes, 32)
        .map_err(|_| MeshError::Malformed)?;
    if envelope.version == PROTOCOL_VERSION {
        Ok(envelope.message)
    } else {
        Err(MeshError::UnsupportedVersion(envelope.version))
    }
}
