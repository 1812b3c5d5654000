//! Heartbeats from workers and commands to them.
//!
//! [`Heartbeat::parse`] validates what a worker sends; [`commands_body`] and [`redirect_body`]
//! write what a worker receives.

use crate::{
    Attempt, FencingToken, HostId, Malformed, Member, Micros, Name, TaskId,
    fields::{Fields, field_error, parse_object},
};
use serde::Serialize;
use serde_json::Value;

/// Reason why a task has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// The task finished its work.
    Done,
    /// The task was stopped by a command.
    Stopped {
        /// Whether the task's checkpoint was saved.
        saved: bool,
    },
    /// Another task of the same gang exited.
    Peers,
    /// The other tasks of the gang were not ready in time.
    Incomplete,
    /// The task failed.
    Error,
    /// The host had insufficient free resources for the task.
    NoRoom,
    /// Another attempt of the same task is on the host.
    Busy,
    /// The host does not know the task.
    Unknown,
}

/// Phase of a task on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The host is fetching the task's image.
    Fetching,
    /// The task is waiting for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint before it stops.
    Checkpointing,
    /// The task has exited. The host keeps this status until a [`Command::Clear`].
    Exited(ExitCause),
}

/// Status of one attempt of a task on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task that the status describes.
    pub task: TaskId,
    /// The attempt of the task that the status describes.
    pub attempt: Attempt,
    /// The phase of this attempt.
    pub phase: TaskPhase,
}

/// A worker's heartbeat with the status of its tasks: sent to `/hello`, or returned in response to
/// `/do` or `/inspect`.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The host that the worker runs on.
    pub host: HostId,
    /// The address to which commands for the worker are sent.
    pub address: String,
    /// The machine type of the host.
    pub machine_type: Name,
    /// The zone that the host is in.
    pub zone: Name,
    /// Whether the host is a spot machine.
    pub spot: bool,
    /// Counter of the worker's sessions. A session ends when the worker's lease expires.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within its incarnation.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// Time until the cloud reclaims the machine; `None`: no termination is announced.
    pub termination_notice: Option<Micros>,
    /// The status of every task that the worker knows.
    pub tasks: Vec<TaskStatus>,
}

/// Most tasks accepted in a heartbeat; more than any machine can hold.
const HEARTBEAT_TASKS_MAX: usize = 2_000;

impl Heartbeat {
    /// Parses and validates a heartbeat. Unknown fields are ignored.
    ///
    /// # Errors
    /// [`Malformed`] names the field that is missing or invalid.
    pub fn parse(body: &[u8]) -> Result<Self, Malformed> {
        let object = parse_object(body)?;
        let fields = Fields(&object);
        let list = fields.list("shards")?;
        if list.len() > HEARTBEAT_TASKS_MAX {
            return field_error("shards", "too many");
        }
        let mut tasks = Vec::with_capacity(list.len());
        for item in list {
            let Value::Object(item) = item else {
                return field_error("shards", "not objects");
            };
            tasks.push(Self::parse_task_status(&Fields(item))?);
        }
        Ok(Self {
            host: fields.string("host")?.into(),
            address: fields.string("address")?.to_owned(),
            machine_type: fields.string("hosttype")?.into(),
            zone: fields.string("hall")?.into(),
            spot: fields.boolean("reclaimable")?,
            incarnation: fields.unsigned_integer("tenure")?,
            sequence: fields.unsigned_integer("counter")?,
            token: FencingToken(fields.unsigned_integer("epoch")?),
            termination_notice: fields
                .optional_amount("warning_s")?
                .map(Micros::from_secs_f64),
            tasks,
        })
    }

    fn parse_task_status(fields: &Fields<'_>) -> Result<TaskStatus, Malformed> {
        let Some(task) = TaskId::parse(fields.string("shard")?) else {
            return field_error("shard", "not of the form job-000412/3");
        };
        let phase = match fields.string("phase")? {
            "pulling" => TaskPhase::Fetching,
            "waiting" => TaskPhase::Waiting,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Checkpointing,
            "exited" => TaskPhase::Exited(match fields.string("cause")? {
                "done" => ExitCause::Done,
                "halted" => ExitCause::Stopped {
                    saved: fields
                        .optional("kept")
                        .and_then(Value::as_bool)
                        .unwrap_or(false),
                },
                "peers" => ExitCause::Peers,
                "incomplete" => ExitCause::Incomplete,
                "error" => ExitCause::Error,
                "no_room" => ExitCause::NoRoom,
                "busy" => ExitCause::Busy,
                "no_such" => ExitCause::Unknown,
                _ => return field_error("cause", "unknown"),
            }),
            _ => return field_error("phase", "unknown"),
        };
        Ok(TaskStatus {
            task,
            attempt: Attempt(fields.unsigned_integer("try")?),
            phase,
        })
    }
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Starts an attempt of a task.
    Start(TaskId, Attempt),
    /// Stops an attempt of a task. The duration is the time that the task has to save a checkpoint.
    Stop(TaskId, Attempt, Micros),
    /// Removes the status of an exited attempt from the worker.
    Clear(TaskId, Attempt),
}

impl Command {
    /// Returns the task and the attempt that the command refers to.
    pub fn key(&self) -> (&TaskId, Attempt) {
        match self {
            Self::Start(task, attempt)
            | Self::Stop(task, attempt, _)
            | Self::Clear(task, attempt) => (task, *attempt),
        }
    }
}

#[derive(Serialize)]
struct CommandBody {
    verb: &'static str,
    #[serde(rename = "shard")]
    task: String,
    #[serde(rename = "try")]
    attempt: Attempt,
    #[serde(rename = "wind_down_s", skip_serializing_if = "Option::is_none")]
    grace_period_s: Option<f64>,
}

#[derive(Serialize)]
struct CommandsBody {
    #[serde(rename = "epoch")]
    token: FencingToken,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenure")]
    incarnation: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<CommandBody>,
}

/// Returns the body of a 200 response to a heartbeat, for which `incarnation` is `None`, or of a
/// `/do` request, which names the worker's incarnation.
pub fn commands_body(
    token: FencingToken,
    incarnation: Option<u64>,
    commands: &[Command],
) -> Vec<u8> {
    let commands = commands
        .iter()
        .map(|command| {
            let (task, attempt) = command.key();
            let (verb, grace_period_s) = match command {
                Command::Start(..) => ("run", None),
                Command::Stop(_, _, grace_period) => ("halt", Some(grace_period.as_secs_f64())),
                Command::Clear(..) => ("clear", None),
            };
            CommandBody {
                verb,
                task: task.to_string(),
                attempt,
                grace_period_s,
            }
        })
        .collect();
    serde_json::to_vec(&CommandsBody {
        token,
        incarnation,
        commands,
    })
    .unwrap_or_default()
}

/// Returns the controller to which the body of a 421 response redirects a worker; `None` if the
/// body names no controller or is malformed.
pub fn redirected_to(body: &[u8]) -> Option<Member> {
    #[derive(serde::Deserialize)]
    struct Body {
        #[serde(rename = "reports_to")]
        owner: Option<String>,
    }
    let body: Body = serde_json::from_slice(body).ok()?;
    body.owner.map(|owner| Member::new(&owner))
}

/// Returns the body of a 421 response, which redirects a worker to `owner` if one is known.
pub fn redirect_body(owner: Option<&Member>) -> Vec<u8> {
    match owner {
        Some(owner) => serde_json::json!({ "reports_to": owner.as_str() }).to_string(),
        None => "{}".to_owned(),
    }
    .into_bytes()
}
