//! A sample of each record, key, message and body, as commit 6144652 wrote them: what is written
//! keeps its bytes, and what is stored or sent is read back as the same value.

use jasperhill_wire::{
    Attempt, HostId, JobId, Member, Micros, Name, Resources, Revision, TaskId, Token,
    cloud::{HostNames, MachineType, MachineTypes, RentRequest},
    mesh::{Counts, LinkReport, MeshAnswer, MeshRequest, Reach, ZoneReach, decode, encode},
    record::{
        AskRecord, FormatRecord, GrantRecord, HostBlock, HostRecord, HostUse, JobRecord, Key,
        RecordPhase, Role, RoleRecord, SessionRecord, WantRecord, ask_key, ask_part, block_key,
        format_key, grant_key, job_key, role_key, session_key, types_key, want_key,
    },
    state::{Change, Guard, Txn},
    user::{ErrorBody, JobAnswer, JobPhase, JobRequest, JobStatus, Priority, Shape},
    worker::{Order, orders_body, redirect_body},
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
        save: Micros::from_secs(4),
        deadline: Some(Micros::from_secs(900)),
        waits_on: vec![JobId::new("job-000398")],
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
        waits_on: Vec::new(),
        ..request()
    }
}

fn host(usage: HostUse) -> HostRecord {
    HostRecord {
        usage,
        address: "10.1.0.232:9000".to_owned(),
        kind: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        bump: 3,
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
            failing: 7,
            remains: None,
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
            failing: 0,
            remains: None,
        },
    );
    keeps("record-done", JobRecord::over(RecordPhase::Done, 16));
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
        HostUse::Partition(2),
        HostUse::Free,
        HostUse::Condemned(None),
        HostUse::Condemned(Some(1)),
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
            began: Micros(1_700_000_000_000_000),
            quick: 4,
        },
    );
    keeps("record-format", FormatRecord { format: 2 });
    keeps(
        "record-role",
        RoleRecord {
            owner: Member::new("worker-1"),
            lease: 7,
        },
    );
    keeps(
        "record-ask",
        AskRecord {
            number: 4,
            lease: 7,
            hosts: vec![HostId::new("n-000231")],
        },
    );
    keeps(
        "record-grant",
        GrantRecord {
            number: 4,
            lease: 7,
            hosts: BTreeMap::from([(HostId::new("n-000231"), Token(99))]),
        },
    );
    keeps(
        "record-want",
        WantRecord {
            by: Member::new("worker-1"),
            request: Some(request()),
            retry_after_s: None,
        },
    );
    keeps(
        "record-want-refused",
        WantRecord {
            by: Member::new("worker-1"),
            request: None,
            retry_after_s: Some(8),
        },
    );
}

#[test]
fn keys_keep_their_form_and_are_told_apart() {
    let (me, job) = (Member::new("worker-1"), JobId::new("job-000412"));
    let part = ask_part(&me, 2);
    for (key, means) in [
        (job_key(&job), Key::Job(job.clone())),
        (block_key(12), Key::Hosts(12)),
        (session_key(&me), Key::Session(me.clone())),
        (format_key(&me), Key::Format(me.clone())),
        (role_key(Role::Partition(2)), Key::Role(Role::Partition(2))),
        (role_key(Role::Leader), Key::Role(Role::Leader)),
        (ask_key(&me), Key::Ask(me.clone())),
        (ask_key(&part), Key::Ask(part.clone())),
        (want_key(&job), Key::Want(job.clone())),
        (grant_key(1, &me), Key::Grant(1, me.clone())),
        (grant_key(1, &part), Key::Grant(1, part)),
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
        MeshRequest::Counts(vec![JobId::new("job-1")]),
    );
    sends("mesh-relay", MeshRequest::Relay("{}".to_owned()));
    sends("mesh-is-fresh", MeshRequest::IsFresh);
    let ready = Micros::from_secs(9);
    sends("mesh-elastic", MeshRequest::Elastic { machines: 3, ready });
    sends(
        "mesh-unmet",
        MeshRequest::Unmet {
            partition: 1,
            thousandths: 1_500,
        },
    );
    sends("mesh-links", MeshRequest::Links(Box::new(links())));
    sends("mesh-relay-on", MeshRequest::RelayOn("{}".to_owned()));
    let host = HostId::new("n-000231");
    let body = Some("{\"epoch\":9}".to_owned());
    let push = MeshRequest::Push {
        host: host.clone(),
        body,
    };
    sends("mesh-push", push);
    sends("mesh-push-inspect", MeshRequest::Push { host, body: None });
}

