//! Who owns which role: takeover of orphans, loading of what was taken, handing back what is
//! more than a fair share.

use crate::{
    controller::{Inner, State},
    store::{Urgency, Written, guard, put},
};
use jasperhill_sched::{Partition, job::Gate};
use jasperhill_wire::{
    Micros, Revision,
    record::{Role, RoleRecord, role_key, session_key},
};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

enum Step {
    Take(Role),
    HandBack(Role),
}

impl Inner {
    pub async fn roles_loop(self: Rc<Self>) {
        loop {
            let _ = timeout(Duration::from_millis(500), self.wake_roles.notified()).await;
            let steps = self.look_at_roles();
            for step in steps {
                match step {
                    Step::Take(role) => self.clone().spawn(self.clone().take(role)),
                    Step::HandBack(role) => self.clone().spawn(self.clone().hand_back(role)),
                }
            }
        }
    }

    fn look_at_roles(&self) -> Vec<Step> {
        let now = self.now();
        let mut guarded = self.state.borrow_mut();
        let state = &mut *guarded;
        let mut steps = Vec::new();
        let me = &self.settings.member;
        let Some((lease, _)) = self.session_guard(state) else {
            return steps;
        };
        if !state.mirror.is_synced() || state.specs.is_none() {
            return steps;
        }
        let roles = (0..self.settings.size)
            .map(Role::Partition)
            .chain([Role::Leader]);
        for role in roles {
            let kept = state.mirror.roles.get(&role).cloned();
            let mine = kept
                .as_ref()
                .is_some_and(|k| &k.value.owner == me && k.value.lease == lease);
            let version = kept.as_ref().map(|k| k.version);
            if mine && state.relinquished.get(&role) != version.as_ref() {
                state.orphaned.remove(&role);
                // Built only once the mirror holds everything up to the takeover.
                if let Some(version) = version
                    && state.mirror.revision >= version
                {
                    self.load(state, role, version, now);
                }
                self.fair_share(state, role, now, &mut steps);
                continue;
            }
            self.unload(state, role);
            if !mine && state.mirror.owner(role).is_some() {
                state.orphaned.remove(&role);
                continue;
            }
            let since = *state.orphaned.entry(role).or_insert(now);
            if now - since >= self.patience(role, kept.is_some(), state)
                && state.authority.holds(now)
                && state.taking.insert(role)
            {
                steps.push(Step::Take(role));
            }
        }
        steps
    }

    /// How long an orphan is left to those who come before.
    fn patience(&self, role: Role, was_owned: bool, state: &State) -> Micros {
        let n = self.members.len();
        let index = self
            .members
            .iter()
            .position(|m| m == &self.settings.member)
            .unwrap_or(0);
        let home = match role {
            Role::Partition(p) => p as usize % n,
            Role::Leader => 0,
        };
        let mut rank = ((index + n - home) % n) as u64;
        if was_owned {
            // The least loaded survivor first.
            rank += state.partitions.len() as u64;
            Micros::from_millis(150 * rank)
        } else {
            Micros::from_secs(3 * rank)
        }
    }

