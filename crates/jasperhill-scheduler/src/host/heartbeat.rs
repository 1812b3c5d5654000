//! Handlers of [`Host::apply`] for a worker's status, which arrives in heartbeats and in responses
//! to direct requests.

use super::{FencingState, HeartbeatSource, Host, HostOutput, HostTask, TaskState, TokenRefresh};
use jasperhill_wire::{
    Attempt, FencingToken, Micros, Resources, TaskId,
    worker::{ExitCause, Heartbeat, TaskPhase, TaskStatus},
};
use std::collections::BTreeSet;

impl Host {
    /// Drops all tasks and reports those that held resources as lost. Called when the worker began
    /// a new incarnation, which ends all tasks of earlier ones, or when its lease has certainly
    /// expired.
    pub(super) fn drop_all_tasks(&mut self, outputs: &mut Vec<HostOutput>) {
        for (task, entry) in std::mem::take(&mut self.tasks) {
            if entry.holds_resources() {
                outputs.push(HostOutput::Ended(task, None));
            }
        }
        self.stale.clear();
        self.cleared.clear();
        // Late direct commands carry the old incarnation, so the worker discards them.
        self.clear_in_doubt_commands();
    }

    /// Forgets all commands in doubt and the need for a raised token.
    fn clear_in_doubt_commands(&mut self) {
        self.token_refresh = TokenRefresh::NotNeeded;
        self.in_doubt_starts.clear();
        self.in_doubt_basis = None;
    }

