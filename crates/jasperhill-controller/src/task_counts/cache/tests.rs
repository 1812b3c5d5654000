use super::*;

/// Guards against counts that are served for too long, and against unbounded growth of the cache.
#[test]
fn counts_expire_after_ttl_and_cache_size_is_bounded() {
    let mut cache = TaskCountCache::default();
    let counts = TaskCounts {
        running: 3,
        done: 4,
    };
    let now = Micros::from_secs(100);
    for n in 0..COUNTS_MAX + 50 {
        cache.insert(JobId::new(&format!("job-{n}")), counts, now);
    }
    assert_eq!(cache.counts_by_job.len(), COUNTS_MAX);
    let id = JobId::new("job-7");
    assert_eq!(cache.get(&id, now + Micros::from_secs(1)), Some(counts));
    assert_eq!(cache.get(&id, now + COUNTS_TTL), None);
    cache.insert(JobId::new("job-x"), counts, now + COUNTS_TTL);
    assert_eq!(cache.counts_by_job.len(), 1);
}
