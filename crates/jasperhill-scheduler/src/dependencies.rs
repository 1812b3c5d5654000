//! Dependencies between jobs: which unfinished jobs may start, which wait for other jobs, and which
//! are cancelled because a job that they depend on is cancelled.
//!
//! [`DependencyGraph`] derives all state from the job records alone, so that every controller
//! arrives at the same result, even before the resulting cancellations are written to the records.
//! Every change goes through [`DependencyGraph::apply`].

use jasperhill_wire::{JobId, Micros, user::Priority};
use std::collections::{BTreeSet, HashMap};

/// State of an unfinished job with regard to the jobs that it depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All dependencies of the job are done.
    Ready,
    /// At least one dependency of the job is not done.
    Waiting,
    /// The job is cancelled, finally, because a direct or indirect dependency is cancelled.
    UpstreamCancelled,
}

/// Outcome of a job according to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The job is unfinished, or its record has not been seen yet.
    Open,
    /// The record says that the job is done.
    Done,
    /// The record says that the job is cancelled.
    Cancelled,
}

/// Properties of a job from which its dependencies inherit their urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobUrgency {
    /// Deadline in wall-clock time, which is comparable between controllers; `None` if the job has
    /// no deadline.
    pub due: Option<Micros>,
    /// Expected time from when the job may start until it is done.
    pub expected_duration: Micros,
    /// Priority of the job itself.
    pub priority: Priority,
}

/// Urgency that a job inherits from the jobs that depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InheritedUrgency {
    /// Wall-clock time by which the job should be done; `None` if no dependent has a deadline.
    pub due: Option<Micros>,
    /// Priority of the most important dependent; `None` without dependents.
    pub priority: Option<Priority>,
}

impl InheritedUrgency {
    /// Returns the earlier deadline and the higher priority of the two.
    fn merged_with(self, other: Self) -> Self {
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

/// Event that changes the dependency graph.
pub enum Input<'a> {
    /// The record of an unfinished job is seen for the first time.
    Accepted {
        /// Id of the accepted job.
        id: &'a JobId,
        /// Dependencies of the job.
        dependencies: &'a [JobId],
        /// Urgency of the job, which its dependencies inherit.
        urgency: JobUrgency,
        /// Returns the current outcome of another job according to the records.
        recorded_outcome: &'a dyn Fn(&JobId) -> RecordedOutcome,
    },
    /// The record of a job has become final.
    Ended {
        /// Id of the ended job.
        id: &'a JobId,
        /// Whether the job is done; otherwise it is cancelled.
        done: bool,
    },
}

/// Effect of an event on another job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The job was waiting and may start now.
    Released(JobId),
    /// The job is cancelled because one of its dependencies is cancelled.
    UpstreamCancelled(JobId),
    /// The urgency that the job inherits from its dependents has changed.
    UrgencyChanged(JobId),
}

/// Graph node of a job with dependencies or dependents.
#[derive(Debug, Default)]
struct Node {
    /// Dependencies of the job that are not done.
    unfinished_dependencies: BTreeSet<JobId>,
    /// Unfinished jobs that depend on the job.
    dependents: BTreeSet<JobId>,
    /// Whether a direct or indirect dependency of the job is cancelled.
    upstream_cancelled: bool,
    /// Urgency that the job inherits from its dependents.
    inherited: InheritedUrgency,
    /// Urgency of the job itself; `None` until its own record has been seen.
    urgency: Option<JobUrgency>,
}

/// Maximum number of steps for which one event propagates urgency. Stopping early is harmless
/// because urgency only affects the order of jobs.
const MAX_PROPAGATION_STEPS: usize = 4_000;
/// Maximum number of jobs visited by one call of [`DependencyGraph::time_until_ready`].
const MAX_JOBS_VISITED: usize = 2_000;

