//! The platform's file as it stands, before anything is checked. Names of fields are the
//! platform's.

use super::error::{SettingsError, invalid};
use serde::Deserialize;

/// The file.
#[derive(Deserialize)]
pub(super) struct File {
    /// The name of this controller.
    pub member: String,
    /// The zone that this controller is in.
    pub site: String,
    /// Where users and workers reach it.
    pub bind: String,
    /// Where other controllers reach it.
    pub mesh_addr: String,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<Other>,
    /// Where services are reached.
    pub services: Services,
    /// The parameters of the site.
    pub params: Params,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct Other {
    /// Its name.
    pub member: String,
    /// The zone that it is in, if that is said.
    #[serde(default)]
    pub site: Option<String>,
    /// Where it is reached by mesh.
    pub endpoint: String,
}

/// Addresses of services.
#[derive(Deserialize)]
pub(super) struct Services {
    /// The cloud.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// The parameters of the site.
#[derive(Deserialize)]
pub(super) struct Params {
    /// The number of partitions.
    pub size: u32,
    /// The zones.
    pub zones: Vec<String>,
    /// Milliseconds.
    pub time_bound_ms: f64,
    /// The teams.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// What workers do on their own.
    pub workers: Workers,
    /// The limits of the state service.
    pub state: StateService,
    /// The limits of the cloud.
    pub cloud: Cloud,
    /// The limits of the controller's own process.
    pub quota: Quota,
}

/// A service-level objective.
#[derive(Deserialize)]
pub(super) struct Objective {
    /// `wait` for the start of jobs; other kinds are ignored.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds.
    #[serde(default)]
    pub within_s: f64,
}

/// What a team is guaranteed and limited to.
#[derive(Deserialize)]
pub(super) struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that it is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs that it may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Accelerators that it is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Accelerators that it may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// What workers do on their own.
#[derive(Deserialize)]
pub(super) struct Workers {
    /// The time between two heartbeats, in seconds.
    pub report_s: f64,
    /// Tasks end so many seconds after the last answered heartbeat was sent.
    pub lease_s: f64,
    /// How long the tasks of a gang wait for each other, in seconds.
    pub gang_wait_s: f64,
    /// How long a gang goes on without one of its tasks, in seconds.
    pub gang_peer_s: f64,
    /// The tasks of a cancelled job are gone after so many seconds.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Deserialize)]
pub(super) struct StateService {
    /// Requests in a second.
    pub rps: f64,
    /// Writes in a second.
    pub write_rps: f64,
    /// What a value may hold, in kilobytes.
    pub value_kb: f64,
    /// Guards and changes in a transaction, at most.
    pub txn_ops: u32,
    /// The limits from some moment on, without notice; what is absent stays as it is.
    #[serde(default)]
    pub next: NextLimits,
}

/// The limits that the state service will have.
#[derive(Default, Deserialize)]
pub(super) struct NextLimits {
    /// Requests in a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Writes in a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// What a value may hold, in kilobytes.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Guards and changes in a transaction, at most.
    #[serde(default)]
    pub txn_ops: Option<u32>,
}

/// The limits of the cloud.
#[derive(Deserialize)]
pub(super) struct Cloud {
    /// Requests in a second.
    pub rps: f64,
    /// How far the list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// The limits of the controller's own process.
#[derive(Deserialize)]
pub(super) struct Quota {
    /// Connections that may be open.
    #[serde(default)]
    pub max_connections: Option<u32>,
}

/// Reads the file.
pub(super) fn read(text: &str) -> Result<File, SettingsError> {
    let table: toml::Table = text.parse().or_else(|error: toml::de::Error| {
        let message = error.message().replace('\n', " ");
        invalid("file", format!("not TOML: {message}"))
    })?;
    let value = toml::Value::Table(table);
    serde_path_to_error::deserialize(value).map_err(|error| field_error(&error))
}

/// Names the field that does not fit, by its path.
fn field_error(error: &serde_path_to_error::Error<toml::de::Error>) -> SettingsError {
    let path = error.path().to_string();
    let message = error.inner().message().replace('\n', " ");
    let Some(rest) = message.strip_prefix("missing field `") else {
        return SettingsError {
            field: path,
            reason: message,
        };
    };
    let missing = rest.split('`').next().unwrap_or("");
    let field = if path == "." {
        missing.to_owned()
    } else {
        format!("{path}.{missing}")
    };
    SettingsError {
        field,
        reason: "missing".to_owned(),
    }
}
