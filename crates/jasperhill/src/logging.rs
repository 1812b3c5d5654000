//! Logging: the level from the environment, and the subscriber of the process.

use jasperhill_controller::SettingsError;
use tracing::level_filters::LevelFilter;

/// The environment variable with the log level.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// The log level of the environment; `info` if it is unset or empty.
///
/// # Errors
///
/// The variable has a value that is no level.
pub fn level() -> Result<LevelFilter, SettingsError> {
    match std::env::var(LEVEL_VARIABLE).as_deref() {
        Err(_) | Ok("") | Ok("info") => Ok(LevelFilter::INFO),
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("warn") => Ok(LevelFilter::WARN),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(SettingsError {
            field: LEVEL_VARIABLE.to_owned(),
            reason: format!("none of error, warn, info, debug: {other}"),
        }),
    }
}

/// Installs the subscriber, which writes to standard error without colours and times.
/// Called once, before the controller starts.
pub fn install(level: LevelFilter) {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .without_time()
        .init();
}