fn links() -> LinkReport {
    let zone = |name: &str, reports, orders| ZoneReach {
        zone: Name::new(name),
        reports,
        orders,
        proved: Micros::from_millis(300),
    };
    LinkReport {
        from: Member::new("worker-1"),
        born: Micros(1_700_000_000_000_000),
        number: 3,
        state: Reach::Down,
        cloud: Reach::Unknown,
        zones: vec![
            zone("a", Reach::Up, Reach::Doubtful),
            zone("b", Reach::Down, Reach::Unknown),
        ],
        heard: vec![Member::new("worker-0")],
        owners: vec![
            (Role::Partition(2), Member::new("worker-2"), Revision(9)),
            (Role::Leader, Member::new("worker-0"), Revision(11)),
        ],
        let_go: vec![(Role::Leader, Revision(7))],
    }
}

#[test]
fn answers_between_controllers_keep_their_form() {
    sends("mesh-accepted", MeshAnswer::Accepted);
    sends("mesh-known", MeshAnswer::Known);
    sends("mesh-refused", MeshAnswer::Refused { retry_after_s: 3 });
    sends("mesh-unavailable", MeshAnswer::Unavailable);
    let counts = Counts {
        running: 3,
        done: 4,
    };
    sends("mesh-counted", MeshAnswer::Counts(vec![Some(counts), None]));
    let (status, body) = (200, "{\"epoch\":9}".to_owned());
    sends(
        "mesh-relayed",
        MeshAnswer::Relayed {
            status,
            body: body.clone(),
        },
    );
    sends("mesh-fresh", MeshAnswer::Fresh(true));
    sends("mesh-noted", MeshAnswer::Noted);
    sends("mesh-links-back", MeshAnswer::Links(Box::new(links())));
    sends("mesh-pushed", MeshAnswer::Pushed { status, body });
    sends("mesh-not-pushed", MeshAnswer::NotPushed);
}

#[test]
fn bodies_for_workers_keep_their_form() {
    let task = |i| TaskId::new(&JobId::new("job-000412"), i);
    let orders = [
        Order::Start(task(0), Attempt(31)),
        Order::Stop(task(1), Attempt(32), Micros::from_millis(2_500)),
        Order::Forget(task(2), Attempt(33)),
    ];
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let direct = text(orders_body(Token(9), Some(4), &orders));
    assert_eq!(direct, sample("orders-direct"));
    let answer = text(orders_body(Token(9), None, &orders[..1]));
    assert_eq!(answer, sample("orders-answer"));
    let to = Member::new("worker-1");
    assert_eq!(text(redirect_body(Some(&to))), sample("redirect"));
    assert_eq!(text(redirect_body(None)), sample("redirect-nowhere"));
}

#[test]
fn bodies_for_users_the_store_and_the_cloud_keep_their_form() {
    let (id, phase) = ("job-000412", JobPhase::Pending);
    writes("job-answer", &JobAnswer { id, phase });
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
    let transaction = Txn {
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
        kind: Name::new("g8"),
        zone: Name::new("a"),
        spot: true,
        count: 4,
    };
    writes("rental", &rental);
    let hosts = vec![HostId::new("n-000231")];
    writes("release", &HostNames { hosts });
}
