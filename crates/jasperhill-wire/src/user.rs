//! What users send and get.

use crate::{
    fields::{Fields, bad, object},
    *,
};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

/// In order of importance: the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "prod")]
    Production,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    #[serde(rename = "u")]
    pub id: JobId,
    #[serde(rename = "c")]
    pub class: Name,
    #[serde(rename = "t")]
    pub team: Name,
    #[serde(rename = "k")]
    pub shape: Shape,
    #[serde(rename = "p")]
    pub priority: Priority,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "r")]
    pub each: Resources,
    #[serde(rename = "i")]
    pub image: Name,
    #[serde(rename = "g")]
    pub image_gb: f64,
    #[serde(rename = "y")]
    pub types: Option<Vec<Name>>,
    #[serde(rename = "z")]
    pub zone: Option<Name>,
    #[serde(rename = "o")]
    pub one_zone: bool,
    #[serde(rename = "s")]
    pub spread: bool,
    #[serde(rename = "l")]
    pub spot: bool,
    #[serde(rename = "e")]
    pub estimate: Micros,
    #[serde(rename = "ce")]
    pub checkpoint_every: Micros,
    #[serde(rename = "sv")]
    pub checkpoint_time: Micros,
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// Jobs that have to be done before any task of this one starts; sorted, each once.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

pub const TASKS_MAX: u64 = 100_000;

impl JobRequest {
    /// Reads a submission. Unknown fields are ignored.
    pub fn parse(body: &[u8]) -> Result<Self, Malformed> {
        let map = object(body)?;
        let f = Fields(&map);
        let id = JobId::parse(f.text("uid")?).ok_or(Malformed {
            field: "uid",
            reason: "not of the form job-000412",
        })?;
        let shape = match f.text("shape")? {
            "array" => Shape::Array,
            "ensemble" => Shape::Gang,
            "daemon" => Shape::Service,
            _ => return bad("shape", "none of array, ensemble, daemon"),
        };
        let priority = match f.text("urgency")? {
            "prod" => Priority::Production,
            "urgent" => Priority::High,
            "standard" => Priority::Normal,
            "idle" => Priority::Low,
            _ => return bad("urgency", "none of prod, urgent, standard, idle"),
        };
        let tasks = f.count("shards")?;
        if !(1..=TASKS_MAX).contains(&tasks) {
            return bad("shards", "must be from 1 to 100000");
        }
        let secs = Micros::from_secs_f64;
        Ok(Self {
            id,
            class: f.text("jobclass")?.into(),
            team: f.text("tenant")?.into(),
            shape,
            priority,
            tasks: tasks as u32,
            each: Resources::from_units(
                f.amount("vcpus")?,
                f.amount("accelerators")?,
                f.amount("memory_gb")?,
            ),
            image: f.text("bundle")?.into(),
            image_gb: f.amount("size_gb")?,
            types: f
                .opt_texts("hosttypes")?
                .map(|list| list.into_iter().map(Name::from).collect()),
            zone: f.opt_text("hall")?.map(Name::from),
            one_zone: f.flag("together")?,
            spread: f.flag("apart")?,
            spot: f.flag("reclaimable")?,
            estimate: secs(f.amount("expected_s")?),
            checkpoint_every: secs(f.amount("snapshot_every_s")?),
            checkpoint_time: secs(f.amount("snapshot_s")?),
            deadline: f.opt_amount("due_s")?.map(secs),
            dependencies: Self::waits(&f)?,
        })
    }

    fn waits(f: &Fields<'_>) -> Result<Vec<JobId>, Malformed> {
        let mut ids = Vec::new();
        for item in f.opt_list("waits_on")? {
            let id = item.as_str().and_then(JobId::parse).ok_or(Malformed {
                field: "waits_on",
                reason: "not a list of job ids",
            })?;
            ids.push(id);
        }
        ids.sort();
        ids.dedup();
        Ok(ids)
    }

    /// The id alone, for a submission that is not understood as a whole.
    pub fn parse_id(body: &[u8]) -> Option<JobId> {
        JobId::parse(Fields(&object(body).ok()?).text("uid").ok()?)
    }

    /// Most tasks that one zone may hold.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    pub fn allows_host(&self, kind: &Name, zone: &Name, spot: bool) -> bool {
        self.allows_type(kind)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    pub fn allows_type(&self, kind: &Name) -> bool {
        self.types.as_ref().is_none_or(|list| list.contains(kind))
    }
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    Pending,
    Running,
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobResponse<'a> {
    #[serde(rename = "uid")]
    pub id: &'a str,
    pub phase: JobPhase,
}

/// The answer to a poll.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatus<'a> {
    #[serde(rename = "uid")]
    pub id: &'a str,
    pub phase: JobPhase,
    pub done: u32,
    pub running: u32,
}

/// The body of every refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    pub error: String,
}
