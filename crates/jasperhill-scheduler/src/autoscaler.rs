//! The fleet plan: how many hosts each partition needs, from the job records alone, so that
//! every controller comes to the same answer.

use crate::config::{SchedulerConfig, Specs};
use jasperhill_wire::{
    Micros, Name,
    user::{JobRequest, Priority, Shape},
};
use std::collections::BTreeMap;

/// What the plan looks at of each unfinished job.
#[derive(Clone, Debug)]
pub struct JobDemand<'a> {
    /// The job.
    pub request: &'a JobRequest,
    /// The partition that its team belongs to.
    pub partition: u32,
    /// Tasks that are not done.
    pub unfinished: u32,
    /// Time to the deadline.
    pub left: Option<Micros>,
}

/// Hosts that all tasks of a job would fill, or as many as a team may use at once.
pub fn hosts_for(request: &JobRequest, specs: &Specs) -> f64 {
    specs
        .values()
        .find(|s| request.allows_type(&s.machine_type) && request.each.fits(&s.capacity))
        .map_or(0.0, |s| {
            let per_host = request.each.count_in(&s.capacity).clamp(1, 1 << 20) as f64;
            (f64::from(request.tasks) / per_host).min(50.0)
        })
}

/// Hosts needed, as fractions that add up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityDemand {
    /// Work that must run on ordinary machines.
    pub ordinary: f64,
    /// Work that may run on spot machines.
    pub flexible: f64,
    /// The part of both that is production or urgent.
    pub pressing: f64,
}

impl CapacityDemand {
    /// Hosts of either kind.
    pub fn total(&self) -> f64 {
        self.ordinary + self.flexible
    }
}

/// The need of every partition.
pub fn plan(
    demands: &[JobDemand<'_>],
    config: &SchedulerConfig,
    specs: &Specs,
) -> Vec<CapacityDemand> {
    let mut needs = vec![CapacityDemand::default(); config.partitions as usize];
    // Team limits bound what can run at once.
    let mut by_team: BTreeMap<&Name, u64> = BTreeMap::new();
    for d in demands {
        let r = d.request;
        let Some(spec) = specs
            .values()
            .find(|s| r.allows_type(&s.machine_type) && r.each.fits(&s.capacity))
        else {
            continue;
        };
        let mut tasks = u64::from(d.unfinished);
        if let Some(team) = config.team(&r.team) {
            let gpus = by_team.entry(&r.team).or_default();
            if let Some(room) = team
                .limit
                .gpus
                .saturating_sub(*gpus)
                .checked_div(r.each.gpus)
                && team.limit.gpus > 0
            {
                tasks = tasks.min(room);
            }
            *gpus += tasks * r.each.gpus;
        }
        let per_host = r.each.count_in(&spec.capacity).clamp(1, 1 << 20) as f64;
        let mut share = tasks as f64 / per_host;
        if let (Some(left), Shape::Array) = (d.left, r.shape) {
            // Time for several rounds saves machines.
            let rounds = left.as_secs_f64() / r.estimate.as_secs_f64().max(1.0);
            share /= rounds.clamp(1.0, 2.0);
        }
        if let Some(need) = needs.get_mut(d.partition as usize) {
            if r.priority <= Priority::High {
                need.pressing += share;
            }
            if r.spot {
                need.flexible += share
            } else {
                need.ordinary += share
            }
        }
    }
    needs
}

/// How much work of a class comes, in hosts: learned from what has come, newer counting more.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    sum: f64,
    squares: f64,
    /// Seconds between jobs, smoothed.
    gap: Option<f64>,
    /// How long the last ones could wait and still meet their deadlines, smoothed.
    slack: Option<Micros>,
    /// Of the last one.
    last: Micros,
    at: Micros,
}

/// The memory of the arrivals.
const MEMORY: Micros = Micros::from_secs(240);

