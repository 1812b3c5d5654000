//! The agents on the machines: heartbeats, and what comes of their answers.

use super::{ClusterState, LEASE, NODES, SimulatedCluster};
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

/// The least time between two heartbeats when nothing has changed.
const HEARTBEAT_LEAST: Duration = Duration::from_millis(1_875);
/// How long a worker waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// The pause before a redirected worker tries the controller that was named, and before one that got
/// no answer tries the next.
const REDIRECTED_PAUSE: Duration = Duration::from_millis(200);
const NEXT_CONTROLLER_PAUSE: Duration = Duration::from_secs(1);

/// A heartbeat on its way.
struct OutgoingHeartbeat {
    request: Request,
    /// The controller that it goes to.
    node: usize,
    incarnation: u64,
    /// The zone that it comes from.
    from: Endpoint,
}

impl SimulatedCluster {
    /// Waits until a machine no longer stands still; whether it did.
    pub(crate) async fn wait_while_hung(&self, id: &str) -> bool {
        let mut hung = false;
        loop {
            let until = self.inner.borrow().faults.hangs_until(id, Instant::now());
            let Some(until) = until else { return hung };
            hung = true;
            sleep_until(until).await;
        }
    }

    /// Sends heartbeats as the protocol says: regularly, and soon after a change. Ends with the
    /// machine.
    pub(crate) async fn worker_loop(self: Rc<Self>, id: String) {
        let mut last = Instant::now();
        let mut connection: Option<Rc<InboundConnection>> = None;
        loop {
            let due = last + HEARTBEAT_LEAST + Duration::from_millis(self.draw(1_250));
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
            let Some(next) = self.take_answer(&id, &heartbeat, answer, last, now) else {
                return;
            };
            if let Some(pause) = next {
                self.retry_after(&id, pause).await;
            }
        }
    }

    /// Waits until a heartbeat is due, or something has changed; false if the machine is gone.
    async fn wait_until_due(&self, id: &str, last: Instant, due: Instant) -> bool {
        loop {
            sleep(Duration::from_millis(100)).await;
            let inner = self.inner.borrow();
            let Some(worker) = inner.workers.get(id) else {
                return false;
            };
            let soon = worker.changed && last.elapsed() >= Duration::from_millis(500);
            if soon || Instant::now() >= due {
                return true;
            }
        }
    }

    /// The heartbeat as it is now; `None` if the machine is gone.
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

