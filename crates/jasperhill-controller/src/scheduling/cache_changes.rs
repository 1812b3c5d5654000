//! Propagates changes of the watch cache to its dependents: the scheduler's partitions, the demand
//! forecast, the feature gate, and the loops that wait for changes. The store client calls this module
//! with each listing, watch response and write of this controller. The module owns no state.

use crate::{
    feature_gate::MemberFeatureLevels,
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

/// Maximum number of jobs whose time of becoming ready is stored. The waiting time of further jobs
/// counts from their submission.
const RELEASE_TIMES_MAX: usize = 20_000;

/// The set of loops to wake once all changes have been propagated.
#[derive(Clone, Copy, Default)]
struct LoopsToWake {
    /// Whether to wake the loop that acquires and hands over roles.
    roles: bool,
    /// Whether to wake the scheduling loop.
    scheduler: bool,
}

impl LoopsToWake {
    /// Only the loop that acquires and hands over roles.
    const ROLES_LOOP: Self = Self {
        roles: true,
        scheduler: false,
    };
    /// Only the scheduling loop.
    const SCHEDULING_LOOP: Self = Self {
        roles: false,
        scheduler: true,
    };

    /// Only the scheduling loop if `needed`, otherwise no loop.
    fn scheduler_if(needed: bool) -> Self {
        Self {
            roles: false,
            scheduler: needed,
        }
    }

    /// Adds the loops of another set to this set.
    fn merge(&mut self, other: Self) {
        self.roles |= other.roles;
        self.scheduler |= other.scheduler;
    }
}

impl Shared {
    /// Applies an input to the watch cache, propagates the resulting changes and wakes the loops that
    /// depend on them.
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
        let mut loops_to_wake = LoopsToWake::default();
        for change in changes {
            loops_to_wake.merge(self.propagate_change(&mut state, change, was_synced, now));
        }
        if became_synced {
            self.restore_forecast(&mut state, now);
        }
        drop(state);
        if loops_to_wake.roles {
            self.wakeups.roles.notify_one();
        }
        if loops_to_wake.scheduler {
            self.wakeups.scheduler.notify_one();
        }
    }

    /// Propagates one change and returns the loops to wake. `was_synced`: whether the watch cache was
    /// complete before the change, so that a new job is one that was just submitted.
    fn propagate_change(
        &self,
        state: &mut State,
        change: Change,
        was_synced: bool,
        now: Micros,
    ) -> LoopsToWake {
        match change {
            Change::Job(id) => self.handle_job_record_change(state, &id, was_synced, now),
            Change::DependenciesDone(id) => self.handle_job_release(state, id, now),
            Change::DependencyStateChanged(id) => {
                LoopsToWake::scheduler_if(self.apply_job_change(state, &id, now))
            }
            Change::Host(id) => {
                self.apply_host_change(state, &id, now);
                self.wakeups.hosts_changed.notify_waiters();
                LoopsToWake::SCHEDULING_LOOP
            }
            Change::Session(member) => {
                let lease = state
                    .cache
                    .sessions
                    .get(&member)
                    .map(|entry| entry.value.lease);
                let session = roles::Input::Session(&member, lease);
                state.membership.roles.apply(session, now);
                self.update_feature_gate(state);
                LoopsToWake::ROLES_LOOP
            }
            Change::FeatureLevel(_) => {
                self.update_feature_gate(state);
                LoopsToWake::default()
            }
            Change::Role(_) => {
                // Wakes heartbeats that wait for the partition's owner, so that they are routed to
                // the new owner.
                self.wakeups.ownership_changed.notify_waiters();
                LoopsToWake::ROLES_LOOP
            }
            Change::DelegationRequest(delegate) => {
                state
                    .delegation
                    .changed_delegation_requests
                    .insert(delegate);
                self.wakeups.delegation_grants.notify_one();
                LoopsToWake::default()
            }
            Change::Proposal(id) => {
                self.handle_proposal_change(state, id);
                LoopsToWake::default()
            }
            Change::DelegationGrant => {
                self.wakeups.grants_changed.notify_waiters();
                LoopsToWake::default()
            }
            Change::MachineTypes => load_machine_types(state),
        }
    }

    /// Handles a new job or a changed job record.
    fn handle_job_record_change(
        &self,
        state: &mut State,
        id: &JobId,
        was_synced: bool,
        now: Micros,
    ) -> LoopsToWake {
        if state.proposals.open_proposals.contains(id) {
            self.wakeups.proposals.notify_waiters();
        }
        if was_synced && state.cache.dependencies.state_of(id) == DependencyState::Ready {
            self.record_arrival(state, id, now);
        }
        LoopsToWake::scheduler_if(self.apply_job_change(state, id, now))
    }

    /// Handles a job whose last dependency is done.
    fn handle_job_release(&self, state: &mut State, id: JobId, now: Micros) -> LoopsToWake {
        // The job's waiting time counts from now, not from its submission.
        if state.scheduling.ready_since.len() < RELEASE_TIMES_MAX {
            state.scheduling.ready_since.insert(id.clone(), now);
        }
        self.record_arrival(state, &id, now);
        LoopsToWake::scheduler_if(self.apply_job_change(state, &id, now))
    }

    /// Handles a changed proposal. For a proposal of this controller, wakes the requests that wait
    /// for the decision; one of another controller is queued for evaluation.
    fn handle_proposal_change(&self, state: &mut State, id: JobId) {
        if state.proposals.open_proposals.contains(&id) {
            self.wakeups.proposals.notify_waiters();
        } else {
            state.proposals.received_proposals.insert(id);
            self.wakeups.delegation_grants.notify_one();
        }
    }

    /// Updates the feature gate from the members' sessions and feature levels in the watch cache.
    fn update_feature_gate(&self, state: &mut State) {
        let State {
            membership, cache, ..
        } = state;
        let versions = MemberFeatureLevels {
            is_synced: cache.is_synced(),
            members: &self.members,
            sessions: &cache.sessions,
            levels: &cache.feature_levels,
        };
        if membership.features.apply(&versions) {
            tracing::info!(state = ?membership.features, "feature gate changed");
        }
    }

    /// Restores the demand forecast of a controller that has just started from the records of recently
    /// submitted jobs. Without it, a restarted leader would expect no demand and shrink the fleet.
    fn restore_forecast(&self, state: &mut State, now: Micros) {
        let Some(specs) = state.scheduling.machine_types.clone() else {
            return;
        };
        let mut arrivals: Vec<(Micros, Rc<JobRequest>)> = state
            .cache
            .active_jobs()
            .filter(|job| {
                state.cache.dependencies.state_of(&job.request.id) == DependencyState::Ready
            })
            .map(|job| (self.clock.steady(job.submitted), job.request.clone()))
            .collect();
        arrivals.sort_by_key(|(at, _)| *at);
        let Some((first, _)) = arrivals.first() else {
            return;
        };
        state.provisioning.forecast = DemandForecast::new(*first);
        for (at, request) in arrivals {
            if state.provisioning.forecast.counts_arrival_at(at)
                && self.settings.start_objectives.contains_key(&request.class)
                && let Some(partition_id) = self.partition_of(&request.team)
            {
                state
                    .provisioning
                    .forecast
                    .record(partition_id, &request, &specs, at.min(now));
            }
        }
    }

    /// Adds a job that has become ready to the demand forecast. Counts only jobs of classes with a
    /// start objective, and only if the job has no finished tasks and no failed attempts.
    fn record_arrival(&self, state: &mut State, id: &JobId, now: Micros) {
        let Some(specs) = &state.scheduling.machine_types else {
            return;
        };
        let forecast = &mut state.provisioning.forecast;
        if let Some(JobEntry::Active(job)) = state.cache.job(id)
            && self
                .settings
                .start_objectives
                .contains_key(&job.request.class)
            && job.finished_runs.is_empty()
            && job.failed_attempts == 0
            && forecast.counts_arrival_at(now)
            && let Some(partition_id) = self.partition_of(&job.request.team)
        {
            forecast.record(partition_id, &job.request, specs, now);
        }
    }
}

/// Loads the machine types from the watch cache once all their parts are known. Returns the roles
/// loop as the loop to wake when the types have been loaded.
fn load_machine_types(state: &mut State) -> LoopsToWake {
    if state.scheduling.machine_types.is_none()
        && let Some(types) = state.cache.machine_types()
    {
        state.scheduling.machine_types = Some(Rc::new(specs(&types.types)));
        return LoopsToWake::ROLES_LOOP;
    }
    LoopsToWake::default()
}
