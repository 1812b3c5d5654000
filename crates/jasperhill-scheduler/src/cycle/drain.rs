//! Emptying hosts that are more than needed: their replicas move, one at a time per host,
//! to where they can go on at once.

use crate::{
    cycle::placement::ZoneCapacity,
    host::Host,
    job::Job,
    partition::{Event, Partition},
};
use jasperhill_wire::{HostId, Micros, TaskId};

/// A replica that has run for less is not moved.
const SETTLED: Micros = Micros::from_secs(90);
/// Hosts that hold more are not emptied.
const TASKS_MOST: usize = 4;
/// Hosts looked at closely in one go.
const LOOKED_AT: usize = 64;
/// A host that could not be emptied in this time is used again; one that is not expected to be
/// empty by then is not chosen.
const DRAIN_FOR: Micros = Micros::from_secs(90);
impl Partition {
    /// Chooses hosts to be emptied, when there are more than are needed: those that are empty
    /// the soonest, if all their replicas can go on at once elsewhere. `surplus`: how many are
    /// too many, in all and ordinary ones; when that has shrunk, the fullest are used again.
    ///
    /// What is too many would only collect work that keeps it. Guards against a fleet that
    /// shrinks slower than its load because hosts that wait for a long task hold up others.
    pub fn drain_surplus(&mut self, now: Micros, surplus: (usize, usize)) {
        let (mut most, mut ordinary) = surplus;
        if self.has_unconfirmed_tasks() {
            return;
        }
        let mut under_way: Vec<(usize, HostId, bool)> = self
            .hosts
            .values()
            .filter(|h| h.draining.is_some())
            .map(|h| (h.tasks_on(), h.id.clone(), h.spot))
            .collect();
        under_way.sort();
        for (_, id, spot) in under_way {
            if most > 0 && (spot || ordinary > 0) {
                most -= 1;
                ordinary -= usize::from(!spot);
            } else if let Some(host) = self.hosts.get_mut(&id) {
                host.draining = None;
                self.changed = true;
            }
        }
        if most == 0 {
            return;
        }
        let config = self.config.clone();
        let mut soonest: Vec<(Micros, usize, &Host)> = self
            .hosts
            .values()
            .filter(|h| (1..=TASKS_MOST).contains(&h.tasks_on()))
            .filter(|h| h.is_usable(now, &config) && h.queue.is_empty())
            .filter(|h| h.spot || ordinary > 0)
            .map(|h| (self.batch_until(h, now), h.tasks_on(), h))
            .filter(|(until, ..)| *until < now + DRAIN_FOR)
            .collect();
        soonest.sort_by_key(|(until, tasks, h)| (*until, *tasks, &h.id));
        let mut chosen = Vec::new();
        for (.., host) in soonest.into_iter().take(LOOKED_AT) {
            if chosen.len() < most && (host.spot || ordinary > 0) && self.can_be_drained(host, now)
            {
                ordinary -= usize::from(!host.spot);
                chosen.push(host.id.clone());
            }
        }
        for id in chosen {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.draining = Some(now);
            }
        }
    }

    /// When the last task there that ends by itself is expected to.
    fn batch_until(&self, host: &Host, now: Micros) -> Micros {
        let ends = self.occupied(host, now).into_iter().map(|o| o.until);
        ends.filter(|until| *until < Micros::MAX)
            .max()
            .unwrap_or(now)
    }

    /// All replicas there can move; the rest ends by itself.
    fn can_be_drained(&self, host: &Host, now: Micros) -> bool {
        host.tasks
            .iter()
            .filter(|(_, t)| t.holds_resources())
            .all(|(task, t)| {
                self.jobs.get(&task.job).is_some_and(|j| {
                    !j.is_service()
                        || (t.running.is_some_and(|r| now - r > SETTLED)
                            && self.has_other_host(j, task, &host.id, now))
                })
            })
    }

    /// Another host is there where this replica would run at once.
    fn has_other_host(&self, job: &Job, task: &TaskId, from: &HostId, now: Micros) -> bool {
        let r = &job.request;
        // The one that moves does not count where it is.
        let others = job.live.iter().filter(|(i, _)| **i != task.index);
        let zones = ZoneCapacity::among(r, others.map(|(_, h)| h), |h| self.zone_of(h));
        self.hosts
            .values()
            .filter(|h| &h.id != from && h.tasks_on() > 0 && h.is_usable(now, &self.config))
            .filter(|h| r.each.fits(&h.free_resources()) && h.has_image(&r.image))
            .any(|h| {
                Self::is_feasible(job, h) && !h.tasks.contains_key(task) && zones.allows(&h.zone)
            })
    }

    /// Moves replicas off draining hosts, one at a time each, so that each is away only for
    /// the moment between its stop and its start where the image is.
    pub(crate) fn move_replicas(&mut self, now: Micros) {
        let mut stops = Vec::new();
        for host in self.hosts.values_mut() {
            if host.draining.is_some_and(|t| now - t > DRAIN_FOR) {
                host.draining = None;
            }
        }
        for host in self.hosts.values().filter(|h| h.draining.is_some()) {
            if host
                .tasks
                .values()
                .any(|t| t.holds_resources() && t.stopping.is_some())
            {
                continue;
            }
            let next = host.tasks.iter().find(|(task, t)| {
                t.holds_resources()
                    && self.jobs.get(&task.job).is_some_and(|j| {
                        j.is_service()
                            && j.pending() == 0
                            && self.has_other_host(j, task, &host.id, now)
                    })
            });
            if let Some((task, _)) = next {
                stops.push((host.id.clone(), task.clone()));
            }
        }
        if stops.is_empty() {
            return;
        }
        let services = self.jobs.values().filter(|j| j.is_service());
        let replicas = services.map(|j| j.live.len()).sum();
        for (host, task) in stops {
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
