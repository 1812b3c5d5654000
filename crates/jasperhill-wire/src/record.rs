//! The records that controllers keep in the state service, and their keys.

use crate::{FencingToken, HostId, JobId, Member, Micros, Name, Resources, user::JobRequest};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All keys begin with this, so that one watch sees every change.
pub const ROOT: &str = "jh/";

/// The key of a job's record.
pub fn job_key(id: &JobId) -> String {
    format!("jh/job/{id}")
}
/// The key of a block of hosts. Many hosts share a record: a fleet changes in bulk, and the state service counts writes.
pub fn block_key(block: u32) -> String {
    format!("jh/hosts/{block}")
}
/// The key of a controller's session; goes with its lease.
pub fn session_key(member: &Member) -> String {
    format!("jh/session/{member}")
}
/// The key of what a controller understands; stays without it.
pub fn feature_level_key(member: &Member) -> String {
    format!("jh/format/{member}")
}
/// The key of the owner of a role.
pub fn role_key(role: Role) -> String {
    match role {
        Role::Partition(n) => format!("jh/part/{n}"),
        Role::Leader => "jh/leader".to_owned(),
    }
}

/// A delegate's name for one part of its delegation request. The first is its own, so that a
/// single part looks as it always did; an owner of any version answers each part as a request of
/// its own.
pub fn delegation_part(delegate: &Member, part: u32) -> Member {
    if part == 0 {
        delegate.clone()
    } else {
        Member::new(&format!("{delegate}/{part}"))
    }
}
/// The key of a delegation request: the hosts that a controller asks to answer for while their
/// owners are out of reach.
pub fn delegation_request_key(delegate: &Member) -> String {
    format!("jh/ask/{delegate}")
}
/// The key of a proposal: a job that its owner is asked to decide on by one who does not reach it.
pub fn proposal_key(id: &JobId) -> String {
    format!("jh/want/{id}")
}
/// The key of a delegation grant: the hosts that an owner lets a delegate answer for.
pub fn delegation_grant_key(partition: u32, delegate: &Member) -> String {
    format!("jh/grant/{partition}/{delegate}")
}

/// A role that one controller holds at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A partition of the teams, and the hosts assigned to it.
    Partition(u32),
    /// The leader of the fleet, who rents and returns machines.
    Leader,
}

/// What a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The record of a job.
    Job(JobId),
    /// A block of hosts.
    Hosts(u32),
    /// The session of a controller.
    Session(Member),
    /// The owner of a role.
    Role(Role),
    /// The hosts that a delegate asks for.
    DelegationRequest(Member),
    /// The hosts of a partition that a delegate may answer for.
    DelegationGrant(u32, Member),
    /// What a controller understands.
    FeatureLevel(Member),
    /// A job that is proposed to its owner.
    Proposal(JobId),
    /// One part of the machine types.
    Types(u32),
}

/// The key of a part of the machine types as the cloud last gave them, for controllers that start while the cloud
/// is down.
pub fn types_key(part: u32) -> String {
    match part {
        0 => "jh/types".to_owned(),
        n => format!("jh/types/{n}"),
    }
}

impl Key {
    /// What a key names; `None` for one that this version does not know.
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(ROOT)?;
        if rest == "leader" {
            return Some(Self::Role(Role::Leader));
        }
        if rest == "types" {
            return Some(Self::Types(0));
        }
        let (space, name) = rest.split_once('/')?;
        Some(match space {
            "job" => Self::Job(name.into()),
            "hosts" => Self::Hosts(name.parse().ok()?),
            "session" => Self::Session(name.into()),
            "types" => Self::Types(name.parse().ok().filter(|n| *n > 0)?),
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

/// The phase of a job as its record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// It is not over.
    #[serde(rename = "a")]
    Active,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// It was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// One job. Final records shrink: `request` goes, the phase and counts stay for good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The phase.
    #[serde(rename = "p")]
    pub phase: RecordPhase,
    /// Tasks that are done.
    #[serde(rename = "n")]
    pub done_count: u32,
    /// The submission, while the job is active.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<JobRequest>,
    /// Time of day of the first submission.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub submitted: Option<Micros>,
    /// Finished tasks: alternating lengths of unfinished and finished runs.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub finished: Vec<u32>,
    /// The tries after which it failed wherever it ran; 0 if nothing speaks against it.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub failed_attempts: u32,
    /// What its tasks may still take, if it was cancelled while they could run. Earlier versions
    /// neither write nor read it.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub residual_usage: Option<ResidualUsage>,
}

/// What the tasks of a cancelled job take until they are gone: whoever owns its partition next counts
/// it against the team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResidualUsage {
    /// The team that it counts against.
    #[serde(rename = "t")]
    pub team: Name,
    /// What each task takes.
    #[serde(rename = "r")]
    pub each: Resources,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Time of day of the cancellation.
    #[serde(rename = "a")]
    pub cancelled: Micros,
}

impl JobRecord {
    /// What stays of a job that is over.
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

