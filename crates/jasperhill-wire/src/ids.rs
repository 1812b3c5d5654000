//! Newtypes for names and numbers that must not be mixed up.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes a name as it is.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name.
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

name_type!(
    /// A job, named by its user.
    JobId
);
name_type!(
    /// A machine, named by the cloud.
    HostId
);
name_type!(
    /// A controller.
    Member
);
name_type!(
    /// A team, class, zone, machine type or image.
    Name
);

impl JobId {
    /// Checks the protocol's form: `job-` and then lower-case letters, digits or dashes.
    pub fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix("job-")?;
        let fits = (1..=60).contains(&rest.len())
            && rest
                .bytes()
                .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        fits.then(|| Self::new(text))
    }
}

macro_rules! number_type {
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

number_type!(
    /// A revision of the state service.
    Revision
);
number_type!(
    /// A fencing token shown to workers.
    FencingToken
);
number_type!(
    /// Tells one start of a task from another.
    Attempt
);

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Counted from 0.
    pub index: u32,
}

impl TaskId {
    /// The task of that index.
    pub fn new(job: &JobId, index: u32) -> Self {
        Self {
            job: job.clone(),
            index,
        }
    }

    /// Reads the protocol's form: the job, a slash and the index.
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
