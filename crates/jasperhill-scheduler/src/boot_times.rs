//! How long machines take to come up, as seen lately, by type and zone. Tells which booting
//! machines still count as supply, and when a machine that could be rented now would be there.

use jasperhill_wire::{Micros, Name};
use std::collections::{BTreeMap, VecDeque};

/// Boots remembered of a type in a zone, and for how long.
const SEEN_MAX: usize = 24;
const REMEMBERED: Micros = Micros::from_secs(300);
/// Fewer boots than this say little: the nominal time counts as often as is missing.
const ENOUGH: usize = 6;
/// A boot may take this part more than its nominal time as a matter of course.
const ORDINARY: f64 = 1.5;
/// How many of the boots seen take no longer than the time that is usual.
const USUAL_SHARE: f64 = 0.8;
/// A machine that takes so much longer than is usual is late.
const LATE: f64 = 1.3;
/// A machine that takes so many times its nominal time, and a bit, never comes.
const NEVER: f64 = 4.0;
const NEVER_BY: Micros = Micros::from_secs(20);

/// The boots seen.
#[derive(Clone, Debug, Default)]
pub struct BootTimes {
    seen: BTreeMap<(Name, Name), VecDeque<(Micros, Micros)>>,
}

impl BootTimes {
    /// A machine has come up after so long.
    pub fn record(&mut self, kind: &Name, zone: &Name, elapsed: Micros, now: Micros) {
        let seen = self.seen.entry((kind.clone(), zone.clone())).or_default();
        if seen.len() >= SEEN_MAX {
            seen.pop_front();
        }
        seen.push_back((now, elapsed));
    }

    /// How long a boot there usually takes at most.
    pub fn usual(&self, kind: &Name, zone: &Name, nominal: Micros, now: Micros) -> Micros {
        let mut elapsed: Vec<Micros> = self
            .seen
            .get(&(kind.clone(), zone.clone()))
            .into_iter()
            .flatten()
            .filter(|(at, _)| now - *at < REMEMBERED)
            .map(|(_, elapsed)| *elapsed)
            .collect();
        while elapsed.len() < ENOUGH {
            elapsed.push(nominal.scale(ORDINARY));
        }
        elapsed.sort_unstable();
        elapsed[((elapsed.len() - 1) as f64 * USUAL_SHARE) as usize]
    }

    /// A machine that has been booting for so long can't be counted on.
    pub fn is_late(
        &self,
        kind: &Name,
        zone: &Name,
        nominal: Micros,
        age: Micros,
        now: Micros,
    ) -> bool {
        age > self
            .usual(kind, zone, nominal, now)
            .max(nominal.scale(ORDINARY))
            .scale(LATE)
    }

    /// A machine that has been booting for so long is given up.
    pub fn never_comes(nominal: Micros, age: Micros) -> bool {
        age > nominal.scale(NEVER) + NEVER_BY
    }
}

/// How many late machines may be replaced while they may still come: an eighth of the fleet,
/// and some. What they cost if all of them come is bounded by it.
pub fn replaceable(fleet: usize) -> usize {
    fleet / 8 + 4
}

#[cfg(test)]
mod tests;
