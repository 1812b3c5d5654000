//! Settings of the simulated controllers and limits of the simulated state service.

use super::NODE_COUNT;
use crate::{scenario::Scenario, state::Limits};
use jasperhill_controller::Settings;
use jasperhill_membership::LeaseTerms;
use jasperhill_wire::Micros;

/// Limits of the state service at the start, and the lower ones that apply once `Fault::LimitsFall`
/// has occurred, in scenarios with limits.
pub(crate) const STATE_SERVICE_LIMITS: [Limits; 2] = [
    Limits {
        value_bytes: 16 * 1024,
        txn_ops: 48,
        write_rps: 100.0,
    },
    Limits {
        value_bytes: 2 * 1024,
        txn_ops: 10,
        write_rps: 28.0,
    },
];

/// Builds the settings of the controller `node`. With `next_limits_announced`, the settings
/// announce the state service's lower limits.
pub(crate) fn controller_settings(
    node: usize,
    scenario: &Scenario,
    next_limits_announced: bool,
) -> Settings {
    let scale = scenario.scale;
    let mut text = format!(
        "member='worker-{node}'\nsite='{}'\nbind='10.0.0.{n}:8080'\nmesh_addr='10.0.0.{n}:8081'\n",
        if node == 1 { "b" } else { "a" },
        n = node + 1
    );
    for other in (0..NODE_COUNT).filter(|o| *o != node) {
        text += &format!(
            "[[others]]\nmember='worker-{other}'\nsite='{}'\nendpoint='10.0.0.{}:8081'\n",
            if other == 1 { "b" } else { "a" },
            other + 1
        );
    }
    text += "[services]\ncloud='10.2.0.2:8443'\nstate='10.2.0.1:2379'\n\
        [params]\nsize=3\nzones=['a','b']\ntime_bound_ms=100.0\n\
        [params.workers]\nreport_s=2.5\nlease_s=16.0\ngang_wait_s=30.0\ngang_peer_s=4.0\ncancel_s=46.0\n\
        [params.state]\nrps=250.0\nwrite_rps=100.0\nvalue_kb=16.0\ntxn_ops=48\n\
        [params.cloud]\nrps=4.0\nlist_lag_s=3.0\n[params.quota]\n";
    text += &format!("max_connections={}\n", scenario.socket_limit);
    if next_limits_announced {
        text += "[params.state.next]\nwrite_rps=28.0\nvalue_kb=2.0\ntxn_ops=10\n";
    }
    for team in 0..4 {
        text += &format!(
            "[[params.teams]]\nname='team-{team}'\ngpus=2.0\ngpus_max={:?}\n",
            scale.gpu_limit()
        );
    }
    text += "[[params.teams]]\nname='guest'\n";
    let mut settings = Settings::parse(&text).unwrap();
    if scenario.without_starvation_guard {
        settings.operator.tuning.minimum_share = 0.0;
    }
    settings.operator.session = scenario.session_s.map(Micros::from_secs);
    if scenario.without_freshness_bound {
        let (lease, cancel) = (Micros::from_secs(900), Micros::from_secs(3_600));
        settings.freshness_bounds = LeaseTerms {
            lease_duration: lease,
            cancellation_time: cancel,
        }
        .bounds()
        .unwrap();
    }
    if scenario.without_crash_loop_backoff {
        settings.operator.crash_loop_threshold = Some(0);
    }
    settings
}
