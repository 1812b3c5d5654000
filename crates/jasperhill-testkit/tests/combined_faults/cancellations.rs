//! Cancellations that meet a refusal, a change of leader, hanging machines or the end of the job.

use crate::support::{AT, CANCEL, OUTAGE, OUTAGE_AT, judge, met, millis, play, refused, secs};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::days::cut_from_peers;
use jasperhill_testkit::faults::{Endpoint, Fault};
use jasperhill_testkit::outcome::{ConfirmedCancellation, Outcome};

/// Cancellations that others confirmed between the refusal and the outage, with tasks alive then.
fn between(outcome: &Outcome, node: usize, lead: u64) -> Vec<&ConfirmedCancellation> {
    let window = (OUTAGE_AT - lead) as f64..OUTAGE_AT as f64;
    let within =
        |c: &&ConfirmedCancellation| window.contains(&c.at) && c.node != node && c.alive > 0;
    outcome.cancels.iter().filter(within).collect()
}

/// Plays the day with each controller refused, three seeds each; how many such cancellations there were, and the
/// longest until the last task of one was gone.
fn refused_days(
    lead: u64,
    more: impl Fn(usize) -> Vec<(u64, Fault)>,
    change: impl Fn(&mut Scenario),
) -> (usize, f64, Vec<(String, Outcome)>) {
    let plans = (0..9).map(|n| {
        let node = n % 3;
        let mut plan = refused(1 + n as u64, node, lead, more(node));
        change(&mut plan);
        (format!("node {node} refused {lead} s before"), plan)
    });
    let played = play(plans.collect());
    let (mut fell, mut latest) = (0, 0.0f64);
    for (name, outcome) in &played {
        let node = name.split(' ').nth(1).unwrap().parse().unwrap();
        let there = between(outcome, node, lead);
        fell += there.len();
        latest = there.iter().map(|c| c.after).fold(latest, f64::max);
    }
    (fell, latest, played)
}

