//! Crash loops: members whose processes end again and again.

use crate::{membership::process_run_of, shared::Shared, state::State};
use jasperhill_membership::restart_history::Phase;
use jasperhill_wire::Member;
use std::collections::BTreeSet;

fn is_crash_looping(state: &State) -> bool {
    let phase = state.membership.restarts.phase();
    matches!(phase, Phase::CrashLooping { .. })
}

impl Shared {
    /// The members that have ended again and again and have not lived for long since.
    pub(super) fn crash_looping_members(&self, state: &State) -> BTreeSet<Member> {
        let threshold = state.membership.restarts.threshold();
        let wall = self.clock.wall();
        let me = &self.settings.member;
        let mut members: BTreeSet<Member> = state
            .cache
            .sessions
            .iter()
            .filter(|(member, _)| *member != me)
            .filter(|(_, s)| process_run_of(&s.value).is_crash_looping(threshold, wall))
            .map(|(member, _)| member.clone())
            .collect();
        if is_crash_looping(state) {
            members.insert(me.clone());
        }
        members
    }

    /// This controller has ended again and again while others live on: it leaves roles and users
    /// to them until it has lived for a while. Called for readiness and where a session begins.
    pub fn defers_to_other_members(&self, state: &State) -> bool {
        if !is_crash_looping(state) {
            return false;
        }
        let crash_looping = self.crash_looping_members(state);
        let mut members = state.cache.sessions.keys();
        members.any(|m| m != &self.settings.member && !crash_looping.contains(m))
    }
}
