//! The connection budget of a process: admission, keep-alive and eviction of its connections.
//!
//! [`ConnectionBudget`] owns the record of every connection of the process, by class and phase. Every
//! change goes through [`ConnectionBudget::apply`]; the caller opens and closes the actual sockets.
//!
//! A class is always admitted up to its guarantee. Beyond it, a class is admitted as far as no
//! other class is guaranteed or occupies the capacity. An idle connection of a class that can
//! reconnect cheaply occupies nothing: when the limit is reached the longest idle one is evicted,
//! connections to workers and controllers before those of users. Heartbeat connections are evicted
//! only after the idle timeout of workers, since a worker that has moved to another controller does
//! not announce it. Connections to the key-value store and to the cloud are never evicted.

use crate::plan::{BudgetPlan, Class};
use enum_map::{EnumMap, enum_map};
use jasperhill_wire::Micros;
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// Identifies one connection of the process, for as long as it is open.
    pub struct ConnectionId;
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is in flight, or the connection is being established.
    Busy,
    /// Open without a request since then.
    Idle(Micros),
    /// Evicted: the caller closes it in this iteration of the event loop.
    Evicted,
}

/// The record of one connection.
#[derive(Clone, Copy, Debug)]
struct Entry {
    class: Class,
    phase: Phase,
}

/// A request to the budget, or an event that the caller reports to it.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A connection is to be opened, or was accepted.
    Open(Class),
    /// A request starts on the connection, which has this class from now on.
    RequestStarted(ConnectionId, Class),
    /// The request on the connection has finished.
    RequestFinished(ConnectionId),
    /// The connection is closed. Reported again, it has no effect.
    Closed(ConnectionId),
}

/// The decision on an [`Input`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The connection is admitted. The caller closes the second one first, if any: it is evicted.
    Granted(ConnectionId, Option<ConnectionId>),
    /// The connection is not admitted: it is closed or not opened.
    Refused,
    /// The request is admitted.
    Proceed,
    /// The request is not admitted: the caller says so in the response and closes the connection.
    Overloaded,
    /// The connection is kept alive.
    KeepAlive,
    /// The connection is closed after this response.
    Close,
    /// The event is recorded; nothing is to be decided.
    Recorded,
}

/// Usage of one class. The counts of connections refer to now, the counters to the lifetime of
/// the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassUsage {
    /// Open connections.
    pub open: usize,
    /// Those of the open connections that are idle.
    pub idle: usize,
    /// The most connections that were open at the same time.
    pub peak: usize,
    /// The guarantee of the current plan.
    pub guaranteed: usize,
    /// Connections and requests refused so far.
    pub refused: u64,
    /// Idle connections closed so far to make room for another.
    pub evicted: u64,
    /// The time of the last refusal.
    pub last_refused: Option<Micros>,
}

/// The most evicted connections that may still be open (count): bounds how far the process can
/// exceed the limit for a moment.
const EVICTED_MAX: usize = 64;
/// One in this many guaranteed heartbeat connections is available to other classes while workers
/// do not use it.
const HEARTBEAT_BORROW_DIVISOR: usize = 4;
/// Accepted connections without a first request may be evicted after this time: a client sends it
/// at once.
const FIRST_REQUEST_TIMEOUT: Micros = Micros::from_secs(1);

/// How far below the platform's limit the key-value store may still open connections beyond the
/// budget (count).
const STORE_HEADROOM: usize = 4;

/// The connections of a process, and the only place that decides on them.
#[derive(Debug)]
pub struct ConnectionBudget {
    plan: BudgetPlan,
    /// A worker that sent nothing for this long has moved to another controller.
    worker_idle_timeout: Micros,
    entries: SlotMap<ConnectionId, Entry>,
    idle: EnumMap<Class, BTreeSet<(Micros, ConnectionId)>>,
    /// Evicted connections that are still open.
    evicted: usize,
    /// The most connections that were open at the same time.
    peak: usize,
    usage: EnumMap<Class, ClassUsage>,
}

