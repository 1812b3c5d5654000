//! Requests of users and the responses to them.
//!
//! [`JobRequest::parse`] validates a submission. The same [`JobRequest`], with short field names,
//! is part of the job's record in the state service and of messages between controllers.

use crate::{
    JobId, Malformed, Micros, Name, Resources,
    fields::{Fields, field_error, parse_object},
};
use serde::{Deserialize, Serialize};

/// How the tasks of a job relate to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A job array, whose tasks run independently.
    #[serde(rename = "array")]
    Array,
    /// A gang, whose tasks run simultaneously or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// A service, whose tasks are replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job. Smaller values are scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The highest priority, for production work.
    #[serde(rename = "prod")]
    Production,
    /// Above the normal priority.
    #[serde(rename = "urgent")]
    High,
    /// The normal priority.
    #[serde(rename = "standard")]
    Normal,
    /// The lowest priority.
    #[serde(rename = "idle")]
    Low,
}

/// A job as its user submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The job's id, chosen by the user.
    #[serde(rename = "u")]
    pub id: JobId,
    /// The job's class, by which objectives select jobs.
    #[serde(rename = "c")]
    pub class: Name,
    /// The team whose limit the job's resources count against.
    #[serde(rename = "t")]
    pub team: Name,
    /// How the job's tasks relate to one another.
    #[serde(rename = "k")]
    pub shape: Shape,
    /// The job's priority.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of the job's tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Resources of each task.
    #[serde(rename = "r")]
    pub each: Resources,
    /// The image that the tasks run.
    #[serde(rename = "i")]
    pub image: Name,
    /// Size of the image, in gigabytes.
    #[serde(rename = "g")]
    pub image_gb: f64,
    /// The machine types that the job may run on; `None`: any.
    #[serde(rename = "y")]
    pub types: Option<Vec<Name>>,
    /// The zone that the job must run in; `None`: any.
    #[serde(rename = "z")]
    pub zone: Option<Name>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "o")]
    pub one_zone: bool,
    /// Whether the tasks must be spread so that no zone holds more than half of them, rounded up.
    #[serde(rename = "s")]
    pub spread: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "l")]
    pub spot: bool,
    /// Expected run time of a task.
    #[serde(rename = "e")]
    pub estimate: Micros,
    /// Time between two checkpoints of a task.
    #[serde(rename = "ce")]
    pub checkpoint_every: Micros,
    /// Time that a task takes to save a checkpoint.
    #[serde(rename = "sv")]
    pub checkpoint_time: Micros,
    /// Time after the submission by which the job must have finished; `None`: no deadline.
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// The jobs that must finish before any task of this job starts; sorted and without duplicates.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

/// Most tasks accepted in a job.
pub const TASKS_PER_JOB_MAX: u64 = 100_000;

impl JobRequest {
    /// Parses and validates a submission. Unknown fields are ignored.
    ///
    /// # Errors
    /// [`Malformed`] names the field that is missing or invalid.
    pub fn parse(body: &[u8]) -> Result<Self, Malformed> {
        let object = parse_object(body)?;
        let fields = Fields(&object);
        let id = JobId::parse(fields.string("uid")?).ok_or(Malformed {
            field: "uid",
            reason: "not of the form job-000412",
        })?;
        let shape = match fields.string("shape")? {
            "array" => Shape::Array,
            "ensemble" => Shape::Gang,
            "daemon" => Shape::Service,
            _ => return field_error("shape", "none of array, ensemble, daemon"),
        };
        let priority = match fields.string("urgency")? {
            "prod" => Priority::Production,
            "urgent" => Priority::High,
            "standard" => Priority::Normal,
            "idle" => Priority::Low,
            _ => return field_error("urgency", "none of prod, urgent, standard, idle"),
        };
        let tasks = fields.unsigned_integer("shards")?;
        if !(1..=TASKS_PER_JOB_MAX).contains(&tasks) {
            return field_error("shards", "must be from 1 to 100000");
        }
        let from_secs = Micros::from_secs_f64;
        Ok(Self {
            id,
            class: fields.string("jobclass")?.into(),
            team: fields.string("tenant")?.into(),
            shape,
            priority,
            tasks: tasks as u32,
            each: Resources::from_units(
                fields.amount("vcpus")?,
                fields.amount("accelerators")?,
                fields.amount("memory_gb")?,
            ),
            image: fields.string("bundle")?.into(),
            image_gb: fields.amount("size_gb")?,
            types: fields
                .optional_strings("hosttypes")?
                .map(|list| list.into_iter().map(Name::from).collect()),
            zone: fields.optional_string("hall")?.map(Name::from),
            one_zone: fields.boolean("together")?,
            spread: fields.boolean("apart")?,
            spot: fields.boolean("reclaimable")?,
            estimate: from_secs(fields.amount("expected_s")?),
            checkpoint_every: from_secs(fields.amount("snapshot_every_s")?),
            checkpoint_time: from_secs(fields.amount("snapshot_s")?),
            deadline: fields.optional_amount("due_s")?.map(from_secs),
            dependencies: Self::parse_dependencies(&fields)?,
        })
    }

    fn parse_dependencies(fields: &Fields<'_>) -> Result<Vec<JobId>, Malformed> {
        let mut ids = Vec::new();
        for item in fields.optional_list("waits_on")? {
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

    /// Returns the job id of a submission that is otherwise malformed; `None` if the id can't be
    /// read either.
    pub fn parse_id(body: &[u8]) -> Option<JobId> {
        JobId::parse(Fields(&parse_object(body).ok()?).string("uid").ok()?)
    }

    /// Returns the largest number of the job's tasks that may run in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Returns whether the job's tasks may run on a host of this machine type and zone; `spot` says
    /// whether the host is a spot machine.
    pub fn allows_host(&self, machine_type: &Name, zone: &Name, spot: bool) -> bool {
        self.allows_type(machine_type)
            && self.zone.as_ref().is_none_or(|required| required == zone)
            && (self.spot || !spot)
    }

    /// Returns whether the job's tasks may run on this machine type.
    pub fn allows_type(&self, machine_type: &Name) -> bool {
        self.types
            .as_ref()
            .is_none_or(|allowed| allowed.contains(machine_type))
    }
}

/// Phase of a job, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks have finished.
    Done,
    /// The job was cancelled, or a job that it depends on was.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The response body for a submission or a cancellation.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobResponse<'a> {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// The job's phase.
    pub phase: JobPhase,
}

/// The response body for a status query.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobStatus<'a> {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: &'a str,
    /// The job's phase.
    pub phase: JobPhase,
    /// Number of the job's tasks that have finished.
    pub done: u32,
    /// Number of running tasks, by the latest information.
    pub running: u32,
}

/// The response body for a request that is refused.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Why the request was refused, as text for people.
    pub error: String,
}
