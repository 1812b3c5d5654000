//! A sample of each record, key, message and body, as commit 6144652 wrote them: what is written
//! keeps its bytes, and what is stored or sent is read back as the same value.

use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Member, Micros, Name, Resources, Revision, TaskId,
    cloud::{HostNames, MachineType, MachineTypes, RentRequest},
    mesh::{
        LinkState, MeshRequest, MeshResponse, ReachabilityReport, TaskCounts, ZoneLinks, decode,
        encode,
    },
    record::{
        DelegationGrantRecord, DelegationRequestRecord, FeatureLevelRecord, HostAssignment,
        HostBlock, HostRecord, JobRecord, Key, ProposalRecord, RecordPhase, Role, RoleRecord,
        SessionRecord, block_key, delegation_grant_key, delegation_part, delegation_request_key,
        feature_level_key, job_key, proposal_key, role_key, session_key, types_key,
    },
    store::{Change, Guard, Transaction},
    user::{ErrorBody, JobPhase, JobRequest, JobResponse, JobStatus, Priority, Shape},
    worker::{Command, commands_body, redirect_body},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::BTreeMap, fmt::Debug};

const SAMPLES: &str = include_str!("samples.txt");

/// The sample with this name.
fn sample(name: &str) -> &'static str {
    let find = |line: &'static str| line.strip_prefix(name)?.strip_prefix(' ');
    let missing = || panic!("no sample {name}");
    SAMPLES.lines().find_map(find).unwrap_or_else(missing)
}

/// What a value is written as.
fn writes(name: &str, value: &impl Serialize) {
    let written = serde_json::to_string(value).unwrap();
    assert_eq!(written, sample(name), "{name}");
}

/// A record in the store: written and read.
fn keeps<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: T) {
    writes(name, &value);
    let read: T = serde_json::from_str(sample(name)).unwrap();
    assert_eq!(read, value, "{name}");
}

/// A message between controllers: sent and understood.
fn sends<T: Serialize + DeserializeOwned + PartialEq + Debug + Clone>(name: &str, message: T) {
    let hex = |bytes: Vec<u8>| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let bytes = encode(message.clone()).unwrap();
    let understood: T = decode(&bytes).unwrap();
    assert_eq!(hex(bytes), sample(name), "{name}");
    assert_eq!(understood, message, "{name}");
}

fn request() -> JobRequest {
    JobRequest {
        id: JobId::new("job-000412"),
        class: Name::new("train"),
        team: Name::new("vision"),
        shape: Shape::Gang,
        priority: Priority::High,
        tasks: 16,
        each: Resources::from_units(8.0, 1.0, 64.0),
        image: Name::new("img-07"),
        image_gb: 6.2,
        types: Some(vec![Name::new("g8")]),
        zone: Some(Name::new("a")),
        one_zone: true,
        spread: false,
        spot: true,
        estimate: Micros::from_secs(240),
        checkpoint_every: Micros::from_secs(30),
        checkpoint_time: Micros::from_secs(4),
        deadline: Some(Micros::from_secs(900)),
        dependencies: vec![JobId::new("job-000398")],
    }
}

/// Nothing that can be left out.
fn short_request() -> JobRequest {
    JobRequest {
        shape: Shape::Service,
        priority: Priority::Production,
        types: None,
        zone: None,
        deadline: None,
        dependencies: Vec::new(),
        ..request()
    }
}

fn host(usage: HostAssignment) -> HostRecord {
    HostRecord {
        assignment: usage,
        address: "10.1.0.232:9000".to_owned(),
        machine_type: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        rewrites: 3,
    }
}

#[test]
fn records_of_jobs_keep_their_form() {
    keeps(
        "record-job",
        JobRecord {
            phase: RecordPhase::Active,
            done_count: 5,
            request: Some(request()),
            submitted: Some(Micros(1_700_000_000_000_000)),
            finished: vec![0, 3, 2, 2],
            failed_attempts: 7,
            residual_usage: None,
        },
    );
    keeps(
        "record-service",
        JobRecord {
            phase: RecordPhase::Active,
            done_count: 0,
            request: Some(short_request()),
            submitted: Some(Micros(5)),
            finished: Vec::new(),
            failed_attempts: 0,
            residual_usage: None,
        },
    );
    keeps("record-done", JobRecord::terminal(RecordPhase::Done, 16));
    keeps(
        "record-cancelled",
        JobRecord::cancelled(&request(), 2, Micros(9)),
    );
    keeps("shapes", [Shape::Array, Shape::Gang, Shape::Service]);
    keeps(
        "priorities",
        [
            Priority::Production,
            Priority::High,
            Priority::Normal,
            Priority::Low,
        ],
    );
}

