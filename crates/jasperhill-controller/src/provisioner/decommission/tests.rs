//! Tests of the decision to give up an idle host.

use super::{DecommissionCriteria, MISSING_TOO_LONG, WaitingNeeds, next_assignment};
use crate::provisioner::inventory::PartitionInventory;
use jasperhill_scheduler::{
    CapacityClaims, HeartbeatSource, HostInput, MachineSpec, Partition, SchedulerConfig, Tuning,
    rental_plan::PartitionMissing,
};
use jasperhill_wire::{
    FencingToken, HostId, Micros, Resources, Revision,
    mesh::{MissingHosts, MissingInZone},
    record::{HostAssignment, HostRecord},
    worker::Heartbeat,
};
use std::{collections::BTreeMap, rc::Rc};

/// Time at which the host reported for the last time; it has been idle since.
const REPORTED: Micros = Micros::from_secs(1_000);
/// Time of the decision.
const NOW: Micros = Micros::from_secs(1_100);

/// Returns partition 0 with one idle host, `n-1` of zone `a`.
fn partition_with_idle_host() -> Partition {
    let spec = MachineSpec {
        machine_type: "box".into(),
        capacity: Resources::from_units(16.0, 2.0, 128.0),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        nominal_boot_time: Micros::from_secs(20),
        price: 4.0,
        spot_price: 2.0,
        zones: vec!["a".into()],
    };
    let config = SchedulerConfig {
        partitions: 2,
        teams: Vec::new(),
        heartbeat_interval: Micros::from_secs(3),
        lease: Micros::from_secs(16),
        gang_wait: Micros::from_secs(30),
        gang_peer_timeout: Micros::from_secs(4),
        start_within: BTreeMap::new(),
        tuning: Tuning::default(),
    };
    let specs = BTreeMap::from([("box".into(), Rc::new(spec))]);
    let mut partition = Partition::new(0, Revision(5), Rc::new(config), Rc::new(specs));
    let record = HostRecord {
        assignment: HostAssignment::Partition(0),
        address: "10.1.0.1:9000".to_owned(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        rewrites: 0,
    };
    let id = HostId::new("n-1");
    partition.upsert_host(&id, &record, Revision(4), false, REPORTED);
    let heartbeat = Heartbeat {
        host: id.clone(),
        address: record.address.clone(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        token: FencingToken(5),
        termination_notice: None,
        tasks: Vec::new(),
    };
    partition.on_heartbeat(&heartbeat, HeartbeatSource::Heartbeat, REPORTED);
    partition.apply(&id, HostInput::Answered(&[]), REPORTED);
    partition
}

/// Returns the new assignment of the host. `kept` and `missing_elsewhere` say for how long a job of its
/// own partition, which keeps it, and a job of another partition have lacked hosts.
fn assignment(
    kept: Option<Micros>,
    missing_elsewhere: Option<Micros>,
    desired: i64,
) -> Option<HostAssignment> {
    let id = HostId::new("n-1");
    let inventory = PartitionInventory {
        desired,
        desired_on_demand: desired,
        actual: 1,
        actual_on_demand: 1,
        ..PartitionInventory::default()
    };
    let criteria = DecommissionCriteria {
        now: NOW,
        is_any_partition_short: false,
        spare_retention: Micros::from_secs(8),
        lost_after: Micros::from_secs(46),
    };
    let own = CapacityClaims {
        kept: kept.into_iter().map(|time| (id.clone(), time)).collect(),
        missing: Vec::new(),
    };
    let entry = |missing_for| PartitionMissing {
        partition: 1,
        missing: MissingHosts {
            machine_types: vec!["box".into()],
            spot: false,
            zones: vec![MissingInZone {
                zone: "a".into(),
                hosts: 1,
            }],
            missing_for,
        },
    };
    let needs = WaitingNeeds {
        own: &own,
        missing: &mut missing_elsewhere.map(entry).into_iter().collect(),
    };
    let partition = partition_with_idle_host();
    next_assignment(&partition, &id, &inventory, &criteria, &needs)
}

/// Guards against a host that lies idle for a job that fails wherever it runs, or for a gang that
/// lacks others, while a job elsewhere has lacked it for longer; and against two jobs that take it
/// from each other.
#[test]
fn idle_host_goes_to_the_job_that_has_lacked_it_for_longest() {
    let (short, long) = (MISSING_TOO_LONG, MISSING_TOO_LONG + Micros::from_secs(1));
    let too_short = MISSING_TOO_LONG - Micros::from_secs(1);
    let given_up = Some(HostAssignment::Free);
    // Wanted by the own count, and kept by nobody.
    assert_eq!(assignment(None, None, 1), None);
    assert_eq!(assignment(None, Some(too_short), 1), None);
    assert_eq!(assignment(None, Some(short), 1), given_up);
    for desired in [0, 1] {
        // Kept for the next retry of a job that backs off.
        let retry = Some(Micros::ZERO);
        assert_eq!(assignment(retry, None, desired), None);
        assert_eq!(assignment(retry, Some(too_short), desired), None);
        assert_eq!(assignment(retry, Some(short), desired), given_up);
        // Kept for a job that lacks others.
        assert_eq!(assignment(Some(short), Some(long), desired), given_up);
        assert_eq!(assignment(Some(long), Some(short), desired), None);
        assert_eq!(assignment(Some(short), Some(short), desired), None);
    }
    // Surplus, and needed by nobody.
    let returned = Some(HostAssignment::Decommissioned(None));
    assert_eq!(assignment(None, None, 0), returned);
}
