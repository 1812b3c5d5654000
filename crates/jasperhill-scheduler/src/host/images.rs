//! Images on a host: what its cache holds, and how long a task waits for one.

use super::{Host, TaskState};
use jasperhill_wire::{Micros, Name};

impl Host {
    /// Whether the image has been seen there.
    pub fn has_image(&self, image: &Name) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Remembers an image as the most recently used and drops what no longer fits the cache.
    pub fn touch_image(&mut self, image: &Name, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.clone(), gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > self.spec.cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }

    /// The expected wait for an image here: nothing when it is cached, the rest when it is
    /// coming. Images fetched at the same time share the rate.
    pub fn image_wait(&self, image: &Name, gb: f64, now: Micros) -> Micros {
        if self.has_image(image) {
            return Micros::ZERO;
        }
        if self.fetching == 0 {
            return Micros::from_secs_f64(gb / self.spec.fetch_gb_per_s.max(1e-6));
        }
        // A handful of images at most: a list is quicker than a map, and this is asked for every
        // job and host.
        let mut coming: Vec<(&Name, f64, Micros)> = Vec::new();
        for t in self.tasks.values() {
            if let (TaskState::Ordered | TaskState::Fetching, Some((name, gb))) =
                (t.state, &t.image)
                && !self.has_image(name)
            {
                match coming.iter_mut().find(|(n, ..)| *n == name) {
                    Some((.., since)) => *since = t.ordered.min(*since),
                    None => coming.push((name, *gb, t.ordered)),
                }
            }
        }
        if coming.iter().all(|(n, ..)| *n != image) {
            coming.push((image, gb, now));
        }
        let rate = self.spec.fetch_gb_per_s.max(1e-6) / coming.len() as f64;
        let rest = |gb: f64, since: Micros| (gb - (now - since).as_secs_f64() * rate).max(0.0);
        let mine = coming.iter().find(|(n, ..)| *n == image);
        let mine = mine.map_or(gb, |(_, gb, since)| rest(*gb, *since));
        // The others slow it down as long as they last.
        let shared: f64 = coming
            .iter()
            .map(|(_, gb, since)| rest(*gb, *since).min(mine))
            .sum();
        Micros::from_secs_f64(shared / self.spec.fetch_gb_per_s.max(1e-6))
    }
}
