//! The records that controllers keep in the state service, and their keys.

use crate::{user::JobRequest, *};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All keys begin with this, so that one watch sees every change.
pub const ROOT: &str = "jh/";

pub fn job_key(id: &JobId) -> String {
    format!("jh/job/{id}")
}
/// Many hosts share a record: a fleet changes in bulk, and the state service counts writes.
pub fn block_key(block: u32) -> String {
    format!("jh/hosts/{block}")
}
pub fn session_key(member: &Member) -> String {
    format!("jh/session/{member}")
}
pub fn feature_level_key(member: &Member) -> String {
    format!("jh/format/{member}")
}
/// A role that one controller holds at a time: a partition, or the fleet.
pub fn role_key(role: Role) -> String {
    match role {
        Role::Partition(n) => format!("jh/part/{n}"),
        Role::Leader => "jh/leader".to_owned(),
    }
}

/// A delegate's name for one part of its asks. The first is its own, so that a single part looks
/// as it always did; an owner of any version answers each part as an ask of its own.
pub fn delegation_part(keeper: &Member, part: u32) -> Member {
    if part == 0 {
        keeper.clone()
    } else {
        Member::new(&format!("{keeper}/{part}"))
    }
}
/// What a controller asks to keep alive for owners that are out of reach.
pub fn delegation_request_key(keeper: &Member) -> String {
    format!("jh/ask/{keeper}")
}
/// A job that its owner is asked to decide on, by one who does not reach it.
pub fn proposal_key(id: &JobId) -> String {
    format!("jh/want/{id}")
}
/// What an owner lets a delegate answer for.
pub fn delegation_grant_key(partition: u32, keeper: &Member) -> String {
    format!("jh/grant/{partition}/{keeper}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    Partition(u32),
    Leader,
}

/// What a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    Job(JobId),
    Hosts(u32),
    Session(Member),
    Role(Role),
    DelegationRequest(Member),
    DelegationGrant(u32, Member),
    FeatureLevel(Member),
    Proposal(JobId),
    /// One part of the machine types.
    Types(u32),
}

/// The machine types as the cloud last gave them, for controllers that start while the cloud
/// is down.
pub fn types_key(part: u32) -> String {
    match part {
        0 => "jh/types".to_owned(),
        n => format!("jh/types/{n}"),
    }
}

impl Key {
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
                let (partition, keeper) = name.split_once('/')?;
                Self::DelegationGrant(partition.parse().ok()?, keeper.into())
            }
            "part" => Self::Role(Role::Partition(name.parse().ok()?)),
            _ => return None,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    #[serde(rename = "a")]
    Active,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// One job. Final records shrink: `request` goes, the phase and counts stay for good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(rename = "p")]
    pub phase: RecordPhase,
    #[serde(rename = "n")]
    pub done_count: u32,
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
    #[serde(rename = "t")]
    pub team: Name,
    #[serde(rename = "r")]
    pub each: Resources,
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

    /// What stays of a job that is called off, and may run.
    pub fn cancelled(request: &JobRequest, done_count: u32, at: Micros) -> Self {
        let remains = ResidualUsage {
            team: request.team.clone(),
            each: request.each,
            tasks: request.tasks,
            cancelled: at,
        };
        Self {
            residual_usage: Some(remains),
            ..Self::terminal(RecordPhase::Cancelled, done_count)
        }
    }
}

/// What this version understands. 0, or no word of it: nothing beyond single jobs and blocks of
/// any size. [`DEPENDENCIES`] and [`REACHABILITY`] say what came with the others.
pub const FEATURE_LEVEL: u32 = REACHABILITY;
/// `waits_on`, the spreading of cancellations, small blocks, asks in parts.
pub const DEPENDENCIES: u32 = 1;
/// Messages about links, commands through another controller, roles taken by the owner's word, jobs
/// put before their owner through the store.
pub const REACHABILITY: u32 = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRecord {
    #[serde(rename = "l")]
    pub lease: u64,
    /// The format that the process understands.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub format: u32,
    /// The time of day at which its process began, and the quick lives just before it. Earlier
    /// versions neither write nor read these; nothing but who serves depends on them.
    #[serde(rename = "b", default)]
    pub process_started: Micros,
    #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
    pub quick_restarts: u32,
}

/// The format that a member's last process understood; outlasts its session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeatureLevelRecord {
    #[serde(rename = "f")]
    pub format: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRecord {
    #[serde(rename = "o")]
    pub owner: Member,
    #[serde(rename = "l")]
    pub lease: u64,
}

/// The hosts that a delegate asks for. The lease and the number name the ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationRequestRecord {
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "l")]
    pub lease: u64,
    #[serde(rename = "h")]
    pub hosts: Vec<HostId>,
}

/// A job that is put before its owner through the store; gone with the asker's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposalRecord {
    /// Who asks.
    #[serde(rename = "b")]
    pub proposer: Member,
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<JobRequest>,
    /// Refused by the owner.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

/// The hosts that an owner lets a delegate answer for, with the tokens to show, and the ask
/// that this answers. The owner names the tokens: another controller's watch cache may have read a
/// host's record as part of a younger block, and a token above the owner's would shut it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegationGrantRecord {
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "l")]
    pub lease: u64,
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, FencingToken>,
}

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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    #[serde(rename = "u")]
    pub assignment: HostAssignment,
    #[serde(rename = "a")]
    pub address: String,
    #[serde(rename = "k")]
    pub machine_type: Name,
    #[serde(rename = "z")]
    pub zone: Name,
    #[serde(rename = "s")]
    pub spot: bool,
    /// Rewritten only to raise the token.
    #[serde(rename = "g", default)]
    pub rewrites: u64,
}

/// The hosts that share a record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostBlock {
    #[serde(rename = "h")]
    pub hosts: BTreeMap<HostId, HostRecord>,
}

impl HostRecord {
    pub fn partition(&self) -> Option<u32> {
        match self.assignment {
            HostAssignment::Partition(p) | HostAssignment::Decommissioned(Some(p)) => Some(p),
            _ => None,
        }
    }
}
