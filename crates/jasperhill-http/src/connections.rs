//! The connection tracker: applies the decisions of the connection budget to actual connections.
//!
//! [`ConnectionTracker`] owns the [`ConnectionBudget`] of the process and the callbacks that close
//! evicted idle connections. The client and the server hold a [`ConnectionPermit`] for each connection.
//! Single-threaded: no borrow of the shared state is held while a callback runs.

use jasperhill_connections::{
    BudgetPlan, Class, ClassUsage, ConnectionBudget, ConnectionId, Input, Output, PlanInputs,
};
use jasperhill_wire::Micros;
use slotmap::SecondaryMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// The time that the budget sees when the tracker is created. The value does not matter, because the
/// budget only compares times.
const BUDGET_CLOCK_START: Micros = Micros::from_secs(3_600);

/// A callback that closes one idle connection.
type CloseCallback = Rc<dyn Fn()>;

/// The state shared by all clones of a [`ConnectionTracker`].
struct TrackerState {
    /// The creation time of the tracker, which the budget sees as [`BUDGET_CLOCK_START`].
    created_at: Instant,
    budget: RefCell<ConnectionBudget>,
    /// The callback of each idle connection, called when the connection is evicted.
    close_callbacks: RefCell<SecondaryMap<ConnectionId, CloseCallback>>,
    /// The inputs of the current plan of the budget.
    plan_inputs: RefCell<PlanInputs>,
}

/// A handle that admits and counts the connections of this process. Clones share the same budget.
#[derive(Clone)]
pub struct ConnectionTracker(Rc<TrackerState>);

/// The numbers of connections of a process, summed over all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTotals {
    /// The number of connections that are open now.
    pub open: usize,
    /// The maximum number of connections that were open at the same time.
    pub peak: usize,
    /// The number of connections that the platform allows the process.
    pub max_connections: usize,
}

/// The admission of one open connection. Dropping the permit reports the connection as closed.
pub struct ConnectionPermit {
    tracker: ConnectionTracker,
    id: ConnectionId,
}

impl ConnectionTracker {
    /// Creates a tracker without connections. A connection of a worker may be evicted after it has been
    /// idle for `worker_idle_timeout`.
    pub fn new(plan_inputs: PlanInputs, worker_idle_timeout: Duration) -> Self {
        let worker_idle_timeout = Micros(
            worker_idle_timeout
                .as_micros()
                .try_into()
                .unwrap_or(u64::MAX),
        );
        Self(Rc::new(TrackerState {
            created_at: Instant::now(),
            budget: RefCell::new(ConnectionBudget::new(
                BudgetPlan::new(plan_inputs),
                worker_idle_timeout,
            )),
            close_callbacks: RefCell::new(SecondaryMap::new()),
            plan_inputs: RefCell::new(plan_inputs),
        }))
    }

    /// Returns the current time on the clock of the budget.
    fn now(&self) -> Micros {
        let elapsed = self.0.created_at.elapsed().as_micros();
        BUDGET_CLOCK_START + Micros(elapsed.try_into().unwrap_or(u64::MAX))
    }

    /// Applies one input to the budget and returns the decision.
    fn apply(&self, input: Input) -> Output {
        let now = self.now();
        self.0.budget.borrow_mut().apply(input, now)
    }

    /// Admits one more connection of the class; returns `None` if there is no capacity. If the budget
    /// evicts an idle connection to make room, that connection is closed first.
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

    /// Sets the number of known machines and recomputes the plan of the budget if the number changed.
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

    /// Returns the current usage of one class.
    pub fn usage(&self, class: Class) -> ClassUsage {
        self.0.budget.borrow().usage(class)
    }

    /// Returns the numbers of connections summed over all classes.
    pub fn totals(&self) -> ConnectionTotals {
        let budget = self.0.budget.borrow();
        ConnectionTotals {
            open: budget.open(),
            peak: budget.peak(),
            max_connections: budget.plan().max_connections,
        }
    }

    /// Returns the classes in which a connection or a request was refused less than `within` ago, for
    /// the readiness response and logs.
    pub fn recently_refused(&self, within: Duration) -> Vec<Class> {
        let now = self.now();
        let within = Micros(within.as_micros().try_into().unwrap_or(u64::MAX));
        let is_recent = |class: &Class| {
            let last_refused = self.usage(*class).last_refused;
            last_refused.is_some_and(|refused_at| now - refused_at < within)
        };
        Class::ALL.into_iter().filter(is_recent).collect()
    }
}

impl ConnectionPermit {
    /// Returns the identifier of the connection in the budget.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Reports that a request of the class starts on the connection. Returns false if the request must
    /// not be executed because there is no capacity.
    pub fn start_request(&self, class: Class) -> bool {
        self.tracker.0.close_callbacks.borrow_mut().remove(self.id);
        self.tracker.apply(Input::RequestStarted(self.id, class)) != Output::Overloaded
    }

    /// Reports that the request has finished. Returns true if the connection is kept alive; `close` is
    /// then called if the connection is evicted before the next request starts.
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
