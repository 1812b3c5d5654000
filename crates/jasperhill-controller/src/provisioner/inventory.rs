//! What every partition should have and has, by the records alone.

use crate::{shared::Shared, state::State, watch_cache::ActiveJob};
use jasperhill_scheduler::{
    autoscaler::{CapacityDemand, JobDemand, plan},
    dependencies::DependencyState,
};
use jasperhill_wire::{JobId, Micros, Name, record::HostAssignment};
use std::collections::BTreeMap;

/// What a partition should have and has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inventory {
    pub want: i64,
    pub want_ordinary: i64,
    /// For production and urgent work alone.
    pub want_first: i64,
    pub have: i64,
    pub have_ordinary: i64,
}

/// What the partitions lack, kept up to date while machines are given out.
pub(crate) struct CapacityNeeds {
    stocks: Vec<Inventory>,
    /// Hosts of each partition in each zone.
    here: BTreeMap<(u32, Name), i64>,
}

impl CapacityNeeds {
    /// The partition that a machine does the most good to: production and urgent work
    /// first, then the greatest lack, then the one with the fewest hosts in that zone, so
    /// that replicas can be spread.
    pub fn partition_most_in_need(&self, zone: &Name, spot: bool) -> u32 {
        let here = |p: usize| {
            self.here
                .get(&(p as u32, zone.clone()))
                .copied()
                .unwrap_or(0)
        };
        (0..self.stocks.len())
            .max_by_key(|i| {
                let s = &self.stocks[*i];
                let first = (s.want_first - s.have).max(0);
                let ordinary = if spot {
                    0
                } else {
                    (s.want_ordinary - s.have_ordinary).max(0)
                };
                let lack = (s.want - s.have).max(0);
                (
                    first,
                    (lack > 0, -here(*i)),
                    lack,
                    ordinary,
                    -s.have,
                    std::cmp::Reverse(*i),
                )
            })
            .unwrap_or(0) as u32
    }

    /// A machine of that kind was given to that partition.
    pub fn record_assignment(&mut self, partition: u32, zone: &Name, spot: bool) {
        if let Some(s) = self.stocks.get_mut(partition as usize) {
            s.have += 1;
            s.have_ordinary += i64::from(!spot);
        }
        *self.here.entry((partition, zone.clone())).or_default() += 1;
    }
}

impl Shared {
    /// What every partition should have and has, by the watch cache alone.
    pub(super) fn inventory(&self, state: &State) -> Vec<Inventory> {
        let Some(specs) = &state.scheduling.specs else {
            return Vec::new();
        };
        let wall = self.clock.wall();
        let boot = specs.values().map(|s| s.boot).max().unwrap_or_default();
        let now = self.now();
        // What waits for others counts from when a machine rented now would be there for it: not
        // while these wait themselves. Guards against walking long chains once for each of their jobs.
        let ready = |id: &JobId| state.cache.dependencies.state_of(id) == DependencyState::Ready;
        let near = |job: &ActiveJob| {
            let request = &job.request;
            ready(&request.id)
                || (request.dependencies.iter().all(ready)
                    && self.time_until_ready(state, request, now) <= boot)
        };
        let demands: Vec<JobDemand<'_>> = state
            .cache
            .active_jobs()
            // No machine is rented for what fails wherever it runs.
            .filter(|job| job.failed_attempts == 0 && near(job))
            .filter_map(|job| {
                Some(JobDemand {
                    request: &job.request,
                    partition: self.partition_of(&job.request.team)?,
                    unfinished: job.request.tasks.saturating_sub(job.done_count),
                    left: job.request.deadline.map(|d| (job.submitted + d) - wall),
                })
            })
            .collect();
        let tuning = &self.settings.operator.tuning;
        let mut stocks: Vec<Inventory> = (0..)
            .zip(plan(&demands, &self.scheduler_config, specs))
            .map(|(p, need): (u32, CapacityDemand)| {
                let within = &self.scheduler_config.start_within;
                let expected = state.provisioning.forecast.expected(p, boot, within, now);
                let coming = expected
                    + match state.provisioning.unmet_demand.get(&p) {
                        Some((hosts, at)) if now - *at < Micros::from_secs(8) => *hosts,
                        _ => 0.0,
                    };
                let floor = tuning.min_machines_of(p, self.settings.size);
                Inventory {
                    want: tuning.planned(need.total(), coming, floor),
                    want_ordinary: tuning.planned(need.ordinary, expected, floor),
                    want_first: tuning.planned(need.pressing, 0.0, 0),
                    ..Inventory::default()
                }
            })
            .collect();
        for kept in state.cache.hosts.values() {
            if let HostAssignment::Partition(p) = kept.value.assignment
                && let Some(stock) = stocks.get_mut(p as usize)
            {
                stock.have += 1;
                stock.have_ordinary += i64::from(!kept.value.spot);
            }
        }
        stocks
    }

    /// What the partitions lack, for giving machines to them.
    pub fn capacity_needs(&self, state: &State) -> CapacityNeeds {
        let mut here: BTreeMap<(u32, Name), i64> = BTreeMap::new();
        for kept in state.cache.hosts.values() {
            if let Some(p) = kept.value.partition() {
                *here.entry((p, kept.value.zone.clone())).or_default() += 1;
            }
        }
        CapacityNeeds {
            stocks: self.inventory(state),
            here,
        }
    }
}
