//! Plays a scenario.

use crate::{
    cloud::Cloud,
    cluster::{ClusterState, LIMITS, NODES, SimulatedCluster, settings},
    faults::ActiveFaults,
    invariants::InvariantChecker,
    outcome::{ConfirmedCancellation, Outcome},
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

/// More work than capacity counts as a fault for so long after it begins.
const FLOOD_LASTS_S: u64 = 200;
/// How long the cloud's list lags behind.
const LIST_LAG: Duration = Duration::from_secs(3);

/// Plays a scenario and says what came of it.
pub fn run(scenario: Scenario) -> Outcome {
    play(scenario, None).0
}

/// As [`run`], and records all that the controllers sent and answered.
pub fn run_recorded(scenario: Scenario) -> (Outcome, Transcript) {
    let (outcome, transcript) = play(scenario, Some(Transcript::default()));
    (outcome, transcript.unwrap_or_default())
}

/// Plays all of these side by side, each in a thread; what came of each, in no certain order.
pub fn run_all(scenarios: &[(String, Scenario)]) -> Vec<(String, Outcome)> {
    play_all(scenarios, |scenario| run(scenario.clone()))
}

/// Plays each scenario by `play`, side by side.
pub(crate) fn play_all<T: Send>(
    scenarios: &[(String, Scenario)],
    play: impl Fn(&Scenario) -> T + Sync,
) -> Vec<(String, T)> {
    let next = AtomicUsize::new(0);
    let play_some = || {
        let mut played = Vec::new();
        while let Some((name, scenario)) = scenarios.get(next.fetch_add(1, Ordering::Relaxed)) {
            played.push((name.clone(), play(scenario)));
        }
        played
    };
    let threads = std::thread::available_parallelism().map_or(4, |n| n.get());
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(play_some)).collect();
        let played = threads.into_iter().map(|thread| thread.join());
        played
            .flat_map(|played| played.expect("a day panicked"))
            .collect()
    })
}

fn play(scenario: Scenario, transcript: Option<Transcript>) -> (Outcome, Option<Transcript>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let cluster = build_cluster(&scenario, transcript);
        for node in 0..NODES {
            cluster.start_node(node);
        }
        spawn_local(cluster.clone().tick_loop());
        spawn_local(cluster.clone().balancer_loop());
        start_users(&cluster, &scenario);
        inject_faults(&cluster, &scenario).await;
        sleep_until(cluster.origin + Duration::from_secs(scenario.seconds)).await;
        let (unowned, unanswered) = cluster.unowned_and_unanswered();
        let stale_host_records = cluster.ghosts();
        for node in 0..NODES {
            cluster.kill_node(node);
        }
        let transcript = cluster.transcript.take();
        let outcome = Outcome {
            unowned,
            unanswered,
            stale_host_records,
            ..outcome_of(&cluster)
        };
        (outcome, transcript)
    })
}

/// The cluster as the day begins, without its controllers.
fn build_cluster(scenario: &Scenario, transcript: Option<Transcript>) -> Rc<SimulatedCluster> {
    let now = Instant::now();
    let zones = vec!["a".to_owned(), "b".to_owned()];
    let mut cloud = Cloud::new(zones, scenario.scale.capacity(), LIST_LAG);
    for n in 0..scenario.scale.hosts() {
        let zone = if n % 2 == 0 { "a" } else { "b" };
        cloud.add(zone, false, now, Duration::ZERO);
    }
    cloud.remember(now);
    let mut faults = ActiveFaults::default();
    faults.seed(scenario.seed);
    let mut rules = InvariantChecker::default();
    rules.calm_from = Some(now + calm_after(scenario));
    let cluster = Rc::new(SimulatedCluster {
        me: RefCell::new(Weak::new()),
        inner: RefCell::new(ClusterState {
            rng: StdRng::seed_from_u64(scenario.seed),
            state: StateService::new(scenario.limits.then_some(LIMITS[0])),
            cloud,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            rules,
            accepted: 0,
            finished: 0,
            nodes: vec![None; NODES],
            generations: vec![0; NODES],
            sockets: vec![None; NODES],
            past_peak: 0,
            past_refused: 0,
            healthy: vec![true; NODES],
            accepted_at: BTreeMap::new(),
            bodies: BTreeMap::new(),
            old: vec![scenario.old_version; NODES],
            faults,
            written: vec![0; NODES],
            unready_since: vec![None; NODES],
        }),
        settings: [false, scenario.limits]
            .map(|next| (0..NODES).map(|n| settings(n, scenario, next)).collect()),
        origin: now,
        scale: scenario.scale,
        plan: scenario.clone(),
        transcript: RefCell::new(transcript),
    });
    *cluster.me.borrow_mut() = Rc::downgrade(&cluster);
    cluster
}

