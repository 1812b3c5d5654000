//! The concurrency limiter for commands to workers: at most so many hosts have a request in flight,
//! one request a host, responsive hosts before others, and exponential back-off for a host that
//! does not respond.
//!
//! [`ConcurrencyLimiter`] owns the queue and the back-off of each host. Every change goes through
//! [`ConcurrencyLimiter::apply`], which returns the hosts that the caller sends to next.
//!
//! Guards against a connection to each host of the cluster at the moment of a failover, and against
//! unreachable hosts that take a slot each, again every second, while reachable ones wait.

use hdrhistogram::Histogram;
use jasperhill_wire::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The first back-off of a host that does not respond: below a second, so that a host that restarts
/// is served again soon.
const BACKOFF_MIN: Micros = Micros::from_millis(900);
/// The longest back-off; each failure doubles it up to here.
const BACKOFF_MAX: Micros = Micros::from_secs(8);
/// The most hosts that are tracked (count): beyond, hosts that are neither queued, in flight nor in
/// back-off are dropped.
const TRACKED_HOSTS_MAX: usize = 20_000;

/// Up to two digits are kept of a wait, of at most an hour in microseconds.
const WAIT_MAX_MICROS: u64 = 3_600_000_000;
const WAIT_SIGNIFICANT_DIGITS: u8 = 2;
/// The least size: one slot for responsive hosts beside one for the others.
const SIZE_MIN: usize = 2;

/// The phase of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// In a queue since then.
    Queued(Micros),
    /// A request is in flight; `unresponsive` says which count of requests in flight includes it.
    InFlight { unresponsive: bool },
    /// Nothing is sent before `until`; then the host is queued if `pending`.
    BackingOff { until: Micros, pending: bool },
    /// Nothing is to be sent.
    Idle,
}

/// The record of one host.
#[derive(Clone, Copy, Debug)]
struct Host {
    phase: Phase,
    /// It responded to the last request, or was heard since.
    responsive: bool,
    /// The back-off after the next failure.
    backoff: Micros,
}

/// An event that the caller reports to the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<K> {
    /// A request is to be sent to the host.
    Enqueue(K),
    /// The host was heard by another way (a heartbeat): its back-off ends.
    Heard(K),
    /// The request in flight is over: with a response (`Some(true)`), without one (`Some(false)`),
    /// or nothing was sent after all (`None`).
    Completed(K, Option<bool>),
    /// Time has passed: hosts whose back-off is over are queued.
    Tick,
    /// The most requests in flight from now on; at least two are allowed.
    Resize(usize),
}

/// Bounds the number of hosts with a request in flight. `K` identifies a host.
#[derive(Debug)]
pub struct ConcurrencyLimiter<K: Ord + Clone> {
    /// The most requests in flight.
    size: usize,
    hosts: BTreeMap<K, Host>,
    responsive_queue: VecDeque<K>,
    unresponsive_queue: VecDeque<K>,
    in_flight: usize,
    /// Those of `in_flight` whose host was not known to be responsive.
    in_flight_unresponsive: usize,
    /// How long hosts were queued, in microseconds.
    wait_times: Histogram<u64>,
}

