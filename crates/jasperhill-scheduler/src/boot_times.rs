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
    pub fn record(&mut self, kind: &Name, zone: &Name, took: Micros, now: Micros) {
        let seen = self.seen.entry((kind.clone(), zone.clone())).or_default();
        if seen.len() >= SEEN_MAX {
            seen.pop_front();
        }
        seen.push_back((now, took));
    }

    /// How long a boot there usually takes at most.
    pub fn usual(&self, kind: &Name, zone: &Name, nominal: Micros, now: Micros) -> Micros {
        let mut took: Vec<Micros> = self
            .seen
            .get(&(kind.clone(), zone.clone()))
            .into_iter()
            .flatten()
            .filter(|(at, _)| now - *at < REMEMBERED)
            .map(|(_, took)| *took)
            .collect();
        while took.len() < ENOUGH {
            took.push(nominal.scale(ORDINARY));
        }
        took.sort_unstable();
        took[((took.len() - 1) as f64 * USUAL_SHARE) as usize]
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
mod tests {
    use super::*;

    const NOMINAL: Micros = Micros::from_secs(30);

    fn late(boots: &BootTimes, age: u64, now: Micros) -> bool {
        let (kind, zone) = ("box".into(), "a".into());
        boots.is_late(&kind, &zone, NOMINAL, Micros::from_secs(age), now)
    }

    /// Guards against machines that never come and count as supply for minutes.
    #[test]
    fn a_machine_is_late_by_what_others_take() {
        let mut boots = BootTimes::default();
        let now = Micros::from_secs(1_000);
        assert!(!late(&boots, 45, now) && late(&boots, 60, now));
        // Where all take three times as long none is late before, and elsewhere nothing changes.
        for _ in 0..8 {
            boots.record(&"box".into(), &"a".into(), Micros::from_secs(90), now);
        }
        assert!(!late(&boots, 100, now) && late(&boots, 120, now));
        let elsewhere = boots.usual(&"box".into(), &"b".into(), NOMINAL, now);
        assert_eq!(elsewhere, Micros::from_secs(45));
        // What was seen is forgotten after a while.
        assert!(late(&boots, 60, now + REMEMBERED));
        // Boots that were quick for a while do not make ordinary ones late.
        for _ in 0..SEEN_MAX {
            boots.record(&"box".into(), &"a".into(), Micros::from_secs(1), now);
        }
        assert!(!late(&boots, 45, now));
        assert!(BootTimes::never_comes(NOMINAL, Micros::from_secs(141)));
    }
}
