//! The settings that the platform hands over, checked, and the operators' own.

use jasperhill_membership::{FreshnessBounds, LeaseTerms};
use jasperhill_scheduler::{SchedulerConfig, TeamLimits, Tuning};
use jasperhill_wire::{Member, Micros, Name, Resources};
use serde::Deserialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

#[derive(Debug, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SettingsError {
    pub field: String,
    pub reason: String,
}

fn bad<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError {
        field: field.into(),
        reason: reason.into(),
    })
}

#[derive(Clone, Debug)]
pub struct Peer {
    pub member: Member,
    /// The zone it is in, if that is said.
    pub site: Option<Name>,
    pub address: SocketAddr,
}

/// What the operators may set beyond the file handed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    pub tuning: Tuning,
    /// How long a controller's session outlives its last renewal; derived when absent.
    pub session: Option<Micros>,
    /// Quick ends in a row after which a controller leaves its roles to others; 0: never.
    pub crash_loop_threshold: Option<u32>,
}

/// Quick ends in a row that are no habit yet.
const RESTLESS_AFTER: u32 = 3;

#[derive(Clone, Debug)]
pub struct Settings {
    pub member: Member,
    pub site: Name,
    pub bind: SocketAddr,
    pub mesh: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    pub size: u32,
    pub zones: Vec<Name>,
    pub time_bound: Micros,
    pub teams: Vec<TeamLimits>,
    pub heartbeat_interval: Micros,
    pub lease: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
    /// How old the knowledge may be that a renewal of a lease rests on.
    pub bounds: FreshnessBounds,
    pub state_rps: f64,
    pub state_write_rps: f64,
    /// What a value may hold, now and later.
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag: Micros,
    pub max_connections: usize,
    /// Classes whose starts are waited for, and how long, by the objectives.
    pub waited_for: BTreeMap<Name, Micros>,
    pub operator: OperatorSettings,
}

#[derive(Deserialize)]
struct Raw {
    member: String,
    site: String,
    bind: String,
    mesh_addr: String,
    #[serde(default)]
    others: Vec<RawPeer>,
    services: RawServices,
    params: RawParams,
}
#[derive(Deserialize)]
struct RawPeer {
    member: String,
    #[serde(default)]
    site: Option<String>,
    endpoint: String,
}
#[derive(Deserialize)]
struct RawServices {
    cloud: String,
    state: String,
}
#[derive(Deserialize)]
struct RawParams {
    size: u32,
    zones: Vec<String>,
    time_bound_ms: f64,
    teams: Vec<RawTeam>,
    #[serde(default)]
    objectives: Vec<RawObjective>,
    workers: RawWorkers,
    state: RawState,
    cloud: RawCloud,
    quota: RawQuota,
}
#[derive(Deserialize)]
struct RawObjective {
    kind: String,
    #[serde(default)]
    class: Option<String>,
    #[serde(default)]
    within_s: f64,
}
#[derive(Deserialize)]
struct RawTeam {
    name: String,
    #[serde(default)]
    cpus: f64,
    #[serde(default)]
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}
#[derive(Deserialize)]
struct RawWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}
#[derive(Deserialize)]
struct RawState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: u32,
    /// The limits from some moment on, without notice; what is absent stays as it is.
    #[serde(default)]
    next: RawNext,
}
#[derive(Default, Deserialize)]
struct RawNext {
    #[serde(default)]
    rps: Option<f64>,
    #[serde(default)]
    write_rps: Option<f64>,
    #[serde(default)]
    value_kb: Option<f64>,
    #[serde(default)]
    txn_ops: Option<u32>,
}

/// Limits of the state service.
struct Limits {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: u32,
}

impl Limits {
    fn checked(self, at: &str) -> Result<Self, SettingsError> {
        positive(&format!("{at}.rps"), self.rps)?;
        positive(&format!("{at}.write_rps"), self.write_rps)?;
        let field = format!("{at}.value_kb");
        if positive(&field, self.value_kb)? < 2.0 {
            return bad(field, "must be at least 2");
        }
        if self.txn_ops < 4 {
            return bad(format!("{at}.txn_ops"), "must be at least 4");
        }
        Ok(self)
    }
}

