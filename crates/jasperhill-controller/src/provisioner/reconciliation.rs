//! Reconciliation of the capacity inventory with the cloud's list of machines: machines that are
//! gone lose their records, and those that never come into use are returned.

use super::state::{BootingMachine, LeaderState, MachineOffer, ProvisioningState};
use crate::{
    shared::Shared,
    state::State,
    watch_cache::{HostEntry, WatchCache},
};
use jasperhill_http::Method;
use jasperhill_scheduler::{boot_times::BootTimes, config::Specs};
use jasperhill_wire::{
    HostId, Micros,
    cloud::{Machine, MachineList, MachinePhase},
};
use std::{collections::BTreeSet, rc::Rc};

/// Added to twice the lag of the list: for late timers and answers.
const LIST_AGE_MARGIN: Micros = Micros::from_secs(2);
/// How long a machine of a type that is not known is taken to boot.
const UNKNOWN_TYPE_BOOT: Micros = Micros::from_secs(60);
/// A machine that runs and has sent no heartbeat for so long is returned.
const SILENT_MAX: Micros = Micros::from_secs(60);
/// What was rented and neither listed nor heard of for so many boot times does not count ...
const UNHEARD_BOOTS: f64 = 4.0;
/// ... and so much longer.
const UNHEARD_MARGIN: Micros = Micros::from_secs(30);

/// When a list was asked for and read.
#[derive(Clone, Copy)]
struct ListTimes {
    sent: Micros,
    now: Micros,
    /// How old a list may be.
    age_max: Micros,
}

impl Shared {
    /// Reads the machine list and reconciles the inventory with it.
    pub(super) async fn reconcile_inventory(self: &Rc<Self>) {
        let sent = self.now();
        let Some(machines) = self.list_machines().await else {
            return;
        };
        for (host, entry) in self.apply_machine_list(&machines, sent) {
            tracing::info!(%host, "host gone from the machine list");
            self.clone().spawn(self.clone().delete_host(host, entry));
        }
    }

    /// The whole list, page by page; `None` if any page does not come.
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

    /// Draws the conclusions from a list; the records of machines that are gone, which are to
    /// be deleted.
    fn apply_machine_list(&self, machines: &[Machine], sent: Micros) -> Vec<(HostId, HostEntry)> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let State {
            cache,
            scheduling,
            provisioning,
            ..
        } = &mut *guarded;
        let ProvisioningState {
            leader, returning, ..
        } = provisioning;
        let (Some(leader), Some(specs)) = (leader.as_mut(), &scheduling.specs) else {
            return Vec::new();
        };
        leader.listed_at = now;
        leader.has_list = true;
        // A machine that was listed stays listed until it is gone, and lists are at most
        // twice the lag old: absent from one asked for later than that, it is gone.
        let age_max = self.settings.list_lag.scale(2.0) + LIST_AGE_MARGIN;
        let times = ListTimes { sent, now, age_max };
        let gone = leader.gone_machines(cache, machines, times);
        let unusable = leader.unusable_machines(cache, machines, returning, specs, now);
        leader.forget_unheard(specs, &unusable, now);
        returning.extend(unusable);
        gone
    }
}

impl LeaderState {
    /// The records of machines that are gone for sure; forgets what is known of machines that
    /// no list shows any more.
    fn gone_machines(
        &mut self,
        cache: &WatchCache,
        machines: &[Machine],
        times: ListTimes,
    ) -> Vec<(HostId, HostEntry)> {
        let ListTimes { sent, now, age_max } = times;
        let present: BTreeSet<&HostId> = machines.iter().map(|m| &m.id).collect();
        let mut gone = Vec::new();
        for (id, entry) in &cache.hosts {
            // It was there when its record was, whoever led then. Guards against records of
            // machines that have gone, which nobody deletes while owners and leaders change.
            let first = *self.first_seen.entry(id.clone()).or_insert(now);
            if !present.contains(id) && sent >= first + age_max {
                gone.push((id.clone(), entry.clone()));
            }
        }
        let forgotten = age_max + age_max;
        self.first_seen
            .retain(|id, first| present.contains(id) || sent < *first + forgotten);
        self.returned.retain(|_, at| now < *at + forgotten);
        gone
    }

    /// The machines that will never come into use; those that are booting count from now on.
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
            let first = *self.first_seen.entry(machine.id.clone()).or_insert(now);
            let is_unusable = if cache.hosts.contains_key(&machine.id) {
                self.booting.remove(&machine.id);
                machine.phase == MachinePhase::Failed
            } else {
                is_unusable(machine, specs, now - first)
            };
            if is_unusable {
                unusable.insert(machine.id.clone());
            } else if machine.phase == MachinePhase::Booting
                && !cache.hosts.contains_key(&machine.id)
                && !returning.contains(&machine.id)
            {
                self.note_booting(machine, now);
            }
        }
        unusable
    }

    fn note_booting(&mut self, machine: &Machine, now: Micros) {
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

    /// What was rented and neither listed nor heard of in good time does not count.
    fn forget_unheard(&mut self, specs: &Specs, unusable: &BTreeSet<HostId>, now: Micros) {
        let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
        let limit = boot.scale(UNHEARD_BOOTS) + UNHEARD_MARGIN;
        self.booting
            .retain(|id, machine| !unusable.contains(id) && now - machine.since < limit);
    }
}

/// Whether a machine without a record will never come into use. `seen_for`: since it was first
/// listed.
fn is_unusable(machine: &Machine, specs: &Specs, seen_for: Micros) -> bool {
    let host = &machine.id;
    let spec = specs.get(&machine.machine_type);
    let boot = spec.map_or(UNKNOWN_TYPE_BOOT, |s| s.boot);
    match machine.phase {
        MachinePhase::Failed => true,
        MachinePhase::Booting => {
            let never = BootTimes::never_comes(boot, Micros::from_secs_f64(machine.age_s));
            if never {
                tracing::info!(%host, "machine never came up");
            }
            never
        }
        MachinePhase::Running => {
            let silent = seen_for > SILENT_MAX;
            if silent {
                tracing::info!(%host, "machine runs and sends no heartbeat");
            }
            silent
        }
    }
}
