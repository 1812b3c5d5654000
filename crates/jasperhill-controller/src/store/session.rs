//! This controller's session: a lease of the state service that its roles are tied to. Starts it,
//! renews it, and drops ownership when it has ended. What the session entitles to is decided by
//! `jasperhill_membership::authority`, whose state changes only through its `apply`.

use super::{
    commit_queue::{WriteOutcome, WritePriority},
    lease::LeaseRenewal,
    transaction::{guard, put, put_with_lease},
};
use crate::{
    clock::to_duration,
    membership::process_run_of,
    shared::{Shared, observation_of},
    stall_detector,
    state::State,
    watch_cache::Versioned,
};
use jasperhill_membership::{
    authority::{self, Session},
    reachability::LinkId,
    restart_history::{self, ProcessRun},
};
use jasperhill_wire::{
    Micros, Revision,
    record::{
        FEATURE_LEVEL, FeatureLevelRecord, Role, RoleRecord, SessionRecord, feature_level_key,
        role_key, session_key,
    },
    store::{Guard, Transaction},
};
use std::rc::Rc;
use tokio::time::sleep;

/// The pause after the first failed try to start a session, doubled with each further one.
const START_PAUSE: Micros = Micros::from_millis(200);
/// The longest pause between tries to start a session: nothing is owned meanwhile.
const START_PAUSE_MAX: Micros = Micros::from_millis(800);
/// How long the write that starts a session may wait before it is sent.
const START_WRITE_LIMIT: Micros = Micros::from_secs(1);
/// Changes of that write besides those of roles: the session and the feature level.
const START_CHANGES: usize = 2;
/// The pause after a renewal without an answer, or that was not tried.
const RENEWAL_RETRY_PAUSE: Micros = Micros::from_millis(250);
/// A lease is renewed after this part of its time to live, so that several tries fit into it.
const RENEWAL_SHARE: f64 = 0.15;
/// The longest pause between renewals, however long a lease lasts.
const RENEWAL_PAUSE_MAX: Micros = Micros::from_secs(2);

/// What the store says of this controller before its new session starts.
struct PreviousSession {
    /// The session of the earlier process, if its record is still there.
    record: Option<Versioned<SessionRecord>>,
    /// The feature level that an earlier process announced.
    announced_level: Option<u32>,
    /// The roles that it owned and that the new session takes over.
    roles: Vec<OwnedRole>,
}

/// A role that is owned by this controller, by its record.
struct OwnedRole {
    /// The role.
    role: Role,
    /// The revision at which its record was written.
    version: Revision,
}

impl Shared {
    /// Starts and renews the session. Runs for as long as the controller lives.
    pub async fn session_loop(self: Rc<Self>) {
        let mut start_pause = START_PAUSE;
        loop {
            let session = self.state.borrow().authority.session();
            let pause = match session {
                Session::None => {
                    if self.start_session().await {
                        start_pause = START_PAUSE;
                        Micros::ZERO
                    } else {
                        let pause = start_pause;
                        start_pause = start_pause.scale(2.0).min(START_PAUSE_MAX);
                        pause
                    }
                }
                Session::Held { lease, .. } => self.renew_session(lease).await,
            };
            sleep(to_duration(pause)).await;
        }
    }

    /// Renews the session once. How long to pause until the next renewal.
    async fn renew_session(&self, lease: u64) -> Micros {
        let sent = self.now();
        {
            // Guards against a session that is kept alive by renewals whose answers get lost, while
            // nobody acts on its roles: others are answered, so it had better end. The watch
            // notices when the link is back.
            let state = self.state.borrow();
            if state.isolation.isolated && !state.authority.holds(sent) {
                return RENEWAL_RETRY_PAUSE;
            }
        }
        let renewal = self.renew_lease(lease).await;
        let time_to_live = self.state.borrow().authority.ttl();
        let answered = renewal != LeaseRenewal::Unknown;
        let observed = if answered {
            stall_detector::Input::Answered
        } else {
            stall_detector::Input::Unanswered { sent }
        };
        self.state.borrow_mut().stalls.apply(observed, self.now());
        self.observe_link(LinkId::Store, observation_of(answered));
        match renewal {
            LeaseRenewal::Renewed => {
                let renewed = authority::Input::Renewed { lease, sent };
                self.state.borrow_mut().authority.apply(renewed);
                time_to_live.scale(RENEWAL_SHARE).min(RENEWAL_PAUSE_MAX)
            }
            LeaseRenewal::Gone => {
                let mut state = self.state.borrow_mut();
                state.authority.apply(authority::Input::Lost { lease });
                self.drop_ownership(&mut state, "session ended");
                Micros::ZERO
            }
            LeaseRenewal::Unknown => RENEWAL_RETRY_PAUSE,
        }
    }

