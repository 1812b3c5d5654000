//! Benchmark of a scheduling cycle at the size of a partition of the largest fleet, and with two
//! and four times as many machines and waiting jobs. The cost must grow no faster than machines and
//! jobs together.
//!
//! `cargo bench -p jasperhill-scheduler --bench pass`

#![expect(missing_docs, reason = "the benchmark's group is made by a macro")]

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use jasperhill_scheduler::{
    HeartbeatSource, MachineSpec, Partition, SchedulerConfig, TeamLimits, Tuning, host::HostInput,
};
use jasperhill_wire::{
    FencingToken, HostId, JobId, Micros, Name, Resources, Revision,
    record::{HostAssignment, HostRecord},
    user::{JobRequest, Priority, Shape},
    worker::{Heartbeat, TaskPhase, TaskStatus},
};
use std::{collections::BTreeMap, hint::black_box, rc::Rc};

const NOW: Micros = Micros::from_secs(10_000);
/// Number of hosts: a third of the largest fleet.
const HOSTS: u64 = 450;

#[derive(Clone, Copy)]
enum Kind {
    Service,
    Array,
    Gang,
}

fn request(kind: Kind, n: u64) -> Rc<JobRequest> {
    let (shape, priority, tasks, each, deadline) = match kind {
        Kind::Service => (
            Shape::Service,
            Priority::Production,
            4,
            (8.0, 1.0, 58.0),
            None,
        ),
        Kind::Array => (
            Shape::Array,
            Priority::Normal,
            40,
            (10.0, 1.0, 72.0),
            Some(Micros::from_secs(100)),
        ),
        Kind::Gang => (Shape::Gang, Priority::High, 2, (43.0, 4.0, 310.0), None),
    };
    Rc::new(JobRequest {
        id: JobId::new(&format!("job-{}{n:06}", shape as u8)),
        class: Name::from(format!("class-{}", shape as u8).as_str()),
        team: Name::from(format!("team-{}", n % 3).as_str()),
        shape,
        priority,
        tasks,
        each: Resources::from_units(each.0, each.1, each.2),
        image: Name::from(format!("image-{}", n % 46).as_str()),
        image_gb: 5.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: matches!(kind, Kind::Service),
        spot: !matches!(kind, Kind::Service),
        estimate: Micros::from_secs(40),
        checkpoint_every: Micros::ZERO,
        checkpoint_time: Micros::ZERO,
        deadline,
        dependencies: Vec::new(),
    })
}

fn hosts(partition: &Partition) -> Vec<HostId> {
    partition.hosts.keys().cloned().collect()
}

/// Sends a heartbeat of every host that reports all its tasks as running.
fn report_all(partition: &mut Partition, sequence: u64) {
    for id in hosts(partition) {
        let host = &partition.hosts[&id];
        let tasks = host.tasks.iter().map(|(task, t)| TaskStatus {
            task: task.clone(),
            attempt: t.attempt,
            phase: TaskPhase::Running,
        });
        let report = Heartbeat {
            host: id.clone(),
            address: host.address.clone(),
            machine_type: host.spec.machine_type.clone(),
            zone: host.zone.clone(),
            spot: host.spot,
            incarnation: 1,
            sequence,
            token: FencingToken(5),
            termination_notice: None,
            tasks: tasks.collect(),
        };
        partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, NOW);
        partition.apply(&id, HostInput::Answered(&[]), NOW);
    }
}

fn partition_with_hosts(count: u64) -> Partition {
    let zones: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let spec = Rc::new(MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(96.0, 8.0, 768.0),
        cache_gb: 60.0,
        fetch_gb_per_s: 0.25,
        nominal_boot_time: Micros::from_secs(35),
        price: 20.0,
        spot_price: 8.0,
        zones: zones.clone(),
    });
    let team = |n: u64| TeamLimits {
        name: Name::from(format!("team-{n}").as_str()),
        guaranteed: Resources::default(),
        limit: Resources::default(),
    };
    let config = Rc::new(SchedulerConfig {
        partitions: 3,
        teams: (0..3).map(team).collect(),
        heartbeat_interval: Micros::from_secs(6),
        lease: Micros::from_secs(30),
        gang_wait: Micros::from_secs(30),
        gang_peer_timeout: Micros::from_secs(8),
        start_within: BTreeMap::new(),
        tuning: Tuning::default(),
    });
    let specs = Rc::new(BTreeMap::from([(Name::from("box"), spec)]));
    let mut partition = Partition::new(0, Revision(5), config, specs);
    for n in 0..count {
        let record = HostRecord {
            assignment: HostAssignment::Partition(0),
            address: "10.1.0.1:9000".to_owned(),
            machine_type: "box".into(),
            zone: zones[(n % 3) as usize].clone(),
            spot: n % 3 == 0,
            rewrites: 0,
        };
        let id = HostId::new(&format!("n-{n:06}"));
        partition.upsert_host(&id, &record, Revision(4), false, NOW);
    }
    report_all(&mut partition, 1);
    partition
}

