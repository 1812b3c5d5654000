//! Fixtures and helpers of the state machine tests.

use jasperhill_scheduler::{
    HeartbeatSource, Host, HostInput, MachineSpec, Partition, SchedulerConfig, TeamLimits, Tuning,
};
use jasperhill_wire::record::{HostAssignment, HostRecord};
use jasperhill_wire::user::JobRequest;
use jasperhill_wire::worker::{ExitCause, Heartbeat, TaskPhase, TaskStatus};
use jasperhill_wire::{Attempt, FencingToken, HostId, JobId, Micros, Resources, Revision, TaskId};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Start time of every test.
pub const NOW: Micros = Micros::from_secs(10_000);

/// Returns a machine type with two accelerators.
pub fn spec() -> Rc<MachineSpec> {
    Rc::new(MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 2.0, 128.0),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        nominal_boot_time: Micros::from_secs(20),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into(), "b".into()],
    })
}

/// Returns the record of a host in this zone.
pub fn record(zone: &str) -> HostRecord {
    HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: zone.into(),
        spot: false,
        rewrites: 0,
    }
}

/// Returns a heartbeat of a host with these task statuses.
pub fn heartbeat(
    host: &str,
    incarnation: u64,
    sequence: u64,
    token: u64,
    tasks: Vec<TaskStatus>,
) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        sequence,
        token: FencingToken(token),
        termination_notice: None,
        tasks,
    }
}

/// Returns the id of task `i` of `job-1`.
pub fn task(i: u32) -> TaskId {
    TaskId::new(&JobId::new("job-1"), i)
}

/// Returns the status in which a worker lists task `i` of `job-1`.
pub fn task_status(i: u32, attempt: u64, phase: TaskPhase) -> TaskStatus {
    TaskStatus {
        task: task(i),
        attempt: Attempt(attempt),
        phase,
    }
}

/// Returns a host that has reported the current fencing token in a heartbeat.
pub fn host() -> Host {
    let mut host = Host::new(
        "n-1".into(),
        &record("a"),
        spec(),
        FencingToken(5),
        false,
        NOW,
    );
    host.apply(
        HostInput::Heartbeat(
            &heartbeat("n-1", 1, 1, 5, vec![]),
            HeartbeatSource::Heartbeat,
        ),
        NOW,
    );
    host
}

/// Makes the host start a task of `job-1`.
pub fn start(host: &mut Host, i: u32, attempt: u64) {
    let each = Resources::from_units(1.0, 1.0, 1.0);
    host.apply(
        HostInput::Start(task(i), Attempt(attempt), each, ("img".into(), 1.0)),
        NOW,
    );
}

/// Returns settings with one team, `red`, that has a guarantee and a limit.
pub fn config() -> Rc<SchedulerConfig> {
    Rc::new(SchedulerConfig {
        partitions: 1,
        teams: vec![TeamLimits {
            name: "red".into(),
            guaranteed: Resources::from_units(0.0, 2.0, 0.0),
            limit: Resources::from_units(0.0, 4.0, 0.0),
        }],
        heartbeat_interval: Micros::from_secs(3),
        lease: Micros::from_secs(16),
        gang_wait: Micros::from_secs(30),
        gang_peer_timeout: Micros::from_secs(4),
        start_within: BTreeMap::new(),
        tuning: Tuning::default(),
    })
}

/// Returns a job of team `red`. `due` is its deadline in seconds after submission.
pub fn request(id: &str, shape: &str, tasks: u32, gpus: f64, due: Option<f64>) -> Rc<JobRequest> {
    let due = due.map_or("null".to_owned(), |d| d.to_string());
    let text = format!(
        r#"{{"uid":"{id}","jobclass":"c","tenant":"red","shape":"{shape}","urgency":"standard",
        "shards":{tasks},"vcpus":1.0,"accelerators":{gpus:?},"memory_gb":1.0,"bundle":"i","size_gb":1.0,
        "hosttypes":null,"hall":null,"together":false,"apart":false,"reclaimable":false,
        "expected_s":10.0,"snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":{due}}}"#
    );
    Rc::new(JobRequest::parse(text.as_bytes()).unwrap())
}

/// Returns a partition with this number of hosts. Unless `at_takeover` is set, each of them has
/// sent a heartbeat.
pub fn new_partition(hosts: usize, at_takeover: bool) -> Partition {
    let specs = Rc::new(BTreeMap::from([("box".into(), spec())]));
    let mut partition = Partition::new(0, Revision(5), config(), specs);
    for n in 1..=hosts {
        let id = HostId::new(&format!("n-{n}"));
        partition.upsert_host(&id, &record("a"), Revision(4), at_takeover, NOW);
        if !at_takeover {
            partition.on_heartbeat(
                &heartbeat(id.as_str(), 1, 1, 5, vec![]),
                HeartbeatSource::Heartbeat,
                NOW,
            );
        }
    }
    partition
}

/// Returns the number of tasks of a job that are on hosts.
pub fn live(partition: &Partition, id: &str) -> usize {
    partition
        .jobs
        .get(&JobId::new(id))
        .map_or(0, |j| j.live.len())
}

/// Sends a heartbeat in which all tasks on the host have exited with `cause`. Returns the number of
/// tasks.
pub fn report_all_exited(
    partition: &mut Partition,
    host: &str,
    sequence: u64,
    cause: ExitCause,
    now: Micros,
) -> usize {
    let exited = |(id, t): (&TaskId, &jasperhill_scheduler::host::HostTask)| TaskStatus {
        task: id.clone(),
        attempt: t.attempt,
        phase: TaskPhase::Exited(cause),
    };
    let host_tasks = partition.hosts[&HostId::new(host)].tasks.iter();
    let tasks: Vec<TaskStatus> = host_tasks
        .filter(|(_, t)| t.holds_resources())
        .map(exited)
        .collect();
    let n = tasks.len();
    partition.on_heartbeat(
        &heartbeat(host, 1, sequence, 5, tasks),
        HeartbeatSource::Heartbeat,
        now,
    );
    n
}

/// Sends a heartbeat in which all tasks on the host are running, and answers it.
pub fn report_all_running(partition: &mut Partition, host: &str, sequence: u64, now: Micros) {
    let id = HostId::new(host);
    let tasks = partition.hosts[&id]
        .tasks
        .iter()
        .filter(|(_, t)| t.holds_resources());
    let tasks = tasks.map(|(task, t)| TaskStatus {
        task: task.clone(),
        attempt: t.attempt,
        phase: TaskPhase::Running,
    });
    let report = heartbeat(host, 1, sequence, 5, tasks.collect());
    partition.on_heartbeat(&report, HeartbeatSource::Heartbeat, now);
    partition.apply(&id, HostInput::Answered(&[]), now);
}
