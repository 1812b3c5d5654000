//! Carries changes of the watch cache over to all that depends on them.

use crate::{
    feature_gate::MemberVersions,
    shared::Shared,
    state::State,
    watch_cache::{self, Change, JobEntry},
};
use jasperhill_membership::roles;
use jasperhill_scheduler::{
    autoscaler::DemandForecast, config::specs, dependencies::DependencyState,
};
use jasperhill_wire::{JobId, Micros, user::JobRequest};
use std::rc::Rc;

/// Released jobs whose times are remembered; beyond, age counts from the submission.
const RELEASED_MAX: usize = 20_000;

impl Shared {
    /// Applies an input to the watch cache and carries the changes over to all that depends on it.
    pub fn apply_to_cache(&self, input: watch_cache::Input) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let following = state.cache.is_synced();
        let changes = state.cache.apply(input);
        let began = !following && state.cache.is_synced();
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
                    if state.proposals.open.contains(&id) {
                        self.wake.proposals.notify_waiters();
                    }
                    if following && state.cache.dependencies.state_of(&id) == DependencyState::Ready
                    {
                        self.record_arrival(&mut state, &id, now);
                    }
                    pass |= self.job_changed(&mut state, &id, now);
                }
                Change::Released(id) => {
                    // Its time counts from now on.
                    if state.scheduling.released.len() < RELEASED_MAX {
                        state.scheduling.released.insert(id.clone(), now);
                    }
                    self.record_arrival(&mut state, &id, now);
                    pass |= self.job_changed(&mut state, &id, now);
                }
                Change::Related(id) => pass |= self.job_changed(&mut state, &id, now),
                Change::Host(id) => {
                    self.host_changed(&mut state, &id, now);
                    self.wake.hosts_changed.notify_waiters();
                    pass = true;
                }
                Change::Session(member) => {
                    let there = state.cache.sessions.get(&member).map(|k| k.value.lease);
                    state
                        .membership
                        .roles
                        .apply(roles::Input::Session(&member, there), now);
                    self.update_feature_gate(&mut state);
                    roles = true;
                }
                Change::FeatureLevel(_) => self.update_feature_gate(&mut state),
                Change::Role(_) => {
                    // Reports that wait for it go where it went.
                    self.wake.ownership_changed.notify_waiters();
                    roles = true;
                }
                Change::DelegationRequest(keeper) => {
                    state.delegation.changed_requests.insert(keeper);
                    self.wake.delegation_grants.notify_one();
                }
                Change::Proposal(id) => {
                    if state.proposals.open.contains(&id) {
                        self.wake.proposals.notify_waiters();
                    } else {
                        state.proposals.received.insert(id);
                        self.wake.delegation_grants.notify_one();
                    }
                }
                Change::DelegationGrant => self.wake.grants_changed.notify_waiters(),
                Change::Types => {
                    if state.scheduling.specs.is_none()
                        && let Some(types) = state.cache.types()
                    {
                        state.scheduling.specs = Some(Rc::new(specs(&types.types)));
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
            self.wake.roles.notify_one();
        }
        if pass {
            self.wake.scheduler.notify_one();
        }
    }

    /// Notes whether every member is of this version.
    fn update_feature_gate(&self, state: &mut State) {
        let State {
            membership, cache, ..
        } = state;
        let seen = MemberVersions {
            synced: cache.is_synced(),
            members: &self.members,
            sessions: &cache.sessions,
            formats: &cache.feature_levels,
        };
        if membership.features.apply(&seen) {
            tracing::info!(state = ?membership.features, "versions of the members");
        }
    }

    /// A controller that begins learns what has come lately from the records. Guards against a
    /// fleet that shrinks when its leader has restarted and expects nothing any more.
    fn restore_forecast(&self, state: &mut State, now: Micros) {
        let Some(specs) = state.scheduling.specs.clone() else {
            return;
        };
        let mut recent: Vec<(Micros, Rc<JobRequest>)> = state
            .cache
            .active_jobs()
            .filter(|job| {
                state.cache.dependencies.state_of(&job.request.id) == DependencyState::Ready
            })
            .map(|job| (self.clock.steady(job.submitted), job.request.clone()))
            .collect();
        recent.sort_by_key(|(at, _)| *at);
        let Some((first, _)) = recent.first() else {
            return;
        };
        state.provisioning.forecast = DemandForecast::new(*first);
        for (at, request) in recent {
            if state.provisioning.forecast.counts(at)
                && self.settings.waited_for.contains_key(&request.class)
                && let Some(p) = self.partition_of(&request.team)
            {
                state
                    .provisioning
                    .forecast
                    .record(p, &request, &specs, at.min(now));
            }
        }
    }

    fn record_arrival(&self, state: &mut State, id: &JobId, now: Micros) {
        let Some(specs) = &state.scheduling.specs else {
            return;
        };
        let forecast = &mut state.provisioning.forecast;
        if let Some(JobEntry::Active(job)) = state.cache.job(id)
            && self.settings.waited_for.contains_key(&job.request.class)
            && job.finished.is_empty()
            && job.failed_attempts == 0
            && forecast.counts(now)
            && let Some(p) = self.partition_of(&job.request.team)
        {
            forecast.record(p, &job.request, specs, now);
        }
    }
}
