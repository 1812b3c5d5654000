//! The world: several controllers and the stand-ins between them, and how they reach one
//! another.

use crate::{
    cloud::{Cloud, address},
    faults::{ActiveFaults, Endpoint, Fault, FaultCounts, LinkFault},
    lines::{InboundConnection, NoConnection, OutboundConnections, SocketLimit},
    rules::InvariantChecker,
    state::{Limits, Served, StateService},
    transcript::Transcript,
    users,
    workers::{Worker, WorkerTimes},
};
use jasperhill_connections::{Class, PlanInputs};
use jasperhill_controller::{
    Clock, Controller, Settings, Transport,
    transport::{self, Call},
};
use jasperhill_http::{
    ClientError, ConnectionTracker, Method, Request, Response, client::ANSWER_MAX,
};
use jasperhill_membership::LeaseTerms;
use jasperhill_wire::{Micros, user::JobRequest};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until, timeout},
};

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: u64,
    pub jobs: usize,
    /// Troubles at set times.
    pub faults: Vec<(u64, Fault)>,
    pub scale: Scale,
    /// Arrays that were submitted with a mistake: they fail on every machine.
    pub broken: usize,
    /// A team without a guarantee brings a huge array of short, tiny tasks.
    pub huge_guest_array: bool,
    /// Chains of jobs, from this second on.
    pub pipelines: (usize, u64),
    /// The state service has limits, and lower ones are announced.
    pub limits: bool,
    /// All controllers begin with the formats of the old version.
    pub old_version: bool,
    /// What the platform allows each process, and whether processes keep account of it.
    pub sockets: usize,
    pub without_connection_budget: bool,
    /// Controllers never leave their roles, however often they end.
    pub without_crash_loop_backoff: bool,
    /// Nobody gets a turn for having fallen behind.
    pub without_starvation_guard: bool,
    /// So many urgent jobs from this second on, of one team or of all.
    pub flood: (usize, u64),
    pub flood_of_one_team: bool,
    /// Tasks outlast the day, and two of three users cancel between these seconds.
    pub long_tasks: Option<(u64, u64)>,
    /// Arrays of two or three tasks that end far apart; nobody cancels them.
    pub uneven: usize,
    /// Arrays, gangs and services that are bound to one zone, or to all of their tasks in one.
    pub bound: usize,
    /// How long the operators let a session outlive its last renewal, in seconds.
    pub session: Option<u64>,
    /// The guard left out: leases are renewed however old the knowledge is that this rests on.
    pub without_freshness_bound: bool,
}

impl Scenario {
    /// A small deployment with nothing but jobs of its own and these troubles.
    pub fn small(seed: u64, seconds: u64, jobs: usize, troubles: Vec<(u64, Fault)>) -> Self {
        Self {
            seed,
            seconds,
            jobs,
            faults: troubles,
            scale: Scale::Small,
            broken: 0,
            huge_guest_array: false,
            pipelines: (0, 0),
            limits: false,
            old_version: false,
            sockets: SOCKETS,
            without_connection_budget: false,
            without_crash_loop_backoff: false,
            without_starvation_guard: false,
            flood: (0, 0),
            flood_of_one_team: false,
            long_tasks: None,
            uneven: 0,
            bound: 0,
            session: None,
            without_freshness_bound: false,
        }
    }
}

/// What the platform allows where a plan says nothing else.
const SOCKETS: usize = 1_000;

/// How large the deployment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// A handful of machines and jobs of a few tasks.
    Small,
    /// Hundreds of machines, arrays of hundreds, gangs of up to 16 whole machines.
    Large,
    /// Twice as many.
    Fleet,
}

impl Scale {
    /// Machines that are up at the start.
    fn hosts(self) -> usize {
        match self {
            Self::Small => 6,
            Self::Large => 300,
            Self::Fleet => 600,
        }
    }
    /// Machines that there are.
    fn capacity(self) -> usize {
        match self {
            Self::Small => 16,
            Self::Large => 360,
            Self::Fleet => 660,
        }
    }
    /// What a team may use at once.
    fn gpu_limit(self) -> f64 {
        match self {
            Self::Small => 5.0,
            Self::Large => 200.0,
            Self::Fleet => 400.0,
        }
    }
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    pub broken: Vec<String>,
    pub accepted: usize,
    pub finished: usize,
    pub started: usize,
    pub most_at_once: usize,
    /// Tasks that were killed because their machine's lease ran out.
    pub killed: usize,
    /// Of those, in zones that some controller reached all along, as it did the state service.
    pub killed_in_reach: usize,
    /// Submissions that got no verdict, and jobs put before their owners through the store.
    pub undecided: usize,
    pub proposals: usize,
    /// When roles got another owner, from the start: the second, the role and who.
    pub role_moves: Vec<(f64, String, String)>,
    /// At the end: roles without a live owner, and workers whom nobody answers.
    pub unowned: Vec<String>,
    pub unanswered: Vec<String>,
    /// At the end: records of machines that are not there.
    pub stale_host_records: Vec<String>,
    /// Writes that were larger than the state service takes, and the longest value at the end.
    pub too_large: usize,
    pub longest: usize,
    /// Jobs of pipelines that were called done, and cancelled with one before them.
    pub staged: usize,
    pub swept: usize,
    pub picked: bool,
    /// The most sockets that a process had at once, and how many the platform refused it.
    pub sockets: usize,
    pub refused_sockets: usize,
    /// Of the jobs accepted a while before the end, and not cancelled, the part that has begun: the
    /// class and the team for which it is least.
    pub least_class: (String, f64),
    pub least_team: (String, f64),
    /// The same for every class and team.
    pub served: BTreeMap<String, f64>,
    /// Of each class's largest jobs, the part that began within four minutes: the least class.
    pub least_largest: (String, f64),
    /// The cancellations that were confirmed, by when.
    pub cancels: Vec<ConfirmedCancellation>,
    /// The longest that questions about a job went unanswered, in seconds: in all, and after the
    /// troubles.
    pub longest_silence: (f64, f64),
    /// Jobs of tasks that end far apart whose users were told that they are done, and tasks of all
    /// jobs that were started again after their results.
    pub uneven: usize,
    pub again: usize,
    /// Jobs bound to a zone of which a task has begun.
    pub bound: usize,
    /// Starts after their users were told that the job is cancelled, and the latest, in seconds.
    pub started_after: usize,
    pub latest_start: f64,
    /// The longest that a job waited beside room that fits, after the troubles, in seconds.
    pub longest_wait: f64,
    /// What the troubles met with.
    pub fault_counts: FaultCounts,
    /// Changes and requests that the state service counted in its busiest second.
    pub state_peak: usize,
}

/// A confirmed cancellation; times in seconds.
#[derive(Clone, Debug)]
pub struct ConfirmedCancellation {
    pub job: String,
    /// From the start of the day.
    pub at: f64,
    pub node: usize,
    /// Its tasks that were not over then.
    pub alive: usize,
    /// After the confirmation, until the last of them.
    pub after: f64,
}

pub struct ClusterState {
    rng: StdRng,
    state: StateService,
    cloud: Cloud,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, JobRequest>,
    pub rules: InvariantChecker,
    pub accepted: usize,
    pub finished: usize,
    nodes: Vec<Option<Rc<Controller>>>,
    generations: Vec<u64>,
    /// The sockets of each one's present life, as the platform and as it counts them itself, and
    /// what came of those before.
    sockets: Vec<Option<(Rc<SocketLimit>, ConnectionTracker)>>,
    past_peak: usize,
    past_refused: usize,
    /// What the balancer knows.
    healthy: Vec<bool>,
    /// What was submitted, word for word.
    pub bodies: BTreeMap<String, Value>,
    /// When jobs were accepted.
    pub accepted_at: BTreeMap<String, Instant>,
    /// Controllers with the formats of the old version.
    old: Vec<bool>,
    pub faults: ActiveFaults,
    /// Transactions of each controller that the state service has seen.
    written: Vec<u64>,
    /// Since when the balancer has found controllers not ready.
    unready_since: Vec<Option<Instant>>,
}