#[test]
fn records_of_hosts_and_types_keep_their_form() {
    let uses = [
        HostAssignment::Partition(2),
        HostAssignment::Free,
        HostAssignment::Decommissioned(None),
        HostAssignment::Decommissioned(Some(1)),
    ];
    let hosts = (0..).zip(uses);
    let hosts = hosts.map(|(n, usage)| (HostId::new(&format!("n-00023{n}")), host(usage)));
    keeps(
        "record-hosts",
        HostBlock {
            hosts: hosts.collect(),
        },
    );
    let kind = MachineType {
        name: Name::new("g8"),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 0.25,
        price: 20.29,
        spot_price: Some(8.36),
        boot_s: 45.0,
        zones: vec![Name::new("a"), Name::new("b")],
    };
    let types = MachineTypes {
        types: vec![kind],
        parts: 3,
    };
    keeps("record-types", types);
}

#[test]
fn records_of_controllers_keep_their_form() {
    keeps(
        "record-session",
        SessionRecord {
            lease: 7,
            format: 2,
            process_started: Micros(1_700_000_000_000_000),
            quick_restarts: 4,
        },
    );
    keeps("record-format", FeatureLevelRecord { format: 2 });
    keeps(
        "record-role",
        RoleRecord {
            owner: Member::new("worker-1"),
            lease: 7,
        },
    );
    keeps(
        "record-ask",
        DelegationRequestRecord {
            number: 4,
            lease: 7,
            hosts: vec![HostId::new("n-000231")],
        },
    );
    keeps(
        "record-grant",
        DelegationGrantRecord {
            number: 4,
            lease: 7,
            hosts: BTreeMap::from([(HostId::new("n-000231"), FencingToken(99))]),
        },
    );
    keeps(
        "record-want",
        ProposalRecord {
            proposer: Member::new("worker-1"),
            request: Some(request()),
            retry_after_s: None,
        },
    );
    keeps(
        "record-want-refused",
        ProposalRecord {
            proposer: Member::new("worker-1"),
            request: None,
            retry_after_s: Some(8),
        },
    );
}

#[test]
fn keys_keep_their_form_and_are_told_apart() {
    let (me, job) = (Member::new("worker-1"), JobId::new("job-000412"));
    let part = delegation_part(&me, 2);
    for (key, means) in [
        (job_key(&job), Key::Job(job.clone())),
        (block_key(12), Key::Hosts(12)),
        (session_key(&me), Key::Session(me.clone())),
        (feature_level_key(&me), Key::FeatureLevel(me.clone())),
        (role_key(Role::Partition(2)), Key::Role(Role::Partition(2))),
        (role_key(Role::Leader), Key::Role(Role::Leader)),
        (
            delegation_request_key(&me),
            Key::DelegationRequest(me.clone()),
        ),
        (
            delegation_request_key(&part),
            Key::DelegationRequest(part.clone()),
        ),
        (proposal_key(&job), Key::Proposal(job.clone())),
        (
            delegation_grant_key(1, &me),
            Key::DelegationGrant(1, me.clone()),
        ),
        (
            delegation_grant_key(1, &part),
            Key::DelegationGrant(1, part),
        ),
        (types_key(0), Key::Types(0)),
        (types_key(3), Key::Types(3)),
    ] {
        let name = format!("key {key}");
        assert!(SAMPLES.lines().any(|line| line == name), "{name}");
        assert_eq!(Key::parse(&key), Some(means));
    }
}

#[test]
fn requests_between_controllers_keep_their_form() {
    sends("mesh-admit", MeshRequest::Admit(Box::new(request())));
    sends(
        "mesh-counts",
        MeshRequest::TaskCounts(vec![JobId::new("job-1")]),
    );
    sends("mesh-relay", MeshRequest::RelayHeartbeat("{}".to_owned()));
    sends("mesh-is-fresh", MeshRequest::IsStoreReachable);
    let ready = Micros::from_secs(9);
    sends(
        "mesh-elastic",
        MeshRequest::SpareCapacity {
            machines: 3,
            boot_time: ready,
        },
    );
    sends(
        "mesh-unmet",
        MeshRequest::UnmetDemand {
            partition: 1,
            thousandths: 1_500,
        },
    );
    sends("mesh-links", MeshRequest::Reachability(Box::new(links())));
    sends(
        "mesh-relay-on",
        MeshRequest::RelayHeartbeatOnward("{}".to_owned()),
    );
    let host = HostId::new("n-000231");
    let body = Some("{\"epoch\":9}".to_owned());
    let push = MeshRequest::RelayCommands {
        host: host.clone(),
        body,
    };
    sends("mesh-push", push);
    sends(
        "mesh-push-inspect",
        MeshRequest::RelayCommands { host, body: None },
    );
}

