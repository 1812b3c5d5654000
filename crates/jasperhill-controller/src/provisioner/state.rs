//! What is kept of dealings with the cloud, by the leader and by owners.

use crate::{provisioner::LeaderState, settings::Settings, token_bucket::TokenBucket};
use jasperhill_scheduler::autoscaler::DemandForecast;
use jasperhill_wire::{HostId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the cloud's limit that its only caller, the leader, uses.
const USED_SHARE: f64 = 0.8;

/// What is kept of dealings with the cloud.
pub(crate) struct ProvisioningState {
    /// What the leader knows; `None` while this controller does not lead.
    pub leader: Option<LeaderState>,
    /// Requests to the cloud.
    pub requests: TokenBucket,
    /// Machines that are to be returned.
    pub returning: BTreeSet<HostId>,
    /// The hosts that rejected jobs would need, by partition, and since when that is known.
    pub unmet_demand: BTreeMap<u32, (f64, Micros)>,
    /// What demand is expected, by what has come lately.
    pub forecast: DemandForecast,
    /// How many more machines can be had, after how long, as the leader last said, and when.
    pub spare_capacity: Option<(u32, Micros, Micros)>,
}

impl ProvisioningState {
    pub fn new(settings: &Settings, now: Micros) -> Self {
        let rate = settings.cloud_rps;
        Self {
            leader: None,
            requests: TokenBucket::new(rate * USED_SHARE, rate, now),
            returning: BTreeSet::new(),
            unmet_demand: BTreeMap::new(),
            forecast: DemandForecast::new(now),
            spare_capacity: None,
        }
    }
}
