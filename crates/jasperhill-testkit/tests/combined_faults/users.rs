//! Invalid requests of users, and more submitted work than the cluster has capacity for.

use crate::support::{assert_invariants_hold, millis, run_scenarios, secs, total_count};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::{Endpoint, Fault, LinkFault};
use jasperhill_testkit::scenario::Scale;

/// Guards against invalid requests that get no verdict during an outage of the state service, a
/// refusal of one controller, or right after a controller restart.
#[test]
fn invalid_requests_are_answered_during_faults() {
    let scenarios = (0..4).map(|n| {
        let faults = vec![
            (30, Fault::InvalidRequests(secs(170))),
            (70, Fault::StateOutage(secs(20))),
            (110, Fault::Crash(n % 3, millis(300))),
            (130, Fault::Refused((n + 1) % 3, secs(15))),
            (150, Fault::LateWrites(40, secs(30))),
        ];
        let scenario = Scenario::small(180 + n as u64, 260, 60, faults);
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.invalid_requests_answered) > 800);
}

/// Every class, every team and each class's largest jobs are served when urgent and other work
/// exceeds the capacity, links are slow and a controller crashes.
///
/// Known failure: the largest gangs do not start within four minutes. One cause is fixed: gangs
/// waited for their teams' limits because arrays took each freed share (`jobs that wait class=gang
/// reason=TeamLimit`, 72 to 252 s). The other remains: gangs wait for on-demand machines, which
/// cannot be rented while spot machines rented for the flood hold the cloud's whole capacity (8
/// on-demand hosts beside 63 spot hosts in the partition of job-000003). See
/// docs/incidents/team-limit-gangs.md.
#[test]
fn more_work_than_capacity_over_slow_links() {
    let slow_link = LinkFault::Slow(250);
    let nodes = || (0..3).map(Endpoint::Node);
    let links = nodes().flat_map(|from| {
        let to = [
            Endpoint::State,
            Endpoint::Zone("a".into()),
            Endpoint::Zone("b".into()),
        ];
        to.into_iter().map(move |to| (from.clone(), to))
    });
    let slow_from_30_s = |(from, to)| (30, Fault::Link(from, to, slow_link, secs(70)));
    let mut faults: Vec<_> = links.map(slow_from_30_s).collect();
    faults.push((50, Fault::Crash(1, millis(300))));
    let runs = run_scenarios(vec![(
        "seed 5".to_owned(),
        Scenario {
            scale: Scale::Large,
            flood: (480, 15),
            ..Scenario::small(5, 300, 140, faults)
        },
    )]);
    assert_invariants_hold(&runs);
    for (name, outcome) in &runs {
        let lowest_served_shares = [
            &outcome.lowest_class_share,
            &outcome.lowest_team_share,
            &outcome.lowest_largest_jobs_share,
        ];
        assert!(
            lowest_served_shares.iter().all(|share| share.1 >= 0.5),
            "{name}: {lowest_served_shares:?} {:?}",
            outcome.started_shares
        );
        // The flood was not served in full, so the work did exceed the capacity.
        assert!(
            outcome.started_shares["flood"] < 0.9,
            "{name}: {:?}",
            outcome.started_shares
        );
    }
}
