//! Assignment of teams to partitions, which is fixed for given settings.

use crate::config::TeamLimits;
use jasperhill_wire::Name;
use std::collections::BTreeMap;

/// Assigns each team to a partition so that the guaranteed resources are balanced. The result
/// depends only on the settings, so that all controllers compute the same assignment.
pub fn split(teams: &[TeamLimits], partitions: u32) -> BTreeMap<Name, u32> {
    let mut teams_by_guarantee: Vec<&TeamLimits> = teams.iter().collect();
    teams_by_guarantee.sort_by(|a, b| {
        (b.guaranteed.gpus, b.guaranteed.cpus, &a.name).cmp(&(
            a.guaranteed.gpus,
            a.guaranteed.cpus,
            &b.name,
        ))
    });
    let mut load = vec![(0u64, 0u64, 0u32); partitions.max(1) as usize];
    let mut assignment = BTreeMap::new();
    for team in teams_by_guarantee {
        let least_loaded = (0..load.len()).min_by_key(|i| (load[*i], *i)).unwrap_or(0);
        load[least_loaded].0 += team.guaranteed.gpus;
        load[least_loaded].1 += team.guaranteed.cpus;
        load[least_loaded].2 += 1;
        assignment.insert(team.name.clone(), least_loaded as u32);
    }
    assignment
}
