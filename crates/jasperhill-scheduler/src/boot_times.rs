//! Observed boot times of machines, by machine type and zone.
//!
//! [`BootTimes`] decides which booting machines still count as supply, and estimates when a machine
//! rented now would be ready.

use jasperhill_wire::{Micros, Name};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of boot times kept per machine type and zone.
const MAX_SAMPLES: usize = 24;
/// Age after which an observed boot time is ignored.
const SAMPLE_MAX_AGE: Micros = Micros::from_secs(300);
/// Minimum number of samples; missing ones are filled with the scaled nominal time, because few
/// boots say little about the usual time.
const MIN_SAMPLES: usize = 6;
/// Multiple of the nominal boot time that a boot may take without being unusual.
const NOMINAL_TOLERANCE: f64 = 1.5;
/// Quantile of the observed boot times that is taken as the usual boot time.
const USUAL_QUANTILE: f64 = 0.8;
/// Multiple of the usual boot time after which a booting machine is late.
const LATE_FACTOR: f64 = 1.3;
/// Multiple of the nominal boot time after which, plus [`ABANDON_MARGIN`], a machine is given up.
const ABANDON_FACTOR: f64 = 4.0;
/// Time added to the scaled nominal boot time before a machine is given up.
const ABANDON_MARGIN: Micros = Micros::from_secs(20);

/// Boot times observed recently, by machine type and zone.
#[derive(Clone, Debug, Default)]
pub struct BootTimes {
    /// Time of observation and boot time, oldest first, by machine type and zone.
    samples: BTreeMap<(Name, Name), VecDeque<(Micros, Micros)>>,
}

impl BootTimes {
    /// Records that a machine finished booting after `elapsed`.
    pub fn record(&mut self, machine_type: &Name, zone: &Name, elapsed: Micros, now: Micros) {
        let samples = self
            .samples
            .entry((machine_type.clone(), zone.clone()))
            .or_default();
        if samples.len() >= MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, elapsed));
    }

    /// Returns the time within which most machines of this type and zone boot.
    pub fn usual_boot_time(
        &self,
        machine_type: &Name,
        zone: &Name,
        nominal: Micros,
        now: Micros,
    ) -> Micros {
        let mut elapsed: Vec<Micros> = self
            .samples
            .get(&(machine_type.clone(), zone.clone()))
            .into_iter()
            .flatten()
            .filter(|(observed_at, _)| now - *observed_at < SAMPLE_MAX_AGE)
            .map(|(_, elapsed)| *elapsed)
            .collect();
        while elapsed.len() < MIN_SAMPLES {
            elapsed.push(nominal.scale(NOMINAL_TOLERANCE));
        }
        elapsed.sort_unstable();
        elapsed[((elapsed.len() - 1) as f64 * USUAL_QUANTILE) as usize]
    }

    /// Returns whether a machine that has been booting for `age` is late and no longer counts as
    /// supply.
    pub fn is_late(
        &self,
        machine_type: &Name,
        zone: &Name,
        nominal: Micros,
        age: Micros,
        now: Micros,
    ) -> bool {
        age > self
            .usual_boot_time(machine_type, zone, nominal, now)
            .max(nominal.scale(NOMINAL_TOLERANCE))
            .scale(LATE_FACTOR)
    }

    /// Returns whether a machine that has been booting for `age` is given up.
    pub fn is_abandoned(nominal: Micros, age: Micros) -> bool {
        age > nominal.scale(ABANDON_FACTOR) + ABANDON_MARGIN
    }
}

/// Returns how many late machines may be replaced while they may still finish booting: an eighth of
/// the fleet plus four. The limit bounds the cost if all of the late machines become ready as well.
pub fn max_late_replacements(fleet: usize) -> usize {
    fleet / 8 + 4
}

#[cfg(test)]
mod tests;
