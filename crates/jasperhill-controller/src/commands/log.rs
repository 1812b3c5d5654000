//! Log lines and counters by which the commands for one attempt of a task can be followed, from its
//! start to its clear.

use hdrhistogram::Histogram;
use jasperhill_scheduler::Host;
use jasperhill_wire::{Micros, Revision, worker::Command};
use std::fmt;

/// Longest start delay that is distinguished, in milliseconds.
const START_DELAY_MAX_MS: u64 = 600_000;
/// Significant decimal digits of start delays.
const START_DELAY_DIGITS: u8 = 2;

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
    /// Size of the longest heartbeat, in bytes.
    pub heartbeat_bytes_max: usize,
}

/// What the periodic log line about commands reports.
pub(crate) struct CommandMetrics {
    /// Numbers since the last line.
    pub counts: CommandCounts,
    /// Times from the order to the start of tasks since the last line, in milliseconds; `None` if
    /// the histogram could not be created.
    start_delays_ms: Option<Histogram<u64>>,
}

impl CommandMetrics {
    /// Returns metrics without any events.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, START_DELAY_MAX_MS, START_DELAY_DIGITS);
        Self {
            counts: CommandCounts::default(),
            start_delays_ms: histogram.ok(),
        }
    }

    /// Records the size of a received heartbeat, in bytes.
    pub fn record_heartbeat(&mut self, bytes: usize) {
        self.counts.heartbeat_bytes_max = self.counts.heartbeat_bytes_max.max(bytes);
    }

    /// Records the time from the order to the start of a task, which includes its image.
    pub fn record_start(&mut self, delay: Micros) {
        if let Some(histogram) = &mut self.start_delays_ms {
            histogram.saturating_record(delay.0 / 1_000);
        }
    }

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
        self.count(message, commands);
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

    /// Logs what was recorded since the last call and resets it.
    pub fn log(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let quantile = |q| {
            let histogram = self.start_delays_ms.as_ref();
            histogram.map_or(0, |delays| delays.value_at_quantile(q))
        };
        tracing::info!(
            direct_starts = counts.direct_starts,
            heartbeat_starts = counts.heartbeat_starts,
            start_ms_median = quantile(0.5),
            start_ms_p99 = quantile(0.99),
            stops = counts.stops,
            clears = counts.clears,
            token_writes = counts.token_writes,
            cleared_attempts_reported = counts.cleared_attempts_reported,
            heartbeat_bytes_max = counts.heartbeat_bytes_max,
            "commands"
        );
        if let Some(histogram) = &mut self.start_delays_ms {
            histogram.reset();
        }
    }

    /// Counts the commands of one message.
    fn count(&mut self, message: CommandMessage, commands: &[Command]) {
        let counts = &mut self.counts;
        for command in commands {
            let count = match (command, message) {
                (Command::Start(..), CommandMessage::DirectRequest) => &mut counts.direct_starts,
                (Command::Start(..), CommandMessage::HeartbeatResponse) => {
                    &mut counts.heartbeat_starts
                }
                (Command::Stop(..), _) => &mut counts.stops,
                (Command::Clear(..), _) => &mut counts.clears,
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