impl ConnectionBudget {
    /// Creates a budget without connections. Connections of workers may be evicted once they have
    /// been idle for `worker_idle_timeout`.
    pub fn new(plan: BudgetPlan, worker_idle_timeout: Micros) -> Self {
        Self {
            plan,
            worker_idle_timeout,
            entries: SlotMap::with_key(),
            idle: enum_map! { _ => BTreeSet::new() },
            evicted: 0,
            peak: 0,
            usage: enum_map! { _ => ClassUsage::default() },
        }
    }

    /// The plan in force.
    pub fn plan(&self) -> &BudgetPlan {
        &self.plan
    }

    /// Replaces the plan. Open connections stay, also those beyond the new limits.
    pub fn replace_plan(&mut self, plan: BudgetPlan) {
        self.plan = plan;
    }

    /// The number of open connections, evicted ones included.
    pub fn open(&self) -> usize {
        self.entries.len()
    }
    /// The most connections that were open at the same time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// The usage of one class, for logs, readiness and the size of the command limiter.
    pub fn usage(&self, class: Class) -> ClassUsage {
        ClassUsage {
            idle: self.idle[class].len(),
            guaranteed: self.plan.guaranteed[class],
            ..self.usage[class]
        }
    }

    /// Applies one input at time `now`: the only function that changes connections.
    pub fn apply(&mut self, input: Input, now: Micros) -> Output {
        match input {
            Input::Open(class) => self.admit_connection(class, now),
            Input::RequestStarted(key, class) => self.start_request(key, class, now),
            Input::RequestFinished(key) => self.finish_request(key, now),
            Input::Closed(key) => {
                if let Some(entry) = self.entries.remove(key) {
                    self.unindex(key, entry);
                    self.usage[entry.class].open -= 1;
                }
                Output::Recorded
            }
        }
    }

    /// Removes a connection from the index of its phase.
    fn unindex(&mut self, key: ConnectionId, entry: Entry) {
        match entry.phase {
            Phase::Idle(since) => {
                self.idle[entry.class].remove(&(since, key));
            }
            Phase::Evicted => self.evicted -= 1,
            Phase::Busy => {}
        }
    }

