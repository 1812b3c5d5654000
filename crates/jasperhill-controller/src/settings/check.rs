//! Checks of the platform's file. Each error names the field; the first one counts, in the order
//! in which the checks stand here.

use super::{
    OperatorSettings, Peer, Settings,
    error::{SettingsError, invalid},
    file::{self, File, Params},
};
use jasperhill_membership::{FreshnessBounds, LeaseTerms};
use jasperhill_scheduler::TeamLimits;
use jasperhill_wire::{Member, Micros, Name, Resources};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Partitions, at most.
const SIZE_MAX: u32 = 1_000;
/// Numbers above this are mistakes, and would not fit once they are scaled.
const NUMBER_MAX: f64 = 1e9;
/// Bytes of a name, at most: keys in the store hold several.
const NAME_BYTES_MAX: usize = 150;
/// What a value in the store must hold at least, in kilobytes.
const VALUE_KB_MIN: f64 = 2.0;
/// What is used of a value at most, in kilobytes: longer ones only make writes slow.
const VALUE_KB_MAX: f64 = 64.0;
/// Bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_024.0;
/// Guards and changes that a transaction must take at least.
const TXN_OPS_MIN: u32 = 4;
/// The lag of the machine list is taken to be no longer, in seconds.
const LIST_LAG_S_MAX: f64 = 3_600.0;
/// Starts are waited for no longer, in seconds.
const START_WITHIN_S_MAX: f64 = 86_400.0;
/// Connections that a controller may have open if the platform does not say.
const MAX_CONNECTIONS: u32 = 1_000;

/// The settings of a file.
pub(super) fn checked(file: &File) -> Result<Settings, SettingsError> {
    let params = &file.params;
    let member = name("member", &file.member)?;
    let peers = peers(&member, &file.others)?;
    check_size(params, peers.len() + 1)?;
    if params.zones.is_empty() {
        return invalid("params.zones", "must not be empty");
    }
    let teams = teams(&params.teams)?;
    if !(params.time_bound_ms.is_finite() && params.time_bound_ms >= 0.0) {
        return invalid("params.time_bound_ms", "must be a number from 0");
    }
    let workers = &params.workers;
    let lease = seconds("params.workers.lease_s", workers.lease_s)?;
    let cancel = seconds("params.workers.cancel_s", workers.cancel_s)?;
    let bounds = freshness_bounds(LeaseTerms { lease, cancel }, workers.lease_s)?;
    let limits = StateLimits::of(&params.state)?;
    Ok(Settings {
        member: Member::new(member.as_str()),
        site: name("site", &file.site)?,
        bind: address("bind", &file.bind)?,
        mesh: address("mesh_addr", &file.mesh_addr)?,
        peers,
        cloud: address("services.cloud", &file.services.cloud)?,
        state: address("services.state", &file.services.state)?,
        size: params.size,
        zones: zones(&params.zones)?,
        time_bound: Micros::from_secs_f64(params.time_bound_ms / 1e3),
        teams,
        heartbeat_interval: seconds("params.workers.report_s", workers.report_s)?,
        lease,
        gang_wait: seconds("params.workers.gang_wait_s", workers.gang_wait_s)?,
        gang_peer: seconds("params.workers.gang_peer_s", workers.gang_peer_s)?,
        cancel,
        bounds,
        state_rps: limits.rps,
        state_write_rps: limits.write_rps,
        value_bytes: (limits.value_kb.min(VALUE_KB_MAX) * BYTES_PER_KB) as usize,
        txn_ops: limits.txn_ops as usize,
        cloud_rps: positive("params.cloud.rps", params.cloud.rps)?,
        list_lag: Micros::from_secs_f64(params.cloud.list_lag_s.clamp(0.0, LIST_LAG_S_MAX)),
        max_connections: params.quota.max_connections.unwrap_or(MAX_CONNECTIONS) as usize,
        waited_for: start_objectives(&params.objectives),
        operator: OperatorSettings::default(),
    })
}

fn peers(member: &Name, others: &[file::Other]) -> Result<Vec<Peer>, SettingsError> {
    let mut members = BTreeSet::from([member.clone()]);
    let mut peers = Vec::new();
    for other in others {
        let peer = name("others.member", &other.member)?;
        if !members.insert(peer.clone()) {
            return invalid("others.member", format!("{peer} is named twice"));
        }
        peers.push(Peer {
            member: Member::new(peer.as_str()),
            site: other.site.as_deref().map(Name::from),
            address: address("others.endpoint", &other.endpoint)?,
        });
    }
    Ok(peers)
}

