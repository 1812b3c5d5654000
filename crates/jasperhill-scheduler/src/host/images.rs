//! The image cache of a host: which images it holds, and how long a task waits for an image.

use super::{Host, TaskState};
use jasperhill_wire::{Micros, Name};

impl Host {
    /// Returns whether the host's cache holds the image.
    pub fn has_image(&self, image: &Name) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records an image of this size in GB as the most recently used, and drops the least recently
    /// used images that no longer fit the cache.
    pub fn mark_image_used(&mut self, image: &Name, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total_gb > self.spec.cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).1;
        }
    }

    /// Returns the expected time until an image of this size in GB is on the host: zero if it is
    /// cached, the remaining time if it is being pulled. Images that are pulled at the same time
    /// share the rate.
    pub fn image_wait(&self, image: &Name, gb: f64, now: Micros) -> Micros {
        if self.has_image(image) {
            return Micros::ZERO;
        }
        if self.tasks_awaiting_image == 0 {
            return Micros::from_secs_f64(gb / self.spec.fetch_gb_per_s.max(1e-6));
        }
        // A list is faster than a map for the few images that are pulled at a time, and this
        // function is called for every job and host.
        let mut pulling: Vec<(&Name, f64, Micros)> = Vec::new();
        for t in self.tasks.values() {
            if let (TaskState::Ordered | TaskState::Fetching, Some((name, gb))) =
                (t.state, &t.image)
                && !self.has_image(name)
            {
                match pulling.iter_mut().find(|(n, ..)| *n == name) {
                    Some((.., since)) => *since = t.ordered_at.min(*since),
                    None => pulling.push((name, *gb, t.ordered_at)),
                }
            }
        }
        if pulling.iter().all(|(n, ..)| *n != image) {
            pulling.push((image, gb, now));
        }
        let gb_per_s = self.spec.fetch_gb_per_s.max(1e-6) / pulling.len() as f64;
        let remaining_gb =
            |gb: f64, since: Micros| (gb - (now - since).as_secs_f64() * gb_per_s).max(0.0);
        let own_pull = pulling.iter().find(|(n, ..)| *n == image);
        let own_gb = own_pull.map_or(gb, |(_, gb, since)| remaining_gb(*gb, *since));
        // Another pull slows this one down until either of them is complete.
        let total_gb: f64 = pulling
            .iter()
            .map(|(_, gb, since)| remaining_gb(*gb, *since).min(own_gb))
            .sum();
        Micros::from_secs_f64(total_gb / self.spec.fetch_gb_per_s.max(1e-6))
    }
}
