//! Property tests over generated event histories. In any order of events the connection budget
//! stays within its limit and honours its guarantees, and the concurrency limiter stays within its
//! size.

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
    /// A connection of a class (index into `Class::ALL`) is opened.
    Open(usize),
    /// A request of a class (index into `Class::ALL`) starts on a connection (index modulo the
    /// number of open connections).
    StartRequest(usize, usize),
    /// The request on a connection (index modulo the number of open connections) finishes.
    FinishRequest(usize),
    /// A connection (index modulo the number of open connections) is closed.
    Close(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The plan is replaced by a plan for this number of machines.
    Machines(usize),
}

/// Generates a history of up to 600 steps.
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

/// A connection that is open at this point of the history.
#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    id: ConnectionId,
    class: Class,
    is_idle: bool,
}

/// A budget under test and the connections that the budget is expected to track.
struct History {
    budget: ConnectionBudget,
    open: Vec<OpenConnection>,
    now: Micros,
    max_connections: usize,
}

fn plan(max_connections: usize, machines: usize) -> BudgetPlan {
    BudgetPlan::new(PlanInputs {
        max_connections,
        peers: 2,
        machines,
    })
}

impl History {
    fn new(max_connections: usize) -> Self {
        Self {
            budget: ConnectionBudget::new(plan(max_connections, 100), Micros::from_secs(12)),
            open: Vec::new(),
            now: START,
            max_connections,
        }
    }

    /// Returns `index` modulo the number of open connections, or `None` if none is open.
    fn open_index(&self, index: usize) -> Option<usize> {
        (!self.open.is_empty()).then(|| index % self.open.len())
    }

    fn apply(&mut self, input: Input) -> Output {
        self.budget.apply(input, self.now)
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Open(class) => self.open_connection(Class::ALL[class])?,
            Step::StartRequest(index, class) => self.start_request(index, Class::ALL[class])?,
            Step::FinishRequest(index) => self.finish_request(index)?,
            Step::Close(index) => self.close(index),
            Step::Wait(ms) => self.now += Micros::from_millis(ms),
            Step::Machines(machines) => self
                .budget
                .replace_plan(plan(self.max_connections, machines)),
        }
        Ok(())
    }

    fn open_connection(&mut self, class: Class) -> Result<(), TestCaseError> {
        let open_of_class = self.open.iter().filter(|c| c.class == class).count();
        let guaranteed = open_of_class < self.budget.plan().guaranteed[class];
        let limit_reached = self.budget.open() >= self.budget.plan().limit;
        match self.apply(Input::Open(class)) {
            Output::Granted(id, evicted) => {
                prop_assert!(evicted.is_none() || limit_reached, "evicted without need");
                if let Some(evicted) = evicted {
                    self.close_evicted(evicted)?;
                }
                self.open.push(OpenConnection {
                    id,
                    class,
                    is_idle: false,
                });
            }
            Output::Refused => {
                prop_assert!(
                    !guaranteed || limit_reached,
                    "{class:?} was guaranteed more"
                );
                prop_assert!(
                    class != Class::State || self.budget.open() + 4 >= self.max_connections
                );
            }
            other => prop_assert!(false, "{other:?}"),
        }
        Ok(())
    }

    fn close_evicted(&mut self, evicted: ConnectionId) -> Result<(), TestCaseError> {
        let index = self.open.iter().position(|c| c.id == evicted);
        let OpenConnection { class, is_idle, .. } = self.open.remove(index.expect("it was open"));
        prop_assert!(is_idle && class != Class::State && class != Class::Cloud);
        self.apply(Input::Closed(evicted));
        Ok(())
    }

    fn start_request(&mut self, index: usize, wanted: Class) -> Result<(), TestCaseError> {
        let Some(index) = self.open_index(index) else {
            return Ok(());
        };
        let OpenConnection { id, class, .. } = self.open[index];
        // Only the class of an accepted connection is unknown before its first request.
        let class = match class {
            Class::Accepted => wanted,
            known => known,
        };
        let output = self.apply(Input::RequestStarted(id, class));
        prop_assert!(output == Output::Proceed || class == Class::Users);
        self.open[index] = OpenConnection {
            id,
            class,
            is_idle: false,
        };
        Ok(())
    }

    fn finish_request(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some(index) = self.open_index(index) else {
            return Ok(());
        };
        let OpenConnection { id, class, .. } = self.open[index];
        if self.apply(Input::RequestFinished(id)) == Output::KeepAlive {
            self.open[index].is_idle = true;
        } else {
            prop_assert!(self.budget.open() > self.budget.plan().keep_alive_limit);
            prop_assert!(class != Class::State);
            self.apply(Input::Closed(id));
            self.open.swap_remove(index);
        }
        Ok(())
    }

    fn close(&mut self, index: usize) {
        let Some(index) = self.open_index(index) else {
            return;
        };
        let closed = self.open.swap_remove(index);
        self.apply(Input::Closed(closed.id));
        // Reporting the same connection as closed a second time has no effect.
        self.apply(Input::Closed(closed.id));
    }

    /// Checks that the counts of the budget match the open connections and respect the limits.
    fn check_invariants(&self) -> Result<(), TestCaseError> {
        let budget = &self.budget;
        let open_total: usize = Class::ALL.iter().map(|c| budget.usage(*c).open).sum();
        prop_assert_eq!(open_total, self.open.len());
        prop_assert_eq!(budget.open(), self.open.len());
        let state = budget.usage(Class::State).open;
        prop_assert!(budget.open() <= budget.plan().limit + state);
        prop_assert!(budget.open() < self.max_connections);
        Ok(())
    }
}

