//! Injection of the scenario's faults into the running cluster.

use super::{STATE_SERVICE_LIMITS, SimulatedCluster};
use crate::{
    faults::{ActiveFaults, ActivePercentage, Fault},
    users,
    worker::Worker,
};
use rand::Rng;
use serde_json::Value;
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
    /// Starts a fault.
    pub(crate) fn inject(self: &Rc<Self>, fault: Fault) {
        let now = Instant::now();
        let faults = |begin: &dyn Fn(&mut ActiveFaults)| begin(&mut self.inner.borrow_mut().faults);
        match fault {
            Fault::Crash(node, back) => self.crash(node, back),
            Fault::CrashLeader(back) => self.crash_leader(back),
            Fault::CrashLoop {
                node,
                times,
                life,
                back,
            } => self.crash_loop(node, times, life, back),
            Fault::Upgrade(node, back) => self.upgrade(node, back),
            Fault::LimitsFall => {
                self.inner.borrow_mut().state.limits = Some(STATE_SERVICE_LIMITS[1])
            }
            Fault::Link(from, to, kind, time) => {
                faults(&|f| f.link(from.clone(), to.clone(), kind, now + time));
            }
            Fault::Cut(a, b, time) => faults(&|f| f.cut(a.clone(), b.clone(), now + time)),
            Fault::StateOutage(time) => self.begin_state_outage(time),
            Fault::Refused(node, time) => faults(&|f| f.refuse(node, now + time)),
            Fault::CloudOutage(time) => faults(&|f| f.cloud_until = Some(now + time)),
            Fault::Stall(node, time) => faults(&|f| f.stall(node, now + time)),
            Fault::LateWrites(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.late_writes);
            }
            Fault::LateHeartbeats(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.late_reports);
            }
            Fault::DelayedCommands(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.held_orders);
            }
            Fault::CommandCopies(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.command_copies);
            }
            Fault::StoreCopies(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.store_copies);
            }
            Fault::MeshCopies(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.mesh_copies);
            }
            Fault::NoHostWrites(time) => {
                faults(&|f| f.no_host_writes_until = Some(now + time));
            }
            Fault::NotReceiving(percent, time) => {
                for id in self.random_percentage_of_workers(percent) {
                    faults(&|f| f.block_receiving(id.clone(), now + time));
                }
            }
            Fault::NotSending(percent, time) => {
                for id in self.random_percentage_of_workers(percent) {
                    faults(&|f| f.block_sending(id.clone(), now, now + time));
                }
            }
            Fault::Hang(count, time) => self.hang_machines(self.random_workers(count), time),
            Fault::CancelNow(count, hang) => self.cancel_running_jobs(count, hang),
            Fault::CancelAtEnd(percent, time) => {
                self.start_percentage(percent, time, |f| &mut f.cancel_at_end);
            }
            Fault::InvalidRequests(time) => {
                spawn_local(users::send_invalid_requests(self.clone(), now + time));
            }
            Fault::BadBoots(time) => faults(&|f| f.bad_boots_until = Some(now + time)),
            Fault::MachineLoss => self.lose_machine(),
            Fault::LossOfMachineOf(job) => {
                if let Some(id) = self.machine_of(&job, None) {
                    self.remove_machine(&id);
                }
            }
            Fault::NotSendingFrom(job, index, time) => {
                if let Some(id) = self.machine_of(&job, Some(index)) {
                    faults(&|f| f.block_sending(id.clone(), now, now + time));
                }
            }
            Fault::SickMachines(job, count, time) => {
                faults(&|f| f.make_sick(job.clone(), count, now + time));
            }
        }
    }

    /// Starts a fault that affects this percentage of messages or jobs.
    fn start_percentage(
        &self,
        percent: u64,
        time: Duration,
        select: impl Fn(&mut ActiveFaults) -> &mut ActivePercentage,
    ) {
        let until = Instant::now() + time;
        select(&mut self.inner.borrow_mut().faults).begin(percent, until);
    }

    /// Kills a controller and restarts it after `back`.
    fn crash(self: &Rc<Self>, node: usize, back: Duration) {
        self.kill_node(node);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(back).await;
            cluster.start_node(node);
        });
    }

    /// Crashes the fleet leader named in the state service, if there is one.
    fn crash_leader(self: &Rc<Self>, back: Duration) {
        let leader = self.inner.borrow().state.field("jh/leader", "o");
        let name = leader.as_ref().and_then(Value::as_str);
        let node = name.and_then(|n| n.strip_prefix("worker-")?.parse().ok());
        if let Some(node) = node {
            self.crash(node, back);
        }
    }

    /// Kills a controller `times` times: each time it is restarted after `back` and runs for
    /// `life`.
    fn crash_loop(self: &Rc<Self>, node: usize, times: usize, life: Duration, back: Duration) {
        let cluster = self.clone();
        spawn_local(async move {
            for _ in 0..times {
                cluster.kill_node(node);
                sleep(back).await;
                cluster.start_node(node);
                sleep(life).await;
            }
        });
    }

    /// Kills a controller and restarts it with the new version after `back`.
    fn upgrade(self: &Rc<Self>, node: usize, back: Duration) {
        self.kill_node(node);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(back).await;
            // A concurrent crash fault may have restarted the controller with the old version.
            cluster.kill_node(node);
            cluster.inner.borrow_mut().runs_old_version[node] = false;
            cluster.start_node(node);
        });
    }

    /// Makes the state service unavailable for `time`. Afterwards all leases have their full time
    /// again.
    fn begin_state_outage(self: &Rc<Self>, time: Duration) {
        self.inner.borrow_mut().faults.state_until = Some(Instant::now() + time);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(time).await;
            cluster.inner.borrow_mut().state.refill(Instant::now());
        });
    }

    /// Selects each worker independently with a probability of `percent`.
    fn random_percentage_of_workers(&self, percent: u64) -> Vec<String> {
        let mut inner = self.inner.borrow_mut();
        let ids: Vec<String> = inner.workers.keys().cloned().collect();
        let mut chosen = ids;
        chosen.retain(|_| inner.faults.draw(100) < percent);
        chosen
    }

    /// Selects up to `count` workers at random.
    fn random_workers(&self, count: usize) -> Vec<String> {
        let mut inner = self.inner.borrow_mut();
        let mut ids: Vec<String> = inner.workers.keys().cloned().collect();
        while ids.len() > count {
            let n = inner.faults.draw(ids.len() as u64) as usize;
            ids.remove(n);
        }
        ids
    }

    /// Removes a random machine and all tasks on it.
    fn lose_machine(&self) {
        let id = {
            let mut inner = self.inner.borrow_mut();
            let ids: Vec<String> = inner.workers.keys().cloned().collect();
            if ids.is_empty() {
                return;
            }
            ids[inner.rng.random_range(0..ids.len())].clone()
        };
        self.remove_machine(&id);
    }

    /// Returns a machine on which a task of this job has started, if any; with `index`, the machine
    /// of this task.
    fn machine_of(&self, job: &str, index: Option<u32>) -> Option<String> {
        let inner = self.inner.borrow();
        let runs_task = |worker: &&Worker| {
            worker.tasks.iter().any(|((task, _), t)| {
                task.job.as_str() == job
                    && index.is_none_or(|index| task.index == index)
                    && t.is_started()
            })
        };
        inner.workers.values().find(runs_task).map(|w| w.id.clone())
    }

    /// Removes a machine and all tasks on it.
    fn remove_machine(&self, id: &str) {
        let mut inner = self.inner.borrow_mut();
        inner.workers.remove(id);
        inner.cloud.machines.remove(id);
    }

    /// Makes machines hang for `time`. Counts machines that have tasks afterwards and whose lease
    /// did not expire meanwhile.
    pub(crate) fn hang_machines(self: &Rc<Self>, ids: Vec<String>, time: Duration) {
        let now = Instant::now();
        for id in ids {
            let mut inner = self.inner.borrow_mut();
            let before = inner.workers.get(&id).map(|w| w.incarnation);
            inner.faults.hang(id.clone(), now + time);
            inner.faults.counts.hung += 1;
            drop(inner);
            let cluster = self.clone();
            spawn_local(async move {
                sleep(time).await;
                let mut inner = cluster.inner.borrow_mut();
                let after = inner.workers.get(&id);
                let resumed_with_tasks =
                    after.is_some_and(|w| Some(w.incarnation) == before && !w.tasks.is_empty());
                inner.faults.counts.resumed_within_lease += usize::from(resumed_with_tasks);
            });
        }
    }

    /// Cancels up to `count` running jobs that have at least 10 s, and at least `hang`, left to
    /// run. Up to eight of their machines then hang for `hang`.
    pub(crate) fn cancel_running_jobs(self: &Rc<Self>, count: usize, hang: Duration) {
        let now = Instant::now();
        let earliest_end = now + hang.max(Duration::from_secs(10));
        let mut machines_by_job: BTreeMap<String, Vec<String>> = BTreeMap::new();
        {
            use crate::worker::Phase;
            let inner = self.inner.borrow();
            for worker in inner.workers.values() {
                for ((task, _), t) in &worker.tasks {
                    let id = task.job.to_string();
                    let outlasts_hang = matches!(t.phase, Phase::Running { until } if until.is_none_or(|t| t > earliest_end));
                    let is_independent = inner.accepted_at.contains_key(&id)
                        && inner.jobs[&id].dependencies.is_empty();
                    if outlasts_hang
                        && is_independent
                        && !inner.invariants.cancel_requested.contains(&id)
                    {
                        machines_by_job
                            .entry(id)
                            .or_default()
                            .push(worker.id.clone());
                    }
                }
            }
        }
        let mut machines = BTreeSet::new();
        for (id, hosts) in machines_by_job.into_iter().take(count) {
            machines.extend(hosts);
            let (cluster, wait) = (self.clone(), Duration::from_millis(self.draw(200)));
            self.inner
                .borrow_mut()
                .faults
                .counts
                .cancelled_while_running += 1;
            spawn_local(async move {
                sleep(wait).await;
                users::cancel(&cluster, &id).await;
            });
        }
        if hang > Duration::ZERO {
            let machines = machines.into_iter().take(8).collect();
            let cluster = self.clone();
            spawn_local(async move {
                // The random delay lets the hang begin while commands may be in transit.
                sleep(Duration::from_millis(cluster.draw(400))).await;
                cluster.hang_machines(machines, hang);
            });
        }
    }
}
