//! Carries changes of the watch cache over to all that depends on them: the scheduler's partitions, the
//! demand forecast, the feature gate, and the loops that wait. Called by the store client with each
//! listing, watch and own write. Owns no state.

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

/// Released jobs whose release times are kept; beyond, waiting time counts from the submission.
const RELEASED_MAX: usize = 20_000;

/// What is to be woken once all changes are carried over.
#[derive(Clone, Copy, Default)]
struct FollowUp {
    /// The loop that acquires and hands over roles.
    roles: bool,
    /// The scheduler.
    scheduler: bool,
}

impl FollowUp {
    /// Roles alone.
    const ROLES: Self = Self {
        roles: true,
        scheduler: false,
    };
    /// The scheduler alone.
    const SCHEDULER: Self = Self {
        roles: false,
        scheduler: true,
    };

    /// The scheduler, if it is needed.
    fn scheduler_if(needed: bool) -> Self {
        Self {
            roles: false,
            scheduler: needed,
        }
    }

    /// Adds what another change needs.
    fn add(&mut self, other: Self) {
        self.roles |= other.roles;
        self.scheduler |= other.scheduler;
    }
}

impl Shared {
    /// Applies an input to the watch cache and carries the changes over to all that depends on it.
    pub fn apply_to_cache(&self, input: watch_cache::Input) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let was_synced = state.cache.is_synced();
        let changes = state.cache.apply(input);
        let became_synced = !was_synced && state.cache.is_synced();
        if became_synced {
            self.update_feature_gate(&mut state);
        }
        if changes.is_empty() {
            return;
        }
        let mut follow_up = FollowUp::default();
        for change in changes {
            follow_up.add(self.carry_over(&mut state, change, was_synced, now));
        }
        if became_synced {
            self.restore_forecast(&mut state, now);
        }
        drop(state);
        if follow_up.roles {
            self.wake.roles.notify_one();
        }
        if follow_up.scheduler {
            self.wake.scheduler.notify_one();
        }
    }

    /// Carries one change over. `was_synced`: the watch cache was complete before it, so that a new
    /// job is one that has just been submitted.
    fn carry_over(
        &self,
        state: &mut State,
        change: Change,
        was_synced: bool,
        now: Micros,
    ) -> FollowUp {
        match change {
            Change::Job(id) => self.job_record_changed(state, &id, was_synced, now),
            Change::Released(id) => self.job_released(state, id, now),
            Change::Related(id) => FollowUp::scheduler_if(self.job_changed(state, &id, now)),
            Change::Host(id) => {
                self.host_changed(state, &id, now);
                self.wake.hosts_changed.notify_waiters();
                FollowUp::SCHEDULER
            }
            Change::Session(member) => {
                let lease = state.cache.sessions.get(&member).map(|k| k.value.lease);
                let session = roles::Input::Session(&member, lease);
                state.membership.roles.apply(session, now);
                self.update_feature_gate(state);
                FollowUp::ROLES
            }
            Change::FeatureLevel(_) => {
                self.update_feature_gate(state);
                FollowUp::default()
            }
            Change::Role(_) => {
                // Heartbeats that wait for the owner go where the role went.
                self.wake.ownership_changed.notify_waiters();
                FollowUp::ROLES
            }
            Change::DelegationRequest(delegate) => {
                state.delegation.changed_requests.insert(delegate);
                self.wake.delegation_grants.notify_one();
                FollowUp::default()
            }
            Change::Proposal(id) => {
                self.proposal_changed(state, id);
                FollowUp::default()
            }
            Change::DelegationGrant => {
                self.wake.grants_changed.notify_waiters();
                FollowUp::default()
            }
            Change::Types => load_specs(state),
        }
    }

    /// A job is new, or its record has changed.
    fn job_record_changed(
        &self,
        state: &mut State,
        id: &JobId,
        was_synced: bool,
        now: Micros,
    ) -> FollowUp {
        if state.proposals.open.contains(id) {
            self.wake.proposals.notify_waiters();
        }
        if was_synced && state.cache.dependencies.state_of(id) == DependencyState::Ready {
            self.record_arrival(state, id, now);
        }
        FollowUp::scheduler_if(self.job_changed(state, id, now))
    }

    /// The last dependency of a job is done.
    fn job_released(&self, state: &mut State, id: JobId, now: Micros) -> FollowUp {
        // Its waiting time counts from now on.
        if state.scheduling.released.len() < RELEASED_MAX {
            state.scheduling.released.insert(id.clone(), now);
        }
        self.record_arrival(state, &id, now);
        FollowUp::scheduler_if(self.job_changed(state, &id, now))
    }

    /// A proposal of this controller may have been answered; one of another is to be considered.
    fn proposal_changed(&self, state: &mut State, id: JobId) {
        if state.proposals.open.contains(&id) {
            self.wake.proposals.notify_waiters();
        } else {
            state.proposals.received.insert(id);
            self.wake.delegation_grants.notify_one();
        }
    }

    /// Brings the feature gate up to what the watch cache says of the members.
    fn update_feature_gate(&self, state: &mut State) {
        let State {
            membership, cache, ..
        } = state;
        let versions = MemberVersions {
            synced: cache.is_synced(),
            members: &self.members,
            sessions: &cache.sessions,
            levels: &cache.feature_levels,
        };
        if membership.features.apply(&versions) {
            tracing::info!(state = ?membership.features, "feature gate changed");
        }
    }

    /// Restores the demand forecast of a controller that has just started from the records of jobs that
    /// came lately. Guards against a fleet that shrinks when its leader has restarted and expects
    /// nothing any more.
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

    /// Counts a job that has become ready in the demand forecast.
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

/// Takes over the machine types once all their parts are known.
fn load_specs(state: &mut State) -> FollowUp {
    if state.scheduling.specs.is_none()
        && let Some(types) = state.cache.types()
    {
        state.scheduling.specs = Some(Rc::new(specs(&types.types)));
        return FollowUp::ROLES;
    }
    FollowUp::default()
}
