//! Runs scenarios on a simulated cluster and collects their outcomes.

use crate::{
    cloud::Cloud,
    cluster::{
        ClusterState, NODE_COUNT, STATE_SERVICE_LIMITS, SimulatedCluster, controller_settings,
    },
    faults::ActiveFaults,
    invariants::InvariantChecker,
    outcome::{ConfirmedCancellation, JobTimes, Outcome},
    scenario::Scenario,
    state::StateService,
    transcript::Transcript,
    users,
};
use rand::{SeedableRng, rngs::StdRng};
use std::{
    cell::RefCell,
    collections::BTreeMap,
    future::Future,
    rc::{Rc, Weak},
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep_until},
};

/// An overload counts as a fault for this long after its start, in seconds.
const OVERLOAD_DURATION_S: u64 = 200;
/// Lag of the cloud's list of machines.
const CLOUD_LIST_LAG: Duration = Duration::from_secs(3);

/// Runs a scenario and returns its outcome.
pub fn run(scenario: Scenario) -> Outcome {
    run_scenario(scenario, None).0
}

/// Runs a scenario as [`run`] does, and records all requests and answers of the controllers.
pub fn run_recorded(scenario: Scenario) -> (Outcome, Transcript) {
    let (outcome, transcript) = run_scenario(scenario, Some(Transcript::default()));
    (outcome, transcript.unwrap_or_default())
}

/// Runs all scenarios in parallel, one at a time per thread. Returns the outcomes by scenario name, in no
/// particular order.
pub fn run_all(scenarios: &[(String, Scenario)]) -> Vec<(String, Outcome)> {
    run_in_parallel(scenarios, |scenario| run(scenario.clone()))
}

/// Calls `run_one` for each scenario, in parallel threads. Returns the results by scenario name, in
/// no particular order.
///
/// # Panics
/// If a scenario panics.
pub(crate) fn run_in_parallel<T: Send>(
    scenarios: &[(String, Scenario)],
    run_one: impl Fn(&Scenario) -> T + Sync,
) -> Vec<(String, T)> {
    let next = AtomicUsize::new(0);
    let run_remaining = || {
        let mut results = Vec::new();
        while let Some((name, scenario)) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
            results.push((name.clone(), run_one(scenario)));
        }
        results
    };
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get());
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(run_remaining)).collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results
            .flat_map(|results| results.expect("a scenario panicked"))
            .collect()
    })
}

/// Runs a scenario to its end, recording into `transcript` if one is given.
fn run_scenario(
    scenario: Scenario,
    transcript: Option<Transcript>,
) -> (Outcome, Option<Transcript>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let cluster = build_cluster(&scenario, transcript);
        for node in 0..NODE_COUNT {
            cluster.start_node(node);
        }
        spawn_local(cluster.clone().tick_loop());
        spawn_local(cluster.clone().balancer_loop());
        start_users(&cluster, &scenario);
        inject_faults(&cluster, &scenario).await;
        sleep_until(cluster.origin + Duration::from_secs(scenario.seconds)).await;
        let (unowned, unanswered) = cluster.unowned_roles_and_unanswered_workers();
        let stale_host_records = cluster.stale_host_records();
        for node in 0..NODE_COUNT {
            cluster.kill_node(node);
        }
        let transcript = cluster.transcript.take();
        let outcome = Outcome {
            unowned,
            unanswered,
            stale_host_records,
            ..collect_outcome(&cluster)
        };
        (outcome, transcript)
    })
}

/// Builds the cluster in its initial state. No controller runs yet.
fn build_cluster(scenario: &Scenario, transcript: Option<Transcript>) -> Rc<SimulatedCluster> {
    let now = Instant::now();
    let zones = vec!["a".to_owned(), "b".to_owned()];
    let mut cloud = Cloud::new(zones, scenario.scale.capacity(), CLOUD_LIST_LAG);
    for n in 0..scenario.scale.hosts() {
        let zone = if n % 2 == 0 { "a" } else { "b" };
        cloud.add(zone, false, now, Duration::ZERO);
    }
    cloud.remember(now);
    let mut faults = ActiveFaults::default();
    faults.seed(scenario.seed);
    let mut rules = InvariantChecker::default();
    rules.faults_end = Some(now + fault_free_after(scenario));
    let cluster = Rc::new(SimulatedCluster {
        weak_self: RefCell::new(Weak::new()),
        inner: RefCell::new(ClusterState {
            rng: StdRng::seed_from_u64(scenario.seed),
            state: StateService::new(scenario.limits.then_some(STATE_SERVICE_LIMITS[0])),
            cloud,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            invariants: rules,
            accepted: 0,
            finished: 0,
            nodes: vec![None; NODE_COUNT],
            generations: vec![0; NODE_COUNT],
            process_sockets: vec![None; NODE_COUNT],
            past_peak_sockets: 0,
            past_refused_sockets: 0,
            healthy: vec![true; NODE_COUNT],
            accepted_at: BTreeMap::new(),
            submitted_bodies: BTreeMap::new(),
            runs_old_version: vec![scenario.old_version; NODE_COUNT],
            faults,
            transactions_received: vec![0; NODE_COUNT],
            unready_since: vec![None; NODE_COUNT],
        }),
        settings: [false, scenario.limits].map(|next| {
            (0..NODE_COUNT)
                .map(|n| controller_settings(n, scenario, next))
                .collect()
        }),
        origin: now,
        scale: scenario.scale,
        scenario: scenario.clone(),
        transcript: RefCell::new(transcript),
    });
    *cluster.weak_self.borrow_mut() = Rc::downgrade(&cluster);
    cluster
}