impl ClusterState {
    /// Of the jobs of each class or team that were accepted a while ago and not cancelled, the part
    /// that has begun. Jobs of pipelines wait for others, and broken ones fail.
    fn shares(&self, of: impl Fn(&JobRequest) -> String) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let over = self.rules.asked.contains(id) || !job.dependencies.is_empty();
            if over || job.class.as_str() == "broken" || now - *at < BEGUN_WITHIN {
                continue;
            }
            let (all, begun) = counts.entry(of(job)).or_default();
            *all += 1;
            *begun += usize::from(self.rules.begun.contains_key(id));
        }
        let part = |(all, begun): (usize, usize)| begun as f64 / all as f64;
        let counts = counts.into_iter();
        counts.map(|(name, n)| (name, part(n))).collect()
    }

    /// Of the largest quarter of the jobs of each class, those accepted four minutes ago or more and
    /// not cancelled before they began, the part that began within that.
    fn largest(&self) -> BTreeMap<String, f64> {
        let now = Instant::now();
        let mut classes: BTreeMap<String, Vec<(u32, bool)>> = BTreeMap::new();
        for (id, at) in &self.accepted_at {
            let job = &self.jobs[id];
            let begun = self.rules.begun.get(id);
            let over = !job.dependencies.is_empty() || job.class.as_str() == "broken";
            let left = begun.is_none() && self.rules.asked.contains(id);
            if over || left || now - *at < LARGEST_WITHIN {
                continue;
            }
            let in_time = begun.is_some_and(|t| t.saturating_duration_since(*at) < LARGEST_WITHIN);
            let all = classes.entry(job.class.to_string()).or_default();
            all.push((job.tasks, in_time));
        }
        let share = |mut all: Vec<(u32, bool)>| {
            all.sort_by_key(|(tasks, _)| std::cmp::Reverse(*tasks));
            let least = all[(all.len() - 1) / 4].0;
            all.retain(|(tasks, _)| *tasks >= least);
            let in_time = all.iter().filter(|(_, t)| *t).count();
            in_time as f64 / all.len() as f64
        };
        classes
            .into_iter()
            .map(|(name, all)| (name, share(all)))
            .collect()
    }

    /// All jobs that one needs, directly or through others.
    pub fn upstream_jobs(&self, id: &str) -> Vec<String> {
        let mut all: Vec<String> = Vec::new();
        let mut next = vec![id.to_owned()];
        while let Some(id) = next.pop() {
            for need in self.jobs.get(&id).iter().flat_map(|j| &j.dependencies) {
                if !all.iter().any(|a| a == need.as_str()) {
                    all.push(need.to_string());
                    next.push(need.to_string());
                }
            }
        }
        all
    }
}

/// A job that was accepted so long before the end should have begun.
const BEGUN_WITHIN: Duration = Duration::from_secs(90);
const LARGEST_WITHIN: Duration = Duration::from_secs(240);

pub struct SimulatedCluster {
    pub inner: RefCell<ClusterState>,
    /// Itself, for what goes on when nobody waits.
    me: RefCell<std::rc::Weak<SimulatedCluster>>,
    /// As the old version reads them, and as the new one does.
    settings: [Vec<Settings>; 2],
    pub origin: Instant,
    pub scale: Scale,
    pub plan: Scenario,
    /// What the controllers send and answer, where that is recorded.
    transcript: RefCell<Option<Transcript>>,
}

const NODES: usize = 3;
/// How often time passes on machines.
const TICK: Duration = Duration::from_millis(100);
/// How long a controller keeps a connection whose other end is gone beyond a cut.
const HALF_OPEN: Duration = Duration::from_millis(6_250);
const LEASE: Duration = Duration::from_secs(16);
pub const CANCEL: Duration = Duration::from_secs(46);

/// What the state service takes at the start and later, where it has limits.
const LIMITS: [Limits; 2] = [
    Limits {
        value_bytes: 16 * 1024,
        txn_ops: 48,
        write_rps: 100.0,
    },
    Limits {
        value_bytes: 2 * 1024,
        txn_ops: 10,
        write_rps: 28.0,
    },
];

fn settings(node: usize, plan: &Scenario, announced: bool) -> Settings {
    let scale = plan.scale;
    let mut text = format!(
        "member='worker-{node}'\nsite='{}'\nbind='10.0.0.{n}:8080'\nmesh_addr='10.0.0.{n}:8081'\n",
        if node == 1 { "b" } else { "a" },
        n = node + 1
    );
    for other in (0..NODES).filter(|o| *o != node) {
        text += &format!(
            "[[others]]\nmember='worker-{other}'\nsite='{}'\nendpoint='10.0.0.{}:8081'\n",
            if other == 1 { "b" } else { "a" },
            other + 1
        );
    }
    text += "[services]\ncloud='10.2.0.2:8443'\nstate='10.2.0.1:2379'\n\
        [params]\nsize=3\nzones=['a','b']\ntime_bound_ms=100.0\n\
        [params.workers]\nreport_s=2.5\nlease_s=16.0\ngang_wait_s=30.0\ngang_peer_s=4.0\ncancel_s=46.0\n\
        [params.state]\nrps=250.0\nwrite_rps=100.0\nvalue_kb=16.0\ntxn_ops=48\n\
        [params.cloud]\nrps=4.0\nlist_lag_s=3.0\n[params.quota]\n";
    text += &format!("max_connections={}\n", plan.sockets);
    if announced {
        text += "[params.state.next]\nwrite_rps=28.0\nvalue_kb=2.0\ntxn_ops=10\n";
    }
    for team in 0..4 {
        text += &format!(
            "[[params.teams]]\nname='team-{team}'\ngpus=2.0\ngpus_max={:?}\n",
            scale.gpu_limit()
        );
    }
    text += "[[params.teams]]\nname='guest'\n";
    let mut settings = Settings::parse(&text).unwrap();
    if plan.without_starvation_guard {
        settings.operator.tuning.least_share = 0.0;
    }
    settings.operator.session = plan.session.map(Micros::from_secs);
    if plan.without_freshness_bound {
        let (lease, cancel) = (Micros::from_secs(900), Micros::from_secs(3_600));
        settings.bounds = LeaseTerms { lease, cancel }.bounds().unwrap();
    }
    if plan.without_crash_loop_backoff {
        settings.operator.crash_loop_threshold = Some(0);
    }
    settings
}

struct SimTransport {
    world: Rc<SimulatedCluster>,
    node: usize,
    lines: OutboundConnections,
}

impl SimTransport {
    fn class_of(&self, to: SocketAddr) -> Class {
        match self.world.place(to) {
            Endpoint::Node(_) => Class::Peers,
            Endpoint::State => Class::State,
            Endpoint::Cloud => Class::Cloud,
            Endpoint::Zone(_) => Class::Commands,
        }
    }
}

impl Transport for SimTransport {
    fn call(&self, to: SocketAddr, request: Request, limit: Duration) -> Call<'_> {
        let (world, node) = (self.world.clone(), self.node);
        Box::pin(async move {
            world.transcribe(|t, at| t.request(at, node, to, &request));
            let ends = match self.lines.take(to, self.class_of(to)) {
                Ok(ends) => ends,
                Err(NoConnection::Own) => return Err(ClientError::NoSocket),
                Err(NoConnection::Platform) => return Err(ClientError::NotSent),
            };
            match timeout(limit, world.clone().carry(node, to, request, limit)).await {
                Ok(result) => match result {
                    Ok(answer) if answer.body.len() > ANSWER_MAX => Err(ClientError::TooLong),
                    Ok(answer) => {
                        self.lines.keep(to, ends);
                        Ok(answer)
                    }
                    Err(error) => Err(error),
                },
                Err(_) => Err(ClientError::NoAnswer),
            }
        })
    }
    fn connection_tracker(&self) -> &ConnectionTracker {
        &self.lines.own
    }
}

impl SimulatedCluster {
    pub fn draw(&self, n: u64) -> u64 {
        self.inner.borrow_mut().rng.random_range(0..n)
    }
    /// Adds to the transcript, if there is one.
    fn transcribe(&self, add: impl FnOnce(&mut Transcript, Duration)) {
        let at = Instant::now() - self.origin;
        if let Some(transcript) = self.transcript.borrow_mut().as_mut() {
            add(transcript, at);
        }
    }

