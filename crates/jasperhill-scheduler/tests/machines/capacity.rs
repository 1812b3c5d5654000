//! Tests of the claims of waiting jobs: over drawn fleets, every job gets a machine that it may use,
//! or one is rented for it.

use crate::support::{NOW, config, heartbeat, record, request, spec};
use jasperhill_scheduler::{
    HeartbeatSource, MachineSpec, Partition, SchedulerConfig, TeamLimits,
    rental_plan::{MachineOffer, PartitionMissing, Rental, next_rental},
};
use jasperhill_wire::record::HostRecord;
use jasperhill_wire::user::{JobRequest, Shape};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, Revision};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;
use std::rc::Rc;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Rounds of renting, returning and scheduling after which every job must have started. One round
/// per machine of the largest job is enough.
const ROUNDS: usize = 12;

/// A partition whose missing hosts are rented and whose idle hosts are returned at once.
struct Fleet {
    partition: Partition,
    last_host: usize,
    rented: usize,
}

/// Returns machine types `box` and `big`, which is twice as large and not offered in zone `a`.
fn specs() -> BTreeMap<Name, Rc<MachineSpec>> {
    let small = MachineSpec {
        zones: ZONES.map(Name::from).to_vec(),
        ..(*spec()).clone()
    };
    let big = MachineSpec {
        machine_type: "big".into(),
        capacity: small.capacity.times(2),
        price: 9.0,
        zones: vec!["b".into(), "c".into()],
        ..small.clone()
    };
    [small, big]
        .map(|spec| (spec.machine_type.clone(), Rc::new(spec)))
        .into()
}

impl Fleet {
    fn new() -> Self {
        let unlimited = SchedulerConfig {
            teams: vec![TeamLimits {
                name: "red".into(),
                guaranteed: Resources::default(),
                limit: Resources::default(),
            }],
            ..(*config()).clone()
        };
        let partition = Partition::new(0, Revision(5), Rc::new(unlimited), Rc::new(specs()));
        Self {
            partition,
            last_host: 0,
            rented: 0,
        }
    }

    /// Adds a host that has sent a heartbeat, and returns its name.
    fn add_host(&mut self, offer: &MachineOffer) -> HostId {
        self.last_host += 1;
        let id = HostId::new(&format!("n-{:04}", self.last_host));
        let host_record = HostRecord {
            machine_type: offer.machine_type.clone(),
            spot: offer.spot,
            ..record(offer.zone.as_str())
        };
        let partition = &mut self.partition;
        partition.upsert_host(&id, &host_record, Revision(6), false, NOW);
        let report = heartbeat(id.as_str(), 1, 1, 6, vec![]);
        partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, NOW);
        id
    }

    /// Returns the hosts that waiting jobs lack, and returns all idle hosts that none of them keeps.
    fn return_idle_hosts(&mut self) -> Vec<PartitionMissing> {
        let claims = self.partition.capacity_claims(NOW);
        let hosts = self.partition.hosts.values();
        let idle = hosts.filter(|host| host.is_empty() && !claims.kept.contains(&host.id));
        for id in idle.map(|host| host.id.clone()).collect::<Vec<_>>() {
            self.partition.remove_host(&id, NOW);
        }
        let missing = claims.missing.into_iter();
        let of_partition = |missing| PartitionMissing {
            partition: 0,
            missing,
        };
        missing.map(of_partition).collect()
    }

    /// Runs a cycle, returns idle hosts and rents the machines of one rental. `is_offered` says what
    /// the cloud has.
    fn run_round(&mut self, is_offered: impl Fn(&MachineOffer) -> bool) {
        self.partition.run_cycle(NOW);
        let missing = self.return_idle_hosts();
        let Some(Rental { offer, count }) = next_rental(&missing, &[], &is_offered) else {
            return;
        };
        for _ in 0..count {
            self.add_host(&offer);
            self.rented += 1;
        }
        self.partition.run_cycle(NOW);
    }

    fn add_job(&mut self, job: JobRequest) {
        let partition = &mut self.partition;
        partition.upsert_job(&Rc::new(job), Revision(6), NOW, &[], (0, NOW));
    }

    /// Returns the jobs that should have started and have not: services with all replicas, gangs
    /// with all tasks, and arrays with at least one.
    fn waiting_jobs(&self) -> Vec<&JobId> {
        let jobs = self.partition.jobs.values().filter(|job| {
            let least_tasks = match job.request.shape {
                Shape::Array => 1,
                Shape::Gang | Shape::Service => job.request.tasks as usize,
            };
            job.live.len() < least_tasks
        });
        jobs.map(|job| &job.request.id).collect()
    }
}

/// Returns a job of team `red` whose tasks run for longer than any test.
fn long_job(id: &str, shape: &str, tasks: u32, gpus: f64) -> JobRequest {
    JobRequest {
        estimate: Micros::from_secs(100_000),
        ..(*request(id, shape, tasks, gpus, None)).clone()
    }
}

