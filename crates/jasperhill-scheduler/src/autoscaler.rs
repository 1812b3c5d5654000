//! Capacity planning: how many hosts each partition needs.
//!
//! [`plan`] computes the demand of all partitions from the job records alone, so that every
//! controller arrives at the same result. [`DemandForecast`] estimates the capacity to keep free
//! for jobs that are expected to arrive while a machine boots.

use crate::config::{SchedulerConfig, Specs};
use jasperhill_wire::{
    Micros, Name,
    user::{JobRequest, Priority, Shape},
};
use std::collections::BTreeMap;

/// Demand of one unfinished job, as input to [`plan`].
#[derive(Clone, Debug)]
pub struct JobDemand<'a> {
    /// Submitted job.
    pub request: &'a JobRequest,
    /// The partition that the job's team belongs to.
    pub partition: u32,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Time to the deadline; `None` for a job without a deadline.
    pub time_to_deadline: Option<Micros>,
}

/// Returns the number of hosts that all tasks of a job would fill, but at most 50, which stands
/// for what a team may use at once. Returns 0 if no machine type fits the job.
pub fn hosts_for(request: &JobRequest, specs: &Specs) -> f64 {
    specs
        .values()
        .find(|s| request.allows_type(&s.machine_type) && request.each.fits(&s.capacity))
        .map_or(0.0, |s| {
            let per_host = request.each.count_in(&s.capacity).clamp(1, 1 << 20) as f64;
            (f64::from(request.tasks) / per_host).min(50.0)
        })
}

/// Number of hosts needed by a partition, in fractions of a host so that jobs can be summed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityDemand {
    /// Hosts for work that must run on on-demand machines.
    pub on_demand: f64,
    /// Hosts for work that may run on spot machines.
    pub spot_eligible: f64,
    /// Hosts for production and urgent work, which is included in the other two fields.
    pub high_priority: f64,
}

impl CapacityDemand {
    /// Returns the number of hosts needed, on-demand and spot.
    pub fn total(&self) -> f64 {
        self.on_demand + self.spot_eligible
    }
}

/// Returns the demand of every partition, indexed by partition number.
pub fn plan(
    demands: &[JobDemand<'_>],
    config: &SchedulerConfig,
    specs: &Specs,
) -> Vec<CapacityDemand> {
    let mut partition_demands = vec![CapacityDemand::default(); config.partitions as usize];
    // Team limits bound the number of tasks that can run at the same time.
    let mut gpus_by_team: BTreeMap<&Name, u64> = BTreeMap::new();
    for job in demands {
        let request = job.request;
        let Some(spec) = specs
            .values()
            .find(|s| request.allows_type(&s.machine_type) && request.each.fits(&s.capacity))
        else {
            continue;
        };
        let mut tasks = u64::from(job.unfinished);
        if let Some(team) = config.team(&request.team) {
            let gpus = gpus_by_team.entry(&request.team).or_default();
            if let Some(max_tasks) = team
                .limit
                .gpus
                .saturating_sub(*gpus)
                .checked_div(request.each.gpus)
                && team.limit.gpus > 0
            {
                tasks = tasks.min(max_tasks);
            }
            *gpus += tasks * request.each.gpus;
        }
        let per_host = request.each.count_in(&spec.capacity).clamp(1, 1 << 20) as f64;
        let mut hosts = tasks as f64 / per_host;
        if let (Some(left), Shape::Array) = (job.time_to_deadline, request.shape) {
            // An array with time for two rounds before its deadline needs half the machines.
            let rounds = left.as_secs_f64() / request.estimate.as_secs_f64().max(1.0);
            hosts /= rounds.clamp(1.0, 2.0);
        }
        if let Some(demand) = partition_demands.get_mut(job.partition as usize) {
            if request.priority <= Priority::High {
                demand.high_priority += hosts;
            }
            if request.spot {
                demand.spot_eligible += hosts
            } else {
                demand.on_demand += hosts
            }
        }
    }
    partition_demands
}

/// Exponentially decayed arrival statistics of one job class in one partition.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalStats {
    /// Sum of the demands of arrived jobs, in hosts.
    sum: f64,
    /// Sum of the squared demands, for the variance.
    squared_sum: f64,
    /// Smoothed time between two arrivals, in seconds; `None` before the second arrival.
    interval: Option<f64>,
    /// Smoothed time for which recent jobs could wait and still meet their deadlines; `None` if no
    /// job had a deadline.
    slack: Option<Micros>,
    /// Time of the last arrival; zero before the first.
    last_arrival: Micros,
    /// Time up to which `sum` and `squared_sum` have been decayed.
    decayed_at: Micros,
}

/// Time constant of the exponential decay of arrival statistics.
const DECAY_TIME: Micros = Micros::from_secs(240);

