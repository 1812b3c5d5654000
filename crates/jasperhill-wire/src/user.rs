//! Requests of users and the responses to them.

use crate::{
    JobId, Malformed, Micros, Name, Resources,
    fields::{Fields, bad, object},
};
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A job array: tasks that run on their own.
    #[serde(rename = "array")]
    Array,
    /// A gang: tasks that run together or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// How important a job is: the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The most important.
    #[serde(rename = "prod")]
    Production,
    /// Before the usual work.
    #[serde(rename = "urgent")]
    High,
    /// The usual one.
    #[serde(rename = "standard")]
    Normal,
    /// After everything else.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The name that its user gave it.
    #[serde(rename = "u")]
    pub id: JobId,
    /// The class that objectives name.
    #[serde(rename = "c")]
    pub class: Name,
    /// The team that it counts against.
    #[serde(rename = "t")]
    pub team: Name,
    /// How its tasks belong together.
    #[serde(rename = "k")]
    pub shape: Shape,
    /// How important it is.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each task takes.
    #[serde(rename = "r")]
    pub each: Resources,
    /// The image that its tasks run.
    #[serde(rename = "i")]
    pub image: Name,
    /// The size of the image in gigabytes.
    #[serde(rename = "g")]
    pub image_gb: f64,
    /// The machine types that it may run on; `None`: any.
    #[serde(rename = "y")]
    pub types: Option<Vec<Name>>,
    /// The zone that it has to run in; `None`: any.
    #[serde(rename = "z")]
    pub zone: Option<Name>,
    /// All tasks have to run in the same zone.
    #[serde(rename = "o")]
    pub one_zone: bool,
    /// No zone may hold more than half of the tasks.
    #[serde(rename = "s")]
    pub spread: bool,
    /// It may run on spot machines.
    #[serde(rename = "l")]
    pub spot: bool,
    /// How long a task is expected to run.
    #[serde(rename = "e")]
    pub estimate: Micros,
    /// The time between two checkpoints of a task.
    #[serde(rename = "ce")]
    pub checkpoint_every: Micros,
    /// How long a task takes to save a checkpoint.
    #[serde(rename = "sv")]
    pub checkpoint_time: Micros,
    /// How long after the submission it has to be done; `None`: whenever.
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// Jobs that have to be done before any task of this one starts; sorted, each once.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// Tasks of a job, at most.
pub const TASKS_MAX: u64 = 100_000;

impl JobRequest {
    /// Reads a submission. Unknown fields are ignored.
    ///
    /// # Errors
    /// Names the field that is missing or not of its form.
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
            dependencies: Self::parse_dependencies(&f)?,
        })
    }

    fn parse_dependencies(f: &Fields<'_>) -> Result<Vec<JobId>, Malformed> {
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

    /// Whether its tasks may run on a host of that type and zone.
    pub fn allows_host(&self, kind: &Name, zone: &Name, spot: bool) -> bool {
        self.allows_type(kind)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// Whether its tasks may run on that machine type.
    pub fn allows_type(&self, kind: &Name) -> bool {
        self.types.as_ref().is_none_or(|list| list.contains(kind))
    }
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// It was cancelled, or a job that it depends on was.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to a submission or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobResponse<'a> {
    /// The job.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// Its phase.
    pub phase: JobPhase,
}

/// The answer to a poll.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatus<'a> {
    /// The job.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// Its phase.
    pub phase: JobPhase,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run, as last heard.
    pub running: u32,
}

/// The body of every refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, for a person to read.
    pub error: String,
}
