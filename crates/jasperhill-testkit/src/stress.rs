//! Parameterized scenarios of known failures, for runs with other seeds or without one of their
//! conditions: `cargo run --release -p jasperhill-testkit --bin play-scenario -- --help`.

use crate::{
    faults::{Endpoint, Fault, LinkFault},
    scenario::{Scale, Scenario},
};
use std::time::Duration;

/// Scenario with more urgent work than capacity, and optional further faults.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Number of urgent arrays of 40 tasks, submitted within 20 s.
    pub arrays: usize,
    /// Whether all links from controllers are slow for 70 s.
    pub slow_links: bool,
    /// Whether one controller crashes and is restarted after 0.3 s.
    pub restart: bool,
}

impl Overload {
    /// Returns the scenario with this seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let mut faults = Vec::new();
        if self.slow_links {
            faults.extend(slow_links(30, Duration::from_secs(70)));
        }
        if self.restart {
            faults.push((50, Fault::Crash(1, Duration::from_millis(300))));
        }
        Scenario {
            scale: Scale::Large,
            flood: (self.arrays, 15),
            ..Scenario::small(seed, 300, 140, faults)
        }
    }
}

/// Returns faults that add a latency of 250 ms each way to every link from a controller to the
/// state service and to workers.
fn slow_links(at: u64, duration: Duration) -> Vec<(u64, Fault)> {
    let zone = |name: &str| Endpoint::Zone(name.to_owned());
    let others = [Endpoint::State, zone("a"), zone("b")];
    let links = (0..3).flat_map(|node| others.clone().map(|to| (Endpoint::Node(node), to)));
    links
        .map(|(from, to)| (at, Fault::Link(from, to, LinkFault::Slow(250), duration)))
        .collect()
}

/// Scenario with controllers in crash loops.
#[derive(Clone, Copy, Debug)]
pub struct CrashLoops {
    /// Number of the three controllers that crash repeatedly.
    pub nodes: usize,
    /// Number of crashes of each controller.
    pub times: usize,
    /// Time that a controller runs after each restart.
    pub life: Duration,
    /// Time from a crash to the restart.
    pub back: Duration,
    /// Size of the deployment.
    pub scale: Scale,
}

impl CrashLoops {
    /// Returns the scenario with this seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let crash_loop = |node| Fault::CrashLoop {
            node,
            times: self.times,
            life: self.life,
            back: self.back,
        };
        let faults = (0..self.nodes).map(|node| (40, crash_loop(node))).collect();
        Scenario {
            scale: self.scale,
            socket_limit: 985,
            ..Scenario::small(seed, 90, 150, faults)
        }
    }
}
