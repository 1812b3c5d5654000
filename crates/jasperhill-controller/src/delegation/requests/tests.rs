//! Hosts are requested in parts that fit.

use super::*;

/// Guards against a zone whose hosts no single value names, against parts that are rewritten
/// for others' changes, and against growth without bound.
#[test]
fn hosts_are_asked_for_in_parts_that_fit() {
    let mut requests = DelegationRequests::default();
    let host = |n: usize| HostId::new(&format!("n-{n:06}"));
    let (now, interval) = (Micros::from_secs(100), Micros::from_secs(3));
    for n in 0..100 {
        assert_eq!(requests.join(&host(n), 44, now), JoinOutcome::Added);
    }
    assert_eq!(requests.join(&host(7), 44, now), JoinOutcome::Renewed);
    let due = requests.due(interval, now);
    let sizes: Vec<usize> = due.iter().map(|request| request.hosts.len()).collect();
    assert_eq!(sizes, [44, 44, 12]);
    let mut numbers: Vec<u64> = due.iter().map(|request| request.number).collect();
    numbers.dedup();
    assert_eq!(numbers.len(), 3);
    assert!(requests.due(interval, now).is_empty());
    // One more is written with its part alone; after a while all are again.
    requests.join(&host(100), 44, now);
    assert_eq!(requests.due(interval, now).len(), 1);
    assert_eq!(requests.due(interval, now + interval).len(), 3);
    // All but one leave: the empty parts are written once more, to go.
    let later = now + Micros::from_secs(60);
    requests.join(&host(50), 44, later);
    requests
        .parts
        .values_mut()
        .for_each(|part| part.written = true);
    requests.remove_silent(Micros::from_secs(10), later);
    let due = requests.due(interval, later);
    let left: Vec<_> = due
        .iter()
        .map(|request| (request.part, request.hosts.len()))
        .collect();
    assert_eq!(left, [(0, 0), (1, 1), (2, 0)]);
    for n in 0..10_000 {
        requests.join(&host(n), 44, later);
    }
    assert_eq!(requests.hosts.len(), 44 * PARTS_MAX as usize);
}
