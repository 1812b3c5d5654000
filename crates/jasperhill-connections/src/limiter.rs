//! The concurrency limiter for commands to workers. The limiter bounds the number of hosts with a
//! request in flight, allows one request per host, prefers responsive hosts, and applies
//! exponential back-off to hosts that do not respond.
//!
//! [`ConcurrencyLimiter`] owns the queue and the back-off of each host. Every change goes through
//! [`ConcurrencyLimiter::apply`], which returns the hosts that the caller sends to next.
//!
//! Without the limit, a failover would open a connection to every host of the cluster at once.
//! Without the back-off, unreachable hosts would each take a slot again every second while
//! reachable hosts wait.

use hdrhistogram::Histogram;
use jasperhill_wire::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The first back-off of a host that does not respond. Below a second, so that commands reach a
/// restarted host soon.
const BACKOFF_MIN: Micros = Micros::from_millis(900);
/// The longest back-off; each failure doubles the back-off up to this value.
const BACKOFF_MAX: Micros = Micros::from_secs(8);
/// Above this number of tracked hosts (count), hosts that are neither queued, in flight nor backing
/// off are removed.
const TRACKED_HOSTS_MAX: usize = 20_000;

/// The longest queueing time that the histogram resolves: one hour, in microseconds.
const QUEUE_TIME_MAX_MICROS: u64 = 3_600_000_000;
/// The number of significant digits that the histogram keeps of a queueing time.
const QUEUE_TIME_SIGNIFICANT_DIGITS: u8 = 2;
/// The lowest limit on requests in flight: one slot for responsive hosts and one for unresponsive
/// hosts.
const MAX_CONCURRENCY_FLOOR: usize = 2;

/// Whether a host is queued, being sent a request, backing off or idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Queued since the given time.
    Queued(Micros),
    /// A request is in flight. `unresponsive`: whether the request counts against the slots of
    /// unresponsive hosts.
    InFlight { unresponsive: bool },
    /// Nothing is sent before `until`; the host is queued afterwards if a request is `pending`.
    BackingOff { until: Micros, pending: bool },
    /// There is no request to send.
    Idle,
}

/// The queueing and back-off state of one host.
#[derive(Clone, Copy, Debug)]
struct Host {
    phase: Phase,
    /// Whether the host responded to the last request or was heard from since.
    responsive: bool,
    /// The length of the back-off after the next failure.
    backoff: Micros,
}

/// An event that the caller reports to the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<K> {
    /// A request is to be sent to the host.
    Enqueue(K),
    /// The host was heard from in another way (a heartbeat), which ends its back-off.
    HeartbeatReceived(K),
    /// The request in flight has ended: with a response (`Some(true)`), without a response
    /// (`Some(false)`), or without having been sent (`None`).
    Completed(K, Option<bool>),
    /// Time has passed: hosts with a pending request whose back-off is over are queued.
    Tick,
    /// Sets the most requests in flight; values below two are raised to two.
    SetMaxConcurrency(usize),
}

/// Bounds the number of hosts with a request in flight. `K` identifies a host.
#[derive(Debug)]
pub struct ConcurrencyLimiter<K: Ord + Clone> {
    /// The most requests in flight.
    max_concurrency: usize,
    /// The tracked hosts.
    hosts: BTreeMap<K, Host>,
    /// Queued hosts that were responsive when queued or were heard from since.
    responsive_queue: VecDeque<K>,
    /// Queued hosts that were not known to be responsive when queued.
    unresponsive_queue: VecDeque<K>,
    /// The number of requests in flight.
    in_flight: usize,
    /// Requests in flight to hosts that were not known to be responsive when dispatched.
    in_flight_unresponsive: usize,
    /// Queueing times of hosts, in microseconds.
    queue_times: Histogram<u64>,
}

