//! Newtypes for identifiers and counters, so that the compiler rejects the use of one in place of
//! another.
//!
//! The string types share their text by reference counting, so clones are cheap.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without checking its form.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

string_newtype!(
    /// Identifier of a job, chosen by the user who submits it.
    JobId
);
string_newtype!(
    /// Identifier of a host, assigned by the cloud.
    HostId
);
string_newtype!(
    /// Name of a controller, which is a member of the controller cluster.
    Member
);
string_newtype!(
    /// Name of a team, job class, zone, machine type or image.
    Name
);

impl JobId {
    /// Parses a job id of the protocol's form: `job-` followed by 1 to 60 lower-case letters,
    /// digits or dashes. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let suffix = text.strip_prefix("job-")?;
        let is_valid = (1..=60).contains(&suffix.len())
            && suffix
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        is_valid.then(|| Self::new(text))
    }
}

macro_rules! integer_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

integer_newtype!(
    /// Revision of the state service: its counter of changes, and the version of a key written at
    /// that revision.
    Revision
);
integer_newtype!(
    /// Fencing token sent to workers with commands; a worker refuses a token lower than the highest
    /// that it has seen.
    FencingToken
);
integer_newtype!(
    /// Number that distinguishes successive attempts to run the same task.
    Attempt
);

/// Identifier of one task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's index within its job, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Returns the id of the job's task with this index.
    pub fn new(job: &JobId, index: u32) -> Self {
        Self {
            job: job.clone(),
            index,
        }
    }

    /// Parses the protocol's form of a task id: the job id, a slash and the task's index in
    /// decimal. Returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        if index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Self {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}
