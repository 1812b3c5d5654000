//! What is remembered of heartbeats and commands that are relayed round a partition of the network.

use crate::relay::slots::RelaySlots;
use jasperhill_wire::{HostId, Micros};
use std::collections::BTreeMap;

/// A worker that was redirected to its owner and comes back within this time could not reach it: with all
/// others silent it comes back after ten seconds.
const REDIRECT_MEMORY: Micros = Micros::from_secs(12);
/// Redirected workers that are remembered before old entries are removed.
const REDIRECTS_MAX: usize = 1_000;
/// Workers sent to their owner that are remembered before old entries are removed.
const SENT_TO_OWNER_MAX: usize = 1_000;
/// Probes are remembered for so long.
const PROBE_MEMORY: Micros = Micros::from_secs(30);

/// The last probe of a worker from here.
#[derive(Clone, Copy)]
pub(crate) struct DirectProbe {
    /// When it was sent; once it was answered, when it was answered.
    pub at: Micros,
    /// Whether the worker answered.
    pub answered: bool,
}

/// What is remembered of relayed heartbeats and commands.
#[derive(Default)]
pub(crate) struct RelayState {
    /// Bounds on what is relayed at a time.
    pub slots: RelaySlots,
    /// When workers were last redirected to their owners.
    redirected: BTreeMap<HostId, Micros>,
    /// Workers whose heartbeats were relayed here and that were redirected here, and when.
    pub sent_to_owner: BTreeMap<HostId, Micros>,
    /// The last direct probes of workers whose heartbeats are relayed by another controller.
    pub probes: BTreeMap<HostId, DirectProbe>,
}

impl RelayState {
    /// Notes that a worker is redirected now. True if it was redirected a moment ago already, and so has
    /// come back.
    pub fn record_redirect(&mut self, host: HostId, now: Micros) -> bool {
        if self.redirected.len() > REDIRECTS_MAX {
            self.redirected.retain(|_, at| now - *at < REDIRECT_MEMORY);
        }
        let last = self.redirected.insert(host, now);
        last.is_some_and(|at| now - at < REDIRECT_MEMORY)
    }

    /// Whether a worker was redirected a moment ago: if its heartbeat comes here now, it has come back.
    pub fn was_redirected(&self, host: &HostId, now: Micros) -> bool {
        let last = self.redirected.get(host);
        last.is_some_and(|at| now - *at < REDIRECT_MEMORY)
    }

    /// Notes that a worker whose heartbeats were relayed is redirected here. `lease`: how long that is
    /// remembered.
    pub fn record_sent_to_owner(&mut self, host: HostId, lease: Micros, now: Micros) {
        if self.sent_to_owner.len() > SENT_TO_OWNER_MAX {
            self.sent_to_owner.retain(|_, at| now - *at < lease);
        }
        self.sent_to_owner.insert(host, now);
    }

    /// Notes that a worker is probed from now on.
    pub fn record_probe_start(&mut self, host: HostId, now: Micros) {
        self.probes.retain(|_, probe| now - probe.at < PROBE_MEMORY);
        let answered = false;
        self.probes.insert(host, DirectProbe { at: now, answered });
    }

    /// How many probes wait for an answer. `limit`: how long a probe may take.
    pub fn probes_running(&self, limit: Micros, now: Micros) -> usize {
        let running = |probe: &&DirectProbe| !probe.answered && now - probe.at < limit;
        self.probes.values().filter(running).count()
    }
}

#[cfg(test)]
mod tests;
