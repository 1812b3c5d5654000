//! Read-only queries of the watch cache by other parts of the controller.

use super::{ActiveJob, JobEntry, Phase, Versioned, WatchCache};
use jasperhill_membership::RoleOwnership;
use jasperhill_scheduler::dependencies::DependencyState;
use jasperhill_wire::{
    JobId, Member, Micros, Revision,
    cloud::MachineTypes,
    record::{RecordPhase, ResidualUsage, Role, RoleRecord},
};
use std::collections::BTreeMap;

impl WatchCache {
    /// Returns whether the cache contains all records of the store as of its revision.
    pub fn is_synced(&self) -> bool {
        self.phase == Phase::Synced
    }

    /// Returns a job, whether it has finished or not.
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// Returns the unfinished jobs, except those that count as cancelled because a job they depend
    /// on was cancelled.
    pub fn active_jobs(&self) -> impl Iterator<Item = &ActiveJob> {
        self.active.iter().filter_map(|id| match self.jobs.get(id) {
            Some(JobEntry::Active(job)) if !self.is_cancelled_upstream(id) => Some(&**job),
            _ => None,
        })
    }

    /// Returns the final phase of a job and the number of its tasks that succeeded, as reported to
    /// the user. An unfinished job that depends on a cancelled job counts as cancelled, even if its
    /// own record does not say so yet. Returns `None` if the job is unknown or has not ended.
    pub fn final_phase(&self, id: &JobId) -> Option<(RecordPhase, u32)> {
        match self.jobs.get(id)? {
            JobEntry::Final { phase, done_count } => Some((*phase, *done_count)),
            JobEntry::Active(job) => self
                .is_cancelled_upstream(id)
                .then_some((RecordPhase::Cancelled, job.done_count)),
        }
    }

    /// Returns whether a job that this job depends on, directly or indirectly, was cancelled.
    fn is_cancelled_upstream(&self, id: &JobId) -> bool {
        self.dependencies.state_of(id) == DependencyState::UpstreamCancelled
    }

    /// Returns the machine types of the cloud, or `None` if some part of the list is missing.
    pub fn machine_types(&self) -> Option<MachineTypes> {
        let parts = self.machine_types.get(&0)?.value.parts.max(1);
        let mut machine_types = Vec::new();
        for part in 0..parts {
            machine_types.extend(self.machine_types.get(&part)?.value.types.iter().cloned());
        }
        Some(MachineTypes {
            types: machine_types,
            parts: 0,
        })
    }

    /// Returns the resources that tasks of jobs cancelled at or after this time of day may still
    /// use.
    pub fn residual_usage(&self, after: Micros) -> impl Iterator<Item = (&JobId, &ResidualUsage)> {
        let first = (after, JobId::new(""));
        let residual_usages = self.residual_usages.range(first..);
        residual_usages.map(|((_, id), usage)| (id, usage))
    }

    /// Returns the owner of a role if its session is live.
    pub fn owner(&self, role: Role) -> Option<&Member> {
        let record = &self.roles.get(&role)?.value;
        let session = self.sessions.get(&record.owner)?;
        (session.value.lease == record.lease).then_some(&record.owner)
    }

    /// Returns the revision of the cache if the role's record was last written at `owned_since`.
    /// Whoever takes the role over later does so at a greater revision.
    pub fn revision_owned(&self, role: Role, owned_since: Revision) -> Option<Revision> {
        let record = self.roles.get(&role)?;
        (record.version == owned_since).then_some(self.revision)
    }

    /// Returns the recorded ownership of every role that has a record.
    pub fn ownerships(&self) -> BTreeMap<Role, RoleOwnership> {
        let ownership = |(role, entry): (&Role, &Versioned<RoleRecord>)| {
            let ownership = RoleOwnership {
                owner: entry.value.owner.clone(),
                lease: entry.value.lease,
                version: entry.version,
                is_session_live: self.owner(*role).is_some(),
                relinquished: false,
            };
            (*role, ownership)
        };
        self.roles.iter().map(ownership).collect()
    }
}
