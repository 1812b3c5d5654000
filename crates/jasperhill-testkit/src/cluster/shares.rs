//! Shares of accepted jobs that have begun, by class and by team, and job dependencies.

use super::ClusterState;
use jasperhill_wire::user::JobRequest;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A job accepted longer ago than this is expected to have begun.
const BEGIN_DEADLINE: Duration = Duration::from_secs(90);
/// Time within which one of the largest jobs is expected to begin.
const LARGEST_JOBS_BEGIN_DEADLINE: Duration = Duration::from_secs(240);

impl ClusterState {
    /// Returns, for each class or team, the share of jobs that have begun, among those accepted at
    /// least [`BEGIN_DEADLINE`] ago and not cancelled. Jobs with dependencies are left out because
    /// they wait for other jobs, and broken jobs because they fail.
    pub(crate) fn begun_shares(&self, of: impl Fn(&JobRequest) -> String) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let is_excluded =
                self.invariants.cancel_requested.contains(id) || !job.dependencies.is_empty();
            if is_excluded || job.class.as_str() == "broken" || now - *at < BEGIN_DEADLINE {
                continue;
            }
            let (all, begun) = counts.entry(of(job)).or_default();
            *all += 1;
            *begun += usize::from(self.invariants.first_start.contains_key(id));
        }
        let part = |(all, begun): (usize, usize)| begun as f64 / all as f64;
        let counts = counts.into_iter();
        counts.map(|(name, n)| (name, part(n))).collect()
    }

    /// Returns, for each class, the share of its largest quarter of jobs that began within
    /// [`LARGEST_JOBS_BEGIN_DEADLINE`]. Only jobs count that were accepted at least that long ago
    /// and not cancelled before they began.
    pub(crate) fn largest_jobs_begun_shares(&self) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut classes: BTreeMap<String, Vec<(u32, bool)>> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let begun = self.invariants.first_start.get(id);
            let is_excluded = !job.dependencies.is_empty() || job.class.as_str() == "broken";
            let cancelled_before_begin =
                begun.is_none() && self.invariants.cancel_requested.contains(id);
            if is_excluded || cancelled_before_begin || now - *at < LARGEST_JOBS_BEGIN_DEADLINE {
                continue;
            }
            let in_time = begun
                .is_some_and(|t| t.saturating_duration_since(*at) < LARGEST_JOBS_BEGIN_DEADLINE);
            let class_jobs = classes.entry(job.class.to_string()).or_default();
            class_jobs.push((job.tasks, in_time));
        }
        let share = |mut jobs: Vec<(u32, bool)>| {
            jobs.sort_by_key(|(tasks, _)| std::cmp::Reverse(*tasks));
            let smallest_in_quarter = jobs[(jobs.len() - 1) / 4].0;
            jobs.retain(|(tasks, _)| *tasks >= smallest_in_quarter);
            let in_time = jobs.iter().filter(|(_, t)| *t).count();
            in_time as f64 / jobs.len() as f64
        };
        classes
            .into_iter()
            .map(|(name, jobs)| (name, share(jobs)))
            .collect()
    }

    /// Returns all jobs that a job depends on, directly or indirectly.
    pub fn upstream_jobs(&self, id: &str) -> Vec<String> {
        let mut upstream: Vec<String> = Vec::new();
        let mut pending = vec![id.to_owned()];
        while let Some(id) = pending.pop() {
            for dependency in self.jobs.get(&id).iter().flat_map(|j| &j.dependencies) {
                if !upstream.iter().any(|a| a == dependency.as_str()) {
                    upstream.push(dependency.to_string());
                    pending.push(dependency.to_string());
                }
            }
        }
        upstream
    }
}
