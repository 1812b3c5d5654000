//! The claims of waiting jobs on capacity: the hosts that a job waits for, and the hosts that must
//! still be rented for it.
//!
//! The counts of [`crate::autoscaler`] say how many hosts a partition needs. They ignore where a job
//! may run, so that a partition can have as many hosts as it needs although a job of it may use none
//! of them. [`Partition::capacity_claims`] therefore looks at every waiting job with the constraints
//! of placement: zone, gangs in one zone, spreading, machine type, spot, and the state of each host.
//! A job that no host can serve by the time at which a new machine would be up lacks hosts.
//!
//! A job that backs off claims capacity for one retry: for one task, or for all tasks of a gang. All
//! jobs of a partition that back off share what they claim, so that those with the same constraints
//! together hold and rent no more than the largest retry among them needs.

use crate::{
    config::MachineSpec,
    cycle::{context::Cycle, placement::ZoneCapacity},
    host::{FencingState, Host},
    job::{Job, Readiness},
    partition::Partition,
};
use jasperhill_wire::{
    HostId, Micros, Name, Resources,
    mesh::{MISSING_HOSTS_MAX, MissingHosts, MissingInZone},
    record::HostAssignment,
    user::Shape,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Maximum numbers of jobs whose claims are computed at a time.
const CLAIMANTS_MAX: ClaimantsMax = ClaimantsMax {
    of_a_kind: 16,
    total: 64,
};
/// Maximum numbers of jobs that back off whose claims are computed at a time.
const RETRIED_MAX: ClaimantsMax = ClaimantsMax {
    of_a_kind: 4,
    total: 32,
};
/// Maximum number of hosts that one job may lack.
const MISSING_PER_JOB_MAX: u64 = 50;

/// Maximum numbers of jobs whose claims are computed at a time. The longest waiting job of every kind
/// comes first, so that jobs which no machine can be rented for do not hide jobs of other kinds.
struct ClaimantsMax {
    of_a_kind: usize,
    total: usize,
}

/// The constraints of a job that decide which hosts it may use: machine types, zone, one zone,
/// spreading, spot, and whether all tasks start together.
type ConstraintKind<'a> = (&'a Option<Vec<Name>>, &'a Option<Name>, [bool; 4]);

/// The claims of the waiting jobs of a partition.
#[derive(Clone, Debug, Default)]
pub struct CapacityClaims {
    /// Empty hosts that waiting jobs are to use, with the time for which the job has lacked other
    /// hosts; zero for a job that backs off. They are given up only for a job of another partition
    /// that has lacked them for longer.
    pub kept: BTreeMap<HostId, Micros>,
    /// Hosts that waiting jobs lack, for the longest waiting job of every kind first; at most
    /// [`MISSING_HOSTS_MAX`] entries.
    pub missing: Vec<MissingHosts>,
}

/// Capacity that waiting jobs can claim: that of a host, or of a machine to be rented.
#[derive(Clone)]
struct Supply<'a> {
    /// The host; `None` for a machine to be rented.
    host: Option<&'a Host>,
    /// Whether the host is empty, so that it could be given up.
    is_empty: bool,
    spec: Rc<MachineSpec>,
    zone: Name,
    spot: bool,
    /// Resources that are free now and that no job has claimed.
    free_now: Resources,
    /// Resources that are free by the time at which a new machine would be up and that no job has
    /// claimed.
    free_soon: Resources,
}

/// The point in time whose free resources are claimed.
#[derive(Clone, Copy)]
enum Availability {
    Now,
    Soon,
}

impl Supply<'_> {
    /// Returns how many tasks of this size fit.
    fn places(&self, each: &Resources, availability: Availability) -> u64 {
        let soon = each.count_in(&self.free_soon);
        match availability {
            Availability::Now => each.count_in(&self.free_now).min(soon),
            Availability::Soon => soon,
        }
    }

    /// Returns a machine to be rented as it is before any job has claimed a part of it.
    fn without_claims(self) -> Self {
        Self {
            free_soon: self.spec.capacity,
            ..self
        }
    }

    /// Claims the resources of `tasks` tasks.
    fn claim(&mut self, each: &Resources, tasks: u64) {
        self.free_now -= each.times(tasks);
        self.free_soon -= each.times(tasks);
    }
}

