//! Job submission: parses and validates a request, and has the owner of the job's partition run the
//! admission test if the job has a deadline.

use super::{
    dependencies::DependencyCheck,
    response::{Unavailable, UserError, job_response},
};
use crate::shared::Shared;
use jasperhill_http::Response;
use jasperhill_scheduler::config::rejection_reason;
use jasperhill_wire::{
    JobId, Malformed, Member, Micros,
    mesh::{MeshRequest, MeshResponse},
    record::Role,
    user::{JobPhase, JobRequest},
};
use std::rc::Rc;

/// Timeout of the admission test of another controller. Users wait five seconds for a response.
const ADMISSION_TIMEOUT: Micros = Micros::from_millis(1_800);
/// Minimum number of dependencies for which an oversized job record is attributed to `waits_on`
/// instead of the request body as a whole.
const OVERSIZE_DEPENDENCIES_MIN: usize = 8;

impl Shared {
    /// Handles a submission, which is idempotent by the job's id.
    ///
    /// # Errors
    /// A [`UserError`] if the job is malformed, unprocessable or rejected by the admission test, or if
    /// it can't be decided on now.
    pub(super) async fn submit_job(self: &Rc<Self>, body: &[u8]) -> Result<Response, UserError> {
        let mut request = match JobRequest::parse(body) {
            Ok(request) => request,
            Err(malformed) => return self.answer_malformed(body, &malformed).await,
        };
        let id = request.id.clone();
        // A known job is answered before any check whose result can change over time, so that a
        // repeated submission still gets 200.
        if let Some(job) = self.job_view(&id) {
            if job.is_terminal {
                return Ok(job_response(200, &id, job.phase));
            }
            return self.answer_known(&id).await;
        }
        if let Some(reason) = self.impossible_reason(&request)? {
            return self.answer_impossible(&id, reason).await;
        }
        if !request.dependencies.is_empty() {
            match self.check_dependencies(&request).await? {
                DependencyCheck::Valid => self.drop_done_dependencies(&mut request),
                DependencyCheck::AlreadyKnown => return self.answer_known(&id).await,
                DependencyCheck::Invalid(reason) => {
                    return Err(UserError::Unprocessable(format!("waits_on: {reason}")));
                }
            }
        }
        if self.new_job_record(&request).is_none() {
            return self.answer_record_too_long(&request).await;
        }
        let decision = if request.deadline.is_none() || self.has_cancelled_dependency(&request) {
            self.create_job(&request, None).await
        } else {
            self.admit_by_owner(request).await?
        };
        self.answer_decision(&id, decision).await
    }

    /// Answers a submission that can't be parsed. If it has the id of a known job, it counts as a
    /// repeated submission and gets 200 regardless of its other fields.
    async fn answer_malformed(
        self: &Rc<Self>,
        body: &[u8],
        malformed: &Malformed,
    ) -> Result<Response, UserError> {
        let error = UserError::Malformed(malformed.to_string());
        let Some(id) = JobRequest::parse_id(body) else {
            return Err(error);
        };
        // The watch cache may not contain the job yet, so that a linearizable read is needed.
        if !self.is_known(&id) && !self.linearizable_read().await {
            return Err(Unavailable::StateUnknown.into());
        }
        if !self.is_known(&id) {
            return Err(error);
        }
        self.answer_known(&id).await
    }

