//! The cloud: machine types, and the leader's rounds. What the machine list says, what is rented,
//! who gets which machine and what is returned each have a module of their own.

mod assignment;
mod inventory;
mod reconciliation;
mod scale_in;
mod scale_out;
pub mod state;

use crate::{
    shared::{Shared, observation_of},
    store::{WritePriority, guard, put},
    watch_cache::HostEntry,
};
use jasperhill_http::{Method, Request, Response};
use jasperhill_membership::reachability::LinkId;
use jasperhill_scheduler::{
    boot_times::{BootTimes, replaceable},
    config::{Specs, specs},
};
use jasperhill_wire::{
    HostId, Micros, Name, Revision,
    cloud::{MachineTypes, RentRequest},
    record::{HostAssignment, HostRecord, Role, role_key, types_key},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::sleep;

pub(crate) struct Booting {
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    pub since: Micros,
}

/// What the leader of the fleet knows. Lost with the role; the machine list brings it back.
pub(crate) struct LeaderState {
    pub since: Revision,
    pub(super) counter: u64,
    pub booting: BTreeMap<HostId, Booting>,
    /// How long machines take to come up.
    pub(super) boots: BootTimes,
    /// When a machine was first seen in a list, or by its record.
    pub(super) listed: BTreeMap<HostId, Micros>,
    /// No capacity there before.
    pub(super) refused: BTreeMap<(Name, Name, bool), Micros>,
    /// A rental whose answer is not known yet: asked again under the same name.
    pub(super) rental: Option<RentRequest>,
    pub(super) last_list: Micros,
    pub(super) complete: bool,
    pub(super) free_since: BTreeMap<HostId, Micros>,
    /// Machines returned already, which the list may still show.
    pub(super) returned: BTreeMap<HostId, Micros>,
}

/// The record with another use. Every edit raises the count, so that a record never looks
/// as it did before: its new revision is always seen, and the host's token rises.
fn moved(kept: &HostEntry, usage: HostAssignment) -> HostRecord {
    HostRecord {
        assignment: usage,
        rewrites: kept.value.rewrites + 1,
        ..kept.value.clone()
    }
}

impl LeaderState {
    /// A machine without a record reports: it is up.
    pub fn came_up(&mut self, id: &HostId, now: Micros) {
        if let Some(b) = self.booting.remove(id) {
            self.boots.record(&b.kind, &b.zone, now - b.since, now);
        }
    }

    /// A machine that is known to come up.
    pub fn expects(&self, id: &HostId) -> bool {
        self.booting.contains_key(id) && !self.returned.contains_key(id)
    }

    /// The booting machines that count as supply: spot ones, and ordinary ones. Those that are
    /// late do not, so that others are rented in their place; but no more than can be paid for
    /// if all of them come after all.
    pub(super) fn coming(&self, specs: &Specs, fleet: usize, now: Micros) -> (i64, i64) {
        let (mut spot, mut ordinary, mut late) = (0, 0, 0);
        for b in self.booting.values() {
            let is_late = specs.get(&b.kind).is_some_and(|s| {
                self.boots
                    .is_late(&b.kind, &b.zone, s.boot, now - b.since, now)
            });
            if is_late && late < replaceable(fleet) {
                late += 1;
            } else if b.spot {
                spot += 1;
            } else {
                ordinary += 1;
            }
        }
        (spot, ordinary)
    }

    pub fn new(since: Revision, now: Micros) -> Self {
        Self {
            since,
            counter: 0,
            booting: BTreeMap::new(),
            boots: BootTimes::default(),
            listed: BTreeMap::new(),
            refused: BTreeMap::new(),
            rental: None,
            last_list: now - Micros::from_secs(3_000),
            complete: false,
            free_since: BTreeMap::new(),
            returned: BTreeMap::new(),
        }
    }
}

impl Shared {
    pub async fn provisioner_loop(self: Rc<Self>) {
        let mut types_at: Option<Micros> = None;
        loop {
            let now = self.now();
            let (known, leads) = {
                let state = self.state.borrow();
                (
                    state.scheduling.specs.is_some(),
                    state.provisioning.leader.is_some(),
                )
            };
            let stale = types_at.is_none_or(|t| now - t > Micros::from_secs(120));
            if (!known || (leads && stale)) && self.fetch_types().await {
                types_at = Some(now);
            }
            if leads && self.has_authority() {
                self.lead().await;
            }
            self.tell_unmet();
            self.clone().decommission_surplus();
            sleep(Duration::from_secs(1)).await;
        }
    }

    pub(super) async fn cloud_call(
        &self,
        method: Method,
        target: &str,
        body: Vec<u8>,
    ) -> Option<Response> {
        loop {
            let taken = self
                .state
                .borrow_mut()
                .provisioning
                .requests
                .take(1.0, self.clock.now());
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(crate::shared::to_duration(wait)).await,
            }
        }
        let request = Request::new(method, target, body);
        let limit = Micros::from_secs(4);
        let answer = self.call(self.settings.cloud, request, limit).await.ok();
        // A 503 for want of machines is an answer too; one that says trouble is everybody's.
        self.observe_link(LinkId::Cloud, observation_of(answer.is_some()));
        answer
    }

    pub(super) async fn fetch_types(&self) -> bool {
        let Some(answer) = self
            .cloud_call(Method::Get, "/machine_types", Vec::new())
            .await
        else {
            return false;
        };
        if answer.status != 200 {
            return false;
        }
        let types: MachineTypes = match serde_json::from_slice(&answer.body) {
            Ok(types) => types,
            Err(error) => {
                tracing::warn!(%error, "machine types that are not understood");
                return false;
            }
        };
        let write = {
            let mut state = self.state.borrow_mut();
            state.scheduling.specs = Some(Rc::new(specs(&types.types)));
            let old = state.cache.types();
            match (&state.provisioning.leader, old) {
                (Some(leader), None) if state.cache.is_synced() => Some(leader.since),
                _ => None,
            }
        };
        self.wake.roles.notify_one();
        if let Some(since) = write {
            let guards = vec![
                guard(role_key(Role::Leader), since),
                guard(types_key(0), Revision(0)),
            ];
            let parts = types.split(self.settings.value_bytes);
            let parts = parts.filter(|p| p.len() <= self.settings.txn_ops);
            let Some(parts) = parts else {
                tracing::warn!("machine types that no records hold");
                return true;
            };
            let parts = parts.iter().enumerate();
            let changes = parts.map(|(n, part)| put(types_key(n as u32), part));
            self.write(
                WritePriority::Background,
                guards,
                changes.collect(),
                Micros::from_secs(5),
            )
            .await;
        }
        true
    }

    /// One round of the leader: look, return, assign, rent.
    pub(super) async fn lead(self: &Rc<Self>) {
        let now = self.now();
        let pause = self.settings.list_lag.scale(0.3).max(Micros::from_secs(2));
        let due = {
            let state = self.state.borrow();
            state
                .provisioning
                .leader
                .as_ref()
                .is_some_and(|l| now - l.last_list >= pause)
        };
        if due {
            self.look().await;
        }
        self.split_blocks();
        self.release().await;
        self.assign_free();
        self.rent().await;
        self.tell_elastic();
    }
}