fn check_size(params: &Params, controllers: usize) -> Result<(), SettingsError> {
    if params.size == 0 || params.size > SIZE_MAX {
        return invalid("params.size", "must be from 1 to 1000");
    }
    if controllers > params.size as usize {
        return invalid(
            "params.size",
            "smaller than the number of controllers named",
        );
    }
    Ok(())
}

fn teams(named: &[file::Team]) -> Result<Vec<TeamLimits>, SettingsError> {
    let mut teams: Vec<TeamLimits> = Vec::new();
    for team in named {
        let name = name("params.teams.name", &team.name)?;
        if teams.iter().any(|other| other.name == name) {
            return invalid("params.teams.name", format!("{name} is named twice"));
        }
        for (field, value) in [
            ("params.teams.cpus", team.cpus),
            ("params.teams.cpus_max", team.cpus_max),
            ("params.teams.gpus", team.gpus),
            ("params.teams.gpus_max", team.gpus_max),
        ] {
            if !(value.is_finite() && (0.0..=NUMBER_MAX).contains(&value)) {
                return invalid(field, "must be a number from 0");
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

fn zones(named: &[String]) -> Result<Vec<Name>, SettingsError> {
    named
        .iter()
        .map(|zone| name("params.zones", zone))
        .collect()
}

/// Without these, tasks out of reach could not be gone in time.
fn freshness_bounds(terms: LeaseTerms, lease_s: f64) -> Result<FreshnessBounds, SettingsError> {
    terms.bounds().or_else(|short| {
        let least = short.least.as_secs_f64();
        let reason = format!("must be at least {least:.2} with a lease_s of {lease_s}");
        invalid("params.workers.cancel_s", reason)
    })
}

/// The classes whose starts are waited for, and how long. Of several objectives for one class
/// the soonest counts, whatever their order.
fn start_objectives(objectives: &[file::Objective]) -> BTreeMap<Name, Micros> {
    let mut soonest: BTreeMap<Name, Micros> = BTreeMap::new();
    for objective in objectives.iter().filter(|o| o.kind == "wait") {
        let Some(class) = objective.class.as_deref().map(Name::from) else {
            continue;
        };
        let within_s = objective.within_s.clamp(0.0, START_WITHIN_S_MAX);
        let within = Micros::from_secs_f64(within_s);
        let kept = soonest.entry(class).or_insert(within);
        *kept = within.min(*kept);
    }
    soonest
}

/// Limits of the state service.
struct StateLimits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: u32,
}

impl StateLimits {
    /// The smaller of the present limits and the coming ones: what is written keeps within both.
    fn of(service: &file::StateService) -> Result<Self, SettingsError> {
        let present = Self {
            rps: service.rps,
            write_rps: service.write_rps,
            value_kb: service.value_kb,
            txn_ops: service.txn_ops,
        };
        present.check("params.state")?;
        let next = Self {
            rps: service.next.rps.unwrap_or(present.rps),
            write_rps: service.next.write_rps.unwrap_or(present.write_rps),
            value_kb: service.next.value_kb.unwrap_or(present.value_kb),
            txn_ops: service.next.txn_ops.unwrap_or(present.txn_ops),
        };
        next.check("params.state.next")?;
        Ok(Self {
            rps: present.rps.min(next.rps),
            write_rps: present.write_rps.min(next.write_rps),
            value_kb: present.value_kb.min(next.value_kb),
            txn_ops: present.txn_ops.min(next.txn_ops),
        })
    }

    /// `table`: the path of the table that they stand in.
    fn check(&self, table: &str) -> Result<(), SettingsError> {
        positive(&format!("{table}.rps"), self.rps)?;
        positive(&format!("{table}.write_rps"), self.write_rps)?;
        let field = format!("{table}.value_kb");
        if positive(&field, self.value_kb)? < VALUE_KB_MIN {
            return invalid(field, "must be at least 2");
        }
        if self.txn_ops < TXN_OPS_MIN {
            return invalid(format!("{table}.txn_ops"), "must be at least 4");
        }
        Ok(())
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .or_else(|_| invalid(field, "not an address of the form 10.0.0.1:8080"))
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= NUMBER_MAX {
        Ok(value)
    } else {
        invalid(field, "must be a number above 0")
    }
}

fn seconds(field: &str, value: f64) -> Result<Micros, SettingsError> {
    positive(field, value).map(Micros::from_secs_f64)
}

fn name(field: &str, text: &str) -> Result<Name, SettingsError> {
    if (1..=NAME_BYTES_MAX).contains(&text.len()) && !text.contains(char::is_whitespace) {
        Ok(text.into())
    } else {
        invalid(field, "must have 1 to 150 bytes and no spaces")
    }
}
