//! Redirects and probes are remembered for as long as they matter, and no longer.

use super::*;

fn host(n: usize) -> HostId {
    HostId::new(&format!("n-{n:06}"))
}

/// Guards against a worker that is redirected again and again to an owner that it does not reach.
#[test]
fn a_worker_that_comes_back_soon_is_recognised() {
    let mut relay = RelayState::default();
    let now = Micros::from_secs(100);
    assert!(!relay.record_redirect(host(1), now));
    assert!(relay.was_redirected(&host(1), now));
    assert!(!relay.was_redirected(&host(2), now));
    let later = now + REDIRECT_MEMORY;
    assert!(!relay.was_redirected(&host(1), later));
    assert!(!relay.record_redirect(host(1), later));
    assert!(relay.record_redirect(host(1), later + Micros::from_secs(1)));
}

/// Guards against growth without bound.
#[test]
fn old_redirects_are_removed() {
    let mut relay = RelayState::default();
    let now = Micros::from_secs(100);
    for n in 0..=REDIRECTS_MAX {
        relay.record_redirect(host(n), now);
    }
    relay.record_redirect(host(REDIRECTS_MAX + 1), now + REDIRECT_MEMORY);
    assert_eq!(relay.redirected.len(), 1);
}

/// Guards against probes without an answer that keep others from being sent.
#[test]
fn only_recent_unanswered_probes_count_as_running() {
    let mut relay = RelayState::default();
    let (now, limit) = (Micros::from_secs(100), Micros::from_secs(1));
    relay.record_probe_start(host(1), now);
    relay.record_probe_start(host(2), now);
    assert_eq!(relay.probes_running(limit, now), 2);
    let answered = DirectProbe {
        at: now,
        answered: true,
    };
    relay.probes.insert(host(2), answered);
    assert_eq!(relay.probes_running(limit, now), 1);
    assert_eq!(relay.probes_running(limit, now + limit), 0);
}
