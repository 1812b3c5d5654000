//! What the scheduler knows from the settings and from the cloud's machine types.

use jasperhill_wire::{
    Micros, Name, Resources,
    cloud::MachineType,
    user::{JobRequest, Shape},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Limits and guarantees of a team; 0 in a dimension means none.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// The team.
    pub name: Name,
    /// What it can have at any time, by preemption if need be.
    pub guaranteed: Resources,
    /// What it may use at once, at most.
    pub limit: Resources,
}

impl TeamLimits {
    fn within(used: &Resources, bound: &Resources) -> bool {
        (bound.cpus == 0 || used.cpus <= bound.cpus) && (bound.gpus == 0 || used.gpus <= bound.gpus)
    }
    /// Whether this use stays within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        Self::within(used, &self.limit)
    }
    /// Whether this use stays within the guarantee; never if there is none.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.guaranteed.cpus > 0 || self.guaranteed.gpus > 0)
            && Self::within(used, &self.guaranteed)
    }
}

/// What the operators may set; the defaults are sound.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The paper's uncertainty factor on the start delay.
    pub uncertainty: f64,
    /// Machines kept beyond the plan, as a part of it.
    pub headroom: f64,
    /// How long an idle machine is kept.
    pub idle_keep: Micros,
    /// Machines kept, in all, however little there is to do.
    pub min_machines: u32,
    /// A class or team of whose jobs a smaller part begins gets turns before others; 0: none does.
    pub least_share: f64,
}

impl Tuning {
    /// The part of the floor that a partition keeps.
    pub fn min_machines_of(&self, partition: u32, partitions: u32) -> u32 {
        let all = partitions.max(1);
        self.min_machines / all + u32::from(partition < self.min_machines % all)
    }

    /// Machines that a partition should have for work that needs so many, with room for what
    /// is expected. None for nothing: an idle deployment shrinks to its floor.
    pub fn planned(&self, need: f64, expected: f64, floor: u32) -> i64 {
        let hosts = if need > 0.0 {
            (need * (1.0 + self.headroom) + expected + 0.5).ceil()
        } else {
            expected.round()
        };
        (hosts as i64).max(i64::from(floor))
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            uncertainty: 1.0,
            headroom: 0.1,
            idle_keep: Micros::from_secs(8),
            min_machines: 0,
            least_share: 0.6,
        }
    }
}

/// What the scheduler knows from the settings. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// How many partitions there are.
    pub partitions: u32,
    /// Limits and guarantees of all teams.
    pub teams: Vec<TeamLimits>,
    /// Between two heartbeats of a worker.
    pub report: Micros,
    /// For so long after its last answered heartbeat a worker lets its tasks go on.
    pub lease: Micros,
    /// For so long a worker lets the task of a gang wait for the others.
    pub gang_wait: Micros,
    /// Within this time a worker ends the task of a gang whose peers are gone.
    pub gang_peer: Micros,
    /// Within what time the objectives expect a class to start.
    pub start_within: BTreeMap<Name, Micros>,
    /// What the operators have set.
    pub tuning: Tuning,
}

impl SchedulerConfig {
    /// How long after the last possible answer a worker's tasks are surely gone: its lease,
    /// and what two drifting clocks and late timers can add.
    pub fn lease_expiry(&self) -> Micros {
        self.lease + self.lease.scale(0.002) + Micros::from_millis(400)
    }
    /// A host that has not been heard for so long may be lost: more than two heartbeats.
    pub fn silence_limit(&self) -> Micros {
        self.report.scale(2.5) + Micros::from_secs(1)
    }
    /// A wait that is not worth stopping anything for.
    pub fn longest_start_delay(&self, class: &Name) -> Micros {
        self.start_within
            .get(class)
            .copied()
            .unwrap_or(Micros::from_secs(10))
    }
    /// The limits of this team; `None` for a team that the settings do not name.
    pub fn team(&self, name: &Name) -> Option<&TeamLimits> {
        self.teams.iter().find(|t| &t.name == name)
    }
}

/// A machine type that can be rented.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Its name at the cloud.
    pub machine_type: Name,
    /// What tasks on it may take together.
    pub capacity: Resources,
    /// What its cache of images holds, in gigabytes.
    pub cache_gb: f64,
    /// How fast it pulls images, in gigabytes a second; always above 0.
    pub fetch_gb_per_s: f64,
    /// The nominal time from the rental to the first heartbeat.
    pub boot: Micros,
    /// Of an ordinary machine, an hour.
    pub price: f64,
    /// Of a spot machine, an hour; that of an ordinary one where there is no other.
    pub spot_price: f64,
    /// Where it can be rented.
    pub zones: Vec<Name>,
}

/// The machine types, by name.
pub type Specs = BTreeMap<Name, Rc<MachineSpec>>;

/// The machine types that the cloud offers, without those whose figures make no sense.
pub fn specs(types: &[MachineType]) -> Specs {
    types
        .iter()
        .filter(|t| t.fetch_gb_per_s > 0.0 && t.boot_s.is_finite() && t.cpus.is_finite())
        .map(|t| {
            let spec = MachineSpec {
                machine_type: t.name.clone(),
                capacity: Resources::from_units(t.cpus, t.gpus, t.memory_gb),
                cache_gb: t.cache_gb,
                fetch_gb_per_s: t.fetch_gb_per_s,
                boot: Micros::from_secs_f64(t.boot_s),
                price: t.price,
                spot_price: t.spot_price.unwrap_or(t.price),
                zones: t.zones.clone(),
            };
            (t.name.clone(), Rc::new(spec))
        })
        .collect()
}

/// Why a job can never run, if so.
pub fn impossible(
    request: &JobRequest,
    config: &SchedulerConfig,
    specs: &Specs,
) -> Option<&'static str> {
    let Some(team) = config.team(&request.team) else {
        return Some("tenant: unknown team");
    };
    let zones: BTreeSet<&Name> = specs
        .values()
        .filter(|s| request.allows_type(&s.machine_type) && request.each.fits(&s.capacity))
        .flat_map(|s| &s.zones)
        .filter(|z| request.zone.as_ref().is_none_or(|allowed| *z == allowed))
        .collect();
    if zones.is_empty() {
        return Some("hosttypes: a task fits no allowed machine type");
    }
    // Tasks that run one by one are never too many for a zone.
    if request.shape != Shape::Array && request.zone_cap() < request.tasks {
        if request.one_zone {
            return Some("apart: its tasks run at the same time and together in one zone");
        }
        if zones.len() < 2 {
            return Some("apart: its tasks run at the same time and may be in one zone only");
        }
    }
    let at_once = match request.shape {
        Shape::Array => 1,
        _ => u64::from(request.tasks),
    };
    if !team.allows(&request.each.times(at_once)) {
        return Some("shards: more than the team's limit");
    }
    None
}

/// The estimated wait for an image on a machine that does not have it.
pub fn fetch_time(gb: f64, spec: &MachineSpec) -> Micros {
    Micros::from_secs_f64(gb / spec.fetch_gb_per_s.max(1e-6))
}
