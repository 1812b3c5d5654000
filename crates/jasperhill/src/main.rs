//! The binary: reads the settings, sets up logging, and runs one controller or checks its settings.
//! Errors are mapped to exit codes here and nowhere else.

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

/// Exit code: an address cannot be bound, or the runtime cannot start.
const EXIT_START: u8 = 1;
/// Exit code: the settings cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// Why the process ends.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] std::io::Error),
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Settings(_) => ExitCode::from(EXIT_SETTINGS),
            Self::Start(_) => ExitCode::from(EXIT_START),
        }
    }
}

fn main() -> ExitCode {
    match execute(&Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jasperhill: {error}");
            error.exit_code()
        }
    }
}

fn execute(command: &Command) -> Result<(), Error> {
    let settings = command.settings_files().read()?;
    let level = logging::level()?;
    match command {
        Command::Check(_) => check::print_settings(&settings),
        Command::Serve(_) => {
            logging::install(level);
            serve::run(settings)?;
        }
    }
    Ok(())
}
