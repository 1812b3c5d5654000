//! A controller's state and the loops that drive it. The state lives in one cell that is
//! never borrowed across an await.

use crate::{
    budget::TokenBucket,
    clock::Clock,
    cloud::LeaderState,
    counts::TaskCountCache,
    hostbook::HostRegistry,
    keep::{DelegationGrants, DelegationRequests},
    links::RelaySlots,
    mirror::{self, ActiveJob, Change, JobEntry, WatchCache},
    net::Transport,
    pulse::{self, StallDetector},
    settings::Settings,
    store::CommitQueue,
    upgrade::{FeatureGate, MemberVersions},
};
use jasperhill_connections::{Class, ConcurrencyLimiter};
use jasperhill_http::{Request, Response};
use jasperhill_membership::{
    Reachability, RestartHistory, Roles,
    authority::{self, Authority, Session},
    link::Observation,
    roles,
    view::LinkId,
};
use jasperhill_scheduler::{
    Partition, SchedulerConfig,
    chain::DependencyState,
    config::{Specs, specs},
    fleet::DemandForecast,
    job::{DependencyStatus, Readiness, Termination},
    partition::Event,
};
use jasperhill_wire::{
    HostId, JobId, Member, Micros, Name, record::RecordPhase, user::JobRequest, worker::Heartbeat,
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    task::JoinSet,
    time::{sleep, timeout},
};

pub(crate) fn to_duration(t: Micros) -> Duration {
    Duration::from_micros(t.0)
}

/// The part of a second's requests that a process may make at once when it begins.
const STARTS_WITH: f64 = 0.4;

/// How long changes are gathered before a pass, and how much longer for each job that waits.
const PASS_PAUSE: Duration = Duration::from_millis(10);
const PASS_PER_JOB: Duration = Duration::from_micros(60);
const PASS_PAUSE_MAX: Duration = Duration::from_millis(250);

/// The pauses between tries to begin a session.
const BEGIN_PAUSE: Micros = Micros::from_millis(200);
const BEGIN_PAUSE_MAX: Micros = Micros::from_millis(800);

/// Released jobs whose times are remembered; beyond, age counts from the submission.
const RELEASED_MAX: usize = 20_000;

/// A job that was refused and may come again.
pub(crate) struct RejectedJob {
    pub first: Micros,
    pub last: Micros,
    pub partition: u32,
    /// The hosts it would need.
    pub hosts: f64,
}

/// All that changes.
pub(crate) struct State {
    pub authority: Authority,
    pub mirror: WatchCache,
    /// When unfinished jobs that waited for others were seen to be released.
    pub released: HashMap<JobId, Micros>,
    pub upgrade: FeatureGate,
    pub partitions: BTreeMap<u32, Partition>,
    pub leader: Option<LeaderState>,
    pub specs: Option<Rc<Specs>>,
    pub writer: CommitQueue,
    pub book: HostRegistry,
    pub keeping: DelegationRequests,
    pub learned: TaskCountCache,
    pub granted: DelegationGrants,
    /// Jobs that this controller has put before their owners through the store.
    pub wanting: BTreeSet<JobId>,
    /// Jobs that others have put before owners, to be looked at.
    pub wanted: BTreeSet<JobId>,
    /// Keepers whose asks have changed.
    pub asked: BTreeSet<Member>,
    pub barrier: Vec<oneshot::Sender<bool>>,
    pub requests: TokenBucket,
    pub cloud: TokenBucket,
    pub roles: Roles,
    pub lives: RestartHistory,
    pub view: Reachability,
    pub passing: RelaySlots,
    /// Workers whose own reports were answered here, and when.
    pub answered_here: BTreeMap<HostId, Micros>,
    /// Workers that were told to come themselves, and when.
    pub sent_home: BTreeMap<HostId, Micros>,
    pub saving: BTreeSet<JobId>,
    /// Jobs whose records are being cancelled because a job before them is.
    pub cancelling: BTreeSet<JobId>,
    /// When the partial results of unfinished jobs are to be written.
    pub partial_due: BTreeMap<JobId, Micros>,
    pub bumping: BTreeSet<HostId>,
    /// Machines without a record that are about to be taken on together.
    pub newcomers: Vec<Heartbeat>,
    pub releasing: BTreeSet<HostId>,
    /// When refused jobs were first asked for, so that a retry does not get more time.
    pub first_asked: BTreeMap<JobId, RejectedJob>,
    /// The hosts that refused jobs would need, by partition, and since when that is known.
    pub unmet: BTreeMap<u32, (f64, Micros)>,
    pub arrivals: DemandForecast,
    /// The state service answers others, but not this controller.
    pub alone: bool,
    /// Since when, if it has been so since.
    pub alone_since: Option<Micros>,
    /// Reports answered 200 since the state service last answered.
    pub answered_blind: u32,
    pub pulse: StallDetector,
    /// How many more machines can be had, after how long, as the leader last said, and when.
    pub elastic: Option<(u32, Micros, Micros)>,
    /// When workers were last sent to their owners.
    pub redirected: BTreeMap<HostId, Micros>,
    /// Workers whose reports come by way of another controller: when they were last tried
    /// directly, and whether that worked.
    pub probes: BTreeMap<HostId, (Micros, bool)>,
    /// Since when controllers have not been heard.
    pub unheard: BTreeMap<Member, Micros>,
    /// What goes out to workers, so many at a time.
    pub window: ConcurrencyLimiter<(u32, HostId)>,
    tasks: JoinSet<()>,
}

