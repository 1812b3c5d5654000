//! The account of a process's sockets. Owns every connection that the process has, by class and
//! phase; every change goes through [`ConnectionBudget::apply`].
//!
//! A class always gets what it is guaranteed. Beyond, it gets what nobody else is guaranteed or
//! holds. What is idle and can be had again holds nothing: when all sockets are in use it makes
//! way, the oldest first, connections to workers and controllers before those of users. Connections
//! of workers make way only when they are overdue, for a worker that has gone elsewhere says
//! nothing; those to the state service never do.

use crate::plan::{BudgetPlan, Class};
use enum_map::{EnumMap, enum_map};
use jasperhill_wire::Micros;
use slotmap::SlotMap;
use std::collections::BTreeSet;

slotmap::new_key_type! {
    /// One connection.
    pub struct ConnectionId;
}

/// What goes on on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is under way, or the connection is coming about.
    Busy,
    /// Open, and nothing is under way since then.
    Idle(Micros),
    /// Told to close; it will in this turn of the loop.
    Leaving,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    class: Class,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A connection is wanted, or was accepted.
    Open(Class),
    /// A request is under way on it; what it is for is known by now.
    RequestStarted(ConnectionId, Class),
    /// Nothing is under way any more.
    RequestFinished(ConnectionId),
    /// It is closed.
    Closed(ConnectionId),
}

/// What follows for whoever asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// There is a socket. If another one has to make way first, that one.
    Granted(ConnectionId, Option<ConnectionId>),
    /// There is none: to be closed or not to be opened.
    Refused,
    /// The request may be carried out.
    Proceed,
    /// It may not: an answer that says so, and the end of the connection.
    Overloaded,
    /// The connection may stay open.
    KeepAlive,
    /// It closes with this answer.
    Close,
    /// Nothing to say.
    Recorded,
}

/// What a class has come to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassUsage {
    pub open: usize,
    pub idle: usize,
    /// The most at a time, ever.
    pub peak: usize,
    pub guaranteed: usize,
    /// Connections refused, requests refused, and connections closed to make way, ever.
    pub refused: u64,
    pub evicted: u64,
    /// When somebody was last refused.
    pub last_refused: Option<Micros>,
}

/// More connections than this are not told to close at a time.
const LEAVING_MAX: usize = 64;
/// One in so many of the places for workers is lent to others while it is not needed.
const LENT: usize = 4;
/// Accepted connections that say nothing make way after this long.
const SPEECHLESS: Micros = Micros::from_secs(1);

#[derive(Debug)]
pub struct ConnectionBudget {
    plan: BudgetPlan,
    /// A worker that has said nothing for so long has gone elsewhere.
    overdue: Micros,
    entries: SlotMap<ConnectionId, Entry>,
    idle: EnumMap<Class, BTreeSet<(Micros, ConnectionId)>>,
    leaving: usize,
    peak: usize,
    reports: EnumMap<Class, ClassUsage>,
}

impl ConnectionBudget {
    /// `overdue`: the time after which a silent worker's connection may make way.
    pub fn new(plan: BudgetPlan, overdue: Micros) -> Self {
        Self {
            plan,
            overdue,
            entries: SlotMap::with_key(),
            idle: enum_map! { _ => BTreeSet::new() },
            leaving: 0,
            peak: 0,
            reports: enum_map! { _ => ClassUsage::default() },
        }
    }

    pub fn plan(&self) -> &BudgetPlan {
        &self.plan
    }

    /// Another number of machines is known.
    pub fn resize(&mut self, plan: BudgetPlan) {
        self.plan = plan;
    }

    /// All that are open, and the most at a time.
    pub fn open(&self) -> usize {
        self.entries.len()
    }
    pub fn peak(&self) -> usize {
        self.peak
    }

    pub fn report(&self, class: Class) -> ClassUsage {
        ClassUsage {
            idle: self.idle[class].len(),
            guaranteed: self.plan.guaranteed[class],
            ..self.reports[class]
        }
    }

    /// The one function that changes it.
    pub fn apply(&mut self, input: Input, now: Micros) -> Output {
        match input {
            Input::Open(class) => self.come(class, now),
            Input::RequestStarted(key, class) => self.begin(key, class, now),
            Input::RequestFinished(key) => self.end(key, now),
            Input::Closed(key) => {
                if let Some(entry) = self.entries.remove(key) {
                    self.leave(key, entry);
                    self.reports[entry.class].open -= 1;
                }
                Output::Recorded
            }
        }
    }

    /// Takes a connection out of whatever its phase keeps of it.
    fn leave(&mut self, key: ConnectionId, entry: Entry) {
        match entry.phase {
            Phase::Idle(since) => {
                self.idle[entry.class].remove(&(since, key));
            }
            Phase::Leaving => self.leaving -= 1,
            Phase::Busy => {}
        }
    }

