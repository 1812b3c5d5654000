//! Guards the wire format of each record, key, message and body against accidental changes.
//! `samples.txt` holds a sample of each, as written by commit 6144652. Values must be written with
//! exactly the same bytes; stored and sent samples must also be read back as equal values.

use jasperhill_wire::{
    Attempt, FencingToken, HostId, JobId, Member, Micros, Name, Resources, Revision, TaskId,
    cloud::{HostNames, MachineType, MachineTypes, RentRequest},
    mesh::{
        LinkState, MeshRequest, MeshResponse, MissingHosts, MissingInZone, ReachabilityReport,
        TaskCounts, ZoneLinks, decode, encode,
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

/// Returns the sample with this name from `samples.txt`.
fn sample(name: &str) -> &'static str {
    let strip_name = |line: &'static str| line.strip_prefix(name)?.strip_prefix(' ');
    let no_such_sample = || panic!("no sample {name}");
    SAMPLES
        .lines()
        .find_map(strip_name)
        .unwrap_or_else(no_such_sample)
}

/// Asserts that a value is written as the JSON sample.
fn assert_json(name: &str, value: &impl Serialize) {
    let written = serde_json::to_string(value).unwrap();
    assert_eq!(written, sample(name), "{name}");
}

/// Asserts that a stored record is written as the JSON sample and read back from it.
fn assert_json_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    value: T,
) {
    assert_json(name, &value);
    let parsed: T = serde_json::from_str(sample(name)).unwrap();
    assert_eq!(parsed, value, "{name}");
}

