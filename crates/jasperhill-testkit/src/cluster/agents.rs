//! Simulated worker agents: send heartbeats to a controller, apply the answers, and retry or follow
//! redirects.

use super::{ClusterState, LEASE_DURATION, NODE_COUNT, SimulatedCluster};
use crate::{
    connections::InboundConnection,
    faults::{Endpoint, LinkFault},
};
use jasperhill_http::{Method, Request, Response};
use serde_json::Value;
use std::{rc::Rc, time::Duration};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Minimum time between two heartbeats while the worker's state has not changed.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_875);
/// How long a worker waits for an answer before it treats the heartbeat as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a redirected worker tries the controller that the answer named.
const REDIRECT_DELAY: Duration = Duration::from_millis(200);
/// Delay before a worker that got no answer tries the next controller.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);

/// A heartbeat to be sent to a controller.
struct OutgoingHeartbeat {
    request: Request,
    /// Controller that receives the heartbeat.
    node: usize,
    /// The worker's session number when the heartbeat was built.
    incarnation: u64,
    /// Zone of the worker.
    from: Endpoint,
}

impl SimulatedCluster {
    /// Waits until the machine no longer hangs. Returns whether the machine hung.
    pub(crate) async fn wait_while_hung(&self, id: &str) -> bool {
        let mut hung = false;
        loop {
            let until = self.inner.borrow().faults.hangs_until(id, Instant::now());
            let Some(until) = until else { return hung };
            hung = true;
            sleep_until(until).await;
        }
    }

    /// Sends a worker's heartbeats at the protocol's intervals, and earlier after a change. Returns
    /// when the machine is gone.
    pub(crate) async fn worker_loop(self: Rc<Self>, id: String) {
        let mut last = Instant::now();
        let mut connection: Option<Rc<InboundConnection>> = None;
        loop {
            let due = last + MIN_HEARTBEAT_INTERVAL + Duration::from_millis(self.draw(1_250));
            if !self.wait_until_due(&id, last, due).await {
                return;
            }
            self.wait_while_hung(&id).await;
            last = Instant::now();
            let Some(heartbeat) = self.next_heartbeat(&id) else {
                return;
            };
            let answer = self
                .exchange_heartbeat(&id, &heartbeat, last, &mut connection)
                .await;
            let (answer, now) = self.receive_answer(&id, answer, last).await;
            let Some(next) = self.apply_answer(&id, &heartbeat, answer, last, now) else {
                return;
            };
            if let Some(pause) = next {
                self.retry_after(&id, pause).await;
            }
        }
    }

    /// Waits until a heartbeat is due or the worker's state has changed. Returns false if the
    /// machine is gone.
    async fn wait_until_due(&self, id: &str, last: Instant, due: Instant) -> bool {
        loop {
            sleep(Duration::from_millis(100)).await;
            let inner = self.inner.borrow();
            let Some(worker) = inner.workers.get(id) else {
                return false;
            };
            let changed_and_paced = worker.changed && last.elapsed() >= Duration::from_millis(500);
            if changed_and_paced || Instant::now() >= due {
                return true;
            }
        }
    }

    /// Builds a heartbeat from the worker's current state. Returns `None` if the machine is gone.
    fn next_heartbeat(&self, id: &str) -> Option<OutgoingHeartbeat> {
        let mut inner = self.inner.borrow_mut();
        let worker = inner.workers.get_mut(id)?;
        worker.changed = false;
        let body = worker.heartbeat().to_string().into_bytes();
        Some(OutgoingHeartbeat {
            request: Request::new(Method::Post, "/hello", body),
            node: worker.node,
            incarnation: worker.incarnation,
            from: Endpoint::Zone(worker.zone.clone()),
        })
    }

