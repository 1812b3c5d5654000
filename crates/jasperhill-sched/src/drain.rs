//! Emptying hosts that are more than needed: their replicas move, one at a time per host,
//! to where they can go on at once.

use crate::{
    host::Host,
    job::Job,
    partition::{Note, Partition},
    suit::ZoneRooms,
};
use jasperhill_wire::{HostId, Micros, TaskId};

/// A replica that has run for less is not moved.
const SETTLED: Micros = Micros::from_secs(45);
/// Hosts that hold more are not emptied.
const TASKS_MOST: usize = 4;
/// Hosts looked at closely in one go.
const LOOKED_AT: usize = 64;
/// A host that could not be emptied in this time is used again.
const DRAIN_FOR: Micros = Micros::from_secs(90);

impl Partition {
    /// Chooses hosts to be emptied, when there are more than are needed: those with the
    /// fewest tasks, if all their replicas can go on at once elsewhere. At most `most` are
    /// being emptied at a time.
    pub fn drain_some(&mut self, now: Micros, ordinary: bool, most: usize) {
        let config = self.config.clone();
        let draining = self.hosts.values().filter(|h| h.draining.is_some()).count();
        if self.has_ghosts() || draining >= most {
            return;
        }
        let mut fewest: Vec<(usize, &HostId)> = self
            .hosts
            .values()
            .filter(|h| (1..=TASKS_MOST).contains(&h.tasks_on()))
            .filter(|h| h.is_usable(now, &config) && h.queue.is_empty() && (ordinary || h.spot))
            .map(|h| (h.tasks_on(), &h.id))
            .collect();
        fewest.sort();
        let chosen: Vec<HostId> = fewest
            .into_iter()
            .take(LOOKED_AT)
            .filter(|(_, id)| self.hosts.get(*id).is_some_and(|h| self.empties(h, now)))
            .take(most - draining)
            .map(|(_, id)| id.clone())
            .collect();
        for id in chosen {
            if let Some(host) = self.hosts.get_mut(&id) {
                host.draining = Some(now);
            }
        }
    }

    /// All replicas there can move; the rest ends by itself.
    fn empties(&self, host: &Host, now: Micros) -> bool {
        host.tasks
            .iter()
            .filter(|(_, t)| t.is_on())
            .all(|(task, t)| {
                self.jobs.get(&task.job).is_some_and(|j| {
                    !j.is_service()
                        || (t.running.is_some_and(|r| now - r > SETTLED)
                            && self.has_refuge(j, task, &host.id, now))
                })
            })
    }

    /// Another host is there where this replica would run at once.
    fn has_refuge(&self, job: &Job, task: &TaskId, from: &HostId, now: Micros) -> bool {
        let r = &job.request;
        // The one that moves does not count where it is.
        let others = job.live.iter().filter(|(i, _)| **i != task.index);
        let zones = ZoneRooms::among(r, others.map(|(_, h)| h), |h| self.zone_of(h));
        self.hosts
            .values()
            .filter(|h| &h.id != from && h.tasks_on() > 0 && h.is_usable(now, &self.config))
            .filter(|h| r.each.fits(&h.room()) && h.has_image(&r.image))
            .any(|h| Self::suits(job, h) && !h.tasks.contains_key(task) && zones.allows(&h.zone))
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
                .any(|t| t.is_on() && t.stopping.is_some())
            {
                continue;
            }
            let next = host.tasks.iter().find(|(task, t)| {
                t.is_on()
                    && self.jobs.get(&task.job).is_some_and(|j| {
                        j.is_service()
                            && j.pending() == 0
                            && self.has_refuge(j, task, &host.id, now)
                    })
            });
            if let Some((task, _)) = next {
                stops.push((host.id.clone(), task.clone()));
            }
        }
        for (host, task) in stops {
            self.notes.push(Note::Stopped(
                task.clone(),
                host.clone(),
                "moved to empty the host",
            ));
            self.stop(&host, &task, Micros::ZERO, now);
        }
    }
}
