//! Runs a scenario of a known failure with many seeds, or without one of its conditions, and prints
//! the outcomes. `LOG_LEVEL=debug` logs the controllers' actions, which is useful with a single
//! seed.

use clap::{Args, Parser, Subcommand};
use jasperhill_testkit::{
    Outcome, Scenario, run_all,
    scenario::Scale,
    stress::{CrashLoops, Overload},
};
use std::{process::ExitCode, str::FromStr, time::Duration};
use tracing::level_filters::LevelFilter;

/// Plays a scenario with these seeds.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// More urgent work than capacity, over slow links, while a controller restarts.
    Overload(OverloadArgs),
    /// Controllers that end again and again.
    CrashLoops(CrashLoopArgs),
}

#[derive(Args)]
struct Seeds {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 24)]
    count: u64,
}

#[derive(Args)]
struct OverloadArgs {
    #[command(flatten)]
    seeds: Seeds,
    /// Urgent arrays of 40 tasks.
    #[arg(long, default_value_t = 480)]
    arrays: usize,
    /// Leave out the slow links.
    #[arg(long)]
    without_slow_links: bool,
    /// Leave out the restart of a controller.
    #[arg(long)]
    without_restart: bool,
}

#[derive(Args)]
struct CrashLoopArgs {
    #[command(flatten)]
    seeds: Seeds,
    /// How many of the three controllers loop.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// How often each ends.
    #[arg(long, default_value_t = 25)]
    times: usize,
    /// How long each life lasts, in milliseconds.
    #[arg(long, default_value_t = 900)]
    life_ms: u64,
    /// How soon the next one begins, in milliseconds.
    #[arg(long, default_value_t = 50)]
    back_ms: u64,
    /// On 300 machines in place of 600.
    #[arg(long)]
    large: bool,
}

fn main() -> ExitCode {
    install_logging();
    let outcomes = match Cli::parse().command {
        Command::Overload(args) => run_seeds(&args.seeds, |seed| {
            let overload = Overload {
                arrays: args.arrays,
                slow_links: !args.without_slow_links,
                restart: !args.without_restart,
            };
            overload.scenario(seed)
        }),
        Command::CrashLoops(args) => {
            run_seeds(&args.seeds, |seed| crash_loops(&args).scenario(seed))
        }
    };
    for (name, outcome) in &outcomes {
        println!("{name}: {}", summary(outcome));
    }
    if outcomes
        .iter()
        .all(|(_, outcome)| outcome.violations.is_empty())
    {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn crash_loops(args: &CrashLoopArgs) -> CrashLoops {
    CrashLoops {
        nodes: args.nodes,
        times: args.times,
        life: Duration::from_millis(args.life_ms),
        back: Duration::from_millis(args.back_ms),
        scale: if args.large {
            Scale::Large
        } else {
            Scale::Fleet
        },
    }
}

fn run_seeds(seeds: &Seeds, scenario: impl Fn(u64) -> Scenario) -> Vec<(String, Outcome)> {
    let seeds = seeds.from..seeds.from + seeds.count;
    let scenarios: Vec<_> = seeds
        .map(|seed| (format!("seed {seed:4}"), scenario(seed)))
        .collect();
    let mut outcomes = run_all(&scenarios);
    outcomes.sort_by(|a, b| a.0.cmp(&b.0));
    outcomes
}

fn summary(outcome: &Outcome) -> String {
    format!(
        "broken {:?}, started {}, killed {}, least class {:?}, team {:?}, largest {:?}, \
         longest wait {:.1} s, state peak {}, unowned {:?}, unanswered {}",
        outcome.violations,
        outcome.started,
        outcome.killed,
        outcome.lowest_class_share,
        outcome.lowest_team_share,
        outcome.lowest_largest_jobs_share,
        outcome.longest_wait,
        outcome.state_peak_requests,
        outcome.unowned,
        outcome.unanswered.len(),
    )
}

/// Logs to stderr at the level of `LOG_LEVEL`, or not at all if the variable is unset or invalid.
fn install_logging() {
    let level = std::env::var("LOG_LEVEL").ok();
    let level = level.and_then(|level| LevelFilter::from_str(&level).ok());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level.unwrap_or(LevelFilter::OFF))
        .with_ansi(false)
        .without_time()
        .init();
}
