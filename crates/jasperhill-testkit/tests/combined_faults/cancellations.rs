//! Cancellations that coincide with a refusal by the state service, a change of leader, hanging
//! machines or the end of the job.

use crate::support::{
    CANCEL_LIMIT_S, FAULT_START_S, OUTAGE_DURATION_S, OUTAGE_START_S, assert_invariants_hold,
    millis, refusal_then_outage, run_scenarios, secs, total_count,
};
use jasperhill_testkit::Scenario;
use jasperhill_testkit::days::cut_from_peers;
use jasperhill_testkit::faults::{Endpoint, Fault};
use jasperhill_testkit::outcome::{ConfirmedCancellation, Outcome};

/// Returns the cancellations of jobs with running tasks that controllers other than `node`
/// confirmed between the refusal of `node` and the outage.
fn cancellations_before_outage(
    outcome: &Outcome,
    node: usize,
    lead_s: u64,
) -> Vec<&ConfirmedCancellation> {
    let window = (OUTAGE_START_S - lead_s) as f64..OUTAGE_START_S as f64;
    let in_window = |cancel: &&ConfirmedCancellation| {
        window.contains(&cancel.at) && cancel.node != node && cancel.alive > 0
    };
    outcome.cancels.iter().filter(in_window).collect()
}

/// Runs a scenario of a refusal and an outage with each controller refused in turn, three seeds
/// each. Returns the number of cancellations confirmed by other controllers before the outage, the
/// longest time in seconds until the last task of such a job ended, and the outcomes.
fn run_refusals(
    lead_s: u64,
    extra_faults: impl Fn(usize) -> Vec<(u64, Fault)>,
    adjust: impl Fn(&mut Scenario),
) -> (usize, f64, Vec<(String, Outcome)>) {
    let scenarios = (0..9).map(|n| {
        let node = n % 3;
        let mut scenario = refusal_then_outage(1 + n as u64, node, lead_s, extra_faults(node));
        adjust(&mut scenario);
        (format!("node {node} refused {lead_s} s before"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    let (mut cancellation_count, mut longest_cancel_s) = (0, 0.0f64);
    for (name, outcome) in &runs {
        let node = name.split(' ').nth(1).unwrap().parse().unwrap();
        let confirmed = cancellations_before_outage(outcome, node, lead_s);
        cancellation_count += confirmed.len();
        longest_cancel_s = confirmed
            .iter()
            .map(|cancel| cancel.after)
            .fold(longest_cancel_s, f64::max);
    }
    (cancellation_count, longest_cancel_s, runs)
}

#[test]
fn jobs_cancelled_while_the_store_refuses_their_owner_end_in_time() {
    for lead_s in [1, 5, 12, 25] {
        let (cancellation_count, longest_cancel_s, runs) =
            run_refusals(lead_s, |_| Vec::new(), |_| {});
        assert_invariants_hold(&runs);
        assert!(
            cancellation_count > 0 && longest_cancel_s < CANCEL_LIMIT_S,
            "{lead_s}: {cancellation_count} {longest_cancel_s}"
        );
        assert!(total_count(&runs, |counts| counts.heartbeats_answered_while_refused) > 0);
    }
}

/// Guards against cancelled tasks that run on because the refused owner cannot tell its peers that
/// it would release its roles: the owner answers heartbeats for as long as it is entitled to.
#[test]
fn jobs_end_in_time_when_the_refused_owner_also_loses_its_peers() {
    for lead_s in [5, 12] {
        let cuts_of =
            |node| cut_from_peers(node, OUTAGE_START_S - lead_s, lead_s + OUTAGE_DURATION_S);
        let (cancellation_count, longest_cancel_s, runs) = run_refusals(lead_s, cuts_of, |_| {});
        assert_invariants_hold(&runs);
        assert!(
            cancellation_count > 0 && longest_cancel_s < CANCEL_LIMIT_S,
            "{lead_s}: {cancellation_count} {longest_cancel_s}"
        );
        assert!(total_count(&runs, |counts| counts.heartbeats_answered_while_refused) > 20);
    }
}

/// Guards against cancelled tasks that run on when the owner's session lasts longer than the bound
/// on the age of the knowledge that a lease renewal rests on. Only that bound stops the renewals
/// then: without the bound the rule `ran_cancelled` is broken.
#[test]
fn a_long_session_does_not_delay_cancellations() {
    let cuts_of = |node| cut_from_peers(node, OUTAGE_START_S - 5, 5 + OUTAGE_DURATION_S);
    let (cancellation_count, longest_cancel_s, runs) =
        run_refusals(5, cuts_of, |scenario| scenario.session_s = Some(60));
    assert_invariants_hold(&runs);
    assert!(
        cancellation_count > 5 && longest_cancel_s > 20.0 && longest_cancel_s < CANCEL_LIMIT_S,
        "{cancellation_count} {longest_cancel_s}"
    );
    let (_, _, without_bound) = run_refusals(5, cuts_of, |scenario| {
        scenario.session_s = Some(60);
        scenario.without_freshness_bound = true;
    });
    let broken = without_bound
        .iter()
        .flat_map(|(_, outcome)| &outcome.violations);
    assert!(broken.into_iter().any(|b| b.starts_with("ran_cancelled")));
}

/// Jobs end in time although, beside the refusal and the outage, the refused owner stalls, the
/// other controllers crash, or machines receive nothing.
#[test]
fn jobs_end_in_time_after_a_refusal_an_outage_and_a_third_fault() {
    let others = |node| (0..3).filter(move |n| *n != node);
    let owner_stalls = |node| vec![(OUTAGE_START_S - 2, Fault::Stall(node, secs(20)))];
    let others_crash = |node| {
        let crash = |n| (OUTAGE_START_S + 2, Fault::Crash(n, millis(300)));
        others(node).map(crash).collect()
    };
    let machines_receive_nothing =
        |_| vec![(OUTAGE_START_S - 14, Fault::NotReceiving(40, secs(20)))];
    let third_faults: [&dyn Fn(usize) -> Vec<(u64, Fault)>; 3] =
        [&owner_stalls, &others_crash, &machines_receive_nothing];
    for third_fault in third_faults {
        let (cancellation_count, longest_cancel_s, runs) = run_refusals(12, third_fault, |_| {});
        assert_invariants_hold(&runs);
        assert!(
            cancellation_count > 0 && longest_cancel_s < CANCEL_LIMIT_S,
            "{cancellation_count} {longest_cancel_s}"
        );
    }
}

/// Guards against cancelled tasks that run on because their machines hang at the moment of the
/// cancellation and resume near the end of their lease, while the state service refuses the old
/// leader alone or fails for all controllers.
#[test]
fn jobs_cancelled_while_their_machines_hang_end_in_time() {
    for (hang_s, lead_s) in [(6, 1), (13, 1), (13, 12), (25, 5)] {
        let scenarios = (0..3).map(|node| {
            let mut scenario = refusal_then_outage(100 + node as u64, node, lead_s, Vec::new());
            let cancel_now = Fault::CancelNow(12, secs(hang_s));
            scenario
                .faults
                .push((OUTAGE_START_S - lead_s, cancel_now.clone()));
            scenario.faults.push((OUTAGE_START_S - 1, cancel_now));
            (format!("node {node}"), scenario)
        });
        let runs = run_scenarios(scenarios.collect());
        assert_invariants_hold(&runs);
        assert!(
            total_count(&runs, |counts| counts.cancelled_while_running) > 8,
            "{hang_s} {lead_s}"
        );
        assert!(
            total_count(&runs, |counts| counts.hung) > 4,
            "{hang_s} {lead_s}"
        );
        // Some machines resume within their lease while they still have cancelled tasks.
        assert!(
            hang_s > 14 || total_count(&runs, |counts| counts.resumed_within_lease) > 0,
            "{hang_s} {lead_s}"
        );
        let longest = |outcome: &Outcome| {
            outcome
                .cancels
                .iter()
                .map(|cancel| cancel.after)
                .fold(0.0, f64::max)
        };
        let longest_cancel_s = runs
            .iter()
            .map(|(_, outcome)| longest(outcome))
            .fold(0.0, f64::max);
        assert!(
            longest_cancel_s < CANCEL_LIMIT_S,
            "{hang_s} {lead_s}: {longest_cancel_s}"
        );
    }
}

/// Guards against tasks of a cancelled job that start late on commands of the old leader. The old
/// leader has lost the state service and the other controllers, but workers and users still reach
/// it. Jobs are cancelled through the new leader, and some of their machines hang.
#[test]
fn cancellations_through_the_new_leader_hold_while_the_old_leader_is_cut_off() {
    let scenarios = (0..3).map(|node| {
        let mut faults = cut_from_peers(node, FAULT_START_S, 90);
        faults.push((
            FAULT_START_S,
            Fault::Cut(Endpoint::Node(node), Endpoint::State, secs(90)),
        ));
        for delay_s in [1, 4, 12, 30] {
            faults.push((
                FAULT_START_S + delay_s,
                Fault::CancelNow(6, secs(delay_s % 10)),
            ));
        }
        let mut scenario = Scenario::small(110 + node as u64, 290, 60, faults);
        scenario.long_tasks = Some((FAULT_START_S - 4, FAULT_START_S + 60));
        (format!("node {node}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    assert!(total_count(&runs, |counts| counts.cancelled_while_running) > 30);
    for (name, outcome) in &runs {
        assert!(
            outcome.latest_start < CANCEL_LIMIT_S && outcome.longest_silence.0 < 75.0,
            "{name}"
        );
    }
}

/// A cancellation, status queries and a repeated submission coincide with the end of a job's last
/// task: without other faults, with late writes, and with late writes, crashes and a refusal. The
/// job may end as done or as cancelled.
#[test]
fn cancellation_at_job_end_has_either_outcome() {
    let scenarios = (0..6).map(|n| {
        let mut faults = vec![(20, Fault::CancelAtEnd(90, secs(180)))];
        if n % 3 > 0 {
            faults.push((40, Fault::LateWrites(25, secs(120))));
        }
        if n % 3 > 1 {
            faults.push((70, Fault::Crash(n % 2, millis(300))));
            faults.push((100, Fault::Refused(2, secs(14))));
        }
        let scenario = Scenario {
            uneven_arrays: 12,
            pipelines: (3, 30),
            ..Scenario::small(120 + n as u64, 260, 60, faults)
        };
        (format!("scenario {n}"), scenario)
    });
    let runs = run_scenarios(scenarios.collect());
    assert_invariants_hold(&runs);
    let (cancelled_at_end, done) = (
        total_count(&runs, |counts| counts.cancelled_at_end),
        total_count(&runs, |counts| counts.done_despite_cancellation),
    );
    // Both outcomes occur: some jobs were done and some were cancelled.
    assert!(
        cancelled_at_end > 60 && done > 10 && done < cancelled_at_end,
        "{cancelled_at_end} {done}"
    );
}