pub(crate) struct Shared {
    pub settings: Settings,
    pub sched: Rc<SchedulerConfig>,
    pub split: BTreeMap<Name, u32>,
    pub members: Vec<Member>,
    pub clock: Clock,
    pub net: Rc<dyn Transport>,
    pub state: RefCell<State>,
    pub wake_pass: Notify,
    pub wake_writer: Notify,
    pub wake_barrier: Notify,
    pub wake_roles: Notify,
    pub wake_keep: Notify,
    pub wake_grant: Notify,
    pub wake_kept: Notify,
    pub wake_counts: Notify,
    pub wake_links: Notify,
    /// A partition has come here.
    pub wake_owned: Notify,
    /// A host's record has changed.
    pub wake_hosts: Notify,
    /// A job that is put before its owner through the store may have been decided on.
    pub wake_wants: Notify,
}

/// One controller. Dropping it ends all that it does.
pub struct Controller(pub(crate) Rc<Shared>);

impl Drop for Controller {
    fn drop(&mut self) {
        self.0.state.borrow_mut().tasks.abort_all();
    }
}

impl Controller {
    /// Starts the loops. Needs a `LocalSet`.
    pub fn start(settings: Settings, clock: Clock, net: Rc<dyn Transport>) -> Self {
        let now = clock.now();
        let sched = Rc::new(settings.scheduler_config());
        let share = 1.0 / f64::from(settings.size);
        let rps = settings.state_rps * share * 0.9;
        let writes = settings.state_write_rps * share * 0.9;
        let state = State {
            authority: Authority::new(settings.session(), settings.cache_age_max()),
            mirror: WatchCache::default(),
            released: HashMap::new(),
            upgrade: FeatureGate::default(),
            partitions: BTreeMap::new(),
            leader: None,
            specs: None,
            writer: CommitQueue::new(TokenBucket::new(writes, writes, now), settings.txn_ops),
            book: HostRegistry::default(),
            keeping: DelegationRequests::default(),
            learned: TaskCountCache::default(),
            granted: DelegationGrants::new(),
            wanting: BTreeSet::new(),
            wanted: BTreeSet::new(),
            asked: BTreeSet::new(),
            barrier: Vec::new(),
            // Guards against a process that ends again and again, and each time begins with all
            // that a second allows.
            requests: TokenBucket::new(rps, rps, now).filled_to(STARTS_WITH),
            cloud: TokenBucket::new(settings.cloud_rps * 0.8, settings.cloud_rps, now),
            lives: RestartHistory::new(settings.restless_after(), now),
            roles: Roles::new(settings.member.clone(), settings.members(), settings.size),
            view: Reachability::new(
                settings.member.clone(),
                settings.peers.iter().map(|p| p.member.clone()).collect(),
                clock.wall(),
            ),
            passing: RelaySlots::default(),
            answered_here: BTreeMap::new(),
            sent_home: BTreeMap::new(),
            saving: BTreeSet::new(),
            cancelling: BTreeSet::new(),
            partial_due: BTreeMap::new(),
            bumping: BTreeSet::new(),
            newcomers: Vec::new(),
            releasing: BTreeSet::new(),
            first_asked: BTreeMap::new(),
            unmet: BTreeMap::new(),
            arrivals: DemandForecast::new(now),
            alone: false,
            alone_since: None,
            answered_blind: 0,
            pulse: StallDetector::new(now),
            elastic: None,
            redirected: BTreeMap::new(),
            probes: BTreeMap::new(),
            unheard: BTreeMap::new(),
            window: ConcurrencyLimiter::new(net.sockets().report(Class::Commands).guaranteed),
            tasks: JoinSet::new(),
        };
        let inner = Rc::new(Shared {
            split: jasperhill_scheduler::split::split(&settings.teams, settings.size),
            members: settings.members(),
            sched,
            settings,
            clock,
            net,
            state: RefCell::new(state),
            wake_pass: Notify::new(),
            wake_writer: Notify::new(),
            wake_barrier: Notify::new(),
            wake_roles: Notify::new(),
            wake_keep: Notify::new(),
            wake_grant: Notify::new(),
            wake_kept: Notify::new(),
            wake_counts: Notify::new(),
            wake_links: Notify::new(),
            wake_owned: Notify::new(),
            wake_hosts: Notify::new(),
            wake_wants: Notify::new(),
        });
        inner.clone().spawn(inner.clone().watch_loop());
        inner.clone().spawn(inner.clone().read_index_loop());
        inner.clone().spawn(inner.clone().commit_loop());
        inner.clone().spawn(inner.clone().session_loop());
        inner.clone().spawn(inner.clone().roles_loop());
        inner.clone().spawn(inner.clone().pass_loop());
        inner.clone().spawn(inner.clone().provisioner_loop());
        inner.clone().spawn(inner.clone().legacy_isolation_loop());
        inner.clone().spawn(inner.clone().delegation_request_loop());
        inner.clone().spawn(inner.clone().delegation_grant_loop());
        inner.clone().spawn(inner.clone().reachability_loop());
        inner.clone().spawn(inner.clone().connection_budget_loop());
        Self(inner)
    }

