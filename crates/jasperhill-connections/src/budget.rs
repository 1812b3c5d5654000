//! The connection budget of a process: admission, keep-alive and eviction of its connections.
//!
//! [`ConnectionBudget`] owns the record of every connection of the process, by class and phase.
//! Every change goes through [`ConnectionBudget::apply`]; the caller opens and closes the actual
//! sockets.
//!
//! A class is always admitted up to its guarantee. Beyond its guarantee, a class may use capacity
//! that no other class occupies or has reserved. Idle connections of classes that can reconnect
//! cheaply do not count as occupied capacity: when the limit is reached, the connection that has
//! been idle longest is evicted, connections to workers and controllers before connections of
//! users. Heartbeat connections are evicted only after the idle timeout of workers, since a worker
//! that has moved to another controller does not announce the move. Connections to the key-value
//! store and to the cloud are never evicted.

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
    /// Open without a request in flight since the given time.
    Idle(Micros),
    /// Evicted: the caller closes it in this iteration of the event loop.
    Evicted,
}

/// The class and phase of one open connection.
#[derive(Clone, Copy, Debug)]
struct Entry {
    class: Class,
    phase: Phase,
}

/// A request to the budget, or an event that the caller reports to it.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// Asks to admit a connection that is about to be opened or was accepted.
    Open(Class),
    /// A request starts on the connection; the connection has the given class from now on.
    RequestStarted(ConnectionId, Class),
    /// The request on the connection has finished.
    RequestFinished(ConnectionId),
    /// The connection is closed. Reporting the same connection again has no effect.
    Closed(ConnectionId),
}

/// The decision on an [`Input`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The connection with the first id is admitted. The second id, if any, is an evicted
    /// connection that the caller closes first.
    Granted(ConnectionId, Option<ConnectionId>),
    /// The connection is not admitted: the caller closes it or does not open it.
    Refused,
    /// The request is admitted.
    Proceed,
    /// The request is not admitted: the caller reports the refusal in the response and
    /// closes the connection.
    Overloaded,
    /// The connection is kept alive.
    KeepAlive,
    /// The connection is closed after this response.
    Close,
    /// The event is recorded and needs no action by the caller.
    Recorded,
}

/// Connection usage of one class: current counts of connections, and counters since the start of
/// the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassUsage {
    /// Open connections.
    pub open: usize,
    /// Open connections that are idle.
    pub idle: usize,
    /// The most connections of the class that were open at the same time.
    pub peak: usize,
    /// Connections that the current plan guarantees to the class.
    pub guaranteed: usize,
    /// Connections and requests refused so far.
    pub refused: u64,
    /// Idle connections evicted so far to make room for other connections.
    pub evicted: u64,
    /// The time of the last refusal; `None` if nothing has been refused.
    pub last_refused: Option<Micros>,
}

/// The most evicted connections that may still be open (count). Bounds how far the process can
/// temporarily exceed the limit.
const EVICTED_MAX: usize = 64;
/// One in this many guaranteed heartbeat connections may be used by other classes while workers
/// leave it unused.
const HEARTBEAT_BORROW_DIVISOR: usize = 4;
/// Accepted connections without a first request may be evicted after this time, since clients send
/// their first request immediately after connecting.
const FIRST_REQUEST_TIMEOUT: Micros = Micros::from_secs(1);

/// Connections below the platform's limit that stay free even when connections to the key-value
/// store are admitted beyond the budget (count).
const STORE_HEADROOM: usize = 4;

/// Tracks the connections of a process and decides on their admission, keep-alive and eviction.
#[derive(Debug)]
pub struct ConnectionBudget {
    plan: BudgetPlan,
    /// A worker that has sent nothing for this long is assumed to have moved to another controller.
    worker_idle_timeout: Micros,
    entries: SlotMap<ConnectionId, Entry>,
    /// Idle connections of each class, ordered by the time since which they have been idle.
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

    /// Returns the plan in force.
    pub fn plan(&self) -> &BudgetPlan {
        &self.plan
    }