/// Replays a history. Evicted connections are closed immediately, as in the process.
fn replay(max_connections: usize, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut history = History::new(max_connections);
    for step in steps {
        history.step(*step)?;
        history.check_invariants()?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn budget_stays_within_limit_and_honours_guarantees(max_connections in 16..400usize, steps in steps()) {
        replay(max_connections, &steps)?;
    }

    /// Guarantees fit within the limit for any connection limit of the platform and any number of
    /// machines.
    #[test]
    fn guarantees_fit_within_the_limit(max_connections in 16..100_000usize, peers in 0..10usize, machines in 0..50_000usize) {
        let plan = BudgetPlan::new(PlanInputs { max_connections, peers, machines });
        let total_guaranteed: usize = plan.guaranteed.values().sum();
        prop_assert!(total_guaranteed <= plan.limit, "{plan:?}");
        prop_assert!(plan.limit * 5 <= max_connections * 4);
        prop_assert!(plan.guaranteed.values().all(|n| *n > 0));
    }

    /// Hosts respond, do not respond, or send heartbeats, and requests come at any time: the
    /// limiter stays within its size, honours back-offs and sends every request in the end.
    #[test]
    fn limiter_stays_within_size_and_drops_no_request(
        size in 2..12usize,
        dead_hosts in prop::collection::btree_set(0..40u32, 0..30),
        steps in prop::collection::vec((0..40u32, 0..4u8, 1..400u64), 1..500),
    ) {
        let mut limiter = ConcurrencyLimiter::new(size);
        let mut now = START;
        let mut in_flight: Vec<u32> = Vec::new();
        let mut failed_at: BTreeMap<u32, Micros> = BTreeMap::new();
        let mut sent_hosts: BTreeSet<u32> = BTreeSet::new();
        let mut requested_hosts: BTreeSet<u32> = BTreeSet::new();
        for (host, event, ms) in steps {
            let dispatched = match event {
                0 | 1 => {
                    requested_hosts.insert(host);
                    limiter.apply(limiter::Input::Enqueue(host), now)
                }
                2 if !in_flight.is_empty() => {
                    let host = in_flight.remove(host as usize % in_flight.len());
                    let responded = !dead_hosts.contains(&host);
                    if !responded {
                        failed_at.insert(host, now);
                    }
                    limiter.apply(limiter::Input::Completed(host, Some(responded)), now)
                }
                3 => {
                    failed_at.remove(&host);
                    limiter.apply(limiter::Input::HeartbeatReceived(host), now)
                }
                _ => limiter.apply(limiter::Input::Tick, now),
            };
            for host in dispatched {
                prop_assert!(!in_flight.contains(&host), "one request at a time");
                if let Some(at) = failed_at.get(&host) {
                    prop_assert!(now - *at >= Micros::from_millis(900), "{host} was not given its back-off");
                }
                sent_hosts.insert(host);
                in_flight.push(host);
            }
            prop_assert!(in_flight.len() <= size);
            prop_assert_eq!(limiter.in_flight(), in_flight.len());
            now += Micros::from_millis(ms);
        }
        // Every request is sent once a slot is free, regardless of which hosts are dead.
        for _ in 0..400 {
            now += Micros::from_millis(500);
            for host in std::mem::take(&mut in_flight) {
                let responded = !dead_hosts.contains(&host);
                in_flight.extend(limiter.apply(limiter::Input::Completed(host, Some(responded)), now));
            }
            in_flight.extend(limiter.apply(limiter::Input::Tick, now));
            sent_hosts.extend(&in_flight);
        }
        prop_assert!(requested_hosts.is_subset(&sent_hosts), "{requested_hosts:?} {sent_hosts:?}");
        prop_assert_eq!(limiter.queued(), 0);
    }
}

/// Failover with a third of 900 hosts dead, each of which occupies its slot for 1.5 s. All live
/// hosts must respond within a heartbeat interval, and commands to responsive hosts must never be
/// queued.
#[test]
fn dead_hosts_do_not_delay_live_ones() {
    const HEARTBEAT_INTERVAL_MS: u64 = 5_000;
    let is_dead = |host: u32| host.is_multiple_of(3);
    let mut limiter = ConcurrencyLimiter::new(64);
    let mut completions: Vec<(u64, u32)> = Vec::new();
    let mut responsive_hosts = BTreeSet::new();
    let (mut all_responded_ms, mut commands_sent, mut queued_commands) = (None, 0, 0);
    for ms in 0..20_000u64 {
        let now = START + Micros::from_millis(ms);
        let (completed, remaining): (Vec<_>, Vec<_>) =
            completions.into_iter().partition(|(at, _)| *at <= ms);
        completions = remaining;
        let mut dispatched = Vec::new();
        for host in 0..900 {
            if ms == 0 {
                dispatched.extend(limiter.apply(limiter::Input::Enqueue(host), now));
            }
            if !is_dead(host)
                && ms % HEARTBEAT_INTERVAL_MS == u64::from(host) * 7 % HEARTBEAT_INTERVAL_MS
            {
                dispatched.extend(limiter.apply(limiter::Input::HeartbeatReceived(host), now));
            }
        }
        for (_, host) in completed {
            let responded = !is_dead(host);
            if responded {
                responsive_hosts.insert(host);
            }
            dispatched.extend(limiter.apply(limiter::Input::Completed(host, Some(responded)), now));
        }
        if responsive_hosts.len() == 600 {
            all_responded_ms.get_or_insert(ms);
        }
        if ms % 100 == 0 && responsive_hosts.contains(&1) {
            let dispatched_now = limiter.apply(limiter::Input::Enqueue(1), now);
            commands_sent += 1;
            queued_commands += usize::from(!dispatched_now.contains(&1));
            dispatched.extend(dispatched_now);
        }
        for host in dispatched {
            completions.push((ms + if is_dead(host) { 1_500 } else { 4 }, host));
        }
    }
    assert!(
        all_responded_ms.is_some_and(|ms| ms <= HEARTBEAT_INTERVAL_MS + 50),
        "{all_responded_ms:?}"
    );
    assert!(
        commands_sent > 100 && queued_commands == 0,
        "{queued_commands} of {commands_sent}"
    );
}
