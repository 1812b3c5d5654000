//! Commands to a worker, as the host's state machine sees them: sent, answered, in doubt, settled.

use super::{
    CommandBasis, CommandDoubt, FencingState, Host, HostOutput, HostTask, InFlightCommands,
    TaskState,
};
use jasperhill_wire::{
    Attempt, FencingToken, Micros, Name, Resources, TaskId,
    worker::{Command, ExitCause},
};

impl Host {
    /// A heartbeat was answered 200, which renews the lease; the commands went with the answer.
    pub(super) fn on_answered(&mut self, commands: &[Command], now: Micros) {
        self.last_answer = self.last_answer.max(now);
        self.answered = Some(now);
        for command in commands {
            if let Command::Start(task, attempt) = command
                && let Some(known) = self.tasks.get_mut(task)
                && known.attempt == *attempt
            {
                known.answered = true;
            }
        }
    }

    /// Commands go out directly; `known`: as of when cancellations are known to the sender.
    pub(super) fn on_direct_sent(&mut self, commands: Vec<Command>, known: Micros) {
        let starts = commands.into_iter().filter_map(|command| match command {
            Command::Start(task, attempt) => Some((task, attempt)),
            Command::Stop(..) | Command::Clear(..) => None,
        });
        let token = self.token;
        self.in_flight_commands = Some(InFlightCommands {
            starts: starts.collect(),
            basis: CommandBasis { token, known },
        });
    }

    /// No answer came: the starts among the commands are in doubt, unless nothing can run there.
    pub(super) fn on_direct_unanswered(&mut self) {
        if let Some(in_flight) = self.in_flight_commands.take()
            && !in_flight.starts.is_empty()
            && self.fencing != FencingState::Lapsed
        {
            self.doubted_starts.extend(in_flight.starts);
            self.doubt_basis = Some(in_flight.basis);
            self.command_doubt = CommandDoubt::NeedsToken;
        }
    }

    /// The host's record was rewritten: doubt ends once the host shows this token.
    pub(super) fn on_token_raised(&mut self, token: FencingToken) {
        if token > self.token {
            self.token = token;
            if self.command_doubt == CommandDoubt::NeedsToken {
                self.command_doubt = CommandDoubt::Until(token);
            }
        }
    }

    /// Guards against a machine that is given new work in each of its incarnations and hears of
    /// none: it gets some again once it shows a token that it can only have heard now.
    pub(super) fn on_not_receiving(&mut self) {
        if self.command_doubt == CommandDoubt::None {
            self.command_doubt = CommandDoubt::NeedsToken;
        }
    }

    /// A task is to start here, which takes this much and needs this image.
    pub(super) fn on_start(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        each: Resources,
        image: (Name, f64),
        now: Micros,
    ) {
        self.idle_since = None;
        if let Some(old) = self.tasks.remove(&task) {
            self.stale.insert((task.clone(), old.attempt));
        }
        let ordered = HostTask {
            attempt,
            state: TaskState::Ordered,
            each,
            ordered: now,
            running: None,
            stopping: None,
            image: Some(image),
            answered: false,
        };
        self.tasks.insert(task, ordered);
    }

    /// A task is to stop. One whose start was never sent is taken back on the spot.
    pub(super) fn on_stop(
        &mut self,
        task: &TaskId,
        grace: Micros,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let never_sent = self.tasks.get(task).is_some_and(|known| {
            known.state == TaskState::Ordered
                && !known.answered
                && !self.may_start_later(task, known.attempt)
        });
        if never_sent {
            self.tasks.remove(task);
            let cause = ExitCause::Stopped { saved: false };
            outputs.push(HostOutput::Ended(task.clone(), Some(cause)));
            return;
        }
        if let Some(known) = self.tasks.get_mut(task) {
            match known.stopping {
                None => known.stopping = Some((grace, now)),
                Some((old, since)) if grace < old => known.stopping = Some((grace, since)),
                Some(_) => {}
            }
        }
    }
}
