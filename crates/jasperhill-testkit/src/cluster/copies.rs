//! Late copies of requests that were carried out and answered. A copy arrives once, whatever has
//! become of its sender, and its answer is lost.

use super::{ClusterState, SimulatedCluster, network::worker_id};
use crate::faults::Endpoint;
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_wire::TaskId;
use serde_json::Value;
use std::{net::SocketAddr, rc::Rc};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

impl SimulatedCluster {
    /// Schedules a copy of an answered request if the copy faults select it.
    pub(crate) fn copy_answered_request(
        self: &Rc<Self>,
        node: usize,
        to: SocketAddr,
        request: &Request,
        answer: &Result<Response, ClientError>,
    ) {
        let is_carried_out = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        if request.method == Method::Get || !is_carried_out {
            return;
        }
        let destination = self.endpoint_of(to);
        let delay = {
            let faults = &mut self.inner.borrow_mut().faults;
            let copies = match destination {
                Endpoint::Zone(_) => faults.command_copies,
                Endpoint::State => faults.store_copies,
                Endpoint::Node(_) => faults.mesh_copies,
                Endpoint::Cloud => return,
            };
            faults.copy_delay(copies, Instant::now())
        };
        let Some(delay) = delay else {
            return;
        };
        let (cluster, request) = (self.clone(), request.clone());
        spawn_local(async move {
            sleep(delay).await;
            match destination {
                Endpoint::Zone(_) => cluster.deliver_command_copy(to, request).await,
                Endpoint::State => cluster.deliver_store_copy(node, to, request).await,
                Endpoint::Node(_) | Endpoint::Cloud => {
                    cluster.inner.borrow_mut().faults.counts.mesh_copies += 1;
                    let _ = cluster.execute(node, to, request).await;
                }
            }
        });
    }

    /// Delivers a copy of a direct command to a worker once its machine does not hang, and counts
    /// what it would start and does start.
    async fn deliver_command_copy(&self, to: SocketAddr, mut request: Request) {
        let id = worker_id(to);
        self.wait_while_hung(&id).await;
        let mut body: Value = serde_json::from_slice(&request.body).unwrap();
        let cleared_starts = {
            let inner = self.inner.borrow();
            let Some(worker) = inner.workers.get(&id) else {
                return;
            };
            if inner.faults.is_not_receiving(&id, Instant::now()) {
                return;
            }
            if self.scenario.without_fencing_of_copies {
                body["epoch"] = worker.token.into();
                body["tenure"] = worker.incarnation.into();
                request.body = body.to_string().into_bytes();
            }
            let mut starts = starts_of(&body);
            starts.retain(|attempt| !worker.tasks.contains_key(attempt));
            starts
        };
        let answer = self.execute_at_worker(to, &request);
        let mut inner = self.inner.borrow_mut();
        let ClusterState {
            workers, faults, ..
        } = &mut *inner;
        let has_effect = workers.get(&id).is_some_and(|worker| {
            cleared_starts
                .iter()
                .any(|attempt| worker.tasks.contains_key(attempt))
        });
        let counts = &mut faults.counts;
        counts.command_copies += 1;
        counts.command_copies_accepted +=
            usize::from(answer.is_some_and(|(status, _)| status == 200));
        counts.command_copies_of_cleared_starts += usize::from(!cleared_starts.is_empty());
        counts.command_copies_with_effect += usize::from(has_effect);
    }

    /// Delivers a copy of a write or of a lease request to the state service, and counts the
    /// transactions that change something.
    async fn deliver_store_copy(&self, node: usize, to: SocketAddr, request: Request) {
        let changed_keys = changed_keys(&request);
        let answer = self.execute(node, to, request).await;
        let is_committed = answer.is_ok_and(|answer| answer.status == 200);
        let counts = &mut self.inner.borrow_mut().faults.counts;
        counts.store_copies += 1;
        if is_committed && !changed_keys.is_empty() {
            let has_lasting_effect = !changed_keys.iter().all(|key| is_short_lived(key));
            counts.transaction_copies_with_effect += 1;
            counts.transaction_copies_with_lasting_effect += usize::from(has_lasting_effect);
        }
    }
}

/// Returns the keys that a transaction writes or deletes; none for any other request.
fn changed_keys(request: &Request) -> Vec<String> {
    if request.path() != "/txn" {
        return Vec::new();
    }
    let body: Value = serde_json::from_slice(&request.body).unwrap();
    let changes = body["then"].as_array().into_iter().flatten();
    changes
        .filter_map(|change| change["write"].as_str().or(change["delete"].as_str()))
        .map(str::to_owned)
        .collect()
}

/// Returns whether a record is valid for seconds only: a request or grant of a delegation, which
/// counts from when its number was first sent, or a proposal.
fn is_short_lived(key: &str) -> bool {
    ["jh/ask/", "jh/grant/", "jh/want/"]
        .iter()
        .any(|prefix| key.starts_with(prefix))
}

/// Returns the tasks and attempts that a request with direct commands starts.
fn starts_of(body: &Value) -> Vec<(TaskId, u64)> {
    let orders = body["orders"].as_array().into_iter().flatten();
    orders
        .filter(|order| order["verb"] == "run")
        .filter_map(|order| {
            let task = TaskId::parse(order["shard"].as_str()?)?;
            Some((task, order["try"].as_u64()?))
        })
        .collect()
}
