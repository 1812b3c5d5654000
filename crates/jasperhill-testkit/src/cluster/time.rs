//! Simulation steps: machines boot, tasks advance and end, and the invariants are checked.

use super::{CANCEL, ClusterState, LEASE_DURATION, NODE_COUNT, SimulatedCluster, TICK_INTERVAL};
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
    /// Records the zones in which no running controller reaches both the state service and the
    /// workers.
    pub(crate) fn record_unreachable_zones(inner: &mut ClusterState, now: Instant) {
        for zone in ["a", "b"] {
            let zone_endpoint = Endpoint::Zone(zone.to_owned());
            let is_reached = (0..NODE_COUNT).any(|n| {
                let (node_endpoint, faults) = (Endpoint::Node(n), &inner.faults);
                inner.nodes[n].is_some()
                    && faults.stalled_until(n, now).is_none()
                    && !faults.is_refused(n, now)
                    && faults.state_until.is_none_or(|t| now >= t)
                    && faults.is_link_intact(&node_endpoint, &Endpoint::State, now)
                    && faults.is_link_intact(&node_endpoint, &zone_endpoint, now)
                    && faults.is_link_intact(&zone_endpoint, &node_endpoint, now)
            });
            if !is_reached {
                inner
                    .invariants
                    .last_unreachable
                    .insert(zone.to_owned(), now);
            }
        }
    }

    /// Advances the simulation by one tick after another, for the whole run.
    pub(crate) async fn tick_loop(self: Rc<Self>) {
        let limits: BTreeMap<String, u64> = (0..4)
            .map(|t| (format!("team-{t}"), (self.scale.gpu_limit() * 1e6) as u64))
            .collect();
        let times = WorkerTimes {
            lease: LEASE_DURATION,
            gang_wait: Duration::from_secs(30),
        };
        let mut ticks = 0u64;
        loop {
            sleep(TICK_INTERVAL).await;
            let now = Instant::now();
            let mut booted = Vec::new();
            let jobs_to_cancel;
            {
                let mut inner = self.inner.borrow_mut();
                Self::record_unreachable_zones(&mut inner, now);
                let ClusterState {
                    cloud,
                    workers,
                    invariants: rules,
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
                        let node = rng.random_range(0..NODE_COUNT);
                        workers.insert(
                            machine.id.clone(),
                            Worker::new(&machine.id, &machine.zone, machine.spot, node, now),
                        );
                        booted.push(machine.id.clone());
                    }
                }
                cloud.remember(now);
                let mut hung = BTreeSet::new();
                for worker in workers.values_mut() {
                    let jobs_on_machine = worker.tasks.keys().map(|(task, _)| task.job.as_str());
                    worker.is_sick = faults.is_sick(&worker.id, jobs_on_machine, now);
                    if faults.hangs_until(&worker.id, now).is_some() {
                        worker.hang(TICK_INTERVAL, now, &times, rules);
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
                let ended_jobs = rules.take_completed_jobs(jobs).into_iter();
                jobs_to_cancel = ended_jobs
                    .filter(|_| faults.at_end(now))
                    .collect::<Vec<_>>();
            }
            for id in jobs_to_cancel {
                users::cancel_at_end(&self, id);
            }
            for id in booted {
                spawn_local(self.clone().worker_loop(id));
            }
        }
    }
}

/// Advances gangs as a whole: their tasks start together, complete together and fail together.
fn advance_gangs(
    workers: &mut BTreeMap<String, Worker>,
    jobs: &BTreeMap<String, JobRequest>,
    rules: &mut InvariantChecker,
    hung: &BTreeSet<String>,
    now: Instant,
) {
    use crate::worker::Phase;
    use jasperhill_wire::{TaskId, user::Shape};
    /// Worker, task and phase of one task of a gang.
    type GangTask = (String, TaskId, Phase);
    let mut gangs: BTreeMap<(String, u64), Vec<GangTask>> = BTreeMap::new();
    // A hung worker does not notice that its gang has ended, while the other tasks of the gang see
    // it as missing.
    for worker in workers.values().filter(|w| !hung.contains(&w.id)) {
        for ((task, attempt), t) in &worker.tasks {
            if jobs
                .get(task.job.as_str())
                .is_some_and(|j| j.shape == Shape::Gang)
            {
                let key = (task.job.to_string(), *attempt);
                gangs.entry(key).or_default().push((
                    worker.id.clone(),
                    task.clone(),
                    t.phase.clone(),
                ));
            }
        }
    }
    for ((job, attempt), tasks) in gangs {
        let job = &jobs[&job];
        let waiting = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Waiting(_)))
            .count();
        let running = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Running { .. }))
            .count();
        let task_count = job.tasks as usize;
        // A gang completes as a whole only while all of its tasks run. Otherwise, when one task
        // ends by itself at the moment in which another one's machine loses its lease, the job
        // would be done although one task never completed.
        let has_run_out = |p: &Phase| matches!(p, Phase::Running { until: Some(t) } if now >= *t);
        let done = running == task_count && tasks.iter().any(|(.., p)| has_run_out(p));
        let next_phase = if waiting == task_count {
            Phase::Running {
                until: Some(now + Duration::from_micros(job.estimate.0)),
            }
        } else if done {
            Phase::Exited("done")
        } else if running > 0 && running < task_count {
            Phase::Exited("peers")
        } else {
            continue;
        };
        for (host, task, phase) in tasks {
            if matches!(phase, Phase::Exited(_) | Phase::Fetching(_)) {
                continue;
            }
            if next_phase == Phase::Exited("done") {
                rules.finished(&task);
            }
            if let Some(worker) = workers.get_mut(&host)
                && let Some(t) = worker.tasks.get_mut(&(task, attempt))
            {
                t.phase = next_phase.clone();
                worker.changed = true;
            }
        }
    }
}
