//! Proposals: jobs with deadlines whose owner is not reached by mesh while the state service answers are
//! handed over to it through the store. Owns [`state::ProposalState`].
//!
//! The proposer writes `jh/want/<job>`, tied to its session. The owner sees it, runs the admission
//! test and writes the job's record, or the rejection into the proposal; the proposer sees either and
//! deletes the proposal. A proposal that is seen late is as good as a submission that comes late: the
//! job's record is written once, guarded by its absence, and a user who was told to come back
//! finds it there.

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

/// Open proposals of this controller at a time; beyond, users are told to come back at once.
const OPEN_MAX: usize = 64;
/// How long the owner's decision is waited for: users wait five seconds for an answer.
const DECISION_LIMIT: Duration = Duration::from_millis(1_500);
/// How long the deletion of a proposal may wait before it is sent: nobody waits for it.
const DELETE_LIMIT: Micros = Micros::from_secs(10);
/// How long a proposal or a rejection may wait before it is sent.
const WRITE_LIMIT: Micros = Micros::from_millis(700);

/// A proposal that is to be decided on.
struct UndecidedProposal {
    /// Of the proposal's record.
    version: Revision,
    /// Who waits for the decision.
    proposer: Member,
    /// The job.
    request: JobRequest,
    /// The partition that would run the job, which this controller owns.
    partition: u32,
    /// The revision at which this controller took the partition over.
    owned_since: Revision,
}

impl Shared {
    /// Whether the owner is to be asked through the store: its link is down.
    pub fn proposes_through_store(&self, owner: &Member) -> bool {
        let state = self.state.borrow();
        self.uses_reachability(&state)
            && state
                .membership
                .reachability
                .own_link(&LinkId::Peer(owner.clone()))
                == LinkState::Down
    }

    /// Proposes a job to its owner through the store, and waits for the decision. `Unavailable` if there
    /// is none in time; the owner may still accept the job then.
    pub async fn propose(self: &Rc<Self>, request: JobRequest) -> MeshResponse {
        let id = request.id.clone();
        let record = ProposalRecord {
            proposer: self.settings.member.clone(),
            request: Some(request),
            retry_after_s: None,
        };
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |b| b.len());
        let (lease, version) = {
            let mut state = self.state.borrow_mut();
            let Session::Held { lease, version } = state.authority.session() else {
                return MeshResponse::Unavailable;
            };
            if bytes > self.settings.value_bytes
                || state.isolation.isolated
                || state.proposals.open.len() >= OPEN_MAX
                || state.cache.proposals.contains_key(&id)
                || !state.proposals.open.insert(id.clone())
            {
                return MeshResponse::Unavailable;
            }
            (lease, version)
        };
        let change = put_with_lease(proposal_key(&id), &record, lease);
        let session = session_key(&self.settings.member);
        let guards = vec![
            guard(session, version),
            guard(proposal_key(&id), Revision(0)),
        ];
        let outcome = self
            .write(WritePriority::Accept, guards, vec![change], WRITE_LIMIT)
            .await;
        let decision = match outcome {
            WriteOutcome::Committed(_) => timeout(DECISION_LIMIT, self.proposal_outcome(&id))
                .await
                .ok(),
            _ => None,
        };
        self.state.borrow_mut().proposals.open.remove(&id);
        if !matches!(outcome, WriteOutcome::Conflict | WriteOutcome::NotExecuted) {
            self.clone().spawn(self.clone().delete_proposal(id));
        }
        decision.unwrap_or(MeshResponse::Unavailable)
    }

    /// The owner's decision: the job's record, or a rejection.
    async fn proposal_outcome(&self, id: &JobId) -> MeshResponse {
        loop {
            let changed = self.wake.proposals.notified();
            {
                let state = self.state.borrow();
                if state.cache.job(id).is_some() {
                    return MeshResponse::Accepted;
                }
                let proposal = state.cache.proposals.get(id);
                if let Some(retry_after_s) = proposal.and_then(|k| k.value.retry_after_s) {
                    return MeshResponse::Rejected { retry_after_s };
                }
            }
            changed.await;
        }
    }

    /// Deletes a proposal that is decided on, or that nobody waits for any more.
    async fn delete_proposal(self: Rc<Self>, id: JobId) {
        let change = Change::Delete {
            key: proposal_key(&id),
        };
        // If it is not executed, the proposal goes with the session.
        self.write(
            WritePriority::Finish,
            Vec::new(),
            vec![change],
            DELETE_LIMIT,
        )
        .await;
    }

    /// A proposal has changed: whoever owns the job's partition decides on it.
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
        let owner = role_key(Role::Partition(proposal.partition));
        let guards = vec![
            guard(key.clone(), proposal.version),
            guard(owner, proposal.owned_since),
        ];
        let changes = vec![put(key, &rejection)];
        self.write(WritePriority::Accept, guards, changes, WRITE_LIMIT)
            .await;
    }

    /// A proposal of another controller that this one has to decide on.
    fn undecided_proposal(&self, id: &JobId) -> Option<UndecidedProposal> {
        let state = self.state.borrow();
        let entry = state.cache.proposals.get(id)?;
        let record = &entry.value;
        if record.retry_after_s.is_some() || record.proposer == self.settings.member {
            return None;
        }
        let request = record.request.clone()?;
        let partition = self.partition_of(&request.team)?;
        Some(UndecidedProposal {
            version: entry.version,
            proposer: record.proposer.clone(),
            request,
            partition,
            owned_since: state.scheduling.partitions.get(&partition)?.since,
        })
    }
}
