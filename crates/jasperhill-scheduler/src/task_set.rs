//! Set of a job's tasks, as a bit set in memory and as run lengths in the job's record.

/// A set of a job's tasks, by their indices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
    count: u32,
}

impl TaskSet {
    /// Creates an empty set for a job with `len` tasks.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; len.div_ceil(64) as usize],
            len,
            count: 0,
        }
    }
    /// Returns whether task `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        i < self.len && self.words[(i / 64) as usize] >> (i % 64) & 1 == 1
    }
    /// Adds task `i` to the set. Returns `false` if the task was in the set before or is out of
    /// range.
    pub fn insert(&mut self, i: u32) -> bool {
        if i >= self.len || self.contains(i) {
            return false;
        }
        self.words[(i / 64) as usize] |= 1 << (i % 64);
        self.count += 1;
        true
    }
    /// Returns the number of tasks in the set.
    pub fn count(&self) -> u32 {
        self.count
    }
    /// Returns whether all tasks are in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.len
    }

    /// Returns the alternating lengths of runs outside and inside the set, beginning outside, as at
    /// most `max_runs` numbers. Tasks beyond these count as unfinished: they are started again, and
    /// their kept results end them immediately.
    pub fn to_runs(&self, max_runs: usize) -> Vec<u32> {
        let mut runs = Vec::new();
        let (mut inside, mut start) = (false, 0);
        for i in 0..self.len {
            if self.contains(i) != inside {
                runs.push(i - start);
                (inside, start) = (!inside, i);
            }
        }
        if inside {
            runs.push(self.len - start);
        }
        runs.truncate(max_runs / 2 * 2);
        runs
    }

    /// Creates a set for `len` tasks from the run lengths of [`Self::to_runs`]. Tasks beyond `len`
    /// are ignored.
    pub fn from_runs(len: u32, runs: &[u32]) -> Self {
        let mut set = Self::new(len);
        let (mut position, mut inside) = (0u32, false);
        for run in runs {
            let end = position.saturating_add(*run).min(len);
            if inside {
                (position..end).for_each(|i| {
                    set.insert(i);
                });
            }
            (position, inside) = (end, !inside);
        }
        set
    }
}

#[cfg(test)]
mod tests;