    /// Asks for a lease and ties the session's key to it. A restarted controller takes over
    /// its own earlier session and what that owned in the same transaction: the earlier
    /// process is gone, and nobody needs to wait for its lease. False if no session started.
    async fn start_session(&self) -> bool {
        if !self.read_index().await {
            return false;
        }
        let time_to_live = self.state.borrow().authority.ttl();
        let sent = self.now();
        let Some(lease) = self.grant_lease(time_to_live).await else {
            return false;
        };
        let (previous, process_run) = self.load_previous_session();
        let Transaction { guards, changes } =
            self.session_transaction(lease, &previous, process_run);
        let outcome = self
            .write(WritePriority::Role, guards, changes, START_WRITE_LIMIT)
            .await;
        let WriteOutcome::Committed(version) = outcome else {
            // Not used: revoked, so that the write fails if it arrives late.
            self.revoke_lease(lease).await;
            return false;
        };
        let begun = authority::Input::Begun {
            lease,
            version,
            sent,
        };
        self.state.borrow_mut().authority.apply(begun);
        tracing::info!(lease, "session started");
        if let Some(previous) = previous.record {
            self.revoke_lease(previous.value.lease).await;
        }
        self.wake.roles.notify_one();
        true
    }

    /// Notes in the restart history that a session starts, and reads what the earlier process of this
    /// controller has left in the store.
    fn load_previous_session(&self) -> (PreviousSession, ProcessRun) {
        let own = &self.settings.member;
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let record = state.cache.sessions.get(own).cloned();
        let starting = restart_history::Input::SessionStarting {
            former: record.as_ref().map(|entry| process_run_of(&entry.value)),
            wall: self.clock.wall(),
        };
        let phase = state.membership.restarts.apply(starting, self.now());
        let process_run = state.membership.restarts.current();
        // Guards against roles that a process takes back in each of its lives and serves in
        // none: what it leaves names a session that is gone.
        let relinquishes = self.defers_to_other_members(state);
        if relinquishes {
            tracing::warn!(
                quick_restarts = process_run.quick_restarts,
                ?phase,
                "crash loop: roles are left to other members"
            );
        }
        let roles = state
            .cache
            .roles
            .iter()
            .filter(|(_, entry)| &entry.value.owner == own && !relinquishes)
            .map(|(role, entry)| OwnedRole {
                role: *role,
                version: entry.version,
            })
            .collect();
        let level = state.cache.feature_levels.get(own);
        let previous = PreviousSession {
            record,
            announced_level: level.map(|entry| entry.value.format),
            roles,
        };
        (previous, process_run)
    }

    /// The write that starts a session under a lease, guarded by what it replaces.
    fn session_transaction(
        &self,
        lease: u64,
        previous: &PreviousSession,
        process_run: ProcessRun,
    ) -> Transaction {
        let own = &self.settings.member;
        let key = session_key(own);
        let version = previous.record.as_ref().map_or(Revision(0), |k| k.version);
        let session = SessionRecord {
            lease,
            format: FEATURE_LEVEL,
            process_started: process_run.started,
            quick_restarts: process_run.quick_restarts,
        };
        let mut guards = vec![guard(&key, version)];
        let mut changes = vec![put_with_lease(&key, &session, lease)];
        // Outlasts the session: an earlier version that comes back in its place writes a session
        // without a format, and counts by that.
        if previous.announced_level != Some(FEATURE_LEVEL) {
            let level = FeatureLevelRecord {
                format: FEATURE_LEVEL,
            };
            changes.push(put(feature_level_key(own), &level));
        }
        let roles_max = self.settings.txn_ops - START_CHANGES;
        for OwnedRole { role, version } in previous.roles.iter().take(roles_max) {
            let record = RoleRecord {
                owner: own.clone(),
                lease,
            };
            guards.push(guard(role_key(*role), *version));
            changes.push(put(role_key(*role), &record));
        }
        Transaction { guards, changes }
    }

    /// The lease of this controller's session, and the guard that the session is still the one it
    /// knows; `None` without a session.
    pub fn session_guard(&self, state: &State) -> Option<(u64, Guard)> {
        match state.authority.session() {
            Session::Held { lease, version } => {
                Some((lease, guard(session_key(&self.settings.member), version)))
            }
            Session::None => None,
        }
    }
}
