//! Requests to the cloud and its responses.

use crate::{HostId, Name};
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: Name,
    /// CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Accelerators.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
    /// Room for images in gigabytes.
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    /// How fast images are fetched, in gigabytes per second.
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// On demand, per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// As a spot machine, per hour; absent: as on demand.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// From the rental to the first heartbeat, in seconds.
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    /// Where it is offered.
    #[serde(rename = "halls")]
    pub zones: Vec<Name>,
}

/// The list of machine types.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types.
    #[serde(rename = "hosttypes")]
    pub types: Vec<MachineType>,
    /// In the store: into how many records the list is split. 0: it is whole.
    #[serde(rename = "of", default, skip_serializing_if = "is_zero")]
    pub parts: u32,
}

/// What a part takes beside its types, in bytes.
const PART_OVERHEAD_BYTES: usize = 40;

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl MachineTypes {
    /// The list in parts of at most `room` bytes each; `None` if one type alone is longer.
    pub fn split(self, room: usize) -> Option<Vec<Self>> {
        let bytes = |t: &[MachineType]| serde_json::to_vec(t).map_or(usize::MAX, |b| b.len());
        let room = room.saturating_sub(PART_OVERHEAD_BYTES);
        if bytes(&self.types) <= room {
            return Some(vec![self]);
        }
        let mut parts: Vec<Self> = Vec::new();
        let mut types: Vec<MachineType> = Vec::new();
        for kind in self.types {
            types.push(kind);
            if bytes(&types) > room {
                let last = types.pop()?;
                if types.is_empty() {
                    return None;
                }
                let types = std::mem::replace(&mut types, vec![last]);
                parts.push(Self { types, parts: 0 });
            }
        }
        if bytes(&types) > room {
            return None;
        }
        parts.push(Self { types, parts: 0 });
        let n = parts.len() as u32;
        parts.iter_mut().for_each(|p| p.parts = n);
        Some(parts)
    }
}

/// A request for machines; idempotent by its name.
#[derive(Clone, Debug, Serialize)]
pub struct RentRequest {
    /// The name of the request, unique for good.
    #[serde(rename = "rental")]
    pub request: String,
    /// Of which type.
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    /// In which zone.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Spot machines, or on-demand ones.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// The machines that were rented, or are to be returned.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostNames {
    /// Their names.
    pub hosts: Vec<HostId>,
}

/// What a machine is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    /// It boots.
    Booting,
    /// It runs.
    Running,
    /// It has failed for good.
    Failed,
}

/// A machine in the list of those that are rented.
#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    /// Its name.
    #[serde(rename = "uid")]
    pub id: HostId,
    /// Where it is reached, once it runs.
    #[serde(default)]
    pub address: Option<String>,
    /// Its type.
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// It is a spot machine.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// What it is at.
    pub phase: MachinePhase,
    /// Since its rental, in seconds.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the list of machines that are rented.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    /// The machines, in order of their names.
    pub hosts: Vec<Machine>,
    /// There is another page.
    pub more: bool,
}
