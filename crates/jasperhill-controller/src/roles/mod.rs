//! Roles: which this controller acquires, loads, releases and hands over.
//!
//! `state.membership.roles` decides and is changed by [`jasperhill_membership::Roles::apply`]
//! alone; here its transitions are carried out. A role is acted on only once it is loaded, from a
//! watch cache that holds everything up to the takeover, and is unloaded before anything else
//! learns that it was given up. Owners change by guarded writes alone.

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

/// Roles are evaluated at least this often.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);

impl Shared {
    /// Runs for as long as the controller does; started by it.
    pub async fn roles_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(EVALUATION_INTERVAL, self.wake.roles.notified()).await;
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

    /// Loads and unloads roles by what the store says. Returns all transitions: takeovers and
    /// hand-overs take time.
    fn evaluate_roles(&self) -> Vec<Transition> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let Some((lease, _)) = self.session_guard(state) else {
            return Vec::new();
        };
        if !state.cache.is_synced() || state.scheduling.specs.is_none() {
            return Vec::new();
        }
        let snapshot = self.role_snapshot(state, lease, now);
        let membership = &mut state.membership;
        membership.restarts.apply(restart_history::Input::Tick, now);
        let evaluate = roles::Input::Evaluate(&snapshot);
        let transitions = membership.roles.apply(evaluate, now);
        for transition in &transitions {
            match transition {
                // Built only once the watch cache holds everything up to the takeover.
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

    /// What the decision on roles rests on. `lease`: that of this controller's session.
    fn role_snapshot(&self, state: &State, lease: u64, now: Micros) -> Snapshot {
        let reachability = &state.membership.reachability;
        let mut ownerships = state.cache.ownerships();
        for (role, ownership) in &mut ownerships {
            let (owner, version) = (&ownership.owner, ownership.version);
            ownership.relinquished = reachability.has_relinquished(owner, *role, version, now);
        }
        let partitions = state.scheduling.partitions.keys();
        let leader = state.provisioning.leader.iter().map(|_| Role::Leader);
        let held = partitions.map(|p| Role::Partition(*p)).chain(leader);
        let (eligibility, hosts) = self.role_eligibility(state, now);
        Snapshot {
            lease,
            ownerships,
            held: held.collect(),
            may_acquire: state.authority.holds(now),
            reachability_enabled: self.uses_reachability(state),
            crash_looping: self.crash_looping_members(state),
            eligibility,
            hosts,
            damping: self.settings.lease,
        }
    }

    /// Unloads a role for good and tells the others. Unloads first: the word that goes out next
    /// must be true.
    fn relinquish_role(&self, state: &mut State, role: Role, now: Micros) {
        let Some(version) = state.cache.roles.get(&role).map(|k| k.version) else {
            return;
        };
        tracing::info!(?role, "role relinquished: the state service answers others");
        let relinquished = roles::Input::Relinquished(role, version);
        state.membership.roles.apply(relinquished, now);
        unload_role(state, role);
        self.wake.reachability.notify_one();
    }

    /// A takeover or hand-over is over, whatever became of it.
    fn finish_transition(&self, role: Role) {
        let now = self.now();
        let over = roles::Input::TransitionOver(role);
        self.state.borrow_mut().membership.roles.apply(over, now);
    }
}

/// Stops acting on a role.
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
