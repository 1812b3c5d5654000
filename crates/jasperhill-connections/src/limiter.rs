//! The window through which commands go out to workers: so many at a time, each host once, those
//! that have answered before those that have not, and one that does not answer after a pause that
//! grows. Every change goes through [`ConcurrencyLimiter::apply`].
//!
//! Guards against a fleet's worth of connections in the moment of a takeover, and against dead
//! hosts that hold a place each, again every second, while living ones wait.

use hdrhistogram::Histogram;
use jasperhill_wire::Micros;
use std::collections::{BTreeMap, VecDeque};

/// The pauses of a host that does not answer.
const REST: Micros = Micros::from_millis(900);
const REST_MAX: Micros = Micros::from_secs(8);
/// Hosts that are remembered; beyond, those that rest no more are forgotten.
const KNOWN_MAX: usize = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// In the queue since then.
    Waiting(Micros),
    /// On its way; counted among the unproven or not.
    UnderWay { unproven: bool },
    /// Left alone until then, and then sent what is wanted, if anything is.
    Resting { until: Micros, wanted: bool },
    /// Nothing is to be sent.
    Quiet,
}

#[derive(Clone, Copy, Debug)]
struct Host {
    phase: Phase,
    /// It has answered the last time.
    proven: bool,
    /// How long it rests if it does not answer again.
    rest: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<K> {
    /// Something is to be sent to it.
    Enqueue(K),
    /// It was heard by another way: it need not rest.
    Heard(K),
    /// What was under way is over, with an answer or without, or nothing was sent after all.
    Completed(K, Option<bool>),
    /// Time has passed: those whose rest is over get their turn.
    Tick,
    /// So many at a time from now on.
    Resize(usize),
}

/// A bounded number of hosts that are sent something at a time.
#[derive(Debug)]
pub struct ConcurrencyLimiter<K: Ord + Clone> {
    size: usize,
    hosts: BTreeMap<K, Host>,
    /// Those that have answered, and the others.
    proven: VecDeque<K>,
    unproven: VecDeque<K>,
    under_way: usize,
    under_way_unproven: usize,
    waits: Histogram<u64>,
}

impl<K: Ord + Clone> ConcurrencyLimiter<K> {
    pub fn new(size: usize) -> Self {
        Self {
            size: size.max(2),
            hosts: BTreeMap::new(),
            proven: VecDeque::new(),
            unproven: VecDeque::new(),
            under_way: 0,
            under_way_unproven: 0,
            // Up to an hour, two digits.
            waits: Histogram::new_with_bounds(1, 3_600_000_000, 2)
                .unwrap_or_else(|_| Histogram::new(2).expect("two digits are allowed")),
        }
    }

    /// On their way now, and those that wait for a place.
    pub fn in_flight(&self) -> usize {
        self.under_way
    }
    pub fn waiting(&self) -> usize {
        let waits = |h: &&Host| matches!(h.phase, Phase::Waiting(_));
        self.hosts.values().filter(waits).count()
    }
    /// How long the given part of all that went out had waited for a place.
    pub fn waited(&self, part: f64) -> Micros {
        Micros(self.waits.value_at_quantile(part))
    }
    /// Forgets the waits so far.
    pub fn forget_waits(&mut self) {
        self.waits.reset();
    }

    /// The one function that changes it; the hosts whose turn it is.
    pub fn apply(&mut self, input: Input<K>, now: Micros) -> Vec<K> {
        match input {
            Input::Enqueue(key) => self.want(key, now),
            Input::Heard(key) => {
                if let Some(host) = self.hosts.get_mut(&key) {
                    let was = std::mem::replace(&mut host.proven, true);
                    // It need not wait behind those that may be dead.
                    if !was && matches!(host.phase, Phase::Waiting(_)) {
                        self.proven.push_back(key.clone());
                    }
                    host.rest = REST;
                    if let Phase::Resting { .. } = host.phase {
                        host.phase = Phase::Quiet;
                    }
                }
            }
            Input::Completed(key, answered) => self.over(&key, answered, now),
            Input::Tick => {
                let due = |h: &Host| matches!(h.phase, Phase::Resting { until, wanted: true } if now >= until);
                let due: Vec<K> = (self.hosts.iter().filter(|(_, h)| due(h)))
                    .map(|(k, _)| k.clone())
                    .collect();
                for key in due {
                    self.want(key, now);
                }
            }
            Input::Resize(size) => self.size = size.max(2),
        }
        self.turns(now)
    }

    fn want(&mut self, key: K, now: Micros) {
        if self.hosts.len() > KNOWN_MAX {
            self.hosts.retain(|_, h| match h.phase {
                Phase::Resting { until, wanted } => wanted || now < until,
                Phase::Quiet => false,
                Phase::Waiting(_) | Phase::UnderWay { .. } => true,
            });
        }
        let host = self.hosts.entry(key.clone()).or_insert(Host {
            phase: Phase::Quiet,
            proven: false,
            rest: REST,
        });
        match host.phase {
            Phase::Waiting(_) | Phase::UnderWay { .. } => return,
            Phase::Resting { until, .. } if now < until => {
                host.phase = Phase::Resting {
                    until,
                    wanted: true,
                };
                return;
            }
            Phase::Resting { .. } | Phase::Quiet => {}
        }
        host.phase = Phase::Waiting(now);
        if host.proven {
            self.proven.push_back(key);
        } else {
            self.unproven.push_back(key);
        }
    }

    fn over(&mut self, key: &K, answered: Option<bool>, now: Micros) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let Phase::UnderWay { unproven } = host.phase else {
            return;
        };
        self.under_way -= 1;
        self.under_way_unproven -= usize::from(unproven);
        match answered {
            Some(true) => {
                host.proven = true;
                host.phase = Phase::Quiet;
                host.rest = REST;
            }
            Some(false) => {
                host.proven = false;
                host.phase = Phase::Resting {
                    until: now + host.rest,
                    wanted: false,
                };
                host.rest = host.rest.scale(2.0).min(REST_MAX);
            }
            None => host.phase = Phase::Quiet,
        }
    }

    /// Those that have answered may have all places; the others half of them.
    fn turns(&mut self, now: Micros) -> Vec<K> {
        let mut turns = Vec::new();
        while self.under_way < self.size {
            let unproven = self.under_way_unproven < self.size.div_ceil(2);
            let key = match self.proven.pop_front() {
                Some(key) => Some(key),
                None if unproven => self.unproven.pop_front(),
                None => None,
            };
            let Some(key) = key else { break };
            let Some(host) = self.hosts.get_mut(&key) else {
                continue;
            };
            // Heard while it waited, it stands in both queues.
            let Phase::Waiting(since) = host.phase else {
                continue;
            };
            self.waits.saturating_record((now - since).0.max(1));
            let unproven = !host.proven;
            host.phase = Phase::UnderWay { unproven };
            self.under_way += 1;
            self.under_way_unproven += usize::from(unproven);
            turns.push(key);
        }
        turns
    }
}
