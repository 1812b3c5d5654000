//! What the rest of the controller asks of the watch cache. Nothing here changes it.

use super::{ActiveJob, JobEntry, Phase, Versioned, WatchCache};
use jasperhill_membership::RoleOwnership;
use jasperhill_scheduler::dependencies::DependencyState;
use jasperhill_wire::{
    JobId, Member, Micros,
    cloud::MachineTypes,
    record::{RecordPhase, ResidualUsage, Role, RoleRecord},
};
use std::collections::BTreeMap;

impl WatchCache {
    /// Whether it shows all of the store as of its revision.
    pub fn is_synced(&self) -> bool {
        self.phase == Phase::Following
    }

    /// A job, finished or not.
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// Unfinished jobs, without those that are cancelled because a job before them is.
    pub fn active_jobs(&self) -> impl Iterator<Item = &ActiveJob> {
        self.active.iter().filter_map(|id| match self.jobs.get(id) {
            Some(JobEntry::Active(job)) if !self.is_cancelled_upstream(id) => Some(&**job),
            _ => None,
        })
    }

    /// How a job has ended, and how many of its tasks succeeded, as its user is told: an unfinished
    /// one after a cancelled one is cancelled, whether or not its own record says so yet.
    pub fn final_phase(&self, id: &JobId) -> Option<(RecordPhase, u32)> {
        match self.jobs.get(id)? {
            JobEntry::Final { phase, done } => Some((*phase, *done)),
            JobEntry::Active(job) => self
                .is_cancelled_upstream(id)
                .then_some((RecordPhase::Cancelled, job.done_count)),
        }
    }

    /// Whether a job that it depends on, directly or not, was cancelled.
    fn is_cancelled_upstream(&self, id: &JobId) -> bool {
        self.dependencies.state_of(id) == DependencyState::Doomed
    }

    /// The cloud's machine types, if every part of them is known.
    pub fn types(&self) -> Option<MachineTypes> {
        let parts = self.machine_types.get(&0)?.value.parts.max(1);
        let mut types = Vec::new();
        for part in 0..parts {
            types.extend(self.machine_types.get(&part)?.value.types.iter().cloned());
        }
        Some(MachineTypes { types, parts: 0 })
    }

    /// What tasks of jobs that were cancelled after this time of day may still use.
    pub fn residual_usage(&self, after: Micros) -> impl Iterator<Item = (&JobId, &ResidualUsage)> {
        let first = (after, JobId::new(""));
        let residuals = self.residuals.range(first..);
        residuals.map(|((_, id), usage)| (id, usage))
    }

    /// The owner of a role, if its session lives.
    pub fn owner(&self, role: Role) -> Option<&Member> {
        let record = &self.roles.get(&role)?.value;
        let session = self.sessions.get(&record.owner)?;
        (session.value.lease == record.lease).then_some(&record.owner)
    }

    /// What the store says of every role.
    pub fn ownerships(&self) -> BTreeMap<Role, RoleOwnership> {
        let ownership = |(role, entry): (&Role, &Versioned<RoleRecord>)| {
            let ownership = RoleOwnership {
                owner: entry.value.owner.clone(),
                lease: entry.value.lease,
                version: entry.version,
                live: self.owner(*role).is_some(),
                relinquished: false,
            };
            (*role, ownership)
        };
        self.roles.iter().map(ownership).collect()
    }
}