    pub fn record_violation(&self, what: String) {
        self.inner.borrow_mut().rules.record_violation(what);
    }

    /// Waits until a controller no longer stands still.
    async fn wait_while_stalled(&self, node: usize) {
        loop {
            let now = Instant::now();
            let until = self.inner.borrow().faults.frozen_until(node, now);
            match until {
                Some(until) => sleep_until(until).await,
                None => return,
            }
        }
    }

    async fn latency(&self) {
        let ms = if self.draw(50) == 0 {
            300
        } else {
            1 + self.draw(6)
        };
        sleep(Duration::from_millis(ms)).await;
    }

    fn place(&self, to: SocketAddr) -> Endpoint {
        let SocketAddr::V4(v4) = to else {
            panic!("not IPv4")
        };
        let o = v4.ip().octets();
        match o[1] {
            0 => Endpoint::Node(o[3] as usize - 1),
            2 if o[3] == 1 => Endpoint::State,
            2 => Endpoint::Cloud,
            _ => {
                let inner = self.inner.borrow();
                let id = worker_id(to);
                let zone = inner.workers.get(&id).map_or("", |w| w.zone.as_str());
                Endpoint::Zone(zone.to_owned())
            }
        }
    }

    /// One request of a controller, with all that can happen to it on the way.
    async fn carry(
        self: Rc<Self>,
        node: usize,
        to: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        // A standstill between the decision and its way out.
        self.wait_while_stalled(node).await;
        self.latency().await;
        let place = self.place(to);
        let now = Instant::now();
        let cut = self
            .inner
            .borrow()
            .faults
            .cut_until(&Endpoint::Node(node), &place, now);
        if let Some(until) = cut {
            if self.draw(2) == 0 {
                // A connection that does not come about: given up for good.
                sleep(limit.min(Duration::from_millis(1_500))).await;
                return Err(ClientError::NotSent);
            }
            // Held back, and delivered after the cut although nobody waits any more.
            let world = self.clone();
            let late = until + Duration::from_millis(self.draw(2_000));
            spawn_local(async move {
                sleep_until(late).await;
                let _ = world.execute(node, to, request).await;
            });
            sleep(limit * 2).await;
            return Err(ClientError::NoAnswer);
        }
        let from = Endpoint::Node(node);
        let link = self.inner.borrow().faults.on_link(&from, &place, now);
        if let Some((kind, until)) = link {
            return self
                .carry_on_faulty_link(kind, until, (node, to), request, limit)
                .await;
        }
        let answer = self.execute(node, to, request).await;
        let later = self
            .inner
            .borrow()
            .faults
            .on_link(&from, &place, Instant::now());
        match later.map(|(kind, _)| kind) {
            Some(LinkFault::Reset | LinkFault::Refused) => return Err(ClientError::NoAnswer),
            Some(LinkFault::Held | LinkFault::NoAnswers) => sleep(limit * 2).await,
            _ => {}
        }
        if self.draw(300) == 0 {
            // The answer is lost.
            sleep(limit * 2).await;
        }
        self.latency().await;
        self.wait_while_stalled(node).await;
        answer
    }

