//! Validation of the platform's settings file. Each error names its field. Only the first error is
//! returned, in the order in which [`validate`] checks the fields.

use super::{
    OperatorSettings, Peer, Settings,
    error::{SettingsError, invalid_field},
    file::{self, File, Params},
};
use jasperhill_membership::{FreshnessBounds, LeaseTerms};
use jasperhill_scheduler::TeamLimits;
use jasperhill_wire::{Member, Micros, Name, Resources};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Maximum number of partitions.
const PARTITIONS_MAX: u32 = 1_000;
/// Upper bound of numbers in the file. Larger numbers are mistakes, and would overflow when scaled to
/// internal units.
const NUMBER_MAX: f64 = 1e9;
/// Maximum length of a name in bytes. Limited because one key in the store contains several names.
const NAME_BYTES_MAX: usize = 150;
/// Minimum of the store's value size limit, in kilobytes.
const VALUE_KB_MIN: f64 = 2.0;
/// Maximum value size that this controller uses, in kilobytes. Longer values would only slow down
/// writes.
const VALUE_KB_MAX: f64 = 64.0;
/// Bytes per kilobyte.
const BYTES_PER_KB: f64 = 1_024.0;
/// Minimum of the store's limit of guards and changes in a transaction.
const TXN_OPS_MIN: u32 = 4;
/// Upper bound to which the lag of the cloud's machine list is clamped, in seconds.
const LIST_LAG_S_MAX: f64 = 3_600.0;
/// Upper bound to which the start time of an objective is clamped, in seconds.
const START_WITHIN_S_MAX: f64 = 86_400.0;
/// Default for the maximum number of open connections of a controller.
const DEFAULT_MAX_CONNECTIONS: u32 = 1_000;

/// Validates a settings file and converts it to [`Settings`].
///
/// # Errors
/// The first field whose value is not allowed.
pub(super) fn validate(file: &File) -> Result<Settings, SettingsError> {
    let params = &file.params;
    let member = parse_name("member", &file.member)?;
    let peers = parse_peers(&member, &file.others)?;
    check_size(params, peers.len() + 1)?;
    if params.zones.is_empty() {
        return invalid_field("params.zones", "must not be empty");
    }
    let teams = parse_teams(&params.teams)?;
    if !(params.time_bound_ms.is_finite() && params.time_bound_ms >= 0.0) {
        return invalid_field("params.time_bound_ms", "must be a number from 0");
    }
    let workers = &params.workers;
    let lease = parse_seconds("params.workers.lease_s", workers.lease_s)?;
    let cancel = parse_seconds("params.workers.cancel_s", workers.cancel_s)?;
    let bounds = freshness_bounds(
        LeaseTerms {
            lease_duration: lease,
            cancellation_time: cancel,
        },
        workers.lease_s,
    )?;
    let limits = StateLimits::effective(&params.state)?;
    Ok(Settings {
        member: Member::new(member.as_str()),
        zone: parse_name("site", &file.site)?,
        bind: parse_address("bind", &file.bind)?,
        mesh: parse_address("mesh_addr", &file.mesh_addr)?,
        peers,
        cloud_address: parse_address("services.cloud", &file.services.cloud)?,
        state_service_address: parse_address("services.state", &file.services.state)?,
        partition_count: params.size,
        zones: parse_zones(&params.zones)?,
        time_bound: Micros::from_secs_f64(params.time_bound_ms / 1e3),
        teams,
        heartbeat_interval: parse_seconds("params.workers.report_s", workers.report_s)?,
        lease_time: lease,
        gang_wait: parse_seconds("params.workers.gang_wait_s", workers.gang_wait_s)?,
        gang_peer: parse_seconds("params.workers.gang_peer_s", workers.gang_peer_s)?,
        cancellation_time: cancel,
        freshness_bounds: bounds,
        state_rps: limits.rps,
        state_write_rps: limits.write_rps,
        value_bytes: (limits.value_kb.min(VALUE_KB_MAX) * BYTES_PER_KB) as usize,
        transaction_ops_max: limits.txn_ops as usize,
        cloud_rps: check_positive("params.cloud.rps", params.cloud.rps)?,
        machine_list_lag_max: Micros::from_secs_f64(
            params.cloud.list_lag_s.clamp(0.0, LIST_LAG_S_MAX),
        ),
        max_connections: params
            .quota
            .max_connections
            .unwrap_or(DEFAULT_MAX_CONNECTIONS) as usize,
        start_objectives: start_objectives(&params.objectives),
        operator: OperatorSettings::default(),
    })
}

/// Parses the other controllers. All member names, including this controller's, must be distinct.
fn parse_peers(member: &Name, others: &[file::Other]) -> Result<Vec<Peer>, SettingsError> {
    let mut members = BTreeSet::from([member.clone()]);
    let mut peers = Vec::new();
    for other in others {
        let peer = parse_name("others.member", &other.member)?;
        if !members.insert(peer.clone()) {
            return invalid_field("others.member", format!("{peer} is named twice"));
        }
        peers.push(Peer {
            member: Member::new(peer.as_str()),
            zone: other.site.as_deref().map(Name::from),
            address: parse_address("others.endpoint", &other.endpoint)?,
        });
    }
    Ok(peers)
}

/// Checks that the number of partitions is in range and not below the number of controllers.
fn check_size(params: &Params, controllers: usize) -> Result<(), SettingsError> {
    if params.size == 0 || params.size > PARTITIONS_MAX {
        return invalid_field("params.size", "must be from 1 to 1000");
    }
    if controllers > params.size as usize {
        return invalid_field(
            "params.size",
            "smaller than the number of controllers named",
        );
    }
    Ok(())
}

