//! Session of this controller: the lease in the state service that its roles are bound to. Starts
//! and renews the session, and drops role ownership when the session has ended. The module
//! `jasperhill_membership::authority` decides what the session entitles this controller to, and its
//! state changes only through its `apply` function.

use super::{
    commit_queue::{WriteOutcome, WritePriority},
    lease::LeaseRenewal,
    transaction::{guard, put, put_with_lease},
};
use crate::{
    clock::to_duration,
    membership::process_run_from_session,
    shared::{Shared, link_observation},
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

/// Delay after the first failed attempt to start a session. The delay doubles after each further
/// failure.
const START_RETRY_DELAY_INITIAL: Micros = Micros::from_millis(200);
/// Maximum delay between attempts to start a session. Kept short because this controller owns no
/// role until a session starts.
const START_RETRY_DELAY_MAX: Micros = Micros::from_millis(800);
/// Maximum time that the write which starts a session may wait in the queue before it is sent.
const START_WRITE_TIMEOUT: Micros = Micros::from_secs(1);
/// Number of changes in the write that starts a session, apart from the role records: the session
/// record and the feature level record.
const NON_ROLE_CHANGES: usize = 2;
/// Delay after a renewal that got no conclusive response or was skipped.
const RENEWAL_RETRY_DELAY: Micros = Micros::from_millis(250);
/// Fraction of the time to live after which a lease is renewed. Small enough that several renewal
/// attempts fit into the time to live.
const RENEWAL_TTL_FRACTION: f64 = 0.15;
/// Maximum interval between renewals, however long the time to live of the lease is.
const RENEWAL_INTERVAL_MAX: Micros = Micros::from_secs(2);

/// Records that the previous process of this controller left in the store.
struct PreviousSession {
    /// Session record of the previous process; `None` if the record no longer exists.
    record: Option<Versioned<SessionRecord>>,
    /// Feature level announced by a previous process; `None` if there is no record.
    announced_level: Option<u32>,
    /// Roles owned by the previous process that the new session takes over.
    roles: Vec<OwnedRole>,
}

/// Role whose record names this controller as the owner.
struct OwnedRole {
    /// The owned role.
    role: Role,
    /// Revision at which the role record was last written.
    version: Revision,
}

impl Shared {
    /// Starts the session and keeps it renewed. Runs for the lifetime of the controller.
    pub async fn session_loop(self: Rc<Self>) {
        let mut start_retry_delay = START_RETRY_DELAY_INITIAL;
        loop {
            let session = self.state.borrow().authority.session();
            let delay = match session {
                Session::None => {
                    if self.start_session().await {
                        start_retry_delay = START_RETRY_DELAY_INITIAL;
                        Micros::ZERO
                    } else {
                        let delay = start_retry_delay;
                        start_retry_delay = start_retry_delay.scale(2.0).min(START_RETRY_DELAY_MAX);
                        delay
                    }
                }
                Session::Held { lease, .. } => self.renew_session(lease).await,
            };
            sleep(to_duration(delay)).await;
        }
    }

    /// Renews the session once and returns the delay until the next renewal.
    async fn renew_session(&self, lease: u64) -> Micros {
        let sent = self.now();
        {
            // While the state service responds to other controllers but not to this one, renewals
            // could keep the session alive although their responses are lost. Nobody would act on
            // its roles then, so the session is left to expire. The watch detects when the link
            // recovers.
            let state = self.state.borrow();
            if state.isolation.is_isolated && !state.authority.is_valid_at(sent) {
                return RENEWAL_RETRY_DELAY;
            }
        }
        let renewal = self.renew_lease(lease).await;
        let time_to_live = self.state.borrow().authority.ttl();
        let has_response = renewal != LeaseRenewal::Unknown;
        let stall_input = if has_response {
            stall_detector::Input::RenewalAnswered
        } else {
            stall_detector::Input::RenewalUnanswered { sent }
        };
        self.state
            .borrow_mut()
            .stall_detector
            .apply(stall_input, self.now());
        self.observe_link(LinkId::Store, link_observation(has_response));
        match renewal {
            LeaseRenewal::Renewed => {
                let renewed = authority::Input::SessionRenewed { lease, sent };
                self.state.borrow_mut().authority.apply(renewed);
                time_to_live
                    .scale(RENEWAL_TTL_FRACTION)
                    .min(RENEWAL_INTERVAL_MAX)
            }
            LeaseRenewal::NotFound => {
                let mut state = self.state.borrow_mut();
                state
                    .authority
                    .apply(authority::Input::SessionLost { lease });
                self.drop_ownership(&mut state, "session ended");
                Micros::ZERO
            }
            LeaseRenewal::Unknown => RENEWAL_RETRY_DELAY,
        }
    }

    /// Requests a lease and writes a session record bound to that lease. A restarted controller
    /// takes over its own previous session and the roles of that session in the same transaction:
    /// the previous process has ended, so nobody needs to wait for its lease to expire. Returns
    /// false if no session was started.
    async fn start_session(&self) -> bool {
        if !self.linearizable_read().await {
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
            .write(WritePriority::Role, guards, changes, START_WRITE_TIMEOUT)
            .await;
        let WriteOutcome::Committed(version) = outcome else {
            // The lease is not used. Revoking it makes the session write fail if that write arrives
            // late.
            self.revoke_lease(lease).await;
            return false;
        };
        let session_begun = authority::Input::SessionStarted {
            lease,
            version,
            sent,
        };
        self.state.borrow_mut().authority.apply(session_begun);
        tracing::info!(lease, "session started");
        if let Some(previous) = previous.record {
            self.revoke_lease(previous.value.lease).await;
        }
        self.wakeups.roles.notify_one();
        true
    }

    /// Records the session start in the restart history, and reads the records that the previous
    /// process of this controller left in the store.
    fn load_previous_session(&self) -> (PreviousSession, ProcessRun) {
        let own_member = &self.settings.member;
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        let record = state.cache.sessions.get(own_member).cloned();
        let session_starting = restart_history::Input::SessionStarting {
            previous_run: record
                .as_ref()
                .map(|entry| process_run_from_session(&entry.value)),
            wall_clock: self.clock.wall(),
        };
        let phase = state
            .membership
            .restarts
            .apply(session_starting, self.now());
        let process_run = state.membership.restarts.current_run();
        // In a crash loop, each process would take the roles back and serve none of them. The roles
        // are therefore not taken over: their records keep naming the lease of the ended session,
        // which leaves the roles to other members.
        let leaves_roles = self.defers_to_other_members(state);
        if leaves_roles {
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
            .filter(|(_, entry)| &entry.value.owner == own_member && !leaves_roles)
            .map(|(role, entry)| OwnedRole {
                role: *role,
                version: entry.version,
            })
            .collect();
        let level = state.cache.feature_levels.get(own_member);
        let previous = PreviousSession {
            record,
            announced_level: level.map(|entry| entry.value.format),
            roles,
        };
        (previous, process_run)
    }

    /// Builds the transaction that starts a session under a lease. Its guards require that the
    /// replaced records are unchanged.
    fn session_transaction(
        &self,
        lease: u64,
        previous: &PreviousSession,
        process_run: ProcessRun,
    ) -> Transaction {
        let own_member = &self.settings.member;
        let key = session_key(own_member);
        let version = previous
            .record
            .as_ref()
            .map_or(Revision(0), |entry| entry.version);
        let session = SessionRecord {
            lease,
            format: FEATURE_LEVEL,
            process_started: process_run.started_at,
            quick_restarts: process_run.quick_restarts,
        };
        let mut guards = vec![guard(&key, version)];
        let mut changes = vec![put_with_lease(&key, &session, lease)];
        // The feature level record outlives the session. If an earlier version replaces this
        // process, the session record of that version has no format field and takes precedence over
        // the feature level record.
        if previous.announced_level != Some(FEATURE_LEVEL) {
            let level = FeatureLevelRecord {
                format: FEATURE_LEVEL,
            };
            changes.push(put(feature_level_key(own_member), &level));
        }
        let roles_max = self.settings.transaction_ops_max - NON_ROLE_CHANGES;
        for OwnedRole { role, version } in previous.roles.iter().take(roles_max) {
            let record = RoleRecord {
                owner: own_member.clone(),
                lease,
            };
            guards.push(guard(role_key(*role), *version));
            changes.push(put(role_key(*role), &record));
        }
        Transaction { guards, changes }
    }

    /// Returns the lease of this controller's session and a guard which requires that the session
    /// record is unchanged. Returns `None` if there is no session.
    pub fn session_guard(&self, state: &State) -> Option<(u64, Guard)> {
        match state.authority.session() {
            Session::Held { lease, version } => {
                Some((lease, guard(session_key(&self.settings.member), version)))
            }
            Session::None => None,
        }
    }
}
