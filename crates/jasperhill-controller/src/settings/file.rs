//! The platform's settings file as deserialized, before validation. The platform determines the
//! names of the fields.

use super::error::{SettingsError, invalid_field};
use serde::Deserialize;

/// The top level of the settings file.
#[derive(Deserialize)]
pub(super) struct File {
    /// The name of this controller.
    pub member: String,
    /// The zone that this controller is in.
    pub site: String,
    /// Address on which users and workers reach this controller.
    pub bind: String,
    /// Address on which other controllers reach this controller.
    pub mesh_addr: String,
    /// The other controllers.
    #[serde(default)]
    pub others: Vec<Other>,
    /// The addresses of services.
    pub services: Services,
    /// The parameters of the deployment.
    pub params: Params,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct Other {
    /// The controller's name.
    pub member: String,
    /// The zone that the controller is in; `None` if the platform does not specify it.
    #[serde(default)]
    pub site: Option<String>,
    /// The controller's mesh address.
    pub endpoint: String,
}

/// The addresses of the services that a controller uses.
#[derive(Deserialize)]
pub(super) struct Services {
    /// Address of the cloud's API.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

/// The parameters of the deployment.
#[derive(Deserialize)]
pub(super) struct Params {
    /// The number of partitions.
    pub size: u32,
    /// The zones that machines can be in.
    pub zones: Vec<String>,
    /// A time in milliseconds that is validated but not used.
    pub time_bound_ms: f64,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing parameters of workers.
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
    /// The kind of objective: `wait` limits the time until jobs start; other kinds are ignored.
    pub kind: String,
    /// The class of jobs to which the objective applies; `None`: the objective is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which jobs should start, in seconds.
    #[serde(default)]
    pub within_s: f64,
}

/// A team's resource guarantees and limits.
#[derive(Deserialize)]
pub(super) struct Team {
    /// The team's name.
    pub name: String,
    /// Number of CPUs that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs that the team may use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of accelerators that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators that the team may use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// The timing parameters of workers.
#[derive(Deserialize)]
pub(super) struct Workers {
    /// Heartbeat interval, in seconds.
    pub report_s: f64,
    /// Lease time, in seconds: a worker ends its tasks this long after it sent the last heartbeat
    /// that was answered.
    pub lease_s: f64,
    /// How long the tasks of a gang wait for each other to start, in seconds.
    pub gang_wait_s: f64,
    /// How long a gang continues after losing one of its tasks, in seconds.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job must have ended, in seconds.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Deserialize)]
pub(super) struct StateService {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in kilobytes.
    pub value_kb: f64,
    /// Maximum number of guards and changes in a transaction.
    pub txn_ops: u32,
    /// Limits that take effect at some time without notice. Absent fields keep the current limit.
    #[serde(default)]
    pub next: NextLimits,
}

/// The future limits of the state service; `None` keeps the current limit.
#[derive(Default, Deserialize)]
pub(super) struct NextLimits {
    /// Maximum number of requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of writes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in kilobytes.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of guards and changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<u32>,
}

/// The limits of the cloud.
#[derive(Deserialize)]
pub(super) struct Cloud {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum lag of the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// The limits of the controller's own process.
#[derive(Deserialize)]
pub(super) struct Quota {
    /// Maximum number of open connections; `None` selects a default.
    #[serde(default)]
    pub max_connections: Option<u32>,
}

/// Deserializes the settings file.
///
/// # Errors
/// If the text is not TOML, or a field is missing or has the wrong type.
pub(super) fn deserialize(text: &str) -> Result<File, SettingsError> {
    let table: toml::Table = text.parse().or_else(|error: toml::de::Error| {
        let message = error.message().replace('\n', " ");
        invalid_field("file", format!("not TOML: {message}"))
    })?;
    let value = toml::Value::Table(table);
    serde_path_to_error::deserialize(value).map_err(|error| field_error(&error))
}

/// Converts a deserialization error to an error that names the field by its path.
fn field_error(error: &serde_path_to_error::Error<toml::de::Error>) -> SettingsError {
    let path = error.path().to_string();
    let message = error.inner().message().replace('\n', " ");
    let Some(quoted_name) = message.strip_prefix("missing field `") else {
        return SettingsError {
            field: path,
            reason: message,
        };
    };
    let missing = quoted_name.split('`').next().unwrap_or("");
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
