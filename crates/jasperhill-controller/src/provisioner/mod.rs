//! The provisioner: fetches the machine types and scales the fleet out and in.
//!
//! The leader reconciles its inventory with the cloud's list of machines, assigns free hosts to
//! partitions, rents machines where capacity is short and returns machines. Partition owners
//! decommission hosts that they do not need. The state is [`state::ProvisioningState`].
//!
//! The leader's state is lost with the role; a new leader rebuilds it from the machine list. A
//! host's record is the only authority on the host's assignment and changes only by guarded
//! writes.

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

/// Pause between two rounds of the provisioner.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Age after which the leader fetches the machine types again, because prices and zones change.
const MACHINE_TYPES_MAX_AGE: Micros = Micros::from_secs(120);
/// Interval between two requests for the machine list, as a fraction of the list's lag.
const LIST_INTERVAL_PER_LAG: f64 = 0.3;
/// Shortest interval between two requests for the machine list.
const LIST_INTERVAL_MIN: Micros = Micros::from_secs(2);

impl Shared {
    /// Runs the provisioner's rounds. Spawned by the controller at its start; never returns.
    pub async fn provisioner_loop(self: Rc<Self>) {
        let mut types_fetched_at: Option<Micros> = None;
        loop {
            let now = self.now();
            let (has_machine_types, is_leader) = {
                let state = self.state.borrow();
                (
                    state.scheduling.machine_types.is_some(),
                    state.provisioning.leader.is_some(),
                )
            };
            let is_stale = types_fetched_at.is_none_or(|at| now - at > MACHINE_TYPES_MAX_AGE);
            if (!has_machine_types || (is_leader && is_stale)) && self.fetch_machine_types().await {
                types_fetched_at = Some(now);
            }
            if is_leader && self.has_authority() {
                self.run_leader_round().await;
            }
            self.broadcast_unmet_demand();
            self.clone().decommission_surplus();
            sleep(ROUND_INTERVAL).await;
        }
    }

    /// Runs one round of the leader: reconciles the inventory, splits oversized host blocks, returns
    /// machines, assigns free hosts, scales out and broadcasts the spare capacity.
    async fn run_leader_round(self: &Rc<Self>) {
        let now = self.now();
        if self.is_inventory_due(now) {
            self.reconcile_inventory().await;
        }
        self.store_machine_types().await;
        self.split_blocks();
        self.return_machines().await;
        self.assign_free_hosts();
        self.scale_out().await;
        self.broadcast_spare_capacity();
    }

    /// Returns whether it is time to read the machine list again. False if this controller is not
    /// the leader.
    fn is_inventory_due(&self, now: Micros) -> bool {
        let lag = self.settings.machine_list_lag_max;
        let interval = lag.scale(LIST_INTERVAL_PER_LAG).max(LIST_INTERVAL_MIN);
        let state = self.state.borrow();
        let leader = state.provisioning.leader.as_ref();
        leader.is_some_and(|l| now - l.listed_at >= interval)
    }
}
