//! Execution of controllers' requests at their destination: another controller, the state service,
//! the cloud or a worker.

use super::{
    ClusterState, SimulatedCluster,
    network::worker_id,
    old_version::{without_unknown_records_in_answer, without_unknown_records_in_transaction},
    request_line,
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
    /// Executes a request at its destination `to`, applying the faults of that destination.
    ///
    /// # Errors
    /// `NotSent` if the destination does not exist, `NoAnswer` if the request was delayed or its
    /// controller was restarted meanwhile.
    pub(crate) async fn execute(
        &self,
        node: usize,
        to: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        let now = Instant::now();
        match self.endpoint_of(to) {
            Endpoint::Node(i) => {
                let running = {
                    let inner = self.inner.borrow();
                    inner.nodes[i].clone().map(|c| (c, inner.generations[i]))
                };
                let Some((controller, generation)) = running else {
                    return Err(ClientError::NotSent);
                };
                self.wait_while_stalled(i).await;
                let request_line = request_line(&request);
                let future = controller.handle_mesh(request);
                drop(controller);
                let answer = future.await;
                self.add_to_transcript(|t, at| t.record_answer(at, i, &request_line, &answer));
                if self.inner.borrow().generations[i] != generation {
                    return Err(ClientError::NoAnswer);
                }
                Ok(answer)
            }
            Endpoint::State
                if request.path() == "/txn" && self.try_delay_transaction(node, &request) =>
            {
                // The delayed transaction gets no answer; the sender times out.
                sleep(Duration::from_secs(60)).await;
                Err(ClientError::NoAnswer)
            }
            Endpoint::State if self.inner.borrow().runs_old_version[node] => {
                let answer = self
                    .execute_at_state_service(node, without_unknown_records_in_transaction(request))
                    .await?;
                Ok(without_unknown_records_in_answer(answer))
            }
            Endpoint::State => self.execute_at_state_service(node, request).await,
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
                let (answer, deleted_workers) = cloud.serve(&request, now, |n| {
                    rng.borrow_mut().random_range(0..n.max(1))
                });
                for id in deleted_workers {
                    workers.remove(&id);
                }
                Ok(answer)
            }
            Endpoint::Zone(_) => {
                let (delayed, cannot_receive) = {
                    let faults = &mut self.inner.borrow_mut().faults;
                    let delayed = match request.method {
                        Method::Post => faults.held_order(now),
                        _ => None,
                    };
                    let cannot_receive =
                        delayed.is_none() && faults.is_not_receiving(&worker_id(to), now);
                    faults.counts.delayed_commands += usize::from(delayed.is_some());
                    faults.counts.messages_not_received += usize::from(cannot_receive);
                    (delayed, cannot_receive)
                };
                if let Some((delay, answer_only)) = delayed {
                    self.delay_command(to, request.clone(), delay, answer_only);
                }
                let hung_until = self.inner.borrow().faults.hangs_until(&worker_id(to), now);
                if let (Some(until), None) = (hung_until, delayed) {
                    // The command is executed when the machine resumes, if fencing token and
                    // session still match.
                    self.delay_command(to, request.clone(), until - now, false);
                }
                if delayed.is_some() || cannot_receive || hung_until.is_some() {
                    // The command gets no answer; the sender times out.
                    sleep(Duration::from_secs(60)).await;
                    return Err(ClientError::NoAnswer);
                }
                let Some((status, report)) = self.execute_at_worker(to, &request) else {
                    return Err(ClientError::NotSent);
                };
                Ok(Response::new(status, report.to_string().into_bytes()))
            }
        }
    }

    /// Executes a command `delay` later, or executes it at once if only its answer is delayed.
    pub(crate) fn delay_command(
        &self,
        to: SocketAddr,
        request: Request,
        delay: Duration,
        answer_only: bool,
    ) {
        if answer_only {
            self.execute_at_worker(to, &request);
        } else if let Some(cluster) = self.weak_self.borrow().upgrade() {
            spawn_local(async move {
                sleep(delay).await;
                let done = cluster.execute_at_worker(to, &request);
                let met = &mut cluster.inner.borrow_mut().faults.counts;
                met.delayed_commands_accepted +=
                    usize::from(done.is_some_and(|(status, _)| status == 200));
            });
        }
    }

    /// Executes a direct request at a worker. Returns the status and the worker's report, or `None`
    /// if there is no such worker.
    pub(crate) fn execute_at_worker(
        &self,
        to: SocketAddr,
        request: &Request,
    ) -> Option<(u16, Value)> {
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
            let tasks_before = worker.tasks.len();
            let result = worker.on_direct_commands(&body, jobs, now);
            let mute = faults
                .not_sending_for(&worker.id, now)
                .filter(|_| result.0 == 200);
            faults.counts.commands_while_not_sending += usize::from(mute.is_some());
            // Counts starts only on workers that have been unable to send for longer than two and a
            // half report intervals and one second.
            if mute.is_some_and(|t| t > Duration::from_secs(8)) {
                faults.counts.starts_while_not_sending +=
                    worker.tasks.len().saturating_sub(tasks_before);
            }
            result
        })
    }

    /// Schedules a transaction to be executed later, after newer ones of the same controller, if
    /// the late-write fault selects it. Returns whether the transaction was delayed.
    pub(crate) fn try_delay_transaction(&self, node: usize, request: &Request) -> bool {
        let now = Instant::now();
        let cluster = self.weak_self.borrow().upgrade();
        let delay = self.inner.borrow_mut().faults.late_write(now);
        let (Some(delay), Some(cluster)) = (delay, cluster) else {
            return false;
        };
        let request = request.clone();
        let before = self.inner.borrow().transactions_received[node];
        spawn_local(async move {
            sleep(delay).await;
            let answer = cluster.execute_at_state_service(node, request).await;
            let mut inner = cluster.inner.borrow_mut();
            let overtaken = inner.transactions_received[node] > before;
            let met = &mut inner.faults.counts;
            met.late_writes += 1;
            met.writes_applied_after_newer += usize::from(overtaken);
            met.late_writes_with_effect +=
                usize::from(overtaken && answer.is_ok_and(|a| a.status == 200));
        });
        true
    }

    /// Executes a request of the controller `node` at the state service. A watch waits until there
    /// are changes or its time is over.
    pub(crate) async fn execute_at_state_service(
        &self,
        node: usize,
        request: Request,
    ) -> Result<Response, ClientError> {
        let now = Instant::now();
        let is_unavailable = {
            let inner = self.inner.borrow();
            inner.faults.state_until.is_some_and(|t| now < t) || inner.faults.is_refused(node, now)
        };
        if is_unavailable {
            return Ok(Response::new(503, b"{}".to_vec()));
        }
        let is_txn = request.path() == "/txn";
        let no_host_writes_until = self.inner.borrow().faults.no_host_writes_until;
        if is_txn
            && no_host_writes_until.is_some_and(|t| now < t)
            && String::from_utf8_lossy(&request.body).contains("\"write\":\"jh/hosts/")
        {
            return Ok(Response::new(400, b"{\"error\":\"too large\"}".to_vec()));
        }
        let served = {
            let mut inner = self.inner.borrow_mut();
            inner.transactions_received[node] += u64::from(is_txn);
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
                let is_unavailable = inner.faults.state_until.is_some_and(|t| now < t)
                    || inner.faults.is_refused(node, now);
                if is_unavailable {
                    // An open watch stays open while the state service is unavailable.
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
