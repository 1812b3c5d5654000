//! What the stand-ins and the other controllers make of a request that has arrived.

use super::{
    ClusterState, SimulatedCluster, asked,
    network::worker_id,
    old_version::{as_old_reads, as_old_writes},
};
use crate::{faults::Endpoint, state::Served};
use jasperhill_http::{ClientError, Method, Request, Response};
use rand::Rng;
use serde_json::Value;
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

impl SimulatedCluster {
    pub(crate) async fn execute(
        &self,
        node: usize,
        to: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        let now = Instant::now();
        match self.place(to) {
            Endpoint::Node(i) => {
                let found = {
                    let inner = self.inner.borrow();
                    inner.nodes[i].clone().map(|c| (c, inner.generations[i]))
                };
                let Some((controller, life)) = found else {
                    return Err(ClientError::NotSent);
                };
                self.wait_while_stalled(i).await;
                let asked = asked(&request);
                let future = controller.handle_mesh(request);
                drop(controller);
                let answer = future.await;
                self.transcribe(|t, at| t.answer(at, i, &asked, &answer));
                if self.inner.borrow().generations[i] != life {
                    return Err(ClientError::NoAnswer);
                }
                Ok(answer)
            }
            Endpoint::State
                if request.path() == "/txn" && self.is_transaction_delayed(node, &request) =>
            {
                // No answer; whoever sent it gives up.
                sleep(Duration::from_secs(60)).await;
                Err(ClientError::NoAnswer)
            }
            Endpoint::State if self.inner.borrow().old[node] => {
                let answer = self.state(node, as_old_writes(request)).await?;
                Ok(as_old_reads(answer))
            }
            Endpoint::State => self.state(node, request).await,
            Endpoint::Cloud => {
                let mut inner = self.inner.borrow_mut();
                if inner.faults.cloud_until.is_some_and(|t| now < t) {
                    return Ok(Response::new(503, b"{\"error\":\"trouble\"}".to_vec()));
                }
                let ClusterState {
                    cloud,
                    rng,
                    workers,
                    faults,
                    ..
                } = &mut *inner;
                cloud.bad_boots = faults.bad_boots_until.is_some_and(|t| now < t);
                let rng = RefCell::new(rng);
                let (answer, gone) = cloud.serve(&request, now, |n| {
                    rng.borrow_mut().random_range(0..n.max(1))
                });
                for id in gone {
                    workers.remove(&id);
                }
                Ok(answer)
            }
            Endpoint::Zone(_) => {
                let (held, deaf) = {
                    let faults = &mut self.inner.borrow_mut().faults;
                    let held = match request.method {
                        Method::Post => faults.held_order(now),
                        _ => None,
                    };
                    let deaf = held.is_none() && faults.is_deaf(&worker_id(to), now);
                    faults.met.held_orders += usize::from(held.is_some());
                    faults.met.unheard += usize::from(deaf);
                    (held, deaf)
                };
                if let Some((by, answer_only)) = held {
                    self.delay_command(to, request.clone(), by, answer_only);
                }
                let hangs = self.inner.borrow().faults.hangs_until(&worker_id(to), now);
                if let (Some(until), None) = (hangs, held) {
                    // Carried out when the machine goes on, if token and session still match.
                    self.delay_command(to, request.clone(), until - now, false);
                }
                if held.is_some() || deaf || hangs.is_some() {
                    // Whoever sent it gives up.
                    sleep(Duration::from_secs(60)).await;
                    return Err(ClientError::NoAnswer);
                }
                let Some((status, report)) = self.at_worker(to, &request) else {
                    return Err(ClientError::NotSent);
                };
                Ok(Response::new(status, report.to_string().into_bytes()))
            }
        }
    }

