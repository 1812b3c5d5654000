//! Records that controllers store in the state service, and the keys of these records.
//!
//! Functions such as [`job_key`] build keys and [`Key::parse`] recognises them. Records are JSON
//! with short field names; fields added after the first version have defaults, because controllers
//! of different versions read the same records.

use crate::{FencingToken, HostId, JobId, Member, Micros, Name, Resources, user::JobRequest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Common prefix of all keys, so that a single watch receives every change.
pub const ROOT: &str = "jh/";

/// Returns the key of a job's record.
pub fn job_key(id: &JobId) -> String {
    format!("jh/job/{id}")
}
/// Returns the key of a block of host records. Many hosts share a record because hosts are added
/// and removed in bulk and the state service limits the rate of writes.
pub fn block_key(block: u32) -> String {
    format!("jh/hosts/{block}")
}
/// Returns the key of a controller's session, which is deleted when the session's lease ends.
pub fn session_key(member: &Member) -> String {
    format!("jh/session/{member}")
}
/// Returns the key of a controller's feature level, which outlasts the controller's session.
pub fn feature_level_key(member: &Member) -> String {
    format!("jh/format/{member}")
}
/// Returns the key of a role's ownership record.
pub fn role_key(role: Role) -> String {
    match role {
        Role::Partition(partition) => format!("jh/part/{partition}"),
        Role::Leader => "jh/leader".to_owned(),
    }
}

/// Returns the delegate's name for one part of its delegation request. Part 0 uses the delegate's
/// own name, so that a request with a single part looks the same as in earlier versions. To an
/// owner of any version, each part is a separate request.
pub fn delegation_part(delegate: &Member, part: u32) -> Member {
    if part == 0 {
        delegate.clone()
    } else {
        Member::new(&format!("{delegate}/{part}"))
    }
}
/// Returns the key of a delegation request: the hosts whose heartbeats a controller asks to answer
/// while the hosts' owners are unreachable.
pub fn delegation_request_key(delegate: &Member) -> String {
    format!("jh/ask/{delegate}")
}
/// Returns the key of a proposal, with which a controller that can't reach a job's owner asks the
/// owner to decide on the job.
pub fn proposal_key(id: &JobId) -> String {
    format!("jh/want/{id}")
}
/// Returns the key of a delegation grant: the hosts whose heartbeats the owner of a partition
/// allows a delegate to answer.
pub fn delegation_grant_key(partition: u32, delegate: &Member) -> String {
    format!("jh/grant/{partition}/{delegate}")
}

/// A role that at most one controller holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Ownership of a partition: its teams and the hosts assigned to the partition.
    Partition(u32),
    /// Leadership of the fleet; the leader rents and returns machines.
    Leader,
}

/// A key of the state service, parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The record of a job.
    Job(JobId),
    /// A block of host records, by the block's number.
    Hosts(u32),
    /// The session of a controller.
    Session(Member),
    /// The ownership record of a role.
    Role(Role),
    /// A delegation request, by the delegate's name (see [`delegation_part`]).
    DelegationRequest(Member),
    /// A delegation grant, by the partition and the delegate's name.
    DelegationGrant(u32, Member),
    /// The feature level of a controller.
    FeatureLevel(Member),
    /// A job proposed to its owner.
    Proposal(JobId),
    /// One part of the list of machine types, by the part's number.
    Types(u32),
}

/// Returns the key of one part of the list of machine types last received from the cloud.
/// Controllers that start while the cloud is unavailable read the list from there.
pub fn types_key(part: u32) -> String {
    match part {
        0 => "jh/types".to_owned(),
        n => format!("jh/types/{n}"),
    }
}