    /// A request on a link that does not do what it should.
    async fn carry_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        (node, to): (usize, SocketAddr),
        request: Request,
        limit: Duration,
    ) -> Result<Response, ClientError> {
        match kind {
            LinkFault::Held => {
                let world = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    let _ = world.execute(node, to, request).await;
                });
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::Reset => {
                if self.draw(2) == 0 {
                    let _ = self.execute(node, to, request).await;
                }
                Err(ClientError::NoAnswer)
            }
            LinkFault::Refused => Err(ClientError::NotSent),
            LinkFault::NoAnswers => {
                let _ = self.execute(node, to, request).await;
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::NoRequests => {
                sleep(limit * 2).await;
                Err(ClientError::NoAnswer)
            }
            LinkFault::Slow(ms) => {
                sleep(Duration::from_millis(ms)).await;
                let answer = self.execute(node, to, request).await;
                sleep(Duration::from_millis(ms)).await;
                answer
            }
            LinkFault::Lossy(percent) => {
                if self.draw(100) < percent {
                    sleep(limit * 2).await;
                }
                let answer = self.execute(node, to, request).await;
                if self.draw(100) < percent {
                    sleep(limit * 2).await;
                }
                answer
            }
        }
    }

    async fn execute(
        &self,
        node: usize,
        to: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        let now = Instant::now();
        match self.place(to) {
            Endpoint::Node(i) => {
                let found = {
                    let inner = self.inner.borrow();
                    inner.nodes[i].clone().map(|c| (c, inner.generations[i]))
                };
                let Some((controller, life)) = found else {
                    return Err(ClientError::NotSent);
                };
                self.wait_while_stalled(i).await;
                let asked = asked(&request);
                let future = controller.handle_mesh(request);
                drop(controller);
                let answer = future.await;
                self.transcribe(|t, at| t.answer(at, i, &asked, &answer));
                if self.inner.borrow().generations[i] != life {
                    return Err(ClientError::NoAnswer);
                }
                Ok(answer)
            }
            Endpoint::State
                if request.path() == "/txn" && self.is_transaction_delayed(node, &request) =>
            {
                // No answer; whoever sent it gives up.
                sleep(Duration::from_secs(60)).await;
                Err(ClientError::NoAnswer)
            }
            Endpoint::State if self.inner.borrow().old[node] => {
                let answer = self.state(node, as_old_writes(request)).await?;
                Ok(as_old_reads(answer))
            }
            Endpoint::State => self.state(node, request).await,
            Endpoint::Cloud => {
                let mut inner = self.inner.borrow_mut();
                if inner.faults.cloud_until.is_some_and(|t| now < t) {
                    return Ok(Response::new(503, b"{\"error\":\"trouble\"}".to_vec()));
                }
                let ClusterState {
                    cloud,
                    rng,
                    workers,
                    faults,
                    ..
                } = &mut *inner;
                cloud.bad_boots = faults.bad_boots_until.is_some_and(|t| now < t);
                let rng = RefCell::new(rng);
                let (answer, gone) = cloud.serve(&request, now, |n| {
                    rng.borrow_mut().random_range(0..n.max(1))
                });
                for id in gone {
                    workers.remove(&id);
                }
                Ok(answer)
            }
            Endpoint::Zone(_) => {
                let (held, deaf) = {
                    let faults = &mut self.inner.borrow_mut().faults;
                    let held = match request.method {
                        Method::Post => faults.held_order(now),
                        _ => None,
                    };
                    let deaf = held.is_none() && faults.is_deaf(&worker_id(to), now);
                    faults.met.held_orders += usize::from(held.is_some());
                    faults.met.unheard += usize::from(deaf);
                    (held, deaf)
                };
                if let Some((by, answer_only)) = held {
                    self.delay_command(to, request.clone(), by, answer_only);
                }
                let hangs = self.inner.borrow().faults.hangs_until(&worker_id(to), now);
                if let (Some(until), None) = (hangs, held) {
                    // Carried out when the machine goes on, if token and session still match.
                    self.delay_command(to, request.clone(), until - now, false);
                }
                if held.is_some() || deaf || hangs.is_some() {
                    // Whoever sent it gives up.
                    sleep(Duration::from_secs(60)).await;
                    return Err(ClientError::NoAnswer);
                }
                let Some((status, report)) = self.at_worker(to, &request) else {
                    return Err(ClientError::NotSent);
                };
                Ok(Response::new(status, report.to_string().into_bytes()))
            }
        }
    }

    /// A command that comes later, or is carried out now and whose answer comes too late.
    fn delay_command(&self, to: SocketAddr, request: Request, by: Duration, answer_only: bool) {
        if answer_only {
            self.at_worker(to, &request);
        } else if let Some(world) = self.me.borrow().upgrade() {
            spawn_local(async move {
                sleep(by).await;
                let done = world.at_worker(to, &request);
                let met = &mut world.inner.borrow_mut().faults.met;
                met.held_done += usize::from(done.is_some_and(|(status, _)| status == 200));
            });
        }
    }

    /// What a worker makes of a direct request.
    fn at_worker(&self, to: SocketAddr, request: &Request) -> Option<(u16, Value)> {
        let (now, mut inner) = (Instant::now(), self.inner.borrow_mut());
        let ClusterState {
            workers,
            jobs,
            faults,
            ..
        } = &mut *inner;
        let worker = workers.get_mut(&worker_id(to))?;
        Some(if request.method == Method::Get {
            (200, worker.heartbeat())
        } else {
            let body: Value = serde_json::from_slice(&request.body).unwrap();
            let had = worker.tasks.len();
            let told = worker.on_direct_commands(&body, jobs, now);
            let mute = faults.mute_for(&worker.id, now).filter(|_| told.0 == 200);
            faults.met.mute_orders += usize::from(mute.is_some());
            // Longer than two reports and a half, and a second.
            if mute.is_some_and(|t| t > Duration::from_secs(8)) {
                faults.met.mute_starts += worker.tasks.len().saturating_sub(had);
            }
            told
        })
    }

    /// A transaction that is carried out later, after newer ones of the same controller.
    fn is_transaction_delayed(&self, node: usize, request: &Request) -> bool {
        let now = Instant::now();
        let world = self.me.borrow().upgrade();
        let late = self.inner.borrow_mut().faults.late_write(now);
        let (Some(late), Some(world)) = (late, world) else {
            return false;
        };
        let request = request.clone();
        let before = self.inner.borrow().written[node];
        spawn_local(async move {
            sleep(late).await;
            let answer = world.state(node, request).await;
            let mut inner = world.inner.borrow_mut();
            let overtaken = inner.written[node] > before;
            let met = &mut inner.faults.met;
            met.late_writes += 1;
            met.overtaken += usize::from(overtaken);
            met.effective += usize::from(overtaken && answer.is_ok_and(|a| a.status == 200));
        });
        true
    }

    async fn state(&self, node: usize, request: Request) -> Result<Response, ClientError> {
        let now = Instant::now();
        let down = {
            let inner = self.inner.borrow();
            inner.faults.state_until.is_some_and(|t| now < t) || inner.faults.is_refused(node, now)
        };
        if down {
            return Ok(Response::new(503, b"{}".to_vec()));
        }
        let is_txn = request.path() == "/txn";
        let no_hosts = self.inner.borrow().faults.no_host_writes_until;
        if is_txn
            && no_hosts.is_some_and(|t| now < t)
            && String::from_utf8_lossy(&request.body).contains("\"write\":\"jh/hosts/")
        {
            return Ok(Response::new(400, b"{\"error\":\"too large\"}".to_vec()));
        }
        let served = {
            let mut inner = self.inner.borrow_mut();
            inner.written[node] += u64::from(is_txn);
            inner.state.serve(&request, now)
        };
        match served {
            Served::Answer(answer) => Ok(answer),
            Served::Block {
                prefix,
                after,
                until,
            } => loop {
                sleep(Duration::from_millis(15)).await;
                let now = Instant::now();
                let inner = self.inner.borrow();
                let stuck = inner.faults.state_until.is_some_and(|t| now < t)
                    || inner.faults.is_refused(node, now);
                if stuck {
                    // Open watches stay open.
                    continue;
                }
                if let Some(news) = inner.state.watch(&prefix, after) {
                    return Ok(news);
                }
                if now >= until {
                    return Ok(inner.state.nothing_new());
                }
            },
        }
    }

    /// A request of a user or worker to some controller.
    /// It is handled even if whoever sent it no longer waits.
    /// `line`: the connection that whoever sent it has from the last time.
    async fn send_to_controller(
        self: &Rc<Self>,
        node: usize,
        request: Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<Response> {
        self.latency().await;
        let there = match line.take().filter(|l| self.is_open(l, node)) {
            Some(there) => there,
            None => self.open_connection(node)?,
        };
        let (world, (reply, answer)) = (self.clone(), tokio::sync::oneshot::channel());
        let ours = there.clone();
        spawn_local(async move {
            world.wait_while_stalled(node).await;
            let asked = asked(&request);
            let (future, life) = {
                let inner = world.inner.borrow();
                let Some(controller) = inner.nodes[node].as_ref() else {
                    return;
                };
                if !ours.begins(&request) {
                    let full = Response::new(503, b"{}".to_vec());
                    let _ = reply.send(full);
                    return;
                }
                (controller.handle(request), inner.generations[node])
            };
            let answer = future.await;
            world.transcribe(|t, at| t.answer(at, node, &asked, &answer));
            world.wait_while_stalled(node).await;
            ours.rests();
            if world.inner.borrow().generations[node] == life {
                let _ = reply.send(answer);
            }
        });
        let answer = timeout(Duration::from_secs(4), answer).await.ok()?.ok()?;
        *line = Some(there).filter(|l| l.is_open());
        Some(answer)
    }

    fn is_open(&self, line: &InboundConnection, node: usize) -> bool {
        line.node == node && line.is_open() && self.inner.borrow().generations[node] == line.life
    }

    /// The balancer resets the connections of a controller that has not been ready for a while.
    fn is_reset(&self, node: usize) -> bool {
        let since = self.inner.borrow().unready_since[node];
        since.is_some_and(|t| t.elapsed() >= Duration::from_secs(5))
    }

    /// A new connection into a controller.
    fn open_connection(&self, node: usize) -> Option<Rc<InboundConnection>> {
        let (platform, own, life) = {
            let inner = self.inner.borrow();
            let (platform, own) = inner.sockets[node].clone()?;
            (platform, own, inner.generations[node])
        };
        InboundConnection::open(node, life, &platform, &own)
    }

    /// A worker gives its connection up. Beyond a cut the controller does not hear of it.
    fn abandon_connection(self: &Rc<Self>, line: Option<Rc<InboundConnection>>, from: &Endpoint) {
        let Some(line) = line else { return };
        let now = Instant::now();
        let whole = self
            .inner
            .borrow()
            .faults
            .is_whole(from, &Endpoint::Node(line.node), now);
        if !whole {
            spawn_local(async move {
                sleep(HALF_OPEN).await;
                drop(line);
            });
        }
    }

    /// What a user gets: from whom it has a connection to, or from a healthy controller.
    pub async fn user_request(
        self: &Rc<Self>,
        request: &Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(u16, String)> {
        let (_, status, text) = self.user_request_with_responder(request, line).await?;
        Some((status, text))
    }

    /// With who answered.
    pub async fn user_request_with_responder(
        self: &Rc<Self>,
        request: &Request,
        line: &mut Option<Rc<InboundConnection>>,
    ) -> Option<(usize, u16, String)> {
        let mut node = self.draw(NODES as u64) as usize;
        if line.as_ref().is_some_and(|l| self.is_reset(l.node)) {
            *line = None;
        }
        if let Some(there) = line.as_ref().filter(|l| self.is_open(l, l.node)) {
            node = there.node;
        } else {
            let healthy = self.inner.borrow().healthy.clone();
            let well = (0..NODES).map(|n| (node + n) % NODES).find(|n| healthy[*n]);
            node = well.unwrap_or(node);
        }
        let answer = self.send_to_controller(node, request.clone(), line).await?;
        let text = String::from_utf8(answer.body).unwrap();
        Some((node, answer.status, text))
    }

    /// The balancer asks every controller about once a second whether it is ready.
    async fn balancer_loop(self: Rc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            for node in 0..NODES {
                let ask = Request::new(Method::Get, "/ready", Vec::new());
                let mut line = None;
                let answer = timeout(
                    Duration::from_secs(1),
                    self.send_to_controller(node, ask, &mut line),
                );
                let ready = matches!(answer.await, Ok(Some(a)) if a.status == 200);
                let now = Instant::now();
                let mut inner = self.inner.borrow_mut();
                inner.healthy[node] = ready;
                let since = &mut inner.unready_since[node];
                *since = (!ready).then(|| since.unwrap_or(now));
            }
        }
    }

    fn start_node(self: &Rc<Self>, node: usize) {
        let skew = self.draw(100) * 1_000;
        let origin = self.origin;
        let clock = Clock::new(move || {
            let since = (Instant::now() - origin).as_micros() as u64;
            Micros(1_700_000_000_000_000 + since + skew)
        });
        let announced = usize::from(!self.inner.borrow().old[node]);
        let settings = self.settings[announced][node].clone();
        let platform = SocketLimit::new(self.plan.sockets);
        let own = if self.plan.without_connection_budget {
            let sizes = PlanInputs {
                most: 1_000_000,
                peers: NODES - 1,
                machines: 0,
            };
            ConnectionTracker::new(sizes, Duration::from_secs(3_600))
        } else {
            transport::new_connection_tracker(&settings)
        };
        let net = Rc::new(SimTransport {
            world: self.clone(),
            node,
            lines: OutboundConnections::new(platform.clone(), own.clone()),
        });
        let controller = Rc::new(Controller::start(settings, clock, net));
        let mut inner = self.inner.borrow_mut();
        inner.nodes[node] = Some(controller);
        inner.sockets[node] = Some((platform, own));
    }

    fn kill_node(&self, node: usize) {
        let mut inner = self.inner.borrow_mut();
        inner.generations[node] += 1;
        if let Some((platform, _)) = inner.sockets[node].take() {
            inner.past_peak = inner.past_peak.max(platform.peak.get());
            inner.past_refused += platform.refused.get();
        }
        let old = inner.nodes[node].take();
        drop(inner);
        drop(old);
    }

    fn inject(self: &Rc<Self>, trouble: Fault) {
        let now = Instant::now();
        match trouble {
            Fault::Crash(node, back) => {
                self.kill_node(node);
                let world = self.clone();
                spawn_local(async move {
                    sleep(back).await;
                    world.start_node(node);
                });
            }
            Fault::CrashLeader(back) => {
                let leads = self.inner.borrow().state.field("jh/leader", "o");
                let name = leads.as_ref().and_then(Value::as_str);
                let node = name.and_then(|n| n.strip_prefix("worker-")?.parse().ok());
                if let Some(node) = node {
                    self.inject(Fault::Crash(node, back));
                }
            }
            Fault::CrashLoop {
                node,
                times,
                life,
                back,
            } => {
                let world = self.clone();
                spawn_local(async move {
                    for _ in 0..times {
                        world.kill_node(node);
                        sleep(back).await;
                        world.start_node(node);
                        sleep(life).await;
                    }
                });
            }
            Fault::Upgrade(node, back) => {
                self.kill_node(node);
                let world = self.clone();
                spawn_local(async move {
                    sleep(back).await;
                    // Whoever restarted it meanwhile started the old version.
                    world.kill_node(node);
                    world.inner.borrow_mut().old[node] = false;
                    world.start_node(node);
                });
            }
            Fault::LimitsFall => {
                self.inner.borrow_mut().state.limits = Some(LIMITS[1]);
            }
            Fault::Link(from, to, kind, time) => {
                let mut inner = self.inner.borrow_mut();
                inner.faults.link(from, to, kind, now + time);
            }
            Fault::Cut(a, b, time) => self.inner.borrow_mut().faults.cut(a, b, now + time),
            Fault::StateOutage(time) => {
                self.inner.borrow_mut().faults.state_until = Some(now + time);
                let world = self.clone();
                spawn_local(async move {
                    sleep(time).await;
                    world.inner.borrow_mut().state.refill(Instant::now());
                });
            }
            Fault::Refused(node, time) => {
                self.inner.borrow_mut().faults.refuse(node, now + time);
            }
            Fault::CloudOutage(time) => {
                self.inner.borrow_mut().faults.cloud_until = Some(now + time);
            }
            Fault::Stall(node, time) => self.inner.borrow_mut().faults.freeze(node, now + time),
            Fault::LateWrites(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                inner.faults.late_writes.begin(percent, now + time);
            }
            Fault::LateHeartbeats(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                inner.faults.late_reports.begin(percent, now + time);
            }
            Fault::DelayedCommands(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                inner.faults.held_orders.begin(percent, now + time);
            }
            Fault::NoHostWrites(time) => {
                self.inner.borrow_mut().faults.no_host_writes_until = Some(now + time);
            }
            Fault::NotReceiving(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                let ids: Vec<String> = inner.workers.keys().cloned().collect();
                for id in ids {
                    if inner.faults.draw(100) < percent {
                        inner.faults.deafen(id, now + time);
                    }
                }
            }
            Fault::NotSending(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                let ids: Vec<String> = inner.workers.keys().cloned().collect();
                for id in ids {
                    if inner.faults.draw(100) < percent {
                        inner.faults.silence(id, now, now + time);
                    }
                }
            }
            Fault::Hang(count, time) => {
                let mut inner = self.inner.borrow_mut();
                let mut ids: Vec<String> = inner.workers.keys().cloned().collect();
                while ids.len() > count {
                    let n = inner.faults.draw(ids.len() as u64) as usize;
                    ids.remove(n);
                }
                drop(inner);
                self.hang(ids, time);
            }
            Fault::CancelNow(count, hang) => self.cancel_running_jobs(count, hang),
            Fault::CancelAtEnd(percent, time) => {
                let mut inner = self.inner.borrow_mut();
                inner.faults.cancel_at_end.begin(percent, now + time);
            }
            Fault::InvalidRequests(time) => {
                spawn_local(users::send_invalid_requests(self.clone(), now + time));
            }
            Fault::BadBoots(time) => {
                self.inner.borrow_mut().faults.bad_boots_until = Some(now + time);
            }
            Fault::MachineLoss => {
                let mut inner = self.inner.borrow_mut();
                let ids: Vec<String> = inner.workers.keys().cloned().collect();
                if !ids.is_empty() {
                    let n = inner.rng.random_range(0..ids.len());
                    inner.workers.remove(&ids[n]);
                    inner.cloud.machines.remove(&ids[n]);
                }
            }
        }
    }

    /// Records of machines that the cloud does not have.
    fn ghosts(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let recorded = inner.state.recorded();
        let there = |id: &String| inner.cloud.machines.contains_key(id);
        recorded.into_iter().filter(|id| !there(id)).collect()
    }

    /// The roles without a live owner, and the workers whom nobody has answered for some reports.
    fn unowned_and_unanswered(&self) -> (Vec<String>, Vec<String>) {
        let now = Instant::now();
        let inner = self.inner.borrow();
        let roles = (0..NODES).map(|n| format!("jh/part/{n}"));
        let owned = |key: &String| {
            let owner = inner.state.field(key, "o")?;
            let session = format!("jh/session/{}", owner.as_str()?);
            (inner.state.field(key, "l")? == inner.state.field(&session, "l")?).then_some(())
        };
        let unowned = roles
            .chain(["jh/leader".to_owned()])
            .filter(|key| owned(key).is_none())
            .collect();
        let late = |w: &&Worker| now - w.lease_from > Duration::from_secs(9);
        let unanswered = inner.workers.values().filter(late).map(|w| w.id.clone());
        (unowned, unanswered.collect())
    }

    /// Waits until a machine no longer stands still; whether it did.
    async fn wait_while_hung(&self, id: &str) -> bool {
        let mut hung = false;
        loop {
            let until = self.inner.borrow().faults.hangs_until(id, Instant::now());
            let Some(until) = until else { return hung };
            hung = true;
            sleep_until(until).await;
        }
    }

    /// These machines stand still for a while; those that have tasks and go on within their lease are
    /// counted.
    fn hang(self: &Rc<Self>, ids: Vec<String>, time: Duration) {
        let now = Instant::now();
        for id in ids {
            let mut inner = self.inner.borrow_mut();
            let before = inner.workers.get(&id).map(|w| w.incarnation);
            inner.faults.hang(id.clone(), now + time);
            inner.faults.met.hung += 1;
            drop(inner);
            let world = self.clone();
            spawn_local(async move {
                sleep(time).await;
                let mut inner = world.inner.borrow_mut();
                let after = inner.workers.get(&id);
                let went_on =
                    after.is_some_and(|w| Some(w.incarnation) == before && !w.tasks.is_empty());
                inner.faults.met.went_on += usize::from(went_on);
            });
        }
    }

    /// Users call off so many jobs that run and have long to go, and machines of theirs hang.
    fn cancel_running_jobs(self: &Rc<Self>, count: usize, hang: Duration) {
        let now = Instant::now();
        let far = now + hang.max(Duration::from_secs(10));
        let mut found: BTreeMap<String, Vec<String>> = BTreeMap::new();
        {
            use crate::workers::Phase;
            let inner = self.inner.borrow();
            for worker in inner.workers.values() {
                for ((task, _), t) in &worker.tasks {
                    let id = task.job.to_string();
                    let lasts = matches!(t.phase, Phase::Running { until } if until.is_none_or(|t| t > far));
                    let own = inner.accepted_at.contains_key(&id)
                        && inner.jobs[&id].dependencies.is_empty();
                    if lasts && own && !inner.rules.asked.contains(&id) {
                        found.entry(id).or_default().push(worker.id.clone());
                    }
                }
            }
        }
        let mut machines = BTreeSet::new();
        for (id, hosts) in found.into_iter().take(count) {
            machines.extend(hosts);
            let (world, wait) = (self.clone(), Duration::from_millis(self.draw(200)));
            self.inner.borrow_mut().faults.met.called_off += 1;
            spawn_local(async move {
                sleep(wait).await;
                users::cancel(&world, &id).await;
            });
        }
        if hang > Duration::ZERO {
            let machines = machines.into_iter().take(8).collect();
            let world = self.clone();
            spawn_local(async move {
                // Orders may just be on their way.
                sleep(Duration::from_millis(world.draw(400))).await;
                world.hang(machines, hang);
            });
        }
    }

    /// Reports as the protocol says: regularly, and soon after a change.
    async fn worker_loop(self: Rc<Self>, id: String) {
        let mut last = Instant::now();
        let mut line: Option<Rc<InboundConnection>> = None;
        loop {
            let wait = Duration::from_millis(1_875 + self.draw(1_250));
            let due = last + wait;
            loop {
                sleep(Duration::from_millis(100)).await;
                let inner = self.inner.borrow();
                let Some(worker) = inner.workers.get(&id) else {
                    return;
                };
                let soon = worker.changed && last.elapsed() >= Duration::from_millis(500);
                if soon || Instant::now() >= due {
                    break;
                }
            }
            self.wait_while_hung(&id).await;
            last = Instant::now();
            let (report, node, tenure, place) = {
                let mut inner = self.inner.borrow_mut();
                let Some(worker) = inner.workers.get_mut(&id) else {
                    return;
                };
                worker.changed = false;
                let report = worker.heartbeat().to_string().into_bytes();
                (
                    report,
                    worker.node,
                    worker.incarnation,
                    Endpoint::Zone(worker.zone.clone()),
                )
            };
            let request = Request::new(Method::Post, "/hello", report);
            self.repeat_heartbeat_late(&id, node, &request, last);
            let cut = self
                .inner
                .borrow()
                .faults
                .cut_until(&Endpoint::Node(node), &place, last);
            let link = self
                .inner
                .borrow()
                .faults
                .on_link(&place, &Endpoint::Node(node), last);
            if line.as_ref().is_some_and(|l| l.node != node) {
                self.abandon_connection(line.take(), &place);
            }
            let mute = self.inner.borrow().faults.is_mute(&id, last);
            let answer = if mute {
                // No connection comes about.
                self.abandon_connection(line.take(), &place);
                self.inner.borrow_mut().faults.met.mute_reports += 1;
                sleep(Duration::from_millis(500)).await;
                None
            } else if let Some((kind, until)) = link {
                self.abandon_connection(line.take(), &place);
                self.heartbeat_on_faulty_link(kind, until, node, request)
                    .await
            } else if let Some(until) = cut {
                // The report is delivered late; nobody waits for the answer.
                self.abandon_connection(line.take(), &place);
                let world = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    world.send_to_controller(node, request, &mut None).await;
                });
                sleep(Duration::from_secs(4)).await;
                None
            } else {
                self.send_to_controller(node, request, &mut line).await
            };
            let answer = match self.wait_while_hung(&id).await {
                // It came while the machine stood still.
                true if last.elapsed() > Duration::from_secs(4) => None,
                _ => answer,
            };
            let mut now = Instant::now();
            let deaf = self.inner.borrow().faults.is_deaf(&id, now);
            let answer = if deaf && answer.is_some() {
                self.inner.borrow_mut().faults.met.unheard += 1;
                sleep_until(last + Duration::from_secs(4)).await;
                now = Instant::now();
                None
            } else {
                answer
            };
            let next = {
                let mut inner = self.inner.borrow_mut();
                if answer.as_ref().is_some_and(|a| a.status == 200)
                    && inner.faults.is_refused(node, now)
                {
                    inner.faults.met.answered_refused += 1;
                }
                let ClusterState { workers, jobs, .. } = &mut *inner;
                let Some(worker) = workers.get_mut(&id) else {
                    return;
                };
                match answer {
                    Some(a) if a.status == 200 => {
                        let body: Value = serde_json::from_slice(&a.body).unwrap();
                        worker.on_heartbeat_answer(&body, last, tenure, jobs, now);
                        None
                    }
                    Some(a) if a.status == 421 => {
                        let body: Value = serde_json::from_slice(&a.body).unwrap();
                        let to = body["reports_to"]
                            .as_str()
                            .and_then(|m| m.strip_prefix("worker-")?.parse::<usize>().ok());
                        match to {
                            Some(to) if to != node => {
                                worker.node = to;
                                worker.changed = true;
                                Some(Duration::from_millis(200))
                            }
                            _ => Some(Duration::from_secs(1)),
                        }
                    }
                    _ => Some(Duration::from_secs(1)),
                }
            };
            if let Some(pause) = next {
                sleep(pause).await;
                let mut inner = self.inner.borrow_mut();
                if let Some(worker) = inner.workers.get_mut(&id) {
                    if pause == Duration::from_secs(1) {
                        worker.node = (worker.node + 1) % NODES;
                    }
                    worker.changed = true;
                }
            }
        }
    }

    /// A copy of a report may come once more, much later, perhaps elsewhere.
    fn repeat_heartbeat_late(
        self: &Rc<Self>,
        id: &str,
        node: usize,
        request: &Request,
        now: Instant,
    ) {
        let (late, node) = {
            let faults = &mut self.inner.borrow_mut().faults;
            let Some(late) = faults.late_report(now, LEASE) else {
                return;
            };
            let other = faults.draw(NODES as u64) as usize;
            (late, if faults.draw(2) == 0 { node } else { other })
        };
        let (world, request, id) = (self.clone(), request.clone(), id.to_owned());
        spawn_local(async move {
            sleep(late).await;
            let recorded = |inner: &ClusterState| inner.state.recorded().contains(&id);
            let gone = {
                let mut inner = world.inner.borrow_mut();
                inner.faults.met.late_reports += 1;
                let gone = !inner.workers.contains_key(&id) && !recorded(&inner);
                inner.faults.met.late_of_gone += usize::from(gone);
                gone
            };
            // Nobody waits for the answer.
            world.send_to_controller(node, request, &mut None).await;
            if gone {
                sleep(Duration::from_secs(3)).await;
                let mut inner = world.inner.borrow_mut();
                inner.faults.met.taken_on_gone += usize::from(recorded(&inner));
            }
        });
    }

    /// A report on a link that does not do what it should.
    async fn heartbeat_on_faulty_link(
        self: &Rc<Self>,
        kind: LinkFault,
        until: Instant,
        node: usize,
        request: Request,
    ) -> Option<Response> {
        const WAIT: Duration = Duration::from_secs(4);
        match kind {
            LinkFault::Held => {
                let world = self.clone();
                spawn_local(async move {
                    sleep_until(until).await;
                    world.send_to_controller(node, request, &mut None).await;
                });
                sleep(WAIT).await;
                None
            }
            LinkFault::Refused => None,
            LinkFault::Reset => {
                if self.draw(2) == 0 {
                    self.send_to_controller(node, request, &mut None).await;
                }
                None
            }
            LinkFault::NoAnswers => {
                let _ = timeout(WAIT, self.send_to_controller(node, request, &mut None)).await;
                sleep(WAIT).await;
                None
            }
            LinkFault::NoRequests => {
                sleep(WAIT).await;
                None
            }
            LinkFault::Slow(ms) => {
                let slow = async {
                    sleep(Duration::from_millis(ms)).await;
                    let answer = self.send_to_controller(node, request, &mut None).await;
                    sleep(Duration::from_millis(ms)).await;
                    answer
                };
                timeout(WAIT, slow).await.ok().flatten()
            }
            LinkFault::Lossy(percent) => {
                if self.draw(100) < percent {
                    sleep(WAIT).await;
                    return None;
                }
                let answer = self.send_to_controller(node, request, &mut None).await;
                if self.draw(100) < percent {
                    sleep(WAIT).await;
                    return None;
                }
                answer
            }
        }
    }

    /// Notes the zones whose workers no controller reaches that the state service answers.
    fn note_unreachable_zones(inner: &mut ClusterState, now: Instant) {
        for zone in ["a", "b"] {
            let there = Endpoint::Zone(zone.to_owned());
            let reached = (0..NODES).any(|n| {
                let (here, faults) = (Endpoint::Node(n), &inner.faults);
                inner.nodes[n].is_some()
                    && faults.frozen_until(n, now).is_none()
                    && !faults.is_refused(n, now)
                    && faults.state_until.is_none_or(|t| now >= t)
                    && faults.is_whole(&here, &Endpoint::State, now)
                    && faults.is_whole(&here, &there, now)
                    && faults.is_whole(&there, &here, now)
            });
            if !reached {
                inner.rules.out_of_reach.insert(zone.to_owned(), now);
            }
        }
    }

    async fn tick_loop(self: Rc<Self>) {
        let limits: BTreeMap<String, u64> = (0..4)
            .map(|t| (format!("team-{t}"), (self.scale.gpu_limit() * 1e6) as u64))
            .collect();
        let times = WorkerTimes {
            lease: LEASE,
            gang_wait: Duration::from_secs(30),
        };
        let mut ticks = 0u64;
        loop {
            sleep(TICK).await;
            let now = Instant::now();
            let mut fresh = Vec::new();
            let ends;
            {
                let mut inner = self.inner.borrow_mut();
                Self::note_unreachable_zones(&mut inner, now);
                let ClusterState {
                    cloud,
                    workers,
                    rules,
                    jobs,
                    rng,
                    state,
                    faults,
                    accepted_at,
                    ..
                } = &mut *inner;
                if faults.state_until.is_none_or(|t| now >= t) {
                    state.expire(now);
                }
                for machine in cloud.machines.values_mut() {
                    if !machine.up && now >= machine.boots {
                        machine.up = true;
                        let node = rng.random_range(0..NODES);
                        workers.insert(
                            machine.id.clone(),
                            Worker::new(&machine.id, &machine.zone, machine.spot, node, now),
                        );
                        fresh.push(machine.id.clone());
                    }
                }
                cloud.remember(now);
                let mut hung = BTreeSet::new();
                for worker in workers.values_mut() {
                    if faults.hangs_until(&worker.id, now).is_some() {
                        worker.hang(TICK, now, &times, rules);
                        hung.insert(worker.id.clone());
                    } else {
                        worker.tick(now, &times, jobs, rules);
                    }
                }
                advance_gangs(workers, jobs, rules, &hung, now);
                rules.check(workers, jobs, &limits, CANCEL, now);
                ticks += 1;
                if ticks.is_multiple_of(10) {
                    rules.check_waiting_jobs(workers, jobs, accepted_at, &limits, now);
                }
                let at_end = rules.just_ended(jobs).into_iter();
                ends = at_end.filter(|_| faults.at_end(now)).collect::<Vec<_>>();
            }
            for id in ends {
                users::cancel_at_end(&self, id);
            }
            for id in fresh {
                spawn_local(self.clone().worker_loop(id));
            }
        }
    }
}

