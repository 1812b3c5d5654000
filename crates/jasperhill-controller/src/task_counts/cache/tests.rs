use super::*;

/// Guards against counts that are shown for too long, and against growth without bound.
#[test]
fn counts_are_shown_for_a_while_and_bounded() {
    let mut cache = TaskCountCache::default();
    let counts = TaskCounts {
        running: 3,
        done: 4,
    };
    let now = Micros::from_secs(100);
    for n in 0..COUNTS_MAX + 50 {
        cache.insert(JobId::new(&format!("job-{n}")), counts, now);
    }
    assert_eq!(cache.known.len(), COUNTS_MAX);
    let id = JobId::new("job-7");
    assert_eq!(cache.get(&id, now + Micros::from_secs(1)), Some(counts));
    assert_eq!(cache.get(&id, now + FRESH_PERIOD), None);
    cache.insert(JobId::new("job-x"), counts, now + FRESH_PERIOD);
    assert_eq!(cache.known.len(), 1);
}
