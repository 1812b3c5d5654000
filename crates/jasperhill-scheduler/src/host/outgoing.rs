//! The commands that the next message to a worker carries, and the token that it may carry.

use super::{FencingState, Host, TaskState, TokenRefresh};
use jasperhill_wire::{
    Attempt, FencingToken, Micros, TaskId,
    worker::{Command, ExitCause},
};

/// Maximum number of commands in one message, whose body must not exceed 64 KiB. The remaining
/// commands are sent in later messages.
const MAX_COMMANDS_PER_MESSAGE: usize = 600;

impl Host {
    /// Returns whether the worker may still execute a directly sent start of this attempt that it
    /// has not answered.
    pub(super) fn may_still_start(&self, task: &TaskId, attempt: Attempt) -> bool {
        let key = (task.clone(), attempt);
        self.in_doubt_starts.contains(&key)
            || self
                .in_flight_commands
                .as_ref()
                .is_some_and(|f| f.starts.contains(&key))
    }

    /// Returns the time up to which job cancellations were known when the outstanding direct starts
    /// under the current token were sent; the earliest such time if there are several.
    ///
    /// A caller renews the lease only for a bounded time after it. If leases were renewed for as
    /// long as such a start is in transit, its job could be cancelled in the meantime and the task
    /// still start, however much later.
    ///
    /// `None`: no start is outstanding, or the token was raised since, so that the next heartbeat
    /// response invalidates the start.
    pub fn outstanding_starts_known_as_of(&self) -> Option<Micros> {
        let in_flight = self
            .in_flight_commands
            .as_ref()
            .filter(|f| !f.starts.is_empty());
        let bases = [in_flight.map(|f| f.basis), self.in_doubt_basis];
        let current = bases
            .into_iter()
            .flatten()
            .filter(|basis| basis.token >= self.token);
        current.map(|basis| basis.known_as_of).min()
    }

    /// Returns the exited attempts that the worker may forget once no start of theirs can arrive
    /// any more, with their [`super::HostTask::direct_start_token`].
    fn clearable(
        &self,
        is_durable: impl Fn(&TaskId, ExitCause) -> bool,
    ) -> impl Iterator<Item = (&TaskId, Attempt, Option<FencingToken>)> {
        let stale = self
            .stale
            .iter()
            .map(|((task, attempt), token)| (task, *attempt, *token));
        let exited = self.tasks.iter().filter_map(move |(task, entry)| {
            let TaskState::Exited(cause) = entry.state else {
                return None;
            };
            is_durable(task, cause).then_some((task, entry.attempt, entry.direct_start_token))
        });
        stale
            .chain(exited)
            .filter(|(task, attempt, _)| !self.may_still_start(task, *attempt))
    }

    /// Returns whether an exited attempt can be cleared only in a message with a token above the
    /// host's: a late copy of its direct start would be executed under the present token.
    pub fn needs_higher_token_to_clear(
        &self,
        is_durable: impl Fn(&TaskId, ExitCause) -> bool,
    ) -> bool {
        self.clearable(is_durable)
            .any(|(_, _, direct_start)| direct_start >= Some(self.token))
    }

    /// Returns whether a message to the worker may carry a higher token than the last one. Under
    /// it the worker refuses what was sent with the present token: requests in flight, and the
    /// responses of a delegate.
    pub fn may_raise_token(&self, now: Micros) -> bool {
        self.fencing == FencingState::Fenced
            && self.token_refresh == TokenRefresh::NotNeeded
            && self.in_flight_commands.is_none()
            && self.lease_renewed_at_latest <= now
    }

    /// Returns the outstanding commands for the worker, limited to the size of one message.
    ///
    /// Commands are level-triggered: they are repeated until the heartbeats show their effect.
    /// `is_durable` returns whether the result of an exited task is stored, so that the worker may
    /// forget the task.
    pub fn commands(&self, is_durable: impl Fn(&TaskId, ExitCause) -> bool) -> Vec<Command> {
        // A copy of a direct start may arrive at any time after the start was answered. Once the
        // attempt is cleared, only a higher token keeps the worker from running it again.
        let mut commands: Vec<Command> = self
            .clearable(is_durable)
            .filter(|(_, _, direct_start)| *direct_start < Some(self.token))
            .map(|(task, attempt, _)| Command::Clear(task.clone(), attempt))
            .collect();
        for (task, entry) in &self.tasks {
            match (entry.state, entry.stopping) {
                (TaskState::Exited(_), _) => {}
                (_, Some((grace, _))) => {
                    commands.push(Command::Stop(task.clone(), entry.attempt, grace))
                }
                (TaskState::Ordered, None) => {
                    commands.push(Command::Start(task.clone(), entry.attempt))
                }
                _ => {}
            }
        }
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        commands
    }
}