impl Key {
    /// Parses a key. Returns `None` for a key that this version does not know.
    pub fn parse(key: &str) -> Option<Self> {
        let suffix = key.strip_prefix(ROOT)?;
        if suffix == "leader" {
            return Some(Self::Role(Role::Leader));
        }
        if suffix == "types" {
            return Some(Self::Types(0));
        }
        let (namespace, name) = suffix.split_once('/')?;
        Some(match namespace {
            "job" => Self::Job(name.into()),
            "hosts" => Self::Hosts(name.parse().ok()?),
            "session" => Self::Session(name.into()),
            "types" => Self::Types(name.parse().ok().filter(|part| *part > 0)?),
            "format" => Self::FeatureLevel(name.into()),
            "ask" => Self::DelegationRequest(name.into()),
            "want" => Self::Proposal(name.into()),
            "grant" => {
                let (partition, delegate) = name.split_once('/')?;
                Self::DelegationGrant(partition.parse().ok()?, delegate.into())
            }
            "part" => Self::Role(Role::Partition(name.parse().ok()?)),
            _ => return None,
        })
    }
}

/// Phase of a job, as stored in the job's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// The job has not ended.
    #[serde(rename = "a")]
    Active,
    /// All tasks of the job have finished.
    #[serde(rename = "d")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The stored state of a job. The record of a job that has ended omits `request`; its phase and
/// counts are kept permanently.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's phase: active, done or cancelled.
    #[serde(rename = "p")]
    pub phase: RecordPhase,
    /// Number of the job's tasks that have finished.
    #[serde(rename = "n")]
    pub done_count: u32,
    /// The submission; `None` once the job has ended.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<JobRequest>,
    /// Wall-clock time of the first submission, in microseconds; `None` once the job has ended.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub submitted: Option<Micros>,
    /// The set of finished tasks, run-length encoded: alternating lengths of runs of unfinished and
    /// finished tasks, in order of task index, beginning with unfinished ones.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<u32>,
    /// Number of failed attempts after which the job is known to fail wherever it runs; 0 if its
    /// failures are not attributed to the job itself.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub failed_attempts: u32,
    /// Resources that the job's tasks may still use, if the job was cancelled while tasks could
    /// run. Earlier versions neither write nor read this field.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub residual_usage: Option<ResidualUsage>,
}

/// Resources that the tasks of a cancelled job use until they have stopped. A later owner of the
/// partition counts these resources against the team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// The team whose limit the resources count against.
    #[serde(rename = "t")]
    pub team: Name,
    /// Resources of each task.
    #[serde(rename = "r")]
    pub each: Resources,
    /// Number of the job's tasks, each of which uses `each`.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Wall-clock time of the cancellation, in microseconds.
    #[serde(rename = "a")]
    pub cancelled: Micros,
}

impl JobRecord {
    /// Returns the record of a job that has ended, with its final counts only and no residual usage.
    pub fn terminal(phase: RecordPhase, done_count: u32) -> Self {
        Self {
            phase,
            done_count,
            request: None,
            submitted: None,
            finished: Vec::new(),
            failed_attempts: 0,
            residual_usage: None,
        }
    }

    /// Returns the record of a job that is cancelled while its tasks may still run. `cancelled_at`
    /// is the wall-clock time.
    pub fn cancelled(request: &JobRequest, done_count: u32, cancelled_at: Micros) -> Self {
        let residual_usage = ResidualUsage {
            team: request.team.clone(),
            each: request.each,
            tasks: request.tasks,
            cancelled: cancelled_at,
        };
        Self {
            residual_usage: Some(residual_usage),
            ..Self::terminal(RecordPhase::Cancelled, done_count)
        }
    }
}

/// The feature level of this version. Level 0, which is also that of a session without the field,
/// has neither job dependencies nor a limit on the size of host blocks. [`DEPENDENCIES`] and
/// [`REACHABILITY`] list what each later level adds.
pub const FEATURE_LEVEL: u32 = REACHABILITY;
/// Feature level that adds job dependencies (`waits_on`), the cancellation of a cancelled job's
/// dependents, host blocks of limited size and delegation requests in several parts.
pub const DEPENDENCIES: u32 = 1;
/// Feature level that adds reachability reports, commands relayed through another controller, the
/// takeover of roles that their owner reports as relinquished, and proposals of jobs to their owner
/// through the state service.
pub const REACHABILITY: u32 = 2;