    /// A command that comes later, or is carried out now and whose answer comes too late.
    pub(crate) fn delay_command(
        &self,
        to: SocketAddr,
        request: Request,
        by: Duration,
        answer_only: bool,
    ) {
        if answer_only {
            self.at_worker(to, &request);
        } else if let Some(world) = self.me.borrow().upgrade() {
            spawn_local(async move {
                sleep(by).await;
                let done = world.at_worker(to, &request);
                let met = &mut world.inner.borrow_mut().faults.met;
                met.held_done += usize::from(done.is_some_and(|(status, _)| status == 200));
            });
        }
    }

    /// What a worker makes of a direct request.
    pub(crate) fn at_worker(&self, to: SocketAddr, request: &Request) -> Option<(u16, Value)> {
        let (now, mut inner) = (Instant::now(), self.inner.borrow_mut());
        let ClusterState {
            workers,
            jobs,
            faults,
            ..
        } = &mut *inner;
        let worker = workers.get_mut(&worker_id(to))?;
        Some(if request.method == Method::Get {
            (200, worker.heartbeat())
        } else {
            let body: Value = serde_json::from_slice(&request.body).unwrap();
            let had = worker.tasks.len();
            let told = worker.on_direct_commands(&body, jobs, now);
            let mute = faults.mute_for(&worker.id, now).filter(|_| told.0 == 200);
            faults.met.mute_orders += usize::from(mute.is_some());
            // Longer than two reports and a half, and a second.
            if mute.is_some_and(|t| t > Duration::from_secs(8)) {
                faults.met.mute_starts += worker.tasks.len().saturating_sub(had);
            }
            told
        })
    }

    /// A transaction that is carried out later, after newer ones of the same controller.
    pub(crate) fn is_transaction_delayed(&self, node: usize, request: &Request) -> bool {
        let now = Instant::now();
        let world = self.me.borrow().upgrade();
        let late = self.inner.borrow_mut().faults.late_write(now);
        let (Some(late), Some(world)) = (late, world) else {
            return false;
        };
        let request = request.clone();
        let before = self.inner.borrow().written[node];
        spawn_local(async move {
            sleep(late).await;
            let answer = world.state(node, request).await;
            let mut inner = world.inner.borrow_mut();
            let overtaken = inner.written[node] > before;
            let met = &mut inner.faults.met;
            met.late_writes += 1;
            met.overtaken += usize::from(overtaken);
            met.effective += usize::from(overtaken && answer.is_ok_and(|a| a.status == 200));
        });
        true
    }

    pub(crate) async fn state(
        &self,
        node: usize,
        request: Request,
    ) -> Result<Response, ClientError> {
        let now = Instant::now();
        let down = {
            let inner = self.inner.borrow();
            inner.faults.state_until.is_some_and(|t| now < t) || inner.faults.is_refused(node, now)
        };
        if down {
            return Ok(Response::new(503, b"{}".to_vec()));
        }
        let is_txn = request.path() == "/txn";
        let no_hosts = self.inner.borrow().faults.no_host_writes_until;
        if is_txn
            && no_hosts.is_some_and(|t| now < t)
            && String::from_utf8_lossy(&request.body).contains("\"write\":\"jh/hosts/")
        {
            return Ok(Response::new(400, b"{\"error\":\"too large\"}".to_vec()));
        }
        let served = {
            let mut inner = self.inner.borrow_mut();
            inner.written[node] += u64::from(is_txn);
            inner.state.serve(&request, now)
        };
        match served {
            Served::Answer(answer) => Ok(answer),
            Served::Block {
                prefix,
                after,
                until,
            } => loop {
                sleep(Duration::from_millis(15)).await;
                let now = Instant::now();
                let inner = self.inner.borrow();
                let stuck = inner.faults.state_until.is_some_and(|t| now < t)
                    || inner.faults.is_refused(node, now);
                if stuck {
                    // Open watches stay open.
                    continue;
                }
                if let Some(news) = inner.state.watch(&prefix, after) {
                    return Ok(news);
                }
                if now >= until {
                    return Ok(inner.state.nothing_new());
                }
            },
        }
    }
}
