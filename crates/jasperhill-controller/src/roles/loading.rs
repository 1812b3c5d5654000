//! Builds the in-memory state of a role that this controller has taken over, from the watch cache.

use crate::{provisioner::state::LeaderState, shared::Shared, state::State};
use jasperhill_scheduler::{HostInput, Partition, config::Specs, job::Readiness};
use jasperhill_wire::{
    Micros, Revision,
    record::{DEPENDENCIES, Role},
};
use std::rc::Rc;

/// Age up to which the residual usage of cancelled jobs is restored, as a multiple of `cancel_s`.
/// Longer than a cancelled task can run, including late writes and clock differences.
const RESIDUAL_USAGE_AGE_PER_CANCEL: f64 = 3.0;
/// Creation revision of a job whose tasks may be running on any host.
const CREATED_MAY_RUN_ANYWHERE: Revision = Revision(0);
/// Creation revision of a job whose tasks can't be running on any host.
const CREATED_RUNS_NOWHERE: Revision = Revision(u64::MAX);

impl Shared {
    /// Starts to act on a role that this controller owns since revision `version`, unless it is
    /// loaded at that revision already. Does nothing while the machine types are unknown.
    pub(super) fn load_role(&self, state: &mut State, role: Role, version: Revision, now: Micros) {
        let Some(specs) = state.scheduling.machine_types.clone() else {
            return;
        };
        match role {
            Role::Leader => load_leader(state, version, now),
            Role::Partition(id) => {
                let loaded = state.scheduling.partitions.get(&id);
                if loaded.is_none_or(|p| p.owned_since != version) {
                    self.load_partition(state, id, version, specs, now);
                }
            }
        }
    }

    /// Builds a partition from its jobs, residual usage, hosts and delegations, and wakes the
    /// scheduler.
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
        self.wakeups.ownership_changed.notify_waiters();
        self.wakeups.scheduler.notify_one();
    }

    /// Adds the unfinished jobs of a partition.
    fn load_jobs(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        for job in state.cache.active_jobs() {
            if self.partition_of(&job.request.team) != Some(id) {
                continue;
            }
            let submitted = self.clock.steady(job.submitted);
            let failures = (job.failed_attempts, now);
            let status = self.dependency_status(state, job);
            // Controllers that support dependencies don't start a job before its dependencies are
            // done, so a job that still waits has no running tasks.
            let is_dependency_supported = || state.membership.features.supports(DEPENDENCIES);
            let created = match status.readiness {
                Readiness::Waiting if is_dependency_supported() => CREATED_RUNS_NOWHERE,
                _ => CREATED_MAY_RUN_ANYWHERE,
            };
            partition.upsert_job(
                &job.request,
                created,
                submitted,
                &job.finished_runs,
                failures,
            );
            partition.set_dependency_status(&job.request.id, status);
        }
    }

    /// Adds the resources that tasks of recently cancelled jobs may still use.
    fn load_residual_usage(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        let age_max = self
            .settings
            .cancellation_time
            .scale(RESIDUAL_USAGE_AGE_PER_CANCEL);
        for (job, usage) in state.cache.residual_usage(self.clock.wall() - age_max) {
            if self.partition_of(&usage.team) == Some(id) {
                partition.restore_cancelled(job, usage, now);
            }
        }
    }

    /// Marks the hosts that a former owner delegated as delegated for a full delegation time: their
    /// delegates may renew the hosts' leases until those grants end.
    fn load_delegations(&self, state: &State, id: u32, partition: &mut Partition, now: Micros) {
        let delegated_until = now + self.settings.delegation_time();
        for ((granting_partition, _), grant) in &state.cache.delegation_grants {
            if *granting_partition == id {
                for host in grant.value.hosts.keys() {
                    partition.apply(host, HostInput::LeaseDelegated(delegated_until), now);
                }
            }
        }
    }
}

/// Starts a leadership with empty leader state, unless it is loaded at this revision already.
fn load_leader(state: &mut State, version: Revision, now: Micros) {
    let loaded = state.provisioning.leader.as_ref();
    if loaded.is_none_or(|leader| leader.leader_since_revision != version) {
        tracing::info!(revision = version.0, "leadership taken over");
        state.provisioning.leader = Some(LeaderState::new(version, now));
        state.host_registry.clear_assignments();
    }
}