    /// Replaces the plan. Open connections stay open, including connections beyond the new limits.
    pub fn replace_plan(&mut self, plan: BudgetPlan) {
        self.plan = plan;
    }

    /// Returns the number of open connections, including evicted ones that are not closed yet.
    pub fn open(&self) -> usize {
        self.entries.len()
    }
    /// Returns the most connections that were open at the same time.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the usage of one class, for logs, readiness and the size of the command limiter.
    pub fn usage(&self, class: Class) -> ClassUsage {
        ClassUsage {
            idle: self.idle[class].len(),
            guaranteed: self.plan.guaranteed[class],
            ..self.usage[class]
        }
    }

    /// Applies one input at time `now`. No other function changes the tracked connections.
    pub fn apply(&mut self, input: Input, now: Micros) -> Output {
        match input {
            Input::Open(class) => self.admit_connection(class, now),
            Input::RequestStarted(id, class) => self.start_request(id, class, now),
            Input::RequestFinished(id) => self.finish_request(id, now),
            Input::Closed(id) => {
                if let Some(entry) = self.entries.remove(id) {
                    self.remove_from_index(id, entry);
                    self.usage[entry.class].open -= 1;
                }
                Output::Recorded
            }
        }
    }

    /// Removes a connection from the index of its phase.
    fn remove_from_index(&mut self, id: ConnectionId, entry: Entry) {
        match entry.phase {
            Phase::Idle(since) => {
                self.idle[entry.class].remove(&(since, id));
            }
            Phase::Evicted => self.evicted -= 1,
            Phase::Busy => {}
        }
    }

