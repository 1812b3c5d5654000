//! Scenarios of known failures with their parts to be chosen, for plays with other seeds and with a
//! part left out: `cargo run --release -p jasperhill-testkit --bin play-scenario -- --help`.

use crate::{
    faults::{Endpoint, Fault, LinkFault},
    scenario::{Scale, Scenario},
};
use std::time::Duration;

/// More urgent work than capacity, with what may come on top.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Urgent arrays of 40 tasks that come within 20 s.
    pub arrays: usize,
    /// All links of controllers are slow for 70 s.
    pub slow_links: bool,
    /// A controller ends and is back after 0.3 s.
    pub restart: bool,
}

impl Overload {
    /// The day with this seed.
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

/// Every link from a controller to the state service and to workers takes 250 ms longer each way.
fn slow_links(at: u64, lasts: Duration) -> Vec<(u64, Fault)> {
    let zone = |name: &str| Endpoint::Zone(name.to_owned());
    let others = [Endpoint::State, zone("a"), zone("b")];
    let links = (0..3).flat_map(|node| others.clone().map(|to| (Endpoint::Node(node), to)));
    links
        .map(|(from, to)| (at, Fault::Link(from, to, LinkFault::Slow(250), lasts)))
        .collect()
}

/// Controllers that end again and again.
#[derive(Clone, Copy, Debug)]
pub struct CrashLoops {
    /// How many of the three controllers do.
    pub nodes: usize,
    /// How often each ends.
    pub times: usize,
    /// How long each life lasts.
    pub life: Duration,
    /// How soon the next one begins.
    pub back: Duration,
    /// How large the deployment is.
    pub scale: Scale,
}

impl CrashLoops {
    /// The day with this seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let again = |node| Fault::CrashLoop {
            node,
            times: self.times,
            life: self.life,
            back: self.back,
        };
        let faults = (0..self.nodes).map(|node| (40, again(node))).collect();
        Scenario {
            scale: self.scale,
            sockets: 985,
            ..Scenario::small(seed, 90, 150, faults)
        }
    }
}
