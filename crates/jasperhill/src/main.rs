//! The `jasperhill` binary: reads the settings, sets up logging, and runs one controller or checks and
//! prints its settings. This module alone maps errors to exit codes.

mod check;
mod cli;
mod listen;
mod logging;
mod operator_settings;
mod serve;

use clap::Parser;
use cli::{Cli, Command};
use jasperhill_controller::SettingsError;
use std::process::ExitCode;

/// The exit code if an address cannot be bound or the runtime cannot start.
const EXIT_START: u8 = 1;
/// The exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;

/// The reason why the process exits with an error.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// The settings files or the environment contain an invalid setting.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound, or the runtime cannot start.
    #[error(transparent)]
    Start(#[from] std::io::Error),
}

impl Error {
    /// Returns the exit code of the process for this error.
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) => ExitCode::from(EXIT_SETTINGS),
            Self::Start(_) => ExitCode::from(EXIT_START),
        }
    }
}

fn main() -> ExitCode {
    match run_command(&Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasperhill: {error}");
            error.exit_code()
        }
    }
}

/// Reads the settings and runs one subcommand.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the controller cannot start.
fn run_command(command: &Command) -> Result<(), Error> {
    let settings = command.settings_files().read()?;
    let log_level = logging::level_from_env()?;
    match command {
        Command::Check(_) => check::print_settings(&settings),
        Command::Serve(_) => {
            logging::install_subscriber(log_level);
            serve::run(settings)?;
        }
    }
    Ok(())
}