/// Parses the teams, whose names must be distinct.
fn parse_teams(teams_in_file: &[file::Team]) -> Result<Vec<TeamLimits>, SettingsError> {
    let mut teams: Vec<TeamLimits> = Vec::new();
    for team in teams_in_file {
        let name = parse_name("params.teams.name", &team.name)?;
        if teams.iter().any(|other| other.name == name) {
            return invalid_field("params.teams.name", format!("{name} is named twice"));
        }
        for (field, value) in [
            ("params.teams.cpus", team.cpus),
            ("params.teams.cpus_max", team.cpus_max),
            ("params.teams.gpus", team.gpus),
            ("params.teams.gpus_max", team.gpus_max),
        ] {
            if !(value.is_finite() && (0.0..=NUMBER_MAX).contains(&value)) {
                return invalid_field(field, "must be a number from 0");
            }
        }
        teams.push(TeamLimits {
            name,
            guaranteed: Resources::from_units(team.cpus, team.gpus, 0.0),
            limit: Resources::from_units(team.cpus_max, team.gpus_max, 0.0),
        });
    }
    Ok(teams)
}

/// Parses the names of the zones.
fn parse_zones(names: &[String]) -> Result<Vec<Name>, SettingsError> {
    names
        .iter()
        .map(|zone| parse_name("params.zones", zone))
        .collect()
}

/// Computes the freshness bounds from the lease and cancellation times. Fails if `cancel_s` is too
/// short: tasks on hosts that can't be reached could then outlive the time in which a cancellation
/// must complete.
fn freshness_bounds(terms: LeaseTerms, lease_s: f64) -> Result<FreshnessBounds, SettingsError> {
    terms.bounds().or_else(|too_short| {
        let minimum_s = too_short.cancellation_time_min.as_secs_f64();
        let reason = format!("must be at least {minimum_s:.2} with a lease_s of {lease_s}");
        invalid_field("params.workers.cancel_s", reason)
    })
}

/// Returns the start objectives (`kind = "wait"`): the time within which jobs of each class should
/// start. Of several objectives for a class the shortest applies, regardless of their order.
fn start_objectives(objectives: &[file::Objective]) -> BTreeMap<Name, Micros> {
    let mut start_within: BTreeMap<Name, Micros> = BTreeMap::new();
    for objective in objectives
        .iter()
        .filter(|objective| objective.kind == "wait")
    {
        let Some(class) = objective.class.as_deref().map(Name::from) else {
            continue;
        };
        let within_s = objective.within_s.clamp(0.0, START_WITHIN_S_MAX);
        let within = Micros::from_secs_f64(within_s);
        let shortest = start_within.entry(class).or_insert(within);
        *shortest = within.min(*shortest);
    }
    start_within
}

/// The limits of the state service.
struct StateLimits {
    /// Maximum number of requests per second.
    rps: f64,
    /// Maximum number of writes per second.
    write_rps: f64,
    /// Maximum value size in kilobytes.
    value_kb: f64,
    /// Maximum number of guards and changes in a transaction.
    txn_ops: u32,
}

impl StateLimits {
    /// Returns the smaller of the current and the future value of each limit, so that requests and
    /// stored values conform to both.
    fn effective(service: &file::StateService) -> Result<Self, SettingsError> {
        let current = Self {
            rps: service.rps,
            write_rps: service.write_rps,
            value_kb: service.value_kb,
            txn_ops: service.txn_ops,
        };
        current.validate("params.state")?;
        let next = Self {
            rps: service.next.rps.unwrap_or(current.rps),
            write_rps: service.next.write_rps.unwrap_or(current.write_rps),
            value_kb: service.next.value_kb.unwrap_or(current.value_kb),
            txn_ops: service.next.txn_ops.unwrap_or(current.txn_ops),
        };
        next.validate("params.state.next")?;
        Ok(Self {
            rps: current.rps.min(next.rps),
            write_rps: current.write_rps.min(next.write_rps),
            value_kb: current.value_kb.min(next.value_kb),
            txn_ops: current.txn_ops.min(next.txn_ops),
        })
    }

    /// Validates the limits. `table`: path of their table in the file, for errors.
    fn validate(&self, table: &str) -> Result<(), SettingsError> {
        check_positive(&format!("{table}.rps"), self.rps)?;
        check_positive(&format!("{table}.write_rps"), self.write_rps)?;
        let field = format!("{table}.value_kb");
        if check_positive(&field, self.value_kb)? < VALUE_KB_MIN {
            return invalid_field(field, "must be at least 2");
        }
        if self.txn_ops < TXN_OPS_MIN {
            return invalid_field(format!("{table}.txn_ops"), "must be at least 4");
        }
        Ok(())
    }
}

/// Parses a socket address.
fn parse_address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .or_else(|_| invalid_field(field, "not an address of the form 10.0.0.1:8080"))
}

/// Checks that a number is above 0 and at most [`NUMBER_MAX`].
fn check_positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= NUMBER_MAX {
        Ok(value)
    } else {
        invalid_field(field, "must be a number above 0")
    }
}

/// Parses a positive duration in seconds.
fn parse_seconds(field: &str, value: f64) -> Result<Micros, SettingsError> {
    check_positive(field, value).map(Micros::from_secs_f64)
}

/// Parses a name: 1 to [`NAME_BYTES_MAX`] bytes without whitespace.
fn parse_name(field: &str, text: &str) -> Result<Name, SettingsError> {
    if (1..=NAME_BYTES_MAX).contains(&text.len()) && !text.contains(char::is_whitespace) {
        Ok(text.into())
    } else {
        invalid_field(field, "must have 1 to 150 bytes and no spaces")
    }
}
