//! What users ask: submissions, polls, cancellations, readiness.

use crate::{
    scheduling::state::RejectedJob,
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority, guard, put},
    watch_cache::JobEntry,
};
use jasperhill_http::{Method, Request, Response};
use jasperhill_scheduler::{AdmissionDecision, config::impossible, dependencies::DependencyState};
use jasperhill_wire::{
    JobId, Member, Micros, Revision,
    mesh::{MeshRequest, MeshResponse, TaskCounts},
    record::{DEPENDENCIES, JobRecord, RecordPhase, Role, job_key, role_key},
    user::{ErrorBody, JobPhase, JobRequest, JobResponse, JobStatus, Shape},
};
use std::rc::Rc;

/// How soon a user should ask again when a controller can't decide.
const RETRY_S: u32 = 1;
/// How soon a refused job is worth another try: tasks end and machines come up all the time.
const REFUSED_RETRY_S: u32 = 3;
/// What a new record leaves for results, in bytes.
const RESULTS_ROOM: usize = 160;
/// Refused jobs that are remembered.
const ASKED_MAX: usize = 2_000;

fn json(status: u16, body: &impl serde::Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// What `/ready` says: the classes of connections in which somebody was just refused.
#[derive(serde::Serialize)]
struct Ready {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    at_bound: Vec<&'static str>,
}

pub(crate) fn error(status: u16, text: impl Into<String>) -> Response {
    json(status, &ErrorBody { error: text.into() })
}

fn later(text: &str) -> Response {
    tracing::debug!(why = text, "a user has to come back");
    error(503, text).retry_after(RETRY_S)
}

fn phase_of(phase: RecordPhase) -> JobPhase {
    match phase {
        RecordPhase::Active => JobPhase::Pending,
        RecordPhase::Done => JobPhase::Done,
        RecordPhase::Cancelled => JobPhase::Cancelled,
    }
}

fn answer(status: u16, id: &JobId, phase: JobPhase) -> Response {
    json(
        status,
        &JobResponse {
            id: id.as_str(),
            phase,
        },
    )
}

impl Shared {
    pub async fn serve(self: Rc<Self>, request: Request) -> Response {
        let path = request.path().to_owned();
        if self.note_activity() && path != "/ready" {
            // Guards against working off what queued up while the process stood still: users
            // and workers have given up on it and ask elsewhere.
            return later("stood still");
        }
        match (request.method, path.as_str()) {
            (Method::Post, "/hello") => self.handle_heartbeat(&request.body).await,
            (_, "/hello") => error(405, "only POST").allow("POST"),
            (Method::Get, "/ready") => self.ready(),
            (_, "/ready") => error(405, "only GET").allow("GET"),
            (Method::Post, "/v1/jobs") => self.submit(&request.body).await,
            (_, "/v1/jobs") => error(405, "only POST").allow("POST"),
            (method, path) => match path.strip_prefix("/v1/jobs/") {
                Some(rest) => match (method, rest.split_once('/')) {
                    (Method::Get, None) => self.poll(rest).await,
                    (_, None) => error(405, "only GET").allow("GET"),
                    (Method::Post, Some((id, "abort"))) => self.cancel(id).await,
                    (_, Some((_, "abort"))) => error(405, "only POST").allow("POST"),
                    _ => error(404, "no such path"),
                },
                None => error(404, "no such path"),
            },
        }
    }

    fn ready(&self) -> Response {
        let state = self.state.borrow();
        // In an outage that everybody sees, leaving the balancer would only delay the return.
        if state.cache.is_synced()
            && state.scheduling.specs.is_some()
            && !state.isolation.isolated
            && !self.defers_to_other_members(&state)
        {
            drop(state);
            // An operator who asks sees what is short; the balancer looks at the status alone.
            json(
                200,
                &Ready {
                    at_bound: self.at_bound(),
                },
            )
        } else {
            later("not ready")
        }
    }

    /// The user's view of a known job; `None` if the watch cache does not know it.
    fn known(&self, id: &JobId) -> Option<(JobPhase, u32, u32, bool)> {
        let state = self.state.borrow();
        if let Some((phase, done)) = state.cache.final_phase(id) {
            return Some((phase_of(phase), done, 0, true));
        }
        match state.cache.job(id)? {
            JobEntry::Final { phase, done } => Some((phase_of(*phase), *done, 0, true)),
            JobEntry::Active(active) => {
                let counts = self
                    .partition_of(&active.request.team)
                    .and_then(|p| state.scheduling.partitions.get(&p))
                    .and_then(|part| part.jobs.get(id))
                    .map(|job| (job.running.len() as u32, job.done.count()));
                let (running, done) = counts.unwrap_or((0, active.done_count));
                let phase = if running > 0 {
                    JobPhase::Running
                } else {
                    JobPhase::Pending
                };
                Some((phase, done, running, false))
            }
        }
    }

    async fn submit(self: &Rc<Self>, body: &[u8]) -> Response {
        let mut request = match JobRequest::parse(body) {
            Ok(request) => request,
            Err(malformed) => {
                let Some(id) = JobRequest::parse_id(body) else {
                    return error(400, malformed.to_string());
                };
                // A repeated submission gets its 200 whatever it says now. Guards against a watch cache
                // that has not heard of the job yet.
                return if self.known(&id).is_none() && !self.read_index().await {
                    later("state unknown")
                } else if self.known(&id).is_some() {
                    self.known_answer(&id).await
                } else {
                    error(400, malformed.to_string())
                };
            }
        };
        let id = request.id.clone();
        // Looked up before anything that can change: a repeated submission gets its 200.
        if let Some((phase, .., true)) = self.known(&id) {
            return answer(200, &id, phase);
        }
        if self.known(&id).is_some() {
            return self.known_answer(&id).await;
        }
        let (synced, impossible) = {
            let state = self.state.borrow();
            let Some(specs) = &state.scheduling.specs else {
                return later("machine types unknown");
            };
            (
                state.cache.is_synced(),
                impossible(&request, &self.scheduler_config, specs),
            )
        };
        if !synced {
            return later("state unknown");
        }
        if let Some(why) = impossible {
            if !self.read_index().await {
                return later("state unknown");
            }
            return match self.known(&id) {
                Some((phase, ..)) => answer(200, &id, phase),
                None => error(422, why),
            };
        }
        if !request.dependencies.is_empty()
            && let Some(refusal) = self.check_needs(&mut request).await
        {
            return refusal;
        }
        if self.record_of(&request).is_none() {
            if !self.read_index().await {
                return later("state unknown");
            }
            if self.known(&id).is_some() {
                return self.known_answer(&id).await;
            }
            // It could never be written down, now or later.
            let field = match request.dependencies.len() {
                0..8 => "body",
                _ => "waits_on",
            };
            return error(422, format!("{field}: too long to be recorded"));
        }
        if self.is_doomed(&request) {
            return self.outcome(&id, self.create(&request, None).await).await;
        }
        if request.deadline.is_none() {
            return self.outcome(&id, self.create(&request, None).await).await;
        }
        let Some(p) = self.partition_of(&request.team) else {
            return later("owner unknown");
        };
        let owner = self.state.borrow().cache.owner(Role::Partition(p)).cloned();
        let verdict = match owner {
            Some(owner) if owner == self.settings.member => self.admit(request).await,
            Some(owner) if self.proposes_through_store(&owner) => self.propose(request).await,
            Some(owner) => match self.address_of(&owner) {
                Some(address) => {
                    let ask = MeshRequest::Admit(Box::new(request.clone()));
                    let limit = Micros::from_millis(1_800);
                    match self.try_mesh_call(address, ask, limit).await {
                        Ok(verdict) => verdict,
                        // Refused at once, as beyond a packet filter.
                        Err(error)
                            if error.is_unsent()
                                && self.uses_reachability(&self.state.borrow()) =>
                        {
                            self.propose(request).await
                        }
                        Err(_) => MeshResponse::Unavailable,
                    }
                }
                None => MeshResponse::Unavailable,
            },
            None => MeshResponse::Unavailable,
        };
        self.outcome(&id, verdict).await
    }

    async fn outcome(self: &Rc<Self>, id: &JobId, verdict: MeshResponse) -> Response {
        match verdict {
            MeshResponse::Accepted => {
                // A job before it may be cancelled, and so is this one.
                let phase = self.known(id).filter(|(.., over)| *over);
                answer(
                    201,
                    id,
                    phase.map_or(JobPhase::Pending, |(phase, ..)| phase),
                )
            }
            MeshResponse::Known => self.known_answer(id).await,
            MeshResponse::Rejected { retry_after_s } => {
                error(429, "would miss its deadline").retry_after(retry_after_s)
            }
            _ => later("can't decide now"),
        }
    }

    /// Whether the jobs that this one needs were ever accepted and are none that never end.
    /// `None`: they are; what is done already is dropped from the list.
    async fn check_needs(self: &Rc<Self>, request: &mut JobRequest) -> Option<Response> {
        if !self
            .state
            .borrow()
            .membership
            .features
            .supports(DEPENDENCIES)
        {
            // An earlier version would start the job at once.
            return Some(later("an earlier version still serves"));
        }
        if self.wrong_need(request).is_some() {
            // Said only after a barrier that began after the question.
            if !self.read_index().await {
                return Some(later("state unknown"));
            }
            if self.known(&request.id).is_some() {
                return Some(self.known_answer(&request.id).await);
            }
            if let Some(why) = self.wrong_need(request) {
                return Some(error(422, format!("waits_on: {why}")));
            }
        }
        let state = self.state.borrow();
        let done = |id: &JobId| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase == Some(RecordPhase::Done)
        };
        request.dependencies.retain(|id| !done(id));
        None
    }

    fn wrong_need(&self, request: &JobRequest) -> Option<String> {
        let state = self.state.borrow();
        request
            .dependencies
            .iter()
            .find_map(|id| match state.cache.job(id) {
                None => Some(format!("{id} was never accepted")),
                Some(JobEntry::Active(job)) if job.request.shape == Shape::Service => {
                    Some(format!("{id} is a service"))
                }
                Some(_) => None,
            })
    }

    /// A job that it needs is cancelled.
    fn is_doomed(&self, request: &JobRequest) -> bool {
        let state = self.state.borrow();
        request.dependencies.iter().any(|id| {
            let phase = state.cache.final_phase(id).map(|(phase, _)| phase);
            phase == Some(RecordPhase::Cancelled)
        })
    }

    /// The record of a new job; `None` if it would not fit, with room for some results.
    fn record_of(&self, request: &JobRequest) -> Option<JobRecord> {
        let record = if self.is_doomed(request) {
            JobRecord::terminal(RecordPhase::Cancelled, 0)
        } else {
            JobRecord {
                phase: RecordPhase::Active,
                done_count: 0,
                request: Some(request.clone()),
                submitted: Some(self.clock.wall()),
                finished: Vec::new(),
                failed_attempts: 0,
                residual_usage: None,
            }
        };
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |b| b.len());
        (bytes + RESULTS_ROOM <= self.settings.value_bytes).then_some(record)
    }

    /// What a repeated submission gets.
    async fn known_answer(self: &Rc<Self>, id: &JobId) -> Response {
        if !self.read_index().await {
            return later("state unknown");
        }
        match self.known(id) {
            Some((phase, ..)) => answer(200, id, phase),
            None => later("can't decide now"),
        }
    }

    /// Writes a new job's record: the acceptance. `owner` adds the partition's guard.
    async fn create(
        self: &Rc<Self>,
        request: &JobRequest,
        owner: Option<(u32, Revision)>,
    ) -> MeshResponse {
        let Some(record) = self.record_of(request) else {
            return MeshResponse::Unavailable;
        };
        let key = job_key(&request.id);
        let mut guards = vec![guard(&key, Revision(0))];
        if let Some((p, since)) = owner {
            guards.push(guard(role_key(Role::Partition(p)), since));
        }
        let change = put(&key, &record);
        match self
            .write(
                WritePriority::Accept,
                guards,
                vec![change],
                Micros::from_millis(1_500),
            )
            .await
        {
            WriteOutcome::Committed(_) => MeshResponse::Accepted,
            WriteOutcome::Conflict => MeshResponse::Known,
            WriteOutcome::NotExecuted => MeshResponse::Unavailable,
            // Read again, never assume.
            WriteOutcome::Unknown => {
                if self.read_index().await && self.known(&request.id).is_some() {
                    MeshResponse::Known
                } else {
                    MeshResponse::Unavailable
                }
            }
        }
    }

    /// The admission test, by the owner of the job's partition.
    pub async fn admit(self: &Rc<Self>, request: JobRequest) -> MeshResponse {
        if self.known(&request.id).is_some() {
            return MeshResponse::Known;
        }
        let now = self.now();
        let verdict = {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            if !state.authority.holds(now) {
                return MeshResponse::Unavailable;
            }
            let Some(p) = self.partition_of(&request.team) else {
                return MeshResponse::Unavailable;
            };
            let Some(specs) = &state.scheduling.specs else {
                return MeshResponse::Unavailable;
            };
            // Shared by the partitions; a guess where the leader has not spoken lately.
            let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
            let elastic = match state.provisioning.spare_capacity {
                Some((n, ready, at)) if now - at < Micros::from_secs(10) => {
                    (n.div_ceil(self.settings.size), ready)
                }
                _ => (1, boot.scale(1.3)),
            };
            if state.scheduling.rejected.len() > ASKED_MAX {
                state
                    .scheduling
                    .rejected
                    .retain(|_, r| now - r.last < Micros::from_secs(40));
            }
            let asked = state
                .scheduling
                .rejected
                .get(&request.id)
                .map_or(now, |r| r.first);
            let release = self.time_until_ready(state, &request, now);
            let Some(partition) = state.scheduling.partitions.get(&p) else {
                return MeshResponse::Unavailable;
            };
            let verdict = partition.admit(&request, asked, now, release, elastic);
            if verdict == AdmissionDecision::Admit {
                state.scheduling.rejected.remove(&request.id);
            } else if state.scheduling.rejected.len() <= ASKED_MAX {
                let hosts = jasperhill_scheduler::autoscaler::hosts_for(&request, specs);
                let refused = RejectedJob {
                    first: asked,
                    last: now,
                    partition: p,
                    hosts,
                };
                state
                    .scheduling
                    .rejected
                    .insert(request.id.clone(), refused);
            }
            (verdict, p, partition.since)
        };
        match verdict {
            (AdmissionDecision::Admit, p, since) => self.create(&request, Some((p, since))).await,
            (AdmissionDecision::Refuse, ..) => {
                if !self.read_index().await {
                    MeshResponse::Unavailable
                } else if self.known(&request.id).is_some() {
                    MeshResponse::Known
                } else {
                    tracing::debug!(job = %request.id, "refused");
                    MeshResponse::Rejected {
                        retry_after_s: REFUSED_RETRY_S,
                    }
                }
            }
        }
    }

    /// How long until the jobs that this one needs are expected to be done: their estimates along
    /// the longest path, less what has passed where they run already.
    pub fn time_until_ready(&self, state: &State, request: &JobRequest, now: Micros) -> Micros {
        let rest = |id: &JobId| {
            let Some(JobEntry::Active(job)) = state.cache.job(id) else {
                return Micros::ZERO;
            };
            let own = self
                .partition_of(&job.request.team)
                .and_then(|p| state.scheduling.partitions.get(&p));
            let estimate = own.map_or(job.request.estimate, |p| p.estimate(&job.request));
            if state.cache.dependencies.state_of(id) != DependencyState::Ready {
                return estimate;
            }
            let since = match state.scheduling.released.get(id) {
                Some(at) => *at,
                None => self.clock.steady(job.submitted),
            };
            // Where it really stands is known to its owner alone.
            match own.and_then(|p| p.jobs.get(id)) {
                Some(job) if job.running.is_empty() => estimate,
                _ => jasperhill_scheduler::schedule_simulation::remaining(estimate, now - since),
            }
        };
        state
            .cache
            .dependencies
            .time_until_ready(&request.dependencies, rest)
    }

    async fn poll(self: &Rc<Self>, id: &str) -> Response {
        let Some(id) = JobId::parse(id) else {
            return error(404, "no such job");
        };
        let status = |(phase, done, running, _): (JobPhase, u32, u32, bool)| {
            json(
                200,
                &JobStatus {
                    id: id.as_str(),
                    phase,
                    done,
                    running,
                },
            )
        };
        // Final phases are final: any watch cache may say them.
        if let Some(view @ (.., true)) = self.known(&id) {
            return status(view);
        }
        let owner = self.other_owner(&id);
        let counts = async {
            match owner {
                Some(owner) => self.task_counts_from(owner, &id).await,
                None => None,
            }
        };
        let (fine, counts) = tokio::join!(self.read_index(), counts);
        if !fine {
            return later("state unknown");
        }
        // The phase is the barrier's; counts are for display.
        match (self.known(&id), counts) {
            (Some((JobPhase::Pending, _, _, false)), Some(TaskCounts { running, done })) => {
                let phase = if running > 0 {
                    JobPhase::Running
                } else {
                    JobPhase::Pending
                };
                status((phase, done, running, false))
            }
            (Some(view), _) => status(view),
            (None, _) => error(404, "no such job"),
        }
    }

    /// Who runs an unfinished job, if somebody else does.
    fn other_owner(&self, id: &JobId) -> Option<Member> {
        let state = self.state.borrow();
        let Some(JobEntry::Active(active)) = state.cache.job(id) else {
            return None;
        };
        let p = self.partition_of(&active.request.team)?;
        let owner = state.cache.owner(Role::Partition(p))?;
        (owner != &self.settings.member).then(|| owner.clone())
    }

    async fn cancel(self: &Rc<Self>, id: &str) -> Response {
        let Some(id) = JobId::parse(id) else {
            return error(404, "no such job");
        };
        for _ in 0..4 {
            let found = {
                let state = self.state.borrow();
                if let Some((phase, _)) = state.cache.final_phase(&id) {
                    return answer(200, &id, phase_of(phase));
                }
                match state.cache.job(&id) {
                    Some(JobEntry::Active(a)) => {
                        let at = self.clock.wall();
                        let record = JobRecord::cancelled(&a.request, a.done_count, at);
                        Some((a.version, record))
                    }
                    _ => None,
                }
            };
            let Some((version, record)) = found else {
                if !self.read_index().await {
                    return later("state unknown");
                }
                if self.known(&id).is_none() {
                    return error(404, "no such job");
                }
                continue;
            };
            let guards = vec![guard(job_key(&id), version)];
            let changes = vec![put(job_key(&id), &record)];
            let limit = Micros::from_millis(1_500);
            match self
                .write(WritePriority::Cancel, guards, changes, limit)
                .await
            {
                WriteOutcome::Committed(_) => {
                    tracing::info!(job = %id, "cancelled");
                    return answer(200, &id, JobPhase::Cancelled);
                }
                WriteOutcome::NotExecuted => break,
                // Someone else was first, or nobody knows: read again.
                WriteOutcome::Conflict | WriteOutcome::Unknown => {
                    if !self.read_index().await {
                        break;
                    }
                }
            }
        }
        later("can't decide now")
    }
}
