//! Tests of job admission and of jobs that wait for their dependencies.

use crate::support::{NOW, live, new_partition, request};
use jasperhill_scheduler::AdmissionDecision;
use jasperhill_scheduler::job::{DependencyStatus, Readiness};
use jasperhill_wire::user::Priority;
use jasperhill_wire::{JobId, Micros, Revision};

#[test]
fn admits_jobs_that_meet_their_deadline_and_refuses_others() {
    let partition = new_partition(1, false);
    let fits = request("job-1", "array", 2, 1.0, Some(20.0));
    let two_rounds = request("job-2", "array", 4, 1.0, Some(20.0));
    let hopeless = request("job-3", "array", 1, 1.0, Some(9.0));
    let no_rentable_machines = (0, Micros::ZERO);
    assert_eq!(
        partition.admit(&fits, NOW, NOW, Micros::ZERO, no_rentable_machines),
        AdmissionDecision::Admit
    );
    assert_eq!(
        partition.admit(&two_rounds, NOW, NOW, Micros::ZERO, no_rentable_machines),
        AdmissionDecision::Refuse
    );
    assert_eq!(
        partition.admit(&hopeless, NOW, NOW, Micros::ZERO, no_rentable_machines),
        AdmissionDecision::Refuse
    );
    // Machines that can be rented in time count as capacity.
    assert_eq!(
        partition.admit(
            &two_rounds,
            NOW,
            NOW,
            Micros::ZERO,
            (1, Micros::from_secs(5))
        ),
        AdmissionDecision::Admit
    );
    // The deadline of a retried submission counts from the first attempt.
    assert_eq!(
        partition.admit(
            &fits,
            NOW - Micros::from_secs(15),
            NOW,
            Micros::ZERO,
            no_rentable_machines
        ),
        AdmissionDecision::Refuse
    );
}

/// A job that waits for its dependencies is not reserved, started or counted as possibly running on
/// unknown hosts, whatever capacity is free. Once released, the job starts, and its rank includes
/// the urgency inherited from its dependents.
#[test]
fn waiting_job_gets_no_resources_until_it_is_released() {
    let mut partition = new_partition(2, false);
    let id = JobId::new("job-2");
    let status = |readiness, due| DependencyStatus {
        readiness,
        since: NOW,
        due,
        priority: Some(Priority::High),
    };
    for (shape, due) in [("array", Some(100.0)), ("array", None), ("ensemble", None)] {
        let job = request("job-2", shape, 2, 1.0, due);
        partition.upsert_job(&job, Revision(0), NOW, &[], (0, NOW));
        partition.set_dependency_status(&id, status(Readiness::Waiting, None));
        partition.run_cycle(NOW);
        assert_eq!(live(&partition, "job-2"), 0);
        assert!(partition.jobs[&id].reserved.is_empty());
        let other = request("job-3", "array", 1, 1.0, None);
        partition.upsert_job(&other, Revision(7), NOW, &[], (0, NOW));
        let soon = NOW + Micros::from_secs(5);
        partition.set_dependency_status(&id, status(Readiness::Open, Some(soon)));
        let rank = |id: &str| partition.jobs[&JobId::new(id)].rank();
        assert!(rank("job-2") < rank("job-3"));
        partition.run_cycle(NOW);
        assert_eq!(live(&partition, "job-2"), 2);
        partition = new_partition(2, false);
    }
}

/// A job with dependencies is admitted by its expected release time instead of the current time.
#[test]
fn admission_uses_the_expected_release_time() {
    let partition = new_partition(1, false);
    let dependent_job = request("job-2", "array", 2, 1.0, Some(30.0));
    let no_rentable_machines = (0, Micros::ZERO);
    let admit = |release| {
        partition.admit(
            &dependent_job,
            NOW,
            NOW,
            Micros::from_secs(release),
            no_rentable_machines,
        )
    };
    assert_eq!(admit(0), AdmissionDecision::Admit);
    assert_eq!(admit(18), AdmissionDecision::Admit);
    assert_eq!(admit(25), AdmissionDecision::Refuse);
}
