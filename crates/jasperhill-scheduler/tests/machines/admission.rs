//! The admission test, and jobs that wait for others.

use crate::support::{NOW, live, partition, request};
use jasperhill_scheduler::AdmissionDecision;
use jasperhill_scheduler::job::{DependencyStatus, Readiness};
use jasperhill_wire::user::Priority;
use jasperhill_wire::{JobId, Micros, Revision};

#[test]
fn the_admission_test_refuses_what_would_miss_and_books_what_fits() {
    let part = partition(1, false);
    let fits = request("job-1", "array", 2, 1.0, Some(20.0));
    let two_rounds = request("job-2", "array", 4, 1.0, Some(20.0));
    let hopeless = request("job-3", "array", 1, 1.0, Some(9.0));
    let none = (0, Micros::ZERO);
    assert_eq!(
        part.admit(&fits, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Admit
    );
    assert_eq!(
        part.admit(&two_rounds, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        part.admit(&hopeless, NOW, NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
    // Machines that can be had in time count as well.
    assert_eq!(
        part.admit(
            &two_rounds,
            NOW,
            NOW,
            Micros::ZERO,
            (1, Micros::from_secs(5))
        ),
        AdmissionDecision::Admit
    );
    // A retry does not get more time than the first try had.
    assert_eq!(
        part.admit(&fits, NOW - Micros::from_secs(15), NOW, Micros::ZERO, none),
        AdmissionDecision::Refuse
    );
}

/// A job that waits for others is not reserved, started, or counted as running unseen, whatever
/// room there is; once it may, it starts, and ranks by what the jobs after it leave it.
#[test]
fn a_waiting_job_holds_nothing_until_it_is_released() {
    let mut part = partition(2, false);
    let id = JobId::new("job-2");
    let place = |gate, due| DependencyStatus {
        readiness: gate,
        since: NOW,
        due,
        priority: Some(Priority::High),
    };
    for (shape, due) in [("array", Some(100.0)), ("array", None), ("ensemble", None)] {
        let job = request("job-2", shape, 2, 1.0, due);
        part.upsert_job(&job, Revision(0), NOW, &[], (0, NOW));
        part.set_dependency_status(&id, place(Readiness::Waiting, None));
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-2"), 0);
        assert!(part.jobs[&id].reserved.is_empty());
        let other = request("job-3", "array", 1, 1.0, None);
        part.upsert_job(&other, Revision(7), NOW, &[], (0, NOW));
        let soon = NOW + Micros::from_secs(5);
        part.set_dependency_status(&id, place(Readiness::Open, Some(soon)));
        let rank = |id: &str| part.jobs[&JobId::new(id)].rank();
        assert!(rank("job-2") < rank("job-3"));
        part.run_cycle(NOW);
        assert_eq!(live(&part, "job-2"), 2);
        part = partition(2, false);
    }
}

/// The last job of a pipeline is admitted by when it will be released, not as if it were now.
#[test]
fn admission_counts_from_the_release() {
    let part = partition(1, false);
    let last = request("job-2", "array", 2, 1.0, Some(30.0));
    let none = (0, Micros::ZERO);
    let admit = |release| part.admit(&last, NOW, NOW, Micros::from_secs(release), none);
    assert_eq!(admit(0), AdmissionDecision::Admit);
    assert_eq!(admit(18), AdmissionDecision::Admit);
    assert_eq!(admit(25), AdmissionDecision::Refuse);
}
