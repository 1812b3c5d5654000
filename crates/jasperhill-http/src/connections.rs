//! The connection tracker: applies the decisions of the connection budget to actual connections.
//!
//! [`ConnectionTracker`] owns the [`ConnectionBudget`] of the process and the callbacks that close
//! idle connections when they are evicted. The client and the server hold a [`ConnectionPermit`] for
//! each connection. Single-threaded: no borrow is held while a callback runs.

use jasperhill_connections::{
    BudgetPlan, Class, ClassUsage, ConnectionBudget, ConnectionId, Input, Output, PlanInputs,
};
use jasperhill_wire::Micros;
use slotmap::SecondaryMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// The budget's time at the origin. Any constant would do: the budget only compares times.
const CLOCK_OFFSET: Micros = Micros::from_secs(3_600);

/// Closes an idle connection.
type CloseCallback = Rc<dyn Fn()>;

/// The state behind all handles of one tracker.
struct Shared {
    /// The origin of the times that the budget sees.
    origin: Instant,
    budget: RefCell<ConnectionBudget>,
    /// How to close each idle connection when it is evicted.
    close_callbacks: RefCell<SecondaryMap<ConnectionId, CloseCallback>>,
    plan_inputs: RefCell<PlanInputs>,
}

/// A handle to the connections of this process; clones share the same budget.
#[derive(Clone)]
pub struct ConnectionTracker(Rc<Shared>);

/// The connections of a process, all classes together (counts).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTotals {
    /// Open now.
    pub open: usize,
    /// The most that were open at the same time.
    pub peak: usize,
    /// The most that the platform allows.
    pub max_connections: usize,
}

/// The right to one open connection; dropping it reports the connection as closed.
pub struct ConnectionPermit {
    tracker: ConnectionTracker,
    id: ConnectionId,
}

impl ConnectionTracker {
    /// Creates a tracker without connections. An idle connection of a worker may be evicted after
    /// `worker_idle_timeout`.
    pub fn new(plan_inputs: PlanInputs, worker_idle_timeout: Duration) -> Self {
        let worker_idle_timeout = Micros(
            worker_idle_timeout
                .as_micros()
                .try_into()
                .unwrap_or(u64::MAX),
        );
        Self(Rc::new(Shared {
            origin: Instant::now(),
            budget: RefCell::new(ConnectionBudget::new(
                BudgetPlan::new(plan_inputs),
                worker_idle_timeout,
            )),
            close_callbacks: RefCell::new(SecondaryMap::new()),
            plan_inputs: RefCell::new(plan_inputs),
        }))
    }

    fn now(&self) -> Micros {
        let elapsed = self.0.origin.elapsed().as_micros();
        CLOCK_OFFSET + Micros(elapsed.try_into().unwrap_or(u64::MAX))
    }

    fn apply(&self, input: Input) -> Output {
        let now = self.now();
        self.0.budget.borrow_mut().apply(input, now)
    }

    /// Admits one more connection of the class; `None` if there is no capacity. An idle connection
    /// that is evicted for it is closed first.
    pub fn open(&self, class: Class) -> Option<ConnectionPermit> {
        let Output::Granted(id, evicted) = self.apply(Input::Open(class)) else {
            return None;
        };
        if let Some(evicted) = evicted {
            let callback = self.0.close_callbacks.borrow_mut().remove(evicted);
            if let Some(close) = callback {
                close();
            }
        }
        let tracker = self.clone();
        Some(ConnectionPermit { tracker, id })
    }

    /// Recomputes the plan for this number of known machines.
    pub fn resize(&self, machines: usize) {
        let mut plan_inputs = self.0.plan_inputs.borrow_mut();
        if plan_inputs.machines != machines {
            plan_inputs.machines = machines;
            self.0
                .budget
                .borrow_mut()
                .replace_plan(BudgetPlan::new(*plan_inputs));
        }
    }

    /// The usage of one class.
    pub fn usage(&self, class: Class) -> ClassUsage {
        self.0.budget.borrow().usage(class)
    }

    /// The connections of all classes together.
    pub fn totals(&self) -> ConnectionTotals {
        let budget = self.0.budget.borrow();
        ConnectionTotals {
            open: budget.open(),
            peak: budget.peak(),
            max_connections: budget.plan().max_connections,
        }
    }

    /// The classes in which a connection or request was refused within this time, for readiness
    /// and logs.
    pub fn recently_refused(&self, within: Duration) -> Vec<Class> {
        let now = self.now();
        let within = Micros(within.as_micros().try_into().unwrap_or(u64::MAX));
        let is_recent = |class: &Class| {
            let last_refused = self.usage(*class).last_refused;
            last_refused.is_some_and(|at| now - at < within)
        };
        Class::ALL.into_iter().filter(is_recent).collect()
    }
}

impl ConnectionPermit {
    /// Identifies the connection in the budget.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Reports that a request starts on the connection; false if it must not be executed for want
    /// of capacity.
    pub fn start_request(&self, class: Class) -> bool {
        self.tracker.0.close_callbacks.borrow_mut().remove(self.id);
        self.tracker.apply(Input::RequestStarted(self.id, class)) != Output::Overloaded
    }

    /// Reports that the request has finished; true if the connection is kept alive. `close` is
    /// called if the connection is evicted before the next request starts.
    pub fn finish_request(&self, close: impl Fn() + 'static) -> bool {
        let keep_alive = self.tracker.apply(Input::RequestFinished(self.id)) == Output::KeepAlive;
        if keep_alive {
            let mut close_callbacks = self.tracker.0.close_callbacks.borrow_mut();
            close_callbacks.insert(self.id, Rc::new(close));
        }
        keep_alive
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.tracker.0.close_callbacks.borrow_mut().remove(self.id);
        self.tracker.apply(Input::Closed(self.id));
    }
}
