//! The admission test of a job with a deadline, by the owner of its partition.

use super::job_creation::PartitionOwnership;
use crate::{scheduling::state::RejectedJob, shared::Shared, state::State};
use jasperhill_scheduler::{AdmissionDecision, autoscaler::hosts_for, config::Specs};
use jasperhill_wire::{Micros, mesh::MeshResponse, user::JobRequest};
use std::rc::Rc;

/// How soon a rejected job is worth another try, in seconds: tasks end and machines come up
/// all the time.
const REJECTED_RETRY_S: u32 = 3;
/// Rejected jobs that are remembered.
const REJECTED_MAX: usize = 2_000;
/// How long a rejected job is remembered once there are too many of them.
const REJECTED_KEPT: Micros = Micros::from_secs(40);
/// How long the leader's word on spare capacity counts: it says it every second.
const SPARE_CAPACITY_VALID: Micros = Micros::from_secs(10);
/// How much longer than its type says a machine is taken to boot without that word.
const BOOT_TIME_MARGIN: f64 = 1.3;

/// The outcome of an admission test.
struct AdmissionOutcome {
    decision: AdmissionDecision,
    /// The ownership under which it was taken.
    owner: PartitionOwnership,
}

impl Shared {
    /// Runs the admission test and accepts the job if it passes. Called for a submission to
    /// this controller, for one that another controller sends by mesh, and for a proposal
    /// through the store.
    pub async fn admit(self: &Rc<Self>, request: JobRequest) -> MeshResponse {
        if self.is_known(&request.id) {
            return MeshResponse::Known;
        }
        let Some(outcome) = self.test_admission(&request) else {
            return MeshResponse::Unavailable;
        };
        match outcome.decision {
            AdmissionDecision::Admit => self.create_job(&request, Some(outcome.owner)).await,
            AdmissionDecision::Refuse => {
                if !self.read_index().await {
                    MeshResponse::Unavailable
                } else if self.is_known(&request.id) {
                    MeshResponse::Known
                } else {
                    tracing::debug!(job = %request.id, "job rejected");
                    MeshResponse::Rejected {
                        retry_after_s: REJECTED_RETRY_S,
                    }
                }
            }
        }
    }

    /// The admission test; `None` without authority, ownership or machine types. A rejection is
    /// remembered, so that the deadline counts from the first submission.
    fn test_admission(&self, request: &JobRequest) -> Option<AdmissionOutcome> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        if !state.authority.holds(now) {
            return None;
        }
        let id = self.partition_of(&request.team)?;
        let specs = state.scheduling.specs.clone()?;
        let elastic = self.capacity_to_scale_out(state, &specs, now);
        forget_old_rejections(state, now);
        let rejected = &state.scheduling.rejected;
        let submitted = rejected.get(&request.id).map_or(now, |r| r.first);
        let release = self.time_until_ready(state, request, now);
        let partition = state.scheduling.partitions.get(&id)?;
        let owner = PartitionOwnership {
            partition: id,
            since: partition.since,
        };
        let decision = partition.admit(request, submitted, now, release, elastic);
        let rejected = &mut state.scheduling.rejected;
        if decision == AdmissionDecision::Admit {
            rejected.remove(&request.id);
        } else if rejected.len() <= REJECTED_MAX {
            let job = RejectedJob {
                first: submitted,
                last: now,
                partition: id,
                hosts: hosts_for(request, &specs),
            };
            rejected.insert(request.id.clone(), job);
        }
        Some(AdmissionOutcome { decision, owner })
    }

    /// The machines that this partition may expect beyond its own, and after how long: its part
    /// of the spare capacity, or a guess where the leader has not said it lately.
    fn capacity_to_scale_out(&self, state: &State, specs: &Specs, now: Micros) -> (u32, Micros) {
        let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
        match state.provisioning.spare_capacity {
            Some(spare) if now - spare.at < SPARE_CAPACITY_VALID => {
                (spare.machines.div_ceil(self.settings.size), spare.boot_time)
            }
            _ => (1, boot.scale(BOOT_TIME_MARGIN)),
        }
    }
}

fn forget_old_rejections(state: &mut State, now: Micros) {
    let rejected = &mut state.scheduling.rejected;
    if rejected.len() > REJECTED_MAX {
        rejected.retain(|_, job| now - job.last < REJECTED_KEPT);
    }
}
