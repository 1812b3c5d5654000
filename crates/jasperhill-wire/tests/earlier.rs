//! Compatibility between versions: this version reads the records and messages that earlier
//! versions wrote, and copies of the previous version's types, kept in this file, read what this
//! version writes. Controllers of both versions run side by side during an upgrade and share the
//! records.

use jasperhill_wire::{
    FencingToken, HostId, JobId, Member, Micros, Name, Resources, Revision,
    cloud::{MachineType, MachineTypes},
    mesh::{
        LinkState, MeshRequest, MeshResponse, MissingHosts, MissingInZone, PROTOCOL_VERSION,
        ReachabilityReport, ZoneLinks, decode, encode,
    },
    record::{
        DelegationGrantRecord, DelegationRequestRecord, HostAssignment, HostBlock, JobRecord, Key,
        ProposalRecord, RecordPhase, Role, RoleRecord, SessionRecord, delegation_grant_key,
        delegation_part, delegation_request_key, feature_level_key, proposal_key, types_key,
    },
    user::{JobRequest, Priority, Shape},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, from_value, json, to_value};

/// Returns hosts that a waiting job lacks, which earlier versions do not know.
fn missing_hosts() -> MissingHosts {
    MissingHosts {
        machine_types: vec!["g8".into()],
        spot: false,
        zones: vec![MissingInZone {
            zone: "a".into(),
            hosts: 1,
        }],
        missing_for: Micros(1),
    }
}

/// Returns the JSON of a job request, as commit 42517fd wrote it.
fn earlier_job_request() -> Value {
    json!({"u":"job-000412","c":"train","t":"vision","k":"ensemble","p":"urgent","n":16,
        "r":{"cpus":8_000_000,"gpus":1_000_000,"memory":64_000_000},"i":"img-07","g":6.2,
        "y":["g8"],"z":null,"o":true,"s":false,"l":true,"e":240_000_000,"ce":30_000_000,
        "sv":4_000_000,"d":900_000_000})
}

#[test]
fn records_of_earlier_versions_are_read() {
    let active = json!({"p":"a","n":5,"r":earlier_job_request(),"t":1_700_000_000_000_000u64,
        "f":[0,3,2,2],"w":7});
    let record: JobRecord = from_value(active).unwrap();
    assert_eq!(record.phase, RecordPhase::Active);
    assert_eq!(
        (record.finished.as_slice(), record.failed_attempts),
        (&[0, 3, 2, 2][..], 7)
    );
    let request = record.request.unwrap();
    assert_eq!((request.id.as_str(), request.tasks), ("job-000412", 16));
    assert_eq!(
        (request.shape, request.priority),
        (Shape::Gang, Priority::High)
    );
    assert_eq!(request.deadline, Some(Micros::from_secs(900)));
    assert!(request.dependencies.is_empty());
    for (sample, phase) in [
        (json!({"p":"d","n":16}), RecordPhase::Done),
        (json!({"p":"c","n":0}), RecordPhase::Cancelled),
    ] {
        let record: JobRecord = from_value(sample).unwrap();
        assert_eq!((record.phase, record.request), (phase, None));
    }
    // Versions before feature levels wrote sessions without the field `f`, which counts as level 0.
    let session: SessionRecord = from_value(json!({"l":7})).unwrap();
    assert_eq!((session.lease, session.format), (7, 0));
    let role: RoleRecord = from_value(json!({"o":"worker-1","l":7})).unwrap();
    assert_eq!(role.owner, Member::new("worker-1"));
    let block: HostBlock = from_value(json!({"h":{
        "n-000231":{"u":{"p":2},"a":"10.1.0.232:9000","k":"g8","z":"a","s":true,"g":3},
        "n-000232":{"u":"f","a":"10.1.0.233:9000","k":"g8","z":"b","s":false},
        "n-000233":{"u":{"x":null},"a":"10.1.0.234:9000","k":"g8","z":"b","s":false,"g":0}}}))
    .unwrap();
    let assignments: Vec<HostAssignment> =
        block.hosts.values().map(|host| host.assignment).collect();
    let decommissioned = HostAssignment::Decommissioned(None);
    assert_eq!(
        assignments,
        [
            HostAssignment::Partition(2),
            HostAssignment::Free,
            decommissioned
        ]
    );
    let delegation_request: DelegationRequestRecord =
        from_value(json!({"n":4,"l":7,"h":["n-000231"]})).unwrap();
    assert_eq!(
        (delegation_request.number, delegation_request.hosts.len()),
        (4, 1)
    );
    let grant: DelegationGrantRecord =
        from_value(json!({"n":4,"l":7,"h":{"n-000231":99}})).unwrap();
    assert_eq!(grant.hosts[&HostId::new("n-000231")], FencingToken(99));
    let types: MachineTypes = from_value(json!({"hosttypes":[{"name":"g8","vcpus":96.0,
        "accelerators":8.0,"memory_gb":768.0,"local_gb":200.0,"pull_gb_per_s":1.0,"hourly":12.0,
        "spot_price":4.5,"ready_s":45.0,"halls":["a","b"]}]}))
    .unwrap();
    assert_eq!((types.types.len(), types.parts), (1, 0));
}

