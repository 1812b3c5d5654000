//! What this controller knows of the others: roles, reachability, restarts, feature levels; and whether
//! it is isolated from the store. Only the state is here; `roles`, `relay` and `mesh` change it.

use crate::{feature_gate::FeatureGate, settings::Settings};
use jasperhill_membership::{Reachability, RestartHistory, Roles, restart_history::ProcessRun};
use jasperhill_wire::{Member, Micros, record::SessionRecord};
use std::collections::BTreeMap;

/// What this controller knows of the others.
pub(crate) struct MembershipState {
    /// Who should hold which role.
    pub roles: Roles,
    /// Whether this process has been restarted again and again.
    pub restarts: RestartHistory,
    /// Which links work.
    pub reachability: Reachability,
    /// What every member understands.
    pub features: FeatureGate,
    /// Since when peers have not been reached, by the steady clock.
    pub silent_since: BTreeMap<Member, Micros>,
}

impl MembershipState {
    /// `now`: by the steady clock; `wall`: the time of day at which this process started.
    pub fn new(settings: &Settings, now: Micros, wall: Micros) -> Self {
        let own = &settings.member;
        let peers = settings.peers.iter().map(|p| p.member.clone()).collect();
        Self {
            roles: Roles::new(own.clone(), settings.members(), settings.size),
            restarts: RestartHistory::new(settings.crash_loop_threshold(), now),
            reachability: Reachability::new(own.clone(), peers, wall),
            features: FeatureGate::default(),
            silent_since: BTreeMap::new(),
        }
    }
}

/// Whether the state service answers others, but not this controller.
#[derive(Default)]
pub(crate) struct IsolationState {
    /// It does.
    pub isolated: bool,
    /// Since when the links show it, by the steady clock. Once that has lasted, it is kept until the link
    /// to the store is up.
    pub since: Option<Micros>,
}

/// What a session's record says of the process that began it.
pub(crate) fn process_run_of(record: &SessionRecord) -> ProcessRun {
    ProcessRun {
        started: record.process_started,
        quick_restarts: record.quick_restarts,
    }
}