    /// Sends a heartbeat, with all that can happen to it on the way.
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
        let (cut, link, mute) = {
            let faults = &self.inner.borrow().faults;
            (
                faults.cut_until(&to, from, sent),
                faults.on_link(from, &to, sent),
                faults.is_mute(id, sent),
            )
        };
        if connection.as_ref().is_some_and(|c| c.node != node) {
            self.abandon_connection(connection.take(), from);
        }
        if mute {
            // No connection comes about.
            self.abandon_connection(connection.take(), from);
            self.inner.borrow_mut().faults.met.mute_reports += 1;
            sleep(Duration::from_millis(500)).await;
            None
        } else if let Some((kind, until)) = link {
            self.abandon_connection(connection.take(), from);
            self.heartbeat_on_faulty_link(kind, until, node, request)
                .await
        } else if let Some(until) = cut {
            // It is delivered late; nobody waits for the answer.
            self.abandon_connection(connection.take(), from);
            let cluster = self.clone();
            spawn_local(async move {
                sleep_until(until).await;
                cluster.send_to_controller(node, request, &mut None).await;
            });
            sleep(ANSWER_WITHIN).await;
            None
        } else {
            self.send_to_controller(node, request, connection).await
        }
    }

    /// The answer, unless the machine stood still or hears nothing; and when it was received.
    async fn receive_answer(
        &self,
        id: &str,
        answer: Option<Response>,
        sent: Instant,
    ) -> (Option<Response>, Instant) {
        let answer = match self.wait_while_hung(id).await {
            // It came while the machine stood still.
            true if sent.elapsed() > ANSWER_WITHIN => None,
            _ => answer,
        };
        let now = Instant::now();
        let deaf = self.inner.borrow().faults.is_deaf(id, now);
        if deaf && answer.is_some() {
            self.inner.borrow_mut().faults.met.unheard += 1;
            sleep_until(sent + ANSWER_WITHIN).await;
            return (None, Instant::now());
        }
        (answer, now)
    }

    /// What the worker makes of an answer: `Some(Some(pause))` if it tries again after that. `None`
    /// if the machine is gone.
    fn take_answer(
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
            inner.faults.met.answered_refused += 1;
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
                        Some(REDIRECTED_PAUSE)
                    }
                    _ => Some(NEXT_CONTROLLER_PAUSE),
                }
            }
            _ => Some(NEXT_CONTROLLER_PAUSE),
        })
    }

    /// Tries again after this pause: elsewhere, unless it was redirected.
    async fn retry_after(&self, id: &str, pause: Duration) {
        sleep(pause).await;
        let mut inner = self.inner.borrow_mut();
        if let Some(worker) = inner.workers.get_mut(id) {
            if pause == NEXT_CONTROLLER_PAUSE {
                worker.node = (worker.node + 1) % NODES;
            }
            worker.changed = true;
        }
    }

    /// A copy of a report may come once more, much later, perhaps elsewhere.
    pub(crate) fn repeat_heartbeat_late(
        self: &Rc<Self>,
        id: &str,
        node: usize,
        request: &Request,
        now: Instant,
    ) {
        let (late, node) = {
            let faults = &mut self.inner.borrow_mut().faults;
            let Some(late) = faults.late_report(now, LEASE) else {
                return;
            };
            let other = faults.draw(NODES as u64) as usize;
            (late, if faults.draw(2) == 0 { node } else { other })
        };
        let (world, request, id) = (self.clone(), request.clone(), id.to_owned());
        spawn_local(async move {
            sleep(late).await;
            let recorded = |inner: &ClusterState| inner.state.recorded().contains(&id);
            let gone = {
                let mut inner = world.inner.borrow_mut();
                inner.faults.met.late_reports += 1;
                let gone = !inner.workers.contains_key(&id) && !recorded(&inner);
                inner.faults.met.late_of_gone += usize::from(gone);
                gone
            };
            // Nobody waits for the answer.
            world.send_to_controller(node, request, &mut None).await;
            if gone {
                sleep(Duration::from_secs(3)).await;
                let mut inner = world.inner.borrow_mut();
                inner.faults.met.taken_on_gone += usize::from(recorded(&inner));
            }
        });
    }

    /// A report on a link that does not do what it should.
    pub(crate) async fn heartbeat_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        node: usize,
        request: Request,
    ) -> Option<Response> {
        const WAIT: Duration = Duration::from_secs(4);
        match kind {
            LinkFault::Held => {
                let world = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    world.send_to_controller(node, request, &mut None).await;
                });
                sleep(WAIT).await;
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
                let _ = timeout(WAIT, self.send_to_controller(node, request, &mut None)).await;
                sleep(WAIT).await;
                None
            }
            LinkFault::NoRequests => {
                sleep(WAIT).await;
                None
            }
            LinkFault::Slow(ms) => {
                let slow = async {
                    sleep(Duration::from_millis(ms)).await;
                    let answer = self.send_to_controller(node, request, &mut None).await;
                    sleep(Duration::from_millis(ms)).await;
                    answer
                };
                timeout(WAIT, slow).await.ok().flatten()
            }
            LinkFault::Lossy(percent) => {
                if self.draw(100) < percent {
                    sleep(WAIT).await;
                    return None;
                }
                let answer = self.send_to_controller(node, request, &mut None).await;
                if self.draw(100) < percent {
                    sleep(WAIT).await;
                    return None;
                }
                answer
            }
        }
    }
}