/// Tasks of a job that wait for capacity, with the constraints on their zones.
struct Claimant<'a> {
    job: &'a Job,
    /// Time for which the job has lacked hosts; zero if it has lacked none.
    missing_for: Micros,
    /// Number of tasks that need capacity.
    tasks: u64,
    /// Machine types that fit the job, cheapest first.
    specs: Vec<Rc<MachineSpec>>,
    /// Number of tasks that may still go to each zone in which the job may run.
    places_in_zone: BTreeMap<Name, u64>,
}

impl Claimant<'_> {
    /// Returns how many tasks fit on an empty machine of the cheapest type.
    fn tasks_per_machine(&self) -> u64 {
        let each = &self.job.request.each;
        let count = |spec: &Rc<MachineSpec>| each.count_in(&spec.capacity).max(1);
        self.specs.first().map_or(1, count)
    }

    /// Returns how many machines this number of tasks needs.
    fn machines_for(&self, tasks: u64) -> u32 {
        let machines = tasks.div_ceil(self.tasks_per_machine());
        machines.min(MISSING_PER_JOB_MAX) as u32
    }
}

impl Partition {
    /// Returns the claims of the waiting jobs at `now`. Jobs that may not start for another reason
    /// than capacity have none: their dependencies, their team's limit, or tasks of a previous owner
    /// that may still run.
    pub fn capacity_claims(&mut self, now: Micros) -> CapacityClaims {
        let cycle = self.begin_cycle(now);
        let mut claims = CapacityClaims::default();
        let mut lacking = BTreeMap::new();
        let claimants = self.claimants(&cycle, &CLAIMANTS_MAX, false);
        let retried = self.claimants(&cycle, &RETRIED_MAX, true);
        if !claimants.is_empty() || !retried.is_empty() {
            let mut supply = self.supply(now);
            let mut claim = |claimant: &Claimant<'_>, supply: &mut Vec<Supply<'_>>| {
                let entries_before = claims.missing.len();
                claimant.claim(supply, &mut claims);
                if claims.missing.len() > entries_before {
                    let id = claimant.job.request.id.clone();
                    lacking.insert(id, now - claimant.missing_for);
                }
            };
            for claimant in &claimants {
                claim(claimant, &mut supply);
            }
            for claimant in &retried {
                let mut shared = supply.clone();
                claim(claimant, &mut shared);
                let rented = shared.drain(supply.len()..);
                supply.extend(rented.map(Supply::without_claims));
            }
        }
        claims.missing.truncate(MISSING_HOSTS_MAX);
        self.missing_since = lacking;
        claims
    }

