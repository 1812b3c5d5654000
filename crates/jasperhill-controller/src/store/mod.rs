//! The client of the state service: group commit under a budget, the listing and the watch
//! that feed the watch cache, the linearizable read, leases.

mod session;
pub mod state;

use self::state::StoreState;
use crate::{
    shared::{Shared, to_duration},
    state::State,
    token_bucket::TokenBucket,
    watch_cache::{self, Phase},
};
use jasperhill_http::{ClientError, Method, Request, Response};
use jasperhill_membership::{
    authority::{self, Session},
    link::Observation,
    reachability::LinkId,
    restart_history,
};
use jasperhill_wire::{
    Micros, Revision,
    mesh::LinkState,
    record::{
        FEATURE_LEVEL, FeatureLevelRecord, ROOT, RoleRecord, SessionRecord, feature_level_key,
        role_key, session_key,
    },
    store::{
        Change, Guard, LeaseResponse, Listing, Transaction, TransactionResponse, WatchResponse,
    },
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// How pressing a write is; the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WritePriority {
    Role,
    Cancel,
    Accept,
    /// A finished job that others wait for.
    Release,
    Finish,
    Background,
}

impl WritePriority {
    /// How much of the limit writes of this urgency leave to those that can't wait.
    fn reserve(self, burst: f64) -> f64 {
        match self {
            Self::Background => burst * REST_RESERVE,
            Self::Finish => burst * FINISH_RESERVE,
            _ => 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Committed(Revision),
    Conflict,
    /// Surely not executed.
    NotExecuted,
    /// May have been executed, or may be later.
    Unknown,
}

struct PendingWrite {
    urgency: WritePriority,
    guards: Vec<Guard>,
    changes: Vec<Change>,
    bytes: usize,
    since: Micros,
    by: Micros,
    reply: oneshot::Sender<WriteOutcome>,
    alone: bool,
}

impl PendingWrite {
    /// How much of the limit it leaves untouched. Guards against writes that never get their turn
    /// under a steady flow of more urgent ones.
    fn reserve(&self, burst: f64, now: Micros) -> f64 {
        if now - self.since > PATIENCE {
            0.0
        } else {
            self.urgency.reserve(burst)
        }
    }
}

/// Writes that wait for their turn.
pub(crate) struct CommitQueue {
    queue: Vec<PendingWrite>,
    bucket: TokenBucket,
    /// Changes of one transaction, at most: falls when the state service takes no more.
    ops_max: usize,
    /// How long to pause after the next refusal for the rate; grows while they go on.
    pause: Micros,
}

/// More waiting writes than this are refused at once.
const QUEUE_MAX: usize = 2_000;
const TXN_BYTES: usize = 60 * 1024;
/// The part of a burst that writes of the last urgencies leave untouched: an acceptance that
/// comes behind a batch of partial results, or of host records, would wait for the limit to
/// recover.
const REST_RESERVE: f64 = 0.5;
const FINISH_RESERVE: f64 = 0.25;
/// What has waited longer than this takes what there is.
const PATIENCE: Micros = Micros::from_secs(8);
/// Changes that go together however little of the limit is left.
const AFFORD_LEAST: usize = 4;
/// How soon a waiting writer looks for more urgent writes.
const REST_LOOK: Micros = Micros::from_millis(40);
/// The parts of this controller's share of requests that watches and read barriers may use;
/// the rest is for writes and leases.
const WATCH_SHARE: f64 = 0.3;
const BARRIER_SHARE: f64 = 0.35;
/// How long a watch waits for a change, at most.
const WATCH_BLOCK: Micros = Micros::from_secs(4);
/// The pauses after each try to list one page.
const PAGE_PAUSES: [Micros; 4] = [
    Micros::from_millis(100),
    Micros::from_millis(200),
    Micros::from_millis(400),
    Micros::from_millis(800),
];
/// The pause after a refusal for the rate, and the longest after many in a row.
const PAUSE: Micros = Micros::from_millis(150);
const PAUSE_MAX: Micros = Micros::from_millis(1_200);

impl CommitQueue {
    pub fn new(bucket: TokenBucket, ops_max: usize) -> Self {
        Self {
            queue: Vec::new(),
            bucket,
            ops_max,
            pause: PAUSE,
        }
    }
    /// Changes a second.
    pub fn rate(&self) -> f64 {
        self.bucket.rate()
    }
}

pub(crate) fn guard(key: impl Into<String>, version: Revision) -> Guard {
    Guard {
        key: key.into(),
        version,
    }
}

pub(crate) fn put(key: impl Into<String>, value: &impl serde::Serialize) -> Change {
    Change::Put {
        key: key.into(),
        value: serde_json::to_value(value).unwrap_or_default(),
        lease: None,
    }
}

/// As `put`, gone with the lease.
pub(crate) fn put_with_lease(
    key: impl Into<String>,
    value: &impl serde::Serialize,
    lease: u64,
) -> Change {
    Change::Put {
        key: key.into(),
        value: serde_json::to_value(value).unwrap_or_default(),
        lease: Some(lease),
    }
}

impl Shared {
    /// Queues one atomic write and waits for its fate, at most until `limit` has passed
    /// before it is sent.
    pub async fn write(
        &self,
        urgency: WritePriority,
        guards: Vec<Guard>,
        changes: Vec<Change>,
        limit: Micros,
    ) -> WriteOutcome {
        let (reply, fate) = oneshot::channel();
        let bytes = serde_json::to_vec(&changes).map_or(TXN_BYTES, |b| b.len())
            + guards.iter().map(|g| g.key.len() + 40).sum::<usize>();
        {
            let mut state = self.state.borrow_mut();
            if state.store.commit_queue.queue.len() >= QUEUE_MAX {
                return WriteOutcome::NotExecuted;
            }
            let since = self.now();
            let by = since + limit;
            let op = PendingWrite {
                urgency,
                guards,
                changes,
                bytes,
                since,
                by,
                reply,
                alone: false,
            };
            let place = state
                .store
                .commit_queue
                .queue
                .partition_point(|o| o.urgency <= urgency);
            state.store.commit_queue.queue.insert(place, op);
        }
        self.wake.commit_queue.notify_one();
        fate.await.unwrap_or(WriteOutcome::Unknown)
    }

    /// As many queued writes as fit one transaction and do not touch one another's keys.
    fn next_batch(&self, state: &mut State, now: Micros) -> Vec<PendingWrite> {
        let (late, queue): (Vec<PendingWrite>, Vec<PendingWrite>) =
            std::mem::take(&mut state.store.commit_queue.queue)
                .into_iter()
                .partition(|o| now >= o.by);
        for op in late {
            let _ = op.reply.send(WriteOutcome::NotExecuted);
        }
        let level = state.store.commit_queue.bucket.level(now);
        let afford = level.max(1.0) as usize;
        let burst = state.store.commit_queue.bucket.burst();
        let (mut batch, mut rest): (Vec<PendingWrite>, Vec<PendingWrite>) =
            (Vec::new(), Vec::new());
        let (mut puts, mut conds, mut bytes) = (0, 0, 0);
        let mut blocked = false;
        let mut keys: BTreeSet<String> = BTreeSet::new();
        let mut guarded: BTreeSet<String> = BTreeSet::new();
        for op in queue {
            let more = op.changes.len();
            let reserve = op.reserve(burst, now);
            let affords = if reserve > 0.0 {
                // Guards against a write of several changes that waits for ever behind single
                // ones: it goes alone once the limit has recovered.
                let recovered = batch.is_empty() && level + 0.5 >= burst;
                puts as f64 + more as f64 + reserve <= level || recovered
            } else {
                puts + more <= afford.max(AFFORD_LEAST)
                    || (more > AFFORD_LEAST && puts <= AFFORD_LEAST)
            };
            if reserve > 0.0 && (blocked || !affords) {
                // The first one that has to wait is not overtaken by smaller ones.
                blocked |= batch.is_empty();
                rest.push(op);
                continue;
            }
            let fits = batch.is_empty()
                || (!batch[0].alone
                    && !op.alone
                    && affords
                    && puts + more <= state.store.commit_queue.ops_max
                    && conds + op.guards.len() <= state.store.commit_queue.ops_max * 4
                    && bytes + op.bytes <= TXN_BYTES
                    && op
                        .changes
                        .iter()
                        .all(|c| !keys.contains(c.key()) && !guarded.contains(c.key()))
                    && op.guards.iter().all(|g| !keys.contains(&g.key)));
            if !fits {
                rest.push(op);
                continue;
            }
            puts += more;
            conds += op.guards.len();
            bytes += op.bytes;
            keys.extend(op.changes.iter().map(|c| c.key().to_owned()));
            guarded.extend(op.guards.iter().map(|g| g.key.clone()));
            batch.push(op);
        }
        state.store.commit_queue.queue = rest;
        batch
    }

    fn requeue(&self, batch: Vec<PendingWrite>) {
        let mut state = self.state.borrow_mut();
        state.store.commit_queue.queue.splice(0..0, batch);
        state.store.commit_queue.queue.sort_by_key(|o| o.urgency);
    }

    pub async fn commit_loop(self: Rc<Self>) {
        loop {
            if self.state.borrow().store.commit_queue.queue.is_empty() {
                self.wake.commit_queue.notified().await;
            }
            let now = self.now();
            let wait = {
                let mut state = self.state.borrow_mut();
                let StoreState {
                    requests,
                    commit_queue: writer,
                    ..
                } = &mut state.store;
                // What can wait leaves some of the limit to what comes next and can't.
                let burst = writer.bucket.burst();
                let need = writer
                    .queue
                    .first()
                    .map_or(1.0, |o| match o.reserve(burst, now) {
                        0.0 => 1.0,
                        reserve => (o.changes.len() as f64 + reserve).min(burst),
                    });
                if let Some(wait) = writer.bucket.wait_for(need, now) {
                    Some(wait.min(REST_LOOK))
                } else {
                    requests.take(1.0, now).err()
                }
            };
            if let Some(wait) = wait {
                sleep(to_duration(wait)).await;
                continue;
            }
            let batch = self.next_batch(&mut self.state.borrow_mut(), now);
            if !batch.is_empty() {
                self.commit(batch).await;
            }
        }
    }

    async fn commit(&self, batch: Vec<PendingWrite>) {
        let mut guards: Vec<Guard> = Vec::new();
        for g in batch.iter().flat_map(|o| &o.guards) {
            if !guards.contains(g) {
                guards.push(g.clone());
            }
        }
        let changes: Vec<Change> = batch.iter().flat_map(|o| o.changes.clone()).collect();
        let count = changes.len() as f64;
        self.state
            .borrow_mut()
            .store
            .commit_queue
            .bucket
            .take_into_debt(count, self.now());
        let body = serde_json::to_vec(&Transaction { guards, changes }).unwrap_or_default();
        let request = Request::new(Method::Post, "/txn", body);
        let answer = self
            .call(self.settings.state, request, Micros::from_millis(2_500))
            .await;
        if answer.as_ref().is_ok_and(|r| r.status == 200) {
            self.state.borrow_mut().store.commit_queue.pause = PAUSE;
        }
        match answer {
            Ok(r) if r.status == 200 => {
                match serde_json::from_slice::<TransactionResponse>(&r.body) {
                    Ok(answer) => {
                        for op in batch {
                            self.applied(op, answer.revision);
                        }
                    }
                    Err(_) => unknown(batch),
                }
            }
            Ok(r) if r.status == 409 => {
                let failed = serde_json::from_slice::<TransactionResponse>(&r.body)
                    .map(|a| a.failed)
                    .unwrap_or_default();
                // One failed guard does not sink the others.
                let (lost, mut kept): (Vec<PendingWrite>, Vec<PendingWrite>) = batch
                    .into_iter()
                    .partition(|o| o.guards.iter().any(|g| failed.contains(&g.key)));
                let none = lost.is_empty();
                for op in lost {
                    let _ = op.reply.send(WriteOutcome::Conflict);
                }
                if none {
                    kept.iter_mut().for_each(|o| o.alone = true);
                }
                self.requeue(kept);
            }
            Ok(r) if r.status == 400 => self.refused(batch, &r.body),
            Ok(r) if r.status == 429 || r.status == 503 => {
                let pause = {
                    let writer = &mut self.state.borrow_mut().store.commit_queue;
                    let pause = writer.pause;
                    if r.status == 429 {
                        writer.pause = pause.scale(2.0).min(PAUSE_MAX);
                    }
                    pause
                };
                let first = batch.first().and_then(|o| o.changes.first());
                let key = first.map_or("", Change::key);
                tracing::debug!(status = r.status, key, "a write has to wait");
                self.requeue(batch);
                sleep(to_duration(pause)).await;
            }
            Err(error) if error.is_unsent() => {
                self.requeue(batch);
                sleep(to_duration(PAUSE)).await;
            }
            _ => unknown(batch),
        }
    }

    /// The state service takes no such transaction: a lease that is over, or more than it
    /// takes now. Nothing was executed. Guards against taking a write that is merely too large
    /// for a conflict, and against sending it again and again.
    fn refused(&self, mut batch: Vec<PendingWrite>, why: &[u8]) {
        let why = String::from_utf8_lossy(why);
        let writer = &mut self.state.borrow_mut().store.commit_queue;
        let changes: usize = batch.iter().map(|o| o.changes.len()).sum();
        if batch.len() > 1 {
            // It may be one of them, or all together: each alone, and smaller ones from now on.
            writer.ops_max = (changes / 2).clamp(4, writer.ops_max.max(4));
            tracing::info!(changes, most = writer.ops_max, %why, "a transaction was refused");
            batch.iter_mut().for_each(|o| o.alone = true);
            writer.queue.splice(0..0, batch);
            writer.queue.sort_by_key(|o| o.urgency);
            return;
        }
        let over = why.contains("no such lease");
        for op in batch {
            let key = op.changes.first().map_or("", Change::key);
            tracing::warn!(key, changes, bytes = op.bytes, %why, "a write was refused");
            let fate = if over {
                WriteOutcome::Conflict
            } else {
                WriteOutcome::NotExecuted
            };
            let _ = op.reply.send(fate);
        }
    }

    fn applied(&self, op: PendingWrite, revision: Revision) {
        let changes = op.changes.into_iter().map(|change| match change {
            Change::Put { key, value, .. } => (key, Some(value)),
            Change::Delete { key } => (key, None),
        });
        self.apply_to_cache(watch_cache::Input::OwnWrite {
            changes: changes.collect(),
            version: revision,
        });
        let _ = op.reply.send(WriteOutcome::Committed(revision));
    }

    /// A request to the state service, within the budget.
    async fn state_call(&self, request: Request, limit: Micros) -> Result<Response, ClientError> {
        loop {
            let now = self.now();
            let taken = self.state.borrow_mut().store.requests.take(1.0, now);
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(to_duration(wait)).await,
            }
        }
        self.call(self.settings.state, request, limit).await
    }

    fn fresh(&self, sent: Micros) {
        self.state
            .borrow_mut()
            .authority
            .apply(authority::Input::Fresh { sent });
    }

    /// Lists once, then watches; lists again when the watch has fallen too far behind.
    pub async fn watch_loop(self: Rc<Self>) {
        loop {
            let (phase, after) = {
                let state = self.state.borrow();
                (state.cache.phase, state.cache.revision)
            };
            let began = self.now();
            let fine = if phase == Phase::Empty {
                self.list_all().await
            } else {
                // Asks for an answer at once while none comes: a watch that waits would show only
                // late that the link is back.
                let down = self
                    .state
                    .borrow()
                    .membership
                    .reachability
                    .own_link(&LinkId::Store)
                    == LinkState::Down;
                let block = if down {
                    Micros::ZERO
                } else {
                    // Well within what authority may rest on, or quiet alone would cost it.
                    WATCH_BLOCK.min(self.settings.bounds.owner().scale(0.25))
                };
                self.watch(after, block).await
            };
            if !fine {
                sleep(Duration::from_millis(200)).await;
            } else {
                // With many changes a watch answers at once, and each one counts: unpaced
                // watches of three controllers alone would use up the service's limit.
                let pause = self.pace(WATCH_SHARE) - (self.now() - began);
                sleep(to_duration(pause)).await;
            }
        }
    }

    /// How far apart requests are that may use this part of this controller's share.
    fn pace(&self, part: f64) -> Micros {
        let mine = self.settings.state_rps / f64::from(self.settings.size);
        Micros::from_secs_f64(1.0 / (mine * part).max(0.1))
    }

    async fn list_all(&self) -> bool {
        let (mut items, mut after) = (Vec::new(), String::new());
        let (mut first, mut last) = (None, Revision(0));
        loop {
            let mut target = format!("/store?prefix={ROOT}&page=1000");
            if !after.is_empty() {
                target.push_str("&after=");
                target.push_str(&after);
            }
            // Guards against listings that begin anew with each page that fails: what is listed
            // stays, since the watch goes on from the first page.
            let mut page = None;
            for pause in PAGE_PAUSES {
                let request = Request::new(Method::Get, target.clone(), Vec::new());
                let answer = self.state_call(request, Micros::from_secs(3)).await;
                if let Ok(answer) = answer
                    && answer.status == 200
                {
                    page = serde_json::from_slice::<Listing>(&answer.body).ok();
                    break;
                }
                sleep(to_duration(pause)).await;
            }
            let Some(page) = page else {
                return false;
            };
            first.get_or_insert(page.revision);
            last = last.max(page.revision);
            let end = page.items.last().map(|i| i.key.clone());
            items.extend(page.items);
            match end {
                Some(end) if page.more => after = end,
                _ => break,
            }
        }
        let first = first.unwrap_or_default();
        tracing::debug!(items = items.len(), revision = first.0, "listed the store");
        self.apply_to_cache(watch_cache::Input::Listed { items, first, last });
        self.wake.roles.notify_one();
        true
    }

    /// One watch. With `block` zero it is the linearizable read: the answer shows a revision not
    /// older than the request, and brings the watch cache up to it.
    async fn watch(&self, after: Revision, block: Micros) -> bool {
        let target = format!(
            "/watch?prefix={ROOT}&after={}&block_ms={}",
            after.0,
            block.0 / 1_000
        );
        let request = Request::new(Method::Get, target, Vec::new());
        let now = self.now();
        if block == Micros::ZERO {
            let wait = self.state.borrow_mut().store.requests.take(1.0, now).err();
            if let Some(wait) = wait {
                sleep(to_duration(wait)).await;
            }
        } else {
            // The watch cache feeds everything else: it does not wait behind it.
            self.state
                .borrow_mut()
                .store
                .requests
                .take_into_debt(1.0, now);
        }
        let sent = self.now();
        let limit = block
            + if block == Micros::ZERO {
                Micros::from_millis(900)
            } else {
                Micros::from_secs(2)
            };
        let answer = match self.call(self.settings.state, request, limit).await {
            Ok(answer) => answer,
            // Guards against a watch that has fallen so far behind that it never gets on, and
            // against the memory that reading all of it would take: the listing comes in pages.
            Err(ClientError::TooLong) => return self.list_all().await,
            Err(_) => return false,
        };
        match answer.status {
            200 => {
                let Ok(news) = serde_json::from_slice::<WatchResponse>(&answer.body) else {
                    tracing::warn!("a watch answer that is not understood");
                    return false;
                };
                self.apply_to_cache(watch_cache::Input::WatchEvents {
                    after,
                    revision: news.revision,
                    events: news.events,
                });
                self.fresh(sent);
                self.observe_link(LinkId::Store, Observation::Success);
                true
            }
            410 => self.list_all().await,
            _ => false,
        }
    }

    /// Waits until the watch cache shows at least what was true when this was called.
    pub async fn read_index(&self) -> bool {
        let (reply, done) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            // Where others are answered and this controller is not, nobody is kept waiting.
            if !state.cache.is_synced()
                || state.store.read_waiters.len() > 5_000
                || state.isolation.isolated
            {
                return false;
            }
            state.store.read_waiters.push(reply);
        }
        self.wake.read_index.notify_one();
        matches!(
            timeout(Duration::from_millis(1_500), done).await,
            Ok(Ok(true))
        )
    }

