//! Noticing that a zone's heartbeats are missing, and probing a few of its workers when nothing else
//! tells how the link to them stands.

use super::requests::status_request;
use crate::shared::Shared;
use jasperhill_http::ClientError;
use jasperhill_membership::reachability;
use jasperhill_scheduler::FencingState;
use jasperhill_wire::{HostId, Micros, Name};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

/// Workers probed at a time when a zone's link is in question.
const PROBES: usize = 3;
/// How long a probe may take.
const PROBE_LIMIT: Micros = Micros::from_secs(1);
/// After so many microseconds the first worker to be probed is the next one: a prime, so that probes at
/// regular times don't come to the same workers again.
const PROBE_ROTATION: u64 = 10_007;

impl Shared {
    /// Notes zones whose heartbeats are missing, and probes those whose links are in question.
    pub(super) fn expect_heartbeats(self: &Rc<Self>) {
        for (zone, hosts) in &self.hosts_due_by_zone() {
            let expected = reachability::Input::ExpectHeartbeats {
                zone,
                hosts: *hosts,
                report: self.settings.heartbeat_interval,
            };
            for zone in self.update_reachability(expected) {
                self.probe_zone(&zone);
            }
        }
    }

    /// How many hosts of each zone owe this controller heartbeats.
    fn hosts_due_by_zone(&self) -> BTreeMap<Name, u32> {
        let state = self.state.borrow();
        let zones = self.settings.zones.iter().cloned();
        let mut due: BTreeMap<Name, u32> = zones.map(|zone| (zone, 0)).collect();
        let partitions = state.scheduling.partitions.values();
        for host in partitions.flat_map(|partition| partition.hosts.values()) {
            if host.fencing != FencingState::Lapsed {
                *due.entry(host.zone.clone()).or_default() += 1;
            }
        }
        due
    }

    /// Probes a few workers of a zone, others each time.
    fn probe_zone(self: &Rc<Self>, zone: &Name) {
        let (workers, host_count) = self.workers_to_probe(zone);
        for (host, address) in workers {
            let (shared, zone) = (self.clone(), zone.clone());
            self.clone().spawn(async move {
                let answer = shared.call(address, status_request(), PROBE_LIMIT).await;
                if !matches!(answer, Err(ClientError::NoSocket)) {
                    shared.observe_worker(&zone, &host, host_count, answer.is_ok());
                }
            });
        }
    }

    /// The workers of a zone that are probed now, and how many hosts the zone has.
    fn workers_to_probe(&self, zone: &Name) -> (Vec<(HostId, SocketAddr)>, usize) {
        let state = self.state.borrow();
        let hosts: Vec<_> = state
            .cache
            .hosts
            .iter()
            .filter(|(_, cached)| &cached.value.zone == zone)
            .collect();
        let host_count = hosts.len();
        let first = (self.now().0 / PROBE_ROTATION) as usize;
        let step = (host_count / PROBES).max(1);
        let workers = (0..PROBES.min(host_count))
            .filter_map(|i| {
                let (id, cached) = hosts[(first + i * step) % host_count];
                Some((id.clone(), cached.value.address.parse().ok()?))
            })
            .collect();
        (workers, host_count)
    }
}