    /// Returns the jobs that wait for capacity alone, the longest waiting one of every kind first:
    /// those that back off after failures, or the others.
    fn claimants(
        &self,
        cycle: &Cycle,
        most: &ClaimantsMax,
        is_backing_off: bool,
    ) -> Vec<Claimant<'_>> {
        let is_waiting_for_capacity = |job: &&Job| {
            job.termination.is_none()
                && job.readiness == Readiness::Open
                && job.awaited_capacity.is_empty()
                && job.failures.is_backing_off() == is_backing_off
                && tasks_to_claim(job) > 0
                && !self.may_run_unconfirmed(job, &cycle.unconfirmed)
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(is_waiting_for_capacity).collect();
        jobs.sort_by_key(|job| (job.waiting_since(), &job.request.id));
        let mut claimed_by_team: BTreeMap<&Name, Resources> = BTreeMap::new();
        let mut jobs_of_kind: BTreeMap<ConstraintKind<'_>, usize> = BTreeMap::new();
        let mut claimants: Vec<(usize, Claimant<'_>)> = Vec::new();
        for job in jobs {
            let older_jobs = jobs_of_kind.entry(constraint_kind(job)).or_default();
            let claimed = claimed_by_team.entry(&job.request.team).or_default();
            let needed = *claimed + job.request.each.times(tasks_to_claim(job));
            if *older_jobs < most.of_a_kind && self.is_within_limit(cycle, job, needed) {
                *claimed = needed;
                claimants.push((*older_jobs, self.claimant(job, cycle.now)));
                *older_jobs += 1;
            }
        }
        claimants.sort_by_key(|(older_jobs, _)| *older_jobs);
        claimants.truncate(most.total);
        claimants
            .into_iter()
            .map(|(_, claimant)| claimant)
            .collect()
    }

    /// Returns whether the job may start, and its team stays within its limit if `claimed` is used as
    /// well.
    fn is_within_limit(&self, cycle: &Cycle, job: &Job, claimed: Resources) -> bool {
        let request = &job.request;
        let used = self.used_by_team.get(&request.team).copied();
        self.may_start(cycle, request, job.tasks_to_begin())
            && self
                .config
                .team(&request.team)
                .is_some_and(|team| team.allows(&(used.unwrap_or_default() + claimed)))
    }

    /// Returns a waiting job with the machine types and zones that it may use.
    fn claimant<'a>(&self, job: &'a Job, now: Micros) -> Claimant<'a> {
        let missing_since = self.missing_since.get(&job.request.id);
        let request = &job.request;
        let fits = |spec: &&Rc<MachineSpec>| {
            request.allows_type(&spec.machine_type) && request.each.fits(&spec.capacity)
        };
        let mut specs: Vec<Rc<MachineSpec>> = self.specs.values().filter(fits).cloned().collect();
        specs.sort_by(|a, b| a.price.total_cmp(&b.price));
        let zones: BTreeSet<&Name> = specs.iter().flat_map(|spec| &spec.zones).collect();
        let capacity: ZoneCapacity = self.zone_capacity(job);
        let tasks = tasks_to_claim(job);
        let places_in_zone = zones
            .into_iter()
            .filter(|zone| request.zone.as_ref().is_none_or(|only| only == *zone))
            .map(|zone| (zone.clone(), u64::from(capacity.remaining(zone)).min(tasks)))
            .filter(|(_, places)| *places > 0)
            .collect();
        Claimant {
            job,
            missing_for: now - missing_since.copied().unwrap_or(now),
            tasks,
            specs,
            places_in_zone,
        }
    }

    /// Returns the capacity of the hosts, now and by the time at which a machine rented now would be
    /// up.
    fn supply(&self, now: Micros) -> Vec<Supply<'_>> {
        let boot_times = self.specs.values().map(|spec| spec.nominal_boot_time);
        let horizon = now + boot_times.max().unwrap_or_default();
        let claimable = self.hosts.values().filter(|host| is_claimable(host, now));
        claimable
            .map(|host| self.supply_of(host, now, horizon))
            .collect()
    }

    /// Returns the capacity of a host, now and at `horizon`.
    fn supply_of<'a>(&self, host: &'a Host, now: Micros, horizon: Micros) -> Supply<'a> {
        let mut free_soon = host.free_resources();
        let tasks = self.occupied(host, now).into_iter();
        for task in tasks.filter(|task| task.until <= horizon) {
            free_soon += task.resources;
        }
        for reservation in &host.queue {
            free_soon -= reservation.resources;
        }
        Supply {
            host: Some(host),
            is_empty: host.task_count() == 0 && host.queue.is_empty(),
            spec: host.spec.clone(),
            zone: host.zone.clone(),
            spot: host.spot,
            free_now: host.free_resources(),
            free_soon,
        }
    }
}

