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

/// What has gathered before the start of a deployment says nothing about what comes; it is
/// submitted within this time.
const GATHERED: Micros = Micros::from_secs(15);
/// Arrivals seen for less than this tell too little to be stretched to a rate.
const SEEN_LEAST: Micros = Micros::from_secs(10);

/// Arrivals of the classes whose starts are waited for, by partition. Tells how much room to
/// keep free: what is expected to come while a machine boots, and its usual deviation.
#[derive(Clone, Debug)]
pub struct Arrivals {
    since: Micros,
    flows: BTreeMap<(u32, Name), Flow>,
}

impl Arrivals {
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
        let seen = (now - self.since).max(SEEN_LEAST).as_secs_f64();
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::MachineSpec;
    use jasperhill_wire::Resources;
    use std::rc::Rc;

    /// Guards against a rate that is stretched over time in which nothing was counted.
    #[test]
    fn what_had_gathered_does_not_count_and_what_comes_is_seen_soon() {
        let text = r#"{"uid":"job-1","jobclass":"c","tenant":"red","shape":"ensemble","urgency":"urgent",
            "shards":2,"vcpus":16.0,"accelerators":2.0,"memory_gb":1.0,"bundle":"i","size_gb":1.0,
            "hosttypes":null,"hall":null,"together":false,"apart":false,"reclaimable":false,
            "expected_s":10.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":null}"#;
        let request = JobRequest::parse(text.as_bytes()).unwrap();
        let spec = MachineSpec {
            kind: "box".into(),
            capacity: Resources::from_units(16.0, 2.0, 64.0),
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            boot: Micros::from_secs(25),
            price: 4.0,
            spot_price: 2.0,
            zones: vec!["a".into()],
        };
        let specs: Specs = BTreeMap::from([("box".into(), Rc::new(spec))]);
        let first = Micros::from_secs(3_600);
        let mut arrivals = Arrivals::new(first);
        assert!(!arrivals.counts(first + Micros::from_secs(5)));
        // Two hosts every five seconds, from when it counts.
        for n in 0..4 {
            let at = first + Micros::from_secs(15 + 5 * n);
            assert!(arrivals.counts(at));
            arrivals.note(0, &request, &specs, at);
        }
        let now = first + Micros::from_secs(35);
        let expected = arrivals.expected(0, Micros::from_secs(25), now);
        assert!((10.0..30.0).contains(&expected), "{expected}");
    }
}