/// The session of a controller, which lasts as long as the controller keeps its lease alive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The lease of the session; the record is deleted when the lease ends.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The feature level of the controller's process.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub format: u32,
    /// Wall-clock time at which the controller's process started, in microseconds. Earlier versions
    /// neither write nor read `process_started` and `quick_restarts`; these fields influence only
    /// which controller takes a role.
    #[serde(rename = "b", default)]
    pub process_started: Micros,
    /// Number of consecutive quick restarts that preceded this process.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub quick_restarts: u32,
}

/// The feature level of a controller's last process. The record outlasts the controller's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    /// The feature level of the controller's last process.
    #[serde(rename = "f")]
    pub format: u32,
}

/// The ownership of a role. It is valid only while the session of the owner has the lease given
/// here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// The controller that owns the role.
    #[serde(rename = "o")]
    pub owner: Member,
    /// The lease of the owner's session.
    #[serde(rename = "l")]
    pub lease: u64,
}

/// A delegation request: the hosts whose heartbeats a delegate asks to answer. The lease and the
/// number together identify the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationRequestRecord {
    /// Sequence number of the request within the delegate's session.
    #[serde(rename = "n")]
    pub number: u64,
    /// The lease of the delegate's session.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The hosts whose heartbeats the delegate asks to answer.
    #[serde(rename = "h")]
    pub hosts: Vec<HostId>,
}

/// A job proposed to its owner through the state service, by a controller that can't reach the
/// owner. The record is deleted with the proposer's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposalRecord {
    /// The controller that proposes the job.
    #[serde(rename = "b")]
    pub proposer: Member,
    /// The submission; `None` once the owner has rejected the job.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<JobRequest>,
    /// Time after which to submit the rejected job again, in seconds; `None` unless the owner has
    /// rejected the job.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

/// A delegation grant: the hosts whose heartbeats a delegate may answer, each with its fencing
/// token, and the request that is granted. The owner chooses the tokens because the delegate's
/// watch cache may have first seen a host's record in a later revision of the host's block; a token
/// from that revision would be higher than the owner's, and the host would then refuse the owner's
/// commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationGrantRecord {
    /// The number of the granted request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The lease of the delegate's session that wrote the request.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The hosts, with the fencing token to send to each.
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, FencingToken>,
}

/// Assignment of a host to a partition, or its state outside of partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostAssignment {
    /// The host belongs to a partition, whose owner may start tasks on it.
    #[serde(rename = "p")]
    Partition(u32),
    /// The host runs no tasks and belongs to no partition; the leader assigns it to one or returns
    /// it to the cloud.
    #[serde(rename = "f")]
    Free,
    /// The host is to be returned to the cloud and is never used again. The partition is given
    /// while tasks may still run on the host.
    #[serde(rename = "x")]
    Decommissioned(Option<u32>),
}

/// The stored state of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The assignment of the host.
    #[serde(rename = "u")]
    pub assignment: HostAssignment,
    /// The address to which commands for the host are sent.
    #[serde(rename = "a")]
    pub address: String,
    /// The machine type of the host.
    #[serde(rename = "k")]
    pub machine_type: Name,
    /// The zone that the host is in.
    #[serde(rename = "z")]
    pub zone: Name,
    /// Whether the host is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Number of times the record was rewritten. Counting makes every rewrite a change, so that the
    /// host's fencing token rises with the record's new revision.
    #[serde(rename = "g", default)]
    pub rewrites: u64,
}

/// A block of host records that are stored under one key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostBlock {
    /// The records of the hosts in the block.
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, HostRecord>,
}

impl HostRecord {
    /// Returns the partition that the host belongs to, or the last one while its tasks may still
    /// run on a decommissioned host.
    pub fn partition(&self) -> Option<u32> {
        match self.assignment {
            HostAssignment::Partition(partition)
            | HostAssignment::Decommissioned(Some(partition)) => Some(partition),
            _ => None,
        }
    }
}
