//! The command line: reads settings, sets up logging, runs one controller.

mod own;

use clap::{Args, Parser, Subcommand};
use jasperhill_connections::Class;
use jasperhill_controller::{Clock, Controller, HttpTransport, Settings, SettingsError, transport};
use jasperhill_http::{Endpoint, ServerLimits, serve};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::LocalSet,
};
use tracing::level_filters::LevelFilter;

/// A cluster scheduler: takes jobs from users, rents machines, commands workers.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one controller until it is ended.
    Serve(Files),
    /// Check the settings and print what was understood.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (protobuf text format).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// Settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// The addresses can't be bound, or the runtime can't start.
const EXIT_START: u8 = 1;

impl Files {
    fn read(&self) -> Result<Settings, SettingsError> {
        let open = |path: &PathBuf| {
            std::fs::read_to_string(path).map_err(|e| SettingsError {
                field: path.display().to_string(),
                reason: e.to_string(),
            })
        };
        let mut settings = Settings::parse(&open(&self.config)?)?;
        if let Some(path) = &self.operator {
            settings.operator = own::parse(&open(path)?)?;
        }
        Ok(settings)
    }
}

fn log_level() -> Result<LevelFilter, SettingsError> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("") | Ok("info") => Ok(LevelFilter::INFO),
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("warn") => Ok(LevelFilter::WARN),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(SettingsError {
            field: "LOG_LEVEL".to_owned(),
            reason: format!("none of error, warn, info, debug: {other}"),
        }),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let (settings, level) = match files.read().and_then(|s| Ok((s, log_level()?))) {
        Ok(found) => found,
        Err(error) => {
            eprintln!("jasperhill: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match cli.command {
        Command::Check(_) => {
            describe(&settings);
            ExitCode::SUCCESS
        }
        Command::Serve(_) => {
            tracing_subscriber::fmt()
                .with_writer(std::io::stderr)
                .with_max_level(level)
                .with_ansi(false)
                .without_time()
                .init();
            match run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("jasperhill: {error}");
                    ExitCode::from(EXIT_START)
                }
            }
        }
    }
}

fn describe(s: &Settings) {
    let secs = |m: jasperhill_wire::Micros| m.as_secs_f64();
    println!(
        "member {} in {}, users and workers at {}, mesh at {}",
        s.member, s.site, s.bind, s.mesh
    );
    for peer in &s.peers {
        println!("peer {} at {}", peer.member, peer.address);
    }
    println!("state service {}, cloud {}", s.state, s.cloud);
    println!(
        "kept to: {} requests and {} changes a second, {} bytes a value, {} changes a transaction",
        s.state_rps, s.state_write_rps, s.value_bytes, s.txn_ops
    );
    println!(
        "{} partitions, zones {:?}, {} teams",
        s.size,
        s.zones,
        s.teams.len()
    );
    for (team, partition) in jasperhill_scheduler::sharding::split(&s.teams, s.size) {
        println!("team {team} in partition {partition}");
    }
    println!(
        "workers report every {} s, lease {} s, cancellations within {} s",
        secs(s.heartbeat_interval),
        secs(s.lease),
        secs(s.cancel)
    );
    println!(
        "session {} s, mirror at most {} s old",
        secs(s.session()),
        secs(s.cache_age_max())
    );
    let t = &s.operator.tuning;
    println!(
        "uncertainty factor {}, headroom {}, idle machines kept {} s",
        t.uncertainty,
        t.headroom,
        secs(t.idle_keep)
    );
}

/// How long an address that is in use is tried again.
const BIND_FOR: Duration = Duration::from_secs(10);
const BIND_PAUSE: Duration = Duration::from_millis(50);

fn bind(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Guards against a process that ends because its former life has not quite ended: started again
/// within a fraction of a second, its port may still be in use.
async fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let by = tokio::time::Instant::now() + BIND_FOR;
    loop {
        match bind(address, backlog) {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse
                    && tokio::time::Instant::now() < by =>
            {
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

fn run(settings: Settings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(async move {
        // Guards against a process that stands still while a whole fleet knocks: what waits to be
        // accepted counts as its sockets, and is beyond its own account.
        let backlog = (settings.max_connections / 17).clamp(16, 256) as u32;
        let users = listen(settings.bind, backlog).await?;
        let peers = listen(settings.mesh, backlog / 4).await?;
        tracing::info!(member = %settings.member, bind = %settings.bind, "jasperhill serves");
        let sockets = transport::new_connection_tracker(&settings);
        // A worker reports after a report's time and a quarter at the latest; then it has gone
        // elsewhere, and its end of the connection may be beyond a cut.
        let limits = ServerLimits {
            idle_worker: Duration::from_micros(settings.heartbeat_interval.scale(2.5).0),
            ..ServerLimits::default()
        };
        let endpoint = Endpoint {
            connections: sockets.clone(),
            class_of: transport::class_of,
            initial_class: Class::Accepted,
        };
        let mesh_endpoint = Endpoint {
            connections: sockets.clone(),
            class_of: |_| Class::Mesh,
            initial_class: Class::Mesh,
        };
        let net = Rc::new(HttpTransport::new(&settings, sockets));
        let controller = Rc::new(Controller::start(settings, Clock::system(), net));
        let mesh = controller.clone();
        tokio::join!(
            serve(users, endpoint, limits, move |request| controller
                .handle(request)),
            serve(peers, mesh_endpoint, limits, move |request| mesh
                .handle_mesh(request)),
        );
        Ok(())
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A former life that has not quite ended holds the port for a while.
    #[test]
    fn an_address_in_use_is_tried_again() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let former = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = former.local_addr().unwrap();
            let ends = async {
                tokio::time::sleep(BIND_PAUSE * 3).await;
                drop(former);
            };
            let (bound, ()) = tokio::join!(listen(address, 16), ends);
            assert_eq!(bound.unwrap().local_addr().unwrap(), address);
            // One that can't be had at all is no matter of time.
            let foreign: SocketAddr = "192.0.2.1:1".parse().unwrap();
            assert!(listen(foreign, 16).await.is_err());
        });
    }
}