    /// Applies the worker's status unless a later one was applied already.
    pub(super) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let status_version = (heartbeat.incarnation, heartbeat.sequence);
        let last_applied = self.incarnation.map(|last| (last, self.sequence));
        if last_applied.is_some_and(|last| status_version <= last) {
            // The message was delayed and describes an earlier state than the one known.
            return;
        }
        self.update_incarnation(heartbeat, source, now, outputs);
        self.sequence = heartbeat.sequence;
        self.last_status_received = now;
        self.address.clone_from(&heartbeat.address);
        self.terminates_at = heartbeat.termination_notice.map(|notice| now + notice);
        self.update_token_state(heartbeat, outputs);
        let mut listed = BTreeSet::new();
        for status in &heartbeat.tasks {
            listed.insert((status.task.clone(), status.attempt));
            self.on_task_status(status, now, outputs);
        }
        self.forget_unlisted_stale_attempts(&listed);
        self.resolve_unlisted_tasks(&listed, source, outputs);
    }

    /// Records the worker's incarnation and, for a periodic heartbeat, the time at which it was
    /// received.
    fn update_incarnation(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let is_new = self
            .incarnation
            .is_some_and(|last| heartbeat.incarnation > last);
        if is_new {
            // A larger incarnation proves that all tasks of earlier incarnations have ended.
            self.drop_all_tasks(outputs);
        }
        match source {
            HeartbeatSource::Heartbeat => self.last_heartbeat = Some(now),
            HeartbeatSource::Direct if is_new => self.last_heartbeat = None,
            HeartbeatSource::Direct => {}
        }
        if self.incarnation != Some(heartbeat.incarnation) {
            // The lease of a new incarnation runs from the start of that incarnation, which may be
            // long after this controller's last response. Without this, the new incarnation would
            // be considered expired together with the old one while tasks sent to it directly run.
            self.lease_renewed_at_latest = self.lease_renewed_at_latest.max(now);
        }
        self.incarnation = Some(heartbeat.incarnation);
    }

    /// Compares the token that the worker shows with this controller's: updates the fencing state
    /// and determines whether the token must be raised.
    fn update_token_state(&mut self, heartbeat: &Heartbeat, outputs: &mut Vec<HostOutput>) {
        if let TokenRefresh::UntilShown(token) = self.token_refresh
            && heartbeat.token >= token
        {
            self.clear_in_doubt_commands();
        }
        if heartbeat.token > self.token && self.token_refresh == TokenRefresh::NotNeeded {
            // The worker drops commands with this controller's smaller token, and responses with it
            // renew no lease. Rewriting the record raises the token above any that was ever shown.
            self.token_refresh = TokenRefresh::Needed;
        }
        if heartbeat.token >= self.token && self.fencing != FencingState::Fenced {
            self.fencing = FencingState::Fenced;
            outputs.push(HostOutput::Fenced);
        }
    }

    /// Forgets the superseded attempts that the worker no longer lists because it has cleared them.
    fn forget_unlisted_stale_attempts(&mut self, listed: &BTreeSet<(TaskId, Attempt)>) {
        let stale = self.stale.keys();
        let unlisted: Vec<(TaskId, Attempt)> =
            stale.filter(|key| !listed.contains(key)).cloned().collect();
        for key in unlisted {
            self.stale.remove(&key);
            self.remember_cleared(key.0, key.1);
        }
    }

    /// Handles tasks that are known here but missing from the worker's list: cleared tasks are
    /// removed, started ones are reported as lost, and unconfirmed starts are left to
    /// [`Host::resolve_unlisted_start`].
    fn resolve_unlisted_tasks(
        &mut self,
        listed: &BTreeSet<(TaskId, Attempt)>,
        source: HeartbeatSource,
        outputs: &mut Vec<HostOutput>,
    ) {
        let unlisted: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(task, entry)| !listed.contains(&((*task).clone(), entry.attempt)))
            .map(|(task, _)| task.clone())
            .collect();
        for task in unlisted {
            let Some(entry) = self.tasks.get(&task) else {
                continue;
            };
            match entry.state {
                // The worker has executed the clear command.
                TaskState::Exited(_) => {
                    let attempt = entry.attempt;
                    self.tasks.remove(&task);
                    self.remember_cleared(task, attempt);
                }
                TaskState::Ordered => self.resolve_unlisted_start(task, source, outputs),
                TaskState::Fetching
                | TaskState::Waiting
                | TaskState::Running
                | TaskState::Checkpointing => {
                    self.tasks.remove(&task);
                    outputs.push(HostOutput::Ended(task, None));
                }
            }
        }
    }

    /// Handles a task that was ordered to start and is missing from the worker's list.
    ///
    /// A heartbeat after the response that carried the start proves that the worker has executed or
    /// dropped it. A direct response proves nothing, because it may overtake that response.
    fn resolve_unlisted_start(
        &mut self,
        task: TaskId,
        source: HeartbeatSource,
        outputs: &mut Vec<HostOutput>,
    ) {
        let Some(entry) = self.tasks.get(&task) else {
            return;
        };
        let may_still_start = self.may_still_start(&task, entry.attempt)
            || (entry.has_unacknowledged_start && source == HeartbeatSource::Direct);
        if entry.stopping.is_some() && !may_still_start {
            self.tasks.remove(&task);
            let cause = ExitCause::Stopped { saved: false };
            outputs.push(HostOutput::Ended(task, Some(cause)));
        } else if source == HeartbeatSource::Heartbeat
            && let Some(entry) = self.tasks.get_mut(&task)
        {
            entry.has_unacknowledged_start = false;
        }
    }

    /// Applies the status of one task that the worker lists.
    fn on_task_status(&mut self, status: &TaskStatus, now: Micros, outputs: &mut Vec<HostOutput>) {
        let state = TaskState::from(status.phase);
        match self.tasks.get(&status.task) {
            Some(entry) if entry.attempt == status.attempt => {
                self.on_known_task(status, state, now, outputs);
            }
            _ => self.on_unknown_task(status, state, now, outputs),
        }
    }

    /// Applies the status of a task whose attempt this host's state already contains.
    fn on_known_task(
        &mut self,
        status: &TaskStatus,
        state: TaskState,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let Some(entry) = self.tasks.get_mut(&status.task) else {
            return;
        };
        let held_resources = entry.holds_resources();
        let previous_state = std::mem::replace(&mut entry.state, state);
        entry.has_unacknowledged_start = false;
        if state == TaskState::Running && entry.running_since.is_none() {
            entry.running_since = Some(now);
        }
        match state {
            TaskState::Exited(cause) if held_resources => {
                outputs.push(HostOutput::Ended(status.task.clone(), Some(cause)));
            }
            TaskState::Exited(_) => {}
            _ if !held_resources => {
                // The task runs again after it exited, for example because of a late start command.
                // It is reported as found; otherwise it would be neither counted nor stopped.
                entry.stopping = None;
                outputs.push(HostOutput::ClearedAttemptReported(
                    status.task.clone(),
                    status.attempt,
                ));
                outputs.push(HostOutput::UnknownTaskFound(
                    status.task.clone(),
                    status.attempt,
                ));
                self.idle_since = None;
            }
            TaskState::Running if previous_state != state => {
                outputs.push(HostOutput::Running(status.task.clone()));
            }
            _ => {}
        }
    }

    /// Applies the status of a task that this host's state does not contain, or contains with
    /// another attempt.
    fn on_unknown_task(
        &mut self,
        status: &TaskStatus,
        state: TaskState,
        now: Micros,
        outputs: &mut Vec<HostOutput>,
    ) {
        let key = (status.task.clone(), status.attempt);
        if self.cleared.contains(&key) {
            outputs.push(HostOutput::ClearedAttemptReported(key.0, key.1));
        }
        let entry = self.tasks.get(&status.task);
        if let TaskState::Exited(cause) = state {
            if entry.is_some() {
                let key = (status.task.clone(), status.attempt);
                self.stale.entry(key).or_insert(Some(self.token));
                return;
            }
            // The task may have been started before a failover; its result counts nevertheless.
            let new_entry = HostTask::from_report(status.attempt, state, self.token, now);
            self.tasks.insert(status.task.clone(), new_entry);
            outputs.push(HostOutput::UnknownTaskFound(
                status.task.clone(),
                status.attempt,
            ));
            outputs.push(HostOutput::Ended(status.task.clone(), Some(cause)));
            return;
        }
        if entry.is_some_and(HostTask::holds_resources) {
            // The worker runs another attempt of a task that was ordered to start here. It will
            // refuse the start command as busy, so the running attempt replaces the ordered one.
            outputs.push(HostOutput::Ended(status.task.clone(), None));
        }
        let new_entry = HostTask::from_report(status.attempt, state, self.token, now);
        self.tasks.insert(status.task.clone(), new_entry);
        outputs.push(HostOutput::UnknownTaskFound(
            status.task.clone(),
            status.attempt,
        ));
        self.idle_since = None;
    }
}

impl From<TaskPhase> for TaskState {
    fn from(phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Fetching => Self::Fetching,
            TaskPhase::Waiting => Self::Waiting,
            TaskPhase::Running => Self::Running,
            TaskPhase::Checkpointing => Self::Checkpointing,
            TaskPhase::Exited(cause) => Self::Exited(cause),
        }
    }
}

impl HostTask {
    /// Creates the entry of a task that was found on the host, whose resources are not known yet.
    /// It may have been started by a direct request under any token up to `token`.
    fn from_report(attempt: Attempt, state: TaskState, token: FencingToken, now: Micros) -> Self {
        Self {
            attempt,
            state,
            resources: Resources::default(),
            ordered_at: now,
            running_since: (state == TaskState::Running).then_some(now),
            stopping: None,
            image: None,
            has_unacknowledged_start: false,
            direct_start_token: Some(token),
        }
    }
}
