//! Reconciliation of the leader's inventory with the cloud's list of machines: deletes the records of
//! machines that no longer exist, and marks machines for return that never become usable.

use super::state::{BootingMachine, LeaderState, ProvisioningState};
use crate::{
    shared::Shared,
    state::State,
    watch_cache::{HostEntry, WatchCache},
};
use jasperhill_http::Method;
use jasperhill_scheduler::{boot_times::BootTimes, config::Specs, rental_plan::MachineOffer};
use jasperhill_wire::{
    HostId, Micros,
    cloud::{Machine, MachineList, MachinePhase},
};
use std::{collections::BTreeSet, rc::Rc};

/// Margin for late timers and responses, added to twice the lag of the machine list.
const LIST_AGE_MARGIN: Micros = Micros::from_secs(2);
/// Boot time assumed for a machine of an unknown type.
const UNKNOWN_TYPE_BOOT_TIME: Micros = Micros::from_secs(60);
/// Time after which a running machine that has sent no heartbeat is returned.
const HEARTBEAT_SILENCE_MAX: Micros = Micros::from_secs(60);
/// Number of boot times after which a rented machine that is neither listed nor has sent a heartbeat
/// no longer counts as booting.
const BOOTING_MAX_BOOT_TIMES: f64 = 4.0;
/// Margin added to `BOOTING_MAX_BOOT_TIMES` boot times.
const BOOTING_MAX_MARGIN: Micros = Micros::from_secs(30);

/// Times of a machine list, by the steady clock.
#[derive(Clone, Copy)]
struct ListTimes {
    /// When the list was requested.
    requested_at: Micros,
    /// When the list was received completely.
    now: Micros,
    /// Maximum age of the list's content when it was requested.
    age_max: Micros,
}

impl Shared {
    /// Reads the machine list, reconciles the inventory with it, and deletes the records of machines
    /// that no longer exist.
    pub(super) async fn reconcile_inventory(self: &Rc<Self>) {
        let requested_at = self.now();
        let Some(machines) = self.list_machines().await else {
            return;
        };
        for (host, entry) in self.apply_machine_list(&machines, requested_at) {
            tracing::info!(%host, "host gone from the machine list");
            self.clone().spawn(self.clone().delete_host(host, entry));
        }
    }

    /// Reads all pages of the machine list. Returns `None` if any page fails.
    async fn list_machines(&self) -> Option<Vec<Machine>> {
        let mut machines = Vec::new();
        let mut target = "/rentals?page=500".to_owned();
        loop {
            let page = self.list_machines_page(&target).await?;
            let last = page.hosts.last().map(|m| m.id.to_string());
            machines.extend(page.hosts);
            match last {
                Some(last) if page.more => target = format!("/rentals?after={last}&page=500"),
                _ => return Some(machines),
            }
        }
    }

    /// Reads one page of the machine list. Returns `None` without a valid response.
    async fn list_machines_page(&self, target: &str) -> Option<MachineList> {
        let response = self.cloud_call(Method::Get, target, Vec::new()).await?;
        if response.status != 200 {
            return None;
        }
        match serde_json::from_slice(&response.body) {
            Ok(page) => Some(page),
            Err(error) => {
                tracing::warn!(%error, "invalid machine list from the cloud");
                None
            }
        }
    }

    /// Updates the leader's state from a complete machine list, and marks unusable machines for
    /// return. Returns the records of machines that no longer exist, which the caller has to delete.
    /// `requested_at` is the time at which the first page was requested.
    fn apply_machine_list(
        &self,
        machines: &[Machine],
        requested_at: Micros,
    ) -> Vec<(HostId, HostEntry)> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let State {
            cache,
            scheduling,
            provisioning,
            ..
        } = &mut *state_guard;
        let ProvisioningState {
            leader,
            machines_to_return: returning,
            ..
        } = provisioning;
        let (Some(leader), Some(specs)) = (leader.as_mut(), &scheduling.machine_types) else {
            return Vec::new();
        };
        leader.listed_at = now;
        leader.has_machine_list = true;
        // A machine stays listed until it ceases to exist, and a list is at most twice the lag
        // old. So a machine no longer exists if it is absent from a list that was requested at
        // least `age_max` after the machine was first seen.
        let age_max = self.settings.machine_list_lag_max.scale(2.0) + LIST_AGE_MARGIN;
        let list_times = ListTimes {
            requested_at,
            now,
            age_max,
        };
        let missing = leader.missing_machines(cache, machines, list_times);
        let unusable = leader.unusable_machines(cache, machines, returning, specs, now);
        leader.forget_stale_booting(specs, &unusable, now);
        returning.extend(unusable);
        missing
    }
}

