//! Generated histories: in any order of events the connection budget stays within its limit and
//! honours its guarantees, and the concurrency limiter stays within its size.

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
    /// On the connection at this index (modulo their number) a request starts or finishes, or it is
    /// closed.
    StartRequest(usize, usize),
    FinishRequest(usize),
    Close(usize),
    Wait(u64),
    Machines(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..9usize).prop_map(Step::Open),
        6 => (0..200usize, 5..9usize).prop_map(|(n, c)| Step::StartRequest(n, c)),
        8 => (0..200usize).prop_map(Step::FinishRequest),
        2 => (0..200usize).prop_map(Step::Close),
        2 => (1..20_000u64).prop_map(Step::Wait),
        1 => (0..400usize).prop_map(Step::Machines),
    ];
    prop::collection::vec(step, 1..600)
}

/// Replays a history. An evicted connection is closed at once, as in the process.
fn play(max_connections: usize, steps: &[Step]) -> Result<(), TestCaseError> {
    let inputs = |machines| PlanInputs {
        max_connections,
        peers: 2,
        machines,
    };
    let mut budget = ConnectionBudget::new(BudgetPlan::new(inputs(100)), Micros::from_secs(12));
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
                let guaranteed = of(class) < budget.plan().guaranteed[class];
                let full = budget.open() >= budget.plan().limit;
                match budget.apply(Input::Open(class), now) {
                    Output::Granted(key, evicted) => {
                        prop_assert!(evicted.is_none() || full, "evicted without need");
                        if let Some(evicted) = evicted {
                            let n = open.iter().position(|(k, ..)| *k == evicted);
                            let (_, class, idle) = open.remove(n.expect("it was open"));
                            prop_assert!(idle && class != Class::State && class != Class::Cloud);
                            budget.apply(Input::Closed(evicted), now);
                        }
                        open.push((key, class, false));
                    }
                    Output::Refused => {
                        prop_assert!(!guaranteed || full, "{class:?} was guaranteed more");
                        prop_assert!(class != Class::State || budget.open() + 4 >= max_connections);
                    }
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            Step::StartRequest(n, c) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, previous, _) = open[n];
                // Only the class of an accepted connection is unknown before its first request.
                let class = match previous {
                    Class::Accepted => Class::ALL[c],
                    previous => previous,
                };
                let output = budget.apply(Input::RequestStarted(key, class), now);
                prop_assert!(output == Output::Proceed || class == Class::Users);
                open[n] = (key, class, false);
            }
            Step::FinishRequest(n) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, class, _) = open[n];
                if budget.apply(Input::RequestFinished(key), now) == Output::KeepAlive {
                    open[n] = (key, class, true);
                } else {
                    prop_assert!(budget.open() > budget.plan().keep_alive_limit);
                    prop_assert!(class != Class::State);
                    budget.apply(Input::Closed(key), now);
                    open.swap_remove(n);
                }
            }
            Step::Close(n) => {
                let Some(n) = pick(n, &open) else { continue };
                let (key, ..) = open.swap_remove(n);
                budget.apply(Input::Closed(key), now);
                // Reported twice, it has no effect.
                budget.apply(Input::Closed(key), now);
            }
            Step::Wait(ms) => now += Micros::from_millis(ms),
            Step::Machines(n) => budget.replace_plan(BudgetPlan::new(inputs(n))),
        }
        let counted: usize = Class::ALL.iter().map(|c| budget.usage(*c).open).sum();
        prop_assert_eq!(counted, open.len());
        prop_assert_eq!(budget.open(), open.len());
        let state = budget.usage(Class::State).open;
        prop_assert!(budget.open() <= budget.plan().limit + state);
        prop_assert!(budget.open() < max_connections);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn the_budget_stays_within_its_limit_and_honours_guarantees(max_connections in 16..400usize, steps in steps()) {
        play(max_connections, &steps)?;
    }

    /// Guarantees fit within the limit, whatever the platform allows and the number of machines.
    #[test]
    fn guarantees_fit_within_the_limit(max_connections in 16..100_000usize, peers in 0..10usize, machines in 0..50_000usize) {
        let plan = BudgetPlan::new(PlanInputs { max_connections, peers, machines });
        let all: usize = plan.guaranteed.values().sum();
        prop_assert!(all <= plan.limit, "{plan:?}");
        prop_assert!(plan.limit * 5 <= max_connections * 4);
        prop_assert!(plan.guaranteed.values().all(|n| *n > 0));
    }

    /// Hosts that respond, or don't, or are heard by other ways; requests at any time.
    #[test]
    fn the_limiter_stays_within_its_size_and_drops_no_request(
        size in 2..12usize,
        dead in prop::collection::btree_set(0..40u32, 0..30),
        steps in prop::collection::vec((0..40u32, 0..4u8, 1..400u64), 1..500),
    ) {
        let mut limiter = ConcurrencyLimiter::new(size);
        let mut now = START;
        let mut in_flight: Vec<u32> = Vec::new();
        let mut failed_at: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut sent: BTreeSet<u32> = BTreeSet::new();
        let mut requested: BTreeSet<u32> = BTreeSet::new();
        for (host, event, ms) in steps {
            let dispatched = match event {
                0 | 1 => {
                    requested.insert(host);
                    limiter.apply(limiter::Input::Enqueue(host), now)
                }
                2 if !in_flight.is_empty() => {
                    let host = in_flight.remove(host as usize % in_flight.len());
                    let answered = !dead.contains(&host);
                    if !answered {
                        failed_at.insert(host, now);
                    }
                    limiter.apply(limiter::Input::Completed(host, Some(answered)), now)
                }
                3 => {
                    failed_at.remove(&host);
                    limiter.apply(limiter::Input::Heard(host), now)
                }
                _ => limiter.apply(limiter::Input::Tick, now),
            };
            for host in dispatched {
                prop_assert!(!in_flight.contains(&host), "one request at a time");
                if let Some(at) = failed_at.get(&host) {
                    prop_assert!(now - *at >= Micros::from_millis(900), "{host} was not given its back-off");
                }
                sent.insert(host);
                in_flight.push(host);
            }
            prop_assert!(in_flight.len() <= size);
            prop_assert_eq!(limiter.in_flight(), in_flight.len());
            now += Micros::from_millis(ms);
        }
        // Every request is sent once a slot is free, whichever hosts are dead.
        for _ in 0..400 {
            now += Micros::from_millis(500);
            for host in std::mem::take(&mut in_flight) {
                let answered = !dead.contains(&host);
                in_flight.extend(limiter.apply(limiter::Input::Completed(host, Some(answered)), now));
            }
            in_flight.extend(limiter.apply(limiter::Input::Tick, now));
            sent.extend(&in_flight);
        }
        prop_assert!(requested.is_subset(&sent), "{requested:?} {sent:?}");
        prop_assert_eq!(limiter.queued(), 0);
    }
}

