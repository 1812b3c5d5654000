//! Proposals: jobs with deadlines that a controller submits to their owner through the store, because
//! the owner can't be reached over the mesh while the store answers. The state is
//! [`state::ProposalState`].
//!
//! The proposer writes the proposal at `jh/want/<job>`, tied to its session. The owner sees the
//! proposal, runs the admission test, and writes either the job's record, or the rejection into the
//! proposal. The proposer sees either record and deletes the proposal.
//!
//! Invariant: a proposal that is seen late has the same effect as a submission that arrives late. The
//! job's record is written only once, as the write requires that no record exists, and a user who was
//! told to come back finds the record.

pub mod state;

use crate::{
    shared::Shared,
    store::{WriteOutcome, WritePriority, guard, put, put_with_lease},
};
use jasperhill_membership::{authority::Session, reachability::LinkId};
use jasperhill_wire::{
    JobId, Member, Micros, Revision,
    mesh::{LinkState, MeshResponse},
    record::{ProposalRecord, Role, proposal_key, role_key, session_key},
    store::Change,
    user::JobRequest,
};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// The largest number of open proposals of this controller. Users with further jobs are told at once to
/// come back.
const MAX_OPEN_PROPOSALS: usize = 64;
/// The longest time that the proposer waits for the owner's decision. Users wait five seconds for an
/// answer.
const DECISION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time that the deletion of a proposal may wait before it is sent. No user waits for the
/// deletion.
const DELETE_TIMEOUT: Micros = Micros::from_secs(10);
/// The longest time that the write of a proposal or a rejection may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_millis(700);

/// Another controller's proposal that this controller, as the owner, has to decide on.
struct UndecidedProposal {
    /// The version of the proposal's record.
    version: Revision,
    /// The controller that waits for the decision.
    proposer: Member,
    /// The proposed job.
    request: JobRequest,
    /// The number of the partition that would run the job. This controller owns the partition.
    partition: u32,
    /// The revision at which this controller became the owner of the partition.
    owned_since: Revision,
}

impl Shared {
    /// Returns whether jobs are proposed to an owner through the store, because the link to the owner
    /// is down.
    pub fn proposes_through_store(&self, owner: &Member) -> bool {
        let state = self.state.borrow();
        self.uses_reachability(&state)
            && state
                .membership
                .reachability
                .own_link(&LinkId::Peer(owner.clone()))
                == LinkState::Down
    }

    /// Proposes a job to its owner through the store and waits for the owner's decision. Returns
    /// `Unavailable` if the job can't be proposed, or if no decision arrives in time; in the latter
    /// case the owner may still accept the job.
    pub async fn propose(self: &Rc<Self>, request: JobRequest) -> MeshResponse {
        let id = request.id.clone();
        let record = ProposalRecord {
            proposer: self.settings.member.clone(),
            request: Some(request),
            retry_after_s: None,
        };
        let encoded_bytes = serde_json::to_vec(&record).map_or(usize::MAX, |json| json.len());
        let (lease, version) = {
            let mut state = self.state.borrow_mut();
            let Session::Held { lease, version } = state.authority.session() else {
                return MeshResponse::Unavailable;
            };
            if encoded_bytes > self.settings.value_bytes
                || state.isolation.is_isolated
                || state.proposals.open_proposals.len() >= MAX_OPEN_PROPOSALS
                || state.cache.proposals.contains_key(&id)
                || !state.proposals.open_proposals.insert(id.clone())
            {
                return MeshResponse::Unavailable;
            }
            (lease, version)
        };
        let change = put_with_lease(proposal_key(&id), &record, lease);
        let own_session_key = session_key(&self.settings.member);
        let guards = vec![
            guard(own_session_key, version),
            guard(proposal_key(&id), Revision(0)),
        ];
        let outcome = self
            .write(WritePriority::Accept, guards, vec![change], WRITE_TIMEOUT)
            .await;
        let decision = match outcome {
            WriteOutcome::Committed(_) => timeout(DECISION_TIMEOUT, self.wait_for_decision(&id))
                .await
                .ok(),
            _ => None,
        };
        self.state.borrow_mut().proposals.open_proposals.remove(&id);
        if !matches!(outcome, WriteOutcome::Conflict | WriteOutcome::NotExecuted) {
            self.clone().spawn(self.clone().delete_proposal(id));
        }
        decision.unwrap_or(MeshResponse::Unavailable)
    }

    /// Waits for the owner's decision: the job's record means acceptance; the alternative is a
    /// rejection in the proposal's record.
    async fn wait_for_decision(&self, id: &JobId) -> MeshResponse {
        loop {
            let proposals_changed = self.wakeups.proposals.notified();
            {
                let state = self.state.borrow();
                if state.cache.job(id).is_some() {
                    return MeshResponse::Accepted;
                }
                let proposal = state.cache.proposals.get(id);
                if let Some(retry_after_s) = proposal.and_then(|cached| cached.value.retry_after_s)
                {
                    return MeshResponse::Rejected { retry_after_s };
                }
            }
            proposals_changed.await;
        }
    }

    /// Deletes a proposal that the owner has decided on, or whose decision no user waits for any more.
    async fn delete_proposal(self: Rc<Self>, id: JobId) {
        let change = Change::Delete {
            key: proposal_key(&id),
        };
        // If the deletion is not executed, the proposal is removed when this controller's session ends.
        self.write(
            WritePriority::Finish,
            Vec::new(),
            vec![change],
            DELETE_TIMEOUT,
        )
        .await;
    }

    /// Decides on a proposal that has changed, if this controller owns the job's partition.
    pub async fn decide_proposal(self: Rc<Self>, id: JobId) {
        let Some(proposal) = self.undecided_proposal(&id) else {
            return;
        };
        let MeshResponse::Rejected { retry_after_s } = self.admit(proposal.request).await else {
            return;
        };
        let rejection = ProposalRecord {
            proposer: proposal.proposer,
            request: None,
            retry_after_s: Some(retry_after_s),
        };
        let key = proposal_key(&id);
        let owner_key = role_key(Role::Partition(proposal.partition));
        let guards = vec![
            guard(key.clone(), proposal.version),
            guard(owner_key, proposal.owned_since),
        ];
        let changes = vec![put(key, &rejection)];
        self.write(WritePriority::Accept, guards, changes, WRITE_TIMEOUT)
            .await;
    }

    /// Returns the proposal of a job if another controller made it and this controller has yet to
    /// decide on it; otherwise returns `None`.
    fn undecided_proposal(&self, id: &JobId) -> Option<UndecidedProposal> {
        let state = self.state.borrow();
        let cached = state.cache.proposals.get(id)?;
        let record = &cached.value;
        if record.retry_after_s.is_some() || record.proposer == self.settings.member {
            return None;
        }
        let request = record.request.clone()?;
        let partition = self.partition_of(&request.team)?;
        Some(UndecidedProposal {
            version: cached.version,
            proposer: record.proposer.clone(),
            request,
            partition,
            owned_since: state.scheduling.partitions.get(&partition)?.owned_since,
        })
    }
}