fn least(shares: BTreeMap<String, f64>) -> (String, f64) {
    let least = shares.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
    // Where there are none, none is behind.
    least.unwrap_or((String::new(), 1.0))
}

/// Gangs start together, complete together and fail together.
fn advance_gangs(
    workers: &mut BTreeMap<String, Worker>,
    jobs: &BTreeMap<String, JobRequest>,
    rules: &mut InvariantChecker,
    hung: &BTreeSet<String>,
    now: Instant,
) {
    use crate::workers::Phase;
    use jasperhill_wire::{TaskId, user::Shape};
    type Seat = (String, TaskId, Phase);
    let mut seen: BTreeMap<(String, u64), Vec<Seat>> = BTreeMap::new();
    // What stands still notices nothing, and the rest of its gang that it is missing.
    for worker in workers.values().filter(|w| !hung.contains(&w.id)) {
        for ((task, attempt), t) in &worker.tasks {
            if jobs
                .get(task.job.as_str())
                .is_some_and(|j| j.shape == Shape::Gang)
            {
                let key = (task.job.to_string(), *attempt);
                seen.entry(key).or_default().push((
                    worker.id.clone(),
                    task.clone(),
                    t.phase.clone(),
                ));
            }
        }
    }
    for ((job, attempt), tasks) in seen {
        let job = &jobs[&job];
        let waiting = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Waiting(_)))
            .count();
        let running = tasks
            .iter()
            .filter(|(.., p)| matches!(p, Phase::Running { .. }))
            .count();
        let all = job.tasks as usize;
        // Guards against a task that ends by itself in the moment in which another one's machine
        // loses its lease: the job would be done with a task that never was.
        let over = |p: &Phase| matches!(p, Phase::Running { until: Some(t) } if now >= *t);
        let done = running == all && tasks.iter().any(|(.., p)| over(p));
        let to = if waiting == all {
            Phase::Running {
                until: Some(now + Duration::from_micros(job.estimate.0)),
            }
        } else if done {
            Phase::Exited("done")
        } else if running > 0 && running < all {
            Phase::Exited("peers")
        } else {
            continue;
        };
        for (host, task, phase) in tasks {
            if matches!(phase, Phase::Exited(_) | Phase::Fetching(_)) {
                continue;
            }
            if to == Phase::Exited("done") {
                rules.finished(&task);
            }
            if let Some(worker) = workers.get_mut(&host)
                && let Some(t) = worker.tasks.get_mut(&(task, attempt))
            {
                t.phase = to.clone();
                worker.changed = true;
            }
        }
    }
}

