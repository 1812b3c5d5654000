//! The simulated cluster: several real controllers connected to simulated state service, cloud,
//! workers and users.
//!
//! [`SimulatedCluster`] owns the shared [`ClusterState`] and starts and kills controllers. All
//! randomness comes from seeded generators and all timing from tokio's paused clock, so that a run
//! can be repeated exactly.

mod agents;
mod copies;
mod deployment;
mod endpoints;
mod inbound;
mod injection;
mod inspection;
mod network;
mod old_version;
mod shares;
mod time;

pub(crate) use deployment::{STATE_SERVICE_LIMITS, controller_settings};

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

/// Mutable state of a simulated cluster.
pub struct ClusterState {
    pub(crate) rng: StdRng,
    pub(crate) state: StateService,
    pub(crate) cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, JobRequest>,
    /// Checks the protocol's invariants and records violations.
    pub invariants: InvariantChecker,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs that a user was told are done.
    pub finished: usize,
    /// Running controllers; `None` while a controller is down.
    pub(crate) nodes: Vec<Option<Rc<Controller>>>,
    /// For each controller, the number of times that it was killed; identifies its processes.
    pub(crate) generations: Vec<u64>,
    /// For each controller, the socket limit of its running process and the process's own
    /// connection tracker; `None` while no process runs.
    pub(crate) process_sockets: Vec<Option<(Rc<SocketLimit>, ConnectionTracker)>>,
    /// The most sockets that any ended process had open at once.
    pub(crate) past_peak_sockets: usize,
    /// The number of sockets that the platform refused to processes that have ended.
    pub(crate) past_refused_sockets: usize,
    /// For each controller, whether its last readiness probe by the load balancer succeeded.
    pub(crate) healthy: Vec<bool>,
    /// Submitted job bodies by job id, exactly as sent.
    pub submitted_bodies: BTreeMap<String, Value>,
    /// Acceptance times by job id.
    pub accepted_at: BTreeMap<String, Instant>,
    /// For each controller, whether it reads and writes the formats of the old version.
    pub(crate) runs_old_version: Vec<bool>,
    pub faults: ActiveFaults,
    /// For each controller, the number of its transactions that reached the state service.
    pub(crate) transactions_received: Vec<u64>,
    /// For each controller, the time since which the load balancer's probes have failed; `None`
    /// while it is ready.
    pub(crate) unready_since: Vec<Option<Instant>>,
}

/// A simulated deployment of three controllers.
pub struct SimulatedCluster {
    pub inner: RefCell<ClusterState>,
    /// Weak reference to this cluster, for tasks that outlive the request that spawned them.
    pub(crate) weak_self: RefCell<std::rc::Weak<SimulatedCluster>>,
    /// Settings of each controller: first without the announced state service limits, as the old
    /// version reads them, then with them.
    pub(crate) settings: [Vec<Settings>; 2],
    /// Start of the run.
    pub origin: Instant,
    pub scale: Scale,
    /// The scenario that this cluster runs.
    pub scenario: Scenario,
    /// Requests and answers of the controllers, if this run records them.
    pub(crate) transcript: RefCell<Option<Transcript>>,
}

/// Number of controllers.
pub(crate) const NODE_COUNT: usize = 3;
/// Interval at which workers, the cloud and the invariant checks advance.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a controller keeps a connection that a worker abandoned while the link between them was
/// cut or faulty.
const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(6_250);
/// Duration of a worker lease; equals `lease_s` in the controllers' settings.
pub(crate) const LEASE_DURATION: Duration = Duration::from_secs(16);
/// Time after a confirmed cancellation within which all tasks must have stopped; equals `cancel_s`
/// in the controllers' settings.
pub const CANCEL: Duration = Duration::from_secs(46);

impl SimulatedCluster {
    /// Returns a random number from 0 to `n` - 1.
    pub fn draw(&self, n: u64) -> u64 {
        self.inner.borrow_mut().rng.random_range(0..n)
    }
    /// Calls `add` with the transcript and the time since the start of the run, if the run is
    /// recorded.
    pub(crate) fn add_to_transcript(&self, add: impl FnOnce(&mut Transcript, Duration)) {
        let at = Instant::now() - self.origin;
        if let Some(transcript) = self.transcript.borrow_mut().as_mut() {
            add(transcript, at);
        }
    }

    /// Records the violation of an invariant.
    pub fn record_violation(&self, what: String) {
        self.inner.borrow_mut().invariants.record_violation(what);
    }

    /// Waits until no stall fault holds the controller `node`.
    pub(crate) async fn wait_while_stalled(&self, node: usize) {
        loop {
            let now = Instant::now();
            let until = self.inner.borrow().faults.stalled_until(node, now);
            match until {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    /// Waits for the latency of one message: 1 to 6 ms, or 300 ms for one in 50.
    pub(crate) async fn delay_by_latency(&self) {
        let ms = if self.draw(50) == 0 {
            300
        } else {
            1 + self.draw(6)
        };
        sleep(Duration::from_millis(ms)).await;
    }

    /// Starts the controller `node` with the settings of its version and a clock skewed by less
    /// than 100 ms.
    pub(crate) fn start_node(self: &Rc<Self>, node: usize) {
        let skew = self.draw(100) * 1_000;
        let origin = self.origin;
        let clock = Clock::new(move || {
            let since = (Instant::now() - origin).as_micros() as u64;
            Micros(1_700_000_000_000_000 + since + skew)
        });
        let next_limits_announced = usize::from(!self.inner.borrow().runs_old_version[node]);
        let settings = self.settings[next_limits_announced][node].clone();
        let platform = SocketLimit::new(self.scenario.socket_limit);
        let own = if self.scenario.without_connection_budget {
            let sizes = PlanInputs {
                max_connections: 1_000_000,
                peers: NODE_COUNT - 1,
                machines: 0,
            };
            ConnectionTracker::new(sizes, Duration::from_secs(3_600))
        } else {
            transport::new_connection_tracker(&settings)
        };
        let net = Rc::new(SimTransport {
            cluster: self.clone(),
            node,
            connections: OutboundConnections::new(platform.clone(), own.clone()),
        });
        let controller = Rc::new(Controller::start(settings, clock, net));
        let mut inner = self.inner.borrow_mut();
        inner.nodes[node] = Some(controller);
        inner.process_sockets[node] = Some((platform, own));
    }

    /// Ends the controller's process, if it runs, and adds its socket figures to those of past
    /// processes.
    pub(crate) fn kill_node(&self, node: usize) {
        let mut inner = self.inner.borrow_mut();
        inner.generations[node] += 1;
        if let Some((platform, _)) = inner.process_sockets[node].take() {
            inner.past_peak_sockets = inner.past_peak_sockets.max(platform.peak.get());
            inner.past_refused_sockets += platform.refused.get();
        }
        let old = inner.nodes[node].take();
        drop(inner);
        drop(old);
    }
}

/// Returns a request's method and target, as the transcript identifies the request in its answer.
pub(crate) fn request_line(request: &Request) -> String {
    format!("{} {}", request.method.as_str(), request.target)
}
