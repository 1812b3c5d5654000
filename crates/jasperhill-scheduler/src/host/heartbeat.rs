//! What a worker's heartbeat, or its answer to a direct request, changes in the host's state machine.

use super::{CommandDoubt, FencingState, HeartbeatSource, Host, HostOutput, HostTask, TaskState};
use jasperhill_wire::{
    Attempt, Micros, Resources, TaskId,
    worker::{ExitCause, Heartbeat, TaskPhase, TaskStatus},
};
use std::collections::BTreeSet;

impl Host {
    /// Nothing of an earlier incarnation is left, or the lease has surely lapsed.
    pub(super) fn drop_all_tasks(&mut self, outputs: &mut Vec<HostOutput>) {
        for (task, known) in std::mem::take(&mut self.tasks) {
            if known.holds_resources() {
                outputs.push(HostOutput::Ended(task, None));
            }
        }
        self.stale.clear();
        // Late direct commands carry the old incarnation and die at the worker.
        self.clear_command_doubt();
    }

    fn clear_command_doubt(&mut self) {
        self.command_doubt = CommandDoubt::None;
        self.doubted_starts.clear();
        self.doubt_basis = None;
    }

    /// Takes in what the worker says, unless something later is known already.
    pub(super) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let order = (heartbeat.incarnation, heartbeat.sequence);
        let known = self.incarnation.map(|known| (known, self.sequence));
        if known.is_some_and(|known| order <= known) {
            // Late: as old as the moment it was sent.
            return;
        }
        self.note_incarnation(heartbeat, source, now, outputs);
        self.sequence = heartbeat.sequence;
        self.last_heard = now;
        self.address.clone_from(&heartbeat.address);
        self.terminates_at = heartbeat.termination_notice.map(|notice| now + notice);
        self.note_token(heartbeat, outputs);
        let mut listed = BTreeSet::new();
        for status in &heartbeat.tasks {
            listed.insert((status.task.clone(), status.attempt));
            self.on_task_status(status, now, outputs);
        }
        self.stale.retain(|key| listed.contains(key));
        self.settle_unlisted(&listed, source, outputs);
    }

    /// Which incarnation speaks, and whether of its own accord.
    fn note_incarnation(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let is_new = self
            .incarnation
            .is_some_and(|known| heartbeat.incarnation > known);
        if is_new {
            // A larger incarnation proves that all earlier tasks are gone.
            self.drop_all_tasks(outputs);
        }
        match source {
            HeartbeatSource::Heartbeat => self.last_heartbeat = Some(now),
            HeartbeatSource::Direct if is_new => self.last_heartbeat = None,
            HeartbeatSource::Direct => {}
        }
        if self.incarnation != Some(heartbeat.incarnation) {
            // The lease of an incarnation that we did not know runs from its beginning, which may
            // be long after our last answer. Guards against taking the new one for lapsed with the
            // old one, while what was sent to it directly runs.
            self.last_answer = self.last_answer.max(now);
        }
        self.incarnation = Some(heartbeat.incarnation);
    }

    /// Which token the worker shows, and what that settles.
    fn note_token(&mut self, heartbeat: &Heartbeat, outputs: &mut Vec<HostOutput>) {
        if let CommandDoubt::Until(token) = self.command_doubt
            && heartbeat.token >= token
        {
            self.clear_command_doubt();
        }
        if heartbeat.token > self.token && self.command_doubt == CommandDoubt::None {
            // Commands with our token are dropped there, and our answers renew no lease: the
            // record is rewritten, which raises the token above any that was ever shown.
            self.command_doubt = CommandDoubt::NeedsToken;
        }
        if heartbeat.token >= self.token && self.fencing != FencingState::Fenced {
            self.fencing = FencingState::Fenced;
            outputs.push(HostOutput::Fenced);
        }
    }

    /// What becomes of tasks that the worker does not list.
    fn settle_unlisted(
        &mut self,
        listed: &BTreeSet<(TaskId, Attempt)>,
        source: HeartbeatSource,
        outputs: &mut Vec<HostOutput>,
    ) {
        let unlisted: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(task, known)| !listed.contains(&((*task).clone(), known.attempt)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in unlisted {
            let Some(known) = self.tasks.get(&task) else {
                continue;
            };
            match known.state {
                // Cleared.
                TaskState::Exited(_) => {
                    self.tasks.remove(&task);
                }
                TaskState::Ordered => self.settle_ordered(task, source, outputs),
                TaskState::Fetching
                | TaskState::Waiting
                | TaskState::Running
                | TaskState::Saving => {
                    self.tasks.remove(&task);
                    outputs.push(HostOutput::Ended(task, None));
                }
            }
        }
    }

    /// A task that was told to start is not listed. A heartbeat that follows an answer settles it:
    /// the worker has executed or dropped the start. A direct answer may overtake it, and settles
    /// nothing.
    fn settle_ordered(
        &mut self,
        task: TaskId,
        source: HeartbeatSource,
        outputs: &mut Vec<HostOutput>,
    ) {
        let Some(known) = self.tasks.get(&task) else {
            return;
        };
        let may_start = self.may_start_later(&task, known.attempt)
            || (known.answered && source == HeartbeatSource::Direct);
        if known.stopping.is_some() && !may_start {
            self.tasks.remove(&task);
            let cause = ExitCause::Stopped { saved: false };
            outputs.push(HostOutput::Ended(task, Some(cause)));
        } else if source == HeartbeatSource::Heartbeat
            && let Some(known) = self.tasks.get_mut(&task)
        {
            known.answered = false;
        }
    }

    /// One task that the worker lists.
    fn on_task_status(&mut self, status: &TaskStatus, now: Micros, outputs: &mut Vec<HostOutput>) {
        let state = TaskState::from(status.phase);
        match self.tasks.get(&status.task) {
            Some(known) if known.attempt == status.attempt => {
                self.on_known_task(status, state, now, outputs);
            }
            _ => self.on_unknown_task(status, state, now, outputs),
        }
    }

    /// A task and attempt that are known here.
    fn on_known_task(
        &mut self,
        status: &TaskStatus,
        state: TaskState,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let Some(known) = self.tasks.get_mut(&status.task) else {
            return;
        };
        let held_resources = known.holds_resources();
        let before = std::mem::replace(&mut known.state, state);
        known.answered = false;
        if state == TaskState::Running && known.running.is_none() {
            known.running = Some(now);
        }
        match state {
            TaskState::Exited(cause) if held_resources => {
                outputs.push(HostOutput::Ended(status.task.clone(), Some(cause)));
            }
            TaskState::Exited(_) => {}
            _ if !held_resources => {
                // Guards against a task that is back after its end, as by a late command, and that
                // nobody counts or stops.
                known.stopping = None;
                outputs.push(HostOutput::Found(status.task.clone(), status.attempt));
                self.idle_since = None;
            }
            TaskState::Running if before != state => {
                outputs.push(HostOutput::Running(status.task.clone()));
            }
            _ => {}
        }
    }

    /// A task that is not known here, or another attempt of one that is.
    fn on_unknown_task(
        &mut self,
        status: &TaskStatus,
        state: TaskState,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let known = self.tasks.get(&status.task);
        if let TaskState::Exited(cause) = state {
            if known.is_some() {
                self.stale.insert((status.task.clone(), status.attempt));
                return;
            }
            // A result from before a takeover counts as well.
            let found = HostTask::found(status.attempt, state, now);
            self.tasks.insert(status.task.clone(), found);
            outputs.push(HostOutput::Found(status.task.clone(), status.attempt));
            outputs.push(HostOutput::Ended(status.task.clone(), Some(cause)));
            return;
        }
        if known.is_some_and(HostTask::holds_resources) {
            // Another attempt of what we ordered here: the command will be refused as busy, so the
            // one that is there is the one that counts.
            outputs.push(HostOutput::Ended(status.task.clone(), None));
        }
        let found = HostTask::found(status.attempt, state, now);
        self.tasks.insert(status.task.clone(), found);
        outputs.push(HostOutput::Found(status.task.clone(), status.attempt));
        self.idle_since = None;
    }
}

impl From<TaskPhase> for TaskState {
    fn from(phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Fetching => Self::Fetching,
            TaskPhase::Waiting => Self::Waiting,
            TaskPhase::Running => Self::Running,
            TaskPhase::Checkpointing => Self::Saving,
            TaskPhase::Exited(cause) => Self::Exited(cause),
        }
    }
}

impl HostTask {
    /// One that was found on the host; what it takes is not known yet.
    fn found(attempt: Attempt, state: TaskState, now: Micros) -> Self {
        Self {
            attempt,
            state,
            each: Resources::default(),
            ordered: now,
            running: (state == TaskState::Running).then_some(now),
            stopping: None,
            image: None,
            answered: false,
        }
    }
}
