//! Compares the controllers' requests and answers with those of an earlier version; see
//! `scripts/same-behaviour`.

use clap::{Parser, Subcommand};
use jasperhill_testkit::behaviour::{
    differences, messages_of, play_days, read_digests, write_digests,
};
use std::{path::PathBuf, process::ExitCode};

/// Plays a fixed set of simulated days and compares all messages of the controllers.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compare all days with the digests in this file.
    Compare { file: PathBuf },
    /// Print the digests of all days.
    Digests,
    /// Print all messages of one day.
    Messages { day: String },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Compare { file } => compare(&file),
        Command::Digests => {
            print!("{}", write_digests(&play_days()));
            ExitCode::SUCCESS
        }
        Command::Messages { day } => match messages_of(&day) {
            Some(messages) => {
                for message in messages {
                    println!("{message}");
                }
                ExitCode::SUCCESS
            }
            None => fail(&format!("no such day: {day}")),
        },
    }
}

fn compare(file: &PathBuf) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", file.display())),
    };
    let earlier = match read_digests(&text) {
        Ok(digests) => digests,
        Err(malformed) => return fail(&format!("{}: line {}", file.display(), malformed.number)),
    };
    let played = play_days();
    let found = differences(&played, &earlier);
    for difference in &found {
        println!("{difference}");
    }
    let messages: usize = played.values().map(|day| day.messages).sum();
    println!(
        "{} days, {messages} messages, {} days differ",
        played.len(),
        found.len()
    );
    if found.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reports invalid usage or input on stderr and returns exit code 2.
fn fail(text: &str) -> ExitCode {
    eprintln!("same-behaviour: {text}");
    ExitCode::from(2)
}
