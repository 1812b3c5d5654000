//! Results of a simulated run, on which tests assert.

use crate::faults::FaultCounts;
use std::collections::BTreeMap;

/// Result of a simulated run.
#[derive(Debug)]
pub struct Outcome {
    /// Violations of the protocol's rules, in the order in which they were found.
    pub violations: Vec<String>,
    /// Number of jobs accepted.
    pub accepted: usize,
    /// Number of jobs whose users were told that they are done.
    pub finished: usize,
    /// Number of task starts.
    pub started: usize,
    /// Most tasks that were started and had not exited at the same time.
    pub most_at_once: usize,
    /// Number of tasks killed because their worker's lease expired.
    pub killed: usize,
    /// Number of tasks killed by an expired lease although, for the last one and a quarter lease
    /// durations, some controller had reached both the zone's workers and the state service.
    pub killed_in_reach: usize,
    /// Number of submission attempts that were answered with 503 or not at all.
    pub undecided: usize,
    /// Number of jobs proposed to their owners through the state service.
    pub proposals: usize,
    /// Changes of a role's owner: seconds since the start, key of the role, new owner.
    pub role_moves: Vec<(f64, String, String)>,
    /// Roles without a live owner at the end.
    pub unowned: Vec<String>,
    /// Workers that no controller answers at the end.
    pub unanswered: Vec<String>,
    /// Host records at the end of machines that don't exist.
    pub stale_host_records: Vec<String>,
    /// Number of transactions that the state service refused because they exceeded a size limit.
    pub oversized_writes: usize,
    /// Length of the longest value in the state service at the end, in bytes of JSON.
    pub longest_value_bytes: usize,
    /// Number of pipeline jobs whose users were told that they are done.
    pub pipeline_jobs_done: usize,
    /// Number of jobs that were cancelled because a job they depend on was.
    pub cancelled_with_dependency: usize,
    /// Whether all invalid dependency lists were refused.
    pub invalid_dependencies_refused: bool,
    /// Most sockets that a controller process had open at the same time.
    pub peak_sockets: usize,
    /// Number of sockets refused to controller processes by the platform's limit.
    pub refused_sockets: usize,
    /// Class with the smallest share of jobs that have begun, and the share. Counts jobs accepted a
    /// while before the end and not cancelled.
    pub lowest_class_share: (String, f64),
    /// Team with the smallest share of jobs that have begun, and the share, counted as for the
    /// classes.
    pub lowest_team_share: (String, f64),
    /// Share of jobs that have begun, for every class and every team.
    pub started_shares: BTreeMap<String, f64>,
    /// Class with the smallest share of its largest jobs that began within four minutes, and the
    /// share.
    pub lowest_largest_jobs_share: (String, f64),
    /// Confirmed cancellations.
    pub cancels: Vec<ConfirmedCancellation>,
    /// Longest time in seconds for which all queries about some job went unanswered: in the whole
    /// run, and after the faults.
    pub longest_silence: (f64, f64),
    /// Number of jobs of the class `uneven`, the tasks of which end far apart, that were reported as
    /// done to their users.
    pub uneven_jobs_done: usize,
    /// Number of task starts, of all jobs, after the task had already completed.
    pub tasks_restarted_after_result: usize,
    /// Number of jobs restricted to one zone of which a task has started.
    pub zone_bound_jobs_started: usize,
    /// Number of task starts after the job's user was told that the job is cancelled.
    pub started_after: usize,
    /// Longest time in seconds from telling a user that the job is cancelled to a start of one of
    /// the job's tasks.
    pub latest_start: f64,
    /// Longest time in seconds after the faults that a job waited although hosts had capacity for
    /// it.
    pub longest_wait: f64,
    /// What happened to each accepted job, by id.
    pub job_times: BTreeMap<String, JobTimes>,
    /// How often the injected faults took effect.
    pub fault_counts: FaultCounts,
    /// Most requests that the state service counted in any one-second window. A transaction counts
    /// as one request.
    pub state_peak_requests: usize,
}

/// Times of an accepted job, in seconds from the start of the run.
#[derive(Clone, Debug)]
pub struct JobTimes {
    /// Time of the acceptance.
    pub accepted: f64,
    /// Time at which the last of its tasks had started; `None` if some have not.
    pub all_started: Option<f64>,
    /// Last start of one of its tasks; `None` if none has started.
    pub last_start: Option<f64>,
    /// Final phase that its user was told first, and when; `None` if there was none.
    pub ended: Option<(String, f64)>,
}

/// Cancellation that a user was told of.
#[derive(Clone, Debug)]
pub struct ConfirmedCancellation {
    /// Id of the job.
    pub job: String,
    /// Seconds from the start of the run to the first confirmation.
    pub at: f64,
    /// Controller that confirmed the cancellation.
    pub node: usize,
    /// Number of the job's tasks that had not exited at the confirmation.
    pub alive: usize,
    /// Seconds from the confirmation until the last of the job's tasks had exited; 0 if none was
    /// left.
    pub after: f64,
}
