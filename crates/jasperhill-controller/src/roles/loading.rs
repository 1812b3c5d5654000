//! Loading of a role that was taken over, from the watch cache.

use crate::{provisioner::state::LeaderState, shared::Shared, state::State};
use jasperhill_scheduler::{HostInput, Partition, config::Specs, job::Readiness};
use jasperhill_wire::{
    Micros, Revision,
    record::{DEPENDENCIES, Role},
};
use std::rc::Rc;

/// What is left of cancelled tasks is restored for so many times `cancel_s`: late writes and
/// clocks that differ included, longer than a cancelled task can last.
const RESIDUAL_USAGE_CANCEL_TIMES: f64 = 3.0;
/// Tasks of a job of this revision may be running anywhere.
const MAY_RUN_ANYWHERE: Revision = Revision(0);
/// Tasks of a job of this revision run nowhere.
const RUNS_NOWHERE: Revision = Revision(u64::MAX);

impl Shared {
    /// Begins to act on a role that this controller owns since `version`, unless it does already.
    pub(super) fn load_role(&self, state: &mut State, role: Role, version: Revision, now: Micros) {
        let Some(specs) = state.scheduling.specs.clone() else {
            return;
        };
        match role {
            Role::Leader => load_leader(state, version, now),
            Role::Partition(id) => {
                let loaded = state.scheduling.partitions.get(&id);
                if loaded.is_none_or(|p| p.since != version) {
                    self.load_partition(state, id, version, specs, now);
                }
            }
        }
    }

    fn load_partition(
        &self,
        state: &mut State,
        id: u32,
        version: Revision,
        specs: Rc<Specs>,
        now: Micros,
    ) {
        let mut partition = Partition::new(id, version, self.scheduler_config.clone(), specs);
        self.load_jobs(state, id, &mut partition, now);
        self.load_residual_usage(state, id, &mut partition, now);
        for (host, entry) in &state.cache.hosts {
            if entry.value.partition() == Some(id) {
                partition.upsert_host(host, &entry.value, entry.version, true, now);
            }
        }
        self.load_delegations(state, id, &mut partition, now);
        tracing::info!(
            partition = id,
            revision = version.0,
            jobs = partition.jobs.len(),
            hosts = partition.hosts.len(),
            "partition taken over"
        );
        state.scheduling.partitions.insert(id, partition);
        self.wake.ownership_changed.notify_waiters();
        self.wake.scheduler.notify_one();
    }

    fn load_jobs(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        for job in state.cache.active_jobs() {
            if self.partition_of(&job.request.team) != Some(id) {
                continue;
            }
            let submitted = self.clock.steady(job.submitted);
            let failures = (job.failed_attempts, now);
            let status = self.dependency_status(state, job);
            // A job that waits for others now was never started by a controller that knows of
            // that.
            let supported = || state.membership.features.supports(DEPENDENCIES);
            let created = match status.readiness {
                Readiness::Waiting if supported() => RUNS_NOWHERE,
                _ => MAY_RUN_ANYWHERE,
            };
            partition.upsert_job(&job.request, created, submitted, &job.finished, failures);
            partition.set_dependency_status(&job.request.id, status);
        }
    }

    fn load_residual_usage(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        let lasts = self.settings.cancel.scale(RESIDUAL_USAGE_CANCEL_TIMES);
        for (job, usage) in state.cache.residual_usage(self.clock.wall() - lasts) {
            if self.partition_of(&usage.team) == Some(id) {
                partition.restore_cancelled(job, usage, now);
            }
        }
    }

    /// Whoever answers for hosts by a grant of the former owner may do so for the rest of it.
    fn load_delegations(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        let until = now + self.settings.delegation_time();
        for ((granting, _), grant) in &state.cache.delegation_grants {
            if *granting == id {
                for host in grant.value.hosts.keys() {
                    partition.apply(host, HostInput::LeaseDelegated(until), now);
                }
            }
        }
    }
}

fn load_leader(state: &mut State, version: Revision, now: Micros) {
    let loaded = state.provisioning.leader.as_ref();
    if loaded.is_none_or(|leader| leader.since != version) {
        tracing::info!(revision = version.0, "leadership taken over");
        state.provisioning.leader = Some(LeaderState::new(version, now));
        state.host_registry.clear_assignments();
    }
}
