//! The command line: the subcommands and the settings files that they read.
//!
//! The doc comments of [`Cli`], the variants of [`Command`] and the fields of [`SettingsFiles`] are the
//! text of `--help`.

use crate::operator_settings;
use clap::{Args, Parser, Subcommand};
use jasperhill_controller::{Settings, SettingsError};
use std::path::{Path, PathBuf};

/// A cluster scheduler: takes jobs from users, provisions machines, commands workers.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    /// The subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run one controller until it is terminated.
    Serve(SettingsFiles),
    /// Check the settings and print what was understood.
    Check(SettingsFiles),
}

/// The settings files of a controller.
#[derive(Args)]
pub struct SettingsFiles {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (protobuf text format).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

impl Command {
    /// Returns the settings files that the subcommand reads.
    pub fn settings_files(&self) -> &SettingsFiles {
        match self {
            Self::Serve(files) | Self::Check(files) => files,
        }
    }
}

impl SettingsFiles {
    /// Reads the settings files and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read (the error names its path), or if a setting is missing
    /// or invalid (the error names the setting).
    pub fn read(&self) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file(&self.config)?)?;
        if let Some(path) = &self.operator {
            settings.operator = operator_settings::parse(&read_file(path)?)?;
        }
        Ok(settings)
    }
}

/// Returns the content of a settings file.
///
/// # Errors
///
/// Returns an error that names the path if the file cannot be read.
fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError {
        field: path.display().to_string(),
        reason: error.to_string(),
    })
}
