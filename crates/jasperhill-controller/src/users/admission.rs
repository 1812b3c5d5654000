//! The admission test for jobs with a deadline. The controller that owns the job's partition runs
//! it, and either writes the job's record or rejects the submission.

use super::job_creation::PartitionOwnership;
use crate::{scheduling::state::RejectedJob, shared::Shared, state::State};
use jasperhill_scheduler::{AdmissionDecision, autoscaler::hosts_for, config::Specs};
use jasperhill_wire::{Micros, mesh::MeshResponse, user::JobRequest};
use std::rc::Rc;

/// `Retry-After` of a rejected job, in seconds. Capacity changes constantly as tasks end and
/// machines boot.
const REJECTED_RETRY_AFTER_S: u32 = 3;
/// Number of rejected jobs above which the older ones are forgotten.
const REJECTED_JOBS_MAX: usize = 2_000;
/// How long a rejected job is kept after its last submission when there are more than
/// [`REJECTED_JOBS_MAX`].
const REJECTED_JOB_RETENTION: Micros = Micros::from_secs(40);
/// How long the leader's last report of spare capacity is used. The leader sends one every
/// second.
const SPARE_CAPACITY_VALIDITY: Micros = Micros::from_secs(10);
/// Factor by which the boot time of a machine type is lengthened when the leader has not reported
/// a boot time recently.
const BOOT_TIME_FACTOR: f64 = 1.3;

/// The result of an admission test.
struct AdmissionOutcome {
    /// Whether the job is admitted.
    decision: AdmissionDecision,
    /// The partition ownership under which the decision was made; guards the write of the job.
    owner: PartitionOwnership,
}

impl Shared {
    /// Runs the admission test and creates the job if it passes. Called for submissions to this
    /// controller, for submissions that another controller forwards over the mesh, and for
    /// proposals received through the store.
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
                if !self.linearizable_read().await {
                    MeshResponse::Unavailable
                } else if self.is_known(&request.id) {
                    MeshResponse::Known
                } else {
                    tracing::debug!(job = %request.id, "job rejected by the admission test");
                    MeshResponse::Rejected {
                        retry_after_s: REJECTED_RETRY_AFTER_S,
                    }
                }
            }
        }
    }

    /// Runs the admission test. Returns `None` if this controller has no authority, does not own the
    /// job's partition or does not know the machine types. A rejection is remembered, so that the
    /// deadline of a retried job counts from its first submission.
    fn test_admission(&self, request: &JobRequest) -> Option<AdmissionOutcome> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if !state.authority.is_valid_at(now) {
            return None;
        }
        let partition_id = self.partition_of(&request.team)?;
        let specs = state.scheduling.machine_types.clone()?;
        let scale_out_capacity = self.capacity_to_scale_out(state, &specs, now);
        forget_old_rejections(state, now);
        let rejected = &state.scheduling.rejected_jobs;
        let first_submitted = rejected
            .get(&request.id)
            .map_or(now, |job| job.first_submitted);
        let time_until_ready = self.time_until_ready(state, request, now);
        let partition = state.scheduling.partitions.get(&partition_id)?;
        let owner = PartitionOwnership {
            partition: partition_id,
            since: partition.owned_since,
        };
        let decision = partition.admit(
            request,
            first_submitted,
            now,
            time_until_ready,
            scale_out_capacity,
        );
        let rejected = &mut state.scheduling.rejected_jobs;
        if decision == AdmissionDecision::Admit {
            rejected.remove(&request.id);
        } else if rejected.len() <= REJECTED_JOBS_MAX {
            let job = RejectedJob {
                first_submitted,
                last_submitted: now,
                partition: partition_id,
                needed_hosts: hosts_for(request, &specs),
            };
            rejected.insert(request.id.clone(), job);
        }
        Some(AdmissionOutcome { decision, owner })
    }

    /// Returns the number of machines that a partition can expect to gain, and their boot time: the
    /// partition's share of the spare capacity, or one machine with a lengthened boot time if the
    /// leader has not reported its spare capacity recently.
    fn capacity_to_scale_out(&self, state: &State, specs: &Specs, now: Micros) -> (u32, Micros) {
        let longest_boot = specs
            .values()
            .map(|spec| spec.nominal_boot_time)
            .max()
            .unwrap_or_default();
        match state.provisioning.spare_capacity {
            Some(spare) if now - spare.received_at < SPARE_CAPACITY_VALIDITY => (
                spare.machines.div_ceil(self.settings.partition_count),
                spare.boot_time,
            ),
            _ => (1, longest_boot.scale(BOOT_TIME_FACTOR)),
        }
    }
}

/// Removes rejected jobs past their retention once there are more than [`REJECTED_JOBS_MAX`].
fn forget_old_rejections(state: &mut State, now: Micros) {
    let rejected = &mut state.scheduling.rejected_jobs;
    if rejected.len() > REJECTED_JOBS_MAX {
        rejected.retain(|_, job| now - job.last_submitted < REJECTED_JOB_RETENTION);
    }
}