    /// What stays of a job that is cancelled while its tasks may run. `at`: the time of day.
    pub fn cancelled(request: &JobRequest, done_count: u32, at: Micros) -> Self {
        let residual_usage = ResidualUsage {
            team: request.team.clone(),
            each: request.each,
            tasks: request.tasks,
            cancelled: at,
        };
        Self {
            residual_usage: Some(residual_usage),
            ..Self::terminal(RecordPhase::Cancelled, done_count)
        }
    }
}

/// What this version understands. 0, or no word of it: nothing beyond single jobs and blocks of
/// any size. [`DEPENDENCIES`] and [`REACHABILITY`] say what came with the others.
pub const FEATURE_LEVEL: u32 = REACHABILITY;
/// `waits_on`, the spreading of cancellations, small blocks, delegation requests in parts.
pub const DEPENDENCIES: u32 = 1;
/// Messages about links, commands through another controller, roles taken by the owner's word, jobs
/// proposed to their owner through the store.
pub const REACHABILITY: u32 = 2;

/// The session of a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session's lease.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The feature level of the process.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub format: u32,
    /// The time of day at which its process began. Earlier versions neither write nor read this
    /// and the next; nothing but who serves depends on them.
    #[serde(rename = "b", default)]
    pub process_started: Micros,
    /// The quick restarts just before that.
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub quick_restarts: u32,
}

/// The feature level of a member's last process; outlasts its session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    /// The feature level.
    #[serde(rename = "f")]
    pub format: u32,
}

/// The owner of a role. Counts only while the owner has that very session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// The owner.
    #[serde(rename = "o")]
    pub owner: Member,
    /// The owner's session.
    #[serde(rename = "l")]
    pub lease: u64,
}

/// The hosts that a delegate asks for. The lease and the number name the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationRequestRecord {
    /// Counts the requests of a session.
    #[serde(rename = "n")]
    pub number: u64,
    /// The delegate's session.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The hosts.
    #[serde(rename = "h")]
    pub hosts: Vec<HostId>,
}

/// A job that is put before its owner through the store; gone with the proposer's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposalRecord {
    /// The controller that proposes it.
    #[serde(rename = "b")]
    pub proposer: Member,
    /// The submission; gone once it is rejected.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<JobRequest>,
    /// Rejected by the owner: when to try again, in seconds.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

/// The hosts that an owner lets a delegate answer for, with the tokens to show, and the
/// request that this answers. The owner names the tokens: another controller's watch cache may have read a
/// host's record as part of a younger block, and a token above the owner's would shut it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationGrantRecord {
    /// The number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The delegate's session that asked.
    #[serde(rename = "l")]
    pub lease: u64,
    /// The hosts, and the fencing token to show each.
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, FencingToken>,
}

/// What a host is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostAssignment {
    /// In a partition, whose owner may start tasks.
    #[serde(rename = "p")]
    Partition(u32),
    /// Empty and in no partition; the leader gives it to one or returns it.
    #[serde(rename = "f")]
    Free,
    /// To be returned to the cloud; never used again. With a partition while tasks may run.
    #[serde(rename = "x")]
    Decommissioned(Option<u32>),
}

/// A host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// What it is used for.
    #[serde(rename = "u")]
    pub assignment: HostAssignment,
    /// Where it takes commands.
    #[serde(rename = "a")]
    pub address: String,
    /// Its machine type.
    #[serde(rename = "k")]
    pub machine_type: Name,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// It is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Rewritten only to raise the token.
    #[serde(rename = "g", default)]
    pub rewrites: u64,
}

/// The hosts that share a record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostBlock {
    /// The hosts of the block.
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, HostRecord>,
}

impl HostRecord {
    /// The partition that it belongs to, or did while tasks may run.
    pub fn partition(&self) -> Option<u32> {
        match self.assignment {
            HostAssignment::Partition(p) | HostAssignment::Decommissioned(Some(p)) => Some(p),
            _ => None,
        }
    }
}
