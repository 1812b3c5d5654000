//! Chooses the machines to rent for jobs that lack hosts.
//!
//! Every owner of a partition reports the hosts that its waiting jobs lack
//! ([`crate::Partition::capacity_claims`]). [`next_rental`] rents machines that these jobs may use,
//! unless enough of them are expected already.

use crate::config::MachineSpec;
use jasperhill_wire::{
    Name,
    mesh::{MissingHosts, MissingInZone},
};

/// A kind of machine that can be rented: a machine type in a zone, as spot or on-demand machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Name of the machine type.
    pub machine_type: Name,
    /// Name of the zone.
    pub zone: Name,
    /// True for spot machines, false for on-demand machines.
    pub spot: bool,
}

impl MachineOffer {
    /// Returns the offers of a machine type, one for each of its zones.
    pub fn offers_of_type(spec: &MachineSpec, spot: bool) -> impl Iterator<Item = Self> + '_ {
        spec.zones.iter().map(move |zone| Self {
            machine_type: spec.machine_type.clone(),
            zone: zone.clone(),
            spot,
        })
    }

    /// Returns whether a machine of this offer is one of the missing hosts.
    pub fn is_among(&self, missing: &MissingHosts) -> bool {
        missing.allows_host(&self.machine_type, &self.zone, self.spot)
    }
}

/// Hosts that a job of a partition lacks.
#[derive(Clone, Debug)]
pub struct PartitionMissing {
    /// The partition of the job.
    pub partition: u32,
    /// The hosts that the job lacks.
    pub missing: MissingHosts,
}

/// A machine that will serve missing hosts, though the report of the owner did not count it.
#[derive(Clone, Debug)]
pub struct ExpectedMachine {
    /// Kind of the machine.
    pub offer: MachineOffer,
    /// The partition that has just been given the machine; `None` for a machine that boots or that
    /// no partition has yet.
    pub partition: Option<u32>,
}

/// Number of machines of one offer to rent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rental {
    /// Kind of the machines.
    pub offer: MachineOffer,
    /// Number of machines; at least 1.
    pub count: u32,
    /// The partition whose job lacks the machines.
    pub partition: u32,
}

/// Returns the next rental for missing hosts: the first of `missing` that the expected machines do
/// not cover and that an offer can serve. `is_offered` returns whether machines of an offer can be
/// rented, as far as known. Returns `None` if nothing is to be rented.
///
/// An expected machine covers one missing host only, so that two jobs do not count on the same one.
pub fn next_rental(
    missing: &[PartitionMissing],
    expected: &[ExpectedMachine],
    is_offered: impl Fn(&MachineOffer) -> bool,
) -> Option<Rental> {
    let mut unclaimed: Vec<&ExpectedMachine> = expected.iter().collect();
    for entry in missing {
        let serves = |machine: &ExpectedMachine, in_zone: &MissingInZone| {
            machine.offer.zone == in_zone.zone
                && machine.offer.is_among(&entry.missing)
                && machine.partition.is_none_or(|p| p == entry.partition)
        };
        let mut zones: Vec<(u32, &MissingInZone)> = entry
            .missing
            .zones
            .iter()
            .map(|in_zone| {
                let serving = unclaimed.iter().filter(|m| serves(m, in_zone)).count();
                (in_zone.hosts.saturating_sub(serving as u32), in_zone)
            })
            .collect();
        zones.sort_by_key(|(uncovered, _)| *uncovered);
        if let Some((0, covered)) = zones.first() {
            let mut claimed = 0;
            unclaimed.retain(|machine| {
                let is_claimed = claimed < covered.hosts && serves(machine, covered);
                claimed += u32::from(is_claimed);
                !is_claimed
            });
            continue;
        }
        let rental = zones.into_iter().find_map(|(count, in_zone)| {
            let offer = best_offer(&entry.missing, &in_zone.zone, &is_offered)?;
            Some(Rental {
                offer,
                count,
                partition: entry.partition,
            })
        });
        if rental.is_some() {
            return rental;
        }
    }
    None
}

/// Returns the cheapest offer in a zone for missing hosts: a spot machine if it will do, or `None`
/// if no suitable machine can be rented there.
fn best_offer(
    missing: &MissingHosts,
    zone: &Name,
    is_offered: impl Fn(&MachineOffer) -> bool,
) -> Option<MachineOffer> {
    let kinds: &[bool] = if missing.spot {
        &[true, false]
    } else {
        &[false]
    };
    let offers = kinds.iter().flat_map(|spot| {
        missing
            .machine_types
            .iter()
            .map(|machine_type| MachineOffer {
                machine_type: machine_type.clone(),
                zone: zone.clone(),
                spot: *spot,
            })
    });
    offers.into_iter().find(|offer| is_offered(offer))
}
