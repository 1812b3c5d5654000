//! The team split: which partition a team belongs to, for good.

use crate::config::TeamLimits;
use jasperhill_wire::Name;
use std::collections::BTreeMap;

/// Spreads the teams over the partitions so that the guarantees balance. Depends only on the
/// settings, which all controllers share.
pub fn split(teams: &[TeamLimits], partitions: u32) -> BTreeMap<Name, u32> {
    let mut sorted: Vec<&TeamLimits> = teams.iter().collect();
    sorted.sort_by(|a, b| {
        (b.guaranteed.gpus, b.guaranteed.cpus, &a.name).cmp(&(
            a.guaranteed.gpus,
            a.guaranteed.cpus,
            &b.name,
        ))
    });
    let mut load = vec![(0u64, 0u64, 0u32); partitions.max(1) as usize];
    let mut out = BTreeMap::new();
    for team in sorted {
        let best = (0..load.len()).min_by_key(|i| (load[*i], *i)).unwrap_or(0);
        load[best].0 += team.guaranteed.gpus;
        load[best].1 += team.guaranteed.cpus;
        load[best].2 += 1;
        out.insert(team.name.clone(), best as u32);
    }
    out
}