/// What the old version writes: nothing that it does not know.
fn as_old_writes(mut request: Request) -> Request {
    if request.path() == "/txn" {
        let mut body: Value = serde_json::from_slice(&request.body).unwrap();
        if let Some(changes) = body["then"].as_array_mut() {
            changes.retain_mut(|c| {
                let key = c["write"].as_str().unwrap_or_default().to_owned();
                !strip_unknown_fields(&key, &mut c["data"])
            });
        }
        request.body = body.to_string().into_bytes();
    }
    request
}

/// What the old version understands of what it reads.
fn as_old_reads(mut answer: Response) -> Response {
    let Ok(mut body) = serde_json::from_slice::<Value>(&answer.body) else {
        return answer;
    };
    for (list, name) in [("pairs", "k"), ("news", "write")] {
        if let Some(items) = body[list].as_array_mut() {
            items.retain_mut(|i| {
                let key = i[name].as_str().unwrap_or_default().to_owned();
                !strip_unknown_fields(&key, &mut i["data"])
            });
        }
    }
    if body.is_object() {
        let empty = |v: &mut Value, k: &str| {
            v.as_object_mut()
                .is_some_and(|o| o.get(k).is_some_and(Value::is_null))
        };
        for k in ["pairs", "news"] {
            if empty(&mut body, k) {
                body.as_object_mut().unwrap().remove(k);
            }
        }
        answer.body = body.to_string().into_bytes();
    }
    answer
}

