//! The platform's file as it stands, before anything is checked. Names of fields are the
//! platform's.

use super::error::{SettingsError, invalid};
use serde::Deserialize;

/// The file.
#[derive(Deserialize)]
pub(super) struct File {
    pub member: String,
    pub site: String,
    pub bind: String,
    pub mesh_addr: String,
    #[serde(default)]
    pub others: Vec<Other>,
    pub services: Services,
    pub params: Params,
}

/// Another controller.
#[derive(Deserialize)]
pub(super) struct Other {
    pub member: String,
    #[serde(default)]
    pub site: Option<String>,
    pub endpoint: String,
}

/// Addresses of services.
#[derive(Deserialize)]
pub(super) struct Services {
    pub cloud: String,
    pub state: String,
}

/// The parameters of the site.
#[derive(Deserialize)]
pub(super) struct Params {
    pub size: u32,
    pub zones: Vec<String>,
    pub time_bound_ms: f64,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateService,
    pub cloud: Cloud,
    pub quota: Quota,
}

/// A service-level objective.
#[derive(Deserialize)]
pub(super) struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: f64,
}

/// What a team is guaranteed and limited to.
#[derive(Deserialize)]
pub(super) struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What workers do on their own.
#[derive(Deserialize)]
pub(super) struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Deserialize)]
pub(super) struct StateService {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u32,
    /// The limits from some moment on, without notice; what is absent stays as it is.
    #[serde(default)]
    pub next: NextLimits,
}

/// The limits that the state service will have.
#[derive(Default, Deserialize)]
pub(super) struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<u32>,
}

/// The limits of the cloud.
#[derive(Deserialize)]
pub(super) struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// The limits of the controller's own process.
#[derive(Deserialize)]
pub(super) struct Quota {
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