    /// Sends a heartbeat, applying the faults that are active on its path. Returns `None` if no
    /// answer arrives.
    async fn exchange_heartbeat(
        self: &Rc<Self>,
        id: &str,
        heartbeat: &OutgoingHeartbeat,
        sent: Instant,
        connection: &mut Option<Rc<InboundConnection>>,
    ) -> Option<Response> {
        let (node, from) = (heartbeat.node, &heartbeat.from);
        let request = heartbeat.request.clone();
        self.repeat_heartbeat_late(id, node, &request, sent);
        let to = Endpoint::Node(node);
        let (cut_until, link, cannot_send) = {
            let faults = &self.inner.borrow().faults;
            (
                faults.cut_until(&to, from, sent),
                faults.link_fault(from, &to, sent),
                faults.is_not_sending(id, sent),
            )
        };
        if connection.as_ref().is_some_and(|c| c.node != node) {
            self.abandon_connection(connection.take(), from);
        }
        if cannot_send {
            // A worker that can't send reaches no controller: no connection can be opened.
            self.abandon_connection(connection.take(), from);
            self.inner.borrow_mut().faults.counts.unsent_heartbeats += 1;
            sleep(Duration::from_millis(500)).await;
            None
        } else if let Some((kind, until)) = link {
            self.abandon_connection(connection.take(), from);
            self.heartbeat_on_faulty_link(kind, until, node, request)
                .await
        } else if let Some(until) = cut_until {
            // The heartbeat is delivered after the cut, when the worker no longer waits for the
            // answer.
            self.abandon_connection(connection.take(), from);
            let cluster = self.clone();
            spawn_local(async move {
                sleep_until(until).await;
                cluster.send_to_controller(node, request, &mut None).await;
            });
            sleep(ANSWER_TIMEOUT).await;
            None
        } else {
            self.send_to_controller(node, request, connection).await
        }
    }

    /// Returns the answer and when it was received. The answer is lost if it arrived too late
    /// because the machine hung, or if the worker does not receive messages.
    async fn receive_answer(
        &self,
        id: &str,
        answer: Option<Response>,
        sent: Instant,
    ) -> (Option<Response>, Instant) {
        let answer = match self.wait_while_hung(id).await {
            // The answer arrived while the machine hung, and has timed out.
            true if sent.elapsed() > ANSWER_TIMEOUT => None,
            _ => answer,
        };
        let now = Instant::now();
        let cannot_receive = self.inner.borrow().faults.is_not_receiving(id, now);
        if cannot_receive && answer.is_some() {
            self.inner.borrow_mut().faults.counts.messages_not_received += 1;
            sleep_until(sent + ANSWER_TIMEOUT).await;
            return (None, Instant::now());
        }
        (answer, now)
    }

    /// Applies an answer to the worker. Returns `None` if the machine is gone, `Some(Some(delay))`
    /// if the worker is to retry after `delay`, and `Some(None)` if the answer was accepted.
    fn apply_answer(
        &self,
        id: &str,
        heartbeat: &OutgoingHeartbeat,
        answer: Option<Response>,
        sent: Instant,
        now: Instant,
    ) -> Option<Option<Duration>> {
        let node = heartbeat.node;
        let mut inner = self.inner.borrow_mut();
        if answer.as_ref().is_some_and(|a| a.status == 200) && inner.faults.is_refused(node, now) {
            inner.faults.counts.heartbeats_answered_while_refused += 1;
        }
        let ClusterState { workers, jobs, .. } = &mut *inner;
        let worker = workers.get_mut(id)?;
        Some(match answer {
            Some(a) if a.status == 200 => {
                let body: Value = serde_json::from_slice(&a.body).unwrap();
                worker.on_heartbeat_answer(&body, sent, heartbeat.incarnation, jobs, now);
                None
            }
            Some(a) if a.status == 421 => {
                let body: Value = serde_json::from_slice(&a.body).unwrap();
                let to = body["reports_to"]
                    .as_str()
                    .and_then(|m| m.strip_prefix("worker-")?.parse::<usize>().ok());
                match to {
                    Some(to) if to != node => {
                        worker.node = to;
                        worker.changed = true;
                        Some(REDIRECT_DELAY)
                    }
                    _ => Some(NEXT_CONTROLLER_DELAY),
                }
            }
            _ => Some(NEXT_CONTROLLER_DELAY),
        })
    }