    /// One barrier serves everyone who waits for it.
    pub async fn read_index_loop(self: Rc<Self>) {
        loop {
            self.wake.read_index.notified().await;
            loop {
                let (mut waiters, after) = {
                    let mut state = self.state.borrow_mut();
                    (
                        std::mem::take(&mut state.store.read_waiters),
                        state.cache.revision,
                    )
                };
                // Those who have given up need no answer.
                waiters.retain(|w| !w.is_closed());
                if waiters.is_empty() {
                    break;
                }
                let began = self.now();
                let fine =
                    self.watch(after, Micros::ZERO).await && self.state.borrow().cache.is_synced();
                if fine {
                    for waiter in waiters {
                        let _ = waiter.send(true);
                    }
                } else {
                    // Refused or unanswered: they wait for the next one while they can. A
                    // later barrier shows no less.
                    self.state.borrow_mut().store.read_waiters.extend(waiters);
                }
                // Those who come meanwhile share the next one.
                let pause = if fine {
                    self.pace(BARRIER_SHARE) - (self.now() - began)
                } else {
                    Micros::from_millis(100)
                };
                sleep(to_duration(pause)).await;
            }
        }
    }

    /// `Some(false)`: the lease is gone.
    pub async fn lease_renew(&self, lease: u64) -> Option<bool> {
        self.state
            .borrow_mut()
            .store
            .requests
            .take_into_debt(1.0, self.now());
        let request = Request::new(
            Method::Post,
            format!("/leases/{lease}/renew"),
            b"{}".to_vec(),
        );
        match self
            .call(self.settings.state, request, Micros::from_secs(1))
            .await
        {
            Ok(r) if r.status == 200 => Some(true),
            Ok(r) if r.status == 404 => Some(false),
            _ => None,
        }
    }

