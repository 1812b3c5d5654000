//! What the cloud is asked and answers.

use crate::{HostId, Name};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: Name,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "local_gb")]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub price: f64,
    #[serde(default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "ready_s")]
    pub boot_s: f64,
    #[serde(rename = "halls")]
    pub zones: Vec<Name>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "hosttypes")]
    pub types: Vec<MachineType>,
    /// In the store: into how many records the list is split. 0: it is whole.
    #[serde(rename = "of", default, skip_serializing_if = "is_zero")]
    pub parts: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl MachineTypes {
    /// The list in parts that are no longer than `room` bytes each; `None` if one type alone is.
    pub fn split(self, room: usize) -> Option<Vec<Self>> {
        let bytes = |t: &[MachineType]| serde_json::to_vec(t).map_or(usize::MAX, |b| b.len());
        let room = room.saturating_sub(40);
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

#[derive(Clone, Debug, Serialize)]
pub struct RentRequest {
    #[serde(rename = "rental")]
    pub request: String,
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    #[serde(rename = "hall")]
    pub zone: Name,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    #[serde(rename = "how_many")]
    pub count: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostNames {
    pub hosts: Vec<HostId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachinePhase {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    #[serde(rename = "uid")]
    pub id: HostId,
    #[serde(default)]
    pub address: Option<String>,
    #[serde(rename = "hosttype")]
    pub machine_type: Name,
    #[serde(rename = "hall")]
    pub zone: Name,
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    pub phase: MachinePhase,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    pub hosts: Vec<Machine>,
    pub more: bool,
}
