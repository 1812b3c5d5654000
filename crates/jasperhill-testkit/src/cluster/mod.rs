//! The simulated cluster: several controllers and the stand-ins between them.

mod agents;
mod deployment;
mod endpoints;
mod inbound;
mod injection;
mod inspection;
mod network;
mod old_version;
mod shares;
mod time;

pub(crate) use deployment::{LIMITS, settings};

use crate::{
    cloud::Cloud,
    connections::{OutboundConnections, SocketLimit},
    faults::ActiveFaults,
    invariants::InvariantChecker,
    scenario::{Scale, Scenario},
    state::StateService,
    transcript::Transcript,
    worker::Worker,
};
use jasperhill_connections::PlanInputs;
use jasperhill_controller::{Clock, Controller, Settings, transport};
use jasperhill_http::{ConnectionTracker, Request};
use jasperhill_wire::{Micros, user::JobRequest};
use network::SimTransport;
use rand::{Rng, rngs::StdRng};
use serde_json::Value;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

pub struct ClusterState {
    pub(crate) rng: StdRng,
    pub(crate) state: StateService,
    pub(crate) cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, JobRequest>,
    pub rules: InvariantChecker,
    pub accepted: usize,
    pub finished: usize,
    pub(crate) nodes: Vec<Option<Rc<Controller>>>,
    pub(crate) generations: Vec<u64>,
    /// The sockets of each one's present life, as the platform and as it counts them itself, and
    /// what came of those before.
    pub(crate) sockets: Vec<Option<(Rc<SocketLimit>, ConnectionTracker)>>,
    pub(crate) past_peak: usize,
    pub(crate) past_refused: usize,
    /// What the balancer knows.
    pub(crate) healthy: Vec<bool>,
    /// What was submitted, word for word.
    pub bodies: BTreeMap<String, Value>,
    /// When jobs were accepted.
    pub accepted_at: BTreeMap<String, Instant>,
    /// Controllers with the formats of the old version.
    pub(crate) old: Vec<bool>,
    pub faults: ActiveFaults,
    /// Transactions of each controller that the state service has seen.
    pub(crate) written: Vec<u64>,
    /// Since when the balancer has found controllers not ready.
    pub(crate) unready_since: Vec<Option<Instant>>,
}

pub struct SimulatedCluster {
    pub inner: RefCell<ClusterState>,
    /// Itself, for what goes on when nobody waits.
    pub(crate) me: RefCell<std::rc::Weak<SimulatedCluster>>,
    /// As the old version reads them, and as the new one does.
    pub(crate) settings: [Vec<Settings>; 2],
    pub origin: Instant,
    pub scale: Scale,
    pub plan: Scenario,
    /// What the controllers send and answer, where that is recorded.
    pub(crate) transcript: RefCell<Option<Transcript>>,
}

pub(crate) const NODES: usize = 3;
/// How often time passes on machines.
const TICK: Duration = Duration::from_millis(100);
/// How long a controller keeps a connection whose other end is gone beyond a cut.
const HALF_OPEN: Duration = Duration::from_millis(6_250);
pub(crate) const LEASE: Duration = Duration::from_secs(16);
pub const CANCEL: Duration = Duration::from_secs(46);

impl SimulatedCluster {
    pub fn draw(&self, n: u64) -> u64 {
        self.inner.borrow_mut().rng.random_range(0..n)
    }
    /// Adds to the transcript, if there is one.
    pub(crate) fn transcribe(&self, add: impl FnOnce(&mut Transcript, Duration)) {
        let at = Instant::now() - self.origin;
        if let Some(transcript) = self.transcript.borrow_mut().as_mut() {
            add(transcript, at);
        }
    }

    pub fn record_violation(&self, what: String) {
        self.inner.borrow_mut().rules.record_violation(what);
    }

    /// Waits until a controller no longer stands still.
    pub(crate) async fn wait_while_stalled(&self, node: usize) {
        loop {
            let now = Instant::now();
            let until = self.inner.borrow().faults.frozen_until(node, now);
            match until {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    pub(crate) async fn latency(&self) {
        let ms = if self.draw(50) == 0 {
            300
        } else {
            1 + self.draw(6)
        };
        sleep(Duration::from_millis(ms)).await;
    }

    pub(crate) fn start_node(self: &Rc<Self>, node: usize) {
        let skew = self.draw(100) * 1_000;
        let origin = self.origin;
        let clock = Clock::new(move || {
            let since = (Instant::now() - origin).as_micros() as u64;
            Micros(1_700_000_000_000_000 + since + skew)
        });
        let announced = usize::from(!self.inner.borrow().old[node]);
        let settings = self.settings[announced][node].clone();
        let platform = SocketLimit::new(self.plan.sockets);
        let own = if self.plan.without_connection_budget {
            let sizes = PlanInputs {
                max_connections: 1_000_000,
                peers: NODES - 1,
                machines: 0,
            };
            ConnectionTracker::new(sizes, Duration::from_secs(3_600))
        } else {
            transport::new_connection_tracker(&settings)
        };
        let net = Rc::new(SimTransport {
            world: self.clone(),
            node,
            lines: OutboundConnections::new(platform.clone(), own.clone()),
        });
        let controller = Rc::new(Controller::start(settings, clock, net));
        let mut inner = self.inner.borrow_mut();
        inner.nodes[node] = Some(controller);
        inner.sockets[node] = Some((platform, own));
    }

    pub(crate) fn kill_node(&self, node: usize) {
        let mut inner = self.inner.borrow_mut();
        inner.generations[node] += 1;
        if let Some((platform, _)) = inner.sockets[node].take() {
            inner.past_peak = inner.past_peak.max(platform.peak.get());
            inner.past_refused += platform.refused.get();
        }
        let old = inner.nodes[node].take();
        drop(inner);
        drop(old);
    }
}

/// How a transcript names a request to a controller.
pub(crate) fn asked(request: &Request) -> String {
    format!("{} {}", request.method.as_str(), request.target)
}
