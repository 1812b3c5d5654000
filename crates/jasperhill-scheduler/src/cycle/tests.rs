//! Compares the scheduling decisions with straightforward reference implementations that evaluate
//! every host for every task. The scheduler avoids that work with heaps and cached simulations, and
//! must still decide the same.

use crate::{
    config::{MachineSpec, SchedulerConfig, TeamLimits, Tuning, image_download_time},
    cycle::admission::MISSED_DEADLINE_EXTENSION,
    cycle::context::Cycle,
    cycle::placement::start_cost_ms,
    host::HeartbeatSource,
    job::{Job, TaskStep},
    partition::{AdmissionDecision, Partition},
    schedule_simulation::{Occupied, Reservation, count_missed, density, insert_by_deadline},
};
use jasperhill_wire::{
    FencingToken, HostId, JobId, Micros, Name, Resources, Revision, TaskId,
    record::{HostAssignment, HostRecord},
    user::{JobRequest, Priority, Shape},
    worker::{Heartbeat, TaskPhase, TaskStatus},
};
use proptest::prelude::*;
use std::{collections::BTreeMap, rc::Rc};

const NOW: Micros = Micros::from_secs(10_000);

/// Parameters of a generated partition.
#[derive(Clone, Debug)]
struct GeneratedPartition {
    /// For each host: zone, spot, cached image, number of running tasks, slowness in tenths.
    hosts: Vec<(bool, bool, u8, u8, u8)>,
    /// Existing reservations: host index, seconds to the adjusted deadline, estimate in seconds.
    reserved: Vec<(usize, u64, u64)>,
    request: JobRequest,
    submitted_ago: u64,
}

fn request(
    id: &str,
    shape: Shape,
    tasks: u32,
    image: u8,
    (gpus, spread, one_zone, spot): (u8, bool, bool, bool),
    (estimate, deadline): (u64, Option<u64>),
) -> JobRequest {
    JobRequest {
        id: JobId::new(id),
        class: "c".into(),
        team: "red".into(),
        shape,
        priority: Priority::Normal,
        tasks,
        each: Resources::from_units(1.0, f64::from(gpus), 4.0),
        image: Name::from(format!("i{image}").as_str()),
        image_gb: 1.0 + f64::from(image),
        types: None,
        zone: None,
        one_zone,
        spread,
        spot,
        estimate: Micros::from_secs(estimate),
        checkpoint_every: Micros::ZERO,
        checkpoint_time: Micros::ZERO,
        deadline: deadline.map(Micros::from_secs),
        dependencies: Vec::new(),
    }
}

fn generated_partition(shape: Shape) -> impl Strategy<Value = GeneratedPartition> {
    let hosts = proptest::collection::vec(
        (any::<bool>(), any::<bool>(), 0u8..3, 0u8..9, 5u8..30),
        1..14,
    );
    let reserved = proptest::collection::vec((0usize..14, 5u64..200, 5u64..60), 0..30);
    let flags = (1u8..4, any::<bool>(), any::<bool>(), any::<bool>());
    let times = (5u64..60, 10u64..200);
    (hosts, reserved, 1u32..40, 0u8..3, flags, times, 0u64..8).prop_map(
        move |(hosts, reserved, tasks, image, flags, (estimate, left), submitted_ago)| {
            let deadline = (shape == Shape::Array).then_some(left);
            let times = (estimate, deadline);
            GeneratedPartition {
                hosts,
                reserved,
                request: request("job-new", shape, tasks, image, flags, times),
                submitted_ago,
            }
        },
    )
}

