//! Computes how eligible each member is for each role, from the hosts and services that the member can
//! reach.

use crate::{shared::Shared, state::State};
use jasperhill_membership::{reachability::LinkId, roles::Eligibility};
use jasperhill_wire::{Member, Micros, Name, mesh::LinkState, record::Role};
use std::collections::BTreeMap;

/// The number of hosts in each zone.
type HostsByZone = BTreeMap<Name, u32>;

/// Counts the hosts of each partition by zone.
fn hosts_by_role_and_zone(state: &State) -> BTreeMap<Role, HostsByZone> {
    let mut counts: BTreeMap<Role, HostsByZone> = BTreeMap::new();
    for cached in state.cache.hosts.values() {
        if let Some(partition_id) = cached.value.partition() {
            let zones = counts.entry(Role::Partition(partition_id)).or_default();
            *zones.entry(cached.value.zone.clone()).or_default() += 1;
        }
    }
    counts
}

impl Shared {
    /// Returns the eligibility of each member for each role, as far as this controller knows, and the
    /// number of hosts of each role. Called by the loop that decides on roles.
    pub fn role_eligibility(
        &self,
        state: &State,
        now: Micros,
    ) -> (BTreeMap<(Role, Member), Eligibility>, BTreeMap<Role, u32>) {
        let hosts_by_role = hosts_by_role_and_zone(state);
        let roles = (0..self.settings.partition_count).map(Role::Partition);
        let (mut eligibility, mut host_counts) = (BTreeMap::new(), BTreeMap::new());
        let no_hosts = HostsByZone::new();
        for role in roles.chain([Role::Leader]) {
            let hosts_by_zone = hosts_by_role.get(&role).unwrap_or(&no_hosts);
            host_counts.insert(role, hosts_by_zone.values().sum());
            for member in &self.members {
                let member_eligibility =
                    self.eligibility_of(state, member, role, hosts_by_zone, now);
                eligibility.insert((role, member.clone()), member_eligibility);
            }
        }
        (eligibility, host_counts)
    }

    /// Returns the eligibility of a member for a role. `hosts_by_zone` counts the role's hosts by zone.
    fn eligibility_of(
        &self,
        state: &State,
        member: &Member,
        role: Role,
        hosts_by_zone: &HostsByZone,
        now: Micros,
    ) -> Eligibility {
        let reachability = &state.membership.reachability;
        let is_self = member == &self.settings.member;
        let mut eligibility = Eligibility {
            store_link: reachability.store_link(member, now),
            ..Eligibility::default()
        };
        for (zone, hosts) in hosts_by_zone {
            let has_contact = is_self || reachability.has_recent_contact(member, zone, now);
            match reachability.zone_link_state(member, zone, now) {
                LinkState::Up if has_contact => eligibility.reachable_hosts += hosts,
                LinkState::Down => eligibility.unreachable_hosts += hosts,
                _ => {}
            }
        }
        if role == Role::Leader {
            eligibility.required_link = if is_self {
                reachability.own_link(&LinkId::Cloud)
            } else {
                let report = reachability.peer_report(member, now);
                report.map_or(LinkState::Unknown, |report| report.cloud)
            };
        }
        let roles = state.cache.roles.values();
        let owned = roles.filter(|role| &role.value.owner == member);
        eligibility.held_role_count = owned.count() as u32;
        eligibility
    }
}