impl<K: Ord + Clone> ConcurrencyLimiter<K> {
    /// Creates a limiter for at most `max_concurrency` requests in flight; values below two are
    /// raised to two.
    ///
    /// # Panics
    ///
    /// Never: the number of significant digits is a constant that the histogram allows.
    pub fn new(max_concurrency: usize) -> Self {
        Self {
            max_concurrency: max_concurrency.max(MAX_CONCURRENCY_FLOOR),
            hosts: BTreeMap::new(),
            responsive_queue: VecDeque::new(),
            unresponsive_queue: VecDeque::new(),
            in_flight: 0,
            in_flight_unresponsive: 0,
            queue_times: Histogram::new_with_bounds(
                1,
                QUEUE_TIME_MAX_MICROS,
                QUEUE_TIME_SIGNIFICANT_DIGITS,
            )
            .unwrap_or_else(|_| {
                Histogram::new(QUEUE_TIME_SIGNIFICANT_DIGITS).expect("two digits are allowed")
            }),
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of queued hosts.
    pub fn queued(&self) -> usize {
        let is_queued = |host: &&Host| matches!(host.phase, Phase::Queued(_));
        self.hosts.values().filter(is_queued).count()
    }

    /// Returns a quantile (0 to 1) of the queueing times of hosts since the last reset.
    pub fn queueing_time_quantile(&self, quantile: f64) -> Micros {
        Micros(self.queue_times.value_at_quantile(quantile))
    }

    /// Clears the recorded queueing times. Called after they were logged.
    pub fn reset_queueing_times(&mut self) {
        self.queue_times.reset();
    }

    /// Applies one input at time `now`. Returns the hosts that the caller sends a request to now
    /// and reports as completed later. Only this function changes the queues, slots and back-offs.
    pub fn apply(&mut self, input: Input<K>, now: Micros) -> Vec<K> {
        match input {
            Input::Enqueue(id) => self.enqueue(id, now),
            Input::HeartbeatReceived(id) => {
                if let Some(host) = self.hosts.get_mut(&id) {
                    let was_responsive = std::mem::replace(&mut host.responsive, true);
                    // A host that was heard from does not wait behind hosts that may be
                    // unreachable.
                    if !was_responsive && matches!(host.phase, Phase::Queued(_)) {
                        self.responsive_queue.push_back(id.clone());
                    }
                    host.backoff = BACKOFF_MIN;
                    if let Phase::BackingOff { .. } = host.phase {
                        host.phase = Phase::Idle;
                    }
                }
            }
            Input::Completed(id, responded) => self.complete(&id, responded, now),
            Input::Tick => {
                let is_due = |host: &Host| matches!(host.phase, Phase::BackingOff { until, pending: true } if now >= until);
                let due_hosts: Vec<K> = (self.hosts.iter())
                    .filter(|(_, host)| is_due(host))
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in due_hosts {
                    self.enqueue(id, now);
                }
            }
            Input::SetMaxConcurrency(max_concurrency) => {
                self.max_concurrency = max_concurrency.max(MAX_CONCURRENCY_FLOOR)
            }
        }
        self.dispatch(now)
    }

    /// Queues a host, or marks the request as pending if the host is backing off. A host that is
    /// already queued or in flight is unchanged, because the caller sends all pending commands of a
    /// host in one request.
    fn enqueue(&mut self, id: K, now: Micros) {
        if self.hosts.len() > TRACKED_HOSTS_MAX {
            self.hosts.retain(|_, host| match host.phase {
                Phase::BackingOff { until, pending } => pending || now < until,
                Phase::Idle => false,
                Phase::Queued(_) | Phase::InFlight { .. } => true,
            });
        }
        let host = self.hosts.entry(id.clone()).or_insert(Host {
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
            self.responsive_queue.push_back(id);
        } else {
            self.unresponsive_queue.push_back(id);
        }
    }

    /// Frees the slot of a host and updates its back-off.
    fn complete(&mut self, id: &K, responded: Option<bool>, now: Micros) {
        let Some(host) = self.hosts.get_mut(id) else {
            return;
        };
        let Phase::InFlight { unresponsive } = host.phase else {
            return;
        };
        self.in_flight -= 1;
        self.in_flight_unresponsive -= usize::from(unresponsive);
        match responded {
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

    /// Takes hosts from the queues while slots are free. Responsive hosts may use all slots,
    /// unresponsive hosts at most half of the slots, rounded up.
    fn dispatch(&mut self, now: Micros) -> Vec<K> {
        let mut dispatched = Vec::new();
        while self.in_flight < self.max_concurrency {
            let unresponsive_allowed =
                self.in_flight_unresponsive < self.max_concurrency.div_ceil(2);
            let id = match self.responsive_queue.pop_front() {
                Some(id) => Some(id),
                None if unresponsive_allowed => self.unresponsive_queue.pop_front(),
                None => None,
            };
            let Some(id) = id else { break };
            let Some(host) = self.hosts.get_mut(&id) else {
                continue;
            };
            // A host that was heard from while queued is in both queues.
            let Phase::Queued(queued_since) = host.phase else {
                continue;
            };
            self.queue_times
                .saturating_record((now - queued_since).0.max(1));
            let unresponsive = !host.responsive;
            host.phase = Phase::InFlight { unresponsive };
            self.in_flight += 1;
            self.in_flight_unresponsive += usize::from(unresponsive);
            dispatched.push(id);
        }
        dispatched
    }
}