    /// Answers users, workers and health checks.
    pub fn handle(&self, request: Request) -> impl Future<Output = Response> + use<> {
        let inner = self.0.clone();
        async move { inner.serve(request).await }
    }

    /// Answers the other controllers.
    pub fn handle_mesh(&self, request: Request) -> impl Future<Output = Response> + use<> {
        let inner = self.0.clone();
        async move { inner.serve_mesh(request).await }
    }
}

impl Shared {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn spawn(self: Rc<Self>, task: impl Future<Output = ()> + 'static) {
        let mut state = self.state.borrow_mut();
        while state.tasks.try_join_next().is_some() {}
        state.tasks.spawn_local(task);
    }

    /// Something happens: a standstill before it is noticed. True if what is taken up now has
    /// queued up in one.
    pub fn note_activity(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(gap) = state.pulse.apply(pulse::Input::Activity, now) {
            tracing::warn!(for_s = gap.as_secs_f64(), "stood still");
        }
        state.pulse.is_stale(now)
    }

    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request,
        limit: Micros,
    ) -> Result<Response, jasperhill_http::ClientError> {
        self.net.call(to, request, to_duration(limit)).await
    }

    pub fn has_authority(&self) -> bool {
        let now = self.now();
        self.state.borrow().authority.holds(now)
    }

    pub fn partition_of(&self, team: &Name) -> Option<u32> {
        self.split.get(team).copied()
    }

    /// Feeds the mirror and carries its changes over to all that depends on it.
    pub fn apply_to_cache(&self, input: mirror::Input) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let following = state.mirror.is_synced();
        let changes = state.mirror.apply(input);
        let began = !following && state.mirror.is_synced();
        if began {
            self.update_feature_gate(&mut state);
        }
        if changes.is_empty() {
            return;
        }
        let (mut roles, mut pass) = (false, false);
        for change in changes {
            match change {
                Change::Job(id) => {
                    if state.wanting.contains(&id) {
                        self.wake_wants.notify_waiters();
                    }
                    if following
                        && state.mirror.dependencies.standing(&id) == DependencyState::Ready
                    {
                        self.record_arrival(&mut state, &id, now);
                    }
                    pass |= self.job_changed(&mut state, &id, now);
                }
                Change::Released(id) => {
                    // Its time counts from now on.
                    if state.released.len() < RELEASED_MAX {
                        state.released.insert(id.clone(), now);
                    }
                    self.record_arrival(&mut state, &id, now);
                    pass |= self.job_changed(&mut state, &id, now);
                }
                Change::Related(id) => pass |= self.job_changed(&mut state, &id, now),
                Change::Host(id) => {
                    self.host_changed(&mut state, &id, now);
                    self.wake_hosts.notify_waiters();
                    pass = true;
                }
                Change::Session(member) => {
                    let there = state.mirror.sessions.get(&member).map(|k| k.value.lease);
                    state
                        .roles
                        .apply(roles::Input::Session(&member, there), now);
                    self.update_feature_gate(&mut state);
                    roles = true;
                }
                Change::FeatureLevel(_) => self.update_feature_gate(&mut state),
                Change::Role(_) => {
                    // Reports that wait for it go where it went.
                    self.wake_owned.notify_waiters();
                    roles = true;
                }
                Change::DelegationRequest(keeper) => {
                    state.asked.insert(keeper);
                    self.wake_grant.notify_one();
                }
                Change::Proposal(id) => {
                    if state.wanting.contains(&id) {
                        self.wake_wants.notify_waiters();
                    } else {
                        state.wanted.insert(id);
                        self.wake_grant.notify_one();
                    }
                }
                Change::DelegationGrant => self.wake_kept.notify_waiters(),
                Change::Types => {
                    if state.specs.is_none()
                        && let Some(types) = state.mirror.types()
                    {
                        state.specs = Some(Rc::new(specs(&types.types)));
                        roles = true;
                    }
                }
            }
        }
        if began {
            self.restore_forecast(&mut state, now);
        }
        drop(state);
        if roles {
            self.wake_roles.notify_one();
        }
        if pass {
            self.wake_pass.notify_one();
        }
    }

    /// Notes whether every member is of this version.
    fn update_feature_gate(&self, state: &mut State) {
        let State {
            upgrade, mirror, ..
        } = state;
        let seen = MemberVersions {
            synced: mirror.is_synced(),
            members: &self.members,
            sessions: &mirror.sessions,
            formats: &mirror.feature_levels,
        };
        if upgrade.apply(&seen) {
            tracing::info!(state = ?*upgrade, "versions of the members");
        }
    }

    /// How a job stands in its pipeline, by the steady clock.
    pub fn dependency_status(&self, state: &State, job: &ActiveJob) -> DependencyStatus {
        let id = &job.request.id;
        let claim = state.mirror.dependencies.claim(id);
        DependencyStatus {
            gate: match state.mirror.dependencies.standing(id) {
                DependencyState::Ready => Readiness::Open,
                _ => Readiness::Waiting,
            },
            since: match state.released.get(id) {
                Some(at) => *at,
                None => self.clock.steady(job.submitted),
            },
            due: claim.due.map(|due| self.clock.steady(due)),
            priority: claim.priority,
        }
    }

    /// A controller that begins learns what has come lately from the records. Guards against a
    /// fleet that shrinks when its leader has restarted and expects nothing any more.
    fn restore_forecast(&self, state: &mut State, now: Micros) {
        let Some(specs) = state.specs.clone() else {
            return;
        };
        let mut recent: Vec<(Micros, Rc<JobRequest>)> = state
            .mirror
            .active()
            .filter(|job| {
                state.mirror.dependencies.standing(&job.request.id) == DependencyState::Ready
            })
            .map(|job| (self.clock.steady(job.submitted), job.request.clone()))
            .collect();
        recent.sort_by_key(|(at, _)| *at);
        let Some((first, _)) = recent.first() else {
            return;
        };
        state.arrivals = DemandForecast::new(*first);
        for (at, request) in recent {
            if state.arrivals.counts(at)
                && self.settings.waited_for.contains_key(&request.class)
                && let Some(p) = self.partition_of(&request.team)
            {
                state.arrivals.note(p, &request, &specs, at.min(now));
            }
        }
    }

    fn record_arrival(&self, state: &mut State, id: &JobId, now: Micros) {
        let State {
            mirror,
            specs: Some(specs),
            arrivals,
            ..
        } = state
        else {
            return;
        };
        if let Some(JobEntry::Active(job)) = mirror.job(id)
            && self.settings.waited_for.contains_key(&job.request.class)
            && job.finished.is_empty()
            && job.failing == 0
            && arrivals.counts(now)
            && let Some(p) = self.partition_of(&job.request.team)
        {
            arrivals.note(p, &job.request, specs, now);
        }
    }

    fn job_changed(&self, state: &mut State, id: &JobId, now: Micros) -> bool {
        if let Some((phase, _)) = state.mirror.final_phase(id) {
            let ending = match phase {
                RecordPhase::Done => Termination::Done,
                _ => Termination::Cancelled,
            };
            state.released.remove(id);
            for partition in state.partitions.values_mut() {
                partition.end_job(id, ending, now);
            }
            return true;
        }
        let Some(JobEntry::Active(job)) = state.mirror.job(id) else {
            return false;
        };
        let Some(p) = self.partition_of(&job.request.team) else {
            return false;
        };
        let place = self.dependency_status(state, job);
        let submitted = self.clock.steady(job.submitted);
        let Some(partition) = state.partitions.get_mut(&p) else {
            return false;
        };
        let trust = (job.failing, now);
        let (request, version) = (&job.request, job.version);
        partition.upsert_job(request, version, submitted, &job.finished, trust);
        partition.place_job(id, place);
        true
    }

    fn host_changed(&self, state: &mut State, id: &HostId, now: Micros) {
        let record = state.mirror.hosts.get(id).cloned();
        let home = record.as_ref().and_then(|k| k.value.partition());
        for (p, partition) in &mut state.partitions {
            match &record {
                Some(kept) if home == Some(*p) => {
                    partition.upsert_host(id, &kept.value, kept.version, false, now);
                }
                _ if partition.hosts.contains_key(id) => partition.remove_host(id, now),
                _ => {}
            }
        }
        if home.is_none() {
            state.releasing.remove(id);
        }
    }

    /// How long changes are gathered before the next pass. Guards against passes through a long
    /// backlog for every change: a pass costs as much as there are waiting jobs, and with more of
    /// them none has to start within milliseconds.
    fn pass_pause(&self) -> Duration {
        let state = self.state.borrow();
        let backlog: usize = state.partitions.values().map(|p| p.backlog).sum();
        let more = PASS_PER_JOB * backlog.min(10_000) as u32;
        PASS_PAUSE + more.min(PASS_PAUSE_MAX)
    }

    /// The loop that decides: after changes, and every second for what only time changes.
    async fn pass_loop(self: Rc<Self>) {
        let mut ticked = self.now();
        loop {
            let woken = timeout(Duration::from_secs(1), self.wake_pass.notified())
                .await
                .is_ok();
            if woken {
                // Changes come in groups.
                sleep(self.pass_pause()).await;
            }
            // In a large deployment something changes all the time: the tick comes all the
            // same, or hosts that did not answer after a takeover were never asked again.
            self.note_activity();
            let now = self.now();
            let tick = now - ticked >= Micros::from_secs(1);
            if tick {
                ticked = now;
            }
            self.clone().scheduling_pass(tick);
        }
    }

    pub fn scheduling_pass(self: Rc<Self>, tick: bool) {
        let now = self.now();
        let mut directs = Vec::new();
        let mut state = self.state.borrow_mut();
        if !state.authority.holds(now) {
            return;
        }
        for (p, partition) in &mut state.partitions {
            if tick {
                // Hosts that have not shown the token yet are asked again.
                let unfenced: Vec<HostId> = partition
                    .hosts
                    .values()
                    .filter(|h| {
                        matches!(h.reach, jasperhill_scheduler::FencingState::Unfenced { .. })
                    })
                    .map(|h| h.id.clone())
                    .collect();
                partition.dirty.extend(unfenced);
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let [unknown, lapsed, doubt, silent, aside, draining] = partition.unusable(now);
                    tracing::debug!(
                        partition = *p,
                        hosts = partition.hosts.len(),
                        unknown,
                        lapsed,
                        doubt,
                        silent,
                        aside,
                        draining,
                        "hosts that get no tasks"
                    );
                }
            }
            if tick || partition.changed {
                partition.pass(now);
            }
            for note in partition.notes.drain(..) {
                log_note(&note);
            }
            for host in std::mem::take(&mut partition.dirty) {
                directs.push((*p, host));
            }
        }
        drop(state);
        self.queue_commands(directs, tick);
        self.clone().save_results();
        self.clone().write_cancelled();
        self.raise_tokens();
    }

    /// What must go at once when the session is gone: nothing is owned any more.
    pub fn drop_ownership(&self, state: &mut State, why: &str) {
        let parts: Vec<u32> = state.partitions.keys().copied().collect();
        if !parts.is_empty() || state.leader.is_some() {
            tracing::info!(
                ?parts,
                leader = state.leader.is_some(),
                why,
                "authority lost"
            );
        }
        state.partitions.clear();
        state.leader = None;
    }

    /// Begins and renews the session.
    async fn session_loop(self: Rc<Self>) {
        let mut again = BEGIN_PAUSE;
        loop {
            let session = self.state.borrow().authority.session();
            let pause = match session {
                Session::None => {
                    if self.begin_session().await {
                        again = BEGIN_PAUSE;
                        Micros::ZERO
                    } else {
                        let pause = again;
                        again = again.scale(2.0).min(BEGIN_PAUSE_MAX);
                        pause
                    }
                }
                Session::Held { lease, .. } => self.renew_session(lease).await,
            };
            sleep(to_duration(pause)).await;
        }
    }

    async fn renew_session(&self, lease: u64) -> Micros {
        let sent = self.now();
        {
            // Guards against a session that is kept alive by renewals whose answers get lost, while
            // nobody acts on its roles: others are answered, so it had better end. The watch
            // notices when the link is back.
            let state = self.state.borrow();
            if state.alone && !state.authority.holds(sent) {
                return Micros::from_millis(250);
            }
        }
        let answer = self.lease_renew(lease).await;
        let ttl = self.state.borrow().authority.ttl();
        let heard = match answer {
            Some(_) => pulse::Input::Answered,
            None => pulse::Input::Unanswered { sent },
        };
        self.state.borrow_mut().pulse.apply(heard, self.now());
        self.observe_link(LinkId::Store, observation_of(answer.is_some()));
        match answer {
            Some(true) => {
                self.state
                    .borrow_mut()
                    .authority
                    .apply(authority::Input::Renewed { lease, sent });
                ttl.scale(0.15).min(Micros::from_secs(2))
            }
            Some(false) => {
                let mut state = self.state.borrow_mut();
                state.authority.apply(authority::Input::Lost { lease });
                self.drop_ownership(&mut state, "session ended");
                Micros::ZERO
            }
            None => Micros::from_millis(250),
        }
    }
}