/// Returns the time after the start from which no fault is active any more; consequences of faults
/// may remain.
fn fault_free_after(scenario: &Scenario) -> Duration {
    let faults = scenario.faults.iter();
    let last_fault_end_s = faults
        .map(|(at, fault)| *at + fault.lasts().as_secs() + 1)
        .max();
    let (flood, from) = scenario.flood;
    let overload_end_s = if flood > 0 {
        from + OVERLOAD_DURATION_S
    } else {
        0
    };
    Duration::from_secs(last_fault_end_s.unwrap_or(0).max(overload_end_s))
}

/// Spawns a user's task that starts `at` after the start of the run.
fn spawn_at<F: Future<Output = ()> + 'static>(
    cluster: &Rc<SimulatedCluster>,
    at: Duration,
    user: impl FnOnce(Rc<SimulatedCluster>) -> F + 'static,
) {
    let cluster = cluster.clone();
    let at = cluster.origin + at;
    spawn_local(async move {
        sleep_until(at).await;
        user(cluster).await;
    });
}

/// Spawns all users of the scenario. The order of the random draws is part of the scenario:
/// changing it changes the run.
fn start_users(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    spawn_local(users::ask_for_unknown_jobs(cluster.clone()));
    for number in 0..scenario.jobs {
        let at = Duration::from_millis(cluster.draw(scenario.seconds * 700));
        spawn_at(cluster, at, move |cluster| async move {
            let body = users::random_job(&cluster, number);
            users::run_user(cluster, body).await;
        });
    }
    start_overload_jobs(cluster, scenario);
    start_dependent_jobs(cluster, scenario);
    for number in 0..scenario.uneven_arrays {
        let at = Duration::from_secs(20 + 4 * number as u64);
        spawn_at(cluster, at, move |cluster| {
            users::run_user(cluster, users::uneven_array(number))
        });
    }
    for number in 0..scenario.zone_bound_jobs {
        let at = Duration::from_millis(15_000 + 2_500 * number as u64);
        spawn_at(cluster, at, move |cluster| {
            users::run_user(cluster, users::zone_bound_job(number))
        });
    }
    for (at, body) in scenario.submissions.clone() {
        spawn_at(cluster, Duration::from_secs(at), move |cluster| {
            users::run_user(cluster, body)
        });
    }
    let failing = (0..scenario.failing_arrays).map(users::failing_array);
    let huge = scenario.huge_guest_array.then(users::huge_array);
    for (n, body) in failing.chain(huge).enumerate() {
        let at = Duration::from_secs(30 + 7 * n as u64);
        spawn_at(cluster, at, move |cluster| users::run_user(cluster, body));
    }
}

/// Spawns the users of the scenario's overload: urgent jobs within 20 s.
fn start_overload_jobs(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    let (flood, from) = scenario.flood;
    let of_one_team = scenario.flood_of_one_team;
    for number in 0..flood {
        let at = Duration::from_secs(from) + Duration::from_millis(cluster.draw(20_000));
        spawn_at(cluster, at, move |cluster| {
            let team = if of_one_team { 0 } else { number % 4 };
            users::run_user(cluster, users::flood_job(number, team))
        });
    }
}

/// Spawns the users of pipelines within one minute, and one that submits invalid dependency lists.
fn start_dependent_jobs(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    let (pipelines, from) = scenario.pipelines;
    let from = Duration::from_secs(from);
    if pipelines > 0 {
        spawn_at(cluster, from, users::send_bad_dependencies);
    }
    for number in 0..pipelines {
        let at = from + Duration::from_millis(cluster.draw(60_000));
        spawn_at(cluster, at, move |cluster| async move {
            let stages = users::dependent_jobs(&cluster, number);
            users::run_dependent_jobs(cluster, stages).await;
        });
    }
}

