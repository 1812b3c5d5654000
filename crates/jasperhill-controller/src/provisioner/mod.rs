//! The provisioner: machine types, and the leader's rounds, in which the fleet scales out and in.
//!
//! Its state is [`state::ProvisioningState`]. The leader reconciles its capacity inventory with
//! the cloud's list of machines, assigns free hosts to partitions, scales out where capacity is
//! short and returns machines; owners decommission hosts that they do not need. What the leader
//! knows is lost with the role, and the list brings it back; a host's record is the only word on
//! its assignment, and is changed by guarded writes alone.

mod assignment;
mod capacity_broadcast;
mod cloud;
mod decommission;
mod host_updates;
mod inventory;
mod machine_types;
mod reconciliation;
mod scale_in;
mod scale_out;
pub mod state;

use crate::shared::Shared;
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// The time between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// After this time the leader asks for the machine types anew: prices and zones change.
const MACHINE_TYPES_MAX_AGE: Micros = Micros::from_secs(120);
/// The part of the list's lag after which the list is asked for again.
const LIST_INTERVAL_PER_LAG: f64 = 0.3;
/// The list is asked for no more often than this.
const LIST_INTERVAL_MIN: Micros = Micros::from_secs(2);

impl Shared {
    /// Runs for as long as the controller does; started by it.
    pub async fn provisioner_loop(self: Rc<Self>) {
        let mut types_fetched: Option<Micros> = None;
        loop {
            let now = self.now();
            let (types_known, leads) = {
                let state = self.state.borrow();
                (
                    state.scheduling.specs.is_some(),
                    state.provisioning.leader.is_some(),
                )
            };
            let stale = types_fetched.is_none_or(|at| now - at > MACHINE_TYPES_MAX_AGE);
            if (!types_known || (leads && stale)) && self.fetch_machine_types().await {
                types_fetched = Some(now);
            }
            if leads && self.has_authority() {
                self.run_leader_round().await;
            }
            self.broadcast_unmet_demand();
            self.clone().decommission_surplus();
            sleep(ROUND).await;
        }
    }

    /// One round of the leader: reconcile, return, assign, scale out.
    async fn run_leader_round(self: &Rc<Self>) {
        let now = self.now();
        if self.is_inventory_due(now) {
            self.reconcile_inventory().await;
        }
        self.split_blocks();
        self.return_machines().await;
        self.assign_free_hosts();
        self.scale_out().await;
        self.broadcast_spare_capacity();
    }

    fn is_inventory_due(&self, now: Micros) -> bool {
        let lag = self.settings.list_lag;
        let interval = lag.scale(LIST_INTERVAL_PER_LAG).max(LIST_INTERVAL_MIN);
        let state = self.state.borrow();
        let leader = state.provisioning.leader.as_ref();
        leader.is_some_and(|l| now - l.listed_at >= interval)
    }
}