#[expect(
    clippy::too_many_lines,
    reason = "the parts of one generated partition, one after another"
)]
/// Builds a partition with the generated hosts, running tasks, reservations and the new job.
fn build_partition(s: &GeneratedPartition) -> Partition {
    let spec = Rc::new(MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 8.0, 64.0),
        cache_gb: 10.0,
        fetch_gb_per_s: 0.5,
        nominal_boot_time: Micros::from_secs(20),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into(), "b".into()],
    });
    let config = Rc::new(SchedulerConfig {
        partitions: 1,
        teams: vec![TeamLimits {
            name: "red".into(),
            guaranteed: Resources::default(),
            limit: Resources::from_units(0.0, 90.0, 0.0),
        }],
        heartbeat_interval: Micros::from_secs(3),
        lease: Micros::from_secs(16),
        gang_wait: Micros::from_secs(30),
        gang_peer_timeout: Micros::from_secs(4),
        start_within: BTreeMap::new(),
        tuning: Tuning::default(),
    });
    let specs = Rc::new(BTreeMap::from([(Name::from("box"), spec)]));
    let mut part = Partition::new(0, Revision(5), config, specs);
    let flags = (1, false, false, true);
    let running_job = request("job-old", Shape::Array, 200, 0, flags, (30, None));
    part.upsert_job(&Rc::new(running_job), Revision(9), NOW, &[], (0, NOW));
    let mut next = 0;
    for (host_index, (zone, spot, image, tasks, slow)) in s.hosts.iter().enumerate() {
        let id = HostId::new(&format!("n-{host_index:02}"));
        let zone: Name = if *zone { "a" } else { "b" }.into();
        let record = HostRecord {
            assignment: HostAssignment::Partition(0),
            address: "10.1.0.1:9000".to_owned(),
            machine_type: "box".into(),
            zone: zone.clone(),
            spot: *spot,
            rewrites: 0,
        };
        part.upsert_host(&id, &record, Revision(4), false, NOW);
        let mut statuses = Vec::new();
        for _ in 0..*tasks {
            statuses.push(TaskStatus {
                task: TaskId::new(&JobId::new("job-old"), next),
                attempt: jasperhill_wire::Attempt(u64::from(next) + 1),
                phase: TaskPhase::Running,
            });
            next += 1;
        }
        let report = Heartbeat {
            host: id.clone(),
            address: "10.1.0.1:9000".to_owned(),
            machine_type: "box".into(),
            zone,
            spot: *spot,
            incarnation: 1,
            sequence: 1,
            token: FencingToken(5),
            termination_notice: None,
            tasks: statuses,
        };
        part.on_heartbeat(&report, HeartbeatSource::Heartbeat, NOW);
        if let Some(host) = part.hosts.get_mut(&id) {
            host.mark_image_used(&Name::from(format!("i{image}").as_str()), 2.0);
            host.run_time_ratio = f64::from(*slow) / 10.0;
        }
    }
    for (i, (host, seconds_left, estimate)) in s.reserved.iter().enumerate() {
        let id = HostId::new(&format!("n-{:02}", host % s.hosts.len()));
        let reservation = Reservation {
            task: TaskId::new(&JobId::new("job-other"), i as u32),
            resources: Resources::from_units(1.0, 1.0, 4.0),
            adjusted_deadline: NOW + Micros::from_secs(*seconds_left),
            estimate: Micros::from_secs(*estimate),
        };
        if let Some(host) = part.hosts.get_mut(&id) {
            insert_by_deadline(&mut host.queue, reservation);
        }
    }
    let submitted = NOW - Micros::from_secs(s.submitted_ago);
    part.upsert_job(
        &Rc::new(s.request.clone()),
        Revision(9),
        submitted,
        &[],
        (0, NOW),
    );
    part
}

/// Simulates all hosts for one task. Returns the host with the lowest density among those with the
/// fewest new misses, and the first of equals, with the task's reservation there.
fn choose_host_exhaustively(
    part: &Partition,
    cycle: &Cycle,
    task: &TaskId,
    due: Micros,
) -> Option<(HostId, Reservation)> {
    let job = part.jobs.get(&task.job)?;
    let zones = part.zone_capacity(job);
    let mut best: Option<(usize, f64, HostId, Reservation)> = None;
    for host in part.hosts.values() {
        let fits = job.request.each.fits(&host.spec.capacity);
        if !fits || !Partition::is_feasible(job, host) || !zones.allows(&host.zone) {
            continue;
        }
        let reservation = part.reservation(host, task, &job.request, due, cycle.now);
        let running = part.occupied(host, cycle.now);
        let mut queue = host.queue.clone();
        let missed_before = count_missed(cycle.now, host.free_resources(), &running, &queue);
        insert_by_deadline(&mut queue, reservation.clone());
        let missed = count_missed(cycle.now, host.free_resources(), &running, &queue)
            .saturating_sub(missed_before);
        let queue_density = density(cycle.now, &queue);
        let is_better = |(m, d): (usize, f64)| {
            (missed, queue_density).partial_cmp(&(m, d)) == Some(std::cmp::Ordering::Less)
        };
        if best.as_ref().is_none_or(|(m, d, ..)| is_better((*m, *d))) {
            best = Some((missed, queue_density, host.id.clone(), reservation));
        }
    }
    best.map(|(_, _, host, reservation)| (host, reservation))
}