impl ArrivalStats {
    /// Decays the sums up to `now`.
    fn decay(&mut self, now: Micros) {
        let factor = (-(now - self.decayed_at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.sum *= factor;
        self.squared_sum *= factor;
        self.decayed_at = now;
    }

    /// Returns whether no job has arrived for so long that none is expected: for several times the
    /// usual interval, and for longer than an outage in which no submission is answered. Without
    /// this rule an idle deployment would keep machines until the statistics have decayed.
    fn has_ceased(&self, now: Micros) -> bool {
        let silent = (now - self.last_arrival).as_secs_f64();
        let interval = self.interval.unwrap_or(DECAY_TIME.as_secs_f64());
        silent > CEASED_AFTER.as_secs_f64() && silent > CEASED_INTERVALS * interval
    }
}

/// Arrivals of a class have ceased when none has come for longer than both this time and
/// [`CEASED_INTERVALS`] usual intervals.
const CEASED_AFTER: Micros = Micros::from_secs(60);
/// Number of usual arrival intervals without an arrival; see [`CEASED_AFTER`].
const CEASED_INTERVALS: f64 = 5.0;

/// Time within which jobs that had accumulated before the start of a deployment are submitted.
/// Such jobs are ignored because they say nothing about later arrivals.
const BACKLOG_SUBMISSION_TIME: Micros = Micros::from_secs(15);
/// Minimum time over which a rate is computed: a shorter observation has too few arrivals to
/// extrapolate.
const MIN_OBSERVATION_TIME: Micros = Micros::from_secs(10);

/// Arrival statistics of job classes by partition, and the capacity to keep free for them.
///
/// The forecast covers classes with a start objective: the demand expected to arrive while a
/// machine boots, plus a margin for its deviation.
#[derive(Clone, Debug)]
pub struct DemandForecast {
    /// Time from which arrivals are counted.
    since: Micros,
    arrivals: BTreeMap<(u32, Name), ArrivalStats>,
}

impl DemandForecast {
    /// Creates a forecast that counts arrivals from shortly after `first`, the submission time of
    /// the oldest known job.
    pub fn new(first: Micros) -> Self {
        Self {
            since: first + BACKLOG_SUBMISSION_TIME,
            arrivals: BTreeMap::new(),
        }
    }

    /// Returns whether a job submitted at this time counts as an arrival. Jobs submitted before the
    /// forecast began to count are ignored.
    pub fn counts_arrival_at(&self, submitted: Micros) -> bool {
        submitted >= self.since
    }

    /// Records the arrival of a job of this partition that has become ready to start.
    pub fn record(&mut self, partition: u32, request: &JobRequest, specs: &Specs, now: Micros) {
        let hosts = hosts_for(request, specs);
        let stats = self
            .arrivals
            .entry((partition, request.class.clone()))
            .or_default();
        stats.decay(now);
        stats.sum += hosts;
        // A job that must run in one zone needs enough free capacity in a single zone, and free
        // hosts may be in any zone, so its square counts once per zone.
        let zones = if request.one_zone {
            specs.values().map(|s| s.zones.len()).max().unwrap_or(1)
        } else {
            1
        };
        stats.squared_sum += hosts * hosts * zones as f64;
        if stats.last_arrival > Micros::ZERO {
            let interval = (now - stats.last_arrival).as_secs_f64();
            stats.interval = Some(
                stats
                    .interval
                    .map_or(interval, |old| 0.8 * old + 0.2 * interval),
            );
        }
        stats.last_arrival = now;
        if let Some(deadline) = request.deadline {
            let slack = deadline - request.estimate;
            let old = stats.slack.unwrap_or(slack);
            stats.slack = Some(old.scale(0.9) + slack.scale(0.1));
        }
    }

    /// Returns the capacity to keep free in a partition, in hosts: the expected demand plus two
    /// standard deviations. `within` is the longest start delay of each class.
    ///
    /// No capacity is kept for a class whose objective and deadlines leave time to boot a machine.
    /// Otherwise hundreds of machines would be kept for large arrays that have minutes to start.
    pub fn expected(
        &self,
        partition: u32,
        boot: Micros,
        within: &BTreeMap<Name, Micros>,
        now: Micros,
    ) -> f64 {
        let observed = (now - self.since).max(MIN_OBSERVATION_TIME).as_secs_f64();
        let decay_time = DECAY_TIME.as_secs_f64();
        let effective_time = decay_time * (1.0 - (-observed / decay_time).exp());
        let (mut mean, mut variance) = (0.0, 0.0);
        for ((p, class), stats) in &self.arrivals {
            let Some(within) = within.get(class).filter(|_| *p == partition) else {
                continue;
            };
            let mut stats = *stats;
            stats.decay(now);
            if stats.has_ceased(now) {
                continue;
            }
            // A machine rented when a job arrives is too late by the part of its boot time that
            // exceeds the class's start delay. Another boot time covers what follows the start.
            // The lead time is at most one boot time.
            let within = stats.slack.map_or(*within, |slack| slack.min(*within));
            let lead_time = (boot.scale(2.0) - within).min(boot).as_secs_f64();
            mean += stats.sum / effective_time * lead_time;
            variance += stats.squared_sum / effective_time * lead_time;
        }
        mean + 2.0 * variance.sqrt()
    }
}

#[cfg(test)]
mod tests;
