//! Generated histories: whatever comes in whatever order, the account keeps to its bound and its
//! floors, and the window to its size.

use jasperhill_connections::{
    BudgetPlan, Class, ConcurrencyLimiter, ConnectionBudget, ConnectionId, Input, Output,
    PlanInputs, limiter,
};
use jasperhill_wire::Micros;
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::{BTreeMap, BTreeSet};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const START: Micros = Micros::from_secs(3_600);

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(usize),
    /// The oldest but so many begins, ends, or is closed.
    Begin(usize, usize),
    End(usize),
    Close(usize),
    Wait(u64),
    Machines(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..9usize).prop_map(Step::Open),
        6 => (0..200usize, 5..9usize).prop_map(|(n, c)| Step::Begin(n, c)),
        8 => (0..200usize).prop_map(Step::End),
        2 => (0..200usize).prop_map(Step::Close),
        2 => (1..20_000u64).prop_map(Step::Wait),
        1 => (0..400usize).prop_map(Step::Machines),
    ];
    prop::collection::vec(step, 1..600)
}

/// Plays a history. Whoever is told to make way is closed at once, as the process does.
fn play(most: usize, steps: &[Step]) -> Result<(), TestCaseError> {
    let sizes = |machines| PlanInputs {
        most,
        peers: 2,
        machines,
    };
    let mut account = ConnectionBudget::new(BudgetPlan::new(sizes(100)), Micros::from_secs(12));
    let mut now = START;
    let mut open: Vec<(ConnectionId, Class, bool)> = Vec::new();
    for step in steps {
        let pick = |n: usize, open: &[(ConnectionId, Class, bool)]| {
            (!open.is_empty()).then(|| n % open.len())
        };
        match *step {
            Step::Open(c) => {
                let class = Class::ALL[c];
                let of = |c: Class| open.iter().filter(|(_, x, _)| *x == c).count();
                let guaranteed = of(class) < account.plan().guaranteed[class];
                let full = account.open() >= account.plan().bound;
                match account.apply(Input::Open(class), now) {
                    Output::Granted(key, gone) => {
                        prop_assert!(gone.is_none() || full, "made way for nothing");
                        if let Some(gone) = gone {
                            let n = open.iter().position(|(k, ..)| *k == gone);
                            let (_, class, idle) = open.remove(n.expect("it was open"));
                            prop_assert!(idle && class != Class::State && class != Class::Cloud);
                            account.apply(Input::Closed(gone), now);
                        }
                        open.push((key, class, false));
                    }
                    Output::Refused => {
                        prop_assert!(!guaranteed || full, "{class:?} was guaranteed more");
                        prop_assert!(class != Class::State || account.open() + 4 >= most);
                    }
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            Step::Begin(n, c) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, was, _) = open[n];
                // Only what was accepted finds out what it is for.
                let class = match was {
                    Class::Accepted => Class::ALL[c],
                    was => was,
                };
                let out = account.apply(Input::RequestStarted(key, class), now);
                prop_assert!(out == Output::Proceed || class == Class::Users);
                open[n] = (key, class, false);
            }
            Step::End(n) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, class, _) = open[n];
                if account.apply(Input::RequestFinished(key), now) == Output::KeepAlive {
                    open[n] = (key, class, true);
                } else {
                    prop_assert!(account.open() > account.plan().soft);
                    prop_assert!(class != Class::State);
                    account.apply(Input::Closed(key), now);
                    open.swap_remove(n);
                }
            }
            Step::Close(n) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, ..) = open.swap_remove(n);
                account.apply(Input::Closed(key), now);
                // Told twice, it changes nothing.
                account.apply(Input::Closed(key), now);
            }
            Step::Wait(ms) => now += Micros::from_millis(ms),
            Step::Machines(n) => account.resize(BudgetPlan::new(sizes(n))),
        }
        let counted: usize = Class::ALL.iter().map(|c| account.report(*c).open).sum();
        prop_assert_eq!(counted, open.len());
        prop_assert_eq!(account.open(), open.len());
        let state = account.report(Class::State).open;
        prop_assert!(account.open() <= account.plan().bound + state);
        prop_assert!(account.open() < most);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn the_account_keeps_to_its_bound_and_its_floors(most in 16..400usize, steps in steps()) {
        play(most, &steps)?;
    }

    /// Floors fit within the bound, whatever the limit and the number of machines.
    #[test]
    fn what_is_guaranteed_is_there(most in 16..100_000usize, peers in 0..10usize, machines in 0..50_000usize) {
        let plan = BudgetPlan::new(PlanInputs { most, peers, machines });
        let all: usize = plan.guaranteed.values().sum();
        prop_assert!(all <= plan.bound, "{plan:?}");
        prop_assert!(plan.bound * 5 <= most * 4);
        prop_assert!(plan.guaranteed.values().all(|n| *n > 0));
    }

    /// Hosts that answer, or don't, or are heard by other ways, wanted at any time.
    #[test]
    fn the_window_keeps_to_its_size_and_forgets_nobody(
        size in 2..12usize,
        dead in prop::collection::btree_set(0..40u32, 0..30),
        steps in prop::collection::vec((0..40u32, 0..4u8, 1..400u64), 1..500),
    ) {
        let mut window = ConcurrencyLimiter::new(size);
        let mut now = START;
        let mut under_way: Vec<u32> = Vec::new();
        let mut failed_at: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut sent: BTreeSet<u32> = BTreeSet::new();
        let mut wanted: BTreeSet<u32> = BTreeSet::new();
        for (host, what, ms) in steps {
            let turns = match what {
                0 | 1 => {
                    wanted.insert(host);
                    window.apply(limiter::Input::Enqueue(host), now)
                }
                2 if !under_way.is_empty() => {
                    let host = under_way.remove(host as usize % under_way.len());
                    let answered = !dead.contains(&host);
                    if !answered {
                        failed_at.insert(host, now);
                    }
                    window.apply(limiter::Input::Completed(host, Some(answered)), now)
                }
                3 => {
                    failed_at.remove(&host);
                    window.apply(limiter::Input::Heard(host), now)
                }
                _ => window.apply(limiter::Input::Tick, now),
            };
            for host in turns {
                prop_assert!(!under_way.contains(&host), "one request at a time");
                if let Some(at) = failed_at.get(&host) {
                    prop_assert!(now - *at >= Micros::from_millis(900), "{host} was not left alone");
                }
                sent.insert(host);
                under_way.push(host);
            }
            prop_assert!(under_way.len() <= size);
            prop_assert_eq!(window.in_flight(), under_way.len());
            now += Micros::from_millis(ms);
        }
        // What was wanted goes out once there is room, whoever is dead.
        for _ in 0..400 {
            now += Micros::from_millis(500);
            for host in std::mem::take(&mut under_way) {
                let answered = !dead.contains(&host);
                under_way.extend(window.apply(limiter::Input::Completed(host, Some(answered)), now));
            }
            under_way.extend(window.apply(limiter::Input::Tick, now));
            sent.extend(&under_way);
        }
        prop_assert!(wanted.is_subset(&sent), "{wanted:?} {sent:?}");
        prop_assert_eq!(window.waiting(), 0);
    }
}

