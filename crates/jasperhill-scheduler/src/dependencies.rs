//! Pipelines: which unfinished jobs may start, which wait for others, and which are cancelled
//! because a job before them is. Owns what follows from the job records alone, so that every
//! controller comes to the same answer whether or not anybody has written it yet. Every change
//! goes through [`DependencyGraph::apply`].

use jasperhill_wire::{JobId, Micros, user::Priority};
use std::collections::{BTreeSet, HashMap};

/// How an unfinished job stands to the jobs that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All that it needs is done.
    Ready,
    /// Some job that it depends on is not done.
    Waiting,
    /// A job before it is cancelled, and so is this one, for good.
    Doomed,
}

/// What the records say of a job that another one needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// Not seen yet, or unfinished.
    Open,
    /// Its record says that it is done.
    Done,
    /// Its record says that it is cancelled.
    Cancelled,
}

/// What of a job passes backwards to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobUrgency {
    /// By the time of day, which means the same to all controllers.
    pub due: Option<Micros>,
    /// How long it takes once it may start.
    pub span: Micros,
    /// Its own priority.
    pub priority: Priority,
}

/// What the jobs after one leave it: by when it should be done, and the most important of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InheritedUrgency {
    /// By when it should be done, by the time of day.
    pub due: Option<Micros>,
    /// The priority of the most important job that depends on it.
    pub priority: Option<Priority>,
}

impl InheritedUrgency {
    fn with(self, other: Self) -> Self {
        fn least<T: Ord>(a: Option<T>, b: Option<T>) -> Option<T> {
            match (a, b) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            }
        }
        Self {
            due: least(self.due, other.due),
            priority: least(self.priority, other.priority),
        }
    }
}

/// What changes the graph.
pub enum Input<'a> {
    /// The record of an unfinished job is seen for the first time. `fate` is what the records
    /// say of another job, now.
    Accepted {
        /// The job.
        id: &'a JobId,
        /// What it depends on.
        needs: &'a [JobId],
        /// What passes back to those.
        terms: JobUrgency,
        /// What the records say of another job, now.
        fate: &'a dyn Fn(&JobId) -> RecordedOutcome,
    },
    /// The record of a job has become final.
    Ended {
        /// The job.
        id: &'a JobId,
        /// It is done; else it is cancelled.
        done: bool,
    },
}

/// What became of other jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// It waited and may start now.
    Released(JobId),
    /// A job that it depends on is cancelled, and so is this one.
    Doomed(JobId),
    /// The jobs after it leave it something else.
    UrgencyChanged(JobId),
}

/// A job that others need, or that needs others.
#[derive(Debug, Default)]
struct Node {
    /// What it needs that is not done.
    left: BTreeSet<JobId>,
    /// Unfinished jobs that need it.
    dependents: BTreeSet<JobId>,
    doomed: bool,
    claim: InheritedUrgency,
    /// `None`: its own record has not been seen.
    terms: Option<JobUrgency>,
}

/// Claims passed on by one event, at most: they are only an order of preference.
const CLAIMS_MAX: usize = 4_000;
/// Jobs looked at for one estimate, at most.
const LOOK_MAX: usize = 2_000;

