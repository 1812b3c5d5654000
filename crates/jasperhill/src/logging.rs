//! Logging: reads the log level from the environment and installs the `tracing` subscriber of the
//! process.

use jasperhill_controller::SettingsError;
use tracing::level_filters::LevelFilter;

/// The environment variable with the log level.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Returns the log level from [`LEVEL_VARIABLE`]; `info` if the variable is unset, empty or not valid
/// Unicode.
///
/// # Errors
///
/// Returns an error that names the variable if its value is not a log level.
pub fn level_from_env() -> Result<LevelFilter, SettingsError> {
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

/// Installs the global subscriber, which writes to standard error without colours and timestamps.
///
/// # Panics
///
/// Panics if a global subscriber is already installed: call this function once, before the controller
/// starts.
pub fn install_subscriber(level: LevelFilter) {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .without_time()
        .init();
}
