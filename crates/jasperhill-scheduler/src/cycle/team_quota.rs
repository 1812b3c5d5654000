//! Team limits in a cycle: who may start more, and what of a limit is reserved for a gang that waits
//! for its part of it.
//!
//! A gang needs its whole part at once, while other work of its team takes whatever becomes free,
//! task by task. Without a reservation a team that is kept at its limit by arrays starts no gang.

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

/// Gangs of a team that are looked at in one cycle for a reservation. Guards against a look at all
/// jobs for each of many gangs that wait.
const ATTEMPTS_MAX: u32 = 4;
/// What ends within this time is waited for; what runs for longer is not.
const ENDS_SOON: Micros = Micros::from_secs(30);

/// What the classes of a team, and the sizes of jobs within them, use of the team's limit.
#[derive(Default)]
pub(crate) struct LimitUsage {
    /// By team and group; nothing for a group that only waits.
    used: BTreeMap<(Name, Group), Resources>,
    /// The classes that have work, by team.
    classes: BTreeMap<Name, GroupTotals>,
    /// The sizes that have work, by team and class.
    sizes: BTreeMap<(Name, Name), GroupTotals>,
}

/// Groups that share something, together.
#[derive(Clone, Copy, Default)]
struct GroupTotals {
    groups: usize,
    used: Resources,
}

impl LimitUsage {
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
            let known = self.used.entry((request.team.clone(), group));
            totals.groups += usize::from(matches!(known, Entry::Vacant(_)));
            totals.used += used;
            *known.or_default() += used;
        }
    }

    /// This class or size of jobs uses less of its team's limit than an equal part for each that has
    /// work: it waits for others, although the limit is its own team's.
    pub fn is_below_equal_part(&self, team: &TeamLimits, group: &Group) -> bool {
        // Sizes share what their class has, classes what the team may have.
        let (groups, whole) = match group {
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
        let own = self.used.get(&(team.name.clone(), group.clone()));
        let own = own.copied().unwrap_or_default().share_of(&whole);
        groups > 0 && own * (groups as f64) < 1.0
    }
}

impl Partition {
    /// So many more tasks may start or be reserved: all that the job needs is done, and its team
    /// stays within its limit, of which nothing is taken that is reserved for another job.
    pub(crate) fn may_start(&self, cycle: &Cycle, request: &JobRequest, tasks: u64) -> bool {
        let is_open = |job: &Job| job.readiness == Readiness::Open;
        if !self.jobs.get(&request.id).is_some_and(is_open) {
            return false;
        }
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used_by_team.get(&request.team).copied();
        let unseen = cycle.unconfirmed_use.get(&request.team).copied();
        let reserved = cycle.quota_reservations.get(&request.team);
        let reserved = reserved.filter(|reservation| reservation.job != request.id);
        let mut wanted = request.each.times(tasks);
        wanted += used.unwrap_or_default();
        wanted += unseen.unwrap_or_default();
        wanted += reserved.map(|r| r.resources).unwrap_or_default();
        team.allows(&wanted)
    }

    /// Reserves a gang's part of its team's limit for the rest of the cycle, if no gang before it
    /// in the order has done so, its part is free soon, and there are hosts that could take it.
    pub(crate) fn reserve_quota(&mut self, cycle: &mut Cycle, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let request = job.request.clone();
        let attempts = cycle.quota_attempts.entry(request.team.clone());
        let attempts = attempts.or_default();
        *attempts += 1;
        if *attempts > ATTEMPTS_MAX
            || cycle.quota_reservations.contains_key(&request.team)
            || !self.has_quota_soon(cycle, job)
            || !self.has_hosts_for_whole(cycle, job)
        {
            return;
        }
        let window = self.reservation_windows.entry(request.team.clone());
        if !window
            .or_insert_with(|| ReservationWindow::new(cycle.now))
            .apply(cycle.now)
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

    /// The gang is within its team's limit once what is expected to end soon has ended.
    fn has_quota_soon(&self, cycle: &Cycle, gang: &Job) -> bool {
        let request = &gang.request;
        let Some(team) = self.config.team(&request.team) else {
            return false;
        };
        let used = self.used_by_team.get(&request.team).copied();
        let unseen = cycle.unconfirmed_use.get(&request.team).copied();
        let mut lasting = used.unwrap_or_default();
        lasting += unseen.unwrap_or_default();
        for job in self.jobs.values() {
            let is_mate = job.request.team == request.team && !job.live.is_empty();
            if is_mate && self.ends_soon(job, cycle.now) {
                lasting -= job.request.each.times(job.live.len() as u64);
            }
        }
        lasting += request.each.times(u64::from(request.tasks));
        team.allows(&lasting)
    }

    /// The tasks that run now are expected to end soon.
    fn ends_soon(&self, job: &Job, now: Micros) -> bool {
        let ends = job.last_started + self.estimate(&job.request);
        job.termination.is_some() || (!job.is_service() && ends < now + ENDS_SOON)
    }

    /// The hosts would suffice for all tasks of this gang if nothing else ran there.
    fn has_hosts_for_whole(&self, cycle: &Cycle, job: &Job) -> bool {
        let request = &job.request;
        let mut by_zone: BTreeMap<&Name, u64> = BTreeMap::new();
        for (_, slot, host) in self.with_slots(cycle) {
            if slot.usable && Self::is_feasible(job, host) {
                let places = request.each.count_in(&host.spec.capacity);
                let known = by_zone.entry(&host.zone).or_default();
                *known = known.saturating_add(places);
            }
        }
        let usable = |places: &u64| (*places).min(u64::from(request.zone_cap()));
        let places = by_zone.values().map(usable);
        let found = if request.one_zone {
            places.max().unwrap_or(0)
        } else {
            places.sum()
        };
        found >= u64::from(request.tasks)
    }

    /// What classes and sizes of jobs use of their teams' limits.
    pub(crate) fn limit_usage(&self) -> LimitUsage {
        let mut usage = LimitUsage::default();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.termination.is_none() || !job.live.is_empty()) {
            usage.add(job);
        }
        usage
    }
}