fn submit(partition: &mut Partition, kind: Kind, from: u64, count: u64) {
    for n in from..from + count {
        partition.upsert_job(&request(kind, n), Revision(6), NOW, &[], (0, NOW));
    }
}

/// Returns a partition with nearly full machines and one waiting job for every five machines.
fn nearly_full(scale: u64) -> Partition {
    let mut partition = partition_with_hosts(HOSTS * scale);
    submit(&mut partition, Kind::Service, 0, 120 * scale);
    submit(&mut partition, Kind::Gang, 0, 100 * scale);
    submit(&mut partition, Kind::Array, 0, 60 * scale);
    for sequence in 2..6 {
        partition.run_cycle(NOW);
        report_all(&mut partition, sequence);
    }
    submit(&mut partition, Kind::Gang, 10_000, 60 * scale);
    submit(&mut partition, Kind::Array, 10_000, 30 * scale);
    partition.run_cycle(NOW);
    report_all(&mut partition, 6);
    partition
}

#[expect(clippy::too_many_lines, reason = "one measured setting after another")]
fn cycle_benchmarks(c: &mut Criterion) {
    let mut group = c.benchmark_group("pass");
    group.sample_size(10);
    for scale in [1, 2, 4] {
        group.throughput(Throughput::Elements(HOSTS * scale));
        // No task can start: the cost of every change while jobs wait for a full fleet.
        let mut waiting = nearly_full(scale);
        group.bench_function(BenchmarkId::new("work waits", HOSTS * scale), |b| {
            b.iter(|| waiting.run_cycle(black_box(NOW)));
        });
        // The cycle after a third of the machines have failed at the same time.
        group.bench_function(BenchmarkId::new("a third is lost", HOSTS * scale), |b| {
            let after_loss = || {
                let mut partition = nearly_full(scale);
                for id in hosts(&partition).iter().step_by(3) {
                    partition.apply(id, HostInput::LeaseExpiredOrRemoved, NOW);
                }
                partition
            };
            let cycle = |mut partition: Partition| {
                partition.run_cycle(black_box(NOW));
                partition
            };
            b.iter_batched(after_loss, cycle, BatchSize::PerIteration);
        });
        // The takeover of this many machines: all their heartbeats, and the cycle that follows.
        group.bench_function(BenchmarkId::new("taken over", HOSTS * scale), |b| {
            let before_takeover = nearly_full(scale);
            let reports: Vec<Heartbeat> = hosts(&before_takeover)
                .into_iter()
                .map(|id| {
                    let host = &before_takeover.hosts[&id];
                    let tasks = host.tasks.iter().map(|(task, t)| TaskStatus {
                        task: task.clone(),
                        attempt: t.attempt,
                        phase: TaskPhase::Running,
                    });
                    Heartbeat {
                        address: host.address.clone(),
                        machine_type: host.spec.machine_type.clone(),
                        zone: host.zone.clone(),
                        spot: host.spot,
                        incarnation: 1,
                        sequence: 99,
                        token: FencingToken(9),
                        termination_notice: None,
                        tasks: tasks.collect(),
                        host: id,
                    }
                })
                .collect();
            let requests: Vec<_> = before_takeover
                .jobs
                .values()
                .map(|j| j.request.clone())
                .collect();
            let new_partition = || {
                let (config, specs) = (
                    before_takeover.config.clone(),
                    before_takeover.specs.clone(),
                );
                let mut partition = Partition::new(0, Revision(9), config, specs);
                for (id, host) in &before_takeover.hosts {
                    let record = HostRecord {
                        assignment: HostAssignment::Partition(0),
                        address: host.address.clone(),
                        machine_type: host.spec.machine_type.clone(),
                        zone: host.zone.clone(),
                        spot: host.spot,
                        rewrites: 0,
                    };
                    partition.upsert_host(id, &record, Revision(4), true, NOW);
                }
                for request in &requests {
                    partition.upsert_job(request, Revision(6), NOW, &[], (0, NOW));
                }
                partition
            };
            let process_takeover = |mut partition: Partition| {
                for report in &reports {
                    partition.on_heartbeat(report, HeartbeatSource::Direct, NOW);
                }
                partition.run_cycle(black_box(NOW));
                partition
            };
            b.iter_batched(new_partition, process_takeover, BatchSize::PerIteration);
        });
    }
    group.finish();
}

criterion_group!(benches, cycle_benchmarks);
criterion_main!(benches);
