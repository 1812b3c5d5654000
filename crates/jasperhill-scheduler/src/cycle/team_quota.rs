//! Team limits in a scheduling cycle: checks whether a job may start more tasks within its team's
//! limit, and reserves part of a limit for a waiting gang.
//!
//! A gang needs its whole part of the limit at once, while other work of the team takes capacity
//! task by task as it becomes free. Without a reservation, a team that its arrays keep at the limit
//! would never start a gang.

use crate::{
    config::TeamLimits,
    cycle::context::{Cycle, QuotaReservation},
    job::{Job, Readiness},
    partition::Partition,
    reservation_window::ReservationWindow,
    starvation::Group,
};
use jasperhill_wire::{JobId, Micros, Name, Resources, user::JobRequest};
use std::collections::{BTreeMap, btree_map::Entry};

/// Maximum number of gangs of a team that are examined for a reservation in one cycle. Every
/// examination walks through all jobs, which would be too expensive for many waiting gangs.
const MAX_QUOTA_ATTEMPTS: u32 = 4;
/// A gang waits for tasks that are expected to end within this time, not for tasks that run longer.
const ENDS_SOON_WITHIN: Micros = Micros::from_secs(30);

/// Usage of the teams' limits by the classes of each team and by the job sizes within each class.
#[derive(Default)]
pub(crate) struct LimitUsage {
    /// Resources used, by team and group; zero for a group whose jobs are all waiting.
    used: BTreeMap<(Name, Group), Resources>,
    /// Totals over the classes that have jobs, by team.
    classes: BTreeMap<Name, GroupTotals>,
    /// Totals over the job sizes that have jobs, by team and class.
    sizes: BTreeMap<(Name, Name), GroupTotals>,
}

/// Number and total usage of the groups that share a limit.
#[derive(Clone, Copy, Default)]
struct GroupTotals {
    groups: usize,
    used: Resources,
}

impl LimitUsage {
    /// Adds the live tasks of a job to the usage of its class and of its job size.
    fn add(&mut self, job: &Job) {
        let request = &job.request;
        let used = request.each.times(job.live.len() as u64);
        for group in Group::all_of(&request.class, &request.team, request.tasks) {
            let totals = match &group {
                Group::Class(_) => self.classes.entry(request.team.clone()).or_default(),
                Group::Size(class, _) => self
                    .sizes
                    .entry((request.team.clone(), class.clone()))
                    .or_default(),
                Group::Team(_) => continue,
            };
            let entry = self.used.entry((request.team.clone(), group));
            totals.groups += usize::from(matches!(entry, Entry::Vacant(_)));
            totals.used += used;
            *entry.or_default() += used;
        }
    }

    /// Returns whether a class or job size uses less than an equal share of its team's limit, the
    /// shares being equal among the classes or sizes that have jobs. Such a group waits because of
    /// other groups, although all of them belong to the same team.
    pub fn is_below_equal_share(&self, team: &TeamLimits, group: &Group) -> bool {
        // Job sizes share the resources that their class uses; classes share the limit of their
        // team.
        let (groups, shared_resources) = match group {
            Group::Class(_) => {
                let classes = self.classes.get(&team.name);
                (classes.map_or(0, |totals| totals.groups), team.limit)
            }
            Group::Size(class, _) => {
                let sizes = self.sizes.get(&(team.name.clone(), class.clone()));
                sizes.map_or((0, team.limit), |totals| (totals.groups, totals.used))
            }
            Group::Team(_) => return false,
        };
        let own_share = self.used.get(&(team.name.clone(), group.clone()));
        let own_share = own_share
            .copied()
            .unwrap_or_default()
            .share_of(&shared_resources);
        groups > 0 && own_share * (groups as f64) < 1.0
    }
}