/// How long after the beginning nothing of the faults is left but their consequences.
fn calm_after(scenario: &Scenario) -> Duration {
    let faults = scenario.faults.iter();
    let last = faults
        .map(|(at, fault)| *at + fault.lasts().as_secs() + 1)
        .max();
    let (flood, from) = scenario.flood;
    let flooded = if flood > 0 { from + FLOOD_LASTS_S } else { 0 };
    Duration::from_secs(last.unwrap_or(0).max(flooded))
}

/// Lets a user begin at that moment.
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

/// All users of the day. What is drawn is drawn in this order.
fn start_users(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    spawn_local(users::ask_for_unknown_jobs(cluster.clone()));
    for number in 0..scenario.jobs {
        let at = Duration::from_millis(cluster.draw(scenario.seconds * 700));
        spawn_at(cluster, at, move |cluster| async move {
            let body = users::random_job(&cluster, number);
            users::run_user(cluster, body).await;
        });
    }
    start_flood(cluster, scenario);
    start_dependent_jobs(cluster, scenario);
    for number in 0..scenario.uneven {
        let at = Duration::from_secs(20 + 4 * number as u64);
        spawn_at(cluster, at, move |cluster| {
            users::run_user(cluster, users::uneven_array(number))
        });
    }
    for number in 0..scenario.bound {
        let at = Duration::from_millis(15_000 + 2_500 * number as u64);
        spawn_at(cluster, at, move |cluster| {
            users::run_user(cluster, users::zone_bound_job(number))
        });
    }
    let failing = (0..scenario.broken).map(users::failing_array);
    let huge = scenario.huge_guest_array.then(users::huge_array);
    for (n, body) in failing.chain(huge).enumerate() {
        let at = Duration::from_secs(30 + 7 * n as u64);
        spawn_at(cluster, at, move |cluster| users::run_user(cluster, body));
    }
}

/// Very many urgent jobs within twenty seconds.
fn start_flood(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
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

/// Jobs that depend on others, within a minute, and lists of dependencies that are refused.
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

/// Begins each fault at its time.
async fn inject_faults(cluster: &Rc<SimulatedCluster>, scenario: &Scenario) {
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|(at, _)| *at);
    for (at, fault) in faults {
        sleep_until(cluster.origin + Duration::from_secs(at)).await;
        cluster.inject(fault);
    }
}

/// What came of the day, but for how the deployment stands at its end.
fn outcome_of(cluster: &SimulatedCluster) -> Outcome {
    let (inner, origin) = (cluster.inner.borrow(), cluster.origin);
    let rules = &inner.rules;
    let moves = inner.state.moves.iter();
    let by_class = inner.shares(|job| job.class.to_string());
    let by_team = inner.shares(|job| job.team.to_string());
    let bound = (0..cluster.plan.bound).map(users::bound_id);
    Outcome {
        broken: rules.broken.clone(),
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
        too_large: inner.state.too_large,
        longest: inner.state.longest(),
        staged: rules.staged,
        swept: rules.swept,
        picked: rules.picked,
        sockets: inner.past_peak,
        refused_sockets: inner.past_refused,
        least_largest: least(inner.largest()),
        cancels: cancellations(rules, origin),
        longest_silence: (
            rules.longest_silence.as_secs_f64(),
            rules.longest_silence_in_calm.as_secs_f64(),
        ),
        uneven: rules.uneven,
        bound: bound.filter(|id| rules.begun.contains_key(id)).count(),
        again: rules.again,
        started_after: rules.started_after,
        latest_start: rules.latest_start.as_secs_f64(),
        longest_wait: rules.longest_wait.as_secs_f64(),
        fault_counts: inner.faults.met,
        least_class: least(by_class.clone()),
        least_team: least(by_team.clone()),
        served: by_class.into_iter().chain(by_team).collect(),
        state_peak: inner.state.busiest(),
    }
}

fn cancellations(rules: &InvariantChecker, origin: Instant) -> Vec<ConfirmedCancellation> {
    let one =
        |(id, cancelled): (&String, &crate::invariants::CancelledJob)| ConfirmedCancellation {
            job: id.clone(),
            at: (cancelled.at - origin).as_secs_f64(),
            node: cancelled.node,
            alive: cancelled.alive,
            after: cancelled
                .last_seen
                .map_or(0.0, |seen| (seen - cancelled.at).as_secs_f64()),
        };
    rules.cancels.iter().map(one).collect()
}

/// The smallest share, and whose it is.
fn least(shares: BTreeMap<String, f64>) -> (String, f64) {
    let least = shares.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    // Where there are none, none is behind.
    least.unwrap_or((String::new(), 1.0))
}
