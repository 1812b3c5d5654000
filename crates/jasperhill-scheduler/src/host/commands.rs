//! Handlers of [`Host::apply`] for commands to a worker: commands sent with heartbeat responses and
//! by direct requests, unanswered requests, token changes, and orders to start or stop tasks.

use super::{
    CommandBasis, FencingState, Host, HostOutput, HostTask, InFlightCommands, TaskState,
    TokenRefresh,
};
use jasperhill_wire::{
    Attempt, FencingToken, Micros, Name, Resources, TaskId,
    worker::{Command, ExitCause},
};

impl Host {
    /// Records that a heartbeat was answered with status 200, which renews the lease, and that the
    /// response carried these commands.
    pub(super) fn on_answered(&mut self, commands: &[Command], now: Micros) {
        self.lease_renewed_at_latest = self.lease_renewed_at_latest.max(now);
        self.last_answered_here = Some(now);
        for command in commands {
            if let Command::Start(task, attempt) = command
                && let Some(entry) = self.tasks.get_mut(task)
                && entry.attempt == *attempt
            {
                entry.has_unacknowledged_start = true;
            }
        }
    }

    /// Records the starts of a direct request. `known_as_of`: time up to which the sender knows job
    /// cancellations.
    pub(super) fn on_direct_sent(&mut self, commands: Vec<Command>, known_as_of: Micros) {
        let starts = commands.into_iter().filter_map(|command| match command {
            Command::Start(task, attempt) => Some((task, attempt)),
            Command::Stop(..) | Command::Clear(..) => None,
        });
        let starts: Vec<(TaskId, Attempt)> = starts.collect();
        let token = self.token;
        for (task, attempt) in &starts {
            if let Some(entry) = self.tasks.get_mut(task)
                && entry.attempt == *attempt
            {
                entry.direct_start_token = Some(token);
            }
        }
        self.in_flight_commands = Some(InFlightCommands {
            starts,
            basis: CommandBasis { token, known_as_of },
        });
    }

    /// Marks the starts of an unanswered direct request as in doubt, unless the worker's lease has
    /// expired and nothing can run there.
    pub(super) fn on_direct_unanswered(&mut self) {
        if let Some(in_flight) = self.in_flight_commands.take()
            && !in_flight.starts.is_empty()
            && self.fencing != FencingState::LeaseExpired
        {
            self.in_doubt_starts.extend(in_flight.starts);
            self.in_doubt_basis = Some(in_flight.basis);
            self.token_refresh = TokenRefresh::Needed;
        }
    }

    /// Takes over the token of the rewritten host record. If a raised token was needed, the host
    /// gets new tasks again once its worker shows this token.
    pub(super) fn on_token_raised(&mut self, token: FencingToken) {
        if token > self.token {
            self.token = token;
            if self.token_refresh == TokenRefresh::Needed {
                self.token_refresh = TokenRefresh::UntilShown(token);
            }
        }
    }

    /// Withholds new tasks from a worker that does not receive the responses to its heartbeats,
    /// until it shows a raised token, which proves that it has received a response. Otherwise such
    /// a machine would be given new tasks in each of its incarnations and never learn of them.
    pub(super) fn on_not_receiving(&mut self) {
        if self.token_refresh == TokenRefresh::NotNeeded {
            self.token_refresh = TokenRefresh::Needed;
        }
    }

    /// Orders a task to start with these resources (`each`) and the image with this name and size
    /// in GB.
    pub(super) fn on_start(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        each: Resources,
        image: (Name, f64),
        now: Micros,
    ) {
        self.idle_since = None;
        if let Some(previous) = self.tasks.remove(&task) {
            let key = (task.clone(), previous.attempt);
            self.stale.insert(key, previous.direct_start_token);
        }
        let entry = HostTask {
            attempt,
            state: TaskState::Ordered,
            resources: each,
            ordered_at: now,
            running_since: None,
            stopping: None,
            image: Some(image),
            has_unacknowledged_start: false,
            direct_start_token: None,
        };
        self.tasks.insert(task, entry);
    }

    /// Orders a task to stop within `grace`, or within the shorter grace period if it is stopping
    /// already. A task whose start was never sent is removed at once.
    pub(super) fn on_stop(
        &mut self,
        task: &TaskId,
        grace: Micros,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let was_never_sent = self.tasks.get(task).is_some_and(|entry| {
            entry.state == TaskState::Ordered
                && !entry.has_unacknowledged_start
                && !self.may_still_start(task, entry.attempt)
        });
        if was_never_sent {
            self.tasks.remove(task);
            let cause = ExitCause::Stopped { saved: false };
            outputs.push(HostOutput::Ended(task.clone(), Some(cause)));
            return;
        }
        if let Some(entry) = self.tasks.get_mut(task) {
            match entry.stopping {
                None => entry.stopping = Some((grace, now)),
                Some((current, since)) if grace < current => entry.stopping = Some((grace, since)),
                Some(_) => {}
            }
        }
    }
}
