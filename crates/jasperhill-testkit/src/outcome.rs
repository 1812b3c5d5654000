//! What came of a simulated day.

use crate::faults::FaultCounts;
use std::collections::BTreeMap;

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    pub broken: Vec<String>,
    pub accepted: usize,
    pub finished: usize,
    pub started: usize,
    pub most_at_once: usize,
    /// Tasks that were killed because their machine's lease ran out.
    pub killed: usize,
    /// Of those, in zones that some controller reached all along, as it did the state service.
    pub killed_in_reach: usize,
    /// Submissions that got no verdict, and jobs put before their owners through the store.
    pub undecided: usize,
    pub proposals: usize,
    /// When roles got another owner, from the start: the second, the role and who.
    pub role_moves: Vec<(f64, String, String)>,
    /// At the end: roles without a live owner, and workers whom nobody answers.
    pub unowned: Vec<String>,
    pub unanswered: Vec<String>,
    /// At the end: records of machines that are not there.
    pub stale_host_records: Vec<String>,
    /// Writes that were larger than the state service takes, and the longest value at the end.
    pub too_large: usize,
    pub longest: usize,
    /// Jobs of pipelines that were called done, and cancelled with one before them.
    pub staged: usize,
    pub swept: usize,
    pub picked: bool,
    /// The most sockets that a process had at once, and how many the platform refused it.
    pub sockets: usize,
    pub refused_sockets: usize,
    /// Of the jobs accepted a while before the end, and not cancelled, the part that has begun: the
    /// class and the team for which it is least.
    pub least_class: (String, f64),
    pub least_team: (String, f64),
    /// The same for every class and team.
    pub served: BTreeMap<String, f64>,
    /// Of each class's largest jobs, the part that began within four minutes: the least class.
    pub least_largest: (String, f64),
    /// The cancellations that were confirmed, by when.
    pub cancels: Vec<ConfirmedCancellation>,
    /// The longest that questions about a job went unanswered, in seconds: in all, and after the
    /// troubles.
    pub longest_silence: (f64, f64),
    /// Jobs of tasks that end far apart whose users were told that they are done, and tasks of all
    /// jobs that were started again after their results.
    pub uneven: usize,
    pub again: usize,
    /// Jobs bound to a zone of which a task has begun.
    pub bound: usize,
    /// Starts after their users were told that the job is cancelled, and the latest, in seconds.
    pub started_after: usize,
    pub latest_start: f64,
    /// The longest that a job waited beside room that fits, after the troubles, in seconds.
    pub longest_wait: f64,
    /// What the troubles met with.
    pub fault_counts: FaultCounts,
    /// Changes and requests that the state service counted in its busiest second.
    pub state_peak: usize,
}

/// A confirmed cancellation; times in seconds.
#[derive(Clone, Debug)]
pub struct ConfirmedCancellation {
    pub job: String,
    /// From the start of the day.
    pub at: f64,
    pub node: usize,
    /// Its tasks that were not over then.
    pub alive: usize,
    /// After the confirmation, until the last of them.
    pub after: f64,
}