impl<K: Ord + Clone> ConcurrencyLimiter<K> {
    /// Creates a limiter of `size` requests in flight, at least two.
    ///
    /// # Panics
    ///
    /// Never: the number of significant digits is a constant that the histogram allows.
    pub fn new(size: usize) -> Self {
        Self {
            size: size.max(SIZE_MIN),
            hosts: BTreeMap::new(),
            responsive_queue: VecDeque::new(),
            unresponsive_queue: VecDeque::new(),
            in_flight: 0,
            in_flight_unresponsive: 0,
            wait_times: Histogram::new_with_bounds(1, WAIT_MAX_MICROS, WAIT_SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| {
                    Histogram::new(WAIT_SIGNIFICANT_DIGITS).expect("two digits are allowed")
                }),
        }
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The number of queued hosts.
    pub fn queued(&self) -> usize {
        let is_queued = |host: &&Host| matches!(host.phase, Phase::Queued(_));
        self.hosts.values().filter(is_queued).count()
    }

    /// The quantile (0 to 1) of the times that hosts were queued since the last reset.
    pub fn wait_time_quantile(&self, quantile: f64) -> Micros {
        Micros(self.wait_times.value_at_quantile(quantile))
    }

    /// Drops the recorded wait times, after they were logged.
    pub fn reset_wait_times(&mut self) {
        self.wait_times.reset();
    }

    /// Applies one input at time `now`: the only function that changes the limiter. Returns the
    /// hosts that the caller sends a request to now, and reports as completed later.
    pub fn apply(&mut self, input: Input<K>, now: Micros) -> Vec<K> {
        match input {
            Input::Enqueue(key) => self.enqueue(key, now),
            Input::Heard(key) => {
                if let Some(host) = self.hosts.get_mut(&key) {
                    let was_responsive = std::mem::replace(&mut host.responsive, true);
                    // It does not wait behind hosts that may be unreachable.
                    if !was_responsive && matches!(host.phase, Phase::Queued(_)) {
                        self.responsive_queue.push_back(key.clone());
                    }
                    host.backoff = BACKOFF_MIN;
                    if let Phase::BackingOff { .. } = host.phase {
                        host.phase = Phase::Idle;
                    }
                }
            }
            Input::Completed(key, answered) => self.complete(&key, answered, now),
            Input::Tick => {
                let is_due = |host: &Host| matches!(host.phase, Phase::BackingOff { until, pending: true } if now >= until);
                let due: Vec<K> = (self.hosts.iter())
                    .filter(|(_, host)| is_due(host))
                    .map(|(key, _)| key.clone())
                    .collect();
                for key in due {
                    self.enqueue(key, now);
                }
            }
            Input::Resize(size) => self.size = size.max(SIZE_MIN),
        }
        self.dispatch(now)
    }

    /// Queues a host, or notes the request on one that is backing off. A host that is queued or in
    /// flight already stays as it is: the caller sends all that is pending at once.
    fn enqueue(&mut self, key: K, now: Micros) {
        if self.hosts.len() > TRACKED_HOSTS_MAX {
            self.hosts.retain(|_, host| match host.phase {
                Phase::BackingOff { until, pending } => pending || now < until,
                Phase::Idle => false,
                Phase::Queued(_) | Phase::InFlight { .. } => true,
            });
        }
        let host = self.hosts.entry(key.clone()).or_insert(Host {
            phase: Phase::Idle,
            responsive: false,
            backoff: BACKOFF_MIN,
        });
        match host.phase {
            Phase::Queued(_) | Phase::InFlight { .. } => return,
            Phase::BackingOff { until, .. } if now < until => {
                host.phase = Phase::BackingOff {
                    until,
                    pending: true,
                };
                return;
            }
            Phase::BackingOff { .. } | Phase::Idle => {}
        }
        host.phase = Phase::Queued(now);
        if host.responsive {
            self.responsive_queue.push_back(key);
        } else {
            self.unresponsive_queue.push_back(key);
        }
    }

    /// Frees the slot of a host and updates its back-off.
    fn complete(&mut self, key: &K, answered: Option<bool>, now: Micros) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let Phase::InFlight { unresponsive } = host.phase else {
            return;
        };
        self.in_flight -= 1;
        self.in_flight_unresponsive -= usize::from(unresponsive);
        match answered {
            Some(true) => {
                host.responsive = true;
                host.phase = Phase::Idle;
                host.backoff = BACKOFF_MIN;
            }
            Some(false) => {
                host.responsive = false;
                host.phase = Phase::BackingOff {
                    until: now + host.backoff,
                    pending: false,
                };
                host.backoff = host.backoff.scale(2.0).min(BACKOFF_MAX);
            }
            None => host.phase = Phase::Idle,
        }
    }

    /// Takes hosts from the queues while slots are free. Responsive hosts may use all slots, the
    /// others half of them.
    fn dispatch(&mut self, now: Micros) -> Vec<K> {
        let mut dispatched = Vec::new();
        while self.in_flight < self.size {
            let unresponsive_allowed = self.in_flight_unresponsive < self.size.div_ceil(2);
            let key = match self.responsive_queue.pop_front() {
                Some(key) => Some(key),
                None if unresponsive_allowed => self.unresponsive_queue.pop_front(),
                None => None,
            };
            let Some(key) = key else { break };
            let Some(host) = self.hosts.get_mut(&key) else {
                continue;
            };
            // A host that was heard while it was queued is in both queues.
            let Phase::Queued(since) = host.phase else {
                continue;
            };
            self.wait_times.saturating_record((now - since).0.max(1));
            let unresponsive = !host.responsive;
            host.phase = Phase::InFlight { unresponsive };
            self.in_flight += 1;
            self.in_flight_unresponsive += usize::from(unresponsive);
            dispatched.push(key);
        }
        dispatched
    }
}
