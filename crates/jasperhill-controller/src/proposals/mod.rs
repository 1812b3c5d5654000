//! Jobs with deadlines whose owner is not reached by mesh while the state service answers: they are
//! put before it through the store. Owns the questions of this controller that are open.
//!
//! The receiver writes `jh/want/<job>`, tied to its session. The owner sees it, runs the admission
//! test and writes the job's record, or the refusal into the want; the receiver sees either and
//! deletes the want. A want that is seen late is as good as a submission that comes late: the
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
    record::{ProposalRecord, Role, proposal_key, session_key},
    store::Change,
    user::JobRequest,
};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Questions of this controller open at a time; beyond, users are told to come back at once.
const WANTS_MAX: usize = 64;
/// How long the owner's word is waited for: users wait five seconds for an answer.
const WAIT: Duration = Duration::from_millis(1_500);
const WRITE: Micros = Micros::from_millis(700);

impl Shared {
    /// Whether the owner had better be asked through the store.
    pub fn proposes_through_store(&self, owner: &Member) -> bool {
        let state = self.state.borrow();
        self.uses_reachability(&state)
            && state
                .membership
                .reachability
                .own_link(&LinkId::Peer(owner.clone()))
                == LinkState::Down
    }

    /// Puts a job before its owner through the store, and waits for its word.
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
                || state.proposals.open.len() >= WANTS_MAX
                || state.cache.proposals.contains_key(&id)
                || !state.proposals.open.insert(id.clone())
            {
                return MeshResponse::Unavailable;
            }
            (lease, version)
        };
        let change = put_with_lease(proposal_key(&id), &record, lease);
        let me = session_key(&self.settings.member);
        let guards = vec![guard(me, version), guard(proposal_key(&id), Revision(0))];
        let done = self
            .write(WritePriority::Accept, guards, vec![change], WRITE)
            .await;
        let word = match done {
            WriteOutcome::Committed(_) => timeout(WAIT, self.proposal_outcome(&id)).await.ok(),
            _ => None,
        };
        self.state.borrow_mut().proposals.open.remove(&id);
        if !matches!(done, WriteOutcome::Conflict | WriteOutcome::NotExecuted) {
            self.clone().spawn(self.clone().delete_proposal(id));
        }
        word.unwrap_or(MeshResponse::Unavailable)
    }

    /// The owner's word: the job's record, or a refusal.
    async fn proposal_outcome(&self, id: &JobId) -> MeshResponse {
        loop {
            let news = self.wake.proposals.notified();
            {
                let state = self.state.borrow();
                if state.cache.job(id).is_some() {
                    return MeshResponse::Accepted;
                }
                let want = state.cache.proposals.get(id);
                if let Some(retry_after_s) = want.and_then(|k| k.value.retry_after_s) {
                    return MeshResponse::Rejected { retry_after_s };
                }
            }
            news.await;
        }
    }

    async fn delete_proposal(self: Rc<Self>, id: JobId) {
        let change = Change::Delete {
            key: proposal_key(&id),
        };
        // If it does not come through, the want goes with the session.
        self.write(
            WritePriority::Finish,
            Vec::new(),
            vec![change],
            Micros::from_secs(10),
        )
        .await;
    }

    /// A want has changed: whoever owns the job's partition decides on it.
    pub async fn decide_proposal(self: Rc<Self>, id: JobId) {
        let found = {
            let state = self.state.borrow();
            let kept = state.cache.proposals.get(&id).cloned();
            kept.filter(|k| {
                k.value.retry_after_s.is_none() && k.value.proposer != self.settings.member
            })
            .and_then(|k| {
                let request = k.value.request.clone()?;
                let p = self.partition_of(&request.team)?;
                let since = state.scheduling.partitions.get(&p)?.since;
                Some((k.version, k.value.proposer, request, p, since))
            })
        };
        let Some((version, by, request, p, since)) = found else {
            return;
        };
        if let MeshResponse::Rejected { retry_after_s } = self.admit(request).await {
            let refusal = ProposalRecord {
                proposer: by,
                request: None,
                retry_after_s: Some(retry_after_s),
            };
            let guards = vec![
                guard(proposal_key(&id), version),
                guard(jasperhill_wire::record::role_key(Role::Partition(p)), since),
            ];
            let change = put(proposal_key(&id), &refusal);
            self.write(WritePriority::Accept, guards, vec![change], WRITE)
                .await;
        }
    }
}