/// A failover with a third of 900 hosts dead, each of which occupies its slot for 1.5 s: the live
/// ones respond within a heartbeat interval, and commands to responsive hosts are never queued.
#[test]
fn dead_hosts_do_not_delay_live_ones() {
    const HEARTBEAT_INTERVAL: u64 = 5_000;
    let is_dead = |host: u32| host.is_multiple_of(3);
    let mut limiter = ConcurrencyLimiter::new(64);
    let mut busy: Vec<(u64, u32)> = Vec::new();
    let mut answered = BTreeSet::new();
    let (mut all_responded_ms, mut commands, mut queued) = (None, 0, 0);
    for ms in 0..20_000u64 {
        let now = START + Micros::from_millis(ms);
        let (completed, remaining): (Vec<_>, Vec<_>) =
            busy.into_iter().partition(|(at, _)| *at <= ms);
        busy = remaining;
        let mut dispatched = Vec::new();
        for host in 0..900 {
            if ms == 0 {
                dispatched.extend(limiter.apply(limiter::Input::Enqueue(host), now));
            }
            if !is_dead(host) && ms % HEARTBEAT_INTERVAL == u64::from(host) * 7 % HEARTBEAT_INTERVAL
            {
                dispatched.extend(limiter.apply(limiter::Input::Heard(host), now));
            }
        }
        for (_, host) in completed {
            let responded = !is_dead(host);
            if responded {
                answered.insert(host);
            }
            dispatched.extend(limiter.apply(limiter::Input::Completed(host, Some(responded)), now));
        }
        if answered.len() == 600 {
            all_responded_ms.get_or_insert(ms);
        }
        if ms % 100 == 0 && answered.contains(&1) {
            let dispatched_now = limiter.apply(limiter::Input::Enqueue(1), now);
            commands += 1;
            queued += usize::from(!dispatched_now.contains(&1));
            dispatched.extend(dispatched_now);
        }
        for host in dispatched {
            busy.push((ms + if is_dead(host) { 1_500 } else { 4 }, host));
        }
    }
    assert!(
        all_responded_ms.is_some_and(|ms| ms <= HEARTBEAT_INTERVAL + 50),
        "{all_responded_ms:?}"
    );
    assert!(commands > 100 && queued == 0, "{queued} of {commands}");
}
