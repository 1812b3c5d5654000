//! Operations on the hosts of a partition: expiry of leases, announced terminations, stops with a
//! grace period, and the test whether a host may be returned.

use super::{Event, Partition};
use crate::host::{FencingState, HostInput};
use jasperhill_wire::{HostId, Micros, TaskId, record::HostAssignment};

impl Partition {
    /// Returns the number of hosts that can't get new tasks, by reason: worker has not shown the
    /// current token, lease expired, commands in doubt, silent, quarantined or about to be
    /// terminated, draining.
    pub fn unusable_host_counts(&self, now: Micros) -> [usize; 6] {
        let mut counts = [0; 6];
        for h in self.hosts.values() {
            if h.is_usable(now, &self.config) {
                continue;
            }
            let reason = match h.fencing {
                FencingState::Unfenced { .. } => 0,
                FencingState::LeaseExpired => 1,
                FencingState::Fenced if h.awaits_raised_token() => 2,
                FencingState::Fenced if h.draining.is_some() => 5,
                FencingState::Fenced if h.terminates_at.is_some() => 4,
                FencingState::Fenced if h.quarantined_until.is_some_and(|t| now < t) => 4,
                FencingState::Fenced => 3,
            };
            counts[reason] += 1;
        }
        counts
    }

    /// Marks the hosts whose leases have certainly expired and reports them as lost.
    pub fn expire_leases(&mut self, now: Micros) {
        let lease_expiry = self.config.lease_expiry();
        let expired: Vec<HostId> = self
            .hosts
            .values()
            .filter(|h| {
                h.fencing != FencingState::LeaseExpired
                    && now >= h.lease_renewed_at_latest + lease_expiry
            })
            .map(|h| h.id.clone())
            .collect();
        for id in expired {
            self.apply(&id, HostInput::LeaseExpiredOrRemoved, now);
            self.events.push(Event::HostLost(id));
        }
    }

    /// Stops the tasks that can save checkpoints on hosts whose termination is announced, while
    /// there is time to save.
    pub(crate) fn stop_before_termination(&mut self, now: Micros) {
        let mut tasks_to_stop = Vec::new();
        for host in self.hosts.values().filter(|h| h.terminates_at.is_some()) {
            for (task, entry) in &host.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                if entry.holds_resources() && entry.stopping.is_none() && job.saves_checkpoints() {
                    tasks_to_stop.push((host.id.clone(), task.clone()));
                }
            }
        }
        for (host, task) in tasks_to_stop {
            self.stop_with_grace(&host, &task, "spot notice", now);
        }
    }

    /// Stops a task, or all tasks of its job if that is a gang. Jobs that save checkpoints get a
    /// grace period of their checkpoint time plus one second, others none. `reason` is logged.
    pub(crate) fn stop_with_grace(
        &mut self,
        host: &HostId,
        task: &TaskId,
        reason: &'static str,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let grace = if job.saves_checkpoints() {
            job.request.checkpoint_time + Micros::from_secs(1)
        } else {
            Micros::ZERO
        };
        let is_gang = job.is_gang();
        self.events
            .push(Event::Stopped(task.clone(), host.clone(), reason));
        if is_gang {
            self.stop_all(&task.job, grace, now);
        } else {
            self.stop(host, task, grace, now);
        }
    }

    /// Returns whether the host may be returned: it belongs to the partition, its worker has shown
    /// the current token, no task runs or is reserved there, and it has been idle for at least
    /// `min_idle`.
    pub fn is_returnable(&self, id: &HostId, now: Micros, min_idle: Micros) -> bool {
        self.hosts.get(id).is_some_and(|h| {
            matches!(h.assignment, HostAssignment::Partition(_))
                && h.is_empty()
                && h.queue.is_empty()
                && h.fencing == FencingState::Fenced
                && h.idle_since.is_some_and(|t| now - t >= min_idle)
        })
    }
}