impl Flow {
    fn decay(&mut self, now: Micros) {
        let factor = (-(now - self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.sum *= factor;
        self.squares *= factor;
        self.at = now;
    }

    /// Nothing has come for so long that nothing is to be expected: several times the usual
    /// gap, and more than an outage in which nobody is answered. Guards against an idle
    /// deployment that keeps machines for as long as the memory lasts.
    fn has_ceased(&self, now: Micros) -> bool {
        let silent = (now - self.last).as_secs_f64();
        let gap = self.gap.unwrap_or(MEMORY.as_secs_f64());
        silent > CEASED_AFTER.as_secs_f64() && silent > CEASED_GAPS * gap
    }
}

/// A class has ceased when it has been silent for longer than both.
const CEASED_AFTER: Micros = Micros::from_secs(60);
const CEASED_GAPS: f64 = 5.0;

/// What has gathered before the start of a deployment says nothing about what comes; it is
/// submitted within this time.
const GATHERED: Micros = Micros::from_secs(15);
/// Arrivals seen for less than this tell too little to be stretched to a rate.
const SEEN_LEAST: Micros = Micros::from_secs(10);

/// Arrivals of the classes whose starts are waited for, by partition. Tells how much room to
/// keep free: what is expected to come while a machine boots, and its usual deviation.
#[derive(Clone, Debug)]
pub struct DemandForecast {
    since: Micros,
    flows: BTreeMap<(u32, Name), Flow>,
}

impl DemandForecast {
    /// Counts from a little after `first`, when the oldest job that is known was submitted.
    pub fn new(first: Micros) -> Self {
        Self {
            since: first + GATHERED,
            flows: BTreeMap::new(),
        }
    }

    /// What came before this controller began, or nothing.
    pub fn counts(&self, submitted: Micros) -> bool {
        submitted >= self.since
    }

    /// A job of this partition has become ready.
    pub fn record(&mut self, partition: u32, request: &JobRequest, specs: &Specs, now: Micros) {
        let share = hosts_for(request, specs);
        let flow = self
            .flows
            .entry((partition, request.class.clone()))
            .or_default();
        flow.decay(now);
        flow.sum += share;
        // Room in one zone must do for it, wherever the free machines are.
        let zones = if request.one_zone {
            specs.values().map(|s| s.zones.len()).max().unwrap_or(1)
        } else {
            1
        };
        flow.squares += share * share * zones as f64;
        if flow.last > Micros::ZERO {
            let gap = (now - flow.last).as_secs_f64();
            flow.gap = Some(flow.gap.map_or(gap, |old| 0.8 * old + 0.2 * gap));
        }
        flow.last = now;
        if let Some(deadline) = request.deadline {
            let slack = deadline - request.estimate;
            let old = flow.slack.unwrap_or(slack);
            flow.slack = Some(old.scale(0.9) + slack.scale(0.1));
        }
    }

    /// Room to keep free in a partition, in hosts. `within`: how soon each class is to start.
    ///
    /// A class that may wait for a machine to come up, by its objective and by its jobs'
    /// deadlines, needs no room before it is there. Guards
    /// against hundreds of machines that are kept for large arrays with minutes of time.
    pub fn expected(
        &self,
        partition: u32,
        boot: Micros,
        within: &BTreeMap<Name, Micros>,
        now: Micros,
    ) -> f64 {
        let seen = (now - self.since).max(SEEN_LEAST).as_secs_f64();
        let memory = MEMORY.as_secs_f64();
        let span = memory * (1.0 - (-seen / memory).exp());
        let (mut mean, mut variance) = (0.0, 0.0);
        for ((p, class), flow) in &self.flows {
            let Some(within) = within.get(class).filter(|_| *p == partition) else {
                continue;
            };
            let mut flow = *flow;
            flow.decay(now);
            if flow.has_ceased(now) {
                continue;
            }
            // A machine rented at the arrival is up after a boot; it is late by what exceeds
            // the time that the class has, another boot for what follows the start.
            let within = flow.slack.map_or(*within, |slack| slack.min(*within));
            let ahead = (boot.scale(2.0) - within).min(boot).as_secs_f64();
            mean += flow.sum / span * ahead;
            variance += flow.squares / span * ahead;
        }
        mean + 2.0 * variance.sqrt()
    }
}

#[cfg(test)]
mod tests;
