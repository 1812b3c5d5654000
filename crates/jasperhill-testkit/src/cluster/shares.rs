//! How large a part of the jobs has begun, by class and by team.

use super::ClusterState;
use jasperhill_wire::user::JobRequest;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A job that was accepted so long before the end should have begun.
const BEGUN_WITHIN: Duration = Duration::from_secs(90);
const LARGEST_WITHIN: Duration = Duration::from_secs(240);

impl ClusterState {
    /// Of the jobs of each class or team that were accepted a while ago and not cancelled, the part
    /// that has begun. Jobs of pipelines wait for others, and broken ones fail.
    pub(crate) fn shares(&self, of: impl Fn(&JobRequest) -> String) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let over = self.rules.asked.contains(id) || !job.dependencies.is_empty();
            if over || job.class.as_str() == "broken" || now - *at < BEGUN_WITHIN {
                continue;
            }
            let (all, begun) = counts.entry(of(job)).or_default();
            *all += 1;
            *begun += usize::from(self.rules.begun.contains_key(id));
        }
        let part = |(all, begun): (usize, usize)| begun as f64 / all as f64;
        let counts = counts.into_iter();
        counts.map(|(name, n)| (name, part(n))).collect()
    }

    /// Of the largest quarter of the jobs of each class, those accepted four minutes ago or more and
    /// not cancelled before they began, the part that began within that.
    pub(crate) fn largest(&self) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut classes: BTreeMap<String, Vec<(u32, bool)>> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let begun = self.rules.begun.get(id);
            let over = !job.dependencies.is_empty() || job.class.as_str() == "broken";
            let left = begun.is_none() && self.rules.asked.contains(id);
            if over || left || now - *at < LARGEST_WITHIN {
                continue;
            }
            let in_time = begun.is_some_and(|t| t.saturating_duration_since(*at) < LARGEST_WITHIN);
            let all = classes.entry(job.class.to_string()).or_default();
            all.push((job.tasks, in_time));
        }
        let share = |mut all: Vec<(u32, bool)>| {
            all.sort_by_key(|(tasks, _)| std::cmp::Reverse(*tasks));
            let least = all[(all.len() - 1) / 4].0;
            all.retain(|(tasks, _)| *tasks >= least);
            let in_time = all.iter().filter(|(_, t)| *t).count();
            in_time as f64 / all.len() as f64
        };
        classes
            .into_iter()
            .map(|(name, all)| (name, share(all)))
            .collect()
    }

    /// All jobs that one needs, directly or through others.
    pub fn upstream_jobs(&self, id: &str) -> Vec<String> {
        let mut all: Vec<String> = Vec::new();
        let mut next = vec![id.to_owned()];
        while let Some(id) = next.pop() {
            for need in self.jobs.get(&id).iter().flat_map(|j| &j.dependencies) {
                if !all.iter().any(|a| a == need.as_str()) {
                    all.push(need.to_string());
                    next.push(need.to_string());
                }
            }
        }
        all
    }
}