    /// Asks for a lease and ties the session's key to it. A restarted controller takes over
    /// its own earlier session and what that owned in the same transaction: the earlier
    /// process is gone, and nobody needs to wait for its lease.
    pub async fn begin_session(&self) -> bool {
        if !self.read_index().await {
            return false;
        }
        let ttl = self.state.borrow().authority.ttl();
        let sent = self.now();
        let body = format!("{{\"ttl_ms\":{}}}", ttl.0 / 1_000).into_bytes();
        let request = Request::new(Method::Post, "/leases", body);
        let lease = match self.state_call(request, Micros::from_secs(1)).await {
            Ok(r) if r.status == 200 => match serde_json::from_slice::<LeaseResponse>(&r.body) {
                Ok(answer) => answer.lease,
                Err(_) => return false,
            },
            _ => return false,
        };
        let me = &self.settings.member;
        let key = session_key(me);
        let (old, told, roles, life) = {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            let told = state.cache.feature_levels.get(me).map(|k| k.value.format);
            let old = state.cache.sessions.get(me).cloned();
            let begins = restart_history::Input::SessionStarting {
                former: old.as_ref().map(|k| crate::roles::process_run_of(&k.value)),
                wall: self.clock.wall(),
            };
            let phase = state.membership.restarts.apply(begins, self.now());
            // Guards against roles that a process takes back in each of its lives and serves in
            // none: what it leaves names a session that is gone.
            let leaves = self.defers_to_other_members(state);
            if leaves {
                tracing::warn!(
                    quick = state.membership.restarts.current().quick_restarts,
                    ?phase,
                    "leaves its roles: it has ended again and again"
                );
            }
            let roles: Vec<_> = state
                .cache
                .roles
                .iter()
                .filter(|(_, k)| &k.value.owner == me && !leaves)
                .map(|(role, k)| (*role, k.version))
                .collect();
            (old, told, roles, state.membership.restarts.current())
        };
        let mut guards = vec![guard(&key, old.as_ref().map_or(Revision(0), |k| k.version))];
        let session = SessionRecord {
            lease,
            format: FEATURE_LEVEL,
            process_started: life.started,
            quick_restarts: life.quick_restarts,
        };
        let mut changes = vec![put_with_lease(&key, &session, lease)];
        // Outlasts the session: an earlier version that comes back in its place writes a session
        // without a format, and counts by that.
        if told != Some(FEATURE_LEVEL) {
            changes.push(put(
                feature_level_key(me),
                &FeatureLevelRecord {
                    format: FEATURE_LEVEL,
                },
            ));
        }
        for (role, version) in roles.into_iter().take(self.settings.txn_ops - 2) {
            guards.push(guard(role_key(role), version));
            changes.push(put(
                role_key(role),
                &RoleRecord {
                    owner: me.clone(),
                    lease,
                },
            ));
        }
        match self
            .write(WritePriority::Role, guards, changes, Micros::from_secs(1))
            .await
        {
            WriteOutcome::Committed(version) => {
                self.state
                    .borrow_mut()
                    .authority
                    .apply(authority::Input::Begun {
                        lease,
                        version,
                        sent,
                    });
                tracing::info!(lease, "session begun");
                if let Some(old) = old {
                    self.end_lease(old.value.lease).await;
                }
                self.wake.roles.notify_one();
                true
            }
            _ => {
                // Not used: ended, so that a late write of it fails.
                self.end_lease(lease).await;
                false
            }
        }
    }

    async fn end_lease(&self, lease: u64) {
        let request = Request::new(Method::Delete, format!("/leases/{lease}"), Vec::new());
        let _ = self.state_call(request, Micros::from_secs(1)).await;
    }

    /// The guard that this controller's session is still the one it knows.
    pub fn session_guard(&self, state: &State) -> Option<(u64, Guard)> {
        match state.authority.session() {
            Session::Held { lease, version } => {
                Some((lease, guard(session_key(&self.settings.member), version)))
            }
            Session::None => None,
        }
    }
}

fn unknown(batch: Vec<PendingWrite>) {
    for op in batch {
        let _ = op.reply.send(WriteOutcome::Unknown);
    }
}