/// A takeover with a third of 900 hosts dead, each of which holds its place for 1.5 s: the living
/// ones are asked, or have reported and go ahead, within a report's time, and orders to those that
/// answer don't wait at all.
#[test]
fn dead_hosts_do_not_keep_living_ones_waiting() {
    const REPORT: u64 = 5_000;
    let is_dead = |host: u32| host.is_multiple_of(3);
    let mut window = ConcurrencyLimiter::new(64);
    let mut busy: Vec<(u64, u32)> = Vec::new();
    let mut answered = BTreeSet::new();
    let (mut whole, mut orders, mut waited) = (None, 0, 0);
    for ms in 0..20_000u64 {
        let now = START + Micros::from_millis(ms);
        let (over, on): (Vec<_>, Vec<_>) = busy.into_iter().partition(|(at, _)| *at <= ms);
        busy = on;
        let mut turns = Vec::new();
        for host in 0..900 {
            if ms == 0 {
                turns.extend(window.apply(limiter::Input::Enqueue(host), now));
            }
            if !is_dead(host) && ms % REPORT == u64::from(host) * 7 % REPORT {
                turns.extend(window.apply(limiter::Input::Heard(host), now));
            }
        }
        for (_, host) in over {
            let fine = !is_dead(host);
            if fine {
                answered.insert(host);
            }
            turns.extend(window.apply(limiter::Input::Completed(host, Some(fine)), now));
        }
        if answered.len() == 600 {
            whole.get_or_insert(ms);
        }
        if ms % 100 == 0 && answered.contains(&1) {
            let now_or_later = window.apply(limiter::Input::Enqueue(1), now);
            orders += 1;
            waited += usize::from(!now_or_later.contains(&1));
            turns.extend(now_or_later);
        }
        for host in turns {
            busy.push((ms + if is_dead(host) { 1_500 } else { 4 }, host));
        }
    }
    assert!(whole.is_some_and(|ms| ms <= REPORT + 50), "{whole:?}");
    assert!(orders > 100 && waited == 0, "{waited} of {orders}");
}
