//! Heartbeats of workers, and commands to them.

use crate::{
    Attempt, FencingToken, HostId, Malformed, Member, Micros, Name, TaskId,
    fields::{Fields, bad, object},
};
use serde::Serialize;
use serde_json::Value;

/// Why a task has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// It has done its work.
    Done,
    /// It was told to stop.
    Stopped {
        /// Its checkpoint was saved.
        saved: bool,
    },
    /// Another task of its gang has gone.
    Peers,
    /// The other tasks of its gang did not come in time.
    Incomplete,
    /// It has failed.
    Error,
    /// The host has no room for it.
    NoRoom,
    /// Another start of the same task is on the host.
    Busy,
    /// No such task is known there.
    Unknown,
}

/// What a task is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its image is fetched.
    Fetching,
    /// It waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Checkpointing,
    /// It has exited; the host remembers it until it is cleared.
    Exited(ExitCause),
}

/// A task on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub attempt: Attempt,
    /// What it is at.
    pub phase: TaskPhase,
}

/// A worker's heartbeat with status, from `/hello`, or its answer to `/do` or `/inspect`.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// Where it takes commands.
    pub address: String,
    /// Its machine type.
    pub machine_type: Name,
    /// Its zone.
    pub zone: Name,
    /// It is a spot machine.
    pub spot: bool,
    /// Counts the sessions of the agent; one ends when its lease expires.
    pub incarnation: u64,
    /// Orders the heartbeats of an incarnation.
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    pub token: FencingToken,
    /// The cloud takes the machine back after this time.
    pub termination_notice: Option<Micros>,
    /// All tasks that it knows.
    pub tasks: Vec<TaskStatus>,
}

/// Tasks in a heartbeat, at most: more than any machine could hold.
const HEARTBEAT_TASKS_MAX: usize = 2_000;

impl Heartbeat {
    /// Reads a heartbeat. Unknown fields are ignored.
    ///
    /// # Errors
    /// Names the field that is missing or not of its form.
    pub fn parse(body: &[u8]) -> Result<Self, Malformed> {
        let map = object(body)?;
        let f = Fields(&map);
        let list = f.list("shards")?;
        if list.len() > HEARTBEAT_TASKS_MAX {
            return bad("shards", "too many");
        }
        let mut tasks = Vec::with_capacity(list.len());
        for item in list {
            let Value::Object(item) = item else {
                return bad("shards", "not objects");
            };
            tasks.push(Self::task_status(&Fields(item))?);
        }
        Ok(Self {
            host: f.text("host")?.into(),
            address: f.text("address")?.to_owned(),
            machine_type: f.text("hosttype")?.into(),
            zone: f.text("hall")?.into(),
            spot: f.flag("reclaimable")?,
            incarnation: f.count("tenure")?,
            sequence: f.count("counter")?,
            token: FencingToken(f.count("epoch")?),
            termination_notice: f.opt_amount("warning_s")?.map(Micros::from_secs_f64),
            tasks,
        })
    }

    fn task_status(f: &Fields<'_>) -> Result<TaskStatus, Malformed> {
        let Some(task) = TaskId::parse(f.text("shard")?) else {
            return bad("shard", "not of the form job-000412/3");
        };
        let phase = match f.text("phase")? {
            "pulling" => TaskPhase::Fetching,
            "waiting" => TaskPhase::Waiting,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Checkpointing,
            "exited" => TaskPhase::Exited(match f.text("cause")? {
                "done" => ExitCause::Done,
                "halted" => ExitCause::Stopped {
                    saved: f.opt("kept").and_then(Value::as_bool).unwrap_or(false),
                },
                "peers" => ExitCause::Peers,
                "incomplete" => ExitCause::Incomplete,
                "error" => ExitCause::Error,
                "no_room" => ExitCause::NoRoom,
                "busy" => ExitCause::Busy,
                "no_such" => ExitCause::Unknown,
                _ => return bad("cause", "unknown"),
            }),
            _ => return bad("phase", "unknown"),
        };
        Ok(TaskStatus {
            task,
            attempt: Attempt(f.count("try")?),
            phase,
        })
    }
}

/// What a worker is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Start a task.
    Start(TaskId, Attempt),
    /// Stop a task, with so much time to save a checkpoint.
    Stop(TaskId, Attempt, Micros),
    /// Forget a task that has exited.
    Clear(TaskId, Attempt),
}

impl Command {
    /// The task and the start of it that this is about.
    pub fn key(&self) -> (&TaskId, Attempt) {
        match self {
            Self::Start(t, a) | Self::Stop(t, a, _) | Self::Clear(t, a) => (t, *a),
        }
    }
}

#[derive(Serialize)]
struct CommandBody {
    verb: &'static str,
    shard: String,
    #[serde(rename = "try")]
    attempt: Attempt,
    #[serde(skip_serializing_if = "Option::is_none")]
    wind_down_s: Option<f64>,
}

#[derive(Serialize)]
struct CommandsBody {
    epoch: FencingToken,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenure")]
    incarnation: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<CommandBody>,
}

/// The body of a 200 to a heartbeat (`incarnation` absent) or of a `/do` (`incarnation` given).
pub fn commands_body(
    token: FencingToken,
    incarnation: Option<u64>,
    commands: &[Command],
) -> Vec<u8> {
    let commands = commands
        .iter()
        .map(|command| {
            let (task, attempt) = command.key();
            let (verb, wind_down_s) = match command {
                Command::Start(..) => ("run", None),
                Command::Stop(_, _, grace) => ("halt", Some(grace.as_secs_f64())),
                Command::Clear(..) => ("clear", None),
            };
            CommandBody {
                verb,
                shard: task.to_string(),
                attempt,
                wind_down_s,
            }
        })
        .collect();
    serde_json::to_vec(&CommandsBody {
        epoch: token,
        incarnation,
        commands,
    })
    .unwrap_or_default()
}

/// Where the body of a 421 sends a worker, if it names somebody.
pub fn redirected_to(body: &[u8]) -> Option<Member> {
    #[derive(serde::Deserialize)]
    struct Body {
        reports_to: Option<String>,
    }
    let body: Body = serde_json::from_slice(body).ok()?;
    body.reports_to.map(|m| Member::new(&m))
}

/// The body of a 421.
pub fn redirect_body(to: Option<&Member>) -> Vec<u8> {
    match to {
        Some(member) => serde_json::json!({ "reports_to": member.as_str() }).to_string(),
        None => "{}".to_owned(),
    }
    .into_bytes()
}
