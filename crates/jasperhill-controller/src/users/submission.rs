//! Submissions: decoding, checks, and the way to the owner of the job's partition.

use super::{
    dependencies::DependencyCheck,
    response::{Unavailable, UserError, job_response},
};
use crate::shared::Shared;
use jasperhill_http::Response;
use jasperhill_scheduler::config::impossible;
use jasperhill_wire::{
    JobId, Malformed, Member, Micros,
    mesh::{MeshRequest, MeshResponse},
    record::Role,
    user::{JobPhase, JobRequest},
};
use std::rc::Rc;

/// How long another controller's admission test may take: users wait five seconds for a
/// response.
const ADMISSION_TIMEOUT: Micros = Micros::from_millis(1_800);
/// From so many dependencies on, a job that is too long to be recorded is so because of them.
const MANY_DEPENDENCIES: usize = 8;

impl Shared {
    /// Answers a submission: an idempotent request, by the job's id.
    pub(super) async fn submit_job(self: &Rc<Self>, body: &[u8]) -> Result<Response, UserError> {
        let mut request = match JobRequest::parse(body) {
            Ok(request) => request,
            Err(malformed) => return self.answer_malformed(body, &malformed).await,
        };
        let id = request.id.clone();
        // Looked up before anything that can change: a repeated submission gets its 200.
        if let Some(job) = self.job_view(&id) {
            if job.terminal {
                return Ok(job_response(200, &id, job.phase));
            }
            return self.answer_known(&id).await;
        }
        if let Some(reason) = self.why_impossible(&request)? {
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
            return self.answer_too_long(&request).await;
        }
        let decision = if request.deadline.is_none() || self.is_cancelled_upstream(&request) {
            self.create_job(&request, None).await
        } else {
            self.admit_by_owner(request).await?
        };
        self.answer_decision(&id, decision).await
    }

    /// Answers a submission that is not understood. A repeated one gets its 200 whatever it
    /// says now.
    async fn answer_malformed(
        self: &Rc<Self>,
        body: &[u8],
        malformed: &Malformed,
    ) -> Result<Response, UserError> {
        let error = UserError::Malformed(malformed.to_string());
        let Some(id) = JobRequest::parse_id(body) else {
            return Err(error);
        };
        // Guards against a watch cache that has not heard of the job yet.
        if !self.is_known(&id) && !self.read_index().await {
            return Err(Unavailable::StateUnknown.into());
        }
        if !self.is_known(&id) {
            return Err(error);
        }
        self.answer_known(&id).await
    }

    /// Why no machine type could ever run the job, if so.
    fn why_impossible(&self, request: &JobRequest) -> Result<Option<&'static str>, Unavailable> {
        let state = self.state.borrow();
        let Some(specs) = &state.scheduling.specs else {
            return Err(Unavailable::MachineTypesUnknown);
        };
        if !state.cache.is_synced() {
            return Err(Unavailable::StateUnknown);
        }
        Ok(impossible(request, &self.scheduler_config, specs))
    }

    /// Answers a job that can never run, after a linearizable read: it may be known already.
    async fn answer_impossible(&self, id: &JobId, reason: &str) -> Result<Response, UserError> {
        if !self.read_index().await {
            return Err(Unavailable::StateUnknown.into());
        }
        match self.job_view(id) {
            Some(job) => Ok(job_response(200, id, job.phase)),
            None => Err(UserError::Unprocessable(reason.to_owned())),
        }
    }

    /// Answers a job that could never be written down, now or later.
    async fn answer_too_long(self: &Rc<Self>, request: &JobRequest) -> Result<Response, UserError> {
        if !self.read_index().await {
            return Err(Unavailable::StateUnknown.into());
        }
        if self.is_known(&request.id) {
            return self.answer_known(&request.id).await;
        }
        let field = if request.dependencies.len() < MANY_DEPENDENCIES {
            "body"
        } else {
            "waits_on"
        };
        let text = format!("{field}: too long to be recorded");
        Err(UserError::Unprocessable(text))
    }

    /// Answers a repeated submission.
    async fn answer_known(self: &Rc<Self>, id: &JobId) -> Result<Response, UserError> {
        if !self.read_index().await {
            return Err(Unavailable::StateUnknown.into());
        }
        match self.job_view(id) {
            Some(job) => Ok(job_response(200, id, job.phase)),
            None => Err(Unavailable::Undecided.into()),
        }
    }

    /// Has the owner of the job's partition run the admission test: here, through the store, or
    /// by mesh.
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

    /// Forwards a submission to another controller by mesh.
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
            // Refused at once, as beyond a packet filter.
            Err(error) if error.is_unsent() && self.uses_reachability(&self.state.borrow()) => {
                self.propose(request).await
            }
            Err(_) => MeshResponse::Unavailable,
        }
    }

    /// Answers a submission that was decided on.
    async fn answer_decision(
        self: &Rc<Self>,
        id: &JobId,
        decision: MeshResponse,
    ) -> Result<Response, UserError> {
        match decision {
            MeshResponse::Accepted => {
                // A job that it depends on may be cancelled, and so is this one.
                let ended = self.job_view(id).filter(|job| job.terminal);
                let phase = ended.map_or(JobPhase::Pending, |job| job.phase);
                Ok(job_response(201, id, phase))
            }
            MeshResponse::Known => self.answer_known(id).await,
            MeshResponse::Rejected { retry_after_s } => Err(UserError::Rejected { retry_after_s }),
            _ => Err(Unavailable::Undecided.into()),
        }
    }
}