/// Takes from a record what the old version does not know; true if it knows nothing of it.
fn strip_unknown_fields(key: &str, value: &mut Value) -> bool {
    if let Some(fields) = value.as_object_mut() {
        if key.starts_with("jh/session/") {
            fields.remove("f");
        }
        if let Some(request) = fields.get_mut("r").and_then(Value::as_object_mut) {
            request.remove("w");
        }
    }
    key.starts_with("jh/format/") || key.starts_with("jh/types/")
}

/// How a transcript names a request to a controller.
fn asked(request: &Request) -> String {
    format!("{} {}", request.method.as_str(), request.target)
}

fn worker_id(to: SocketAddr) -> String {
    let SocketAddr::V4(v4) = to else {
        panic!("not IPv4")
    };
    let o = v4.ip().octets();
    let id = format!("n-{:06}", u32::from(o[2]) * 200 + u32::from(o[3]) - 1);
    debug_assert_eq!(address(&id), to.to_string());
    id
}

/// Plays a plan and says what came of it.
pub fn run(plan: Scenario) -> Outcome {
    play(plan, None).0
}

/// As `run`, and records all that the controllers sent and answered.
pub fn run_recorded(plan: Scenario) -> (Outcome, Transcript) {
    let (outcome, transcript) = play(plan, Some(Transcript::default()));
    (outcome, transcript.unwrap_or_default())
}

