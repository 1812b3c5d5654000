//! Tests of how long redirects and probes are remembered.

use super::*;

fn host(n: usize) -> HostId {
    HostId::new(&format!("n-{n:06}"))
}

/// A worker that can't reach its owner returns soon after a redirect. If the return were not detected,
/// the worker would be redirected to the same owner again and again.
#[test]
fn detects_worker_that_returns_within_redirect_retention() {
    let mut relay = RelayState::default();
    let now = Micros::from_secs(100);
    assert!(!relay.record_redirect(host(1), now));
    assert!(relay.was_redirected(&host(1), now));
    assert!(!relay.was_redirected(&host(2), now));
    let later = now + REDIRECT_RETENTION;
    assert!(!relay.was_redirected(&host(1), later));
    assert!(!relay.record_redirect(host(1), later));
    assert!(relay.record_redirect(host(1), later + Micros::from_secs(1)));
}

/// Guards against unbounded growth of the recorded redirects.
#[test]
fn removes_old_redirects_above_limit() {
    let mut relay = RelayState::default();
    let now = Micros::from_secs(100);
    for n in 0..=MAX_RECORDED_REDIRECTS {
        relay.record_redirect(host(n), now);
    }
    relay.record_redirect(host(MAX_RECORDED_REDIRECTS + 1), now + REDIRECT_RETENTION);
    assert_eq!(relay.redirected_at.len(), 1);
}

/// Running probes are limited in number. A probe that is never answered must stop counting as running
/// after its timeout, or it would keep other probes from being sent.
#[test]
fn counts_only_recent_unanswered_probes_as_running() {
    let mut relay = RelayState::default();
    let (now, timeout) = (Micros::from_secs(100), Micros::from_secs(1));
    relay.record_probe_start(host(1), now);
    relay.record_probe_start(host(2), now);
    assert_eq!(relay.running_probe_count(timeout, now), 2);
    let answered = DirectProbe {
        updated_at: now,
        answered: true,
    };
    relay.probes.insert(host(2), answered);
    assert_eq!(relay.running_probe_count(timeout, now), 1);
    assert_eq!(relay.running_probe_count(timeout, now + timeout), 0);
}
