//! Who owns which role: takeover of orphans, loading of what was taken, handing back what is
//! more than a fair share.

use crate::{
    shared::Shared,
    state::State,
    store::{WriteOutcome, WritePriority, guard, put},
};
use jasperhill_membership::{
    restart_history::{self, Phase, ProcessRun},
    roles::{self, Snapshot, Transition},
};
use jasperhill_scheduler::{Host, Partition, job::Readiness};
use jasperhill_wire::{
    Member, Micros, Revision,
    record::{DEPENDENCIES, Role, RoleRecord, SessionRecord, role_key, session_key},
};
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::timeout;

pub(crate) fn process_run_of(record: &SessionRecord) -> ProcessRun {
    ProcessRun {
        started: record.process_started,
        quick_restarts: record.quick_restarts,
    }
}

impl Shared {
    pub async fn roles_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake.roles.notified()).await;
            for step in self.look_at_roles() {
                match step {
                    Transition::Acquire(role) => self.clone().spawn(self.clone().take(role)),
                    Transition::HandOver { role, to, urgent } => {
                        let task = self.clone().hand_over(role, to, urgent);
                        self.clone().spawn(task);
                    }
                    Transition::Hold(..) | Transition::Release(_) | Transition::Relinquish(_) => {}
                }
            }
        }
    }

    /// The members that have ended again and again and have not lived for long since.
    fn restless(&self, state: &State) -> BTreeSet<Member> {
        let (after, wall) = (state.membership.restarts.threshold(), self.clock.wall());
        let me = &self.settings.member;
        let others =
            state.cache.sessions.iter().filter(|(m, k)| {
                *m != me && process_run_of(&k.value).is_crash_looping(after, wall)
            });
        let mut restless: BTreeSet<Member> = others.map(|(m, _)| m.clone()).collect();
        if matches!(
            state.membership.restarts.phase(),
            Phase::CrashLooping { .. }
        ) {
            restless.insert(me.clone());
        }
        restless
    }

    /// This controller has ended again and again while others live on: it leaves roles and users to
    /// them until it has lived for a while.
    pub fn defers_to_other_members(&self, state: &State) -> bool {
        if !matches!(
            state.membership.restarts.phase(),
            Phase::CrashLooping { .. }
        ) {
            return false;
        }
        let restless = self.restless(state);
        let mut others = state.cache.sessions.keys();
        others.any(|m| m != &self.settings.member && !restless.contains(m))
    }

    /// Begins and ends acting on what the store says; the rest of the steps take time.
    fn look_at_roles(&self) -> Vec<Transition> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let Some((lease, _)) = self.session_guard(state) else {
            return Vec::new();
        };
        if !state.cache.is_synced() || state.scheduling.specs.is_none() {
            return Vec::new();
        }
        let held = state
            .scheduling
            .partitions
            .keys()
            .map(|p| Role::Partition(*p));
        let mut seats = state.cache.ownerships();
        for (role, seat) in &mut seats {
            seat.relinquished = state.membership.reachability.has_relinquished(
                &seat.owner,
                *role,
                seat.version,
                now,
            );
        }
        let (fits, hosts) = self.role_eligibility(state, now);
        let facts = Snapshot {
            lease,
            ownerships: seats,
            held: held
                .chain(state.provisioning.leader.iter().map(|_| Role::Leader))
                .collect(),
            may_acquire: state.authority.holds(now),
            reachability_enabled: self.uses_reachability(state),
            crash_looping: self.restless(state),
            eligibility: fits,
            hosts,
            damping: self.settings.lease,
        };
        state
            .membership
            .restarts
            .apply(restart_history::Input::Tick, now);
        let steps = state
            .membership
            .roles
            .apply(roles::Input::Evaluate(&facts), now);
        for step in &steps {
            match step {
                // Built only once the watch cache holds everything up to the takeover.
                Transition::Hold(role, version) if state.cache.revision >= *version => {
                    self.load(state, *role, *version, now);
                }
                Transition::Release(role) => self.unload(state, *role),
                // Stops first: the word that goes out next must be true.
                Transition::Relinquish(role) => {
                    if let Some(kept) = state.cache.roles.get(role) {
                        tracing::info!(?role, "let go: the state service answers others");
                        let given_up = roles::Input::Relinquished(*role, kept.version);
                        state.membership.roles.apply(given_up, now);
                        self.unload(state, *role);
                        self.wake.reachability.notify_one();
                    }
                }
                _ => {}
            }
        }
        steps
    }

    fn load(&self, state: &mut State, role: Role, version: Revision, now: Micros) {
        let Some(specs) = state.scheduling.specs.clone() else {
            return;
        };
        match role {
            Role::Leader => {
                if state
                    .provisioning
                    .leader
                    .as_ref()
                    .is_none_or(|l| l.since != version)
                {
                    tracing::info!(revision = version.0, "leads the fleet");
                    state.provisioning.leader =
                        Some(crate::provisioner::state::LeaderState::new(version, now));
                    state.host_registry.clear_assignments();
                }
            }
            Role::Partition(p) => {
                if state
                    .scheduling
                    .partitions
                    .get(&p)
                    .is_some_and(|part| part.since == version)
                {
                    return;
                }
                let mut part = Partition::new(p, version, self.scheduler_config.clone(), specs);
                for job in state.cache.active_jobs() {
                    if self.partition_of(&job.request.team) == Some(p) {
                        let submitted = self.clock.steady(job.submitted);
                        // Revision 0: old enough to be running anywhere.
                        let trust = (job.failed_attempts, now);
                        let place = self.dependency_status(state, job);
                        // A job that waits for others now was never started by a controller
                        // that knows of that.
                        let created = match place.gate {
                            Readiness::Waiting
                                if state.membership.features.supports(DEPENDENCIES) =>
                            {
                                Revision(u64::MAX)
                            }
                            _ => Revision(0),
                        };
                        part.upsert_job(&job.request, created, submitted, &job.finished, trust);
                        part.set_dependency_status(&job.request.id, place);
                    }
                }
                // Late writes and clocks that differ included, longer than a cancelled task can last.
                let lasts = self.settings.cancel.scale(3.0);
                for (id, remains) in state.cache.residual_usage(self.clock.wall() - lasts) {
                    if self.partition_of(&remains.team) == Some(p) {
                        part.restore_cancelled(id, remains, now);
                    }
                }
                for (id, kept) in &state.cache.hosts {
                    if kept.value.partition() == Some(p) {
                        part.upsert_host(id, &kept.value, kept.version, true, now);
                    }
                }
                // Whoever keeps hosts by the former owner's leave may do so for the rest of it.
                let until = now + self.settings.delegation_time();
                for ((q, _), grant) in &state.cache.delegation_grants {
                    if *q == p {
                        for id in grant.value.hosts.keys() {
                            part.apply(
                                id,
                                jasperhill_scheduler::HostInput::LeaseDelegated(until),
                                now,
                            );
                        }
                    }
                }
                tracing::info!(
                    partition = p,
                    revision = version.0,
                    jobs = part.jobs.len(),
                    hosts = part.hosts.len(),
                    "took over"
                );
                state.scheduling.partitions.insert(p, part);
                self.wake.ownership_changed.notify_waiters();
                self.wake.scheduler.notify_one();
            }
        }
    }

    fn unload(&self, state: &mut State, role: Role) {
        match role {
            Role::Leader => state.provisioning.leader = None,
            Role::Partition(p) => {
                if state.scheduling.partitions.remove(&p).is_some() {
                    tracing::info!(partition = p, "gave up");
                }
            }
        }
    }

    async fn take(self: Rc<Self>, role: Role) {
        let me = self.settings.member.clone();
        let prepared = {
            let state = self.state.borrow();
            self.session_guard(&state).map(|(lease, session)| {
                let mut guards = vec![session];
                match state.cache.roles.get(&role) {
                    Some(kept) => {
                        guards.push(guard(role_key(role), kept.version));
                        let by_word = self.uses_reachability(&state)
                            && state.membership.reachability.has_relinquished(
                                &kept.value.owner,
                                role,
                                kept.version,
                                self.now(),
                            );
                        // By its owner's word, it has stopped at this version for good: the
                        // guard on that is enough.
                        if kept.value.owner != me && !by_word {
                            // Its holder has stopped: the key goes no earlier than the lease.
                            let old = state.cache.sessions.get(&kept.value.owner);
                            // A newer session of the old owner does not own this any more.
                            let version = old
                                .filter(|s| s.value.lease != kept.value.lease)
                                .map_or(Revision(0), |s| s.version);
                            guards.push(guard(session_key(&kept.value.owner), version));
                        }
                    }
                    None => guards.push(guard(role_key(role), Revision(0))),
                }
                (
                    guards,
                    put(
                        role_key(role),
                        &RoleRecord {
                            owner: me.clone(),
                            lease,
                        },
                    ),
                )
            })
        };
        if let Some((guards, change)) = prepared {
            let done = self
                .write(
                    WritePriority::Role,
                    guards,
                    vec![change],
                    Micros::from_secs(1),
                )
                .await;
            if !matches!(done, WriteOutcome::Committed(_)) {
                // Whatever became of it, the watch cache will tell.
                self.read_index().await;
            }
        }
        self.settled(role);
        self.wake.roles.notify_one();
    }

    /// Stops acting first, then writes the new owner. If that fails or its fate is unknown,
    /// only a new takeover (at a new revision, which kills the late write) brings it back.
    async fn hand_over(self: Rc<Self>, role: Role, to: Member, urgent: bool) {
        let prepared = {
            let mut guarded = self.state.borrow_mut();
            let state = &mut *guarded;
            let version = state.cache.roles.get(&role).map(|k| k.version);
            let session = state.cache.sessions.get(&to).cloned();
            let settled = match role {
                Role::Partition(p) => state.scheduling.partitions.get(&p).is_some_and(|part| {
                    let quiet = |h: &Host| !h.in_flight() && !h.in_doubt();
                    urgent || part.hosts.values().all(quiet)
                }),
                Role::Leader => state.provisioning.leader.is_some(),
            };
            match (version, session) {
                (Some(version), Some(session)) if settled => {
                    let given_up = roles::Input::Relinquished(role, version);
                    state.membership.roles.apply(given_up, self.now());
                    tracing::info!(?role, %to, "handing over");
                    self.unload(state, role);
                    let lease = session.value.lease;
                    Some((
                        vec![
                            guard(role_key(role), version),
                            guard(session_key(&to), session.version),
                        ],
                        put(role_key(role), &RoleRecord { owner: to, lease }),
                    ))
                }
                _ => None,
            }
        };
        if let Some((guards, change)) = prepared {
            let done = self
                .write(
                    WritePriority::Role,
                    guards,
                    vec![change],
                    Micros::from_secs(2),
                )
                .await;
            if !matches!(done, WriteOutcome::Committed(_)) {
                self.read_index().await;
            }
        }
        self.settled(role);
    }

    /// What a step began is over.
    fn settled(&self, role: Role) {
        let now = self.now();
        let over = roles::Input::TransitionOver(role);
        self.state.borrow_mut().membership.roles.apply(over, now);
    }
}
