//! The machine list: what it says of machines, and the deletion of records of those that are
//! gone.

use super::Booting;
use super::state::ProvisioningState;
use crate::{
    host_registry::HostUpdate,
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority},
    watch_cache::HostEntry,
};
use jasperhill_http::Method;
use jasperhill_scheduler::boot_times::BootTimes;
use jasperhill_wire::{
    HostId, Micros,
    cloud::{Machine, MachineList, MachinePhase},
    record::Role,
};
use std::{collections::BTreeSet, rc::Rc};

impl Shared {
    /// Reads the machine list and draws conclusions from it.
    pub(super) async fn look(self: &Rc<Self>) {
        let sent = self.now();
        let (mut all, mut after) = (Vec::<Machine>::new(), String::new());
        loop {
            let target = if after.is_empty() {
                "/rentals?page=500".to_owned()
            } else {
                format!("/rentals?after={after}&page=500")
            };
            let Some(answer) = self.cloud_call(Method::Get, &target, Vec::new()).await else {
                return;
            };
            if answer.status != 200 {
                return;
            }
            let page: MachineList = match serde_json::from_slice(&answer.body) {
                Ok(page) => page,
                Err(error) => {
                    tracing::warn!(%error, "a machine list that is not understood");
                    return;
                }
            };
            let end = page.hosts.last().map(|m| m.id.to_string());
            all.extend(page.hosts);
            match end {
                Some(end) if page.more => after = end,
                _ => break,
            }
        }
        let now = self.now();
        let mut deletes: Vec<(HostId, HostEntry)> = Vec::new();
        let mut returns: BTreeSet<HostId> = BTreeSet::new();
        {
            let mut guarded = self.state.borrow_mut();
            let State {
                cache: mirror,
                scheduling,
                provisioning,
                ..
            } = &mut *guarded;
            let specs = &scheduling.specs;
            let ProvisioningState {
                leader,
                returning: releasing,
                ..
            } = provisioning;
            let (Some(leader), Some(specs)) = (leader.as_mut(), specs) else {
                return;
            };
            leader.last_list = now;
            leader.complete = true;
            let present: BTreeSet<&HostId> = all.iter().map(|m| &m.id).collect();
            // A machine that was listed stays listed until it is gone, and lists are at most
            // twice the lag old: absent from one asked for later than that, it is gone.
            let old = self.settings.list_lag.scale(2.0) + Micros::from_secs(2);
            for (id, kept) in &mirror.hosts {
                // It was there when its record was, whoever led then. Guards against records of
                // machines that have gone, which nobody deletes while owners and leaders change.
                let first = *leader.listed.entry(id.clone()).or_insert(now);
                if !present.contains(id) && sent >= first + old {
                    deletes.push((id.clone(), kept.clone()));
                }
            }
            leader
                .listed
                .retain(|id, first| present.contains(id) || sent < *first + old + old);
            leader.returned.retain(|_, at| now < *at + old + old);
            for machine in all.iter().filter(|m| !leader.returned.contains_key(&m.id)) {
                let first = *leader.listed.entry(machine.id.clone()).or_insert(now);
                if mirror.hosts.contains_key(&machine.id) {
                    leader.booting.remove(&machine.id);
                    if machine.phase == MachinePhase::Failed {
                        returns.insert(machine.id.clone());
                    }
                    continue;
                }
                let boot = specs
                    .get(&machine.machine_type)
                    .map_or(Micros::from_secs(60), |s| s.boot);
                let age = Micros::from_secs_f64(machine.age_s);
                match machine.phase {
                    MachinePhase::Failed => {
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Booting if BootTimes::never_comes(boot, age) => {
                        tracing::info!(host = %machine.id, "never came up");
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Booting => {
                        if !releasing.contains(&machine.id) {
                            leader.booting.entry(machine.id.clone()).or_insert(Booting {
                                kind: machine.machine_type.clone(),
                                zone: machine.zone.clone(),
                                spot: machine.spot,
                                since: now - age,
                            });
                        }
                    }
                    MachinePhase::Running if now - first > Micros::from_secs(60) => {
                        tracing::info!(host = %machine.id, "runs but does not report");
                        returns.insert(machine.id.clone());
                    }
                    MachinePhase::Running => {}
                }
            }
            // What was rented and neither listed nor heard of in good time does not count.
            let limit = specs
                .values()
                .map(|s| s.boot)
                .max()
                .unwrap_or_default()
                .scale(4.0)
                + Micros::from_secs(30);
            leader
                .booting
                .retain(|id, b| !returns.contains(id) && now - b.since < limit);
            releasing.extend(returns);
        }
        for (id, kept) in deletes {
            tracing::info!(host = %id, "host gone from the machine list");
            self.clone().spawn(self.clone().delete_host(id, kept));
        }
    }

    pub(super) async fn delete_host(self: Rc<Self>, id: HostId, kept: HostEntry) {
        let Some(since) = self
            .state
            .borrow()
            .provisioning
            .leader
            .as_ref()
            .map(|l| l.since)
        else {
            return;
        };
        let edit = HostUpdate {
            urgency: WritePriority::Finish,
            role: (Role::Leader, since),
            host: id.clone(),
            expected_version: Some(kept.version),
            new_record: None,
            deadline: self.now() + Micros::from_secs(5),
        };
        if let WriteOutcome::Committed(_) = self.update_host(kept.block, edit).await {
            self.state.borrow_mut().host_registry.unassign_block(&id);
        }
    }
}
