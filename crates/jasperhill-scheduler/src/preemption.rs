//! Making room: lesser work is stopped for production tasks and gangs.

use crate::{
    cycle::Cycle,
    host::Host,
    partition::Partition,
    placement::{ZoneCapacity, start_delay},
};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, TaskId, user::Priority};
use std::collections::{BTreeMap, BTreeSet};

/// How long after the last victim must be gone room that was made is waited for.
const FREED_HELD_FOR: Micros = Micros::from_secs(4);
/// Room that comes by itself this soon is waited for.
const SOON: Micros = Micros::from_secs(3);

/// What stopping normal instead of low work is counted as.
const MORE_IMPORTANT: Micros = Micros::from_secs(20);
/// What has not run for so long has hardly started, and what stopping it is counted as.
const FRESH: Micros = Micros::from_secs(30);
const FRESH_COST: Micros = Micros::from_secs(10);

/// Work that could be stopped.
pub(crate) struct Victim {
    /// Work lost by stopping it.
    lost_work: Micros,
    task: TaskId,
    each: Resources,
    grace: Micros,
}

impl Partition {
    /// What could be stopped on a host for work of this priority, the least loss first.
    /// `whole`: also gangs of several tasks, which are stopped whole.
    fn victims(&self, host: &Host, than: Priority, whole: bool, now: Micros) -> Vec<Victim> {
        let mut victims: Vec<Victim> = host
            .tasks
            .iter()
            // What is stopping already makes room for somebody else.
            .filter(|(_, t)| t.holds_resources() && t.stopping.is_none())
            .filter_map(|(task, t)| {
                let other = self.jobs.get(&task.job)?;
                let size = if other.is_gang() {
                    other.request.tasks
                } else {
                    1
                };
                let lower = other.priority() > than && !other.is_service();
                (lower && (whole || size == 1)).then(|| {
                    let (lost, grace) = if other.checkpoints() {
                        (other.request.checkpoint_time, other.request.checkpoint_time)
                    } else {
                        (now - t.running.unwrap_or(now), Micros::ZERO)
                    };
                    // The least important goes first; a start undone so soon was for nothing.
                    let rank = u64::from(other.priority() == Priority::Normal);
                    let fresh = t.running.is_none_or(|r| now - r < FRESH);
                    let lost = lost
                        + Micros(MORE_IMPORTANT.0 * rank)
                        + if fresh { FRESH_COST } else { Micros::ZERO };
                    Victim {
                        lost_work: Micros(lost.0.saturating_mul(u64::from(size))),
                        task: task.clone(),
                        each: t.each,
                        grace,
                    }
                })
            })
            .collect();
        victims.sort_by_key(|v| v.lost_work);
        victims
    }

    fn stop_victims(&mut self, pass: &Cycle, host: &HostId, victims: &[TaskId], why: &'static str) {
        pass.invalidate_host(host);
        for task in victims {
            let Some(other) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            other.preempted += 1;
            if other.is_gang() {
                other.live.values().for_each(|h| pass.invalidate_host(h));
            }
            self.stop_with_grace(host, task, why, pass.now);
        }
    }

    /// Stops work of lower priority for a production task that finds no room. True if room is
    /// now being made where the wait is shorter than `wait`.
    pub(crate) fn preempt_for_replica(
        &mut self,
        pass: &mut Cycle,
        id: &JobId,
        i: u32,
        zones: &ZoneCapacity,
        wait: Micros,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let (request, priority) = (job.request.clone(), job.priority());
        let patience = self.longest_wait(job, pass.now);
        let mut zones = zones.clone();
        for (host, _) in &job.preempting {
            if let Some(zone) = self.zone_of(host) {
                zones.add(&zone);
            }
        }
        let task = TaskId::new(id, i);
        let mut best: Option<(_, usize, Vec<TaskId>, Micros)> = None;
        for (at, slot, host) in self.with_slots(pass) {
            if !slot.usable
                || slot.reserved.as_ref().is_some_and(|j| j != id)
                || !Self::is_feasible(job, host)
                || !zones.allows(&host.zone)
                || host.tasks.contains_key(&task)
            {
                continue;
            }
            let delay = start_delay(host, &request, pass.now);
            // Where it would start late all the same, lesser work is not stopped for it: in
            // a cold start every image is still on its way, and such work would be stopped
            // again and again.
            if wait != Micros::MAX && (delay + patience >= wait || delay > patience) {
                continue;
            }
            let (mut free, mut chosen, mut loss) = (slot.room, Vec::new(), Micros::ZERO);
            let mut grace = Micros::ZERO;
            // Gangs of several tasks go only where there is no room at all: a replica never
            // waits for a machine that lesser work of any shape holds.
            let whole = wait == Micros::MAX;
            let victims = pass.victims(at, priority, whole, || {
                self.victims(host, priority, whole, pass.now)
            });
            for victim in victims.iter() {
                if request.each.fits(&free) {
                    break;
                }
                free += victim.each;
                loss += victim.lost_work;
                grace = grace.max(victim.grace);
                chosen.push(victim.task.clone());
            }
            let delay = delay + grace;
            let sooner = wait == Micros::MAX || delay + patience < wait;
            if request.each.fits(&free) && !chosen.is_empty() && sooner {
                let key = (delay.0 / 1_000_000, loss.0);
                if best.as_ref().is_none_or(|(k, ..): &(_, _, _, _)| key < *k) {
                    best = Some((key, at, chosen, grace));
                }
            }
        }
        let Some((_, at, victims, grace)) = best else {
            return false;
        };
        let host = pass.slots[at].id.clone();
        self.stop_victims(pass, &host, &victims, "room for production");
        if let Some(job) = self.jobs.get_mut(id) {
            job.preempting
                .push((host, pass.now + grace + FREED_HELD_FOR));
        }
        pass.take(at, &request.each);
        true
    }