/// Graph of the unfinished jobs that depend on other jobs, and of the jobs that these depend on.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
    /// Unfinished jobs that are cancelled because of a dependency.
    upstream_cancelled: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Returns the state of an unfinished job.
    pub fn state_of(&self, id: &JobId) -> DependencyState {
        match self.nodes.get(id) {
            Some(node) if node.upstream_cancelled => DependencyState::UpstreamCancelled,
            Some(node) if !node.unfinished_dependencies.is_empty() => DependencyState::Waiting,
            _ => DependencyState::Ready,
        }
    }

    /// Returns the urgency that a job inherits from the jobs that depend on it.
    pub fn inherited_urgency(&self, id: &JobId) -> InheritedUrgency {
        self.nodes.get(id).map(|n| n.inherited).unwrap_or_default()
    }

    /// Returns whether unfinished jobs depend on this job.
    pub fn has_dependents(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|n| !n.dependents.is_empty())
    }

    /// Returns the jobs that are cancelled because of a dependency while their own records do not
    /// say so yet.
    pub fn cancelled_upstream(&self) -> impl Iterator<Item = &JobId> {
        self.upstream_cancelled.iter()
    }

    /// Applies an event and returns its effects on other jobs. Nothing else changes the graph.
    pub fn apply(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Accepted {
                id,
                dependencies,
                urgency,
                recorded_outcome,
            } => self.add_job(id, dependencies, urgency, recorded_outcome, &mut outputs),
            Input::Ended { id, done } => self.remove_job(id, done, &mut outputs),
        }
        outputs
    }

    /// Adds an unfinished job whose record is seen for the first time.
    fn add_job(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        urgency: JobUrgency,
        recorded_outcome: &dyn Fn(&JobId) -> RecordedOutcome,
        outputs: &mut Vec<Output>,
    ) {
        if dependencies.is_empty() {
            if let Some(node) = self.nodes.get_mut(id) {
                node.urgency = Some(urgency);
            }
            return;
        }
        let mut upstream_cancelled = false;
        let mut unfinished_dependencies = BTreeSet::new();
        // A job cannot depend on itself: only jobs accepted earlier can be named.
        for dependency in dependencies.iter().filter(|n| *n != id) {
            match recorded_outcome(dependency) {
                RecordedOutcome::Done => {}
                RecordedOutcome::Cancelled => upstream_cancelled = true,
                RecordedOutcome::Open => {
                    let node = self.nodes.entry(dependency.clone()).or_default();
                    node.dependents.insert(id.clone());
                    upstream_cancelled |= node.upstream_cancelled;
                    unfinished_dependencies.insert(dependency.clone());
                }
            }
        }
        let node = self.nodes.entry(id.clone()).or_default();
        node.urgency = Some(urgency);
        node.unfinished_dependencies = unfinished_dependencies;
        if upstream_cancelled {
            self.cancel_with_dependents(id, outputs);
        } else {
            self.propagate_urgency(id, outputs);
        }
    }

    /// Removes a job whose record has become final.
    fn remove_job(&mut self, id: &JobId, done: bool, outputs: &mut Vec<Output>) {
        self.upstream_cancelled.remove(id);
        let Some(node) = self.nodes.remove(id) else {
            return;
        };
        for dependency in &node.unfinished_dependencies {
            if let Some(dependency) = self.nodes.get_mut(dependency) {
                dependency.dependents.remove(id);
            }
            self.recompute_urgency(dependency, outputs);
        }
        for dependent in &node.dependents {
            if !done {
                self.cancel_with_dependents(dependent, outputs);
            } else if let Some(node) = self.nodes.get_mut(dependent)
                && node.unfinished_dependencies.remove(id)
                && node.unfinished_dependencies.is_empty()
                && !node.upstream_cancelled
            {
                outputs.push(Output::Released(dependent.clone()));
            }
        }
    }

    /// Cancels a job and all its direct and indirect dependents, reporting each of them once.
    fn cancel_with_dependents(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut worklist = vec![id.clone()];
        while let Some(id) = worklist.pop() {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if std::mem::replace(&mut node.upstream_cancelled, true) {
                continue;
            }
            worklist.extend(node.dependents.iter().cloned());
            self.upstream_cancelled.insert(id.clone());
            outputs.push(Output::UpstreamCancelled(id));
        }
    }

    /// Returns the urgency that the dependencies of this job inherit from it.
    fn urgency_for_dependencies(&self, id: &JobId) -> InheritedUrgency {
        let Some((node, urgency)) = self.nodes.get(id).and_then(|n| Some((n, n.urgency?))) else {
            return InheritedUrgency::default();
        };
        if node.upstream_cancelled {
            return InheritedUrgency::default();
        }
        let own = InheritedUrgency {
            due: urgency.due,
            priority: Some(urgency.priority),
        };
        let merged = node.inherited.merged_with(own);
        InheritedUrgency {
            due: merged.due.map(|due| due - urgency.expected_duration),
            ..merged
        }
    }

    /// Propagates a job's urgency to its direct and indirect dependencies.
    fn propagate_urgency(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut worklist = vec![id.clone()];
        let mut steps = 0;
        while let Some(id) = worklist.pop() {
            let urgency = self.urgency_for_dependencies(&id);
            let dependencies = self.nodes.get(&id).map(|n| &n.unfinished_dependencies);
            let dependencies: Vec<JobId> = dependencies.into_iter().flatten().cloned().collect();
            for dependency in dependencies {
                steps += 1;
                if steps > MAX_PROPAGATION_STEPS {
                    return;
                }
                if let Some(node) = self.nodes.get_mut(&dependency)
                    && node.inherited.merged_with(urgency) != node.inherited
                {
                    node.inherited = node.inherited.merged_with(urgency);
                    outputs.push(Output::UrgencyChanged(dependency.clone()));
                    worklist.push(dependency);
                }
            }
        }
    }

    /// Recomputes the inherited urgency of a job and of its dependencies after one of its
    /// dependents has ended, and removes nodes without dependencies and dependents.
    fn recompute_urgency(&mut self, id: &JobId, outputs: &mut Vec<Output>) {
        let mut worklist = vec![id.clone()];
        let mut steps = 0;
        while let Some(id) = worklist.pop() {
            let Some(node) = self.nodes.get(&id) else {
                continue;
            };
            steps += 1 + node.dependents.len();
            if steps > MAX_PROPAGATION_STEPS {
                return;
            }
            let inherited = node
                .dependents
                .iter()
                .fold(InheritedUrgency::default(), |merged, dependent| {
                    merged.merged_with(self.urgency_for_dependencies(dependent))
                });
            let is_isolated = node.dependents.is_empty()
                && node.unfinished_dependencies.is_empty()
                && !node.upstream_cancelled;
            if inherited != node.inherited {
                worklist.extend(node.unfinished_dependencies.iter().cloned());
                outputs.push(Output::UrgencyChanged(id.clone()));
            }
            if is_isolated {
                self.nodes.remove(&id);
            } else if let Some(node) = self.nodes.get_mut(&id) {
                node.inherited = inherited;
            }
        }
    }

    /// Returns the expected time until all `jobs` are done. `remaining_time` returns how
    /// long a job still takes once it may run. The search stops at a fixed number of jobs, and the
    /// result then covers only the jobs visited.
    pub fn time_until_ready(
        &self,
        jobs: &[JobId],
        remaining_time: impl Fn(&JobId) -> Micros,
    ) -> Micros {
        let mut completion_times: HashMap<&JobId, Micros> = HashMap::new();
        let mut worklist: Vec<(&JobId, bool)> = jobs.iter().map(|n| (n, false)).collect();
        let mut visited = 0;
        while let Some((id, is_expanded)) = worklist.pop() {
            if completion_times.contains_key(id) {
                continue;
            }
            let dependencies = self.nodes.get(id).map(|n| &n.unfinished_dependencies);
            visited += 1 + dependencies.map_or(0, BTreeSet::len);
            if !is_expanded
                && visited <= MAX_JOBS_VISITED
                && dependencies.is_some_and(|d| !d.is_empty())
            {
                worklist.push((id, true));
                worklist.extend(dependencies.into_iter().flatten().map(|n| (n, false)));
                continue;
            }
            let dependency_times = dependencies
                .into_iter()
                .flatten()
                .filter_map(|n| completion_times.get(n));
            let ready_in = dependency_times.copied().max().unwrap_or_default();
            completion_times.insert(id, ready_in + remaining_time(id));
        }
        let job_times = jobs.iter().filter_map(|n| completion_times.get(n));
        job_times.copied().max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