fn links() -> ReachabilityReport {
    let zone = |name: &str, reports, orders| ZoneLinks {
        zone: Name::new(name),
        heartbeats: reports,
        commands: orders,
        last_success: Micros::from_millis(300),
    };
    ReachabilityReport {
        from: Member::new("worker-1"),
        process_started: Micros(1_700_000_000_000_000),
        number: 3,
        store: LinkState::Down,
        cloud: LinkState::Unknown,
        zones: vec![
            zone("a", LinkState::Up, LinkState::Suspect),
            zone("b", LinkState::Down, LinkState::Unknown),
        ],
        reachable_peers: vec![Member::new("worker-0")],
        owners: vec![
            (Role::Partition(2), Member::new("worker-2"), Revision(9)),
            (Role::Leader, Member::new("worker-0"), Revision(11)),
        ],
        relinquished: vec![(Role::Leader, Revision(7))],
    }
}

#[test]
fn answers_between_controllers_keep_their_form() {
    sends("mesh-accepted", MeshResponse::Accepted);
    sends("mesh-known", MeshResponse::Known);
    sends("mesh-refused", MeshResponse::Rejected { retry_after_s: 3 });
    sends("mesh-unavailable", MeshResponse::Unavailable);
    let counts = TaskCounts {
        running: 3,
        done: 4,
    };
    sends(
        "mesh-counted",
        MeshResponse::TaskCounts(vec![Some(counts), None]),
    );
    let (status, body) = (200, "{\"epoch\":9}".to_owned());
    sends(
        "mesh-relayed",
        MeshResponse::HeartbeatRelayed {
            status,
            body: body.clone(),
        },
    );
    sends("mesh-fresh", MeshResponse::StoreReachable(true));
    sends("mesh-noted", MeshResponse::Acknowledged);
    sends(
        "mesh-links-back",
        MeshResponse::Reachability(Box::new(links())),
    );
    sends(
        "mesh-pushed",
        MeshResponse::CommandsRelayed { status, body },
    );
    sends("mesh-not-pushed", MeshResponse::CommandsNotSent);
}

#[test]
fn bodies_for_workers_keep_their_form() {
    let task = |i| TaskId::new(&JobId::new("job-000412"), i);
    let orders = [
        Command::Start(task(0), Attempt(31)),
        Command::Stop(task(1), Attempt(32), Micros::from_millis(2_500)),
        Command::Clear(task(2), Attempt(33)),
    ];
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let direct = text(commands_body(FencingToken(9), Some(4), &orders));
    assert_eq!(direct, sample("orders-direct"));
    let answer = text(commands_body(FencingToken(9), None, &orders[..1]));
    assert_eq!(answer, sample("orders-answer"));
    let to = Member::new("worker-1");
    assert_eq!(text(redirect_body(Some(&to))), sample("redirect"));
    assert_eq!(text(redirect_body(None)), sample("redirect-nowhere"));
}

#[test]
fn bodies_for_users_the_store_and_the_cloud_keep_their_form() {
    let (id, phase) = ("job-000412", JobPhase::Pending);
    writes("job-answer", &JobResponse { id, phase });
    let phases = [
        JobPhase::Pending,
        JobPhase::Running,
        JobPhase::Done,
        JobPhase::Cancelled,
    ];
    writes("job-phases", &phases);
    let status = JobStatus {
        id,
        phase: JobPhase::Running,
        done: 2,
        running: 3,
    };
    writes("job-status", &status);
    let error = "uid: missing".to_owned();
    writes("error", &ErrorBody { error });
    let put = |lease| Change::Put {
        key: "jh/job/job-1".to_owned(),
        value: serde_json::json!({"p": "d", "n": 1}),
        lease,
    };
    let transaction = Transaction {
        guards: vec![Guard {
            key: "jh/part/1".to_owned(),
            version: Revision(8),
        }],
        changes: vec![
            put(None),
            put(Some(7)),
            Change::Delete {
                key: "jh/ask/worker-1".to_owned(),
            },
        ],
    };
    keeps("transaction", transaction);
    let rental = RentRequest {
        request: "r-9-1".to_owned(),
        machine_type: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        count: 4,
    };
    writes("rental", &rental);
    let hosts = vec![HostId::new("n-000231")];
    writes("release", &HostNames { hosts });
}
