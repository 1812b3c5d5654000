//! Draining of surplus hosts. Service replicas move off a draining host one at a time, to hosts
//! where they can start at once; other tasks run to their end.

use crate::{
    cycle::placement::ZoneCapacity,
    host::Host,
    job::Job,
    partition::{Event, Partition},
};
use jasperhill_wire::{HostId, Micros, TaskId};

/// A replica that has run for less than this time is not moved.
const MIN_REPLICA_RUN_TIME: Micros = Micros::from_secs(90);
/// Hosts with more tasks than this are not drained.
const MAX_TASKS_TO_DRAIN: usize = 4;
/// Maximum number of hosts examined in detail per call.
const MAX_HOSTS_EXAMINED: usize = 64;
/// Time after which a host that is still draining is used again. A host that is not expected to be
/// empty within this time is not chosen.
const DRAIN_TIMEOUT: Micros = Micros::from_secs(90);
impl Partition {
    /// Chooses surplus hosts to drain: the hosts that become empty soonest, provided that all their
    /// replicas can start at once elsewhere. `surplus` is the number of surplus hosts in total and
    /// the number of on-demand hosts among them. When the surplus has shrunk, the draining hosts
    /// with the most tasks are used again.
    ///
    /// A surplus host that is not drained keeps receiving work that prevents its release. Draining
    /// prevents the fleet from shrinking more slowly than its load because hosts that wait for a
    /// long task hold up other hosts.
    pub fn drain_surplus(&mut self, now: Micros, surplus: (usize, usize)) {
        let (mut surplus_left, mut on_demand_left) = surplus;
        if self.has_unconfirmed_tasks() {
            return;
        }
        let mut draining: Vec<(usize, HostId, bool)> = self
            .hosts
            .values()
            .filter(|host| host.draining.is_some())
            .map(|host| (host.task_count(), host.id.clone(), host.spot))
            .collect();
        draining.sort();
        for (_, id, spot) in draining {
            if surplus_left > 0 && (spot || on_demand_left > 0) {
                surplus_left -= 1;
                on_demand_left -= usize::from(!spot);
            } else if let Some(host) = self.hosts.get_mut(&id) {
                host.draining = None;
                self.needs_scheduling = true;
            }
        }
        if surplus_left == 0 {
            return;
        }
        let config = self.config.clone();
        let mut drainable_hosts: Vec<(Micros, usize, &Host)> = self
            .hosts
            .values()
            .filter(|host| (1..=MAX_TASKS_TO_DRAIN).contains(&host.task_count()))
            .filter(|host| host.is_usable(now, &config) && host.queue.is_empty())
            .filter(|host| host.spot || on_demand_left > 0)
            .map(|host| (self.last_batch_task_end(host, now), host.task_count(), host))
            .filter(|(ends_at, ..)| *ends_at < now + DRAIN_TIMEOUT)
            .collect();
        drainable_hosts.sort_by_key(|(ends_at, tasks, host)| (*ends_at, *tasks, &host.id));
        let mut chosen = Vec::new();
        for (.., host) in drainable_hosts.into_iter().take(MAX_HOSTS_EXAMINED) {
            if chosen.len() < surplus_left
                && (host.spot || on_demand_left > 0)
                && self.can_be_drained(host, now)
            {
                on_demand_left -= usize::from(!host.spot);
                chosen.push(host.id.clone());
            }
        }
        for id in chosen {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.draining = Some(now);
            }
        }
    }

    /// Returns when the last task on the host that ends by itself is expected to end, or `now` if
    /// there is none.
    fn last_batch_task_end(&self, host: &Host, now: Micros) -> Micros {
        let end_times = self.occupied(host, now).into_iter().map(|task| task.until);
        end_times
            .filter(|until| *until < Micros::MAX)
            .max()
            .unwrap_or(now)
    }

    /// Returns whether all replicas on the host can move elsewhere. Other tasks end by themselves.
    fn can_be_drained(&self, host: &Host, now: Micros) -> bool {
        host.tasks
            .iter()
            .filter(|(_, host_task)| host_task.holds_resources())
            .all(|(task, host_task)| {
                self.jobs.get(&task.job).is_some_and(|job| {
                    !job.is_service()
                        || (host_task
                            .running_since
                            .is_some_and(|started| now - started > MIN_REPLICA_RUN_TIME)
                            && self.can_move_replica(job, task, &host.id, now))
                })
            })
    }

    /// Returns whether another host is available where this replica could start at once.
    fn can_move_replica(&self, job: &Job, task: &TaskId, from: &HostId, now: Micros) -> bool {
        let request = &job.request;
        // The replica that moves does not count in its present zone.
        let other_replicas = job.live.iter().filter(|(index, _)| **index != task.index);
        let zones =
            ZoneCapacity::for_hosts(request, other_replicas.map(|(_, host)| host), |host| {
                self.zone_of(host)
            });
        self.hosts
            .values()
            .filter(|candidate| {
                &candidate.id != from
                    && candidate.task_count() > 0
                    && candidate.is_usable(now, &self.config)
            })
            .filter(|candidate| {
                request.each.fits(&candidate.free_resources())
                    && candidate.has_image(&request.image)
            })
            .any(|candidate| {
                Self::is_feasible(job, candidate)
                    && !candidate.tasks.contains_key(task)
                    && zones.allows(&candidate.zone)
            })
    }

    /// Moves replicas off draining hosts, one at a time per host. Each replica is down only between
    /// its stop and its start on a host that already has the image.
    pub(crate) fn move_replicas(&mut self, now: Micros) {
        let mut replicas_to_move = Vec::new();
        for host in self.hosts.values_mut() {
            if host
                .draining
                .is_some_and(|since| now - since > DRAIN_TIMEOUT)
            {
                host.draining = None;
            }
        }
        for host in self.hosts.values().filter(|host| host.draining.is_some()) {
            if host
                .tasks
                .values()
                .any(|host_task| host_task.holds_resources() && host_task.stopping.is_some())
            {
                continue;
            }
            let next = host.tasks.iter().find(|(task, host_task)| {
                host_task.holds_resources()
                    && self.jobs.get(&task.job).is_some_and(|job| {
                        job.is_service()
                            && job.pending() == 0
                            && self.can_move_replica(job, task, &host.id, now)
                    })
            });
            if let Some((task, _)) = next {
                replicas_to_move.push((host.id.clone(), task.clone()));
            }
        }
        if replicas_to_move.is_empty() {
            return;
        }
        let services = self.jobs.values().filter(|job| job.is_service());
        let replicas = services.map(|job| job.live.len()).sum();
        for (host, task) in replicas_to_move {
            if !self.move_budget.take(replicas, now) {
                return;
            }
            self.events.push(Event::Stopped(
                task.clone(),
                host.clone(),
                "moved to empty the host",
            ));
            self.stop(&host, &task, Micros::ZERO, now);
        }
    }
}
