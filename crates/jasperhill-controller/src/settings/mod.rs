//! The settings of a controller: the platform's settings file and the operators' settings.
//!
//! [`Settings::parse`] reads the platform's file in two steps: `file` deserializes it and `check`
//! validates each value. Derived values are computed here. Settings never change while a controller
//! runs.

mod check;
mod error;
mod file;

pub use error::SettingsError;

use jasperhill_membership::FreshnessBounds;
use jasperhill_scheduler::{SchedulerConfig, TeamLimits, Tuning};
use jasperhill_wire::{Member, Micros, Name};
use std::{collections::BTreeMap, net::SocketAddr};

/// Another controller of the deployment.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The controller's name.
    pub member: Member,
    /// The zone that the controller is in; `None` if the platform does not specify it.
    pub zone: Option<Name>,
    /// The controller's mesh address.
    pub address: SocketAddr,
}

/// Settings that operators can make in addition to the platform's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Tuning parameters of the scheduler.
    pub tuning: Tuning,
    /// How long a controller's session outlives its last renewal; `None`: derived from the lease time.
    pub session: Option<Micros>,
    /// Number of consecutive quick process exits after which a controller leaves its roles to others; 0
    /// disables this, `None` selects a default.
    pub crash_loop_threshold: Option<u32>,
}

/// Default number of consecutive quick process exits that count as a crash loop. One or two happen with
/// any upgrade.
const DEFAULT_CRASH_LOOP_THRESHOLD: u32 = 3;
/// Session time as a fraction of a worker's lease. A takeover must happen before the workers' leases
/// expire.
const SESSION_LEASE_FRACTION: f64 = 0.5;
/// Minimum session time. With a shorter one, every late response of the state service would end the
/// session.
const SESSION_MIN: Micros = Micros::from_secs(2);
/// Maximum session time.
const SESSION_MAX: Micros = Micros::from_secs(600);
/// Delegation time as a fraction of a worker's lease, unless the cancellation time requires a
/// shorter one.
const DELEGATION_LEASE_FRACTION: f64 = 0.6;
/// Maximum delegation time as a fraction of the difference between cancellation time and lease time;
/// [`DELEGATION_MARGIN`] is subtracted from the product.
const DELEGATION_SLACK_FRACTION: f64 = 0.5;
/// Time subtracted from the maximum delegation time to allow for late timers.
const DELEGATION_MARGIN: Micros = Micros::from_secs(1);

/// The validated settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this controller.
    pub member: Member,
    /// The zone that this controller is in.
    pub zone: Name,
    /// Address on which users and workers reach this controller.
    pub bind: SocketAddr,
    /// Address on which the other controllers reach this controller over the mesh.
    pub mesh: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud's API.
    pub cloud_address: SocketAddr,
    /// Address of the state service.
    pub state_service_address: SocketAddr,
    /// The number of partitions; at least the number of controllers.
    pub partition_count: u32,
    /// The zones that machines can be in.
    pub zones: Vec<Name>,
    /// The platform's `time_bound_ms`; validated but not used.
    pub time_bound: Micros,
    /// The resource guarantees and limits of each team.
    pub teams: Vec<TeamLimits>,
    /// Heartbeat interval of workers.
    pub heartbeat_interval: Micros,
    /// Lease time: a worker ends its tasks this long after it sent the last heartbeat that was
    /// answered.
    pub lease_time: Micros,
    /// How long workers let the tasks of a gang wait for each other to start. Workers enforce this time
    /// themselves; the scheduler only passes it through.
    pub gang_wait: Micros,
    /// How long workers let a gang continue without one of its tasks. Workers enforce this time
    /// themselves; the scheduler only passes it through.
    pub gang_peer: Micros,
    /// Time after the response to a cancellation within which the job's tasks must have ended.
    pub cancellation_time: Micros,
    /// Maximum age of the information on which a lease renewal may be based.
    pub freshness_bounds: FreshnessBounds,
    /// Maximum number of requests per second to the state service, for all controllers together.
    pub state_rps: f64,
    /// Maximum number of writes per second to the state service, for all controllers together.
    pub state_write_rps: f64,
    /// Maximum size of a value in the store in bytes, under the current and the future limits.
    pub value_bytes: usize,
    /// Maximum number of guards and changes in a transaction, under the current and the future limits.
    pub transaction_ops_max: usize,
    /// Maximum number of requests per second to the cloud.
    pub cloud_rps: f64,
    /// Maximum lag of the cloud's list of machines.
    pub machine_list_lag_max: Micros,
    /// Maximum number of open connections of this controller.
    pub max_connections: usize,
    /// Start objectives: the time within which jobs of a class should start.
    pub start_objectives: BTreeMap<Name, Micros>,
    /// The operators' settings.
    pub operator: OperatorSettings,
}

impl Settings {
    /// Parses and validates the platform's file. Unknown fields are ignored.
    ///
    /// # Errors
    /// If the file is not TOML, or a field is missing or has a value that is not allowed; the
    /// error names the field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        check::validate(&file::deserialize(text)?)
    }

    /// Returns the settings that the scheduler uses.
    pub fn scheduler_config(&self) -> SchedulerConfig {
        SchedulerConfig {
            partitions: self.partition_count,
            teams: self.teams.clone(),
            heartbeat_interval: self.heartbeat_interval,
            lease: self.lease_time,
            gang_wait: self.gang_wait,
            gang_peer_timeout: self.gang_peer,
            start_within: self.start_objectives.clone(),
            tuning: self.operator.tuning.clone(),
        }
    }

    /// Returns the maximum age of the watch cache at which this controller has authority. If the
    /// controller misses a cancellation, lease renewals must stop early enough for the tasks to end
    /// within `cancel_s`.
    pub fn cache_age_max(&self) -> Micros {
        self.freshness_bounds.owner_age_max()
    }

    /// Returns the number of consecutive quick process exits after which a controller leaves its
    /// roles to others; 0: never.
    pub fn crash_loop_threshold(&self) -> u32 {
        let configured = self.operator.crash_loop_threshold;
        configured.unwrap_or(DEFAULT_CRASH_LOOP_THRESHOLD)
    }

    /// Returns the session time: long enough to survive short outages of the state service, short
    /// enough for a takeover before the workers' leases expire.
    pub fn session(&self) -> Micros {
        let derived_session = self
            .lease_time
            .scale(SESSION_LEASE_FRACTION)
            .min(self.cache_age_max());
        let session = self.operator.session.unwrap_or(derived_session);
        session.clamp(SESSION_MIN, SESSION_MAX)
    }

    /// Returns how long a delegate may answer heartbeats on behalf of an owner, counted from the
    /// delegate's request. Long enough to cover several intervals between requests, and short
    /// enough that cancelled tasks end in time even if the delegate loses contact with their host
    /// as well.
    pub fn delegation_time(&self) -> Micros {
        let slack = (self.cancellation_time - self.lease_time).scale(DELEGATION_SLACK_FRACTION)
            - DELEGATION_MARGIN;
        self.lease_time.scale(DELEGATION_LEASE_FRACTION).min(slack)
    }

    /// Returns all controllers, sorted by name. The order is the same on every controller, since a
    /// partition's preferred controller is determined by its index in the list.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.peers.iter().map(|p| p.member.clone()).collect();
        members.push(self.member.clone());
        members.sort();
        members
    }
}