    fn load(&self, state: &mut State, role: Role, version: Revision, now: Micros) {
        let Some(specs) = state.specs.clone() else {
            return;
        };
        match role {
            Role::Leader => {
                if state.leader.as_ref().is_none_or(|l| l.since != version) {
                    tracing::info!(revision = version.0, "leads the fleet");
                    state.leader = Some(crate::cloud::Leader::new(version, now));
                    state.book.forget_places();
                }
            }
            Role::Partition(p) => {
                if state
                    .partitions
                    .get(&p)
                    .is_some_and(|part| part.since == version)
                {
                    return;
                }
                let mut part = Partition::new(p, version, self.sched.clone(), specs);
                for job in state.mirror.active() {
                    if self.partition_of(&job.request.team) == Some(p) {
                        let submitted = self.clock.steady(job.submitted);
                        // Revision 0: old enough to be running anywhere.
                        let trust = (job.failing, now);
                        let place = self.place_of(state, job);
                        // A job that waits for others now was never started by a controller
                        // that knows of that.
                        let created = match place.gate {
                            Gate::Waiting if state.upgrade.is_complete() => Revision(u64::MAX),
                            _ => Revision(0),
                        };
                        part.upsert_job(&job.request, created, submitted, &job.finished, trust);
                        part.place_job(&job.request.id, place);
                    }
                }
                for (id, kept) in &state.mirror.hosts {
                    if kept.value.partition() == Some(p) {
                        part.upsert_host(id, &kept.value, kept.version, true, now);
                    }
                }
                // Whoever keeps hosts by the former owner's leave may do so for the rest of it.
                let until = now + self.settings.grant();
                for ((q, _), grant) in &state.mirror.grants {
                    if *q == p {
                        for id in grant.value.hosts.keys() {
                            part.apply(id, jasperhill_sched::HostInput::Kept(until), now);
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
                state.partitions.insert(p, part);
                self.wake_pass.notify_one();
            }
        }
    }

    fn unload(&self, state: &mut State, role: Role) {
        match role {
            Role::Leader => state.leader = None,
            Role::Partition(p) => {
                if state.partitions.remove(&p).is_some() {
                    tracing::info!(partition = p, "gave up");
                }
            }
        }
    }

    /// A partition whose home controller is back goes home.
    fn fair_share(&self, state: &mut State, role: Role, now: Micros, steps: &mut Vec<Step>) {
        let Role::Partition(p) = role else { return };
        let home = self.home(p);
        let settled = state
            .alive
            .get(home)
            .is_some_and(|t| now - *t > Micros::from_secs(4));
        if home != &self.settings.member
            && settled
            && state.partitions.contains_key(&p)
            && state.taking.insert(role)
        {
            steps.push(Step::HandBack(role));
        }
    }

    async fn take(self: Rc<Self>, role: Role) {
        let me = self.settings.member.clone();
        let prepared = {
            let state = self.state.borrow();
            self.session_guard(&state).map(|(lease, session)| {
                let mut guards = vec![session];
                match state.mirror.roles.get(&role) {
                    Some(kept) => {
                        guards.push(guard(role_key(role), kept.version));
                        if kept.value.owner != me {
                            // Its holder has stopped: the key goes no earlier than the lease.
                            let old = state.mirror.sessions.get(&kept.value.owner);
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
                .write(Urgency::Role, guards, vec![change], Micros::from_secs(1))
                .await;
            if !matches!(done, Written::Done(_)) {
                // Whatever became of it, the mirror will tell.
                self.barrier().await;
            }
        }
        self.state.borrow_mut().taking.remove(&role);
        self.wake_roles.notify_one();
    }

    /// Stops acting first, then writes the new owner. If that fails or its fate is unknown,
    /// only a new takeover (at a new revision, which kills the late write) brings it back.
    async fn hand_back(self: Rc<Self>, role: Role) {
        let Role::Partition(p) = role else { return };
        let prepared = {
            let mut state = self.state.borrow_mut();
            let home = self.home(p).clone();
            let version = state.mirror.roles.get(&role).map(|k| k.version);
            let session = state.mirror.sessions.get(&home).cloned();
            match (version, session) {
                (Some(version), Some(session))
                    if state.partitions.get(&p).is_some_and(|part| {
                        part.hosts.values().all(|h| !h.in_flight() && !h.in_doubt())
                    }) =>
                {
                    state.relinquished.insert(role, version);
                    state.partitions.remove(&p);
                    tracing::info!(partition = p, to = %home, "handing back");
                    let lease = session.value.lease;
                    Some((
                        vec![
                            guard(role_key(role), version),
                            guard(session_key(&home), session.version),
                        ],
                        put(role_key(role), &RoleRecord { owner: home, lease }),
                    ))
                }
                _ => None,
            }
        };
        if let Some((guards, change)) = prepared {
            let done = self
                .write(Urgency::Role, guards, vec![change], Micros::from_secs(2))
                .await;
            if !matches!(done, Written::Done(_)) {
                self.barrier().await;
            }
        }
        self.state.borrow_mut().taking.remove(&role);
    }
}
