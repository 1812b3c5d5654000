//! Detects missing heartbeats of a zone, and probes a few of the zone's workers when nothing else shows
//! the state of the link to the zone.

use super::requests::status_request;
use crate::shared::Shared;
use jasperhill_http::ClientError;
use jasperhill_membership::reachability;
use jasperhill_scheduler::FencingState;
use jasperhill_wire::{HostId, Micros, Name};
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};

/// The number of workers that are probed together when the state of a zone's link is in question.
const PROBES_PER_ZONE: usize = 3;
/// The timeout for a probe of a worker.
const PROBE_TIMEOUT: Micros = Micros::from_secs(1);
/// The time in microseconds after which probing starts at the next worker of a zone. A prime, so that
/// probes at regular intervals don't hit the same workers again.
const PROBE_ROTATION_US: u64 = 10_007;

impl Shared {
    /// Reports the expected heartbeats of each zone to the reachability view, which detects zones whose
    /// heartbeats are missing, and probes the zones whose links are in question.
    pub(super) fn check_expected_heartbeats(self: &Rc<Self>) {
        for (zone, hosts) in &self.expected_hosts_by_zone() {
            let input = reachability::Input::ExpectHeartbeats {
                zone,
                hosts: *hosts,
                heartbeat_interval: self.settings.heartbeat_interval,
            };
            for zone in self.update_reachability(input) {
                self.probe_zone(&zone);
            }
        }
    }

    /// Returns the number of hosts in each zone that are expected to send heartbeats to this
    /// controller.
    fn expected_hosts_by_zone(&self) -> BTreeMap<Name, u32> {
        let state = self.state.borrow();
        let zones = self.settings.zones.iter().cloned();
        let mut expected: BTreeMap<Name, u32> = zones.map(|zone| (zone, 0)).collect();
        let partitions = state.scheduling.partitions.values();
        for host in partitions.flat_map(|partition| partition.hosts.values()) {
            if host.fencing != FencingState::LeaseExpired {
                *expected.entry(host.zone.clone()).or_default() += 1;
            }
        }
        expected
    }

    /// Probes a few workers of a zone. The choice of workers rotates with time.
    fn probe_zone(self: &Rc<Self>, zone: &Name) {
        let (workers, host_count) = self.workers_to_probe(zone);
        for (host, address) in workers {
            let (shared, zone) = (self.clone(), zone.clone());
            self.clone().spawn(async move {
                let result = shared.call(address, status_request(), PROBE_TIMEOUT).await;
                if !matches!(result, Err(ClientError::NoSocket)) {
                    shared.observe_worker(&zone, &host, host_count, result.is_ok());
                }
            });
        }
    }

    /// Returns the workers of a zone to probe now, and the number of hosts in the zone.
    fn workers_to_probe(&self, zone: &Name) -> (Vec<(HostId, SocketAddr)>, usize) {
        let state = self.state.borrow();
        let hosts: Vec<_> = state
            .cache
            .hosts
            .iter()
            .filter(|(_, cached)| &cached.value.zone == zone)
            .collect();
        let host_count = hosts.len();
        let first_index = (self.now().0 / PROBE_ROTATION_US) as usize;
        let index_step = (host_count / PROBES_PER_ZONE).max(1);
        let workers = (0..PROBES_PER_ZONE.min(host_count))
            .filter_map(|i| {
                let (id, cached) = hosts[(first_index + i * index_step) % host_count];
                Some((id.clone(), cached.value.address.parse().ok()?))
            })
            .collect();
        (workers, host_count)
    }
}