    /// Returns why the job can never run; `None` if it can.
    ///
    /// # Errors
    /// [`Unavailable`] if the machine types are unknown or the watch cache is not complete.
    fn impossible_reason(&self, request: &JobRequest) -> Result<Option<&'static str>, Unavailable> {
        let state = self.state.borrow();
        let Some(specs) = &state.scheduling.machine_types else {
            return Err(Unavailable::MachineTypesUnknown);
        };
        if !state.cache.is_synced() {
            return Err(Unavailable::StateUnknown);
        }
        Ok(rejection_reason(request, &self.scheduler_config, specs))
    }

    /// Answers the submission of a job that can never run. Does a linearizable read first, since the
    /// job may have been accepted earlier.
    async fn answer_impossible(&self, id: &JobId, reason: &str) -> Result<Response, UserError> {
        if !self.linearizable_read().await {
            return Err(Unavailable::StateUnknown.into());
        }
        match self.job_view(id) {
            Some(job) => Ok(job_response(200, id, job.phase)),
            None => Err(UserError::Unprocessable(reason.to_owned())),
        }
    }

    /// Answers the submission of a job whose record exceeds the value size of the store.
    async fn answer_record_too_long(
        self: &Rc<Self>,
        request: &JobRequest,
    ) -> Result<Response, UserError> {
        if !self.linearizable_read().await {
            return Err(Unavailable::StateUnknown.into());
        }
        if self.is_known(&request.id) {
            return self.answer_known(&request.id).await;
        }
        let field = if request.dependencies.len() < OVERSIZE_DEPENDENCIES_MIN {
            "body"
        } else {
            "waits_on"
        };
        let text = format!("{field}: too long to be recorded");
        Err(UserError::Unprocessable(text))
    }

    /// Answers a repeated submission with the job's current phase, after a linearizable read.
    async fn answer_known(self: &Rc<Self>, id: &JobId) -> Result<Response, UserError> {
        if !self.linearizable_read().await {
            return Err(Unavailable::StateUnknown.into());
        }
        match self.job_view(id) {
            Some(job) => Ok(job_response(200, id, job.phase)),
            None => Err(Unavailable::Undecided.into()),
        }
    }

    /// Has the owner of the job's partition run the admission test: this controller, or another one
    /// that is asked through the store or over the mesh.
    async fn admit_by_owner(
        self: &Rc<Self>,
        request: JobRequest,
    ) -> Result<MeshResponse, UserError> {
        let Some(partition) = self.partition_of(&request.team) else {
            return Err(Unavailable::OwnerUnknown.into());
        };
        let owner = {
            let state = self.state.borrow();
            state.cache.owner(Role::Partition(partition)).cloned()
        };
        Ok(match owner {
            Some(owner) if owner == self.settings.member => self.admit(request).await,
            Some(owner) if self.proposes_through_store(&owner) => self.propose(request).await,
            Some(owner) => self.forward_to(&owner, request).await,
            None => MeshResponse::Unavailable,
        })
    }

    /// Forwards a submission to another controller over the mesh. If the request can't be sent and
    /// all members support reachability reports, proposes the job through the store instead.
    async fn forward_to(self: &Rc<Self>, owner: &Member, request: JobRequest) -> MeshResponse {
        let Some(address) = self.address_of(owner) else {
            return MeshResponse::Unavailable;
        };
        let message = MeshRequest::Admit(Box::new(request.clone()));
        let response = self
            .try_mesh_call(address, message, ADMISSION_TIMEOUT)
            .await;
        match response {
            Ok(decision) => decision,
            // The connection was refused at once, for example by a packet filter.
            Err(error) if error.is_unsent() && self.uses_reachability(&self.state.borrow()) => {
                self.propose(request).await
            }
            Err(_) => MeshResponse::Unavailable,
        }
    }

    /// Maps the decision on a submission to the response.
    async fn answer_decision(
        self: &Rc<Self>,
        id: &JobId,
        decision: MeshResponse,
    ) -> Result<Response, UserError> {
        match decision {
            MeshResponse::Accepted => {
                // If a dependency is cancelled, the new job is cancelled as well.
                let final_view = self.job_view(id).filter(|job| job.is_terminal);
                let phase = final_view.map_or(JobPhase::Pending, |job| job.phase);
                Ok(job_response(201, id, phase))
            }
            MeshResponse::Known => self.answer_known(id).await,
            MeshResponse::Rejected { retry_after_s } => Err(UserError::Rejected { retry_after_s }),
            _ => Err(Unavailable::Undecided.into()),
        }
    }
}
