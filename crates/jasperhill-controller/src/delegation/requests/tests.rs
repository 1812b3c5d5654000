//! Tests of how delegation requests are split into parts and renewed.

use super::*;

/// Guards against three failures: the hosts of a large zone don't fit into one value of the store, a
/// part is rewritten although only other parts have changed, and the requests grow without bound.
#[test]
fn splits_hosts_into_parts_and_writes_only_due_parts() {
    let mut requests = DelegationRequests::default();
    let host = |n: usize| HostId::new(&format!("n-{n:06}"));
    let (now, interval) = (Micros::from_secs(100), Micros::from_secs(3));
    for n in 0..100 {
        assert_eq!(requests.add_host(&host(n), 44, now), AddHostOutcome::Added);
    }
    assert_eq!(
        requests.add_host(&host(7), 44, now),
        AddHostOutcome::Renewed
    );
    let due = requests.take_due(interval, now);
    let sizes: Vec<usize> = due.iter().map(|request| request.hosts.len()).collect();
    assert_eq!(sizes, [44, 44, 12]);
    let mut numbers: Vec<u64> = due.iter().map(|request| request.number).collect();
    numbers.dedup();
    assert_eq!(numbers.len(), 3);
    assert!(requests.take_due(interval, now).is_empty());
    // A new host causes a write of its own part only. After the interval, all parts are written again.
    requests.add_host(&host(100), 44, now);
    assert_eq!(requests.take_due(interval, now).len(), 1);
    assert_eq!(requests.take_due(interval, now + interval).len(), 3);
    // All hosts but one fall silent. The empty parts are due once more, so that their records are
    // deleted.
    let later = now + Micros::from_secs(60);
    requests.add_host(&host(50), 44, later);
    requests
        .parts
        .values_mut()
        .for_each(|part| part.may_be_stored = true);
    requests.remove_silent(Micros::from_secs(10), later);
    let due = requests.take_due(interval, later);
    let hosts_by_part: Vec<_> = due
        .iter()
        .map(|request| (request.part, request.hosts.len()))
        .collect();
    assert_eq!(hosts_by_part, [(0, 0), (1, 1), (2, 0)]);
    for n in 0..10_000 {
        requests.add_host(&host(n), 44, later);
    }
    assert_eq!(requests.hosts.len(), 44 * MAX_PARTS as usize);
}