/// Asserts that a message between controllers is encoded as the CBOR sample, given in hexadecimal
/// digits, and decoded from it.
fn assert_cbor_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug + Clone>(
    name: &str,
    message: T,
) {
    let hex = |bytes: Vec<u8>| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let bytes = encode(message.clone()).unwrap();
    let decoded: T = decode(&bytes).unwrap();
    assert_eq!(hex(bytes), sample(name), "{name}");
    assert_eq!(decoded, message, "{name}");
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

/// Returns a request without any of the optional values.
fn minimal_request() -> JobRequest {
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

fn host_record(assignment: HostAssignment) -> HostRecord {
    HostRecord {
        assignment,
        address: "10.1.0.232:9000".to_owned(),
        machine_type: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        rewrites: 3,
    }
}

#[test]
fn job_records_match_their_samples() {
    assert_json_round_trip(
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
    assert_json_round_trip(
        "record-service",
        JobRecord {
            phase: RecordPhase::Active,
            done_count: 0,
            request: Some(minimal_request()),
            submitted: Some(Micros(5)),
            finished: Vec::new(),
            failed_attempts: 0,
            residual_usage: None,
        },
    );
    assert_json_round_trip("record-done", JobRecord::terminal(RecordPhase::Done, 16));
    assert_json_round_trip(
        "record-cancelled",
        JobRecord::cancelled(&request(), 2, Micros(9)),
    );
    assert_json_round_trip("shapes", [Shape::Array, Shape::Gang, Shape::Service]);
    assert_json_round_trip(
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
fn host_and_machine_type_records_match_their_samples() {
    let assignments = [
        HostAssignment::Partition(2),
        HostAssignment::Free,
        HostAssignment::Decommissioned(None),
        HostAssignment::Decommissioned(Some(1)),
    ];
    let hosts = (0..).zip(assignments);
    let hosts =
        hosts.map(|(n, assignment)| (HostId::new(&format!("n-00023{n}")), host_record(assignment)));
    assert_json_round_trip(
        "record-hosts",
        HostBlock {
            hosts: hosts.collect(),
        },
    );
    let machine_type = MachineType {
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
        types: vec![machine_type],
        parts: 3,
    };
    assert_json_round_trip("record-types", types);
}

#[test]
fn controller_records_match_their_samples() {
    assert_json_round_trip(
        "record-session",
        SessionRecord {
            lease: 7,
            format: 2,
            process_started: Micros(1_700_000_000_000_000),
            quick_restarts: 4,
        },
    );
    assert_json_round_trip("record-format", FeatureLevelRecord { format: 2 });
    assert_json_round_trip(
        "record-role",
        RoleRecord {
            owner: Member::new("worker-1"),
            lease: 7,
        },
    );
    assert_json_round_trip(
        "record-ask",
        DelegationRequestRecord {
            number: 4,
            lease: 7,
            hosts: vec![HostId::new("n-000231")],
        },
    );
    assert_json_round_trip(
        "record-grant",
        DelegationGrantRecord {
            number: 4,
            lease: 7,
            hosts: BTreeMap::from([(HostId::new("n-000231"), FencingToken(99))]),
        },
    );
    assert_json_round_trip(
        "record-want",
        ProposalRecord {
            proposer: Member::new("worker-1"),
            request: Some(request()),
            retry_after_s: None,
        },
    );
    assert_json_round_trip(
        "record-want-refused",
        ProposalRecord {
            proposer: Member::new("worker-1"),
            request: None,
            retry_after_s: Some(8),
        },
    );
}

#[test]
fn keys_match_their_samples_and_are_parsed() {
    let (member, job) = (Member::new("worker-1"), JobId::new("job-000412"));
    let part = delegation_part(&member, 2);
    for (key, parsed) in [
        (job_key(&job), Key::Job(job.clone())),
        (block_key(12), Key::Hosts(12)),
        (session_key(&member), Key::Session(member.clone())),
        (
            feature_level_key(&member),
            Key::FeatureLevel(member.clone()),
        ),
        (role_key(Role::Partition(2)), Key::Role(Role::Partition(2))),
        (role_key(Role::Leader), Key::Role(Role::Leader)),
        (
            delegation_request_key(&member),
            Key::DelegationRequest(member.clone()),
        ),
        (
            delegation_request_key(&part),
            Key::DelegationRequest(part.clone()),
        ),
        (proposal_key(&job), Key::Proposal(job.clone())),
        (
            delegation_grant_key(1, &member),
            Key::DelegationGrant(1, member.clone()),
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
        assert_eq!(Key::parse(&key), Some(parsed));
    }
}

#[test]
fn mesh_requests_match_their_samples() {
    assert_cbor_round_trip("mesh-admit", MeshRequest::Admit(Box::new(request())));
    assert_cbor_round_trip(
        "mesh-counts",
        MeshRequest::TaskCounts(vec![JobId::new("job-1")]),
    );
    assert_cbor_round_trip("mesh-relay", MeshRequest::RelayHeartbeat("{}".to_owned()));
    assert_cbor_round_trip("mesh-is-fresh", MeshRequest::IsStoreReachable);
    let boot_time = Micros::from_secs(9);
    assert_cbor_round_trip(
        "mesh-elastic",
        MeshRequest::SpareCapacity {
            machines: 3,
            boot_time,
        },
    );
    assert_cbor_round_trip(
        "mesh-unmet",
        MeshRequest::UnmetDemand {
            partition: 1,
            thousandths: 1_500,
            missing: Vec::new(),
        },
    );
    assert_cbor_round_trip(
        "mesh-unmet-missing",
        MeshRequest::UnmetDemand {
            partition: 1,
            thousandths: 0,
            missing: vec![MissingHosts {
                machine_types: vec!["g8".into()],
                spot: true,
                zones: vec![MissingInZone {
                    zone: "a".into(),
                    hosts: 2,
                }],
                missing_for: Micros::from_secs(3),
            }],
        },
    );
    assert_cbor_round_trip(
        "mesh-links",
        MeshRequest::Reachability(Box::new(reachability_report())),
    );
    assert_cbor_round_trip(
        "mesh-relay-on",
        MeshRequest::RelayHeartbeatOnward("{}".to_owned()),
    );
    let host = HostId::new("n-000231");
    let body = Some("{\"epoch\":9}".to_owned());
    let commands = MeshRequest::RelayCommands {
        host: host.clone(),
        body,
    };
    assert_cbor_round_trip("mesh-push", commands);
    assert_cbor_round_trip(
        "mesh-push-inspect",
        MeshRequest::RelayCommands { host, body: None },
    );
}

fn reachability_report() -> ReachabilityReport {
    let zone = |name: &str, heartbeats, commands| ZoneLinks {
        zone: Name::new(name),
        heartbeats,
        commands,
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
fn mesh_responses_match_their_samples() {
    assert_cbor_round_trip("mesh-accepted", MeshResponse::Accepted);
    assert_cbor_round_trip("mesh-known", MeshResponse::Known);
    assert_cbor_round_trip("mesh-refused", MeshResponse::Rejected { retry_after_s: 3 });
    assert_cbor_round_trip("mesh-unavailable", MeshResponse::Unavailable);
    let counts = TaskCounts {
        running: 3,
        done: 4,
    };
    assert_cbor_round_trip(
        "mesh-counted",
        MeshResponse::TaskCounts(vec![Some(counts), None]),
    );
    let (status, body) = (200, "{\"epoch\":9}".to_owned());
    assert_cbor_round_trip(
        "mesh-relayed",
        MeshResponse::HeartbeatRelayed {
            status,
            body: body.clone(),
        },
    );
    assert_cbor_round_trip("mesh-fresh", MeshResponse::StoreReachable(true));
    assert_cbor_round_trip("mesh-noted", MeshResponse::Acknowledged);
    assert_cbor_round_trip(
        "mesh-links-back",
        MeshResponse::Reachability(Box::new(reachability_report())),
    );
    assert_cbor_round_trip(
        "mesh-pushed",
        MeshResponse::CommandsRelayed { status, body },
    );
    assert_cbor_round_trip("mesh-not-pushed", MeshResponse::CommandsNotSent);
}

#[test]
fn worker_bodies_match_their_samples() {
    let task = |index| TaskId::new(&JobId::new("job-000412"), index);
    let commands = [
        Command::Start(task(0), Attempt(31)),
        Command::Stop(task(1), Attempt(32), Micros::from_millis(2_500)),
        Command::Clear(task(2), Attempt(33)),
    ];
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let command_request = text(commands_body(FencingToken(9), Some(4), &commands));
    assert_eq!(command_request, sample("orders-direct"));
    let heartbeat_response = text(commands_body(FencingToken(9), None, &commands[..1]));
    assert_eq!(heartbeat_response, sample("orders-answer"));
    let owner = Member::new("worker-1");
    assert_eq!(text(redirect_body(Some(&owner))), sample("redirect"));
    assert_eq!(text(redirect_body(None)), sample("redirect-nowhere"));
}

#[test]
fn user_store_and_cloud_bodies_match_their_samples() {
    let (id, phase) = ("job-000412", JobPhase::Pending);
    assert_json("job-answer", &JobResponse { id, phase });
    let phases = [
        JobPhase::Pending,
        JobPhase::Running,
        JobPhase::Done,
        JobPhase::Cancelled,
    ];
    assert_json("job-phases", &phases);
    let status = JobStatus {
        id,
        phase: JobPhase::Running,
        done: 2,
        running: 3,
    };
    assert_json("job-status", &status);
    let error = "uid: missing".to_owned();
    assert_json("error", &ErrorBody { error });
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
    assert_json_round_trip("transaction", transaction);
    let rental = RentRequest {
        request: "r-9-1".to_owned(),
        machine_type: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        count: 4,
    };
    assert_json("rental", &rental);
    let hosts = vec![HostId::new("n-000231")];
    assert_json("release", &HostNames { hosts });
}