    /// Sets the class and phase of a connection and updates the indexes and the usage counts.
    fn set_phase(&mut self, id: ConnectionId, class: Class, phase: Phase) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let previous = std::mem::replace(entry, Entry { class, phase });
        self.remove_from_index(id, previous);
        self.usage[previous.class].open -= 1;
        let usage = &mut self.usage[class];
        usage.open += 1;
        usage.peak = usage.peak.max(usage.open);
        match phase {
            Phase::Idle(since) => {
                self.idle[class].insert((since, id));
            }
            Phase::Evicted => self.evicted += 1,
            Phase::Busy => {}
        }
    }

    /// Returns whether idle connections of the class occupy no capacity because they can be evicted
    /// and reopened at any time.
    fn is_reconnectable(class: Class) -> bool {
        matches!(class, Class::Peers | Class::Commands | Class::Users)
    }

    /// Returns the number of connections of a class that count against the limit.
    fn occupied(&self, class: Class) -> usize {
        let idle = if Self::is_reconnectable(class) {
            self.idle[class].len()
        } else {
            0
        };
        self.usage[class].open - idle
    }

    /// Returns the capacity that other classes leave to a class even while the class does not use
    /// it. Heartbeats reserve only part of their guarantee: reserving all of it would refuse relays
    /// and connections between controllers while most heartbeat connections are kept for workers
    /// that report to another controller. Relayed requests end within seconds and free the
    /// capacity.
    fn reserved(&self, class: Class) -> usize {
        let guaranteed = self.plan.guaranteed[class];
        match class {
            Class::Heartbeats => guaranteed - guaranteed / HEARTBEAT_BORROW_DIVISOR,
            _ => guaranteed,
        }
    }

    /// Returns whether one more connection of the class fits: within the guarantee of the class, or
    /// in capacity that no other class occupies or has reserved.
    fn has_capacity(&self, class: Class) -> bool {
        let within_guarantee = |classes: &[Class]| {
            let occupied: usize = classes.iter().map(|class| self.occupied(*class)).sum();
            occupied
                < classes
                    .iter()
                    .map(|class| self.plan.guaranteed[*class])
                    .sum()
        };
        // Most accepted connections are from workers that have not sent a heartbeat yet. Without
        // the shared guarantee, workers would be refused when all of them connect at the same time.
        if within_guarantee(&[class])
            || (class == Class::Accepted && within_guarantee(&[Class::Accepted, Class::Heartbeats]))
        {
            return true;
        }
        let committed_capacity: usize = Class::ALL
            .into_iter()
            .map(|class| self.occupied(class).max(self.reserved(class)))
            .sum();
        committed_capacity < self.plan.limit
    }

    /// Returns the number of open connections that are not evicted; evicted ones are about to
    /// close.
    fn active_count(&self) -> usize {
        self.entries.len() - self.evicted
    }

    /// Admits a connection if there is capacity, evicting an idle connection if the limit is
    /// reached.
    fn admit_connection(&mut self, class: Class, now: Micros) -> Output {
        // Refusing a connection to the key-value store could let the session of the controller
        // expire. The few connections to the store are bounded by their callers and use the
        // headroom of the plan.
        let always_admitted = class == Class::State
            && self.entries.len() + STORE_HEADROOM < self.plan.max_connections;
        if !always_admitted && !self.has_capacity(class) {
            return self.refuse(class, now);
        }
        let mut evicted = None;
        if self.active_count() >= self.plan.limit {
            evicted = self.evict_one(now);
            if evicted.is_none() && !always_admitted {
                return self.refuse(class, now);
            }
        }
        let phase = Phase::Busy;
        let id = self.entries.insert(Entry { class, phase });
        let usage = &mut self.usage[class];
        usage.open += 1;
        usage.peak = usage.peak.max(usage.open);
        self.peak = self.peak.max(self.entries.len());
        Output::Granted(id, evicted)
    }

    /// Records a refusal of the class and returns [`Output::Refused`].
    fn refuse(&mut self, class: Class, now: Micros) -> Output {
        let usage = &mut self.usage[class];
        usage.refused += 1;
        usage.last_refused = Some(now);
        Output::Refused
    }

    /// Evicts the longest idle connection of the first class, in eviction order, whose longest idle
    /// connection has reached the minimum idle time of the class. Returns `None` if there is no
    /// such connection or too many evicted connections are still open.
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
        let (class, id) = eviction_order.into_iter().find_map(|class| {
            let (since, id) = *self.idle[class].first()?;
            (now - since >= min_idle(class)?).then_some((class, id))
        })?;
        self.set_phase(id, class, Phase::Evicted);
        self.usage[class].evicted += 1;
        Some(id)
    }

    /// Marks the connection as busy with a request of the class, or refuses a request of a user for
    /// lack of capacity.
    fn start_request(&mut self, id: ConnectionId, class: Class, now: Micros) -> Output {
        let Some(entry) = self.entries.get(id).copied() else {
            return Output::Overloaded;
        };
        if entry.phase == Phase::Evicted {
            // The request arrived at the same time as the eviction: the request is served, and the
            // connection closes after the response.
            return Output::Proceed;
        }
        // Only requests of users are refused: heartbeats keep the leases of tasks alive, and health
        // probes need a response.
        let already_counted = entry.class == class && !matches!(entry.phase, Phase::Idle(_));
        let over_capacity = class == Class::Users && !already_counted && !self.has_capacity(class);
        self.set_phase(id, class, Phase::Busy);
        if over_capacity {
            self.refuse(class, now);
            return Output::Overloaded;
        }
        Output::Proceed
    }

    /// Marks the connection as idle, or returns [`Output::Close`] above the keep-alive limit.
    fn finish_request(&mut self, id: ConnectionId, now: Micros) -> Output {
        let Some(entry) = self.entries.get(id).copied() else {
            return Output::Close;
        };
        if entry.phase == Phase::Evicted {
            return Output::Close;
        }
        let class = entry.class;
        let guaranteed = !Self::is_reconnectable(class)
            && (self.usage[class].open <= self.plan.guaranteed[class] || class == Class::State);
        if self.active_count() > self.plan.keep_alive_limit && !guaranteed {
            return Output::Close;
        }
        self.set_phase(id, class, Phase::Idle(now));
        Output::KeepAlive
    }
}