/// One counterpart that answered or did not.
pub(crate) fn observation_of(answered: bool) -> Observation {
    if answered {
        Observation::Success
    } else {
        Observation::Failure { by: 0, of: 1 }
    }
}

fn log_note(note: &Event) {
    match note {
        Event::HostLost(host) => tracing::info!(%host, "host lost: its lease has lapsed"),
        Event::HostAside(host) => tracing::info!(%host, "host set aside: it fails what it starts"),
        Event::Failed(task, host, ran) => {
            tracing::debug!(%task, %host, ran_s = ran.as_secs_f64(), "task failed");
        }
        Event::JobSuspect(job) => tracing::info!(%job, "job suspect: it fails wherever it runs"),
        Event::Stopped(task, host, why) => tracing::info!(%task, %host, why, "task stopped"),
        Event::HostSlow(host, times) => {
            tracing::info!(%host, times, "host slow by what runs there")
        }
        Event::Behind(group, Some(s)) => tracing::info!(
            ?group,
            share = s.share,
            waiting = s.waiting,
            "behind its floor"
        ),
        Event::Behind(group, None) => tracing::info!(?group, "no more behind its floor"),
        Event::Whole(r) => tracing::info!(
            after_s = r.after.as_secs_f64(),
            lost = r.lost,
            overtaken = r.overtaken,
            "production is whole again"
        ),
        Event::AllKnown(after, lapsed) => tracing::info!(
            after_s = after.as_secs_f64(),
            lapsed,
            "all hosts are known after the takeover"
        ),
        Event::Strange(task, host, why) => tracing::warn!(%task, %host, why, "task stopped"),
    }
}
