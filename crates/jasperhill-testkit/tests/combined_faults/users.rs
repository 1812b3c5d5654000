//! What users send: requests that are invalid, and more work than there is capacity.

use crate::support::{judge, met, millis, play, secs};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::faults::{Endpoint, Fault, LinkFault};
use jasperhill_testkit::scenario::Scale;

/// Odd requests, also during an outage, a refusal and with a controller that has just begun.
#[test]
fn invalid_requests_get_their_answers() {
    let plans = (0..4).map(|n| {
        let troubles = vec![
            (30, Fault::InvalidRequests(secs(170))),
            (70, Fault::StateOutage(secs(20))),
            (110, Fault::Crash(n % 3, millis(300))),
            (130, Fault::Refused((n + 1) % 3, secs(15))),
            (150, Fault::LateWrites(40, secs(30))),
        ];
        let plan = Scenario::small(180 + n as u64, 260, 60, troubles);
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.odd) > 800);
}

/// More work than room, urgent and not, over slow links, while a leader changes: everybody is served.
///
/// What happens: the largest gangs don't begin within four minutes. Why: they waited for their teams'
/// limits, of which arrays took every part that became free (`jobs that wait class=gang
/// reason=TeamLimit`, 72 to 252 s); that is mended. They still wait for on-demand machines, which can't be
/// had while spot machines rented for the flood hold the cloud's whole capacity (8 on-demand hosts
/// beside 63 spot ones in the partition of job-000003). See docs/incidents/team-limit-gangs.md.
#[test]
fn more_work_than_capacity_over_slow_links() {
    let slow = LinkFault::Slow(250);
    let nodes = || (0..3).map(Endpoint::Node);
    let links = nodes().flat_map(|from| {
        let to = [
            Endpoint::State,
            Endpoint::Zone("a".into()),
            Endpoint::Zone("b".into()),
        ];
        to.into_iter().map(move |to| (from.clone(), to))
    });
    let slow = |(from, to)| (30, Fault::Link(from, to, slow, secs(70)));
    let mut troubles: Vec<_> = links.map(slow).collect();
    troubles.push((50, Fault::Crash(1, millis(300))));
    let played = play(vec![(
        "day".to_owned(),
        Scenario {
            scale: Scale::Large,
            flood: (480, 15),
            ..Scenario::small(5, 300, 140, troubles)
        },
    )]);
    judge(&played);
    for (name, o) in &played {
        let least = [&o.least_class, &o.least_team, &o.least_largest];
        assert!(
            least.iter().all(|l| l.1 >= 0.5),
            "{name}: {least:?} {:?}",
            o.served
        );
        // There was more work than room.
        assert!(o.served["flood"] < 0.9, "{name}: {:?}", o.served);
    }
}