    /// Moves a connection to a class and phase, and keeps indexes and usage consistent.
    fn set_phase(&mut self, key: ConnectionId, class: Class, phase: Phase) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let previous = std::mem::replace(entry, Entry { class, phase });
        self.unindex(key, previous);
        self.usage[previous.class].open -= 1;
        let usage = &mut self.usage[class];
        usage.open += 1;
        usage.peak = usage.peak.max(usage.open);
        match phase {
            Phase::Idle(since) => {
                self.idle[class].insert((since, key));
            }
            Phase::Evicted => self.evicted += 1,
            Phase::Busy => {}
        }
    }

    /// Whether idle connections of the class occupy no capacity because they can be evicted and
    /// opened again at any time.
    fn is_reconnectable(class: Class) -> bool {
        matches!(class, Class::Peers | Class::Commands | Class::Users)
    }

    /// The connections of a class that count against the limit.
    fn occupied(&self, class: Class) -> usize {
        let idle = if Self::is_reconnectable(class) {
            self.idle[class].len()
        } else {
            0
        };
        self.usage[class].open - idle
    }

    /// The capacity that other classes leave to a class that does not use it now. Guards against
    /// refused relays and refused connections between controllers while most heartbeat connections
    /// are reserved for workers that report to another controller: a relayed request is over in
    /// seconds.
    fn reserved(&self, class: Class) -> usize {
        let guaranteed = self.plan.guaranteed[class];
        match class {
            Class::Heartbeats => guaranteed - guaranteed / HEARTBEAT_BORROW_DIVISOR,
            _ => guaranteed,
        }
    }

    /// Whether one more connection of the class fits: it is guaranteed, or no other class is
    /// guaranteed or occupies the capacity.
    fn has_capacity(&self, class: Class) -> bool {
        let within_guarantee = |classes: &[Class]| {
            let occupied: usize = classes.iter().map(|class| self.occupied(*class)).sum();
            occupied
                < classes
                    .iter()
                    .map(|class| self.plan.guaranteed[*class])
                    .sum()
        };
        // Most accepted connections are from workers that have not sent a heartbeat yet. Guards
        // against refusing them when all workers connect at once.
        if within_guarantee(&[class])
            || (class == Class::Accepted && within_guarantee(&[Class::Accepted, Class::Heartbeats]))
        {
            return true;
        }
        let committed: usize = Class::ALL
            .into_iter()
            .map(|class| self.occupied(class).max(self.reserved(class)))
            .sum();
        committed < self.plan.limit
    }

    /// The open connections without the evicted ones, which are about to close.
    fn active(&self) -> usize {
        self.entries.len() - self.evicted
    }

    fn admit_connection(&mut self, class: Class, now: Micros) -> Output {
        // Guards against an expired session for want of a connection: the few connections to the
        // key-value store are bounded by their callers, and use the headroom of the plan.
        let always_admitted = class == Class::State
            && self.entries.len() + STORE_HEADROOM < self.plan.max_connections;
        if !always_admitted && !self.has_capacity(class) {
            return self.refuse(class, now);
        }
        let mut evicted = None;
        if self.active() >= self.plan.limit {
            evicted = self.evict_one(now);
            if evicted.is_none() && !always_admitted {
                return self.refuse(class, now);
            }
        }
        let phase = Phase::Busy;
        let key = self.entries.insert(Entry { class, phase });
        let usage = &mut self.usage[class];
        usage.open += 1;
        usage.peak = usage.peak.max(usage.open);
        self.peak = self.peak.max(self.entries.len());
        Output::Granted(key, evicted)
    }

    /// Counts a refusal.
    fn refuse(&mut self, class: Class, now: Micros) -> Output {
        let usage = &mut self.usage[class];
        usage.refused += 1;
        usage.last_refused = Some(now);
        Output::Refused
    }

    /// Evicts the longest idle connection of the first class in order of eviction that has one idle
    /// for long enough.
    fn evict_one(&mut self, now: Micros) -> Option<ConnectionId> {
        if self.evicted >= EVICTED_MAX {
            return None;
        }
        let min_idle = |class: Class| match class {
            Class::Commands | Class::Peers | Class::Users => Some(Micros::ZERO),
            Class::Accepted => Some(FIRST_REQUEST_TIMEOUT),
            Class::Heartbeats => Some(self.worker_idle_timeout),
            Class::Health | Class::Mesh => {
                Some(self.worker_idle_timeout + self.worker_idle_timeout)
            }
            Class::State | Class::Cloud => None,
        };
        let eviction_order = [
            Class::Commands,
            Class::Peers,
            Class::Accepted,
            Class::Heartbeats,
            Class::Users,
            Class::Health,
            Class::Mesh,
        ];
        let (class, key) = eviction_order.into_iter().find_map(|class| {
            let (since, key) = *self.idle[class].first()?;
            (now - since >= min_idle(class)?).then_some((class, key))
        })?;
        self.set_phase(key, class, Phase::Evicted);
        self.usage[class].evicted += 1;
        Some(key)
    }

    fn start_request(&mut self, key: ConnectionId, class: Class, now: Micros) -> Output {
        let Some(entry) = self.entries.get(key).copied() else {
            return Output::Overloaded;
        };
        if entry.phase == Phase::Evicted {
            // The request arrived together with the eviction: it is served, and the connection closes
            // after it.
            return Output::Proceed;
        }
        // Only requests of users are refused: heartbeats keep the leases of tasks alive, and a
        // health probe needs an answer.
        let already_counted = entry.class == class && !matches!(entry.phase, Phase::Idle(_));
        let over_capacity = class == Class::Users && !already_counted && !self.has_capacity(class);
        self.set_phase(key, class, Phase::Busy);
        if over_capacity {
            self.refuse(class, now);
            return Output::Overloaded;
        }
        Output::Proceed
    }

    fn finish_request(&mut self, key: ConnectionId, now: Micros) -> Output {
        let Some(entry) = self.entries.get(key).copied() else {
            return Output::Close;
        };
        if entry.phase == Phase::Evicted {
            return Output::Close;
        }
        let class = entry.class;
        let guaranteed = !Self::is_reconnectable(class)
            && (self.usage[class].open <= self.plan.guaranteed[class] || class == Class::State);
        if self.active() > self.plan.keep_alive_limit && !guaranteed {
            return Output::Close;
        }
        self.set_phase(key, class, Phase::Idle(now));
        Output::KeepAlive
    }
}