/// The job request as defined in the version before `waits_on` was added.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct PreviousJobRequest {
    #[serde(rename = "u")]
    id: JobId,
    #[serde(rename = "c")]
    class: Name,
    #[serde(rename = "t")]
    team: Name,
    #[serde(rename = "k")]
    shape: Shape,
    #[serde(rename = "p")]
    priority: Priority,
    #[serde(rename = "n")]
    tasks: u32,
    #[serde(rename = "r")]
    each: Resources,
    #[serde(rename = "i")]
    image: Name,
    #[serde(rename = "g")]
    image_gb: f64,
    #[serde(rename = "y")]
    types: Option<Vec<Name>>,
    #[serde(rename = "z")]
    zone: Option<Name>,
    #[serde(rename = "o")]
    one_zone: bool,
    #[serde(rename = "s")]
    spread: bool,
    #[serde(rename = "l")]
    spot: bool,
    #[serde(rename = "e")]
    estimate: Micros,
    #[serde(rename = "ce")]
    checkpoint_every: Micros,
    #[serde(rename = "sv")]
    checkpoint_time: Micros,
    #[serde(rename = "d")]
    deadline: Option<Micros>,
}
#[derive(Debug, Deserialize)]
struct PreviousJobRecord {
    #[serde(rename = "p")]
    phase: RecordPhase,
    #[serde(rename = "n")]
    done_count: u32,
    #[serde(rename = "r", default)]
    request: Option<PreviousJobRequest>,
}
#[derive(Debug, Deserialize)]
struct PreviousSessionRecord {
    #[serde(rename = "l")]
    lease: u64,
}
#[derive(Debug, Deserialize)]
struct PreviousMachineTypes {
    #[serde(rename = "hosttypes")]
    types: Vec<MachineType>,
}
#[derive(Serialize, Deserialize)]
struct PreviousEnvelope<T> {
    #[serde(rename = "v")]
    version: u16,
    #[serde(rename = "m")]
    message: T,
}
#[derive(Debug, Serialize, Deserialize)]
enum PreviousMeshRequest {
    Admit(Box<PreviousJobRequest>),
    Counts(Vec<JobId>),
    Relay(String),
    IsFresh,
    Elastic { machines: u32, ready: Micros },
    Unmet { partition: u32, thousandths: u32 },
}

fn request_with_dependencies() -> JobRequest {
    let mut request: JobRequest = from_value(earlier_job_request()).unwrap();
    request.dependencies = vec![JobId::new("job-000398"), JobId::new("job-000405")];
    request
}

