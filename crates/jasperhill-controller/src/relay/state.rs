//! State of the relay module: recent redirects and probes of workers, and the limits on what is
//! relayed.

use crate::relay::slots::RelaySlots;
use jasperhill_wire::{HostId, Micros};
use std::collections::BTreeMap;

/// The time for which a redirect is remembered. A worker that returns within this time could not reach
/// the owner that it was redirected to: a worker that gets no answer from any other controller returns
/// after ten seconds.
const REDIRECT_RETENTION: Micros = Micros::from_secs(12);
/// The number of recorded redirects to owners above which old entries are removed.
const MAX_RECORDED_REDIRECTS: usize = 1_000;
/// The number of recorded redirects to this controller above which old entries are removed.
const MAX_RECORDED_REDIRECTS_HERE: usize = 1_000;
/// The time for which the last probe of a worker is remembered.
const PROBE_RETENTION: Micros = Micros::from_secs(30);

/// The last probe that this controller sent to a worker.
#[derive(Clone, Copy)]
pub(crate) struct DirectProbe {
    /// The time at which the probe was sent or, if the worker has answered, at which the answer
    /// arrived; by the monotonic clock.
    pub updated_at: Micros,
    /// True if the worker has answered the probe.
    pub answered: bool,
}

/// State of the redirects, probes and relays by which this controller gets around network partitions.
#[derive(Default)]
pub(crate) struct RelayState {
    /// Limits on the heartbeats and commands that are relayed or held back at the same time.
    pub slots: RelaySlots,
    /// The time at which each worker was last redirected to its owner, by the monotonic clock.
    redirected_at: BTreeMap<HostId, Micros>,
    /// The time at which each worker was last redirected to this controller in the response to a
    /// relayed heartbeat, by the monotonic clock.
    pub redirected_here_at: BTreeMap<HostId, Micros>,
    /// The last direct probes of workers whose heartbeats are relayed by another controller.
    pub probes: BTreeMap<HostId, DirectProbe>,
}

impl RelayState {
    /// Records that a worker is redirected now. Returns true if the worker had already been redirected
    /// within `REDIRECT_RETENTION`, and so has returned to this controller.
    pub fn record_redirect(&mut self, host: HostId, now: Micros) -> bool {
        if self.redirected_at.len() > MAX_RECORDED_REDIRECTS {
            self.redirected_at
                .retain(|_, at| now - *at < REDIRECT_RETENTION);
        }
        let last_redirected_at = self.redirected_at.insert(host, now);
        last_redirected_at.is_some_and(|at| now - at < REDIRECT_RETENTION)
    }

    /// Returns whether a worker was redirected within `REDIRECT_RETENTION`. A worker whose heartbeat
    /// arrives at this controller within that time has returned.
    pub fn was_redirected(&self, host: &HostId, now: Micros) -> bool {
        let last_redirected_at = self.redirected_at.get(host);
        last_redirected_at.is_some_and(|at| now - *at < REDIRECT_RETENTION)
    }

    /// Records that a worker whose heartbeats were relayed is redirected to this controller now. The
    /// record is kept for at least `lease`, the lease duration of workers.
    pub fn record_redirect_here(&mut self, host: HostId, lease: Micros, now: Micros) {
        if self.redirected_here_at.len() > MAX_RECORDED_REDIRECTS_HERE {
            self.redirected_here_at.retain(|_, at| now - *at < lease);
        }
        self.redirected_here_at.insert(host, now);
    }

    /// Records that a probe of a worker starts now, and removes old probes.
    pub fn record_probe_start(&mut self, host: HostId, now: Micros) {
        self.probes
            .retain(|_, probe| now - probe.updated_at < PROBE_RETENTION);
        let probe = DirectProbe {
            updated_at: now,
            answered: false,
        };
        self.probes.insert(host, probe);
    }

    /// Returns the number of probes that still wait for an answer. A probe that is older than `timeout`
    /// counts as finished.
    pub fn running_probe_count(&self, timeout: Micros, now: Micros) -> usize {
        let is_running = |probe: &&DirectProbe| !probe.answered && now - probe.updated_at < timeout;
        self.probes.values().filter(is_running).count()
    }
}

#[cfg(test)]
mod tests;
