//! Tests of the claims of waiting jobs: over drawn fleets, every job gets a machine that it may use,
//! or one is rented for it.

use crate::support::{NOW, config, heartbeat, record, request, spec};
use jasperhill_scheduler::{
    HeartbeatSource, HostInput, MachineSpec, Partition, SchedulerConfig, TeamLimits,
    rental_plan::{MachineOffer, PartitionMissing, Rental, next_rental},
};
use jasperhill_wire::record::HostRecord;
use jasperhill_wire::user::{JobRequest, Shape};
use jasperhill_wire::worker::{ExitCause, TaskPhase, TaskStatus};
use jasperhill_wire::{HostId, JobId, Micros, Name, Resources, Revision};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};
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
    now: Micros,
    /// Sequence number of the last heartbeats.
    sequence: u64,
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
            now: NOW,
            sequence: 1,
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
        partition.upsert_host(&id, &host_record, Revision(6), false, self.now);
        let report = heartbeat(id.as_str(), 1, self.sequence, 6, vec![]);
        partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, self.now);
        id
    }

    /// Returns the hosts that waiting jobs lack, and returns all idle hosts that none of them keeps.
    fn return_idle_hosts(&mut self) -> Vec<PartitionMissing> {
        let claims = self.partition.capacity_claims(self.now);
        let hosts = self.partition.hosts.values();
        let idle = hosts.filter(|host| host.is_empty() && !claims.kept.contains_key(&host.id));
        for id in idle.map(|host| host.id.clone()).collect::<Vec<_>>() {
            self.partition.remove_host(&id, self.now);
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
        self.partition.run_cycle(self.now);
        let missing = self.return_idle_hosts();
        let Some(Rental { offer, count, .. }) = next_rental(&missing, &[], &is_offered) else {
            return;
        };
        for _ in 0..count {
            self.add_host(&offer);
            self.rented += 1;
        }
        self.partition.run_cycle(self.now);
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

    /// Advances the time. All hosts report, and all tasks on them have failed.
    fn advance_and_fail(&mut self, time: Micros) {
        self.now += time;
        self.sequence += 1;
        for id in self.partition.hosts.keys().cloned().collect::<Vec<_>>() {
            let host_tasks = self.partition.hosts[&id].tasks.iter();
            let failed = host_tasks.filter(|(_, t)| t.holds_resources());
            let tasks = failed.map(|(task, t)| TaskStatus {
                task: task.clone(),
                attempt: t.attempt,
                phase: TaskPhase::Exited(ExitCause::Error),
            });
            let report = heartbeat(id.as_str(), 1, self.sequence, 6, tasks.collect());
            let source = HeartbeatSource::Heartbeat;
            self.partition.on_heartbeat(&report, source, self.now);
            let answered = HostInput::Answered(&[]);
            self.partition.apply(&id, answered, self.now);
        }
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

/// Guards against a job that is not looked at because many older jobs, for which the cloud has
/// nothing, are in front of it.
#[test]
fn jobs_that_cannot_be_served_do_not_hide_jobs_of_another_zone() {
    let mut fleet = Fleet::new();
    let bound = |id: &str, zone: &str| JobRequest {
        zone: Some(zone.into()),
        ..long_job(id, "ensemble", 2, 2.0)
    };
    for number in 0..200 {
        fleet.add_job(bound(&format!("job-1{number:03}"), "a"));
    }
    fleet.add_job(bound("job-2000", "b"));
    fleet.run_round(|offer| offer.zone.as_str() == "b");
    let last = &fleet.partition.jobs[&JobId::new("job-2000")];
    assert_eq!(last.live.len(), 2);
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

/// Returns a job that backs off: its record says that it failed on several hosts.
fn add_crash_looping_job(fleet: &mut Fleet, job: JobRequest) {
    let partition = &mut fleet.partition;
    partition.upsert_job(&Rc::new(job), Revision(6), NOW, &[], (3, NOW));
}

/// Guards against a fleet that is rented or held for jobs that fail wherever they run: together they
/// claim what the largest retry needs.
#[test]
fn jobs_that_back_off_share_the_hosts_of_the_largest_retry() {
    for idle_hosts in [0, 10] {
        let mut fleet = Fleet::new();
        for number in 0..20 {
            // Whole machines, so that no two retries fit on the same one.
            let array = long_job(&format!("job-{number}"), "array", 40, 2.0);
            add_crash_looping_job(&mut fleet, array);
        }
        add_crash_looping_job(&mut fleet, long_job("job-90", "ensemble", 3, 2.0));
        let offer = MachineOffer {
            machine_type: "box".into(),
            zone: "a".into(),
            spot: false,
        };
        for _ in 0..idle_hosts {
            fleet.add_host(&offer);
        }
        let claims = fleet.partition.capacity_claims(NOW);
        let missing = claims.missing.iter().map(|entry| entry.zones[0].hosts);
        assert_eq!(claims.kept.len(), idle_hosts.min(3));
        assert_eq!(missing.sum::<u32>(), if idle_hosts == 0 { 3 } else { 0 });
    }
}

/// Guards against machines that are rented one after the other, without end, for a job that fails on
/// each of them.
#[test]
fn job_that_fails_everywhere_is_tried_on_a_few_hosts_and_holds_one() {
    let mut fleet = Fleet::new();
    fleet.add_job(long_job("job-1", "array", 40, 2.0));
    let mut retries = 0;
    for _ in 0..60 {
        fleet.run_round(|_| true);
        retries += fleet.partition.jobs[&JobId::new("job-1")].live.len();
        assert!(
            fleet.partition.hosts.len() <= 3,
            "{}",
            fleet.partition.hosts.len()
        );
        // The longest delay between two retries.
        fleet.advance_and_fail(Micros::from_secs(64));
    }
    assert!(retries >= 30, "it is still tried: {retries}");
    assert!(fleet.rented <= 5, "{}", fleet.rented);
}

/// Guards against a job that is retried on the sick hosts on which it has failed while another host
/// is idle.
#[test]
fn job_that_backs_off_is_retried_on_another_host() {
    let mut fleet = Fleet::new();
    let offer = MachineOffer {
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
    };
    for _ in 0..4 {
        fleet.add_host(&offer);
    }
    let id = JobId::new("job-1");
    fleet.add_job(long_job("job-1", "array", 1, 2.0));
    let mut tried = BTreeSet::new();
    for _ in 0..6 {
        fleet.partition.run_cycle(fleet.now);
        tried.extend(fleet.partition.jobs[&id].live.values().cloned());
        fleet.advance_and_fail(Micros::from_secs(64));
    }
    assert_eq!(tried.len(), 4, "{tried:?}");
}
