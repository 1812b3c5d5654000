//! What a controller knows of the others: roles, reachability, restarts, versions; and whether it is
//! isolated from the store.

use crate::{feature_gate::FeatureGate, settings::Settings};
use jasperhill_membership::{Reachability, RestartHistory, Roles};
use jasperhill_wire::{Member, Micros};
use std::collections::BTreeMap;

/// What a controller knows of the others.
pub(crate) struct MembershipState {
    /// Who should hold which role.
    pub roles: Roles,
    /// Whether this process has been restarted again and again.
    pub restarts: RestartHistory,
    /// Which links work.
    pub reachability: Reachability,
    /// What every member understands.
    pub features: FeatureGate,
    /// Since when peers have not been reached.
    pub silent_since: BTreeMap<Member, Micros>,
}

impl MembershipState {
    /// `wall`: the time of day at which this process started.
    pub fn new(settings: &Settings, now: Micros, wall: Micros) -> Self {
        let me = &settings.member;
        let peers = settings.peers.iter().map(|p| p.member.clone()).collect();
        Self {
            roles: Roles::new(me.clone(), settings.members(), settings.size),
            restarts: RestartHistory::new(settings.crash_loop_threshold(), now),
            reachability: Reachability::new(me.clone(), peers, wall),
            features: FeatureGate::default(),
            silent_since: BTreeMap::new(),
        }
    }
}

/// Whether the state service answers others, but not this controller.
#[derive(Default)]
pub(crate) struct IsolationState {
    pub isolated: bool,
    /// Since when, if it has been so since.
    pub since: Option<Micros>,
}
