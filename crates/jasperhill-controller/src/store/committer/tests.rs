use super::*;

fn response(revision: u64, failed: &[&str]) -> String {
    let response = TransactionResponse {
        revision: Revision(revision),
        failed: failed.iter().map(|key| (*key).to_owned()).collect(),
    };
    serde_json::to_string(&response).unwrap()
}

fn outcome(status: u16, body: &str) -> TransactionOutcome {
    TransactionOutcome::of(Ok(Response::new(status, body.as_bytes().to_vec())))
}

#[test]
fn an_executed_transaction_tells_its_revision_or_that_it_does_not() {
    let committed = outcome(200, &response(7, &[]));
    assert!(matches!(
        committed,
        TransactionOutcome::Committed(Revision(7))
    ));
    let unreadable = outcome(200, "{");
    assert!(matches!(
        unreadable,
        TransactionOutcome::CommittedUnreadable
    ));
}

#[test]
fn a_conflict_names_the_keys_whose_guards_failed() {
    let conflict = outcome(409, &response(7, &["a"]));
    assert!(matches!(conflict, TransactionOutcome::Conflict { failed } if failed == ["a"]));
    let unreadable = outcome(409, "{");
    assert!(matches!(unreadable, TransactionOutcome::Conflict { failed } if failed.is_empty()));
}

/// Guards against a write that is sent again although it may have been executed.
#[test]
fn only_what_was_surely_not_executed_is_retried() {
    assert!(matches!(outcome(429, ""), TransactionOutcome::RateLimited));
    assert!(matches!(outcome(503, ""), TransactionOutcome::Unavailable));
    assert!(matches!(outcome(500, ""), TransactionOutcome::Unknown));
    let failed = |error| TransactionOutcome::of(Err(error));
    assert!(matches!(
        failed(ClientError::NotSent),
        TransactionOutcome::NotSent
    ));
    assert!(matches!(
        failed(ClientError::NoSocket),
        TransactionOutcome::NotSent
    ));
    assert!(matches!(
        failed(ClientError::NoAnswer),
        TransactionOutcome::Unknown
    ));
    assert!(matches!(
        failed(ClientError::TooLong),
        TransactionOutcome::Unknown
    ));
}

#[test]
fn guards_that_writes_share_are_sent_once() {
    let write = |key: &str| {
        let guards = vec![Guard {
            key: "session".into(),
            version: Revision(3),
        }];
        let changes = vec![Change::Delete { key: key.into() }];
        let (reply, _) = oneshot::channel();
        let (limit, now) = (Micros::from_secs(1), Micros::from_secs(100));
        PendingWrite::new(WritePriority::Accept, guards, changes, limit, now, reply)
    };
    let transaction = merge(&[write("a"), write("b")]);
    assert_eq!(transaction.guards.len(), 1);
    assert_eq!(transaction.changes.len(), 2);
}