/// Unfinished jobs that depend on others, and those that they depend on.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
    doomed: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Of an unfinished job.
    pub fn state_of(&self, id: &JobId) -> DependencyState {
        match self.nodes.get(id) {
            Some(node) if node.doomed => DependencyState::Doomed,
            Some(node) if !node.left.is_empty() => DependencyState::Waiting,
            _ => DependencyState::Ready,
        }
    }

    /// What the jobs that depend on this one leave it.
    pub fn inherited_urgency(&self, id: &JobId) -> InheritedUrgency {
        self.nodes.get(id).map(|n| n.claim).unwrap_or_default()
    }

    /// Unfinished jobs wait for this one.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|n| !n.dependents.is_empty())
    }

    /// Unfinished jobs whose own records do not say yet that they are cancelled.
    pub fn cancelled_upstream(&self) -> impl Iterator<Item = &JobId> {
        self.doomed.iter()
    }

    /// The one function that changes the chain.
    pub fn apply(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Accepted {
                id,
                needs,
                terms,
                fate,
            } => self.accepted(id, needs, terms, fate, &mut outputs),
            Input::Ended { id, done } => self.ended(id, done, &mut outputs),
        }
        outputs
    }

    fn accepted(
        &mut self,
        id: &JobId,
        needs: &[JobId],
        terms: JobUrgency,
        fate: &dyn Fn(&JobId) -> RecordedOutcome,
        outputs: &mut Vec<Output>,
    ) {
        if needs.is_empty() {
            if let Some(node) = self.nodes.get_mut(id) {
                node.terms = Some(terms);
            }
            return;
        }
        let mut doomed = false;
        let mut left = BTreeSet::new();
        // A job can't need itself: it was not accepted before.
        for need in needs.iter().filter(|n| *n != id) {
            match fate(need) {
                RecordedOutcome::Done => {}
                RecordedOutcome::Cancelled => doomed = true,
                RecordedOutcome::Open => {
                    let node = self.nodes.entry(need.clone()).or_default();
                    node.dependents.insert(id.clone());
                    doomed |= node.doomed;
                    left.insert(need.clone());
                }
            }
        }
        let node = self.nodes.entry(id.clone()).or_default();
        node.terms = Some(terms);
        node.left = left;
        if doomed {
            self.cancel_dependents(id, outputs);
        } else {
            self.propagate_urgency(id, outputs);
        }
    }

    fn ended(&mut self, id: &JobId, done: bool, outputs: &mut Vec<Output>) {
        self.doomed.remove(id);
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        for need in &node.left {
            if let Some(before) = self.nodes.get_mut(need) {
                before.dependents.remove(id);
            }
            self.recompute_urgency(need, outputs);
        }
        for after in &node.dependents {
            if !done {
                self.cancel_dependents(after, outputs);
            } else if let Some(later) = self.nodes.get_mut(after)
                && later.left.remove(id)
                && later.left.is_empty()
                && !later.doomed
            {
                outputs.push(Output::Released(after.clone()));
            }
        }
    }

    /// Cancels a job and all that need it, each once.
    fn cancel_dependents(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut node.doomed, true) {
                continue;
            }
            next.extend(node.dependents.iter().cloned());
            self.doomed.insert(id.clone());
            outputs.push(Output::Doomed(id));
        }
    }

    /// What this job leaves those that it needs.
    fn passed_on(&self, id: &JobId) -> InheritedUrgency {
        let Some((node, terms)) = self.nodes.get(id).and_then(|n| Some((n, n.terms?))) else {
            return InheritedUrgency::default();
        };
        if node.doomed {
            return InheritedUrgency::default();
        }
        let own = InheritedUrgency {
            due: terms.due,
            priority: Some(terms.priority),
        };
        let all = node.claim.with(own);
        InheritedUrgency {
            due: all.due.map(|due| due - terms.span),
            ..all
        }
    }

    /// Carries a job's claim back to all before it.
    fn propagate_urgency(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut next = vec![id.clone()];
        let mut steps = 0;
        while let Some(id) = next.pop() {
            let left = self.passed_on(&id);
            let before = self.nodes.get(&id).map(|n| &n.left);
            let before: Vec<JobId> = before.into_iter().flatten().cloned().collect();
            for need in before {
                steps += 1;
                if steps > CLAIMS_MAX {
                    return;
                }
                if let Some(node) = self.nodes.get_mut(&need)
                    && node.claim.with(left) != node.claim
                {
                    node.claim = node.claim.with(left);
                    outputs.push(Output::UrgencyChanged(need.clone()));
                    next.push(need);
                }
            }
        }
    }

    /// A job after this one is gone: what is left to claim of it and of those before it.
    fn recompute_urgency(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut next = vec![id.clone()];
        let mut steps = 0;
        while let Some(id) = next.pop() {
            let Some(node) = self.nodes.get(&id) else {
                continue;
            };
            steps += 1 + node.dependents.len();
            if steps > CLAIMS_MAX {
                return;
            }
            let claim = node
                .dependents
                .iter()
                .fold(InheritedUrgency::default(), |all, a| {
                    all.with(self.passed_on(a))
                });
            let idle = node.dependents.is_empty() && node.left.is_empty() && !node.doomed;
            if claim != node.claim {
                next.extend(node.left.iter().cloned());
                outputs.push(Output::UrgencyChanged(id.clone()));
            }
            if idle {
                self.nodes.remove(&id);
            } else if let Some(node) = self.nodes.get_mut(&id) {
                node.claim = claim;
            }
        }
    }

    /// How long until all that a job needs is expected to be done. `rest`: how long a job that may
    /// run takes from now on, or any job once it may. Too many to look at: what was seen so far.
    pub fn time_until_ready(&self, needs: &[JobId], rest: impl Fn(&JobId) -> Micros) -> Micros {
        let mut known: HashMap<&JobId, Micros> = HashMap::new();
        let mut next: Vec<(&JobId, bool)> = needs.iter().map(|n| (n, false)).collect();
        let mut looked = 0;
        while let Some((id, seen)) = next.pop() {
            if known.contains_key(id) {
                continue;
            }
            let left = self.nodes.get(id).map(|n| &n.left);
            looked += 1 + left.map_or(0, BTreeSet::len);
            if !seen && looked <= LOOK_MAX && left.is_some_and(|l| !l.is_empty()) {
                next.push((id, true));
                next.extend(left.into_iter().flatten().map(|n| (n, false)));
                continue;
            }
            let before = left.into_iter().flatten().filter_map(|n| known.get(n));
            let before = before.copied().max().unwrap_or_default();
            known.insert(id, before + rest(id));
        }
        let all = needs.iter().filter_map(|n| known.get(n));
        all.copied().max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