impl Partition {
    /// Returns whether `tasks` more tasks of a job may start or be reserved: the job's dependencies
    /// are done, and the team stays within its limit. Resources reserved for another job of the
    /// team count as used.
    pub(crate) fn may_start(&self, cycle: &Cycle, request: &JobRequest, tasks: u64) -> bool {
        let is_open = |job: &Job| job.readiness == Readiness::Open;
        if !self.jobs.get(&request.id).is_some_and(is_open) {
            return false;
        }
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used_by_team.get(&request.team).copied();
        let unconfirmed = cycle.unconfirmed_use.get(&request.team).copied();
        let reserved = cycle.quota_reservations.get(&request.team);
        let reserved = reserved.filter(|reservation| reservation.job != request.id);
        let mut use_after_start = request.each.times(tasks);
        use_after_start += used.unwrap_or_default();
        use_after_start += unconfirmed.unwrap_or_default();
        use_after_start += reserved
            .map(|reservation| reservation.resources)
            .unwrap_or_default();
        team.allows(&use_after_start)
    }

    /// Reserves a gang's part of its team's limit for the rest of the cycle. Does nothing if
    /// another gang of the team already holds a reservation, if the part does not become free soon,
    /// if the hosts could not run the whole gang, or if the team's reservation window is closed.
    pub(crate) fn reserve_quota(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let attempts = cycle.quota_attempts.entry(request.team.clone());
        let attempts = attempts.or_default();
        *attempts += 1;
        if *attempts > MAX_QUOTA_ATTEMPTS
            || cycle.quota_reservations.contains_key(&request.team)
            || !self.has_quota_soon(cycle, job)
            || !self.fits_on_empty_hosts(cycle, job)
        {
            return;
        }
        let window = self.reservation_windows.entry(request.team.clone());
        if !window
            .or_insert_with(|| ReservationWindow::new(cycle.now))
            .is_open_at(cycle.now)
        {
            return;
        }
        let reservation = QuotaReservation {
            job: request.id.clone(),
            resources: request.each.times(u64::from(request.tasks)),
        };
        cycle
            .quota_reservations
            .insert(request.team.clone(), reservation);
    }

    /// Returns whether the gang is within its team's limit once the jobs that are expected to end
    /// soon have ended.
    fn has_quota_soon(&self, cycle: &Cycle, gang: &Job) -> bool {
        let request = &gang.request;
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used_by_team.get(&request.team).copied();
        let unconfirmed = cycle.unconfirmed_use.get(&request.team).copied();
        let mut remaining_use = used.unwrap_or_default();
        remaining_use += unconfirmed.unwrap_or_default();
        for job in self.jobs.values() {
            let is_teammate = job.request.team == request.team && !job.live.is_empty();
            if is_teammate && self.ends_soon(job, cycle.now) {
                remaining_use -= job.request.each.times(job.live.len() as u64);
            }
        }
        remaining_use += request.each.times(u64::from(request.tasks));
        team.allows(&remaining_use)
    }

    /// Returns whether the running tasks of a job are expected to end soon.
    fn ends_soon(&self, job: &Job, now: Micros) -> bool {
        let expected_end = job.last_started + self.estimate(&job.request);
        job.termination.is_some() || (!job.is_service() && expected_end < now + ENDS_SOON_WITHIN)
    }

    /// Returns whether the usable hosts could run all tasks of this gang if they were empty.
    fn fits_on_empty_hosts(&self, cycle: &Cycle, job: &Job) -> bool {
        let request = &job.request;
        let mut places_by_zone: BTreeMap<&Name, u64> = BTreeMap::new();
        for (_, slot, host) in self.with_slots(cycle) {
            if slot.is_usable && Self::is_feasible(job, host) {
                let task_places = request.each.count_in(&host.spec.capacity);
                let in_zone = places_by_zone.entry(&host.zone).or_default();
                *in_zone = in_zone.saturating_add(task_places);
            }
        }
        let capped = |task_places: &u64| (*task_places).min(u64::from(request.zone_cap()));
        let task_places = places_by_zone.values().map(capped);
        let total = if request.one_zone {
            task_places.max().unwrap_or(0)
        } else {
            task_places.sum()
        };
        total >= u64::from(request.tasks)
    }

    /// Returns the usage of the teams' limits by class and job size.
    pub(crate) fn limit_usage(&self) -> LimitUsage {
        let mut usage = LimitUsage::default();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.termination.is_none() || !job.live.is_empty()) {
            usage.add(job);
        }
        usage
    }
}
