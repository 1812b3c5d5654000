//! Faults as they begin.

use super::{LIMITS, SimulatedCluster};
use crate::{
    faults::{ActiveFaults, Fault},
    users,
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
    /// A fault begins.
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
            Fault::LimitsFall => self.inner.borrow_mut().state.limits = Some(LIMITS[1]),
            Fault::Link(from, to, kind, time) => {
                faults(&|f| f.link(from.clone(), to.clone(), kind, now + time));
            }
            Fault::Cut(a, b, time) => faults(&|f| f.cut(a.clone(), b.clone(), now + time)),
            Fault::StateOutage(time) => self.store_outage(time),
            Fault::Refused(node, time) => faults(&|f| f.refuse(node, now + time)),
            Fault::CloudOutage(time) => faults(&|f| f.cloud_until = Some(now + time)),
            Fault::Stall(node, time) => faults(&|f| f.freeze(node, now + time)),
            Fault::LateWrites(percent, time) => {
                faults(&|f| f.late_writes.begin(percent, now + time));
            }
            Fault::LateHeartbeats(percent, time) => {
                faults(&|f| f.late_reports.begin(percent, now + time));
            }
            Fault::DelayedCommands(percent, time) => {
                faults(&|f| f.held_orders.begin(percent, now + time));
            }
            Fault::NoHostWrites(time) => {
                faults(&|f| f.no_host_writes_until = Some(now + time));
            }
            Fault::NotReceiving(percent, time) => {
                for id in self.some_workers(percent) {
                    faults(&|f| f.deafen(id.clone(), now + time));
                }
            }
            Fault::NotSending(percent, time) => {
                for id in self.some_workers(percent) {
                    faults(&|f| f.silence(id.clone(), now, now + time));
                }
            }
            Fault::Hang(count, time) => self.hang(self.drawn_workers(count), time),
            Fault::CancelNow(count, hang) => self.cancel_running_jobs(count, hang),
            Fault::CancelAtEnd(percent, time) => {
                faults(&|f| f.cancel_at_end.begin(percent, now + time));
            }
            Fault::InvalidRequests(time) => {
                spawn_local(users::send_invalid_requests(self.clone(), now + time));
            }
            Fault::BadBoots(time) => faults(&|f| f.bad_boots_until = Some(now + time)),
            Fault::MachineLoss => self.lose_machine(),
        }
    }

    /// A controller ends, and is back after this long.
    fn crash(self: &Rc<Self>, node: usize, back: Duration) {
        self.kill_node(node);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(back).await;
            cluster.start_node(node);
        });
    }

    /// Whoever leads the fleet by the store ends.
    fn crash_leader(self: &Rc<Self>, back: Duration) {
        let leads = self.inner.borrow().state.field("jh/leader", "o");
        let name = leads.as_ref().and_then(Value::as_str);
        let node = name.and_then(|n| n.strip_prefix("worker-")?.parse().ok());
        if let Some(node) = node {
            self.crash(node, back);
        }
    }

    /// A controller ends so many times: each process lasts so long, and the next begins so soon.
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

    /// A controller is ended and comes back with the new version.
    fn upgrade(self: &Rc<Self>, node: usize, back: Duration) {
        self.kill_node(node);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(back).await;
            // Whoever restarted it meanwhile started the old version.
            cluster.kill_node(node);
            cluster.inner.borrow_mut().old[node] = false;
            cluster.start_node(node);
        });
    }

    fn store_outage(self: &Rc<Self>, time: Duration) {
        self.inner.borrow_mut().faults.state_until = Some(Instant::now() + time);
        let cluster = self.clone();
        spawn_local(async move {
            sleep(time).await;
            cluster.inner.borrow_mut().state.refill(Instant::now());
        });
    }

    /// So many of a hundred workers, each drawn for itself.
    fn some_workers(&self, percent: u64) -> Vec<String> {
        let mut inner = self.inner.borrow_mut();
        let ids: Vec<String> = inner.workers.keys().cloned().collect();
        let mut chosen = ids;
        chosen.retain(|_| inner.faults.draw(100) < percent);
        chosen
    }

    /// So many workers.
    fn drawn_workers(&self, count: usize) -> Vec<String> {
        let mut inner = self.inner.borrow_mut();
        let mut ids: Vec<String> = inner.workers.keys().cloned().collect();
        while ids.len() > count {
            let n = inner.faults.draw(ids.len() as u64) as usize;
            ids.remove(n);
        }
        ids
    }

    /// A machine stops with all that is on it.
    fn lose_machine(&self) {
        let mut inner = self.inner.borrow_mut();
        let ids: Vec<String> = inner.workers.keys().cloned().collect();
        if !ids.is_empty() {
            let n = inner.rng.random_range(0..ids.len());
            inner.workers.remove(&ids[n]);
            inner.cloud.machines.remove(&ids[n]);
        }
    }

    /// These machines stand still for a while; those that have tasks and go on within their lease are
    /// counted.
    pub(crate) fn hang(self: &Rc<Self>, ids: Vec<String>, time: Duration) {
        let now = Instant::now();
        for id in ids {
            let mut inner = self.inner.borrow_mut();
            let before = inner.workers.get(&id).map(|w| w.incarnation);
            inner.faults.hang(id.clone(), now + time);
            inner.faults.met.hung += 1;
            drop(inner);
            let world = self.clone();
            spawn_local(async move {
                sleep(time).await;
                let mut inner = world.inner.borrow_mut();
                let after = inner.workers.get(&id);
                let went_on =
                    after.is_some_and(|w| Some(w.incarnation) == before && !w.tasks.is_empty());
                inner.faults.met.went_on += usize::from(went_on);
            });
        }
    }

    /// Users call off so many jobs that run and have long to go, and machines of theirs hang.
    pub(crate) fn cancel_running_jobs(self: &Rc<Self>, count: usize, hang: Duration) {
        let now = Instant::now();
        let far = now + hang.max(Duration::from_secs(10));
        let mut found: BTreeMap<String, Vec<String>> = BTreeMap::new();
        {
            use crate::worker::Phase;
            let inner = self.inner.borrow();
            for worker in inner.workers.values() {
                for ((task, _), t) in &worker.tasks {
                    let id = task.job.to_string();
                    let lasts = matches!(t.phase, Phase::Running { until } if until.is_none_or(|t| t > far));
                    let own = inner.accepted_at.contains_key(&id)
                        && inner.jobs[&id].dependencies.is_empty();
                    if lasts && own && !inner.rules.asked.contains(&id) {
                        found.entry(id).or_default().push(worker.id.clone());
                    }
                }
            }
        }
        let mut machines = BTreeSet::new();
        for (id, hosts) in found.into_iter().take(count) {
            machines.extend(hosts);
            let (world, wait) = (self.clone(), Duration::from_millis(self.draw(200)));
            self.inner.borrow_mut().faults.met.called_off += 1;
            spawn_local(async move {
                sleep(wait).await;
                users::cancel(&world, &id).await;
            });
        }
        if hang > Duration::ZERO {
            let machines = machines.into_iter().take(8).collect();
            let world = self.clone();
            spawn_local(async move {
                // Orders may just be on their way.
                sleep(Duration::from_millis(world.draw(400))).await;
                world.hang(machines, hang);
            });
        }
    }
}
