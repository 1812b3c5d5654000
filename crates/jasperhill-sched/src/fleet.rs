//! The fleet plan: how many hosts each partition needs, from the job records alone, so that
//! every controller comes to the same answer.

use crate::config::{SchedConfig, Specs};
use jasperhill_wire::{
    Micros, Name,
    user::{JobRequest, Priority, Shape},
};
use std::collections::BTreeMap;

/// What the plan looks at of each unfinished job.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    pub request: &'a JobRequest,
    pub partition: u32,
    pub unfinished: u32,
    /// Time to the deadline.
    pub left: Option<Micros>,
}

/// Hosts that all tasks of a job would fill, or as many as a team may use at once.
pub fn hosts_for(request: &JobRequest, specs: &Specs) -> f64 {
    specs
        .values()
        .find(|s| request.allows_type(&s.kind) && request.each.fits(&s.capacity))
        .map_or(0.0, |s| {
            let per_host = request.each.count_in(&s.capacity).clamp(1, 1 << 20) as f64;
            (f64::from(request.tasks) / per_host).min(50.0)
        })
}

/// Hosts needed, as fractions that add up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Work that must run on ordinary machines.
    pub ordinary: f64,
    /// Work that may run on spot machines.
    pub flexible: f64,
    /// The part of both that is production or urgent.
    pub pressing: f64,
}

impl Need {
    pub fn total(&self) -> f64 {
        self.ordinary + self.flexible
    }
}

/// The need of every partition.
pub fn plan(demands: &[Demand<'_>], config: &SchedConfig, specs: &Specs) -> Vec<Need> {
    let mut needs = vec![Need::default(); config.partitions as usize];
    // Team limits bound what can run at once.
    let mut by_team: BTreeMap<&Name, u64> = BTreeMap::new();
    for d in demands {
        let r = d.request;
        let Some(spec) = specs
            .values()
            .find(|s| r.allows_type(&s.kind) && r.each.fits(&s.capacity))
        else {
            continue;
        };
        let mut tasks = u64::from(d.unfinished);
        if let Some(team) = config.team(&r.team) {
            let gpus = by_team.entry(&r.team).or_default();
            if let Some(room) = team
                .most
                .gpus
                .saturating_sub(*gpus)
                .checked_div(r.each.gpus)
                && team.most.gpus > 0
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
}

/// Arrivals of the classes whose starts are waited for, by partition. Tells how much room to
/// keep free: what is expected to come while a machine boots, and its usual deviation.
#[derive(Clone, Debug)]
pub struct Arrivals {
    since: Micros,
    flows: BTreeMap<(u32, Name), Flow>,
}

impl Arrivals {
    pub fn new(since: Micros) -> Self {
        Self {
            since,
            flows: BTreeMap::new(),
        }
    }

    pub fn note(&mut self, partition: u32, request: &JobRequest, specs: &Specs, now: Micros) {
        let share = hosts_for(request, specs);
        let flow = self
            .flows
            .entry((partition, request.class.clone()))
            .or_default();
        flow.decay(now);
        flow.sum += share;
        flow.squares += share * share;
    }

    /// Room to keep free in a partition, in hosts.
    pub fn expected(&self, partition: u32, boot: Micros, now: Micros) -> f64 {
        let seen = (now - self.since).as_secs_f64().max(30.0);
        let memory = MEMORY.as_secs_f64();
        let span = memory * (1.0 - (-seen / memory).exp());
        let (mut mean, mut variance) = (0.0, 0.0);
        for ((p, _), flow) in &self.flows {
            if *p == partition {
                let mut flow = *flow;
                flow.decay(now);
                mean += flow.sum / span * boot.as_secs_f64();
                variance += flow.squares / span * boot.as_secs_f64();
            }
        }
        mean + 2.0 * variance.sqrt()
    }
}
