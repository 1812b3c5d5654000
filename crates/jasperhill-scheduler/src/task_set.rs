//! The set of a job's finished tasks, compact in memory and in its record.

/// A set of a job's tasks, by their indices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
    count: u32,
}

impl TaskSet {
    /// None of `len` tasks.
    pub fn new(len: u32) -> Self {
        Self {
            words: vec![0; len.div_ceil(64) as usize],
            len,
            count: 0,
        }
    }
    /// Whether task `i` is in the set.
    pub fn contains(&self, i: u32) -> bool {
        i < self.len && self.words[(i / 64) as usize] >> (i % 64) & 1 == 1
    }
    /// True if it was not in the set.
    pub fn insert(&mut self, i: u32) -> bool {
        if i >= self.len || self.contains(i) {
            return false;
        }
        self.words[(i / 64) as usize] |= 1 << (i % 64);
        self.count += 1;
        true
    }
    /// How many tasks are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }
    /// All tasks are in the set.
    pub fn is_full(&self) -> bool {
        self.count == self.len
    }

    /// Alternating lengths of runs outside and inside the set, beginning outside; at most
    /// `most` numbers. What is cut off counts as unfinished: such a task is started again
    /// and its kept result ends it at once.
    pub fn to_runs(&self, most: usize) -> Vec<u32> {
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
        runs.truncate(most / 2 * 2);
        runs
    }

    /// Reads what [`Self::to_runs`] gives; anything beyond `len` is ignored.
    pub fn from_runs(len: u32, runs: &[u32]) -> Self {
        let mut set = Self::new(len);
        let (mut at, mut inside) = (0u32, false);
        for run in runs {
            let end = at.saturating_add(*run).min(len);
            if inside {
                (at..end).for_each(|i| {
                    set.insert(i);
                });
            }
            (at, inside) = (end, !inside);
        }
        set
    }
}

#[cfg(test)]
mod tests;
