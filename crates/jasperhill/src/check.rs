//! The `check` subcommand: prints the settings as the controller interprets them. The output format is
//! fixed.

use jasperhill_controller::Settings;
use jasperhill_wire::Micros;

/// Prints the settings to standard output, one topic per line.
pub fn print_settings(settings: &Settings) {
    let seconds = |duration: Micros| duration.as_secs_f64();
    println!(
        "member {} in {}, users and workers at {}, mesh at {}",
        settings.member, settings.zone, settings.bind, settings.mesh
    );
    for peer in &settings.peers {
        println!("peer {} at {}", peer.member, peer.address);
    }
    println!(
        "state service {}, cloud {}",
        settings.state_service_address, settings.cloud_address
    );
    println!(
        "kept to: {} requests and {} changes a second, {} bytes a value, {} changes a transaction",
        settings.state_rps,
        settings.state_write_rps,
        settings.value_bytes,
        settings.transaction_ops_max
    );
    println!(
        "{} partitions, zones {:?}, {} teams",
        settings.partition_count,
        settings.zones,
        settings.teams.len()
    );
    for (team, partition) in
        jasperhill_scheduler::sharding::split(&settings.teams, settings.partition_count)
    {
        println!("team {team} in partition {partition}");
    }
    println!(
        "workers report every {} s, lease {} s, cancellations within {} s",
        seconds(settings.heartbeat_interval),
        seconds(settings.lease_time),
        seconds(settings.cancellation_time)
    );
    println!(
        "session {} s, mirror at most {} s old",
        seconds(settings.session()),
        seconds(settings.cache_age_max())
    );
    let tuning = &settings.operator.tuning;
    println!(
        "uncertainty factor {}, headroom {}, idle machines kept {} s",
        tuning.uncertainty,
        tuning.headroom,
        seconds(tuning.idle_retention)
    );
}