    /// Waits for `pause`, then makes a heartbeat due. The worker moves on to the next controller
    /// unless it was redirected.
    async fn retry_after(&self, id: &str, pause: Duration) {
        sleep(pause).await;
        let mut inner = self.inner.borrow_mut();
        if let Some(worker) = inner.workers.get_mut(id) {
            if pause == NEXT_CONTROLLER_DELAY {
                worker.node = (worker.node + 1) % NODE_COUNT;
            }
            worker.changed = true;
        }
    }

    /// Schedules a late duplicate of a heartbeat, possibly to another controller, if the
    /// late-heartbeat fault selects this one.
    pub(crate) fn repeat_heartbeat_late(
        self: &Rc<Self>,
        id: &str,
        node: usize,
        request: &Request,
        now: Instant,
    ) {
        let (delay, node) = {
            let faults = &mut self.inner.borrow_mut().faults;
            let Some(delay) = faults.late_report(now, LEASE_DURATION) else {
                return;
            };
            let other = faults.draw(NODE_COUNT as u64) as usize;
            (delay, if faults.draw(2) == 0 { node } else { other })
        };
        let (cluster, request, id) = (self.clone(), request.clone(), id.to_owned());
        spawn_local(async move {
            sleep(delay).await;
            let recorded = |inner: &ClusterState| inner.state.recorded().contains(&id);
            let was_gone = {
                let mut inner = cluster.inner.borrow_mut();
                inner.faults.counts.late_reports += 1;
                let was_gone = !inner.workers.contains_key(&id) && !recorded(&inner);
                inner.faults.counts.late_heartbeats_of_returned += usize::from(was_gone);
                was_gone
            };
            // The answer to the duplicate is discarded.
            cluster.send_to_controller(node, request, &mut None).await;
            if was_gone {
                sleep(Duration::from_secs(3)).await;
                let mut inner = cluster.inner.borrow_mut();
                inner.faults.counts.records_of_returned += usize::from(recorded(&inner));
            }
        });
    }

    /// Sends a heartbeat over a link with a fault. Returns `None` if no answer arrives within the
    /// timeout.
    pub(crate) async fn heartbeat_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        node: usize,
        request: Request,
    ) -> Option<Response> {
        const TIMEOUT: Duration = Duration::from_secs(4);
        match kind {
            LinkFault::Held => {
                let cluster = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    cluster.send_to_controller(node, request, &mut None).await;
                });
                sleep(TIMEOUT).await;
                None
            }
            LinkFault::Refused => None,
            LinkFault::Reset => {
                if self.draw(2) == 0 {
                    self.send_to_controller(node, request, &mut None).await;
                }
                None
            }
            LinkFault::NoAnswers => {
                let _ = timeout(TIMEOUT, self.send_to_controller(node, request, &mut None)).await;
                sleep(TIMEOUT).await;
                None
            }
            LinkFault::NoRequests => {
                sleep(TIMEOUT).await;
                None
            }
            LinkFault::Slow(ms) => {
                let slow = async {
                    sleep(Duration::from_millis(ms)).await;
                    let answer = self.send_to_controller(node, request, &mut None).await;
                    sleep(Duration::from_millis(ms)).await;
                    answer
                };
                timeout(TIMEOUT, slow).await.ok().flatten()
            }
            LinkFault::Lossy(percent) => {
                if self.draw(100) < percent {
                    sleep(TIMEOUT).await;
                    return None;
                }
                let answer = self.send_to_controller(node, request, &mut None).await;
                if self.draw(100) < percent {
                    sleep(TIMEOUT).await;
                    return None;
                }
                answer
            }
        }
    }
}
