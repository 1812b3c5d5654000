//! Old beside new: what earlier versions wrote is read for ever, and what this one writes is read
//! by a copy of the shapes of the version before it.

use jasperhill_wire::{
    FencingToken, HostId, JobId, Member, Micros, Name, Resources, Revision,
    cloud::{MachineType, MachineTypes},
    mesh::{
        LinkState, MeshRequest, MeshResponse, PROTOCOL_VERSION, ReachabilityReport, ZoneLinks,
        decode, encode,
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

/// Records as the version of commit 42517fd wrote them.
fn request_before() -> Value {
    json!({"u":"job-000412","c":"train","t":"vision","k":"ensemble","p":"urgent","n":16,
        "r":{"cpus":8_000_000,"gpus":1_000_000,"memory":64_000_000},"i":"img-07","g":6.2,
        "y":["g8"],"z":null,"o":true,"s":false,"l":true,"e":240_000_000,"ce":30_000_000,
        "sv":4_000_000,"d":900_000_000})
}

#[test]
fn records_of_earlier_versions_are_read() {
    let active = json!({"p":"a","n":5,"r":request_before(),"t":1_700_000_000_000_000u64,
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
    // No word of a format: an earlier version.
    let session: SessionRecord = from_value(json!({"l":7})).unwrap();
    assert_eq!((session.lease, session.format), (7, 0));
    let role: RoleRecord = from_value(json!({"o":"worker-1","l":7})).unwrap();
    assert_eq!(role.owner, Member::new("worker-1"));
    let block: HostBlock = from_value(json!({"h":{
        "n-000231":{"u":{"p":2},"a":"10.1.0.232:9000","k":"g8","z":"a","s":true,"g":3},
        "n-000232":{"u":"f","a":"10.1.0.233:9000","k":"g8","z":"b","s":false},
        "n-000233":{"u":{"x":null},"a":"10.1.0.234:9000","k":"g8","z":"b","s":false,"g":0}}}))
    .unwrap();
    let usage: Vec<HostAssignment> = block.hosts.values().map(|h| h.assignment).collect();
    let condemned = HostAssignment::Decommissioned(None);
    assert_eq!(
        usage,
        [
            HostAssignment::Partition(2),
            HostAssignment::Free,
            condemned
        ]
    );
    let ask: DelegationRequestRecord = from_value(json!({"n":4,"l":7,"h":["n-000231"]})).unwrap();
    assert_eq!((ask.number, ask.hosts.len()), (4, 1));
    let grant: DelegationGrantRecord =
        from_value(json!({"n":4,"l":7,"h":{"n-000231":99}})).unwrap();
    assert_eq!(grant.hosts[&HostId::new("n-000231")], FencingToken(99));
    let types: MachineTypes = from_value(json!({"hosttypes":[{"name":"g8","vcpus":96.0,
        "accelerators":8.0,"memory_gb":768.0,"local_gb":200.0,"pull_gb_per_s":1.0,"hourly":12.0,
        "spot_price":4.5,"ready_s":45.0,"halls":["a","b"]}]}))
    .unwrap();
    assert_eq!((types.types.len(), types.parts), (1, 0));
}

/// The shapes of the version before `waits_on`.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RequestBefore {
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
    save: Micros,
    #[serde(rename = "d")]
    deadline: Option<Micros>,
}
#[derive(Debug, Deserialize)]
struct RecordBefore {
    p: RecordPhase,
    n: u32,
    #[serde(default)]
    r: Option<RequestBefore>,
}
#[derive(Debug, Deserialize)]
struct SessionBefore {
    l: u64,
}
#[derive(Debug, Deserialize)]
struct TypesBefore {
    hosttypes: Vec<MachineType>,
}
#[derive(Serialize, Deserialize)]
struct EnvelopeBefore<T> {
    v: u16,
    m: T,
}
#[derive(Debug, Serialize, Deserialize)]
enum MeshBefore {
    Admit(Box<RequestBefore>),
    Counts(Vec<JobId>),
    Relay(String),
    IsFresh,
    Elastic { machines: u32, ready: Micros },
    Unmet { partition: u32, thousandths: u32 },
}

fn pipeline() -> JobRequest {
    let mut request: JobRequest = from_value(request_before()).unwrap();
    request.dependencies = vec![JobId::new("job-000398"), JobId::new("job-000405")];
    request
}

#[test]
fn the_version_before_reads_what_this_one_writes() {
    let record = JobRecord {
        phase: RecordPhase::Active,
        done_count: 0,
        request: Some(pipeline()),
        submitted: Some(Micros(5)),
        finished: vec![0, 2],
        failed_attempts: 0,
        residual_usage: None,
    };
    let text = to_value(&record).unwrap();
    let before: RecordBefore = from_value(text.clone()).unwrap();
    let whole: RequestBefore = from_value(request_before()).unwrap();
    assert_eq!((before.p, before.n), (RecordPhase::Active, 0));
    assert_eq!(before.r, Some(whole));
    // And this one reads its own whole.
    assert_eq!(from_value::<JobRecord>(text).unwrap(), record);
    // A cancelled job, with what its tasks may still take: the version before passes over that.
    let cancelled = JobRecord::cancelled(&pipeline(), 2, Micros(9));
    let text = to_value(&cancelled).unwrap();
    let before: RecordBefore = from_value(text.clone()).unwrap();
    assert_eq!((before.p, before.n), (RecordPhase::Cancelled, 2));
    assert_eq!(from_value::<JobRecord>(text).unwrap(), cancelled);
    let session = SessionRecord {
        process_started: Micros::ZERO,
        quick_restarts: 0,
        lease: 7,
        format: 1,
    };
    let before: SessionBefore = from_value(to_value(&session).unwrap()).unwrap();
    assert_eq!(before.l, 7);
    let (one, kind) = (Member::new("worker-0"), machine("g8"));
    // A list that fits is written as ever; the keys of the rest mean nothing to it.
    let types = MachineTypes {
        types: vec![kind],
        parts: 0,
    };
    let parts = types.clone().split(2_048).unwrap();
    assert_eq!(parts, [types]);
    let before: TypesBefore = from_value(to_value(&parts[0]).unwrap()).unwrap();
    assert_eq!(before.hosttypes.len(), 1);
    for key in [feature_level_key(&one), types_key(1)] {
        let space = key.strip_prefix("jh/").unwrap().split('/').next().unwrap();
        assert!(!["job", "hosts", "session", "ask", "grant", "part"].contains(&space));
    }
    // Parts of an ask are asks of further keepers to it, and so are their grants.
    assert_eq!(
        delegation_request_key(&delegation_part(&one, 0)),
        "jh/ask/worker-0"
    );
    let second = delegation_part(&one, 2);
    assert_eq!(
        Key::parse(&delegation_request_key(&second)),
        Some(Key::DelegationRequest(second.clone()))
    );
    assert_eq!(
        Key::parse(&delegation_grant_key(1, &second)),
        Some(Key::DelegationGrant(1, second))
    );
}

#[test]
fn old_and_new_controllers_understand_each_other() {
    assert_eq!(
        PROTOCOL_VERSION, 2,
        "any other is refused by the version in production"
    );
    let asks = [
        MeshRequest::Admit(Box::new(pipeline())),
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
        },
    ];
    for ask in asks {
        let bytes = encode(ask.clone()).unwrap();
        let before: EnvelopeBefore<MeshBefore> = ciborium::from_reader(&bytes[..]).unwrap();
        let mut back = Vec::new();
        ciborium::into_writer(&before, &mut back).unwrap();
        let again: MeshRequest = decode(&back).unwrap();
        match (ask, again) {
            // Only what it does not know is gone, which is why it is not asked before all are new.
            (MeshRequest::Admit(new), MeshRequest::Admit(old)) => {
                assert!(old.dependencies.is_empty());
                assert_eq!((&old.id, old.deadline), (&new.id, new.deadline));
            }
            (new, old) => assert_eq!(new, old),
        }
    }
    // Messages as the version of commit 42517fd encodes them.
    let refused = MeshResponse::Rejected { retry_after_s: 3 };
    let sample = bytes("a2617602616da16752656675736564a16d72657472795f61667465725f7303");
    assert_eq!(decode::<MeshResponse>(&sample).unwrap(), refused);
    assert_eq!(encode(refused).unwrap(), sample);
    let sample = bytes(
        "a2617602616da16541646d6974b261756a6a6f622d303030343132616365747261696e617466766973696f6e61\
         6b68656e73656d626c65617066757267656e74616e106172a364637075731a007a120064677075731a000f4240\
         666d656d6f72791a03d09000616966696d672d30376167fb4018cccccccccccd617981626738617af6616ff561\
         73f4616cf561651a0e4e1c006263651a01c9c3806273761a003d090061641a35a4e900",
    );
    let admit = MeshRequest::Admit(Box::new(from_value(request_before()).unwrap()));
    assert_eq!(decode::<MeshRequest>(&sample).unwrap(), admit);
    assert_eq!(encode(admit).unwrap(), sample);
}

/// What came with links, as it goes out: later versions read it, and one that does not know it
/// answers that it does not understand, which the sender takes for not acted on.
#[test]
fn messages_and_records_of_links_keep_their_form() {
    let want: ProposalRecord = from_value(json!({"b":"worker-1","r":request_before()})).unwrap();
    assert_eq!(want.request.as_ref().unwrap().id.as_str(), "job-000412");
    let refused = json!({"b":"worker-1","x":8});
    let word: ProposalRecord = from_value(refused.clone()).unwrap();
    assert_eq!(
        (word.request.is_none(), word.retry_after_s),
        (true, Some(8))
    );
    assert_eq!(to_value(&word).unwrap(), refused);
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
    let sent = encode(MeshRequest::Reachability(Box::new(report.clone()))).unwrap();
    let back: MeshRequest = decode(&sent).unwrap();
    assert_eq!(back, MeshRequest::Reachability(Box::new(report)));
    /// The requests of the version before.
    #[derive(Debug, Deserialize)]
    #[allow(dead_code)]
    enum Before {
        Relay(String),
        IsFresh,
    }
    assert!(decode::<Before>(&sent).is_err());
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn machine(name: &str) -> MachineType {
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
fn a_long_list_of_types_is_split_and_none_is_lost() {
    let types: Vec<MachineType> = (0..40).map(|n| machine(&format!("t{n}"))).collect();
    let whole = MachineTypes {
        types: types.clone(),
        parts: 0,
    };
    let parts = whole.split(2_048).unwrap();
    assert!(parts.len() > 2);
    for part in &parts {
        assert_eq!(part.parts as usize, parts.len());
        assert!(serde_json::to_vec(part).unwrap().len() <= 2_048);
    }
    let again: Vec<MachineType> = parts.into_iter().flat_map(|p| p.types).collect();
    assert_eq!(again, types);
    let mut wide = machine("wide");
    wide.zones = (0..900).map(|n| Name::new(&format!("z{n}"))).collect();
    assert_eq!(
        MachineTypes {
            types: vec![wide],
            parts: 0
        }
        .split(2_048),
        None
    );
}