#[test]
fn jobs_cancelled_while_the_store_refuses_their_owner_end_in_time() {
    for lead in [1, 5, 12, 25] {
        let (fell, latest, played) = refused_days(lead, |_| Vec::new(), |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{lead}: {fell} {latest}");
        assert!(met(&played, |m| m.answered_refused) > 0);
    }
}

/// Nobody hears that it would let go: it answers for as long as it may.
#[test]
fn the_refused_owner_loses_its_peers() {
    for lead in [5, 12] {
        let cut = |node| cut_from_peers(node, OUTAGE_AT - lead, lead + OUTAGE);
        let (fell, latest, played) = refused_days(lead, cut, |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{lead}: {fell} {latest}");
        assert!(met(&played, |m| m.answered_refused) > 20);
    }
}

/// A session that outlives the bound on knowledge: only that bound is left. Without it the rule
/// breaks, by its name.
#[test]
fn a_long_session_does_not_delay_cancellations() {
    let cut = |node| cut_from_peers(node, OUTAGE_AT - 5, 5 + OUTAGE);
    let (fell, latest, played) = refused_days(5, cut, |plan| plan.session = Some(60));
    judge(&played);
    assert!(
        fell > 5 && latest > 20.0 && latest < CANCEL,
        "{fell} {latest}"
    );
    let (_, _, blind) = refused_days(5, cut, |plan| {
        plan.session = Some(60);
        plan.without_freshness_bound = true;
    });
    let broken = blind.iter().flat_map(|(_, o)| &o.broken);
    assert!(broken.into_iter().any(|b| b.starts_with("ran_cancelled")));
}

/// The refused owner stands still, the confirming controllers end, and machines hear nothing.
#[test]
fn a_refusal_and_an_outage_with_a_third_fault() {
    let others = |node| (0..3).filter(move |n| *n != node);
    let stands = |node| vec![(OUTAGE_AT - 2, Fault::Stall(node, secs(20)))];
    let end = |node| {
        let crash = |n| (OUTAGE_AT + 2, Fault::Crash(n, millis(300)));
        others(node).map(crash).collect()
    };
    let deaf = |_| vec![(OUTAGE_AT - 14, Fault::NotReceiving(40, secs(20)))];
    let more: [&dyn Fn(usize) -> Vec<(u64, Fault)>; 3] = [&stands, &end, &deaf];
    for more in more {
        let (fell, latest, played) = refused_days(12, more, |_| {});
        judge(&played);
        assert!(fell > 0 && latest < CANCEL, "{fell} {latest}");
    }
}

/// Jobs are called off, their machines hang at that moment and go on near the end of their lease,
/// while the old leader is refused alone or cut off with them.
#[test]
fn cancelled_while_its_machines_hang() {
    for (hang, lead) in [(6, 1), (13, 1), (13, 12), (25, 5)] {
        let plans = (0..3).map(|node| {
            let mut plan = refused(100 + node as u64, node, lead, Vec::new());
            let off = Fault::CancelNow(12, secs(hang));
            plan.faults.push((OUTAGE_AT - lead, off.clone()));
            plan.faults.push((OUTAGE_AT - 1, off));
            (format!("node {node}"), plan)
        });
        let played = play(plans.collect());
        judge(&played);
        assert!(met(&played, |m| m.called_off) > 8, "{hang} {lead}");
        assert!(met(&played, |m| m.hung) > 4, "{hang} {lead}");
        // Some go on within their lease, with tasks that are cancelled.
        assert!(
            hang > 14 || met(&played, |m| m.went_on) > 0,
            "{hang} {lead}"
        );
        let gone = |o: &Outcome| o.cancels.iter().map(|c| c.after).fold(0.0, f64::max);
        let latest = played.iter().map(|(_, o)| gone(o)).fold(0.0, f64::max);
        assert!(latest < CANCEL, "{hang} {lead}: {latest}");
    }
}

/// The old leader has lost the state service and the others, workers and users reach it, and jobs are
/// called off through the new one; some of their machines hang.
#[test]
fn cancelled_through_the_new_leader_while_the_old_one_is_cut_off() {
    let plans = (0..3).map(|node| {
        let mut troubles = cut_from_peers(node, AT, 90);
        troubles.push((
            AT,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(90)),
        ));
        for at in [1, 4, 12, 30] {
            troubles.push((AT + at, Fault::CancelNow(6, secs(at % 10))));
        }
        let mut plan = Scenario::small(110 + node as u64, 290, 60, troubles);
        plan.long_tasks = Some((AT - 4, AT + 60));
        (format!("node {node}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    assert!(met(&played, |m| m.called_off) > 30);
    for (name, o) in &played {
        assert!(
            o.latest_start < CANCEL && o.longest_silence.0 < 75.0,
            "{name}"
        );
    }
}

/// A cancellation, questions and repeated submissions meet the end of a job's last task: first with no
/// other trouble, then with lost answers, late writes and a change of leader.
#[test]
fn cancelled_at_the_moment_of_the_end() {
    let plans = (0..6).map(|n| {
        let mut troubles = vec![(20, Fault::CancelAtEnd(90, secs(180)))];
        if n % 3 > 0 {
            troubles.push((40, Fault::LateWrites(25, secs(120))));
        }
        if n % 3 > 1 {
            troubles.push((70, Fault::Crash(n % 2, millis(300))));
            troubles.push((100, Fault::Refused(2, secs(14))));
        }
        let plan = Scenario {
            uneven: 12,
            pipelines: (3, 30),
            ..Scenario::small(120 + n as u64, 260, 60, troubles)
        };
        (format!("day {n}"), plan)
    });
    let played = play(plans.collect());
    judge(&played);
    let (ended, done) = (met(&played, |m| m.at_end), met(&played, |m| m.at_end_done));
    // Both outcomes come about.
    assert!(ended > 60 && done > 10 && done < ended, "{ended} {done}");
}
