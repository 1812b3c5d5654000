//! Time passes: machines come up, tasks run and end, invariants are checked.

use super::{CANCEL, ClusterState, LEASE, NODES, SimulatedCluster, TICK};
use crate::{
    faults::Endpoint,
    invariants::InvariantChecker,
    users,
    worker::{Worker, WorkerObserver, WorkerTimes},
};
use jasperhill_wire::user::JobRequest;
use rand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

impl SimulatedCluster {
    /// Notes the zones whose workers no controller reaches that the state service answers.
    pub(crate) fn note_unreachable_zones(inner: &mut ClusterState, now: Instant) {
        for zone in ["a", "b"] {
            let there = Endpoint::Zone(zone.to_owned());
            let reached = (0..NODES).any(|n| {
                let (here, faults) = (Endpoint::Node(n), &inner.faults);
                inner.nodes[n].is_some()
                    && faults.frozen_until(n, now).is_none()
                    && !faults.is_refused(n, now)
                    && faults.state_until.is_none_or(|t| now >= t)
                    && faults.is_whole(&here, &Endpoint::State, now)
                    && faults.is_whole(&here, &there, now)
                    && faults.is_whole(&there, &here, now)
            });
            if !reached {
                inner.rules.out_of_reach.insert(zone.to_owned(), now);
            }
        }
    }

    pub(crate) async fn tick_loop(self: Rc<Self>) {
        let limits: BTreeMap<String, u64> = (0..4)
            .map(|t| (format!("team-{t}"), (self.scale.gpu_limit() * 1e6) as u64))
            .collect();
        let times = WorkerTimes {
            lease: LEASE,
            gang_wait: Duration::from_secs(30),
        };
        let mut ticks = 0u64;
        loop {
            sleep(TICK).await;
            let now = Instant::now();
            let mut fresh = Vec::new();
            let ends;
            {
                let mut inner = self.inner.borrow_mut();
                Self::note_unreachable_zones(&mut inner, now);
                let ClusterState {
                    cloud,
                    workers,
                    rules,
                    jobs,
                    rng,
                    state,
                    faults,
                    accepted_at,
                    ..
                } = &mut *inner;
                if faults.state_until.is_none_or(|t| now >= t) {
                    state.expire(now);
                }
                for machine in cloud.machines.values_mut() {
                    if !machine.up && now >= machine.boots {
                        machine.up = true;
                        let node = rng.random_range(0..NODES);
                        workers.insert(
                            machine.id.clone(),
                            Worker::new(&machine.id, &machine.zone, machine.spot, node, now),
                        );
                        fresh.push(machine.id.clone());
                    }
                }
                cloud.remember(now);
                let mut hung = BTreeSet::new();
                for worker in workers.values_mut() {
                    if faults.hangs_until(&worker.id, now).is_some() {
                        worker.hang(TICK, now, &times, rules);
                        hung.insert(worker.id.clone());
                    } else {
                        worker.tick(now, &times, jobs, rules);
                    }
                }
                advance_gangs(workers, jobs, rules, &hung, now);
                rules.check(workers, jobs, &limits, CANCEL, now);
                ticks += 1;
                if ticks.is_multiple_of(10) {
                    rules.check_waiting_jobs(workers, jobs, accepted_at, &limits, now);
                }
                let at_end = rules.just_ended(jobs).into_iter();
                ends = at_end.filter(|_| faults.at_end(now)).collect::<Vec<_>>();
            }
            for id in ends {
                users::cancel_at_end(&self, id);
            }
            for id in fresh {
                spawn_local(self.clone().worker_loop(id));
            }
        }
    }
}

/// Gangs start together, complete together and fail together.
fn advance_gangs(
    workers: &mut BTreeMap<String, Worker>,
    jobs: &BTreeMap<String, JobRequest>,
    rules: &mut InvariantChecker,
    hung: &BTreeSet<String>,
    now: Instant,
) {
    use crate::worker::Phase;
    use jasperhill_wire::{TaskId, user::Shape};
    type Seat = (String, TaskId, Phase);
    let mut seen: BTreeMap<(String, u64), Vec<Seat>> = BTreeMap::new();
    // What stands still notices nothing, and the rest of its gang that it is missing.
    for worker in workers.values().filter(|w| !hung.contains(&w.id)) {
        for ((task, attempt), t) in &worker.tasks {
            if jobs
                .get(task.job.as_str())
                .is_some_and(|j| j.shape == Shape::Gang)
            {
                let key = (task.job.to_string(), *attempt);
                seen.entry(key).or_default().push((
                    worker.id.clone(),
                    task.clone(),
                    t.phase.clone(),
                ));
            }
        }
    }
    for ((job, attempt), tasks) in seen {
        let job = &jobs[&job];
        let waiting = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Waiting(_)))
            .count();
        let running = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Running { .. }))
            .count();
        let all = job.tasks as usize;
        // Guards against a task that ends by itself in the moment in which another one's machine
        // loses its lease: the job would be done with a task that never was.
        let over = |p: &Phase| matches!(p, Phase::Running { until: Some(t) } if now >= *t);
        let done = running == all && tasks.iter().any(|(.., p)| over(p));
        let to = if waiting == all {
            Phase::Running {
                until: Some(now + Duration::from_micros(job.estimate.0)),
            }
        } else if done {
            Phase::Exited("done")
        } else if running > 0 && running < all {
            Phase::Exited("peers")
        } else {
            continue;
        };
        for (host, task, phase) in tasks {
            if matches!(phase, Phase::Exited(_) | Phase::Fetching(_)) {
                continue;
            }
            if to == Phase::Exited("done") {
                rules.finished(&task);
            }
            if let Some(worker) = workers.get_mut(&host)
                && let Some(t) = worker.tasks.get_mut(&(task, attempt))
            {
                t.phase = to.clone();
                worker.changed = true;
            }
        }
    }
}