impl Claimant<'_> {
    /// Returns whether the job may use this capacity, and has not failed there for a reason that may
    /// be the host's.
    fn may_use(&self, supply: &Supply<'_>) -> bool {
        let (request, failures) = (&self.job.request, &self.job.failures);
        let is_suspect = supply.host.is_some_and(|host| {
            failures.avoids(&host.id) || failures.needs_other_host_than(&host.id)
        });
        request.allows_host(&supply.spec.machine_type, &supply.zone, supply.spot) && !is_suspect
    }

    /// Returns how many tasks the capacity of each zone can take.
    fn places_by_zone(&self, supply: &[Supply<'_>]) -> BTreeMap<Name, u64> {
        let mut places = BTreeMap::new();
        for entry in supply.iter().filter(|entry| self.may_use(entry)) {
            let fitting = entry.places(&self.job.request.each, Availability::Soon);
            let fitting = fitting.min(self.tasks);
            *places.entry(entry.zone.clone()).or_default() += fitting;
        }
        places
    }

    /// Keeps a host for this job. Jobs that back off come after all others that lack hosts.
    fn keep(&self, claims: &mut CapacityClaims, host: &Host) {
        let is_retried = self.job.failures.is_backing_off();
        let missing_for = if is_retried {
            Micros::ZERO
        } else {
            self.missing_for
        };
        let longest = claims.kept.entry(host.id.clone()).or_default();
        *longest = (*longest).max(missing_for);
    }

    /// Claims capacity for the tasks of the job, and records the hosts that it lacks.
    fn claim(&self, supply: &mut Vec<Supply<'_>>, claims: &mut CapacityClaims) {
        let missing = if self.job.request.one_zone {
            self.claim_in_one_zone(supply, claims)
        } else {
            self.claim_in_all_zones(supply, claims)
        };
        for zones in missing {
            claims.missing.push(MissingHosts {
                machine_types: self.specs.iter().map(|s| s.machine_type.clone()).collect(),
                spot: self.job.request.spot,
                zones,
                missing_for: self.missing_for,
            });
        }
    }

    /// Claims capacity in the zone that can take most tasks. Returns the hosts that are missing in
    /// each zone, fewest first, or nothing if none are.
    fn claim_in_one_zone(
        &self,
        supply: &mut Vec<Supply<'_>>,
        claims: &mut CapacityClaims,
    ) -> Vec<Vec<MissingInZone>> {
        let places_by_zone = self.places_by_zone(supply);
        let places_in = |zone: &Name| places_by_zone.get(zone).copied().unwrap_or(0);
        let mut zones: Vec<(u64, &Name)> = self
            .places_in_zone
            .iter()
            // The whole job must fit into the zone, whatever the number of hosts.
            .filter(|(_, allowed)| **allowed >= self.tasks)
            .map(|(zone, _)| (self.tasks.saturating_sub(places_in(zone)), zone))
            .collect();
        zones.sort();
        let Some((missing_tasks, best_zone)) = zones.first().copied() else {
            return Vec::new();
        };
        let mut places_left = BTreeMap::from([(best_zone.clone(), self.tasks - missing_tasks)]);
        self.take(supply, claims, &mut places_left, self.tasks - missing_tasks);
        if missing_tasks == 0 {
            return Vec::new();
        }
        // The cloud may have machines in another zone only, so the hosts there are kept as well.
        // Otherwise they would be returned while others are rented beside them.
        for (missing_there, zone) in &zones {
            self.keep_hosts_in(supply, claims, zone, self.tasks - missing_there);
        }
        self.add_rented(supply, best_zone, missing_tasks);
        let missing = |(tasks, zone): (u64, &Name)| MissingInZone {
            zone: zone.clone(),
            hosts: self.machines_for(tasks),
        };
        vec![zones.into_iter().map(missing).collect()]
    }

    /// Claims capacity in all zones, in each for at most as many tasks as may go there. Returns the
    /// hosts that are missing, with the zones that will do: those with few hosts first.
    fn claim_in_all_zones(
        &self,
        supply: &mut Vec<Supply<'_>>,
        claims: &mut CapacityClaims,
    ) -> Vec<Vec<MissingInZone>> {
        let mut places_left = self.places_in_zone.clone();
        let mut tasks_left = self.take(supply, claims, &mut places_left, self.tasks);
        let mut missing = Vec::new();
        while tasks_left > 0 {
            let hosts_in = |zone: &Name| supply.iter().filter(|s| &s.zone == zone).count();
            let mut zones: Vec<(usize, &Name, u64)> = places_left
                .iter()
                .filter(|(_, places)| **places > 0)
                .map(|(zone, places)| (hosts_in(zone), zone, *places))
                .collect();
            zones.sort();
            let Some((_, zone, places)) = zones.first().copied() else {
                break;
            };
            let tasks = tasks_left.min(places);
            let hosts = self.machines_for(tasks);
            let will_do = zones.iter().filter(|(.., places)| *places >= tasks);
            missing.push(
                will_do
                    .map(|(_, zone, _)| MissingInZone {
                        zone: (*zone).clone(),
                        hosts,
                    })
                    .collect(),
            );
            let zone = zone.clone();
            self.add_rented(supply, &zone, tasks);
            tasks_left -= tasks;
            places_left.insert(zone, places - tasks);
        }
        missing
    }

    /// Claims capacity for up to `tasks` tasks, in each zone for at most `places_left`: first what is
    /// free now, then what will be. Returns the number of tasks that are left.
    fn take(
        &self,
        supply: &mut [Supply<'_>],
        claims: &mut CapacityClaims,
        places_left: &mut BTreeMap<Name, u64>,
        tasks: u64,
    ) -> u64 {
        let each = &self.job.request.each;
        let mut tasks_left = tasks;
        for availability in [Availability::Now, Availability::Soon] {
            for entry in supply.iter_mut().filter(|entry| self.may_use(entry)) {
                let Some(in_zone) = places_left.get_mut(&entry.zone) else {
                    continue;
                };
                let places = entry.places(each, availability);
                let taken = places.min(*in_zone).min(tasks_left);
                if taken == 0 {
                    continue;
                }
                entry.claim(each, taken);
                *in_zone -= taken;
                tasks_left -= taken;
                if let Some(host) = entry.host.filter(|_| entry.is_empty) {
                    self.keep(claims, host);
                }
            }
        }
        tasks_left
    }

    /// Keeps the empty hosts in a zone that up to `tasks` tasks could use, without a claim on them.
    fn keep_hosts_in(
        &self,
        supply: &[Supply<'_>],
        claims: &mut CapacityClaims,
        zone: &Name,
        tasks: u64,
    ) {
        let mut tasks_left = tasks;
        let in_zone = supply.iter().filter(|entry| &entry.zone == zone);
        for entry in in_zone.filter(|entry| entry.is_empty && self.may_use(entry)) {
            let places = entry.places(&self.job.request.each, Availability::Soon);
            if let Some(host) = entry.host.filter(|_| places.min(tasks_left) > 0) {
                self.keep(claims, host);
                tasks_left -= places.min(tasks_left);
            }
        }
    }

    /// Adds the machines to be rented for `tasks` tasks in a zone, so that other jobs can claim what
    /// is left of them.
    fn add_rented(&self, supply: &mut Vec<Supply<'_>>, zone: &Name, tasks: u64) {
        let Some(spec) = self.specs.first() else {
            return;
        };
        let mut tasks_left = tasks;
        for _ in 0..self.machines_for(tasks) {
            let placed = tasks_left.min(self.tasks_per_machine());
            tasks_left -= placed;
            let mut machine = Supply {
                host: None,
                is_empty: true,
                spec: spec.clone(),
                zone: zone.clone(),
                spot: self.job.request.spot,
                free_now: Resources::default(),
                free_soon: spec.capacity,
            };
            machine.claim(&self.job.request.each, placed);
            supply.push(machine);
        }
    }
}

/// Returns the constraints of a job.
fn constraint_kind(job: &Job) -> ConstraintKind<'_> {
    let request = &job.request;
    let flags = [
        request.one_zone,
        request.spread,
        request.spot,
        job.is_gang(),
    ];
    (&request.types, &request.zone, flags)
}

/// Returns the number of tasks for which a job claims capacity now. An array can make progress with
/// one task at a time; the counts of hosts cover the others.
fn tasks_to_claim(job: &Job) -> u64 {
    let is_idle = job.live.is_empty() && job.reserved.is_empty();
    match job.request.shape {
        Shape::Gang if is_idle && job.unsaved_tasks.is_empty() => u64::from(job.request.tasks),
        Shape::Service => u64::from(job.startable()),
        Shape::Array if is_idle => u64::from(job.startable().min(1)),
        Shape::Gang | Shape::Array => 0,
    }
}

/// Returns whether waiting jobs can count on a host: it is not lost, and it is not about to leave
/// the partition or in quarantine. A host that has not shown the current token yet usually does so
/// soon.
fn is_claimable(host: &Host, now: Micros) -> bool {
    host.fencing != FencingState::LeaseExpired
        && matches!(host.assignment, HostAssignment::Partition(_))
        && host.terminates_at.is_none()
        && host.draining.is_none()
        && host.quarantined_until.is_none_or(|until| now >= until)
}