impl RawState {
    /// The smaller of the present limits and the coming ones: what is written keeps within both.
    fn limits(&self) -> Result<Limits, SettingsError> {
        let now = Limits {
            rps: self.rps,
            write_rps: self.write_rps,
            value_kb: self.value_kb,
            txn_ops: self.txn_ops,
        }
        .checked("params.state")?;
        let next = Limits {
            rps: self.next.rps.unwrap_or(now.rps),
            write_rps: self.next.write_rps.unwrap_or(now.write_rps),
            value_kb: self.next.value_kb.unwrap_or(now.value_kb),
            txn_ops: self.next.txn_ops.unwrap_or(now.txn_ops),
        }
        .checked("params.state.next")?;
        Ok(Limits {
            rps: now.rps.min(next.rps),
            write_rps: now.write_rps.min(next.write_rps),
            value_kb: now.value_kb.min(next.value_kb),
            txn_ops: now.txn_ops.min(next.txn_ops),
        })
    }
}
#[derive(Deserialize)]
struct RawCloud {
    rps: f64,
    list_lag_s: f64,
}
#[derive(Deserialize)]
struct RawQuota {
    #[serde(default)]
    max_connections: Option<u32>,
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .or_else(|_| bad(field, "not an address of the form 10.0.0.1:8080"))
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 && value <= 1e9 {
        Ok(value)
    } else {
        bad(field, "must be a number above 0")
    }
}

fn seconds(field: &str, value: f64) -> Result<Micros, SettingsError> {
    positive(field, value).map(Micros::from_secs_f64)
}

fn name(field: &str, text: &str) -> Result<Name, SettingsError> {
    if (1..=150).contains(&text.len()) && !text.contains(char::is_whitespace) {
        Ok(text.into())
    } else {
        bad(field, "must have 1 to 150 bytes and no spaces")
    }
}

