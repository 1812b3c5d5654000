//! State about the controllers of the deployment (roles, reachability, restarts, feature levels), and
//! whether this controller is isolated from the store. This module only defines the state; `roles`,
//! `relay` and `mesh` modify it.

use crate::{feature_gate::FeatureGate, settings::Settings};
use jasperhill_membership::{Reachability, RestartHistory, Roles, restart_history::ProcessRun};
use jasperhill_wire::{Member, Micros, record::SessionRecord};
use std::collections::BTreeMap;

/// What this controller knows about the members: roles, links, restarts and feature levels.
pub(crate) struct MembershipState {
    /// Which member should hold which role.
    pub roles: Roles,
    /// The recent restarts of this process, to detect a crash loop.
    pub restarts: RestartHistory,
    /// The state of the links between members, the store, the cloud and workers.
    pub reachability: Reachability,
    /// The features that all members support.
    pub features: FeatureGate,
    /// The time since which each unreachable peer has not been reached, by the steady clock.
    pub unreachable_since: BTreeMap<Member, Micros>,
}

impl MembershipState {
    /// Creates the state of a process that has just started. `now`: steady time; `wall`: time of
    /// day of the process's start.
    pub fn new(settings: &Settings, now: Micros, wall: Micros) -> Self {
        let own_member = &settings.member;
        let peers = settings
            .peers
            .iter()
            .map(|peer| peer.member.clone())
            .collect();
        Self {
            roles: Roles::new(
                own_member.clone(),
                settings.members(),
                settings.partition_count,
            ),
            restarts: RestartHistory::new(settings.crash_loop_threshold(), now),
            reachability: Reachability::new(own_member.clone(), peers, wall),
            features: FeatureGate::default(),
            unreachable_since: BTreeMap::new(),
        }
    }
}

/// Whether this controller is isolated from the store: the state service answers other controllers, but
/// not this one.
#[derive(Default)]
pub(crate) struct IsolationState {
    /// Whether this controller counts as isolated.
    pub is_isolated: bool,
    /// The time since which the links show the isolation, by the steady clock; `None` if they
    /// don't. Once the isolation has lasted for some seconds, this time is kept until the link to
    /// the store is up.
    pub isolated_since: Option<Micros>,
}

/// Extracts the start time and the number of quick restarts of a member's process from its session
/// record.
pub(crate) fn process_run_from_session(record: &SessionRecord) -> ProcessRun {
    ProcessRun {
        started_at: record.process_started,
        quick_restarts: record.quick_restarts,
    }
}