    fn set(&mut self, key: ConnectionId, class: Class, phase: Phase) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let was = std::mem::replace(entry, Entry { class, phase });
        self.leave(key, was);
        self.reports[was.class].open -= 1;
        let report = &mut self.reports[class];
        report.open += 1;
        report.peak = report.peak.max(report.open);
        match phase {
            Phase::Idle(since) => {
                self.idle[class].insert((since, key));
            }
            Phase::Leaving => self.leaving += 1,
            Phase::Busy => {}
        }
    }

    /// Idle ones hold nothing, since they can be had again.
    fn gives_way(class: Class) -> bool {
        matches!(class, Class::Peers | Class::Commands | Class::Users)
    }

    fn held(&self, class: Class) -> usize {
        let idle = if Self::gives_way(class) {
            self.idle[class].len()
        } else {
            0
        };
        self.reports[class].open - idle
    }

    /// What the others leave to a class that does not need it now. Guards against reports that are
    /// not passed on, and connections between controllers that are refused, while most places stand
    /// empty for workers who are elsewhere: what is passed on is over in seconds.
    fn reserved(&self, class: Class) -> usize {
        let floor = self.plan.guaranteed[class];
        match class {
            Class::Heartbeats => floor - floor / LENT,
            _ => floor,
        }
    }

    /// Whether one more may be held: it is guaranteed, or nobody else is guaranteed or holds it.
    fn may_hold(&self, class: Class) -> bool {
        let guaranteed = |classes: &[Class]| {
            let held: usize = classes.iter().map(|c| self.held(*c)).sum();
            held < classes.iter().map(|c| self.plan.guaranteed[*c]).sum()
        };
        // Most of what comes in are workers who have not said so yet. Guards against a door that
        // is too narrow for a whole fleet that comes at once.
        if guaranteed(&[class])
            || (class == Class::Accepted && guaranteed(&[Class::Accepted, Class::Heartbeats]))
        {
            return true;
        }
        let taken: usize = Class::ALL
            .into_iter()
            .map(|c| self.held(c).max(self.reserved(c)))
            .sum();
        taken < self.plan.bound
    }

    /// Connections that were told to close are as good as closed.
    fn in_use(&self) -> usize {
        self.entries.len() - self.leaving
    }

    fn come(&mut self, class: Class, now: Micros) -> Output {
        // Guards against a session that lapses for want of a socket: the state service's few
        // connections are bounded by their callers, and come out of what is kept free.
        let always = class == Class::State && self.entries.len() + 4 < self.plan.most;
        if !always && !self.may_hold(class) {
            return self.refuse(class, now);
        }
        let mut gone = None;
        if self.in_use() >= self.plan.bound {
            gone = self.make_way(now);
            if gone.is_none() && !always {
                return self.refuse(class, now);
            }
        }
        let phase = Phase::Busy;
        let key = self.entries.insert(Entry { class, phase });
        let report = &mut self.reports[class];
        report.open += 1;
        report.peak = report.peak.max(report.open);
        self.peak = self.peak.max(self.entries.len());
        Output::Granted(key, gone)
    }

    fn refuse(&mut self, class: Class, now: Micros) -> Output {
        let report = &mut self.reports[class];
        report.refused += 1;
        report.last_refused = Some(now);
        Output::Refused
    }

    /// The one that makes way: the oldest idle one of the first class that has any.
    fn make_way(&mut self, now: Micros) -> Option<ConnectionId> {
        if self.leaving >= LEAVING_MAX {
            return None;
        }
        let after = |class: Class| match class {
            Class::Commands | Class::Peers | Class::Users => Some(Micros::ZERO),
            Class::Accepted => Some(SPEECHLESS),
            Class::Heartbeats => Some(self.overdue),
            Class::Health | Class::Mesh => Some(self.overdue + self.overdue),
            Class::State | Class::Cloud => None,
        };
        let order = [
            Class::Commands,
            Class::Peers,
            Class::Accepted,
            Class::Heartbeats,
            Class::Users,
            Class::Health,
            Class::Mesh,
        ];
        let (class, key) = order.into_iter().find_map(|class| {
            let (since, key) = *self.idle[class].first()?;
            (now - since >= after(class)?).then_some((class, key))
        })?;
        self.set(key, class, Phase::Leaving);
        self.reports[class].evicted += 1;
        Some(key)
    }

    fn begin(&mut self, key: ConnectionId, class: Class, now: Micros) -> Output {
        let Some(entry) = self.entries.get(key).copied() else {
            return Output::Overloaded;
        };
        if entry.phase == Phase::Leaving {
            // Its request came in the same moment: it is carried out, and closes after.
            return Output::Proceed;
        }
        // Only users are told to come back: workers' reports keep tasks alive, and whoever asks
        // for health is to be told.
        let holds = entry.class == class && !matches!(entry.phase, Phase::Idle(_));
        let full = class == Class::Users && !holds && !self.may_hold(class);
        self.set(key, class, Phase::Busy);
        if full {
            self.refuse(class, now);
            return Output::Overloaded;
        }
        Output::Proceed
    }

    fn end(&mut self, key: ConnectionId, now: Micros) -> Output {
        let Some(entry) = self.entries.get(key).copied() else {
            return Output::Close;
        };
        if entry.phase == Phase::Leaving {
            return Output::Close;
        }
        let class = entry.class;
        let guaranteed = !Self::gives_way(class)
            && (self.reports[class].open <= self.plan.guaranteed[class] || class == Class::State);
        if self.in_use() > self.plan.soft && !guaranteed {
            return Output::Close;
        }
        self.set(key, class, Phase::Idle(now));
        Output::KeepAlive
    }
}