/// Reference reservation: simulates all hosts again for every task.
fn reserve_exhaustively(part: &mut Partition, cycle: &Cycle, id: &JobId) {
    let Some(job) = part.jobs.get(id) else { return };
    let (request, missed) = (job.request.clone(), job.missed_deadline);
    let Some(due) = job.due else { return };
    let due = if missed {
        cycle.now + MISSED_DEADLINE_EXTENSION
    } else {
        due
    };
    let mut reserved_count = 0;
    while part.may_start(cycle, &request, reserved_count + 1) {
        let Some(index) = part.jobs.get_mut(id).and_then(Job::next_pending) else {
            return;
        };
        let task = TaskId::new(id, index);
        let Some((host, reservation)) = choose_host_exhaustively(part, cycle, &task, due) else {
            return;
        };
        if let Some(host) = part.hosts.get_mut(&host) {
            insert_by_deadline(&mut host.queue, reservation);
        }
        part.set_step(&task, TaskStep::Reserved(host));
        reserved_count += 1;
    }
}

/// Reference admission test: places one task after another on the host with the lowest density that
/// has no new miss, then on rented machines.
fn admit_task_by_task(
    part: &Partition,
    request: &JobRequest,
    submitted: Micros,
    elastic_capacity: (u32, Micros),
) -> AdmissionDecision {
    let due = submitted + request.deadline.unwrap_or_default();
    let estimate = part.estimate(request);
    if due - NOW <= estimate {
        return AdmissionDecision::Refuse;
    }
    let team = &part.config.teams[0];
    let used = part.team_usage(&request.team);
    let mut tasks_within_limit = 0;
    while tasks_within_limit < request.tasks
        && team.allows(&(used + request.each.times(u64::from(tasks_within_limit) + 1)))
    {
        tasks_within_limit += 1;
    }
    type SimulatedHost = (Vec<Occupied>, Vec<Reservation>, usize);
    let mut simulated_hosts: BTreeMap<HostId, SimulatedHost> = part
        .hosts
        .values()
        .filter(|host| request.allows_host(&host.spec.machine_type, &host.zone, host.spot))
        .map(|host| {
            let running = part.occupied(host, NOW);
            let missed_before = count_missed(NOW, host.free_resources(), &running, &host.queue);
            (
                host.id.clone(),
                (running, host.queue.clone(), missed_before),
            )
        })
        .collect();
    let spec = &part.specs[&Name::from("box")];
    let ready = NOW + elastic_capacity.1 + image_download_time(request.image_gb, spec);
    let mut rented = 0;
    if ready + estimate <= due {
        let tasks_in_succession = ((due - ready).0 / estimate.0.max(1)).clamp(1, 2);
        rented = u64::from(elastic_capacity.0)
            * request.each.count_in(&spec.capacity)
            * tasks_in_succession;
    }
    let missed: usize = simulated_hosts.values().map(|simulated| simulated.2).sum();
    rented = rented.saturating_sub(missed as u64);
    for i in 0..tasks_within_limit {
        let mut best: Option<(f64, HostId, Vec<Reservation>)> = None;
        for (id, (running, queue, missed_before)) in &simulated_hosts {
            let host = &part.hosts[id];
            let task = TaskId::new(&request.id, i);
            let mut queue = queue.clone();
            insert_by_deadline(&mut queue, part.reservation(host, &task, request, due, NOW));
            if count_missed(NOW, host.free_resources(), running, &queue) > *missed_before {
                continue;
            }
            let queue_density = density(NOW, &queue);
            if best.as_ref().is_none_or(|(d, ..)| queue_density < *d) {
                best = Some((queue_density, id.clone(), queue));
            }
        }
        match best {
            Some((_, id, queue)) => simulated_hosts.get_mut(&id).unwrap().1 = queue,
            None if rented > 0 => rented -= 1,
            None => return AdmissionDecision::Refuse,
        }
    }
    AdmissionDecision::Admit
}