impl LeaderState {
    /// Returns the records of machines that certainly no longer exist. Also forgets when machines were
    /// first seen or returned, once no machine list can show them any more.
    fn missing_machines(
        &mut self,
        cache: &WatchCache,
        machines: &[Machine],
        list_times: ListTimes,
    ) -> Vec<(HostId, HostEntry)> {
        let ListTimes {
            requested_at,
            now,
            age_max,
        } = list_times;
        let listed: BTreeSet<&HostId> = machines.iter().map(|m| &m.id).collect();
        let mut missing = Vec::new();
        for (id, entry) in &cache.hosts {
            // A machine with a record has existed, even if another member was the leader then.
            // Guards against records of machines that no longer exist and that no leader would
            // delete while owners and leaders change.
            let first_seen_at = *self.first_seen.entry(id.clone()).or_insert(now);
            if !listed.contains(id) && requested_at >= first_seen_at + age_max {
                missing.push((id.clone(), entry.clone()));
            }
        }
        let retention = age_max + age_max;
        self.first_seen.retain(|id, first_seen_at| {
            listed.contains(id) || requested_at < *first_seen_at + retention
        });
        self.returned.retain(|_, at| now < *at + retention);
        missing
    }

    /// Returns the machines that will never become usable. Also records the booting machines of the
    /// list, so that they count as supply.
    fn unusable_machines(
        &mut self,
        cache: &WatchCache,
        machines: &[Machine],
        returning: &BTreeSet<HostId>,
        specs: &Specs,
        now: Micros,
    ) -> BTreeSet<HostId> {
        let mut unusable = BTreeSet::new();
        for machine in machines {
            if self.returned.contains_key(&machine.id) {
                continue;
            }
            let first_seen_at = *self.first_seen.entry(machine.id.clone()).or_insert(now);
            let is_unusable = if cache.hosts.contains_key(&machine.id) {
                self.booting.remove(&machine.id);
                machine.phase == MachinePhase::Failed
            } else {
                is_unusable(machine, specs, now - first_seen_at)
            };
            if is_unusable {
                unusable.insert(machine.id.clone());
            } else if machine.phase == MachinePhase::Booting
                && !cache.hosts.contains_key(&machine.id)
                && !returning.contains(&machine.id)
            {
                self.record_booting(machine, now);
            }
        }
        unusable
    }

    /// Records a listed machine as booting, unless it is known.
    fn record_booting(&mut self, machine: &Machine, now: Micros) {
        let age = Micros::from_secs_f64(machine.age_s);
        let booting = self.booting.entry(machine.id.clone());
        booting.or_insert_with(|| BootingMachine {
            offer: MachineOffer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            },
            since: now - age,
        });
    }

    /// Forgets booting machines that are unusable, or that are neither listed nor have sent a
    /// heartbeat in time, so that they no longer count as supply.
    fn forget_stale_booting(&mut self, specs: &Specs, unusable: &BTreeSet<HostId>, now: Micros) {
        let boot_time = specs
            .values()
            .map(|s| s.nominal_boot_time)
            .max()
            .unwrap_or_default();
        let boot_time_limit = boot_time.scale(BOOTING_MAX_BOOT_TIMES) + BOOTING_MAX_MARGIN;
        self.booting
            .retain(|id, machine| !unusable.contains(id) && now - machine.since < boot_time_limit);
    }
}

/// Returns whether a machine without a record will never become usable. `seen_for` is the time since
/// it was first listed.
fn is_unusable(machine: &Machine, specs: &Specs, seen_for: Micros) -> bool {
    let host = &machine.id;
    let spec = specs.get(&machine.machine_type);
    let boot_time = spec.map_or(UNKNOWN_TYPE_BOOT_TIME, |s| s.nominal_boot_time);
    match machine.phase {
        MachinePhase::Failed => true,
        MachinePhase::Booting => {
            let is_overdue =
                BootTimes::is_abandoned(boot_time, Micros::from_secs_f64(machine.age_s));
            if is_overdue {
                tracing::info!(%host, "machine never came up");
            }
            is_overdue
        }
        MachinePhase::Running => {
            let is_silent = seen_for > HEARTBEAT_SILENCE_MAX;
            if is_silent {
                tracing::info!(%host, "machine runs and sends no heartbeat");
            }
            is_silent
        }
    }
}
