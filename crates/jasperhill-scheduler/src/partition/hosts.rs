//! Hosts of a partition: expired leases, announced terminations, stops with grace, spare ones.

use super::{Event, Partition};
use crate::host::{FencingState, HostInput};
use jasperhill_wire::{HostId, Micros, TaskId, record::HostAssignment};

impl Partition {
    /// How many hosts can't get new tasks, by reason: not known yet, lapsed, in doubt, not
    /// heard, quarantined or under notice, being emptied.
    pub fn unusable(&self, now: Micros) -> [usize; 6] {
        let mut counts = [0; 6];
        for h in self.hosts.values() {
            if h.is_usable(now, &self.config) {
                continue;
            }
            let reason = match h.fencing {
                FencingState::Unfenced { .. } => 0,
                FencingState::Lapsed => 1,
                FencingState::Fenced if h.in_doubt() => 2,
                FencingState::Fenced if h.draining.is_some() => 5,
                FencingState::Fenced if h.terminates_at.is_some() => 4,
                FencingState::Fenced if h.quarantined_until.is_some_and(|t| now < t) => 4,
                FencingState::Fenced => 3,
            };
            counts[reason] += 1;
        }
        counts
    }

    /// Hosts whose leases have surely lapsed, and when the next one could.
    pub fn expire_leases(&mut self, now: Micros) {
        let lapse = self.config.lease_expiry();
        let gone: Vec<HostId> = self
            .hosts
            .values()
            .filter(|h| h.fencing != FencingState::Lapsed && now >= h.last_answer + lapse)
            .map(|h| h.id.clone())
            .collect();
        for id in gone {
            self.apply(&id, HostInput::Gone, now);
            self.events.push(Event::HostLost(id));
        }
    }

    /// Puts a host under notice aside: what can save is stopped while there is time.
    pub(crate) fn stop_before_termination(&mut self, now: Micros) {
        let mut stops = Vec::new();
        for host in self.hosts.values().filter(|h| h.terminates_at.is_some()) {
            for (task, t) in &host.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                if t.holds_resources() && t.stopping.is_none() && job.checkpoints() {
                    stops.push((host.id.clone(), task.clone()));
                }
            }
        }
        for (host, task) in stops {
            self.stop_with_grace(&host, &task, "spot notice", now);
        }
    }

    /// Stops a task, and its gang with it, with the time to save if it can.
    pub(crate) fn stop_with_grace(
        &mut self,
        host: &HostId,
        task: &TaskId,
        why: &'static str,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let grace = if job.checkpoints() {
            job.request.checkpoint_time + Micros::from_secs(1)
        } else {
            Micros::ZERO
        };
        let gang = job.is_gang();
        self.events
            .push(Event::Stopped(task.clone(), host.clone(), why));
        if gang {
            self.stop_all(&task.job, grace, now);
        } else {
            self.stop(host, task, grace, now);
        }
    }

    /// The host may be given up: empty, settled and long enough idle.
    pub fn is_spare(&self, id: &HostId, now: Micros, keep: Micros) -> bool {
        self.hosts.get(id).is_some_and(|h| {
            matches!(h.assignment, HostAssignment::Partition(_))
                && h.is_empty()
                && h.queue.is_empty()
                && h.fencing == FencingState::Fenced
                && h.idle_since.is_some_and(|t| now - t >= keep)
        })
    }
}