/// Injects each fault at its time.
async fn inject_faults(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|(at, _)| *at);
    for (at, fault) in faults {
        sleep_until(cluster.origin + Duration::from_secs(at)).await;
        cluster.inject(fault);
    }
}

/// Collects the outcome, without the final state of the deployment.
fn collect_outcome(cluster: &SimulatedCluster) -> Outcome {
    let (inner, origin) = (cluster.inner.borrow(), cluster.origin);
    let rules = &inner.invariants;
    let moves = inner.state.moves.iter();
    let by_class = inner.begun_shares(|job| job.class.to_string());
    let by_team = inner.begun_shares(|job| job.team.to_string());
    let zone_bound_ids = (0..cluster.scenario.zone_bound_jobs).map(users::bound_id);
    Outcome {
        violations: rules.violations.clone(),
        accepted: inner.accepted,
        finished: inner.finished,
        started: rules.started,
        most_at_once: rules.most_at_once,
        killed: rules.killed,
        killed_in_reach: rules.killed_in_reach,
        role_moves: moves
            .map(|(at, role, who)| ((*at - origin).as_secs_f64(), role.clone(), who.clone()))
            .collect(),
        undecided: rules.undecided,
        proposals: inner.state.wants,
        unowned: Vec::new(),
        unanswered: Vec::new(),
        stale_host_records: Vec::new(),
        oversized_writes: inner.state.too_large,
        longest_value_bytes: inner.state.longest(),
        pipeline_jobs_done: rules.pipeline_jobs_done,
        cancelled_with_dependency: rules.cancelled_with_dependency,
        invalid_dependencies_refused: rules.invalid_dependencies_refused,
        peak_sockets: inner.past_peak_sockets,
        refused_sockets: inner.past_refused_sockets,
        lowest_largest_jobs_share: smallest_share(inner.largest_jobs_begun_shares()),
        cancels: cancellations(rules, origin),
        longest_silence: (
            rules.longest_silence.as_secs_f64(),
            rules.longest_silence_after_faults.as_secs_f64(),
        ),
        uneven_jobs_done: rules.uneven_jobs_done,
        zone_bound_jobs_started: zone_bound_ids
            .filter(|id| rules.first_start.contains_key(id))
            .count(),
        tasks_restarted_after_result: rules.tasks_restarted_after_result,
        started_after: rules.started_after,
        latest_start: rules.latest_start.as_secs_f64(),
        longest_wait: rules.longest_wait.as_secs_f64(),
        job_times: job_times(&inner, origin),
        fault_counts: inner.faults.counts,
        lowest_class_share: smallest_share(by_class.clone()),
        lowest_team_share: smallest_share(by_team.clone()),
        started_shares: by_class.into_iter().chain(by_team).collect(),
        state_peak_requests: inner.state.busiest(),
    }
}

/// Returns when each accepted job was accepted, started and reported as final, relative to the
/// start `origin` of the run.
fn job_times(inner: &ClusterState, origin: Instant) -> BTreeMap<String, JobTimes> {
    let rules = &inner.invariants;
    let seconds = |at: Instant| (at - origin).as_secs_f64();
    let times = |(id, accepted): (&String, &Instant)| {
        let times = JobTimes {
            accepted: seconds(*accepted),
            all_started: rules.all_started(&inner.jobs[id]).map(seconds),
            last_start: rules.last_start.get(id).map(|at| seconds(*at)),
            ended: rules
                .final_phase_and_time(id)
                .map(|(phase, at)| (phase.to_owned(), seconds(at))),
        };
        (id.clone(), times)
    };
    inner.accepted_at.iter().map(times).collect()
}

/// Returns the confirmed cancellations with times relative to the start `origin` of the run.
fn cancellations(rules: &InvariantChecker, origin: Instant) -> Vec<ConfirmedCancellation> {
    let to_confirmed =
        |(id, cancelled): (&String, &crate::invariants::CancelledJob)| ConfirmedCancellation {
            job: id.clone(),
            at: (cancelled.at - origin).as_secs_f64(),
            node: cancelled.node,
            alive: cancelled.alive,
            after: cancelled
                .last_seen
                .map_or(0.0, |seen| (seen - cancelled.at).as_secs_f64()),
        };
    rules.cancels.iter().map(to_confirmed).collect()
}

/// Returns the smallest share and its name.
fn smallest_share(shares: BTreeMap<String, f64>) -> (String, f64) {
    let smallest = shares.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    // Without any shares, none counts as too small.
    smallest.unwrap_or((String::new(), 1.0))
}
