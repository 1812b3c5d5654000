//! The face of the account of sockets: tickets that connections hold, and the way to those that
//! have to make way. What is decided stands in `jasperhill-connections`.

use jasperhill_connections::{
    BudgetPlan, Class, ClassUsage, ConnectionBudget, ConnectionId, Input, Output, PlanInputs,
};
use jasperhill_wire::Micros;
use slotmap::SecondaryMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::Instant;

type Hook = Rc<dyn Fn()>;

struct Shared {
    origin: Instant,
    account: RefCell<ConnectionBudget>,
    /// What closes an idle connection that has to make way.
    hooks: RefCell<SecondaryMap<ConnectionId, Hook>>,
    sizes: RefCell<PlanInputs>,
}

/// All connections of this process.
#[derive(Clone)]
pub struct ConnectionTracker(Rc<Shared>);

/// A place in the account, given back when dropped.
pub struct ConnectionPermit {
    sockets: ConnectionTracker,
    key: ConnectionId,
}

impl ConnectionTracker {
    /// `overdue`: when a silent worker's connection may make way.
    pub fn new(sizes: PlanInputs, overdue: Duration) -> Self {
        let overdue = Micros(overdue.as_micros().try_into().unwrap_or(u64::MAX));
        Self(Rc::new(Shared {
            origin: Instant::now(),
            account: RefCell::new(ConnectionBudget::new(BudgetPlan::new(sizes), overdue)),
            hooks: RefCell::new(SecondaryMap::new()),
            sizes: RefCell::new(sizes),
        }))
    }

    fn now(&self) -> Micros {
        let since = self.0.origin.elapsed().as_micros();
        Micros::from_secs(3_600) + Micros(since.try_into().unwrap_or(u64::MAX))
    }

    fn apply(&self, input: Input) -> Output {
        let now = self.now();
        self.0.account.borrow_mut().apply(input, now)
    }

    /// A place for one more connection. Whoever has to make way for it is closed first.
    pub fn open(&self, class: Class) -> Option<ConnectionPermit> {
        let Output::Granted(key, gone) = self.apply(Input::Open(class)) else {
            return None;
        };
        if let Some(gone) = gone {
            let hook = self.0.hooks.borrow_mut().remove(gone);
            if let Some(close) = hook {
                close();
            }
        }
        let sockets = self.clone();
        Some(ConnectionPermit { sockets, key })
    }

    /// So many machines are known.
    pub fn resize(&self, machines: usize) {
        let mut sizes = self.0.sizes.borrow_mut();
        if sizes.machines != machines {
            sizes.machines = machines;
            self.0
                .account
                .borrow_mut()
                .replace_plan(BudgetPlan::new(*sizes));
        }
    }

    pub fn usage(&self, class: Class) -> ClassUsage {
        self.0.account.borrow().usage(class)
    }

    /// All open ones, the most at a time, and the platform's limit.
    pub fn totals(&self) -> (usize, usize, usize) {
        let account = self.0.account.borrow();
        (
            account.open(),
            account.peak(),
            account.plan().max_connections,
        )
    }

    /// The classes in which somebody was refused within this time.
    pub fn at_bound(&self, within: Duration) -> Vec<Class> {
        let now = self.now();
        let within = Micros(within.as_micros().try_into().unwrap_or(u64::MAX));
        let lately = |c: &Class| {
            let last = self.usage(*c).last_refused;
            last.is_some_and(|t| now - t < within)
        };
        Class::ALL.into_iter().filter(lately).collect()
    }
}

impl ConnectionPermit {
    pub fn key(&self) -> ConnectionId {
        self.key
    }

    /// A request is under way; false if there is no room to carry it out.
    pub fn begins(&self, class: Class) -> bool {
        self.sockets.0.hooks.borrow_mut().remove(self.key);
        self.sockets.apply(Input::RequestStarted(self.key, class)) != Output::Overloaded
    }

    /// Nothing is under way; true if the connection may stay open. `close` is called when it has
    /// to make way before the next request begins.
    pub fn ends(&self, close: impl Fn() + 'static) -> bool {
        let stays = self.sockets.apply(Input::RequestFinished(self.key)) == Output::KeepAlive;
        if stays {
            let mut hooks = self.sockets.0.hooks.borrow_mut();
            hooks.insert(self.key, Rc::new(close));
        }
        stays
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.sockets.0.hooks.borrow_mut().remove(self.key);
        self.sockets.apply(Input::Closed(self.key));
    }
}
