//! Task counts of jobs that other controllers run, for display to users. Concurrent polls of a job
//! share one request, and one message requests the counts of many jobs, so the cost hardly grows
//! with the number of polls. The state is [`cache::TaskCountCache`]. Callers are users' polls and
//! the mesh.

pub(crate) mod cache;

use self::cache::JOBS_PER_REQUEST_MAX;
use crate::shared::Shared;
use jasperhill_wire::{
    JobId, Member, Micros,
    mesh::{MeshRequest, MeshResponse, TaskCounts},
};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time for which jobs are collected into one request to their owner.
const BATCHING_DELAY: Duration = Duration::from_millis(20);
/// Maximum time that a poll waits for counts. Without counts, the poll is answered from the job
/// record.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time to wait for the owner's response; no longer than [`POLL_TIMEOUT`].
const REQUEST_TIMEOUT: Micros = Micros::from_millis(300);

impl Shared {
    /// Returns recent task counts of a job that `owner` runs, or `None` if they do not arrive
    /// within [`POLL_TIMEOUT`].
    pub async fn task_counts_from(
        self: &Rc<Self>,
        owner: Member,
        id: &JobId,
    ) -> Option<TaskCounts> {
        let must_start_fetch = {
            let now = self.now();
            let cache = &mut self.state.borrow_mut().task_counts;
            if let Some(counts) = cache.get(id, now) {
                return Some(counts);
            }
            cache.request(&owner, id)
        };
        if must_start_fetch {
            self.clone().spawn(self.clone().fetch_task_counts(owner));
        }
        let counts = timeout(POLL_TIMEOUT, async {
            loop {
                let counts_changed = self.wakeups.task_counts.notified();
                if let Some(counts) = self.state.borrow().task_counts.get(id, self.now()) {
                    return counts;
                }
                counts_changed.await;
            }
        });
        counts.await.ok()
    }

    /// Requests all pending task counts from one owner, until no more are pending.
    async fn fetch_task_counts(self: Rc<Self>, owner: Member) {
        loop {
            sleep(BATCHING_DELAY).await;
            let next_jobs = self.state.borrow_mut().task_counts.next_request(&owner);
            let Some(jobs) = next_jobs else {
                return;
            };
            let Some(address) = self.address_of(&owner) else {
                continue;
            };
            let request = MeshRequest::TaskCounts(jobs.clone());
            let response = self.mesh_call(address, request, REQUEST_TIMEOUT).await;
            if let Some(MeshResponse::TaskCounts(counts)) = response {
                self.store_task_counts(jobs, counts);
            }
        }
    }

    /// Stores the counts received from an owner, which are in the order of `jobs`, and wakes the
    /// waiting polls.
    fn store_task_counts(&self, jobs: Vec<JobId>, counts: Vec<Option<TaskCounts>>) {
        let now = self.now();
        let cache = &mut self.state.borrow_mut().task_counts;
        for (id, counts) in jobs.into_iter().zip(counts) {
            if let Some(counts) = counts {
                cache.insert(id, counts, now);
            }
        }
        self.wakeups.task_counts.notify_waiters();
    }

    /// Returns the counts of jobs for another controller, with `None` for each job that this
    /// controller does not run.
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