/// Draws a job with constraints that at least one offer satisfies.
fn draw_job(rng: &mut StdRng, number: usize) -> JobRequest {
    let shape = ["array", "ensemble", "daemon"][rng.random_range(0..3)];
    let tasks = rng.random_range(1..7);
    let mut job = long_job(&format!("job-{number}"), shape, tasks, 1.0);
    job.each = Resources::from_units(
        rng.random_range(1..=16).into(),
        rng.random_range(0..=2).into(),
        8.0,
    );
    job.spot = rng.random();
    match rng.random_range(0..5) {
        0 => job.zone = Some(ZONES[rng.random_range(0..3)].into()),
        1 => job.one_zone = true,
        2 => job.spread = tasks > 1,
        _ => {}
    }
    if rng.random_range(0..3) == 0 && job.zone.is_none() {
        job.types = Some(vec![["box", "big"][rng.random_range(0..2)].into()]);
    }
    job
}

fn draw_offer(rng: &mut StdRng) -> MachineOffer {
    let machine_type = ["box", "big"][rng.random_range(0..2)];
    let first_zone = usize::from(machine_type == "big");
    MachineOffer {
        machine_type: machine_type.into(),
        zone: ZONES[rng.random_range(first_zone..3)].into(),
        spot: rng.random(),
    }
}

/// Guards against a job that waits for ever beside machines that it may not use: in the wrong zone,
/// of the wrong type or kind, quarantined or lost, or too few in one zone.
#[test]
fn every_job_of_a_drawn_fleet_gets_a_machine_or_one_is_rented() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        for _ in 0..rng.random_range(0..12) {
            let offer = draw_offer(&mut rng);
            let id = fleet.add_host(&offer);
            let lease_expiry = fleet.partition.config.lease_expiry();
            let host = fleet.partition.hosts.get_mut(&id).unwrap();
            match rng.random_range(0..6) {
                0 => host.quarantined_until = Some(NOW + Micros::from_secs(60)),
                1 => host.lease_renewed_at_latest = NOW - lease_expiry,
                _ => {}
            }
        }
        let jobs = rng.random_range(1..8);
        let mut most_machines = 0;
        for number in 0..jobs {
            let job = draw_job(&mut rng, number);
            most_machines += job.tasks as usize;
            fleet.add_job(job);
            fleet.partition.run_cycle(NOW);
        }
        for _ in 0..ROUNDS * jobs {
            fleet.run_round(|_| true);
        }
        assert_eq!(fleet.waiting_jobs(), Vec::<&JobId>::new(), "seed {seed}");
        assert!(
            fleet.rented <= most_machines,
            "seed {seed}: {}",
            fleet.rented
        );
    }
}

/// Guards against a gang that waits for one zone while another zone could be rented for it.
#[test]
fn gang_in_one_zone_is_rented_for_where_the_cloud_has_machines() {
    let mut fleet = Fleet::new();
    let in_zone = |zone: &str| MachineOffer {
        machine_type: "box".into(),
        zone: zone.into(),
        spot: false,
    };
    for zone in ["a", "a", "b"] {
        fleet.add_host(&in_zone(zone));
    }
    let gang = JobRequest {
        one_zone: true,
        ..long_job("job-1", "ensemble", 3, 2.0)
    };
    fleet.add_job(gang);
    for _ in 0..ROUNDS {
        fleet.run_round(|offer| offer == &in_zone("b"));
    }
    assert_eq!(fleet.waiting_jobs(), Vec::<&JobId>::new());
    assert_eq!(fleet.rented, 2, "one machine of zone b is there already");
}

/// Guards against machines that are rented twice: for hosts that were reported missing and are
/// booting or were assigned a moment ago.
#[test]
fn machines_that_are_expected_are_not_rented_again() {
    use jasperhill_scheduler::rental_plan::ExpectedMachine;
    let mut fleet = Fleet::new();
    let job = JobRequest {
        zone: Some("b".into()),
        types: Some(vec!["box".into()]),
        ..long_job("job-1", "ensemble", 2, 2.0)
    };
    fleet.add_job(job);
    let missing = fleet.return_idle_hosts();
    let machine = |zone: &str, partition| ExpectedMachine {
        offer: MachineOffer {
            machine_type: "box".into(),
            zone: zone.into(),
            spot: false,
        },
        partition,
    };
    let count = |expected: &[ExpectedMachine]| {
        next_rental(&missing, expected, |_| true).map_or(0, |rental| rental.count)
    };
    assert_eq!(count(&[]), 2);
    assert_eq!(count(&[machine("b", None)]), 1);
    assert_eq!(count(&[machine("b", None), machine("b", Some(0))]), 0);
    // Machines in another zone, or of another partition, do not serve the job.
    assert_eq!(count(&[machine("a", None), machine("b", Some(1))]), 2);
}
