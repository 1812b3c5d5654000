//! Task counts of jobs that other controllers run, for display. One question serves all who
//! poll a job within a while, and one message asks for many jobs: what polls cost hardly
//! grows with their number.

use crate::shared::Shared;
use jasperhill_wire::{
    JobId, Member, Micros,
    mesh::{MeshRequest, MeshResponse, TaskCounts},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Counts may lag by three seconds; an answer is used again for less.
const FRESH: Micros = Micros::from_millis(2_000);
/// Questions that come soon after one another go together.
const GATHER: Duration = Duration::from_millis(20);
/// How long a poll waits for counts; without them it says what the record says.
const WAIT: Duration = Duration::from_millis(300);
/// Jobs in one message, and counts remembered.
const ASKED_MAX: usize = 500;
const KEPT_MAX: usize = 8_000;

/// What was learned from others, and what is being asked.
#[derive(Default)]
pub(crate) struct TaskCountCache {
    known: HashMap<JobId, (TaskCounts, Micros)>,
    wanted: BTreeMap<Member, BTreeSet<JobId>>,
    /// Owners with a question under way.
    asking: BTreeSet<Member>,
}

impl TaskCountCache {
    pub fn get(&self, id: &JobId, now: Micros) -> Option<TaskCounts> {
        let (counts, at) = self.known.get(id)?;
        (now - *at < FRESH).then_some(*counts)
    }

    fn keep(&mut self, id: JobId, counts: TaskCounts, now: Micros) {
        if self.known.len() >= KEPT_MAX {
            self.known.retain(|_, (_, at)| now - *at < FRESH);
        }
        if self.known.len() < KEPT_MAX {
            self.known.insert(id, (counts, now));
        }
    }
}

impl Shared {
    /// The counts of a job that `owner` runs, at most a little old.
    pub async fn task_counts_from(
        self: &Rc<Self>,
        owner: Member,
        id: &JobId,
    ) -> Option<TaskCounts> {
        let begin = {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            let learned = &mut state.task_counts;
            if let Some(counts) = learned.get(id, now) {
                return Some(counts);
            }
            let wanted = learned.wanted.entry(owner.clone()).or_default();
            if wanted.len() < ASKED_MAX {
                wanted.insert(id.clone());
            }
            learned.asking.insert(owner.clone())
        };
        if begin {
            self.clone().spawn(self.clone().fetch_task_counts(owner));
        }
        let answered = timeout(WAIT, async {
            loop {
                let news = self.wake.task_counts.notified();
                if let Some(counts) = self.state.borrow().task_counts.get(id, self.now()) {
                    return counts;
                }
                news.await;
            }
        });
        answered.await.ok()
    }

    /// Asks one owner for all that is wanted of it, until nothing is.
    async fn fetch_task_counts(self: Rc<Self>, owner: Member) {
        loop {
            sleep(GATHER).await;
            let wanted: Vec<JobId> = {
                let mut state = self.state.borrow_mut();
                let learned = &mut state.task_counts;
                let wanted = learned.wanted.remove(&owner).unwrap_or_default();
                if wanted.is_empty() {
                    learned.asking.remove(&owner);
                    return;
                }
                wanted.into_iter().collect()
            };
            let Some(address) = self.address_of(&owner) else {
                continue;
            };
            let ask = MeshRequest::TaskCounts(wanted.clone());
            let answer = self.mesh_call(address, ask, Micros::from_millis(300)).await;
            if let Some(MeshResponse::TaskCounts(found)) = answer {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                for (id, counts) in wanted.into_iter().zip(found) {
                    if let Some(counts) = counts {
                        state.task_counts.keep(id, counts, now);
                    }
                }
                drop(state);
                self.wake.task_counts.notify_waiters();
            }
        }
    }

    /// Counts of jobs that are run here, for another controller.
    pub fn local_task_counts(&self, ids: &[JobId]) -> MeshResponse {
        let state = self.state.borrow();
        let of = |id: &JobId| {
            let job = state
                .scheduling
                .partitions
                .values()
                .find_map(|p| p.jobs.get(id))?;
            Some(TaskCounts {
                running: job.running.len() as u32,
                done: job.done.count(),
            })
        };
        MeshResponse::TaskCounts(ids.iter().take(ASKED_MAX).map(of).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against counts that are shown for too long, and against growth without bound.
    #[test]
    fn what_was_learned_is_shown_for_a_while_and_bounded() {
        let mut learned = TaskCountCache::default();
        let counts = TaskCounts {
            running: 3,
            done: 4,
        };
        let now = Micros::from_secs(100);
        for n in 0..KEPT_MAX + 50 {
            learned.keep(JobId::new(&format!("job-{n}")), counts, now);
        }
        assert_eq!(learned.known.len(), KEPT_MAX);
        let id = JobId::new("job-7");
        assert_eq!(learned.get(&id, now + Micros::from_secs(1)), Some(counts));
        assert_eq!(learned.get(&id, now + FRESH), None);
        learned.keep(JobId::new("job-x"), counts, now + FRESH);
        assert_eq!(learned.known.len(), 1);
    }
}
