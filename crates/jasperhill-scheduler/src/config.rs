//! Scheduler configuration from the settings, and the machine types that the cloud offers.
//!
//! [`SchedulerConfig`] holds team limits, worker timings and [`Tuning`]; [`Specs`] holds the
//! machine types. [`rejection_reason`] checks a job against both.

use jasperhill_wire::{
    Micros, Name, Resources,
    cloud::MachineType,
    user::{JobRequest, Shape},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Resource limit and guarantee of a team; 0 in a dimension means that there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// Name of the team.
    pub name: Name,
    /// Resources that the team can get at any time, by preemption if necessary.
    pub guaranteed: Resources,
    /// Maximum resources that the team may use at the same time.
    pub limit: Resources,
}

impl TeamLimits {
    fn is_within(used: &Resources, maximum: &Resources) -> bool {
        (maximum.cpus == 0 || used.cpus <= maximum.cpus)
            && (maximum.gpus == 0 || used.gpus <= maximum.gpus)
    }
    /// Returns whether this usage is within the limit.
    pub fn allows(&self, used: &Resources) -> bool {
        Self::is_within(used, &self.limit)
    }
    /// Returns whether this usage is within the guarantee; `false` if the team has none.
    pub fn guarantees(&self, used: &Resources) -> bool {
        (self.guaranteed.cpus > 0 || self.guaranteed.gpus > 0)
            && Self::is_within(used, &self.guaranteed)
    }
}

/// Parameters that operators may set. The defaults are safe to use.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Uncertainty factor of the paper's admission test, by which the start delay is multiplied.
    pub uncertainty: f64,
    /// Machines kept in addition to the demand, as a fraction of the demand.
    pub headroom: f64,
    /// Time for which an idle machine is kept.
    pub idle_retention: Micros,
    /// Minimum number of machines in the deployment, kept even without work.
    pub min_machines: u32,
    /// Minimum share of jobs started, from 0 to 1: the longest-waiting jobs of a class or team
    /// below it go first. 0 turns this off.
    pub minimum_share: f64,
}

impl Tuning {
    /// Returns the part of `min_machines` that a partition keeps.
    pub fn min_machines_of(&self, partition: u32, partitions: u32) -> u32 {
        let partition_count = partitions.max(1);
        self.min_machines / partition_count
            + u32::from(partition < self.min_machines % partition_count)
    }

    /// Returns the number of machines that a partition should have: the demand with
    /// headroom plus the `expected` demand, both in hosts, and at least `floor`. Headroom is added
    /// only to existing demand, so that an idle deployment shrinks to its minimum.
    pub fn desired_machines(&self, demand: f64, expected: f64, floor: u32) -> i64 {
        let hosts = if demand > 0.0 {
            (demand * (1.0 + self.headroom) + expected + 0.5).ceil()
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
            idle_retention: Micros::from_secs(8),
            min_machines: 0,
            minimum_share: 0.6,
        }
    }
}

/// Settings of the scheduler, which all controllers share. Durations are in microseconds.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Number of partitions.
    pub partitions: u32,
    /// Limits and guarantees of all teams.
    pub teams: Vec<TeamLimits>,
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval: Micros,
    /// Time after the last answered heartbeat for which a worker keeps its tasks running.
    pub lease: Micros,
    /// Time for which a worker lets a task of a gang wait for the gang's other tasks.
    pub gang_wait: Micros,
    /// Time within which a worker ends a task of a gang whose peers are gone.
    pub gang_peer_timeout: Micros,
    /// Time within which jobs are to start, by class, for classes with a start objective.
    pub start_within: BTreeMap<Name, Micros>,
    /// Parameters set by the operators.
    pub tuning: Tuning,
}

impl SchedulerConfig {
    /// Returns the time after the last possible answer by which all tasks of a worker have
    /// certainly ended: the lease plus a margin for the drift of two clocks and for late timers.
    pub fn lease_expiry(&self) -> Micros {
        self.lease + self.lease.scale(0.002) + Micros::from_millis(400)
    }
    /// Returns the time without a heartbeat after which a host may be lost: more than two heartbeat
    /// intervals.
    pub fn silence_limit(&self) -> Micros {
        self.heartbeat_interval.scale(2.5) + Micros::from_secs(1)
    }
    /// Returns the start delay of a class for which no other work is stopped: its start objective,
    /// or 10 s without one.
    pub fn longest_start_delay(&self, class: &Name) -> Micros {
        self.start_within
            .get(class)
            .copied()
            .unwrap_or(Micros::from_secs(10))
    }
    /// Returns the limits of a team; `None` for a team that the settings do not contain.
    pub fn team(&self, name: &Name) -> Option<&TeamLimits> {
        self.teams.iter().find(|t| &t.name == name)
    }
}

/// A machine type that can be rented.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Name of the type in the cloud's API.
    pub machine_type: Name,
    /// Resources that all tasks on a machine may use together.
    pub capacity: Resources,
    /// Size of the image cache, in gigabytes.
    pub cache_gb: f64,
    /// Image download rate, in gigabytes per second; always above 0.
    pub fetch_gb_per_s: f64,
    /// Nominal time from the rental to the first heartbeat.
    pub nominal_boot_time: Micros,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Price of a spot machine per hour; the on-demand price if the cloud names no spot price.
    pub spot_price: f64,
    /// Zones in which the type can be rented.
    pub zones: Vec<Name>,
}

/// Machine types by name.
pub type Specs = BTreeMap<Name, Rc<MachineSpec>>;

/// Returns the machine types that the cloud offers, without those with an invalid download rate,
/// boot time or CPU count.
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
                nominal_boot_time: Micros::from_secs_f64(t.boot_s),
                price: t.price,
                spot_price: t.spot_price.unwrap_or(t.price),
                zones: t.zones.clone(),
            };
            (t.name.clone(), Rc::new(spec))
        })
        .collect()
}

/// Returns the reason why a job can never run, or `None` if it can run. The reason starts with the
/// name of the submission's field.
pub fn rejection_reason(
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
    // The tasks of an array may run one at a time, so that any zone can hold them.
    if request.shape != Shape::Array && request.zone_cap() < request.tasks {
        if request.one_zone {
            return Some("apart: its tasks run at the same time and together in one zone");
        }
        if zones.len() < 2 {
            return Some("apart: its tasks run at the same time and may be in one zone only");
        }
    }
    let concurrent_tasks = match request.shape {
        Shape::Array => 1,
        _ => u64::from(request.tasks),
    };
    if !team.allows(&request.each.times(concurrent_tasks)) {
        return Some("shards: more than the team's limit");
    }
    None
}

/// Returns the estimated time to download an image of `gb` gigabytes to a machine that has not
/// cached it.
pub fn image_download_time(gb: f64, spec: &MachineSpec) -> Micros {
    Micros::from_secs_f64(gb / spec.fetch_gb_per_s.max(1e-6))
}
