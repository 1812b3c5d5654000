//! Task counts of jobs that other controllers run, for display. One request serves all who
//! poll a job within a while, and one message asks for many jobs: what polls cost hardly
//! grows with their number. The state is [`cache::TaskCountCache`]; users' polls and the mesh call in.

pub(crate) mod cache;

use self::cache::JOBS_PER_REQUEST_MAX;
use crate::shared::Shared;
use jasperhill_wire::{
    JobId, Member, Micros,
    mesh::{MeshRequest, MeshResponse, TaskCounts},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Polls that come within this time after one another go into one request.
const GATHER_PERIOD: Duration = Duration::from_millis(20);
/// How long a poll waits for counts; without them it says what the record says.
const POLL_LIMIT: Duration = Duration::from_millis(300);
/// How long the owner's answer is waited for: no longer than a poll is.
const REQUEST_LIMIT: Micros = Micros::from_millis(300);

impl Shared {
    /// The counts of a job that `owner` runs, at most a little old; `None` if they don't come in time.
    pub async fn task_counts_from(
        self: &Rc<Self>,
        owner: Member,
        id: &JobId,
    ) -> Option<TaskCounts> {
        let is_first = {
            let now = self.now();
            let cache = &mut self.state.borrow_mut().task_counts;
            if let Some(counts) = cache.get(id, now) {
                return Some(counts);
            }
            cache.request(&owner, id)
        };
        if is_first {
            self.clone().spawn(self.clone().fetch_task_counts(owner));
        }
        let counts = timeout(POLL_LIMIT, async {
            loop {
                let changed = self.wake.task_counts.notified();
                if let Some(counts) = self.state.borrow().task_counts.get(id, self.now()) {
                    return counts;
                }
                changed.await;
            }
        });
        counts.await.ok()
    }

    /// Asks one owner for all that is wanted of it, until nothing is.
    async fn fetch_task_counts(self: Rc<Self>, owner: Member) {
        loop {
            sleep(GATHER_PERIOD).await;
            let next = self.state.borrow_mut().task_counts.next_request(&owner);
            let Some(jobs) = next else {
                return;
            };
            let Some(address) = self.address_of(&owner) else {
                continue;
            };
            let request = MeshRequest::TaskCounts(jobs.clone());
            let response = self.mesh_call(address, request, REQUEST_LIMIT).await;
            if let Some(MeshResponse::TaskCounts(counts)) = response {
                self.receive_task_counts(jobs, counts);
            }
        }
    }

    /// Keeps the counts that an owner has given for these jobs, in their order, and wakes the polls.
    fn receive_task_counts(&self, jobs: Vec<JobId>, counts: Vec<Option<TaskCounts>>) {
        let now = self.now();
        let cache = &mut self.state.borrow_mut().task_counts;
        for (id, counts) in jobs.into_iter().zip(counts) {
            if let Some(counts) = counts {
                cache.insert(id, counts, now);
            }
        }
        self.wake.task_counts.notify_waiters();
    }

    /// Counts of jobs that are run here, for another controller; `None` for those that are not.
    pub fn local_task_counts(&self, ids: &[JobId]) -> MeshResponse {
        let state = self.state.borrow();
        let counts_of = |id: &JobId| {
            let mut partitions = state.scheduling.partitions.values();
            let job = partitions.find_map(|partition| partition.jobs.get(id))?;
            Some(TaskCounts {
                running: job.running.len() as u32,
                done: job.done.count(),
            })
        };
        let ids = ids.iter().take(JOBS_PER_REQUEST_MAX);
        MeshResponse::TaskCounts(ids.map(counts_of).collect())
    }
}