#[test]
fn previous_version_reads_records_of_this_version() {
    let record = JobRecord {
        phase: RecordPhase::Active,
        done_count: 0,
        request: Some(request_with_dependencies()),
        submitted: Some(Micros(5)),
        finished: vec![0, 2],
        failed_attempts: 0,
        residual_usage: None,
    };
    let text = to_value(&record).unwrap();
    let previous: PreviousJobRecord = from_value(text.clone()).unwrap();
    let without_dependencies: PreviousJobRequest = from_value(earlier_job_request()).unwrap();
    assert_eq!(
        (previous.phase, previous.done_count),
        (RecordPhase::Active, 0)
    );
    assert_eq!(previous.request, Some(without_dependencies));
    // The same record is read back unchanged by this version.
    assert_eq!(from_value::<JobRecord>(text).unwrap(), record);
    // The record of a cancelled job has a field for the resources that its tasks may still use. The
    // previous version ignores that field.
    let cancelled = JobRecord::cancelled(&request_with_dependencies(), 2, Micros(9));
    let text = to_value(&cancelled).unwrap();
    let previous: PreviousJobRecord = from_value(text.clone()).unwrap();
    assert_eq!(
        (previous.phase, previous.done_count),
        (RecordPhase::Cancelled, 2)
    );
    assert_eq!(from_value::<JobRecord>(text).unwrap(), cancelled);
    let session = SessionRecord {
        process_started: Micros::ZERO,
        quick_restarts: 0,
        lease: 7,
        format: 1,
    };
    let previous: PreviousSessionRecord = from_value(to_value(&session).unwrap()).unwrap();
    assert_eq!(previous.lease, 7);
    let (member, machine_type) = (Member::new("worker-0"), machine_type("g8"));
    // A list of machine types that fits into one record is written in the earlier form. The
    // previous version ignores the keys of feature levels and of further parts.
    let types = MachineTypes {
        types: vec![machine_type],
        parts: 0,
    };
    let parts = types.clone().split(2_048).unwrap();
    assert_eq!(parts, [types]);
    let previous: PreviousMachineTypes = from_value(to_value(&parts[0]).unwrap()).unwrap();
    assert_eq!(previous.types.len(), 1);
    for key in [feature_level_key(&member), types_key(1)] {
        let namespace = key.strip_prefix("jh/").unwrap().split('/').next().unwrap();
        assert!(!["job", "hosts", "session", "ask", "grant", "part"].contains(&namespace));
    }
    // The previous version treats each part of a delegation request as the request of a separate
    // delegate, and grants each part separately.
    assert_eq!(
        delegation_request_key(&delegation_part(&member, 0)),
        "jh/ask/worker-0"
    );
    let part_two = delegation_part(&member, 2);
    assert_eq!(
        Key::parse(&delegation_request_key(&part_two)),
        Some(Key::DelegationRequest(part_two.clone()))
    );
    assert_eq!(
        Key::parse(&delegation_grant_key(1, &part_two)),
        Some(Key::DelegationGrant(1, part_two))
    );
}

#[test]
fn previous_and_current_versions_decode_each_others_messages() {
    assert_eq!(
        PROTOCOL_VERSION, 2,
        "any other is refused by the version in production"
    );
    let requests = [
        MeshRequest::Admit(Box::new(request_with_dependencies())),
        MeshRequest::TaskCounts(vec![JobId::new("job-1")]),
        MeshRequest::RelayHeartbeat("{}".to_owned()),
        MeshRequest::IsStoreReachable,
        MeshRequest::SpareCapacity {
            machines: 3,
            boot_time: Micros(9),
        },
        MeshRequest::UnmetDemand {
            partition: 1,
            thousandths: 500,
            missing: Vec::new(),
        },
        MeshRequest::UnmetDemand {
            partition: 1,
            thousandths: 500,
            missing: vec![missing_hosts()],
        },
    ];
    for request in requests {
        let bytes = encode(request.clone()).unwrap();
        let previous: PreviousEnvelope<PreviousMeshRequest> =
            ciborium::from_reader(&bytes[..]).unwrap();
        let mut reencoded = Vec::new();
        ciborium::into_writer(&previous, &mut reencoded).unwrap();
        let decoded: MeshRequest = decode(&reencoded).unwrap();
        match (request, decoded) {
            // The previous version drops the dependencies, which it does not know. This is why this
            // version sends a job with dependencies to other members only once all members know the
            // field.
            (MeshRequest::Admit(sent), MeshRequest::Admit(received)) => {
                assert!(received.dependencies.is_empty());
                assert_eq!((&received.id, received.deadline), (&sent.id, sent.deadline));
            }
            // The previous version drops the missing hosts, which it does not know.
            (
                MeshRequest::UnmetDemand { missing: sent, .. },
                MeshRequest::UnmetDemand {
                    thousandths,
                    missing,
                    ..
                },
            ) if !sent.is_empty() => assert_eq!((thousandths, missing), (500, Vec::new())),
            (sent, received) => assert_eq!(sent, received),
        }
    }
    // Messages as encoded by the version of commit 42517fd.
    let rejected = MeshResponse::Rejected { retry_after_s: 3 };
    let sample = bytes_from_hex("a2617602616da16752656675736564a16d72657472795f61667465725f7303");
    assert_eq!(decode::<MeshResponse>(&sample).unwrap(), rejected);
    assert_eq!(encode(rejected).unwrap(), sample);
    let sample = bytes_from_hex(
        "a2617602616da16541646d6974b261756a6a6f622d303030343132616365747261696e617466766973696f6e61\
         6b68656e73656d626c65617066757267656e74616e106172a364637075731a007a120064677075731a000f4240\
         666d656d6f72791a03d09000616966696d672d30376167fb4018cccccccccccd617981626738617af6616ff561\
         73f4616cf561651a0e4e1c006263651a01c9c3806273761a003d090061641a35a4e900",
    );
    let admit = MeshRequest::Admit(Box::new(from_value(earlier_job_request()).unwrap()));
    assert_eq!(decode::<MeshRequest>(&sample).unwrap(), admit);
    assert_eq!(encode(admit).unwrap(), sample);
}

