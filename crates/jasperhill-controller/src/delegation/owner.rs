//! The owner's side of lease delegation: grants the requests of delegates, and removes expired grants.

use super::grants::GrantKey;
use crate::{
    shared::Shared,
    store::{WritePriority, guard, put},
};
use jasperhill_scheduler::{FencingState, HostInput, Partition};
use jasperhill_wire::{
    FencingToken, HostId, Member, Micros, Revision,
    record::{
        DelegationGrantRecord, DelegationRequestRecord, Role, delegation_grant_key, role_key,
    },
    store::Change,
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::timeout;

/// The longest time between two checks of requests and grants, when nothing wakes the loop earlier.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The lease of a host may be delegated after the host has been silent for this number of heartbeat
/// intervals plus `MIN_SILENCE_MARGIN`.
const MIN_SILENCE_INTERVALS: f64 = 1.25;
/// The time added to `MIN_SILENCE_INTERVALS`, as a heartbeat may be in flight.
const MIN_SILENCE_MARGIN: Micros = Micros::from_millis(500);
/// A grant is removed after this multiple of the delegation time plus `GRANT_LIFETIME_MARGIN`. No
/// delegate can use the grant any more by then.
const GRANT_LIFETIME_FACTOR: f64 = 1.5;
/// The time added to `GRANT_LIFETIME_FACTOR` times the delegation time before a grant is removed.
const GRANT_LIFETIME_MARGIN: Micros = Micros::from_secs(2);
/// The longest time that the write of a grant may wait before it is sent.
const WRITE_TIMEOUT: Micros = Micros::from_secs(1);

/// A partition that this controller owns, with the version of the ownership.
#[derive(Clone, Copy)]
struct OwnedPartition {
    /// The partition's number.
    id: u32,
    /// The revision at which this controller became the owner.
    since: Revision,
}

/// A grant that has not been written to the store yet.
struct NewGrant {
    /// The partition that the hosts belong to.
    partition: OwnedPartition,
    /// The delegated hosts, with the fencing tokens that the delegate answers with.
    hosts: BTreeMap<HostId, FencingToken>,
}

impl Shared {
    /// Considers the requests of delegates, decides on the jobs that other controllers propose, and
    /// removes expired grants. Runs for as long as the controller.
    pub async fn delegation_grant_loop(self: Rc<Self>) {
        loop {
            let woken = self.wakeups.delegation_grants.notified();
            let _ = timeout(CHECK_INTERVAL, woken).await;
            let (changed_requests, proposals) = {
                let mut state = self.state.borrow_mut();
                (
                    std::mem::take(&mut state.delegation.changed_delegation_requests),
                    std::mem::take(&mut state.proposals.received_proposals),
                )
            };
            for id in proposals {
                self.clone().spawn(self.clone().decide_proposal(id));
            }
            for delegate in changed_requests {
                self.consider_delegation_request(&delegate);
            }
            self.remove_expired_grants();
        }
    }

    /// Grants a delegate's request for those hosts that belong to this controller's partitions and that
    /// this controller has not heard recently.
    fn consider_delegation_request(self: &Rc<Self>, delegate: &Member) {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let Some(cached) = state.cache.delegation_requests.get(delegate) else {
            return;
        };
        let request = cached.value.clone();
        if self.is_own_request(delegate) || !state.authority.is_valid_at(now) {
            return;
        }
        let granted_until = now + self.settings.delegation_time();
        let mut grants = Vec::new();
        for (partition_id, partition) in &mut state.scheduling.partitions {
            let hosts = self.delegable_hosts(partition, &request, granted_until, now);
            if hosts.is_empty() {
                continue;
            }
            for id in hosts.keys() {
                // The lease counts as renewed before any controller can see the grant.
                partition.apply(id, HostInput::LeaseDelegated(granted_until), now);
            }
            let key = GrantKey {
                partition: *partition_id,
                delegate: delegate.clone(),
            };
            state.delegation.grants.record(key, now);
            let partition = OwnedPartition {
                id: *partition_id,
                since: partition.owned_since,
            };
            grants.push(NewGrant { partition, hosts });
        }
        drop(state_guard);
        for NewGrant { partition, hosts } in grants {
            tracing::debug!(
                partition = partition.id,
                %delegate,
                host_count = hosts.len(),
                "leases delegated"
            );
            let record = DelegationGrantRecord {
                number: request.number,
                lease: request.lease,
                hosts,
            };
            let change = put(delegation_grant_key(partition.id, delegate), &record);
            self.write_delegation_grant(partition, change);
        }
    }

    /// Returns whether a request is one of this controller's own, with any part number.
    fn is_own_request(&self, delegate: &Member) -> bool {
        let own_member = self.settings.member.as_str();
        let part = delegate.as_str().strip_prefix(own_member);
        part.is_some_and(|part| part.is_empty() || part.starts_with('/'))
    }

    /// Returns the hosts of a request that belong to a partition and have not been heard recently, with
    /// their fencing tokens.
    fn delegable_hosts(
        &self,
        partition: &Partition,
        request: &DelegationRequestRecord,
        granted_until: Micros,
        now: Micros,
    ) -> BTreeMap<HostId, FencingToken> {
        let bounds = self.settings.freshness_bounds;
        let min_silence = self
            .settings
            .heartbeat_interval
            .scale(MIN_SILENCE_INTERVALS)
            + MIN_SILENCE_MARGIN;
        request
            .hosts
            .iter()
            .filter_map(|id| partition.hosts.get(id))
            .filter(|host| {
                host.fencing != FencingState::LeaseExpired
                    && now - host.last_status_received > min_silence
            })
            // The delegate renews the lease under this token until the grant ends, whatever commands
            // are in flight to the host. Such a command must not rest on a view of the store that
            // becomes too old before the grant ends.
            .filter(|host| {
                let known_as_of = host.outstanding_starts_known_as_of();
                known_as_of.is_none_or(|known| granted_until <= bounds.owner_may_renew_until(known))
            })
            .map(|host| (host.id.clone(), host.token))
            .collect()
    }

    /// Starts the write or deletion of a partition's grant in the store.
    fn write_delegation_grant(self: &Rc<Self>, partition: OwnedPartition, change: Change) {
        let shared = self.clone();
        self.clone().spawn(async move {
            let guards = vec![guard(
                role_key(Role::Partition(partition.id)),
                partition.since,
            )];
            shared
                .write(WritePriority::Accept, guards, vec![change], WRITE_TIMEOUT)
                .await;
        });
    }

    /// Deletes the grants that no delegate can use any more from the store.
    fn remove_expired_grants(self: &Rc<Self>) {
        for (key, partition) in self.take_expired_grants() {
            let key = delegation_grant_key(key.partition, &key.delegate);
            self.write_delegation_grant(partition, Change::Delete { key });
        }
    }

    /// Returns the expired grants of this controller's partitions, and removes them from the
    /// bookkeeping.
    fn take_expired_grants(&self) -> Vec<(GrantKey, OwnedPartition)> {
        let now = self.now();
        let lifetime = self.settings.delegation_time().scale(GRANT_LIFETIME_FACTOR);
        let lifetime = lifetime + GRANT_LIFETIME_MARGIN;
        let mut expired = Vec::new();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        if !state.authority.is_valid_at(now) {
            return expired;
        }
        for (id, partition) in &state.scheduling.partitions {
            let grants = state.cache.delegation_grants.keys();
            for (_, delegate) in grants.filter(|(granted, _)| granted == id) {
                let key = GrantKey {
                    partition: *id,
                    delegate: delegate.clone(),
                };
                if state.delegation.grants.is_expired(&key, lifetime, now) {
                    let since = partition.owned_since;
                    expired.push((key, OwnedPartition { id: *id, since }));
                }
            }
        }
        for (key, _) in &expired {
            state.delegation.grants.remove(key);
        }
        expired
    }
}