fn play(plan: Scenario, transcript: Option<Transcript>) -> (Outcome, Option<Transcript>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let now = Instant::now();
        let zones = vec!["a".to_owned(), "b".to_owned()];
        let mut cloud = Cloud::new(zones, plan.scale.capacity(), Duration::from_secs(3));
        for n in 0..plan.scale.hosts() {
            cloud.add(
                if n % 2 == 0 { "a" } else { "b" },
                false,
                now,
                Duration::ZERO,
            );
        }
        cloud.remember(now);
        let mut faults = ActiveFaults::default();
        faults.seed(plan.seed);
        let world = Rc::new(SimulatedCluster {
            me: RefCell::new(std::rc::Weak::new()),
            inner: RefCell::new(ClusterState {
                rng: StdRng::seed_from_u64(plan.seed),
                state: StateService::new(plan.limits.then_some(LIMITS[0])),
                cloud,
                workers: BTreeMap::new(),
                jobs: BTreeMap::new(),
                rules: InvariantChecker::default(),
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
                old: vec![plan.old_version; NODES],
                faults,
                written: vec![0; NODES],
                unready_since: vec![None; NODES],
            }),
            settings: [false, plan.limits]
                .map(|next| (0..NODES).map(|n| settings(n, &plan, next)).collect()),
            origin: now,
            scale: plan.scale,
            plan: plan.clone(),
            transcript: RefCell::new(transcript),
        });
        *world.me.borrow_mut() = Rc::downgrade(&world);
        let ends = plan
            .faults
            .iter()
            .map(|(at, t)| *at + t.lasts().as_secs() + 1);
        // More work than room is a trouble too.
        let (flood, from) = plan.flood;
        let flooded = if flood > 0 { from + 200 } else { 0 };
        let calm = now + Duration::from_secs(ends.max().unwrap_or(0).max(flooded));
        world.inner.borrow_mut().rules.calm_from = Some(calm);
        for node in 0..NODES {
            world.start_node(node);
        }
        spawn_local(world.clone().tick_loop());
        spawn_local(world.clone().balancer_loop());
        spawn_local(users::ask_for_unknown_jobs(world.clone()));
        for number in 0..plan.jobs {
            let world = world.clone();
            let at = now + Duration::from_millis(world.draw(plan.seconds * 700));
            spawn_local(async move {
                sleep_until(at).await;
                let body = users::random_job(&world, number);
                users::run_user(world, body).await;
            });
        }
        let (flood, from) = plan.flood;
        for number in 0..flood {
            let world = world.clone();
            let at = now + Duration::from_secs(from) + Duration::from_millis(world.draw(20_000));
            spawn_local(async move {
                sleep_until(at).await;
                let team = if world.plan.flood_of_one_team {
                    0
                } else {
                    number % 4
                };
                users::run_user(world, users::flood_job(number, team)).await;
            });
        }
        let (pipelines, from) = plan.pipelines;
        if pipelines > 0 {
            let world = world.clone();
            spawn_local(async move {
                sleep(Duration::from_secs(from)).await;
                users::send_bad_dependencies(world).await;
            });
        }
        for number in 0..pipelines {
            let world = world.clone();
            let at = now + Duration::from_secs(from) + Duration::from_millis(world.draw(60_000));
            spawn_local(async move {
                sleep_until(at).await;
                let stages = users::dependent_jobs(&world, number);
                users::run_dependent_jobs(world, stages).await;
            });
        }
        let extra = (0..plan.broken).map(users::failing_array);
        for number in 0..plan.uneven {
            let world = world.clone();
            let at = now + Duration::from_secs(20) + Duration::from_secs(4 * number as u64);
            spawn_local(async move {
                sleep_until(at).await;
                users::run_user(world, users::uneven_array(number)).await;
            });
        }
        for number in 0..plan.bound {
            let world = world.clone();
            let at = now + Duration::from_secs(15) + Duration::from_millis(2_500 * number as u64);
            spawn_local(async move {
                sleep_until(at).await;
                users::run_user(world, users::zone_bound_job(number)).await;
            });
        }
        let extra = extra.chain(plan.huge_guest_array.then(users::huge_array));
        for (n, body) in extra.enumerate() {
            let world = world.clone();
            spawn_local(async move {
                sleep(Duration::from_secs(30 + 7 * n as u64)).await;
                users::run_user(world, body).await;
            });
        }
        let mut troubles = plan.faults.clone();
        troubles.sort_by_key(|(at, _)| *at);
        for (at, trouble) in troubles {
            sleep_until(now + Duration::from_secs(at)).await;
            world.inject(trouble);
        }
        sleep_until(now + Duration::from_secs(plan.seconds)).await;
        let (unowned, unanswered) = world.unowned_and_unanswered();
        let ghosts = world.ghosts();
        for node in 0..NODES {
            world.kill_node(node);
        }
        let transcript = world.transcript.take();
        let inner = world.inner.borrow();
        let outcome = Outcome {
            broken: inner.rules.broken.clone(),
            accepted: inner.accepted,
            finished: inner.finished,
            started: inner.rules.started,
            most_at_once: inner.rules.most_at_once,
            killed: inner.rules.killed,
            killed_in_reach: inner.rules.killed_in_reach,
            role_moves: inner
                .state
                .moves
                .iter()
                .map(|(at, role, who)| ((*at - now).as_secs_f64(), role.clone(), who.clone()))
                .collect(),
            undecided: inner.rules.undecided,
            proposals: inner.state.wants,
            unowned,
            unanswered,
            stale_host_records: ghosts,
            too_large: inner.state.too_large,
            longest: inner.state.longest(),
            staged: inner.rules.staged,
            swept: inner.rules.swept,
            picked: inner.rules.picked,
            sockets: inner.past_peak,
            refused_sockets: inner.past_refused,
            least_largest: least(inner.largest()),
            cancels: inner
                .rules
                .cancels
                .iter()
                .map(|(id, c)| ConfirmedCancellation {
                    job: id.clone(),
                    at: (c.at - now).as_secs_f64(),
                    node: c.node,
                    alive: c.alive,
                    after: c.last_seen.map_or(0.0, |t| (t - c.at).as_secs_f64()),
                })
                .collect(),
            longest_silence: (
                inner.rules.longest_silence.as_secs_f64(),
                inner.rules.longest_silence_in_calm.as_secs_f64(),
            ),
            uneven: inner.rules.uneven,
            bound: (0..plan.bound)
                .filter(|n| inner.rules.begun.contains_key(&users::bound_id(*n)))
                .count(),
            again: inner.rules.again,
            started_after: inner.rules.started_after,
            latest_start: inner.rules.latest_start.as_secs_f64(),
            longest_wait: inner.rules.longest_wait.as_secs_f64(),
            fault_counts: inner.faults.met,
            least_class: least(inner.shares(|j| j.class.to_string())),
            least_team: least(inner.shares(|j| j.team.to_string())),
            served: inner
                .shares(|j| j.class.to_string())
                .into_iter()
                .chain(inner.shares(|j| j.team.to_string()))
                .collect(),
            state_peak: inner.state.busiest(),
        };
        (outcome, transcript)
    })
}