impl Settings {
    /// Reads the platform's file. Unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let table: toml::Table = text.parse().or_else(|e: toml::de::Error| {
            bad(
                "file",
                format!("not TOML: {}", e.message().replace('\n', " ")),
            )
        })?;
        let raw: Raw = serde_path(&table)?;
        let p = &raw.params;
        let member = name("member", &raw.member)?;
        let mut members = BTreeSet::from([member.clone()]);
        let mut peers = Vec::new();
        for other in &raw.others {
            let peer = name("others.member", &other.member)?;
            if !members.insert(peer.clone()) {
                return bad("others.member", format!("{peer} is named twice"));
            }
            let address = address("others.endpoint", &other.endpoint)?;
            peers.push(Peer {
                member: Member::new(peer.as_str()),
                site: other.site.as_deref().map(Name::from),
                address,
            });
        }
        if p.size == 0 || p.size > 1_000 {
            return bad("params.size", "must be from 1 to 1000");
        }
        if members.len() > p.size as usize {
            return bad(
                "params.size",
                "smaller than the number of controllers named",
            );
        }
        if p.zones.is_empty() {
            return bad("params.zones", "must not be empty");
        }
        let mut teams = Vec::new();
        for t in &p.teams {
            let team = name("params.teams.name", &t.name)?;
            if teams.iter().any(|o: &TeamLimits| o.name == team) {
                return bad("params.teams.name", format!("{team} is named twice"));
            }
            for (field, value) in [
                ("params.teams.cpus", t.cpus),
                ("params.teams.cpus_max", t.cpus_max),
                ("params.teams.gpus", t.gpus),
                ("params.teams.gpus_max", t.gpus_max),
            ] {
                if !(value.is_finite() && (0.0..=1e9).contains(&value)) {
                    return bad(field, "must be a number from 0");
                }
            }
            teams.push(TeamLimits {
                name: team,
                guaranteed: Resources::from_units(t.cpus, t.gpus, 0.0),
                limit: Resources::from_units(t.cpus_max, t.gpus_max, 0.0),
            });
        }
        if !(p.time_bound_ms.is_finite() && p.time_bound_ms >= 0.0) {
            return bad("params.time_bound_ms", "must be a number from 0");
        }
        let w = &p.workers;
        let lease = seconds("params.workers.lease_s", w.lease_s)?;
        let cancel = seconds("params.workers.cancel_s", w.cancel_s)?;
        // Without this, tasks out of reach could not be gone in time.
        let bounds = LeaseTerms { lease, cancel }.bounds().or_else(|short| {
            let least = short.least.as_secs_f64();
            let why = format!(
                "must be at least {least:.2} with a lease_s of {}",
                w.lease_s
            );
            bad("params.workers.cancel_s", why)
        })?;
        let limits = p.state.limits()?;
        Ok(Self {
            member: Member::new(member.as_str()),
            site: name("site", &raw.site)?,
            bind: address("bind", &raw.bind)?,
            mesh: address("mesh_addr", &raw.mesh_addr)?,
            peers,
            cloud: address("services.cloud", &raw.services.cloud)?,
            state: address("services.state", &raw.services.state)?,
            size: p.size,
            zones: p
                .zones
                .iter()
                .map(|z| name("params.zones", z))
                .collect::<Result<_, _>>()?,
            time_bound: Micros::from_secs_f64(p.time_bound_ms / 1e3),
            teams,
            heartbeat_interval: seconds("params.workers.report_s", w.report_s)?,
            lease,
            gang_wait: seconds("params.workers.gang_wait_s", w.gang_wait_s)?,
            gang_peer: seconds("params.workers.gang_peer_s", w.gang_peer_s)?,
            cancel,
            bounds,
            state_rps: limits.rps,
            state_write_rps: limits.write_rps,
            value_bytes: (limits.value_kb.min(64.0) * 1024.0) as usize,
            txn_ops: limits.txn_ops as usize,
            cloud_rps: positive("params.cloud.rps", p.cloud.rps)?,
            list_lag: Micros::from_secs_f64(p.cloud.list_lag_s.clamp(0.0, 3_600.0)),
            max_connections: p.quota.max_connections.unwrap_or(1_000) as usize,
            waited_for: p
                .objectives
                .iter()
                .filter(|o| o.kind == "wait")
                .filter_map(|o| {
                    let class = o.class.as_deref().map(Name::from)?;
                    Some((
                        class,
                        Micros::from_secs_f64(o.within_s.clamp(0.0, 86_400.0)),
                    ))
                })
                // Several for one class: the soonest counts, whatever their order.
                .fold(BTreeMap::new(), |mut all, (class, within)| {
                    let kept = all.entry(class).or_insert(within);
                    *kept = within.min(*kept);
                    all
                }),
            operator: OperatorSettings::default(),
        })
    }

    pub fn scheduler_config(&self) -> SchedulerConfig {
        SchedulerConfig {
            partitions: self.size,
            teams: self.teams.clone(),
            report: self.heartbeat_interval,
            lease: self.lease,
            gang_wait: self.gang_wait,
            gang_peer: self.gang_peer,
            start_within: self.waited_for.clone(),
            tuning: self.operator.tuning.clone(),
        }
    }

    /// How old the watch cache may be while there is authority: a cancellation that is not seen
    /// must stop the renewal of leases soon enough for the tasks to be gone by `cancel_s`.
    pub fn cache_age_max(&self) -> Micros {
        self.bounds.owner()
    }

    /// Quick ends in a row after which a controller leaves its roles to others; 0: never.
    pub fn crash_loop_threshold(&self) -> u32 {
        self.operator.crash_loop_threshold.unwrap_or(RESTLESS_AFTER)
    }
    /// The session's time: long enough to ride out short outages, short enough for a takeover
    /// before the workers' leases lapse.
    pub fn session(&self) -> Micros {
        let derived = self.lease.scale(0.5).min(self.cache_age_max());
        let wanted = self.operator.session.unwrap_or(derived);
        wanted.clamp(Micros::from_secs(2), Micros::from_secs(600))
    }

    /// How long a delegate may answer for an owner, counted from its ask: long enough to bridge
    /// the time between asks several times, and no longer than lets cancelled tasks end in
    /// time even if their host is lost to the delegate as well.
    pub fn delegation_time(&self) -> Micros {
        let slack = (self.cancel - self.lease).scale(0.5) - Micros::from_secs(1);
        self.lease.scale(0.6).min(slack)
    }

    /// All controllers in the same order everywhere; its index is a controller's home.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.peers.iter().map(|p| p.member.clone()).collect();
        all.push(self.member.clone());
        all.sort();
        all
    }
}

/// Deserializes a table and names the field that does not fit, by its path.
fn serde_path(table: &toml::Table) -> Result<Raw, SettingsError> {
    serde_path_to_error::deserialize(toml::Value::Table(table.clone())).map_err(|e| {
        let path = e.path().to_string();
        let text = e.inner().message().replace('\n', " ");
        let (field, reason) = match text.strip_prefix("missing field `") {
            Some(rest) => {
                let missing = rest.split('`').next().unwrap_or("");
                let at = if path == "." {
                    missing.to_owned()
                } else {
                    format!("{path}.{missing}")
                };
                (at, "missing".to_owned())
            }
            None => (path, text),
        };
        SettingsError { field, reason }
    })
}
