//! The face of the account of sockets: tickets that connections hold, and the way to those that
//! have to make way. What is decided stands in `jasperhill-connections`.

use jasperhill_connections::{Account, Class, Input, Key, Output, Plan, Report, Sizes};
use jasperhill_wire::Micros;
use slotmap::SecondaryMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::Instant;

type Hook = Rc<dyn Fn()>;

struct Shared {
    origin: Instant,
    account: RefCell<Account>,
    /// What closes an idle connection that has to make way.
    hooks: RefCell<SecondaryMap<Key, Hook>>,
    sizes: RefCell<Sizes>,
}

/// All connections of this process.
#[derive(Clone)]
pub struct Sockets(Rc<Shared>);

/// A place in the account, given back when dropped.
pub struct Ticket {
    sockets: Sockets,
    key: Key,
}

impl Sockets {
    /// `overdue`: when a silent worker's connection may make way.
    pub fn new(sizes: Sizes, overdue: Duration) -> Self {
        let overdue = Micros(overdue.as_micros().try_into().unwrap_or(u64::MAX));
        Self(Rc::new(Shared {
            origin: Instant::now(),
            account: RefCell::new(Account::new(Plan::new(sizes), overdue)),
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
    pub fn open(&self, class: Class) -> Option<Ticket> {
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
        Some(Ticket { sockets, key })
    }

    /// So many machines are known.
    pub fn resize(&self, machines: usize) {
        let mut sizes = self.0.sizes.borrow_mut();
        if sizes.machines != machines {
            sizes.machines = machines;
            self.0.account.borrow_mut().resize(Plan::new(*sizes));
        }
    }

    pub fn report(&self, class: Class) -> Report {
        self.0.account.borrow().report(class)
    }

    /// All open ones, the most at a time, and the platform's limit.
    pub fn totals(&self) -> (usize, usize, usize) {
        let account = self.0.account.borrow();
        (account.open(), account.peak(), account.plan().most)
    }

    /// The classes in which somebody was refused within this time.
    pub fn at_bound(&self, within: Duration) -> Vec<Class> {
        let now = self.now();
        let within = Micros(within.as_micros().try_into().unwrap_or(u64::MAX));
        let lately = |c: &Class| {
            let last = self.report(*c).last_refused;
            last.is_some_and(|t| now - t < within)
        };
        Class::ALL.into_iter().filter(lately).collect()
    }
}

impl Ticket {
    pub fn key(&self) -> Key {
        self.key
    }

    /// A request is under way; false if there is no room to carry it out.
    pub fn begins(&self, class: Class) -> bool {
        self.sockets.0.hooks.borrow_mut().remove(self.key);
        self.sockets.apply(Input::Begins(self.key, class)) != Output::Full
    }

    /// Nothing is under way; true if the connection may stay open. `close` is called when it has
    /// to make way before the next request begins.
    pub fn ends(&self, close: impl Fn() + 'static) -> bool {
        let stays = self.sockets.apply(Input::Ends(self.key)) == Output::Stays;
        if stays {
            let mut hooks = self.sockets.0.hooks.borrow_mut();
            hooks.insert(self.key, Rc::new(close));
        }
        stays
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.sockets.0.hooks.borrow_mut().remove(self.key);
        self.sockets.apply(Input::Closed(self.key));
    }
}
