//! Commands for the hosts of a partition, and the tokens under which exited tasks can be cleared.

use super::Partition;
use crate::host::{Host, HostInput};
use jasperhill_wire::{
    FencingToken, HostId, Micros, Revision, TaskId,
    worker::{Command, ExitCause},
};

impl Partition {
    /// Returns the outstanding commands for a host; none if the host is not known.
    pub fn commands(&self, id: &HostId) -> Vec<Command> {
        let Some(host) = self.hosts.get(id) else {
            return Vec::new();
        };
        host.commands(|task, cause| self.is_result_durable(task, cause))
    }

    /// Returns whether the worker may forget an exited task: a result only once it is stored in
    /// the job's record.
    fn is_result_durable(&self, task: &TaskId, cause: ExitCause) -> bool {
        match self.jobs.get(&task.job) {
            Some(job) if cause == ExitCause::Done => {
                job.done.contains(task.index) && !job.unsaved_tasks.contains(&task.index)
            }
            _ => true,
        }
    }

    /// Returns whether exited tasks of the host can be cleared only under a higher token, which
    /// the next message to it may carry.
    fn awaits_token_to_clear(&self, host: &Host, now: Micros) -> bool {
        host.may_raise_token(now)
            && host.needs_higher_token_to_clear(|task, cause| self.is_result_durable(task, cause))
    }

    /// Raises a host's token to `owned_at` if exited tasks can be cleared only under a higher
    /// token. `owned_at`: a revision at which this controller is known to own the partition, so
    /// that the token of every later owner is greater. Called before each message to the host.
    pub fn raise_token_to_clear(&mut self, id: &HostId, owned_at: Revision, now: Micros) {
        let token = FencingToken(owned_at.0);
        let is_needed = self
            .hosts
            .get(id)
            .is_some_and(|host| token > host.token && self.awaits_token_to_clear(host, now));
        if is_needed {
            self.apply(id, HostInput::TokenRaised(token), now);
        }
    }

    /// Returns a host with exited tasks that can't be cleared as long as the state store has no
    /// revision after `owned_at`, the last one at which this controller is known to own the
    /// partition.
    pub fn host_awaiting_revision(&self, owned_at: Revision, now: Micros) -> Option<&HostId> {
        let token = FencingToken(owned_at.0);
        self.hosts
            .values()
            .find(|host| token <= host.token && self.awaits_token_to_clear(host, now))
            .map(|host| &host.id)
    }
}
