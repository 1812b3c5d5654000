//! Request and response bodies of the cloud provider's API: the catalogue of machine types, the
//! rental and return of machines, and the list of rented machines.
//!
//! [`MachineTypes`] is also stored in the state service, split into parts that each fit into one
//! value.

use crate::{HostId, Name};
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The cloud's name for the machine type.
    pub name: Name,
    /// Number of CPUs of a machine of this type.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of accelerators of a machine of this type.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory of a machine of this type, in gigabytes.
    pub memory_gb: f64,
    /// Local disk space for cached images, in gigabytes.
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// Rate at which a machine of this type fetches images, in gigabytes per second.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Price of a spot machine, per hour; `None`: the same as the on-demand price.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Time from the rental to the first heartbeat, in seconds.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// The zones in which the cloud offers this machine type.
    #[serde(rename = "halls")]
    pub zones: Vec<Name>,
}

/// The cloud's list of machine types, or one part of the list as it is stored in the state service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types in this list or part.
    #[serde(rename = "hosttypes")]
    pub types: Vec<MachineType>,
    /// Number of records into which the stored list is split; 0: the list is whole.
    #[serde(rename = "of", default, skip_serializing_if = "is_zero")]
    pub parts: u32,
}

/// Encoded size of a part without its machine types, in bytes.
const PART_OVERHEAD_BYTES: usize = 40;

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl MachineTypes {
    /// Splits the list into parts whose encoded size is at most `max_part_bytes` each. Returns
    /// `None` if a single machine type does not fit into a part.
    pub fn split(self, max_part_bytes: usize) -> Option<Vec<Self>> {
        let encoded_len =
            |types: &[MachineType]| serde_json::to_vec(types).map_or(usize::MAX, |json| json.len());
        let max_part_bytes = max_part_bytes.saturating_sub(PART_OVERHEAD_BYTES);
        if encoded_len(&self.types) <= max_part_bytes {
            return Some(vec![self]);
        }
        let mut parts: Vec<Self> = Vec::new();
        let mut types: Vec<MachineType> = Vec::new();
        for machine_type in self.types {
            types.push(machine_type);
            if encoded_len(&types) > max_part_bytes {
                let overflowing = types.pop()?;
                if types.is_empty() {
                    return None;
                }
                let types = std::mem::replace(&mut types, vec![overflowing]);
                parts.push(Self { types, parts: 0 });
            }
        }
        if encoded_len(&types) > max_part_bytes {
            return None;
        }
        parts.push(Self { types, parts: 0 });
        let part_count = parts.len() as u32;
        parts.iter_mut().for_each(|part| part.parts = part_count);
        Some(parts)
    }
}

/// Request to rent machines. Repeating it under the same `request` name rents no further machines.
#[derive(Clone, Debug, Serialize)]
pub struct RentRequest {
    /// Idempotency key of the request; never reused for another request.
    #[serde(rename = "rental")]
    pub request: String,
    /// The machine type to rent.
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    /// The zone to rent in.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// `true`: spot machines; `false`: on-demand machines.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Number of machines to rent.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// The names of machines that were rented or are to be returned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostNames {
    /// The machines' names.
    pub hosts: Vec<HostId>,
}

/// Phase in the life of a rented machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// The machine is booting.
    Booting,
    /// The machine is running.
    Running,
    /// The machine has failed permanently.
    Failed,
}

/// One entry in the cloud's list of rented machines.
#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    /// The machine's name.
    #[serde(rename = "uid")]
    pub id: HostId,
    /// Address at which the machine's worker can be reached; `None` until the machine is running.
    #[serde(default)]
    pub address: Option<String>,
    /// The machine's type.
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    /// The zone that the machine is in.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Whether this is a spot machine, which the cloud may reclaim.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// The machine's current phase.
    pub phase: MachinePhase,
    /// Time since the machine was rented, in seconds.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// One page of the cloud's list of rented machines.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    /// The machines on this page, ordered by name.
    pub hosts: Vec<Machine>,
    /// Whether further pages follow.
    pub more: bool,
}
