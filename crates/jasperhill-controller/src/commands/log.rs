//! Log lines and counters by which the commands for one attempt of a task can be followed, from its
//! start to its clear.

use jasperhill_scheduler::Host;
use jasperhill_wire::{Revision, worker::Command};
use std::fmt;

/// The message that carries commands to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CommandMessage {
    /// The response to a heartbeat, which the worker drops if it arrives late.
    HeartbeatResponse,
    /// A direct request, of which a copy may arrive late.
    DirectRequest,
}

/// Numbers of commands and events since the last periodic log line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CommandCounts {
    /// Start commands in direct requests.
    pub direct_starts: u64,
    /// Start commands in responses to heartbeats.
    pub heartbeat_starts: u64,
    /// Stop commands.
    pub stops: u64,
    /// Clear commands.
    pub clears: u64,
    /// Host records rewritten to raise a fencing token.
    pub token_writes: u64,
    /// Reports of attempts that their workers had been told to clear.
    pub cleared_attempts_reported: u64,
}

impl CommandCounts {
    /// Counts and logs the commands of one message to a host's worker, with the token that they are
    /// sent under and the revision of the watch cache that they rest on. A message without commands
    /// is not logged.
    pub fn record_message(
        &mut self,
        host: &Host,
        message: CommandMessage,
        commands: &[Command],
        cache_revision: Revision,
    ) {
        if commands.is_empty() {
            return;
        }
        self.add(message, commands);
        tracing::info!(
            host = %host.id,
            ?message,
            token = host.token.0,
            incarnation = host.incarnation,
            revision = cache_revision.0,
            commands = %CommandList(commands),
            "commands sent"
        );
    }

    /// Logs the counts since the last call and resets them.
    pub fn log(&mut self) {
        let counts = std::mem::take(self);
        tracing::info!(
            direct_starts = counts.direct_starts,
            heartbeat_starts = counts.heartbeat_starts,
            stops = counts.stops,
            clears = counts.clears,
            token_writes = counts.token_writes,
            cleared_attempts_reported = counts.cleared_attempts_reported,
            "commands"
        );
    }

    /// Counts the commands of one message.
    fn add(&mut self, message: CommandMessage, commands: &[Command]) {
        for command in commands {
            let count = match (command, message) {
                (Command::Start(..), CommandMessage::DirectRequest) => &mut self.direct_starts,
                (Command::Start(..), CommandMessage::HeartbeatResponse) => {
                    &mut self.heartbeat_starts
                }
                (Command::Stop(..), _) => &mut self.stops,
                (Command::Clear(..), _) => &mut self.clears,
            };
            *count += 1;
        }
    }
}

/// Commands as they are logged: `start job-000412/3@1375732016, clear job-000398/0@1375731989`.
struct CommandList<'a>(&'a [Command]);

impl fmt::Display for CommandList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, command) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            let verb = match command {
                Command::Start(..) => "start",
                Command::Stop(..) => "stop",
                Command::Clear(..) => "clear",
            };
            let (task, attempt) = command.key();
            write!(f, "{separator}{verb} {task}@{attempt}")?;
        }
        Ok(())
    }
}
