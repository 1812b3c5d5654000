//! Carries out role transitions: acquires, loads, releases, relinquishes and hands over the leader
//! role and partitions.
//!
//! `state.membership.roles` decides on the transitions; only [`jasperhill_membership::Roles::apply`]
//! changes that state. Invariants:
//!
//! - This controller acts on a role only after loading it from a watch cache that includes the
//!   revision of the takeover.
//! - It unloads a role before any other member learns that the role was given up.
//! - The owner in a role's record changes only by guarded writes.

mod hand_over;
mod loading;
mod restarts;
mod takeover;
mod write;

use crate::{shared::Shared, state::State};
use jasperhill_membership::{
    restart_history,
    roles::{self, Snapshot, Transition},
};
use jasperhill_wire::{Micros, record::Role};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Longest time between two evaluations of the roles.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);

impl Shared {
    /// Evaluates the roles at regular intervals and on wake-ups, and spawns takeovers and
    /// hand-overs. Spawned by the controller at its start; never returns.
    pub async fn roles_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(EVALUATION_INTERVAL, self.wakeups.roles.notified()).await;
            for transition in self.evaluate_roles() {
                match transition {
                    Transition::Acquire(role) => self.clone().spawn(self.clone().take_over(role)),
                    Transition::HandOver { role, to, urgent } => {
                        let task = self.clone().hand_over(role, to, urgent);
                        self.clone().spawn(task);
                    }
                    Transition::Hold(..) | Transition::Release(_) | Transition::Relinquish(_) => {}
                }
            }
        }
    }

    /// Evaluates the roles, and loads, unloads and relinquishes them accordingly. Returns all
    /// transitions; the caller spawns the takeovers and hand-overs, which wait for the store.
    fn evaluate_roles(&self) -> Vec<Transition> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let Some((lease, _)) = self.session_guard(state) else {
            return Vec::new();
        };
        if !state.cache.is_synced() || state.scheduling.machine_types.is_none() {
            return Vec::new();
        }
        let snapshot = self.role_snapshot(state, lease, now);
        let membership = &mut state.membership;
        membership.restarts.apply(restart_history::Input::Tick, now);
        let evaluate = roles::Input::Evaluate(&snapshot);
        let transitions = membership.roles.apply(evaluate, now);
        for transition in &transitions {
            match transition {
                // A role is loaded only once the watch cache includes the revision of the
                // takeover.
                Transition::Hold(role, version) if state.cache.revision >= *version => {
                    self.load_role(state, *role, *version, now);
                }
                Transition::Release(role) => unload_role(state, *role),
                Transition::Relinquish(role) => self.relinquish_role(state, *role, now),
                Transition::Hold(..) | Transition::Acquire(_) | Transition::HandOver { .. } => {}
            }
        }
        transitions
    }

    /// Returns the input of a role evaluation. `lease` is the lease of this controller's session.
    fn role_snapshot(&self, state: &State, lease: u64, now: Micros) -> Snapshot {
        let reachability = &state.membership.reachability;
        let mut ownerships = state.cache.ownerships();
        for (role, ownership) in &mut ownerships {
            let (owner, version) = (&ownership.owner, ownership.version);
            ownership.relinquished = reachability.has_relinquished(owner, *role, version, now);
        }
        let partitions = state.scheduling.partitions.keys();
        let leader = state.provisioning.leader.iter().map(|_| Role::Leader);
        let held_roles = partitions.map(|p| Role::Partition(*p)).chain(leader);
        let (eligibility, hosts) = self.role_eligibility(state, now);
        Snapshot {
            lease,
            ownerships,
            held_roles: held_roles.collect(),
            may_acquire: state.authority.is_valid_at(now),
            reachability_enabled: self.uses_reachability(state),
            crash_looping: self.crash_looping_members(state),
            eligibility,
            host_counts: hosts,
            min_move_interval: self.settings.lease_time,
        }
    }

    /// Unloads a role for good, then wakes the reachability loop, which reports that to the other
    /// members. The role is unloaded first so that the report is true when it is sent.
    fn relinquish_role(&self, state: &mut State, role: Role, now: Micros) {
        let Some(version) = state.cache.roles.get(&role).map(|k| k.version) else {
            return;
        };
        tracing::info!(?role, "role relinquished: the state service answers others");
        let relinquished = roles::Input::Relinquished(role, version);
        state.membership.roles.apply(relinquished, now);
        unload_role(state, role);
        self.wakeups.reachability.notify_one();
    }

    /// Marks a takeover or hand-over as completed, whether or not it succeeded.
    fn finish_transition(&self, role: Role) {
        let now = self.now();
        let transition_over = roles::Input::TransitionEnded(role);
        self.state
            .borrow_mut()
            .membership
            .roles
            .apply(transition_over, now);
    }
}

/// Stops acting on a role by dropping its in-memory state.
fn unload_role(state: &mut State, role: Role) {
    match role {
        Role::Leader => state.provisioning.leader = None,
        Role::Partition(partition) => {
            if state.scheduling.partitions.remove(&partition).is_some() {
                tracing::info!(partition, "partition unloaded");
            }
        }
    }
}