/// Reference placement: starts one task after another on the cheapest host that has free capacity
/// and an empty queue.
fn start_exhaustively(part: &mut Partition, cycle: &mut Cycle, id: &JobId) {
    loop {
        let Some(job) = part.jobs.get_mut(id) else {
            return;
        };
        let Some(i) = job.next_pending() else { return };
        let request = job.request.clone();
        if !part.may_start(cycle, &request, 1) {
            return;
        }
        let job = &part.jobs[id];
        let zones = part.zone_capacity(job);
        let best = part
            .with_slots(cycle)
            .filter(|(i, _, _)| cycle.fits(*i, id, &request.each))
            .filter(|(_, _, host)| host.queue.is_empty())
            .filter(|(_, _, host)| Partition::is_feasible(job, host) && zones.allows(&host.zone))
            .min_by_key(|(i, slot, host)| {
                (start_cost_ms(host, &slot.free, &request, cycle.now), *i)
            })
            .map(|(i, _, _)| i);
        match best {
            Some(slot) => part.start(cycle, id, i, slot, None),
            None => return,
        }
    }
}

/// Tasks and reservations of every host.
type HostContents = Vec<(HostId, Vec<TaskId>, Vec<Reservation>)>;

fn host_contents(part: &Partition) -> HostContents {
    let task_ids = |host: &crate::Host| host.tasks.keys().cloned().collect();
    part.hosts
        .values()
        .map(|host| (host.id.clone(), task_ids(host), host.queue.clone()))
        .collect()
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// The scheduler simulates all hosts once per job and afterwards only the host that got the
    /// last reservation. Fails if an outdated simulation result leads to another choice of hosts.
    #[test]
    fn reservations_equal_exhaustive_simulation(s in generated_partition(Shape::Array)) {
        let (mut indexed, mut reference) = (build_partition(&s), build_partition(&s));
        let cycle = indexed.begin_cycle(NOW);
        indexed.reserve(&cycle, &s.request.id);
        reserve_exhaustively(&mut reference, &cycle, &s.request.id);
        prop_assert_eq!(host_contents(&indexed), host_contents(&reference));
    }

    /// The scheduler fills the hosts one after another and stops at the number of tasks. Fails if
    /// its decision depends on the order in which tasks are placed.
    #[test]
    fn admission_equals_task_by_task_simulation(
        s in generated_partition(Shape::Array), machines in 0u32..4
    ) {
        let part = build_partition(&s);
        let submitted = NOW - Micros::from_secs(s.submitted_ago);
        let elastic = (machines, Micros::from_secs(20));
        let reference = admit_task_by_task(&part, &s.request, submitted, elastic);
        prop_assert_eq!(part.admit(&s.request, submitted, NOW, Micros::ZERO, elastic), reference);
    }

    /// The scheduler keeps candidate hosts in a heap and recomputes only the host that took a task.
    /// Fails if an outdated cost or constraint leads to another choice of hosts.
    #[test]
    fn starts_equal_exhaustive_host_choice(s in generated_partition(Shape::Service)) {
        let (mut indexed, mut reference) = (build_partition(&s), build_partition(&s));
        let mut cycle = indexed.begin_cycle(NOW);
        indexed.start_without_deadline(&mut cycle, &s.request.id);
        let mut cycle = reference.begin_cycle(NOW);
        start_exhaustively(&mut reference, &mut cycle, &s.request.id);
        prop_assert_eq!(host_contents(&indexed), host_contents(&reference));
    }
}
