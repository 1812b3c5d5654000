use super::*;
use jasperhill_wire::store::Change;

const NOW: Micros = Micros::from_secs(100);
const SEND_TIMEOUT: Micros = Micros::from_secs(1);

fn queue(rate: f64, changes_max: usize) -> CommitQueue {
    CommitQueue::new(TokenBucket::new(rate, rate, NOW), changes_max)
}

fn new_write(
    priority: WritePriority,
    key: &str,
) -> (PendingWrite, oneshot::Receiver<WriteOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let changes = vec![Change::Delete { key: key.into() }];
    let write = PendingWrite::new(priority, Vec::new(), changes, SEND_TIMEOUT, NOW, reply);
    (write, outcome)
}

fn push(queue: &mut CommitQueue, priority: WritePriority, key: &str) {
    queue.push(new_write(priority, key).0);
}

fn keys(writes: &[PendingWrite]) -> Vec<&str> {
    writes.iter().map(PendingWrite::first_key).collect()
}

#[test]
fn batches_writes_by_priority_then_arrival() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Role, "b");
    push(&mut queue, WritePriority::Accept, "c");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b", "a", "c"]);
    assert!(queue.is_empty());
}

#[test]
fn splits_writes_to_same_key_into_separate_transactions() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Accept, "a");
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a", "b"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
}

#[test]
fn defers_change_of_key_guarded_by_another_write() {
    let mut queue = queue(100.0, 10);
    let (mut guarded, _outcome) = new_write(WritePriority::Accept, "a");
    guarded.guards.push(Guard {
        key: "b".into(),
        version: Revision(1),
    });
    queue.push(guarded);
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
}

#[test]
fn drops_write_after_its_deadline() {
    let mut queue = queue(100.0, 10);
    push(&mut queue, WritePriority::Accept, "a");
    let next_batch = queue.next_batch(NOW + SEND_TIMEOUT);
    assert_eq!((next_batch.expired.len(), next_batch.writes.len()), (1, 0));
}

#[test]
fn background_write_leaves_reserve_until_reserve_expires() {
    let mut queue = queue(10.0, 10);
    queue.charge(6, NOW);
    let (mut write, _outcome) = new_write(WritePriority::Background, "a");
    write.deadline = NOW + Micros::from_secs(60);
    queue.push(write);
    assert!(queue.wait_for_budget(NOW).is_some());
    assert!(queue.next_batch(NOW).writes.is_empty());
    push(&mut queue, WritePriority::Accept, "b");
    assert_eq!(queue.wait_for_budget(NOW), None);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
    let after_reserve_expiry = NOW + RESERVE_EXPIRY + Micros::from_millis(1);
    queue.charge(15, after_reserve_expiry);
    assert_eq!(keys(&queue.next_batch(after_reserve_expiry).writes), ["a"]);
}

#[test]
fn sends_rejected_writes_unbatched_and_halves_transaction_size() {
    let mut queue = queue(100.0, 10);
    for key in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"] {
        push(&mut queue, WritePriority::Accept, key);
    }
    let rejected = queue.next_batch(NOW).writes;
    assert_eq!(rejected.len(), 10);
    assert_eq!(queue.shrink_transactions(rejected.len()), 5);
    queue.requeue_unbatched(rejected);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["a"]);
    assert_eq!(keys(&queue.next_batch(NOW).writes), ["b"]);
}

#[test]
fn retry_delay_doubles_up_to_maximum_while_rate_limited() {
    let mut queue = queue(100.0, 10);
    assert_eq!(queue.next_retry_delay(false), RETRY_DELAY_INITIAL);
    assert_eq!(queue.next_retry_delay(true), RETRY_DELAY_INITIAL);
    assert_eq!(queue.next_retry_delay(true), RETRY_DELAY_INITIAL.scale(2.0));
    for _ in 0..5 {
        queue.next_retry_delay(true);
    }
    assert_eq!(queue.next_retry_delay(true), RETRY_DELAY_MAX);
    queue.reset_retry_delay();
    assert_eq!(queue.next_retry_delay(true), RETRY_DELAY_INITIAL);
}