/// Guards the format of the messages and records that came with reachability reports: later
/// versions must read them. A version that does not know them rejects them as malformed, which the
/// sender treats as not executed.
#[test]
fn reachability_messages_and_proposals_keep_their_format() {
    let proposal: ProposalRecord =
        from_value(json!({"b":"worker-1","r":earlier_job_request()})).unwrap();
    assert_eq!(proposal.request.as_ref().unwrap().id.as_str(), "job-000412");
    let rejected_json = json!({"b":"worker-1","x":8});
    let rejected: ProposalRecord = from_value(rejected_json.clone()).unwrap();
    assert_eq!(
        (rejected.request.is_none(), rejected.retry_after_s),
        (true, Some(8))
    );
    assert_eq!(to_value(&rejected).unwrap(), rejected_json);
    let id = JobId::from("job-000412");
    assert_eq!(Key::parse(&proposal_key(&id)), Some(Key::Proposal(id)));
    let report = ReachabilityReport {
        from: Member::new("worker-1"),
        process_started: Micros(1_700_000_000_000_000),
        number: 3,
        store: LinkState::Down,
        cloud: LinkState::Unknown,
        zones: vec![ZoneLinks {
            zone: Name::new("a"),
            heartbeats: LinkState::Up,
            commands: LinkState::Suspect,
            last_success: Micros::from_millis(300),
        }],
        reachable_peers: vec![Member::new("worker-0")],
        owners: vec![(Role::Partition(2), Member::new("worker-2"), Revision(9))],
        relinquished: vec![(Role::Leader, Revision(7))],
    };
    let encoded = encode(MeshRequest::Reachability(Box::new(report.clone()))).unwrap();
    let decoded: MeshRequest = decode(&encoded).unwrap();
    assert_eq!(decoded, MeshRequest::Reachability(Box::new(report)));
    /// Requests that the previous version knows.
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    enum PreviousRequest {
        Relay(String),
        IsFresh,
    }
    assert!(decode::<PreviousRequest>(&encoded).is_err());
}

fn bytes_from_hex(hex: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&hex[start..start + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn machine_type(name: &str) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 0.25,
        price: 20.29,
        spot_price: Some(8.36),
        boot_s: 35.0,
        zones: vec!["a".into(), "b".into()],
    }
}

#[test]
fn long_list_of_machine_types_is_split_without_loss() {
    let types: Vec<MachineType> = (0..40).map(|n| machine_type(&format!("t{n}"))).collect();
    let list = MachineTypes {
        types: types.clone(),
        parts: 0,
    };
    let parts = list.split(2_048).unwrap();
    assert!(parts.len() > 2);
    for part in &parts {
        assert_eq!(part.parts as usize, parts.len());
        assert!(serde_json::to_vec(part).unwrap().len() <= 2_048);
    }
    let joined: Vec<MachineType> = parts.into_iter().flat_map(|part| part.types).collect();
    assert_eq!(joined, types);
    let mut oversized = machine_type("wide");
    oversized.zones = (0..900).map(|n| Name::new(&format!("z{n}"))).collect();
    assert_eq!(
        MachineTypes {
            types: vec![oversized],
            parts: 0
        }
        .split(2_048),
        None
    );
}