    /// Stops lesser work for a gang that does not find room for all of its tasks.
    /// The hosts are kept for it until it starts or the room has not come about in time.
    pub(crate) fn preempt_for_gang(&mut self, pass: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let (request, priority) = (job.request.clone(), job.priority());
        if !job.preempting.is_empty() {
            return;
        }
        if job
            .held_hosts
            .as_ref()
            .is_some_and(|k| k.ready <= pass.now + SOON)
        {
            return;
        }
        if pass.is_gang_without_victims(priority, &request) {
            return;
        }
        let mut listed = false;
        /// A place for one more task: what it costs, where, and who must go for it.
        struct CandidatePlacement {
            cost: u64,
            at: usize,
            victims: Vec<TaskId>,
            grace: Micros,
        }
        let mut by_zone: BTreeMap<Name, Vec<CandidatePlacement>> = BTreeMap::new();
        for (at, slot, host) in self.with_slots(pass) {
            if !slot.usable
                || slot.reserved.as_ref().is_some_and(|j| j != id)
                || !Self::is_feasible(job, host)
                || !request.each.fits(&host.spec.capacity)
            {
                continue;
            }
            if host.lists_job(id) {
                listed = true;
                continue;
            }
            let delay = start_delay(host, &request, pass.now).0;
            let zone = if request.one_zone {
                host.zone.clone()
            } else {
                Name::from("")
            };
            let seats = by_zone.entry(zone).or_default();
            let mut free = slot.room;
            let mut found = 0;
            while found < request.tasks && request.each.fits(&free) {
                free -= request.each;
                found += 1;
                seats.push(CandidatePlacement {
                    cost: delay,
                    at,
                    victims: Vec::new(),
                    grace: Micros::ZERO,
                });
            }
            let (mut go, mut loss, mut grace) = (Vec::new(), 0, Micros::ZERO);
            let victims = pass.victims(at, priority, true, || {
                self.victims(host, priority, true, pass.now)
            });
            for victim in victims.iter() {
                if found >= request.tasks {
                    break;
                }
                free += victim.each;
                loss += victim.lost_work.0;
                grace = grace.max(victim.grace);
                go.push(victim.task.clone());
                if request.each.fits(&free) {
                    free -= request.each;
                    found += 1;
                    seats.push(CandidatePlacement {
                        cost: delay + grace.0 + loss,
                        at,
                        victims: std::mem::take(&mut go),
                        grace,
                    });
                }
            }
        }
        let mut best: Option<(u64, Vec<CandidatePlacement>)> = None;
        for mut seats in by_zone.into_values() {
            seats.sort_by_key(|s| (s.cost, s.at, s.victims.len()));
            let mut zones = ZoneCapacity::of(job, |_| None);
            let (mut total, mut chosen) = (0, Vec::new());
            for seat in seats {
                let zone = self.zone_of(&pass.slots[seat.at].id).unwrap_or("".into());
                if chosen.len() < request.tasks as usize && zones.allows(&zone) {
                    zones.add(&zone);
                    total += seat.cost;
                    chosen.push(seat);
                }
            }
            if chosen.len() == request.tasks as usize
                && best.as_ref().is_none_or(|(c, _)| total < *c)
            {
                best = Some((total, chosen));
            }
        }
        let Some((_, chosen)) = best else {
            // Where it is itself does not count for others.
            if !listed && !job.failures.avoids_any() {
                pass.note_gang_without_victims(priority, &request);
            }
            return;
        };
        let grace = chosen.iter().map(|s| s.grace).max().unwrap_or_default();
        let until = pass.now + grace + FREED_HELD_FOR;
        let hosts: BTreeSet<usize> = chosen.iter().map(|s| s.at).collect();
        for seat in &chosen {
            let host = pass.slots[seat.at].id.clone();
            self.stop_victims(pass, &host, &seat.victims, "room for a gang");
        }
        let hosts: Vec<HostId> = hosts.iter().map(|at| pass.slots[*at].id.clone()).collect();
        if let Some(job) = self.jobs.get_mut(id) {
            job.preempting = hosts.iter().map(|h| (h.clone(), until)).collect();
            job.held_hosts = Some(crate::job::HeldHosts {
                hosts,
                until,
                ready: pass.now + grace,
            });
        }
    }

    /// Room that has not come about in time is not waited for any longer.
    pub(crate) fn expire_preemptions(&mut self, now: Micros) {
        for job in self.jobs.values_mut() {
            if job.preempting.is_empty() {
                continue;
            }
            if job.pending() == 0 || job.termination.is_some() {
                job.preempting.clear();
            }
            job.preempting.retain(|(_, until)| now <= *until);
        }
    }
}
