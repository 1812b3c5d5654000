//! Detection of members in a crash loop, so that they leave roles and users to healthy members.

use crate::{membership::process_run_from_session, shared::Shared, state::State};
use jasperhill_membership::restart_history::Phase;
use jasperhill_wire::Member;
use std::collections::BTreeSet;

/// Returns whether this controller is in a crash loop.
fn is_crash_looping(state: &State) -> bool {
    let phase = state.membership.restarts.phase();
    matches!(phase, Phase::CrashLooping { .. })
}

impl Shared {
    /// Returns the members in a crash loop: those that have restarted repeatedly within short times
    /// and have not run for long since. May include this controller.
    pub(super) fn crash_looping_members(&self, state: &State) -> BTreeSet<Member> {
        let threshold = state.membership.restarts.threshold();
        let wall_time = self.clock.wall();
        let this_member = &self.settings.member;
        let mut members: BTreeSet<Member> = state
            .cache
            .sessions
            .iter()
            .filter(|(member, _)| *member != this_member)
            .filter(|(_, s)| {
                process_run_from_session(&s.value).is_crash_looping(threshold, wall_time)
            })
            .map(|(member, _)| member.clone())
            .collect();
        if is_crash_looping(state) {
            members.insert(this_member.clone());
        }
        members
    }

    /// Returns whether this controller leaves roles and users to other members: it is in a crash
    /// loop, and at least one other member with a session is not. Ends once this controller has
    /// run for a while. Called for readiness and at the start of a session.
    pub fn defers_to_other_members(&self, state: &State) -> bool {
        if !is_crash_looping(state) {
            return false;
        }
        let crash_looping = self.crash_looping_members(state);
        let mut members = state.cache.sessions.keys();
        members.any(|m| m != &self.settings.member && !crash_looping.contains(m))
    }
}
