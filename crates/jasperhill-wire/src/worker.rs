//! What workers report and are told.

use crate::{
    fields::{Fields, bad, object},
    *,
};
use serde::Serialize;
use serde_json::Value;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    Stopped { saved: bool },
    Peers,
    Incomplete,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    Fetching,
    Waiting,
    Running,
    Checkpointing,
    Exited(ExitCause),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub phase: TaskPhase,
}

/// A worker's report, from `/hello`, `/do` or `/inspect`.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub host: HostId,
    pub address: String,
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: FencingToken,
    pub termination_notice: Option<Micros>,
    pub tasks: Vec<TaskStatus>,
}

/// More tasks than any machine could hold.
const REPORT_TASKS_MAX: usize = 2_000;

impl Heartbeat {
    pub fn parse(body: &[u8]) -> Result<Self, Malformed> {
        let map = object(body)?;
        let f = Fields(&map);
        let list = f.list("shards")?;
        if list.len() > REPORT_TASKS_MAX {
            return bad("shards", "too many");
        }
        let mut tasks = Vec::with_capacity(list.len());
        for item in list {
            let Value::Object(item) = item else {
                return bad("shards", "not objects");
            };
            tasks.push(Self::task(&Fields(item))?);
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

    fn task(f: &Fields<'_>) -> Result<TaskStatus, Malformed> {
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
    Start(TaskId, Attempt),
    Stop(TaskId, Attempt, Micros),
    Clear(TaskId, Attempt),
}

impl Command {
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

/// The body of a 200 to a report (`incarnation` absent) or of a `/do` (`incarnation` given).
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
